package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Network is a loopback network that is reserved for one run.
type Network struct{ a *addresses }

// NewNetwork reserves a network for a number of routers. Close releases it.
func NewNetwork(routers int) (Network, error) {
	a, err := newAddresses(routers)
	return Network{a}, err
}

// Close releases the network.
func (n Network) Close() { n.a.close() }

// Routers returns the address at which clients reach each router.
func (n Network) Routers() []string { return n.a.routers() }

// Discovery returns the address of discovery for each router.
func (n Network) Discovery() []string { return n.a.discovery(0) }

// Server returns the addresses of the cache server in a slot, one for each router.
func (n Network) Server(slot int) []string { return n.a.server(slot, 0) }

// AdminEndpoints returns the address of each router's admin endpoint.
func (n Network) AdminEndpoints() []string { return n.a.adminEndpoints(0) }

// GossipListeners returns the address at which each router listens for other routers.
func (n Network) GossipListeners() []string { return n.a.gossipListeners() }

// GossipAdvertised returns the address at which other routers reach each router.
func (n Network) GossipAdvertised() []string { return n.a.gossipAdvertised() }

// addresses assigns the addresses of a run. Each run reserves 127.K.0.0/16 by holding a listener in it. Outgoing connections
// on the machine use 127.0.0.1, so the address of a server that returns is always free.
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
	return nil, errors.New("no loopback network is free: too many labs run on this machine, or 127.0.0.0/8 is not available")
}

// isFree reports whether any router can listen. Connections in TIME_WAIT of a router that sets only SO_REUSEPORT block its
// address for other routers for a minute.
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

// perRouter formats an address for each router from the subnet, the router's number and further values.
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

// raftAddresses returns the addresses of the routers that store the policy: their listeners for "views", or their
// advertised addresses for "ways".
func (a *addresses) raftAddresses(of string) []string {
	return a.perRouter(map[string]string{"views": "127.%d.247.%d:7947", "ways": "127.%d.246.%d:7947"}[of])
}
func (a *addresses) discovery(moves int) []string { return a.perRouter("127.%d.251.%d:%d", 8500+moves) }
func (a *addresses) origin() []string             { return a.perRouter("127.%d.252.%d:8080") }

// server returns the addresses of the server in a slot, one for each router, after a number of moves to new addresses.
func (a *addresses) server(slot, moves int) []string {
	return a.perRouter("127.%d.%d.%d:%d", slot+1, 6379+moves)
}
