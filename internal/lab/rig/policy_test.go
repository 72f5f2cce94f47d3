package rig

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurtrestle/core/policycommit"
)

// policyExcluding returns a policy that excludes a server, so that its revision is visible from outside.
func policyExcluding(uid string) string { return fmt.Sprintf("schema = 1\nout = [%q]\n", uid) }

func (t trial) apply(by int, base int, token, doc string) (policycommit.Verdict, error) {
	s, err := t.AskPolicy(by, map[string]any{"what": "apply", "doc": doc, "base": base, "token": token, "author": "test", "reason": token})
	if err != nil || s.Verdict == nil {
		return policycommit.Verdict{}, fmt.Errorf("no verdict: %w", err)
	}
	return *s.Verdict, nil
}

type policyStatus struct {
	Revision policycommit.Revision `json:"revision"`
	InForce  policycommit.Revision `json:"in_force"`
	May      bool                  `json:"may_take"`
	Leads    bool                  `json:"leads"`
	Folder   string                `json:"folder"`
	Extra    float64               `json:"extra"`
}

func (t trial) policyStatus(i int) (h policyStatus) {
	text, err := t.Call(i, "GET", "/ops/policy")
	if err == nil {
		err = json.Unmarshal([]byte(text), &h)
	}
	if err != nil {
		h.Revision = 1 << 60
	}
	return h
}

func (t trial) leader(n int) int {
	t.t.Helper()
	at := -1
	t.waitUntil("a leader", func() bool {
		for i := range n {
			if t.Running(i) && t.policyStatus(i).Leads {
				at = i
				return true
			}
		}
		return false
	})
	return at
}

// newFoundedTrial starts a fleet whose policy has been founded and that accepts clients.
func newFoundedTrial(t *testing.T, cutOff string, routers, keepers int) trial {
	r := newTrial(t, Options{Routers: routers, Policy: cutOff, Keepers: keepers, PollInterval: time.Hour})
	r.start("start", routersBelow(routers)...)
	if _, err := r.Call(0, "GET", "/ops/readiness"); err == nil {
		t.Error("a router accepts clients before it knows the policy")
	}
	_, err := r.AskPolicy(0, map[string]any{"what": "found"})
	r.must(err)
	r.ready(routersBelow(routers)...)
	r.waitUntil("all keepers vote", func() bool {
		s, err := r.AskPolicy(0, map[string]any{"what": "status"})
		return err == nil && len(s.Voters) == keepers
	})
	return r
}

func (t trial) ready(routers ...int) {
	t.t.Helper()
	t.waitUntil(fmt.Sprint(routers, " are ready"), func() bool {
		for _, i := range routers {
			if _, err := t.Call(i, "GET", "/ops/readiness"); err != nil {
				return false
			}
		}
		return true
	})
}

func (t trial) waitForRevisionAt(revision policycommit.Revision, routers ...int) {
	t.t.Helper()
	t.waitUntil(fmt.Sprint(routers, " hold revision ", revision), func() bool {
		for _, i := range routers {
			if h := t.policyStatus(i); h.InForce != revision || !h.May {
				return false
			}
		}
		return true
	})
}

// A change is in force everywhere or nowhere, a repeated request gets the same verdict, and of two concurrent changes exactly one
// is committed.
func TestPolicyChangeIsAtomic(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 5, 3)
	began := time.Now()
	v, err := r.apply(4, 0, "first", policyExcluding("s0"))
	r.must(err)
	if !v.Committed || v.Revision != 1 {
		t.Fatalf("the first change: %+v", v)
	}
	t.Logf("verdict after %v", time.Since(began))
	r.waitForRevisionAt(1, routersBelow(5)...)
	t.Logf("held by all after %v", time.Since(began))
	if again, err := r.apply(2, 0, "first", policyExcluding("s0")); err != nil || again != v {
		t.Errorf("asked again: %+v, %v", again, err)
	}
	if v, err := r.apply(1, 0, "stale", policyExcluding("s1")); err != nil || v.Committed || !strings.Contains(v.Reason, "made for revision 0, and 1 is in force, by test: first") {
		t.Errorf("for a revision that is past: %+v, %v", v, err)
	}
	if _, err := r.apply(1, 1, "wrong", "schema = 1\n[[method]]\nname = \"x\"\n"); err == nil || !strings.Contains(err.Error(), `line 3: method[0].name: "x" is no method`) {
		t.Errorf("a wrong document: %v", err)
	}
	both := make(chan policycommit.Verdict, 2)
	for i := range 2 {
		go func() {
			v, err := r.apply(i, 1, fmt.Sprint("both", i), policyExcluding(fmt.Sprint("b", i)))
			if err != nil {
				t.Error(err)
			}
			both <- v
		}()
	}
	if a, b := <-both, <-both; a.Committed == b.Committed {
		t.Errorf("of two at one moment: %+v and %+v", a, b)
	}
	r.waitForRevisionAt(2, routersBelow(5)...)
}

