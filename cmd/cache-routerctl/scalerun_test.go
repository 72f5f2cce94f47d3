package main

import (
	"os"
	"path/filepath"
	"testing"

	"spurtrestle/internal/scale/result"
)

// With --append, the file gets the build of the new trials. Earlier trials must keep the build that they were measured with.
func TestReadResult_KeepsBuildOfEarlierTrials(t *testing.T) {
	name := filepath.Join(t.TempDir(), "old.json")
	earlier := result.File{Format: result.Format, Build: "first", Trials: []result.Trial{{Routers: 1}, {Routers: 2, Build: "earlier"}}}
	if err := writeResult(name, earlier); err != nil {
		t.Fatal(err)
	}
	file, err := readResult(name)
	if err != nil || len(file.Trials) != 2 || file.Trials[0].Build != "first" || file.Trials[1].Build != "earlier" {
		t.Errorf("got %+v and error %v", file.Trials, err)
	}
	if file, err := readResult(filepath.Join(t.TempDir(), "none.json")); err != nil || len(file.Trials) != 0 {
		t.Errorf("got %+v and error %v", file, err)
	}
	if err := os.WriteFile(name, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := readResult(name); err == nil {
		t.Error("a truncated file was read without an error")
	}
}
