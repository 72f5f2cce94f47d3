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
type Model int

// The forms, from the flattest to the steepest.
const (
	Constant Model = iota
	Logarithmic           // logarithm of the size
	Linear
	Linearithmic // size times its logarithm
	Quadratic
)

// Forms are all of them.
var Models = []Model{Constant, Logarithmic, Linear, Linearithmic, Quadratic}

func (f Model) String() string {
	return [...]string{"constant", "log n", "n", "n log n", "n^2"}[f]
}

// MarshalText writes a form by its name.
func (f Model) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// shape is what the step is multiplied by.
func (f Model) basis(size float64) float64 {
	switch f {
	case Logarithmic:
		return math.Log(size)
	case Linear:
		return size
	case Linearithmic:
		return size * math.Log(size)
	case Quadratic:
		return size * size
	default:
		return 0
	}
}

// parameters are those of the line; the scatter is one more.
func (f Model) coefficients() int {
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
	MinSizes  = 5  // different sizes
	MinSizeRatio = 16 // between the smallest and the largest
)

// RangeError says that measurements are too few or too close together to tell a form.
type RangeError struct {
	Sizes  int     // that there are
	Ratio float64 // largest by smallest; 0: there is none
}

func (e RangeError) Error() string {
	return fmt.Sprintf("%d sizes over a factor of %.4g; measure %d sizes or more, the largest %d times the smallest",
		e.Sizes, e.Ratio, MinSizes, MinSizeRatio)
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
	Model     Model     `json:"form"`
	Intercept     Interval `json:"base"`
	Slope     Interval `json:"step"` // all 0 where the form is constant
	AICc     float64  `json:"aicc"`
	ResidualDeviation  float64  `json:"scatter"`  // standard deviation of the residuals, as a share of the value
	Smallest float64  `json:"smallest"` // size measured
	Largest  float64  `json:"largest"`  // size measured
	Points   int      `json:"points"`

	covariance [2][2]float64 // of base and step
	tQuantile   float64       // of Student's t
	minScale      float64       // least value that the scatter is a share of
}

// Choice is the form that was chosen, and those that the measurements cannot tell from it.
type Selection struct {
	Fit
	Alternatives []Fit `json:"rivals"` // by AICc, the best first
}

// indistinct is the difference in AICc below which two forms cannot be told apart.
const maxAICcDifference = 2

// Choose fits all forms and chooses one. Errors are RangeError and ValueError.
func Select(points []Point) (Selection, error) {
	if err := validate(points); err != nil {
		return Selection{}, err
	}
	var fits []Fit
	for _, model := range Models {
		fit, ok := fitModel(model, points)
		if ok && (model == Constant || fit.Slope.Value > 0) {
			fits = append(fits, fit)
		}
	}
	slices.SortStableFunc(fits, func(a, b Fit) int { return cmp.Compare(a.AICc, b.AICc) })
	return selectModel(fits), nil
}

// chosen takes fits in order of AICc.
func selectModel(fits []Fit) Selection {
	best := fits[0]
	var candidates []Fit
	for _, fit := range fits {
		if fit.AICc-best.AICc >= maxAICcDifference {
			continue
		}
		candidates = append(candidates, fit)
	}
	simplest := slices.MinFunc(candidates, func(a, b Fit) int { return cmp.Compare(a.Model.coefficients(), b.Model.coefficients()) })
	rivals := slices.DeleteFunc(candidates, func(f Fit) bool { return f.Model == simplest.Model })
	return Selection{Fit: simplest, Alternatives: rivals}
}

func validate(points []Point) error {
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
	rangeErr := RangeError{Sizes: len(sizes)}
	if len(sizes) > 0 {
		rangeErr.Ratio = largest / smallest
	}
	if rangeErr.Sizes < MinSizes || rangeErr.Ratio < MinSizeRatio {
		return rangeErr
	}
	return nil
}

// least is the smallest share of the largest mean that a residual is measured by: a figure that is zero at one size would
// else outweigh all others there.
const minScaleFraction = 1e-3

// scales are what the residual of each point is a share of: the mean at its size.
func residualScales(points []Point) (scales []float64, minScale float64) {
	sum, count := map[float64]float64{}, map[float64]float64{}
	for _, p := range points {
		sum[p.Size] += p.Value
		count[p.Size]++
	}
	for size := range sum {
		minScale = max(minScale, sum[size]/count[size]*minScaleFraction)
	}
	if minScale == 0 {
		minScale = 1 // all values are zero
	}
	for _, p := range points {
		scales = append(scales, max(minScale, sum[p.Size]/count[p.Size]))
	}
	return scales, minScale
}

