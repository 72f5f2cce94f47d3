package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"spurtrestle/internal/scale/leader"
	"spurtrestle/internal/scale/slope"
)

// DecodeLeader reads what was measured of the leader of the policy's keepers. Errors are FieldErrors.
func DecodeLeader(file string, text []byte) (leader.File, error) {
	var f leader.File
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	const remedy = "name a file that cache-routerctl scale leader wrote, by this build or one of its format"
	if err := decoder.Decode(&f); err != nil {
		return f, FieldError{file, 0, "the file", err.Error(), remedy}
	}
	if f.Kind != leader.Kind || f.Format != leader.Format {
		return f, FieldError{file, 0, "kind", fmt.Sprintf("is %q of format %d, and %q of %d is read here", f.Kind, f.Format, leader.Kind, leader.Format), remedy}
	}
	var wrong []error
	for i, s := range f.Samples {
		if s.Routers < 1 || s.Decode <= 0 || s.Answer <= 0 || s.Pass <= 0 {
			wrong = append(wrong, FieldError{file, 0, fmt.Sprintf("samples[%d]", i), "has a number that is not above 0", "measure again"})
		}
	}
	return f, errors.Join(wrong...)
}

// LeaderSlopes are the times of the leader over sizes of the roster; a choice that is nil was not fitted.
type LeaderSlopes struct {
	Source  Source        `json:"source"`
	Decode  *slope.Choice `json:"decode"`
	Answer  *slope.Choice `json:"answer"`
	Pass    *slope.Choice `json:"pass"`
	Largest float64       `json:"largest"` // roster measured
	Unfit   string        `json:"unfit"`
}

// Fitted tells whether all three are.
func (s *LeaderSlopes) Fitted() bool { return s != nil && s.Unfit == "" }

// FitLeader chooses a form for each time; it is nil where nothing was measured.
func FitLeader(name string, f *leader.File) *LeaderSlopes {
	if f == nil {
		return nil
	}
	s := &LeaderSlopes{Source: Source{Name: name, Build: f.Build, Cores: f.Cores, Trials: len(f.Samples)}}
	choose := func(of func(leader.Sample) float64) *slope.Choice {
		var points []slope.Point
		for _, sample := range f.Samples {
			points = append(points, slope.Point{Size: float64(sample.Routers), Value: of(sample)})
			s.Largest = max(s.Largest, float64(sample.Routers))
		}
		choice, err := slope.Choose(points)
		if err != nil {
			s.Unfit = err.Error()
			return nil
		}
		return &choice
	}
	s.Decode = choose(func(x leader.Sample) float64 { return x.Decode })
	s.Answer = choose(func(x leader.Sample) float64 { return x.Answer })
	s.Pass = choose(func(x leader.Sample) float64 { return x.Pass })
	return s
}

// Load is what the leader has to do for a number of routers.
type Load struct {
	Cores   float64 `json:"cores"`   // without sockets and the replicated log
	Busy    float64 `json:"busy"`    // share of the time that its one goroutine needs for answers alone; from 1 on it never keeps up
	Pass    float64 `json:"pass_s"`  // from one pass to the next; 0: it never keeps up
	Waiting float64 `json:"waiting"` // askings that come in a pass
}

// load is by askings a second of one router, and the time that a majority takes to confirm a pass.
func (s *LeaderSlopes) load(routers, askings, confirm float64) Load {
	rate := routers * askings
	pass := s.Pass.Predict(routers).Value
	l := Load{Busy: rate * s.Answer.Predict(routers).Value}
	l.Cores = rate*s.Decode.Predict(routers).Value + l.Busy
	if l.Busy >= 1 {
		return l
	}
	l.Pass = (leaderRest + confirm + pass) / (1 - l.Busy)
	l.Cores += pass / l.Pass
	l.Waiting = rate * l.Pass
	return l
}

// fails tells whether the leader drops askings.
func (l Load) fails() bool { return l.Busy >= 1 || l.Waiting > mostAskings }

// failsAt is the least number of routers at which the leader drops askings; 0: none up to a number that no fleet has.
func (s *LeaderSlopes) failsAt(askings, confirm float64) float64 {
	const most = 1e9
	low, high := 1.0, 2.0
	for !s.load(high, askings, confirm).fails() {
		if low, high = high, high*2; high > most {
			return 0
		}
	}
	for high-low > 0.5 {
		if middle := (low + high) / 2; s.load(middle, askings, confirm).fails() {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
