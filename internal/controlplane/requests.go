package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/operator"
)

const (
	requestTimeout       = 8 * time.Second // longer than a change may be pending
	requestRetryInterval = 500 * time.Millisecond
	maxHistoryReply      = 20 // maximum number of changes in a reply
)

// ErrNoLeader reports that no leader replied, so that it is unknown whether a requested change was made. The text is part of the
// reply to operators, like those of bootstrap and of StaleLogError.
var ErrNoLeader = errors.New("no leader of the keepers can be reached; nothing was changed, or it is not known: ask again with the same token")

// UnknownRequestError reports a request of a type that this build does not support.
type UnknownRequestError struct{ Type policycommit.RequestType }

// Error implements error.
func (e *UnknownRequestError) Error() string { return fmt.Sprintf("unknown request type %q", e.Type) }

// Policy returns this router's policycommit.RouterStatus as JSON.
func (n *Node) Policy() (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	text, err := json.MarshalIndent(n.status(), "", " ")
	return string(text) + "\n", err
}

// status returns the state of this router's policy. n.mu must be held.
func (n *Node) status() policycommit.RouterStatus {
	now := n.now()
	active, hasRevision := n.follower.Active()
	deadline := n.follower.AdmissionDeadline(now)
	status := policycommit.RouterStatus{
		Revision:    active.Revision,
		InForce:     n.inForce,
		HasRevision: hasRevision,
		Admitting:   n.hasApplied() && (deadline == policycommit.NoDeadline || deadline > now),
		ApplyError:  n.applyError,
		Prepared:    n.follower.Prepared(),
		CutOff:      operator.WhenIsolatedReject,
		Voter:       n.config.isVoter(),
		Leader:      n.leader.coordinator != nil,
		ExtraShare:  n.extraShare,
	}
	if n.config.FailOpen {
		status.CutOff = operator.WhenIsolatedServe
	}
	if n.raftLog != nil {
		status.VoterFault = n.raftLog.fault()
	}
	if n.siteOrders.isCurrent(now) && !n.siteOrders.orders.Empty() {
		orders := n.siteOrders.orders
		status.Orders = &orders
	}
	return status
}

// HandleRequest forwards an operator's request, a policycommit.Request as JSON, to the leader, and returns the leader's
// policycommit.Reply as JSON. Only a bootstrap request is handled by this node itself.
func (n *Node) HandleRequest(text string) (string, error) {
	var request policycommit.Request
	if err := json.Unmarshal([]byte(text), &request); err != nil {
		return "", fmt.Errorf("what is asked cannot be read: %w", err)
	}
	if request.Type == policycommit.RequestBootstrap {
		return n.bootstrap()
	}
	if request.Type == policycommit.RequestApply {
		if err := n.validate(request.Document); err != nil {
			return "", err
		}
	}
	request.ID = rand.Uint64() | 1
	reply, err := n.call(request)
	if err != nil {
		return "", err
	}
	out, err := json.MarshalIndent(reply, "", " ")
	return string(out) + "\n", err
}

// call sends a request to the leader repeatedly until a reply arrives. The leader identifies a repeated change by its token and
// makes it only once.
func (n *Node) call(request policycommit.Request) (policycommit.Reply, error) {
	replies := make(chan policycommit.Reply, 1)
	n.mu.Lock()
	n.pendingCalls[request.ID] = replies
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pendingCalls, request.ID)
		n.mu.Unlock()
	}()
	for deadline := time.Now().Add(requestTimeout); time.Now().Before(deadline); {
		for _, leader := range n.transport.Leaders() {
			n.send(leader, message{Request: &request})
		}
		select {
		case reply := <-replies:
			return reply, nil
		case <-time.After(requestRetryInterval):
		case <-n.stop:
			return policycommit.Reply{}, ErrNoLeader
		}
	}
	return policycommit.Reply{}, ErrNoLeader
}

// receiveReply passes a reply to the call that waits for it. n.mu must be held.
func (n *Node) receiveReply(reply policycommit.Reply) {
	select {
	case n.pendingCalls[reply.ID] <- reply:
	default: // a duplicate reply, or the call has timed out
	}
}

