// Package goldentest compares bytes that go over the wire, to disk or to operators with files in the repository. Tests call it;
// it has no state but its flag.
package goldentest

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update writes the files in place of comparing them. A file that was written by an earlier release stays as it is: routers of
// that release read and write these bytes.
var update = flag.Bool("update-golden", false, "write the golden files")

// dir is the folder of the files, in the folder of the test's package.
const dir = "testdata/golden"

// Compare fails the test if got differs from the content of the named file.
func Compare(t *testing.T, file string, got []byte) {
	t.Helper()
	name := filepath.Join(dir, file)
	if *update {
		if err := os.WriteFile(name, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}
