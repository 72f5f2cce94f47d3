package hierarchy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"spurtrestle/core/clock"
)

// A fleet in virtual time: routers of this package, a network that loses, doubles, reorders and is cut, a membership of each
// site that finds joins and deaths late, and a checker of what the routers hold.

const (
	tick      = 10e3 // microseconds
	stepEvery = 200e3
	overhead  = 20 + 8 + 2 // IPv4, UDP, and the two bytes by which memberlist and internal/gossip mark a datagram
	ring      = 1024       // ticks that a datagram may take
)

type node struct {
	site    *site
	name    string
	addr    netip.AddrPort
	index   int // within its site
	phase   clock.Time
	h       *Hierarchy // nil: dead
	since   clock.Time // alive or dead
	life    uint64
	started clock.Time
	most    uint64     // revision of the policy
	before  uint64     // the one before
	held    clock.Time // since when it has most
	skew    clock.Time // its wall clock's error
	in      int        // bytes
	out     int
	remote  []netip.AddrPort
}

type site struct {
	name, region string
	nodes        []*node
	over         clock.Time // since when it has too many representatives; 0: it has not
	none         clock.Time // since when it has none though a router lives; 0: it has
}

type flight struct {
	to   *node
	body []byte
}

type world struct {
	t      testing.TB
	rng    *rand.Rand
	rules  Parameters
	now    clock.Time
	sites  []*site
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	air    [ring][]flight

	lose, double float64
	delay        clock.Time // at most
	cut          func(from, to *node) bool
	least, most  clock.Time // until a death is found by the membership

	falselyLost   int                 // times that a router held a site or region for lost that had a living router, each clock.Second
	judged        int                 // how often that was looked at
	longestOver   clock.Time          // that a site had too many representatives
	longestNone   clock.Time          // that it had none
	longestFlight int                 // bytes of a datagram
	sent          [kindRepair + 1]int // bytes of each kind of datagram
}

// newWorld makes a fleet of dead routers. The regions have about equally many sites.
func newWorld(t testing.TB, seed uint64, sites, regions, perSite int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), rules: DefaultParameters(), byAddr: map[netip.AddrPort]*node{}, delay: 20e3,
		cut: func(_, _ *node) bool { return false }, least: 4e6, most: 7e6}
	for i := range sites {
		s := &site{name: fmt.Sprintf("site%03d", i), region: fmt.Sprintf("region%02d", i%regions)}
		for j := range perSite {
			n := &node{site: s, name: fmt.Sprintf("%s-r%02d", s.name, j), index: j, phase: clock.Time(w.rng.IntN(stepEvery/tick)) * tick}
			n.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(j + 1)}), 7946)
			s.nodes, w.nodes = append(s.nodes, n), append(w.nodes, n)
			w.byAddr[n.addr] = n
		}
		w.sites = append(w.sites, s)
	}
	for i, s := range w.sites {
		for _, n := range s.nodes { // the first router of the own region, and of the next
			n.remote = []netip.AddrPort{w.sites[i%regions].nodes[0].addr, w.sites[(i%regions+1)%regions].nodes[0].addr}
		}
	}
	return w
}

func (w *world) start(n *node) {
	n.life++
	n.since, n.started = w.now, w.now
	n.h = New(w.now, w.rules, Config{Fleet: "harvest", Region: n.site.region, Site: n.site.name, Name: n.name, Addr: n.addr, SeedAddrs: n.remote,
		WallClockSeconds: uint32(1.8e9 + float64(w.now+n.skew)/1e6), RandomSeed: w.rng.Uint64()})
}

func (w *world) kill(n *node) { n.h, n.since = nil, w.now }

// startAll starts all routers over a span.
func (w *world) startAll(span clock.Time) {
	begin := map[clock.Time][]*node{}
	for _, n := range w.nodes {
		at := clock.Time(w.rng.IntN(int(span/tick))) * tick
		begin[at] = append(begin[at], n)
	}
	for at := clock.Time(0); at < span; at += tick {
		for _, n := range begin[at] {
			w.start(n)
		}
		w.step()
	}
}

// run lets time pass.
func (w *world) run(span clock.Time) {
	for end := w.now + span; w.now < end; {
		w.step()
	}
}