// serveRequest executes an operator's request and sends the reply to the router that forwarded it. If this voter does not lead,
// it does nothing, and that router repeats the request.
func (n *Node) serveRequest(from fleet.Incarnation, request policycommit.Request) {
	n.mu.Lock()
	coordinator := n.leader.coordinator
	n.mu.Unlock()
	if coordinator == nil || n.raftLog == nil {
		return
	}
	if request.Type == policycommit.RequestApply {
		n.proposeChange(from, request)
		return
	}
	err := n.execute(request)
	if err == nil && !n.raftLog.confirmLeadership() {
		return
	}
	reply := n.newReply(coordinator, request)
	if err != nil {
		reply.Error = err.Error()
	}
	n.send(from, message{Reply: &reply})
}

// proposeChange appends a change to the log, and sendVerdicts replies once the change is resolved. If the request is a repetition
// and the change is already resolved, proposeChange replies at once.
func (n *Node) proposeChange(from fleet.Incarnation, request policycommit.Request) {
	state := n.raftLog.currentState()
	if verdict, resolved := state.Verdicts[request.Token]; resolved {
		n.send(from, message{Reply: &policycommit.Reply{ID: request.ID, Verdict: &verdict}})
		return
	}
	n.mu.Lock()
	calls := append(n.leader.verdictWaiters[request.Token], pendingCall{from: from, requestID: request.ID})
	n.leader.verdictWaiters[request.Token] = calls
	n.mu.Unlock()
	isPending := state.Pending != nil && state.Pending.Token == request.Token
	if len(calls) > 1 || isPending {
		return
	}
	_ = n.raftLog.append(policycommit.Entry{ // if it fails, the forwarding router repeats the request
		Kind:        policycommit.EntryPropose,
		Token:       request.Token,
		Base:        request.Base,
		Document:    request.Document,
		Author:      request.Author,
		Reason:      request.Reason,
		RequestedAt: request.RequestedAt,
	})
}

// execute carries out the command of a request. It does nothing for a query.
func (n *Node) execute(request policycommit.Request) error {
	switch request.Type {
	case policycommit.RequestMarkDead:
		return n.markDead(request)
	case policycommit.RequestReplaceVoter:
		return n.raftLog.removeVoter(request.Name)
	case policycommit.RequestSiteAction:
		return n.executeSiteAction(request)
	case policycommit.RequestStatus, policycommit.RequestHistory, policycommit.RequestSites:
		return nil
	}
	return &UnknownRequestError{Type: request.Type}
}

// markDead appends the statement of an operator that a router is dead.
func (n *Node) markDead(request policycommit.Request) error {
	err := n.raftLog.append(policycommit.Entry{
		Kind:        policycommit.EntryMarkDead,
		Name:        policycommit.RouterName(request.Name),
		Author:      request.Author,
		Reason:      request.Reason,
		RequestedAt: request.RequestedAt,
	})
	n.log.WithFields(logrus.Fields{"router": request.Name, "by": request.Author, "reason": request.Reason}).
		Warn("policy: router marked dead by an operator")
	return err
}

// newReply returns the reply to a request with the current state of the log. All replies contain the followers and the voters.
func (n *Node) newReply(coordinator *policycommit.Leader, request policycommit.Request) policycommit.Reply {
	state := n.raftLog.currentState()
	current, _ := state.Current()
	reply := policycommit.Reply{
		ID:      request.ID,
		Current: current,
		Pending: state.Pending,
		Voters:  n.raftLog.voters(),
	}
	n.mu.Lock()
	reply.Followers = coordinator.Followers(n.now(), state)
	n.mu.Unlock()
	switch request.Type {
	case policycommit.RequestSites, policycommit.RequestSiteAction:
		reply.Sites, reply.Document = n.siteStatus(state)
	case policycommit.RequestHistory:
		reply.History = selectHistory(state.History, request.Base)
		reply.DeathReports = state.DeathReports
	}
	return reply
}

// selectHistory returns the latest changes, or only the change of a revision if that is not 0.
func selectHistory(history []policycommit.Change, revision policycommit.Revision) []policycommit.Change {
	if revision == 0 {
		return history[max(0, len(history)-maxHistoryReply):]
	}
	var selected []policycommit.Change
	for _, change := range history {
		if change.Revision == revision {
			selected = append(selected, change)
		}
	}
	return selected
}
