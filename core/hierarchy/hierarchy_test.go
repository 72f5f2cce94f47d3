package hierarchy

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"spurtrestle/core/clock"
)

// A fleet of five sites with 18 routers each settles within ten seconds of its start, and its idle traffic is bounded.
func TestHierarchy_SettlesWithinTenSeconds(t *testing.T) {
	for seed := range uint64(5) {
		fleet := newFleet(t, seed, 5, 2, 18)
		fleet.startAll(clock.Second)
		took := fleet.waitUntil("settled", 10*clock.Second, fleet.isSettled)
		fleet.run(10 * clock.Second)
		fleet.resetCounters()
		fleet.run(60 * clock.Second)
		t.Logf("seed %d: settled after %.1f s", seed, seconds(took))
		if highest := fleet.logRates(60 * clock.Second); highest > 1000 {
			t.Errorf("idle traffic of a router: got %.0f B/s, want at most 1000", highest)
		}
		fleet.checkGuarantees(2 * clock.Second)
	}
}

// Each new policy revision is known everywhere within seven seconds, with 2% packet loss and a representative killed each second.
func TestHierarchy_DisseminatesRevisionsWhileRepresentativesFail(t *testing.T) {
	for seed := range uint64(5) {
		fleet := newFleet(t, seed, 5, 2, 18)
		fleet.startAll(clock.Second)
		fleet.waitUntil("settled", 10*clock.Second, fleet.isSettled)
		fleet.lossRate = 0.02
		slowest := fleet.publishRevisions(0, 20, 8*clock.Second)
		if slowest > 7*clock.Second {
			t.Errorf("slowest dissemination of a revision: got %.1f s, want at most 7 s", seconds(slowest))
		}
		t.Logf("seed %d: slowest of 20 revisions known after %.1f s", seed, seconds(slowest))
		took := fleet.waitUntil("consistent after the last fault", 20*clock.Second, fleet.isConsistent)
		t.Logf("consistent %.1f s after the last fault", seconds(took))
		fleet.checkGuarantees(5 * clock.Second)
	}
}

// publishRevisions sets a new revision at a random router in each interval, while a representative is killed each second and
// restarted ten seconds later. It returns the longest time until a revision was known to all routers.
func (f *simulatedFleet) publishRevisions(after uint64, count int, interval clock.Duration) (slowest clock.Duration) {
	f.t.Helper()
	var failed []*simulatedRouter
	for revision := after + 1; revision <= after+uint64(count); revision++ {
		publishedAt, known := f.now, clock.Duration(0)
		f.setRevision(f.pickRandom(f.liveRouters(hasNoRole)), revision)
		for f.now-publishedAt < interval {
			f.run(stepInterval)
			if known == 0 && f.isRevisionKnown(revision) {
				known = f.now - publishedAt
			}
			if f.now%clock.Second < stepInterval {
				victim := f.pickRandom(f.liveRouters(representsSite))
				f.kill(victim)
				failed = append(failed, victim)
			}
			for len(failed) > 0 && f.now-failed[0].stateSince > 10*clock.Second {
				f.start(failed[0])
				failed = failed[1:]
			}
		}
		if known == 0 {
			f.t.Errorf("revision %d is not known everywhere after %d s", revision, interval/clock.Second)
			known = interval
		}
		slowest = max(slowest, known)
	}
	for _, router := range failed {
		f.start(router)
	}
	return slowest
}

