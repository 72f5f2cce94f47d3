package router

import (
	"errors"
	"testing"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/fleet"
)

// newStalledLoop returns a serving router whose loop runs only when the test calls runQueued, so that each call to it
// comes too late.
func newStalledLoop(t *testing.T) *fakeLoop {
	t.Helper()
	l, _, _ := newConnectedOrigin(t)
	l.r.limits.AdminCallTimeout = clock.Millisecond
	close(l.r.ready)
	return l
}

// A policy that was reported as not in force does not come into force later, over what has been set since.
func TestSetPolicy_HasNoEffectAfterAnError(t *testing.T) {
	l := newStalledLoop(t)
	err := l.r.SetPolicy(l.r.cfg.Settings, []string{"o"})
	if !errors.Is(err, errBusy) {
		t.Fatalf("with a stalled loop: got %v, want %v", err, errBusy)
	}
	l.runQueued()
	if l.r.fleet.policyBans["o"] {
		t.Error("the policy came into force after its error")
	}
}

// The same holds for site orders and shares of the fleet's limits.
func TestSetSiteOrdersAndSetShare_HaveNoEffectAfterAnError(t *testing.T) {
	l := newStalledLoop(t)
	orders := routing.FailoverOrders{MinimumRank: 2}
	if _, err := l.r.SetSiteOrders(orders, time.Now().Add(time.Hour)); !errors.Is(err, errBusy) {
		t.Fatalf("SetSiteOrders with a stalled loop: got %v, want %v", err, errBusy)
	}
	if err := l.r.SetShare(fleet.Share{Current: 0.5, AfterExpiry: 0.5}); !errors.Is(err, errBusy) {
		t.Fatalf("SetShare with a stalled loop: got %v, want %v", err, errBusy)
	}
	l.runQueued()
	if l.r.fleet.siteOrders.MinimumRank != 0 || l.r.fleet.share != 0 {
		t.Errorf("came into force after their errors: orders %+v, share %v", l.r.fleet.siteOrders, l.r.fleet.share)
	}
}

// A call made before the loop runs ends at its time limit, so that its caller can end with the process.
func TestSetPolicy_ReturnsWhereTheLoopNeverRuns(t *testing.T) {
	l, _, _ := newConnectedOrigin(t)
	l.r.limits.AdminCallTimeout = clock.Millisecond
	returned := make(chan error, 1)
	go func() { returned <- l.r.SetPolicy(l.r.cfg.Settings, nil) }()
	select {
	case err := <-returned:
		if !errors.Is(err, errBusy) {
			t.Errorf("got %v, want %v", err, errBusy)
		}
	case <-time.After(10 * time.Second):
		t.Error("SetPolicy did not return although the loop never runs")
	}
}
