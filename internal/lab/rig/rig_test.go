package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"spurtrestle/core/membership"
	"spurtrestle/internal/lab/links"
	"spurtrestle/internal/lab/testprogram"
	"spurtrestle/internal/lab/viewref"
)

// The times in these tests are for a probe interval of 200 ms on a machine that runs the other tests as well; docs/results.md has
// the times of a machine without other load.
const probe = 200 * time.Millisecond

var bounds = viewref.Bounds{SettleWithin: 12 * time.Second, RemoveWithin: 12 * time.Second, RestoreWithin: 8 * time.Second}

// trial is a rig that belongs to a test.
type trial struct {
	*Rig
	t *testing.T
}

func newTrial(t *testing.T, o Options) trial {
	t.Parallel()
	var err error
	if o.Program, err = testprogram.Fleet(); err != nil {
		t.Fatal(err)
	}
	o.Dir, o.Probe = t.TempDir(), probe
	if o.Sites == nil {
		o.Sites = []string{"north", "south"}
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.PollInterval == 0 {
		o.PollInterval = 100 * time.Millisecond
	}
	r, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		if !t.Failed() {
			return
		}
		for i := range o.Routers {
			text, _ := os.ReadFile(r.Log(i)) // it may never have been started
			t.Logf("router %d:\n%s", i, text[max(0, len(text)-3000):])
		}
	})
	return trial{r, t}
}

func (t trial) must(err error) {
	t.t.Helper()
	if err != nil {
		t.t.Fatal(err)
	}
}

func (t trial) start(note string, who ...int) {
	t.t.Helper()
	t.must(t.Start(note, who...))
}

// settle waits until all routers show the same settled view.
func (t trial) settle() {
	t.t.Helper()
	t.must(t.Settle(bounds.SettleWithin))
}

func (t trial) checkRecord(b viewref.Bounds) viewref.Record {
	t.t.Helper()
	rec := t.Record()
	for i, x := range rec.Check(b) {
		if i < 5 {
			t.t.Error(x)
		}
	}
	for _, e := range rec.Convergences() {
		t.t.Logf("%v %s: settled after %v", e.At.Round(time.Millisecond), e.What, e.Settled.Round(time.Millisecond))
	}
	return rec
}

// countLogLines returns how often a pattern occurs in a router's log.
func (t trial) countLogLines(i int, pattern string) int {
	t.t.Helper()
	text, err := os.ReadFile(t.Log(i))
	t.must(err)
	return len(regexp.MustCompile(pattern).FindAllIndex(text, -1))
}