// The leader is killed, stalled and cut off during changes: every verdict must hold afterwards.
func TestPolicyLeaderFailures(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 5, 3)
	current := 0
	for n, fault := range []string{"kill", "stall", "cut"} {
		at := r.leader(3)
		by := (at + 1) % 3
		done := make(chan struct{})
		token := "under " + fault
		go func() {
			defer close(done)
			time.Sleep(time.Duration(10+30*n) * time.Millisecond)
			switch fault {
			case "kill":
				r.Kill(fault, at)
			case "stall":
				r.must(r.Stall(fault, true, at))
			case "cut":
				r.Cut(fault, true, []int{at}, routersBelow(5), true, false)
			}
		}()
		v, err := r.apply(by, current, token, policyExcluding(fault))
		<-done
		for end := time.Now().Add(20 * time.Second); err != nil && time.Now().Before(end); {
			v, err = r.apply(by, current, token, policyExcluding(fault)) // an answer that was lost
		}
		r.must(err)
		t.Logf("%s at router %d: %+v", fault, at, v)
		if v.Committed {
			current++
		}
		if fault == "cut" {
			r.waitUntil("the one cut off takes nothing", func() bool {
				_, err := r.Call(at, "GET", "/ops/readiness")
				return err != nil && strings.Contains(err.Error(), "cannot prove that its policy is current")
			})
		}
		switch fault {
		case "kill":
			r.start("again", at)
		case "stall":
			r.must(r.Stall("wake", false, at))
		case "cut":
			r.Cut("healed", false, []int{at}, routersBelow(5), true, false)
		}
		r.waitForRevisionAt(policycommit.Revision(current), routersBelow(5)...)
	}
}

// In mode refuse, changes are committed while routers are down, cut off or stalled; such a router accepts nothing under the old
// revision when it returns.
func TestPolicyModeRefuse(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 6, 3)
	r.Kill("down", 3)
	r.Cut("cut off", true, []int{4}, routersBelow(6), true, false)
	r.must(r.Stall("stalled", true, 5))
	began := time.Now()
	v, err := r.apply(0, 0, "without three", policyExcluding("s0"))
	r.must(err)
	t.Logf("verdict after %v", time.Since(began))
	if !v.Committed {
		t.Fatalf("%+v", v)
	}
	r.waitForRevisionAt(1, 0, 1, 2)
	if h := r.policyStatus(4); h.May || h.InForce != 0 {
		t.Errorf("cut off: %+v", h)
	}
	r.must(r.Stall("awake", false, 5))
	r.Cut("healed", false, []int{4}, routersBelow(6), true, false)
	r.start("back", 3)
	r.waitForRevisionAt(1, routersBelow(6)...)
	// All restart: what was decided is in force, and nobody serves before it is.
	r.Kill("all", routersBelow(6)...)
	r.start("all again", routersBelow(6)...)
	r.waitForRevisionAt(1, routersBelow(6)...)
}

