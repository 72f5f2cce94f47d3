package routing

import (
	"slices"

	"spurtrestle/core/clock"
)

const (
	// fullSamples is how many samples a latency estimate averages over.
	fullSamples = 32
	// recentSamples is how many samples the recent latency averages over.
	recentSamples = 8
	// fastestRecovery is how slowly the fastest latency rises to the mean: a fraction of the distance per sample. It
	// does not rise noticeably within one fault.
	fastestRecovery = 2000
	// reportedSamples is N of the design: how many reported service times are averaged.
	reportedSamples = 16
)

// latencyEstimate follows a latency: a recent and a longer mean, and the fastest level of the longer mean.
type latencyEstimate struct {
	recent  clock.Duration
	mean    clock.Duration
	fastest clock.Duration // falls at once with the mean, rises over minutes
	samples clock.Duration // up to fullSamples; a Duration, so that it divides durations
	// restoredFastest is the fastest latency known from before a restart; 0: none.
	restoredFastest clock.Duration
}

// add adds one sample.
func (l *latencyEstimate) add(took clock.Duration) {
	l.samples = min(l.samples+1, fullSamples)
	l.recent += (took - l.recent) / min(l.samples, recentSamples)
	l.mean += (took - l.mean) / l.samples
	if l.samples < fullSamples { // the mean of few samples is low or high by chance
		l.fastest = l.mean
		if l.restoredFastest > 0 {
			l.fastest = min(l.mean, l.restoredFastest)
		}
	}
	l.fastest = min(l.fastest+max(0, l.mean-l.fastest)/fastestRecovery, l.mean)
}

// blend is the estimate where it has all its samples, and the other one in proportion to those that it lacks.
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

// slowdownFactor is one while the mean is at most a multiple of the fastest latency; beyond that it falls with the square.
func (l latencyEstimate) slowdownFactor(multiple float64) float64 {
	ratio := min(1, multiple*float64(max(1, l.fastest))/float64(max(1, l.mean)))
	return ratio * ratio
}

// goalFactor is one while a latency is within its goal; beyond that it falls with the square.
func goalFactor(latency, goal clock.Duration) float64 {
	ratio := min(1, float64(goal)/float64(max(1, latency)))
	return ratio * ratio
}

// sample is one measured duration.
type sample struct {
	at   clock.Time
	took clock.Duration
}

// meanOf is the mean of samples, 0 where there are none.
func meanOf(samples []sample) clock.Duration {
	sum := clock.Duration(0)
	for _, s := range samples {
		sum += s.took
	}
	return sum / clock.Duration(max(1, len(samples)))
}

// addReportedTime records a service time that the server reported, or the measured one in its place.
func (s *server) addReportedTime(at clock.Time, took clock.Duration) {
	s.reportedTimes = append(s.reportedTimes, sample{at, took})
	s.reportedTimes = s.reportedTimes[max(0, len(s.reportedTimes)-reportedSamples):]
}

// recordLatency records the latency of an answer, for caches also in the estimate over all of them.
func (r *Router) recordLatency(server *server, took clock.Duration) {
	server.latency.add(took)
	if !server.isOrigin {
		r.cacheLatency.add(took)
	}
}

// recordReport records the service time of a load report, or the measured time if none is reported. The origin's
// counts at once in place of the router's own average: it covers the reads of all routers, of which this one sees few.
func (r *Router) recordReport(server *server, report Report, took clock.Duration) {
	const microsecondsPerMillisecond = float64(clock.Millisecond)
	field := slices.Index(r.config.reportFields, FigureServiceTime)
	isReported := field >= 0 && field < len(report) && report[field] > 0
	if isReported {
		took = clock.Duration(report[field] * microsecondsPerMillisecond)
	}
	if server.isOrigin && isReported {
		server.latency.recent = took
	} else if took > 0 && !server.isOrigin {
		server.addReportedTime(r.now, took)
	}
}
