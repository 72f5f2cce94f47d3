package policycommit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"spurtrestle/core/clock"
)

// lendDay plays routers that are lost, stand still, come back as others and ask late, and leaders that change, on one clock
// here and one of its own, up to a hundredth slow, at each router. It tells when parts were more than the whole together,
// how long lost parts were lent, and whether all was as at first in the end.
func lendDay(seed uint64, rules Timing) (over string, lent clock.Time, whole bool) {
	const seats, tick = 5, clock.Time(50e3)
	r := rand.New(rand.NewPCG(seed, 6))
	type router struct {
		holder  *Follower
		name    RouterName
		process Incarnation
		rate    float64 // of its clock
		up      bool
		stalled bool
		until   clock.Time // of its extra, by its clock
		extra   float64
		last    clock.Time // when it last could take, by the one clock
	}
	book, council := &LogState{}, NewLeader(0, rules, seats)
	index := Index(0)
	put := func(e Entry) {
		index++
		book.Apply(index, e)
	}
	routers := make([]*router, seats)
	process := Incarnation(0)
	start := func(x *router) {
		process++
		x.process, x.up, x.extra = process, true, 0
		x.holder = NewFollower(rules, x.name, process, false, "", func(string) error { return nil })
	}
	for i := range routers {
		routers[i] = &router{name: RouterName(fmt.Sprint("r", i)), rate: 1 - 0.01*r.Float64(), last: -1 << 50}
		start(routers[i])
	}
	type late struct {
		at    clock.Time
		to    *router
		grant Lease
	}
	var way []late
	calm := false
	for now := clock.Time(0); now < 150e6; now += tick {
		if calm = now > 110e6; !calm {
			switch x := routers[r.IntN(seats)]; r.IntN(400) {
			case 0, 1:
				x.up = false
			case 2, 3, 4:
				if !x.up {
					start(x)
				}
			case 5:
				x.stalled = true
			case 6, 7:
				x.stalled = false
			case 8:
				council = NewLeader(now, rules, seats)
			}
		}
		if e := council.NextShareEntry(now, book); e != nil && r.IntN(3) > 0 {
			put(*e)
		}
		sum := 0.0
		for _, x := range routers {
			if calm {
				x.stalled = false
				if !x.up {
					start(x)
				}
			}
			own := clock.Time(float64(now) * x.rate)
			if x.up && !x.stalled {
				if q, due := x.holder.NextRenewal(own); due && r.IntN(4) > 0 {
					answer := council.AnswerRenewal(now, book.Clone(), q)
					if answer.Entry != nil {
						put(*answer.Entry)
					}
					if answer.Lease != nil && r.IntN(4) > 0 {
						way = append(way, late{now + clock.Time(r.IntN(800e3)), x, *answer.Lease})
					}
				}
			}
			if x.up && x.holder.AdmissionDeadline(own) > own {
				x.last = now
			}
			if now-x.last < rules.QuiescePeriod { // what it had in hand
				sum += 1.0 / seats
			}
			if x.up && x.until > own {
				sum += x.extra
				if x.extra > 0 {
					lent += tick
				}
			}
		}
		if sum > 1+1e-9 {
			return fmt.Sprintf("seed %d at %d ms: %.3f", seed, now/1e3, sum), lent, false
		}
		for _, l := range way {
			if l.at <= now && l.to.up && !l.to.stalled {
				own := clock.Time(float64(now) * l.to.rate)
				if l.to.holder.ReceiveLease(own, l.grant); l.grant.Incarnation == l.to.process && l.grant.RenewalSentAt+l.grant.Duration > own {
					l.to.extra, l.to.until = l.grant.ExtraShare, l.grant.RenewalSentAt+l.grant.Duration
				}
			}
		}
		kept := way[:0]
		for _, l := range way {
			if l.at > now {
				kept = append(kept, l)
			}
		}
		way = kept
	}
	return "", lent, len(book.LeasedOut) == 0
}

// Whatever is lost, late or comes back: the parts are never more than the whole. With a wait that is too short they are.
func TestLentPartsNeverOverTheWhole(t *testing.T) {
	rules := DefaultTiming()
	rules.QuiescePeriod = 3e6
	lent := clock.Time(0)
	for seed := range uint64(200) {
		over, span, whole := lendDay(seed, rules)
		if over != "" || !whole {
			t.Fatal(over, " all as at first: ", whole)
		}
		lent += span
	}
	if lent < 1000e6 {
		t.Errorf("lent for %d s in all, which shows little", lent/1e6)
	}
	for what, planted := range map[string]func(*Timing){"a part is lent while reqs are in hand": func(r *Timing) { r.ClockSlack -= 2500e3 },
		"a router has its part back at once": func(r *Timing) {
			r.ClockSlack, r.QuiescePeriod = r.ClockSlack-r.LeaseDuration, r.QuiescePeriod+r.LeaseDuration
		}} {
		bad := rules
		planted(&bad)
		found := false
		for seed := range uint64(200) {
			x := bad
			over, _, _ := lendDay(seed, x)
			found = found || over != ""
		}
		if !found {
			t.Errorf("%s: not found", what)
		}
	}
}
