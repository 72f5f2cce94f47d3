package gossip

import (
	"encoding/binary"
	"errors"
	"hash/crc64"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/clock"
	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// What a tiered fleet has beside the view of the own site (package hierarchy). Without cfg.Tiered, p.tiers is nil and nothing
// here does anything.

// In a site of some twenty routers whole states every ten probes were five sixths of the traffic at rest, and heartbeats as
// JSON half of the rest. What whole states repair is found sooner by the digests of heartbeats: see whomToAsk and atOdds.
const (
	stateEveryProbes = 300 // between two exchanges of whole states
	oddsProbes       = 5   // that two views differ before one asks the other for its whole state, and between two askings
	mostAsked        = 3   // mates, for their heartbeats at once

	// Copies of a heartbeat that each router passes on, for each power of ten of routers. Who misses it asks for it.
	tieredTransmits = 2

	tieredSteps = 200 * time.Millisecond
	lookEvery   = clock.Time(time.Second / time.Microsecond) // between two looks at a site whose view's digest stays
)

// beginTiers is called before the router listens.
func (p *Node) beginTiers(process uint64) error {
	if !p.cfg.Tiered {
		return nil
	}
	if p.cfg.Region == "" || p.cfg.Site == "" {
		return p.cfg.ConfigError("fleet.region", "is empty, or the site is", "name the region of the site, and the site")
	}
	c := hierarchy.Config{Fleet: p.cfg.Fleet, Region: p.cfg.Region, Site: p.cfg.Site, Name: p.cfg.Name, Addr: p.cfg.Advertise,
		WallClockSeconds: uint32(p.start.Unix()), RandomSeed: process}
	for _, text := range p.cfg.Remote {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return p.cfg.ConfigError("fleet.remote", err.Error(), `write addresses and ports as "10.1.2.3:7946"`)
		}
		c.SeedAddrs = append(c.SeedAddrs, addr)
	}
	p.tiers = hierarchy.New(clock.Time(p.micros()), hierarchy.DefaultParameters(), c)
	return nil
}

// knownRemote are the representatives of other sites, for the file of peers. p.mu is held.
func (p *Node) knownRemote() (all []string) {
	if p.tiers == nil {
		return nil
	}
	for _, addr := range p.tiers.KnownRepresentatives() {
		all = append(all, addr.String())
	}
	return all
}

// tune has the library send less than its defaults, within a site.
func (p *Node) tune(c *memberlist.Config) {
	if p.cfg.Tiered {
		c.PushPullInterval = stateEveryProbes * p.cfg.ProbeInterval
	}
}

// between is the span between two steps.
func (p *Node) between() time.Duration {
	if p.cfg.Tiered {
		return min(p.cfg.ProbeInterval/5, tieredSteps)
	}
	return min(p.cfg.ProbeInterval/5, 100*time.Millisecond)
}

func (p *Node) transmits(c *memberlist.Config) int {
	if p.cfg.Tiered {
		return tieredTransmits
	}
	return c.RetransmitMult
}

