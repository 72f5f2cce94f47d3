package hierarchy

import (
	"testing"

	"spurtrestle/core/clock"
)

// Faults of all kinds, one after the other and at once; after the last all agree within a stated time, and nobody alive has
// counted as gone.
func TestRandomFaults(t *testing.T) {
	const agreeWithin = 20 * clock.Second
	for seed := range uint64(8) {
		w := newWorld(t, 100+seed, 5, 2, 6)
		w.startAll(clock.Second)
		w.until("settled", 20*clock.Second, w.settled)
		for range 12 {
			w.strike()
			w.run(clock.Time(w.rng.IntN(20)) * clock.Second)
		}
		w.heal()
		took := w.until("agreed after the last fault", agreeWithin, w.agreed)
		t.Logf("seed %d: agreed %.1f s after the last fault", seed, float64(took)/1e6)
		w.until("settled", agreeWithin, w.settled)
		w.verdict(20 * clock.Second)
	}
}

// strike begins a random fault, or ends those of the network.
func (w *world) strike() {
	s := w.sites[w.rng.IntN(len(w.sites))]
	switch w.rng.IntN(8) {
	case 0:
		w.lose, w.double, w.delay = 0.3, 0.2, 2*clock.Second
	case 1:
		w.cut = func(from, to *node) bool { return (from.site.region == s.region) != (to.site.region == s.region) }
	case 2: // nothing comes in, all goes out
		w.cut = func(from, to *node) bool { return to.site == s && from.site != s }
	case 3:
		w.lose, w.double, w.delay = 0.02, 0, 20e3
		w.cut = func(_, _ *node) bool { return false }
	case 4:
		w.killWhere(s, represents)
	case 5: // a rack
		w.killWhere(s, func(n *node) bool { return n.index < 4 })
	case 6: // all of the site, whose clocks are an hour back afterwards
		w.killWhere(s, func(*node) bool { return true })
		w.run(5 * clock.Second)
		for _, n := range s.nodes {
			n.skew = -3600 * clock.Second
			w.start(n)
		}
	case 7:
		w.startDead()
	}
}

func (w *world) killWhere(s *site, ok func(*node) bool) {
	for _, n := range s.nodes {
		if n.h != nil && ok(n) {
			w.kill(n)
		}
	}
}

func (w *world) startDead() {
	for _, n := range w.nodes {
		if n.h == nil {
			w.start(n)
		}
	}
}

func (w *world) heal() {
	w.lose, w.double, w.delay = 0, 0, 20e3
	w.cut = func(_, _ *node) bool { return false }
	w.startDead()
}

// stateOf is what a router holds a site or region for.
func stateOf(n *node, tier Tier, name string) State {
	e := n.h.tables[tier].entries[keyOf(name)]
	if e == nil {
		return Lost + 1
	}
	return n.h.state(e)
}

// A region that is cut off for an hour keeps its own tiers, shows the others as stale and then as lost with their last
// counts, and is one with them again soon after.
func TestRegionCutForAnHour(t *testing.T) {
	w := newWorld(t, 1, 6, 3, 4)
	w.startAll(clock.Second)
	w.until("settled", 20*clock.Second, w.settled)
	cut := w.sites[0].region
	w.cut = func(from, to *node) bool { return (from.site.region == cut) != (to.site.region == cut) }
	here, there := w.sites[0].nodes[3], w.sites[1].nodes[3]
	both := func(s State) func() bool {
		return func() bool {
			return stateOf(here, RegionTier, there.site.region) == s && stateOf(there, RegionTier, cut) == s
		}
	}
	t.Logf("stale after %.0f s", float64(w.until("stale", w.rules.StaleAfter+40*clock.Second, both(Stale)))/1e6)
	w.until("lost", w.rules.LostAfter, both(Lost))
	w.run(3600 * clock.Second)
	if s := here.h.tables[RegionTier].entries[keyOf(there.site.region)]; s == nil || s.Counts.Alive != 8 {
		t.Errorf("the last counts of the other region are not kept: %+v", s)
	}
	if s := stateOf(here, SiteTier, w.sites[3].name); s != Fresh {
		t.Errorf("a site of the own region is %v", s)
	}
	w.falselyLost = 0
	w.kill(w.sites[1].nodes[0])
	w.run(20 * clock.Second)
	w.cut = func(_, _ *node) bool { return false }
	t.Logf("one again %.1f s after the cut", float64(w.until("agreed after the cut", 15*clock.Second, w.agreed))/1e6)
	w.until("fresh", 20*clock.Second, both(Fresh))
}

