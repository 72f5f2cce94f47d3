package gossip

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/internal/fleet"
)

// What the layers below memberlist add, in bytes.
const (
	packetHeader     = 20 + 8      // IPv4 and UDP
	connectionFrames = 2*60 + 6*52 // TCP's opening, closing and acknowledgements of a short connection, half of it each way
)

// The types of memberlist's messages, each packet's first byte. They are part of its protocol and never change.
const (
	listPing = iota
	listIndirectPing
	listAck
	listSuspect
	listAlive
	listDead
	listPushPull
	listCompound
	listUser
	listCompress
	listEncrypt
	listNack
	listChecksum
)

// metered is a transport that counts all that passes through it, and loses what the links of a trial say.
type metered struct {
	memberlist.NodeAwareTransport
	traffic *fleet.Traffic
	links   fleet.FaultyLinks
	packets chan *memberlist.Packet
	streams chan net.Conn
	stop    chan struct{}
	ended   *sync.WaitGroup
}

// noLoss are links that lose nothing on purpose.
type noLoss struct{}

func (noLoss) DropsPacket(string) bool       { return false }
func (noLoss) RejectsConnection(string) bool { return false }

func meter(below memberlist.NodeAwareTransport, traffic *fleet.Traffic, links fleet.FaultyLinks) memberlist.NodeAwareTransport {
	if links == nil {
		links = noLoss{}
	}
	m := metered{below, traffic, links, make(chan *memberlist.Packet), make(chan net.Conn), make(chan struct{}), &sync.WaitGroup{}}
	m.ended.Go(m.pass)
	return m
}

// pass hands on what comes in, counted.
func (m metered) pass() {
	for {
		select {
		case <-m.stop:
			return
		case p := <-m.NodeAwareTransport.PacketCh():
			countPacket(p.Buf, m.traffic.Received)
			select {
			case m.packets <- p:
			case <-m.stop:
				return
			}
		case c := <-m.NodeAwareTransport.StreamCh():
			select {
			case m.streams <- m.count(c):
			case <-m.stop:
				_ = c.Close() // nobody is there any more
				return
			}
		}
	}
}

func (m metered) PacketCh() <-chan *memberlist.Packet { return m.packets }
func (m metered) StreamCh() <-chan net.Conn           { return m.streams }

func (m metered) WriteTo(b []byte, addr string) (time.Time, error) {
	return m.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (m metered) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	countPacket(b, m.traffic.Sent)
	if m.links.DropsPacket(to.Addr) {
		return time.Now(), nil
	}
	return m.NodeAwareTransport.WriteToAddress(b, to)
}

func (m metered) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return m.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

var errCut = errors.New("the link is cut")

func (m metered) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if m.links.RejectsConnection(to.Addr) {
		return nil, errCut
	}
	c, err := m.NodeAwareTransport.DialAddressTimeout(to, timeout)
	if err != nil {
		return nil, err
	}
	return m.count(c), nil
}

func (m metered) count(c net.Conn) net.Conn { return &meteredConn{Conn: c, traffic: m.traffic} }

func (m metered) Shutdown() error {
	err := m.NodeAwareTransport.Shutdown()
	close(m.stop)
	m.ended.Wait()
	return err
}

// meteredConn counts a connection's bytes. Whoever opened it writes first, and the first byte tells what it is for. Reads and
// writes of one connection come one after the other.
type meteredConn struct {
	net.Conn
	traffic *fleet.Traffic
	known   bool // what it is for
	use     fleet.TrafficKind
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.opened(b[:n])
	c.traffic.Received(c.use, n, 0)
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.opened(b[:n])
	c.traffic.Sent(c.use, n, 0)
	return n, err
}

// opened counts the connection itself once it is known what it is for. Each carries one message each way.
func (c *meteredConn) opened(b []byte) {
	if c.known || len(b) == 0 {
		return
	}
	c.known = true
	if c.use = mechanism(b); b[0] == listPushPull {
		c.use = fleet.FullState
	}
	c.traffic.Sent(c.use, connectionFrames/2, 1)
	c.traffic.Received(c.use, connectionFrames/2, 1)
}

// countPacket tells what a packet's bytes are for. The header counts for the first message, as does what frames several.
func countPacket(b []byte, tell func(fleet.TrafficKind, int, int)) {
	parts, whole := messages(b)
	if !whole || len(parts) == 0 {
		tell(fleet.Other, packetHeader+len(b), 1)
		return
	}
	extra := packetHeader + len(b)
	for _, part := range parts {
		extra -= len(part)
	}
	for i, part := range parts {
		if i > 0 {
			extra = 0
		}
		tell(mechanism(part), extra+len(part), 1)
	}
}

// messages splits a packet into the messages that it holds.
func messages(b []byte) (parts [][]byte, whole bool) {
	const checksum = 1 + 4
	if len(b) > checksum && b[0] == listChecksum {
		b = b[checksum:]
	}
	if len(b) < 2 || b[0] != listCompound {
		return [][]byte{b}, len(b) > 0
	}
	const length = 2
	n := int(b[1])
	lengths, rest := b[2:], b[2:]
	if len(rest) < length*n {
		return nil, false
	}
	rest = rest[length*n:]
	for i := range n {
		size := int(binary.BigEndian.Uint16(lengths[length*i:]))
		if len(rest) < size {
			return nil, false
		}
		parts, rest = append(parts, rest[:size]), rest[size:]
	}
	return parts, true
}

func mechanism(message []byte) fleet.TrafficKind {
	if len(message) == 0 {
		return fleet.Other
	}
	switch message[0] {
	case listPing, listIndirectPing, listAck, listNack:
		return fleet.Probe
	case listSuspect, listAlive, listDead:
		return fleet.Gossip
	case listUser:
		return userMechanism(message[1:])
	}
	return fleet.Other
}

func userMechanism(b []byte) fleet.TrafficKind {
	if len(b) == 0 {
		return fleet.Other
	}
	switch b[0] {
	case kindWord, kindPacked, kindAsk:
		return fleet.Heartbeat
	case kindParts:
		return fleet.ShareLease
	case kindTalk:
		return fleet.PolicyMessage
	case kindTiers:
		return fleet.Summary
	}
	return fleet.Other
}
