package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Network is a loopback network that a run has for itself.
type Network struct{ a *addresses }

// NewNetwork claims one for so many routers; Close gives it back.
func NewNetwork(routers int) (Network, error) {
	a, err := newAddresses(routers)
	return Network{a}, err
}

// Close gives the network back.
func (n Network) Close() { n.a.close() }

// Routers returns the address at which clients reach each router.
func (n Network) Routers() []string { return n.a.routers() }

// Discovery returns the address of discovery for each router.
func (n Network) Discovery() []string { return n.a.discovery(0) }

// Server returns the address of the cache server at a place for each router.
func (n Network) Server(place int) []string { return n.a.server(place, 0) }

// Doors returns the address of each router's admin endpoint.
func (n Network) AdminEndpoints() []string { return n.a.adminEndpoints(0) }

// Views returns the address at which each router listens for the others.
func (n Network) GossipListeners() []string { return n.a.gossipListeners() }

// Ways returns the address at which the others reach each router.
func (n Network) GossipAdvertised() []string { return n.a.gossipAdvertised() }

// addresses says who listens where. A run has 127.K.0.0/16 for itself, so that a server that comes back finds its
// address free: connections within the machine leave from 127.0.0.1. K is claimed by a listener that is held.
type addresses struct {
	subnet, routerCount int
	lock                net.Listener
}

const firstSubnet, subnets = 130, 60

func newAddresses(routers int) (*addresses, error) {
	for i := range subnets {
		k := firstSubnet + (os.Getpid()+i)%subnets
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:6400", k))
		if err != nil {
			continue
		}
		a := &addresses{k, routers, lock}
		if a.isFree() {
			return a, nil
		}
		lock.Close()
	}
	return nil, errors.New("no loopback network is free: too many labs run on this machine, or 127.0.0.0/8 is not whole here")
}

// free tells whether routers of any make can listen: connections that a router with SO_REUSEPORT alone has left in
// TIME_WAIT keep others off its address for a minute.
func (a *addresses) isFree() bool {
	for _, addr := range a.routers() {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

func (a *addresses) close() { a.lock.Close() }

func (a *addresses) perRouter(format string, more ...any) (out []string) {
	for i := range a.routerCount {
		out = append(out, fmt.Sprintf(format, append([]any{a.subnet, i + 1}, more...)...))
	}
	return out
}

func (a *addresses) routers() []string             { return a.perRouter("127.%d.250.%d:6379") }
func (a *addresses) grpc() []string                { return a.perRouter("127.%d.249.%d:7443") }
func (a *addresses) adminEndpoints(n int) []string { return a.perRouter("127.%d.248.%d:%d", 10250+n) }
func (a *addresses) gossipListeners() []string     { return a.perRouter("127.%d.247.%d:7946") }
func (a *addresses) gossipAdvertised() []string    { return a.perRouter("127.%d.246.%d:7946") }

// logs are the addresses of the keepers' log, beside those of the views.
func (a *addresses) raftAddresses(of string) []string {
	return a.perRouter(map[string]string{"views": "127.%d.247.%d:7947", "ways": "127.%d.246.%d:7947"}[of])
}
func (a *addresses) discovery(moves int) []string { return a.perRouter("127.%d.251.%d:%d", 8500+moves) }
func (a *addresses) origin() []string             { return a.perRouter("127.%d.252.%d:8080") }

// server is where each router reaches the server at a place, after so many moves.
func (a *addresses) server(place, moves int) []string {
	return a.perRouter("127.%d.%d.%d:%d", place+1, 6379+moves)
}
