package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/lab/testprogram"
	"spurtrestle/internal/scale/result"
)

func options() Options {
	return Options{Program: []string{os.Args[0], workerArgument}, Machine: Machine{Memory: 8 << 30, Files: 10000},
		Progress: func(string) {}, Finished: func(result.File) error { return nil }}
}

func small(topology result.Topology, fault result.Fault, size int) Scenario {
	s := Default()
	s.Title, s.Topology, s.Faults, s.Sizes = "test", topology, []result.Fault{fault}, []int{size}
	s.RoutersPerSite, s.SitesPerRegion, s.Processes = 2, 2, 2
	s.Probe, s.Calm, s.Measure = Span(200*time.Millisecond), 0, Span(2*time.Second)
	s.KillEvery, s.BackAfter = Span(500*time.Millisecond), Span(time.Second)
	return s
}

func TestRun(t *testing.T) {
	for _, s := range []Scenario{
		small(result.Flat, result.NoFault, 5),
		small(result.Flat, result.RegionPartition, 8),
		small(result.Flat, result.RestartsTenfold, 4),
		small(result.Tiered, result.PacketLoss, 8),
		small(result.Tiered, result.RepresentativeKilled, 8),
	} {
		t.Run(fmt.Sprintf("%s_%s", s.Topology, s.Faults[0]), func(t *testing.T) {
			t.Parallel()
			file, err := Run(t.Context(), s, options())
			if err != nil || len(file.Trials) != 1 {
				t.Fatal(file, err)
			}
			got := file.Trials[0]
			if got.ConvergenceTime == nil || got.ConvergenceKnownTime == nil || got.PropagationTime == nil {
				t.Errorf("views did not settle, or a change did not spread everywhere: %+v", got)
			}
			if got.PerRouter.BytesIn == 0 || got.PerRouter.MessagesOut == 0 || len(got.Mechanisms) == 0 || got.Window < 2 {
				t.Errorf("no traffic was counted: %+v", got)
			}
			if restarted := got.Fault == result.RestartsTenfold || got.Fault == result.RepresentativeKilled; restarted != (got.RouterKills > 0) {
				t.Errorf("%d routers were stopped", got.RouterKills)
			}
		})
	}
}

// Processes of the router program are members like the hollow routers and report their traffic.
func TestRun_RealRoutersJoinTheFleet(t *testing.T) {
	program, err := testprogram.Fleet()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []Scenario{small(result.Flat, result.NoFault, 4), small(result.Tiered, result.RestartsTenfold, 8)} {
		t.Run(string(s.Topology), func(t *testing.T) {
			s.Real = 2
			o := options()
			o.Router = program
			file, err := Run(t.Context(), s, o)
			if err != nil || len(file.Trials) != 1 {
				t.Fatal(file, err)
			}
			got := file.Trials[0]
			if got.ConvergenceKnownTime == nil || got.PropagationTime == nil {
				t.Errorf("views did not settle, or a change did not spread everywhere: %+v", got)
			}
			if got.Real == nil || got.Real.Routers != 2 {
				t.Fatalf("no result for real routers: %+v", got)
			}
			if p, alone := got.Real.PerRouter, got.Real.WithoutFleet; p.BytesIn == 0 || p.BytesOut == 0 || p.Memory == 0 || alone.BytesOut != 0 || alone.Memory == 0 {
				t.Errorf("%+v", *got.Real)
			}
		})
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("processes still running: %v", left)
	}
}

// A router program that exits at once makes the trial incomplete, and leaves no process running.
func TestRun_ReportsRealRouterThatExits(t *testing.T) {
	s := small(result.Flat, result.NoFault, 3)
	s.Real = 1
	o := options()
	o.Router = "/bin/false"
	file, _ := Run(t.Context(), s, o)
	if len(file.Trials) != 1 || !strings.Contains(file.Trials[0].Incomplete, "the real router 1 ended at its start") {
		t.Errorf("%+v", file.Trials)
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("processes still running: %v", left)
	}
}

// The bytes that routers send must match the bytes that routers receive.
func TestRun_SentMatchesReceived(t *testing.T) {
	file, err := Run(t.Context(), small(result.Flat, result.NoFault, 4), options())
	if err != nil {
		t.Fatal(err)
	}
	u := file.Trials[0].PerRouter
	if u.BytesIn < 0.8*u.BytesOut || u.BytesOut < 0.8*u.BytesIn {
		t.Errorf("%.0f B/s sent, %.0f received", u.BytesOut, u.BytesIn)
	}
}

// An interrupted run returns the finished trials and leaves no worker running.
func TestRun_KeepsFinishedTrialsWhenInterrupted(t *testing.T) {
	s := small(result.Flat, result.NoFault, 2)
	s.Sizes = []int{2, 4}
	s.Measure = Span(time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := options()
	o.Finished = func(result.File) error { cancel(); return nil }
	file, err := Run(ctx, s, o)
	if !errors.Is(err, context.Canceled) || len(file.Trials) != 1 {
		t.Fatalf("%d trials, %v", len(file.Trials), err)
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("workers still running: %v", left)
	}
}

// A worker that exits makes its trial incomplete; the other workers are stopped.
func TestRun_WorkerExitLeavesNothingRunning(t *testing.T) {
	o := options()
	o.Program = []string{"/bin/true"}
	if _, err := Run(t.Context(), small(result.Flat, result.NoFault, 2), o); err != nil {
		t.Fatal(err) // the failure belongs to the trial
	}
	file, _ := Run(t.Context(), small(result.Flat, result.NoFault, 2), o)
	if len(file.Trials) != 1 || !strings.Contains(file.Trials[0].Incomplete, "a worker has ended") {
		t.Errorf("%+v", file.Trials)
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("workers still running: %v", left)
	}
}

// children returns the running child processes of this one.
func children(t *testing.T) (left []string) {
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range stats {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // it has just exited
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if len(fields) > 1 && fields[1] == fmt.Sprint(os.Getpid()) {
			left = append(left, string(text))
		}
	}
	slices.Sort(left)
	return left
}
