package leader

import (
	"testing"
	"time"
)

// A clock that moves on by a second at each look: every part is called once and takes a second.
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
		t.Errorf("%+v, want %+v", s, want)
	}
}

func TestSimulatedLeader_GrantsEveryRenewal(t *testing.T) {
	f := newSimulatedLeader(40, 7)
	f.decodeAll()
	for range 3 {
		f.runPass()
		if granted := f.answerAll(); granted != 40 {
			t.Fatalf("%d of 40 granted", granted)
		}
	}
	if len(f.state.Members) != 40 || len(f.state.LeasedOut) != 0 {
		t.Errorf("%d on the roster, %d lent", len(f.state.Members), len(f.state.LeasedOut))
	}
}
