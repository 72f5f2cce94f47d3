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

const ourFleet = "../../docs/scale/target.toml"

// madeRuns writes a file of made-up results, a line through all sizes.
func madeRuns(t *testing.T, name string) string {
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
	write(t, path, text)
	return path
}

func execute(c *cobra.Command, args ...string) (string, error) {
	var out bytes.Buffer
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

func TestScaleSlopes(t *testing.T) {
	runs := madeRuns(t, "flat.json")
	text, err := execute((&app{}).scaleSlopes(), runs)
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
		t.Errorf("%q in\n%s", line, text)
	}
	text, err = execute((&app{}).scaleSlopes(), "--output", "json", runs)
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
		t.Errorf("no slope of 1 byte a router in\n%s", text)
	}
}

func TestScaleCapacityWritesAndChecks(t *testing.T) {
	runs, page := madeRuns(t, "flat.json"), filepath.Join(t.TempDir(), "page.md")
	if _, err := execute((&app{}).scaleCapacity(), "--target", ourFleet, "--measured", runs, "--write", page); err != nil {
		t.Fatal(err)
	}
	if _, err := execute((&app{}).scaleCapacity(), "--target", ourFleet, "--measured", runs, "--check", page); err != nil {
		t.Fatal(err)
	}
	_, err := execute((&app{}).scaleCapacity(), "--target", ourFleet, "--check", page)
	var stale capacity.StaleError
	if !errors.As(err, &stale) || stale.Page != page || !strings.Contains(err.Error(), "write it anew") {
		t.Error("without its runs it is not the same page:", err)
	}
	beside, err := os.ReadDir(filepath.Dir(page))
	if err != nil || len(beside) != 1 {
		t.Error(err, beside)
	}
	text, err := execute((&app{}).scaleCapacity(), "--target", ourFleet, "--measured", runs, "--output", "json")
	var report map[string]any
	if err != nil || json.Unmarshal([]byte(text), &report) != nil || report["breaks"] == nil {
		t.Error(err)
	}
}

func TestScaleCapacityRefuses(t *testing.T) {
	dir := t.TempDir()
	empty, page := filepath.Join(dir, "empty.toml"), filepath.Join(dir, "page.md")
	write(t, empty, []byte("routers = 0\n"))
	broken := filepath.Join(dir, "broken.json")
	write(t, broken, []byte("{"))
	runs := madeRuns(t, "flat.json")
	for _, c := range []struct {
		args  []string
		parts string
		code  int
	}{
		{[]string{"--write", page}, "--target", exitUsage},
		{[]string{"--target", ourFleet, "--write", page, "--check", page}, "--check", exitUsage},
		{[]string{"--target", ourFleet, runs}, "--measured", exitUsage},
		{[]string{"--target", ourFleet, "--output", "xml"}, "--output", exitUsage},
		{[]string{"--target", empty, "--write", page}, "empty.toml: line 1: routers: is 0; give a number above 0", exitFailed},
		{[]string{"--target", filepath.Join(dir, "none"), "--write", page}, "none: the file", exitFailed},
		{[]string{"--target", ourFleet, "--measured", broken, "--write", page}, "broken.json: the file", exitFailed},
		{[]string{"--target", ourFleet, "--measured", runs, runs, "--write", page}, "name each file once", exitFailed},
		{[]string{"--target", ourFleet, "--write", filepath.Join(dir, "none", "page.md")}, "page.md: the file", exitFailed},
		{[]string{"--target", ourFleet, "--check", page}, "write it by --write", exitFailed},
	} {
		_, err := execute((&app{}).scaleCapacity(), c.args...)
		if err == nil || !strings.Contains(err.Error(), c.parts) {
			t.Errorf("%v: %v", c.args, err)
			continue
		}
		code := exitFailed
		var own coded
		if errors.As(err, &own) {
			code = own.code
		}
		if code != c.code {
			t.Errorf("%v: exit %d, want %d", c.args, code, c.code)
		}
		if _, err := os.Stat(page); err == nil {
			t.Fatalf("%v: a page is there", c.args)
		}
	}
}

func TestScaleLeader(t *testing.T) {
	file := filepath.Join(t.TempDir(), "leader.json")
	c := (&app{}).scaleLeader()
	c.SetContext(t.Context())
	if text, err := execute(c, "--sizes", "5,10", "--seeds", "2", "--span", "1ms", "--write", file); err != nil {
		t.Fatal(text, err)
	}
	page, err := execute((&app{}).scaleCapacity(), "--target", ourFleet, "--leader", file)
	if err != nil || !strings.Contains(page, "not fitted") && !strings.Contains(page, "no trial of the leader") {
		t.Error("two sizes tell no slope:", err)
	}
	if _, err := execute((&app{}).scaleCapacity(), "--target", ourFleet, "--leader", ourFleet); err == nil || !strings.Contains(err.Error(), "cache-routerctl scale leader") {
		t.Error(err)
	}
	if _, err := execute((&app{}).scaleLeader(), "--sizes", "0"); err == nil {
		t.Error("a roster of nobody")
	}
}
