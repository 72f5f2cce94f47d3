package routing

import (
	"slices"

	"spurtrestle/core/clock"
)

// This file: what is refused, and how much may be in flight at a cache.

// isTooLate: less than a quick answer's time is seldom enough. Requests that came with a tenth of their time
// left filled the caches with what nobody waited for. Half of its aim is always worth a try.
func (r *Router) isTooLate(q *request) bool {
	quickest := r.seen.best
	if q.toOrigin && r.origin != nil {
		quickest = r.origin.best
	}
	return !q.write && q.final-r.now < min(quickest, q.method.aim/2)
}

const granted = 0.3 // answers a second: trials go on, and a few lost by chance are no jam

// mostAreLost guards against a jam that keeps itself up: caches that go on with overdue work, full of what
// hundreds of routers send one by one, answer nobody in time. A router sends on as many requests as were
// answered of those that ended lately, and some more, least of what is worth least.
func (r *Router) mostAreLost(q *request) bool {
	if q.admitted {
		return false
	}
	q.admitted = true
	// In a jam what is over its tenant's share yields, uncounted: one tenant's surge took the others' place.
	over := q.worth < q.method.worth
	part := ((1.02+0.43*q.worth)*r.answered.now(r.now, trafficSpan) + granted) / r.asked.now(r.now, trafficSpan)
	if over && part < 1 {
		part *= part * part
	}
	lost := r.chance() > part
	if lost && !over {
		r.asked.add(r.now, trafficSpan)
	}
	return lost
}

func (r *Router) hold(q *request) {
	if q.settled = true; q.held {
		return
	}
	q.held = true
	at, _ := slices.BinarySearchFunc(r.held, q, func(a, b *request) int {
		if a.write == b.write && a.worth == b.worth {
			return a.seq - b.seq
		}
		if a.write && !b.write || a.write == b.write && a.worth > b.worth {
			return -1
		}
		return 1
	})
	r.held = slices.Insert(r.held, at, q)
	if s := r.waitsFor(q); s != nil {
		s.ahead++ // counting them anew for each request took too long
	}
}

// giveUp answers at once: a rejection where trying again is harmless, else a failure. The hint is the wait
// and four latency budgets, as long as a crest: clients told to come back sooner kept the queue full.
func (r *Router) giveUp(q *request) {
	d := Decision{Action: Fail, Request: q.id}
	if q.maybeRan == 0 || q.method.effect == Idempotent {
		d.Action = Reject
		d.After = 4 * q.method.aim
		if s := r.waitsFor(q); s != nil {
			d.After += r.wait(s)
		}
		if q.shed { // spread out, so that they do not come in one wave
			d.After = clock.Time(float64(min(r.planned.RetryAfter, r.maxHint)) * (1 + r.chance()) / 2)
		}
		d.After = min(d.After, r.maxHint)
	}
	r.decided = append(r.decided, d)
	r.finish(q)
}

const crowded = 2 // times the quickest answer: where a machine begins to be so

// rateSpan is long enough for a dozen answers of one cache at one router, and short against a trouble.
const rateSpan = 1e6

const inHand = 8 // of all routers: some eight keep a machine of a few cores busy without a long queue

// room bounds what is in flight at a cache by measured rate x time: what it answers within the part of the
// latency budget that may go into waiting, less for the requests that are worth less.
func (r *Router) room(q *request, s *server) bool {
	// Six tenths leave time for a miss and the origin. The most worth may use all of that, the least only a
	// part: a queue that the best still fit into turns the rest away.
	within := float64(q.method.yields) * 0.6 * (r.patience + (1-r.patience)*min(1, q.worth))
	g := s.gauge.leaning(r.seen)
	// What is answered within that time, and at least a floor. Beyond twice the quickest answer the bound falls
	// until the machine clears: one in flight from every router kept crowded machines so for the rest of a day.
	floor := inHand * r.part * min(1, within/float64(max(1, g.time)))
	bound := max(floor, s.rate.now(r.now, rateSpan)*within/1e6) * g.quick(crowded)
	// A timed-out attempt counts until it is known to be off the server. Else a crowded server that goes on
	// with overdue work is sent ever more: all of it late, none of it answered.
	s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return g.until <= r.now })
	out := s.inFlight + len(s.ghosts)
	if bound >= 1 {
		return float64(out) < bound
	}
	// Less than one at a time is one: with a pause, routers that seldom send to a cache lost most of it.
	return out == 0
}
