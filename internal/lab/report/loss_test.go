package report

import (
	"fmt"
	"testing"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/scenario"
)

func Example_inversions() {
	for _, x := range []struct{ rejected, served map[float64]int }{
		{map[float64]int{1: 9}, map[float64]int{3: 9}},             // only the less critical are rejected
		{map[float64]int{3: 2}, map[float64]int{1: 9}},             // two more critical are rejected while nine less critical are served
		{map[float64]int{3: 4, 1: 5}, map[float64]int{1: 3, 5: 7}}, // three of four could have been served instead
		{map[float64]int{5: 1, 3: 1}, map[float64]int{3: 1, 1: 1}}, // each could have been served instead of the next
		{map[float64]int{3: 2}, map[float64]int{3: 9}},             // equal criticality is no inversion
	} {
		fmt.Println(countInversions(x.rejected, x.served))
	}
	// Output:
	// 0
	// 2
	// 3
	// 2
	// 0
}

// Each phase of a site loss has its own service, goodput, rejections and latency.
func TestPhasesOfASiteLoss(t *testing.T) {
	s := scenario.Default()
	s.Length, s.Tenants = 30e6, nil
	s.Methods = []scenario.Method{{Name: "read", LatencyBudget: 200e3, Criticality: 3}, {Name: "report", LatencyBudget: 200e3, Criticality: 1}}
	r := fleet.Result{Scenario: s, Events: []event.Event{{At: 10e6, Kind: event.Fault, Note: "site_lost"}, {At: 18e6, Kind: event.Fault, Note: "site_lost", Limit: 1}}}
	op := event.Op(0)
	ask := func(at event.Micros, m event.Method, out event.Outcome, took event.Micros) {
		op++
		id := event.RequestID(fmt.Sprint(op))
		r.Events = append(r.Events, event.Event{At: at, Kind: event.OperationDue, Op: op, Method: m, Tenant: -1},
			event.Event{At: at, Kind: event.RequestSent, Op: op, Request: id, Method: m}, event.Event{At: at + took, Kind: event.Answered, Op: op, Request: id, Outcome: out})
	}
	for at := event.Micros(2e6); at < 30e6; at += 1e5 {
		lost := at >= 10e6 && at < 18e6
		ask(at, 0, event.Succeeded, 50e3)
		if lost {
			ask(at, 1, event.Rejected, 1e3)
		} else {
			ask(at, 1, event.Succeeded, 250e3) // late
		}
	}
	l := siteLossOf(r)
	if l == nil || l.Before.Service != 0.75 || l.During.Service != 0.75 || l.During.Rejected[1].Share != 1 || l.During.Rejected[0].Share != 0 || l.RejectedShare != 0.5 ||
		l.During.Inversions != 0 || l.RecoverySeconds != 0 || l.Dip != 0 || l.During.Goodput < 9.9 || l.During.P99 > 0.26 || l.Before.P99 < 1.2 {
		t.Errorf("%+v", l)
	}
}
