package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/rig"
	"spurtrestle/internal/lab/viewref"
)

// labPoliciesCommand returns the command that tests policy changes under faults.
// policiesOptions holds the flags of lab policies.
type policiesOptions struct {
	router, out, output                      string
	routers, rounds, acts, parallel, changes int
	measure, serve                           bool
	seed                                     uint64
	probe                                    time.Duration
}

func (a *cli) labPoliciesCommand() *cobra.Command {
	var o policiesOptions
	c := &cobra.Command{Use: "policies", Short: "Change the policy all the time while faults strike between routers, and judge",
		Long: "Each round founds a policy, has two operators change it all the time while routers and keepers are killed, stalled and cut\n" +
			"off and packets are lost, doubled and late, puts all in order, and judges: no two revisions served at once, every change\n" +
			"everywhere or nowhere, and a history that fits one order. Odd seeds serve when cut off, even ones refuse.\n" +
			"Exit codes: 0 all kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken.",
		Example: "  cache-routerctl lab policies --rounds 200\n  cache-routerctl lab policies --measure --routers 60", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return a.testPolicies(c, o) }}
	f := c.Flags()
	f.StringVar(&o.router, "router", "", "program of the router (default: cache-router-fleet beside this program)")
	f.StringVar(&o.out, "out", "lab-policies", "folder for the files of what went wrong")
	f.IntVar(&o.routers, "routers", 7, "of each fleet; the first three keep the policy")
	f.IntVar(&o.rounds, "rounds", 1, "with seeds that follow each other")
	f.IntVar(&o.acts, "acts", 6, "faults of a round")
	f.IntVar(&o.parallel, "parallel", 4, "rounds at a time")
	f.BoolVar(&o.measure, "measure", false, "make changes in one fleet that is calm, that has lost its leader, and that loses 30% of its packets")
	f.IntVar(&o.changes, "changes", 20, "of each kind, with --measure")
	f.BoolVar(&o.serve, "serve", false, "with --measure, routers go on where they are cut off")
	f.DurationVar(&o.probe, "probe", 200*time.Millisecond, "of the view, with --measure")
	f.Uint64Var(&o.seed, "seed", 1, "of the first round")
	addOutputFlag(c, &o.output)
	return c
}

func (a *cli) testPolicies(c *cobra.Command, o policiesOptions) error {
	if o.routers < 3 || o.routers > 250 || o.changes < 1 || o.rounds < 1 || o.acts < 1 || o.parallel < 1 {
		return usageErrorf("--routers is from 3 to 250; --rounds, --acts, --parallel and --changes are 1 at least")
	}
	program, err := routerBinary(o.router, "cache-router-fleet")
	if err == nil {
		err = os.MkdirAll(o.out, 0o755)
	}
	if err == nil {
		o.out, err = filepath.Abs(o.out)
	}
	if err != nil {
		return err
	}
	if o.measure {
		return measurePolicy(c.OutOrStdout(), rig.Options{Program: program, Dir: o.out, Routers: o.routers, Sites: []string{"north", "south"}, Seed: o.seed,
			Probe: o.probe, Policy: map[bool]string{true: "serve", false: "refuse"}[o.serve]}, o.changes)
	}
	all, err := a.runPolicyRounds(c, program, o)
	if err != nil {
		return err
	}
	return printPolicyRounds(c.OutOrStdout(), all, o)
}

// runPolicyRounds runs the rounds, some of them in parallel. The outcomes are in the order in which the rounds ended.
func (a *cli) runPolicyRounds(c *cobra.Command, program string, o policiesOptions) (all []rig.PolicyOutcome, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, o.parallel)
	for n := range o.rounds {
		semaphore <- struct{}{}
		if c.Context() != nil && c.Context().Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			outcome, roundErr := rig.PolicyRound(rig.Options{Program: program, Dir: o.out, Routers: o.routers, Sites: []string{"north", "south"},
				Seed: o.seed + uint64(n), Probe: 200 * time.Millisecond}, o.acts)
			mu.Lock()
			defer mu.Unlock()
			if roundErr != nil && err == nil {
				err = fmt.Errorf("seed %d: %w", o.seed+uint64(n), roundErr)
			}
			all = append(all, outcome)
			a.log.Infof("seed %d, %s: %d everywhere, %d nowhere, %d broken", outcome.Seed, outcome.CutOff, outcome.Everywhere, outcome.Nowhere, len(outcome.Broken))
		})
	}
	wg.Wait()
	return all, err
}

// printPolicyRounds prints a summary of the rounds; it returns the first violation.
func printPolicyRounds(w io.Writer, all []rig.PolicyOutcome, o policiesOptions) (err error) {
	if o.output == "json" {
		err = writeJSON(w, all)
	}
	verdictTimes, counts := map[string][]time.Duration{}, map[string][3]int{}
	for _, outcome := range all {
		s := counts[outcome.CutOff]
		verdictTimes[outcome.CutOff] = append(verdictTimes[outcome.CutOff], outcome.Took...)
		counts[outcome.CutOff] = [3]int{s[0] + outcome.Everywhere, s[1] + outcome.Nowhere, s[2] + outcome.Unknown}
		if len(outcome.Broken) > 0 && err == nil {
			err = exitError{exitRuleViolated, fmt.Errorf("seed %d: %s; its files are in %s", outcome.Seed, outcome.Broken[0], o.out)}
		}
	}
	if o.output != "json" {
		for _, mode := range []string{"refuse", "serve"} {
			quantile := func(at float64) time.Duration {
				return viewref.Quantile(verdictTimes[mode], at).Round(time.Millisecond)
			}
			fmt.Fprintf(w, "%s: %d everywhere (verdict after p50 %v, p99 %v), %d nowhere, %d never answered\n", mode, counts[mode][0],
				quantile(0.5), quantile(0.99), counts[mode][1], counts[mode][2])
		}
	}
	return err
}

func measurePolicy(w io.Writer, o rig.Options, changes int) error {
	measurement, err := rig.MeasurePolicy(o, changes, 10*time.Second)
	if err != nil {
		return err
	}
	for _, row := range measurement.Rows {
		quantile := func(all []time.Duration, at float64) time.Duration {
			return viewref.Quantile(all, at).Round(10 * time.Millisecond)
		}
		fmt.Fprintf(w, "%d routers, %s, %s: %d of %d everywhere, verdict p50 %v p99 %v, held by all p50 %v p99 %v\n", measurement.Routers, measurement.CutOff, row.What,
			row.Through, row.Changes, quantile(row.Verdict, 0.5), quantile(row.Verdict, 0.99), quantile(row.Effect, 0.5), quantile(row.Effect, 0.99))
	}
	_, err = fmt.Fprintf(w, "%d routers, a calm one: %.1f packets/s, %.0f bytes/s sent, %.2f%% of a core, %.1f MB\n", measurement.Routers, measurement.Idle.Packets, measurement.Idle.Bytes,
		100*measurement.Idle.CPU, measurement.Idle.Memory)
	return err
}
