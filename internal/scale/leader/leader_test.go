package leader

import (
	"testing"
	"time"
)

// A clock that moves on by a second at each look: every part is called once and takes a second.
func TestMeasureCountsPerAskingAndPerPass(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration {
		now += time.Second
		return now
	}
	s, err := Measure(50, 1, time.Millisecond, clock)
	if err != nil {
		t.Fatal(err)
	}
	if want := (Sample{Routers: 50, Seed: 1, Decode: 0.02, Answer: 0.02, Pass: 1}); s != want {
		t.Errorf("%+v, want %+v", s, want)
	}
}

func TestAllAreGranted(t *testing.T) {
	f := newFleet(40, 7)
	f.decode()
	for range 3 {
		f.pass()
		if granted := f.answer(); granted != 40 {
			t.Fatalf("%d of 40 granted", granted)
		}
	}
	if len(f.book.Members) != 40 || len(f.book.LeasedOut) != 0 {
		t.Errorf("%d on the roster, %d lent", len(f.book.Members), len(f.book.LeasedOut))
	}
}
