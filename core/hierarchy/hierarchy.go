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
type Parameters struct {
	RepresentativesPerSite int // of a site
	StandbysPerSite        int // ranks below the representatives that take over after silence alone
	RepresentingSites      int // sites of a region whose representatives speak for the region

	SilenceTimeout          clock.Time // after which a candidate that was not heard counts as asleep
	SiteRoleDelay           clock.Time // after a start, before the router represents its site
	RegionRoleDelay         clock.Time // the same, its region
	SitePublishInterval     clock.Time // at least, between two versions of a site's summary that a router writes
	RegionPublishInterval   clock.Time // the same, of a region's
	TakeoverDelay           clock.Time // a difference that lasts this long for each rank is published by the next in rank
	SiteHeartbeatInterval   clock.Time // between two signs of life of a site
	RegionHeartbeatInterval clock.Time // the same, of a region

	PingInterval              clock.Time // between two signs of a representative to the standbys
	PushInterval              clock.Time // at least, between two pushes
	ExchangeInterval          clock.Time // between two exchanges of digests, of each kind
	IsolatedReconnectInterval clock.Time // between two calls to addresses that do not answer, while nobody else is known
	StartupPeriod             clock.Time // after a start, for which addresses are called as often as while nobody is known, and exchanges are twice as often
	StaleReconnectInterval    clock.Time // the same, while others are known and some are missed
	IdleReconnectInterval     clock.Time // the same, while none is missed
	PushFanout                int        // routers that news is pushed to, on each kind of link
	ExchangePartners          int        // routers of an exchange, on each kind of link

	StaleAfter  clock.Time // without a sign of life, after which a summary is shown as stale
	LostAfter   clock.Time // the same, after which its routers count as gone
	ExpireAfter clock.Time // the same, after which it is dropped
	SettleAfter clock.Time // without a difference, after which this router is settled
}

// DefaultRules are those that docs/tiers-design.md gives the reasons for.
func DefaultParameters() Parameters {
	return Parameters{
		RepresentativesPerSite: 2, StandbysPerSite: 3, RepresentingSites: 2,
		SilenceTimeout: 2500e3, SiteRoleDelay: clock.Second, RegionRoleDelay: 2500e3, SitePublishInterval: clock.Second, RegionPublishInterval: 2 * clock.Second, TakeoverDelay: clock.Second, SiteHeartbeatInterval: 10 * clock.Second, RegionHeartbeatInterval: 20 * clock.Second,
		PingInterval: clock.Second, PushInterval: 200e3, ExchangeInterval: 2 * clock.Second, IsolatedReconnectInterval: clock.Second, StartupPeriod: 12 * clock.Second, StaleReconnectInterval: 5 * clock.Second, IdleReconnectInterval: 60 * clock.Second, PushFanout: 3, ExchangePartners: 2,
		StaleAfter: 60 * clock.Second, LostAfter: 180 * clock.Second, ExpireAfter: 24 * 3600 * clock.Second, SettleAfter: 2 * clock.Second,
	}
}

// Config is what a router is for all of its life.
type Config struct {
	Fleet            string
	Region           string
	Site             string
	Name             string
	Addr             netip.AddrPort   // where others reach it
	SeedAddrs        []netip.AddrPort // routers of other sites, to begin with
	WallClockSeconds uint32           // seconds since 1970 at the time of New; orders summaries of a site that began anew, nothing else
	RandomSeed       uint64           // of the choice of partners
}

// Member is a living router of the own site.
type Member struct {
	Name      string
	Addr      netip.AddrPort
	StartedAt int64 // by its wall clock; orders the routers of a site, nothing else
}

// Local is what the router knows of its own site, from its full membership.
type LocalSite struct {
	Members     []Member // that live, this router as well
	Counts      Counts
	Digest      uint64 // of the site's membership
	MinRevision uint64 // revision of the policy that a living router holds
	MaxRevision uint64 // the same
}

// Datagram is one that is to be sent. It is never longer than MaxDatagram.
type Datagram struct {
	To   netip.AddrPort
	Body []byte
}

// Hierarchy is one router's knowledge of the tiers. It is not safe for use by several goroutines at once.
type Hierarchy struct {
	rules  Parameters
	cfg    Config
	start  clock.Time
	now    clock.Time
	random *rand.Rand

	local  LocalSite
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
func New(now clock.Time, rules Parameters, cfg Config) *Hierarchy {
	h := &Hierarchy{rules: rules, cfg: cfg, start: now, now: now, random: rand.New(rand.NewPCG(cfg.RandomSeed, 1)),
		ranks: map[netip.AddrPort]int{}, silent: map[netip.AddrPort]clock.Time{}, unlike: now}
	h.tables[SiteTier] = newTable(maxSites)
	h.tables[RegionTier] = newTable(maxRegions)
	return h
}

// Step lets time pass and takes in what the site's membership is now. It returns what is to be sent. It is meant to be
// called some ten times a second.
func (h *Hierarchy) Tick(now clock.Time, local LocalSite) []Datagram {
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
func (h *Hierarchy) wall() uint32 {
	return h.cfg.WallClockSeconds + uint32((h.now-h.start)/clock.Second)
}

func (h *Hierarchy) expire() {
	for _, t := range h.tables {
		for key, e := range t.entries {
			if h.now-e.heard > h.rules.ExpireAfter {
				t.drop(key)
			}
		}
	}
}
