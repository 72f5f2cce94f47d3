// Package choice: every decision of a router stands in this file.
//
// How to call it: New starts a router on its settings and seed; Step takes one input at a clock time and
// returns what to do now, in order. A router keeps to itself: no I/O, clock, goroutine or global, and the
// same inputs always give the same decisions. The interface (inputs, settings, decisions) is in types.go.
//
// How it is laid out: the state by how long it lives; the rules for one req, in order; what the rules ask
// (targets, room, health, cold servers); the hot keys and their shares; the slot table; the inputs.
package choice

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// ---- State of one write-out ----

type writeOut struct {
	server  *server
	sent    Micros
	timeout Micros
}

// ---- State of one req ----

type req struct {
	id       ReqID
	method   *method
	key      Key
	hash     uint64 // of the key, or of the id where there is none
	write    bool
	worth    float64 // criticality, lowered where its tenant is over its share
	seq      int     // order of arrival
	aim      Micros  // an answer by then earns all
	final    Micros  // an answer after this earns nothing
	deadline Micros

	out      *writeOut
	sent     Attempt // write-outs so far
	failed   []*server
	missed   bool   // a cache said miss: the origin is next
	toOrigin bool   // no cache can take it
	retrying bool   // the next write-out is a retry and pays for it
	maybeRan Micros // when the first write-out that may have run was sent; 0: none
	ranAt    *server
	drawn    int // place in its group drawn for a hot key
	target   *server
	held     bool
	settled  bool // nothing more to do in this pass
	done     bool
}

// ---- State of one cache server, or of the origin ----

type server struct {
	Entry
	origin   bool
	inFlight int
	ghosts   []ghost
	lost     int    // points for failures in a row
	aside    Micros // set aside until then; 0: in use
	unheard  bool   // connections failed: it may come back as a new, cold process
	coldFrom Micros
	rate     decayed // answers, a second
	hits     decayed // the part of them that did the work
	coldSent []Micros
	time     Micros  // smoothed time of an answer
	long     Micros  // the same over more answers
	best     Micros  // the quickest of that: falls at once, rises slowly
	reported []sample
	writes   float64 // own writes since the last recompute
	shares   Micros  // mean service time as of the last recompute, for Algorithm 2
	wrote    float64 // own writes in the span before the last recompute, for Algorithm 1
	read     float64 // own reads likewise
	reads    float64
}

// A ghost is a write-out that timed out but may still hold its place at the server.
type ghost struct {
	sent, until Micros
}

type sample struct {
	at, time Micros
}

// decayed counts with forgetting: its value is a rate a second over about span.
type decayed struct {
	value float64
	at    Micros
}

func (d *decayed) now(t, span Micros) float64 {
	if t > d.at {
		d.value *= math.Exp(-float64(t-d.at) / float64(span))
		d.at = t
	}
	return d.value
}

func (d *decayed) add(t, span Micros, n float64) {
	d.value = d.now(t, span) + n*1e6/float64(span)
}

// ---- State of the instance ----

type method struct {
	effect    Effect
	group     Group
	window    Micros
	aim       Micros
	worth     float64 // against the highest criticality of all methods
	lateEarns bool
	streams   bool
	time      Micros // smoothed time of a cache's answer
}

type tenant struct {
	share float64
	rate  decayed
}

// Router decides for one instance.
type Router struct {
	methods    []method
	tenants    map[Tenant]*tenant
	traffic    decayed
	overWorth  float64
	aside      bool
	originKind Kind
	cacheFigs  []Figure
	ask        bool
	tick       Micros
	originGoal Micros  // the time that an answer of the origin should take at most
	fewest     float64 // in flight at a cache that is quick, whatever its measured rate
	coldShare  float64
	coldSpan   Micros
	coldTimes  float64 // part of a cold server's present capacity that all routers may ask
	fallSpan   Micros
	mayCancel  bool
	mayHint    bool
	maxSends   Attempt
	maxHint    Micros

	seed, draws uint32
	now         Micros
	decided     []Decision
	rules       []rule
	servers     map[ServerID]*server
	caches      []*server // ready, sorted by id: the table is built from these
	origin      *server
	table       [][]*server
	reqs        map[ReqID]*req
	held        []*req // by worth, then age
	fetches     map[Key]*req
	hot         hotKeys
	arrived     int
	retries     float64
	recomputeAt Micros
	wakeAt      Micros
	askAt       Micros
	askWait     Micros
	subscribed  bool
	listed      bool // a list newer than the saved one has come
}

