package hierarchy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"spurtrestle/core/clock"
)

// A simulated fleet in virtual time: routers of this package; a network that loses, duplicates and reorders datagrams and can
// be partitioned; a membership of each site that detects joins and failures late; and a checker of the routers' state.

const (
	tickInterval     = 10 * clock.Millisecond  // of the simulation
	stepInterval     = 200 * clock.Millisecond // between two calls of Tick
	defaultMaxDelay  = 20 * clock.Millisecond
	revisionInterval = 6600 * clock.Millisecond // at the target rate of 13,000 configuration changes a day
	datagramOverhead = 20 + 8 + 2               // IPv4, UDP, and the two type bytes of memberlist and internal/gossip
	gossipDelay      = 500 * clock.Millisecond  // until the other routers of a site have a new revision
	inFlightSlots    = 1024                     // longest delivery, in ticks
)

type simulatedRouter struct {
	site             *simulatedSite
	name             string
	address          netip.AddrPort
	index            int        // within its site
	phase            clock.Time // offset of its calls of Tick within a stepInterval
	hierarchy        *Hierarchy // nil: stopped
	stateSince       clock.Time // when the router last started or stopped
	incarnation      uint64
	startedAt        clock.Time
	revision         uint64     // of the policy
	previousRevision uint64     // until revisionAt
	revisionAt       clock.Time // when revision was set
	clockSkew        clock.Time // error of its wall clock
	bytesReceived    int
	bytesSent        int
	seedAddrs        []netip.AddrPort
}

type simulatedSite struct {
	name, region         string
	routers              []*simulatedRouter
	overrepresentedSince clock.Time // 0: not too many representatives
	unrepresentedSince   clock.Time // 0: represented, or no live router
}

type datagramInFlight struct {
	receiver *simulatedRouter
	body     []byte
}

type simulatedFleet struct {
	t                testing.TB
	random           *rand.Rand
	parameters       Parameters
	now              clock.Time
	sites            []*simulatedSite
	routers          []*simulatedRouter
	routersByAddress map[netip.AddrPort]*simulatedRouter
	inFlight         [inFlightSlots][]datagramInFlight

	lossRate          float64
	duplicateRate     float64
	maxDelay          clock.Duration
	isPartitioned     func(from, to *simulatedRouter) bool
	minDeathDetection clock.Duration // until the membership detects a failure
	maxDeathDetection clock.Duration

	falseLosses            int                 // observations of a lost site or region with a live router
	checkedStates          int                 // observations
	longestOverrepresented clock.Duration      // of a site with too many representatives
	longestUnrepresented   clock.Duration      // of a site without a representative
	longestDatagram        int                 // in bytes
	sentByKind             [kindRepair + 1]int // bytes of each kind of datagram
}

// newFleet returns a fleet of stopped routers. The sites are distributed evenly over the regions.
func newFleet(t testing.TB, seed uint64, sites, regions, perSite int) *simulatedFleet {
	f := &simulatedFleet{
		t:                 t,
		random:            rand.New(rand.NewPCG(seed, 7)),
		parameters:        DefaultParameters(),
		routersByAddress:  map[netip.AddrPort]*simulatedRouter{},
		maxDelay:          defaultMaxDelay,
		isPartitioned:     func(_, _ *simulatedRouter) bool { return false },
		minDeathDetection: 4 * clock.Second,
		maxDeathDetection: 7 * clock.Second,
	}
	for i := range sites {
		site := &simulatedSite{name: fmt.Sprintf("site%03d", i), region: fmt.Sprintf("region%02d", i%regions)}
		for j := range perSite {
			phase := clock.Duration(f.random.IntN(int(stepInterval/tickInterval))) * tickInterval
			router := &simulatedRouter{site: site, name: fmt.Sprintf("%s-r%02d", site.name, j), index: j, phase: phase}
			router.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(j + 1)}), 7946)
			site.routers, f.routers = append(site.routers, router), append(f.routers, router)
			f.routersByAddress[router.address] = router
		}
		f.sites = append(f.sites, site)
	}
	for i, site := range f.sites {
		for _, router := range site.routers { // seeds: the first router of the own region and of the next one
			router.seedAddrs = []netip.AddrPort{f.sites[i%regions].routers[0].address, f.sites[(i%regions+1)%regions].routers[0].address}
		}
	}
	return f
}

func (f *simulatedFleet) start(router *simulatedRouter) {
	router.incarnation++
	router.stateSince, router.startedAt = f.now, f.now
	router.hierarchy = New(f.now, f.parameters, Config{
		Fleet:            "harvest",
		Region:           router.site.region,
		Site:             router.site.name,
		Name:             router.name,
		Addr:             router.address,
		SeedAddrs:        router.seedAddrs,
		WallClockSeconds: uint32(1.8e9 + float64(f.now+router.clockSkew)/1e6),
		RandomSeed:       f.random.Uint64(),
	})
}

func (f *simulatedFleet) kill(router *simulatedRouter) {
	router.hierarchy, router.stateSince = nil, f.now
}

