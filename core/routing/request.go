package routing

import "spurtrestle/core/clock"

// This file: the rules for one request, in order, and how it ends.

func requestRules() []rule {
	return []rule{
		{"a copy is due", (*Router).copyIsDue, func(r *Router, q *request) { r.send(q, r.origin) }},
		{"its answer is due", func(_ *Router, q *request) bool { return len(q.attempts) > 0 }, (*Router).settle},
		{"nothing can be earned", func(r *Router, q *request) bool { return r.now >= q.final }, (*Router).giveUp},
		{"it may have run and must not run again", (*Router).mustStop, (*Router).giveUp},
		{"its attempts are used up", func(_ *Router, q *request) bool { return q.sent >= q.most },
			(*Router).giveUp},
		{"this router has no part in what may be sent, so nothing new is",
			func(r *Router, q *request) bool { return r.part == 0 && q.sent == 0 }, (*Router).giveUp},
		{"the fleet refuses what is worth so little now", (*Router).isShed, (*Router).giveUp},
		{"the retry budget is spent", func(r *Router, q *request) bool { return q.retrying && r.retries < 1 },
			(*Router).giveUp},
		{"its pause is not over", func(r *Router, q *request) bool { return r.now < q.pause }, (*Router).hold},
		{"a fetch of its key is out: wait for it", (*Router).fetchIsOut, (*Router).hold},
		{"a miss, a write in aside mode, or a read too urgent for a cache goes to the origin",
			func(r *Router, q *request) bool {
				return !q.toOrigin && (q.missed || r.aside && q.write || r.isUrgent(q))
			},
			(*Router).turnToOrigin},
		{"too little time is left for an answer", (*Router).isTooLate, (*Router).giveUp},
		{"no origin to turn to", func(r *Router, q *request) bool { return q.toOrigin && !inGroup(q, r.origin) },
			(*Router).giveUp},
		{"the origin has room", func(r *Router, q *request) bool { return q.toOrigin && r.originRoomFor(q) },
			func(r *Router, q *request) { r.send(q, r.origin) }},
		{"the origin cannot answer in time",
			func(r *Router, q *request) bool { return q.toOrigin && r.now+r.wait(r.origin) > q.soon() },
			(*Router).giveUp},
		{"wait for the origin", func(_ *Router, q *request) bool { return q.toOrigin }, (*Router).hold},
		{"the caches answer too little", (*Router).mostAreLost, (*Router).giveUp},
		{"a cache has room", (*Router).pick, func(r *Router, q *request) { r.send(q, q.target) }},
		{"no cache can be used", func(_ *Router, q *request) bool { return q.target == nil },
			(*Router).turnToOrigin},
		{"the cache cannot answer in time",
			func(r *Router, q *request) bool { return r.now+r.wait(q.target) > q.soon() }, (*Router).giveUp},
		{"wait for the cache", func(*Router, *request) bool { return true }, (*Router).hold},
	}
}

func (r *Router) finish(q *request) {
	// Once: an attempt may end after its request. Where time was short or nothing was sent no cache is to blame.
	if !q.done && q.admitted && !q.short && q.sent > 0 {
		r.asked.add(r.now, trafficSpan)
	}
	r.note(q)
	q.done, q.settled = true, true
	if r.fetches[q.key] == q {
		delete(r.fetches, q.key)
	}
	if len(q.attempts) == 0 {
		delete(r.requests, q.id)
	}
}

func (r *Router) send(q *request, s *server) {
	left := q.final - r.now
	timeout := left
	if !s.origin && r.aside && q.sent+1 < q.most && r.retries >= 1 {
		// Time for a miss and the origin stays within the latency budget. A heavy-tailed answer of a healthy
		// cache gets eight usual ones all the same: cutting it off wasted more than the second try won. Where no
		// retry can be paid for, cutting a wait short wins nothing at all.
		spare := q.method.time
		if r.origin != nil {
			spare = min(left/3, spare+r.origin.best*3/2)
		}
		timeout = min(left, max(q.aim-r.now-spare, 8*r.seen.long))
		// After a time-out, and in a trial, it may hang: a short wait leaves time for a partner. Before the
		// first answer of all the usual one is not known.
		if s.lost > 0 && r.seen.n > 0 {
			timeout = min(timeout, 3*r.seen.long)
		}
	}
	if w := r.ways[s.Zone]; w.rest > 0 && !s.origin { // a trial of the way
		r.rest(s, w)
	}
	if q.retrying {
		r.retries--
		q.retrying = false
	}
	r.spend(q, s)
	if s.inFlight++; s.inFlight == 1 {
		s.heard = r.now
	}
	s.used.add(r.now, useSpan)
	r.used.add(r.now, useSpan)
	q.attempts = append(q.attempts, &attempt{server: s, nth: q.sent, sent: r.now})
	q.sent++
	if r.mayCopy && q.sent == 1 && !q.write && q.method.effect == Idempotent && !s.origin && r.seen.n > 0 {
		q.copyAt = r.now + clock.Time(r.copyAfter*float64(r.seen.long))
		r.watched = append(r.watched, q)
		r.wake(q.copyAt)
	}
	q.settled = true
	if r.coldAge(s) < r.coldSpan {
		s.coldLeft--
	}
	if q.write {
		s.writes++
	} else {
		s.reads++
	}
	d := Decision{Action: Send, Request: q.id, Server: s.Server, After: max(timeout, r.tick)}
	if q.maybeRan > 0 && q.method.effect == Deduplicated { // it may wait for a connection past the window
		d.StartBy = q.maybeRan + q.method.window - r.tick
	}
	r.decided = append(r.decided, d)
}

func (r *Router) waitsFor(q *request) *server {
	if q.toOrigin {
		return r.origin
	}
	return q.target
}

// wait is the time until an answer, behind those held for the same server that go before the request at hand.
func (r *Router) wait(s *server) clock.Time {
	if s.aside > r.now {
		return s.aside - r.now + s.best
	}
	if s.origin {
		queue := clock.Time(float64(s.time) * float64(s.ahead) / r.originBound())
		return s.time + max(r.originWait(), r.fetchWait(s.ahead), queue)
	}
	t := s.gauge.leaning(r.seen).time
	return t + clock.Time(float64(t)*float64(s.ahead)/max(1, inHand*r.part))
}

// soon: a late answer may still earn something, but it takes the place of one in time. So a request that can
// be had again waits no longer than its latency budget allows.
func (q *request) soon() clock.Time {
	if q.method.effect == Idempotent {
		return min(q.aim, q.final)
	}
	return q.final
}
