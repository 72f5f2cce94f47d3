package hierarchy

import (
	"fmt"

	"spurtrestle/core/clock"
)

// The checker of the simulated fleet: the routers' views, violations of guarantees, and traffic.

// checkGuarantees fails the test if the checker recorded a violation of a guarantee of docs/tiers-design.md.
func (f *simulatedFleet) checkGuarantees(maxOverrepresented clock.Duration) {
	f.t.Helper()
	f.t.Logf("longest: %.1f s with too many representatives, %.1f s with none; %d of %d falsely lost; datagrams up to %d bytes",
		seconds(f.longestOverrepresented), seconds(f.longestUnrepresented), f.falseLosses, f.checkedStates, f.longestDatagram)
	if f.longestOverrepresented > maxOverrepresented {
		f.t.Errorf("longest time with too many representatives: got %.1f s, want at most %.1f s",
			seconds(f.longestOverrepresented), seconds(maxOverrepresented))
	}
	if f.falseLosses > 0 {
		f.t.Errorf("sites or regions with live routers that counted as lost: got %d of %d checked, want 0", f.falseLosses, f.checkedStates)
	}
	if f.longestDatagram > MaxDatagramSize {
		f.t.Errorf("longest datagram: got %d bytes, want at most %d", f.longestDatagram, MaxDatagramSize)
	}
}

// checkRoles records how long sites have had too many representatives or none.
func (f *simulatedFleet) checkRoles() {
	for _, site := range f.sites {
		representatives, established := 0, 0
		for _, router := range site.routers {
			if router.hierarchy == nil {
				continue
			}
			if f.now-router.stateSince > f.parameters.SiteRoleDelay+clock.Second {
				established++
			}
			if router.hierarchy.Role().RepresentsSite {
				representatives++
			}
		}
		overrepresented := representatives > f.parameters.RepresentativesPerSite
		unrepresented := representatives == 0 && established > 0
		f.longestOverrepresented = max(f.longestOverrepresented, f.durationSince(&site.overrepresentedSince, overrepresented))
		f.longestUnrepresented = max(f.longestUnrepresented, f.durationSince(&site.unrepresentedSince, unrepresented))
	}
}

// checkStates counts the sites and regions that a router shows as lost although one of their routers is alive.
func (f *simulatedFleet) checkStates() {
	isAlive := map[string]bool{}
	established := f.liveRouters(func(router *simulatedRouter) bool { return f.now-router.stateSince > 10*clock.Second })
	for _, router := range established {
		isAlive[router.site.name], isAlive[router.site.region] = true, true
	}
	for _, router := range established {
		for _, summaries := range router.hierarchy.tables {
			for _, group := range summaries.entries {
				f.checkedStates++
				if isAlive[group.Name] && router.hierarchy.summaryState(group) == Lost {
					f.falseLosses++
				}
			}
		}
	}
}

// durationSince returns how long a condition has held, and stores in since when it began.
func (f *simulatedFleet) durationSince(since *clock.Time, holds bool) clock.Duration {
	if !holds {
		*since = 0
		return 0
	}
	if *since == 0 {
		*since = f.now
	}
	return f.now - *since
}

// waitUntil runs the fleet until a condition holds and returns how long that took. It fails the test after a limit.
func (f *simulatedFleet) waitUntil(condition string, limit clock.Duration, holds func() bool) clock.Duration {
	f.t.Helper()
	begin := f.now
	for !holds() {
		if f.now-begin >= limit {
			f.t.Errorf("not %s after %d s; inconsistency: %q", condition, limit/clock.Second, f.inconsistency())
			return f.now - begin
		}
		f.run(stepInterval)
	}
	return f.now - begin
}

// isConsistent reports whether all live routers of a region have the same site summaries, and all live routers of the fleet
// the same region summaries.
func (f *simulatedFleet) isConsistent() bool { return f.inconsistency() == "" }

// inconsistency describes a difference between the views of two routers; empty if there is none.
func (f *simulatedFleet) inconsistency() string {
	var regions uint64
	var first *simulatedRouter
	sites := map[string]uint64{}
	for _, router := range f.routers {
		if router.hierarchy == nil {
			continue
		}
		siteDigest, regionDigest := router.hierarchy.Digests()
		if first == nil {
			first, regions = router, regionDigest
		}
		if was, known := sites[router.site.region]; known && was != siteDigest {
			return fmt.Sprintf("%s differs from another router on the sites of its region", router.name)
		}
		sites[router.site.region] = siteDigest
		if regionDigest != regions {
			return fmt.Sprintf("%s and %s differ on the regions", router.name, first.name)
		}
	}
	return f.regionMiscount(first)
}