// startAll starts all routers at random times within a period.
func (f *simulatedFleet) startAll(span clock.Duration) {
	startingAt := map[clock.Time][]*simulatedRouter{}
	for _, router := range f.routers {
		at := clock.Time(f.random.IntN(int(span/tickInterval))) * tickInterval
		startingAt[at] = append(startingAt[at], router)
	}
	for at := clock.Time(0); at < span; at += tickInterval {
		for _, router := range startingAt[at] {
			f.start(router)
		}
		f.step()
	}
}

// run advances the virtual time.
func (f *simulatedFleet) run(span clock.Duration) {
	for end := f.now + span; f.now < end; {
		f.step()
	}
}

func (f *simulatedFleet) step() {
	f.now += tickInterval
	slot := &f.inFlight[f.now/tickInterval%inFlightSlots]
	for _, flight := range *slot {
		if flight.receiver.hierarchy != nil {
			flight.receiver.bytesReceived += len(flight.body) + datagramOverhead
			flight.receiver.hierarchy.Receive(f.now, flight.body)
		}
	}
	*slot = (*slot)[:0]
	for _, router := range f.routers {
		if router.hierarchy != nil && f.now%stepInterval == router.phase {
			f.transmit(router, router.hierarchy.Tick(f.now, f.localSite(router)))
		}
	}
	if f.now%stepInterval == 0 {
		f.checkRoles()
	}
	if f.now%clock.Second == 0 {
		f.checkStates()
	}
}

func (f *simulatedFleet) transmit(from *simulatedRouter, datagrams []Datagram) {
	for _, datagram := range datagrams {
		from.bytesSent += len(datagram.Body) + datagramOverhead
		f.sentByKind[datagram.Body[0]] += len(datagram.Body) + datagramOverhead
		f.longestDatagram = max(f.longestDatagram, len(datagram.Body))
		to := f.routersByAddress[datagram.To]
		if to == nil || f.isPartitioned(from, to) {
			continue
		}
		for range f.copiesDelivered() {
			at := f.now + tickInterval + clock.Time(f.random.Int64N(int64(f.maxDelay)))
			slot := at / tickInterval % inFlightSlots
			f.inFlight[slot] = append(f.inFlight[slot], datagramInFlight{to, datagram.Body})
		}
	}
}

func (f *simulatedFleet) copiesDelivered() int {
	draw := f.random.Float64()
	switch {
	case draw < f.lossRate:
		return 0
	case draw < f.lossRate+f.duplicateRate:
		return 2
	}
	return 1
}

// localSite returns a router's membership view of its site. Each router detects failures and joins with delays of its own.
func (f *simulatedFleet) localSite(router *simulatedRouter) (l LocalSite) {
	l.Counts.Total = uint32(len(router.site.routers))
	l.MinRevision = ^uint64(0)
	for _, member := range router.site.routers {
		if !f.isVisible(router, member) {
			continue
		}
		l.Members = append(l.Members, Member{member.name, member.address, int64(member.startedAt + member.clockSkew)})
		l.Counts.Alive++
		l.Counts.Accepting++
		l.Digest = mixHash(mixHash(l.Digest, uint64(member.index)), member.incarnation)
		revision := member.revision
		if router != member && f.now-member.revisionAt < gossipDelay {
			revision = member.previousRevision
		}
		l.MinRevision, l.MaxRevision = min(l.MinRevision, revision), max(l.MaxRevision, revision)
	}
	return l
}

func (f *simulatedFleet) isVisible(router, member *simulatedRouter) bool {
	if router == member {
		return true
	}
	if member.incarnation == 0 {
		return false
	}
	delay := clock.Time(mixHash(mixHash(uint64(router.index), uint64(member.index)), member.incarnation) % 1000)
	if member.hierarchy == nil {
		return f.now-member.stateSince < f.minDeathDetection+(f.maxDeathDetection-f.minDeathDetection)*delay/1000
	}
	return f.now-member.stateSince > 100*clock.Millisecond+500*delay
}

// liveRouters returns the live routers that match a condition.
func (f *simulatedFleet) liveRouters(matches func(*simulatedRouter) bool) (routers []*simulatedRouter) {
	for _, router := range f.routers {
		if router.hierarchy != nil && matches(router) {
			routers = append(routers, router)
		}
	}
	return routers
}

// setRevision gives a router a new policy revision.
func (f *simulatedFleet) setRevision(router *simulatedRouter, revision uint64) {
	router.previousRevision, router.revision, router.revisionAt = router.revision, revision, f.now
}

func hasNoRole(router *simulatedRouter) bool {
	return !router.hierarchy.Role().RepresentsSite && router.hierarchy.Role().Rank >= 0
}

func representsSite(router *simulatedRouter) bool { return router.hierarchy.Role().RepresentsSite }

func (f *simulatedFleet) pickRandom(routers []*simulatedRouter) *simulatedRouter {
	return routers[f.random.IntN(len(routers))]
}
