package sitefailover

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// leaderWarmUp is how long a new leader collects reports before it decides on any site.
	leaderWarmUp = 1500 * clock.Millisecond
	// maxRetryAfter bounds the retry-after of rejected requests, because the end of an outage is unknown. A lower limit in the
	// settings takes precedence.
	maxRetryAfter = 30 * clock.Second
	// loadSmoothing is the number of evaluations that the moving average of the load covers: each has the weight 1/loadSmoothing.
	loadSmoothing = 20
)

// RouterState is the leader's view of one router.
type RouterState struct {
	Name      string
	Site      Site
	Reporting bool // its last report is recent
	Report    Report
}

// Coordinator evaluates the reports of all routers at the leader. A new leader starts with a new Coordinator. It is not safe for
// concurrent use.
type Coordinator struct {
	startedAt   clock.Time
	sites       map[Site]*siteState
	throttle    throttle
	averageLoad float64 // answers per second while all sites were up and healthy
	status      Status
}

// NewCoordinator returns the Coordinator of a router that has just become the leader.
func NewCoordinator(now clock.Time) *Coordinator {
	return &Coordinator{startedAt: now, sites: map[Site]*siteState{}}
}

// Status returns the state as of the last call of Evaluate.
func (c *Coordinator) Status() Status { return c.status }

// Evaluate evaluates the state of all routers. It returns the orders for them, and at most one transition to propose to the
// quorum; nil if there is none. It sorts routers by name.
func (c *Coordinator) Evaluate(now clock.Time, plan *Plan, decisions map[Site]Decision, routers []RouterState) (Orders, *Transition) {
	if !plan.Enabled() {
		c.throttle, c.status = throttle{}, Status{}
		return Orders{}, nil
	}
	slices.SortFunc(routers, func(a, b RouterState) int { return cmp.Compare(a.Name, b.Name) })
	reporting := slices.DeleteFunc(slices.Clone(routers), func(router RouterState) bool { return !router.Reporting })
	if c.throttle.target == 0 && !c.isWarmedUp(now) {
		c.throttle.target = medianTarget(reporting) // a new leader takes over the target of its predecessor
	}
	fleet := sumTraffic(reporting)
	current := evaluation{now: now, plan: plan, decisions: decisions, fleet: fleet}
	for _, site := range plan.Sites {
		c.evaluateSite(&current, site, collectEvidence(site.Name, routers, reporting))
	}
	if !current.anyDegraded {
		c.averageLoad += (fleet.answeredRate() - c.averageLoad) / loadSmoothing
	}
	assignDisplaced(current.capacities, current.displacedServers, current.orders.FailoverWeights)
	capacity, limitingSite := totalCapacity(current.capacities)
	measuredRatio := c.throttle.measuredRatio // the status shows the ratio that this update uses; update may change it
	c.throttle.update(now, fleet, capacity, current.anyDegraded)
	orders := c.admissionOrders(current.orders, fleet, plan)
	c.status = Status{
		Now:                   now,
		Sites:                 current.sites,
		Capacity:              capacity,
		MeasuredCapacityRatio: measuredRatio,
		LimitingSite:          limitingSite,
		Offered:               fleet.offered,
		AdmittedRate:          fleet.admittedRate,
		FailedRate:            fleet.failedRate,
		OriginSlowdown:        fleet.originSlowdown,
		Orders:                orders,
	}
	return orders, current.transition
}

func (c *Coordinator) isWarmedUp(now clock.Time) bool { return now-c.startedAt >= leaderWarmUp }

// admissionOrders adds the limits on requests to the orders while the throttle is active.
func (c *Coordinator) admissionOrders(orders Orders, fleet traffic, plan *Plan) Orders {
	if c.throttle.target <= 0 {
		return orders
	}
	orders.AdmissionTarget = c.throttle.target
	orders.MinRank, orders.MinRankFraction = shedThreshold(fleet.offered, c.throttle.target)
	orders.RetryAfter = maxRetryAfter
	orders.OriginReadRate = plan.OriginReadRate
	return orders
}

// evaluation collects the results of one call of Evaluate.
type evaluation struct {
	now       clock.Time
	plan      *Plan
	decisions map[Site]Decision
	fleet     traffic

	sites            []SiteStatus
	capacities       []availableCapacity
	displacedServers float64 // servers whose keys are served by other sites
	anyDegraded      bool    // a site is not up or not healthy
	orders           Orders
	latestDecision   uint64 // index of the decision that the failover weights were taken from
	transition       *Transition
}

// evaluateSite updates the state of one site and adds the site's results to the evaluation.
func (c *Coordinator) evaluateSite(current *evaluation, site SitePlan, observed evidence) {
	decision := current.decisions[site.Name]
	state := c.siteState(current.now, site.Name)
	state.setDecision(current.now, decision, current.fleet.failedFraction)
	state.observe(current.now, observed)

	responding := observed.responding
	if decision.Stage != Lost && c.isWarmedUp(current.now) && !observed.known {
		responding = 0 // no reporting router expects servers there
	}
	keyShare := decision.keyShare(current.plan)
	fullCapacity := cmp.Or(site.Capacity, state.peakRate)
	status := SiteStatus{
		Decision:         decision,
		Name:             site.Name,
		KeyShare:         keyShare,
		Capacity:         fullCapacity * keyShare * responding,
		CapacityPlanned:  site.Capacity > 0,
		Responding:       responding,
		Routers:          observed.routers,
		ReportingRouters: observed.reportingRouters,
	}
	current.anyDegraded = current.anyDegraded || status.isDegraded()
	current.displacedServers += float64(observed.expectedServers) * (1 - keyShare)
	current.capacities = append(current.capacities, availableCapacity{
		site:     site.Name,
		servers:  float64(observed.expectedServers) * keyShare * responding,
		capacity: status.Capacity,
	})
	if keyShare < 1 {
		current.addKeyShare(site.Name, keyShare, decision)
	}
	if c.isWarmedUp(current.now) {
		due := c.dueTransition(current, site.Name, state, observed)
		status.WaitingFor = due.waitingFor
		current.transition = cmp.Or(current.transition, due.transition)
	}
	current.sites = append(current.sites, status)
}

