// Package routing: every decision of a router stands in this file.
// How to call it: New starts a router on its settings and seed; Step takes one input at a clock time and
// returns what to do now, in order, in a slice that the next Step reuses. A router keeps to itself: no I/O,
// clock, goroutine or global, and the same inputs always give the same decisions. The interface (inputs,
// settings, decisions) is in types.go, the state by how long it lives in state.go, counters and hashes are in
// measure.go. None of these decides anything.
// How it is laid out: the rules for one req, in order; what the rules ask (targets, room, health, cold
// servers); the hot keys and their shares; the slot table; the inputs.
package routing

import (
	"cmp"
	"math"
	"slices"
)

// ---- The rules for one req ----

// A rule is a condition and an effect. After every input the rules are gone through in order, for each req
// that the input touched, until none fires.
type rule struct {
	name string
	when func(*Router, *req) bool
	do   func(*Router, *req)
}

func reqRules() []rule {
	return []rule{
		{"a copy is due", (*Router).copyIsDue, func(r *Router, q *req) { r.send(q, r.origin) }},
		{"its answer is due", func(_ *Router, q *req) bool { return len(q.outs) > 0 }, (*Router).settle},
		{"nothing can be earned", func(r *Router, q *req) bool { return r.now >= q.final }, (*Router).giveUp},
		{"it may have run and must not run again", (*Router).mustStop, (*Router).giveUp},
		{"its write-outs are used up", func(r *Router, q *req) bool { return q.sent >= q.most }, (*Router).giveUp},
		{"this router has no part in what may be sent, so nothing new is",
			func(r *Router, q *req) bool { return r.part == 0 && q.sent == 0 }, (*Router).giveUp},
		{"the fleet refuses what is worth so little now", (*Router).isShed, (*Router).giveUp},
		{"the retry budget is spent", func(r *Router, q *req) bool { return q.retrying && r.retries < 1 },
			(*Router).giveUp},
		{"its pause is not over", func(r *Router, q *req) bool { return r.now < q.pause }, (*Router).hold},
		{"a fetch of its key is out: wait for it", (*Router).fetchIsOut, (*Router).hold},
		{"a miss, a write in aside mode, or a read too urgent for a cache goes to the origin",
			func(r *Router, q *req) bool { return !q.toOrigin && (q.missed || r.aside && q.write || r.isUrgent(q)) },
			(*Router).turnToOrigin},
		{"too little time is left for an answer", (*Router).isTooLate, (*Router).giveUp},
		{"no origin to turn to", func(r *Router, q *req) bool { return q.toOrigin && !inGroup(q, r.origin) },
			(*Router).giveUp},
		{"the origin has room", func(r *Router, q *req) bool { return q.toOrigin && r.originRoomFor(q) },
			func(r *Router, q *req) { r.send(q, r.origin) }},
		{"the origin cannot answer in time",
			func(r *Router, q *req) bool { return q.toOrigin && r.now+r.wait(r.origin) > q.soon() },
			(*Router).giveUp},
		{"wait for the origin", func(_ *Router, q *req) bool { return q.toOrigin }, (*Router).hold},
		{"the caches answer too little", (*Router).mostAreLost, (*Router).giveUp},
		{"a cache has room", (*Router).pick, func(r *Router, q *req) { r.send(q, q.target) }},
		{"no cache can be used", func(_ *Router, q *req) bool { return q.target == nil }, (*Router).turnToOrigin},
		{"the cache cannot answer in time",
			func(r *Router, q *req) bool { return r.now+r.wait(q.target) > q.soon() }, (*Router).giveUp},
		{"wait for the cache", func(*Router, *req) bool { return true }, (*Router).hold},
	}
}

func (r *Router) run(q *req) {
	for q.settled = q.done; !q.settled; {
		i := slices.IndexFunc(r.rules, func(x rule) bool { return x.when(r, q) })
		r.rules[i].do(r, q)
	}
}

func (r *Router) settle(q *req) { q.settled = true }

// mustStop guards rule 2, no effect twice. A tick is left over so that a repeat arrives within the window.
func (r *Router) mustStop(q *req) bool {
	if q.maybeRan == 0 || q.method.effect == Retryable {
		return false
	}
	return q.method.effect == NonRetryable || r.now+r.tick >= q.maybeRan+q.method.window
}

// isFetch: only reads of a known key share one fetch.
func (r *Router) isFetch(q *req) bool { return r.aside && !q.write && q.key != "" }

func (r *Router) fetchIsOut(q *req) bool {
	f := r.fetches[q.key]
	return r.isFetch(q) && f != nil && f != q
}

func (r *Router) turnToOrigin(q *req) {
	q.toOrigin = true
	if r.isFetch(q) && r.fetches[q.key] == nil {
		r.fetches[q.key] = q
	}
}

// isUrgent: a read of a method that has less than two of a cache's quick answers, new connections in them,
// was seldom answered in time, after a miss never. The origin, to which a connection is kept, has it while
// its last answers are under the goal. It could harm where the origin tells too little of its load.
func (r *Router) isUrgent(q *req) bool {
	return r.aside && !q.write && !q.short && q.sent == 0 && r.seen.n >= gaugeFull/4 && // not slow by chance
		q.method.aim < 2*r.seen.best && r.originIsFree(q, false)
}

