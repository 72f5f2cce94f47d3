package faults

import (
	"fmt"
	"strings"
	"testing"

	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/tracetest"
)

// A script is the faults of a scenario, each line `kind at for part batch`; below stands what comes of it.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		s, err := scenario.Parse([]byte(scenario.Commented))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		for line := range strings.Lines(script) {
			if strings.HasPrefix(line, "  ") {
				continue
			}
			out.WriteString(line)
			if strings.TrimSpace(line) == "" || line[0] == '#' {
				continue
			}
			var f scenario.Fault
			at, lasts := 0, 0
			if _, err := fmt.Sscanf(line, "%s %d %d %g %g", &f.Kind, &at, &lasts, &f.Part, &f.Batch); err != nil {
				t.Fatal(line, err)
			}
			f.At, f.For = scenario.Span(at*1e6), scenario.Span(lasts*1e6)
			s.Faults = []scenario.Fault{f}
			acts := Timeline(s, 7)
			for i, a := range acts {
				fmt.Fprintf(&out, "  %v\n", a)
				if i > 0 && acts[i-1].At > a.At {
					t.Error("out of order")
				}
			}
		}
		return out.String()
	})
}
