package report

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/scenario"
)

// RestartWindow holds what clients observed around a restart of routers, in time slices before the first router ended and
// after the last one was up again.
type RestartWindow struct {
	PartMs float64     `json:"part_ms"`
	Before []TimeSlice `json:"before"` // before the first router ended, latest slice first
	After  []TimeSlice `json:"after"`
}

// TimeSlice holds the offered and earned criticality and the latencies of a short span of a run.
type TimeSlice struct {
	Offered   float64   `json:"asked"`
	Earned    float64   `json:"earned"`
	LatencyMs []float32 `json:"took_ms"`
}

const (
	sliceSpan    = 250e3
	slicesBefore = 20
	slicesAfter  = 40
)

// restartSpan returns when the first router ended and when the last one was up again; -1 for a time that was not recorded.
func restartSpan(r fleet.Result) (down, up event.Micros) {
	down, up = event.Micros(-1), event.Micros(-1)
	for _, e := range r.Events {
		switch {
		case (e.Kind == event.SIGTERMSent || e.Kind == event.SIGKILLSent) && down < 0 && e.At < r.ClientsStart+r.Scenario.Length.Micros():
			down = e.At
		case e.Kind == event.RouterUp && down >= 0:
			up = e.At
		}
	}
	return down, up
}

// restartWindowOf returns the window around the restart in a run. It is nil if there is no restart or it is too close to the
// start of the run.
func restartWindowOf(r fleet.Result) *RestartWindow {
	down, up := restartSpan(r)
	if up < 0 || down-r.ClientsStart < sliceSpan*slicesBefore {
		return nil
	}
	window := &RestartWindow{PartMs: sliceSpan / 1e3, Before: make([]TimeSlice, slicesBefore), After: make([]TimeSlice, slicesAfter)}
	answeredAt := map[event.Op]event.Micros{}
	for _, e := range r.Events {
		if _, known := answeredAt[e.Op]; e.Kind == event.Answered && e.Outcome == event.Succeeded && !known {
			answeredAt[e.Op] = e.At
		}
	}
	for _, e := range r.Events {
		if e.Kind != event.OperationDue {
			continue
		}
		var p *TimeSlice
		switch i, j := int((down-e.At)/sliceSpan), int((e.At-up)/sliceSpan); {
		case e.At < down && i < slicesBefore:
			p = &window.Before[i]
		case e.At >= up && j < slicesAfter:
			p = &window.After[j]
		default:
			continue
		}
		m := r.Scenario.Methods[e.Method]
		p.Offered += m.Criticality
		if at, served := answeredAt[e.Op]; served {
			p.addServed(m, at-e.At)
		}
	}
	return window
}

// addServed adds an operation that was served after a latency.
func (p *TimeSlice) addServed(m scenario.Method, latency event.Micros) {
	if latency <= m.LatencyBudget.Micros() {
		p.Earned += m.Criticality
	} else {
		p.Earned += m.Criticality * m.LateShare
	}
	p.LatencyMs = append(p.LatencyMs, float32(latency)/1e3)
}

// Recovery holds how long after a restart service and p99 were back within a tolerance of their values before it.
type Recovery struct {
	SteadyService float64 `json:"steady_service"`
	SteadyP99     float64 `json:"steady_p99_ms"`
	Service       float64 `json:"service_s"`
	P99           float64 `json:"p99_s"`
	Both          float64 `json:"both_s"`
}

const (
	tolerance    = 0.05
	windowSlices = 4 // one second, since p99 over fewer samples is too noisy
)

// measureRecovery pools runs and finds the first time slice from which on one second is within the tolerance.
func measureRecovery(runs []*RestartWindow) Recovery {
	pool := func(of func(*RestartWindow) []TimeSlice) TimeSlice {
		var p TimeSlice
		for _, a := range runs {
			for _, x := range of(a) {
				p.Offered, p.Earned, p.LatencyMs = p.Offered+x.Offered, p.Earned+x.Earned, append(p.LatencyMs, x.LatencyMs...)
			}
		}
		return p
	}
	before := pool(func(a *RestartWindow) []TimeSlice { return a.Before })
	r := Recovery{SteadyService: before.Earned / max(1, before.Offered), SteadyP99: p99(before.LatencyMs), Service: math.Inf(1), P99: math.Inf(1),
		Both: math.Inf(1)}
	for i := 0; i+windowSlices <= slicesAfter; i++ {
		now := pool(func(a *RestartWindow) []TimeSlice { return a.After[i : i+windowSlices] })
		at := float64(i) * sliceSpan / 1e6
		serviceRecovered := now.Earned/max(1, now.Offered) >= (1-tolerance)*r.SteadyService
		latencyRecovered := p99(now.LatencyMs) <= (1+tolerance)*r.SteadyP99
		if serviceRecovered {
			r.Service = min(r.Service, at)
		}
		if latencyRecovered {
			r.P99 = min(r.P99, at)
		}
		if serviceRecovered && latencyRecovered {
			r.Both = min(r.Both, at)
		}
	}
	// A run that did not recover counts with the length of the window.
	longest := float64(slicesAfter) * sliceSpan / 1e6
	r.Service, r.P99, r.Both = min(r.Service, longest), min(r.P99, longest), min(r.Both, longest)
	return r
}

