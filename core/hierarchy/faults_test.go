package hierarchy

import (
	"testing"

	"spurtrestle/core/clock"
)

// After random sequential and concurrent faults, all routers are consistent within the stated time, and no site or region with a
// live router counted as lost.
func TestHierarchy_ConvergesAfterRandomFaults(t *testing.T) {
	const consistentWithin = 20 * clock.Second
	for seed := range uint64(8) {
		fleet := newFleet(t, 100+seed, 5, 2, 6)
		fleet.startAll(clock.Second)
		fleet.waitUntil("settled", 20*clock.Second, fleet.isSettled)
		for range 12 {
			fleet.injectRandomFault()
			fleet.run(clock.Time(fleet.random.IntN(20)) * clock.Second)
		}
		fleet.heal()
		took := fleet.waitUntil("consistent after the last fault", consistentWithin, fleet.isConsistent)
		t.Logf("seed %d: consistent %.1f s after the last fault", seed, seconds(took))
		fleet.waitUntil("settled", consistentWithin, fleet.isSettled)
		fleet.checkGuarantees(20 * clock.Second)
	}
}

// injectRandomFault starts a random fault, or ends the network faults.
func (f *simulatedFleet) injectRandomFault() {
	site := f.sites[f.random.IntN(len(f.sites))]
	switch f.random.IntN(8) {
	case 0:
		f.lossRate, f.duplicateRate, f.maxDelay = 0.3, 0.2, 2*clock.Second
	case 1:
		f.isPartitioned = func(from, to *simulatedRouter) bool {
			return (from.site.region == site.region) != (to.site.region == site.region)
		}
	case 2: // one-way partition: the site receives nothing
		f.isPartitioned = func(from, to *simulatedRouter) bool { return to.site == site && from.site != site }
	case 3:
		f.lossRate, f.duplicateRate, f.maxDelay = 0.02, 0, defaultMaxDelay
		f.isPartitioned = func(_, _ *simulatedRouter) bool { return false }
	case 4:
		f.killMatching(site, representsSite)
	case 5: // the failure of a rack
		f.killMatching(site, func(router *simulatedRouter) bool { return router.index < 4 })
	case 6: // the entire site restarts with its clocks set back by an hour
		f.killMatching(site, func(*simulatedRouter) bool { return true })
		f.run(5 * clock.Second)
		for _, router := range site.routers {
			router.clockSkew = -3600 * clock.Second
			f.start(router)
		}
	case 7:
		f.startAllStopped()
	}
}

func (f *simulatedFleet) killMatching(site *simulatedSite, matches func(*simulatedRouter) bool) {
	for _, router := range site.routers {
		if router.hierarchy != nil && matches(router) {
			f.kill(router)
		}
	}
}

func (f *simulatedFleet) startAllStopped() {
	for _, router := range f.routers {
		if router.hierarchy == nil {
			f.start(router)
		}
	}
}

// heal ends all faults of the network and starts all stopped routers.
func (f *simulatedFleet) heal() {
	f.lossRate, f.duplicateRate, f.maxDelay = 0, 0, defaultMaxDelay
	f.isPartitioned = func(_, _ *simulatedRouter) bool { return false }
	f.startAllStopped()
}

// stateOf returns the state of a site or region at a router; Lost + 1 if the router does not know it.
func stateOf(router *simulatedRouter, tier Tier, name string) State {
	group := router.hierarchy.tables[tier].entries[hashName(name)]
	if group == nil {
		return Lost + 1
	}
	return router.hierarchy.summaryState(group)
}

// A region that is partitioned for an hour keeps its own summaries, shows the other region as stale and then as lost with its
// last counts, and converges soon after the partition ends.
func TestHierarchy_RegionPartitionedForAnHour(t *testing.T) {
	fleet := newFleet(t, 1, 6, 3, 4)
	fleet.startAll(clock.Second)
	fleet.waitUntil("settled", 20*clock.Second, fleet.isSettled)
	partitioned := fleet.sites[0].region
	fleet.isPartitioned = func(from, to *simulatedRouter) bool {
		return (from.site.region == partitioned) != (to.site.region == partitioned)
	}
	insider, outsider := fleet.sites[0].routers[3], fleet.sites[1].routers[3]
	bothSee := func(state State) func() bool {
		return func() bool {
			return stateOf(insider, RegionTier, outsider.site.region) == state && stateOf(outsider, RegionTier, partitioned) == state
		}
	}
	t.Logf("stale after %.0f s", seconds(fleet.waitUntil("stale", fleet.parameters.StaleAfter+40*clock.Second, bothSee(Stale))))
	fleet.waitUntil("lost", fleet.parameters.LostAfter, bothSee(Lost))
	fleet.run(3600 * clock.Second)
	if s := insider.hierarchy.tables[RegionTier].entries[hashName(outsider.site.region)]; s == nil || s.Counts.Alive != 8 {
		t.Errorf("last counts of the other region: got %+v, want 8 alive", s)
	}
	if s := stateOf(insider, SiteTier, fleet.sites[3].name); s != Fresh {
		t.Errorf("site of the own region: got %v, want %v", s, Fresh)
	}
	fleet.falseLosses = 0
	fleet.kill(fleet.sites[1].routers[0])
	fleet.run(20 * clock.Second)
	fleet.isPartitioned = func(_, _ *simulatedRouter) bool { return false }
	t.Logf("consistent %.1f s after the partition", seconds(fleet.waitUntil("consistent after the partition", 15*clock.Second, fleet.isConsistent)))
	fleet.waitUntil("fresh", 20*clock.Second, bothSee(Fresh))
}

