package routing

import "spurtrestle/core/clock"

const (
	// minimumWarmUpLimit is the least limit of a budget, in attempts, since two requests may arrive together by chance.
	minimumWarmUpLimit = 2
	// warmUpLimitDivisor divides the overload window: a budget can hold the attempts of one such part of it.
	warmUpLimitDivisor = 4
	// warmUpLossFactor is the factor by which the fraction of lost requests lowers the initial budget. If a quarter or more are
	// lost, no router starts with an attempt.
	warmUpLossFactor = 4
)

// warmUpBudget is the budget of attempts for a cache that has just started.
type warmUpBudget struct {
	returnedAt clock.Time // when the server was observed to be back, or its ban ended; 0: neither
	startedAt  clock.Time // the start of the server to which the budget belongs
	attempts   float64    // attempts that the server may get now
	updatedAt  clock.Time
}

// startOf returns the known start of a server; 0: unknown or long ago.
func startOf(server *server) clock.Time { return max(server.StartedAt, server.warmUp.returnedAt) }

// warmUpAge returns the time since a server's start. For the origin, and if no start is known, it is the warm-up's duration.
func (r *Router) warmUpAge(server *server) clock.Duration {
	startedAt := startOf(server)
	if startedAt == 0 || server.isOrigin {
		return r.config.warmUpDuration
	}
	return max(0, r.now-startedAt)
}

// slowStartAllows reports whether the share of the cache's zone and its warm-up allow a request: a warming cache gets a growing
// fraction of its keys, the same ones from every router, within a budget.
func (r *Router) slowStartAllows(request *request, server *server, isOwner bool) bool {
	age := r.warmUpAge(server)
	keyPosition := float64(request.hash>>32&0xffff) / 0x10000 // in [0, 1), the same at every router
	zoneShare := r.zoneShare(server.Zone)
	if keyPosition >= zoneShare { // the fleet's orders exclude the key
		return false
	}
	if age >= r.config.warmUpDuration {
		return true
	}
	initial := r.config.warmUpShare
	share := r.config.warmUpMultiple * (initial + (1-initial)*float64(age)/float64(r.config.warmUpDuration))
	if keyPosition >= share {
		return false
	}
	r.refillWarmUpBudget(server, share)
	if server.warmUp.attempts >= 1 {
		return true
	}
	// The owner of a key may overdraw its budget by one attempt. A router that has just started may not: it does not know the
	// hot keys yet, and one read of a hot key from each new router is too much.
	overdraft := (1 - r.windowCovered(trafficWindow)) * (1 - r.fleetShare)
	return isOwner && server.warmUp.attempts > overdraft
}

// refillWarmUpBudget refills the budget of a warming cache by the time elapsed. The rate is this router's rate of hits at an
// average cache, since misses cost little. Until hits are counted, half of the requests that arrived are used instead.
func (r *Router) refillWarmUpBudget(server *server, share float64) {
	hits := r.traffic.hits.at(r.now, trafficWindow)
	requests := r.traffic.requests.at(r.now, trafficWindow)
	meanHits := max(hits, requests/2) / r.windowCovered(trafficWindow) / float64(len(r.endpoints.caches))
	budget := &server.warmUp
	if budget.startedAt != startOf(server) {
		r.beginWarmUp(server)
	}
	window := float64(r.config.overloadWindow)
	limit := max(minimumWarmUpLimit, share*meanHits*window/(warmUpLimitDivisor*microsecondsPerSecond))
	earned := share / warmUpSafety * meanHits * float64(r.now-budget.updatedAt) / microsecondsPerSecond
	budget.attempts = min(limit, budget.attempts+earned)
	budget.updatedAt = r.now
}

// beginWarmUp starts a budget with a random fraction of one attempt: one attempt from each of hundreds of routers is more than a
// cache can serve at its start, and the budgets of many routers grow by less than one during the whole warm-up. If requests are
// lost, the caches are overloaded, and fewer routers start with an attempt.
func (r *Router) beginWarmUp(server *server) {
	answered := r.admission.answered.at(r.now, trafficWindow)
	ended := r.admission.ended.at(r.now, trafficWindow)
	lost := 1 - (answered+priorAnswerRate)/(ended+priorAnswerRate)
	server.warmUp.startedAt = startOf(server)
	server.warmUp.attempts = r.random.float() - warmUpLossFactor*max(0, lost)
	server.warmUp.updatedAt = r.now
}
