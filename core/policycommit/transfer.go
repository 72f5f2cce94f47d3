package policycommit

import "spurtrestle/core/clock"

// Transfer returns the lease to pass to the successor; false if this process has none to pass.
func (f *Follower) Transfer(now clock.Time) (LeaseTransfer, bool) {
	deadline := f.AdmissionDeadline(now)
	if deadline == NoDeadline {
		deadline = now + f.timing.LeaseDuration
	}
	transfer := LeaseTransfer{
		Revision:  f.active.Revision,
		Index:     f.index,
		Document:  f.active.Document,
		Remaining: deadline - now,
	}
	return transfer, f.hasRevision && deadline > now
}

// AdoptTransfer adopts the lease of the predecessor and reports whether the active policy has changed. It has no effect once
// the leader has granted this process its own lease.
func (f *Follower) AdoptTransfer(now clock.Time, transfer LeaseTransfer) (adopt bool) {
	isOlder := f.hasRevision && transfer.Revision < f.active.Revision
	if f.hasOwnLease || f.leaving || isOlder || transfer.Remaining <= 0 {
		return false
	}
	adopt = !f.hasRevision || transfer.Revision > f.active.Revision
	f.active = ActivePolicy{Revision: transfer.Revision, Document: transfer.Document}
	f.hasRevision = true
	f.index = max(f.index, transfer.Index)
	f.leaseExpiresAt = max(f.leaseExpiresAt, now+min(transfer.Remaining, f.timing.LeaseDuration))
	return adopt
}
