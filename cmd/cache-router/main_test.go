package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"spurtrestle/internal/tracetest"
)

// TestMain runs the program itself if SPURTRESTLE_TEST says so: the program under test is this test binary.
func TestMain(m *testing.M) {
	if os.Getenv("SPURTRESTLE_TEST") == "run" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestInvalidConfigurationIsFatal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(`{"listen":"nowhere"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+file)
	out, err := program.CombinedOutput()
	want := "cache-router: " + file + ": listen: \"nowhere\" is no address and port; write it as \"127.0.0.1:6379\"\n"
	if program.ProcessState.ExitCode() != 1 || string(out) != want {
		t.Errorf("%v: %s", err, out)
	}
}

func TestCommandLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	const good = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"memory_mb":64,"sockets":256},` +
		`"settings":{"balancers":1,"discovery":"pushed","domain":{"mode":"through"},"policy-limits":{"send-cap":1},"rules":{},` +
		`"request-classes":[{"name":"get","effect":"free","deadline-s":1}]}}`
	if err := os.WriteFile(file, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	grpc := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(grpc, []byte("[grpc]\nlisten = \"127.0.0.1:7443\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   string
		code   int
		output string
	}{
		{"--help", 0, "cache-router check"},
		{"check --config " + file, 0, "good; n1 listens on 127.0.0.1:1, 1 methods"},
		{"check --config /nowhere", 1, "no such file"},
		{"check", 1, "EDGE_CONFIG is not set"},
		{"check --file ../../deploy/spurtrestle.toml", 0, "good; no state is kept"},
		{"check --file " + file, 1, "line 1"},
		{"check --file " + grpc, 1, "grpc.listen: this program has no gRPC; start cache-router-grpc in its place"},
		{"--file /nowhere", 1, "EDGE_CONFIG is not set"},
		{"version", 0, "cache-router "},
		{"serve", 2, `"serve" is no command`},
		{"check more", 2, `"more" is one word too many`},
		{"--log-format xml", 2, `--log-format: "xml" is neither text nor json`},
		{"--log-level loud", 2, `--log-level: "loud" is none of`},
	} {
		program := exec.Command(os.Args[0], strings.Fields(c.args)...)
		program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG=")
		out, _ := program.CombinedOutput() // the exit code is checked instead
		if program.ProcessState.ExitCode() != c.code || !strings.Contains(string(out), c.output) {
			t.Errorf("%s: exit code %d, want %d with %q; output: %s", c.args, program.ProcessState.ExitCode(), c.code, c.output, out)
		}
	}
}

// An admin address that is in use, or equals the clients' address, ends the start with an error that names the field. The
// program must not listen for clients then.
func TestUnusableAdminAddressIsFatal(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1"})
	taken := strings.Replace(h.listen, "127.77.", "127.78.", 1)
	for admin, message := range map[string]string{h.admin: "admin: listen tcp " + h.admin + ": bind: address already in use; give", taken: "is listen too"} {
		program := exec.Command(os.Args[0])
		program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+h.configFile, "EDGE_LISTEN="+taken, "EDGE_ADMIN="+admin, "TMPDIR="+t.TempDir())
		out, _ := program.CombinedOutput() // the exit code is checked instead
		if program.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), message) {
			t.Errorf("admin address %s: exit code %d, output: %s", admin, program.ProcessState.ExitCode(), out)
		}
		if c, err := net.Dial("tcp", taken); err == nil {
			c.Close()
			t.Error("the program listens for clients")
		}
	}
}

// TestScripts runs each script of testdata against the program, over sockets.
func TestScripts(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		t.Parallel()
		h := newHarness(t)
		got := h.runScript(script)
		if log := h.log.text(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			t.Error(log)
		}
		return got
	})
}
