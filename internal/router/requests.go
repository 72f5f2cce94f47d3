package router

import (
	"bytes"
	"math"
	"slices"
	"strconv"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/settings"
	"spurtrestle/internal/wire"
)

// responder delivers answers to the sender of a request, whatever its protocol.
type responder interface {
	// deliver sends the one final answer of a request. It must not block.
	deliver(*pendingRequest, wire.Answer)
}

// pendingRequest is a request that has been read completely. It is kept until it is answered and none of its
// attempts is outstanding.
type pendingRequest struct {
	wire.Request
	size             int             // bytes of memory held by the request
	admittedAt       clock.Time      // when it was registered
	isLimited        bool            // counted in the limit of its target
	waiting          *requestArrival // set while it waits for room
	method           routing.Method
	clientDeadline   clock.Time // when its client stops waiting
	responder        responder
	slot             slot             // place in the reply order of a RESP2 client
	attempts         []*activeAttempt // at most two
	attemptCount     routing.Attempt  // attempts begun so far
	finished         bool             // answered, or its client is gone
	departurePending bool             // its client is gone; decisions may refer to it until package routing knows
	needsUnusedConn  bool             // an answer was in doubt: its next attempt goes on a connection that has carried nothing
	largeWrite       *largeWrite      // set for a large write, which is streamed as it arrives
}

// requestArrival is an event for a request whose deadline starts with the batch that processes it.
type requestArrival struct {
	request    *pendingRequest
	event      routing.RequestArrived
	timeout    clock.Time
	receivedAt clock.Time // when its last byte arrived
	startedAt  clock.Time // when its time began to count; 0: with the batch that processes it
	waitTimer  *timer     // while it waits for room
	expired    bool       // it has waited for too long, and is to be rejected
}

// minDeadlineDivisor gives the part of a request's time below which its wait behind earlier ones on its connection is
// not subtracted: the protocol does not count it, and a server drops a request with too little time.
const minDeadlineDivisor = 2

// atTime returns the event with its deadline set. Package routing counts a request's time from its last byte, or from the reply
// before it on its connection, since the protocol excludes the time that a command waits for earlier ones; servers are sent the
// time left since the last byte arrived.
func (a *requestArrival) atTime(at clock.Time) routing.Event {
	startedAt := at
	if a.startedAt > 0 {
		startedAt = min(at, a.startedAt)
	}
	a.request.clientDeadline = min(startedAt, a.receivedAt) + a.timeout
	if a.request.clientDeadline-at < a.timeout/minDeadlineDivisor {
		a.request.clientDeadline = startedAt + a.timeout
	}
	a.event.Waited, a.event.ValidUntil = at-startedAt, startedAt+a.timeout
	if a.expired {
		a.event.ValidUntil = at
	}
	return a.event
}

// activeAttempt is one attempt, from the decision to send it to its outcome.
type activeAttempt struct {
	request       *pendingRequest
	number        routing.Attempt
	server        *server
	startedAt     clock.Time
	timeout       clock.Time // time limit for the outcome, from startedAt
	timer         *timer
	startTimer    *timer     // fires at startDeadline; nil: timer covers it
	startDeadline clock.Time // an attempt that has not been sent by then is dropped
	conn          *upstream  // nil: it waits for a connection
	fullySent     bool       // its last byte has been handed to the kernel
}

// remaining returns how long an answer is still of use: until the router's time limit or the client's deadline,
// whichever comes first.
func (a *activeAttempt) remaining(now clock.Time) clock.Time {
	return min(a.startedAt+a.timeout, a.request.clientDeadline) - now
}

// isRepeated reports whether a request with this id is open, or may have run.
func (r *Router) isRepeated(id routing.RequestID) bool {
	if r.requests[id] == nil && !r.recent.Contains(r.clock(), string(id)) {
		return false
	}
	r.counts.RepeatedIDs++
	return true
}

// rememberID records that a request may have run, once a part of it is handed to a server's connection.
func (r *Router) rememberID(id routing.RequestID) { r.recent.Add(r.clock(), string(id)) }

// recentIDsDivisor gives the part of the memory in which ids are remembered.
const recentIDsDivisor = 48

// admitRequest registers a request that was read completely, and begins it unless its client is limited and there is no room.
func (r *Router) admitRequest(arrival *requestArrival, isLimited bool) {
	request := arrival.request
	r.requests[request.ID] = request
	r.sendLateID(request.ID)
	r.requestMemory.Add(clientmemory.Requests, request.size)
	r.counts.Requests++
	request.method = arrival.event.Method
	arrival.timeout = max(arrival.timeout-r.limits.ClientNetworkMargin, 1)
	if isLimited && r.queueRoom(r.targetOf(request.Write)) == 0 {
		r.waitForRoom(arrival)
		return
	}
	r.begin(arrival, isLimited)
}

