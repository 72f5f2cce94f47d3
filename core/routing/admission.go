package routing

const (
	// priorAnswerRate, per second, is added to the rate of answered requests, in beginWarmUp also to that of ended ones. With
	// few requests, some that are lost by chance then do not count as an overload, and in an overload some requests are
	// admitted as trials.
	priorAnswerRate = 0.3
	// admittedPerAnswered is the number of requests admitted per answered request at weight 0, and admittedPerWeight the
	// number added at weight 1, the highest.
	admittedPerAnswered = 1.02
	admittedPerWeight   = 0.43
	// cacheWaitRatio is the fraction of the strictest latency objective that may be spent waiting at a cache. The rest is left
	// for a miss and the origin.
	cacheWaitRatio = 0.6
	// overloadedMultiple is the mean latency, as a multiple of the fastest one, from which on a cache is overloaded.
	overloadedMultiple = 2
	// fleetInFlight is the number of requests in flight, over all routers, that keeps a machine of a few cores fully used
	// without a long queue.
	fleetInFlight = 8
)

// admissionState holds what load shedding is decided by.
type admissionState struct {
	tenants  map[Tenant]*tenant
	ended    decayingRate // requests for caches that ended
	answered decayingRate // those of them that were answered
}

// tenant is the entitlement of a tenant and the rate of its requests.
type tenant struct {
	share float64
	rate  decayingRate
}

// tooLateForAnswer reports whether a read has less time left than a fast answer takes. Half of its latency objective always
// counts as enough.
func (r *Router) tooLateForAnswer(request *request) bool {
	fastest := r.cacheLatency.fastest
	if request.toOrigin && r.origin.server != nil {
		fastest = r.origin.server.latency.fastest
	}
	return !request.write && request.deadline-r.now < min(fastest, request.method.latencyObjective/2)
}

// shedsUnanswered reports, once for each request, whether it is rejected because the caches answer too few requests. This
// prevents a metastable overload, in which caches that continue overdue work, and get one request from each of many routers,
// answer none in time. The fraction of requests admitted is the fraction recently answered of those that ended, plus a margin
// that grows with the weight.
func (r *Router) shedsUnanswered(request *request) bool {
	if request.admissionChecked {
		return false
	}
	request.admissionChecked = true
	answered := r.admission.answered.at(r.now, trafficWindow)
	ended := r.admission.ended.at(r.now, trafficWindow)
	admitted := ((admittedPerAnswered+admittedPerWeight*request.weight)*answered + priorAnswerRate) / ended
	// In an overload the requests of tenants over their share are rejected first, and are not counted: otherwise the surge of
	// one tenant would displace the others.
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

// hasCapacity reports whether a request may be sent to a cache now. The requests in flight there are bounded by the number that
// the cache answers, at its measured rate, within the allowed wait.
func (r *Router) hasCapacity(request *request, server *server) bool {
	bound := r.inFlightBound(request, server)
	inFlight := server.inFlight + server.abandonedInFlight(r.now)
	if bound >= 1 {
		return float64(inFlight) < bound
	}
	return inFlight == 0 // a bound below one counts as one
}

// inFlightBound returns the bound on requests of this router in flight at a cache, for sending the given request.
func (r *Router) inFlightBound(request *request, server *server) float64 {
	// Requests of the highest weight may use all of the allowed wait, those of the lowest only a part: as the queue grows, the
	// latter are rejected first.
	minimum := r.config.lowPriorityWaitRatio
	weightFactor := minimum + (1-minimum)*min(1, request.weight)
	wait := float64(request.method.strictestObjective) * cacheWaitRatio * weightFactor
	latency := server.latency.blend(r.cacheLatency)
	// The floor applies in full while answers take less than the allowed wait. Like the bound it falls once the cache is
	// overloaded: one request in flight from every router would sustain the overload.
	floor := fleetInFlight * r.fleetShare * min(1, wait/float64(max(1, latency.recent)))
	answeredInWait := server.answerRate.at(r.now, answerWindow) * wait / microsecondsPerSecond
	return max(floor, answeredInWait) * latency.slowdownFactor(overloadedMultiple)
}
