package report

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Set is the reports of one candidate over seeds.
type RunSet struct {
	Version int      `json:"version"`
	Label   string   `json:"label"`
	Runs    []Report `json:"runs"`
}

// Interval is a mean and how far to both sides it may be off, with 95% confidence by Student's t.
type Interval struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half"` // 0 where there is one run only, which tells nothing of the spread
	Samples   int     `json:"n"`
}

func (i Interval) String() string {
	if i.Samples < 2 {
		return fmt.Sprintf("%.4f (one run: no interval)", i.Mean)
	}
	return fmt.Sprintf("%.4f ± %.4f", i.Mean, i.HalfWidth)
}

// Mean is the interval of some values.
func Mean(xs []float64) Interval {
	n := len(xs)
	if n == 0 {
		return Interval{}
	}
	if n == 1 {
		return Interval{Mean: xs[0], Samples: 1}
	}
	mean, dev := stat.MeanStdDev(xs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
	return Interval{Mean: mean, HalfWidth: t * dev / math.Sqrt(float64(n)), Samples: n}
}

// Figure is one that reports are compared by.
type Metric struct {
	Name          string
	Value         func(Report) float64
	LowerIsBetter bool // less is better
}

// figuresOf are those that all of some reports have.
func commonMetrics(all []Report) []Metric {
	for _, r := range all {
		if r.SiteLoss == nil {
			return Metrics
		}
	}
	return append(slices.Clone(Metrics), lossMetrics...)
}

// Figures are what reports are compared by.
var Metrics = []Metric{
	{"service", func(r Report) float64 { return r.Service.Overall }, false},
	{"service, worst 10 s", func(r Report) float64 { return r.Service.Worst10s }, false},
	{"p50 ms", func(r Report) float64 { return r.Latency.P50 }, true},
	{"p99 ms", func(r Report) float64 { return r.Latency.P99 }, true},
	{"write-outs a try", func(r Report) float64 { return r.Attempts.PerRequest }, true},
	{"nacked a try", func(r Report) float64 { return float64(r.Ops.Rejected) / float64(max(1, r.Ops.Requests)) }, true},
	{"connections opened", func(r Report) float64 { return float64(r.ConnectionsOpened) }, true},
	{"router CPU us a try", func(r Report) float64 {
		cpu, tries := 0.0, 0
		for _, u := range r.Routers {
			cpu, tries = cpu+u.CPUSeconds, tries+u.Requests
		}
		return 1e6 * cpu / float64(max(1, tries))
	}, true},
	{"rule breaks", func(r Report) float64 { return float64(len(r.Violations)) }, true},
}

// Row is one figure of two candidates. Difference is B less A, by pairs of runs with the same seed.
type Comparison struct {
	Metric     string   `json:"figure"`
	A          Interval `json:"a"`
	B          Interval `json:"b"`
	Difference Interval `json:"difference"`
	Conclusion string   `json:"says"` // better, worse, or no difference beyond chance
}

// Compare sets two candidates side by side. Runs that are void are left out, pairs are those with the same seed.
func Compare(a, b RunSet) (rows []Comparison, pairs int, err error) {
	bySeed := map[uint64]Report{}
	for _, r := range b.Runs {
		if r.InvalidReason == "" {
			bySeed[r.Seed] = r
		}
	}
	var runsA, runsB []Report
	for _, r := range a.Runs {
		if other, ok := bySeed[r.Seed]; ok && r.InvalidReason == "" {
			if other.Scenario != r.Scenario {
				return nil, 0, fmt.Errorf("%q and %q are different scenarios; compare runs of one", r.Scenario, other.Scenario)
			}
			runsA, runsB = append(runsA, r), append(runsB, other)
		}
	}
	if len(runsA) == 0 {
		return nil, 0, fmt.Errorf("no seed has a run that counts on both sides; run both with the same --seed and --seeds")
	}
	for _, f := range commonMetrics(slices.Concat(runsA, runsB)) {
		var xs, ys, ds []float64
		for i := range runsA {
			x, y := f.Value(runsA[i]), f.Value(runsB[i])
			xs, ys, ds = append(xs, x), append(ys, y), append(ds, y-x)
		}
		row := Comparison{f.Name, Mean(xs), Mean(ys), Mean(ds), "no difference beyond chance"}
		if d := row.Difference; d.Samples > 1 && math.Abs(d.Mean) > d.HalfWidth {
			row.Conclusion = "better"
			if (d.Mean > 0) == f.LowerIsBetter {
				row.Conclusion = "worse"
			}
		} else if d.Samples == 1 {
			row.Conclusion = "one pair: tells nothing of chance"
		}
		rows = append(rows, row)
	}
	return rows, len(runsA), nil
}

// CompareTable writes a comparison for people.
func WriteComparison(w io.Writer, a, b string, rows []Comparison, pairs int) error {
	fmt.Fprintf(w, "%d pairs of runs; intervals of 95%%\n", pairs)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "figure\t%s\t%s\tdifference\t\n", a, b)
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%v\t%v\t%v\t%s\n", r.Metric, r.A, r.B, r.Difference, r.Conclusion)
	}
	return t.Flush()
}

// SetTable writes the spread over seeds for people.
func WriteRunSet(w io.Writer, s RunSet) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "figure\tmean over %d runs, interval of 95%%\t\n", len(s.Runs))
	for _, f := range commonMetrics(s.Runs) {
		var xs []float64
		for _, r := range s.Runs {
			if r.InvalidReason == "" {
				xs = append(xs, f.Value(r))
			}
		}
		fmt.Fprintf(t, "%s\t%v\t\n", f.Name, Mean(xs))
	}
	return t.Flush()
}