// Idle traffic and dissemination at the target size of 760 sites in 41 regions, with few routers per site.
func TestHierarchy_RepresentativesAtTargetSize(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about ten seconds")
	}
	fleet := newFleet(t, 1, 760, 41, 2)
	fleet.startAll(clock.Second)
	took := fleet.waitUntil("settled", 10*clock.Second, fleet.isSettled)
	fleet.run(50 * clock.Second)
	fleet.resetCounters()
	fleet.run(20 * clock.Second)
	t.Logf("settled after %.1f s", seconds(took))
	t.Logf("oldest heartbeat: %.1f s", seconds(fleet.oldestHeartbeat()))
	if fleet.oldestHeartbeat() > fleet.parameters.StaleAfter {
		t.Errorf("oldest heartbeat while idle: got %.1f s, want at most %.1f s", seconds(fleet.oldestHeartbeat()), seconds(fleet.parameters.StaleAfter))
	}
	if highest := fleet.logRates(20 * clock.Second); highest > 1500 {
		t.Errorf("idle traffic of a representative: got %.0f B/s, want at most 1500", highest)
	}
	fleet.setRevision(fleet.routers[700], 1)
	known := fleet.waitUntil("revision 1 known", 7*clock.Second, func() bool { return fleet.isRevisionKnown(1) })
	t.Logf("revision known everywhere after %.1f s", seconds(known))
	fleet.checkGuarantees(2 * clock.Second)
}

// Idle traffic of a router by fleet size, with 18 routers per site and 18 sites per region. It grows until the first region is
// complete, and then only with the number of regions.
func TestHierarchy_IdleTrafficByFleetSize(t *testing.T) {
	const perSite, perRegion = 18, 18
	sites := []int{3, 6, 12, 23, 45}
	if *longRun {
		sites = append(sites, 89, 178, 324, 760)
	}
	var rates []float64
	for _, n := range sites {
		t.Run(fmt.Sprintf("%d_routers", n*perSite), func(t *testing.T) {
			fleet := newFleet(t, 1, n, (n+perRegion-1)/perRegion, perSite)
			fleet.startAll(clock.Second)
			fleet.waitUntil("settled", 20*clock.Second, fleet.isSettled)
			fleet.run(40 * clock.Second)
			fleet.resetCounters()
			fleet.run(20 * clock.Second)
			rate := fleet.meanRate(20 * clock.Second)
			t.Logf("%d regions: %.0f B/s", (n+perRegion-1)/perRegion, rate)
			rates = append(rates, rate)
		})
	}
	if lowest, highest := slices.Min(rates), slices.Max(rates); highest > 1.6*lowest {
		t.Errorf("idle traffic of a router by fleet size: got %.0f to %.0f B/s, want at most a factor of 1.6 between them", lowest, highest)
	}
}

var longRun = flag.Bool("long", false, "simulate the fleet of target size: takes minutes and a GB of memory")

// The fleet of target size, 13,680 routers at 760 sites in 41 regions: idle, with the target rate of configuration changes, and
// with packet loss and a representative killed each second.
func TestHierarchy_FullFleetAtTargetSize(t *testing.T) {
	if !*longRun {
		t.Skip("takes minutes; enabled by -long")
	}
	fleet := newFleet(t, 1, 760, 41, 18)
	fleet.startAll(clock.Second)
	took := fleet.waitUntil("settled", 20*clock.Second, fleet.isSettled)
	t.Logf("settled after %.1f s", seconds(took))
	fleet.run(4 * clock.Second)
	fleet.resetCounters()
	fleet.run(20 * clock.Second)
	fleet.logRates(20 * clock.Second)
	for revision := range uint64(3) { // at 13,000 a day
		for _, router := range fleet.routers {
			fleet.setRevision(router, revision+1)
			router.revisionAt += clock.Time(fleet.random.IntN(1e6)) // in force at all routers within a second
		}
		fleet.run(revisionInterval)
	}
	t.Logf("with a new revision every 6.6 s:")
	fleet.logRates(3 * revisionInterval)
	fleet.lossRate = 0.02
	slowest := fleet.publishRevisions(10, 3, 8*clock.Second)
	t.Logf("slowest of 3 revisions known after %.1f s, with 2%% packet loss and a representative killed each second", seconds(slowest))
	fleet.logRates(24 * clock.Second)
	fleet.checkGuarantees(5 * clock.Second)
}