// begin queues the arrival of a request for package routing.
func (r *Router) begin(arrival *requestArrival, isLimited bool) {
	if isLimited {
		r.limit(arrival.request)
	}
	r.unbatchedRequests++
	arrival.request.admittedAt = r.clock()
	r.addEvent(arrival)
}

// answerRequest sends a request its only answer. It reports false if the request is finished already.
func (r *Router) answerRequest(request *pendingRequest, a wire.Answer) bool {
	if request.finished {
		return false
	}
	request.finished = true
	if a.Kind == wire.Rejected && request.isLimited {
		r.queueLimits[r.targetOf(request.Write)].Reject(r.clock())
	}
	r.endLimit(request)
	r.countOutcome(request.method, a.Kind)
	r.logAnswer(request, a)
	if external, isExternal := request.responder.(*ExternalRequest); isExternal {
		r.endExternal(external)
	}
	if request.largeWrite != nil {
		request.largeWrite.finishEarly(a)
	} else {
		request.responder.deliver(request, a)
	}
	r.releaseRequest(request)
	return true
}

// countOutcome counts the end of a request. All ends are counted here, except those of requests whose clients
// left.
func (r *Router) countOutcome(m routing.Method, k wire.AnswerKind) {
	switch k {
	case wire.Served:
		r.counts.Served++
	case wire.Rejected:
		r.counts.Rejected++
	case wire.Failed:
		r.counts.Failed++
	}
	r.counts.OutcomesByMethod[m][k]++
}

// countUnadmitted counts a request that ends without having been admitted.
func (r *Router) countUnadmitted(m routing.Method, k wire.AnswerKind) {
	r.counts.Requests++
	r.countOutcome(m, k)
}

// releaseRequest forgets a request once it is finished and has no outstanding attempts.
func (r *Router) releaseRequest(request *pendingRequest) {
	if request.finished && !request.departurePending && len(request.attempts) == 0 && r.requests[request.ID] == request {
		delete(r.requests, request.ID)
		r.requestMemory.Add(clientmemory.Requests, -request.size)
	}
}

func (r *Router) rejectRequest(id routing.RequestID, hint clock.Time) {
	if request := r.requests[id]; request != nil {
		r.answerRequest(request, wire.Answer{Kind: wire.Rejected, RetryAfter: hint})
	}
}

func (r *Router) failRequest(id routing.RequestID) {
	if request := r.requests[id]; request != nil {
		r.answerRequest(request, wire.Answer{Kind: wire.Failed})
	}
}

// clientLeft finishes a request whose client is gone, and drops attempts that have not been sent completely: where
// the settings allow no cancellation, such an attempt used to be sent when it got a connection, long after the
// client had left.
func (r *Router) clientLeft(request *pendingRequest) {
	if request.finished {
		return
	}
	request.finished, request.departurePending = true, true
	r.endLimit(request)
	r.stopWaiting(request)
	if external, isExternal := request.responder.(*ExternalRequest); isExternal {
		r.endExternal(external)
	}
	r.counts.Abandoned++
	r.addEvent(routing.ClientDisconnected{Request: request.ID})
	for _, attempt := range slices.Clone(request.attempts) {
		if !attempt.mayHaveRun() {
			r.counts.UnsentAttempts++
			r.abortAttempt(attempt, routing.NotSent)
		}
	}
}

// beginAttempt starts the attempt of a Send decision.
func (r *Router) beginAttempt(decision routing.Decision) {
	request, s := r.requests[decision.Request], r.servers[decision.Server]
	if request == nil {
		r.log.Error("attempt for an unknown request")
		return
	}
	number := request.attemptCount
	request.attemptCount++
	// Since the decision was made, the request may have lost its client, or the server may have left the endpoint
	// list; the event for that is later in this batch or in the next one. Nothing is sent then.
	if request.finished || s == nil || !s.ready {
		r.addEvent(routing.AttemptEnded{Request: decision.Request, Server: decision.Server, Attempt: number,
			Status: routing.NotSent, Answered: request.finished})
		return
	}
	attempt := &activeAttempt{request: request, number: number, server: s, startedAt: r.batchTime,
		timeout: decision.After, startDeadline: r.batchTime + decision.After}
	request.attempts = append(request.attempts, attempt)
	r.counts.Attempts++
	if number > 0 {
		r.counts.Retries++
	}
	attempt.timer = r.after(decision.After, func() { r.timeOutAttempt(attempt) })
	if decision.StartBy > 0 && decision.StartBy < attempt.startDeadline {
		attempt.startDeadline = decision.StartBy
		attempt.startTimer = r.after(max(0, decision.StartBy-r.batchTime), func() {
			if slices.Contains(request.attempts, attempt) && !attempt.mayHaveRun() {
				r.abortAttempt(attempt, routing.NotSent)
			}
		})
	}
	r.connectAttempt(attempt)
}

