package routing

import (
	"testing"

	"spurtrestle/core/clock"
)

// A repeat goes only to servers that recognize it. The scope is relative to the server that may have run the request.
func TestRecognizesRepeat(t *testing.T) {
	first := &server{Endpoint: Endpoint{Server: 1, Zone: "a", Cell: 1}}
	sameCell := &server{Endpoint: Endpoint{Server: 2, Zone: "a", Cell: 1}}
	otherCell := &server{Endpoint: Endpoint{Server: 3, Zone: "a", Cell: 2}}
	otherZone := &server{Endpoint: Endpoint{Server: 4, Zone: "b", Cell: 1}}
	tests := []struct {
		name       string
		method     method
		mayHaveRun bool
		server     *server
		want       bool
	}{
		{name: "no server", server: nil, want: false},
		{name: "never ran", method: method{idempotency: Deduplicated, scope: ScopeCell}, server: otherZone, want: true},
		{name: "idempotent", method: method{scope: ScopeCell}, mayHaveRun: true, server: otherZone, want: true},
		{name: "every server", method: method{idempotency: Deduplicated}, mayHaveRun: true, server: otherZone, want: true},
		{name: "zone, same", method: method{idempotency: Deduplicated, scope: ScopeZone}, mayHaveRun: true, server: otherCell, want: true},
		{name: "zone, other", method: method{idempotency: Deduplicated, scope: ScopeZone}, mayHaveRun: true, server: otherZone, want: false},
		{name: "cell, same", method: method{idempotency: Deduplicated, scope: ScopeCell}, mayHaveRun: true, server: sameCell, want: true},
		{name: "cell, other", method: method{idempotency: Deduplicated, scope: ScopeCell}, mayHaveRun: true, server: otherCell, want: false},
		{name: "cell of another zone", method: method{idempotency: Deduplicated, scope: ScopeCell}, mayHaveRun: true, server: otherZone, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := &request{method: &test.method}
			if test.mayHaveRun {
				request.mayHaveRunAt, request.mayHaveRunOn = clock.Second, first
			}
			if got := recognizesRepeat(request, test.server); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// A deduplicated request that may have run is not repeated if the repeat could arrive after the window, a non-idempotent one
// never.
func TestRouter_MustNotRunAgain(t *testing.T) {
	const window = 600 * clock.Millisecond
	tests := []struct {
		name        string
		idempotency Idempotency
		mayHaveRun  bool
		after       clock.Duration
		want        bool
	}{
		{name: "never ran", idempotency: NonIdempotent, after: clock.Second, want: false},
		{name: "idempotent", idempotency: Idempotent, mayHaveRun: true, after: clock.Second, want: false},
		{name: "non-idempotent", idempotency: NonIdempotent, mayHaveRun: true, after: 0, want: true},
		{name: "within the window", idempotency: Deduplicated, mayHaveRun: true, after: window - 2*clock.Millisecond, want: false},
		{name: "in its last tick", idempotency: Deduplicated, mayHaveRun: true, after: window - clock.Millisecond, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := New(clock.Second+test.after, baseSettings(), 1)
			request := &request{method: &method{idempotency: test.idempotency, window: window}}
			if test.mayHaveRun {
				request.mayHaveRunAt = clock.Second
			}
			if got := r.mustNotRunAgain(request); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
