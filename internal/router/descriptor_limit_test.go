package router

import (
	"testing"

	"spurtrestle/core/clock"
)

// Idle clients hold all descriptors, and each that is closed is followed by another at once. An attempt that waits for a connection
// gets one as soon as enough of them have been quiet for long enough: what they leave does not go to the next of them. A client that
// comes while nothing waits, or while all others wait for answers, is kept.
func TestAttemptGetsDescriptorsUnderClientChurn(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	r := l.r
	r.limits.Descriptors, r.limits.MaxDescriptors, r.limits.ServerConnections, r.limits.ClientConnections = 16, 26, 8, 16
	dials := 0
	r.dialFunc = func(string, connHandler, func(error)) { dials++ }
	const step = clock.Time(5e3)
	crowd := func(during clock.Time) {
		for ; during > 0 && dials == 0; during -= step {
			for range 3 {
				l.open(nil)
			}
			l.advance(step)
		}
	}
	crowd(500e3)
	if used := r.descriptorsInUse(); used < r.limits.MaxDescriptors {
		t.Fatalf("the crowd holds %d descriptors only", used)
	}
	asks := l.open(nil)
	for asks.closed { // it may be one too many, too
		l.advance(step)
		asks = l.open(nil)
	}
	l.receive(asks, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	crowd(2 * r.limits.QuietClientAge)
	if dials != 1 || asks.closed {
		t.Errorf("%d dials within %d ms, and the client closed: %v", dials, 2*r.limits.QuietClientAge/1e3, asks.closed)
	}

	l, _ = newHeldDials(t, nil)
	r = l.r
	r.limits.ServerConnections = 8
	first := l.open(nil)
	r.limits.Descriptors, r.limits.MaxDescriptors = r.descriptorsInUse(), r.descriptorsInUse()+3
	l.receive(first, command("CACHE.GET", "k", "r1", "c=get,d=1900")) // no descriptor for its attempt
	if second := l.open(nil); second.closed {
		t.Error("a client is refused though none is there that could be closed in its place")
	}
}

// While a process replaces another, clients go from one to the other with requests that were taken, and the descriptors of both
// count: a client that comes is not shut though an attempt waits for a descriptor and another client is quiet.
func TestNewClientIsKeptDuringHandover(t *testing.T) {
	for what, others := range map[string]int{"alone": 0, "replaced": 3} {
		l, _ := newHeldDials(t, nil)
		r := l.r
		r.limits.ServerConnections = 8
		asks := l.open(nil)
		l.open(nil) // quiet, and too young to be closed
		r.takeover.peerDescriptors[0] = others
		r.limits.Descriptors, r.limits.MaxDescriptors = r.descriptorsInUse(), r.descriptorsInUse()+5
		l.receive(asks, command("CACHE.GET", "k", "r1", "c=get,d=1900")) // no descriptor for its attempt
		if newcomer := l.open(nil); newcomer.closed != (others == 0) {
			t.Errorf("%s: the client that came is closed: %v", what, newcomer.closed)
		}
	}
}
