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

// measured makes points of a form: three seeds a size, each off by a normal share of the value.
func measured(random *rand.Rand, form Form, base, step, noise float64) (points []Point) {
	for _, size := range sizes {
		for range 3 {
			value := base + step*form.shape(size)
			points = append(points, Point{size, max(0, value*(1+noise*random.NormFloat64()))})
		}
	}
	return points
}

// steps make each form grow by some factor of its base over the sizes.
func stepOf(form Form, base, growth float64) float64 {
	if form == Constant {
		return 0
	}
	return base * growth / (form.shape(sizes[len(sizes)-1]) - form.shape(sizes[0]))
}

func TestFindsEachForm(t *testing.T) {
	const rounds, noise = 400, 0.03
	for _, form := range Forms {
		random := rand.New(rand.NewPCG(47, uint64(form)))
		found, among := 0, 0
		for range rounds {
			base := math.Exp(random.Float64()*10 - 3)
			growth := math.Exp(random.Float64() * math.Log(100)) // by 1 to 100 times the base
			c, err := Choose(measured(random, form, base, stepOf(form, base, growth), noise))
			if err != nil {
				t.Fatal(err)
			}
			if c.Form == form {
				found++
			}
			for _, f := range append(c.Rivals, c.Fit) {
				if f.Form == form {
					among++
				}
			}
		}
		t.Logf("%v: chosen in %d of %d, not ruled out in %d", form, found, rounds, among)
		if found < rounds*85/100 || among < rounds*95/100 {
			t.Errorf("%v: chosen in %d, not ruled out in %d of %d", form, found, among, rounds)
		}
	}
}

// Without noise each form is found, whatever its coefficients, and gives them back.
func TestExactDataGiveTheirCoefficients(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		form := Forms[rapid.IntRange(0, len(Forms)-1).Draw(t, "form")]
		base := rapid.Float64Range(0.001, 1e6).Draw(t, "base")
		step := stepOf(form, base, rapid.Float64Range(0.5, 1000).Draw(t, "growth"))
		random := rand.New(rand.NewPCG(1, 1))
		c, err := Choose(measured(random, form, base, step, 0))
		if err != nil {
			t.Fatal(err)
		}
		near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-4*math.Abs(b)+1e-12 }
		if c.Form != form || !near(c.Base.Value, base) || !near(c.Step.Value, step) {
			t.Fatalf("%v %v %v came back as %v %v %v", form, base, step, c.Form, c.Base, c.Step)
		}
	})
}

func TestIntervalsHoldTheTruth(t *testing.T) {
	const rounds = 400
	random := rand.New(rand.NewPCG(47, 9))
	step, next := 0, 0
	for range rounds {
		points := measured(random, Linear, 800, 2, 0.05)
		fit, ok := fitted(Linear, points)
		if !ok {
			t.Fatal("not fitted")
		}
		if fit.Step.Low <= 2 && 2 <= fit.Step.High {
			step++
		}
		p := fit.Predict(6400)
		another := (800 + 2*6400) * (1 + 0.05*random.NormFloat64())
		if p.Low <= another && another <= p.High {
			next++
		}
		if p.Factor != 2 {
			t.Fatal("factor", p.Factor)
		}
	}
	if step < rounds*90/100 || next < rounds*90/100 {
		t.Errorf("of %d intervals %d held the step and %d the next measurement", rounds, step, next)
	}
}

func TestRefusesWhatTellsNoForm(t *testing.T) {
	for name, points := range map[string][]Point{
		"none":             nil,
		"four sizes":       {{50, 1}, {100, 1}, {200, 1}, {3200, 1}},
		"a factor of 15.9": {{100, 1}, {200, 1}, {400, 1}, {800, 1}, {1590, 1}},
		"one size often":   {{100, 1}, {100, 1}, {100, 1}, {100, 1}, {1600, 1}},
	} {
		var wrong RangeError
		if _, err := Choose(points); !errors.As(err, &wrong) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, p := range []Point{{0, 1}, {-1, 1}, {math.NaN(), 1}, {1, math.NaN()}, {1, math.Inf(1)}, {1, -1}} {
		var wrong ValueError
		if _, err := Choose([]Point{p}); !errors.As(err, &wrong) {
			t.Errorf("%v: %v", p, err)
		}
	}
}

func TestWhatFallsCountsAsConstant(t *testing.T) {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{size, 1000 - size/10})
	}
	c, err := Choose(points)
	if err != nil || c.Form != Constant {
		t.Fatal(c.Form, err)
	}
}

func TestZeroEverywhere(t *testing.T) {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{size, 0})
	}
	c, err := Choose(points)
	if err != nil || c.Form != Constant || c.Predict(1e6).High != 0 {
		t.Fatal(c, err)
	}
	if _, ok := c.Reaches(1); ok {
		t.Fatal("zero reaches a limit")
	}
}

func TestReaches(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c, err := Choose(measured(random, Linear, 100, 2, 0))
	if err != nil {
		t.Fatal(err)
	}
	if size, ok := c.Reaches(2100); !ok || math.Abs(size-1000) > 0.1 {
		t.Error(size, ok)
	}
	if size, ok := c.Reaches(150); !ok || size != 50 {
		t.Error("over it from the start:", size, ok)
	}
}

// A form with more parameters has to be better by more than a hair.
func TestSimplestOfThoseAlike(t *testing.T) {
	fits := []Fit{{Form: Square, AICc: -50}, {Form: Linear, AICc: -49.5}, {Form: Constant, AICc: -48.5}, {Form: Log, AICc: -47}}
	c := chosen(slices.Clone(fits))
	if c.Form != Constant || len(c.Rivals) != 2 || c.Rivals[0].Form != Square || c.Rivals[1].Form != Linear {
		t.Errorf("%v, %v", c.Form, c.Rivals)
	}
	fits[2].AICc = -47.9
	if c := chosen(fits); c.Form != Square || len(c.Rivals) != 1 {
		t.Errorf("%v, %v", c.Form, c.Rivals)
	}
}

func TestEarliest(t *testing.T) {
	flat := Fit{Form: Constant, Base: Interval{Value: 10}, Smallest: 50}
	steep := Fit{Form: Linear, Step: Interval{Value: 0.01}, Smallest: 50}
	if _, ok := (Choice{Fit: flat}).Earliest(20); ok {
		t.Error("a constant reaches 20")
	}
	if size, ok := (Choice{Fit: flat, Rivals: []Fit{steep}}).Earliest(20); !ok || math.Abs(size-2000) > 1 {
		t.Error(size, ok)
	}
}

func TestRivalsWidenThePrediction(t *testing.T) {
	c := Choice{Fit: Fit{Form: Constant, Base: Interval{10, 9, 11}, Largest: 100, floor: 1},
		Rivals: []Fit{{Form: Linear, Base: Interval{9, 9, 9}, Step: Interval{0.1, 0.1, 0.1}, Largest: 100, floor: 1}}}
	if p := c.Predict(1000); p.Value != 10 || p.High != 109 || p.Factor != 10 {
		t.Errorf("%+v", p)
	}
}
