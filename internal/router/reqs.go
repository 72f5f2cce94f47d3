package router

import (
	"bytes"
	"strconv"

	"spurtrestle/choice"
	"spurtrestle/internal/resp"
)

// req is one req from its last byte on, until its answer is given and no write-out of it is out.
type req struct {
	id        choice.ReqID
	verb      []byte // these point into one copy of the command
	key       []byte
	props     []byte
	value     []byte // of a write
	write     bool
	size      int // bytes that it holds
	client    *client
	slot      *slot
	out       *writeOut
	writeOuts choice.Attempt // so far
	over      bool           // answered, or the client is gone
}

// arrival is a req on its way into a batch; its deadline counts from there.
type arrival struct {
	came  choice.ReqCame
	waits choice.Micros
}

func (a *arrival) event(now choice.Micros) choice.Event {
	a.came.ValidUntil = now + a.waits
	return a.came
}

// writeOut is one write-out from its decision to its outcome.
type writeOut struct {
	q      *req
	nth    choice.Attempt
	server *server
	sent   choice.Micros
	within choice.Micros // its time-out
	timer  *timer
	up     *upstream // nil: it waits for a connection
}

// answer gives a req its only answer.
func (r *Router) answer(q *req, text []byte) bool {
	if q.over {
		return false
	}
	q.over = true
	q.client.answer(q.slot, text)
	r.settle(q)
	return true
}

// settle forgets a req once nothing of it is left.
func (r *Router) settle(q *req) {
	if q.over && q.out == nil && r.reqs[q.id] == q {
		delete(r.reqs, q.id)
		r.held -= q.size
	}
}

func (r *Router) nack(id choice.ReqID, hint choice.Micros) {
	q := r.reqs[id]
	if q == nil {
		return
	}
	text := "BUSY"
	if hint > 0 {
		text += " " + strconv.FormatInt(int64((hint+999)/1000), 10)
	}
	r.scratch = resp.AppendLine(r.scratch[:0], '-', text)
	if r.answer(q, r.scratch) {
		r.counts.Nacked++
	}
}

func (r *Router) fail(id choice.ReqID) {
	if q := r.reqs[id]; q != nil {
		r.scratch = resp.AppendLine(r.scratch[:0], '-', "ERR failed")
		if r.answer(q, r.scratch) {
			r.counts.Failed++
		}
	}
}

// left: the client of a req is gone.
func (r *Router) left(q *req) {
	if !q.over {
		q.over = true
		r.counts.Left++
		r.input(choice.Left{Req: q.id}) // a decision made before that may still name it: it is settled behind
	}
}

// writeOut begins a write-out.
func (r *Router) writeOut(d choice.Decision) {
	q, s := r.reqs[d.Req], r.servers[d.Server]
	if q == nil {
		r.log.Error("a write-out for a req that is over")
		return
	}
	nth := q.writeOuts
	q.writeOuts++
	// The req may have lost its client, and the server its place in the list, since this was decided: the news is in the
	// batch behind the decision, or in the next. Nothing is sent then.
	if q.over || s == nil || !s.ready {
		r.input(choice.Returned{Req: d.Req, Server: d.Server, Attempt: nth, Status: choice.Ignored, Over: q.over})
		return
	}
	w := &writeOut{q: q, nth: nth, server: s, sent: r.now, within: d.After}
	q.out = w
	r.counts.WriteOuts++
	w.timer = r.after(d.After, func() { r.timedOut(w) })
	r.connect(w)
}

// returned ends a write-out and hands its outcome over.
func (r *Router) returned(w *writeOut, status choice.Status, report choice.Report) {
	if w.q.out != w {
		return
	}
	q := w.q
	q.out = nil
	r.cancel(w.timer)
	if w.up != nil {
		w.up.carries, w.up = nil, nil
	} else {
		w.server.forget(w)
	}
	switch status {
	case choice.OK:
		r.counts.OK++
	case choice.Miss:
		r.counts.Miss++
	case choice.QueueFull, choice.ConnectError, choice.Ignored:
		r.counts.NeverRan++
	case choice.Canceled:
		r.counts.GivenUp++
	default:
		r.counts.MayHave++
	}
	r.input(choice.Returned{Req: q.id, Server: w.server.id, Attempt: w.nth, Status: status,
		Took: r.clock() - w.sent, Over: q.over, Report: report})
	r.settle(q)
}

// giveUp ends a write-out that is still out by closing its connection, so that no late byte reaches another req.
func (r *Router) giveUp(w *writeOut, status choice.Status) {
	up := w.up
	r.returned(w, status, nil)
	if up != nil {
		r.close(up.conn)
	}
}

// timedOut: what has not left us whole by its time has never run, and that is not held against the server.
func (r *Router) timedOut(w *writeOut) {
	switch {
	case w.q.out != w:
	case w.up == nil || w.up.conn.OutboundBuffered() > 0:
		r.giveUp(w, choice.Ignored)
	default:
		r.giveUp(w, choice.TimedOut)
	}
}

func (r *Router) recall(id choice.ReqID, n choice.Attempt) {
	if q := r.reqs[id]; q != nil && q.out != nil && q.out.nth == n {
		r.giveUp(q.out, choice.Canceled)
	}
}

// satisfied passes the value of a server on and ends the write-out.
func (r *Router) satisfied(w *writeOut, value []byte, report choice.Report) {
	r.scratch = resp.AppendBulk(r.scratch[:0], value)
	if r.answer(w.q, r.scratch) {
		r.counts.Satisfied++
	}
	r.returned(w, choice.OK, report)
}

// propsFor rewrites d, the time that the receiver may count on; the rest goes on as it came.
func propsFor(to, props []byte, within choice.Micros) []byte {
	for i, part := range bytes.Split(props, []byte(",")) {
		if i > 0 {
			to = append(to, ',')
		}
		if bytes.HasPrefix(part, []byte("d=")) {
			to = strconv.AppendInt(append(to, "d="...), int64(max(1, (within+999)/1000)), 10)
			continue
		}
		to = append(to, part...)
	}
	return to
}
