package scale

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// A run has a loopback network 127.K.0.0/16 for itself, claimed by a listener that is held, so that two runs never mix.
const (
	firstNet      = 70
	nets          = 40
	perNetBlock   = 250
	mostAddresses = 200 * perNetBlock
	listenPort    = 7946
	claimPort     = 6401
)

type network struct {
	number int
	claim  net.Listener
}

// claimNetwork takes the network of a number, or with 0 any that is free.
func claimNetwork(number int) (network, error) {
	numbers := []int{number}
	if number == 0 {
		numbers = nil
		for i := range nets {
			numbers = append(numbers, firstNet+(os.Getpid()+i)%nets)
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
	return network{}, fmt.Errorf("network: all of 127.%d.0.0/16 to 127.%d.0.0/16 are taken by other runs; wait for one to end", firstNet, firstNet+nets-1)
}

func (n network) close() { _ = n.claim.Close() } // nobody waits for it

// address is that of a router of the fleet, counted from 0.
func address(number, router int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(number), byte(router / perNetBlock), byte(router%perNetBlock + 1)})
	return netip.AddrPortFrom(ip, listenPort)
}

// routerAt is the inverse of address; -1 where no router has it.
func routerAt(a netip.AddrPort) int {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return -1
	}
	b := ip.As4()
	return int(b[2])*perNetBlock + int(b[3]) - 1
}

// taken tells which address of a fleet somebody listens on already.
func (n network) taken(routers int) error {
	for i := range routers {
		at := address(n.number, i)
		tcp, err := net.Listen("tcp", at.String())
		if err == nil {
			_ = tcp.Close() // it was asked whether it can be had, no more
			var udp net.PacketConn
			if udp, err = net.ListenPacket("udp", at.String()); err == nil {
				_ = udp.Close() // as above
			}
		}
		if err != nil {
			return fmt.Errorf("network: %v is taken (%w); end what listens there, or write network = another number", at, err)
		}
	}
	return nil
}
