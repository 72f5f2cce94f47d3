package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// faultPoints and connectFaultPoints are the points that a failed attempt adds to the consecutive failures of its server.
	faultPoints        = 1
	connectFaultPoints = 2
	// minFaultTimeoutLatencies is the shortest time-out that counts as a failure, in mean latencies of the caches.
	minFaultTimeoutLatencies = 2
	// abandonedTime is how long an attempt that timed out counts as in flight at least. It is longer than an overloaded server
	// needs for overdue work.
	abandonedTime = 1 * clock.Second
	// improbableStreak is the probability below which consecutive failures are not chance, given the background failure rate.
	improbableStreak = 1e-5
	// highestFailureRatio bounds the background failure rate, as a fraction of all attempts.
	highestFailureRatio = 0.5
	// maxStreakPoints bounds the points that the background failure rate can require for an ejection.
	maxStreakPoints = 8
	// priorAttemptRate, per second, is added to the rate of attempts, so that few attempts give no high failure ratio.
	priorAttemptRate = 1
	// ejectionTime is the shortest ejection of a cache. That of a seldom used cache lasts for the time of ejectedAttempts usual
	// attempts. Up to half as much again is added at random, so that the trials of the routers do not coincide.
	ejectionTime    = 2 * clock.Second
	ejectedAttempts = 3
	// minAttemptRate, per second, bounds the ejection of a cache that is hardly used.
	minAttemptRate = 0.1
	// originEjectionTime is the shortest ejection of the origin, which has no replica. Its trials are cheap: their requests would
	// be rejected otherwise.
	originEjectionTime = 500 * clock.Millisecond
	// frequentAttemptRate, per second, is the rate of attempts from which on a server needs the full number of points.
	frequentAttemptRate = 2
)

// recordOutcome updates the health of a server by the outcome of one of this router's own attempts.
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
		attemptsPerSecond := attemptRate / r.windowCovered(attemptWindow)
		r.recordFailure(server, status, points, attemptsPerSecond)
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
	// Attempts that were sent before an answered one no longer occupy the server.
	server.abandoned = slices.DeleteFunc(server.abandoned, func(a abandonedAttempt) bool { return a.sentAt <= attempt.sentAt })
	if server.ejectedUntil != 0 && server.connectFailed { // a new process whose start the endpoint list does not have yet
		server.warmUp.returnedAt = r.now
	}
	server.forgetFailures()
}

// recordTimeout records a time-out and returns its points. A time-out too short for a usual answer has no points, and its
// attempt counts as in flight until a usual answer would have arrived.
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

// recordFailure adds points to the consecutive failures of a server, and ejects it when it reaches the limit. attemptsPerSecond
// is the rate of attempts at the server.
func (r *Router) recordFailure(server *server, status AttemptStatus, points int, attemptsPerSecond float64) {
	improbable := r.improbableStreakPoints(server)
	if status != TimedOut && status != QueueFull { // those indicate load, not faults
		r.traffic.failures.add(r.now, attemptWindow)
	}
	// A seldom used server cannot collect many consecutive failures: two points eject it, for the time of a few attempts, which
	// adds little load to the others of its groups.
	ejection := max(float64(ejectionTime), ejectedAttempts*microsecondsPerSecond/max(attemptsPerSecond, minAttemptRate))
	if server.isOrigin {
		attemptsPerSecond = frequentAttemptRate
		ejection = float64(originEjectionTime)
	}
	limit := max(2, 1+int(min(frequentAttemptRate, attemptsPerSecond)), improbable)
	server.failurePoints += points
	if server.failurePoints >= limit && server.ejectedUntil <= r.now {
		server.ejectedUntil = r.now + clock.Duration(ejection*(1+r.random.float()/2))
	}
}

// improbableStreakPoints returns the number of points of consecutive failures that is too high for chance, given the rate of
// failures at the other servers. A fault that affects all servers alike (connections that break, malformed answers) must not
// eject a healthy fleet.
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
	countsUntil clock.Time // when it no longer counts as in flight
}

// abandonedInFlight returns the number of attempts that timed out and still count as in flight. If they did not count, a server
// that continues overdue work would receive ever more requests.
func (s *server) abandonedInFlight(now clock.Time) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedAttempt) bool { return a.countsUntil <= now })
	return len(s.abandoned)
}
