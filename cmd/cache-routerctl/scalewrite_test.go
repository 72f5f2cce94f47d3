package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A result takes the place of a file alone, never of a device or a folder that has the name.
func TestResultReplacesFilesAlone(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "folder")
	if err := os.Mkdir(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	device := filepath.Join(dir, "null")
	if err := os.Symlink(os.DevNull, device); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{folder, device} {
		if err := writeWhole(name, "text"); err == nil || !strings.Contains(err.Error(), "is no regular file") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := writeWhole(filepath.Join(dir, "page.md"), "text"); err != nil {
		t.Error(err)
	}
}
