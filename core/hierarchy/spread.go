package hierarchy

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"spurtrestle/core/clock"
)

// link is a kind of way from router to router.
type link uint8

const (
	withinSite link = iota // any two routers of a site
	withinArea             // representatives of the sites of a region
	between                // representatives of regions
	links
)

// tiersOn are the tables that are exchanged on a link.
func tiersOn(l link) []Tier {
	if l == between {
		return []Tier{RegionTier}
	}
	return []Tier{SiteTier, RegionTier}
}

const (
	mostAnswers  = 32 // datagrams that wait for a step
	mostRepair   = 3  // datagrams of summaries that answer one digest
	mostRelayed  = 8  // summaries of a repair that an ordinary router passes on as news; one that is new has to be told all
	everyBeat    = 10 // exchanges, one of which carries all signs of life to one partner
	digestCalm   = clock.Second
	digestMoving = 2 * clock.Second // between two digests while the table changes anyway
)

// ids names entries of the tables.
type ids [tiers]map[key]bool

func (x *ids) add(t Tier, k key) {
	if x[t] == nil {
		x[t] = map[key]bool{}
	}
	x[t][k] = true
}

func (x *ids) empty() bool { return len(x[SiteTier]) == 0 && len(x[RegionTier]) == 0 }

// spread is the state of telling others.
type spread struct {
	summaries ids        // that are news, and not pushed yet
	beats     [links]ids // signs of life that are not passed on yet
	urgent    bool       // one of them tells of a policy that is newer than any known
	pushed    clock.Time
	pinged    clock.Time
	exchanged [links]clock.Time
	turns     [links]int
	digested  [tiers]clock.Time
	changed   [tiers]clock.Time // the table
	call      clock.Time        // when to call next
	nextCall  int
}

func (h *Hierarchy) news(t Tier, k key) {
	h.spread.summaries.add(t, k)
	h.spread.changed[t] = h.now
}

// newsBeat has a sign of life passed on with the next exchange, or pushed at once if it is urgent.
func (h *Hierarchy) newsBeat(t Tier, k key, urgent bool) {
	for l := range links {
		if h.active(l) {
			h.spread.beats[l].add(t, k)
		}
	}
	h.spread.urgent = h.spread.urgent || urgent
}

// begin has the next exchange on a link be at once, and whole.
func (s *spread) begin(l link) { s.exchanged[l], s.turns[l] = 0, -1 }

// active tells whether this router uses a link.
func (h *Hierarchy) active(l link) bool {
	return l == withinSite || l == withinArea && h.role.RepresentsSite || l == between && h.role.RepresentsRegion
}

// partners draws up to n routers at the other end of a link.
func (h *Hierarchy) partners(l link, n int) (all []netip.AddrPort) {
	if l == withinSite {
		for _, m := range h.local.Members {
			if m.Addr != h.cfg.Addr {
				all = append(all, m.Addr)
			}
		}
		h.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:min(n, len(all))]
	}
	tier, own := SiteTier, h.cfg.Site
	if l == between {
		tier, own = RegionTier, h.cfg.Region
	}
	others, begin := h.shuffled(tier), h.random.IntN(maxRepresentatives)
	for turn := range maxRepresentatives { // a clock.Second of the same only where there are fewer than n others
		for _, e := range others {
			if len(all) == n {
				return all
			}
			if e.Name != own && turn < len(e.Representatives) && h.now-e.heard <= h.rules.LostAfter {
				all = append(all, e.Representatives[(begin+turn)%len(e.Representatives)])
			}
		}
	}
	return all
}

