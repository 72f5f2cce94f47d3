package sharelease

import (
	"encoding/json"
	"testing"

	"spurtrestle/internal/goldentest"
)

// Routers of different builds exchange messages as JSON, so the encoding must not change.
func TestGolden_MessageJSON(t *testing.T) {
	messages := []Message{
		{Kind: Request, From: 1, To: 2, Grantor: 1 << 62, Holder: 1<<63 + 1, Stamp: 123456789},
		{Kind: Grant, From: 2, To: 1, Grantor: 1 << 62, Holder: 1<<63 + 1, Stamp: 123456789, Duration: 2e6},
		{Kind: Revoke, From: 2, To: 1, Grantor: 1 << 62, Holder: 1<<63 + 1, Stamp: 17},
		{Kind: Release, From: 1, To: 2, Grantor: 1 << 62, Holder: 1<<63 + 1, Stamp: 17},
	}
	got, err := json.MarshalIndent(messages, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "messages.json", got)
	var decoded []Message
	if err := json.Unmarshal(got, &decoded); err != nil {
		t.Fatal(err)
	}
	for i, message := range messages {
		if decoded[i] != message {
			t.Errorf("decoded message %d: got %+v, want %+v", i, decoded[i], message)
		}
	}
}