// regionMiscount describes a region for which a router has a wrong number of live routers; empty if there is none.
func (f *simulatedFleet) regionMiscount(first *simulatedRouter) string {
	alive := map[string]uint32{}
	for _, router := range f.routers {
		if router.hierarchy != nil {
			alive[router.site.region]++
		}
	}
	if first == nil {
		return "no router is alive"
	}
	for region, want := range alive {
		group := first.hierarchy.tables[RegionTier].entries[hashName(region)]
		if group == nil || group.Counts.Alive != want {
			return fmt.Sprintf("live routers of %s at %s: got %+v, want %d alive", region, first.name, group, want)
		}
	}
	return ""
}

// isSettled reports whether all routers are consistent and report themselves settled.
func (f *simulatedFleet) isSettled() bool {
	for _, router := range f.routers {
		if router.hierarchy != nil && !router.hierarchy.Settled(f.now) {
			return false
		}
	}
	return f.isConsistent()
}

// isRevisionKnown reports whether all routers that have been alive for five seconds know a revision.
func (f *simulatedFleet) isRevisionKnown(revision uint64) bool {
	for _, router := range f.routers {
		if router.hierarchy != nil && f.now-router.stateSince > 5*clock.Second && router.hierarchy.NewestRevision() < revision {
			return false
		}
	}
	return true
}

// oldestHeartbeat returns the greatest age of a heartbeat at any router.
func (f *simulatedFleet) oldestHeartbeat() (oldest clock.Duration) {
	for _, router := range f.liveRouters(func(*simulatedRouter) bool { return true }) {
		for _, summaries := range router.hierarchy.tables {
			for _, group := range summaries.entries {
				oldest = max(oldest, f.now-group.heartbeatAt)
			}
		}
	}
	return oldest
}

// logRates logs the bytes per second that routers of each role received and sent since resetCounters, and returns the highest
// rate.
func (f *simulatedFleet) logRates(span clock.Duration) (highest float64) {
	roles := map[string]func(*simulatedRouter) bool{
		"none":                  hasNoRole,
		"site representative":   representsOnlySite,
		"region representative": representsRegion,
	}
	for role, hasRole := range roles {
		sum, highestOfRole, routers := 0.0, 0.0, f.liveRouters(hasRole)
		for _, router := range routers {
			rate := float64(router.bytesReceived+router.bytesSent) * 1e6 / float64(span)
			sum, highestOfRole = sum+rate, max(highestOfRole, rate)
		}
		highest = max(highest, highestOfRole)
		f.t.Logf("%d with the role %s: mean %.0f B/s, highest %.0f B/s", len(routers), role, sum/float64(max(1, len(routers))), highestOfRole)
	}
	f.t.Logf("bytes per second sent by a router, by kind: %v", f.ratesByKind(span))
	f.resetCounters()
	return highest
}

func representsOnlySite(router *simulatedRouter) bool {
	return router.hierarchy.Role().RepresentsSite && !router.hierarchy.Role().RepresentsRegion
}

func representsRegion(router *simulatedRouter) bool { return router.hierarchy.Role().RepresentsRegion }

// ratesByKind returns the average bytes per second that a router sends of each kind of datagram.
func (f *simulatedFleet) ratesByKind(span clock.Duration) (all []int) {
	for _, n := range f.sentByKind {
		all = append(all, int(float64(n)*1e6/float64(span)/float64(len(f.routers))))
	}
	return all
}

func (f *simulatedFleet) resetCounters() {
	for _, router := range f.routers {
		router.bytesReceived, router.bytesSent = 0, 0
	}
	f.sentByKind = [kindRepair + 1]int{}
}

// meanRate returns the bytes per second of a router since resetCounters, received and sent together.
func (f *simulatedFleet) meanRate(span clock.Duration) float64 {
	sum := 0
	for _, router := range f.routers {
		sum += router.bytesReceived + router.bytesSent
	}
	return float64(sum) * 1e6 / float64(span) / float64(len(f.routers))
}

func seconds(d clock.Duration) float64 { return float64(d) / float64(clock.Second) }
