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
		if s.Routers < 1 || s.DecodeTime <= 0 || s.AnswerTime <= 0 || s.PassTime <= 0 {
			wrong = append(wrong, FieldError{file, 0, fmt.Sprintf("samples[%d]", i), "has a number that is not above 0", "measure again"})
		}
	}
	return f, errors.Join(wrong...)
}

// LeaderSlopes are the times of the leader over sizes of the roster; a choice that is nil was not fitted.
type LeaderModel struct {
	Source          SourceFile       `json:"source"`
	DecodeTime      *slope.Selection `json:"decode"`
	AnswerTime      *slope.Selection `json:"answer"`
	PassTime        *slope.Selection `json:"pass"`
	LargestSize     float64          `json:"largest"` // roster measured
	NotFittedReason string           `json:"unfit"`
}

// Fitted tells whether all three are.
func (s *LeaderModel) Fitted() bool { return s != nil && s.NotFittedReason == "" }

// FitLeader chooses a form for each time; it is nil where nothing was measured.
func FitLeader(name string, f *leader.File) *LeaderModel {
	if f == nil {
		return nil
	}
	s := &LeaderModel{Source: SourceFile{Name: name, Build: f.Build, Cores: f.Cores, Trials: len(f.Samples)}}
	choose := func(of func(leader.Sample) float64) *slope.Selection {
		var points []slope.Point
		for _, sample := range f.Samples {
			points = append(points, slope.Point{Size: float64(sample.Routers), Value: of(sample)})
			s.LargestSize = max(s.LargestSize, float64(sample.Routers))
		}
		choice, err := slope.Select(points)
		if err != nil {
			s.NotFittedReason = err.Error()
			return nil
		}
		return &choice
	}
	s.DecodeTime = choose(func(x leader.Sample) float64 { return x.DecodeTime })
	s.AnswerTime = choose(func(x leader.Sample) float64 { return x.AnswerTime })
	s.PassTime = choose(func(x leader.Sample) float64 { return x.PassTime })
	return s
}

// Load is what the leader has to do for a number of routers.
type LeaderLoad struct {
	Cores          float64 `json:"cores"`   // without sockets and the replicated log
	Utilization    float64 `json:"busy"`    // share of the time that its one goroutine needs for answers alone; from 1 on it never keeps up
	PassInterval   float64 `json:"pass_s"`  // from one pass to the next; 0: it never keeps up
	QueuedRenewals float64 `json:"waiting"` // askings that come in a pass
}

// load is by askings a second of one router, and the time that a majority takes to confirm a pass.
func (s *LeaderModel) predictLoad(routers, askings, confirm float64) LeaderLoad {
	rate := routers * askings
	pass := s.PassTime.Predict(routers).Value
	l := LeaderLoad{Utilization: rate * s.AnswerTime.Predict(routers).Value}
	l.Cores = rate*s.DecodeTime.Predict(routers).Value + l.Utilization
	if l.Utilization >= 1 {
		return l
	}
	l.PassInterval = (leaderInterval + confirm + pass) / (1 - l.Utilization)
	l.Cores += pass / l.PassInterval
	l.QueuedRenewals = rate * l.PassInterval
	return l
}

// fails tells whether the leader drops askings.
func (l LeaderLoad) overloaded() bool {
	return l.Utilization >= 1 || l.QueuedRenewals > maxQueuedRenewals
}

// failsAt is the least number of routers at which the leader drops askings; 0: none up to a number that no fleet has.
func (s *LeaderModel) minOverloadedSize(askings, confirm float64) float64 {
	const maxSize = 1e9
	low, high := 1.0, 2.0
	for !s.predictLoad(high, askings, confirm).overloaded() {
		if low, high = high, high*2; high > maxSize {
			return 0
		}
	}
	for high-low > 0.5 {
		if middle := (low + high) / 2; s.predictLoad(middle, askings, confirm).overloaded() {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
