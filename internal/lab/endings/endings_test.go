// Package endings_test runs the shutdown soak scenario with fixed seeds: routers are shut down, replaced and signaled in
// series, while clients use their connections until the routers are killed at the earliest time allowed.
package endings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/lab/testprogram"
)

const soakFile = "../../../lab/scenarios/soak.toml"

// maxConcurrentRuns bounds the runs that share the machine, since their results depend on timing.
const maxConcurrentRuns = 2

func TestRulesHoldThroughShutdowns(t *testing.T) {
	programs := map[string]string{scenario.RESP2: "cache-router", scenario.Mixed: "cache-router-grpc"}
	for protocol, name := range programs {
		program, err := testprogram.Build(t.TempDir(), name)
		if err != nil {
			t.Fatal(err)
		}
		programs[protocol] = program
	}
	slots := make(chan struct{}, maxConcurrentRuns)
	for _, run := range []struct {
		protocol string
		seed     uint64
	}{
		{scenario.RESP2, 1}, {scenario.Mixed, 2}, {scenario.RESP2, 3}, {scenario.Mixed, 4}, {scenario.RESP2, 5}, {scenario.Mixed, 6},
	} {
		t.Run(fmt.Sprintf("%s, seed %d", run.protocol, run.seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := scenario.Read(soakFile)
			if err != nil {
				t.Fatal(err)
			}
			s.Clients.Protocol = run.protocol
			runSeed(t, s, programs[run.protocol], run.seed)
		})
	}
}

// runSeed runs one seed and reports violations of the rules.
func runSeed(t *testing.T, s scenario.Scenario, program string, seed uint64) {
	t.Helper()
	dir := t.TempDir()
	result, err := fleet.Run(t.Context(), s, fleet.Options{Seed: seed, Start: fleet.ProgramStarter(program), Dir: dir})
	if err != nil {
		t.Error(err)
	}
	const shown = 5
	for _, violation := range result.Violations[:min(shown, len(result.Violations))] {
		t.Errorf("%v\n%s", violation, strings.Join(violation.Evidence, "\n"))
	}
	answered := 0
	for _, e := range result.Events {
		if e.Kind == event.Answered {
			answered++
		}
	}
	if err == nil && answered < len(result.Arrivals)/2 { // a router without requests would satisfy the rules
		t.Errorf("%d answers to %d requests", answered, len(result.Arrivals))
	}
	if t.Failed() {
		logTails(t, dir)
	}
}

// logTails logs the end of each router's log.
func logTails(t *testing.T, dir string) {
	t.Helper()
	const longest = 4000
	files, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is valid
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil {
			t.Logf("%s:\n%s", filepath.Base(file), text[max(0, len(text)-longest):])
		}
	}
}
