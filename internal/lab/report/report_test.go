package report

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/referee"
	"spurtrestle/internal/lab/scenario"
)

// sampleRun returns a run of 20 s with an operation every 10 ms, answered after 10 ms. A router is down from 10 to 11 s, and
// operations take 100 ms then and for the duration bad afterwards. Every tenth operation is late; every hundredth is rejected
// with a hint and never succeeds.
func sampleRun(seed uint64, bad event.Micros) fleet.Result {
	s := scenario.Default()
	s.Title, s.Length = "played", 20e6
	s.Methods = []scenario.Method{{Name: "get", LatencyBudget: 50e3, Deadline: 500e3, Criticality: 2, LateShare: 0.5}}
	s.Tenants = []scenario.Tenant{{Name: "t"}}
	s.Routers.Count = 1
	r := fleet.Result{Scenario: s, Seed: seed, ClientsStart: 1e6}
	add := func(e event.Event) { r.Events = append(r.Events, e) }
	for i := range 2000 {
		at := r.ClientsStart + event.Micros(i)*10e3
		if i == 1000 {
			add(event.Event{At: at, Kind: event.SIGTERMSent})
			add(event.Event{At: at + 1e6, Kind: event.RouterUp})
		}
		q := event.RequestID(rune('a' + i))
		add(event.Event{At: at, Kind: event.OperationDue, Op: event.Op(i)})
		add(event.Event{At: at, Kind: event.RequestSent, Op: event.Op(i), Request: q, Limit: 500e3})
		took := event.Micros(10e3)
		switch {
		case i%100 == 0:
			add(event.Event{At: at + 1e3, Kind: event.Answered, Op: event.Op(i), Request: q, Outcome: event.Rejected, Limit: 250e3})
			continue
		case i%10 == 0, at >= r.ClientsStart+10e6 && at < r.ClientsStart+11e6+bad:
			took = 100e3
		}
		add(event.Event{At: at + 1e3, Kind: event.AttemptReceived, Request: q, Server: "s"})
		add(event.Event{At: at + took, Kind: event.AttemptEnded, Request: q, Server: "s", Reply: event.Value})
		add(event.Event{At: at + took, Kind: event.Answered, Op: event.Op(i), Request: q, Outcome: event.Succeeded})
		r.Arrivals = append(r.Arrivals, arrivals.Arrival{})
	}
	return r
}