// isTooLate: less than a quick answer's time is seldom enough. Reqs that came with a tenth of their time left
// filled the caches with what nobody waited for. Half of its aim is always worth a try.
func (r *Router) isTooLate(q *req) bool {
	quickest := r.seen.best
	if q.toOrigin && r.origin != nil {
		quickest = r.origin.best
	}
	return !q.write && q.final-r.now < min(quickest, q.method.aim/2)
}

const granted = 0.3 // answers a second: trials go on, and a few lost by chance are no jam

// mostAreLost guards against a jam that keeps itself up: caches that go on with overdue work, full of what
// hundreds of routers send one by one, answer nobody in time. A router sends on as many reqs as were answered
// of those that ended lately, and some more, least of what is worth least.
func (r *Router) mostAreLost(q *req) bool {
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

func (r *Router) hold(q *req) {
	if q.settled = true; q.held {
		return
	}
	q.held = true
	at, _ := slices.BinarySearchFunc(r.held, q, func(a, b *req) int {
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
		s.ahead++ // counting them anew for each req took too long
	}
}

// giveUp answers at once: a nack where trying again is harmless, else a failure. The hint is the wait and
// four latency budgets, as long as a crest: clients told to come back sooner kept the queue full.
func (r *Router) giveUp(q *req) {
	d := Decision{Action: Fail, Req: q.id}
	if q.maybeRan == 0 || q.method.effect == Retryable {
		d.Action = Nack
		d.After = 4 * q.method.aim
		if s := r.waitsFor(q); s != nil {
			d.After += r.wait(s)
		}
		if q.shed { // spread out, so that they do not come in one wave
			d.After = Micros(float64(min(r.planned.Back, r.maxHint)) * (1 + r.chance()) / 2)
		}
		d.After = min(d.After, r.maxHint)
	}
	r.decided = append(r.decided, d)
	r.finish(q)
}

func (r *Router) finish(q *req) {
	// Once: a write-out may end after its req. Where time was short or nothing was sent no cache is to blame.
	if !q.done && q.admitted && !q.short && q.sent > 0 {
		r.asked.add(r.now, trafficSpan)
	}
	r.note(q)
	q.done, q.settled = true, true
	if r.fetches[q.key] == q {
		delete(r.fetches, q.key)
	}
	if len(q.outs) == 0 {
		delete(r.reqs, q.id)
	}
}

// copyIsDue: the one write-out of a read is out for longer than its cache should take, and the origin has
// room to spare. The cache may be crowded, or silent, and a router of hundreds cannot know: it asks each one
// once a minute. A copy at a partner would crowd that one, and push out what it holds.
func (r *Router) copyIsDue(q *req) bool {
	if q.copyAt == 0 || r.now < q.copyAt || r.now >= q.final || // the loop comes late to it where it stood still
		len(q.outs) != 1 || q.outs[0].server.origin || q.sent >= q.most {
		return false
	}
	q.copyAt = 0
	return r.originIsFree(q, false)
}

// originIsFree: a read may go there though no cache has missed.
func (r *Router) originIsFree(q *req, pressed bool) bool {
	return inGroup(q, r.origin) && !r.fetchIsOut(q) && r.originTakes(pressed)
}

func (r *Router) send(q *req, s *server) {
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
	q.outs = append(q.outs, &writeOut{server: s, nth: q.sent, sent: r.now})
	q.sent++
	if r.mayCopy && q.sent == 1 && !q.write && q.method.effect == Retryable && !s.origin && r.seen.n > 0 {
		q.copyAt = r.now + Micros(r.copyAfter*float64(r.seen.long))
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
	d := Decision{Action: WriteOut, Req: q.id, Server: s.Server, After: max(timeout, r.tick)}
	if q.maybeRan > 0 && q.method.effect == Deduplicated { // it may wait for a connection past the window
		d.By = q.maybeRan + q.method.window - r.tick
	}
	r.decided = append(r.decided, d)
}

const useSpan = 20e6 // a few reqs of one of hundreds of routers to a mean cache

// leave closes an idle connection that costs more than a new one would. Where each of hundreds of routers
// keeps one to every cache, a cache is at its maximum, and refuses most routers though it has little to do.
func (r *Router) leave(s *server) {
	const granted = 1e6 / useSpan // one use: so much is chance
	mean := r.used.now(r.now, useSpan) / float64(len(r.caches)+1)
	if s.inFlight == 0 && s.used.now(r.now, useSpan)+granted < r.keep*(mean+granted) {
		r.decided = append(r.decided, Decision{Action: Disconnect, Server: s.Server})
	}
}

// ---- Targets ----

// pick finds the cache for a req: the first of its group, or the one drawn for a hot key; where that one
// cannot be used, the group's next. It leaves the best choice in target and tells whether there is room now.
func (r *Router) pick(q *req) bool {
	q.target = nil
	first, hot := 0, false
	if load, sure := r.load(q); load > hotBound {
		if hot = true; q.drawn < 0 {
			// A key hotter than three caches overloads its group. It gets as many groups as leave each cache
			// little of it, its own first; by a load one deviation below what was counted, and fewer as the
			// origin gets busy, since each copy costs a miss.
			// In a large fleet more of the reads are of hot keys, and by chance they pile up in larger shares.
			fine := 0.6 / math.Sqrt(float64(len(r.caches)))
			if r.origin != nil {
				busy := max(1, 2*float64(r.origin.time)/float64(r.originGoal))
				fine *= busy * busy
			}
			if n := int(r.chance() * math.Ceil(load*sure/groupCount/fine)); n > 0 {
				q.hash = mix(q.hash + uint64(n))
			}
			q.drawn = r.draw(r.sharesOf(r.groupOf(q.hash)))
		}
		first = q.drawn
	}
	group := r.groupOf(q.hash)
	for i := range group {
		s := group[(first+i)%len(group)]
		if slices.Contains(q.failed, s) || !r.usable(s) || !inGroup(q, s) || !r.warmFor(q, s, i == 0 && !hot) {
			continue
		}
		if r.room(q, s) {
			q.target = s
			return true
		}
		if q.target == nil || r.wait(s) < r.wait(q.target) {
			q.target = s
		}
		// An ordinary key spills only while the origin could carry the misses, or where to wait is of no use.
		if w := r.wait(s); !hot && r.now+w <= q.soon() && !r.originTakes(w > s.time) {
			return false
		}
	}
	return false
}

// inGroup: a deduplicated req that may have run goes only where its repeat is known, and the origin may not.
func inGroup(q *req, s *server) bool {
	if s == nil || q.maybeRan == 0 || q.method.effect != Deduplicated || q.method.group == GroupAll {
		return s != nil
	}
	return s.Zone == q.ranAt.Zone && (q.method.group == GroupZone || s.Cell == q.ranAt.Cell)
}

// usable: neither draining nor gone, not set aside nor out of reach; after that, one trial at a time.
func (r *Router) usable(s *server) bool {
	// One that has work in hand and is silent for three usual answers may hang: nothing more until it speaks.
	silent := r.seen.long > 0 && s.inFlight > 0 && !s.origin && r.now-s.heard > 3*r.seen.long
	rests := !s.origin && r.ways[s.Zone].rest > r.now
	return s.State == Ready && !silent && !rests && (s.aside == 0 || r.now >= s.aside && s.inFlight == 0)
}

const crowded = 2 // times the quickest answer: where a machine begins to be so

// rateSpan is long enough for a dozen answers of one cache at one router, and short against a trouble.
const rateSpan = 1e6

const inHand = 8 // of all routers: some eight keep a machine of a few cores busy without a long queue

// room bounds what is in flight at a cache by measured rate x time: what it answers within the part of the
// latency budget that may go into waiting, less for the reqs that are worth less.
func (r *Router) room(q *req, s *server) bool {
	// Six tenths leave time for a miss and the origin. The most worth may use all of that, the least only a
	// part: a queue that the best still fit into turns the rest away.
	within := float64(q.method.yields) * 0.6 * (r.patience + (1-r.patience)*min(1, q.worth))
	g := s.gauge.leaning(r.seen)
	// What is answered within that time, and at least a floor. Beyond twice the quickest answer the bound falls
	// until the machine clears: one in flight from every router kept crowded machines so for the rest of a day.
	floor := inHand * r.part * min(1, within/float64(max(1, g.time)))
	bound := max(floor, s.rate.now(r.now, rateSpan)*within/1e6) * g.quick(crowded)
	// A timed-out write-out counts until it is known to be off the server. Else a crowded server that goes on
	// with overdue work is sent ever more: all of it late, none of it answered.
	s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return g.until <= r.now })
	out := s.inFlight + len(s.ghosts)
	if bound >= 1 {
		return float64(out) < bound
	}
	// Less than one at a time is one: with a pause, routers that seldom send to a cache lost most of it.
	return out == 0
}

// originWait is the time until the origin's bound has room. Less than one in flight is one, and then a pause.
func (r *Router) originWait() Micros {
	o, bound := r.origin, r.originBound()
	if float64(o.inFlight) >= max(1, bound) {
		return max(1, o.time)
	}
	const most = 10e6 // long enough for hundreds of routers, and a trial for one of them
	return max(0, r.fetchWait(0), o.ended-r.now+Micros(min(most, (1/min(1, bound)-1)*float64(o.best))))
}

// originRoom bounds the origin harder. While its answers are near their quickest it has room to spare, and
// chance alone needs some; once they are longer, it gets what it answers within a part of the budget.
func (r *Router) originRoom() bool {
	return r.origin != nil && r.usable(r.origin) && r.originWait() == 0
}

// originRoomFor lets writes go past the bound: they are few, worth the most, and have nowhere else to go.
func (r *Router) originRoomFor(q *req) bool {
	return r.originRoom() || q.write && r.origin != nil && r.usable(r.origin)
}

// fetchWait is the time until one more read may go to the origin, behind so many that wait, where the fleet
// has a bound on them: by this router's part of it, saved up for a quarter of a second.
func (r *Router) fetchWait(ahead int) Micros {
	if r.planned.Fetches == 0 {
		return 0
	}
	rate := r.refill()
	return Micros(max(0, 1e6*(1+float64(ahead)-r.fetchLeft)/rate))
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

func (r *Router) waitsFor(q *req) *server {
	if q.toOrigin {
		return r.origin
	}
	return q.target
}

// wait is the time until an answer, behind those held for the same server that go before the req at hand.
func (r *Router) wait(s *server) Micros {
	if s.aside > r.now {
		return s.aside - r.now + s.best
	}
	if s.origin {
		queue := Micros(float64(s.time) * float64(s.ahead) / r.originBound())
		return s.time + max(r.originWait(), r.fetchWait(s.ahead), queue)
	}
	t := s.gauge.leaning(r.seen).time
	return t + Micros(float64(t)*float64(s.ahead)/max(1, inHand*r.part))
}

// soon: a late answer may still earn something, but it takes the place of one in time. So a req that can be
// had again waits no longer than its latency budget allows.
func (q *req) soon() Micros {
	if q.method.effect == Retryable {
		return min(q.aim, q.final)
	}
	return q.final
}

// ---- Health ----

// judge keeps a server's record by what this router itself has seen of it.
func (r *Router) judge(w *writeOut, status Status, took Micros) {
	s, points := w.server, 0
	used := s.used.now(r.now, useSpan) / (1 - math.Exp(-float64(r.now+1-r.began)/useSpan))
	switch status {
	case OK, Miss:
		s.heard = r.now
		if status == OK && !s.origin {
			r.hits.add(r.now, trafficSpan)
		}
		if status == OK || s.time == 0 {
			r.measure(s, took)
		}
		s.rate.add(r.now, rateSpan)
		// What was sent before an answered write-out has had its turn.
		s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return g.sent <= w.sent })
		if s.aside != 0 && s.unheard { // after a crash the list is late to tell of the new process, which is cold
			s.coldFrom = r.now
		}
		s.lost, s.aside, s.unheard = 0, 0, false
	case QueueFull:
		s.lost = 0
	case TimedOut:
		until := w.sent + 2*r.seen.long // cut short: no blame, and done when it would have been answered
		if s.origin || took >= 2*r.seen.long {
			const stays = 1e6 // longer than an overdue answer of a crowded server takes
			until = r.now + max(took, stays)
			r.measure(s, max(took, s.time))
			points = 1
		}
		s.ghosts = append(s.ghosts, ghost{w.sent, until})
	case Failed, Reset:
		points = 1
	case ConnectError:
		s.unheard, s.ghosts = true, nil
		points = 2
	}
	r.follow(s, status, points, took)
	if points == 0 {
		return
	}
	// What strikes all alike (broken connections, spoilt answers) is no one's ill health: it set
	// aside a healthy fleet, and the origin. A row too long for chance at the others' share is.
	const granted, unlikely, most = 1, 1e-5, 8 // write-outs a second; such a row is seen once in many minutes
	others := max(0, r.noise.now(r.now, useSpan)-float64(s.lost)*1e6/useSpan)
	share := min(0.5, others/(r.used.now(r.now, useSpan)+granted))
	row := min(most, int(math.Ceil(math.Log(unlikely)/math.Log(share))))
	if status != TimedOut && status != QueueFull { // these are load
		r.noise.add(r.now, useSpan)
	}
	// One bad answer is chance, three in a row are not. But a cache used once in seconds has no long row: there
	// the second one counts, and it is left for three uses, which its partners hardly feel. The origin has no
	// partner: one late answer of its long tail kept a router from it for half a minute.
	rest := max(2e6, 3e6/max(used, 0.1))
	if s.origin { // its trials cost little: what they carry would be nacked
		used, rest = 2, 5e5
	}
	if s.lost += points; s.lost >= max(2, 1+int(min(2, used)), row) && s.aside <= r.now {
		// Long enough that trials cost little, random so that the routers' trials do not fall together.
		s.aside = r.now + Micros(rest*(1+r.chance()/2))
	}
}