func routersBelow(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// Views must follow a crash, a return, a partition into halves, a fast restart and an orderly leave. The record is then
// falsified in several ways, and each must be detected.
func TestViewsFollowCrashPartitionAndLeave(t *testing.T) {
	r := newTrial(t, Options{Routers: 7})
	all, one, other := routersBelow(7), []int{0, 1, 2}, []int{3, 4, 5, 6}
	r.start("start of all", all...)
	r.settle()
	calm := r.countLogLines(0, "fleet: ")
	time.Sleep(2 * time.Second)
	if now := r.countLogLines(0, "fleet: "); now != calm {
		t.Errorf("%d log lines of the fleet while nothing changed", now-calm)
	}
	r.Kill("crash", 3)
	time.Sleep(5 * time.Second)
	r.settle()
	r.start("return", 3)
	r.settle()
	r.Cut("halves", true, one, other, true, false)
	time.Sleep(2 * time.Second)
	r.Kill("crash in a half", 6) // both halves lose and gain meanwhile
	time.Sleep(7 * time.Second)
	r.Cut("halves healed", false, one, other, true, false)
	r.settle()
	r.Kill("restart within 100 ms", 4)
	r.start("restart within 100 ms", 4)
	r.settle()
	r.must(r.Stop("leave", 5))
	r.Kill("crash right after a leave", 2)
	time.Sleep(7 * time.Second)
	r.settle()
	if w, err := r.View(0); err != nil || state(w, "r5") != membership.Left || state(w, "r2") != membership.Lost {
		t.Errorf("r5 is %v and r2 %v; %v", state(w, "r5"), state(w, "r2"), err)
	}
	rec := r.checkRecord(bounds)
	checkViolationsAreDetected(t, rec)
}

func state(w membership.Snapshot, name membership.Name) membership.State {
	for _, r := range w.Routers {
		if r.Name == name {
			return r.State
		}
	}
	return 0
}

// checkViolationsAreDetected falsifies the samples of one router in a correct record, in each way in which a view can be wrong.
func checkViolationsAreDetected(t *testing.T, correct viewref.Record) {
	first := map[membership.Name]string{}
	for name, c := range map[string]struct {
		rule    string
		falsify func(*membership.Snapshot)
	}{
		"never gives up the dead": {"dead", func(w *membership.Snapshot) {
			for i := range w.Routers {
				if w.Routers[i].State == membership.Lost {
					w.Routers[i].State = membership.Alive
				}
			}
		}},
		"repeats an old incarnation": {"living", func(w *membership.Snapshot) {
			for i, r := range w.Routers {
				if first[r.Name] == "" {
					first[r.Name] = r.Incarnation
				}
				if r.Name != w.ReportedBy {
					w.Routers[i].Incarnation = first[r.Name]
				}
			}
		}},
		"answers for another": {"living", func(w *membership.Snapshot) {
			for i, r := range w.Routers {
				if r.Name == "r1" {
					w.Routers[i].Incarnation = "bad"
				}
			}
		}},
		"gives up the living": {"living", func(w *membership.Snapshot) {
			for i, r := range w.Routers {
				if r.Name == "r1" {
					w.Routers[i].State = membership.Lost
				}
			}
		}},
		"one digest for all": {"digest", func(w *membership.Snapshot) { w.Digest = "1" }},
		"never settles":      {"settles", func(w *membership.Snapshot) { w.Settled = false }},
	} {
		rec := correct
		rec.Samples = nil
		for _, s := range correct.Samples {
			if s.Router == 0 {
				s.View.Routers = append([]membership.RouterStatus(nil), s.View.Routers...)
				c.falsify(&s.View)
			}
			rec.Samples = append(rec.Samples, s)
		}
		detected := false
		for _, b := range rec.Check(viewref.Bounds{SettleWithin: 3 * time.Second, RemoveWithin: 3 * time.Second, RestoreWithin: 3 * time.Second}) {
			detected = detected || b.Rule == c.rule && (strings.HasPrefix(b.What, "r0 ") || c.rule == "digest")
		}
		if !detected {
			t.Errorf("a router that %s was not detected", name)
		}
	}
}

// With 30% of packets lost and a fifth duplicated and reordered, no running router may count as lost for long, and a crash must
// still be detected.
func TestLossyLinks(t *testing.T) {
	r := newTrial(t, Options{Routers: 6})
	all := routersBelow(6)
	r.start("start of all", all...)
	r.settle()
	r.Links.UpdateRules(all, all, func(x *links.Rule) { x.LossShare, x.DuplicateShare, x.ReorderShare = 0.3, 0.2, 0.2 })
	r.RecordStatusChange(0, "30% lost")
	time.Sleep(12 * time.Second)
	r.Kill("crash at 30% lost", 2)
	time.Sleep(10 * time.Second)
	r.Links.UpdateRules(all, all, func(x *links.Rule) { *x = links.Rule{} })
	r.RecordStatusChange(0, "whole again")
	r.settle()
	r.checkRecord(viewref.Bounds{SettleWithin: 60 * time.Second, RemoveWithin: 20 * time.Second, RestoreWithin: 12 * time.Second})
}

// One direction of a link is cut; then a router receives everything, but nothing that it sends arrives.
func TestOneWayLinks(t *testing.T) {
	r := newTrial(t, Options{Routers: 6})
	all := routersBelow(6)
	r.start("start of all", all...)
	r.settle()
	r.Cut("one way of one link", true, []int{1}, []int{4}, false, false)
	time.Sleep(6 * time.Second)
	r.settle() // the other routers relay what cannot be sent directly
	r.Cut("heard by none", true, []int{5}, all, false, false)
	time.Sleep(10 * time.Second)
	if w, err := r.View(0); err != nil || state(w, "r5") != membership.Lost {
		t.Errorf("a router that nobody hears is shown as %v; %v", state(w, "r5"), err)
	}
	r.Cut("heard again", false, []int{5}, all, false, false)
	r.settle()
	r.checkRecord(bounds)
}

// A partition into three parts lasts longer than lost routers are remembered and is healed step by step.
func TestPartitionIntoThree(t *testing.T) {
	r := newTrial(t, Options{Routers: 6, ForgetAfter: 3 * time.Second})
	a, b, c := []int{0, 1}, []int{2, 3}, []int{4, 5}
	r.start("start of all", routersBelow(6)...)
	r.settle()
	r.Cut("three ways", true, a, b, true, true)
	r.Cut("three ways", true, a, c, true, true)
	r.Cut("three ways", true, b, c, true, true)
	time.Sleep(12 * time.Second)
	if w, err := r.View(0); err != nil || len(w.Routers) != 2 {
		t.Errorf("%d routers are shown, want the two that are reachable; %v", len(w.Routers), err)
	}
	r.Cut("two of three healed", false, a, b, true, false)
	time.Sleep(6 * time.Second)
	r.Cut("all healed", false, append(a, b...), c, true, false)
	r.settle()
	r.checkRecord(bounds)
}

// All routers restart within a second, with their own addresses and then with each other's; then one restarts while all
// routers of its join list are dead.
func TestAllRestart(t *testing.T) {
	r := newTrial(t, Options{Routers: 6, KeepPeers: true})
	all := routersBelow(6)
	r.start("start of all", all...)
	r.settle()
	r.Kill("restart of all", all...)
	r.start("restart of all", all...)
	r.settle()
	r.Kill("restart elsewhere", all...)
	for i := range all {
		r.UseAddressesOf(i, (i+1)%6)
	}
	r.start("restart elsewhere", all...)
	r.settle()
	// Routers 5 and 0 now use the addresses of the join list. A restarted router finds the others by its saved peers.
	r.Kill("all of join dead", 5, 0)
	time.Sleep(5 * time.Second)
	r.Kill("restart without join", 3)
	r.start("restart without join", 3)
	r.settle()
	if w, err := r.View(3); err != nil || w.Sites[0].Alive+w.Sites[1].Alive != 4 {
		t.Errorf("started with all of its join list dead, it sees %+v; %v", w.Sites, err)
	}
	r.checkRecord(bounds)
}

// A router that is suspended for 1 s, 5 s and 30 s must recover, know on resuming that its view is stale, and not flap.
func TestStalls(t *testing.T) {
	r := newTrial(t, Options{Routers: 6})
	r.start("start of all", routersBelow(6)...)
	r.settle()
	for _, span := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
		r.must(r.Stall(fmt.Sprintf("stall of %v", span), true, 2))
		time.Sleep(span)
		r.must(r.Stall(fmt.Sprintf("wake after %v", span), false, 2))
		w, err := r.View(2)
		if err == nil && w.Settled && w.SettledFor > 1e6 {
			t.Errorf("awake after %v it is settled for %v µs", span, w.SettledFor)
		}
		time.Sleep(4 * time.Second)
		r.settle()
	}
	if n := r.countLogLines(2, "stood still"); n < 3 { // a busy machine may cause more
		t.Errorf("%d log lines say that it stood still, want 3 at least", n)
	}
	if n := r.countLogLines(0, `"fleet: lost".*"router":"r2"`); n > 3 { // once for each stall
		t.Errorf("it was reported lost %d times, want 3 at most", n)
	}
	r.checkRecord(bounds)
}

