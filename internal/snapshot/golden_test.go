package snapshot

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// Golden files were written by build bfb4b5c, never by a later one.

// oldFolder holds a snapshot folder as that build left it after five saves: samples 4 and 5 as generations 4 and 5.
const oldFolder = "testdata/folder"

// TestGolden_EncodedBytes holds the bytes of a snapshot file to those that build bfb4b5c wrote.
func TestGolden_EncodedBytes(t *testing.T) {
	want, err := os.ReadFile("testdata/v2.state")
	if err != nil {
		t.Fatal(err)
	}
	if got := Encode(sample(3)); !bytes.Equal(got, want) {
		t.Errorf("Encode: got %d bytes that differ from the %d golden ones", len(got), len(want))
	}
}

// TestGolden_FolderOfOlderBuild opens a folder that build bfb4b5c wrote, and holds the folder's files after the next
// save to those that it would have left.
func TestGolden_FolderOfOlderBuild(t *testing.T) {
	log, _ := bufferedLog()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(oldFolder)); err != nil {
		t.Fatal(err)
	}
	writer, learned := OpenWriter(dir, log)
	if learned == nil || !sameState(*learned, sample(5)) {
		t.Fatalf("read from the older build's folder: got %+v, want sample 5", learned)
	}
	writer.Close(sample(6), 5*time.Second)
	got := filesOf(t, dir)
	delete(got, "lock")
	want := map[string][]byte{"state.5": filesOf(t, oldFolder)["state.5"], "state.6": Encode(sample(6))}
	if !maps.EqualFunc(got, want, bytes.Equal) {
		t.Errorf("files after the next save: got %v, want %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
	}
}

func filesOf(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if files[entry.Name()], err = os.ReadFile(filepath.Join(dir, entry.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}
