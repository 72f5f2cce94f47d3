package main

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the traces anew")

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
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces found", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			t.Parallel()
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := newPlayer(t)
			got := p.play(string(want))
			if strings.Contains(p.log.text(), "DATA RACE") || strings.Contains(p.log.text(), "panic") {
				t.Error(p.log.text())
			}
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != string(want) {
				t.Errorf("the trace differs; got:\n%s\nlog:\n%s", got, p.log.text())
			}
		})
	}
}
