package policycommit

import "spurtrestle/core/clock"

// NoDeadline is the admission deadline of a router that may serve indefinitely. It compares like a deadline that has passed, so
// callers test for it first.
const NoDeadline clock.Time = 0

// Follower is a router's participant in a change, and holds the router's lease. It is not safe for concurrent use.
type Follower struct {
	timing Timing
	config FollowerConfig

	active      ActivePolicy
	hasRevision bool
	index       Index // the highest index of a lease received

	leaseExpiresAt clock.Time
	hasOwnLease    bool // a lease was granted to this incarnation, not just transferred to it
	leaving        bool

	prepared      Token
	preparedIndex Index // of the lease that contained the document
	rejected      Token
	rejectReason  string

	hasRenewed bool
	renewedAt  clock.Time
	answered   bool // a lease has answered the last renewal
}

// FollowerConfig describes a router to its leader.
type FollowerConfig struct {
	Name        RouterName
	Incarnation Incarnation
	FailOpen    bool // keep serving under the active revision while the leader cannot be reached
	Build       string
	Validate    func(document string) error // reports why this build cannot apply a document
}

// ActivePolicy is the revision that a router's lease applies to, with its document.
type ActivePolicy struct {
	Revision Revision
	Document string
}

// LeaseUpdate lists the actions that the caller of ReceiveLease must take.
type LeaseUpdate struct {
	Adopt    bool // the active policy has changed: apply it
	RenewNow bool // send the next renewal immediately: it reports the outcome of the prepare
}

// NewFollower returns a follower without a lease.
func NewFollower(timing Timing, config FollowerConfig) *Follower {
	return &Follower{timing: timing, config: config, answered: true}
}

// NextRenewal returns the renewal to send to the leader, if one is due now.
func (f *Follower) NextRenewal(now clock.Time) (renewal Renewal, due bool) {
	interval := f.timing.RenewInterval
	if !f.answered {
		interval = f.timing.RetryInterval
	}
	if f.hasRenewed && now-f.renewedAt < interval {
		return Renewal{}, false
	}
	f.hasRenewed = true
	f.renewedAt = now
	f.answered = false
	return f.renewal(now), true
}

func (f *Follower) renewal(now clock.Time) Renewal {
	return Renewal{
		Name:           f.config.Name,
		Incarnation:    f.config.Incarnation,
		SentAt:         now,
		FailOpen:       f.config.FailOpen,
		Build:          f.config.Build,
		ActiveRevision: f.active.Revision,
		Index:          f.index,
		Prepared:       f.prepared,
		Rejected:       f.rejected,
		RejectReason:   f.rejectReason,
		Leaving:        f.leaving,
	}
}

// Leave permanently ends the admission of requests and returns the renewal that reports it.
func (f *Follower) Leave(now clock.Time) Renewal {
	f.leaving = true
	return f.renewal(now)
}

// ReceiveLease handles the answer to a renewal. A router never returns to an earlier revision: a lease for one counts as an
// answer, but does not extend the router's lease.
func (f *Follower) ReceiveLease(now clock.Time, lease Lease) LeaseUpdate {
	if !f.isAcceptable(now, lease) {
		return LeaseUpdate{}
	}
	f.answered = true
	f.hasOwnLease = true
	f.index = max(f.index, lease.Index)

	var update LeaseUpdate
	if !f.hasRevision || lease.Revision != f.active.Revision {
		if lease.Revision < f.active.Revision {
			return LeaseUpdate{} // granted by a voter whose data directory was restored from an older copy
		}
		f.active = ActivePolicy{Revision: lease.Revision, Document: lease.Document}
		f.hasRevision = true
		update.Adopt = true
	}
	f.leaseExpiresAt = max(f.leaseExpiresAt, lease.RenewalSentAt+lease.Duration)
	f.clearResolved(lease.Pending)
	if f.mustPrepare(lease) {
		f.prepare(now, lease)
		update.RenewNow = true
	}
	return update
}

// isAcceptable reports whether a lease answers a renewal of this process and is not older than what the follower has acted on.
func (f *Follower) isAcceptable(now clock.Time, lease Lease) bool {
	answersThisProcess := lease.Incarnation == f.config.Incarnation && lease.RenewalSentAt <= now
	if !answersThisProcess || lease.Index < f.index || f.leaving {
		return false
	}
	// The leader granted the lease before it had the change that this router has prepared.
	grantedBeforeProposal := f.prepared != "" && lease.Pending != f.prepared && lease.Index <= f.preparedIndex
	return !grantedBeforeProposal
}

// clearResolved drops a prepared or rejected change that is no longer pending.
func (f *Follower) clearResolved(pending Token) {
	if f.prepared != pending {
		f.prepared = ""
	}
	if f.rejected != pending {
		f.rejected, f.rejectReason = "", ""
	}
}

func (f *Follower) mustPrepare(lease Lease) bool {
	hasDocument := lease.PrepareDocument != "" && lease.Pending != ""
	return hasDocument && f.prepared != lease.Pending && f.rejected != lease.Pending
}

// prepare validates the pending document, records the outcome and makes the next renewal due immediately.
func (f *Follower) prepare(now clock.Time, lease Lease) {
	if err := f.config.Validate(lease.PrepareDocument); err != nil {
		f.rejected, f.rejectReason = lease.Pending, err.Error()
	} else {
		f.prepared, f.preparedIndex = lease.Pending, lease.Index
	}
	f.answered = false
	f.renewedAt = now - f.timing.RetryInterval
}

// Active returns the policy that the lease applies to; false before the first lease.
func (f *Follower) Active() (ActivePolicy, bool) { return f.active, f.hasRevision }

// AdmissionDeadline returns the time until which the router may admit requests. It is NoDeadline for a fail-open router that has
// prepared no change, and not later than now for a router that may not admit any.
func (f *Follower) AdmissionDeadline(now clock.Time) clock.Time {
	switch {
	case !f.hasRevision || f.leaving:
		return now
	case f.config.FailOpen && f.prepared == "" && f.hasOwnLease:
		return NoDeadline
	}
	return f.leaseExpiresAt
}

// Prepared returns the change that the router has prepared and whose outcome it has not received; empty if there is none.
func (f *Follower) Prepared() Token { return f.prepared }