func p99(latencies []float32) float64 {
	if len(latencies) == 0 {
		return 0
	}
	latencies = slices.Clone(latencies)
	slices.Sort(latencies)
	return float64(latencies[min(len(latencies)-1, len(latencies)*99/100)])
}

// Range is a value with its 95% bootstrap interval.
type Range struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// RecoveryComparison compares one metric of two candidates.
type RecoveryComparison struct {
	Metric string `json:"figure"`
	A      Range  `json:"a"`
	B      Range  `json:"b"`
}

// CompareRecoveries compares how two candidates recover from a restart, by pairs of runs with the same seed. The intervals
// are computed by bootstrap: the pairs are resampled 200 times.
func CompareRecoveries(a, b RunSet) (rows []RecoveryComparison, pairs int, err error) {
	bySeed := map[uint64]*RestartWindow{}
	for _, r := range b.Runs {
		if r.InvalidReason == "" && r.AroundRestart != nil {
			bySeed[r.Seed] = r.AroundRestart
		}
	}
	var runsA, runsB []*RestartWindow
	for _, r := range a.Runs {
		if other := bySeed[r.Seed]; r.InvalidReason == "" && r.AroundRestart != nil && other != nil {
			runsA, runsB = append(runsA, r.AroundRestart), append(runsB, other)
		}
	}
	if len(runsA) < 2 {
		return nil, len(runsA), fmt.Errorf("%d pairs of runs with a restart are too few; run both with --seeds 10", len(runsA))
	}
	names := []string{"service back to 95% of before, s", "p99 back to 105% of before, s", "both, s", "service in the second after",
		"service in the 5 s after", "service before", "p99 before, ms"}
	figures := func(runs []*RestartWindow) []float64 {
		resampledA := measureRecovery(runs)
		return []float64{resampledA.Service, resampledA.P99, resampledA.Both, earlyService(runs, 4), earlyService(runs, 20), resampledA.SteadyService, resampledA.SteadyP99}
	}
	r := rand.New(rand.NewPCG(1, 1))
	const draws = 200
	drawnA, drawnB := make([][]float64, len(names)), make([][]float64, len(names))
	for range draws {
		resampledA, resampledB := make([]*RestartWindow, len(runsA)), make([]*RestartWindow, len(runsA))
		for i := range resampledA {
			n := r.IntN(len(runsA))
			resampledA[i], resampledB[i] = runsA[n], runsB[n]
		}
		u, v := figures(resampledA), figures(resampledB)
		for i := range names {
			drawnA[i], drawnB[i] = append(drawnA[i], u[i]), append(drawnB[i], v[i])
		}
	}
	valueA, valueB := figures(runsA), figures(runsB)
	for i, name := range names {
		row := RecoveryComparison{Metric: name, A: Range{Value: valueA[i]}, B: Range{Value: valueB[i]}}
		row.A.Low, row.A.High = interval95(drawnA[i])
		row.B.Low, row.B.High = interval95(drawnB[i])
		rows = append(rows, row)
	}
	return rows, len(runsA), nil
}

// earlyService returns the service over the first slices after the restart.
func earlyService(runs []*RestartWindow, slices int) float64 {
	offered, earned := 0.0, 0.0
	for _, a := range runs {
		for _, p := range a.After[:slices] {
			offered, earned = offered+p.Offered, earned+p.Earned
		}
	}
	return earned / max(1, offered)
}

// interval95 returns the bounds of the central 95% of the values, which it sorts.
func interval95(xs []float64) (low, high float64) {
	slices.SortFunc(xs, cmp.Compare[float64])
	return xs[len(xs)*25/1000], xs[len(xs)*975/1000]
}

// WriteRecoveries writes a comparison of recoveries as a table.
func WriteRecoveries(w io.Writer, rows []RecoveryComparison, pairs int) error {
	fmt.Fprintf(w, "%d pairs of runs; in brackets 95 of 100 draws of pairs\n", pairs)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tA\tB")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.3f (%.3f to %.3f)\t%.3f (%.3f to %.3f)\n", r.Metric, r.A.Value, r.A.Low, r.A.High, r.B.Value, r.B.Low, r.B.High)
	}
	return t.Flush()
}
