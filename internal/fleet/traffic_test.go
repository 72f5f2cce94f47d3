package fleet

import (
	"testing"

	"pgregory.net/rapid"
)

func TestStatsdIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var traffic Traffic
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			tell := traffic.Sent
			if rapid.Bool().Draw(t, "received") {
				tell = traffic.Received
			}
			tell(TrafficKind(rapid.IntRange(0, int(TrafficKinds)-1).Draw(t, "mechanism")), rapid.IntRange(0, 1<<40).Draw(t, "bytes"), 1)
		}
		want := traffic.Counts()
		got, err := ParseStatsd("router.fleet.alive:3|g\n" + want.Statsd() + "another:1|c\n")
		if err != nil || got != want {
			t.Fatalf("%+v became %+v, %v", want, got, err)
		}
	})
}

func TestSpoiltCountIsRefused(t *testing.T) {
	for _, line := range []string{"router.fleet.sent_bytes.probe:x|c", "router.fleet.sent_bytes.probe", "router.fleet.sent_bytes.probe:1|c|c"} {
		if c, err := ParseStatsd(line); err == nil {
			t.Errorf("%q was read as %+v", line, c)
		}
	}
}

func TestCountsAreSummed(t *testing.T) {
	var a, b Traffic
	a.Sent(Probe, 10, 1)
	b.Sent(Probe, 5, 2)
	b.Received(Summary, 7, 1)
	sum := a.Counts()
	sum.Add(b.Counts())
	if sum.Sent[Probe] != (Count{15, 3}) || sum.Received[Summary] != (Count{7, 1}) {
		t.Errorf("%+v", sum)
	}
}
