package sitefailover

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// pool adds up what routers are offered, the highest rank first.
func pool(rows []RouterState) []OfferedLoad {
	rates := map[Rank]float64{}
	for _, r := range rows {
		for _, o := range r.Report.Offered {
			rates[o.Rank] += o.Rate
		}
	}
	all := make([]OfferedLoad, 0, len(rates))
	for rank, rate := range rates {
		all = append(all, OfferedLoad{rank, rate})
	}
	slices.SortFunc(all, func(a, b OfferedLoad) int { return cmp.Compare(b.Rank, a.Rank) })
	return all
}

// cut is the rank that a target reaches down to, and how much of what has just that rank still fits.
func cut(offered []OfferedLoad, target float64) (least Rank, some float64) {
	left := target
	for _, o := range offered {
		if o.Rate > left {
			return o.Rank, max(0, left) / o.Rate
		}
		left -= o.Rate
	}
	return 0, 1
}

// bears is what all sites together can answer a second, and the site that binds: keys spread evenly over the servers, so
// that the first site whose part of them is more than it bears holds back all.
func bears(sites []standing) (most float64, binds Site) {
	servers := 0.0
	for _, s := range sites {
		servers += s.servers
	}
	for _, s := range sites {
		if s.servers <= 0 || s.bears <= 0 {
			continue
		}
		if can := s.bears * servers / s.servers; binds == "" || can < most {
			most, binds = can, s.name
		}
	}
	return most, binds
}

// settleOn has the keys of servers that are away count with those of the sites that have them, by weights.
func settleOn(sites []standing, away float64, weights []SiteShare) {
	each, sum := make([]float64, len(sites)), 0.0
	for i, s := range sites {
		each[i] = s.servers
		for _, w := range weights {
			if w.Site == s.name {
				each[i] *= w.Fraction
			}
		}
		sum += each[i]
	}
	for i := range sites {
		if sum > 0 {
			sites[i].servers += away * each[i] / sum
		}
	}
}

// standing is a site as far as what it bears goes.
type standing struct {
	name    Site
	servers float64 // that are there, a returning one's by its share
	bears   float64 // that these bear
}

// A throttle keeps the target: it begins at what the sites are said to bear, and follows what becomes of what is let in.
type throttle struct {
	target  float64    // 0: all is let in
	borne   float64    // what the sites were said to bear at the last step
	done    []done     // answers a second at the last steps since that changed
	more    float64    // times what is said to be borne so much has been answered, while all was let in
	changed clock.Time // when that was
	calm    clock.Time // since when all would fit; 0: it does not
	stepped clock.Time
}

type done struct {
	at   clock.Time
	rate float64
}

const (
	turn = 250e3 // between two steps: some answers of every router, and a report from each
	// Of the worth let in so much is given up in an ordinary crest: below the first the target rises, above the second it
	// falls. Between them it stands still, so that it does not swing. By requests alone it rose until the most critical, whose
	// budgets are the tightest, were lost in queues of the others.
	fewLost, manyLost = 0.01, 0.03
	fall, rise, free  = 0.97, 1.04, 1.06 // a turn; free: all sites are whole
	// Told figures are for the usual mix and for the caches alone; what the origin takes beside them came to a third.
	lowest, highest = 0.5, 1.5
	// What was given up is seen for a second after the target has fallen, and it fell to half before it was known to be
	// low enough: what was answered lately is never refused.
	lately  = 2e6
	ease    = 2e6  // for so long all must fit until nothing is refused any more
	another = 0.05 // a change of what is borne by which what was answered before says nothing of now
	// What a site takes with it as it goes is no sign of too much: the target fell to half within a second of it.
	shock = 1500e3
)

// step takes the sums over all routers: what is offered and answered, the part of the worth let in that was given up, and
// what is borne; trouble: a site is not whole.
func (t *throttle) step(now clock.Time, offered []OfferedLoad, answered, lost, borne float64, trouble bool) {
	if now-t.stepped < turn {
		return
	}
	t.stepped = now
	asked := 0.0
	for _, o := range offered {
		asked += o.Rate
	}
	if borne <= 0 {
		borne = answered // nothing was told or seen: what is answered now
	}
	if borne <= 0 || t.target == 0 && !trouble {
		*t = throttle{stepped: now, more: min(max(t.more, answered/max(1, borne)), highest)}
		return
	}
	if t.target == 0 {
		t.target, t.borne, t.changed = borne*max(1, t.more), borne, now
	}
	if t.borne == 0 { // another leader had come to the target
		t.borne, t.changed = borne, now
	}
	if borne < t.borne*(1-another) || borne > t.borne*(1+another) {
		t.target += borne - t.borne // what was learnt beside told figures was mostly the origin's part, which stays
		t.done, t.borne, t.changed = nil, borne, now
	}
	// The rates are those of the last second.
	t.done = slices.DeleteFunc(t.done, func(d done) bool { return now-d.at > lately })
	best := 0.0
	for _, d := range t.done {
		best = max(best, d.rate)
	}
	t.done = append(t.done, done{now, answered})
	switch {
	case lost > manyLost && now-t.changed < shock:
	case lost > manyLost:
		t.target = max(t.target*fall, min(best, t.target))
	case lost >= fewLost:
	case trouble:
		t.target *= rise
	default:
		t.target *= free
	}
	t.target = min(max(t.target, lowest*borne), highest*borne)
	if trouble || asked > t.target {
		t.calm = 0
		return
	}
	if t.calm == 0 {
		t.calm = now
	}
	if now-t.calm >= ease {
		t.target, t.calm = 0, 0
	}
}
