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

// labSitesCommand returns the command that tests failover after the loss of whole sites.
// sitesOptions holds the flags of lab sites.
type sitesOptions struct {
	router, out, output    string
	rounds, acts, parallel int
	seed                   uint64
}

func (a *cli) labSitesCommand() *cobra.Command {
	var o sitesOptions
	c := &cobra.Command{Use: "sites", Short: "Lose, cut off and flap whole sites of a fleet that plans for it, and judge",
		Long: "Each round has three sites of two routers and four listed cache servers, a keeper at each, and no load. Sites are lost and come\n" +
			"back, are cut off from all or from one, flap, stand still, lose servers, and operators speak, in any order; at the end all is put\n" +
			"in order. Judged: no site is called lost while its servers are there, none returns before it is there or skips a step, routers\n" +
			"with orders keep to the same shares, and in the end every site is up.\n" +
			"Exit codes: 0 all kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken.",
		Example: "  cache-routerctl lab sites --rounds 50", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return a.testSites(c, o) }}
	f := c.Flags()
	f.StringVar(&o.router, "router", "", "program of the router (default: cache-router-fleet beside this program)")
	f.StringVar(&o.out, "out", "lab-sites", "folder for the files of what went wrong")
	f.IntVar(&o.rounds, "rounds", 1, "with seeds that follow each other")
	f.IntVar(&o.acts, "acts", 6, "troubles of a round")
	f.IntVar(&o.parallel, "parallel", 4, "rounds at a time")
	f.Uint64Var(&o.seed, "seed", 1, "of the first round")
	addOutputFlag(c, &o.output)
	return c
}

func (a *cli) testSites(c *cobra.Command, o sitesOptions) error {
	if o.rounds < 1 || o.acts < 1 || o.parallel < 1 {
		return usageErrorf("--rounds, --acts and --parallel are 1 at least")
	}
	program, err := routerBinary(o.router, "cache-router-fleet")
	if err == nil {
		o.out, err = filepath.Abs(o.out)
	}
	if err != nil {
		return err
	}
	all, err := a.runSiteRounds(c, program, o)
	if err != nil {
		return err
	}
	return printSiteRounds(c.OutOrStdout(), all, o)
}

// runSiteRounds runs the rounds, some of them in parallel. The outcomes are in the order in which the rounds ended.
func (a *cli) runSiteRounds(c *cobra.Command, program string, o sitesOptions) (all []rig.SiteOutcome, err error) {
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
			roundSeed := o.seed + uint64(n)
			outcome, dir, roundErr := runSiteRound(program, roundSeed, o)
			mu.Lock()
			defer mu.Unlock()
			if roundErr != nil && err == nil {
				err = fmt.Errorf("seed %d: %w; its files are in %s", roundSeed, roundErr, dir)
			}
			all = append(all, outcome)
			a.log.Infof("seed %d: %d rulings, all up %v after all was in order, %d broken", roundSeed, outcome.Rulings, outcome.Settled.Round(time.Millisecond), len(outcome.Broken))
		})
	}
	wg.Wait()
	return all, err
}

// runSiteRound runs one round in its own directory, which it deletes if the round succeeded without a violation.
func runSiteRound(program string, seed uint64, o sitesOptions) (outcome rig.SiteOutcome, dir string, err error) {
	dir = filepath.Join(o.out, fmt.Sprintf("seed-%d", seed))
	err = os.MkdirAll(dir, 0o755)
	if err == nil {
		outcome, err = rig.SiteRound(rig.Options{Program: program, Dir: dir, Routers: 6, Seed: seed, Probe: 200 * time.Millisecond}, o.acts)
	}
	if err == nil && len(outcome.Broken) == 0 {
		err = os.RemoveAll(dir)
	}
	return outcome, dir, err
}

// printSiteRounds prints a summary of the rounds; it returns the first violation.
func printSiteRounds(w io.Writer, all []rig.SiteOutcome, o sitesOptions) (err error) {
	var convergenceTimes []time.Duration
	rulings := 0
	for _, outcome := range all {
		convergenceTimes, rulings = append(convergenceTimes, outcome.Settled), rulings+outcome.Rulings
		if len(outcome.Broken) > 0 && err == nil {
			err = exitError{exitRuleViolated, fmt.Errorf("seed %d: %s; its files are in %s", outcome.Seed, outcome.Broken[0], o.out)}
		}
	}
	if o.output == "json" {
		if writeErr := writeJSON(w, all); writeErr != nil {
			return writeErr
		}
		return err
	}
	quantile := func(at float64) time.Duration {
		return viewref.Quantile(convergenceTimes, at).Round(10 * time.Millisecond)
	}
	fmt.Fprintf(w, "%d rounds, %d rulings; all sites up after all was in order: p50 %v, most %v\n", len(all), rulings, quantile(0.5), quantile(1))
	return err
}