// follow keeps the record of the way to a zone. Caches of it that are silent one after the other, and no word
// from any, are out of reach, or gone together: each router found that out cache by cache, and lost a req on
// each. A refused connection is a word. In a healthy zone two that hang cost a moment at partners.
func (r *Router) follow(s *server, status Status, points int, took Micros) {
	w := r.ways[s.Zone]
	switch {
	case s.origin || status == TimedOut && points == 0 || status == Ignored || status == Canceled:
	case status != TimedOut && (status != ConnectError || took < r.connect/2):
		delete(r.ways, s.Zone)
	case w.last != s:
		w.silent, w.last = w.silent+1, s
		r.rest(s, w)
	}
}

// rest leaves a zone alone, where two were silent and there are others, until it is time for a trial.
func (r *Router) rest(s *server, w way) {
	const short = 3e5 // some answers: long enough for the trial's own, and each costs a req
	if w.silent > 1 && slices.ContainsFunc(r.caches, func(c *server) bool { return c.Zone != s.Zone }) {
		w.rest = r.now + Micros(short*(1+r.chance()/2))
	}
	r.ways[s.Zone] = w
}

// ---- Cold servers ----

// coldAge is the time since a server's start, as far as it is known.
func (r *Router) coldAge(s *server) Micros {
	start := max(s.Started, s.coldFrom)
	if start == 0 || s.origin {
		return r.coldSpan
	}
	return max(0, r.now-start)
}

