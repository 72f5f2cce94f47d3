// Package queuelimit bounds the pending requests, to one kind of server, of clients that have sent more than they have answers
// for, so that the requests of the other clients find short queues at any capacity. The bound follows the response times, as
// congestion control does. It is pure: the router's event loop, which owns a Limit, reports the answers.
package queuelimit

import "spurtrestle/core/clock"

const (
	// maxWaiting bounds the requests that wait to be sent to a server.
	maxWaiting = 64
	// Bounds of the limit on pending requests.
	initialPending = 32
	minPending     = 4
	maxPending     = 4096
	// raisingDivisor gives the part of the limit by which it is raised in a response time, once it was lowered. Before, it doubles.
	raisingDivisor = 16
	// The limit is lowered by a factor while the mean response time exceeds a multiple of the base, and a constant.
	loweringFactor   = 0.7
	slowdownMultiple = 2
	slowdownConstant = 10 * clock.Millisecond
	// meanSamples is the number of response times that a mean averages over.
	meanSamples = 32
	// baseRecovery is the time in which the base rises to the mean.
	baseRecovery = 600 * clock.Second
)

// responseTime estimates the response time of the servers.
type responseTime struct {
	samples    clock.Duration // up to meanSamples; a Duration, so that it divides durations
	mean       clock.Duration
	base       clock.Duration // the lowest mean; rises slowly
	observedAt clock.Time
}

func (t *responseTime) add(now clock.Time, took clock.Duration) {
	t.samples = min(t.samples+1, meanSamples)
	t.mean += (took - t.mean) / t.samples
	elapsed := min(now-t.observedAt, baseRecovery)
	t.observedAt = now
	if t.samples < meanSamples || t.mean < t.base {
		t.base = t.mean
		return
	}
	t.base += clock.Duration(float64(t.mean-t.base) * float64(elapsed) / float64(baseRecovery))
}

// isInflated reports whether requests wait in queues for a large part of the response time.
func (t *responseTime) isInflated() bool { return t.mean > slowdownMultiple*t.base+slowdownConstant }

// Limit is the bound.
type Limit struct {
	pending   float64 // requests that may be pending
	minimum   float64
	loweredAt clock.Time
	times     responseTime
}

// New returns a limit that has seen no answers.
func New() Limit { return Limit{pending: initialPending, minimum: minPending} }

// SetServers sets the number of servers. One pending request for each is never too many.
func (l *Limit) SetServers(count int) {
	l.minimum = float64(max(count, minPending))
	l.pending = max(l.pending, l.minimum)
}

// Observe reports an answer, the time from the request to the answer, and how many limited requests are pending.
func (l *Limit) Observe(now clock.Time, took clock.Duration, pending int) {
	l.times.add(now, took)
	switch {
	case !l.times.isInflated():
		if 2*pending >= int(l.pending) { // the limit is in use
			l.pending = min(l.pending+l.raise(), maxPending)
		}
	default:
		l.lower(now)
	}
}

// Reject reports that a limited request was rejected for lack of capacity.
func (l *Limit) Reject(now clock.Time) { l.lower(now) }

func (l *Limit) lower(now clock.Time) {
	if now-l.loweredAt < max(l.times.mean, slowdownConstant) { // answers do not show the last change yet
		return
	}
	l.loweredAt = now
	l.pending = max(l.pending*loweringFactor, l.minimum)
}

// raise returns by how much an answer raises the limit: as many come in a response time as are pending.
func (l *Limit) raise() float64 {
	if l.loweredAt == 0 {
		return 1
	}
	return max(1/l.pending, 1.0/raisingDivisor)
}

// Room returns how many requests may become pending, if some wait to be sent and some of the limited ones are pending.
func (l *Limit) Room(waiting, pending int) int {
	return max(0, min(maxWaiting-waiting, int(l.pending)-pending))
}
