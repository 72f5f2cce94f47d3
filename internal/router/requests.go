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
type asker interface {
	// answer passes on the one final answer of a request. It must not wait.
	answer(*request, wire.Answer)
}

// request is one request from its last byte on, until its answer is given and no attempt of it is out.
type request struct {
	wire.Request
	size     int // bytes that it holds
	method   routing.Method
	due      clock.Time // its client gives up then
	from     asker
	slot     slot            // of a RESP2 client
	attempts []*attempt      // two at most
	begun    routing.Attempt // so far
	over     bool            // answered, or the client is gone
	leaving  bool            // the client is gone, and the decisions are still to be told: they may name it until then
	body     *body           // of a big write, which is passed on as it comes
}

// arrival is a request on its way into a batch; its deadline counts from there.
type arrival struct {
	q     *request
	came  routing.RequestArrived
	waits clock.Time
	since clock.Time // its last byte came then
}

// event dates a request. The decisions count its time from when the router came to read it, since the protocol does not
// count the time for which a command waits for those before it; servers are sent what is left since its last byte came.
func (a *arrival) event(at clock.Time) routing.Event {
	a.q.due = min(at, a.since) + a.waits
	a.came.ValidUntil = at + a.waits
	return a.came
}

// attempt is one attempt from its decision to its outcome.
type attempt struct {
	q      *request
	nth    routing.Attempt
	server *server
	sent   clock.Time
	within clock.Time // its time-out
	timer  *timer
	late   *timer     // at until; nil: that is its time-out
	until  clock.Time // not begun by then, it is not begun any more
	up     *upstream  // nil: it waits for a connection
	whole  bool       // its last byte has left us
}

// remaining is how long an answer can still be of use: until the router stops waiting for it, or the client does.
func (w *attempt) remaining(now clock.Time) clock.Time {
	return min(w.sent+w.within, w.q.due) - now
}

// take makes a request of this router's what a front has read whole; its client waits so long from when its last byte came, since.
func (r *Router) take(q *request, came routing.RequestArrived, waits, since clock.Time) {
	r.requests[q.ID] = q
	r.held += q.size
	r.counts.Taken++
	q.method = came.Method
	r.input(&arrival{q: q, came: came, waits: max(waits-r.lim.ClientNetworkMargin, 1), since: since})
}

// answer gives a request its only answer.
func (r *Router) answer(q *request, a wire.Answer) bool {
	if q.over {
		return false
	}
	q.over = true
	r.count(q.method, a.Kind)
	if _, off := q.from.(*Offer); off {
		r.offers.open--
	}
	if q.body != nil {
		q.body.answered(a)
	} else {
		q.from.answer(q, a)
	}
	r.settle(q)
	return true
}

