package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurtrestle/internal/tracetest"
)

// Each trace line is a command line; its expected output and exit code follow. $DIR is a temporary directory.
func TestCommands_MatchTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		dir := t.TempDir()
		for name, from := range map[string]string{"v1.state": "v1.state", "n1/state.7": "v1.state", "n2/state.1": "v2.state"} {
			text, err := os.ReadFile(filepath.Join("../../internal/snapshot/testdata", from))
			if err != nil {
				t.Fatal(err)
			}
			writeFile(t, filepath.Join(dir, name), text)
		}
		whole, err := os.ReadFile("../../internal/snapshot/testdata/v2.state")
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, filepath.Join(dir, "cut.state"), whole[:len(whole)/2])
		writeFile(t, filepath.Join(dir, "bad.toml"), []byte("title = \"x\"\nlength = \"now\"\n"))
		writeFile(t, filepath.Join(dir, "good.policy"), []byte("schema = 1\nout = [\"s1\"]\n"))
		writeFile(t, filepath.Join(dir, "bad.policy"), []byte("schema = 1\ncolour = 2\n"))
		writeFile(t, filepath.Join(dir, "odd.toml"), []byte("titel = \"x\"\n"))
		writeFile(t, filepath.Join(dir, "empty.toml"), []byte("title = \"x\"\nsizes = []\n"))
		writeFile(t, filepath.Join(dir, "scale.toml"), []byte("title = \"x\"\nsizes = [2]\n"))
		writeFile(t, filepath.Join(dir, "result.json"), []byte("{\"format\": 9}\n"))
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			text, code := runCommand(strings.Fields(strings.ReplaceAll(line, "$DIR", dir)))
			say("%s", strings.ReplaceAll(text, dir, "$DIR"))
			say("exit %d", code)
		})
	})
}

func writeFile(t *testing.T, file string, text []byte) {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

func runCommand(args []string) (string, int) {
	var out bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	if err == nil {
		return out.String(), 0
	}
	fmt.Fprintln(&out, "cache-routerctl:", err)
	var with exitError
	if errors.As(err, &with) {
		return out.String(), with.code
	}
	return out.String(), exitFailed
}

// Every command must have a short description and an example.
func TestCommands_HaveHelpAndExample(t *testing.T) {
	var walk func(string)
	walk = func(path string) {
		c, _, err := rootCommand().Find(strings.Fields(path))
		if err != nil {
			t.Fatal(err)
		}
		if c.Short == "" || c.Example == "" {
			t.Errorf("cache-routerctl%s has no short description or no example", path)
		}
		for _, sub := range c.Commands() {
			if sub.Name() != "help" && sub.Name() != "completion" {
				walk(path + " " + sub.Name())
			}
		}
	}
	walk("")
}
