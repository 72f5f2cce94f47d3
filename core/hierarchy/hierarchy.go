// Package hierarchy decides what a router of a tiered fleet knows of the other sites and regions, and what it sends to whom
// for that. Full membership ends at the site; each site is known to the others of its region by one summary, and each region
// to the other regions by one. Summaries carry versions, so that they may be lost, doubled, reordered and written by two
// routers at once, and all routers still come to hold the same.
//
// The package does no I/O and knows no clock: the time is an argument, in microseconds of a clock that never goes back. It
// holds no goroutines and no globals. All state and all datagrams are bounded.
//
// The files: table.go holds the summaries of one tier; role.go decides who represents a site and a region; publish.go writes
// summaries; spread.go chooses who is told what, and when; wire.go is the encoding; status.go is what people are shown.
package hierarchy

import (
	"math/rand/v2"
	"net/netip"

	"spurtrestle/core/clock"
)

// Rules are the bounds and spans of a hierarchy.
type Rules struct {
	Representatives int // of a site
	Standbys        int // ranks below the representatives that take over after silence alone
	SitesInFront    int // sites of a region whose representatives speak for the region

	Silence     clock.Time // after which a candidate that was not heard counts as asleep
	Listen      clock.Time // after a start, before the router represents its site
	ListenArea  clock.Time // the same, its region
	PublishSite clock.Time // at least, between two versions of a site's summary that a router writes
	PublishArea clock.Time // the same, of a region's
	TakeOver    clock.Time // a difference that lasts this long for each rank is published by the next in rank
	BeatSite    clock.Time // between two signs of life of a site
	BeatArea    clock.Time // the same, of a region

	Ping      clock.Time // between two signs of a representative to the standbys
	Push      clock.Time // at least, between two pushes
	Exchange  clock.Time // between two exchanges of digests, of each kind
	Call      clock.Time // between two calls to addresses that do not answer, while nobody else is known
	CallFirst clock.Time // after a start, for which addresses are called as often as while nobody is known, and exchanges are twice as often
	CallLost  clock.Time // the same, while others are known and some are missed
	CallCalm  clock.Time // the same, while none is missed
	Fanout    int        // routers that news is pushed to, on each kind of link
	Partners  int        // routers of an exchange, on each kind of link

	Stale  clock.Time // without a sign of life, after which a summary is shown as stale
	Lost   clock.Time // the same, after which its routers count as gone
	Forget clock.Time // the same, after which it is dropped
	Calm   clock.Time // without a difference, after which this router is settled
}

// DefaultRules are those that docs/tiers-design.md gives the reasons for.
func DefaultRules() Rules {
	return Rules{
		Representatives: 2, Standbys: 3, SitesInFront: 2,
		Silence: 2500e3, Listen: clock.Second, ListenArea: 2500e3, PublishSite: clock.Second, PublishArea: 2 * clock.Second, TakeOver: clock.Second, BeatSite: 10 * clock.Second, BeatArea: 20 * clock.Second,
		Ping: clock.Second, Push: 200e3, Exchange: 2 * clock.Second, Call: clock.Second, CallFirst: 12 * clock.Second, CallLost: 5 * clock.Second, CallCalm: 60 * clock.Second, Fanout: 3, Partners: 2,
		Stale: 60 * clock.Second, Lost: 180 * clock.Second, Forget: 24 * 3600 * clock.Second, Calm: 2 * clock.Second,
	}
}

// Config is what a router is for all of its life.
type Config struct {
	Fleet  string
	Region string
	Site   string
	Name   string
	Addr   netip.AddrPort   // where others reach it
	Remote []netip.AddrPort // routers of other sites, to begin with
	Wall   uint32           // seconds since 1970 at the time of New; orders summaries of a site that began anew, nothing else
	Seed   uint64           // of the choice of partners
}

// Member is a living router of the own site.
type Member struct {
	Name    string
	Addr    netip.AddrPort
	Started int64 // by its wall clock; orders the routers of a site, nothing else
}

// Local is what the router knows of its own site, from its full membership.
type Local struct {
	Members []Member // that live, this router as well
	Counts  Counts
	Digest  uint64 // of the site's membership
	Least   uint64 // revision of the policy that a living router holds
	Most    uint64 // the same
}

// Datagram is one that is to be sent. It is never longer than MaxDatagram.
type Datagram struct {
	To   netip.AddrPort
	Body []byte
}

// Hierarchy is one router's knowledge of the tiers. It is not safe for use by several goroutines at once.
type Hierarchy struct {
	rules  Rules
	cfg    Config
	start  clock.Time
	now    clock.Time
	random *rand.Rand

	local  Local
	ranks  map[netip.AddrPort]int // of the site's living routers
	silent map[netip.AddrPort]clock.Time
	role   Role
	tables [tiers]*table

	published [tiers]publication
	spread    spread
	out       []Datagram
	unlike    clock.Time // when another router was last found to hold something else
	compared  bool       // with another router
	dropped   uint64     // datagrams that were not understood, or not answered since too many were
}

// New begins with nothing known.
func New(now clock.Time, rules Rules, cfg Config) *Hierarchy {
	h := &Hierarchy{rules: rules, cfg: cfg, start: now, now: now, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		ranks: map[netip.AddrPort]int{}, silent: map[netip.AddrPort]clock.Time{}, unlike: now}
	h.tables[Sites] = newTable(maxSites)
	h.tables[Regions] = newTable(maxRegions)
	return h
}

// Step lets time pass and takes in what the site's membership is now. It returns what is to be sent. It is meant to be
// called some ten times a second.
func (h *Hierarchy) Step(now clock.Time, local Local) []Datagram {
	h.now, h.local = now, local
	h.assume()
	h.publish()
	h.expire()
	h.push()
	h.exchange()
	h.call()
	out := h.out
	h.out = nil
	return out
}

// wall is about the time in seconds since 1970, as far as the start's was right.
func (h *Hierarchy) wall() uint32 { return h.cfg.Wall + uint32((h.now-h.start)/clock.Second) }

func (h *Hierarchy) expire() {
	for _, t := range h.tables {
		for key, e := range t.entries {
			if h.now-e.heard > h.rules.Forget {
				t.drop(key)
			}
		}
	}
}
