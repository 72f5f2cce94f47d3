package routing

import "slices"

// This file: whether a request may be sent again, a second time at once, and whereto.

// mustStop guards rule 2, no effect twice. A tick is left over so that a repeat arrives within the window.
func (r *Router) mustStop(q *request) bool {
	if q.maybeRan == 0 || q.method.effect == Idempotent {
		return false
	}
	return q.method.effect == NonIdempotent || r.now+r.tick >= q.maybeRan+q.method.window
}

// copyIsDue: the one attempt of a read is out for longer than its cache should take, and the origin has
// room to spare. The cache may be crowded, or silent, and a router of hundreds cannot know: it asks each one
// once a minute. A copy at a partner would crowd that one, and push out what it holds.
func (r *Router) copyIsDue(q *request) bool {
	if q.copyAt == 0 || r.now < q.copyAt || r.now >= q.final || // the loop comes late to it where it stood still
		len(q.attempts) != 1 || q.attempts[0].server.origin || q.sent >= q.most {
		return false
	}
	q.copyAt = 0
	return r.originIsFree(q, false)
}

// inGroup: a deduplicated request that may have run goes only where its repeat is known, and the origin may
// not.
func inGroup(q *request, s *server) bool {
	if s == nil || q.maybeRan == 0 || q.method.effect != Deduplicated || q.method.group == ScopeAll {
		return s != nil
	}
	return s.Zone == q.ranAt.Zone && (q.method.group == ScopeZone || s.Cell == q.ranAt.Cell)
}

func (r *Router) returned(e AttemptEnded) {
	if s := r.servers[e.Server]; s != nil {
		r.takeReport(s, e.Report, e.Took)
	}
	q := r.requests[e.Request]
	if q == nil {
		return
	}
	nth := slices.IndexFunc(q.attempts, func(w *attempt) bool { return w.nth == e.Attempt })
	if nth < 0 {
		return
	}
	w := q.attempts[nth]
	q.attempts = slices.Delete(q.attempts, nth, nth+1)
	w.server.inFlight--
	w.server.ended = r.now
	r.judge(w, e.Status, e.Took)
	r.leave(w.server)
	if e.Status == OK && !w.server.origin {
		q.method.time += (e.Took - q.method.time) / 20
	}
	noise := e.Status == Failed || e.Status == Reset // it spoke, all the same: a jammed cache is silent
	// What the origin answered in the place of a full or silent cache is no loss.
	heard := e.Status == OK || !w.server.origin && (e.Status == Miss || noise)
	if heard && !q.spoke && !q.short {
		q.spoke = true
		r.answered.add(r.now, trafficSpan)
	}
	if q.done || e.Answered {
		r.callOff(q)
		r.finish(q)
		return
	}
	switch e.Status {
	case Miss:
		// Where another fetch of the key is out, that one brings it to this cache.
		q.missed = !q.write && !w.server.origin && !r.fetchIsOut(q)
	case QueueFull: // costs next to nothing, but in a jam
		if !w.server.origin && !q.write && r.originIsFree(q, q.sent+1 >= q.most) {
			r.turnToOrigin(q)
		} else {
			q.retrying = r.answered.now(r.now, trafficSpan) < 0.8*r.asked.now(r.now, trafficSpan)
		}
	case ConnectError, NotSent:
		q.retrying = true
	default:
		if q.retrying = true; q.maybeRan == 0 {
			q.maybeRan, q.ranAt = w.sent, w.server
		}
	}
	// The first failure in a row is more often noise than the server's end, and its keys are nowhere else.
	if e.Status == QueueFull || q.retrying && !(noise && w.server.lost <= 1) {
		q.failed = append(q.failed, w.server)
	}
	if w.server.origin && len(q.attempts) == 0 {
		const pause = 20e3 // a few of a quick origin's answers
		if q.pause = r.now + pause; !q.write && (e.Status == TimedOut || e.Status == QueueFull) {
			r.giveUp(q) // the fetch failed: its waiters are free to go, and this request tries no other
			return
		}
	}
	r.run(q)
}

// left: the client is gone; its attempt is called off.
func (r *Router) left(e ClientDisconnected) {
	q := r.requests[e.Request]
	if q == nil || q.done {
		return
	}
	r.callOff(q)
	// Impatience is no jam: many left before a usual answer was due, and those who stayed were rejected for it.
	q.short = q.short || len(q.attempts) == 0 || r.now-q.attempts[0].sent < 2*r.seen.long
	r.finish(q)
}

// callOff ends what is still out for a request that is over.
func (r *Router) callOff(q *request) {
	for _, w := range q.attempts {
		if r.mayCancel && !q.done {
			r.decided = append(r.decided, Decision{Action: Cancel, Request: q.id, Attempt: w.nth})
		}
	}
}
