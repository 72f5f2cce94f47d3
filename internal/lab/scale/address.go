package scale

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// Each run has a loopback network 127.K.0.0/16 of its own. A listener that is kept open claims it, so that concurrent runs
// do not interfere.
const (
	firstNetwork    = 70
	networkCount    = 40
	routersPerBlock = 250
	maxAddresses    = 200 * routersPerBlock
	listenPort      = 7946
	claimPort       = 6401
)

type network struct {
	number int
	claim  net.Listener
}

// claimNetwork claims the network with a number, or with 0 any free one.
func claimNetwork(number int) (network, error) {
	numbers := []int{number}
	if number == 0 {
		numbers = nil
		for i := range networkCount {
			numbers = append(numbers, firstNetwork+(os.Getpid()+i)%networkCount)
		}
	}
	for _, k := range numbers {
		if claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", k, claimPort)); err == nil {
			return network{k, claim}, nil
		}
	}
	if number != 0 {
		return network{}, fmt.Errorf("network: 127.%d.0.0/16 is taken by another run, or is not there; write another number, or leave it out", number)
	}
	return network{}, fmt.Errorf("network: all of 127.%d.0.0/16 to 127.%d.0.0/16 are taken by other runs; wait for one to end", firstNetwork, firstNetwork+networkCount-1)
}

func (n network) close() { _ = n.claim.Close() } // a failure leaves the network claimed until the process exits

// address returns the address of a router, numbered from 0, in a network.
func address(number, router int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(number), byte(router / routersPerBlock), byte(router%routersPerBlock + 1)})
	return netip.AddrPortFrom(ip, listenPort)
}

// routerAt is the inverse of address. It returns -1 if the address is not of a router.
func routerAt(a netip.AddrPort) int {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return -1
	}
	b := ip.As4()
	return int(b[2])*routersPerBlock + int(b[3]) - 1
}

// checkFree returns an error that names the first address of the fleet that is already in use.
func (n network) checkFree(routers int) error {
	for i := range routers {
		at := address(n.number, i)
		tcp, err := net.Listen("tcp", at.String())
		if err == nil {
			_ = tcp.Close() // only a check that the address is free
			var udp net.PacketConn
			if udp, err = net.ListenPacket("udp", at.String()); err == nil {
				_ = udp.Close() // only a check, too
			}
		}
		if err != nil {
			return fmt.Errorf("network: %v is taken (%w); end what listens there, or write network = another number", at, err)
		}
	}
	return nil
}
