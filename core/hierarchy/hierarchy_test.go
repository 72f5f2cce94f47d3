package hierarchy

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"spurtrestle/core/clock"
)

// At rest: five sites of 18 routers settle in ten seconds, and stay so for little.
func TestSettlesInTenSeconds(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(t, seed, 5, 2, 18)
		w.startAll(clock.Second)
		took := w.until("settled", 10*clock.Second, w.settled)
		w.run(10 * clock.Second)
		w.forget()
		w.run(60 * clock.Second)
		t.Logf("seed %d: settled after %.1f s", seed, float64(took)/1e6)
		if most := w.rates(60 * clock.Second); most > 1000 {
			t.Errorf("a router spends %.0f B/s", most)
		}
		w.verdict(2 * clock.Second)
	}
}

// verdict fails where the checker saw something that is not guaranteed.
func (w *world) verdict(over clock.Time) {
	w.t.Helper()
	w.t.Logf("longest: %.1f s with too many representatives, %.1f s with none; %d of %d falsely lost; datagrams up to %d bytes",
		float64(w.longestOver)/1e6, float64(w.longestNone)/1e6, w.falselyLost, w.judged, w.longestFlight)
	if w.longestOver > over {
		w.t.Errorf("a site had too many representatives for %.1f s", float64(w.longestOver)/1e6)
	}
	if w.falselyLost > 0 {
		w.t.Errorf("%d times in %d one with living routers counted as lost", w.falselyLost, w.judged)
	}
	if w.longestFlight > MaxDatagramSize {
		w.t.Errorf("a datagram of %d bytes", w.longestFlight)
	}
}

// A change is known everywhere within seven seconds with 2% of the datagrams lost and a representative killed each second.
func TestChangeIsKnownWhileRepresentativesDie(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(t, seed, 5, 2, 18)
		w.startAll(clock.Second)
		w.until("settled", 10*clock.Second, w.settled)
		w.lose = 0.02
		slowest := w.changes(0, 20, 8*clock.Second)
		if slowest > 7*clock.Second {
			t.Errorf("a change took %.1f s", float64(slowest)/1e6)
		}
		t.Logf("seed %d: the slowest of 20 changes was known after %.1f s", seed, float64(slowest)/1e6)
		took := w.until("agreed after the last fault", 20*clock.Second, w.agreed)
		t.Logf("agreed %.1f s after the last fault", float64(took)/1e6)
		w.verdict(5 * clock.Second)
	}
}

// changes has a router hold a new revision every so often, while a representative is killed each second and comes back ten
// seconds later, and returns the longest time until one was known to all.
func (w *world) changes(after uint64, n int, every clock.Time) (slowest clock.Time) {
	w.t.Helper()
	var down []*node
	for revision := after + 1; revision <= after+uint64(n); revision++ {
		changed, known := w.now, clock.Time(0)
		w.hold(w.pick(w.living(ordinary)), revision)
		for w.now-changed < every {
			w.run(stepEvery)
			if known == 0 && w.known(revision) {
				known = w.now - changed
			}
			if w.now%clock.Second < stepEvery {
				victim := w.pick(w.living(represents))
				w.kill(victim)
				down = append(down, victim)
			}
			for len(down) > 0 && w.now-down[0].since > 10*clock.Second {
				w.start(down[0])
				down = down[1:]
			}
		}
		if known == 0 {
			w.t.Errorf("revision %d was not known everywhere after %d s", revision, every/clock.Second)
			known = every
		}
		slowest = max(slowest, known)
	}
	for _, n := range down {
		w.start(n)
	}
	return slowest
}

// The target's size, by its representatives alone: 760 sites in 41 regions.
func TestTargetSize(t *testing.T) {
	if testing.Short() {
		t.Skip("some ten seconds")
	}
	w := newWorld(t, 1, 760, 41, 2)
	w.startAll(clock.Second)
	took := w.until("settled", 10*clock.Second, w.settled)
	w.run(50 * clock.Second)
	w.forget()
	w.run(20 * clock.Second)
	t.Logf("settled after %.1f s", float64(took)/1e6)
	t.Logf("the oldest sign of life is %.1f s old", float64(w.oldest())/1e6)
	if w.oldest() > w.rules.StaleAfter {
		t.Error("a summary is stale at rest")
	}
	if most := w.rates(20 * clock.Second); most > 1500 {
		t.Errorf("a representative spends %.0f B/s", most)
	}
	w.hold(w.nodes[700], 1)
	changed := w.until("told of revision 1", 7*clock.Second, func() bool { return w.known(1) })
	t.Logf("a change known everywhere after %.1f s", float64(changed)/1e6)
	w.verdict(2 * clock.Second)
}

// What summaries cost a router at rest, by the fleet's size: sites of 18 routers and regions of 18 sites, and the target's fleet at
// the end. A router's bytes rise until its region is whole, and with the number of regions from then on, not with the fleet.
func TestCostAtRestBySize(t *testing.T) {
	const perSite, perRegion = 18, 18
	sites := []int{3, 6, 12, 23, 45}
	if *long {
		sites = append(sites, 89, 178, 324, 760)
	}
	var costs []float64
	for _, n := range sites {
		t.Run(fmt.Sprintf("%d_routers", n*perSite), func(t *testing.T) {
			w := newWorld(t, 1, n, (n+perRegion-1)/perRegion, perSite)
			w.startAll(clock.Second)
			w.until("settled", 20*clock.Second, w.settled)
			w.run(40 * clock.Second)
			w.forget()
			w.run(20 * clock.Second)
			cost := w.mean(20 * clock.Second)
			t.Logf("%d regions: %.0f B/s", (n+perRegion-1)/perRegion, cost)
			costs = append(costs, cost)
		})
	}
	if least, most := slices.Min(costs), slices.Max(costs); most > 1.6*least {
		t.Errorf("a router spends from %.0f to %.0f B/s", least, most)
	}
}

// mean is bytes a second of a router since the last call of forget, in and out together.
func (w *world) mean(span clock.Time) float64 {
	sum := 0
	for _, n := range w.nodes {
		sum += n.in + n.out
	}
	return float64(sum) * 1e6 / float64(span) / float64(len(w.nodes))
}

var long = flag.Bool("long", false, "play the target's whole fleet: minutes, and a GB")

// The target's whole fleet: 13,680 routers at 760 sites in 41 regions, at rest, with the target's changes of configuration, and
// with losses and a representative killed each second.
func TestWholeFleet(t *testing.T) {
	if !*long {
		t.Skip("minutes; -long plays it")
	}
	w := newWorld(t, 1, 760, 41, 18)
	w.startAll(clock.Second)
	took := w.until("settled", 20*clock.Second, w.settled)
	t.Logf("settled after %.1f s", float64(took)/1e6)
	w.run(4 * clock.Second)
	w.forget()
	w.run(20 * clock.Second)
	w.rates(20 * clock.Second)
	for revision := range uint64(3) { // 13,000 a day
		for _, n := range w.nodes {
			w.hold(n, revision+1)
			n.held += clock.Time(w.rng.IntN(1e6)) // in force here within a clock.Second
		}
		w.run(6600e3)
	}
	t.Logf("with a change in each 6.6 s:")
	w.rates(3 * 6600e3)
	w.lose = 0.02
	slowest := w.changes(10, 3, 8*clock.Second)
	t.Logf("the slowest of 3 changes was known after %.1f s, with 2%% lost and a representative killed each clock.Second", float64(slowest)/1e6)
	w.rates(24 * clock.Second)
	w.verdict(5 * clock.Second)
}