// endAttempt removes an attempt and queues its outcome for package routing.
func (r *Router) endAttempt(attempt *activeAttempt, status routing.AttemptStatus, report routing.Report) {
	request := attempt.request
	n := slices.Index(request.attempts, attempt)
	if n < 0 {
		return
	}
	request.attempts = slices.Delete(request.attempts, n, n+1)
	r.cancelTimer(attempt.timer)
	r.cancelTimer(attempt.startTimer)
	if attempt.conn != nil && !attempt.conn.detached {
		attempt.conn.noteSent()
		attempt.conn.previousRequest = request.ID
		attempt.conn.attempt, attempt.conn = nil, nil
	} else {
		r.removeWaiting(attempt)
	}
	r.counts.AttemptEnds[status]++
	r.logAttemptEnd(attempt, counters.AttemptStatusName(status))
	switch status {
	case routing.OK:
		r.counts.OK++
	case routing.Miss:
		r.counts.Misses++
	case routing.QueueFull, routing.ConnectError, routing.NotSent:
		r.counts.NotExecuted++
	case routing.Canceled:
		r.counts.Canceled++
	default:
		r.counts.MaybeExecuted++
	}
	r.addEvent(routing.AttemptEnded{Request: request.ID, Server: attempt.server.id, Attempt: attempt.number, Status: status,
		Took: r.clock() - attempt.startedAt, Answered: request.finished, Report: report})
	r.releaseRequest(request)
}

// abortAttempt ends an outstanding attempt by closing its connection, so that a late answer cannot reach another
// request.
func (r *Router) abortAttempt(attempt *activeAttempt, status routing.AttemptStatus) {
	up := attempt.conn
	r.endAttempt(attempt, status, nil)
	if up != nil && up.detached {
		attempt.request.largeWrite.interrupt()
	} else if up != nil {
		up.closeFor(counters.AttemptAborted)
		r.closeConn(up.conn)
	}
}

// timeOutAttempt ends an attempt whose time is over. One that has not been sent completely has never run, and does
// not count against the server.
func (r *Router) timeOutAttempt(attempt *activeAttempt) {
	switch {
	case !slices.Contains(attempt.request.attempts, attempt):
	case !attempt.mayHaveRun():
		r.abortAttempt(attempt, routing.NotSent)
	default:
		r.abortAttempt(attempt, routing.TimedOut)
	}
}

func (r *Router) cancelAttempt(id routing.RequestID, n routing.Attempt) {
	if request := r.requests[id]; request != nil {
		if i := slices.IndexFunc(request.attempts, func(attempt *activeAttempt) bool { return attempt.number == n }); i >= 0 {
			r.abortAttempt(request.attempts[i], routing.Canceled)
		}
	}
}

// handleOutcome handles a server's answer. A value is passed to the client as soon as it is complete.
func (r *Router) handleOutcome(attempt *activeAttempt, outcome wire.Outcome) {
	if outcome.Status == routing.OK {
		r.observeResponse(attempt)
		r.answerRequest(attempt.request, wire.Answer{Kind: wire.Served, Value: outcome.Value})
	}
	r.endAttempt(attempt, outcome.Status, r.parseReport(outcome.Report))
}

// parseReport parses a load report "name=value,..." into the order of the settings; it returns nil if there is
// none.
func (r *Router) parseReport(text []byte) routing.Report {
	if bytes.IndexByte(text, '=') < 0 {
		return nil
	}
	report := make(routing.Report, len(r.cfg.Settings.ReportFields))
	for i := range report {
		report[i] = math.NaN()
	}
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		field, known := settings.ReportFields[string(name)]
		i := slices.Index(r.cfg.Settings.ReportFields, field)
		if number, err := strconv.ParseFloat(string(value), 64); known && i >= 0 && err == nil {
			report[i] = number
		}
	}
	return report
}
