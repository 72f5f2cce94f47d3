package routing

import (
	"math"

	"spurtrestle/core/clock"
)

const (
	// originFleetFloor is the least bound on requests of all routers in flight at the origin, while its rate of answers is not
	// known, and originRouterFloor the highest value of one router's part of it.
	originFleetFloor  = 6
	originRouterFloor = 2
	// originIdleMultiple bounds the requests in flight at an origin that is not busy: to those that it answers in this many of
	// its fastest latencies.
	originIdleMultiple = 4
	// originMaxWait bounds the time between single requests at the origin: each of hundreds of routers sends a trial within it.
	originMaxWait = 10 * clock.Second
	// urgentSamples is the number of answers of caches needed to tell whether a read is urgent.
	urgentSamples = fullSamples / 4
)

// originState refers to the origin, if the endpoint list has one.
type originState struct {
	server *server // nil: none
}

// sharesOriginRead reports whether a request is a read whose result at the origin fills a cache, so that other reads of the key
// can wait for it.
func (r *Router) sharesOriginRead(request *request) bool {
	return r.config.cacheAside && !request.write && request.key != ""
}

// originReadInFlight reports whether another read of the key is going to the origin, so that its result will fill the cache.
func (r *Router) originReadInFlight(request *request) bool {
	first := r.requests.originReads[request.key]
	return r.sharesOriginRead(request) && first != nil && first != request
}

// turnToOrigin makes the origin the only server that may answer a request.
func (r *Router) turnToOrigin(request *request) {
	request.toOrigin = true
	if r.sharesOriginRead(request) && r.requests.originReads[request.key] == nil {
		r.requests.originReads[request.key] = request
	}
}

// isUrgent reports whether a read goes to the origin at once, because its latency objective is shorter than two fast answers of
// a cache, including new connections. A cache would seldom answer in time, and after a miss never. The connection to the origin
// stays open.
func (r *Router) isUrgent(request *request) bool {
	isFirstRead := !request.write && !request.nearDeadline && request.attemptCount == 0
	latencyKnown := r.cacheLatency.samples >= urgentSamples
	tooShortForCache := request.method.latencyObjective < 2*r.cacheLatency.fastest
	return r.config.cacheAside && isFirstRead && latencyKnown && tooShortForCache && r.originIsFree(request, false)
}

// originIsFree reports whether a read may go to the origin without a cache miss. See originCanServeMiss for evenIfBusy.
func (r *Router) originIsFree(request *request, evenIfBusy bool) bool {
	return recognizesRepeat(request, r.origin.server) && !r.originReadInFlight(request) && r.originCanServeMiss(evenIfBusy)
}

// originCanServeMiss reports whether the origin has capacity for the miss of a read that does not go to the owner of its key. It
// must be ready and, unless evenIfBusy, its recent answers must be within the latency goal. Without an origin it is true.
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

// originAccepts reports whether a request may be sent to the origin now. Writes are exempt from the bound: they are few, have the
// highest weights, and can go nowhere else.
func (r *Router) originAccepts(request *request) bool {
	origin := r.origin.server
	return r.originReady() || request.write && origin != nil && r.isUsable(origin)
}

// originWait returns the time until the origin can take one more request. With a bound b below one, one request is in flight for
// a fraction b of the time.
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

// originReadWait returns the time until one more read may go to the origin, behind the given number of queued ones. It is 0
// unless the fleet limits such reads.
func (r *Router) originReadWait(queuedAhead int) clock.Duration {
	if r.failover.OriginReadLimit == 0 {
		return 0
	}
	perSecond := r.refillOriginReads()
	missing := 1 + float64(queuedAhead) - r.budgets.originReads
	return clock.Duration(max(0, microsecondsPerSecond*missing/perSecond))
}

// originExpectedLatency returns the expected time until an answer of the origin, behind the requests queued ahead.
func (r *Router) originExpectedLatency() clock.Duration {
	origin := r.origin.server
	queue := clock.Duration(float64(origin.latency.recent) * float64(origin.queuedAhead) / r.originInFlightBound())
	return origin.latency.recent + max(r.originWait(), r.originReadWait(origin.queuedAhead), queue)
}

// originInFlightBound returns the bound on requests of this router in flight at the origin. It is stricter than that of a cache:
// while answers are near their fastest there is free capacity, some of which random variation needs; once they are slower, the
// origin gets the requests that it answers within a part of the latency objective.
func (r *Router) originInFlightBound() float64 {
	origin := r.origin.server
	latencyGoal := r.config.originLatencyGoal
	target := originIdleMultiple * origin.latency.fastest
	// 1.6 fastest latencies are above the random variation of a long mean of heavy-tailed answers. 1.4 goals bound this where
	// the fastest latency was learned under load.
	busyAbove := min(origin.latency.fastest*8/5, latencyGoal*7/5)
	if origin.latency.mean > busyAbove {
		target = max(latencyGoal, busyAbove)
	}
	floor := min(originRouterFloor, originFleetFloor*r.fleetShare)
	bound := max(floor, origin.answerRate.at(r.now, answerWindow)*float64(target)/microsecondsPerSecond)
	if bound >= 1 {
		return bound
	}
	// With a bound below one, a floor of one for each of hundreds of routers would overload the origin, while a strict bound
	// would leave it idle: the bound is raised by two standard deviations, and lowered while the origin is busy.
	return (1 + bound + 2*math.Sqrt(bound)) * goalFactor(origin.latency.recent, latencyGoal)
}
