// Package tracetest compares what scripts lead to with what is kept in the repository. A script's own lines stand at
// the margin; below each, indented, stands what it led to.
package tracetest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the traces anew")

// Run plays each script of testdata. play gets a script with what is kept of its outcome, and returns it with what it
// leads to now.
func Run(t *testing.T, play func(t *testing.T, script string) string) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces found", err)
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
				t.Errorf("the trace differs; got:\n%s", got)
			}
		})
	}
}

// Steps walks a script. step gets each line that is neither empty nor a comment, and says below it what it led to.
func Steps(script string, step func(line string, say func(format string, args ...any))) string {
	var out strings.Builder
	say := func(format string, args ...any) {
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
			step(line, say)
		}
	}
	return out.String()
}
