package faults

import (
	"fmt"
	"testing"

	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/tracetest"
)

// A script is the faults of a scenario, each line `kind at for part batch`; below stands what comes of it.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		s, err := scenario.Parse([]byte(scenario.Example))
		if err != nil {
			t.Fatal(err)
		}
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			var f scenario.Fault
			at, lasts := 0, 0
			if _, err := fmt.Sscanf(line, "%s %d %d %g %g", &f.Kind, &at, &lasts, &f.TargetShare, &f.BatchShare); err != nil {
				t.Fatal(line, err)
			}
			f.At, f.Duration = scenario.Span(at*1e6), scenario.Span(lasts*1e6)
			s.Faults = []scenario.Fault{f}
			acts := Timeline(s, 7)
			for i, a := range acts {
				say("%v", a)
				if i > 0 && acts[i-1].At > a.At {
					t.Error("out of order")
				}
			}
		})
	})
}
