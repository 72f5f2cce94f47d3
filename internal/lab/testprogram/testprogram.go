// Package testprogram builds the repository's programs for tests that start them as processes.
package testprogram

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Fleet builds cache-router-fleet once per test binary and returns its path. The binary is left in the directory for
// temporary files, because the tests of a package have no common cleanup.
var Fleet = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "cache-router-fleet")
	if err != nil {
		return "", err
	}
	return Build(dir, "cache-router-fleet")
})

// Build builds cmd/name into dir and returns the path of the binary.
func Build(dir, name string) (string, error) {
	program := filepath.Join(dir, name)
	if out, err := exec.Command("go", "build", "-o", program, "spurtrestle/cmd/"+name).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w: %s", name, err, out)
	}
	return program, nil
}
