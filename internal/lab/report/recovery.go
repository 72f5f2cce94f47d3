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
)

// Around is what clients saw around the moment when the last router that had ended was up again: the ops that came up in
// each part, their criticality, what was earned, and how long the satisfied ones took.
type RestartWindow struct {
	PartMs float64     `json:"part_ms"`
	Before []TimeSlice `json:"before"` // the last first: before the first router ended
	After  []TimeSlice `json:"after"`
}

// Part is a short span of a run.
type TimeSlice struct {
	Offered   float64   `json:"asked"`
	Earned    float64   `json:"earned"`
	LatencyMs []float32 `json:"took_ms"`
}

const (
	partSpan    = 250e3
	beforeParts = 20
	afterParts  = 40
)

// around looks for a restart; nil where there is none, or it is too near to an end of the run.
func around(r fleet.Result) *RestartWindow {
	down, up := event.Micros(-1), event.Micros(-1)
	for _, e := range r.Events {
		switch {
		case (e.Kind == event.Term || e.Kind == event.Killed) && down < 0 && e.At < r.ClientsStart+r.Scenario.Length.Micros():
			down = e.At
		case e.Kind == event.Up && down >= 0:
			up = e.At
		}
	}
	if up < 0 || down-r.ClientsStart < partSpan*beforeParts {
		return nil
	}
	a := &RestartWindow{PartMs: partSpan / 1e3, Before: make([]TimeSlice, beforeParts), After: make([]TimeSlice, afterParts)}
	took := map[event.Op]event.Micros{}
	for _, e := range r.Events {
		if _, known := took[e.Op]; e.Kind == event.Answered && e.Outcome == event.Satisfied && !known {
			took[e.Op] = e.At
		}
	}
	for _, e := range r.Events {
		if e.Kind != event.Wanted {
			continue
		}
		var p *TimeSlice
		switch i, j := int((down-e.At)/partSpan), int((e.At-up)/partSpan); {
		case e.At < down && i < beforeParts:
			p = &a.Before[i]
		case e.At >= up && j < afterParts:
			p = &a.After[j]
		default:
			continue
		}
		m := r.Scenario.Methods[e.Method]
		p.Offered += m.Criticality
		if at, served := took[e.Op]; served {
			if at-e.At <= m.LatencyBudget.Micros() {
				p.Earned += m.Criticality
			} else {
				p.Earned += m.Criticality * m.LateShare
			}
			p.LatencyMs = append(p.LatencyMs, float32(at-e.At)/1e3)
		}
	}
	return a
}

// Recovery is how long after a restart service and p99 were within a part of what they had been before.
type Recovery struct {
	SteadyService float64 `json:"steady_service"`
	SteadyP99     float64 `json:"steady_p99_ms"`
	Service       float64 `json:"service_s"`
	P99           float64 `json:"p99_s"`
	Both          float64 `json:"both_s"`
}

const (
	within      = 0.05
	windowParts = 4 // a second: p99 of less is chance
)

// recover pools runs and finds the first part from which on a second of it is as before.
func recover(runs []*RestartWindow) Recovery {
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
	for i := 0; i+windowParts <= afterParts; i++ {
		now := pool(func(a *RestartWindow) []TimeSlice { return a.After[i : i+windowParts] })
		at := float64(i) * partSpan / 1e6
		good := now.Earned/max(1, now.Offered) >= (1-within)*r.SteadyService
		quick := p99(now.LatencyMs) <= (1+within)*r.SteadyP99
		if good {
			r.Service = min(r.Service, at)
		}
		if quick {
			r.P99 = min(r.P99, at)
		}
		if good && quick {
			r.Both = min(r.Both, at)
		}
	}
	// What never recovered took as long as was looked at, or more.
	most := float64(afterParts) * partSpan / 1e6
	r.Service, r.P99, r.Both = min(r.Service, most), min(r.P99, most), min(r.Both, most)
	return r
}

func p99(took []float32) float64 {
	if len(took) == 0 {
		return 0
	}
	took = slices.Clone(took)
	slices.Sort(took)
	return float64(took[min(len(took)-1, len(took)*99/100)])
}

// Range is a figure with what 95 of 100 draws of runs leave it in.
type Range struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// RecoveryRow sets one figure of two candidates side by side.
type RecoveryComparison struct {
	Metric string `json:"figure"`
	A      Range  `json:"a"`
	B      Range  `json:"b"`
}

// Recoveries compares how two candidates come back from a restart, by pairs of runs with one seed. The intervals come from
// drawing pairs anew, 200 times.
func CompareRecoveries(a, b RunSet) (rows []RecoveryComparison, pairs int, err error) {
	of := map[uint64]*RestartWindow{}
	for _, r := range b.Runs {
		if r.InvalidReason == "" && r.AroundRestart != nil {
			of[r.Seed] = r.AroundRestart
		}
	}
	var left, right []*RestartWindow
	for _, r := range a.Runs {
		if other := of[r.Seed]; r.InvalidReason == "" && r.AroundRestart != nil && other != nil {
			left, right = append(left, r.AroundRestart), append(right, other)
		}
	}
	if len(left) < 2 {
		return nil, len(left), fmt.Errorf("%d pairs of runs with a restart are too few; run both with --seeds 10", len(left))
	}
	names := []string{"service back to 95% of before, s", "p99 back to 105% of before, s", "both, s", "service in the second after",
		"service in the 5 s after", "service before", "p99 before, ms"}
	figures := func(runs []*RestartWindow) []float64 {
		x := recover(runs)
		return []float64{x.Service, x.P99, x.Both, early(runs, 4), early(runs, 20), x.SteadyService, x.SteadyP99}
	}
	r := rand.New(rand.NewPCG(1, 1))
	const draws = 200
	drawnA, drawnB := make([][]float64, len(names)), make([][]float64, len(names))
	for range draws {
		x, y := make([]*RestartWindow, len(left)), make([]*RestartWindow, len(left))
		for i := range x {
			n := r.IntN(len(left))
			x[i], y[i] = left[n], right[n]
		}
		u, v := figures(x), figures(y)
		for i := range names {
			drawnA[i], drawnB[i] = append(drawnA[i], u[i]), append(drawnB[i], v[i])
		}
	}
	valueA, valueB := figures(left), figures(right)
	for i, name := range names {
		row := RecoveryComparison{Metric: name, A: Range{Value: valueA[i]}, B: Range{Value: valueB[i]}}
		row.A.Low, row.A.High = ends(drawnA[i])
		row.B.Low, row.B.High = ends(drawnB[i])
		rows = append(rows, row)
	}
	return rows, len(left), nil
}

func early(runs []*RestartWindow, parts int) float64 {
	asked, earned := 0.0, 0.0
	for _, a := range runs {
		for _, p := range a.After[:parts] {
			asked, earned = asked+p.Offered, earned+p.Earned
		}
	}
	return earned / max(1, asked)
}

func ends(xs []float64) (low, high float64) {
	slices.SortFunc(xs, cmp.Compare[float64])
	return xs[len(xs)*25/1000], xs[len(xs)*975/1000]
}

// RecoveryTable writes the comparison for people.
func WriteRecoveries(w io.Writer, rows []RecoveryComparison, pairs int) error {
	fmt.Fprintf(w, "%d pairs of runs; in brackets 95 of 100 draws of pairs\n", pairs)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tA\tB")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.3f (%.3f to %.3f)\t%.3f (%.3f to %.3f)\n", r.Metric, r.A.Value, r.A.Low, r.A.High, r.B.Value, r.B.Low, r.B.High)
	}
	return t.Flush()
}
