package operatorstate

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Golden files were written by build bfb4b5c, never by a later one.

// goldenFile is an operator-state file as build bfb4b5c wrote it.
const goldenFile = "testdata/spurtrestle-router.intent"

// TestGolden_FileOfOlderBuild reads a file that build bfb4b5c wrote, and holds the file that the same changes write to
// its bytes.
func TestGolden_FileOfOlderBuild(t *testing.T) {
	methods := []string{"get", "put"}
	dir := t.TempDir()
	store := Open(dir, "router", methods)
	for _, change := range []func(*State) error{
		ban("cache-b"), ban("cache-a"), ban("cache-c"), ban("cache-d"), unban("cache-c"),
		func(s *State) error { s.Unban("cache-d", time.UnixMicro(8e6)); return nil },
		func(s *State) error { s.Drain = true; return nil },
	} {
		if _, err := store.Update(State{}, change); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(filepath.Join(dir, filepath.Base(goldenFile)))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("file:\ngot  %s\nwant %s", got, want)
	}
	state, err := Open(filepath.Dir(goldenFile), "router", methods).Load()
	if got, want := fmt.Sprint(state, err), "{[cache-a cache-b] map[cache-c:7000000 cache-d:8000000] true} <nil>"; got != want {
		t.Errorf("state read from the older build's file: got %s, want %s", got, want)
	}
}
