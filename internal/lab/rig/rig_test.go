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

// The times in here are those of a probe each 200 ms on a machine that is busy with the other trials; docs/results.md has
// what was measured without.
const probe = 200 * time.Millisecond

var bounds = viewref.Bounds{SettleWithin: 12 * time.Second, RemoveWithin: 12 * time.Second, RestoreWithin: 8 * time.Second}

// trial is a rig and a test.
type trial struct {
	*Rig
	t *testing.T
}

func play(t *testing.T, o Options) trial {
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

// settle waits for one view, and for it to be judged.
func (t trial) settle() {
	t.t.Helper()
	t.must(t.Settle(bounds.SettleWithin))
}

func (t trial) judge(b viewref.Bounds) viewref.Record {
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

// log counts the lines of a router's log that a pattern is in.
func (t trial) log(i int, pattern string) int {
	t.t.Helper()
	text, err := os.ReadFile(t.Log(i))
	t.must(err)
	return len(regexp.MustCompile(pattern).FindAllIndex(text, -1))
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// Crash, return, halves, a restart within moments, leaving; then the same record with cheaters in it.
func TestCrashHalvesLeave(t *testing.T) {
	r := play(t, Options{Routers: 7})
	all, one, other := upTo(7), []int{0, 1, 2}, []int{3, 4, 5, 6}
	r.start("start of all", all...)
	r.settle()
	calm := r.log(0, "fleet: ")
	time.Sleep(2 * time.Second)
	if now := r.log(0, "fleet: "); now != calm {
		t.Errorf("%d lines in a calm while", now-calm)
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
	rec := r.judge(bounds)
	cheaters(t, rec)
}

func state(w membership.Snapshot, name membership.Name) membership.State {
	for _, r := range w.Routers {
		if r.Name == name {
			return r.State
		}
	}
	return 0
}

// cheaters changes what one router showed in an honest record, in the ways in which a view can be wrong; each is caught.
func cheaters(t *testing.T, honest viewref.Record) {
	first := map[membership.Name]string{}
	for name, c := range map[string]struct {
		rule  string
		cheat func(*membership.Snapshot)
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
		rec := honest
		rec.Samples = nil
		for _, s := range honest.Samples {
			if s.Router == 0 {
				s.View.Routers = append([]membership.RouterStatus(nil), s.View.Routers...)
				c.cheat(&s.View)
			}
			rec.Samples = append(rec.Samples, s)
		}
		caught := false
		for _, b := range rec.Check(viewref.Bounds{SettleWithin: 3 * time.Second, RemoveWithin: 3 * time.Second, RestoreWithin: 3 * time.Second}) {
			caught = caught || b.Rule == c.rule && (strings.HasPrefix(b.What, "r0 ") || c.rule == "digest")
		}
		if !caught {
			t.Errorf("a router that %s is not caught", name)
		}
	}
}

// A third of all packets is lost, doubled and disordered: nobody is held for gone for long, and a crash is still found.
func TestLossyLinks(t *testing.T) {
	r := play(t, Options{Routers: 6})
	all := upTo(6)
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
	r.judge(viewref.Bounds{SettleWithin: 60 * time.Second, RemoveWithin: 20 * time.Second, RestoreWithin: 12 * time.Second})
}

// One way of one link is dead; then a router hears all and is heard by none.
func TestOneWay(t *testing.T) {
	r := play(t, Options{Routers: 6})
	all := upTo(6)
	r.start("start of all", all...)
	r.settle()
	r.Cut("one way of one link", true, []int{1}, []int{4}, false, false)
	time.Sleep(6 * time.Second)
	r.settle() // the others pass on what does not go straight
	r.Cut("heard by none", true, []int{5}, all, false, false)
	time.Sleep(10 * time.Second)
	if w, err := r.View(0); err != nil || state(w, "r5") != membership.Lost {
		t.Errorf("a router that is heard by none is %v; %v", state(w, "r5"), err)
	}
	r.Cut("heard again", false, []int{5}, all, false, false)
	r.settle()
	r.judge(bounds)
}

// Three ways apart, healed one after the other, and apart for longer than the dead are remembered.
func TestThreeWaysApart(t *testing.T) {
	r := play(t, Options{Routers: 6, ForgetAfter: 3 * time.Second})
	a, b, c := []int{0, 1}, []int{2, 3}, []int{4, 5}
	r.start("start of all", upTo(6)...)
	r.settle()
	r.Cut("three ways", true, a, b, true, true)
	r.Cut("three ways", true, a, c, true, true)
	r.Cut("three ways", true, b, c, true, true)
	time.Sleep(12 * time.Second)
	if w, err := r.View(0); err != nil || len(w.Routers) != 2 {
		t.Errorf("%d routers are shown, of the two that are in reach; %v", len(w.Routers), err)
	}
	r.Cut("two of three healed", false, a, b, true, false)
	time.Sleep(6 * time.Second)
	r.Cut("all healed", false, append(a, b...), c, true, false)
	r.settle()
	r.judge(bounds)
}

// All restart within a second: with their addresses, then with one another's; and all of join are gone.
func TestAllRestart(t *testing.T) {
	r := play(t, Options{Routers: 6, KeepPeers: true})
	all := upTo(6)
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
	// Those of join are at the addresses of routers 5 and 0 now. A restart finds the others by its folder.
	r.Kill("all of join dead", 5, 0)
	time.Sleep(5 * time.Second)
	r.Kill("restart without join", 3)
	r.start("restart without join", 3)
	r.settle()
	if w, err := r.View(3); err != nil || w.Sites[0].Alive+w.Sites[1].Alive != 4 {
		t.Errorf("started with all of join dead it sees %+v; %v", w.Sites, err)
	}
	r.judge(bounds)
}

// A router that stands still for 1 s, 5 s and half a minute is itself again, knows on waking that its view is old, and does not flap.
func TestStalls(t *testing.T) {
	r := play(t, Options{Routers: 6})
	r.start("start of all", upTo(6)...)
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
	if n := r.log(2, "stood still"); n < 3 { // a busy machine may make it more
		t.Errorf("%d lines say that it stood still", n)
	}
	if n := r.log(0, `"fleet: lost".*"router":"r2"`); n > 3 { // once for each stall
		t.Errorf("it was held for lost %d times", n)
	}
	r.judge(bounds)
}

// A name that is taken: a start is refused; of two that meet when a partition heals, the younger keeps out of service.
func TestNameTaken(t *testing.T) {
	r := play(t, Options{Routers: 5})
	r.start("start", 0, 1, 2)
	r.settle()
	r.SetName(3, "r1")
	if err := r.Start("taken", 3); err == nil { // on a busy machine the others do not answer within the start
		r.until("a name that is taken is kept out", func() bool {
			_, err := r.Call(3, "GET", "/ops/readiness")
			return err != nil && strings.Contains(err.Error(), `the name "r1" is that of a router at `)
		})
		r.Kill("taken", 3)
	} else if text, _ := os.ReadFile(r.Log(3)); !strings.Contains(string(text), // that it cannot be read shows here
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
	r.until("the younger keeps out of service", func() bool {
		_, err := r.Call(4, "GET", "/ops/readiness")
		return err != nil && strings.Contains(err.Error(), `the name "r1" is that of a router at `)
	})
	if _, err := r.Call(1, "GET", "/ops/readiness"); err != nil {
		t.Errorf("the elder serves on: %v", err)
	}
	r.until("all say that two have the name", func() bool {
		for _, i := range []int{0, 1, 2, 4} {
			w, err := r.View(i)
			if err != nil || !row(w, "r1").NameConflict {
				return false
			}
		}
		return true
	})
	r.Kill("the elder ends", 1)
	r.until("the younger has the name", func() bool {
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

func (t trial) until(what string, ok func() bool) {
	t.t.Helper()
	for end := time.Now().Add(bounds.SettleWithin); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.t.Fatalf("not within %v: %s", bounds.SettleWithin, what)
		}
	}
}

// part is a router's part of what all may send together, in millionths.
func (t trial) part(i int) int {
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

// A drained router's part is the others' within moments and comes back to it; one that leaves leaves its part behind for a
// while; from one that is only not heard nothing is taken. The parts never sum to over the whole.
func TestPartsFollow(t *testing.T) {
	r := play(t, Options{Routers: 5})
	r.start("start", upTo(5)...)
	r.settle()
	const own, more, least = 200000, 200000 + 7*200000/8/4, 200000 / 8
	// Of the four others: each has this, and the sum of all that answer is never over the whole.
	all := func(what string, who []int, want, of0 int) {
		t.Helper()
		r.until(what, func() bool {
			sum, ok := 0, of0 < 0 || near(r.part(0), of0)
			for i := range 5 {
				if p := r.part(i); p > 0 {
					sum += p
				}
			}
			if sum > 1000000 {
				t.Errorf("%s: the parts sum to %d millionths", what, sum)
			}
			for _, i := range who {
				ok = ok && near(r.part(i), want)
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

// A router of another fleet is refused on both sides, by name.
func TestOtherFleet(t *testing.T) {
	r := play(t, Options{Routers: 3, Fleet: func(i int) string { return []string{"rig", "rig", "other"}[i] }})
	r.start("start", 0, 1)
	r.start("of another fleet", 2)
	r.until("both sides say so", func() bool {
		return r.log(2, `is of fleet \\"rig\\", and this one, \\"r2\\", of fleet \\"other\\"`) > 0 &&
			r.log(0, `is of fleet \\"other\\", and this one, \\"r0\\", of fleet \\"rig\\"`)+
				r.log(1, `is of fleet \\"other\\", and this one, \\"r1\\", of fleet \\"rig\\"`) > 0
	})
	if w, err := r.View(0); err != nil || len(w.Routers) != 2 {
		t.Errorf("%d routers; %v", len(w.Routers), err)
	}
}

// A router of another service is refused on both sides, by the methods of both, whatever its fleet is called.
func TestOtherService(t *testing.T) {
	r := play(t, Options{Routers: 3, Method: func(i int) string { return []string{"get", "get", "tile"}[i] }})
	r.start("start", 0, 1)
	r.start("of another service", 2)
	const of = `: it is of a service with the methods %s, and this router serves one with %s; correct fleet.name or fleet.join of one of them`
	r.until("both sides say so", func() bool {
		return r.log(2, `router \\"r[01]\\" at \S+`+fmt.Sprintf(of, "get", "tile")) > 0 &&
			r.log(0, fmt.Sprintf(of, "tile", "get"))+r.log(1, fmt.Sprintf(of, "tile", "get")) > 0
	})
	for i, want := range []int{2, 2, 1} {
		if w, err := r.View(i); err != nil || len(w.Routers) != want {
			t.Errorf("router %d sees %d routers; %v", i, len(w.Routers), err)
		}
	}
}

// A process that is replaced while it serves is one router, never lost for a moment.
func TestReplaced(t *testing.T) {
	r := play(t, Options{Routers: 4})
	r.start("start", upTo(4)...)
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
	r.until("the new process is seen", func() bool {
		w, err := r.View(2)
		return err == nil && row(w, "r0").Incarnation != row(was, "r0").Incarnation
	})
	r.settle()
	close(stop)
	if n := <-lost; n > 0 {
		t.Errorf("it was not alive in %d views", n)
	}
	if p := r.part(0); !near(p, 250000) {
		t.Errorf("its part is %d", p)
	}
}

// Sixteen join four within a second; then each of twelve is stopped in order and started again, one after the other; and one
// flaps: the others see it as there or gone, and settle once it stays.
func TestJoinsRollAndFlap(t *testing.T) {
	r := play(t, Options{Routers: 20, PollInterval: 300 * time.Millisecond})
	r.start("start", 0, 1, 2, 3)
	r.settle()
	r.start("sixteen join", upTo(20)[4:]...)
	r.settle()
	for _, i := range upTo(20)[4:16] {
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
	r.judge(bounds)
}

// A full disk under the folder of peers, and a folder that is gone, cost a warning and no service.
func TestFolderOfPeersFullOrLost(t *testing.T) {
	r := play(t, Options{Routers: 3, KeepPeers: true})
	r.must(r.Configure(2)) // which makes the folder
	folder := r.file(2, "peers")
	r.must(os.Symlink("/dev/full", filepath.Join(folder, "peers.json.new")))
	r.start("start", 0, 1, 2)
	r.settle()
	r.until("it warns", func() bool { return r.log(2, "the peers known are not kept; free the disk") == 1 })
	if _, err := r.Call(2, "GET", "/ops/readiness"); err != nil {
		t.Error(err)
	}
	r.must(os.Remove(filepath.Join(folder, "peers.json.new")))
	r.Kill("something to tell", 1)
	r.until("it is kept again", func() bool { return r.log(2, "the peers known are kept again") == 1 })
	r.must(os.RemoveAll(folder))
	r.start("back", 1)
	r.until("it warns again", func() bool { return r.log(2, "the peers known are not kept") == 2 })
	if _, err := r.Call(2, "GET", "/ops/readiness"); err != nil {
		t.Error(err)
	}
}