// whomToAsk are some mates whose last heartbeat tells of another view than this one's, for a probe by now: a heartbeat that is
// passed on a few times is missed by a few. In a large fleet some router misses one at each change. p.mu is held.
func (p *Node) whomToAsk(now clock.Time) (nodes []*memberlist.Node) {
	if !p.cfg.Tiered {
		return nil
	}
	if _, settled := p.view.Digest(); settled {
		p.asks = now
	}
	if now-p.asks < clock.Time(p.cfg.ProbeInterval/time.Microsecond) {
		return nil
	}
	p.asks = now
	names := p.view.Disagreeing()
	for _, m := range p.view.AliveMembers() {
		if node := p.nodes[m.Incarnation]; node != nil && len(nodes) < mostAsked && slices.Contains(names, m.Name) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (p *Node) ask(nodes []*memberlist.Node) {
	body := binary.BigEndian.AppendUint64([]byte{kindAsk}, uint64(p.me.Incarnation))
	for _, node := range nodes {
		_ = p.list.SendBestEffort(node, body) // asked again
	}
}

// asked answers a mate with this router's heartbeat.
func (p *Node) asked(b []byte) {
	if !p.cfg.Tiered || len(b) != 8 {
		return
	}
	p.mu.Lock()
	node, list, body := p.nodes[membership.Incarnation(binary.BigEndian.Uint64(b))], p.list, p.encode(p.view.Heartbeat())
	p.mu.Unlock()
	if node != nil && list != nil {
		_ = list.SendBestEffort(node, body) // asked again
	}
}

// atOdds is a mate whose view has differed from this one's for a while, to be asked for its whole state. p.mu is held.
func (p *Node) atOdds(now clock.Time) (addr string, call bool) {
	if !p.cfg.Tiered {
		return "", false
	}
	span := oddsProbes * clock.Time(p.cfg.ProbeInterval/time.Microsecond)
	if _, settled := p.view.Digest(); settled {
		p.odds = now
	}
	if now-p.odds < span {
		return "", false
	}
	p.odds = now
	names := p.view.Disagreeing()
	if len(names) == 0 {
		return "", false
	}
	name := names[int(now/span)%len(names)]
	for _, m := range p.view.AliveMembers() {
		if m.Name == name {
			return m.Addr, true
		}
	}
	return "", false
}

// pool names those that share full membership. No fleet's name has a slash, so that flat routers and tiered ones, and those
// of other sites, refuse each other by it; routers of earlier builds do as well.
func pool(cfg fleet.Config) string {
	if !cfg.Tiered {
		return cfg.Fleet
	}
	return cfg.Fleet + "/" + cfg.Region + "/" + cfg.Site
}

// stepTiers lets time pass for the tiers. p.mu is held.
func (p *Node) stepTiers(now clock.Time) []hierarchy.Datagram {
	if p.tiers == nil {
		return nil
	}
	if digest, _ := p.view.Digest(); digest != p.seen || now-p.looked >= lookEvery {
		p.seen, p.looked, p.site = digest, now, p.local(now)
	}
	return p.tiers.Tick(clock.Time(now), p.site)
}

// local is what the tiers are told of the site. p.mu is held.
func (p *Node) local(now clock.Time) (l hierarchy.LocalSite) {
	for _, s := range p.view.Snapshot(now).Sites {
		l.Counts.Alive += uint32(s.Alive)
		l.Counts.Accepting += uint32(s.Accepting)
		l.Counts.Total += uint32(s.Known)
	}
	revisions := map[membership.Incarnation]uint64{}
	for _, w := range p.view.Heartbeats() {
		revisions[w.Incarnation] = w.PolicyRevision
	}
	var text []byte
	for i, m := range p.view.AliveMembers() {
		text = binary.BigEndian.AppendUint64(append(append(text, m.Name...), 0), uint64(m.Incarnation))
		if r := revisions[m.Incarnation]; i == 0 {
			l.MinRevision, l.MaxRevision = r, r
		} else {
			l.MinRevision, l.MaxRevision = min(l.MinRevision, r), max(l.MaxRevision, r)
		}
		if addr, err := netip.ParseAddrPort(m.Addr); err == nil {
			l.Members = append(l.Members, hierarchy.Member{Name: string(m.Name), Addr: addr, StartedAt: m.StartedAt})
		}
	}
	l.Digest = crc64.Checksum(text, crcTable)
	return l
}

var crcTable = crc64.MakeTable(crc64.ECMA)

func (p *Node) sendTiers(all []hierarchy.Datagram) {
	for _, d := range all {
		to := memberlist.Address{Addr: d.To.String()}
		_ = p.list.SendToAddress(to, append([]byte{kindTiers}, d.Body...)) // lost ones are made good
	}
}

func (p *Node) takeTiers(body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tiers != nil {
		p.tiers.Receive(clock.Time(p.micros()), body)
	}
}

var errFlat = errors.New("this router is of no tiered fleet; set fleet.tiered")

// Tiers is what this router knows of sites and regions. An error: the fleet is flat.
func (p *Node) HierarchyStatus() (hierarchy.Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tiers == nil {
		return hierarchy.Status{}, errFlat
	}
	return p.tiers.Status(clock.Time(p.micros())), nil
}

// Role is what this router represents in a tiered fleet; nothing in a flat one.
func (p *Node) HierarchyRole() hierarchy.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tiers == nil {
		return hierarchy.Role{Rank: -1}
	}
	return p.tiers.Role()
}

// Settled tells whether the view of the site is settled and, in a tiered fleet, the tiers are.
func (p *Node) Settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, settled := p.view.Digest()
	if p.tiers == nil {
		return settled
	}
	return settled && p.tiers.Settled(clock.Time(p.micros()))
}

// TierDigests are over the summaries held of sites and of regions; zero in a flat fleet. All routers of a region that know
// the same have the same first, all of the fleet the same second.
func (p *Node) HierarchyDigests() (sites, regions uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tiers == nil {
		return 0, 0
	}
	return p.tiers.Digests()
}

// NewestRevision is the highest revision of the policy that is told of, by this site's routers or any summary.
func (p *Node) NewestRevision() (newest uint64) {
	p.words(func(_ membership.Member, w membership.Heartbeat) { newest = max(newest, w.PolicyRevision) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tiers != nil {
		newest = max(newest, p.tiers.NewestRevision())
	}
	return newest
}

// whole is the view with the tiers, as people are shown them.
type whole struct {
	membership.Snapshot
	Tiers *hierarchy.Status `json:"tiers,omitempty"`
}

// whole is as of now. p.mu is held.
func (p *Node) whole() whole {
	w := whole{Snapshot: p.view.Snapshot(p.micros())}
	if p.tiers != nil {
		s := p.tiers.Status(clock.Time(p.micros()))
		w.Tiers = &s
	}
	return w
}

// fieldsOf are those of the operator's file by which two pools differ.
func fieldsOf(theirs, own string) string {
	if !strings.Contains(theirs+own, "/") {
		return "fleet.name or fleet.join"
	}
	if !strings.Contains(theirs, "/") || !strings.Contains(own, "/") {
		return "fleet.tiered"
	}
	return "fleet.name, fleet.region, fleet.site or fleet.join"
}
