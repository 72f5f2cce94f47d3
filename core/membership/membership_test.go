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

const me = Process(1)

func rules() Rules {
	r := DefaultRules(1e6)
	r.Forget = 60e6
	return r
}

// member reads "a/2 site=s start=5 follows=1 seat=0".
func member(words []string) Member {
	name, id, _ := strings.Cut(words[0], "/")
	n, _ := strconv.ParseUint(id, 10, 64)
	m := Member{Fleet: "f", Name: Name(name), Site: "s", Process: Process(n), Started: int64(n), Addr: "at-" + id}
	for _, w := range words[1:] {
		field, value, _ := strings.Cut(w, "=")
		n, _ := strconv.ParseUint(value, 10, 64)
		switch field {
		case "site":
			m.Site = Site(value)
		case "start":
			m.Started = int64(n)
		case "follows":
			m.Follows = Process(n)
		case "seat":
			m.Seat = Seat(n)
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
		seq, at := map[Process]uint64{}, clock.Time(0)
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			words := strings.Fields(line)
			seconds, err := strconv.ParseFloat(words[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			now := clock.Time(seconds * 1e6)
			log := func() {
				_, lines := v.Step(at)
				for _, l := range lines {
					say("%v log: %s %s%s", float64(at)/1e6, l.Router, l.What, map[bool]string{true: "!"}[l.Bad])
				}
			}
			for at+500e3 < now && words[1] != "woke" {
				at += 500e3
				log()
			}
			at = now
			id := func() Process {
				n, _ := strconv.ParseUint(words[2], 10, 64)
				return Process(n)
			}
			switch words[1] {
			case "joined":
				v.Joined(now, member(words[2:]))
			case "gone":
				v.Gone(now, id())
			case "heard":
				v.Heard(now, id())
			case "said":
				w := Heartbeat{Process: id(), Digest: v.digest}
				seq[w.Process]++
				w.Seq = seq[w.Process]
				for _, x := range words[3:] {
					field, value, _ := strings.Cut(x, "=")
					n, _ := strconv.ParseUint(value, 10, 64)
					switch field {
					case "takes":
						w.Takes = true
					case "draining":
						w.Draining = true
					case "passing":
						w.Passing = true
					case "left":
						w.Left = true
					case "odd":
						w.Digest++
					case "rival":
						w.Rival = Process(n)
					case "policy":
						w.Revision = n
					case "seq":
						w.Seq = n
					default:
						t.Fatalf("what is %q?", x)
					}
				}
				if !v.Said(now, w) {
					say("no news")
				}
			case "whom":
				for range 2 {
					if addr, ok := v.Whom(now, []string{"at-join"}); ok {
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
				for on, what := range map[bool]string{r.Conflict: "+two"} {
					if on {
						out += what
					}
				}
				if r.Takes {
					out += "+takes"
				}
				if r.Draining {
					out += "+draining"
				}
			}
			if len(w.Disagree) > 0 {
				out += fmt.Sprintf("; at odds with %v", w.Disagree)
			}
			if w.Out != "" {
				out += "; out: " + w.Out
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
				p := Process(10 + rng.IntN(40))
				members = append(members, Member{Name: name, Site: "s", Process: p, Started: int64(p), Addr: fmt.Sprint(p)})
				for seq := range uint64(3) {
					words = append(words, Heartbeat{Process: p, Seq: seq + 2, Takes: rng.IntN(2) == 0, Revision: uint64(rng.IntN(2))})
				}
			}
		}
		unique := map[Process]bool{}
		kept := members[:0]
		for _, m := range members { // a number is one process's
			if !unique[m.Process] {
				unique[m.Process] = true
				kept = append(kept, m)
			}
		}
		last := map[Process]Heartbeat{}
		for i, w := range words { // and a word has one content
			if l, ok := last[w.Process]; ok && l.Seq >= w.Seq {
				words[i] = l
				continue
			}
			last[w.Process] = w
		}
		digest := uint64(0)
		for try := range 3 {
			v := New(0, rules(), Member{Name: "me", Process: me})
			acts := []func(){}
			for _, m := range kept {
				acts = append(acts, func() { v.Joined(1, m) })
			}
			for _, w := range append(words, words...) {
				acts = append(acts, func() { v.Said(1, w) })
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
				text += fmt.Sprintln(r.Name, r.Site, r.Incarnation, r.Takes, r.Draining, r.Conflict, r.Revision)
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
	for i := range Process(100000) {
		v.Said(1e6, Heartbeat{Process: 10 + i, Seq: 1})
	}
	if len(v.procs) > 4*r.Addresses {
		t.Errorf("%d processes are held", len(v.procs))
	}
	v.Step(1e6 + r.Forget + 1)
	v.Joined(1e6+r.Forget+2, member([]string{"a/7"}))
	if len(v.Living()) != 2 {
		t.Error("a router that joins after a flood is not seen")
	}
}
