package capacity

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"spurtrestle/internal/scale/result"
	"spurtrestle/internal/scale/slope"
)

// Measured is one file of results, by its name.
type ResultFile struct {
	Name string
	result.File
}

// DecodeMeasured reads a file of results. Errors are FieldErrors.
func DecodeResultFile(file string, text []byte) (ResultFile, error) {
	m := ResultFile{Name: file}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&m.File); err != nil {
		return m, FieldError{file, 0, "the file", err.Error(), "name a file that the scale run wrote, by this build or one of its format"}
	}
	if m.Format != result.Format {
		return m, FieldError{file, 0, "format", fmt.Sprintf("is %d, and %d is read here", m.Format, result.Format), "measure again with this build"}
	}
	if len(m.Trials) == 0 {
		return m, FieldError{file, 0, "trials", "is empty", "name a file of a scale run that measured something"}
	}
	var wrong []error
	for i, t := range m.Trials {
		field := fmt.Sprintf("trials[%d]", i)
		switch {
		case t.Routers < 1:
			wrong = append(wrong, FieldError{file, 0, field + ".routers", fmt.Sprintf("is %d", t.Routers), "measure with a router or more"})
		case t.Topology != result.Flat && t.Topology != result.Tiered:
			wrong = append(wrong, FieldError{file, 0, field + ".topology", fmt.Sprintf("is %q", t.Topology), "use flat or tiered"})
		}
	}
	return m, errors.Join(wrong...)
}

// Unit is what a value is counted in.
type Unit string

// The units.
const (
	BytesPerSecond Unit = "bytes/s"
	PerSecond      Unit = "messages/s"
	Cores          Unit = "cores"
	Bytes          Unit = "bytes"
	Seconds        Unit = "s"
	Number         Unit = "number"
	BitsPerSecond  Unit = "bits/s"
)

// Figure is one of those that a trial gives.
type Metric string

// The figures; those of one mechanism are named by mechanismFigure.
const (
	MetricBytes            Metric = "bytes"
	MetricMessages         Metric = "messages"
	MetricCPU              Metric = "cpu"
	MetricMemory           Metric = "memory"
	MetricBusiestBytes     Metric = "worst_bytes" // of the router with the most
	MetricConvergence      Metric = "settled"     // all views agree
	MetricConvergenceKnown Metric = "all_settled" // and all routers know it
	MetricPropagation      Metric = "change"
)

func mechanismMetric(name string) Metric { return Metric("bytes:" + name) }

// Unit is what the figure is counted in.
func (f Metric) Unit() Unit {
	switch f {
	case MetricMessages:
		return PerSecond
	case MetricCPU:
		return Cores
	case MetricMemory:
		return Bytes
	case MetricConvergence, MetricConvergenceKnown, MetricPropagation:
		return Seconds
	default:
		return BytesPerSecond
	}
}

// Key names a series: one figure of one kind of fleet under one fault.
type SeriesKey struct {
	Topology result.Topology `json:"topology"`
	Fault    result.Fault    `json:"fault"`
	Metric   Metric          `json:"figure"`
}

func (k SeriesKey) String() string { return fmt.Sprintf("%s/%s/%s", k.Topology, k.Fault, k.Metric) }

func compareKeys(a, b SeriesKey) int {
	return cmp.Or(cmp.Compare(a.Topology, b.Topology), cmp.Compare(a.Fault, b.Fault), cmp.Compare(a.Metric, b.Metric))
}

// Series is a figure over sizes and seeds.
type Series struct {
	SeriesKey
	Points          []slope.Point    `json:"points"`
	MissingTrials   int              `json:"absent"`   // trials that have no such figure: they did not settle, or not all had the change
	MinMissingSize  float64          `json:"absent_n"` // the smallest of their sizes; 0: there are none
	Fit             *slope.Selection `json:"choice"`   // nil: not fitted
	NotFittedReason string           `json:"unfit"`    // why not; empty: it is fitted
}

// Largest is the mean at the largest size measured; false: there is none.
func (s Series) MeanAtLargestSize() (mean, size float64, ok bool) {
	count := 0.0
	for _, p := range s.Points {
		size = max(size, p.Size)
	}
	for _, p := range s.Points {
		if p.Size == size {
			mean += p.Value
			count++
		}
	}
	if count == 0 {
		return 0, 0, false
	}
	return mean / count, size, true
}