// fitted is not ok where the points do not determine the form.
func fitModel(model Model, points []Point) (fit Fit, ok bool) {
	scale, minScale := residualScales(points)
	rows, columns := len(points), model.coefficients()
	design, values := mat.NewDense(rows, columns, nil), mat.NewVecDense(rows, nil)
	basisUnit := model.basis(points[0].Size) // keeps the columns of like size
	if basisUnit == 0 {
		basisUnit = 1
	}
	fit = Fit{Model: model, Points: rows, Smallest: points[0].Size, minScale: minScale}
	for i, p := range points {
		design.Set(i, 0, 1/scale[i])
		if columns == 2 {
			design.Set(i, 1, model.basis(p.Size)/basisUnit/scale[i])
		}
		values.SetVec(i, p.Value/scale[i])
		fit.Smallest, fit.Largest = min(fit.Smallest, p.Size), max(fit.Largest, p.Size)
	}
	var normal, inverse mat.Dense
	normal.Mul(design.T(), design)
	if inverse.Inverse(&normal) != nil {
		return Fit{}, false
	}
	var projection, coefficients, residual mat.VecDense
	projection.MulVec(design.T(), values)
	coefficients.MulVec(&inverse, &projection)
	residual.MulVec(design, &coefficients)
	residual.SubVec(values, &residual)

	sumOfSquares := mat.Dot(&residual, &residual)
	degreesOfFreedom := float64(rows - columns)
	variance := sumOfSquares / degreesOfFreedom
	fit.ResidualDeviation = math.Sqrt(variance)
	fit.AICc = aicc(sumOfSquares, rows, columns+1)
	fit.tQuantile = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
	units := [2]float64{1, basisUnit}
	for i := range columns {
		for j := range columns {
			fit.covariance[i][j] = inverse.At(i, j) * variance / units[i] / units[j]
		}
	}
	fit.Intercept = fit.interval(coefficients.AtVec(0), fit.covariance[0][0])
	if columns == 2 {
		fit.Slope = fit.interval(coefficients.AtVec(1)/basisUnit, fit.covariance[1][1])
	}
	return fit, true
}

// aicc is Akaike's criterion with the correction for few points. Squares of residuals below what rounding leaves count as
// that: exact data would else choose by noise of the last digit.
func aicc(sumOfSquares float64, points, parameters int) float64 {
	const minMeanSquare = 1e-20
	n, k := float64(points), float64(parameters)
	return n*math.Log(max(sumOfSquares/n, minMeanSquare)) + 2*k + 2*k*(k+1)/(n-k-1)
}

func (f Fit) interval(value, variance float64) Interval {
	margin := f.tQuantile * math.Sqrt(max(0, variance))
	return Interval{value, value - margin, value + margin}
}

// At is the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept.Value + f.Slope.Value*f.Model.basis(size) }

// Prediction is what a fit says of one more measurement at a size.
type Prediction struct {
	Interval
	Ratio float64 `json:"factor"` // size by the largest measured; above 1: extrapolated
}

// Predict tells what one more measurement at a size would give, with 95% bounds; it is not below 0.
func (f Fit) Predict(size float64) Prediction {
	basis := f.Model.basis(size)
	value := f.At(size)
	c := f.covariance
	noise := f.ResidualDeviation * max(f.minScale, value)
	variance := c[0][0] + 2*basis*c[0][1] + basis*basis*c[1][1] + noise*noise
	bounds := f.interval(value, variance)
	bounds.Value, bounds.Low = max(0, bounds.Value), max(0, bounds.Low)
	return Prediction{Interval: bounds, Ratio: size / f.Largest}
}

// Predict is the chosen form's prediction, its bounds widened to those of the forms that cannot be told from it.
func (c Selection) Predict(size float64) Prediction {
	p := c.Fit.Predict(size)
	for _, alternative := range c.Alternatives {
		other := alternative.Predict(size)
		p.Low, p.High = min(p.Low, other.Low), max(p.High, other.High)
	}
	return p
}

// Earliest is the least size at which the chosen form, or one that cannot be told from it, comes to a limit.
func (c Selection) EarliestCrossing(limit float64) (size float64, ok bool) {
	size, ok = c.Crossing(limit)
	for _, alternative := range c.Alternatives {
		if crossing, reached := alternative.Crossing(limit); reached && (!ok || crossing < size) {
			size, ok = crossing, true
		}
	}
	return size, ok
}

// Reaches is the size at which the fitted value comes to a limit: the smallest size measured where it is over it from the
// start, and ok false where it never is.
func (f Fit) Crossing(limit float64) (size float64, ok bool) {
	if f.At(f.Smallest) >= limit {
		return f.Smallest, true
	}
	if f.Model == Constant || f.Slope.Value <= 0 {
		return 0, false
	}
	low, high := f.Smallest, f.Smallest
	const maxSize = 1e12 // routers; log n may reach a limit beyond it
	for f.At(high) < limit {
		if high *= 2; high > maxSize {
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
