package sharelease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"spurtrestle/core/clock"
)

// world plays routers with clocks of their own, and a network that delays, loses, doubles and disorders what they say.
type world struct {
	*rand.Rand
	now     int64 // true time
	routers []*router
	mail    []mail
	cut     map[[2]int]bool
	over    string // what was wrong
	lent    int    // pieces in use, summed over all moments
}

type router struct {
	p       *Leases // nil: it is not there
	process Incarnation
	offset  int64
	rate    float64 // of its clock
	stalled bool
	using   Share // what its loop was told
}

type mail struct {
	at int64
	m  Message
}

func (w *world) clock(r *router) clock.Time {
	return clock.Time(r.offset + int64(float64(w.now)*r.rate))
}

func (w *world) start(i int) {
	r := w.routers[i]
	r.process = Incarnation(w.now<<8 | int64(i) | 1<<40)
	r.p = New(w.clock(r), DefaultTiming(), len(w.routers), Slot(i), r.process, false)
	r.stalled = false
	r.using = r.p.Share(w.clock(r))
}

func (w *world) send(from int, ms ...Message) {
	for _, m := range ms {
		if w.cut[[2]int{from, int(m.To)}] || w.IntN(10) < 2 {
			continue
		}
		for range 1 + w.IntN(2) {
			late := w.Int64N(100e3)
			if w.IntN(5) == 0 {
				late = w.Int64N(5e6)
			}
			w.mail = append(w.mail, mail{w.now + late, m})
		}
	}
}

// pass lets a moment pass: what is due is delivered, routers that are not stalled take their step.
func (w *world) pass(span int64) {
	w.now += span
	mails := w.mail
	w.mail = nil
	for _, m := range mails {
		r := w.routers[m.m.To]
		if m.at > w.now || r.stalled && r.p != nil {
			w.mail = append(w.mail, m)
		} else if r.p != nil {
			if a, ok := r.p.Receive(w.clock(r), m.m); ok {
				w.send(int(m.m.To), a)
			}
		}
	}
	for i, r := range w.routers {
		if r.p == nil || r.stalled {
			continue
		}
		there := map[Slot]Peer{}
		for j, o := range w.routers {
			if o.p != nil {
				there[Slot(j)] = Peer{o.process, o.p.lends}
			}
		}
		w.send(i, r.p.Tick(w.clock(r), there, !r.p.lends)...)
		r.using = r.p.Share(w.clock(r))
	}
	sum := 0.0
	for _, r := range w.routers {
		if r.p == nil {
			continue
		}
		share := r.using.Current // a stalled loop looks at the end before it sends anything
		if r.using.ExpiresAt != 0 && w.clock(r) >= r.using.ExpiresAt {
			share = r.using.AfterExpiry
		}
		sum += share
		if !r.stalled {
			w.lent += len(r.p.has)
		}
	}
	if sum > 1+1e-9 && w.over == "" {
		w.over = fmt.Sprintf("at %d the parts are %.4f of the whole", w.now, sum)
	}
}

// play is a random day of some routers.
func play(seed uint64) *world {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 0)), cut: map[[2]int]bool{}}
	n := 2 + w.IntN(4)
	for range n {
		w.routers = append(w.routers, &router{offset: w.Int64N(1e9), rate: 1 + float64(w.IntN(9)-4)/1000})
	}
	for i := range n {
		w.start(i)
	}
	for range 60 {
		i := w.IntN(n)
		r := w.routers[i]
		live := r.p != nil && !r.stalled
		switch act := w.IntN(12); {
		case r.p == nil:
			w.start(i)
		case act < 4 && live && !r.p.lends:
			r.using = r.p.ReducedShare()
			r.p.SetGranting(true, w.IntN(3) == 0)
		case act < 6 && live:
			r.p.SetGranting(false, false)
		case act == 6 && (r.p.ends || w.IntN(3) == 0):
			if live && w.IntN(2) == 0 {
				w.send(i, r.p.TransferAll(w.clock(r))...)
			}
			r.p = nil
		case act == 7 || r.stalled:
			r.stalled = !r.stalled
		case act == 8:
			w.cut[[2]int{i, w.IntN(n)}] = true
		case act > 8:
			clear(w.cut)
		}
		for range 1 + w.IntN(20) {
			w.pass(w.Int64N(300e3))
		}
	}
	return w
}

// Never is the sum over the whole, whatever is cut, late, doubled, crashed, stalled or restarted.
func TestSumNeverOverTheWhole(t *testing.T) {
	lent := 0
	for seed := range uint64(400) {
		w := play(seed)
		if lent += w.lent; w.over != "" {
			t.Fatalf("seed %d: %s", seed, w.over)
		}
	}
	if lent < 10000 { // a sum is easily kept by routers that lend nothing
		t.Errorf("only %d pieces were in use", lent)
	}
	t.Log(lent, "pieces in use")
}

// One of six is drained: the others have its part within moments, and it has its own back when it takes clients again.
func TestDrainedPartFollows(t *testing.T) {
	const n = 6
	rules, now := DefaultTiming(), clock.Time(1e6)
	var all []*Leases
	there := map[Slot]Peer{}
	for i := range n {
		all = append(all, New(now, rules, n, Slot(i), Incarnation(i+1), false))
		there[Slot(i)] = Peer{Incarnation(i + 1), false}
	}
	pass := func(span clock.Time) {
		for end := now + span; now < end; now += 10e3 {
			for _, p := range all {
				for todo := p.Tick(now, there, !p.lends); len(todo) > 0; todo = todo[1:] {
					if a, ok := all[todo[0].To].Receive(now+1, todo[0]); ok {
						todo = append(todo, a)
					}
				}
			}
		}
	}
	shares := func() (s string) {
		for _, p := range all {
			s += fmt.Sprintf(" %.4f", p.Share(now).Current)
		}
		return s
	}
	same := func(when string, i int, want float64) {
		if got := all[i].Share(now).Current; math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: router %d has %.4f, not %.4f; all:%s", when, i, got, want, shares())
		}
	}
	pass(20e3)
	same("a moment after the start", 3, 1.0/n)
	all[0].SetGranting(true, false)
	there[0] = Peer{1, true}
	pass(600e3)
	same("drained", 0, keeps/n)
	same("drained", 3, 1.0/n+(1-keeps)/n/(n-1))
	all[0].SetGranting(false, false)
	there[0] = Peer{1, false}
	pass(600e3)
	same("taking clients again", 0, 1.0/n)
	same("taking clients again", 3, 1.0/n)
	there[0] = Peer{1, true} // it says that it drains, and still sends
	pass(600e3)
	for _, m := range all[0].TransferAll(now) {
		all[m.To].Receive(now, m)
	}
	delete(there, 0)
	pass(5e6)
	same("five seconds after it has left", 3, 1.0/n+(1-keeps)/n/(n-1))
	pass(6e6)
	same("after the bequest", 3, 1.0/n)
}
