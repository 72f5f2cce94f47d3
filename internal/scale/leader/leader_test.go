package leader

import (
	"testing"
	"time"
)

// The clock advances by one second per reading, so every operation is called once and takes one second.
func TestMeasure_TimesPerRenewalAndPerPass(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration {
		now += time.Second
		return now
	}
	s, err := Measure(50, 1, time.Millisecond, clock)
	if err != nil {
		t.Fatal(err)
	}
	if want := (Sample{Routers: 50, Seed: 1, DecodeTime: 0.02, AnswerTime: 0.02, PassTime: 1}); s != want {
		t.Errorf("got %+v, want %+v", s, want)
	}
}

func TestSimulatedLeader_GrantsEveryRenewal(t *testing.T) {
	l := newSimulatedLeader(40, 7)
	l.decodeAll()
	for range 3 {
		l.runPass()
		if granted := l.answerAll(); granted != 40 {
			t.Fatalf("%d of 40 renewals were granted a lease", granted)
		}
	}
	if len(l.state.Members) != 40 || len(l.state.LeasedOut) != 0 {
		t.Errorf("got %d members and %d leased shares, want 40 and 0", len(l.state.Members), len(l.state.LeasedOut))
	}
}
