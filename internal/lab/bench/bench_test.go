package bench

import (
	"testing"
	"time"
)

// The counts of the generator match the answers of a server that answers immediately.
func TestRunCountsAnswers(t *testing.T) {
	null, err := NewStubServer("127.0.0.1:0", RouterReply(100))
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	for _, l := range []Load{{Conns: 4, Depth: 8}, {Conns: 4, Rate: 2000}} {
		l.Addr, l.Keys, l.Props, l.Duration = null.Addr(), 10, "c=get,d=9", 200*time.Millisecond
		out, err := Run(t.Context(), l)
		if err != nil || out.Answered == 0 || out.Succeeded != out.Answered || out.Latency.TotalCount() != out.Answered {
			t.Errorf("%+v: %+v, %v", l, out, err)
		}
		if l.Rate > 0 && out.Answered > 405 {
			t.Errorf("%d answers to 400 requests", out.Answered)
		}
	}
	if _, err := Run(t.Context(), Load{Addr: null.Addr()}); err == nil {
		t.Error("an empty load was accepted")
	}
	busy, err := NewStubServer("127.0.0.1:0", []byte("-BUSY 5\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	out, err := Run(t.Context(), Load{Addr: busy.Addr(), Conns: 1, Depth: 1, Keys: 1, Duration: 50 * time.Millisecond})
	if err != nil || out.Rejected == 0 || out.Rejected != out.Answered {
		t.Errorf("%+v, %v", out, err)
	}
}

// BenchmarkGenerator measures the latency that the generator adds at 50,000 requests per second. The target is below one
// millisecond at p99.
func BenchmarkGenerator(b *testing.B) {
	null, err := NewStubServer("127.0.0.1:0", RouterReply(512))
	if err != nil {
		b.Fatal(err)
	}
	defer null.Close()
	for b.Loop() {
		out, err := Run(b.Context(), Load{Addr: null.Addr(), Conns: 64, Rate: 50000, Keys: 1000, Props: "c=get,d=9", Duration: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(out.Rate(), "answers/s")
		b.ReportMetric(out.Quantile(99), "p99-ms")
	}
}
