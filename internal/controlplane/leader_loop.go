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
	leaderInterval          = 20 * time.Millisecond   // between two passes of the leader
	maxQueuedRenewals       = 10000                   // enough for a fleet of thousands of routers
	membershipRetryInterval = 200 * clock.Millisecond // between two appends of the same router's join or leave
	deadlineMargin          = 1 * clock.Second        // after the longest deadline, by when all requests have certainly ended
)

// leaderState is the state of a node that leads. coordinator is nil on other nodes. Node.mu guards it.
type leaderState struct {
	coordinator          *policycommit.Leader
	renewals             []queuedRenewal
	verdictWaiters       map[policycommit.Token][]pendingCall
	membershipAppendedAt map[policycommit.RouterName]clock.Time // when an EntryJoin or EntryLeave was last appended
	sites                siteLeader
}

// queuedRenewal is a renewal that waits for the next pass of the leader.
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

// runLeader calls leaderPass periodically until the node is closed.
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

// leaderPass updates the leadership and, if this voter leads, does the periodic work of the leader.
func (n *Node) leaderPass() {
	coordinator, renewals := n.updateLeadership()
	if coordinator == nil {
		return
	}
	n.raftLog.addVoters(n.transport.Voters(), n.config.Voters, n.inviteVoter)
	n.evaluateSites() // before the first lease of a term: a lease without orders would cancel the orders of the previous term
	n.answerRenewals(coordinator, renewals)
	state := n.raftLog.currentState() // includes entries that were applied while renewals were answered
	n.resolvePending(coordinator, state)
	n.updateShares(coordinator, state)
	n.sendVerdicts()
}

// updateLeadership begins or ends the term of this voter as leader if raft's leadership has changed, and returns the renewals
// received since the last pass. The coordinator is nil if this voter does not lead.
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

// leaderTiming returns the timing of a leader. Its quiesce period covers the longest deadline of a request in flight.
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

// answerRenewals answers renewals with leases. A majority of the voters must confirm the leader after the renewals were received;
// renewals that arrive meanwhile wait for the next pass. It sends with n.mu held, since sending does not wait for the network.
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
			n.appendAsync(*answer.Entry) // if it fails, a later renewal of the router causes another append
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

// resolvePending appends the entry that commits or aborts the pending change, if one is due. The next pass repeats a failed
// append.
func (n *Node) resolvePending(coordinator *policycommit.Leader, state *policycommit.LogState) {
	n.mu.Lock()
	entry := coordinator.ResolvePending(n.now(), state)
	n.mu.Unlock()
	if entry != nil {
		_ = n.raftLog.append(*entry)
	}
}

// updateShares appends the entry that leases out the share of a lost router or returns it, if one is due. The next pass repeats a
// failed append.
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
		"what":     string(entry.Kind), // deprecated key, kept for one release
		"formerly": "policy: a lost router's part",
	}).Warn("policy: share of a lost router")
	_ = n.raftLog.append(*entry)
}

// sendVerdicts replies to the operators' requests whose changes have been committed or aborted.
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
