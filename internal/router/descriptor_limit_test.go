package router

import (
	"testing"

	"spurtrestle/core/clock"
)

// Idle clients hold all descriptors, and each one that is closed reconnects at once. A waiting attempt gets a
// connection as soon as enough clients have been quiet for long enough: the freed descriptors do not go to new
// clients. A client that connects while no attempt waits, or while all others wait for answers, is kept.
func TestAttemptGetsDescriptorsUnderClientChurn(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	r := l.r
	r.limits.Descriptors, r.limits.MaxDescriptors, r.limits.ServerConnections, r.limits.ClientConnections = 16, 26, 8, 16
	dials := 0
	r.dialFunc = func(string, connHandler, func(error)) { dials++ }
	const step = clock.Time(5e3)
	churn := func(during clock.Time) {
		for ; during > 0 && dials == 0; during -= step {
			for range 3 {
				l.open(nil)
			}
			l.advance(step)
		}
	}
	churn(500e3)
	if used := r.descriptorsInUse(); used < r.limits.MaxDescriptors {
		t.Fatalf("the idle clients hold only %d descriptors", used)
	}
	requester := l.open(nil)
	for requester.closed { // this client may exceed the limit as well
		l.advance(step)
		requester = l.open(nil)
	}
	l.receive(requester, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	churn(2 * r.limits.IdleClientEvictionAge)
	if dials != 1 || requester.closed {
		t.Errorf("got %d dials within %d ms, want 1; client closed: %v", dials, 2*r.limits.IdleClientEvictionAge/1e3, requester.closed)
	}

	l, _ = newHeldDials(t, nil)
	r = l.r
	r.limits.ServerConnections = 8
	first := l.open(nil)
	r.limits.Descriptors, r.limits.MaxDescriptors = r.descriptorsInUse(), r.descriptorsInUse()+3
	l.receive(first, command("CACHE.GET", "k", "r1", "c=get,d=1900")) // no descriptor for its attempt
	if second := l.open(nil); second.closed {
		t.Error("a new client was closed although no other client could be closed instead")
	}
}

// While a process replaces another, clients with admitted requests move between them, and the descriptors of both
// count. A new client is kept even though an attempt waits for a descriptor and another client is quiet.
func TestNewClientIsKeptDuringHandover(t *testing.T) {
	for name, peerDescriptors := range map[string]int{"alone": 0, "replaced": 3} {
		l, _ := newHeldDials(t, nil)
		r := l.r
		r.limits.ServerConnections = 8
		requester := l.open(nil)
		l.open(nil) // quiet, and too young to be closed
		r.takeover.peerDescriptors[predecessorPeer] = peerDescriptors
		r.limits.Descriptors, r.limits.MaxDescriptors = r.descriptorsInUse(), r.descriptorsInUse()+5
		l.receive(requester, command("CACHE.GET", "k", "r1", "c=get,d=1900")) // no descriptor for its attempt
		if newcomer := l.open(nil); newcomer.closed != (peerDescriptors == 0) {
			t.Errorf("%s: new client closed: %v", name, newcomer.closed)
		}
	}
}
