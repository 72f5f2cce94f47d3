// Package sharelease divides a fleet's limits among its routers: it determines the share of the limits that this router may
// use. It does no I/O and reads no clock: internal/gossip passes it messages and the current time of the process's monotonic
// clock, under one lock.
//
// Each of the N slots of a fleet owns a share of 1/N. It always keeps an eighth of that, the minimum share. While its router
// is drained, it grants the rest to the other slots in equal portions. A portion is granted on request as a lease. The holder
// counts the duration from its request, the grantor from its grant, which is later. Therefore the holder stops using the
// portion before the grantor uses it again, even if messages are late, lost, duplicated or reordered. A grantor that needs its
// share earlier revokes the portions; a holder that replies has released its portion.
//
// No share is taken from a router that does not reply, since it may be partitioned and still serving. The sum of all shares in
// use therefore never exceeds 1, as long as each slot has one live process.
package sharelease

import "spurtrestle/core/clock"

// Slot is the index of a router in the fleet, from 0.
type Slot int

// Incarnation identifies one process of a router; 0 is none.
type Incarnation uint64

// minimumRatio is the part of its own share that a slot never grants, so that a router that accepts clients again can serve
// before its portions have been returned.
const minimumRatio = 1.0 / 8

// MinimumShare returns the share that a router of a fleet of this size can always use.
func MinimumShare(fleetSize int) float64 { return minimumRatio / float64(max(1, fleetSize)) }

// Timing has the durations of the protocol.
type Timing struct {
	LeaseDuration    clock.Duration // holders renew the lease
	TransferDuration clock.Duration // of a lease granted by a process that is about to exit; it cannot be renewed
	RetryInterval    clock.Duration // between two requests to, or two revocations from, one slot
	ExpiryMargin     clock.Duration // added by the grantor to a lease before it counts as expired
}

// DefaultTiming returns the timing of a fleet. A lease is requested four times in its duration, because packets may be lost.
// TransferDuration covers a restart; it is also the time until a process that reaches no other router has its portions back.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:    2 * clock.Second,
		TransferDuration: 10 * clock.Second,
		RetryInterval:    500 * clock.Millisecond,
		ExpiryMargin:     50 * clock.Millisecond,
	}
}

// clockDriftDivisor is the inverse of the maximum rate difference between the clocks of two routers.
const clockDriftDivisor = 100

// grantorExpiry is the time at which a lease expires for its grantor.
func (t Timing) grantorExpiry(now clock.Time, duration clock.Duration) clock.Time {
	return now + duration + duration/clockDriftDivisor + t.ExpiryMargin
}

// Share is the share of the fleet's limits that a router may use: Current until ExpiresAt, AfterExpiry from then on. The caller
// normally recomputes it before it expires.
type Share struct {
	Current     float64
	ExpiresAt   clock.Time // when the first borrowed portion expires; 0: Current does not expire
	AfterExpiry float64    // without any borrowed portions, including those that expire later
}

// permanentShare returns a share that does not expire.
func permanentShare(share float64) Share { return Share{Current: share, AfterExpiry: share} }
