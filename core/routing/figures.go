package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"spurtrestle/core/clock"
)

// What the fleet is told of a router's load, and what is kept of what it tells in return. Nothing is decided here.

// tally counts what came in and what became of it.
type tally struct {
	offered   map[Rank]*decayed
	ended     decayed // requests that were let in, a second
	givenUp   decayed // and those of them that were given up
	worth     decayed // of those that were let in
	worthLost decayed // and of those of them that were given up
}

// tallySpan smooths over what one router sees of a rank by chance, and shows a loss within a second.
const tallySpan = 1e6

func count[K comparable](in *map[K]*decayed, k K, now clock.Time) {
	if *in == nil {
		*in = map[K]*decayed{}
	}
	d := (*in)[k]
	if d == nil {
		d = &decayed{}
		(*in)[k] = d
	}
	d.add(now, tallySpan)
}

// note counts a request that ends, once, by what was just decided on it.
func (r *Router) note(q *request) {
	if q.done || q.shed {
		return
	}
	t := &r.tally
	t.ended.add(r.now, tallySpan)
	t.worth.addSome(q.worth, r.now, tallySpan)
	if n := len(r.decided); n > 0 && r.decided[n-1].Request == q.id && (r.decided[n-1].Action == Reject || r.decided[n-1].Action == Fail) {
		t.givenUp.add(r.now, tallySpan)
		t.worthLost.addSome(q.worth, r.now, tallySpan)
	}
}

func (r *Router) isShed(q *request) bool { return q.shed }

// replan keeps what the fleet keeps to now; the caches to be used may be others by it.
func (r *Router) replan(p FailoverOrders) {
	others := !slices.Equal(r.planned.ZoneShares, p.ZoneShares) || !slices.Equal(r.planned.FailoverWeights, p.FailoverWeights)
	if r.planned = p; others {
		clear(r.ways) // of a zone that is let in again the last word is old
		clear(r.table)
		r.listCame(EndpointsUpdated{Kind: IncrementalUpdate})
	}
}

// spend counts a read that goes to the origin.
func (r *Router) spend(q *request, s *server) {
	if s.origin && !q.write && r.planned.OriginReadLimit > 0 {
		r.fetchLeft--
	}
}

// refill saves up reads at the origin for a quarter of a second, at this router's rate; without a part it is one in long.
func (r *Router) refill() (rate float64) {
	rate = max(0.02, r.planned.OriginReadLimit*r.part)
	r.fetchLeft = min(max(1, rate/4), r.fetchLeft+rate*float64(r.now-r.fetchAt)/1e6)
	r.fetchAt = r.now
	return rate
}

// share is the part of its keys that a zone may have: all, but while the fleet has it out or lets it back in.
func (r *Router) share(zone Zone) float64 { return partOf(r.planned.ZoneShares, zone) }

func partOf(parts []ZoneShare, zone Zone) float64 {
	for _, p := range parts {
		if p.Zone == zone {
			return p.Share
		}
	}
	return 1
}

// ownerOf is the cache that a slot's ranking has first, of all that are ready, those of zones that are out as well.
func (r *Router) ownerOf(slot uint32) (owner *server) {
	first := math.Inf(1)
	for _, c := range slices.Concat(r.caches, r.out) {
		if at := arrival(c, slot, c.size); at < first {
			first, owner = at, c
		}
	}
	return owner
}

// arrival is when a cache comes for a slot, by chance: the sooner the larger it is.
func arrival(c *server, slot uint32, size float64) float64 {
	return -math.Log(spread(c, slot)) / size
}

// spread draws from (0, 1] for a cache and a slot.
func spread(c *server, slot uint32) float64 {
	return float64(mix(uint64(c.Server)<<32|uint64(slot)+rankSalt)>>11+1) / (1 << 53)
}

// RankRate is how much comes in of one rank.
type RankRate struct {
	Rank Rank
	Rate float64 // requests a second
}

// ZoneLoad is what a router sees of the caches of a zone.
type ZoneLoad struct {
	Zone        Zone
	Listed      int
	Unreachable int     // of them: their last word was none, or the way to all of them rests
	AnswerRate  float64 // a second
}

// RouterLoad is a router's load over about the last second.
type RouterLoad struct {
	Offered                       []RankRate // the highest first
	EndedRate                     float64    // requests a second that were let in
	UnansweredRate                float64    // and of them given up
	EndedWeight, UnansweredWeight float64    // the same by worth, of the highest
	Zones                         []ZoneLoad
	OriginLatencyRatio            float64 // the time of its last answers over what it should take; 0: not known
}

// Load gives the load as of now. It does not change the router but for the fading of its rates.
func (r *Router) Load(now clock.Time) RouterLoad {
	r.now = max(now, r.now)
	t := &r.tally
	f := RouterLoad{EndedRate: t.ended.now(r.now, tallySpan), UnansweredRate: t.givenUp.now(r.now, tallySpan),
		EndedWeight: t.worth.now(r.now, tallySpan), UnansweredWeight: t.worthLost.now(r.now, tallySpan)}
	for _, rank := range slices.Sorted(maps.Keys(t.offered)) {
		f.Offered = append(f.Offered, RankRate{rank, t.offered[rank].now(r.now, tallySpan)})
	}
	slices.Reverse(f.Offered)
	zones := map[Zone]*ZoneLoad{}
	for _, s := range r.all {
		if s.origin || s.State == Removed || r.barred[s.Server] {
			continue
		}
		z := zones[s.Zone]
		if z == nil {
			z = &ZoneLoad{Zone: s.Zone}
			zones[s.Zone] = z
		}
		z.Listed++
		z.AnswerRate += s.rate.now(r.now, rateSpan)
		quiet := r.seen.long > 0 && s.inFlight > 0 && r.now-s.heard > 3*r.seen.long // as usable has it
		if r.ways[s.Zone].rest > 0 || s.aside > 0 || quiet {
			z.Unreachable++
		}
	}
	for _, z := range zones {
		f.Zones = append(f.Zones, *z)
	}
	slices.SortFunc(f.Zones, func(a, b ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	if o := r.origin; o != nil && r.originGoal > 0 {
		f.OriginLatencyRatio = float64(o.time) / float64(max(r.originGoal, o.best))
	}
	return f
}