const safe = 0.6 // of the multiple: the work of a req varies, and so do the keys

// warmFor lets a cold cache have a fraction of its keys, alike at every router, by a budget, own ones first.
func (r *Router) warmFor(q *req, s *server, own bool) bool {
	age, at := r.coldAge(s), float64(q.hash>>32&0xffff)/0x10000
	if age >= r.coldSpan || at >= r.share(s.Zone) {
		return at < r.share(s.Zone)
	}
	part := r.coldTimes * (r.coldShare + (1-r.coldShare)*float64(age)/float64(r.coldSpan))
	if at >= part {
		return false
	}
	// The router's part of its work is that of a mean cache's hits (misses cost little); at the start half of
	// what came stands for them. The budget grows evenly from somewhere under one: of hundreds of routers each
	// has less than one write-out in the window, and one from each at once is many times what it can do.
	since := 1 - math.Exp(-float64(r.now+1-r.began)/trafficSpan)
	hits := max(r.hits.now(r.now, trafficSpan), r.traffic.now(r.now, trafficSpan)/2) / since
	mean := hits / float64(len(r.caches))
	if start := max(s.Started, s.coldFrom); s.coldRun != start {
		// Of hundreds of routers each saves up less than one in all of the span: what it begins with is all that
		// it sends. Where some is lost, more is asked than caches carry, and fewer routers may begin; where a
		// quarter is, none may: at half of that a cache was still pushed over.
		heard, asked := r.answered.now(r.now, trafficSpan), r.asked.now(r.now, trafficSpan)
		lost := 1 - (heard+granted)/(asked+granted)
		s.coldRun, s.coldLeft, s.coldAt = start, r.chance()-4*max(0, lost), r.now
	}
	most := max(2, part*mean*float64(r.fallSpan)/4e6) // saved up: a quarter of the window, or two by chance
	s.coldLeft = min(most, s.coldLeft+part/safe*mean*float64(r.now-s.coldAt)/1e6)
	s.coldAt = r.now
	return s.coldLeft >= 1 || own && s.coldLeft > (1-since)*(1-r.part) // a hot read of each new one is too much
}

