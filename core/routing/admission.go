package routing

const (
	// priorAnswerRate, per second, is added to the rates of ended and answered requests: with few requests, some lost by
	// chance are no overload, and in an overload some requests are admitted as trials.
	priorAnswerRate = 0.3
	// admittedPerAnswered is how many requests are admitted for each answered one at weight 0, and
	// admittedPerWeight how many more at the highest.
	admittedPerAnswered = 1.02
	admittedPerWeight   = 0.43
	// cacheWaitRatio is the fraction of the strictest latency objective that may be spent waiting at a cache. The rest
	// is for a miss and the origin.
	cacheWaitRatio = 0.6
	// crowdedMultiple is the mean latency, in fastest ones, from which on a machine is overloaded.
	crowdedMultiple = 2
	// fleetInFlight is the number of requests in flight, over all routers, that fully uses a machine of a few cores without a
	// long queue.
	fleetInFlight = 8
)

// admissionState is what the rejection of load is decided by.
type admissionState struct {
	tenants  map[Tenant]*tenant
	ended    decayingRate // requests for caches that ended
	answered decayingRate // and those of them that were answered
}

// tenant is the entitlement of a tenant and the rate of its requests.
type tenant struct {
	share float64
	rate  decayingRate
}

// tooLateForAnswer reports whether a read has less time left than a fast answer needs. Half of its latency objective always
// counts as enough.
func (r *Router) tooLateForAnswer(request *request) bool {
	fastest := r.cacheLatency.fastest
	if request.toOrigin && r.origin.server != nil {
		fastest = r.origin.server.latency.fastest
	}
	return !request.write && request.deadline-r.now < min(fastest, request.method.latencyObjective/2)
}

// shedsUnanswered reports, once for each request, whether it is rejected because the caches answer too few requests. It
// guards against a metastable overload: caches that continue overdue work, filled by many routers with one request each,
// answer none in time. A router admits as many requests as were recently answered of those that ended, and some more, by
// weight.
func (r *Router) shedsUnanswered(request *request) bool {
	if request.admissionChecked {
		return false
	}
	request.admissionChecked = true
	answered := r.admission.answered.at(r.now, trafficWindow)
	ended := r.admission.ended.at(r.now, trafficWindow)
	admitted := ((admittedPerAnswered+admittedPerWeight*request.weight)*answered + priorAnswerRate) / ended
	// In an overload the requests of tenants over their share yield first, and are not counted: the surge of one tenant
	// would displace the others.
	overShare := request.weight < request.method.weight
	if overShare && admitted < 1 {
		admitted *= admitted * admitted // the fraction admitted falls with the cube
	}
	rejected := r.random.float() > admitted
	if rejected && !overShare {
		r.admission.ended.add(r.now, trafficWindow)
	}
	return rejected
}

// hasCapacity reports whether a request may be sent to a cache now: what is in flight there is bounded by what the cache
// answers, by its measured rate, within the wait allowed.
func (r *Router) hasCapacity(request *request, server *server) bool {
	bound := r.inFlightBound(request, server)
	inFlight := server.inFlight + server.abandonedInFlight(r.now)
	if bound >= 1 {
		return float64(inFlight) < bound
	}
	return inFlight == 0 // a bound of less than one is one
}

// inFlightBound is how many requests of this router may be in flight at a cache when one more is sent.
func (r *Router) inFlightBound(request *request, server *server) float64 {
	// The most important requests may use all of the wait, the least only a part: a queue that those still fit into
	// rejects these.
	minimum := r.config.lowPriorityWaitRatio
	weightFactor := minimum + (1-minimum)*min(1, request.weight)
	wait := float64(request.method.strictestObjective) * cacheWaitRatio * weightFactor
	latency := server.latency.blend(r.cacheLatency)
	// The floor applies while answers are shorter than the wait. It falls with the bound once the machine is overloaded:
	// one request in flight from every router would sustain the overload.
	floor := fleetInFlight * r.fleetShare * min(1, wait/float64(max(1, latency.recent)))
	answeredInWait := server.answerRate.at(r.now, answerWindow) * wait / microsecondsPerSecond
	return max(floor, answeredInWait) * latency.slowdownFactor(crowdedMultiple)
}
