package slope

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var sizes = []float64{50, 100, 200, 400, 800, 1600, 3200}

// samplePoints returns points of a model: three seeds per size, with normally distributed relative noise.
func samplePoints(random *rand.Rand, model Model, intercept, slope, noise float64) (points []Point) {
	for _, size := range sizes {
		for range 3 {
			value := intercept + slope*model.basis(size)
			points = append(points, Point{size, max(0, value*(1+noise*random.NormFloat64()))})
		}
	}
	return points
}

// slopeOf returns the slope with which a model grows by growth times its intercept over the sizes.
func slopeOf(model Model, intercept, growth float64) float64 {
	if model == Constant {
		return 0
	}
	return intercept * growth / (model.basis(sizes[len(sizes)-1]) - model.basis(sizes[0]))
}

func TestSelect_FindsEachModel(t *testing.T) {
	const rounds, noise = 400, 0.03
	for _, model := range Models {
		random := rand.New(rand.NewPCG(47, uint64(model)))
		selected, candidate := 0, 0
		for range rounds {
			intercept := math.Exp(random.Float64()*10 - 3)
			growth := math.Exp(random.Float64() * math.Log(100)) // by 1 to 100 times the base
			c, err := Select(samplePoints(random, model, intercept, slopeOf(model, intercept, growth), noise))
			if err != nil {
				t.Fatal(err)
			}
			if c.Model == model {
				selected++
			}
			for _, f := range append(c.Alternatives, c.Fit) {
				if f.Model == model {
					candidate++
				}
			}
		}
		t.Logf("%v: selected in %d of %d rounds, selected or an alternative in %d", model, selected, rounds, candidate)
		if selected < rounds*85/100 || candidate < rounds*95/100 {
			t.Errorf("%v: selected in %d rounds, selected or an alternative in %d, of %d; want 85%% and 95%%", model, selected, candidate, rounds)
		}
	}
}

// Without noise, each model is selected and its coefficients are recovered, whatever they are.
func TestSelect_RecoversCoefficientsOfExactData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := Models[rapid.IntRange(0, len(Models)-1).Draw(t, "form")]
		intercept := rapid.Float64Range(0.001, 1e6).Draw(t, "base")
		slope := slopeOf(model, intercept, rapid.Float64Range(0.5, 1000).Draw(t, "growth"))
		random := rand.New(rand.NewPCG(1, 1))
		c, err := Select(samplePoints(random, model, intercept, slope, 0))
		if err != nil {
			t.Fatal(err)
		}
		near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-4*math.Abs(b)+1e-12 }
		if c.Model != model || !near(c.Intercept.Value, intercept) || !near(c.Slope.Value, slope) {
			t.Fatalf("data of %v with intercept %v and slope %v fitted as %v, %v, %v", model, intercept, slope, c.Model, c.Intercept, c.Slope)
		}
	})
}

func TestIntervals_CoverTheTrueValue(t *testing.T) {
	const rounds = 400
	random := rand.New(rand.NewPCG(47, 9))
	slopeCovered, predictionCovered := 0, 0
	for range rounds {
		points := samplePoints(random, Linear, 800, 2, 0.05)
		fit, ok := fitModel(Linear, points)
		if !ok {
			t.Fatal("the linear model was not fitted")
		}
		if fit.Slope.Low <= 2 && 2 <= fit.Slope.High {
			slopeCovered++
		}
		p := fit.Predict(6400)
		measurement := (800 + 2*6400) * (1 + 0.05*random.NormFloat64())
		if p.Low <= measurement && measurement <= p.High {
			predictionCovered++
		}
		if p.Ratio != 2 {
			t.Fatalf("got ratio %v, want 2", p.Ratio)
		}
	}
	if slopeCovered < rounds*90/100 || predictionCovered < rounds*90/100 {
		t.Errorf("of %d intervals, %d contain the slope and %d the next measurement; want 90%% of each", rounds, slopeCovered, predictionCovered)
	}
}

