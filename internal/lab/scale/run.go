package scale

import (
	"context"
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"

	"spurtrestle/internal/scale/result"
)

// Options are what a run needs beside its scenario.
type Options struct {
	Program  []string // of a worker, with its arguments
	Router   string   // program of the router, for scenarios with real ones
	Build    string
	Cores    int
	Machine  Machine
	Progress func(string)            // a line for people
	Finished func(result.File) error // called after each trial with all that are finished
	Before   []result.Trial          // of earlier runs, that the result begins with
}

// Run plays all trials of a scenario. What is finished is returned with an error as well; a trial that was interrupted is not
// part of it, one that failed is, and says why.
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
		t, err := play(ctx, s, p, o)
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

// plans are the trials of a scenario: all sizes of a seed before the next seed, so that a run that is interrupted has each.
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

// addressesFree refuses a scenario whose addresses somebody listens on, before anything starts.
func (s Scenario) addressesFree() error {
	n, err := claimNetwork(s.Network)
	if err != nil {
		return err
	}
	defer n.close()
	most := 0
	for _, size := range s.Sizes {
		most = max(most, size)
	}
	return n.taken(most)
}

// Kept tells whether the trials at rest keep to the scenario's bound; the error tells what does not.
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
		if most := time.Duration(s.Bound.Settled); most > 0 && (t.ConvergenceKnownTime == nil || *t.ConvergenceKnownTime > most.Seconds()) {
			return fmt.Errorf("bound.settled: %d routers settled in: %s, and %v was allowed", t.Routers, span(t.ConvergenceKnownTime), most)
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