// A failed site becomes stale and then lost; from then on its routers do not count in its region.
func TestHierarchy_SiteFails(t *testing.T) {
	fleet := newFleet(t, 2, 6, 2, 4)
	fleet.startAll(clock.Second)
	fleet.waitUntil("settled", 20*clock.Second, fleet.isSettled)
	failed, other := fleet.sites[0], fleet.sites[1].routers[2]
	fleet.killMatching(failed, func(*simulatedRouter) bool { return true })
	took := fleet.waitUntil("counting without the failed site", fleet.parameters.LostAfter+40*clock.Second, func() bool {
		group := other.hierarchy.tables[RegionTier].entries[hashName(failed.region)]
		return group.Counts.Alive == 8 && group.LostSites == 1
	})
	t.Logf("no longer counted after %.0f s", seconds(took))
	if took < fleet.parameters.StaleAfter {
		t.Errorf("failed site no longer counted: got after %.0f s, want after %.0f s or more", seconds(took), seconds(fleet.parameters.StaleAfter))
	}
	for _, router := range failed.routers {
		fleet.start(router)
	}
	fleet.waitUntil("consistent after the site restarted", 20*clock.Second, fleet.isConsistent)
	fleet.checkGuarantees(10 * clock.Second)
}

// All candidates of a site fail at once. The next routers by age are elected when the membership has detected the failures.
func TestElection_AllCandidatesFail(t *testing.T) {
	fleet := newFleet(t, 3, 5, 2, 18)
	fleet.startAll(clock.Second)
	fleet.waitUntil("settled", 20*clock.Second, fleet.isSettled)
	for _, router := range fleet.liveRouters(func(router *simulatedRouter) bool {
		return router.site == fleet.sites[0] && router.hierarchy.Role().Rank < fleet.parameters.RepresentativesPerSite+fleet.parameters.StandbysPerSite
	}) {
		fleet.kill(router)
	}
	fleet.waitUntil("represented again", fleet.maxDeathDetection+clock.Second, func() bool {
		return len(fleet.liveRouters(func(router *simulatedRouter) bool { return router.site == fleet.sites[0] && representsSite(router) })) > 0
	})
	fleet.waitUntil("consistent", 15*clock.Second, fleet.isConsistent)
	fleet.checkGuarantees(10 * clock.Second)
}

// Two regions that never had contact discover each other through a seed address.
func TestReconnect_JoinsSeparateRegionsBySeedAddress(t *testing.T) {
	fleet := newFleet(t, 4, 4, 2, 3)
	inFirstRegion := func(router *simulatedRouter) bool { return router.site.region == fleet.sites[0].region }
	fleet.isPartitioned = func(from, to *simulatedRouter) bool { return inFirstRegion(from) != inFirstRegion(to) }
	fleet.startAll(clock.Second)
	fleet.run(60 * clock.Second)
	fleet.isPartitioned = func(_, _ *simulatedRouter) bool { return false }
	took := fleet.waitUntil("joined", fleet.parameters.IdleReconnectInterval+20*clock.Second, fleet.isConsistent)
	t.Logf("joined after %.1f s", seconds(took))
}

// The state and the replies stay bounded under a flood of datagrams.
func TestReceive_BoundsStateAndReplies(t *testing.T) {
	fleet := newFleet(t, 5, 2, 1, 3)
	fleet.startAll(clock.Second)
	fleet.run(5 * clock.Second)
	router, other := fleet.routers[0], fleet.routers[4]
	for i := range uint64(100000) {
		group := &entry{Summary: Summary{Name: formatHex(i), Version: 1 << 40}, Heartbeat: Heartbeat{Sequence: router.hierarchy.wallClock()}}
		router.hierarchy.Receive(fleet.now, append(other.hierarchy.newDatagram(kindUpdate), appendSummary(nil, Tier(i%2), group)...))
		router.hierarchy.Receive(fleet.now, other.hierarchy.encodeDigest(regionLink, entrySet{}))
	}
	if sites, regions := len(router.hierarchy.tables[SiteTier].entries), len(router.hierarchy.tables[RegionTier].entries); sites > maxSites || regions > maxRegions {
		t.Errorf("table sizes: got %d sites and %d regions, want at most %d and %d", sites, regions, maxSites, maxRegions)
	}
	sent := 0
	for _, datagram := range router.hierarchy.Tick(fleet.now, fleet.localSite(router)) {
		sent += len(datagram.Body)
	}
	t.Logf("%d bytes in the tick after the flood", sent)
	if sent > 2<<20 {
		t.Errorf("bytes sent in a tick: got %d, want at most %d", sent, 2<<20)
	}
}

