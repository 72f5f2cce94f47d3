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
type Measured struct {
	Name string
	result.File
}

// DecodeMeasured reads a file of results. Errors are FieldErrors.
func DecodeMeasured(file string, text []byte) (Measured, error) {
	m := Measured{Name: file}
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
type Figure string

// The figures; those of one mechanism are named by mechanismFigure.
const (
	FigureBytes    Figure = "bytes"
	FigureMessages Figure = "messages"
	FigureCPU      Figure = "cpu"
	FigureMemory   Figure = "memory"
	FigureWorst    Figure = "worst_bytes" // of the router with the most
	FigureSettled  Figure = "settled"     // all views agree
	FigureKnown    Figure = "all_settled" // and all routers know it
	FigureChange   Figure = "change"
)

func mechanismFigure(name string) Figure { return Figure("bytes:" + name) }

// Unit is what the figure is counted in.
func (f Figure) Unit() Unit {
	switch f {
	case FigureMessages:
		return PerSecond
	case FigureCPU:
		return Cores
	case FigureMemory:
		return Bytes
	case FigureSettled, FigureKnown, FigureChange:
		return Seconds
	default:
		return BytesPerSecond
	}
}

// Key names a series: one figure of one kind of fleet under one fault.
type Key struct {
	Topology result.Topology `json:"topology"`
	Fault    result.Fault    `json:"fault"`
	Figure   Figure          `json:"figure"`
}

func (k Key) String() string { return fmt.Sprintf("%s/%s/%s", k.Topology, k.Fault, k.Figure) }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Topology, b.Topology), cmp.Compare(a.Fault, b.Fault), cmp.Compare(a.Figure, b.Figure))
}

// Series is a figure over sizes and seeds.
type Series struct {
	Key
	Points  []slope.Point `json:"points"`
	Absent  int           `json:"absent"`   // trials that have no such figure: they did not settle, or not all had the change
	AbsentN float64       `json:"absent_n"` // the smallest of their sizes; 0: there are none
	Choice  *slope.Choice `json:"choice"`   // nil: not fitted
	Unfit   string        `json:"unfit"`    // why not; empty: it is fitted
}

// Largest is the mean at the largest size measured; false: there is none.
func (s Series) Largest() (mean, size float64, ok bool) {
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
func (s Series) smallestOver(limit float64) (size float64, ok bool) {
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
type Excluded struct {
	Topology result.Topology `json:"topology"`
	Fault    result.Fault    `json:"fault"`
	Routers  int             `json:"routers"`
	Seed     uint64          `json:"seed"`
	Why      string          `json:"why"`
}

// Evidence is all that was measured.
type Evidence struct {
	Files      []Measured
	Series     []Series // in order of their keys
	Incomplete []Excluded
}

// Of is the series of a key; nil: nothing was measured.
func (e Evidence) Of(k Key) *Series {
	i, found := slices.BinarySearchFunc(e.Series, k, func(s Series, k Key) int { return compareKeys(s.Key, k) })
	if !found {
		return nil
	}
	return &e.Series[i]
}

// Gather fits all that files hold.
func Gather(files []Measured) Evidence {
	e := Evidence{Files: slices.Clone(files)}
	slices.SortFunc(e.Files, func(a, b Measured) int { return cmp.Compare(a.Name, b.Name) })
	series := map[Key]*Series{}
	for _, file := range e.Files {
		for _, trial := range file.Trials {
			if trial.Incomplete != "" {
				e.Incomplete = append(e.Incomplete, Excluded{trial.Topology, trial.Fault, trial.Routers, trial.Seed, trial.Incomplete})
				continue
			}
			if trial.Real == nil { // hollow routers beside real ones are shown beside these alone
				take(series, trial)
			}
		}
	}
	for _, s := range series {
		e.Series = append(e.Series, fit(*s))
	}
	slices.SortFunc(e.Series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	return e
}

// take adds the figures of a trial to their series.
func take(series map[Key]*Series, trial result.Trial) {
	add := func(figure Figure, value *float64) {
		key := Key{trial.Topology, trial.Fault, figure}
		s := series[key]
		if s == nil {
			s = &Series{Key: key, Points: []slope.Point{}}
			series[key] = s
		}
		size := float64(trial.Routers)
		if value == nil {
			if s.Absent++; s.AbsentN == 0 || size < s.AbsentN {
				s.AbsentN = size
			}
			return
		}
		s.Points = append(s.Points, slope.Point{Size: size, Value: max(0, *value)}) // the harness's share may be the greater one
	}
	plain := func(figure Figure, value float64) { add(figure, &value) }
	u := trial.PerRouter
	plain(FigureBytes, u.BytesIn+u.BytesOut)
	plain(FigureMessages, u.MessagesIn+u.MessagesOut)
	plain(FigureCPU, u.CPU)
	plain(FigureMemory, u.Memory)
	plain(FigureWorst, trial.Busiest.BytesIn+trial.Busiest.BytesOut)
	for _, m := range trial.Mechanisms {
		plain(mechanismFigure(m.Name), m.Bytes)
	}
	add(FigureSettled, trial.ConvergenceTime)
	add(FigureKnown, trial.ConvergenceKnownTime)
	add(FigureChange, trial.PropagationTime)
}

// fit chooses a form. A series with absent figures is not fitted: what is left is the good part of it.
func fit(s Series) Series {
	if s.Absent > 0 {
		s.Unfit = fmt.Sprintf("absent in %d trials, from %.0f routers on", s.Absent, s.AbsentN)
		return s
	}
	choice, err := slope.Choose(s.Points)
	var few slope.RangeError
	if errors.As(err, &few) {
		s.Unfit = fmt.Sprintf("%d sizes over a factor of %.3g", few.Sizes, few.Factor) // what is needed stands above the table
		return s
	}
	if err != nil {
		s.Unfit = err.Error()
		return s
	}
	s.Choice = &choice
	return s
}
