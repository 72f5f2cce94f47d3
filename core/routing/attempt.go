package routing

import (
	"slices"

	"spurtrestle/core/clock"
)

const (
	// minTimeoutLatencies is the shortest time-out of an attempt at a cache, in mean latencies, if the time left allows it. A
	// shorter one cuts off answers of healthy caches, whose latencies have a heavy tail.
	minTimeoutLatencies = 8
	// suspectTimeoutLatencies is the longest time-out of an attempt at a cache whose last attempt failed, in mean latencies. The
	// cache may hang, and time must be left for another one.
	suspectTimeoutLatencies = 3
	// originReserveDivisor bounds the time reserved for a miss and the origin, as a divisor of the time left.
	originReserveDivisor = 3
	// originBackoff is the wait after a failed attempt at the origin, as long as a few of its fast answers.
	originBackoff = 20 * clock.Millisecond
	// methodLatencySamples is the number of samples that the latency of a method averages over.
	methodLatencySamples = 20
	// freeRetryAnsweredRatio is the ratio of answered to ended requests from which on a retry after a full queue is not charged
	// to the retry budget. Below it every retry is charged, so that requests do not try their entire group in an overload.
	freeRetryAnsweredRatio = 0.8
)

// send starts an attempt of a request at a server.
func (r *Router) send(request *request, server *server) {
	timeout := r.attemptTimeout(request, server)
	r.extendZoneTrial(server)
	if request.retryPending {
		r.budgets.retries--
		request.retryPending = false
	}
	r.chargeOriginRead(request, server)
	server.inFlight++
	if server.inFlight == 1 {
		server.lastResponseAt = r.now
	}
	server.attemptRate.add(r.now, attemptWindow)
	r.traffic.attempts.add(r.now, attemptWindow)
	request.attempts = append(request.attempts, &attempt{server: server, number: request.attemptCount, sentAt: r.now})
	request.attemptCount++
	r.scheduleHedge(request, server)
	request.decided = true
	if r.warmUpAge(server) < r.config.warmUpDuration {
		server.warmUp.attempts--
	}
	if request.write {
		server.writes++
	} else {
		server.reads++
	}
	decision := Decision{Action: Send, Request: request.id, Server: server.Server, After: max(timeout, r.config.clockGranularity)}
	// A repeat may wait for a connection, but must not be sent after the deduplication window.
	if request.mayHaveRunAt > 0 && request.method.idempotency == Deduplicated {
		decision.StartBy = request.mayHaveRunAt + request.method.window - r.config.clockGranularity
	}
	r.decide(decision)
}

// attemptTimeout returns the time-out of an attempt: the time until the deadline, but at a cache, if a retry can follow, it
// leaves time for the origin within the latency objective.
func (r *Router) attemptTimeout(request *request, server *server) clock.Duration {
	left := request.deadline - r.now
	retryPossible := r.config.cacheAside && request.attemptCount+1 < request.maxAttempts && r.budgets.retries >= 1
	if server.isOrigin || !retryPossible {
		return left
	}
	reserve := request.method.latency // for a miss, and below for one and a half fast answers of the origin
	if r.origin.server != nil {
		reserve = min(left/originReserveDivisor, reserve+r.origin.server.latency.fastest*3/2)
	}
	timeout := min(left, max(request.objective-r.now-reserve, minTimeoutLatencies*r.cacheLatency.mean))
	isSuspect := server.failurePoints > 0
	if isSuspect && r.cacheLatency.samples > 0 {
		timeout = min(timeout, suspectTimeoutLatencies*r.cacheLatency.mean)
	}
	return timeout
}

// attemptEnded handles the outcome of an attempt: it updates the state of the server, then finishes the request or applies the
// rules to it again.
func (r *Router) attemptEnded(event AttemptEnded) {
	server := r.endpoints.servers[event.Server]
	if server != nil {
		r.recordReport(server, event.Report, event.Took)
	}
	request := r.requests.byID[event.Request]
	if request == nil {
		return
	}
	attempt := takeAttempt(request, event.Attempt)
	if attempt == nil {
		return
	}
	attempt.server.inFlight--
	attempt.server.lastAttemptEnd = r.now
	r.recordOutcome(attempt, event.Status, event.Took)
	r.closeIdle(attempt.server)
	if event.Status == OK && !attempt.server.isOrigin {
		request.method.latency += (event.Took - request.method.latency) / methodLatencySamples
	}
	r.countResponse(request, attempt.server, event.Status)
	if request.finished || event.Answered {
		r.cancelAttempts(request)
		r.finish(request)
		return
	}
	r.prepareNextAttempt(request, attempt, event.Status)
	if attempt.server.isOrigin && len(request.attempts) == 0 {
		request.backoffUntil = r.now + originBackoff
		originOverloaded := event.Status == TimedOut || event.Status == QueueFull
		if !request.write && originOverloaded { // this lets the reads of the key that wait for it proceed
			r.rejectOrFail(request)
			return
		}
	}
	r.applyRules(request)
}

