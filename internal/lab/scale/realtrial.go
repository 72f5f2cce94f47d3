package scale

import (
	"context"
	"time"

	"spurtrestle/internal/scale/result"
)

// This file is the part of a trial that concerns real routers.

// startReal starts the real routers after the hollow ones.
func (t *trial) startReal(ctx context.Context, router string, started []int) (err error) {
	if len(t.isReal) == 0 {
		return nil
	}
	var specs []routerSpec
	for _, index := range realIndexes(len(t.isReal), t.out.Routers) {
		specs = append(specs, t.spec(index, started))
	}
	t.real, err = startReal(ctx, router, t.out.Routers, specs)
	return err
}

// realSamples are samples of the members and of the processes whose fleet is switched off.
type realSamples struct{ members, alone []realSample }

func (before realSamples) used(after realSamples) time.Duration {
	return samplesUsed(before.members, after.members) + samplesUsed(before.alone, after.alone)
}

func (t *trial) sampleReal() (s realSamples, err error) {
	if t.real == nil {
		return s, nil
	}
	if s.members, err = t.real.sample(t.real.members); err != nil {
		return s, err
	}
	s.alone, err = t.real.sample(t.real.alone)
	return s, err
}

// realRates computes the part of the result that concerns real routers.
func (t *trial) realRates(before, after realSamples, span time.Duration) {
	if t.real == nil {
		return
	}
	t.out.Real = &result.RealRouters{Routers: len(after.members), PerRouter: realMean(before.members, after.members, span), WithoutFleet: realMean(before.alone, after.alone, span)}
}
