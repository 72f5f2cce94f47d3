package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/rig"
	"spurtrestle/internal/lab/viewref"
)

// viewsOptions holds the flags of lab views.
type viewsOptions struct {
	router, out, output             string
	routers, rounds, acts, parallel int
	seed                            uint64
	probe, calm                     time.Duration
	drop                            float64
	measure                         bool
}

// labViewsCommand returns the command that tests membership views under faults, without load.
func (a *cli) labViewsCommand() *cobra.Command {
	var o viewsOptions
	c := &cobra.Command{Use: "views", Short: "Play random faults between many routers, and judge what they show of one another",
		Long: "Each round starts routers, has faults strike at random (crashes, restarts, stalls, cuts, one-way cuts, lost packets),\n" +
			"puts all in order and judges every view that was shown. With --measure one fleet goes through each event once.\n" +
			"Exit codes: 0 all kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken.",
		Example: "  cache-routerctl lab views --rounds 100 --routers 12\n  cache-routerctl lab views --measure --routers 60 --drop 0.05", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return a.testViews(c, o) }}
	f := c.Flags()
	f.StringVar(&o.router, "router", "", "program of the router (default: cache-router-fleet beside this program)")
	f.StringVar(&o.out, "out", "lab-views", "folder for the files of what went wrong")
	f.IntVar(&o.routers, "routers", 12, "of each fleet")
	f.IntVar(&o.rounds, "rounds", 1, "with seeds that follow each other")
	f.IntVar(&o.acts, "acts", 6, "faults of a round")
	f.IntVar(&o.parallel, "parallel", max(1, runtime.NumCPU()/2), "rounds at a time")
	f.Uint64Var(&o.seed, "seed", 1, "of the first round")
	f.DurationVar(&o.probe, "probe", 200*time.Millisecond, "between two probes of a router")
	f.BoolVar(&o.measure, "measure", false, "play each event once, and measure a calm while")
	f.Float64Var(&o.drop, "drop", 0, "share of packets lost while measuring")
	f.DurationVar(&o.calm, "calm", 10*time.Second, "length of the calm while")
	addOutputFlag(c, &o.output)
	return c
}

// check reports options that are out of range.
func (o viewsOptions) check() error {
	switch {
	case o.routers < 2 || o.routers > 100:
		return usageErrorf("--routers: %d is not from 2 to 100", o.routers)
	case o.rounds < 1 || o.acts < 1 || o.parallel < 1:
		return usageErrorf("--rounds, --acts and --parallel are 1 at least")
	case o.drop < 0 || o.drop >= 1:
		return usageErrorf("--drop: %v is no share below one", o.drop)
	case o.probe < 100*time.Millisecond || o.probe > 10*time.Second:
		return usageErrorf("--probe: %v is not from 100ms to 10s", o.probe)
	}
	return nil
}

func (a *cli) testViews(c *cobra.Command, o viewsOptions) error {
	if err := o.check(); err != nil {
		return err
	}
	program, err := routerBinary(o.router, "cache-router-fleet")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	if o.out, err = filepath.Abs(o.out); err != nil {
		return err
	}
	all, err := a.runViewRounds(c.Context(), program, o)
	if err != nil {
		return err
	}
	if o.output == "json" {
		err = writeJSON(c.OutOrStdout(), all)
	} else {
		err = printViews(c.OutOrStdout(), all)
	}
	for _, x := range all {
		if len(x.Broken) > 0 && err == nil {
			err = exitError{exitRuleViolated, fmt.Errorf("seed %d: %v; its files are in %s", x.Seed, x.Broken[0], o.out)}
		}
	}
	return err
}

func (a *cli) runViewRounds(ctx context.Context, program string, o viewsOptions) (all []rig.Outcome, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, o.parallel)
	for n := range o.rounds {
		semaphore <- struct{}{}
		mu.Lock()
		stop := err != nil || ctx.Err() != nil
		mu.Unlock()
		if stop {
			break
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			ro := rig.Options{Program: program, Dir: o.out, Routers: o.routers, Sites: []string{"north", "south", "east"}, Seed: o.seed + uint64(n),
				Probe: o.probe, PollInterval: max(100*time.Millisecond, time.Duration(o.routers)*15*time.Millisecond)}
			var out rig.Outcome
			var roundErr error
			if o.measure {
				out, roundErr = rig.Measure(ro, o.drop, o.calm)
			} else {
				out, roundErr = rig.Round(ro, o.acts)
			}
			mu.Lock()
			defer mu.Unlock()
			if roundErr != nil && err == nil {
				err = fmt.Errorf("seed %d: %w", ro.Seed, roundErr)
			}
			all = append(all, out)
			a.log.Infof("seed %d: %d broken, %d false losses", out.Seed, len(out.Broken), out.False)
		})
	}
	wg.Wait()
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("stopped before its end: %w", ctx.Err())
	}
	slices.SortFunc(all, func(x, y rig.Outcome) int { return cmp.Compare(x.Seed, y.Seed) })
	return all, err
}

func printViews(out io.Writer, all []rig.Outcome) error {
	settleTimes, unsettled := map[string][]time.Duration{}, map[string]int{}
	broken, losses, hours := 0, 0, 0.0
	for _, x := range all {
		for _, e := range x.Events {
			if e.Settled < 0 {
				unsettled[e.What]++
			} else {
				settleTimes[e.What] = append(settleTimes[e.What], e.Settled)
			}
		}
		broken, losses, hours = broken+len(x.Broken), losses+x.False, hours+x.Hours
		for _, b := range x.Broken {
			fmt.Fprintf(out, "seed %d: %v\n", x.Seed, b)
		}
	}
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "event\ttimes\tsettled after, p50\tp99\tworst\tnot before the next")
	var names []string
	for name := range settleTimes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		x := settleTimes[name]
		quantile := func(at float64) time.Duration { return viewref.Quantile(x, at).Round(10 * time.Millisecond) }
		fmt.Fprintf(t, "%s\t%d\t%v\t%v\t%v\t%d\n", name, len(x), quantile(0.5), quantile(0.99), quantile(1), unsettled[name])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, x := range all {
		if i := x.Idle; i != nil {
			fmt.Fprintf(out, "%d routers, %.0f%% lost, a calm router: %.1f packets/s, %.0f bytes/s sent, %.2f%% of a core, %.1f MB\n", x.Routers,
				100*x.Drop, i.Packets, i.Bytes, 100*i.CPU, i.Memory)
		}
	}
	_, err := fmt.Fprintf(out, "%d fleets, %d broken rules, %d false losses in %.2f router hours\n", len(all), broken, losses, hours)
	return err
}
