package simwire

import (
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Each action is written as one line of the protocol.
func TestWriter_AddWritesEachAction(t *testing.T) {
	tests := []struct {
		decision routing.Decision
		want     string
	}{
		{
			decision: routing.Decision{Action: routing.Send, Request: "r-1", Server: 7, After: 1500 * clock.Millisecond},
			want:     "pass_on 3 r-1 7 1.500000\n",
		},
		{
			decision: routing.Decision{Action: routing.Reject, Request: "r-1", After: 5 * clock.Microsecond},
			want:     "bounce 3 r-1 0.000005\n",
		},
		{decision: routing.Decision{Action: routing.Fail, Request: "r-1"}, want: "report_failure 3 r-1\n"},
		{decision: routing.Decision{Action: routing.Cancel, Request: "r-1", Attempt: 1}, want: "recall 3 r-1 1\n"},
		{
			decision: routing.Decision{Action: routing.SetTimer, After: 20 * clock.Millisecond, Timer: 4},
			want:     "schedule 3 0.020000 4\n",
		},
		{decision: routing.Decision{Action: routing.Subscribe}, want: "stream_changes 3 1\n"},
		{decision: routing.Decision{Action: routing.HealthCheck, Server: 7}, want: "probe 3 7\n"},
		{decision: routing.Decision{Action: routing.CloseIdle, Server: 7}, want: "drop_conns 3 7\n"},
	}
	for _, test := range tests {
		var reply strings.Builder
		writer := NewWriter(&reply)
		writer.Add(3, test.decision)
		if err := writer.Send("12"); err != nil {
			t.Fatal(err)
		}
		if got, want := reply.String(), test.want+"ready 12\n"; got != want {
			t.Errorf("decision %+v: got %q, want %q", test.decision, got, want)
		}
	}
}
