package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/rig"
	"spurtrestle/internal/lab/viewref"
)

// labSitesCommand returns the command that tests failover after the loss of whole sites.
func (a *cli) labSitesCommand() *cobra.Command {
	var router, out, output string
	var rounds, acts, parallel int
	var seed uint64
	c := &cobra.Command{Use: "sites", Short: "Lose, cut off and flap whole sites of a fleet that plans for it, and judge",
		Long: "Each round has three sites of two routers and four listed cache servers, a keeper at each, and no load. Sites are lost and come\n" +
			"back, are cut off from all or from one, flap, stand still, lose servers, and operators speak, in any order; at the end all is put\n" +
			"in order. Judged: no site is called lost while its servers are there, none returns before it is there or skips a step, routers\n" +
			"with orders keep to the same shares, and in the end every site is up.\n" +
			"Exit codes: 0 all kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken.",
		Example: "  cache-routerctl lab sites --rounds 50", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if rounds < 1 || acts < 1 || parallel < 1 {
				return usageErrorf("--rounds, --acts and --parallel are 1 at least")
			}
			program, err := routerBinary(router, "cache-router-fleet")
			if err == nil {
				out, err = filepath.Abs(out)
			}
			if err != nil {
				return err
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			var all []rig.SiteOutcome
			room := make(chan struct{}, parallel)
			for n := range rounds {
				room <- struct{}{}
				if c.Context() != nil && c.Context().Err() != nil {
					break
				}
				wg.Go(func() {
					defer func() { <-room }()
					mine := seed + uint64(n)
					dir := filepath.Join(out, fmt.Sprintf("seed-%d", mine))
					bad := os.MkdirAll(dir, 0o755)
					var o rig.SiteOutcome
					if bad == nil {
						o, bad = rig.SiteRound(rig.Options{Program: program, Dir: dir, Routers: 6, Seed: mine, Probe: 200 * time.Millisecond}, acts)
					}
					if bad == nil && len(o.Broken) == 0 {
						bad = os.RemoveAll(dir)
					}
					mu.Lock()
					defer mu.Unlock()
					if bad != nil && err == nil {
						err = fmt.Errorf("seed %d: %w; its files are in %s", mine, bad, dir)
					}
					all = append(all, o)
					a.log.Infof("seed %d: %d rulings, all up %v after all was in order, %d broken", mine, o.Rulings, o.Settled.Round(time.Millisecond), len(o.Broken))
				})
			}
			wg.Wait()
			if err != nil {
				return err
			}
			var settled []time.Duration
			rulings := 0
			for _, o := range all {
				settled, rulings = append(settled, o.Settled), rulings+o.Rulings
				if len(o.Broken) > 0 && err == nil {
					err = exitError{exitRuleViolated, fmt.Errorf("seed %d: %s; its files are in %s", o.Seed, o.Broken[0], out)}
				}
			}
			if output == "json" {
				if bad := writeJSON(c.OutOrStdout(), all); bad != nil {
					return bad
				}
				return err
			}
			q := func(at float64) time.Duration { return viewref.Quantile(settled, at).Round(10 * time.Millisecond) }
			fmt.Fprintf(c.OutOrStdout(), "%d rounds, %d rulings; all sites up after all was in order: p50 %v, most %v\n", len(all), rulings, q(0.5), q(1))
			return err
		}}
	f := c.Flags()
	f.StringVar(&router, "router", "", "program of the router (default: cache-router-fleet beside this program)")
	f.StringVar(&out, "out", "lab-sites", "folder for the files of what went wrong")
	f.IntVar(&rounds, "rounds", 1, "with seeds that follow each other")
	f.IntVar(&acts, "acts", 6, "troubles of a round")
	f.IntVar(&parallel, "parallel", 4, "rounds at a time")
	f.Uint64Var(&seed, "seed", 1, "of the first round")
	addOutputFlag(c, &output)
	return c
}