// ---- Hot keys and their shares ----

// A third of the bound of one over the cache count: a key just under that bound is most of a cache's load.
const hotBound = 0.35

// load is what the reads of a key are, as a multiple of a mean cache's reads, and how sure that is. One read
// is chance, however few a router of hundreds has seen; and forty reads of other keys are granted at the
// start.
func (r *Router) load(q *req) (load, sure float64) {
	const few, granted = 2, 40
	n := r.hot.counts[keyHash(q.key)]
	if n < few || q.write || q.key == "" {
		return 0, 0
	}
	return n / (r.hot.total + granted) * float64(len(r.caches)), 1 - 1/math.Sqrt(n)
}

// recompute fixes what the shares are made from until the next time.
func (r *Router) recompute() {
	const every, stale = 2e6, 10e6 // the design's first setting; samples older than five of it drop
	if r.now < r.recomputeAt {
		return
	}
	r.recomputeAt = r.now + every
	// The window is one of reads too: in seconds alone a router of hundreds never saw a key often enough. Of ten
	// reads a cache a key at the bound has some.
	if r.hot.total >= 10*float64(len(r.caches)) {
		r.hot.age()
	}
	sum, n := Micros(0), Micros(0)
	for _, s := range r.caches {
		s.reported = slices.DeleteFunc(s.reported, func(x sample) bool { return r.now-x.at > stale })
		s.fixed = load{mean(s.reported), s.writes, s.reads}
		s.writes, s.reads = 0, 0
		if s.fixed.time > 0 {
			sum, n = sum+s.fixed.time, n+1
		}
	}
	for _, s := range r.caches {
		if s.fixed.time == 0 && n > 0 {
			s.fixed.time = sum / n // not yet heard from: the others' mean
		}
	}
}

// sharesOf is the design's read distribution over one group.
func (r *Router) sharesOf(group []*server) []float64 {
	writes, times, reads := make([]float64, len(group)), make([]float64, len(group)), 0.0
	for i, s := range group {
		if !r.aside { // in aside mode the writes go to the origin: Pw = 0
			writes[i] = s.fixed.writes
		}
		reads += s.fixed.reads
		times[i] = float64(s.fixed.time)
	}
	return algorithm2(algorithm1(writes, reads), times)
}

