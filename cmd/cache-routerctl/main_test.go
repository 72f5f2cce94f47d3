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

// A script is command lines; below each stands what it prints and its exit code. $DIR is a folder of the test's own.
func TestCommands(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		dir := t.TempDir()
		for name, from := range map[string]string{"v1.state": "v1.state", "n1/state.7": "v1.state", "n2/state.1": "v2.state"} {
			text, err := os.ReadFile(filepath.Join("../../internal/snapshot/testdata", from))
			if err != nil {
				t.Fatal(err)
			}
			write(t, filepath.Join(dir, name), text)
		}
		whole, err := os.ReadFile("../../internal/snapshot/testdata/v2.state")
		if err != nil {
			t.Fatal(err)
		}
		write(t, filepath.Join(dir, "cut.state"), whole[:len(whole)/2])
		write(t, filepath.Join(dir, "bad.toml"), []byte("title = \"x\"\nlength = \"now\"\n"))
		write(t, filepath.Join(dir, "good.policy"), []byte("schema = 1\nout = [\"s1\"]\n"))
		write(t, filepath.Join(dir, "bad.policy"), []byte("schema = 1\ncolour = 2\n"))
		write(t, filepath.Join(dir, "odd.toml"), []byte("titel = \"x\"\n"))
		write(t, filepath.Join(dir, "empty.toml"), []byte("title = \"x\"\nsizes = []\n"))
		write(t, filepath.Join(dir, "scale.toml"), []byte("title = \"x\"\nsizes = [2]\n"))
		write(t, filepath.Join(dir, "result.json"), []byte("{\"format\": 9}\n"))
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			text, code := run(strings.Fields(strings.ReplaceAll(line, "$DIR", dir)))
			say("%s", strings.ReplaceAll(text, dir, "$DIR"))
			say("exit %d", code)
		})
	})
}

func write(t *testing.T, file string, text []byte) {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

func run(args []string) (string, int) {
	var out bytes.Buffer
	c := command()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	if err == nil {
		return out.String(), 0
	}
	fmt.Fprintln(&out, "cache-routerctl:", err)
	var with coded
	if errors.As(err, &with) {
		return out.String(), with.code
	}
	return out.String(), exitFailed
}

// Every command tells what it is for and has an example.
func TestEveryCommandHasAnExample(t *testing.T) {
	var walk func(string)
	walk = func(path string) {
		c, _, err := command().Find(strings.Fields(path))
		if err != nil {
			t.Fatal(err)
		}
		if c.Short == "" || c.Example == "" {
			t.Errorf("cache-routerctl%s has no short text or no example", path)
		}
		for _, sub := range c.Commands() {
			if sub.Name() != "help" && sub.Name() != "completion" {
				walk(path + " " + sub.Name())
			}
		}
	}
	walk("")
}
