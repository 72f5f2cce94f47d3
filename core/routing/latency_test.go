package routing

import (
	"testing"

	"spurtrestle/core/clock"
)

func TestLatencyEstimate_FastestRisesSlowly(t *testing.T) {
	var l latencyEstimate
	for range 2 * fullSamples {
		l.add(10 * clock.Millisecond)
	}
	if l.recent != 10*clock.Millisecond || l.mean != 10*clock.Millisecond || l.fastest != 10*clock.Millisecond {
		t.Fatalf("after equal samples: got %+v, want 10 ms each", l)
	}
	for range fullSamples {
		l.add(100 * clock.Millisecond)
	}
	if l.mean < 60*clock.Millisecond {
		t.Errorf("got a mean of %d us, want more than 60 ms", l.mean)
	}
	if l.fastest > 11*clock.Millisecond {
		t.Errorf("got a fastest latency of %d us, want at most 11 ms", l.fastest)
	}
	if factor := l.slowdownFactor(2); factor > 0.2 {
		t.Errorf("got a slowdown factor of %v, want at most 0.2", factor)
	}
}

// An estimate with few samples is mixed with another one, in proportion to the samples that it lacks.
func TestLatencyEstimate_BlendInProportionToSamples(t *testing.T) {
	own := latencyEstimate{recent: 40, mean: 40, fastest: 40, samples: fullSamples / 4}
	other := latencyEstimate{recent: 80, mean: 80, fastest: 80, samples: fullSamples}
	if got := own.blend(other); got.recent != 70 || got.mean != 70 || got.fastest != 70 {
		t.Errorf("got %+v, want 70 each", got)
	}
	if got := other.blend(own); got != other {
		t.Errorf("got %+v, want %+v", got, other)
	}
}
