package controlplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/fleet"
)

const (
	leaderInterval          = 20 * time.Millisecond // between two passes of the leader
	maxQueuedRenewals       = 10000                 // for a fleet of thousands
	membershipRetryInterval = 200 * clock.Millisecond
	deadlineMargin          = 1 * clock.Second // after the longest deadline of a method, until its requests are certainly over
)

// leaderState is the state of a node as leader; on other nodes coordinator is nil. Node.mu guards it.
type leaderState struct {
	coordinator          *policycommit.Leader
	renewals             []queuedRenewal
	verdictWaiters       map[policycommit.Token][]pendingCall
	membershipAppendedAt map[policycommit.RouterName]clock.Time // when an EntryJoin or EntryLeave was last appended
	sites                siteLeader
}

type queuedRenewal struct {
	policycommit.Renewal
	from fleet.Incarnation
}

// pendingCall is an operator's request that waits for the verdict of its change.
type pendingCall struct {
	from      fleet.Incarnation
	requestID uint64
}

func newLeaderState() leaderState {
	return leaderState{
		verdictWaiters:       map[policycommit.Token][]pendingCall{},
		membershipAppendedAt: map[policycommit.RouterName]clock.Time{},
	}
}

// runLeader makes a pass of the leader while this voter leads, until the node is closed.
func (n *Node) runLeader() {
	for {
		n.leaderPass()
		select {
		case <-n.stop:
			return
		case <-time.After(leaderInterval):
		}
	}
}

func (n *Node) leaderPass() {
	coordinator, renewals := n.updateLeadership()
	if coordinator == nil {
		return
	}
	n.raftLog.addVoters(n.transport.Voters(), n.config.Voters, n.inviteVoter)
	n.evaluateSites() // before the first lease of a term: a lease without orders would end those of the term before
	n.answerRenewals(coordinator, renewals)
	state := n.raftLog.currentState() // with the entries that were applied while renewals were answered
	n.resolvePending(coordinator, state)
	n.updateShares(coordinator, state)
	n.sendVerdicts()
}

// updateLeadership begins or ends a term of this leader, and dequeues the renewals received since the last pass. The coordinator is
// nil if this voter does not lead.
func (n *Node) updateLeadership() (*policycommit.Leader, []queuedRenewal) {
	isLeader := n.raftLog.isLeader()
	n.mu.Lock()
	defer n.mu.Unlock()
	if isLeader != (n.leader.coordinator != nil) {
		n.leader.coordinator = nil
		if isLeader {
			n.leader.coordinator = policycommit.NewLeader(n.now(), n.leaderTiming(), n.config.OwnSettings.Routers)
		}
		n.leader.sites.reset(n.now())
		n.leader.renewals = nil
		n.transport.SetLeader(isLeader)
		n.log.WithField("leader", isLeader).Info("policy: leadership changed")
	}
	renewals := n.leader.renewals
	n.leader.renewals = nil
	return n.leader.coordinator, renewals
}

// leaderTiming is the timing of a leader whose routers have no request in flight longer than the longest deadline.
func (n *Node) leaderTiming() policycommit.Timing {
	timing := policycommit.DefaultTiming()
	for _, method := range n.config.OwnSettings.Methods {
		timing.QuiescePeriod = max(timing.QuiescePeriod, method.Deadline+deadlineMargin)
	}
	return timing
}

// enqueueRenewal queues a renewal for the next pass of the leader. n.mu must be held.
func (n *Node) enqueueRenewal(from fleet.Incarnation, renewal policycommit.Renewal, report *sitefailover.Report) {
	if n.leader.coordinator == nil || len(n.leader.renewals) >= maxQueuedRenewals {
		return
	}
	n.leader.renewals = append(n.leader.renewals, queuedRenewal{Renewal: renewal, from: from})
	if report != nil {
		n.leader.sites.recordReport(renewal.Name, *report, n.now())
	}
}

// answerRenewals answers what was received before a majority confirmed this leader; the rest waits for the next pass.
// It sends under n.mu: sending does not wait for the network.
func (n *Node) answerRenewals(coordinator *policycommit.Leader, renewals []queuedRenewal) {
	if len(renewals) == 0 || !n.raftLog.confirmLeadership() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	state := n.raftLog.currentState()
	for _, renewal := range renewals {
		answer := coordinator.AnswerRenewal(now, state, renewal.Renewal)
		if answer.Lease != nil {
			n.send(renewal.from, message{Lease: answer.Lease, SiteOrders: n.leader.sites.orders})
		}
		if answer.Entry != nil && now-n.leader.membershipAppendedAt[answer.Entry.Name] > membershipRetryInterval {
			n.leader.membershipAppendedAt[answer.Entry.Name] = now
			n.appendAsync(*answer.Entry) // if it fails, the router's next renewal repeats it
		}
	}
}

// appendAsync appends an entry without waiting for it. n.mu must be held.
func (n *Node) appendAsync(entry policycommit.Entry) {
	n.spawn(func() {
		if err := n.raftLog.append(entry); err != nil {
			n.log.WithError(err).WithField("kind", string(entry.Kind)).Debug("policy: append failed")
		}
	})
}

// resolvePending appends the entry that ends the pending change, if it is due. A failed append is repeated by the next pass.
func (n *Node) resolvePending(coordinator *policycommit.Leader, state *policycommit.LogState) {
	n.mu.Lock()
	entry := coordinator.ResolvePending(n.now(), state)
	n.mu.Unlock()
	if entry != nil {
		_ = n.raftLog.append(*entry)
	}
}

// updateShares appends the entry that leases out the share of a lost router or gives it back, if one is due. A failed append is
// repeated by the next pass.
func (n *Node) updateShares(coordinator *policycommit.Leader, state *policycommit.LogState) {
	n.mu.Lock()
	entry := coordinator.NextShareEntry(n.now(), state)
	n.mu.Unlock()
	if entry == nil {
		return
	}
	n.log.WithFields(logrus.Fields{
		"kind":     string(entry.Kind),
		"router":   string(entry.Name),
		"what":     string(entry.Kind), // the key of earlier releases, until the next one
		"formerly": "policy: a lost router's part",
	}).Warn("policy: share of a lost router")
	_ = n.raftLog.append(*entry)
}

// sendVerdicts replies to the operators' requests whose changes have been resolved.
func (n *Node) sendVerdicts() {
	for token, verdict := range n.raftLog.takeVerdicts() {
		n.mu.Lock()
		calls := n.leader.verdictWaiters[token]
		delete(n.leader.verdictWaiters, token)
		n.mu.Unlock()
		for _, call := range calls {
			n.send(call.from, message{Reply: &policycommit.Reply{ID: call.requestID, Verdict: &verdict}})
		}
	}
}