// algorithm1 levels reads and writes over the group; with nothing counted each gets 1/GF.
func algorithm1(writes []float64, reads float64) []float64 {
	n, all := float64(len(writes)), total(writes)
	shares := make([]float64, len(writes))
	for i, w := range writes {
		shares[i] = 1 / n
		if all > 0 && reads > 0 {
			fw := all / (all + reads)
			shares[i] = (1/n - w/all*fw) / (1 - fw)
		}
	}
	return clamp(shares)
}

// algorithm2 takes from the slow and gives to the quick.
func algorithm2(shares, times []float64) []float64 {
	n, all := float64(len(times)), total(times)
	for i, t := range times {
		if all > 0 {
			shares[i] -= t/all - 1/n
		}
	}
	return clamp(shares)
}

// ---- The slot table ----

const (
	slots      = 16381              // a prime; some eighty a cache at 200 caches
	rankSalt   = 0xc20c576b48deae77 // of any value; by this one the small groups of the kept traces stayed
	groupCount = 3                  // GF
)

// groupOf is the group of a key by its hash: the caches that its slot ranks first. Each cache has a place in
// each slot's ranking by chance, the better the larger its listed size, so that it is first in as many slots
// as fit its size. A slot is ranked when it is first asked for: one of hundreds of routers reads a few keys
// between two lists, and whole tables took more time than all else.
func (r *Router) groupOf(hash uint64) []*server {
	slot := uint32(hash % slots)
	places, known := r.table[slot]
	if !known {
		spare := r.planned.Spare
		if len(spare) > 0 && r.share(r.ownerOf(slot).Zone) == 1 { // no slot of another zone moves
			spare = nil
		}
		places = rank(r.caches, slot, spare)
		r.table[slot] = places
	}
	r.group = r.group[:0]
	for _, place := range places[:min(groupCount, len(r.caches))] {
		r.group = append(r.group, r.caches[place])
	}
	return r.group
}

