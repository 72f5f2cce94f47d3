package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// faultPoints and connectFaultPoints are what a failed attempt counts, in points for consecutive failures.
	faultPoints        = 1
	connectFaultPoints = 2
	// minFaultTimeoutLatencies is the shortest time-out, in mean latencies of the caches, that counts as a failure.
	minFaultTimeoutLatencies = 2
	// abandonedTime is how long an attempt that timed out counts as in flight: longer than an overloaded server
	// needs for overdue work.
	abandonedTime = 1 * clock.Second
	// improbableStreak is the probability, by the background failure rate, below which consecutive failures are not chance.
	improbableStreak = 1e-5
	// highestFailureRatio bounds the background failure rate, as a fraction of all attempts.
	highestFailureRatio = 0.5
	// maxStreakPoints bounds how many points of consecutive failures are needed for an ejection.
	maxStreakPoints = 8
	// priorAttemptRate, per second, is added to the rate of attempts, so that few attempts give no high failure ratio.
	priorAttemptRate = 1
	// ejectionTime is the shortest ejection of a cache, and ejectedAttempts how many usual attempts it lasts for a cache
	// that is used seldom. The ejection is drawn up to half as long again, so that the trials of the routers do not
	// coincide.
	ejectionTime    = 2 * clock.Second
	ejectedAttempts = 3
	// minAttemptRate, per second, bounds the ejection of a cache that is hardly used.
	minAttemptRate = 0.1
	// originEjectionTime is the ejection of the origin, which has no replica. Its trials are cheap: what they carry
	// would be rejected.
	originEjectionTime = 500 * clock.Millisecond
	// frequentAttemptRate, per second, is the use from which on a server needs the full number of points.
	frequentAttemptRate = 2
)

// recordOutcome updates the record of a server by the outcome of an attempt. Only this router's own attempts count.
func (r *Router) recordOutcome(attempt *attempt, status AttemptStatus, took clock.Duration) {
	server := attempt.server
	attemptRate := server.attemptRate.at(r.now, attemptWindow)
	points := 0
	switch status {
	case OK, Miss:
		r.recordAnswer(attempt, status, took)
	case QueueFull:
		server.failurePoints = 0
	case TimedOut:
		points = r.recordTimeout(attempt, took)
	case Failed, Reset:
		points = faultPoints
	case ConnectError:
		server.connectFailed = true
		server.abandoned = nil
		points = connectFaultPoints
	}
	r.recordPathOutcome(server, status, points, took)
	if points > 0 {
		use := attemptRate / r.windowCovered(attemptWindow)
		r.recordFailure(server, status, points, use)
	}
}

// recordAnswer records an answer. It resets the server's failures and ends its ejection.
func (r *Router) recordAnswer(attempt *attempt, status AttemptStatus, took clock.Duration) {
	server := attempt.server
	server.lastResponseAt = r.now
	if status == OK && !server.isOrigin {
		r.traffic.hits.add(r.now, trafficWindow)
	}
	if status == OK || server.latency.recent == 0 {
		r.recordLatency(server, took)
	}
	server.answerRate.add(r.now, answerWindow)
	// Attempts that were sent before an answered one have been served.
	server.abandoned = slices.DeleteFunc(server.abandoned, func(a abandonedAttempt) bool { return a.sentAt <= attempt.sentAt })
	if server.ejectedUntil != 0 && server.connectFailed { // a new process, before the list has its start
		server.warmUp.returnedAt = r.now
	}
	server.forgetFailures()
}

// recordTimeout records a time-out and returns its points. A time-out too short for a usual answer has none, and its attempt
// counts as in flight until an answer would have arrived.
func (r *Router) recordTimeout(attempt *attempt, took clock.Duration) (points int) {
	server := attempt.server
	usual := minFaultTimeoutLatencies * r.cacheLatency.mean
	until := attempt.sentAt + usual
	if server.isOrigin || took >= usual {
		until = r.now + max(took, abandonedTime)
		r.recordLatency(server, max(took, server.latency.recent))
		points = faultPoints
	}
	server.abandoned = append(server.abandoned, abandonedAttempt{attempt.sentAt, until})
	return points
}

// recordFailure counts points for consecutive failures, and ejects the server once there are too many of them.
func (r *Router) recordFailure(server *server, status AttemptStatus, points int, use float64) {
	improbable := r.improbableStreakPoints(server)
	if status != TimedOut && status != QueueFull { // these are load, not faults
		r.traffic.failures.add(r.now, attemptWindow)
	}
	// A seldom used server cannot collect many consecutive failures: two points eject it, for the time of some attempts,
	// which the others of its groups hardly notice.
	ejection := max(float64(ejectionTime), ejectedAttempts*microsecondsPerSecond/max(use, minAttemptRate))
	if server.isOrigin {
		use = frequentAttemptRate
		ejection = float64(originEjectionTime)
	}
	limit := max(2, 1+int(min(frequentAttemptRate, use)), improbable)
	server.failurePoints += points
	if server.failurePoints >= limit && server.ejectedUntil <= r.now {
		server.ejectedUntil = r.now + clock.Duration(ejection*(1+r.random.float()/2))
	}
}

// improbableStreakPoints is how many points of consecutive failures are too many for chance, by the rate of failures at the
// other servers. A fault
// that strikes all alike (connections that break, malformed answers) must not eject a healthy fleet.
func (r *Router) improbableStreakPoints(server *server) int {
	own := float64(server.failurePoints) * microsecondsPerSecond / float64(attemptWindow)
	others := max(0, r.traffic.failures.at(r.now, attemptWindow)-own)
	failureRatio := min(highestFailureRatio, others/(r.traffic.attempts.at(r.now, attemptWindow)+priorAttemptRate))
	return min(maxStreakPoints, int(math.Ceil(math.Log(improbableStreak)/math.Log(failureRatio))))
}

// forgetFailures resets the failures of a server and ends its ejection.
func (s *server) forgetFailures() {
	s.failurePoints = 0
	s.ejectedUntil = 0
	s.connectFailed = false
}

// abandonedAttempt is an attempt that timed out and may still occupy its server.
type abandonedAttempt struct {
	sentAt      clock.Time
	countsUntil clock.Time
}

// abandonedInFlight is how many attempts that timed out still count as in flight. If they did not, a server that
// continues overdue work would receive ever more requests.
func (s *server) abandonedInFlight(now clock.Time) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedAttempt) bool { return a.countsUntil <= now })
	return len(s.abandoned)
}
