package routing

import (
	"math"
	"slices"
)

// This file: which cache a request goes to: the slot table, and which caches can be used.

// pick finds the cache for a request: the first of its group, or the one drawn for a hot key; where that one
// cannot be used, the group's next. It leaves the best choice in target and tells whether there is room now.
func (r *Router) pick(q *request) bool {
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

// usable: neither draining nor gone, not set aside nor out of reach; after that, one trial at a time.
func (r *Router) usable(s *server) bool {
	// One that has work in hand and is silent for three usual answers may hang: nothing more until it speaks.
	silent := r.seen.long > 0 && s.inFlight > 0 && !s.origin && r.now-s.heard > 3*r.seen.long
	rests := !s.origin && r.ways[s.Zone].rest > r.now
	return s.State == Ready && !silent && !rests && (s.aside == 0 || r.now >= s.aside && s.inFlight == 0)
}

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
		spare := r.planned.FailoverWeights
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
func rank(caches []*server, slot uint32, spare []ZoneShare) (places [groupCount]uint32) {
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