// rank draws for each cache an arrival of as many a second as its size is; the first three make the group.
func rank(caches []*server, slot uint32, spare []ZonePart) (places [groupCount]uint32) {
	at := [groupCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for i, c := range caches {
		u, size := spread(c, slot), c.size*partOf(spare, c.Zone)
		if (1-u)/size >= at[groupCount-1] { // a logarithm is never less than that, and dear
			continue
		}
		when := -math.Log(u) / size
		for k := range at {
			if when < at[k] {
				copy(at[k+1:], at[k:])
				copy(places[k+1:], places[k:])
				at[k], places[k] = when, uint32(i)
				break
			}
		}
	}
	return places
}

// ---- The inputs ----

// New starts a router.
func New(now Micros, s Settings, seed uint64) (*Router, []Decision) {
	r := &Router{
		methods: make([]method, len(s.Methods)), tenants: map[Tenant]*tenant{}, figures: s.ReportFields,
		aside: s.Aside, sized: s.ListsSizes, originKind: s.OriginKind,
		ask: s.ListOnRequest, mayCopy: s.MayTwoAtOnce && s.MayCancel,
		tick: max(s.Resolution, 1), mayCancel: s.MayCancel, dice: dice{seed: uint32(mix(seed))},
		began: now, now: now, rules: reqRules(), endBy: math.MaxInt64,
		connect: s.ConnectTimeout, ways: map[Zone]way{},
		servers: map[ServerID]*server{}, reqs: map[ReqID]*req{}, fetches: map[Key]*req{},
		before: map[ServerID]ServerKnowledge{}, barred: map[ServerID]bool{}, table: map[uint32][groupCount]uint32{},
		hot:     keyCounts{counts: map[KeyHash]float64{}, most: 1024}, // several times the keys over the bound
		retries: 10,                                                   // enough for the first seconds
		part:    1 / float64(max(1, s.Routers)),
	}
	// In a day a connection to every cache costs its fee for each hundred, a new one for each req its own: where
	// all routers use a server alike, keeping pays up to this ratio of one.
	r.keep = s.ConnectionFee * float64(s.Routers) / 100 / max(1e-9, s.HandshakeFee)
	// A copy is paid for by work and a crossing: the dearer, the later. Of the usual answer.
	r.copyAfter = 0.7 + 18*(s.WasteFee+s.CrossFee)
	if r.adopt(s); r.ask {
		r.subscribe()
	}
	return r, r.decided
}

// adopt takes over what may change while reqs are in hand: those end by the rules under which they came.
func (r *Router) adopt(s Settings) {
	r.overWorth, r.maxSends, r.maxHint = s.OverShareWorth, Attempt(s.MaxWriteOuts), s.MaxHint
	r.coldShare, r.coldSpan, r.fallSpan = s.ColdShare, max(s.ColdSpan, 1), max(s.FallSpan, 1)
	// Patience: a fifth for the least, and more where the worst-served method counts much, lest it starve.
	r.coldTimes, r.patience = safe*s.FallMultiple, min(1, 0.2+s.WorstMethod)
	r.methods = slices.Clone(r.methods)
	most, tightest := 0.0, Micros(math.MaxInt64)
	for _, m := range s.Methods {
		if most = max(most, m.Criticality); m.Effect == Retryable {
			tightest = min(tightest, m.LatencyBudget)
		}
	}
	r.originGoal = tightest / 5 * 2 // a read's miss at the cache and a wait must still fit into its budget
	for i, m := range s.Methods {
		own := method{time: r.methods[i].time, effect: m.Effect, group: m.Group, aim: m.LatencyBudget,
			window: m.Window, yields: m.LatencyBudget, lateEarns: m.LateShare > 0,
			worth: m.Criticality / max(most, 1e-9)}
		for _, n := range s.Methods {
			if n.Criticality >= m.Criticality {
				own.yields = min(own.yields, n.LatencyBudget)
			}
		}
		r.methods[i] = own
	}
	for _, t := range s.Tenants {
		own := cmp.Or(r.tenants[t.Name], &tenant{})
		r.tenants[t.Name], own.share = own, t.Share
	}
}

// Step takes one input.
func (r *Router) Step(now Micros, ev Event) []Decision {
	r.now, r.decided = max(now, r.now), r.decided[:0]
	r.recompute()
	switch e := ev.(type) {
	case ReqCame:
		r.reqCame(e)
	case Returned:
		r.returned(e)
	case Left:
		r.left(e)
	case Streaming:
		if q := r.reqs[e.Req]; q != nil {
			r.finish(q)
		}
	case ListCame:
		r.listCame(e)
	case Barred:
		r.bar(e)
	case Parted:
		r.part = e.Part
	case Planned:
		r.replan(e)
	case Changed:
		r.adopt(e.Settings)
	case Ending:
		r.endBy = e.By
		for _, q := range r.reqs {
			q.final = min(q.final, e.By)
		}
	case Learned:
		r.learn(e.Knowledge)
	case LearnedServers:
		r.learnServers(e)
	case Elapsed:
		if r.askAt != 0 && r.askAt <= r.now {
			r.subscribe()
		}
		r.runWatched()
	}
	if _, came := ev.(ReqCame); !came {
		r.runHeld()
	}
	if len(r.held) > 0 {
		r.wake(r.now + max(r.tick, 5e3)) // held reqs are looked at again that often at least
	}
	if r.askAt != 0 {
		r.wake(r.askAt)
	}
	return r.decided
}

// recall: another start is another process. What was set aside gets a trial, at once: it may have recovered.
func (r *Router) recall(s *server) {
	b, known := r.before[s.Server]
	delete(r.before, s.Server)
	if !known || b.Started != s.Started || s.n > 0 {
		return
	}
	s.gauge.recall(b.Times)
	s.recalled, s.ended, s.unheard, s.rate = true, b.At, b.Unheard, decayed{b.Rate, r.now}
	// Else it would seem to be used once in many seconds, where one failure sets it aside.
	s.used = decayed{b.Used * (1 - math.Exp(-float64(r.now-r.began)/useSpan)), r.now}
	if b.Told > 0 {
		s.report(r.now, b.Told)
	}
	if b.Aside {
		s.lost, s.aside = b.Lost, max(1, r.now)
	}
}

// runWatched looks at the reqs whose copy is due; its time drifts slowly, so that they stand in order.
func (r *Router) runWatched() {
	for len(r.watched) > 0 {
		q := r.watched[0]
		if !q.done && q.copyAt > r.now {
			r.wake(q.copyAt)
			return
		}
		r.watched = r.watched[1:]
		if !q.done {
			r.run(q)
		}
	}
}

func (r *Router) runHeld() {
	for _, q := range r.held {
		if s := r.waitsFor(q); s != nil {
			s.ahead = 0
		}
	}
	for _, q := range slices.Clone(r.held) {
		r.run(q)
		if s := r.waitsFor(q); s != nil && !q.done && len(q.outs) == 0 {
			s.ahead++
		}
	}
	r.held = slices.DeleteFunc(r.held, func(q *req) bool {
		q.held = !q.done && len(q.outs) == 0
		return !q.held
	})
}

const trafficSpan = 5e6 // of the rate of a tenant, and of all: longer than a burst

func (r *Router) reqCame(e ReqCame) {
	m := &r.methods[e.Method]
	r.arrived++
	// A tick before the deadline nothing can be had any more, and an answer is due.
	q := &req{id: e.Req, method: m, key: e.Key, most: r.maxSends, write: e.Write, worth: m.worth,
		seq: r.arrived, aim: r.now + m.aim, final: min(e.ValidUntil, r.endBy) - r.tick,
		hash: hashText(string(e.Key)), drawn: -1}
	if !m.lateEarns {
		q.final = min(q.final, q.aim)
	}
	q.short = 2*(q.final-r.now) < m.aim
	if e.Once { // passed on as it comes: nothing is left for a second
		q.most = 1
	}
	if e.Key == "" {
		q.hash = hashText(string(e.Req))
	}
	r.traffic.add(r.now, trafficSpan)
	if t := r.tenants[e.Tenant]; t != nil {
		t.rate.add(r.now, trafficSpan)
		// Each router takes its part of a tenant's share to be that of its own traffic; a fifth over is chance, and
		// two deviations: at two reqs a second half of all seemed to be over.
		due := t.share * r.traffic.value
		if t.rate.value > 1.2*due+2*math.Sqrt(due*1e6/trafficSpan/2) {
			q.worth *= r.overWorth
		}
	}
	if q.rank = 1 + Rank(1e6*q.worth); e.Resent {
		q.rank -= q.rank / 100 // who came back with what was refused kept the overload up
	}
	count(&r.tally.offered, q.rank, r.now)
	q.shed = q.rank < r.planned.Least || q.rank == r.planned.Least && r.chance() >= r.planned.Some
	r.retries = min(r.retries+0.1, 20) // a tenth of the reqs may be tried again, and a short burst
	if !e.Write && e.Key != "" {
		r.hot.count(keyHash(e.Key))
	}
	r.reqs[q.id] = q
	r.run(q)
}

func (r *Router) returned(e Returned) {
	if s := r.servers[e.Server]; s != nil {
		r.takeReport(s, e.Report, e.Took)
	}
	q := r.reqs[e.Req]
	if q == nil {
		return
	}
	nth := slices.IndexFunc(q.outs, func(w *writeOut) bool { return w.nth == e.Attempt })
	if nth < 0 {
		return
	}
	w := q.outs[nth]
	q.outs = slices.Delete(q.outs, nth, nth+1)
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
	if q.done || e.Over {
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
	case ConnectError, Ignored:
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
	if w.server.origin && len(q.outs) == 0 {
		const pause = 20e3 // a few of a quick origin's answers
		if q.pause = r.now + pause; !q.write && (e.Status == TimedOut || e.Status == QueueFull) {
			r.giveUp(q) // the fetch failed: its waiters are free to go, and this req tries no other
			return
		}
	}
	r.run(q)
}

// left: the client is gone; its write-out is called off.
func (r *Router) left(e Left) {
	q := r.reqs[e.Req]
	if q == nil || q.done {
		return
	}
	r.callOff(q)
	// Impatience is no jam: many left before a usual answer was due, and those who stayed were nacked for it.
	q.short = q.short || len(q.outs) == 0 || r.now-q.outs[0].sent < 2*r.seen.long
	r.finish(q)
}

// callOff ends what is still out for a req that is over.
func (r *Router) callOff(q *req) {
	for _, w := range q.outs {
		if r.mayCancel && !q.done {
			r.decided = append(r.decided, Decision{Action: Recall, Req: q.id, Attempt: w.nth})
		}
	}
}

// bar: what an operator takes out is left alone as what drains; given back, it is a process just started.
func (r *Router) bar(e Barred) {
	if r.barred[e.Server] = e.On; !e.On {
		delete(r.barred, e.Server)
	}
	if s := r.servers[e.Server]; s != nil && e.Since > 0 {
		s.aside, s.lost, s.unheard, s.coldFrom = 0, 0, false, e.Since
	}
	r.listCame(ListCame{Kind: ListChanges})
}

func (r *Router) listCame(e ListCame) {
	if e.Kind == ListFailed {
		// Twice as long, half random. We count as told after 6 s; two calls may take 4, and refused ones none.
		r.askWait = min(max(2*r.askWait, 250e3), map[bool]Micros{true: 35e5, false: 15e5}[e.Refused])
		r.askAt = r.now + r.askWait/2 + Micros(r.chance()*float64(r.askWait)/2)
		return
	}
	if e.Kind != ListSaved {
		r.askWait = 0
	}
	if e.Kind != ListChanges {
		for _, s := range r.all { // who is not named is gone
			s.State = Gone
		}
	}
	resized := false
	for _, entry := range e.Entries {
		s := r.servers[entry.Server]
		if s == nil {
			s = &server{}
			r.servers[entry.Server] = s
			at, _ := slices.BinarySearchFunc(r.all, entry.Server, func(s *server, id ServerID) int {
				return cmp.Compare(s.Server, id)
			})
			r.all = slices.Insert(r.all, at, s)
		} else if entry.Started > s.Started {
			s.aside, s.lost, s.unheard = 0, 0, false // a new process: what was held against the old is void
			if s.recalled {
				s.gauge, s.rate = gauge{}, decayed{}
			}
		}
		size := 1.0
		if r.sized && entry.Weight > 0 {
			size = entry.Weight
		}
		resized = resized || s.size != size
		s.Entry, s.size = entry, size
		s.origin = r.originKind != "" && entry.Kind == r.originKind
		r.recall(s)
	}
	before := r.caches
	r.caches, r.out, r.origin = make([]*server, 0, len(r.all)), nil, nil
	r.all = slices.DeleteFunc(r.all, func(s *server) bool {
		switch {
		case s.State == Gone:
			delete(r.servers, s.Server)
		case s.State == Draining || r.barred[s.Server]:
		case s.origin:
			r.origin = s
		case r.share(s.Zone) == 0:
			r.out = append(r.out, s)
		default:
			r.caches = append(r.caches, s)
		}
		return s.State == Gone
	})
	if resized || !slices.Equal(before, r.caches) {
		clear(r.table)
	}
}