// count is the one place where a request's end is counted, but for those whose clients left.
func (r *Router) count(m routing.Method, k wire.AnswerKind) {
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
func (r *Router) refused(m routing.Method, k wire.AnswerKind) {
	r.counts.Taken++
	r.count(m, k)
}

// settle forgets a request once nothing of it is left.
func (r *Router) settle(q *request) {
	if q.over && !q.leaving && len(q.attempts) == 0 && r.requests[q.ID] == q {
		delete(r.requests, q.ID)
		r.held -= q.size
	}
}

func (r *Router) reject(id routing.RequestID, hint clock.Time) {
	if q := r.requests[id]; q != nil {
		r.answer(q, wire.Answer{Kind: wire.Rejected, RetryAfter: hint})
	}
}

func (r *Router) fail(id routing.RequestID) {
	if q := r.requests[id]; q != nil {
		r.answer(q, wire.Answer{Kind: wire.Failed})
	}
}

// left: the client of a request is gone. What of it has not left us whole does not: where the settings allow no recall it went
// out once it had a connection, long after.
func (r *Router) left(q *request) {
	if q.over {
		return
	}
	q.over, q.leaving = true, true
	if _, off := q.from.(*Offer); off {
		r.offers.open--
	}
	r.counts.Left++
	r.input(routing.ClientDisconnected{Request: q.ID})
	for _, w := range slices.Clone(q.attempts) {
		if w.unsent() {
			r.counts.LeftWaiting++
			r.giveUp(w, routing.NotSent)
		}
	}
}

// unsent: its last byte has not left us, so that it has not run.
func (w *attempt) unsent() bool {
	return w.up == nil || !w.up.away && w.up.conn.OutboundBuffered() > 0
}

// beginAttempt begins an attempt.
func (r *Router) beginAttempt(d routing.Decision) {
	q, s := r.requests[d.Request], r.servers[d.Server]
	if q == nil {
		r.log.Error("an attempt of a request that is over")
		return
	}
	nth := q.begun
	q.begun++
	// The request may have lost its client, and the server its place in the list, since this was decided: the news is in the
	// batch behind the decision, or in the next. Nothing is sent then.
	if q.over || s == nil || !s.ready {
		r.input(routing.AttemptEnded{Request: d.Request, Server: d.Server, Attempt: nth, Status: routing.NotSent, Answered: q.over})
		return
	}
	w := &attempt{q: q, nth: nth, server: s, sent: r.now, within: d.After, until: r.now + d.After}
	q.attempts = append(q.attempts, w)
	r.counts.Attempts++
	w.timer = r.after(d.After, func() { r.timedOut(w) })
	if d.StartBy > 0 && d.StartBy < w.until {
		w.until = d.StartBy
		w.late = r.after(max(0, d.StartBy-r.now), func() {
			if slices.Contains(q.attempts, w) && w.unsent() {
				r.giveUp(w, routing.NotSent)
			}
		})
	}
	r.connect(w)
}

// returned ends an attempt and hands its outcome over.
func (r *Router) returned(w *attempt, status routing.AttemptStatus, report routing.Report) {
	q := w.q
	n := slices.Index(q.attempts, w)
	if n < 0 {
		return
	}
	q.attempts = slices.Delete(q.attempts, n, n+1)
	r.cancel(w.timer)
	r.cancel(w.late)
	if w.up != nil && !w.up.away {
		w.up.left()
		w.up.carries, w.up = nil, nil
	} else {
		w.server.forget(w)
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
	r.input(routing.AttemptEnded{Request: q.ID, Server: w.server.id, Attempt: w.nth, Status: status,
		Took: r.clock() - w.sent, Answered: q.over, Report: report})
	r.settle(q)
}

// giveUp ends an attempt that is still out by closing its connection, so that no late byte reaches another request.
func (r *Router) giveUp(w *attempt, status routing.AttemptStatus) {
	up := w.up
	r.returned(w, status, nil)
	if up != nil && up.away {
		w.q.body.cut()
	} else if up != nil {
		r.close(up.conn)
	}
}

// timedOut: what has not left us whole by its time has never run, and that is not held against the server.
func (r *Router) timedOut(w *attempt) {
	switch {
	case !slices.Contains(w.q.attempts, w):
	case w.unsent():
		r.giveUp(w, routing.NotSent)
	default:
		r.giveUp(w, routing.TimedOut)
	}
}

func (r *Router) recall(id routing.RequestID, n routing.Attempt) {
	if q := r.requests[id]; q != nil {
		if i := slices.IndexFunc(q.attempts, func(w *attempt) bool { return w.nth == n }); i >= 0 {
			r.giveUp(q.attempts[i], routing.Canceled)
		}
	}
}

// spoke: a server has answered. A value goes to who asked as soon as it has come whole.
func (r *Router) spoke(w *attempt, o wire.Outcome) {
	if o.Status == routing.OK {
		r.answer(w.q, wire.Answer{Kind: wire.Served, Value: o.Value})
	}
	r.returned(w, o.Status, r.report(o.Report))
}

// report reads "name=value,..." into the order of the settings; nil where nothing is told.
func (r *Router) report(text []byte) routing.Report {
	if bytes.IndexByte(text, '=') < 0 {
		return nil
	}
	out := make(routing.Report, len(r.cfg.Settings.ReportFields))
	for i := range out {
		out[i] = math.NaN()
	}
	for part := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(part, []byte("="))
		figure, known := settings.ReportFields[string(name)]
		i := slices.Index(r.cfg.Settings.ReportFields, figure)
		if x, err := strconv.ParseFloat(string(value), 64); known && i >= 0 && err == nil {
			out[i] = x
		}
	}
	return out
}