// A router with a name in use must not start; of two that meet when a partition heals, the younger one stays out of service.
func TestNameConflict(t *testing.T) {
	r := newTrial(t, Options{Routers: 5})
	r.start("start", 0, 1, 2)
	r.settle()
	r.SetName(3, "r1")
	if err := r.Start("taken", 3); err == nil { // on a busy machine the start may succeed before the others answer
		r.waitUntil("a name that is taken is kept out", func() bool {
			_, err := r.Call(3, "GET", "/ops/readiness")
			return err != nil && strings.Contains(err.Error(), `the name "r1" is that of a router at `)
		})
		r.Kill("taken", 3)
	} else if text, _ := os.ReadFile(r.Log(3)); !strings.Contains(string(text), // an unreadable log fails the check
		`p3.toml: line 1: fleet.router: the name "r1" is that of a router at `) {
		t.Fatalf("a name that is taken: %v; %s", err, text)
	}
	r.Cut("apart", true, []int{4}, []int{0, 1, 2, 3}, true, false)
	r.SetName(4, "r1")
	r.start("same name apart", 4)
	time.Sleep(3 * time.Second)
	if _, err := r.Call(4, "GET", "/ops/readiness"); err != nil {
		t.Errorf("alone it serves: %v", err)
	}
	r.Cut("together", false, []int{4}, []int{0, 1, 2, 3}, true, false)
	r.waitUntil("the younger keeps out of service", func() bool {
		_, err := r.Call(4, "GET", "/ops/readiness")
		return err != nil && strings.Contains(err.Error(), `the name "r1" is that of a router at `)
	})
	if _, err := r.Call(1, "GET", "/ops/readiness"); err != nil {
		t.Errorf("the elder serves on: %v", err)
	}
	r.waitUntil("all say that two have the name", func() bool {
		for _, i := range []int{0, 1, 2, 4} {
			w, err := r.View(i)
			if err != nil || !row(w, "r1").NameConflict {
				return false
			}
		}
		return true
	})
	r.Kill("the elder ends", 1)
	r.waitUntil("the younger has the name", func() bool {
		_, err := r.Call(4, "GET", "/ops/readiness")
		return err == nil
	})
}

