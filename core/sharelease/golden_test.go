package sharelease

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
)

// updateGolden has the golden file written anew. It was written by the build of commit bfb4b5c and stays as it is.
var updateGolden = flag.Bool("update-golden", false, "write the golden file")

// Messages go between routers of different builds as JSON.
func TestGolden_MessageJSON(t *testing.T) {
	const name = "testdata/golden/messages.json"
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
	if *updateGolden {
		if err := os.WriteFile(name, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("messages: got\n%s\nwant\n%s", got, want)
	}
	var read []Message
	if err := json.Unmarshal(want, &read); err != nil {
		t.Fatal(err)
	}
	for i, message := range messages {
		if read[i] != message {
			t.Errorf("message %d is read as %+v, want %+v", i, read[i], message)
		}
	}
}