// ---- The rules for one req ----

// A rule is a condition and an effect. After every input the rules are gone through, for each req that the
// input touched, until none fires.
type rule struct {
	name string
	when func(*Router, *req) bool
	do   func(*Router, *req)
}

func reqRules() []rule {
	return []rule{
		{"one write-out at a time", func(r *Router, q *req) bool { return q.out != nil }, (*Router).settle},
		{"an answer now would earn nothing", func(r *Router, q *req) bool { return r.now >= q.final },
			(*Router).giveUp},
		{"it may have run and must not run again", func(r *Router, q *req) bool { return !r.mayResend(q) },
			(*Router).giveUp},
		{"its write-outs are used up", func(r *Router, q *req) bool { return q.sent >= r.maxSends },
			(*Router).giveUp},
		{"the retry budget is spent", func(r *Router, q *req) bool { return q.retrying && r.retries < 1 },
			(*Router).giveUp},
		{"a fetch of its key is out: wait for it", (*Router).fetchIsOut, (*Router).hold},
		{"a write goes to the origin", func(r *Router, q *req) bool { return r.aside && q.write && !q.toOrigin },
			(*Router).turnToOrigin},
		{"a miss goes to the origin", func(r *Router, q *req) bool { return q.missed && !q.toOrigin },
			(*Router).turnToOrigin},
		{"there is no origin to turn to", func(r *Router, q *req) bool { return q.toOrigin && r.origin == nil },
			(*Router).giveUp},
		{"the origin has room", func(r *Router, q *req) bool { return q.toOrigin && r.originRoom(q) },
			func(r *Router, q *req) { r.send(q, r.origin) }},
		{"the origin cannot answer in time", func(r *Router, q *req) bool {
			return q.toOrigin && r.now+r.originWait(q) > q.soon()
		}, (*Router).giveUp},
		{"wait for the origin", func(r *Router, q *req) bool { return q.toOrigin }, (*Router).hold},
		{"a cache has room", (*Router).pick, func(r *Router, q *req) { r.send(q, q.target) }},
		{"no cache can be used", func(r *Router, q *req) bool { return q.target == nil }, (*Router).turnToOrigin},
		{"the cache cannot answer in time", func(r *Router, q *req) bool {
			return r.now+r.cacheWait(q, q.target) > q.soon()
		}, (*Router).giveUp},
		{"wait for the cache", func(r *Router, q *req) bool { return true }, (*Router).hold},
	}
}

func (r *Router) run(q *req) {
	for q.settled = q.done; !q.settled; {
		for _, rule := range r.rules {
			if rule.when(r, q) {
				rule.do(r, q)
				break
			}
		}
	}
}

func (r *Router) settle(q *req) { q.settled = true }

func (r *Router) turnToOrigin(q *req) {
	q.toOrigin = true
	if r.isFetch(q) && r.fetches[q.key] == nil {
		r.fetches[q.key] = q
	}
}

// isFetch: only reads of a known key share one fetch.
func (r *Router) isFetch(q *req) bool { return r.aside && !q.write && q.key != "" }

func (r *Router) fetchIsOut(q *req) bool {
	f := r.fetches[q.key]
	return r.isFetch(q) && f != nil && f != q
}

// hold keeps a req for later; the held ones are in order of worth, writes first, then of age.
func (r *Router) hold(q *req) {
	q.settled = true
	if q.held {
		return
	}
	q.held = true
	at, _ := slices.BinarySearchFunc(r.held, q, func(a, b *req) int {
		switch {
		case a.write != b.write:
			if a.write {
				return -1
			}
			return 1
		case a.worth != b.worth:
			if a.worth > b.worth {
				return -1
			}
			return 1
		}
		return a.seq - b.seq
	})
	r.held = slices.Insert(r.held, at, q)
}

// giveUp answers at once: a nack where that is harmless, else a failure.
func (r *Router) giveUp(q *req) {
	harmless := q.maybeRan == 0 || q.method.effect == Retryable
	if !harmless || q.method.streams && q.maybeRan != 0 {
		r.decided = append(r.decided, Decision{Action: Fail, Req: q.id})
	} else {
		r.decided = append(r.decided, Decision{Action: Nack, Req: q.id, After: r.hint(q)})
	}
	r.finish(q)
}

