// Package sharelease divides a fleet's limits among its routers: it decides which share of the limits this router may use. It
// does no I/O and reads no clock: internal/gossip passes it messages and the current time of the process's monotonic clock,
// under one lock.
//
// Each of the N slots of a fleet owns a share of 1/N. It always keeps an eighth of that, the minimum share. While its router
// is drained it grants the rest to the other slots, an equal portion to each. A portion is granted on request as a lease: the
// holder counts its duration from the request, the grantor from the grant, which is later. However late, lost, duplicated or
// reordered messages are, the holder has stopped using the portion before the grantor uses it again. A grantor that needs its
// share back earlier revokes the portions; a holder that answers has released its portion.
//
// Nothing is taken from a router that does not answer, since it may be cut off and still serving. The sum of all shares in
// use is therefore never over 1, as long as each slot has one living process.
package sharelease

import "spurtrestle/core/clock"

// Slot is the index of a router in the fleet, from 0.
type Slot int

// Incarnation identifies one process of a router; 0 is none.
type Incarnation uint64

// minimumRatio is the part of its own share that a slot never grants, so that a router that accepts clients again can serve
// before its portions are back.
const minimumRatio = 1.0 / 8

// MinimumShare returns the share that a router of a fleet of this size can always use.
func MinimumShare(fleetSize int) float64 { return minimumRatio / float64(max(1, fleetSize)) }

// Timing is the spans of leases.
type Timing struct {
	LeaseDuration    clock.Duration // holders renew the lease
	TransferDuration clock.Duration // of a lease granted by a process that is about to exit; it cannot be renewed
	RetryInterval    clock.Duration // between two requests to, or two revocations from, one slot
	ExpiryMargin     clock.Duration // by which a grantor lets a lease expire later than its holder
}

// DefaultTiming returns the timing of a fleet. A lease is requested four times in its duration, since packets get lost. A
// transfer covers a restart, and is how long a process that reaches no other router does without its portions.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:    2 * clock.Second,
		TransferDuration: 10 * clock.Second,
		RetryInterval:    500 * clock.Millisecond,
		ExpiryMargin:     50 * clock.Millisecond,
	}
}

// clockDriftDivisor is the inverse of the largest difference in rate between the clocks of two routers.
const clockDriftDivisor = 100

// grantorExpiry is the end of a lease as its grantor counts it.
func (t Timing) grantorExpiry(now clock.Time, duration clock.Duration) clock.Time {
	return now + duration + duration/clockDriftDivisor + t.ExpiryMargin
}

// Share is the share of the fleet's limits that a router may use: Current until ExpiresAt, AfterExpiry from then on. The caller
// computes it anew well before.
type Share struct {
	Current     float64
	ExpiresAt   clock.Time // when the first borrowed portion expires; 0: Current does not expire
	AfterExpiry float64    // without any borrowed portion, also without those that expire later
}

// unexpiring returns a share that does not expire.
func unexpiring(share float64) Share { return Share{Current: share, AfterExpiry: share} }
