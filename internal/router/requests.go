package router

import (
	"bytes"
	"math"
	"slices"
	"strconv"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/settings"
	"spurtrestle/internal/wire"
)

// asker is whoever a request came from, by whatever protocol.
type responder interface {
	// answer passes on the one final answer of a request. It must not wait.
	deliver(*pendingRequest, wire.Answer)
}

// request is one request from its last byte on, until its answer is given and no attempt of it is out.
type pendingRequest struct {
	wire.Request
	size             int // bytes that it holds
	method           routing.Method
	clientDeadline   clock.Time // its client gives up then
	responder        responder
	slot             slot             // of a RESP2 client
	attempts         []*activeAttempt // two at most
	attemptCount     routing.Attempt  // so far
	finished         bool             // answered, or the client is gone
	departurePending bool             // the client is gone, and the decisions are still to be told: they may name it until then
	largeWrite       *largeWrite      // of a big write, which is passed on as it comes
}

// arrival is a request on its way into a batch; its deadline counts from there.
type requestArrival struct {
	request    *pendingRequest
	event      routing.RequestArrived
	timeout    clock.Time
	receivedAt clock.Time // its last byte came then
}

// event dates a request. The decisions count its time from when the router came to read it, since the protocol does not
// count the time for which a command waits for those before it; servers are sent what is left since its last byte came.
func (a *requestArrival) atTime(at clock.Time) routing.Event {
	a.request.clientDeadline = min(at, a.receivedAt) + a.timeout
	a.event.ValidUntil = at + a.timeout
	return a.event
}

// attempt is one attempt from its decision to its outcome.
type activeAttempt struct {
	request       *pendingRequest
	number        routing.Attempt
	server        *server
	startedAt     clock.Time
	timeout       clock.Time // its time-out
	timer         *timer
	startTimer    *timer     // at until; nil: that is its time-out
	startDeadline clock.Time // not begun by then, it is not begun any more
	conn          *upstream  // nil: it waits for a connection
	fullySent     bool       // its last byte has left us
}

// remaining is how long an answer can still be of use: until the router stops waiting for it, or the client does.
func (a *activeAttempt) remaining(now clock.Time) clock.Time {
	return min(a.startedAt+a.timeout, a.request.clientDeadline) - now
}

// take makes a request of this router's what a front has read whole; its client waits so long from when its last byte came, since.
func (r *Router) admitRequest(request *pendingRequest, event routing.RequestArrived, timeout, receivedAt clock.Time) {
	r.requests[request.ID] = request
	r.requestBytes += request.size
	r.counts.Taken++
	request.method = event.Method
	r.addEvent(&requestArrival{request: request, event: event, timeout: max(timeout-r.limits.ClientNetworkMargin, 1), receivedAt: receivedAt})
}

// answer gives a request its only answer.
func (r *Router) answerRequest(request *pendingRequest, a wire.Answer) bool {
	if request.finished {
		return false
	}
	request.finished = true
	r.countOutcome(request.method, a.Kind)
	if _, off := request.responder.(*ExternalRequest); off {
		r.external.openRequests--
	}
	if request.largeWrite != nil {
		request.largeWrite.finishEarly(a)
	} else {
		request.responder.deliver(request, a)
	}
	r.releaseRequest(request)
	return true
}

// count is the one place where a request's end is counted, but for those whose clients left.
func (r *Router) countOutcome(m routing.Method, k wire.Kind) {
	switch k {
	case wire.Served:
		r.counts.Served++
	case wire.Rejected:
		r.counts.Rejected++
	case wire.Failed:
		r.counts.Failed++
	}
	r.counts.Ended[m][k]++
}

// refused counts a request that ended before the decisions saw it.
func (r *Router) countRefused(m routing.Method, k wire.Kind) {
	r.counts.Taken++
	r.countOutcome(m, k)
}

