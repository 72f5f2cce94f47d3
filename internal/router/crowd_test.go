package router

import (
	"testing"

	"spurtrestle/core/clock"
)

// Idle clients hold all descriptors, and each that is closed is followed by another at once. An attempt that waits for a connection
// gets one as soon as enough of them have been quiet for long enough: what they leave does not go to the next of them. A client that
// comes while nothing waits, or while all others wait for answers, is kept.
func TestAttemptGetsItsDescriptorsInACrowd(t *testing.T) {
	l, _ := held(t, nil)
	r := l.r
	r.lim.Descriptors, r.lim.MaxDescriptors, r.lim.ServerConnections, r.lim.ClientConnections = 16, 26, 8, 16
	dials := 0
	r.dialer = func(string, peer, func(error)) { dials++ }
	const step = clock.Time(5e3)
	crowd := func(during clock.Time) {
		for ; during > 0 && dials == 0; during -= step {
			for range 3 {
				l.open(nil)
			}
			l.pass(step)
		}
	}
	crowd(500e3)
	if used := r.used(); used < r.lim.MaxDescriptors {
		t.Fatalf("the crowd holds %d descriptors only", used)
	}
	asks := l.open(nil)
	for asks.closed { // it may be one too many, too
		l.pass(step)
		asks = l.open(nil)
	}
	l.comes(asks, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	crowd(2 * r.lim.IdleClientEvictionAge)
	if dials != 1 || asks.closed {
		t.Errorf("%d dials within %d ms, and the client closed: %v", dials, 2*r.lim.IdleClientEvictionAge/1e3, asks.closed)
	}

	l, _ = held(t, nil)
	r = l.r
	r.lim.ServerConnections = 8
	first := l.open(nil)
	r.lim.Descriptors, r.lim.MaxDescriptors = r.used(), r.used()+3
	l.comes(first, command("CACHE.GET", "k", "r1", "c=get,d=1900")) // no descriptor for its attempt
	if second := l.open(nil); second.closed {
		t.Error("a client is refused though none is there that could be closed in its place")
	}
}

// While a process replaces another, clients go from one to the other with requests that were taken, and the descriptors of both
// count: a client that comes is not shut though an attempt waits for a descriptor and another client is quiet.
func TestNoClientIsShutWhileAProcessIsReplaced(t *testing.T) {
	for what, others := range map[string]int{"alone": 0, "replaced": 3} {
		l, _ := held(t, nil)
		r := l.r
		r.lim.ServerConnections = 8
		asks := l.open(nil)
		l.open(nil) // quiet, and too young to be closed
		r.takeover.others[0] = others
		r.lim.Descriptors, r.lim.MaxDescriptors = r.used(), r.used()+5
		l.comes(asks, command("CACHE.GET", "k", "r1", "c=get,d=1900")) // no descriptor for its attempt
		if newcomer := l.open(nil); newcomer.closed != (others == 0) {
			t.Errorf("%s: the client that came is closed: %v", what, newcomer.closed)
		}
	}
}
