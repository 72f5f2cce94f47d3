// Package testprogram builds the programs that tests start.
package testprogram

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Fleet builds cache-router-fleet, once for all tests of a package, and returns its path. It stays in a folder for temporary
// files, since the tests of a package end at no common point.
var Fleet = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "cache-router-fleet")
	if err != nil {
		return "", err
	}
	return Build(dir, "cache-router-fleet")
})

// Build builds the program of cmd/name in a folder, and returns its path.
func Build(dir, name string) (string, error) {
	program := filepath.Join(dir, name)
	if out, err := exec.Command("go", "build", "-o", program, "spurtrestle/cmd/"+name).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w: %s", name, err, out)
	}
	return program, nil
}
