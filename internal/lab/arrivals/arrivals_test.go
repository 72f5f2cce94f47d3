package arrivals

import (
	"math"
	"testing"

	"spurtrestle/internal/lab/scenario"
)

func commented(t testing.TB) scenario.Scenario {
	s, err := scenario.Parse([]byte(scenario.Example))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSameSeedSameSchedule(t *testing.T) {
	s := commented(t)
	const want = "e4ff4d0aa3338d48" // for seed 1; reports are compared by seed, so a schedule must not change unintentionally
	if a, b := Digest(Generate(s, 1)), Digest(Generate(s, 1)); a != b || a != want {
		t.Error(a, b)
	}
	if Digest(Generate(s, 1)) == Digest(Generate(s, 2)) {
		t.Error("two seeds gave the same schedule")
	}
}

func TestRatesSharesAndHotKeys(t *testing.T) {
	s := commented(t)
	s.Length, s.Load.Rate, s.Load.Steps = 100e6, 1000, nil
	s.Faults = []scenario.Fault{{Kind: "hot_key", At: 50e6, Duration: 20e6, Share: 0.3, Site: "south"}, {Kind: "burst", At: 80e6, Duration: 10e6, Factor: 3}}
	var before, burst, hot, south, north, hotNorth float64
	for _, a := range Generate(s, 5) {
		switch {
		case a.At < 50e6:
			before++
			if a.Site == 0 {
				north++
			}
		case a.At >= 80e6 && a.At < 90e6:
			burst++
		}
		if a.At >= 50e6 && a.At < 70e6 {
			isHot := a.Key == "k"+"334" // key 4000 in base 36: the first one outside the scenario's key space
			if a.Site == 1 {
				south++
				if isHot {
					hot++
				}
			} else if isHot {
				hotNorth++
			}
		}
		if a.Size < 32 || a.Size > s.Load.MaxValueBytes || a.Key == "" {
			t.Fatalf("%+v", a)
		}
	}
	near := func(what string, got, want, within float64) {
		if math.Abs(got-want) > within*want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	near("rate", before, 50000, 0.02)
	near("burst", burst, 30000, 0.03)
	near("share of site north", north/before, 0.6, 0.03)
	near("share of the hot key", hot/south, 0.3, 0.05)
	if hotNorth > 0 {
		t.Errorf("%v requests for the hot key at the other site", hotNorth)
	}
}

func TestZipf(t *testing.T) {
	s := commented(t)
	s.Length, s.Load.Rate, s.Load.Steps, s.Faults, s.Load.Keys, s.Load.Zipf = 100e6, 1000, nil, nil, 1000, 1
	counts := map[string]float64{}
	for _, a := range Generate(s, 3) {
		counts[a.Key]++
	}
	top := HottestKeys(s, 3, 2)
	if ratio := counts[top[0]] / counts[top[1]]; ratio < 1.85 || ratio > 2.15 {
		t.Errorf("the first key was requested %.2f times as often as the second, want about 2", ratio)
	}
}

func BenchmarkMake(b *testing.B) {
	s := commented(b)
	for b.Loop() {
		Generate(s, 1)
	}
}