// settle forgets a request once nothing of it is left.
func (r *Router) releaseRequest(request *pendingRequest) {
	if request.finished && !request.departurePending && len(request.attempts) == 0 && r.requests[request.ID] == request {
		delete(r.requests, request.ID)
		r.requestBytes -= request.size
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

// left: the client of a request is gone. What of it has not left us whole does not: where the settings allow no recall it went
// out once it had a connection, long after.
func (r *Router) clientLeft(request *pendingRequest) {
	if request.finished {
		return
	}
	request.finished, request.departurePending = true, true
	if _, off := request.responder.(*ExternalRequest); off {
		r.external.openRequests--
	}
	r.counts.Left++
	r.addEvent(routing.ClientDisconnected{Request: request.ID})
	for _, attempt := range slices.Clone(request.attempts) {
		if attempt.notFullySent() {
			r.counts.LeftWaiting++
			r.abortAttempt(attempt, routing.NotSent)
		}
	}
}

// unsent: its last byte has not left us, so that it has not run.
func (a *activeAttempt) notFullySent() bool {
	return a.conn == nil || !a.conn.detached && a.conn.conn.OutboundBuffered() > 0
}

// beginAttempt begins an attempt.
func (r *Router) beginAttempt(decision routing.Decision) {
	request, s := r.requests[decision.Request], r.servers[decision.Server]
	if request == nil {
		r.log.Error("an attempt of a request that is over")
		return
	}
	nth := request.attemptCount
	request.attemptCount++
	// The request may have lost its client, and the server its place in the list, since this was decided: the news is in the
	// batch behind the decision, or in the next. Nothing is sent then.
	if request.finished || s == nil || !s.ready {
		r.addEvent(routing.AttemptEnded{Request: decision.Request, Server: decision.Server, Attempt: nth, Status: routing.NotSent, Answered: request.finished})
		return
	}
	attempt := &activeAttempt{request: request, number: nth, server: s, startedAt: r.batchTime, timeout: decision.After, startDeadline: r.batchTime + decision.After}
	request.attempts = append(request.attempts, attempt)
	r.counts.Attempts++
	attempt.timer = r.after(decision.After, func() { r.timeOutAttempt(attempt) })
	if decision.StartBy > 0 && decision.StartBy < attempt.startDeadline {
		attempt.startDeadline = decision.StartBy
		attempt.startTimer = r.after(max(0, decision.StartBy-r.batchTime), func() {
			if slices.Contains(request.attempts, attempt) && attempt.notFullySent() {
				r.abortAttempt(attempt, routing.NotSent)
			}
		})
	}
	r.connectAttempt(attempt)
}

// returned ends an attempt and hands its outcome over.
func (r *Router) endAttempt(attempt *activeAttempt, status routing.AttemptStatus, report routing.Report) {
	request := attempt.request
	n := slices.Index(request.attempts, attempt)
	if n < 0 {
		return
	}
	request.attempts = slices.Delete(request.attempts, n, n+1)
	r.cancel(attempt.timer)
	r.cancel(attempt.startTimer)
	if attempt.conn != nil && !attempt.conn.detached {
		attempt.conn.noteSent()
		attempt.conn.attempt, attempt.conn = nil, nil
	} else {
		attempt.server.removeWaiting(attempt)
	}
	switch status {
	case routing.OK:
		r.counts.OK++
	case routing.Miss:
		r.counts.Miss++
	case routing.QueueFull, routing.ConnectError, routing.NotSent:
		r.counts.NeverRan++
	case routing.Canceled:
		r.counts.GivenUp++
	default:
		r.counts.MayHave++
	}
	r.addEvent(routing.AttemptEnded{Request: request.ID, Server: attempt.server.id, Attempt: attempt.number, Status: status,
		Took: r.clock() - attempt.startedAt, Answered: request.finished, Report: report})
	r.releaseRequest(request)
}

// giveUp ends an attempt that is still out by closing its connection, so that no late byte reaches another request.
func (r *Router) abortAttempt(attempt *activeAttempt, status routing.AttemptStatus) {
	up := attempt.conn
	r.endAttempt(attempt, status, nil)
	if up != nil && up.detached {
		attempt.request.largeWrite.interrupt()
	} else if up != nil {
		r.close(up.conn)
	}
}

// timedOut: what has not left us whole by its time has never run, and that is not held against the server.
func (r *Router) timeOutAttempt(attempt *activeAttempt) {
	switch {
	case !slices.Contains(attempt.request.attempts, attempt):
	case attempt.notFullySent():
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

// spoke: a server has answered. A value goes to who asked as soon as it has come whole.
func (r *Router) handleOutcome(attempt *activeAttempt, outcome wire.Outcome) {
	if outcome.Status == routing.OK {
		r.answerRequest(attempt.request, wire.Answer{Kind: wire.Served, Value: outcome.Value})
	}
	r.endAttempt(attempt, outcome.Status, r.parseReport(outcome.Report))
}

// report reads "name=value,..." into the order of the settings; nil where nothing is told.
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
