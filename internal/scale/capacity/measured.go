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

// ResultFile is a named result file of a scale run.
type ResultFile struct {
	Name string
	result.File
}

// DecodeResultFile decodes and validates the text of a result file; unknown fields are errors. Each error is a FieldError.
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

// Unit is the unit of a value.
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

// Metric is the name of a value that each trial measures.
type Metric string

// The metrics. mechanismMetric returns the metrics of single protocol mechanisms.
const (
	MetricBytes            Metric = "bytes"
	MetricMessages         Metric = "messages"
	MetricCPU              Metric = "cpu"
	MetricMemory           Metric = "memory"
	MetricBusiestBytes     Metric = "worst_bytes" // bytes of the router with the most traffic
	MetricConvergence      Metric = "settled"     // time until all views agree
	MetricConvergenceKnown Metric = "all_settled" // time until all routers know that all views agree
	MetricPropagation      Metric = "change"
)

func mechanismMetric(name string) Metric { return Metric("bytes:" + name) }

// Unit returns the unit of the metric.
func (m Metric) Unit() Unit {
	switch m {
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

// SeriesKey identifies a series: one metric for one topology under one fault.
type SeriesKey struct {
	Topology result.Topology `json:"topology"`
	Fault    result.Fault    `json:"fault"`
	Metric   Metric          `json:"figure"`
}

func (k SeriesKey) String() string { return fmt.Sprintf("%s/%s/%s", k.Topology, k.Fault, k.Metric) }

func compareKeys(a, b SeriesKey) int {
	return cmp.Or(cmp.Compare(a.Topology, b.Topology), cmp.Compare(a.Fault, b.Fault), cmp.Compare(a.Metric, b.Metric))
}

// Series holds the measurements of one metric over all sizes and seeds, and the fitted growth model.
type Series struct {
	SeriesKey
	Points          []slope.Point    `json:"points"`
	MissingTrials   int              `json:"absent"`   // trials without this metric: the views did not converge, or a change did not reach all routers
	MinMissingSize  float64          `json:"absent_n"` // the smallest size of these trials; 0: there are none
	Fit             *slope.Selection `json:"choice"`   // nil: no model was fitted
	NotFittedReason string           `json:"unfit"`    // why no model was fitted; empty: Fit is set
}

// MeanAtLargestSize returns the mean at the largest size measured; ok is false without measurements.
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

// minSizeOver returns the smallest size measured at which no seed is within a limit; ok is false if there is none.
func (s Series) minSizeOver(limit float64) (size float64, ok bool) {
	anyWithinLimit := map[float64]bool{}
	for _, p := range s.Points {
		anyWithinLimit[p.Size] = anyWithinLimit[p.Size] || p.Value <= limit
	}
	for candidate, anyWithin := range anyWithinLimit {
		if !anyWithin && (!ok || candidate < size) {
			size, ok = candidate, true
		}
	}
	return size, ok
}

// ExcludedTrial is a trial that ended early and does not count.
type ExcludedTrial struct {
	Topology result.Topology `json:"topology"`
	Fault    result.Fault    `json:"fault"`
	Routers  int             `json:"routers"`
	Seed     uint64          `json:"seed"`
	Reason   string          `json:"why"`
}

// Measurements holds all results of scale runs, and the models fitted to them.
type Measurements struct {
	Files    []ResultFile
	Series   []Series // sorted by key
	Excluded []ExcludedTrial
}

// Find returns the series with a key, or nil if nothing was measured.
func (m Measurements) Find(k SeriesKey) *Series {
	i, found := slices.BinarySearchFunc(m.Series, k, func(s Series, k SeriesKey) int { return compareKeys(s.SeriesKey, k) })
	if !found {
		return nil
	}
	return &m.Series[i]
}

// FitMeasurements collects the trials of all files and fits a growth model to each series.
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
			if trial.Real == nil { // simulated routers of fleets with real ones are shown only in comparison with those
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

// addTrial adds the measurements of a trial to their series.
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
		s.Points = append(s.Points, slope.Point{Size: size, Value: max(0, *value)}) // subtracting the harness's usage may give a negative value
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

// fitSeries fits a growth model to a series. A series with missing values is not fitted: the remaining ones are biased towards
// trials that succeeded.
func fitSeries(s Series) Series {
	if s.MissingTrials > 0 {
		s.NotFittedReason = fmt.Sprintf("absent in %d trials, from %.0f routers on", s.MissingTrials, s.MinMissingSize)
		return s
	}
	choice, err := slope.Select(s.Points)
	var rangeErr slope.RangeError
	if errors.As(err, &rangeErr) {
		s.NotFittedReason = fmt.Sprintf("%d sizes over a factor of %.3g", rangeErr.Sizes, rangeErr.Ratio) // the page states the required range above its table
		return s
	}
	if err != nil {
		s.NotFittedReason = err.Error()
		return s
	}
	s.Fit = &choice
	return s
}
