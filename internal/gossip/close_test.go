package gossip

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/fleet"
)

// goroutinesOf counts the goroutines of this process that run a function, or were started by it.
func goroutinesOf(function string) int {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	return strings.Count(string(stacks), function)
}

// Close leaves no goroutine behind that waits for a seed which accepts a connection and never answers.
func TestNode_CloseEndsTheCallsOfItsStart(t *testing.T) {
	seed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer seed.Close()
	addr := newAddress(t)
	f := &testFleet{t: t}
	f.open(fleet.Config{
		Fleet:         "f",
		Name:          "r",
		Listen:        addr,
		Advertise:     addr,
		Join:          []string{seed.Addr().String()},
		ProbeInterval: 2 * time.Second, // the connection timeout is several of them
		FleetSize:     1,
	})
	const call = "(*Node).joinFleet"
	if goroutinesOf(call) == 0 {
		t.Fatal("the call to the seed has ended by itself, so that this test shows nothing")
	}
	f.nodes[0].Close(true)
	if left := goroutinesOf(call); left > 0 {
		t.Errorf("after Close: %d goroutines of the call to the seed are left", left)
	}
}
