// Package hierarchy maintains a router's view of the other sites and regions of a tiered fleet, and creates the gossip
// datagrams that disseminate it. A router knows the individual routers of its own site only. Elected representatives publish
// one versioned summary of their site to the other sites of the region, and one of their region to the other regions.
// Summaries are disseminated by push and by anti-entropy (periodic comparison of digests), so datagrams may be lost,
// duplicated and reordered, and two routers may publish the same summary concurrently: all routers converge to the summary
// with the highest version.
//
// Package internal/gossip owns a Hierarchy and calls it under its lock: Tick several times a second, Receive for each
// datagram. This package does no I/O, starts no goroutine and reads no clock: each call is given the current time of a
// monotonic clock. State and datagrams are bounded in size.
//
//   - parameters.go: sizes and timings
//   - election.go: representatives of a site and of a region
//   - publication.go: writing summaries and heartbeats
//   - table.go, summary.go: the summaries of one tier
//   - dissemination.go: push of updates, periodic exchange of digests
//   - repair.go: received datagrams, and repair of missing summaries
//   - reconnect.go: contact with routers that do not respond
//   - encode.go, decode.go: datagrams
//   - status.go: the state shown to operators
package hierarchy

import (
	"math/rand/v2"
	"net/netip"

	"spurtrestle/core/clock"
)

// Config identifies a router. It does not change while the router runs.
type Config struct {
	Fleet            string
	Region           string
	Site             string
	Name             string
	Addr             netip.AddrPort   // at which other routers reach this one
	SeedAddrs        []netip.AddrPort // of routers of other sites, for the first contact
	WallClockSeconds uint32           // Unix time at New; orders the summaries of a site whose routers all restarted
	RandomSeed       uint64           // for the selection of peers
}

// Member is a live router of the local site.
type Member struct {
	Name      string
	Addr      netip.AddrPort
	StartedAt int64 // by the member's wall clock; orders the members of a site
}

// LocalSite is the state of the local site according to its full membership.
type LocalSite struct {
	Members     []Member // live routers, including this one; Tick sorts them by age
	Counts      Counts
	Digest      uint64 // of the site's membership
	MinRevision uint64 // lowest policy revision at a live router
	MaxRevision uint64 // highest policy revision at a live router
}

// Datagram is a message to send. Its body has at most MaxDatagramSize bytes.
type Datagram struct {
	To   netip.AddrPort
	Body []byte
}

// Hierarchy is one router's view of the tiers. It is not safe for concurrent use.
type Hierarchy struct {
	parameters Parameters
	config     Config
	startedAt  clock.Time
	now        clock.Time // the latest time given to any method
	random     *rand.Rand

	localSite      LocalSite
	ranks          map[netip.AddrPort]int        // of the members of the local site
	lastReceivedAt map[netip.AddrPort]clock.Time // last datagram from each member of the local site
	role           Role
	tables         [tierCount]*table

	publications      [tierCount]publication
	dissemination     dissemination
	outgoing          []Datagram
	lastMismatchAt    clock.Time // when a digest of another router last differed
	hasComparedDigest bool       // a digest of another router was received
	droppedDatagrams  uint64     // malformed or foreign ones received, and replies over the limit
}

// New returns a Hierarchy without any summaries.
func New(now clock.Time, parameters Parameters, config Config) *Hierarchy {
	h := &Hierarchy{
		parameters:     parameters,
		config:         config,
		startedAt:      now,
		now:            now,
		random:         rand.New(rand.NewPCG(config.RandomSeed, 1)),
		ranks:          map[netip.AddrPort]int{},
		lastReceivedAt: map[netip.AddrPort]clock.Time{},
		lastMismatchAt: now,
	}
	h.tables[SiteTier] = newTable(maxSites)
	h.tables[RegionTier] = newTable(maxRegions)
	return h
}

// Tick advances the time, replaces the state of the local site and returns the datagrams to send, including the replies to
// received ones. The caller calls it several times a second.
func (h *Hierarchy) Tick(now clock.Time, localSite LocalSite) []Datagram {
	h.now, h.localSite = now, localSite
	h.electRoles()
	h.publishSummaries()
	h.expireSummaries()
	h.pushUpdates()
	h.exchangeDigests()
	h.reconnect()
	outgoing := h.outgoing
	h.outgoing = nil
	return outgoing
}

// wallClock is the Unix time in seconds, as accurate as Config.WallClockSeconds.
func (h *Hierarchy) wallClock() uint32 {
	return h.config.WallClockSeconds + uint32((h.now-h.startedAt)/clock.Second)
}

// heartbeatAge is the time since a newer heartbeat of the entry was last received or published.
func (h *Hierarchy) heartbeatAge(group *entry) clock.Duration { return h.now - group.heartbeatAt }

// expireSummaries removes the summaries without a heartbeat for Parameters.ExpireAfter.
func (h *Hierarchy) expireSummaries() {
	for _, summaries := range h.tables {
		for name, group := range summaries.entries {
			if h.heartbeatAge(group) > h.parameters.ExpireAfter {
				summaries.remove(name)
			}
		}
	}
}
