package gossip

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/internal/fleet"
)

// meteredTransport counts the traffic of another transport, and injects the faults of fleet.FaultyLinks. From its creation until
// Shutdown, a goroutine of its own forwards incoming packets and connections.
type meteredTransport struct {
	memberlist.NodeAwareTransport
	traffic *fleet.Traffic
	links   fleet.FaultyLinks
	packets chan *memberlist.Packet
	streams chan net.Conn
	stop    chan struct{}
	running *sync.WaitGroup
}

// reliableLinks injects no faults.
type reliableLinks struct{}

// DropsPacket implements fleet.FaultyLinks.
func (reliableLinks) DropsPacket(string) bool { return false }

// RejectsConnection implements fleet.FaultyLinks.
func (reliableLinks) RejectsConnection(string) bool { return false }

// errLinkCut is the error of a connection that fleet.FaultyLinks rejects.
var errLinkCut = errors.New("connect to router: rejected by fault injection")

func newMeteredTransport(inner memberlist.NodeAwareTransport, traffic *fleet.Traffic, links fleet.FaultyLinks) meteredTransport {
	if links == nil {
		links = reliableLinks{}
	}
	t := meteredTransport{
		NodeAwareTransport: inner,
		traffic:            traffic,
		links:              links,
		packets:            make(chan *memberlist.Packet),
		streams:            make(chan net.Conn),
		stop:               make(chan struct{}),
		running:            &sync.WaitGroup{},
	}
	t.running.Go(t.forward)
	return t
}

// forward counts and forwards incoming packets and connections until Shutdown.
func (t meteredTransport) forward() {
	for {
		select {
		case <-t.stop:
			return
		case packet := <-t.NodeAwareTransport.PacketCh():
			countPacket(packet.Buf, t.traffic.RecordReceived)
			select {
			case t.packets <- packet:
			case <-t.stop:
				return
			}
		case conn := <-t.NodeAwareTransport.StreamCh():
			select {
			case t.streams <- t.metered(conn):
			case <-t.stop:
				_ = conn.Close() // memberlist has stopped and no longer handles connections
				return
			}
		}
	}
}

// PacketCh implements memberlist.Transport.
func (t meteredTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t meteredTransport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport.
func (t meteredTransport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t meteredTransport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	countPacket(packet, t.traffic.RecordSent)
	if t.links.DropsPacket(to.Addr) {
		return time.Now(), nil
	}
	return t.NodeAwareTransport.WriteToAddress(packet, to)
}

// DialTimeout implements memberlist.Transport.
func (t meteredTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t meteredTransport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.links.RejectsConnection(to.Addr) {
		return nil, errLinkCut
	}
	conn, err := t.NodeAwareTransport.DialAddressTimeout(to, timeout)
	if err != nil {
		return nil, err
	}
	return t.metered(conn), nil
}

func (t meteredTransport) metered(conn net.Conn) net.Conn {
	return &meteredConn{Conn: conn, traffic: t.traffic}
}

// Shutdown implements memberlist.Transport.
func (t meteredTransport) Shutdown() error {
	err := t.NodeAwareTransport.Shutdown()
	close(t.stop)
	t.running.Wait()
	return err
}

// meteredConn counts the bytes of a connection. The side that has opened the connection writes first, and the first byte tells
// the kind of traffic. It is not safe for concurrent use: memberlist does not read and write a connection at the same time.
type meteredConn struct {
	net.Conn
	traffic    *fleet.Traffic
	classified bool
	kind       fleet.TrafficKind
}

// Read implements net.Conn.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	size, err := c.Conn.Read(buffer)
	c.classify(buffer[:size])
	c.traffic.RecordReceived(c.kind, size, 0)
	return size, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	size, err := c.Conn.Write(data)
	c.classify(data[:size])
	c.traffic.RecordSent(c.kind, size, 0)
	return size, err
}

// classify sets the kind by the first bytes in either direction. It also counts the connection: one message in each direction,
// and an estimate of the overhead of the lower layers.
func (c *meteredConn) classify(data []byte) {
	if c.classified || len(data) == 0 {
		return
	}
	c.classified = true
	c.kind = trafficKind(data)
	if data[0] == memberlistPushPull {
		c.kind = fleet.FullState
	}
	c.traffic.RecordSent(c.kind, connectionOverhead/2, 1)
	c.traffic.RecordReceived(c.kind, connectionOverhead/2, 1)
}
