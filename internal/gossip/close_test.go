package gossip

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/fleet"
)

// countGoroutines counts the occurrences of a function in the stacks of all goroutines, including the calls that started them.
func countGoroutines(function string) int {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	return strings.Count(string(stacks), function)
}

// A seed accepts the connection and never answers. Close must end the goroutine of joinFleet that waits for it.
func TestNode_CloseEndsPendingJoin(t *testing.T) {
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
	if countGoroutines(call) == 0 {
		t.Fatal("the call to the seed ended before Close: the test cannot check Close")
	}
	f.nodes[0].Close(true)
	if left := countGoroutines(call); left > 0 {
		t.Errorf("after Close: got %d goroutines of the call to the seed, want none", left)
	}
}
