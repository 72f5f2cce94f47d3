package routing

import "spurtrestle/core/clock"

const (
	// fullSamples is the number of samples that a latency estimate averages over.
	fullSamples = 32
	// recentSamples is the number of samples that the recent latency averages over.
	recentSamples = 8
	// fastestRecovery is the divisor of the distance to the mean by which the fastest latency rises per sample. It is large
	// enough that the fastest latency does not rise noticeably during one fault.
	fastestRecovery = 2000
)

// latencyEstimate estimates a latency by a recent mean, a longer mean, and the lowest level of the longer mean.
type latencyEstimate struct {
	recent  clock.Duration
	mean    clock.Duration
	fastest clock.Duration // falls at once with the mean, rises over minutes
	samples clock.Duration // up to fullSamples; a Duration, so that it divides durations
	// restoredFastest is the fastest latency that was restored after a restart; 0: none.
	restoredFastest clock.Duration
}

// add adds one sample.
func (l *latencyEstimate) add(took clock.Duration) {
	l.samples = min(l.samples+1, fullSamples)
	l.recent += (took - l.recent) / min(l.samples, recentSamples)
	l.mean += (took - l.mean) / l.samples
	if l.samples < fullSamples { // the mean of few samples may be low or high by chance
		l.fastest = l.mean
		if l.restoredFastest > 0 {
			l.fastest = min(l.mean, l.restoredFastest)
		}
	}
	l.fastest = min(l.fastest+max(0, l.mean-l.fastest)/fastestRecovery, l.mean)
}

// blend returns the estimate, mixed with another one in proportion to the samples that it lacks.
func (l latencyEstimate) blend(other latencyEstimate) latencyEstimate {
	mix := func(own, other clock.Duration) clock.Duration {
		return (l.samples*own + (fullSamples-l.samples)*other) / fullSamples
	}
	return latencyEstimate{
		recent:          mix(l.recent, other.recent),
		mean:            mix(l.mean, other.mean),
		fastest:         mix(l.fastest, other.fastest),
		samples:         l.samples,
		restoredFastest: l.restoredFastest,
	}
}

// slowdownFactor returns one while the mean is at most the given multiple of the fastest latency. Above that it falls with the
// square of the mean.
func (l latencyEstimate) slowdownFactor(multiple float64) float64 {
	ratio := min(1, multiple*float64(max(1, l.fastest))/float64(max(1, l.mean)))
	return ratio * ratio
}

// goalFactor returns one while a latency is within its goal. Above that it falls with the square of the latency.
func goalFactor(latency, goal clock.Duration) float64 {
	ratio := min(1, float64(goal)/float64(max(1, latency)))
	return ratio * ratio
}

// sample is one measured duration and the time of its measurement.
type sample struct {
	at   clock.Time
	took clock.Duration
}

// meanOf returns the mean of samples, 0 if there are none.
func meanOf(samples []sample) clock.Duration {
	sum := clock.Duration(0)
	for _, s := range samples {
		sum += s.took
	}
	return sum / clock.Duration(max(1, len(samples)))
}