func (w *world) step() {
	w.now += tick
	slot := &w.air[w.now/tick%ring]
	for _, f := range *slot {
		if f.to.h != nil {
			f.to.in += len(f.body) + overhead
			f.to.h.Receive(w.now, f.body)
		}
	}
	*slot = (*slot)[:0]
	for _, n := range w.nodes {
		if n.h != nil && w.now%stepEvery == n.phase {
			w.send(n, n.h.Tick(w.now, w.local(n)))
		}
	}
	if w.now%stepEvery == 0 {
		w.checkRoles()
	}
	if w.now%clock.Second == 0 {
		w.checkStates()
	}
}

func (w *world) send(from *node, all []Datagram) {
	for _, d := range all {
		from.out += len(d.Body) + overhead
		w.sent[d.Body[0]] += len(d.Body) + overhead
		w.longestFlight = max(w.longestFlight, len(d.Body))
		to := w.byAddr[d.To]
		if to == nil || w.cut(from, to) {
			continue
		}
		for range w.copies() {
			at := w.now + tick + clock.Time(w.rng.Int64N(int64(w.delay)))
			slot := at / tick % ring
			w.air[slot] = append(w.air[slot], flight{to, d.Body})
		}
	}
}

func (w *world) copies() int {
	switch x := w.rng.Float64(); {
	case x < w.lose:
		return 0
	case x < w.lose+w.double:
		return 2
	}
	return 1
}

// local is what a router's membership tells of its site: deaths are found late, and joins a little late, by each router at
// another time.
func (w *world) local(n *node) (l LocalSite) {
	l.Counts.Total = uint32(len(n.site.nodes))
	l.MinRevision = ^uint64(0)
	for _, m := range n.site.nodes {
		if !w.sees(n, m) {
			continue
		}
		l.Members = append(l.Members, Member{m.name, m.addr, int64(m.started + m.skew)})
		l.Counts.Alive++
		l.Counts.Accepting++
		l.Digest = mix(mix(l.Digest, uint64(m.index)), m.life)
		r := m.most
		if n != m && w.now-m.held < 500e3 { // until the site's gossip has told it
			r = m.before
		}
		l.MinRevision, l.MaxRevision = min(l.MinRevision, r), max(l.MaxRevision, r)
	}
	return l
}

func (w *world) sees(n, m *node) bool {
	if n == m {
		return true
	}
	if m.life == 0 {
		return false
	}
	chance := clock.Time(mix(mix(uint64(n.index), uint64(m.index)), m.life) % 1000)
	if m.h == nil {
		return w.now-m.since < w.least+(w.most-w.least)*chance/1000
	}
	return w.now-m.since > 100e3+500*chance
}

// checkRoles judges who represents the sites.
func (w *world) checkRoles() {
	for _, s := range w.sites {
		representatives, living := 0, 0
		for _, n := range s.nodes {
			if n.h == nil {
				continue
			}
			if w.now-n.since > w.rules.SiteRoleDelay+clock.Second {
				living++
			}
			if n.h.Role().RepresentsSite {
				representatives++
			}
		}
		w.longestOver = max(w.longestOver, w.lasts(&s.over, representatives > w.rules.RepresentativesPerSite))
		w.longestNone = max(w.longestNone, w.lasts(&s.none, representatives == 0 && living > 0))
	}
}

// checkStates judges what the routers hold for lost.
func (w *world) checkStates() {
	lives := map[string]bool{}
	for _, n := range w.living(func(n *node) bool { return w.now-n.since > 10*clock.Second }) {
		lives[n.site.name], lives[n.site.region] = true, true
	}
	for _, n := range w.living(func(n *node) bool { return w.now-n.since > 10*clock.Second }) {
		for _, t := range n.h.tables {
			for _, e := range t.entries {
				w.judged++
				if lives[e.Name] && n.h.state(e) == Lost {
					w.falselyLost++
				}
			}
		}
	}
}

// lasts is for how long something has been so.
func (w *world) lasts(since *clock.Time, so bool) clock.Time {
	if !so {
		*since = 0
		return 0
	}
	if *since == 0 {
		*since = w.now
	}
	return w.now - *since
}

// until is the time that passes until something is so; it fails after a limit.
func (w *world) until(what string, limit clock.Time, so func() bool) clock.Time {
	w.t.Helper()
	began := w.now
	for !so() {
		if w.now-began >= limit {
			w.t.Errorf("after %d s not %s: %s", limit/clock.Second, what, w.odd())
			return w.now - began
		}
		w.run(stepEvery)
	}
	return w.now - began
}