// smallestOver is the smallest size measured at which no seed is within a limit.
func (s Series) minSizeOver(limit float64) (size float64, ok bool) {
	within := map[float64]bool{}
	for _, p := range s.Points {
		within[p.Size] = within[p.Size] || p.Value <= limit
	}
	for at, kept := range within {
		if !kept && (!ok || at < size) {
			size, ok = at, true
		}
	}
	return size, ok
}

// Excluded is a trial that ended early, and is left out.
type ExcludedTrial struct {
	Topology result.Topology `json:"topology"`
	Fault    result.Fault    `json:"fault"`
	Routers  int             `json:"routers"`
	Seed     uint64          `json:"seed"`
	Reason   string          `json:"why"`
}

// Evidence is all that was measured.
type Measurements struct {
	Files    []ResultFile
	Series   []Series // in order of their keys
	Excluded []ExcludedTrial
}

// Of is the series of a key; nil: nothing was measured.
func (e Measurements) Find(k SeriesKey) *Series {
	i, found := slices.BinarySearchFunc(e.Series, k, func(s Series, k SeriesKey) int { return compareKeys(s.SeriesKey, k) })
	if !found {
		return nil
	}
	return &e.Series[i]
}

// Gather fits all that files hold.
func FitMeasurements(files []ResultFile) Measurements {
	measurements := Measurements{Files: slices.Clone(files)}
	slices.SortFunc(measurements.Files, func(a, b ResultFile) int { return cmp.Compare(a.Name, b.Name) })
	series := map[SeriesKey]*Series{}
	for _, file := range measurements.Files {
		for _, trial := range file.Trials {
			if trial.Incomplete != "" {
				measurements.Excluded = append(measurements.Excluded, ExcludedTrial{trial.Topology, trial.Fault, trial.Routers, trial.Seed, trial.Incomplete})
				continue
			}
			if trial.Real == nil { // hollow routers beside real ones are shown beside these alone
				addTrial(series, trial)
			}
		}
	}
	for _, s := range series {
		measurements.Series = append(measurements.Series, fitSeries(*s))
	}
	slices.SortFunc(measurements.Series, func(a, b Series) int { return compareKeys(a.SeriesKey, b.SeriesKey) })
	return measurements
}

// take adds the figures of a trial to their series.
func addTrial(series map[SeriesKey]*Series, trial result.Trial) {
	add := func(figure Metric, value *float64) {
		key := SeriesKey{trial.Topology, trial.Fault, figure}
		s := series[key]
		if s == nil {
			s = &Series{SeriesKey: key, Points: []slope.Point{}}
			series[key] = s
		}
		size := float64(trial.Routers)
		if value == nil {
			if s.MissingTrials++; s.MinMissingSize == 0 || size < s.MinMissingSize {
				s.MinMissingSize = size
			}
			return
		}
		s.Points = append(s.Points, slope.Point{Size: size, Value: max(0, *value)}) // the harness's share may be the greater one
	}
	plain := func(figure Metric, value float64) { add(figure, &value) }
	u := trial.PerRouter
	plain(MetricBytes, u.BytesIn+u.BytesOut)
	plain(MetricMessages, u.MessagesIn+u.MessagesOut)
	plain(MetricCPU, u.CPU)
	plain(MetricMemory, u.Memory)
	plain(MetricBusiestBytes, trial.Busiest.BytesIn+trial.Busiest.BytesOut)
	for _, m := range trial.Mechanisms {
		plain(mechanismMetric(m.Name), m.Bytes)
	}
	add(MetricConvergence, trial.ConvergenceTime)
	add(MetricConvergenceKnown, trial.ConvergenceKnownTime)
	add(MetricPropagation, trial.PropagationTime)
}

// fit chooses a form. A series with absent figures is not fitted: what is left is the good part of it.
func fitSeries(s Series) Series {
	if s.MissingTrials > 0 {
		s.NotFittedReason = fmt.Sprintf("absent in %d trials, from %.0f routers on", s.MissingTrials, s.MinMissingSize)
		return s
	}
	choice, err := slope.Select(s.Points)
	var rangeErr slope.RangeError
	if errors.As(err, &rangeErr) {
		s.NotFittedReason = fmt.Sprintf("%d sizes over a factor of %.3g", rangeErr.Sizes, rangeErr.Ratio) // what is needed stands above the table
		return s
	}
	if err != nil {
		s.NotFittedReason = err.Error()
		return s
	}
	s.Fit = &choice
	return s
}
