// Package tracetest runs scripted tests and compares their output with the expected output in the repository. Tests call it; its
// only state is the -update flag. In a trace file, the lines of the script are not indented; the expected output of each line
// follows it, indented.
package tracetest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the trace files with the actual output")

// Run runs each trace file of testdata as a subtest. play gets the content of the file and returns it with the actual output in
// place of the expected output. With -update, Run rewrites the file instead of comparing.
func Run(t *testing.T, play func(t *testing.T, script string) string) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no trace files found in testdata", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := play(t, string(want))
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != string(want) {
				t.Errorf("%s differs from the actual output; got:\n%s", file, got)
			}
		})
	}
}

// Steps runs a script line by line and returns it with the output of each line below it. It calls step for each line that is
// neither empty nor a comment; step writes its output with print. Expected output in the script is dropped.
func Steps(script string, step func(line string, print func(format string, args ...any))) string {
	var out strings.Builder
	writeOutput := func(format string, args ...any) {
		for line := range strings.Lines(fmt.Sprintf(format, args...)) {
			fmt.Fprintf(&out, "  %s\n", strings.TrimRight(line, " \n"))
		}
	}
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		out.WriteString(line)
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			step(line, writeOutput)
		}
	}
	return out.String()
}