// hint tells when to come back: when the time that this req could not be given has passed.
func (r *Router) hint(q *req) Micros {
	if !r.mayHint {
		return 0
	}
	wait := Micros(0)
	if q.toOrigin && r.origin != nil {
		wait = r.originWait(q)
	} else if q.target != nil {
		wait = r.cacheWait(q, q.target)
	}
	return min(wait, r.maxHint)
}

func (r *Router) finish(q *req) {
	q.done, q.settled = true, true
	if r.fetches[q.key] == q {
		delete(r.fetches, q.key)
	}
	if q.out == nil {
		delete(r.reqs, q.id)
	}
}

// mayResend guards rule 2, no effect twice.
func (r *Router) mayResend(q *req) bool {
	if q.maybeRan == 0 || q.method.effect == Retryable {
		return true
	}
	// A tick is left over so that the write-out is not counted as after the window.
	return q.method.effect == Deduplicated && r.now+r.tick < q.maybeRan+q.method.window
}

// inGroup: a deduplicated req that may have run goes only where its repeat is known.
func (r *Router) inGroup(q *req, s *server) bool {
	if q.maybeRan == 0 || q.method.effect != Deduplicated {
		return true
	}
	switch q.method.group {
	case GroupZone:
		return s.Zone == q.ranAt.Zone
	case GroupCell:
		return s.Cell == q.ranAt.Cell
	}
	return true
}

func (r *Router) send(q *req, s *server) {
	left := q.final - r.now
	timeout := left
	if !s.origin && r.aside && q.sent+1 < r.maxSends && r.retries >= 1 {
		// Room for a miss and the origin is left before the latency budget; two thirds at least are the cache's,
		// so that a lagging origin does not turn every wait into a retry.
		spare := min(left/3, q.method.time+r.originTime()*3/2)
		timeout = max(q.aim-r.now-spare, 4*r.usual(r.caches))
	}
	timeout = min(max(timeout, r.tick), max(left, r.tick))
	if q.retrying {
		r.retries--
		q.retrying = false
	}
	s.inFlight++
	q.out = &writeOut{server: s, sent: r.now, timeout: timeout}
	q.sent++
	q.settled = true
	if r.cold(s) {
		s.coldSent = append(s.coldSent, r.now)
	}
	if q.write {
		s.writes++
	} else {
		s.reads++
	}
	r.decided = append(r.decided, Decision{Action: WriteOut, Req: q.id, Server: s.Server, After: timeout})
}

// ---- Targets ----

// pick finds the cache for a req: the first of its group, or the one drawn for a hot key; where that one
// cannot be used, the group's next. It leaves the best choice in target and tells whether there is room now.
func (r *Router) pick(q *req) bool {
	q.target = nil
	if len(r.table) == 0 {
		return false
	}
	slot := int(q.hash % uint64(len(r.table)))
	group := r.table[slot]
	first := 0
	hot := !q.write && r.isHot(q.key)
	if hot {
		if q.drawn < 0 {
			q.drawn = r.draw(r.sharesOf(group))
		}
		first = q.drawn
	}
	for i := range group {
		s := group[(first+i)%len(group)]
		if slices.Contains(q.failed, s) || !r.usable(s) || !r.inGroup(q, s) || !r.warmFor(q, s) {
			continue
		}
		if r.room(q, s) {
			q.target = s
			return true
		}
		if q.target == nil || r.cacheWait(q, s) < r.cacheWait(q, q.target) {
			q.target = s
		}
		// An ordinary key spills to a partner only while the origin could carry the misses that this causes, or
		// where waiting here is of no use.
		if !hot && r.origin != nil && !r.originRoom(q) && r.now+r.cacheWait(q, s) <= q.soon() {
			return false
		}
	}
	return false
}

// usable: neither draining nor gone, and not set aside; after that, one trial at a time.
func (r *Router) usable(s *server) bool {
	return s.State == Ready && (s.aside == 0 || r.now >= s.aside && s.inFlight == 0)
}

// patience scales what may be waited for: the less a req is worth, the sooner it yields.
func patience(q *req) float64 {
	// Half for the least, all for the most: at a half, a queue that the best still fit into turns away the rest.
	return 0.5 + 0.5*min(1, q.worth)
}