func row(w membership.Snapshot, name membership.Name) membership.RouterStatus {
	for _, r := range w.Routers {
		if r.Name == name {
			return r
		}
	}
	return membership.RouterStatus{}
}

func (t trial) waitUntil(what string, ok func() bool) {
	t.t.Helper()
	for end := time.Now().Add(bounds.SettleWithin); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.t.Fatalf("not within %v: %s", bounds.SettleWithin, what)
		}
	}
}

// share returns a router's share of what all may send together, in millionths.
func (t trial) share(i int) int {
	text, err := t.Call(i, "GET", "/ops/stats")
	if err != nil {
		return -1
	}
	_, rest, _ := strings.Cut(text, "router.fleet.part_ppm:")
	n, err := strconv.Atoi(strings.Split(rest, "|")[0])
	if err != nil {
		return -1
	}
	return n
}

// The share of a drained router moves to the others and back, that of a router that leaves moves to the others, and that of an
// unreachable router stays. The sum of all shares never exceeds the whole.
func TestSharesFollowDrainAndLeave(t *testing.T) {
	r := newTrial(t, Options{Routers: 5})
	r.start("start", routersBelow(5)...)
	r.settle()
	const own, more, least = 200000, 200000 + 7*200000/8/4, 200000 / 8
	// all waits until each of the routers has the share, and checks that the sum of all shares never exceeds the whole.
	all := func(what string, who []int, want, of0 int) {
		t.Helper()
		r.waitUntil(what, func() bool {
			sum, ok := 0, of0 < 0 || near(r.share(0), of0)
			for i := range 5 {
				if p := r.share(i); p > 0 {
					sum += p
				}
			}
			if sum > 1000000 {
				t.Errorf("%s: the shares sum to %d millionths", what, sum)
			}
			for _, i := range who {
				ok = ok && near(r.share(i), want)
			}
			return ok
		})
	}
	others := []int{1, 2, 3, 4}
	all("each has its own", others, own, own)
	_, err := r.Call(0, "PUT", "/ops/drain/start")
	r.must(err)
	began := time.Now()
	all("a drained router's part is the others'", others, more, least)
	t.Logf("after %v", time.Since(began))
	_, err = r.Call(0, "PUT", "/ops/drain/stop")
	r.must(err)
	began = time.Now()
	all("it has it back", others, own, own)
	t.Logf("back after %v", time.Since(began))
	r.Cut("0 is cut off", true, []int{0}, others, true, false)
	time.Sleep(5 * time.Second)
	all("nothing is taken from one that is not heard", others, own, own)
	r.Cut("0 is back", false, []int{0}, others, true, false)
	r.settle()
	r.must(r.Stop("leave", 0))
	all("one that has left leaves its part", others, more, -1)
	r.start("return", 0)
	all("and has it back when it returns", others, own, own)
}

func near(a, b int) bool { return a-b < 10 && b-a < 10 }

// A router of another fleet must be rejected by both sides, with the names of both fleets.
func TestOtherFleet(t *testing.T) {
	r := newTrial(t, Options{Routers: 3, Fleet: func(i int) string { return []string{"rig", "rig", "other"}[i] }})
	r.start("start", 0, 1)
	r.start("of another fleet", 2)
	r.waitUntil("both sides say so", func() bool {
		return r.countLogLines(2, `is of fleet \\"rig\\", and this one, \\"r2\\", of fleet \\"other\\"`) > 0 &&
			r.countLogLines(0, `is of fleet \\"other\\", and this one, \\"r0\\", of fleet \\"rig\\"`)+
				r.countLogLines(1, `is of fleet \\"other\\", and this one, \\"r1\\", of fleet \\"rig\\"`) > 0
	})
	if w, err := r.View(0); err != nil || len(w.Routers) != 2 {
		t.Errorf("%d routers; %v", len(w.Routers), err)
	}
}

