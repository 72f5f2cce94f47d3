package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"spurtrestle/internal/scale/capacity"
	"spurtrestle/internal/scale/result"
)

const targetFile = "../../docs/scale/target.toml"

// writeSyntheticResults writes a result file in which the bytes per router grow linearly with the size.
func writeSyntheticResults(t *testing.T, name string) string {
	t.Helper()
	file := result.File{Format: result.Format, Build: "made", Cores: 1}
	for _, size := range []int{50, 100, 200, 400, 800} {
		for seed := range 3 {
			settled := 4 + float64(seed)
			file.Trials = append(file.Trials, result.Trial{Topology: result.Flat, Fault: result.NoFault, Seed: uint64(seed), Routers: size, Sites: size / 10,
				PerRouter: result.Usage{BytesIn: float64(size + seed)}, ConvergenceTime: &settled})
		}
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	writeFile(t, path, text)
	return path
}

func executeCommand(c *cobra.Command, args ...string) (string, error) {
	var out bytes.Buffer
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

func TestScaleSlopes_FitsLinearGrowth(t *testing.T) {
	runs := writeSyntheticResults(t, "flat.json")
	text, err := executeCommand((&cli{}).scaleSlopesCommand(), runs)
	if err != nil {
		t.Fatal(err)
	}
	line := ""
	for l := range strings.Lines(text) {
		if strings.HasPrefix(l, "flat/rest/bytes ") {
			line = strings.Join(strings.Fields(l)[:7], " ")
		}
	}
	if !strings.HasPrefix(line, "flat/rest/bytes 15 50 to 800 n ") {
		t.Errorf("got line %q in\n%s", line, text)
	}
	text, err = executeCommand((&cli{}).scaleSlopesCommand(), "--output", "json", runs)
	var series []struct {
		Figure string
		Choice struct {
			Form string
			Step struct{ Value float64 }
		}
	}
	if err != nil || json.Unmarshal([]byte(text), &series) != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	found := false
	for _, s := range series {
		if s.Figure == "bytes" {
			found = s.Choice.Form == "n" && math.Abs(s.Choice.Step.Value-1) < 0.01
		}
	}
	if !found {
		t.Errorf("no linear model with a slope of 1 byte per router in\n%s", text)
	}
}

func TestScaleCapacity_WritesAndChecksPage(t *testing.T) {
	runs, page := writeSyntheticResults(t, "flat.json"), filepath.Join(t.TempDir(), "page.md")
	if _, err := executeCommand((&cli{}).scaleCapacityCommand(), "--target", targetFile, "--measured", runs, "--write", page); err != nil {
		t.Fatal(err)
	}
	if _, err := executeCommand((&cli{}).scaleCapacityCommand(), "--target", targetFile, "--measured", runs, "--check", page); err != nil {
		t.Fatal(err)
	}
	_, err := executeCommand((&cli{}).scaleCapacityCommand(), "--target", targetFile, "--check", page)
	var stale capacity.StaleError
	if !errors.As(err, &stale) || stale.Page != page || !strings.Contains(err.Error(), "write it anew") {
		t.Errorf("page checked without its results: got error %v, want a StaleError", err)
	}
	entries, err := os.ReadDir(filepath.Dir(page))
	if err != nil || len(entries) != 1 {
		t.Errorf("got files %v and error %v, want only the page", entries, err)
	}
	text, err := executeCommand((&cli{}).scaleCapacityCommand(), "--target", targetFile, "--measured", runs, "--output", "json")
	var report map[string]any
	if err != nil || json.Unmarshal([]byte(text), &report) != nil || report["breaks"] == nil {
		t.Error(err)
	}
}

func TestScaleCapacity_RejectsInvalidInput(t *testing.T) {
	dir := t.TempDir()
	empty, page := filepath.Join(dir, "empty.toml"), filepath.Join(dir, "page.md")
	writeFile(t, empty, []byte("routers = 0\n"))
	broken := filepath.Join(dir, "broken.json")
	writeFile(t, broken, []byte("{"))
	runs := writeSyntheticResults(t, "flat.json")
	for _, c := range []struct {
		args  []string
		parts string
		code  int
	}{
		{[]string{"--write", page}, "--target", exitUsage},
		{[]string{"--target", targetFile, "--write", page, "--check", page}, "--check", exitUsage},
		{[]string{"--target", targetFile, runs}, "--measured", exitUsage},
		{[]string{"--target", targetFile, "--output", "xml"}, "--output", exitUsage},
		{[]string{"--target", empty, "--write", page}, "empty.toml: line 1: routers: is 0; give a number above 0", exitFailed},
		{[]string{"--target", filepath.Join(dir, "none"), "--write", page}, "none: the file", exitFailed},
		{[]string{"--target", targetFile, "--measured", broken, "--write", page}, "broken.json: the file", exitFailed},
		{[]string{"--target", targetFile, "--measured", runs, runs, "--write", page}, "name each file once", exitFailed},
		{[]string{"--target", targetFile, "--write", filepath.Join(dir, "none", "page.md")}, "page.md: the file", exitFailed},
		{[]string{"--target", targetFile, "--check", page}, "write it by --write", exitFailed},
	} {
		_, err := executeCommand((&cli{}).scaleCapacityCommand(), c.args...)
		if err == nil || !strings.Contains(err.Error(), c.parts) {
			t.Errorf("%v: got error %v, want one that contains %q", c.args, err, c.parts)
			continue
		}
		code := exitFailed
		var own exitError
		if errors.As(err, &own) {
			code = own.code
		}
		if code != c.code {
			t.Errorf("%v: got exit code %d, want %d", c.args, code, c.code)
		}
		if _, err := os.Stat(page); err == nil {
			t.Fatalf("%v: a page was written", c.args)
		}
	}
}

func TestScaleLeader_WritesReadableResults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "leader.json")
	c := (&cli{}).scaleLeaderCommand()
	c.SetContext(t.Context())
	if text, err := executeCommand(c, "--sizes", "5,10", "--seeds", "2", "--span", "1ms", "--write", file); err != nil {
		t.Fatal(text, err)
	}
	page, err := executeCommand((&cli{}).scaleCapacityCommand(), "--target", targetFile, "--leader", file)
	if err != nil || !strings.Contains(page, "not fitted") && !strings.Contains(page, "no trial of the leader") {
		t.Errorf("results of only two sizes: got error %v and a page that does not say that the leader was not fitted", err)
	}
	if _, err := executeCommand((&cli{}).scaleCapacityCommand(), "--target", targetFile, "--leader", targetFile); err == nil || !strings.Contains(err.Error(), "cache-routerctl scale leader") {
		t.Error(err)
	}
	if _, err := executeCommand((&cli{}).scaleLeaderCommand(), "--sizes", "0"); err == nil {
		t.Error("--sizes 0: got no error")
	}
}