// room bounds what is in flight at a cache by measured rate x time: what it answers within the part of
// the latency budget that may go into waiting.
func (r *Router) room(q *req, s *server) bool {
	fewest := r.fewest
	within := float64(q.method.aim) * 0.6 * patience(q)
	quick := min(1, within/float64(max(1, s.time)))
	bound := max(fewest*quick, s.rate.now(r.now, rateSpan)*within/1e6)
	return float64(s.inFlight+s.haunted(r.now)) < max(1, bound)
}

// haunted counts the write-outs that timed out and are not yet known to be off the server. Without them, a
// crowded server that goes on with overdue work is sent ever more: all of it late, none of it answered.
func (s *server) haunted(now Micros) int {
	s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return g.until <= now })
	return len(s.ghosts)
}

// rateSpan: long enough for a dozen answers of one cache at one router, short against a trouble.
const rateSpan = 1e6

func (r *Router) originRoom(q *req) bool {
	return r.origin != nil && r.usable(r.origin) && float64(r.origin.inFlight) < r.originBound()
}

// originBound bounds the origin harder. While its answers are near their quickest it has room to spare, and
// chance alone needs some; once they are longer, it gets what it answers within a part of the budget.
func (r *Router) originBound() float64 {
	o := r.origin
	const fewest = 2 // enough to find its rate, few enough for a stopped origin
	goal := 4 * o.best
	if o.long > o.best*8/5 { // more than the spread of a long mean of heavy-tailed answers
		goal = max(r.originGoal, o.best*3/2)
	}
	return max(fewest, o.rate.now(r.now, rateSpan)*float64(goal)/1e6)
}

func (r *Router) originTime() Micros {
	if r.origin == nil {
		return 0
	}
	return r.origin.best
}

// originWait: time until an answer, were the req to queue behind those held before it.
func (r *Router) originWait(q *req) Micros {
	o := r.origin
	if o.aside > r.now {
		return o.aside - r.now + o.best
	}
	per := float64(o.time) / max(1, r.originBound())
	return o.time + Micros(per*float64(r.ahead(q, o)))
}

// ahead counts the reqs held for the same server that go before this one.
func (r *Router) ahead(q *req, s *server) (n int) {
	for _, h := range r.held {
		if h == q {
			break
		}
		if !h.done && h.out == nil && (h.toOrigin && s.origin || !h.toOrigin && h.target == s) {
			n++
		}
	}
	return n
}

func (r *Router) cacheWait(q *req, s *server) Micros {
	if s.aside > r.now {
		return s.aside - r.now
	}
	per := float64(s.time) / max(1, r.fewest)
	return s.time + Micros(per*float64(r.ahead(q, s)))
}

// soon: where a late answer earns something it still takes the place of one in time, so a req that can be
// had again waits no longer than its latency budget allows.
func (q *req) soon() Micros {
	if q.method.effect == Retryable {
		return min(q.aim, q.final)
	}
	return q.final
}

// ---- Health ----

// judge keeps a server's record by what this router itself has seen of it.
func (r *Router) judge(s *server, w *writeOut, status Status, took Micros) {
	points := 0
	switch status {
	case OK, Miss:
		if status == OK || s.time == 0 {
			r.measure(s, took)
		}
		s.rate.add(r.now, rateSpan, 1)
		if status == OK {
			s.hits.add(r.now, rateSpan, 1)
		}
		// What was sent before an answered write-out has had its turn.
		s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return g.sent <= w.sent })
		s.lost = 0
		if s.aside != 0 {
			s.aside = 0
			if s.unheard { // a crash: the list is late to tell of the new process, which is cold
				s.coldFrom = r.now
			}
			s.unheard = false
		}
		return
	case QueueFull:
		s.lost = 0
		return
	case TimedOut:
		s.ghosts = append(s.ghosts, ghost{w.sent, r.now + max(took, 1e6)})
		if took < r.usual(r.caches)*2 && !s.origin {
			return // it was given too little time to blame it
		}
		r.measure(s, max(took, s.time))
		if r.manyAside() {
			return // where all are late the fleet is short, and setting servers aside makes it shorter
		}
		points = 1
	case Failed:
		points = 1
	case ConnectError, Reset:
		s.unheard, s.ghosts = true, nil
		points = 2
	default:
		return
	}
	if !s.origin && s.shares > 0 {
		s.report(r.now, min(took, 2*s.shares))
	}
	s.lost += points
	const enough = 3 // one bad answer is chance, three in a row are not
	if s.lost >= enough && s.aside <= r.now {
		// Long enough that trials cost little, random so that the routers' trials do not fall together.
		s.aside = r.now + 1e6 + Micros(r.chance()*1e6)
	}
}

