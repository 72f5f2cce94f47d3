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

// RunSet holds the reports of one candidate, one for each seed.
type RunSet struct {
	Version int      `json:"version"`
	Label   string   `json:"label"`
	Runs    []Report `json:"runs"`
}

// Interval is a mean with the half width of its 95% confidence interval by Student's t distribution.
type Interval struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half"` // 0 for a single sample, which has no interval
	Samples   int     `json:"n"`
}

func (i Interval) String() string {
	if i.Samples < 2 {
		return fmt.Sprintf("%.4f (one run: no interval)", i.Mean)
	}
	return fmt.Sprintf("%.4f ± %.4f", i.Mean, i.HalfWidth)
}

// Mean returns the mean of values with its confidence interval.
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

// Metric is a value by which reports are compared.
type Metric struct {
	Name          string
	Value         func(Report) float64
	LowerIsBetter bool // lower values are better
}

// commonMetrics returns the metrics that all of the reports have.
func commonMetrics(all []Report) []Metric {
	for _, r := range all {
		if r.SiteLoss == nil {
			return Metrics
		}
	}
	return append(slices.Clone(Metrics), lossMetrics...)
}

// Metrics are the metrics that every report has.
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

// Comparison compares one metric of two candidates. Difference is B minus A, over pairs of runs with the same seed.
type Comparison struct {
	Metric     string   `json:"figure"`
	A          Interval `json:"a"`
	B          Interval `json:"b"`
	Difference Interval `json:"difference"`
	Conclusion string   `json:"says"` // better, worse, or no difference beyond chance
}

// Compare compares two candidates by pairs of runs with the same seed. Runs with invalid metrics are left out.
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
		rows = append(rows, f.compare(runsA, runsB))
	}
	return rows, len(runsA), nil
}

// compare compares the metric over pairs of runs.
func (f Metric) compare(runsA, runsB []Report) Comparison {
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
	return row
}

// WriteComparison writes a comparison as a table.
func WriteComparison(w io.Writer, a, b string, rows []Comparison, pairs int) error {
	fmt.Fprintf(w, "%d pairs of runs; intervals of 95%%\n", pairs)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "figure\t%s\t%s\tdifference\t\n", a, b)
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%v\t%v\t%v\t%s\n", r.Metric, r.A, r.B, r.Difference, r.Conclusion)
	}
	return t.Flush()
}

// WriteRunSet writes the means and intervals over the seeds as a table.
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
