package controlplane

import (
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
)

const (
	siteReportInterval = 100 * time.Millisecond // twice as often as renewals, which take the last report along
	// siteOrdersTTL is how long orders are valid without a new lease. Then the router decides by its own evidence again.
	siteOrdersTTL = 3 * clock.Second
	// minReportedRate, in requests a second, bounds the size of a report.
	minReportedRate = 0.05
)

// siteOrders is a router's part in the failover of sites. Node.mu guards it.
type siteOrders struct {
	plan         sitefailover.Plan // of the revision in force
	serverCounts sitefailover.ServerCounts
	report       *sitefailover.Report // the last; nil without a plan
	orders       sitefailover.Orders
	receivedAt   clock.Time // 0: no lease has come
}

// expiresAt is when the orders end if no lease comes.
func (s *siteOrders) expiresAt() clock.Time { return s.receivedAt + siteOrdersTTL }

func (s *siteOrders) isCurrent(now clock.Time) bool { return s.receivedAt != 0 && now < s.expiresAt() }

// receiveSiteOrders handles the orders that came with a lease; nil: none. n.mu must be held.
func (n *Node) receiveSiteOrders(orders *sitefailover.Orders) {
	n.siteOrders.receivedAt = n.now()
	n.siteOrders.orders = sitefailover.Orders{}
	if orders != nil {
		n.siteOrders.orders = *orders
	}
}

// runSiteReports passes the leader's orders to the router and reports the router's load, while the policy has a plan for sites,
// until the node is closed.
func (n *Node) runSiteReports() {
	ticker := time.NewTicker(siteReportInterval)
	defer ticker.Stop()
	hasOrders := false // the router was given orders under a plan
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
		hasOrders = n.exchangeSiteOrders(hasOrders)
	}
}

// exchangeSiteOrders passes orders and reports load once. It returns whether the router has orders now; without a plan it only
// withdraws those that the router has.
func (n *Node) exchangeSiteOrders(hasOrders bool) bool {
	n.mu.Lock()
	hasPlan := n.siteOrders.plan.Enabled()
	orders, expiresAt := n.siteOrders.orders, n.siteOrders.expiresAt()
	if !hasPlan || !n.siteOrders.isCurrent(n.now()) {
		orders = sitefailover.Orders{}
	}
	if !hasPlan {
		n.siteOrders.report = nil
	}
	n.mu.Unlock()
	if !hasPlan && !hasOrders {
		return false
	}
	load, err := n.router.SetSiteOrders(failoverOrders(orders), n.timeOf(expiresAt))
	if err != nil {
		return hasOrders // the event loop is busy; the next tick repeats it
	}
	if hasPlan {
		n.recordSiteReport(load, orders.AdmissionTarget)
	}
	return hasPlan
}

// recordSiteReport makes the report that the next renewals take along.
func (n *Node) recordSiteReport(load routing.RouterLoad, admissionTarget float64) {
	report := newSiteReport(sitefailover.Site(n.config.Site), load, admissionTarget)
	n.mu.Lock()
	defer n.mu.Unlock()
	report.Observations = n.siteOrders.serverCounts.Record(n.now(), report.Observations)
	n.siteOrders.report = &report
}

func newSiteReport(site sitefailover.Site, load routing.RouterLoad, admissionTarget float64) sitefailover.Report {
	report := sitefailover.Report{
		Site:            site,
		AdmittedRate:    load.EndedRate,
		FailedRate:      load.UnansweredRate,
		AdmittedWeight:  load.EndedWeight,
		FailedWeight:    load.UnansweredWeight,
		OriginSlowdown:  load.OriginLatencyRatio,
		AdmissionTarget: admissionTarget,
	}
	for _, offered := range load.Offered {
		if offered.Rate >= minReportedRate {
			report.Offered = append(report.Offered, sitefailover.OfferedLoad{Rank: sitefailover.Rank(offered.Rank), Rate: offered.Rate})
		}
	}
	for _, zone := range load.Zones {
		report.Observations = append(report.Observations, sitefailover.SiteObservation{
			Site:          sitefailover.Site(zone.Zone),
			ListedServers: zone.Listed,
			SilentServers: zone.Unreachable,
			AnswerRate:    zone.AnswerRate,
		})
	}
	return report
}

// failoverOrders converts orders to the terms of package routing.
func failoverOrders(orders sitefailover.Orders) routing.FailoverOrders {
	return routing.FailoverOrders{
		MinimumRank:      routing.Rank(orders.MinRank),
		MinimumRankShare: orders.MinRankFraction,
		RetryAfter:       orders.RetryAfter,
		OriginReadLimit:  orders.OriginReadRate,
		FailoverWeights:  zoneShares(orders.FailoverWeights),
		ZoneShares:       zoneShares(orders.KeyShares),
	}
}

func zoneShares(sites []sitefailover.SiteShare) []routing.ZoneShare {
	var zones []routing.ZoneShare
	for _, site := range sites {
		zones = append(zones, routing.ZoneShare{Zone: routing.Zone(site.Site), Share: site.Fraction})
	}
	return zones
}