func (r *Router) manyAside() bool {
	n := 0
	for _, c := range r.caches {
		if c.aside > r.now {
			n++
		}
	}
	return 4*n >= len(r.caches) // more than a quarter at once is hardly ever the servers' own fault
}

func (r *Router) measure(s *server, took Micros) {
	if s.time == 0 {
		s.time, s.long, s.best = took, took, took
	}
	s.time += (took - s.time) / 8 // about the last fifteen answers
	s.long += (took - s.long) / 32
	if s.long < s.best {
		s.best = s.long
	} else {
		s.best += (s.long - s.best) / 2000
	}
}

// usual is the mean time of an answer over some servers.
func (r *Router) usual(of []*server) Micros {
	sum, n := Micros(0), Micros(0)
	for _, s := range of {
		if s.time > 0 {
			sum, n = sum+s.time, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// ---- Cold servers ----

func (r *Router) coldAge(s *server) Micros {
	start := max(s.Started, s.coldFrom)
	if start == 0 {
		return r.coldSpan
	}
	return r.now - start
}

func (r *Router) cold(s *server) bool { return !s.origin && r.coldAge(s) < r.coldSpan }

// warmFor lets a cold cache have a fraction of its keys, the same ones at every router, which grows with its
// capacity; and no more than this router's part of its budget.
func (r *Router) warmFor(q *req, s *server) bool {
	if !r.cold(s) {
		return true
	}
	age := max(0, float64(r.coldAge(s))/float64(r.coldSpan))
	part := r.coldTimes * (r.coldShare + (1-r.coldShare)*age)
	fraction := float64(q.hash>>32&0xffff) / 0x10000
	if fraction >= part {
		return false
	}
	// A warm cache's hits for this router are no more than the router's part of its capacity. Misses do not
	// count: they cost little, and where many caches are empty they would make the budget too large by half.
	usual, n := 0.0, 0.0
	for _, c := range r.caches {
		if !r.cold(c) && c.aside == 0 {
			usual, n = usual+c.hits.now(r.now, rateSpan), n+1
		}
	}
	const least = 1.0 // a second: with nothing measured yet, enough to learn
	s.coldSent = slices.DeleteFunc(s.coldSent, func(at Micros) bool { return r.now-at >= r.fallSpan })
	return float64(len(s.coldSent)) < part*max(least, usual/max(1, n))*float64(r.fallSpan)/1e6
}

// ---- Hot keys and their shares ----

// hotKeys is a bounded, aged table of this router's own reads.
type hotKeys struct {
	counts map[Key]float64
	keys   []Key // in order of coming, so that nothing hangs on the map's order
	total  float64
}

func (h *hotKeys) count(k Key) {
	const most = 64 // a few times the number of keys that can be over the bound
	h.total++
	if _, ok := h.counts[k]; ok {
		h.counts[k]++
		return
	}
	if len(h.keys) < most {
		h.keys = append(h.keys, k)
		h.counts[k] = 1
		return
	}
	// Full: all lose a little, and those at nothing leave (after Misra and Gries).
	h.keys = slices.DeleteFunc(h.keys, func(k Key) bool {
		h.counts[k]--
		if h.counts[k] > 0 {
			return false
		}
		delete(h.counts, k)
		return true
	})
}

func (h *hotKeys) age() {
	h.total /= 2
	for _, k := range h.keys {
		h.counts[k] /= 2
	}
}

func (r *Router) isHot(k Key) bool {
	const few = 40 // reads: below that a share says nothing
	if k == "" || r.hot.total < few {
		return false
	}
	// A third of the bound of one over the cache count: a key over it is a third of a cache's load by itself.
	return r.hot.counts[k] > 0.35*r.hot.total/float64(max(1, len(r.caches)))
}

func (s *server) report(at, time Micros) {
	const last = 16 // N: answers enough to smooth a heavy-tailed service time
	s.reported = append(s.reported, sample{at, time})
	if len(s.reported) > last {
		s.reported = s.reported[len(s.reported)-last:]
	}
}

// recompute fixes what the shares are made from until the next time.
func (r *Router) recompute() {
	const every = 2e6 // the design's first setting
	if r.now < r.recomputeAt {
		return
	}
	r.recomputeAt = r.now + every
	r.hot.age()
	const stale = 10e6 // five recomputes: older samples speak of another state
	sum, n := Micros(0), Micros(0)
	for _, s := range r.caches {
		s.reported = slices.DeleteFunc(s.reported, func(x sample) bool { return r.now-x.at > stale })
		s.shares = 0
		for _, x := range s.reported {
			s.shares += x.time / Micros(len(s.reported))
		}
		if s.shares > 0 {
			sum, n = sum+s.shares, n+1
		}
		s.wrote, s.read, s.writes, s.reads = s.writes, s.reads, 0, 0
	}
	for _, s := range r.caches {
		if s.shares == 0 && n > 0 {
			s.shares = sum / n // not yet heard from: the others' mean
		}
	}
}

// sharesOf is the design's read distribution over one group.
func (r *Router) sharesOf(group []*server) []float64 {
	writes, times := make([]float64, len(group)), make([]float64, len(group))
	reads := 0.0
	for i, s := range group {
		if !r.aside {
			writes[i] = s.wrote // in aside mode the writes go to the origin: Pw = 0
		}
		reads += s.read
		times[i] = float64(s.shares)
	}
	return algorithm2(algorithm1(writes, reads), times)
}

// algorithm1 levels reads and writes over the group.
func algorithm1(writes []float64, reads float64) []float64 {
	n := float64(len(writes))
	total := 0.0
	for _, w := range writes {
		total += w
	}
	shares := make([]float64, len(writes))
	for i, w := range writes {
		shares[i] = 1 / n
		if total > 0 && reads > 0 {
			fw := total / (total + reads)
			shares[i] = (1/n - w/total*fw) / (1 - fw)
		}
	}
	return clamp(shares)
}

// algorithm2 takes from the slow and gives to the quick.
func algorithm2(shares, times []float64) []float64 {
	n := float64(len(times))
	sum := 0.0
	for _, t := range times {
		sum += t
	}
	for i, t := range times {
		if sum > 0 {
			shares[i] -= t/sum - 1/n
		}
	}
	return clamp(shares)
}

// clamp makes a negative share zero, takes its size over GF-1 from the positive ones, and renormalises.
func clamp(shares []float64) []float64 {
	short := 0.0
	for i, x := range shares {
		if x < 0 {
			short -= x / float64(len(shares)-1)
			shares[i] = 0
		}
	}
	sum := 0.0
	for i, x := range shares {
		if x > 0 {
			shares[i] = max(0, x-short)
		}
		sum += shares[i]
	}
	for i := range shares {
		if sum > 0 {
			shares[i] /= sum
		} else {
			shares[i] = 1 / float64(len(shares))
		}
	}
	return shares
}

// chance draws from [0, 1) by the seed and a counter.
func (r *Router) chance() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], r.seed)
	binary.LittleEndian.PutUint32(b[4:], r.draws)
	r.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

func (r *Router) draw(shares []float64) int {
	x := r.chance()
	for i, p := range shares {
		if x < p {
			return i
		}
		x -= p
	}
	return 0
}

// ---- The slot table ----

const (
	slots      = 1021 // a prime, so that every step walks all slots; some 40 slots a cache at 24 caches
	groupCount = 3    // GF
)

// mix spreads the bits of x; the ids themselves tell nothing.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func hashText(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// buildTable gives each slot its caches, after Maglev: in turns, each cache claims the next slot of its own
// order that is free. The second and third place are claimed by the same walks, so that mostly the second
// cache of a slot is the one that would be first without the first.
func buildTable(caches []*server) [][]*server {
	if len(caches) == 0 {
		return nil
	}
	table := make([][]*server, slots)
	for place := range min(groupCount, len(caches)) {
		walked := make([]int, len(caches))
		for filled, stuck := 0, 0; filled < slots && stuck < len(caches); {
			stuck = 0
			for i, c := range caches {
				h := mix(uint64(c.Server) + 0x9e3779b97f4a7c15)
				offset, step := int(h%slots), int(h>>32%(slots-1))+1
				claimed := false
				for ; walked[i] < slots && !claimed; walked[i]++ {
					at := (offset + walked[i]*step) % slots
					if len(table[at]) == place && !slices.Contains(table[at], c) {
						table[at] = append(table[at], c)
						claimed = true
					}
				}
				if claimed {
					filled++
				} else {
					stuck++
				}
			}
		}
	}
	return table
}

// ---- The inputs ----

// New starts a router.
func New(now Micros, s Settings, seed uint64) (*Router, []Decision) {
	const safe = 0.6 // of the multiple: the routers' shares are uneven and the work of a req varies
	r := &Router{
		tenants: map[Tenant]*tenant{}, overWorth: s.OverShareWorth,
		aside: s.Aside, originKind: s.OriginKind, cacheFigs: s.ReportFields, ask: s.ListOnRequest,
		tick: max(s.Resolution, 1), coldShare: s.ColdShare, coldSpan: s.ColdSpan,
		coldTimes: safe * s.FallMultiple, fallSpan: max(s.FallSpan, 1), mayCancel: s.MayCancel,
		mayHint: s.MayHint, maxSends: Attempt(s.MaxWriteOuts), maxHint: s.MaxHint,
		seed: uint32(mix(seed)), now: now, rules: reqRules(),
		servers: map[ServerID]*server{}, reqs: map[ReqID]*req{}, fetches: map[Key]*req{},
		hot: hotKeys{counts: map[Key]float64{}}, retries: 10,
	}
	// Some eight in hand keep a machine of a few cores busy without a long queue; a router has its part of them.
	r.fewest = max(1, 8/float64(max(1, s.Routers)))
	most, tightest := 0.0, Micros(math.MaxInt64)
	for _, m := range s.Methods {
		most, tightest = max(most, m.Criticality), min(tightest, m.LatencyBudget)
	}
	r.originGoal = tightest * 2 / 5 // the cache's miss and a second wait must still fit into the budget
	for _, m := range s.Methods {
		r.methods = append(r.methods, method{effect: m.Effect, group: m.Group, window: m.Window,
			aim: m.LatencyBudget, worth: m.Criticality / max(most, 1e-9), lateEarns: m.LateShare > 0,
			streams: m.Stream})
	}
	for _, t := range s.Tenants {
		r.tenants[t.Name] = &tenant{share: t.Share}
	}
	if r.ask {
		r.subscribe()
	}
	return r, r.decided
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
		r.runHeld()
	case Left:
		r.left(e)
		r.runHeld()
	case Streaming:
		if q := r.reqs[e.Req]; q != nil {
			r.finish(q)
		}
	case Probed:
		if s := r.servers[e.Server]; s != nil {
			r.takeReport(s, e.Report, 0)
		}
	case ListCame:
		r.listCame(e)
		r.runHeld()
	case Elapsed:
		if r.wakeAt <= r.now {
			r.wakeAt = 0
		}
		if r.askAt != 0 && r.askAt <= r.now {
			r.subscribe()
		}
		r.runHeld()
	}
	if len(r.held) > 0 {
		r.wake(r.now + max(r.tick, 5e3)) // held reqs are looked at again that often
	}
	return r.decided
}

