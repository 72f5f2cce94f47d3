package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// initialRetries is the retry budget at the start. It is enough for the first seconds.
	initialRetries = 10
	// maxRetries bounds the retry budget that can be saved up for a burst.
	maxRetries = 20
	// retriesPerRequest is added to the retry budget by each request.
	retriesPerRequest = 0.1
	// ranksPerWeight is the scale of ranks: millionths of the highest weight.
	ranksPerWeight = 1e6
	// clientRetryDivisor is the divisor of the rank by which a request that a client repeats is ranked lower, so that it yields
	// to a new request of the same weight.
	clientRetryDivisor = 100
	// overShareTolerance is the multiple of its share up to which a tenant is not over it: variation within it is random.
	overShareTolerance = 1.2
	// retryAfterObjectives is the part of a retry-after that is added to the expected wait, in latency objectives. It is as
	// long as a peak of load: clients that return sooner fill the queues again.
	retryAfterObjectives = 4
)

// requestTable holds the requests that are not finished.
type requestTable struct {
	byID        map[RequestID]*request
	queued      []*request       // in the order of compareQueued
	hedgeable   []*request       // reads that may be hedged, nearly in the order of hedgeAt
	originReads map[Key]*request // the read at the origin of each key; other reads of the key wait for it
	arrived     int              // number of requests since the start
}

// budgets bound the traffic that would amplify an overload.
type budgets struct {
	retries       float64
	originReads   float64    // reads that may go to the origin now, if the fleet limits them
	originReadsAt clock.Time // when originReads was last refilled
}

// attempt is one attempt of a request.
type attempt struct {
	server *server
	number Attempt
	sentAt clock.Time
}

// request is the state of one client request.
type request struct {
	// Identity and priority.
	id        RequestID
	method    *method
	key       Key
	hash      uint64 // of the key, or of the id if there is no key; for a very hot key, of the group drawn
	write     bool
	weight    float64 // priority weight: that of its method, lowered if its tenant is over its share
	rank      Rank
	arrival   int        // order of arrival
	objective clock.Time // an answer by then has its full value
	deadline  clock.Time // an answer after it has no value

	// Attempts.
	attempts      []*attempt // in flight: at most two, of which the second is a hedged request
	attemptCount  Attempt
	maxAttempts   Attempt
	failedServers []*server
	hedgeAt       clock.Time // when it may be hedged; 0: not
	backoffUntil  clock.Time
	retryPending  bool       // its next attempt is charged to the retry budget
	mayHaveRunAt  clock.Time // when the first attempt that may have run was sent; 0: none
	mayHaveRunOn  *server

	// Selection.
	missed   bool    // a cache missed: the origin is to be read next
	toOrigin bool    // only the origin can answer
	replica  int     // index in its group, drawn for a hot key; -1: not drawn
	target   *server // the cache to send to or to wait for; set by selectCache

	// Flags. Each is set at most once, except queued and decided.
	nearDeadline     bool // arrived with less than half of its latency objective left, or its client left early
	shed             bool // the fleet rejects its rank; set on arrival
	admissionChecked bool // set by shedsUnanswered
	responded        bool // answered, or a cache has responded to it; set by countResponse
	queued           bool // in requestTable.queued; set by enqueue, cleared by checkQueue
	decided          bool // nothing more to do until the next event; set by actions, cleared by applyRules
	finished         bool // set by finish
}

// usefulUntil returns the instant until which a request may wait for an answer. A late answer may still have a value, but it
// delays another request's answer that would be in time: an idempotent request waits no longer than its latency objective.
func usefulUntil(request *request) clock.Time {
	if request.method.idempotency == Idempotent {
		return min(request.objective, request.deadline)
	}
	return request.deadline
}

// requestArrived ranks and counts a client's request and applies the rules to it.
func (r *Router) requestArrived(event RequestArrived) {
	request := r.newRequest(event)
	r.traffic.requests.add(r.now, trafficWindow)
	r.lowerWeightOverShare(request, event.Tenant)
	request.rank = 1 + Rank(ranksPerWeight*request.weight)
	if event.ClientRetry {
		request.rank -= request.rank / clientRetryDivisor
	}
	r.load.countArrival(request.rank, r.now)
	request.shed = r.shedsRank(request.rank)
	r.budgets.retries = min(r.budgets.retries+retriesPerRequest, maxRetries)
	if !event.Write && event.Key != "" {
		r.hotKeys.counts.add(hashKey(event.Key))
	}
	r.requests.byID[request.id] = request
	r.applyRules(request)
}

func (r *Router) newRequest(event RequestArrived) *request {
	m := &r.config.methods[event.Method]
	r.requests.arrived++
	request := &request{
		id:          event.Request,
		method:      m,
		key:         event.Key,
		hash:        hashText(string(event.Key)),
		write:       event.Write,
		weight:      m.weight,
		arrival:     r.requests.arrived,
		objective:   r.now - event.Waited + m.latencyObjective,
		maxAttempts: r.config.maxAttempts,
		replica:     -1,
	}
	// An answer is due before the last tick ends, so the deadline is one tick earlier.
	request.deadline = min(event.ValidUntil, r.shutdownAt) - r.config.clockGranularity
	if !m.lateAnswerCounts {
		request.deadline = min(request.deadline, request.objective)
	}
	request.nearDeadline = 2*(request.deadline-r.now) < m.latencyObjective
	if event.SingleAttempt {
		request.maxAttempts = 1
	}
	if event.Key == "" {
		request.hash = hashText(string(event.Request))
	}
	return request
}

