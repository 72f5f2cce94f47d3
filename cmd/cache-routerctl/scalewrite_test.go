package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Output replaces only regular files, never a device or a directory of the same name.
func TestWriteFileAtomically_ReplacesRegularFilesOnly(t *testing.T) {
	dir := t.TempDir()
	directory := filepath.Join(dir, "folder")
	if err := os.Mkdir(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	device := filepath.Join(dir, "null")
	if err := os.Symlink(os.DevNull, device); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{directory, device} {
		if err := writeFileAtomically(name, "text"); err == nil || !strings.Contains(err.Error(), "is no regular file") {
			t.Errorf("%s: got error %v, want one that names it as no regular file", name, err)
		}
	}
	if err := writeFileAtomically(filepath.Join(dir, "page.md"), "text"); err != nil {
		t.Error(err)
	}
}