func (r *Router) wake(at Micros) {
	if r.wakeAt == 0 || at < r.wakeAt {
		r.wakeAt = at
		r.decided = append(r.decided, Decision{Action: Wake, After: max(at-r.now, 1), Ref: 1})
	}
}

func (r *Router) runHeld() {
	for _, q := range slices.Clone(r.held) {
		r.run(q)
	}
	r.held = slices.DeleteFunc(r.held, func(q *req) bool {
		if q.done || q.out != nil {
			q.held = false
			return true
		}
		return false
	})
}

func (r *Router) reqCame(e ReqCame) {
	m := &r.methods[e.Method]
	r.arrived++
	q := &req{id: e.Req, method: m, key: e.Key, write: e.Write, worth: m.worth, seq: r.arrived,
		aim: r.now + m.aim, deadline: e.ValidUntil, drawn: -1}
	// A tick before the deadline nothing can be had any more, and an answer is due.
	q.final = e.ValidUntil - r.tick
	if !m.lateEarns {
		q.final = min(q.final, q.aim)
	}
	if q.hash = hashText(string(e.Key)); e.Key == "" {
		q.hash = hashText(string(e.Req))
	}
	r.traffic.add(r.now, tenantSpan, 1)
	if t := r.tenants[e.Tenant]; t != nil {
		t.rate.add(r.now, tenantSpan, 1)
		if t.rate.value > 1.2*t.share*r.traffic.value { // a fifth over its part is more than chance
			q.worth *= r.overWorth
		}
	}
	r.retries = min(r.retries+0.1, 20) // a tenth of the reqs may be tried again, and a short burst
	if !e.Write && e.Key != "" {
		r.hot.count(e.Key)
	}
	r.reqs[q.id] = q
	r.run(q)
}

