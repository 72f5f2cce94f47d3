package policycommit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// Leader coordinates a change and answers renewals on the voter that is the raft leader. Every term has a new Leader, which does
// not know the leases that earlier ones granted. It is not safe for concurrent use.
type Leader struct {
	timing       Timing
	startedAt    clock.Time
	renewals     map[RouterName]receivedRenewal // the last of each router; bounded by the number of names in the fleet
	pendingToken Token
	pendingSince clock.Time // when this leader first saw the pending change

	shares shareLeases
}

type receivedRenewal struct {
	Renewal
	receivedAt clock.Time
}

// RenewalAnswer is the answer to a renewal. At most one field is set; none if the router does not get a lease now.
type RenewalAnswer struct {
	Lease *Lease
	Entry *Entry // to append to the log before the router can get a lease
}

// NewLeader returns the leader of a new term. fleetSize is the number of routers that the fleet's limits are divided by.
func NewLeader(now clock.Time, timing Timing, fleetSize int) *Leader {
	return &Leader{
		timing:    timing,
		startedAt: now,
		renewals:  map[RouterName]receivedRenewal{},
		shares:    newShareLeases(fleetSize),
	}
}

// AnswerRenewal records a renewal and answers it. If the router's share is leased out, it also begins to reclaim the share. The
// caller must have received the renewal before a majority confirmed this leader, and must have read state afterwards.
func (l *Leader) AnswerRenewal(now clock.Time, state *LogState, renewal Renewal) RenewalAnswer {
	l.renewals[renewal.Name] = receivedRenewal{Renewal: renewal, receivedAt: now}
	member, isMember := state.Members[renewal.Name]
	if renewal.Leaving {
		if isMember && member.Incarnation == renewal.Incarnation {
			return RenewalAnswer{Entry: &Entry{Kind: EntryLeave, Name: renewal.Name, Incarnation: renewal.Incarnation}}
		}
		return RenewalAnswer{}
	}
	if !isMember || !member.matches(renewal) {
		return RenewalAnswer{Entry: &Entry{
			Kind:        EntryJoin,
			Name:        renewal.Name,
			Incarnation: renewal.Incarnation,
			FailOpen:    renewal.FailOpen,
			Build:       renewal.Build,
			Site:        renewal.Site,
		}}
	}
	if state.LeasedOut[renewal.Name] {
		l.shares.reclaimed[renewal.Name] = true // the router gets no lease before its share is returned
		return RenewalAnswer{}
	}
	return RenewalAnswer{Lease: l.grantLease(now, state, renewal)}
}

func (m Member) matches(renewal Renewal) bool {
	return m.Incarnation == renewal.Incarnation && m.FailOpen == renewal.FailOpen && m.Site == renewal.Site
}

func (l *Leader) grantLease(now clock.Time, state *LogState, renewal Renewal) *Lease {
	current, document := state.Current()
	lease := &Lease{
		Incarnation:   renewal.Incarnation,
		RenewalSentAt: renewal.SentAt,
		Duration:      l.timing.LeaseDuration,
		Index:         state.Index,
		Revision:      current,
		ExtraShare:    l.shares.extraShare(now, state),
	}
	if renewal.ActiveRevision != current {
		lease.Document = document
	}
	pending := state.Pending
	if pending == nil {
		return lease
	}
	lease.Pending = pending.Token
	if renewal.Prepared != pending.Token && renewal.Rejected != pending.Token {
		lease.PrepareDocument = pending.Document
	}
	return lease
}

// maxLeaseValidity is the longest time for which a lease may count after it was granted, even by a clock that runs a hundredth
// slow.
func (l *Leader) maxLeaseValidity() clock.Duration {
	return l.timing.LeaseDuration + l.timing.LeaseDuration/clockDriftDivisor + l.timing.ClockSlack
}

// ResolvePending returns the entry that ends the pending change, or nil while the change has to wait. It returns a commit once
// every router that may be serving has prepared, and an abort if one has rejected the change or has not prepared within
// Timing.PrepareTimeout. The reasons are stored in the raft log and shown to operators.
func (l *Leader) ResolvePending(now clock.Time, state *LogState) *Entry {
	pending := state.Pending
	if pending == nil {
		l.pendingToken = ""
		return nil
	}
	if l.pendingToken != pending.Token {
		l.pendingToken, l.pendingSince = pending.Token, now
	}
	var unprepared []string
	for _, name := range slices.Sorted(maps.Keys(state.Members)) {
		member := state.Members[name]
		switch l.voteOf(now, name, member, pending.Token) {
		case voteRejected:
			reason := fmt.Sprintf("%s (build %s) cannot hold it: %s", name, member.Build, l.renewals[name].RejectReason)
			return &Entry{Kind: EntryAbort, Token: pending.Token, AbortReason: reason}
		case voteMissing:
			unprepared = append(unprepared, fmt.Sprintf("%s has not said what it makes of it", name))
		case voteUnreachable:
			unprepared = append(unprepared, fmt.Sprintf("%s does not answer, and may be serving", name))
		case votePrepared, voteNotNeeded:
		}
	}
	if len(unprepared) == 0 {
		return &Entry{Kind: EntryCommit, Token: pending.Token}
	}
	if now-l.pendingSince > l.timing.PrepareTimeout {
		return &Entry{Kind: EntryAbort, Token: pending.Token, AbortReason: fmt.Sprint(unprepared)}
	}
	return nil
}

// vote is a member's response to the pending change, as far as the leader knows it.
type vote int

const (
	votePrepared vote = iota
	voteRejected
	voteNotNeeded   // the member has no lease, and admits no requests until it has one for the outcome of the change
	voteMissing     // the member renews, but has neither prepared nor rejected
	voteUnreachable // the member does not renew, and may be serving
)

func (l *Leader) voteOf(now clock.Time, name RouterName, member Member, pending Token) vote {
	renewal := l.renewals[name]
	isCurrent := renewal.Incarnation == member.Incarnation
	switch {
	case isCurrent && renewal.Rejected == pending:
		return voteRejected
	case isCurrent && renewal.Prepared == pending:
		return votePrepared
	case !member.FailOpen && l.leaseExpired(now, name, member):
		return voteNotNeeded
	case isCurrent && now-renewal.receivedAt < l.timing.LeaseDuration:
		return voteMissing
	}
	return voteUnreachable
}

// leaseExpired reports whether the last lease of a router has definitely expired. A new leader first waits for the leases that
// its predecessor may have granted.
func (l *Leader) leaseExpired(now clock.Time, name RouterName, member Member) bool {
	validity := l.maxLeaseValidity()
	renewal, ok := l.renewals[name]
	renewedRecently := ok && renewal.Incarnation == member.Incarnation && now-renewal.receivedAt <= validity
	return now-l.startedAt > validity && !renewedRecently
}

// Followers returns the state of all members, by name.
func (l *Leader) Followers(now clock.Time, state *LogState) []FollowerState {
	var followers []FollowerState
	for name, member := range state.Members {
		follower := FollowerState{
			Name:        name,
			Incarnation: member.Incarnation,
			FailOpen:    member.FailOpen,
			Build:       member.Build,
			RenewalAge:  -1,
		}
		renewal, ok := l.renewals[name]
		if ok && renewal.Incarnation == member.Incarnation {
			follower.ActiveRevision = renewal.ActiveRevision
			follower.RenewalAge = now - renewal.receivedAt
			follower.Prepared = state.Pending != nil && renewal.Prepared == state.Pending.Token
		}
		followers = append(followers, follower)
	}
	slices.SortFunc(followers, func(a, b FollowerState) int { return cmp.Compare(a.Name, b.Name) })
	return followers
}
