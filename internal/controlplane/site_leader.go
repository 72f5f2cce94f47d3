package controlplane

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/fleet"
)

const (
	siteEvaluationInterval = 100 * clock.Millisecond
	// siteReportTTL is how long a router counts as reporting after a report: five renewals, so that a network path which loses
	// a third of its packets has no effect.
	siteReportTTL = 1200 * clock.Millisecond
	// transitionRetryInterval is the minimum interval between two appends of transitions: the entry of the first one may not be
	// applied to the log state yet.
	transitionRetryInterval = 500 * clock.Millisecond
)

// siteLeader is the leader's state of the failover of sites. Node.mu guards it.
type siteLeader struct {
	coordinator  *sitefailover.Coordinator
	reports      map[policycommit.RouterName]receivedReport
	orders       *sitefailover.Orders // sent with each lease; nil if there are none
	evaluatedAt  clock.Time
	transitionAt clock.Time // when a transition was last appended
}

// receivedReport is the last report of a router.
type receivedReport struct {
	sitefailover.Report
	receivedAt clock.Time
}

// reset discards the state of an earlier term.
func (s *siteLeader) reset(now clock.Time) {
	s.coordinator = sitefailover.NewCoordinator(now)
	s.reports = map[policycommit.RouterName]receivedReport{}
	s.orders = nil
	s.evaluatedAt = -siteEvaluationInterval
}

func (s *siteLeader) recordReport(name policycommit.RouterName, report sitefailover.Report, now clock.Time) {
	s.reports[name] = receivedReport{Report: report, receivedAt: now}
}

// routerStates combines the members of the fleet with their last reports.
func (s *siteLeader) routerStates(members []fleet.Member, now clock.Time) []sitefailover.RouterState {
	var states []sitefailover.RouterState
	for _, member := range members {
		last := s.reports[policycommit.RouterName(member.Name)]
		states = append(states, sitefailover.RouterState{
			Name:      member.Name,
			Site:      sitefailover.Site(member.Site),
			Reporting: last.receivedAt != 0 && now-last.receivedAt < siteReportTTL,
			Report:    last.Report,
		})
	}
	return states
}

// evaluateSites updates the site orders, and appends the transition of a site if one is due.
func (n *Node) evaluateSites() {
	now, due := n.siteEvaluationDue()
	if !due {
		return
	}
	state := n.raftLog.currentState()
	members := withPolicyMembers(n.transport.Members(), state)
	transition := n.nextTransition(now, members, state)
	if transition == nil {
		return
	}
	transition.DecidedAt = time.Now().UnixMicro()
	n.log.WithFields(logrus.Fields{
		"site":     transition.Site,
		"stage":    transition.Stage.String(),
		"step":     transition.Step + 1,
		"why":      transition.Reason,
		"mono_us":  fleet.Monotonic(),
		"formerly": "site: ruling",
	}).Warn("site: decision")
	n.mu.Lock()
	defer n.mu.Unlock()
	// If the append fails, a later evaluation returns the transition again.
	n.appendAsync(policycommit.Entry{Kind: policycommit.EntrySiteTransition, Transition: transition})
}

// siteEvaluationDue reports whether to evaluate the sites now. Without a plan it clears the orders.
func (n *Node) siteEvaluationDue() (now clock.Time, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sites := &n.leader.sites
	now = n.now()
	if !n.siteOrders.plan.Enabled() {
		sites.orders = nil
		return now, false
	}
	if n.leader.coordinator == nil || now-sites.evaluatedAt < siteEvaluationInterval {
		return now, false
	}
	sites.evaluatedAt = now
	return now, true
}

// nextTransition evaluates the sites, updates the orders, and returns the transition to append, or nil.
func (n *Node) nextTransition(now clock.Time, members []fleet.Member, state *policycommit.LogState) *sitefailover.Transition {
	n.mu.Lock()
	defer n.mu.Unlock()
	sites := &n.leader.sites
	orders, transition := sites.coordinator.Evaluate(now, &n.siteOrders.plan, state.Sites, sites.routerStates(members, now))
	sites.orders = &orders
	if orders.Empty() {
		sites.orders = nil
	}
	if transition == nil || now-sites.transitionAt < transitionRetryInterval {
		return nil
	}
	sites.transitionAt = now
	return transition
}

// withPolicyMembers adds the members of the policy that are missing in the membership view. A process that started after a site
// was lost has never seen the site's routers, and its coordinator would regard the site as one without routers.
func withPolicyMembers(members []fleet.Member, state *policycommit.LogState) []fleet.Member {
	for name, member := range state.Members {
		isKnown := slices.ContainsFunc(members, func(known fleet.Member) bool { return known.Name == string(name) })
		if !isKnown {
			members = append(members, fleet.Member{Name: string(name), Site: member.Site})
		}
	}
	return members
}

// siteStatus returns the coordinator's status, which is nil without a plan, and the document in force.
func (n *Node) siteStatus(state *policycommit.LogState) (*sitefailover.Status, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, document := state.Current()
	if n.leader.sites.coordinator == nil || !n.siteOrders.plan.Enabled() {
		return nil, document
	}
	status := n.leader.sites.coordinator.Status()
	return &status, document
}

// executeSiteAction appends the transition that an operator requests. It does nothing if the request is a repetition.
func (n *Node) executeSiteAction(request policycommit.Request) error {
	state := n.raftLog.currentState()
	site := sitefailover.Site(request.Name)
	n.mu.Lock()
	plan := n.siteOrders.plan
	var failoverWeights []sitefailover.SiteShare
	if n.leader.sites.coordinator != nil && request.SiteAction == sitefailover.ActionLose {
		failoverWeights = n.leader.sites.coordinator.FailoverWeights(&plan, site, state.Sites)
	}
	n.mu.Unlock()
	last := state.Sites[site]
	if last.DecidedAt == request.RequestedAt && last.DecidedBy == request.Author {
		return nil
	}
	command := sitefailover.Command{Site: site, Action: request.SiteAction, Author: request.Author, Reason: request.Reason}
	transition, err := command.Transition(&plan, state.Sites)
	if err != nil {
		return err
	}
	transition.DecidedAt = request.RequestedAt
	if request.SiteAction == sitefailover.ActionLose {
		transition.FailoverWeights = failoverWeights
	}
	n.log.WithFields(logrus.Fields{
		"site":     request.Name,
		"action":   request.SiteAction,
		"word":     request.SiteAction, // deprecated key, kept for one release
		"by":       request.Author,
		"reason":   request.Reason,
		"formerly": "site: an operator's word",
	}).Warn("site: operator command")
	return n.raftLog.append(policycommit.Entry{Kind: policycommit.EntrySiteTransition, Transition: transition})
}