// tenantSpan: a few seconds, so that a burst is not an overrun.
const tenantSpan = 5e6

func (r *Router) returned(e Returned) {
	s := r.servers[e.Server]
	if s != nil {
		r.takeReport(s, e.Report, e.Took)
	}
	q := r.reqs[e.Req]
	if q == nil || q.out == nil || q.sent != e.Attempt+1 {
		return
	}
	w := q.out
	q.out = nil
	w.server.inFlight--
	r.judge(w.server, w, e.Status, e.Took)
	if e.Status == OK && !w.server.origin {
		q.method.time += (e.Took - q.method.time) / 20
	}
	if q.done || e.Over {
		r.finish(q)
		return
	}
	switch e.Status {
	case Miss:
		if q.toOrigin || w.server.origin {
			q.failed = append(q.failed, w.server)
		} else if !q.write {
			q.missed = true
			if r.fetchIsOut(q) {
				q.missed = false // the other fetch brings it to this cache
			}
		}
	case QueueFull, ConnectError, Ignored:
		q.retrying = true
		q.failed = append(q.failed, w.server)
	default:
		if q.maybeRan == 0 {
			q.maybeRan, q.ranAt = w.sent, w.server
		}
		q.retrying = true
		q.failed = append(q.failed, w.server)
	}
	if w.server.origin && !q.write && e.Status != Ignored {
		// The fetch failed: its waiters are free to go, and this one tries no other.
		r.giveUp(q)
		return
	}
	r.run(q)
	if !q.done && q.held && q.out == nil {
		return
	}
}