// In mode serve, a router that is cut off continues under its revision, and no change is committed until an operator declares it
// dead; the reason names it.
func TestPolicyModeServe(t *testing.T) {
	r := newFoundedTrial(t, "serve", 5, 3)
	v, err := r.apply(0, 0, "first", policyExcluding("s0"))
	r.must(err)
	if !v.Committed {
		t.Fatalf("%+v", v)
	}
	r.waitForRevisionAt(1, routersBelow(5)...)
	r.Cut("cut off", true, []int{4}, routersBelow(5), true, false)
	time.Sleep(2 * time.Second)
	if h := r.policyStatus(4); !h.May || h.InForce != 1 {
		t.Errorf("cut off: %+v", h)
	}
	if v, err = r.apply(0, 1, "second", policyExcluding("s1")); err != nil || v.Committed || !strings.Contains(v.Reason, "r4 does not answer, and may be serving") {
		t.Fatalf("%+v, %v", v, err)
	}
	r.waitForRevisionAt(1, routersBelow(4)...)
	r.Kill("dead", 4)
	_, err = r.AskPolicy(1, map[string]any{"what": "dead", "name": "r4", "author": "test", "reason": "its machine is off"})
	r.must(err)
	if v, err = r.apply(0, 1, "third", policyExcluding("s1")); err != nil || !v.Committed {
		t.Fatalf("%+v, %v", v, err)
	}
	r.Cut("healed", false, []int{4}, routersBelow(5), true, false)
	r.start("back", 4)
	r.waitForRevisionAt(2, routersBelow(5)...)
	// The majority of the keepers is lost: nothing changes, serving goes on.
	r.Kill("majority", 1, 2)
	time.Sleep(2 * time.Second)
	if _, err := r.apply(3, 2, "fourth", policyExcluding("s2")); err == nil {
		t.Error("a change without a majority has a verdict")
	}
	r.ready(0, 3, 4)
	r.start("back", 1, 2)
	r.waitUntil("a change goes through again", func() bool {
		v, err := r.apply(3, 2, "fourth", policyExcluding("s2"))
		return err == nil && v.Committed
	})
	r.waitForRevisionAt(3, routersBelow(5)...)
}

// A keeper whose directory was lost has no vote until an operator replaces it. A keeper with a restored old directory takes no
// part at all, since the others know that it had newer state.
func TestKeeperDirectoryLostOrRestored(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 3, 3)
	at := (r.leader(3) + 1) % 3
	other := (at + 1) % 3
	folder := r.file(at, "keeper")
	r.must(r.Stop("stopped", at))
	r.must(os.CopyFS(folder+"-old", os.DirFS(folder)))
	r.start("again", at)
	r.waitForRevisionAt(0, 0, 1, 2)
	for n := range 3 {
		v, err := r.apply(other, n, fmt.Sprint("n", n), policyExcluding("s0"))
		r.must(err)
		if !v.Committed {
			t.Fatalf("%+v", v)
		}
	}
	r.waitForRevisionAt(3, 0, 1, 2)
	time.Sleep(500 * time.Millisecond) // its word of what it has goes round

	r.Kill("put back", at)
	r.must(os.RemoveAll(folder))
	r.must(os.Rename(folder+"-old", folder))
	r.start("put back", at)
	r.waitUntil("a folder that was put back takes no part", func() bool {
		return strings.Contains(r.policyStatus(at).Folder, "it was put back, or lost")
	})
	r.waitForRevisionAt(3, 0, 1, 2) // as a router it goes on

	r.Kill("lost", at)
	r.must(os.RemoveAll(folder))
	r.start("lost", at)
	time.Sleep(2 * time.Second)
	if h := r.policyStatus(at); h.Folder == "" {
		t.Error("a new folder takes part unasked")
	}
	_, err := r.AskPolicy(other, map[string]any{"what": "replace", "name": fmt.Sprintf("r%d", at), "author": "test", "reason": "lost"})
	r.must(err)
	r.waitUntil("it is taken up anew", func() bool {
		s, err := r.AskPolicy(other, map[string]any{"what": "status"})
		return err == nil && len(s.Voters) == 3 && r.policyStatus(at).Folder == ""
	})
	v, err := r.apply(at, 3, "with it", policyExcluding("s1"))
	if err != nil || !v.Committed {
		t.Errorf("%+v, %v", v, err)
	}
}

