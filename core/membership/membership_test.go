package membership

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/tracetest"
)

const me = Incarnation(1)

func rules() Config {
	r := DefaultConfig(1e6)
	r.ForgetAfter = 60e6
	return r
}

// member reads "a/2 site=s start=5 follows=1 seat=0".
func member(words []string) Member {
	name, id, _ := strings.Cut(words[0], "/")
	n, _ := strconv.ParseUint(id, 10, 64)
	m := Member{Fleet: "f", Name: Name(name), Site: "s", Incarnation: Incarnation(n), StartedAt: int64(n), Addr: "at-" + id}
	for _, w := range words[1:] {
		field, value, _ := strings.Cut(w, "=")
		n, _ := strconv.ParseUint(value, 10, 64)
		switch field {
		case "site":
			m.Site = Site(value)
		case "start":
			m.StartedAt = int64(n)
		case "follows":
			m.Predecessor = Incarnation(n)
		case "seat":
			m.Slot = Slot(n)
		case "addr":
			m.Addr = value
		}
	}
	return m
}

// A script has a line for each thing heard; below stands what the view says then, and what is worth a line in the log. The
// router whose view it is is "me", process 1.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		v := New(0, rules(), member([]string{"me/1"}))
		seq, at := map[Incarnation]uint64{}, clock.Time(0)
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			words := strings.Fields(line)
			seconds, err := strconv.ParseFloat(words[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			now := clock.Time(seconds * 1e6)
			log := func() {
				_, lines := v.Tick(at)
				for _, l := range lines {
					say("%v log: %s %s%s", float64(at)/1e6, l.Router, l.Event, map[bool]string{true: "!"}[l.Warning])
				}
			}
			for at+500e3 < now && words[1] != "woke" {
				at += 500e3
				log()
			}
			at = now
			id := func() Incarnation {
				n, _ := strconv.ParseUint(words[2], 10, 64)
				return Incarnation(n)
			}
			switch words[1] {
			case "joined":
				v.MemberJoined(now, member(words[2:]))
			case "gone":
				v.MemberFailed(now, id())
			case "heard":
				v.RecordContact(now, id())
			case "said":
				w := Heartbeat{Incarnation: id(), ViewDigest: v.digest}
				seq[w.Incarnation]++
				w.Seq = seq[w.Incarnation]
				for _, x := range words[3:] {
					field, value, _ := strings.Cut(x, "=")
					n, _ := strconv.ParseUint(value, 10, 64)
					switch field {
					case "takes":
						w.Accepting = true
					case "draining":
						w.Draining = true
					case "passing":
						w.HandingOver = true
					case "left":
						w.Left = true
					case "odd":
						w.ViewDigest++
					case "rival":
						w.Duplicate = Incarnation(n)
					case "policy":
						w.PolicyRevision = n
					case "seq":
						w.Seq = n
					default:
						t.Fatalf("what is %q?", x)
					}
				}
				if !v.ReceiveHeartbeat(now, w) {
					say("no news")
				}
			case "whom":
				for range 2 {
					if addr, ok := v.NextReconnect(now, []string{"at-join"}); ok {
						say("call %s", addr)
						v.callAt = now
					}
				}
			case "show", "woke":
			default:
				t.Fatalf("what is %q?", words[1])
			}
			log()
			w := v.Snapshot(now)
			out := fmt.Sprintf("settled=%v", w.Settled)
			for _, r := range w.Routers {
				out += fmt.Sprintf(" %s/%s:%v", r.Name, r.Incarnation, r.State)
				for on, what := range map[bool]string{r.NameConflict: "+two"} {
					if on {
						out += what
					}
				}
				if r.Accepting {
					out += "+takes"
				}
				if r.Draining {
					out += "+draining"
				}
			}
			if len(w.Disagreeing) > 0 {
				out += fmt.Sprintf("; at odds with %v", w.Disagreeing)
			}
			if w.YieldReason != "" {
				out += "; out: " + w.YieldReason
			}
			say("%s", out)
		})
	})
}

// Whatever order words and members come in, and however often, the same living routers give the same digest; and no two
// contents share one.
func TestDigestIsOfTheContentAlone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	stands := map[uint64]string{}
	for range 300 {
		n := 1 + rng.IntN(5)
		var members []Member
		var words []Heartbeat
		for i := range n {
			name := Name(strconv.Itoa(i))
			for range 1 + rng.IntN(2) {
				p := Incarnation(10 + rng.IntN(40))
				members = append(members, Member{Name: name, Site: "s", Incarnation: p, StartedAt: int64(p), Addr: fmt.Sprint(p)})
				for seq := range uint64(3) {
					words = append(words, Heartbeat{Incarnation: p, Seq: seq + 2, Accepting: rng.IntN(2) == 0, PolicyRevision: uint64(rng.IntN(2))})
				}
			}
		}
		unique := map[Incarnation]bool{}
		kept := members[:0]
		for _, m := range members { // a number is one process's
			if !unique[m.Incarnation] {
				unique[m.Incarnation] = true
				kept = append(kept, m)
			}
		}
		last := map[Incarnation]Heartbeat{}
		for i, w := range words { // and a word has one content
			if l, ok := last[w.Incarnation]; ok && l.Seq >= w.Seq {
				words[i] = l
				continue
			}
			last[w.Incarnation] = w
		}
		digest := uint64(0)
		for try := range 3 {
			v := New(0, rules(), Member{Name: "me", Incarnation: me})
			acts := []func(){}
			for _, m := range kept {
				acts = append(acts, func() { v.MemberJoined(1, m) })
			}
			for _, w := range append(words, words...) {
				acts = append(acts, func() { v.ReceiveHeartbeat(1, w) })
			}
			rng.Shuffle(len(acts), func(i, j int) { acts[i], acts[j] = acts[j], acts[i] })
			for _, act := range acts {
				act()
			}
			if try > 0 && v.digest != digest {
				t.Fatalf("another order, another digest: %v, %v", kept, words)
			}
			digest = v.digest
			text := ""
			for _, r := range v.Snapshot(1).Routers {
				text += fmt.Sprintln(r.Name, r.Site, r.Incarnation, r.Accepting, r.Draining, r.NameConflict, r.PolicyRevision)
			}
			if was, known := stands[digest]; known && was != text {
				t.Fatalf("one digest for\n%s\nand\n%s", was, text)
			}
			stands[digest] = text
		}
	}
}

// Heartbeats of processes that nobody has seen do not grow without end, and leave room again.
func TestFloodOfWordsIsBounded(t *testing.T) {
	r := rules()
	v := New(0, r, member([]string{"me/1"}))
	for i := range Incarnation(100000) {
		v.ReceiveHeartbeat(1e6, Heartbeat{Incarnation: 10 + i, Seq: 1})
	}
	if len(v.procs) > 4*r.MaxReconnectAddrs {
		t.Errorf("%d processes are held", len(v.procs))
	}
	v.Tick(1e6 + r.ForgetAfter + 1)
	v.MemberJoined(1e6+r.ForgetAfter+2, member([]string{"a/7"}))
	if len(v.AliveMembers()) != 2 {
		t.Error("a router that joins after a flood is not seen")
	}
}