// takeAttempt removes an attempt from those in flight and returns it, nil if it is not in flight.
func takeAttempt(request *request, number Attempt) *attempt {
	at := slices.IndexFunc(request.attempts, func(a *attempt) bool { return a.number == number })
	if at < 0 {
		return nil
	}
	taken := request.attempts[at]
	request.attempts = slices.Delete(request.attempts, at, at+1)
	return taken
}

// countResponse counts a request as answered, once, if it was answered or a cache responded to it in any way: an overloaded
// cache is silent. An error of the origin does not count, since the origin may stand in for a full or silent cache.
func (r *Router) countResponse(request *request, server *server, status AttemptStatus) {
	cacheResponded := !server.isOrigin && (status == Miss || brokenResponse(status))
	if (status == OK || cacheResponded) && !request.responded && !request.nearDeadline {
		request.responded = true
		r.admission.answered.add(r.now, trafficWindow)
	}
}

// brokenResponse reports whether a server responded, but with an error or by breaking the connection.
func brokenResponse(status AttemptStatus) bool { return status == Failed || status == Reset }

// prepareNextAttempt determines where the next attempt of a request may go, and whether it is charged to the retry budget.
func (r *Router) prepareNextAttempt(request *request, attempt *attempt, status AttemptStatus) {
	server := attempt.server
	switch status {
	case Miss:
		// If another read of the key is in flight at the origin, its result fills this cache.
		request.missed = !request.write && !server.isOrigin && !r.originReadInFlight(request)
	case QueueFull:
		isLastAttempt := request.attemptCount+1 >= request.maxAttempts
		if !server.isOrigin && !request.write && r.originIsFree(request, isLastAttempt) {
			r.turnToOrigin(request)
		} else {
			answered := r.admission.answered.at(r.now, trafficWindow)
			request.retryPending = answered < freeRetryAnsweredRatio*r.admission.ended.at(r.now, trafficWindow)
		}
	case ConnectError, NotSent:
		request.retryPending = true
	default:
		request.retryPending = true
		if request.mayHaveRunAt == 0 {
			request.mayHaveRunAt, request.mayHaveRunOn = attempt.sentAt, server
		}
	}
	// A single broken response is more often chance than the failure of the server. It is retried at the same server, the only
	// one that has the key.
	retrySameServer := brokenResponse(status) && server.failurePoints <= 1
	if status == QueueFull || request.retryPending && !retrySameServer {
		request.failedServers = append(request.failedServers, server)
	}
}

// cancelAttempts cancels the attempts that are in flight when a request ends.
func (r *Router) cancelAttempts(request *request) {
	if !r.config.cancelAllowed || request.finished {
		return
	}
	for _, attempt := range request.attempts {
		r.decide(Decision{Action: Cancel, Request: request.id, Attempt: attempt.number})
	}
}

// mustNotRunAgain reports whether the request may have run and a repeat could run a second time. A repeat must be sent one
// tick before the deduplication window ends, so that it arrives within the window.
func (r *Router) mustNotRunAgain(request *request) bool {
	if request.mayHaveRunAt == 0 || request.method.idempotency == Idempotent {
		return false
	}
	windowEnds := request.mayHaveRunAt + request.method.window
	return request.method.idempotency == NonIdempotent || r.now+r.config.clockGranularity >= windowEnds
}

// recognizesRepeat reports whether a server may get a request: it is not nil, and if the request is deduplicated and may have
// run, the server would recognize the repeat and drop it.
func recognizesRepeat(request *request, server *server) bool {
	if server == nil {
		return false
	}
	method := request.method
	isRepeat := request.mayHaveRunAt != 0 && method.idempotency == Deduplicated
	if !isRepeat || method.scope == ScopeAll {
		return true
	}
	sameZone := server.Zone == request.mayHaveRunOn.Zone
	return sameZone && (method.scope == ScopeZone || server.Cell == request.mayHaveRunOn.Cell)
}