// left: the client is gone; its write-out is called off so that a server may stop work on it.
func (r *Router) left(e Left) {
	q := r.reqs[e.Req]
	if q == nil || q.done {
		return
	}
	if q.out != nil && r.mayCancel {
		r.decided = append(r.decided, Decision{Action: Recall, Req: q.id, Attempt: q.sent - 1})
	}
	r.finish(q)
}

func (r *Router) takeReport(s *server, rep Report, took Micros) {
	for i, f := range r.cacheFigs {
		if i < len(rep) && f == FigureServiceTime && rep[i] > 0 {
			s.report(r.now, Micros(rep[i]*1e3))
			return
		}
	}
	if took > 0 {
		s.report(r.now, took)
	}
}

func (r *Router) subscribe() {
	r.askAt = 0
	r.decided = append(r.decided, Decision{Action: Subscribe})
}

func (r *Router) listCame(e ListCame) {
	if e.Kind == ListFailed {
		r.subscribed = false
		// Twice as long each time, half of it random, and well within the span after which we count as told.
		r.askWait = min(max(2*r.askWait, 250e3), 4e6)
		r.askAt = r.now + r.askWait/2 + Micros(r.chance()*float64(r.askWait)/2)
		r.wake(r.askAt)
		return
	}
	if e.Kind != ListSaved {
		r.subscribed, r.askWait, r.listed = true, 0, true
	}
	seen := map[ServerID]bool{}
	for _, entry := range e.Entries {
		s := r.servers[entry.Server]
		if s == nil {
			s = &server{}
			r.servers[entry.Server] = s
		}
		if entry.Started > s.Started && s.Server != 0 {
			s.aside, s.lost, s.unheard = 0, 0, false // a new process: what was held against the old is void
		}
		s.Entry = entry
		s.origin = r.originKind != "" && entry.Kind == r.originKind
		seen[entry.Server] = true
	}
	r.caches, r.origin = nil, nil
	ids := make([]ServerID, 0, len(r.servers))
	for id := range r.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := r.servers[id]
		if e.Kind != ListChanges && !seen[id] {
			s.State = Gone
		}
		switch {
		case s.State != Ready:
		case s.origin:
			r.origin = s
		default:
			r.caches = append(r.caches, s)
		}
	}
	r.table = buildTable(r.caches)
}
