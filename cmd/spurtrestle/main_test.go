package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"spurtrestle/internal/tracetest"
)

// The program under test is the test binary itself.
func TestMain(m *testing.M) {
	if os.Getenv("SPURTRESTLE_TEST") == "run" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestBadConfigurationEndsTheProgram(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(`{"listen":"nowhere"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+file)
	out, err := program.CombinedOutput()
	const want = "spurtrestle: listen: \"nowhere\" is no address and port\n"
	if program.ProcessState.ExitCode() != 1 || string(out) != want {
		t.Errorf("%v: %s", err, out)
	}
}

// TestOverSockets plays each script of testdata against the program.
func TestOverSockets(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		t.Parallel()
		p := newPlayer(t)
		got := p.play(script)
		if log := p.log.text(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			t.Error(log)
		}
		return got
	})
}
