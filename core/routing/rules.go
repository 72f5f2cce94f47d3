package routing

// rule is a condition on a request and the action to take if it holds. Three conditions also change the request: hedgeIsDue ends
// its hedging, shedsUnanswered draws once whether it is admitted, and selectCache sets its target, which later rules read.
type rule struct {
	applies func(*Router, *request) bool
	act     func(*Router, *request)
}

// requestRules returns the rules for one request. Their order is significant: the first rule that applies acts. After every event
// the rules are applied to each request that the event affects, until the request is decided for the moment. The last rule
// always applies.
func requestRules() []rule {
	return []rule{
		// An attempt is in flight.
		{applies: (*Router).hedgeIsDue, act: (*Router).sendToOrigin},
		{applies: attemptInFlight, act: awaitOutcome},

		// No attempt may be sent any more.
		{applies: (*Router).deadlinePassed, act: (*Router).rejectOrFail},
		{applies: (*Router).mustNotRunAgain, act: (*Router).rejectOrFail},
		{applies: attemptsExhausted, act: (*Router).rejectOrFail},
		{applies: (*Router).hasNoFleetShare, act: (*Router).rejectOrFail},
		{applies: isShed, act: (*Router).rejectOrFail},
		{applies: (*Router).retryBudgetExhausted, act: (*Router).rejectOrFail},

		// The request has to wait.
		{applies: (*Router).inBackoff, act: (*Router).enqueue},
		{applies: (*Router).originReadInFlight, act: (*Router).enqueue},

		// Only the origin can answer.
		{applies: (*Router).belongsToOrigin, act: (*Router).turnToOrigin},
		{applies: (*Router).tooLateForAnswer, act: (*Router).rejectOrFail},
		{applies: (*Router).originUnusable, act: (*Router).rejectOrFail},
		{applies: (*Router).originHasCapacity, act: (*Router).sendToOrigin},
		{applies: (*Router).originTooSlow, act: (*Router).rejectOrFail},
		{applies: needsOrigin, act: (*Router).enqueue},

		// A cache of the group of the key can answer.
		{applies: (*Router).shedsUnanswered, act: (*Router).rejectOrFail},
		{applies: (*Router).selectCache, act: (*Router).sendToTarget},
		{applies: hasNoCache, act: (*Router).turnToOrigin},
		{applies: (*Router).targetTooSlow, act: (*Router).rejectOrFail},
		{applies: always, act: (*Router).enqueue},
	}
}

// applyRules applies the rules to a request until it is decided for the moment.
func (r *Router) applyRules(request *request) {
	request.decided = request.finished
	for !request.decided {
		r.applyFirstRule(request)
	}
}

func (r *Router) applyFirstRule(request *request) {
	for i := range r.rules {
		if r.rules[i].applies(r, request) {
			r.rules[i].act(r, request)
			return
		}
	}
}

// attemptInFlight reports whether an attempt of the request is in flight.
func attemptInFlight(_ *Router, request *request) bool { return len(request.attempts) > 0 }

// deadlinePassed reports whether the deadline has passed, so that an answer has no value.
func (r *Router) deadlinePassed(request *request) bool { return r.now >= request.deadline }

// attemptsExhausted reports whether the request has used all of its attempts.
func attemptsExhausted(_ *Router, request *request) bool {
	return request.attemptCount >= request.maxAttempts
}

// hasNoFleetShare reports whether this router has no share of the fleet's load and the request had no attempt.
func (r *Router) hasNoFleetShare(request *request) bool {
	return r.fleetShare == 0 && request.attemptCount == 0
}

// isShed reports whether the fleet's orders reject the request's rank.
func isShed(_ *Router, request *request) bool { return request.shed }

// retryBudgetExhausted reports whether the next attempt is a retry and the retry budget is spent. It prevents a retry storm.
func (r *Router) retryBudgetExhausted(request *request) bool {
	return request.retryPending && r.budgets.retries < 1
}

// inBackoff reports whether the request must wait before its next attempt.
func (r *Router) inBackoff(request *request) bool { return r.now < request.backoffUntil }

// belongsToOrigin reports whether a request must be turned to the origin: after a miss, for a write in cache-aside mode, or for
// a read that no cache can answer in time.
func (r *Router) belongsToOrigin(request *request) bool {
	if request.toOrigin {
		return false
	}
	return request.missed || r.config.cacheAside && request.write || r.isUrgent(request)
}

// originUnusable reports whether only the origin can answer, but there is none or it would not recognize a repeat.
func (r *Router) originUnusable(request *request) bool {
	return request.toOrigin && !recognizesRepeat(request, r.origin.server)
}

// originHasCapacity reports whether the request can be sent to the origin now.
func (r *Router) originHasCapacity(request *request) bool {
	return request.toOrigin && r.originAccepts(request)
}

// originTooSlow reports whether the origin cannot answer in time.
func (r *Router) originTooSlow(request *request) bool {
	return request.toOrigin && r.now+r.expectedLatency(r.origin.server) > usefulUntil(request)
}

// needsOrigin reports whether only the origin can answer.
func needsOrigin(_ *Router, request *request) bool { return request.toOrigin }

// hasNoCache reports whether no cache in the key's group can be used.
func hasNoCache(_ *Router, request *request) bool { return request.target == nil }

// targetTooSlow reports whether the selected cache cannot answer in time.
func (r *Router) targetTooSlow(request *request) bool {
	return r.now+r.expectedLatency(request.target) > usefulUntil(request)
}

func always(*Router, *request) bool { return true }

// awaitOutcome leaves a request as it is until its attempt ends.
func awaitOutcome(_ *Router, request *request) { request.decided = true }

func (r *Router) sendToOrigin(request *request) { r.send(request, r.origin.server) }

func (r *Router) sendToTarget(request *request) { r.send(request, request.target) }
