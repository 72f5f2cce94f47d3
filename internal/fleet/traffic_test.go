package fleet

import (
	"testing"

	"pgregory.net/rapid"
)

func TestParseStatsd_ReadsWhatStatsdWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var traffic Traffic
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			record := traffic.RecordSent
			if rapid.Bool().Draw(t, "received") {
				record = traffic.RecordReceived
			}
			kind := TrafficKind(rapid.IntRange(0, int(TrafficKinds)-1).Draw(t, "kind"))
			record(kind, rapid.IntRange(0, 1<<40).Draw(t, "bytes"), 1)
		}
		want := traffic.Counts()
		got, err := ParseStatsd("router.fleet.alive:3|g\n" + want.Statsd() + "another:1|c\n")
		if err != nil || got != want {
			t.Fatalf("counts: got %+v, %v, want %+v", got, err, want)
		}
	})
}

func TestParseStatsd_RejectsMalformedCount(t *testing.T) {
	for _, line := range []string{"router.fleet.sent_bytes.probe:x|c", "router.fleet.sent_bytes.probe", "router.fleet.sent_bytes.probe:1|c|c"} {
		if counts, err := ParseStatsd(line); err == nil {
			t.Errorf("ParseStatsd(%q): got %+v, want an error", line, counts)
		}
	}
}

func TestTrafficCounts_Add(t *testing.T) {
	var first, second Traffic
	first.RecordSent(Probe, 10, 1)
	second.RecordSent(Probe, 5, 2)
	second.RecordReceived(Summary, 7, 1)
	sum := first.Counts()
	sum.Add(second.Counts())
	if want := (Count{15, 3}); sum.Sent[Probe] != want {
		t.Errorf("sent probe traffic: got %+v, want %+v", sum.Sent[Probe], want)
	}
	if want := (Count{7, 1}); sum.Received[Summary] != want {
		t.Errorf("received summary traffic: got %+v, want %+v", sum.Received[Summary], want)
	}
}