func checkNear(t *testing.T, what string, got, want, by float64) {
	t.Helper()
	if math.Abs(got-want) > by {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestMetrics(t *testing.T) {
	r := New(sampleRun(1, 0))
	// Of 100 operations 90 earn everything, 9 earn half and 1 earns nothing. In the second without the router 99 of 100 earn half.
	checkNear(t, "service", r.Service.Overall, (19*94.5+49.5)/2000, 1e-9)
	checkNear(t, "worst 10 s", r.Service.Worst10s, (9*94.5+49.5)/1000, 1e-9)
	checkNear(t, "the method's", r.Service.Methods[0].Share, r.Service.Overall, 1e-9)
	checkNear(t, "p50", r.Latency.P50, 10, 0.1)
	checkNear(t, "p99", r.Latency.P99, 100, 0.5)
	checkNear(t, "write-outs a try", r.Attempts.PerRequest, 0.99, 1e-9)
	if r.Ops.Rejected != 20 || r.Ops.Unserved != 20 || r.Rejections[2].Count != 20 || r.Rejections[2].Hint != "to 300ms" || r.InvalidReason != "" {
		t.Errorf("%+v %+v %s", r.Ops, r.Rejections, r.InvalidReason)
	}
	if s := r.Seconds[3]; s.Offered != 100 || s.Succeeded < 98 || s.Rejected != 1 {
		t.Errorf("%+v", s)
	}
}

func TestLateLabInvalidatesTheRun(t *testing.T) {
	run := sampleRun(1, 0)
	run.Events = append(run.Events, event.Event{At: 5e6, Kind: event.LabDelayed, Limit: 300e3, Note: "heartbeat"})
	if r := New(run); !strings.Contains(r.InvalidReason, "stood still for 300ms") {
		t.Error(r.InvalidReason)
	}
	run = sampleRun(1, 0)
	for range 50 {
		run.Events = append(run.Events, event.Event{At: 5e6, Kind: event.LabDelayed, Limit: 30e3})
	}
	if r := New(run); !strings.Contains(r.InvalidReason, "50 of 1980 ops began over 20 ms late") {
		t.Error(r.InvalidReason)
	}
}

func TestInterval(t *testing.T) {
	// Student's t with 4 degrees of freedom: 2.776 * 1.5811 / sqrt(5).
	i := Mean([]float64{1, 2, 3, 4, 5})
	checkNear(t, "mean", i.Mean, 3, 1e-9)
	checkNear(t, "half", i.HalfWidth, 1.963, 0.001)
	if one := Mean([]float64{7}); one.Samples != 1 || !strings.Contains(one.String(), "no interval") {
		t.Error(one)
	}
}

func runSet(label string, bad func(seed uint64) event.Micros) (s RunSet) {
	for seed := range uint64(4) {
		s.Runs = append(s.Runs, New(sampleRun(seed, bad(seed))))
	}
	s.Label, s.Version = label, Version
	return s
}

func TestCompare(t *testing.T) {
	worse := runSet("worse", func(seed uint64) event.Micros { return 2e6 + event.Micros(seed)*100e3 })
	good := runSet("good", func(seed uint64) event.Micros { return event.Micros(seed) * 100e3 })
	rows, pairs, err := Compare(worse, good)
	if err != nil || pairs != 4 || rows[0].Conclusion != "better" || rows[2].Conclusion != "no difference beyond chance" {
		t.Errorf("%+v %v", rows, err)
	}
	if rows, _, _ = Compare(good, worse); rows[0].Conclusion != "worse" {
		t.Errorf("%+v", rows[0])
	}
	good.Runs[0].InvalidReason, good.Runs[1].Seed = "late", 99
	if _, pairs, _ = Compare(worse, good); pairs != 2 {
		t.Errorf("%d pairs", pairs)
	}
	if _, _, err = Compare(worse, RunSet{}); err == nil {
		t.Error("an empty set was compared without an error")
	}
}

func TestRecoveries(t *testing.T) {
	slow := runSet("slow", func(uint64) event.Micros { return 2e6 })
	quick := runSet("quick", func(uint64) event.Micros { return 500e3 })
	rows, pairs, err := CompareRecoveries(slow, quick)
	if err != nil || pairs != 4 {
		t.Fatal(err)
	}
	checkNear(t, "service before", rows[5].A.Value, 0.945, 0.003)
	checkNear(t, "slow", rows[2].A.Value, 1.75, 0.26)
	checkNear(t, "quick", rows[2].B.Value, 0.25, 0.26)
	if rows[2].A.Low > rows[2].A.Value || rows[2].A.High < rows[2].A.Value {
		t.Errorf("%+v", rows[2])
	}
	if _, _, err := CompareRecoveries(slow, RunSet{}); err == nil {
		t.Error("an empty set was compared without an error")
	}
}

func TestTableAndPageShowViolations(t *testing.T) {
	r := New(sampleRun(1, 0))
	r.Violations = []referee.Violation{{Rule: 2, What: "sent <again>", Request: "q7", Evidence: []string{"seen & noted"}}}
	r.Faults = []FaultMark{{At: 3, Kind: "kill"}, {At: 5, Kind: "kill", End: true}}
	var table, page bytes.Buffer
	if err := WriteTable(&table, r); err != nil || !strings.Contains(table.String(), "rule 2: sent <again> (req q7, router 0)\n    seen & noted") {
		t.Error(table.String(), err)
	}
	if err := WritePage(&page, r); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, want := range []string{"sent &lt;again&gt;", "seen &amp; noted", "3.0 s: kill.", "5.0 s: kill ends."} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing from the page", want)
		}
	}
	if strings.Count(text, "<svg") != 7 || strings.Contains(text, "<script") || strings.Contains(text, "src=") {
		t.Error("the page does not have seven plots, or refers to other files")
	}
}
