package main

import (
	"os"
	"strings"
	"testing"
)

// TestHost_RepliesAsTheGoldenSession plays a session with every event of the wire. The replies in testdata were written by
// an earlier build and hold the bytes of the wire.
func TestHost_RepliesAsTheGoldenSession(t *testing.T) {
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
	if err := host(session, &got); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("replies differ from testdata/session.out; got:\n%s", got.String())
	}
}
