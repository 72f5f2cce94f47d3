package routing

import "spurtrestle/core/clock"

// scheduleHedge schedules the hedged request at the origin that may follow the first attempt of a read at a cache.
func (r *Router) scheduleHedge(request *request, server *server) {
	isFirst := request.attemptCount == 1
	hedgeable := !request.write && request.method.idempotency == Idempotent && !server.isOrigin
	if !r.config.hedgingAllowed || !isFirst || !hedgeable || r.cacheLatency.samples == 0 {
		return
	}
	request.hedgeAt = r.now + clock.Duration(r.config.hedgeDelay*float64(r.cacheLatency.mean))
	r.requests.hedgeable = append(r.requests.hedgeable, request)
	r.setTimer(request.hedgeAt)
}

// checkHedges applies the rules to the requests whose hedged request is due. The hedge delay changes slowly, so that the list is
// nearly in the order of hedgeAt, and only its head is checked.
func (r *Router) checkHedges() {
	for len(r.requests.hedgeable) > 0 {
		request := r.requests.hedgeable[0]
		if !request.finished && request.hedgeAt > r.now {
			r.setTimer(request.hedgeAt)
			return
		}
		r.requests.hedgeable = r.requests.hedgeable[1:]
		if !request.finished {
			r.applyRules(request)
		}
	}
}

// hedgeIsDue reports whether the only attempt of a read has been in flight for longer than its cache should need while the
// origin has free capacity. The cache may be overloaded or silent, which one of many routers detects late. The hedged request
// goes to the origin: another cache would miss, and evict entries that it still serves.
func (r *Router) hedgeIsDue(request *request) bool {
	if request.hedgeAt == 0 || r.now < request.hedgeAt || r.now >= request.deadline {
		return false
	}
	atOneCache := len(request.attempts) == 1 && !request.attempts[0].server.isOrigin
	if !atOneCache || request.attemptCount >= request.maxAttempts {
		return false
	}
	request.hedgeAt = 0
	return r.originIsFree(request, false)
}
