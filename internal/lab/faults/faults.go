// Package faults expands the faults of a scenario into a timeline of single actions, which the lab's fleet carries out. It
// does no I/O and keeps no state: the same scenario and seed give the same timeline.
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

// Action is one step of a fault: it starts or ends the fault at one target.
type Action struct {
	At     event.Micros
	Fault  int  // index into the scenario's faults
	End    bool // the action ends the fault
	Target int  // index of the affected server or router; -1 for all of the kind
	// Stage of a drain or deploy: 0 the server drains, 1 it is removed, 2 its replacement starts.
	Stage int
}

// String formats the action as one line of the printed timeline.
func (a Action) String() string {
	return fmt.Sprintf("%v fault=%d who=%d stage=%d end=%v", a.At.Duration(), a.Fault, a.Target, a.Stage, a.End)
}

// Timeline returns all actions of a scenario in order of time.
func Timeline(s scenario.Scenario, seed uint64) []Action {
	var timeline []Action
	for i, f := range s.Faults {
		r := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		if f.Chance > 0 && r.Float64() >= f.Chance {
			continue
		}
		timeline = append(timeline, faultActions(f, i, s, r)...)
	}
	slices.SortStableFunc(timeline, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return timeline
}

// faultActions returns the actions of the scenario's fault i at all of its targets.
func faultActions(f scenario.Fault, i int, s scenario.Scenario, r *rand.Rand) (actions []Action) {
	kind := scenario.FaultKinds[f.Kind]
	switch kind.Target() {
	case "servers", "routers":
		count := s.Servers.Count
		if kind.Target() == "routers" {
			count = s.Routers.Count
		}
		targets := pick(f, count, r)
		if f.Kind == "zone_lost" {
			targets = slices.DeleteFunc(r.Perm(count), func(place int) bool { return s.SiteOf(place) != f.Site })
			slices.Sort(targets)
		}
		if f.Kind == "deploy" || f.BatchShare > 0 {
			return rolling(f, i, targets, count, s)
		}
		for _, target := range targets {
			at, until := randomWindow(f, r)
			actions = append(actions, targetActions(f, i, target, at, until, s)...)
		}
	default:
		at, until := randomWindow(f, r)
		actions = append(actions, Action{At: at, Fault: i, Target: -1})
		if until > at {
			actions = append(actions, Action{At: until, Fault: i, Target: -1, End: true})
		}
	}
	return actions
}

// randomWindow draws when a fault begins, within its spread, and returns that time and when it ends.
func randomWindow(f scenario.Fault, r *rand.Rand) (at, until event.Micros) {
	at = f.At.Micros()
	if f.StartSpread > 0 {
		at += event.Micros(r.Int64N(int64(f.StartSpread)))
	}
	return at, at + f.Duration.Micros()
}

// pick returns the targets of a fault: those that it names, else a random share of count, but at least one.
func pick(f scenario.Fault, count int, r *rand.Rand) []int {
	if len(f.Targets) > 0 {
		return f.Targets
	}
	n := max(1, int(math.Round(f.TargetShare*float64(count))))
	targets := r.Perm(count)[:min(n, count)]
	slices.Sort(targets)
	return targets
}

// targetActions returns the actions of a fault at one server or router.
func targetActions(f scenario.Fault, i, target int, at, until event.Micros, s scenario.Scenario) []Action {
	if f.Kind == "drain" {
		return replaceServer(i, target, at, until, s)
	}
	actions := []Action{{At: at, Fault: i, Target: target}}
	if until > at {
		actions = append(actions, Action{At: until, Fault: i, Target: target, End: true})
	}
	return actions
}

// replaceServer drains a server, removes it when its last request must have ended, and starts a replacement at until.
func replaceServer(i, target int, at, until event.Micros, s scenario.Scenario) []Action {
	longestDeadline := event.Micros(0)
	for _, m := range s.Methods {
		longestDeadline = max(longestDeadline, m.Deadline.Micros())
	}
	removeAt := at + s.Discovery.Delay.Micros() + s.Service.DrainGrace.Micros() + longestDeadline
	return []Action{{At: at, Fault: i, Target: target}, {At: removeAt, Fault: i, Target: target, Stage: 1},
		{At: max(until, removeAt+1), Fault: i, Target: target, Stage: 2, End: true}}
}

// rolling applies a fault to one batch of targets after the other, evenly over the duration of the fault.
func rolling(f scenario.Fault, i int, targets []int, count int, s scenario.Scenario) (actions []Action) {
	size := max(1, int(math.Round(f.BatchShare*float64(count))))
	batches := (len(targets) + size - 1) / size
	step := f.Duration.Micros() / event.Micros(max(1, batches))
	for n, target := range targets {
		at := f.At.Micros() + event.Micros(n/size)*step
		if f.Kind == "deploy" {
			actions = append(actions, replaceServer(i, target, at, at, s)...)
		} else {
			actions = append(actions, targetActions(f, i, target, at, at+step, s)...)
		}
	}
	return actions
}