// addKeyShare adds the key share of a site that is not up to the orders. The failover weights are those of the latest decision.
func (e *evaluation) addKeyShare(site Site, share float64, decision Decision) {
	e.orders.KeyShares = append(e.orders.KeyShares, SiteShare{Site: site, Fraction: share})
	if decision.Index >= e.latestDecision {
		e.latestDecision, e.orders.FailoverWeights = decision.Index, decision.FailoverWeights
	}
}

// dueTransition returns the proposal for a site, with all fields of its transition set. It proposes no transition if another
// site's transition is already proposed, or if the last remaining site would be lost.
func (c *Coordinator) dueTransition(current *evaluation, site Site, state *siteState, observed evidence) proposal {
	due := state.next(current.now, current.plan, observed, current.fleet)
	transition := due.transition
	if transition == nil {
		return due
	}
	if transition.Stage == Lost && current.plan.isLastSite(site, current.decisions) {
		return waitFor("it is the only site that is not lost")
	}
	if current.transition != nil {
		return proposal{}
	}
	transition.Site, transition.PreviousIndex = site, state.decision.Index
	switch {
	case transition.Stage == Lost && state.decision.Stage == Up:
		transition.FailoverWeights = c.FailoverWeights(current.plan, site, current.decisions)
	case transition.Stage != Up:
		transition.FailoverWeights = state.decision.FailoverWeights
	}
	return due
}

func (c *Coordinator) siteState(now clock.Time, site Site) *siteState {
	state := c.sites[site]
	if state == nil {
		state = &siteState{decidedAt: now}
		c.sites[site] = state
	}
	return state
}

// FailoverWeights returns the weights by which the keys of a lost site are distributed to the servers of the other sites. nil
// distributes them evenly, for example if the number of servers of a site is unknown. The weights are computed once per loss,
// because each change moves keys.
func (c *Coordinator) FailoverWeights(plan *Plan, site Site, decisions map[Site]Decision) []SiteShare {
	var capacities []SiteCapacity
	lost := []Site{}
	for _, planned := range plan.Sites {
		state := c.sites[planned.Name]
		if state == nil || state.servers == 0 {
			return nil
		}
		capacities = append(capacities, SiteCapacity{
			Site:             planned.Name,
			Servers:          state.servers,
			Capacity:         cmp.Or(planned.Capacity, state.peakRate),
			PreferredTargets: planned.PreferredTargets,
		})
		if planned.Name != site && decisions[planned.Name].Stage == Lost {
			lost = append(lost, planned.Name)
		}
	}
	lost = append(lost, site) // last, so that its preferred targets apply
	return failoverWeights(capacities, lost, c.averageLoad)
}

// medianTarget returns the median of the admission targets in force at the routers.
func medianTarget(reporting []RouterState) float64 {
	var targets []float64
	for _, router := range reporting {
		targets = append(targets, router.Report.AdmissionTarget)
	}
	if len(targets) == 0 {
		return 0
	}
	slices.Sort(targets)
	return targets[len(targets)/2]
}

// traffic aggregates the reports of all routers.
type traffic struct {
	offered        []OfferedLoad // highest rank first
	admittedRate   float64       // per second
	failedRate     float64       // per second
	failedFraction float64       // of the admitted priority weight
	originSlowdown float64       // the highest reported
}

func (t traffic) answeredRate() float64 { return t.admittedRate - t.failedRate }

func (t traffic) offeredRate() float64 {
	rate := 0.0
	for _, offered := range t.offered {
		rate += offered.Rate
	}
	return rate
}

func sumTraffic(reporting []RouterState) traffic {
	fleet := traffic{offered: sumOffered(reporting)}
	admittedWeight, failedWeight := 0.0, 0.0
	for _, router := range reporting {
		fleet.admittedRate += router.Report.AdmittedRate
		fleet.failedRate += router.Report.FailedRate
		admittedWeight += router.Report.AdmittedWeight
		failedWeight += router.Report.FailedWeight
		fleet.originSlowdown = max(fleet.originSlowdown, router.Report.OriginSlowdown)
	}
	fleet.failedFraction = failedWeight / max(1, admittedWeight)
	return fleet
}

// sumOffered sums the offered loads by rank, the highest rank first.
func sumOffered(routers []RouterState) []OfferedLoad {
	rates := map[Rank]float64{}
	for _, router := range routers {
		for _, offered := range router.Report.Offered {
			rates[offered.Rank] += offered.Rate
		}
	}
	sum := make([]OfferedLoad, 0, len(rates))
	for rank, rate := range rates {
		sum = append(sum, OfferedLoad{Rank: rank, Rate: rate})
	}
	slices.SortFunc(sum, func(a, b OfferedLoad) int { return cmp.Compare(b.Rank, a.Rank) })
	return sum
}