// A site that vanishes is stale, then lost, and its routers no longer count in its region.
func TestSiteVanishes(t *testing.T) {
	w := newWorld(t, 2, 6, 2, 4)
	w.startAll(clock.Second)
	w.until("settled", 20*clock.Second, w.settled)
	gone, other := w.sites[0], w.sites[1].nodes[2]
	w.killWhere(gone, func(*node) bool { return true })
	took := w.until("counted without the site", w.rules.LostAfter+40*clock.Second, func() bool {
		e := other.h.tables[RegionTier].entries[keyOf(gone.region)]
		return e.Counts.Alive == 8 && e.LostSites == 1
	})
	t.Logf("no longer counted after %.0f s", float64(took)/1e6)
	if took < w.rules.StaleAfter {
		t.Errorf("given up after %.0f s", float64(took)/1e6)
	}
	for _, n := range gone.nodes {
		w.start(n)
	}
	w.until("agreed after the site is back", 20*clock.Second, w.agreed)
	w.verdict(10 * clock.Second)
}

// All candidates of a site die at once; the next by age take over once the membership has found that.
func TestAllCandidatesDie(t *testing.T) {
	w := newWorld(t, 3, 5, 2, 18)
	w.startAll(clock.Second)
	w.until("settled", 20*clock.Second, w.settled)
	for _, n := range w.living(func(n *node) bool {
		return n.site == w.sites[0] && n.h.Role().Rank < w.rules.RepresentativesPerSite+w.rules.StandbysPerSite
	}) {
		w.kill(n)
	}
	w.until("represented again", w.most+clock.Second, func() bool {
		return len(w.living(func(n *node) bool { return n.site == w.sites[0] && represents(n) })) > 0
	})
	w.until("agreed", 15*clock.Second, w.agreed)
	w.verdict(10 * clock.Second)
}

// Two halves of a fleet that have never heard of each other become one by an address to begin with.
func TestHalvesFindEachOther(t *testing.T) {
	w := newWorld(t, 4, 4, 2, 3)
	half := func(n *node) bool { return n.site.region == w.sites[0].region }
	w.cut = func(from, to *node) bool { return half(from) != half(to) }
	w.startAll(clock.Second)
	w.run(60 * clock.Second)
	w.cut = func(_, _ *node) bool { return false }
	took := w.until("one", w.rules.IdleReconnectInterval+20*clock.Second, w.agreed)
	t.Logf("one after %.1f s", float64(took)/1e6)
}

// What is held and sent stays bounded whatever comes in.
func TestBoundedByWhatComesIn(t *testing.T) {
	w := newWorld(t, 5, 2, 1, 3)
	w.startAll(clock.Second)
	w.run(5 * clock.Second)
	n, other := w.nodes[0], w.nodes[4]
	for i := range uint64(100000) {
		e := &entry{Summary: Summary{Name: hex(i), Version: 1 << 40}, Heartbeat: Heartbeat{Sequence: n.h.wall()}}
		n.h.Receive(w.now, append(other.h.header(kindNews), appendRecord(nil, Tier(i%2), e)...))
		n.h.Receive(w.now, other.h.hello(withinArea, ids{}))
	}
	if s, r := len(n.h.tables[SiteTier].entries), len(n.h.tables[RegionTier].entries); s > maxSites || r > maxRegions {
		t.Errorf("%d sites and %d regions are held", s, r)
	}
	sent := 0
	for _, d := range n.h.Tick(w.now, w.local(n)) {
		sent += len(d.Body)
	}
	t.Logf("%d bytes in the step after a flood", sent)
	if sent > 2<<20 {
		t.Errorf("a step sends %d bytes", sent)
	}
}