// If one router cannot apply a change, for example with other settings, it is committed nowhere; the reason names the router and
// the field.
func TestPolicyRejectedByOneRouter(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 4, 3)
	r.must(r.Stop("other settings", 3))
	r.SetDeadline(3, 300*time.Millisecond)
	r.start("other settings", 3)
	r.ready(3)
	const doc = "schema = 1\n[[method]]\nname = \"read\"\nlatency_budget = \"400ms\"\n"
	v, err := r.apply(0, 0, "too long for one", doc)
	if err != nil || v.Committed || !strings.Contains(v.Reason, "r3 (build ") || !strings.Contains(v.Reason, `cannot hold it: line 4: method[0].latency_budget: "400ms" is no span from 1ms to 300ms`) {
		t.Errorf("%+v, %v", v, err)
	}
	r.waitForRevisionAt(0, 0, 1, 2, 3)
	// A change in the midst of a roll through all of them.
	rolled := make(chan error, 1)
	go func() {
		for _, i := range []int{3, 2, 1, 0} {
			if err := r.Stop("roll", i); err != nil {
				rolled <- err
				return
			}
			if err := r.Start("roll", i); err != nil {
				rolled <- err
				return
			}
		}
		rolled <- nil
	}()
	current := 0
	for n := 0; ; n++ {
		token := fmt.Sprint("in the roll ", n)
		for end := time.Now().Add(bounds.SettleWithin); ; {
			if v, err = r.apply(3, current, token, policyExcluding(token)); err == nil || time.Now().After(end) {
				break
			}
			time.Sleep(50 * time.Millisecond) // the router asked is down: asked again by the same token
		}
		r.must(err)
		if v.Committed {
			current++
		}
		select {
		case err := <-rolled:
			r.must(err)
			r.waitForRevisionAt(policycommit.Revision(current), 0, 1, 2, 3)
			if current < 2 {
				t.Errorf("only %d of %d changes held", current, n+1)
			}
			return
		default:
		}
	}
}

// The processes of a keeper and of another router are replaced under a policy, in both modes: the new process serves under the
// revision it inherits until it can ask the leader itself, and learns of the next revision.
func TestReplacedProcessKeepsPolicy(t *testing.T) {
	for _, mode := range []string{"refuse", "serve"} {
		t.Run(mode, func(t *testing.T) {
			r := newFoundedTrial(t, mode, 5, 3)
			v, err := r.apply(4, 0, "first", policyExcluding("s0"))
			r.must(err)
			if !v.Committed {
				t.Fatalf("%+v", v)
			}
			r.waitForRevisionAt(1, routersBelow(5)...)
			for base, i := range []int{4, 1} {
				r.must(r.Replace(i)) // it waits for the next one's yes
				shut := time.Duration(0)
				for end, last := time.Now().Add(3*time.Second), time.Now(); time.Now().Before(end); last = time.Now() {
					time.Sleep(10 * time.Millisecond)
					if _, err := r.Call(i, "GET", "/ops/readiness"); err != nil {
						shut += time.Since(last)
					}
				}
				t.Logf("router %d took nothing for %v of 3 s after the first process had ended", i, shut)
				if shut > 1500*time.Millisecond {
					t.Errorf("router %d took nothing for %v", i, shut)
				}
				r.waitForRevisionAt(policycommit.Revision(base+1), i)
				v, err := r.apply(0, base+1, fmt.Sprint("then ", i), policyExcluding(fmt.Sprint("s", i)))
				r.must(err)
				if !v.Committed {
					t.Fatalf("%+v", v)
				}
				r.waitForRevisionAt(policycommit.Revision(base+2), routersBelow(5)...)
			}
		})
	}
}

// The share of a lost router is lent to the others once none of its requests can be in flight, and returned before the router
// accepts a request again.
func TestLostRoutersShareIsLent(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 5, 3)
	r.Kill("lost", 4)
	killed := time.Now()
	has := func(want float64, routers ...int) func() bool {
		return func() bool {
			for _, i := range routers {
				if h := r.policyStatus(i); h.Extra != want {
					return false
				}
			}
			return true
		}
	}
	time.Sleep(10 * time.Second)
	if !has(0, 0, 1, 2, 3)() {
		t.Error("it was lent while it may have had reqs in hand")
	}
	r.waitUntil("the others have its part", has(0.05, 0, 1, 2, 3))
	t.Logf("lent %v after it was killed", time.Since(killed))
	r.start("back", 4)
	began := time.Now()
	r.ready(4)
	if h := r.policyStatus(0); h.Extra != 0 {
		t.Errorf("it takes reqs, and its part is still lent: %+v", h)
	}
	t.Logf("ready %v after its start", time.Since(began))
}

