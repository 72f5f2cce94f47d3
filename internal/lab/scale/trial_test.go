package scale

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/scale/result"
)

func TestRouterAt_InvertsAddress(t *testing.T) {
	for _, r := range []int{0, 1, routersPerBlock - 1, routersPerBlock, 14000} {
		if got := routerAt(address(80, r)); got != r {
			t.Errorf("router %d has the address of %d", r, got)
		}
	}
}

func TestCheckFree_RejectsAddressInUse(t *testing.T) {
	n, err := claimNetwork(0)
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	at := address(n.number, 2)
	l, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := n.checkFree(2); err != nil {
		t.Error(err)
	}
	if err := n.checkFree(3); err == nil || !strings.Contains(err.Error(), at.String()+" is taken") {
		t.Errorf("got %v", err)
	}
	if _, err := claimNetwork(n.number); err == nil || !strings.Contains(err.Error(), "is taken by another run") {
		t.Errorf("got %v", err)
	}
}

func TestLossyLinks_DropAccordingToLinkState(t *testing.T) {
	var link atomic.Pointer[linkState]
	w := &lossyLinks{link: &link, index: 1, random: rand.New(rand.NewPCG(1, 1))}
	inside, outside := address(80, 0).String(), address(80, 2).String()

	link.Store(&linkState{Cut: []int{0, 2}})
	if w.DropsPacket(inside) || w.RejectsConnection(inside) || !w.DropsPacket(outside) || !w.RejectsConnection(outside) {
		t.Error("a cut affects links within the region, or does not affect links out of it")
	}
	link.Store(&linkState{Loss: 0.25})
	lost := 0
	const packets = 10000
	for range packets {
		if w.DropsPacket(outside) {
			lost++
		}
	}
	if share := float64(lost) / packets; share < 0.23 || share > 0.27 {
		t.Errorf("share of lost packets: %v, want 0.25", share)
	}
	link.Store(&linkState{})
	if w.DropsPacket(outside) {
		t.Error("a packet was dropped without loss")
	}
	w.dead.Store(true)
	if !w.DropsPacket(inside) || !w.RejectsConnection(inside) {
		t.Error("a killed router can still send")
	}
}

func TestRestarts_MatchOrdinaryRate(t *testing.T) {
	day := 24 * time.Hour
	if n := restarts(14000, day, 1); n != 5900 {
		t.Errorf("%d restarts per day of 14000 routers, want 5900", n)
	}
	if n := restarts(1400, day, herdFactor); n != 5900 {
		t.Errorf("%d restarts at ten times the rate, want 5900", n)
	}
	if n := restarts(10, time.Second, 1); n != 1 {
		t.Errorf("%d restarts in a short span, want 1", n)
	}
}

func TestRates_AreMeansWithoutHarness(t *testing.T) {
	tr := &trial{out: result.Trial{Routers: 2, Harness: result.Usage{CPU: 0.001, Memory: 1000}}}
	counts := func(router int, bytes, messages int64) (c routerCounts) {
		c.Index = router
		c.Sent[fleet.Probe], c.Received[fleet.FullState] = fleet.Count{Bytes: bytes, Messages: messages}, fleet.Count{Bytes: bytes, Messages: messages}
		return c
	}
	before := []reply{{Usage: &processUsage{time.Second, 0}, Counts: []routerCounts{counts(0, 100, 1), counts(1, 0, 0)}}}
	// The second router has been restarted: both of its processes count.
	after := []reply{{Usage: &processUsage{2 * time.Second, 10000}, Counts: []routerCounts{counts(0, 1100, 11), counts(1, 2000, 20), counts(1, 1000, 10)}}}
	tr.rates(before, after, 10*time.Second)
	if p := tr.out.PerRouter; p.BytesOut != 200 || p.BytesIn != 200 || p.MessagesOut != 2 || p.CPU != 0.049 || p.Memory != 4000 {
		t.Errorf("mean: %+v", p)
	}
	if w := tr.out.Busiest; w.BytesOut != 300 || w.BytesIn != 300 {
		t.Errorf("worst: %+v", w)
	}
	want := []result.Mechanism{{Name: "probe", Bytes: 200, Messages: 2}, {Name: "full_state", Bytes: 200, Messages: 2}}
	if !slices.Equal(tr.out.Mechanisms, want) {
		t.Errorf("mechanisms: %+v", tr.out.Mechanisms)
	}
}