// lowerWeightOverShare lowers the weight of a request whose tenant exceeds its share of this router's traffic by more than a
// tolerance and two standard deviations: at a few requests per second a tenant often exceeds its share by chance.
func (r *Router) lowerWeightOverShare(request *request, name Tenant) {
	tenant := r.admission.tenants[name]
	if tenant == nil {
		return
	}
	tenant.rate.add(r.now, trafficWindow)
	entitled := tenant.share * r.traffic.requests.perSecond
	deviation := math.Sqrt(entitled * microsecondsPerSecond / float64(trafficWindow) / 2)
	if tenant.rate.perSecond > overShareTolerance*entitled+2*deviation {
		request.weight *= r.config.overShareWeight
	}
}

// clientDisconnected cancels and ends a request whose client has disconnected.
func (r *Router) clientDisconnected(event ClientDisconnected) {
	request := r.requests.byID[event.Request]
	if request == nil || request.finished {
		return
	}
	r.cancelAttempts(request)
	// A client that disconnects before a usual answer is due is not evidence of overloaded caches.
	leftEarly := len(request.attempts) == 0 || r.now-request.attempts[0].sentAt < 2*r.cacheLatency.mean
	request.nearDeadline = request.nearDeadline || leftEarly
	r.finish(request)
}

// finish ends a request. It is called again when an attempt ends after its request.
func (r *Router) finish(request *request) {
	// Requests that arrived late, or for which no attempt was sent, tell nothing about the caches.
	countsForCaches := request.admissionChecked && !request.nearDeadline && request.attemptCount > 0
	if !request.finished && countsForCaches {
		r.admission.ended.add(r.now, trafficWindow)
	}
	r.countEnd(request)
	request.finished = true
	request.decided = true
	if r.requests.originReads[request.key] == request {
		delete(r.requests.originReads, request.key)
	}
	if len(request.attempts) == 0 {
		delete(r.requests.byID, request.id)
	}
}

// rejectOrFail ends a request without an answer: with a rejection if the client may safely repeat it, else with a failure.
func (r *Router) rejectOrFail(request *request) {
	decision := Decision{Action: Fail, Request: request.id}
	if request.mayHaveRunAt == 0 || request.method.idempotency == Idempotent {
		decision.Action = Reject
		decision.After = min(r.retryAfter(request), r.config.maxRetryAfter)
	}
	r.decide(decision)
	r.finish(request)
}

// retryAfter returns the time after which a rejected client should retry.
func (r *Router) retryAfter(request *request) clock.Duration {
	if request.shed { // random, so that the clients do not return all at once
		longest := min(r.failover.RetryAfter, r.config.maxRetryAfter)
		return clock.Duration(float64(longest) * (1 + r.random.float()) / 2)
	}
	after := retryAfterObjectives * request.method.latencyObjective
	waitsFor := r.waitsFor(request)
	if waitsFor != nil {
		after += r.expectedLatency(waitsFor)
	}
	return after
}

// waitsFor returns the server that a request waits for, nil for none.
func (r *Router) waitsFor(request *request) *server {
	if request.toOrigin {
		return r.origin.server
	}
	return request.target
}

// enqueue queues a request. The rules are applied to it again after every event other than an arrival, and at intervals.
func (r *Router) enqueue(request *request) {
	request.decided = true
	if request.queued {
		return
	}
	request.queued = true
	at, _ := slices.BinarySearchFunc(r.requests.queued, request, compareQueued)
	r.requests.queued = slices.Insert(r.requests.queued, at, request)
	waitsFor := r.waitsFor(request)
	if waitsFor != nil {
		waitsFor.queuedAhead++
	}
}

// compareQueued orders queued requests: writes first, then higher weights, then earlier arrivals.
func compareQueued(a, b *request) int {
	if a.write == b.write && a.weight == b.weight {
		return a.arrival - b.arrival
	}
	if a.write && !b.write || a.write == b.write && a.weight > b.weight {
		return -1
	}
	return 1
}

// checkQueue applies the rules to the queued requests, in order. A request that stays queued counts in queuedAhead of its server
// for the requests behind it.
func (r *Router) checkQueue() {
	for _, request := range r.requests.queued {
		waitsFor := r.waitsFor(request)
		if waitsFor != nil {
			waitsFor.queuedAhead = 0
		}
	}
	for _, request := range slices.Clone(r.requests.queued) {
		r.applyRules(request)
		waitsFor := r.waitsFor(request)
		if waitsFor != nil && isWaiting(request) {
			waitsFor.queuedAhead++
		}
	}
	r.requests.queued = slices.DeleteFunc(r.requests.queued, func(request *request) bool {
		request.queued = isWaiting(request)
		return !request.queued
	})
}

// QueuedRequests returns the number of requests that wait for capacity of a server.
func (r *Router) QueuedRequests() int { return len(r.requests.queued) }

// isWaiting reports whether a request is unfinished and has no attempt in flight.
func isWaiting(request *request) bool { return !request.finished && len(request.attempts) == 0 }
