// Package faults turns the faults of a scenario into a timeline of single acts. It does no I/O; the same scenario and
// seed give the same timeline.
package faults

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// Act is one thing to do at a time.
type Act struct {
	At    event.Micros
	Fault int  // which fault of the scenario
	End   bool // it takes the fault back
	Who   int  // place of the server or router struck; -1: all that there are of the kind
	// Stage of a drain or deploy: 0 it drains, 1 it is gone, 2 its successor starts.
	Stage int
}

// String is one line of the timeline.
func (a Act) String() string {
	return fmt.Sprintf("%v fault=%d who=%d stage=%d end=%v", a.At.Duration(), a.Fault, a.Who, a.Stage, a.End)
}

// Timeline orders all acts of a scenario.
func Timeline(s scenario.Scenario, seed uint64) []Act {
	var all []Act
	for i, f := range s.Faults {
		r := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		kind := scenario.FaultKinds[f.Kind]
		if f.Chance > 0 && r.Float64() >= f.Chance {
			continue
		}
		drawn := func() (at, until event.Micros) {
			at = f.At.Micros()
			if f.StartSpread > 0 {
				at += event.Micros(r.Int64N(int64(f.StartSpread)))
			}
			return at, at + f.Duration.Micros()
		}
		switch kind.Target() {
		case "servers", "routers":
			among := s.Servers.Count
			if kind.Target() == "routers" {
				among = s.Routers.Count
			}
			struck := pick(f, among, r)
			if f.Kind == "zone_lost" {
				struck = slices.DeleteFunc(r.Perm(among), func(place int) bool { return s.SiteOf(place) != f.Site })
				slices.Sort(struck)
			}
			if f.Kind == "deploy" || f.BatchShare > 0 {
				all = append(all, rolling(f, i, struck, among, s)...)
				break
			}
			for _, who := range struck {
				at, until := drawn()
				all = append(all, strike(f, i, who, at, until, s)...)
			}
		default:
			at, until := drawn()
			all = append(all, Act{At: at, Fault: i, Who: -1})
			if until > at {
				all = append(all, Act{At: until, Fault: i, Who: -1, End: true})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Act) int { return cmp.Compare(a.At, b.At) })
	return all
}

// pick draws who is struck: those named, else a part, and one at least.
func pick(f scenario.Fault, among int, r *rand.Rand) []int {
	if len(f.Targets) > 0 {
		return f.Targets
	}
	n := max(1, int(math.Round(f.TargetShare*float64(among))))
	struck := r.Perm(among)[:min(n, among)]
	slices.Sort(struck)
	return struck
}

// strike is one fault at one server or router.
func strike(f scenario.Fault, i, who int, at, until event.Micros, s scenario.Scenario) []Act {
	if f.Kind == "drain" {
		return retire(i, who, at, until, s)
	}
	acts := []Act{{At: at, Fault: i, Who: who}}
	if until > at {
		acts = append(acts, Act{At: until, Fault: i, Who: who, End: true})
	}
	return acts
}

// retire drains a server, takes it away once what it holds is over, and starts a successor at the end.
func retire(i, who int, at, until event.Micros, s scenario.Scenario) []Act {
	longest := event.Micros(0)
	for _, m := range s.Methods {
		longest = max(longest, m.Deadline.Micros())
	}
	gone := at + s.Discovery.Delay.Micros() + s.Service.DrainGrace.Micros() + longest
	return []Act{{At: at, Fault: i, Who: who}, {At: gone, Fault: i, Who: who, Stage: 1},
		{At: max(until, gone+1), Fault: i, Who: who, Stage: 2, End: true}}
}

// rolling strikes batch after batch, evenly over the fault's time.
func rolling(f scenario.Fault, i int, struck []int, among int, s scenario.Scenario) (acts []Act) {
	size := max(1, int(math.Round(f.BatchShare*float64(among))))
	batches := (len(struck) + size - 1) / size
	step := f.Duration.Micros() / event.Micros(max(1, batches))
	for n, who := range struck {
		at := f.At.Micros() + event.Micros(n/size)*step
		if f.Kind == "deploy" {
			acts = append(acts, retire(i, who, at, at, s)...)
		} else {
			acts = append(acts, strike(f, i, who, at, at+step, s)...)
		}
	}
	return acts
}
