package routing

import (
	"slices"

	"spurtrestle/core/clock"
)

// reportedSamples is the number of reported service times that are averaged (N of the design).
const reportedSamples = 16

// server is the state of one cache server, or of the origin.
type server struct {
	Endpoint
	isOrigin bool
	capacity float64 // relative, as listed; 1 where lists have none

	inFlight       int
	queuedAhead    int                // queued requests for it that precede the one under consideration
	abandoned      []abandonedAttempt // attempts that timed out and may still occupy it
	lastAttemptEnd clock.Time         // of an attempt of this router, or of the process whose knowledge was restored
	lastResponseAt clock.Time         // or, if later, the first attempt after an idle time

	failurePoints int        // of consecutive failures
	ejectedUntil  clock.Time // 0: not ejected; in the past: the next attempt is the trial that ends the ejection
	connectFailed bool       // the next answer may come from a new process
	restored      bool       // its latency is from before a restart of the router

	latency     latencyEstimate
	answerRate  decayingRate
	attemptRate decayingRate
	warmUp      warmUpBudget

	reportedTimes []sample
	writes        float64 // attempts since shares were last computed
	reads         float64
	lastInterval  intervalLoad
}

// isEjected reports whether the server is ejected at an instant. After the ejection it gets one trial attempt at a time until
// one succeeds.
func (s *server) isEjected(now clock.Time) bool { return s.ejectedUntil > now }

// addReportedTime records a service time that the server reported, or the measured time where it reports none.
func (s *server) addReportedTime(at clock.Time, took clock.Duration) {
	s.reportedTimes = append(s.reportedTimes, sample{at, took})
	s.reportedTimes = s.reportedTimes[max(0, len(s.reportedTimes)-reportedSamples):]
}

// recordLatency records the latency of an answer in the estimate of the server and, for a cache, in that over all caches.
func (r *Router) recordLatency(server *server, took clock.Duration) {
	server.latency.add(took)
	if !server.isOrigin {
		r.cacheLatency.add(took)
	}
}

// recordReport records the service time of a load report, or the measured time if none is reported. A time that the origin
// reports replaces the router's own average at once: it covers the reads of all routers, of which this one sees few.
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
