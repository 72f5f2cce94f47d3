package routing

import (
	"math"

	"spurtrestle/core/clock"
)

// This file: what goes to the origin, and how much of it.

// isFetch: only reads of a known key share one fetch.
func (r *Router) isFetch(q *request) bool { return r.aside && !q.write && q.key != "" }

func (r *Router) fetchIsOut(q *request) bool {
	f := r.fetches[q.key]
	return r.isFetch(q) && f != nil && f != q
}

func (r *Router) turnToOrigin(q *request) {
	q.toOrigin = true
	if r.isFetch(q) && r.fetches[q.key] == nil {
		r.fetches[q.key] = q
	}
}

// isUrgent: a read of a method that has less than two of a cache's quick answers, new connections in them,
// was seldom answered in time, after a miss never. The origin, to which a connection is kept, has it while
// its last answers are under the goal. It could harm where the origin tells too little of its load.
func (r *Router) isUrgent(q *request) bool {
	return r.aside && !q.write && !q.short && q.sent == 0 && r.seen.n >= gaugeFull/4 && // not slow by chance
		q.method.aim < 2*r.seen.best && r.originIsFree(q, false)
}

// originIsFree: a read may go there though no cache has missed.
func (r *Router) originIsFree(q *request, pressed bool) bool {
	return inGroup(q, r.origin) && !r.fetchIsOut(q) && r.originTakes(pressed)
}

// originWait is the time until the origin's bound has room. Less than one in flight is one, and then a pause.
func (r *Router) originWait() clock.Time {
	o, bound := r.origin, r.originBound()
	if float64(o.inFlight) >= max(1, bound) {
		return max(1, o.time)
	}
	const most = 10e6 // long enough for hundreds of routers, and a trial for one of them
	return max(0, r.fetchWait(0), o.ended-r.now+clock.Time(min(most, (1/min(1, bound)-1)*float64(o.best))))
}

// originRoom bounds the origin harder. While its answers are near their quickest it has room to spare, and
// chance alone needs some; once they are longer, it gets what it answers within a part of the budget.
func (r *Router) originRoom() bool {
	return r.origin != nil && r.usable(r.origin) && r.originWait() == 0
}

// originRoomFor lets writes go past the bound: they are few, worth the most, and have nowhere else to go.
func (r *Router) originRoomFor(q *request) bool {
	return r.originRoom() || q.write && r.origin != nil && r.usable(r.origin)
}

// fetchWait is the time until one more read may go to the origin, behind so many that wait, where the fleet
// has a bound on them: by this router's part of it, saved up for a quarter of a second.
func (r *Router) fetchWait(ahead int) clock.Time {
	if r.planned.OriginReadLimit == 0 {
		return 0
	}
	rate := r.refill()
	return clock.Time(max(0, 1e6*(1+float64(ahead)-r.fetchLeft)/rate))
}

// originTakes tells whether the origin could carry the miss of a key that leaves its cache: where others wait
// there already if it has room, else only while its last answers are under the goal.
func (r *Router) originTakes(crowded bool) bool {
	return r.origin == nil || r.originRoom() && (crowded || r.origin.time < r.originGoal)
}

func (r *Router) originBound() float64 {
	o := r.origin
	const fewest = 6 // of all routers, two of one: enough to find its rate, few enough for a stopped origin
	goal := 4 * o.best
	// More than the spread of a long mean of heavy-tailed answers; or a quickest that was learnt under load.
	// An origin that takes as long as the goal when idle was held at two in flight all day.
	if most := min(o.best*8/5, r.originGoal*7/5); o.long > most {
		goal = max(r.originGoal, most)
	}
	b := max(min(2, fewest*r.part), o.rate.now(r.now, rateSpan)*float64(goal)/1e6)
	if b >= 1 {
		return b
	}
	// Two from each of hundreds of routers filled it for seconds. Below one in flight a busy origin gets less.
	return (1 + b + 2*math.Sqrt(b)) * upTo(o.time, r.originGoal)
}