// A keeper with a full disk must not block the others, continues as a router, reports the problem, and takes part again once
// there is space.
func TestKeeperDiskFull(t *testing.T) {
	r := newFoundedTrial(t, "serve", 4, 3)
	r.must(r.Stop("to be started with a full disk", 2))
	r.LimitFileSize(2, 256)
	r.start("with a full disk", 2)
	r.ready(2)
	big := "schema = 1\n#" + strings.Repeat("x", 50000) + "\n"
	for n := range 8 {
		v, err := r.apply(0, n, fmt.Sprint("change ", n), big)
		r.must(err)
		if !v.Committed {
			t.Fatalf("change %d: %+v", n, v)
		}
	}
	r.waitForRevisionAt(8, 0, 1, 3)
	r.waitUntil("it tells of it", func() bool { return r.policyStatus(2).Folder != "" })
	t.Log(r.policyStatus(2))
	r.waitUntil("as a router it holds the last one", func() bool { h := r.policyStatus(2); return h.May && h.InForce == 8 }) // its admin endpoint may be a moment behind
	r.must(r.Stop("room again", 2))
	r.LimitFileSize(2, 0)
	r.start("room again", 2)
	r.waitUntil("it takes part", func() bool { return r.policyStatus(2).Folder == "" })
	r.Kill("another is lost", 1)
	v, err := r.apply(0, 8, "with its vote", "schema = 1\n")
	r.must(err)
	t.Logf("without router 1, which may be serving: %+v", v)
}

var revisions = flag.Int("revisions", 120, "changes in a row; 1,000 for the figures")

// Many changes in a row must all be committed, the logs of the keepers must stay small, and a keeper that was away and a router
// that starts late must reach the last revision.
func TestManyRevisions(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 6, 5)
	r.must(r.Stop("away", 4))
	r.Kill("late", 5)
	began := time.Now()
	for n := range *revisions {
		v, err := r.apply(n%3, n, fmt.Sprint("change ", n), policyExcluding(fmt.Sprint("s", n)))
		r.must(err)
		if !v.Committed || int(v.Revision) != n+1 {
			t.Fatalf("change %d: %+v", n, v)
		}
		if n == *revisions/2 { // of five keepers three are left
			r.Kill("one more", 3)
		}
	}
	t.Logf("%d changes in %v, two of five keepers away for half of them", *revisions, time.Since(began))
	r.start("back", 3, 4, 5)
	r.waitForRevisionAt(policycommit.Revision(*revisions), routersBelow(6)...)
	for i := range 5 {
		info, err := os.Stat(filepath.Join(r.file(i, "keeper"), "log.db"))
		r.must(err)
		_, rss, _ := r.Usage(i)
		t.Logf("keeper %d: log of %d kB, %d MB of memory", i, info.Size()>>10, rss>>20)
		if info.Size() > 4<<20 {
			t.Errorf("keeper %d has a log of %d bytes", i, info.Size())
		}
	}
	h, err := r.AskPolicy(4, map[string]any{"what": "history"})
	r.must(err)
	if len(h.History) == 0 || int(h.History[len(h.History)-1].Revision) != *revisions {
		t.Errorf("the history ends at %+v", h.History)
	}
}

// The policy is changed continuously while every router, keepers included, is restarted or replaced one after the other: no two
// revisions may be in use at once, most changes must be committed, and all routers must end on the last revision.
func TestPolicyChangesDuringRollingRestart(t *testing.T) {
	r := newFoundedTrial(t, "refuse", 5, 3)
	stop, broken := make(chan struct{}), make(chan []string)
	go func() { broken <- r.watchForMixedPolicies(stop, 5) }()
	rolled := make(chan error)
	go func() {
		var err error
		for i := 0; i < 5 && err == nil; i++ {
			if i%2 == 0 {
				err = r.Replace(i)
			} else if err = r.Stop("roll", i); err == nil {
				err = r.Start("roll", i)
			}
			time.Sleep(300 * time.Millisecond)
		}
		rolled <- err
	}()
	base, through, tries := 0, 0, 0
	for over := false; !over; tries++ {
		select {
		case err := <-rolled:
			r.must(err)
			over = true
		default:
		}
		// By one router after the other: some are down.
		for i := range 5 {
			v, err := r.apply((tries+i)%5, base, fmt.Sprint("try ", tries), policyExcluding(fmt.Sprint("s", tries)))
			if err != nil {
				continue
			}
			if v.Committed {
				through++
			}
			base = int(v.Revision)
			break
		}
	}
	close(stop)
	for _, b := range <-broken {
		t.Error(b)
	}
	r.waitForRevisionAt(policycommit.Revision(base), routersBelow(5)...)
	t.Logf("%d of %d changes everywhere", through, tries)
	if through < tries/2 || through == 0 {
		t.Errorf("%d of %d changes came through", through, tries)
	}
}