// A router of another service must be rejected by both sides, with the methods of both, even if the fleet names are equal.
func TestOtherService(t *testing.T) {
	r := newTrial(t, Options{Routers: 3, Method: func(i int) string { return []string{"get", "get", "tile"}[i] }})
	r.start("start", 0, 1)
	r.start("of another service", 2)
	const of = `: it is of a service with the methods %s, and this router serves one with %s; correct fleet.name or fleet.join of one of them`
	r.waitUntil("both sides say so", func() bool {
		return r.countLogLines(2, `router \\"r[01]\\" at \S+`+fmt.Sprintf(of, "get", "tile")) > 0 &&
			r.countLogLines(0, fmt.Sprintf(of, "tile", "get"))+r.countLogLines(1, fmt.Sprintf(of, "tile", "get")) > 0
	})
	for i, want := range []int{2, 2, 1} {
		if w, err := r.View(i); err != nil || len(w.Routers) != want {
			t.Errorf("router %d sees %d routers; %v", i, len(w.Routers), err)
		}
	}
}

// A router whose process is replaced while it serves must never be shown as lost.
func TestReplacedProcessIsNeverLost(t *testing.T) {
	r := newTrial(t, Options{Routers: 4})
	r.start("start", routersBelow(4)...)
	r.settle()
	lost := make(chan int)
	stop := make(chan struct{})
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				lost <- n
				return
			case <-time.After(30 * time.Millisecond):
			}
			if w, err := r.View(2); err == nil && state(w, "r0") != membership.Alive {
				n++
			}
		}
	}()
	was, err := r.View(2)
	r.must(err)
	r.must(r.Replace(0))
	r.waitUntil("the new process is seen", func() bool {
		w, err := r.View(2)
		return err == nil && row(w, "r0").Incarnation != row(was, "r0").Incarnation
	})
	r.settle()
	close(stop)
	if n := <-lost; n > 0 {
		t.Errorf("it was not alive in %d views", n)
	}
	if p := r.share(0); !near(p, 250000) {
		t.Errorf("its part is %d", p)
	}
}

// Sixteen routers join four within a second, twelve are restarted one after the other, and one flaps: the views must settle
// each time.
func TestJoinsRollAndFlap(t *testing.T) {
	r := newTrial(t, Options{Routers: 20, PollInterval: 300 * time.Millisecond})
	r.start("start", 0, 1, 2, 3)
	r.settle()
	r.start("sixteen join", routersBelow(20)[4:]...)
	r.settle()
	for _, i := range routersBelow(20)[4:16] {
		r.must(r.Stop("roll", i))
		r.start("roll", i)
	}
	r.settle()
	for range 5 {
		r.Kill("flap", 19)
		time.Sleep(100 * time.Millisecond)
		r.start("flap", 19)
		time.Sleep(200 * time.Millisecond)
	}
	r.settle()
	r.checkRecord(bounds)
}

// A full disk or a missing directory for the saved peers must cause a warning, but no loss of service.
func TestPeersDirectoryFullOrMissing(t *testing.T) {
	r := newTrial(t, Options{Routers: 3, KeepPeers: true})
	r.must(r.Configure(2)) // creates the directory
	folder := r.file(2, "peers")
	r.must(os.Symlink("/dev/full", filepath.Join(folder, "peers.json.new")))
	r.start("start", 0, 1, 2)
	r.settle()
	r.waitUntil("it warns", func() bool { return r.countLogLines(2, "the peers known are not kept; free the disk") == 1 })
	if _, err := r.Call(2, "GET", "/ops/readiness"); err != nil {
		t.Error(err)
	}
	r.must(os.Remove(filepath.Join(folder, "peers.json.new")))
	r.Kill("something to tell", 1)
	r.waitUntil("it is kept again", func() bool { return r.countLogLines(2, "the peers known are kept again") == 1 })
	r.must(os.RemoveAll(folder))
	r.start("back", 1)
	r.waitUntil("it warns again", func() bool { return r.countLogLines(2, "the peers known are not kept") == 2 })
	if _, err := r.Call(2, "GET", "/ops/readiness"); err != nil {
		t.Error(err)
	}
}
