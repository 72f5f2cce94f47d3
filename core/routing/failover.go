package routing

import "slices"

const (
	// originReadsDivisor bounds the reads at the origin that can be saved up to those of one such part of a second.
	originReadsDivisor = 4
	// lowestOriginReadRate is the least rate of reads at the origin, per second, however small the router's share of the limit.
	lowestOriginReadRate = 0.02
)

// failoverOrdered applies the fleet's orders, which may change the caches in use.
func (r *Router) failoverOrdered(orders FailoverOrders) {
	sameShares := slices.Equal(r.failover.ZoneShares, orders.ZoneShares)
	sameWeights := slices.Equal(r.failover.FailoverWeights, orders.FailoverWeights)
	r.failover = orders
	if sameShares && sameWeights {
		return
	}
	clear(r.zonePaths) // the state of the path to a zone that is included again is outdated
	clear(r.endpoints.groups)
	r.endpointsUpdated(EndpointsUpdated{Kind: IncrementalUpdate})
}

// shedsRank reports whether the fleet's orders reject a request of a rank, at random for the minimum rank itself.
func (r *Router) shedsRank(rank Rank) bool {
	if rank == r.failover.MinimumRank {
		return r.random.float() >= r.failover.MinimumRankShare
	}
	return rank < r.failover.MinimumRank
}

// zoneShare returns the fraction of their keys that the caches of a zone get.
func (r *Router) zoneShare(zone Zone) float64 { return shareOf(r.failover.ZoneShares, zone) }

// shareOf returns the share of a zone, 1 if it is not named.
func shareOf(shares []ZoneShare, zone Zone) float64 {
	for _, s := range shares {
		if s.Zone == zone {
			return s.Share
		}
	}
	return 1
}

// chargeOriginRead charges a read at the origin to the budget if the fleet limits such reads.
func (r *Router) chargeOriginRead(request *request, server *server) {
	if server.isOrigin && !request.write && r.failover.OriginReadLimit > 0 {
		r.budgets.originReads--
	}
}

// refillOriginReads refills the budget of reads at the origin by the time elapsed and returns its rate, this router's share of
// the limit. The budget can hold at least one read.
func (r *Router) refillOriginReads() (perSecond float64) {
	perSecond = max(lowestOriginReadRate, r.failover.OriginReadLimit*r.fleetShare)
	earned := perSecond * float64(r.now-r.budgets.originReadsAt) / microsecondsPerSecond
	r.budgets.originReads = min(max(1, perSecond/originReadsDivisor), r.budgets.originReads+earned)
	r.budgets.originReadsAt = r.now
	return perSecond
}