func (h *Hierarchy) shuffled(tier Tier) []*entry {
	all := h.tables[tier].byName()
	h.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// push tells some partners on each link what is news, at once.
func (h *Hierarchy) push() {
	s := &h.spread
	if s.summaries.empty() && !s.urgent || h.now-s.pushed < h.rules.PushInterval {
		return
	}
	for l := range links {
		if !h.active(l) {
			continue
		}
		to := h.partners(l, h.rules.PushFanout)
		if l == withinSite {
			to = h.ring(h.rules.PushFanout)
		}
		h.sendAll(to, h.newsOn(l))
	}
	s.summaries, s.urgent, s.pushed = ids{}, false, h.now
}

func (h *Hierarchy) sendAll(to []netip.AddrPort, bodies [][]byte) {
	for _, addr := range to {
		for _, body := range bodies {
			h.out = append(h.out, Datagram{addr, body})
		}
	}
}

// ring are up to n mates at distances 1, k, k squared ... in the order of ranks, where k to the power of n is the number of routers.
// Where each passes news on to them, each hears it from n others, in some hops of each distance: none is left out by chance, as
// some are of any large number of routers that draw whom they tell.
func (h *Hierarchy) ring(n int) (all []netip.AddrPort) {
	members := h.local.Members
	own, there := h.ranks[h.cfg.Addr]
	if !there || n == 0 {
		return nil
	}
	distances := []int{}
	for i := range n {
		d := int(math.Round(math.Pow(float64(len(members)), float64(i)/float64(n))))
		for slices.Contains(distances, d) {
			d++
		}
		if d < len(members) {
			distances = append(distances, d)
			all = append(all, members[(own+d)%len(members)].Addr)
		}
	}
	return all
}

func (h *Hierarchy) newsOn(l link) (bodies [][]byte) {
	var records [][]byte
	for _, tier := range tiersOn(l) {
		records = append(records, h.records(tier, h.spread.summaries[tier])...)
	}
	bodies = h.packed(kindNews, records)
	if h.spread.urgent {
		bodies = append(bodies, h.hello(l, h.spread.beats[l]))
		h.spread.beats[l] = ids{}
	}
	return bodies
}

func (h *Hierarchy) records(tier Tier, which map[key]bool) (all [][]byte) {
	for _, k := range h.tables[tier].keys() {
		if which[k] {
			all = append(all, appendRecord(nil, tier, h.tables[tier].entries[k]))
		}
	}
	return all
}

// exchange tells partners on each link the digests of the tables and the signs of life that rose.
func (h *Hierarchy) exchange() {
	h.ping()
	s := &h.spread
	for l := range links {
		if !h.active(l) || h.now-s.exchanged[l] < h.exchangeEvery() {
			continue
		}
		s.exchanged[l] = h.now
		s.turns[l]++
		for i, to := range h.partners(l, h.rules.ExchangePartners) {
			which := s.beats[l]
			if i == 0 && s.turns[l]%everyBeat == 0 {
				which = h.everything()
			}
			h.out = append(h.out, Datagram{to, h.hello(l, which)})
		}
		s.beats[l] = ids{}
	}
}

func (h *Hierarchy) exchangeEvery() clock.Time {
	if h.now-h.start < h.rules.StartupPeriod {
		return h.rules.ExchangeInterval / 2
	}
	return h.rules.ExchangeInterval
}

// ping tells the standbys and the other representatives of the site that this one is awake.
func (h *Hierarchy) ping() {
	if !h.role.RepresentsSite || h.now-h.spread.pinged < h.rules.PingInterval {
		return
	}
	h.spread.pinged = h.now
	for _, m := range h.local.Members[:min(len(h.local.Members), h.candidates())] {
		if m.Addr != h.cfg.Addr {
			h.out = append(h.out, Datagram{m.Addr, h.header(kindPing)})
		}
	}
}

func (h *Hierarchy) everything() (all ids) {
	for tier := range tiers {
		for _, k := range h.tables[tier].keys() {
			all.add(tier, k)
		}
	}
	return all
}

// call tries addresses from which nothing is heard: those to begin with, and the last known of stale summaries. It is the way
// back from a cut, however long that was.
func (h *Hierarchy) call() {
	s := &h.spread
	if !h.role.RepresentsSite || h.now < s.call {
		return
	}
	every := h.callEvery()
	s.call = h.now + every - clock.Time(h.random.Int64N(int64(every/2))) // a fleet that began at once does not call at once
	all := h.strangers()
	if len(all) == 0 {
		return
	}
	h.introduce(all[s.nextCall%len(all)])
	s.nextCall++
}

func (h *Hierarchy) callEvery() clock.Time {
	switch {
	case h.alone() || h.now-h.start < h.rules.StartupPeriod:
		return h.rules.IsolatedReconnectInterval
	case h.missing():
		return h.rules.StaleReconnectInterval
	}
	return h.rules.IdleReconnectInterval
}

// introduce tells a router that may know nothing of this one: the own summaries, and the digests of the tables.
func (h *Hierarchy) introduce(to netip.AddrPort) {
	records := h.records(SiteTier, map[key]bool{keyOf(h.cfg.Site): true})
	records = append(records, h.records(RegionTier, map[key]bool{keyOf(h.cfg.Region): true})...)
	h.answer(to, h.packed(kindNews, records), 1)
	h.answer(to, [][]byte{h.hello(withinArea, ids{})}, 1)
}

// alone tells whether this router should know of others in a tier, and has heard of none lately.
func (h *Hierarchy) alone() bool {
	for tier, own := range []string{h.cfg.Site, h.cfg.Region} {
		if Tier(tier) == RegionTier && !h.role.RepresentsRegion {
			continue
		}
		others := false
		for _, e := range h.tables[tier].entries {
			others = others || e.Name != own && h.now-e.heard <= h.rules.StaleAfter
		}
		if !others {
			return true
		}
	}
	return false
}

// missing tells whether a summary that this router exchanges is stale.
func (h *Hierarchy) missing() bool {
	for tier := range tiers {
		for _, e := range h.tables[tier].entries {
			if h.now-e.heard > h.rules.StaleAfter && (tier == SiteTier || h.role.RepresentsRegion) {
				return true
			}
		}
	}
	return false
}

func (h *Hierarchy) strangers() (all []netip.AddrPort) {
	all = append(all, h.cfg.SeedAddrs...)
	for tier := range tiers {
		if tier == RegionTier && !h.role.RepresentsRegion {
			continue
		}
		for _, e := range h.tables[tier].entries {
			if h.now-e.heard > h.rules.StaleAfter {
				all = append(all, e.Representatives...)
			}
		}
	}
	return h.others(all)
}

// Take takes a datagram in. What it is answered with goes out with the next step.
func (h *Hierarchy) Receive(now clock.Time, body []byte) {
	m, err := decode(body)
	if err != nil || m.fleet != keyOf(h.cfg.Fleet) {
		h.dropped++
		return
	}
	h.now = max(h.now, now)
	if _, mate := h.ranks[m.from]; mate {
		h.silent[m.from] = h.now
	}
	near := m.region == keyOf(h.cfg.Region)
	switch m.kind {
	case kindHello:
		h.takeBeats(m, near)
		h.compare(m, near)
	case kindDigest:
		if near || m.tier == RegionTier {
			h.repair(m)
		}
	case kindWant:
		h.answer(m.from, h.packed(kindRepair, h.records(m.tier, m.wanted())), mostRepair)
	case kindNews, kindRepair:
		h.takeRecords(m, near)
	}
}

func (h *Hierarchy) takeBeats(m message, near bool) {
	for tier := range tiers {
		if tier == SiteTier && !near {
			continue
		}
		t := h.tables[tier]
		for _, b := range m.beats[tier] {
			newest := h.told()
			if !t.beat(h.now, b.key, b.Heartbeat) {
				continue
			}
			h.newsBeat(tier, b.key, b.MaxRevision > newest)
		}
	}
}

// compare answers digests that are not this router's own with all versions held.
func (h *Hierarchy) compare(m message, near bool) {
	h.compared = true
	for tier := range tiers {
		if tier == SiteTier && !near || m.sums[tier] == h.tables[tier].sum() {
			continue
		}
		h.unlike = h.now
		if span := h.now - h.spread.digested[tier]; span < digestCalm || span < digestMoving && h.now-h.spread.changed[tier] < digestCalm {
			continue
		}
		h.spread.digested[tier] = h.now
		h.answer(m.from, h.digests(tier), mostRepair)
	}
}

// repair answers a digest: with the summaries that the other lacks, and by asking for those that this one lacks.
func (h *Hierarchy) repair(m message) {
	t := h.tables[m.tier]
	theirs, lacks, wants := map[key]Version{}, map[key]bool{}, []key(nil)
	for _, v := range m.versions {
		theirs[v.key] = v.Version
		if e := t.entries[v.key]; e == nil || e.Version < v.Version {
			wants = append(wants, v.key)
		}
	}
	for k, e := range t.entries {
		if k >= m.first && k <= m.last && theirs[k] < e.Version {
			lacks[k] = true
		}
	}
	h.answer(m.from, h.packed(kindRepair, h.records(m.tier, lacks)), mostRepair)
	if len(wants) > 0 {
		h.answer(m.from, [][]byte{h.want(m.tier, wants)}, 1)
	}
}

func (h *Hierarchy) takeRecords(m message, near bool) {
	relay := m.kind == kindNews || len(m.records) <= mostRelayed || h.role.RepresentsSite
	for _, r := range m.records {
		if r.tier == SiteTier && !near || h.outdated(r.Heartbeat) {
			continue
		}
		if r.tier == RegionTier && r.Name == h.cfg.Region {
			h.greet(r.Representatives)
		}
		k := keyOf(r.Name)
		if !h.tables[r.tier].merge(h.now, r.Summary, r.Heartbeat) {
			continue
		}
		h.spread.changed[r.tier] = h.now
		if relay {
			h.news(r.tier, k)
		}
	}
}

// greet calls those who speak for the own region and whose sites this router does not know: two sites of a region may have
// nothing to begin with but the addresses of a third elsewhere.
func (h *Hierarchy) greet(representatives []netip.AddrPort) {
	if !h.role.RepresentsSite {
		return
	}
	known := map[netip.AddrPort]bool{}
	for _, e := range h.tables[SiteTier].entries {
		for _, addr := range e.Representatives {
			known[addr] = true
		}
	}
	for _, addr := range representatives {
		if _, mate := h.ranks[addr]; !mate && !known[addr] {
			h.introduce(addr)
		}
	}
}

// outdated tells whether a summary is so old that it would be dropped: one that is dropped here is still held elsewhere.
func (h *Hierarchy) outdated(b Heartbeat) bool {
	forget := int64(h.rules.ExpireAfter / clock.Second)
	return int64(h.wall())-int64(b.Sequence) > forget
}

func (h *Hierarchy) answer(to netip.AddrPort, bodies [][]byte, most int) {
	for i, body := range bodies {
		if i >= most || len(h.out) >= mostAnswers {
			h.dropped++
			return
		}
		h.out = append(h.out, Datagram{to, body})
	}
}

// Known are representatives of other sites, for a file that a restart reads: those of the region's sites and of the regions, as many as
// there is room for.
func (h *Hierarchy) KnownRepresentatives() (all []netip.AddrPort) {
	const most = 64
	for tier := range tiers {
		for _, e := range h.tables[tier].byName() {
			all = append(all, e.Representatives...)
		}
	}
	all = h.others(all)
	h.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(most, len(all))]
}

// others are addresses that are none of the own site's, in order.
func (h *Hierarchy) others(all []netip.AddrPort) []netip.AddrPort {
	all = slices.DeleteFunc(all, func(a netip.AddrPort) bool {
		_, mate := h.ranks[a]
		return mate || a == h.cfg.Addr
	})
	return sortAddresses(all)
}

// sortAddresses brings addresses into an order that does not depend on a map's.
func sortAddresses(all []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(all, func(a, b netip.AddrPort) int {
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
	})
	return slices.Compact(all)
}
