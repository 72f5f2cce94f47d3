package main

import (
	"os"
	"strings"
	"testing"
)

// TestRun_RepliesMatchGoldenSession replays a session with every event of the wire and compares the replies byte for byte with
// those that an earlier build wrote to testdata.
func TestRun_RepliesMatchGoldenSession(t *testing.T) {
	session, err := os.Open("testdata/session.in")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := session.Close(); err != nil {
			t.Error(err)
		}
	})
	want, err := os.ReadFile("testdata/session.out")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := run(session, &got); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("replies differ from testdata/session.out; got:\n%s", got.String())
	}
}
