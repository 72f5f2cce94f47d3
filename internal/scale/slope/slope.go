// Package slope fits how a figure grows with the size of a fleet, from measurements at several sizes with several seeds. It
// does no I/O.
//
// Five forms are tried, each value = base + step x shape(size), by weighted least squares. Residuals count relative to the
// mean that was measured at their size: what is measured scatters by a share of itself, and without weights the largest size
// alone would choose the form.
//
// The form is chosen by AICc, Akaike's criterion with its correction for few measurements: with some fifteen of them the
// plain criterion takes the second parameter too gladly, and the error of leaving one size out hangs on the largest size,
// which no other one bounds. Forms within 2 of the best cannot be told from it; of them the one with the fewest parameters is
// chosen, and the others stay named as rivals and widen each prediction. A form whose step is not above zero is no candidate, since beyond the largest size it falls below
// zero; where all fall, the figure counts as constant.
package slope

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Form is how a figure grows.
type Form int

// The forms, from the flattest to the steepest.
const (
	Constant Form = iota
	Log           // logarithm of the size
	Linear
	LinearLog // size times its logarithm
	Square
)

// Forms are all of them.
var Forms = []Form{Constant, Log, Linear, LinearLog, Square}

func (f Form) String() string {
	return [...]string{"constant", "log n", "n", "n log n", "n^2"}[f]
}

// MarshalText writes a form by its name.
func (f Form) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// shape is what the step is multiplied by.
func (f Form) shape(size float64) float64 {
	switch f {
	case Log:
		return math.Log(size)
	case Linear:
		return size
	case LinearLog:
		return size * math.Log(size)
	case Square:
		return size * size
	default:
		return 0
	}
}

