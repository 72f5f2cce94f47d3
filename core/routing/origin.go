package routing

import (
	"math"

	"spurtrestle/core/clock"
)

const (
	// originFleetFloor is how many requests of all routers may be in flight at the origin at least, before its rate is
	// known, and originRouterFloor how many of one router.
	originFleetFloor  = 6
	originRouterFloor = 2
	// originIdleMultiple is how many fastest latencies of answers may be in flight at an origin that is not busy.
	originIdleMultiple = 4
	// originMaxWait bounds the wait for the origin between single requests: a trial for each of hundreds of routers.
	originMaxWait = 10 * clock.Second
	// urgentSamples is how many answers of caches are needed to know that a read is urgent.
	urgentSamples = fullSamples / 4
)

// originState is the origin, where the endpoint list has one.
type originState struct {
	server *server // nil: none
}

// sharesOriginRead reports whether a request is a read whose result fills a cache, so that other reads of the key can wait
// for it.
func (r *Router) sharesOriginRead(request *request) bool {
	return r.config.cacheAside && !request.write && request.key != ""
}

// originReadInFlight reports whether another read of the key is on its way to the origin: its result will fill the cache.
func (r *Router) originReadInFlight(request *request) bool {
	first := r.requests.originReads[request.key]
	return r.sharesOriginRead(request) && first != nil && first != request
}

// turnToOrigin has a request go to the origin.
func (r *Router) turnToOrigin(request *request) {
	request.toOrigin = true
	if r.sharesOriginRead(request) && r.requests.originReads[request.key] == nil {
		r.requests.originReads[request.key] = request
	}
}

// isUrgent reports whether a read goes to the origin at once: its latency objective is shorter than two fast answers of a
// cache, new connections included, so that a cache would seldom answer in time, and after a miss never. To the origin a
// connection stays open.
func (r *Router) isUrgent(request *request) bool {
	isFirstRead := !request.write && !request.nearDeadline && request.attemptCount == 0
	latencyKnown := r.cacheLatency.samples >= urgentSamples
	tooShortForCache := request.method.latencyObjective < 2*r.cacheLatency.fastest
	return r.config.cacheAside && isFirstRead && latencyKnown && tooShortForCache && r.originIsFree(request, false)
}

// originIsFree reports whether a read may go to the origin though no cache has missed. See originCanServeMiss for evenIfBusy.
func (r *Router) originIsFree(request *request, evenIfBusy bool) bool {
	return recognizesRepeat(request, r.origin.server) && !r.originReadInFlight(request) && r.originCanServeMiss(evenIfBusy)
}

// originCanServeMiss reports whether the origin has the capacity for the miss of a key that leaves its cache: while it is
// ready and its last answers are within the latency goal, or, with evenIfBusy, while it is ready.
func (r *Router) originCanServeMiss(evenIfBusy bool) bool {
	origin := r.origin.server
	if origin == nil {
		return true
	}
	return r.originReady() && (evenIfBusy || origin.latency.recent < r.config.originLatencyGoal)
}

// originReady reports whether there is an origin that can take one more request now.
func (r *Router) originReady() bool {
	origin := r.origin.server
	return origin != nil && r.isUsable(origin) && r.originWait() == 0
}

// originAccepts reports whether a request may be sent to the origin now. Writes go past the bound: they are few, have the
// highest weights, and no other place to go.
func (r *Router) originAccepts(request *request) bool {
	origin := r.origin.server
	return r.originReady() || request.write && origin != nil && r.isUsable(origin)
}

// originWait is the time until the origin can take one more request. With a bound b below one, one request is
// in flight for a fraction b of the time.
func (r *Router) originWait() clock.Duration {
	origin := r.origin.server
	bound := r.originInFlightBound()
	if float64(origin.inFlight) >= max(1, bound) {
		return max(1, origin.latency.recent)
	}
	spacing := min(float64(originMaxWait), (1/min(1, bound)-1)*float64(origin.latency.fastest))
	spacingWait := origin.lastAttemptEnd - r.now + clock.Duration(spacing)
	return max(0, r.originReadWait(0), spacingWait)
}

// originReadWait is the time until one more read may go to the origin, behind so many that wait, where the fleet limits
// them.
func (r *Router) originReadWait(queuedAhead int) clock.Duration {
	if r.failover.OriginReadLimit == 0 {
		return 0
	}
	perSecond := r.refillOriginReads()
	missing := 1 + float64(queuedAhead) - r.budgets.originReads
	return clock.Duration(max(0, microsecondsPerSecond*missing/perSecond))
}

// originExpectedLatency is the time until an answer of the origin, behind the queued requests that go before.
func (r *Router) originExpectedLatency() clock.Duration {
	origin := r.origin.server
	queue := clock.Duration(float64(origin.latency.recent) * float64(origin.queuedAhead) / r.originInFlightBound())
	return origin.latency.recent + max(r.originWait(), r.originReadWait(origin.queuedAhead), queue)
}

// originInFlightBound is how many requests of this router may be in flight at the origin. It is stricter than a cache's:
// while its answers are near their fastest there is free capacity, and random variation needs some; once they are longer,
// it gets what it answers within a part of the latency objective.
func (r *Router) originInFlightBound() float64 {
	origin := r.origin.server
	latencyGoal := r.config.originLatencyGoal
	target := originIdleMultiple * origin.latency.fastest
	// 1.6 fastest latencies are above the spread of a long mean of heavy-tailed answers. 1.4 goals cover a fastest latency
	// that was learned under load.
	busyAbove := min(origin.latency.fastest*8/5, latencyGoal*7/5)
	if origin.latency.mean > busyAbove {
		target = max(latencyGoal, busyAbove)
	}
	floor := min(originRouterFloor, originFleetFloor*r.fleetShare)
	bound := max(floor, origin.answerRate.at(r.now, answerWindow)*float64(target)/microsecondsPerSecond)
	if bound >= 1 {
		return bound
	}
	// Below one a floor for each of hundreds of routers would overload the origin, and one in flight would leave it idle:
	// the bound is two standard deviations above, and less while the origin is busy.
	return (1 + bound + 2*math.Sqrt(bound)) * goalFactor(origin.latency.recent, latencyGoal)
}
