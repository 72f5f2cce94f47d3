// Package policycommit commits a change of the fleet's policy on every router or on none: a two-phase commit over a replicated
// log.
//
//   - LogState is the replicated state machine, the same on every voter: it applies the entries of the raft log in order.
//   - Leader is the coordinator. It exists on the voter that leads raft, answers the renewals of routers with leases, and ends a
//     pending change with a commit or an abort entry.
//   - Follower is the participant. It exists on every router, renews the router's lease, and prepares a pending change.
//
// A change is proposed by an EntryPropose in the log. While it is pending, the leader sends its document with each lease
// (prepare); each router reports in its next renewal that it has prepared or rejected the document. The leader commits once
// every router that may be serving has prepared. A committed change is the next Revision, the epoch of the configuration.
//
// A router admits requests only under a lease. The lease counts from when the renewal was sent, and is granted only after a
// majority of the voters has confirmed the leader. Therefore no router admits requests under a revision for longer than
// Timing.LeaseDuration after the next revision was first granted, even with delays, stalls and partitions.
//
// The package does no I/O and reads no clock. Its callers are internal/controlplane and the models in the tests; they pass the
// time of the process's own monotonic clock, and serialize the calls on one value.
package policycommit

import "spurtrestle/core/clock"

// RouterName is the configured name of a router.
type RouterName string

// Incarnation identifies one process of a router.
type Incarnation uint64

// Revision numbers the committed policies, from 1. Revision 0 is the policy of each router's own settings.
type Revision uint64

// Index is the position of an entry in the raft log.
type Index uint64

// Token identifies a proposed change. The operator's tool generates it, so that a repeated request proposes the change once.
type Token string

// Timing has the durations of the protocol.
type Timing struct {
	LeaseDuration  clock.Duration // how long a lease counts from its renewal; two revisions may be served concurrently for as long
	RenewInterval  clock.Duration // between two renewals
	RetryInterval  clock.Duration // until an unanswered renewal is sent again
	PrepareTimeout clock.Duration // until a change is aborted that not all routers have prepared
	ClockSlack     clock.Duration // added by the leader to a lease, in addition to a hundredth of it, before it counts as expired
	QuiescePeriod  clock.Duration // after a lost router's last lease, until its requests in flight and its share leases have ended
}

// clockDriftDivisor is the inverse of the maximum rate error of a router's clock, a hundredth.
const clockDriftDivisor = 100

const (
	leaseDuration  = 950 * clock.Millisecond // below a second even by a clock that runs a hundredth slow
	renewInterval  = 200 * clock.Millisecond // four renewals in a lease
	retryInterval  = 60 * clock.Millisecond
	prepareTimeout = 5 * clock.Second
	clockSlack     = 50 * clock.Millisecond
	quiescePeriod  = 12 * clock.Second // longer than a share lease of a router that shuts down: ten seconds, see package sharelease
)

// DefaultTiming returns the durations of a fleet in operation.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:  leaseDuration,
		RenewInterval:  renewInterval,
		RetryInterval:  retryInterval,
		PrepareTimeout: prepareTimeout,
		ClockSlack:     clockSlack,
		QuiescePeriod:  quiescePeriod,
	}
}