// A datagram of another fleet, or one that is not whole, is not taken.
func TestOthersAreNotTaken(t *testing.T) {
	w := newWorld(t, 6, 2, 1, 2)
	w.startAll(clock.Second)
	w.until("settled", 20*clock.Second, w.settled)
	n := w.nodes[0]
	before, _ := n.h.Digests()
	stranger := New(w.now, w.rules, Config{Fleet: "other", Region: n.site.region, Site: "x", Addr: w.nodes[1].addr})
	record := appendRecord(nil, SiteTier, &entry{Summary: Summary{Name: "x", Version: 1 << 60}, Heartbeat: Heartbeat{Sequence: n.h.wall()}})
	n.h.Receive(w.now, append(stranger.header(kindNews), record...))
	whole := append(w.nodes[1].h.header(kindNews), record...)
	for cut := range whole {
		n.h.Receive(w.now, whole[:cut])
	}
	if after, _ := n.h.Digests(); after != before {
		t.Error("another fleet's datagram, or a part of one, was taken")
	}
	n.h.Receive(w.now, whole)
	if after, _ := n.h.Digests(); after == before {
		t.Error("the whole datagram was not taken")
	}
}

func FuzzDecode(f *testing.F) {
	w := newWorld(f, 7, 3, 2, 2)
	w.startAll(clock.Second)
	w.run(10 * clock.Second)
	h := w.nodes[0].h
	h.tables[SiteTier].entries[keyOf(w.sites[0].name)].MaxRevision = 9
	for _, body := range [][]byte{h.header(kindPing), h.hello(withinArea, h.everything()), h.digests(SiteTier)[0], h.want(RegionTier, []key{1, 2}),
		h.packed(kindNews, h.records(SiteTier, h.everything()[SiteTier]))[0], h.packed(kindRepair, h.records(RegionTier, h.everything()[RegionTier]))[0]} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := decode(body)
		if err != nil {
			return
		}
		if n := len(m.beats[SiteTier]) + len(m.beats[RegionTier]) + len(m.versions) + len(m.records); n > MaxDatagramSize {
			t.Errorf("%d entries of %d bytes", n, len(body))
		}
		for _, r := range m.records {
			again := &reader{b: appendRecord(nil, r.tier, &entry{Summary: r.Summary, Heartbeat: r.Heartbeat})}
			if got := again.record(); again.bad || !same(got.Summary, r.Summary) || got.Version != r.Version || got.Heartbeat != r.Heartbeat {
				t.Errorf("%+v became %+v", r, got)
			}
		}
		h.Receive(w.now, body)
	})
}

// The checker sees what is not as it should be.
func TestCheckerSees(t *testing.T) {
	for what, x := range map[string]struct {
		change func(*Parameters)
		seen   func(*world) bool
	}{
		"a site given up too soon":      {func(r *Parameters) { r.LostAfter = clock.Second }, func(w *world) bool { return w.falselyLost > 0 }},
		"too many representatives":      {func(r *Parameters) { r.SilenceTimeout = clock.Second / 10 }, func(w *world) bool { return w.longestOver > 5*clock.Second }},
		"no representative":             {func(r *Parameters) { r.SiteRoleDelay = 3600 * clock.Second }, func(w *world) bool { return len(w.living(represents)) == 0 }},
		"nobody tells what has changed": {func(r *Parameters) { r.PushFanout, r.ExchangePartners = 0, 0 }, func(w *world) bool { return !w.agreed() }},
		"a change that is not known":    {func(r *Parameters) { r.PushFanout, r.ExchangePartners = 0, 0 }, func(w *world) bool { return !w.known(1) }},
	} {
		w := newWorld(t, 8, 5, 2, 6)
		x.change(&w.rules)
		w.startAll(clock.Second)
		w.run(10 * clock.Second)
		w.hold(w.nodes[3], 1)
		w.run(20 * clock.Second)
		if !x.seen(w) {
			t.Errorf("the checker does not see %s", what)
		}
	}
}
