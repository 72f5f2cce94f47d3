package gossip

import (
	"errors"
	"testing"
	"time"

	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/fleet"
)

// shareRouter records the applied shares. While err is set, SetShare fails with it.
type shareRouter struct {
	idleRouter
	applied []fleet.Share
	err     error
}

func (r *shareRouter) SetShare(share fleet.Share) error {
	if r.err == nil {
		r.applied = append(r.applied, share)
	}
	return r.err
}

// A node grants its share to others only after the router has confirmed that it uses the reduced share.
func TestNode_GrantsAfterReducedShareIsInForce(t *testing.T) {
	n := newTestNode(false)
	router := &shareRouter{err: errors.New("the event loop did not reply")}
	n.router = router

	n.updateGranting(true)
	if n.shares.granting {
		t.Error("the node grants its share although SetShare failed")
	}
	if n.shares.applied != unknownShare {
		t.Errorf("applied share after a failure: got %+v, want unknownShare", n.shares.applied)
	}

	router.err = nil
	n.updateGranting(true)
	if !n.shares.granting {
		t.Error("the node does not grant its share after SetShare succeeded")
	}
	minimum := sharelease.MinimumShare(n.config.FleetSize)
	want := fleet.Share{Current: minimum, AfterExpiry: minimum}
	if len(router.applied) != 1 || router.applied[0] != want {
		t.Errorf("applied shares: got %+v, want only %+v", router.applied, want)
	}
}

// leasePeers leaves out a slot that two alive routers claim.
func TestNode_LeasePeersLeaveOutDuplicateSlots(t *testing.T) {
	n := newTestNode(false) // of slot 2
	for i, slot := range []membership.Slot{0, 1, 1, 2} {
		id := membership.Incarnation(10 + i)
		n.view.MemberJoined(1, membership.Member{Name: membership.Name(rune('a' + i)), Incarnation: id, Slot: slot})
	}
	n.view.ReceiveHeartbeat(1, membership.Heartbeat{Incarnation: 10, Seq: 1, Draining: true})
	got := n.leasePeers()
	want := sharelease.Peer{Incarnation: 10, Granting: true}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want only slot 0: %+v", got, want)
	}
}

func TestNode_RouterShareConvertsExpiry(t *testing.T) {
	n := newTestNode(false)
	got := n.routerShare(sharelease.Share{Current: 0.5, ExpiresAt: 2e6, AfterExpiry: 0.25})
	want := fleet.Share{Current: 0.5, ExpiresAt: n.startedAt.Add(2 * time.Second), AfterExpiry: 0.25}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := n.routerShare(sharelease.Share{Current: 0.5}); !got.ExpiresAt.IsZero() {
		t.Errorf("share without expiry: got expiry %v, want none", got.ExpiresAt)
	}
}
