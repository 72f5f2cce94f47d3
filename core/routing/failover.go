package routing

import "slices"

const (
	// originReadsDivisor divides a second: reads at the origin may be saved up for one such part of it.
	originReadsDivisor = 4
	// lowestOriginReadRate is the rate, per second, of a router whose share of the fleet's limit is next to none.
	lowestOriginReadRate = 0.02
)

// failoverOrdered applies the fleet's orders. They may change which caches are in use.
func (r *Router) failoverOrdered(orders FailoverOrders) {
	sameShares := slices.Equal(r.failover.ZoneShares, orders.ZoneShares)
	sameWeights := slices.Equal(r.failover.FailoverWeights, orders.FailoverWeights)
	r.failover = orders
	if sameShares && sameWeights {
		return
	}
	clear(r.zonePaths) // the state of a zone that is admitted again is outdated
	clear(r.endpoints.groups)
	r.endpointsUpdated(EndpointsUpdated{Kind: IncrementalUpdate})
}

// shedsRank reports whether the fleet rejects a request of a rank.
func (r *Router) shedsRank(rank Rank) bool {
	if rank == r.failover.MinimumRank {
		return r.random.float() >= r.failover.MinimumRankShare
	}
	return rank < r.failover.MinimumRank
}

// zoneShare is the fraction of its keys that the caches of a zone get.
func (r *Router) zoneShare(zone Zone) float64 { return shareOf(r.failover.ZoneShares, zone) }

// shareOf is the share of a zone, 1 where it is not named.
func shareOf(shares []ZoneShare, zone Zone) float64 {
	for _, s := range shares {
		if s.Zone == zone {
			return s.Share
		}
	}
	return 1
}

// chargeOriginRead charges a read at the origin to the budget, where the fleet limits them.
func (r *Router) chargeOriginRead(request *request, server *server) {
	if server.isOrigin && !request.write && r.failover.OriginReadLimit > 0 {
		r.budgets.originReads--
	}
}

// refillOriginReads brings the budget of reads at the origin up to date and returns its rate, this router's share of the
// limit. The budget can save up at least one read.
func (r *Router) refillOriginReads() (perSecond float64) {
	perSecond = max(lowestOriginReadRate, r.failover.OriginReadLimit*r.fleetShare)
	earned := perSecond * float64(r.now-r.budgets.originReadsAt) / microsecondsPerSecond
	r.budgets.originReads = min(max(1, perSecond/originReadsDivisor), r.budgets.originReads+earned)
	r.budgets.originReadsAt = r.now
	return perSecond
}
