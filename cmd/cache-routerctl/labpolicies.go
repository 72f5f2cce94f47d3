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
func (a *cli) labPoliciesCommand() *cobra.Command {
	var router, out, output string
	var routers, rounds, acts, parallel, changes int
	var measure, serve bool
	var seed uint64
	var probe time.Duration
	c := &cobra.Command{Use: "policies", Short: "Change the policy all the time while faults strike between routers, and judge",
		Long: "Each round founds a policy, has two operators change it all the time while routers and keepers are killed, stalled and cut\n" +
			"off and packets are lost, doubled and late, puts all in order, and judges: no two revisions served at once, every change\n" +
			"everywhere or nowhere, and a history that fits one order. Odd seeds serve when cut off, even ones refuse.\n" +
			"Exit codes: 0 all kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken.",
		Example: "  cache-routerctl lab policies --rounds 200\n  cache-routerctl lab policies --measure --routers 60", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if routers < 3 || routers > 250 || changes < 1 || rounds < 1 || acts < 1 || parallel < 1 {
				return usageErrorf("--routers is from 3 to 250; --rounds, --acts, --parallel and --changes are 1 at least")
			}
			program, err := routerBinary(router, "cache-router-fleet")
			if err == nil {
				err = os.MkdirAll(out, 0o755)
			}
			if err == nil {
				out, err = filepath.Abs(out)
			}
			if err != nil {
				return err
			}
			if measure {
				return measurePolicy(c.OutOrStdout(), rig.Options{Program: program, Dir: out, Routers: routers, Sites: []string{"north", "south"}, Seed: seed,
					Probe: probe, Policy: map[bool]string{true: "serve", false: "refuse"}[serve]}, changes)
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			var all []rig.PolicyOutcome
			room := make(chan struct{}, parallel)
			for n := range rounds {
				room <- struct{}{}
				if c.Context() != nil && c.Context().Err() != nil {
					break
				}
				wg.Go(func() {
					defer func() { <-room }()
					o, bad := rig.PolicyRound(rig.Options{Program: program, Dir: out, Routers: routers, Sites: []string{"north", "south"},
						Seed: seed + uint64(n), Probe: 200 * time.Millisecond}, acts)
					mu.Lock()
					defer mu.Unlock()
					if bad != nil && err == nil {
						err = fmt.Errorf("seed %d: %w", seed+uint64(n), bad)
					}
					all = append(all, o)
					a.log.Infof("seed %d, %s: %d everywhere, %d nowhere, %d broken", o.Seed, o.CutOff, o.Everywhere, o.Nowhere, len(o.Broken))
				})
			}
			wg.Wait()
			if err != nil {
				return err
			}
			if output == "json" {
				err = writeJSON(c.OutOrStdout(), all)
			}
			took, sum := map[string][]time.Duration{}, map[string][3]int{}
			for _, o := range all {
				s := sum[o.CutOff]
				took[o.CutOff] = append(took[o.CutOff], o.Took...)
				sum[o.CutOff] = [3]int{s[0] + o.Everywhere, s[1] + o.Nowhere, s[2] + o.Unknown}
				if len(o.Broken) > 0 && err == nil {
					err = exitError{exitRuleViolated, fmt.Errorf("seed %d: %s; its files are in %s", o.Seed, o.Broken[0], out)}
				}
			}
			if output != "json" {
				for _, mode := range []string{"refuse", "serve"} {
					q := func(at float64) time.Duration { return viewref.Quantile(took[mode], at).Round(time.Millisecond) }
					fmt.Fprintf(c.OutOrStdout(), "%s: %d everywhere (verdict after p50 %v, p99 %v), %d nowhere, %d never answered\n", mode, sum[mode][0],
						q(0.5), q(0.99), sum[mode][1], sum[mode][2])
				}
			}
			return err
		}}
	f := c.Flags()
	f.StringVar(&router, "router", "", "program of the router (default: cache-router-fleet beside this program)")
	f.StringVar(&out, "out", "lab-policies", "folder for the files of what went wrong")
	f.IntVar(&routers, "routers", 7, "of each fleet; the first three keep the policy")
	f.IntVar(&rounds, "rounds", 1, "with seeds that follow each other")
	f.IntVar(&acts, "acts", 6, "faults of a round")
	f.IntVar(&parallel, "parallel", 4, "rounds at a time")
	f.BoolVar(&measure, "measure", false, "make changes in one fleet that is calm, that has lost its leader, and that loses 30% of its packets")
	f.IntVar(&changes, "changes", 20, "of each kind, with --measure")
	f.BoolVar(&serve, "serve", false, "with --measure, routers go on where they are cut off")
	f.DurationVar(&probe, "probe", 200*time.Millisecond, "of the view, with --measure")
	f.Uint64Var(&seed, "seed", 1, "of the first round")
	addOutputFlag(c, &output)
	return c
}

func measurePolicy(w io.Writer, o rig.Options, changes int) error {
	x, err := rig.MeasurePolicy(o, changes, 10*time.Second)
	if err != nil {
		return err
	}
	for _, row := range x.Rows {
		q := func(all []time.Duration, at float64) time.Duration {
			return viewref.Quantile(all, at).Round(10 * time.Millisecond)
		}
		fmt.Fprintf(w, "%d routers, %s, %s: %d of %d everywhere, verdict p50 %v p99 %v, held by all p50 %v p99 %v\n", x.Routers, x.CutOff, row.What,
			row.Through, row.Changes, q(row.Verdict, 0.5), q(row.Verdict, 0.99), q(row.Effect, 0.5), q(row.Effect, 0.99))
	}
	_, err = fmt.Fprintf(w, "%d routers, a calm one: %.1f packets/s, %.0f bytes/s sent, %.2f%% of a core, %.1f MB\n", x.Routers, x.Idle.Packets, x.Idle.Bytes,
		100*x.Idle.CPU, x.Idle.Memory)
	return err
}
