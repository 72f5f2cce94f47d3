package controlplane

import (
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
)

const (
	siteReportInterval = 100 * time.Millisecond // twice the rate of renewals, which carry the last report
	// siteOrdersTTL is how long orders are valid after the last lease. After that, the router decides by its own observations.
	siteOrdersTTL = 3 * clock.Second
	// minReportedRate, in requests per second, limits the size of a report: lower rates are left out.
	minReportedRate = 0.05
)

// siteOrders is a router's state of the failover of sites. Node.mu guards it.
type siteOrders struct {
	plan         sitefailover.Plan // of the revision in force
	serverCounts sitefailover.ServerCounts
	report       *sitefailover.Report // the last report; nil without a plan
	orders       sitefailover.Orders
	receivedAt   clock.Time // time of the last lease; 0 if none was received
}

// expiresAt returns when the orders expire if no further lease arrives.
func (s *siteOrders) expiresAt() clock.Time { return s.receivedAt + siteOrdersTTL }

func (s *siteOrders) isCurrent(now clock.Time) bool { return s.receivedAt != 0 && now < s.expiresAt() }

// receiveSiteOrders replaces the orders with those of a lease, which may be nil. n.mu must be held.
func (n *Node) receiveSiteOrders(orders *sitefailover.Orders) {
	n.siteOrders.receivedAt = n.now()
	n.siteOrders.orders = sitefailover.Orders{}
	if orders != nil {
		n.siteOrders.orders = *orders
	}
}

// runSiteReports calls exchangeSiteOrders periodically until the node is closed.
func (n *Node) runSiteReports() {
	ticker := time.NewTicker(siteReportInterval)
	defer ticker.Stop()
	hasOrders := false // the router has received orders under a plan
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
		hasOrders = n.exchangeSiteOrders(hasOrders)
	}
}

// exchangeSiteOrders passes the leader's orders to the router, and records the router's load for the next report. Without a plan
// it only withdraws the orders that the router has. It returns whether the router has orders now.
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
		return hasOrders // the event loop is busy; the next tick retries
	}
	if hasPlan {
		n.recordSiteReport(load, orders.AdmissionTarget)
	}
	return hasPlan
}

// recordSiteReport creates the report that the next renewals carry.
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

// failoverOrders converts orders to the types of package routing.
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
