package faults

import (
	"fmt"
	"testing"

	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/tracetest"
)

// Each line of a script is one fault, `kind at for part batch`, with times in ms; the lines below it are its expected timeline.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		s, err := scenario.Parse([]byte(scenario.Example))
		if err != nil {
			t.Fatal(err)
		}
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			var f scenario.Fault
			at, duration := 0, 0
			if _, err := fmt.Sscanf(line, "%s %d %d %g %g", &f.Kind, &at, &duration, &f.TargetShare, &f.BatchShare); err != nil {
				t.Fatalf("invalid fault %q: %v", line, err)
			}
			f.At, f.Duration = scenario.Span(at*1e6), scenario.Span(duration*1e6)
			s.Faults = []scenario.Fault{f}
			actions := Timeline(s, 7)
			for i, a := range actions {
				say("%v", a)
				if i > 0 && actions[i-1].At > a.At {
					t.Errorf("action %d is at %v, before action %d at %v", i, a.At, i-1, actions[i-1].At)
				}
			}
		})
	})
}
