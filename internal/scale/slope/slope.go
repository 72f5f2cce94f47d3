// Package slope fits how a metric grows with the size of a fleet, from measurements at several sizes with several seeds. Package
// capacity calls it. It is pure: it does no I/O and holds no state.
//
// Five growth models are fitted, each value = intercept + slope * basis(size), by weighted least squares. Residuals are taken
// relative to the mean measured at their size: the noise is proportional to the value, and without weights the largest size
// alone would decide the model.
//
// The model is selected by AICc, the Akaike information criterion with its correction for small samples. With about fifteen
// measurements the plain criterion accepts the second coefficient too readily. The error of leaving out one size is no better: it
// depends mostly on the largest size, which no other size bounds. Models within 2 of the best AICc cannot be distinguished from
// it. The one with the fewest coefficients among them is selected; the others are kept as alternatives and widen every
// prediction. A model whose slope is not above zero is not a candidate, since it falls below zero beyond the largest size; a
// metric that no growing model fits counts as constant.
package slope

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Model is a growth model: how a metric depends on the size of a fleet.
type Model int

// The growth models, in increasing order of growth.
const (
	Constant    Model = iota
	Logarithmic       // logarithm of the size
	Linear
	Linearithmic // size times its logarithm
	Quadratic
)

// Models lists all growth models.
var Models = []Model{Constant, Logarithmic, Linear, Linearithmic, Quadratic}

func (m Model) String() string {
	return [...]string{"constant", "log n", "n", "n log n", "n^2"}[m]
}

// MarshalText encodes the model as its name.
func (m Model) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// basis returns the value that the slope is multiplied by.
func (m Model) basis(size float64) float64 {
	switch m {
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

// coefficients returns the number of fitted coefficients, without the residual variance.
func (m Model) coefficients() int {
	if m == Constant {
		return 1
	}
	return 2
}

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`  // routers; above 0
	Value float64 `json:"value"` // in the unit of the metric
}

// Minimum range of sizes for a fit.
const (
	MinSizes     = 5  // distinct sizes
	MinSizeRatio = 16 // of the largest size to the smallest
)

// RangeError reports that the measurements cover too few sizes, or too narrow a range, to select a model.
type RangeError struct {
	Sizes int     // number of distinct sizes
	Ratio float64 // of the largest size to the smallest; 0 without measurements
}

func (e RangeError) Error() string {
	return fmt.Sprintf("%d sizes over a factor of %.4g; measure %d sizes or more, the largest %d times the smallest",
		e.Sizes, e.Ratio, MinSizes, MinSizeRatio)
}

// ValueError reports a measurement that cannot be fitted.
type ValueError struct {
	Point Point
}

func (e ValueError) Error() string {
	return fmt.Sprintf("value %v at size %v: sizes are to be above 0 and values finite and not below 0", e.Point.Value, e.Point.Size)
}

// Interval is a value with the bounds of its 95% interval.
type Interval struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// Fit is one model, fitted to measurements.
type Fit struct {
	Model             Model    `json:"form"`
	Intercept         Interval `json:"base"`
	Slope             Interval `json:"step"` // all 0 for the constant model
	AICc              float64  `json:"aicc"`
	ResidualDeviation float64  `json:"scatter"`  // standard deviation of the residuals, relative to the value
	Smallest          float64  `json:"smallest"` // smallest size measured
	Largest           float64  `json:"largest"`  // largest size measured
	Points            int      `json:"points"`

	covariance [2][2]float64 // of intercept and slope
	tQuantile  float64       // of Student's t-distribution, for the 95% intervals
	minScale   float64       // lower bound of the value that residuals are relative to
}

// Selection is the selected model, and the models that the measurements cannot distinguish from it.
type Selection struct {
	Fit
	Alternatives []Fit `json:"rivals"` // in ascending order of AICc
}

// maxAICcDifference is the difference in AICc below which two models cannot be distinguished.
const maxAICcDifference = 2

// Select fits all models and selects one. It fails with a RangeError or a ValueError.
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

// selectModel selects one of the fits, which are in ascending order of AICc.
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

// validate reports points that cannot be fitted, or too small a range of sizes.
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

// minScaleFraction bounds the scale of a residual from below, as a fraction of the largest mean: without it, a metric that is
// zero at one size would give that size an unbounded weight.
const minScaleFraction = 1e-3

// residualScales returns what the residual of each point is relative to: the mean at its size, bounded from below by minScale.
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
		minScale = 1 // all values are 0
	}
	for _, p := range points {
		scales = append(scales, max(minScale, sum[p.Size]/count[p.Size]))
	}
	return scales, minScale
}

// fitModel fits one model; ok is false if the points do not determine its coefficients.
func fitModel(model Model, points []Point) (fit Fit, ok bool) {
	scale, minScale := residualScales(points)
	rows, columns := len(points), model.coefficients()
	design, values := mat.NewDense(rows, columns, nil), mat.NewVecDense(rows, nil)
	basisUnit := model.basis(points[0].Size) // keeps the columns of similar magnitude
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

// aicc returns the Akaike information criterion with the correction for small samples. The mean square of the residuals is
// bounded from below by the rounding error: for exact data the noise of the last digit would otherwise select the model.
func aicc(sumOfSquares float64, points, parameters int) float64 {
	const minMeanSquare = 1e-20
	n, k := float64(points), float64(parameters)
	return n*math.Log(max(sumOfSquares/n, minMeanSquare)) + 2*k + 2*k*(k+1)/(n-k-1)
}

// interval returns the 95% interval around a value of the given variance.
func (f Fit) interval(value, variance float64) Interval {
	margin := f.tQuantile * math.Sqrt(max(0, variance))
	return Interval{value, value - margin, value + margin}
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept.Value + f.Slope.Value*f.Model.basis(size) }

// Prediction is the predicted result of one more measurement at a size.
type Prediction struct {
	Interval
	Ratio float64 `json:"factor"` // of the size to the largest size measured; above 1: extrapolated
}

// Predict returns the predicted result of one more measurement at a size, with its 95% interval. Negative values become 0.
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

// Predict returns the prediction of the selected model, its bounds widened to those of the alternatives.
func (s Selection) Predict(size float64) Prediction {
	p := s.Fit.Predict(size)
	for _, alternative := range s.Alternatives {
		other := alternative.Predict(size)
		p.Low, p.High = min(p.Low, other.Low), max(p.High, other.High)
	}
	return p
}

// EarliestCrossing returns the smallest size at which the selected model or an alternative reaches a limit.
func (s Selection) EarliestCrossing(limit float64) (size float64, ok bool) {
	size, ok = s.Crossing(limit)
	for _, alternative := range s.Alternatives {
		if crossing, reached := alternative.Crossing(limit); reached && (!ok || crossing < size) {
			size, ok = crossing, true
		}
	}
	return size, ok
}

// Crossing returns the size at which the fitted value reaches a limit, or the smallest size measured if the value is above the
// limit there already. ok is false if the value never reaches the limit.
func (f Fit) Crossing(limit float64) (size float64, ok bool) {
	if f.At(f.Smallest) >= limit {
		return f.Smallest, true
	}
	if f.Model == Constant || f.Slope.Value <= 0 {
		return 0, false
	}
	low, high := f.Smallest, f.Smallest
	const maxSize = 1e12 // routers; a logarithmic model may reach the limit only beyond it
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