// agreed tells whether all living routers hold the same: of the regions in the fleet, of the sites in each region.
func (w *world) agreed() bool { return w.odd() == "" }

// odd tells of one that does not.
func (w *world) odd() string {
	var regions uint64
	var first *node
	sites := map[string]uint64{}
	for _, n := range w.nodes {
		if n.h == nil {
			continue
		}
		s, r := n.h.Digests()
		if first == nil {
			first, regions = n, r
		}
		if was, known := sites[n.site.region]; known && was != s {
			return fmt.Sprintf("%s differs on the sites of its region", n.name)
		}
		sites[n.site.region] = s
		if r != regions {
			return fmt.Sprintf("%s and %s differ on the regions", n.name, first.name)
		}
	}
	return w.wrong(first)
}

// wrong tells what one router holds for so that is not.
func (w *world) wrong(first *node) string {
	alive := map[string]uint32{}
	for _, n := range w.nodes {
		if n.h != nil {
			alive[n.site.region]++
		}
	}
	if first == nil {
		return "no router lives"
	}
	for region, n := range alive {
		e := first.h.tables[RegionTier].entries[keyOf(region)]
		if e == nil || e.Counts.Alive != n {
			return fmt.Sprintf("%s does not know of %d alive in %s: %+v", first.name, n, region, e)
		}
	}
	return ""
}

// settled tells whether all agree and say so.
func (w *world) settled() bool {
	for _, n := range w.nodes {
		if n.h != nil && !n.h.Settled(w.now) {
			return false
		}
	}
	return w.agreed()
}

// living are those that serve; of a kind, where that is asked.
func (w *world) living(ok func(*node) bool) (all []*node) {
	for _, n := range w.nodes {
		if n.h != nil && ok(n) {
			all = append(all, n)
		}
	}
	return all
}

// hold has a router hold a revision.
func (w *world) hold(n *node, revision uint64) { n.before, n.most, n.held = n.most, revision, w.now }

func ordinary(n *node) bool { return !n.h.Role().RepresentsSite && n.h.Role().Rank >= 0 }

func represents(n *node) bool { return n.h.Role().RepresentsSite }

func (w *world) pick(all []*node) *node { return all[w.rng.IntN(len(all))] }

// known tells whether all living routers that have been there for a while know of a revision.
func (w *world) known(revision uint64) bool {
	for _, n := range w.nodes {
		if n.h != nil && w.now-n.since > 5*clock.Second && n.h.NewestRevision() < revision {
			return false
		}
	}
	return true
}

// oldest is the greatest age of a summary at any router.
func (w *world) oldest() (most clock.Time) {
	for _, n := range w.living(func(*node) bool { return true }) {
		for _, t := range n.h.tables {
			for _, e := range t.entries {
				most = max(most, w.now-e.heard)
			}
		}
	}
	return most
}

// rates logs bytes a second since the last call, in and out together, by role, and returns the most.
func (w *world) rates(span clock.Time) (most float64) {
	for role, ok := range map[string]func(*node) bool{"router": ordinary, "site's representative": forSite, "region's representative": forRegion} {
		sum, top, all := 0.0, 0.0, w.living(ok)
		for _, n := range all {
			rate := float64(n.in+n.out) * 1e6 / float64(span)
			sum, top = sum+rate, max(top, rate)
		}
		most = max(most, top)
		w.t.Logf("%d of %s: %.0f B/s, %.0f at most", len(all), role, sum/float64(max(1, len(all))), top)
	}
	w.t.Logf("bytes a clock.Second sent by a router, by kind: %v", w.mix(span))
	w.forget()
	return most
}

func forSite(n *node) bool { return n.h.Role().RepresentsSite && !n.h.Role().RepresentsRegion }

func forRegion(n *node) bool { return n.h.Role().RepresentsRegion }

// mix is what a router sends a second of each kind, on average.
func (w *world) mix(span clock.Time) (all []int) {
	for _, n := range w.sent {
		all = append(all, int(float64(n)*1e6/float64(span)/float64(len(w.nodes))))
	}
	return all
}

func (w *world) forget() {
	for _, n := range w.nodes {
		n.in, n.out = 0, 0
	}
	w.sent = [kindRepair + 1]int{}
}