// parameters are those of the line; the scatter is one more.
func (f Form) parameters() int {
	if f == Constant {
		return 1
	}
	return 2
}

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`  // routers; above 0
	Value float64 `json:"value"` // in the figure's own unit
}

// Limits of what is fitted at all.
const (
	LeastSizes  = 5  // different sizes
	LeastFactor = 16 // between the smallest and the largest
)

// RangeError says that measurements are too few or too close together to tell a form.
type RangeError struct {
	Sizes  int     // that there are
	Factor float64 // largest by smallest; 0: there is none
}

func (e RangeError) Error() string {
	return fmt.Sprintf("%d sizes over a factor of %.4g; measure %d sizes or more, the largest %d times the smallest",
		e.Sizes, e.Factor, LeastSizes, LeastFactor)
}

// ValueError says that one measurement cannot be fitted.
type ValueError struct {
	Point Point
}

func (e ValueError) Error() string {
	return fmt.Sprintf("value %v at size %v: sizes are to be above 0 and values finite and not below 0", e.Point.Value, e.Point.Size)
}

// Interval is a value with the bounds between which it lies in 95 of 100 such measurements.
type Interval struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// Fit is one form, fitted.
type Fit struct {
	Form     Form     `json:"form"`
	Base     Interval `json:"base"`
	Step     Interval `json:"step"` // all 0 where the form is constant
	AICc     float64  `json:"aicc"`
	Scatter  float64  `json:"scatter"`  // standard deviation of the residuals, as a share of the value
	Smallest float64  `json:"smallest"` // size measured
	Largest  float64  `json:"largest"`  // size measured
	Points   int      `json:"points"`

	covariance [2][2]float64 // of base and step
	quantile   float64       // of Student's t
	floor      float64       // least value that the scatter is a share of
}

// Choice is the form that was chosen, and those that the measurements cannot tell from it.
type Choice struct {
	Fit
	Rivals []Fit `json:"rivals"` // by AICc, the best first
}

// indistinct is the difference in AICc below which two forms cannot be told apart.
const indistinct = 2

// Choose fits all forms and chooses one. Errors are RangeError and ValueError.
func Choose(points []Point) (Choice, error) {
	if err := check(points); err != nil {
		return Choice{}, err
	}
	var fits []Fit
	for _, form := range Forms {
		fit, ok := fitted(form, points)
		if ok && (form == Constant || fit.Step.Value > 0) {
			fits = append(fits, fit)
		}
	}
	slices.SortStableFunc(fits, func(a, b Fit) int { return cmp.Compare(a.AICc, b.AICc) })
	return chosen(fits), nil
}

// chosen takes fits in order of AICc.
func chosen(fits []Fit) Choice {
	best := fits[0]
	var alike []Fit
	for _, fit := range fits {
		if fit.AICc-best.AICc >= indistinct {
			continue
		}
		alike = append(alike, fit)
	}
	simplest := slices.MinFunc(alike, func(a, b Fit) int { return cmp.Compare(a.Form.parameters(), b.Form.parameters()) })
	rivals := slices.DeleteFunc(alike, func(f Fit) bool { return f.Form == simplest.Form })
	return Choice{Fit: simplest, Rivals: rivals}
}

func check(points []Point) error {
	sizes := map[float64]bool{}
	smallest, largest := math.Inf(1), 0.0
	for _, p := range points {
		usable := p.Size > 0 && p.Value >= 0 && !math.IsInf(p.Size, 0) && !math.IsInf(p.Value, 0)
		if !usable {
			return ValueError{p}
		}
		sizes[p.Size] = true
		smallest, largest = min(smallest, p.Size), max(largest, p.Size)
	}
	wrong := RangeError{Sizes: len(sizes)}
	if len(sizes) > 0 {
		wrong.Factor = largest / smallest
	}
	if wrong.Sizes < LeastSizes || wrong.Factor < LeastFactor {
		return wrong
	}
	return nil
}

// least is the smallest share of the largest mean that a residual is measured by: a figure that is zero at one size would
// else outweigh all others there.
const least = 1e-3

// scales are what the residual of each point is a share of: the mean at its size.
func scales(points []Point) (all []float64, floor float64) {
	sum, count := map[float64]float64{}, map[float64]float64{}
	for _, p := range points {
		sum[p.Size] += p.Value
		count[p.Size]++
	}
	for size := range sum {
		floor = max(floor, sum[size]/count[size]*least)
	}
	if floor == 0 {
		floor = 1 // all values are zero
	}
	for _, p := range points {
		all = append(all, max(floor, sum[p.Size]/count[p.Size]))
	}
	return all, floor
}

// fitted is not ok where the points do not determine the form.
func fitted(form Form, points []Point) (fit Fit, ok bool) {
	scale, floor := scales(points)
	rows, columns := len(points), form.parameters()
	design, values := mat.NewDense(rows, columns, nil), mat.NewVecDense(rows, nil)
	unit := form.shape(points[0].Size) // keeps the columns of like size
	if unit == 0 {
		unit = 1
	}
	fit = Fit{Form: form, Points: rows, Smallest: points[0].Size, floor: floor}
	for i, p := range points {
		design.Set(i, 0, 1/scale[i])
		if columns == 2 {
			design.Set(i, 1, form.shape(p.Size)/unit/scale[i])
		}
		values.SetVec(i, p.Value/scale[i])
		fit.Smallest, fit.Largest = min(fit.Smallest, p.Size), max(fit.Largest, p.Size)
	}
	var normal, inverse mat.Dense
	normal.Mul(design.T(), design)
	if inverse.Inverse(&normal) != nil {
		return Fit{}, false
	}
	var right, coefficients, residual mat.VecDense
	right.MulVec(design.T(), values)
	coefficients.MulVec(&inverse, &right)
	residual.MulVec(design, &coefficients)
	residual.SubVec(values, &residual)

	squares := mat.Dot(&residual, &residual)
	free := float64(rows - columns)
	variance := squares / free
	fit.Scatter = math.Sqrt(variance)
	fit.AICc = aicc(squares, rows, columns+1)
	fit.quantile = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: free}.Quantile(0.975)
	units := [2]float64{1, unit}
	for i := range columns {
		for j := range columns {
			fit.covariance[i][j] = inverse.At(i, j) * variance / units[i] / units[j]
		}
	}
	fit.Base = fit.around(coefficients.AtVec(0), fit.covariance[0][0])
	if columns == 2 {
		fit.Step = fit.around(coefficients.AtVec(1)/unit, fit.covariance[1][1])
	}
	return fit, true
}

// aicc is Akaike's criterion with the correction for few points. Squares of residuals below what rounding leaves count as
// that: exact data would else choose by noise of the last digit.
func aicc(squares float64, points, parameters int) float64 {
	const rounding = 1e-20
	n, k := float64(points), float64(parameters)
	return n*math.Log(max(squares/n, rounding)) + 2*k + 2*k*(k+1)/(n-k-1)
}

func (f Fit) around(value, variance float64) Interval {
	half := f.quantile * math.Sqrt(max(0, variance))
	return Interval{value, value - half, value + half}
}

// At is the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Base.Value + f.Step.Value*f.Form.shape(size) }

// Prediction is what a fit says of one more measurement at a size.
type Prediction struct {
	Interval
	Factor float64 `json:"factor"` // size by the largest measured; above 1: extrapolated
}

// Predict tells what one more measurement at a size would give, with 95% bounds; it is not below 0.
func (f Fit) Predict(size float64) Prediction {
	shape := f.Form.shape(size)
	value := f.At(size)
	c := f.covariance
	scatter := f.Scatter * max(f.floor, value)
	variance := c[0][0] + 2*shape*c[0][1] + shape*shape*c[1][1] + scatter*scatter
	around := f.around(value, variance)
	around.Value, around.Low = max(0, around.Value), max(0, around.Low)
	return Prediction{Interval: around, Factor: size / f.Largest}
}

// Predict is the chosen form's prediction, its bounds widened to those of the forms that cannot be told from it.
func (c Choice) Predict(size float64) Prediction {
	p := c.Fit.Predict(size)
	for _, rival := range c.Rivals {
		other := rival.Predict(size)
		p.Low, p.High = min(p.Low, other.Low), max(p.High, other.High)
	}
	return p
}

// Earliest is the least size at which the chosen form, or one that cannot be told from it, comes to a limit.
func (c Choice) Earliest(limit float64) (size float64, ok bool) {
	size, ok = c.Reaches(limit)
	for _, rival := range c.Rivals {
		if other, reached := rival.Reaches(limit); reached && (!ok || other < size) {
			size, ok = other, true
		}
	}
	return size, ok
}

// Reaches is the size at which the fitted value comes to a limit: the smallest size measured where it is over it from the
// start, and ok false where it never is.
func (f Fit) Reaches(limit float64) (size float64, ok bool) {
	if f.At(f.Smallest) >= limit {
		return f.Smallest, true
	}
	if f.Form == Constant || f.Step.Value <= 0 {
		return 0, false
	}
	low, high := f.Smallest, f.Smallest
	const farthest = 1e12 // routers; log n may reach a limit beyond it
	for f.At(high) < limit {
		if high *= 2; high > farthest {
			return 0, false
		}
	}
	for range 60 {
		if middle := (low + high) / 2; f.At(middle) < limit {
			low = middle
		} else {
			high = middle
		}
	}
	return high, true
}