// Datagrams of another fleet and truncated datagrams are dropped.
func TestReceive_DropsForeignAndTruncatedDatagrams(t *testing.T) {
	fleet := newFleet(t, 6, 2, 1, 2)
	fleet.startAll(clock.Second)
	fleet.waitUntil("settled", 20*clock.Second, fleet.isSettled)
	router := fleet.routers[0]
	before, _ := router.hierarchy.Digests()
	foreign := New(fleet.now, fleet.parameters, Config{Fleet: "other", Region: router.site.region, Site: "x", Addr: fleet.routers[1].address})
	heartbeat := Heartbeat{Sequence: router.hierarchy.wallClock()}
	record := appendSummary(nil, SiteTier, &entry{Summary: Summary{Name: "x", Version: 1 << 60}, Heartbeat: heartbeat})
	router.hierarchy.Receive(fleet.now, append(foreign.newDatagram(kindUpdate), record...))
	complete := append(fleet.routers[1].hierarchy.newDatagram(kindUpdate), record...)
	for size := range complete {
		router.hierarchy.Receive(fleet.now, complete[:size])
	}
	if after, _ := router.hierarchy.Digests(); after != before {
		t.Errorf("digest after foreign and truncated datagrams: got %x, want %x", after, before)
	}
	router.hierarchy.Receive(fleet.now, complete)
	if after, _ := router.hierarchy.Digests(); after == before {
		t.Errorf("digest after a complete datagram: got %x, want a different one", after)
	}
}

func FuzzDecode(f *testing.F) {
	fleet := newFleet(f, 7, 3, 2, 2)
	fleet.startAll(clock.Second)
	fleet.run(10 * clock.Second)
	h := fleet.routers[0].hierarchy
	h.tables[SiteTier].entries[hashName(fleet.sites[0].name)].MaxRevision = 9
	f.Add(h.newDatagram(kindPing))
	f.Add(h.encodeDigest(regionLink, h.allEntries()))
	f.Add(h.encodeVersions(SiteTier)[0])
	f.Add(h.encodeRequest(RegionTier, []nameHash{1, 2}))
	f.Add(h.packRecords(kindUpdate, h.encodeSummaries(SiteTier, h.allEntries()[SiteTier]))[0])
	f.Add(h.packRecords(kindRepair, h.encodeSummaries(RegionTier, h.allEntries()[RegionTier]))[0])
	f.Fuzz(func(t *testing.T, body []byte) {
		received, err := decode(body)
		if err != nil {
			return
		}
		if entries := len(received.heartbeats[SiteTier]) + len(received.heartbeats[RegionTier]) + len(received.versions) + len(received.names) + len(received.summaries); entries > MaxDatagramSize {
			t.Errorf("entries decoded from %d bytes: got %d, want at most %d", len(body), entries, MaxDatagramSize)
		}
		for _, record := range received.summaries {
			copied := &reader{remaining: appendSummary(nil, record.tier, &entry{Summary: record.Summary, Heartbeat: record.Heartbeat})}
			got := copied.summary()
			isEqual := sameContent(got.Summary, record.Summary) && got.Version == record.Version && got.Heartbeat == record.Heartbeat
			if copied.malformed || !isEqual {
				t.Errorf("decoded summary: got %+v, want %+v", got, record)
			}
		}
		h.Receive(fleet.now, body)
	})
}

// The checker detects each kind of violation.
func TestChecker_DetectsViolations(t *testing.T) {
	type violation struct {
		configure func(*Parameters)
		detected  func(*simulatedFleet) bool
	}
	stopDissemination := func(p *Parameters) { p.PushFanout, p.ExchangeFanout = 0, 0 }
	for name, violation := range map[string]violation{
		"live site counted as lost": {
			configure: func(p *Parameters) { p.LostAfter = clock.Second },
			detected:  func(fleet *simulatedFleet) bool { return fleet.falseLosses > 0 },
		},
		"too many representatives": {
			configure: func(p *Parameters) { p.SilenceTimeout = clock.Second / 10 },
			detected:  func(fleet *simulatedFleet) bool { return fleet.longestOverrepresented > 5*clock.Second },
		},
		"no representative": {
			configure: func(p *Parameters) { p.SiteRoleDelay = clock.Hour },
			detected:  func(fleet *simulatedFleet) bool { return len(fleet.liveRouters(representsSite)) == 0 },
		},
		"no dissemination": {
			configure: stopDissemination,
			detected:  func(fleet *simulatedFleet) bool { return !fleet.isConsistent() },
		},
		"unknown revision": {
			configure: stopDissemination,
			detected:  func(fleet *simulatedFleet) bool { return !fleet.isRevisionKnown(1) },
		},
	} {
		fleet := newFleet(t, 8, 5, 2, 6)
		violation.configure(&fleet.parameters)
		fleet.startAll(clock.Second)
		fleet.run(10 * clock.Second)
		fleet.setRevision(fleet.routers[3], 1)
		fleet.run(20 * clock.Second)
		if !violation.detected(fleet) {
			t.Errorf("%s: got no violation, want one", name)
		}
	}
}
