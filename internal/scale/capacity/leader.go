package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"spurtrestle/internal/scale/leader"
	"spurtrestle/internal/scale/slope"
)

// DecodeLeader decodes and validates the text of a result file of cache-routerctl scale leader. Each error is a FieldError.
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

// LeaderModel models the processor time of the policy leader by the number of routers. A time that could not be fitted is nil.
type LeaderModel struct {
	Source          SourceFile       `json:"source"`
	DecodeTime      *slope.Selection `json:"decode"`
	AnswerTime      *slope.Selection `json:"answer"`
	PassTime        *slope.Selection `json:"pass"`
	LargestSize     float64          `json:"largest"` // largest number of routers measured
	NotFittedReason string           `json:"unfit"`
}

// Fitted reports whether all three times were fitted. A nil model is not.
func (m *LeaderModel) Fitted() bool { return m != nil && m.NotFittedReason == "" }

// FitLeader fits a growth model to each time; it returns nil if f is nil.
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

// LeaderLoad is the load of the policy leader for a number of routers.
type LeaderLoad struct {
	Cores          float64 `json:"cores"`   // without sockets and the replicated log
	Utilization    float64 `json:"busy"`    // fraction of the time that its single goroutine spends on answers; from 1 on it falls behind without bound
	PassInterval   float64 `json:"pass_s"`  // seconds from one pass to the next; 0: it falls behind without bound
	QueuedRenewals float64 `json:"waiting"` // renewals that arrive during a pass
}

// predictLoad returns the load for a number of routers, by the renewals per second of one router and the seconds that a majority
// takes to confirm a pass.
func (m *LeaderModel) predictLoad(routers, renewalRate, confirmTime float64) LeaderLoad {
	rate := routers * renewalRate
	pass := m.PassTime.Predict(routers).Value
	l := LeaderLoad{Utilization: rate * m.AnswerTime.Predict(routers).Value}
	l.Cores = rate*m.DecodeTime.Predict(routers).Value + l.Utilization
	if l.Utilization >= 1 {
		return l
	}
	l.PassInterval = (leaderInterval + confirmTime + pass) / (1 - l.Utilization)
	l.Cores += pass / l.PassInterval
	l.QueuedRenewals = rate * l.PassInterval
	return l
}

// overloaded reports whether the leader drops renewals.
func (l LeaderLoad) overloaded() bool {
	return l.Utilization >= 1 || l.QueuedRenewals > maxQueuedRenewals
}

// minOverloadedSize returns the smallest number of routers for which the leader drops renewals, or 0 if there is none up to
// maxSize, which no fleet reaches.
func (m *LeaderModel) minOverloadedSize(renewalRate, confirmTime float64) float64 {
	const maxSize = 1e9
	low, high := 1.0, 2.0
	for !m.predictLoad(high, renewalRate, confirmTime).overloaded() {
		if low, high = high, high*2; high > maxSize {
			return 0
		}
	}
	for high-low > 0.5 {
		if middle := (low + high) / 2; m.predictLoad(middle, renewalRate, confirmTime).overloaded() {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
