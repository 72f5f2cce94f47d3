package scale

import (
	"context"
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"

	"spurtrestle/internal/scale/result"
)

// Options are the parameters of a run apart from its scenario.
type Options struct {
	Program  []string // command line of a worker
	Router   string   // path of the router program, for scenarios with real routers
	Build    string
	Cores    int
	Machine  Machine
	Progress func(string)            // called with a line of progress for people
	Finished func(result.File) error // called after each trial with all finished trials
	Before   []result.Trial          // trials of earlier runs, which come first in the result
}

// Run runs all trials of a scenario. On an error it also returns the finished trials. An interrupted trial is not included; a
// failed one is, with the reason.
func Run(ctx context.Context, s Scenario, o Options) (result.File, error) {
	file := result.File{Format: result.Format, Build: o.Build, Cores: o.Cores, Trials: append([]result.Trial{}, o.Before...)}
	if err := s.Fits(o.Machine); err != nil {
		return file, err
	}
	if err := s.addressesFree(); err != nil {
		return file, err
	}
	plans := s.plans()
	for i, p := range plans {
		o.Progress(fmt.Sprintf("trial %d of %d: %s, %s, %d routers, seed %d", i+1, len(plans), s.Topology, p.fault, p.size, p.seed))
		begin := time.Now()
		t, err := runTrial(ctx, s, p, o)
		if ctx.Err() != nil {
			return file, ctx.Err()
		}
		if err != nil && t.Incomplete == "" {
			return file, err
		}
		o.Progress(fmt.Sprintf("  %s, in %v", summary(t), time.Since(begin).Round(100*time.Millisecond)))
		t.Build = o.Build
		file.Trials = append(file.Trials, t)
		if err := o.Finished(file); err != nil {
			return file, err
		}
	}
	return file, nil
}

// plans returns the trials of a scenario: all sizes of a seed before the next seed, so that an interrupted run has each size.
func (s Scenario) plans() (all []plan) {
	for _, f := range s.Faults {
		for _, seed := range s.Seeds {
			for _, n := range s.Sizes {
				all = append(all, plan{f, n, seed})
			}
		}
	}
	return all
}

// addressesFree returns an error if an address that the scenario needs is in use. It is called before anything starts.
func (s Scenario) addressesFree() error {
	n, err := claimNetwork(s.Network)
	if err != nil {
		return err
	}
	defer n.close()
	maxSize := 0
	for _, size := range s.Sizes {
		maxSize = max(maxSize, size)
	}
	return n.checkFree(maxSize)
}

// Kept returns an error that names the first bound of the scenario that the trials at rest exceed.
func (s Scenario) Kept(trials []result.Trial) error {
	var sizes, bytes []float64
	for _, t := range trials {
		if t.Fault != result.NoFault || t.Incomplete != "" {
			continue
		}
		b := t.PerRouter.BytesIn + t.PerRouter.BytesOut
		if s.Bound.Bytes > 0 && b > s.Bound.Bytes {
			return fmt.Errorf("bound.bytes_per_s: a router of %d used %.0f B/s, and %.0f were allowed", t.Routers, b, s.Bound.Bytes)
		}
		if limit := time.Duration(s.Bound.Settled); limit > 0 && (t.ConvergenceKnownTime == nil || *t.ConvergenceKnownTime > limit.Seconds()) {
			return fmt.Errorf("bound.settled: %d routers settled in: %s, and %v was allowed", t.Routers, span(t.ConvergenceKnownTime), limit)
		}
		sizes, bytes = append(sizes, math.Log(float64(t.Routers))), append(bytes, math.Log(b))
	}
	if s.Bound.Slope == 0 {
		return nil
	}
	if len(sizes) < len(s.Sizes) {
		return fmt.Errorf("bound.bytes_slope: %d of %d sizes were measured at rest", len(sizes), len(s.Sizes))
	}
	if _, slope := stat.LinearRegression(sizes, bytes, nil, false); !(slope <= s.Bound.Slope) {
		return fmt.Errorf("bound.bytes_slope: a router's bytes grow with the fleet's size to the power of %.2f, and %.2f was allowed", slope, s.Bound.Slope)
	}
	return nil
}