func TestSelect_RejectsUnusablePoints(t *testing.T) {
	for name, points := range map[string][]Point{
		"none":            nil,
		"four sizes":      {{50, 1}, {100, 1}, {200, 1}, {3200, 1}},
		"a ratio of 15.9": {{100, 1}, {200, 1}, {400, 1}, {800, 1}, {1590, 1}},
		"two sizes":       {{100, 1}, {100, 1}, {100, 1}, {100, 1}, {1600, 1}},
	} {
		var target RangeError
		if _, err := Select(points); !errors.As(err, &target) {
			t.Errorf("%s: got error %v, want a RangeError", name, err)
		}
	}
	for _, p := range []Point{{0, 1}, {-1, 1}, {math.NaN(), 1}, {1, math.NaN()}, {1, math.Inf(1)}, {1, -1}} {
		var target ValueError
		if _, err := Select([]Point{p}); !errors.As(err, &target) {
			t.Errorf("%v: got error %v, want a ValueError", p, err)
		}
	}
}

func TestSelect_DecreasingDataIsConstant(t *testing.T) {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{size, 1000 - size/10})
	}
	c, err := Select(points)
	if err != nil || c.Model != Constant {
		t.Fatalf("got %v, %v; want constant", c.Model, err)
	}
}

func TestSelect_AllZero(t *testing.T) {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{size, 0})
	}
	c, err := Select(points)
	if err != nil || c.Model != Constant || c.Predict(1e6).High != 0 {
		t.Fatalf("got %v, %v; want a constant 0", c, err)
	}
	if _, ok := c.Crossing(1); ok {
		t.Fatal("a constant 0 reaches a limit of 1")
	}
}

func TestCrossing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c, err := Select(samplePoints(random, Linear, 100, 2, 0))
	if err != nil {
		t.Fatal(err)
	}
	if size, ok := c.Crossing(2100); !ok || math.Abs(size-1000) > 0.1 {
		t.Errorf("got crossing at %v, %v", size, ok)
	}
	if size, ok := c.Crossing(150); !ok || size != 50 {
		t.Errorf("limit exceeded at the smallest size: got crossing at %v, %v; want 50", size, ok)
	}
}

// A model with more coefficients is selected only if its AICc is better by maxAICcDifference.
func TestSelectModel_PrefersFewestCoefficients(t *testing.T) {
	fits := []Fit{{Model: Quadratic, AICc: -50}, {Model: Linear, AICc: -49.5}, {Model: Constant, AICc: -48.5}, {Model: Logarithmic, AICc: -47}}
	c := selectModel(slices.Clone(fits))
	if c.Model != Constant || len(c.Alternatives) != 2 || c.Alternatives[0].Model != Quadratic || c.Alternatives[1].Model != Linear {
		t.Errorf("got %v with alternatives %v", c.Model, c.Alternatives)
	}
	fits[2].AICc = -47.9
	if c := selectModel(fits); c.Model != Quadratic || len(c.Alternatives) != 1 {
		t.Errorf("got %v with alternatives %v", c.Model, c.Alternatives)
	}
}

func TestEarliestCrossing(t *testing.T) {
	flat := Fit{Model: Constant, Intercept: Interval{Value: 10}, Smallest: 50}
	steep := Fit{Model: Linear, Slope: Interval{Value: 0.01}, Smallest: 50}
	if _, ok := (Selection{Fit: flat}).EarliestCrossing(20); ok {
		t.Error("a constant of 10 reaches 20")
	}
	if size, ok := (Selection{Fit: flat, Alternatives: []Fit{steep}}).EarliestCrossing(20); !ok || math.Abs(size-2000) > 1 {
		t.Errorf("got crossing at %v, %v", size, ok)
	}
}

func TestPredict_AlternativesWidenTheInterval(t *testing.T) {
	c := Selection{Fit: Fit{Model: Constant, Intercept: Interval{10, 9, 11}, Largest: 100, minScale: 1},
		Alternatives: []Fit{{Model: Linear, Intercept: Interval{9, 9, 9}, Slope: Interval{0.1, 0.1, 0.1}, Largest: 100, minScale: 1}}}
	if p := c.Predict(1000); p.Value != 10 || p.High != 109 || p.Ratio != 10 {
		t.Errorf("got %+v, want value 10, upper bound 109, ratio 10", p)
	}
}
