// Package links emulates the network between routers with a UDP and TCP proxy in front of each router. Each ordered pair of
// routers has a rule for loss, delay, duplication, reordering and partitions. Random choices come from a seed, one set per
// packet and pair, so that a run can be repeated. The lab's fleet and rig use it; all methods may be called from any
// goroutine.
package links

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Rule says how traffic from one router to another is treated. The zero value forwards everything at once.
type Rule struct {
	LossShare      float64       // share of UDP packets lost; TCP data is delayed instead, as by retransmissions
	Cut            bool          // nothing is forwarded
	Reset          bool          // with Cut, connections are reset instead of going silent
	Delay          time.Duration // added to each packet
	Jitter         time.Duration // maximum of a further, evenly distributed delay
	DuplicateShare float64       // share of packets delivered twice
	ReorderShare   float64       // share of packets that later ones overtake
}

// reorderDelay delays a reordered packet, long enough that some rounds of gossip overtake it.
const reorderDelay = 150 * time.Millisecond

// Traffic counts what one router sent to another, lost packets included. A read from a TCP connection counts as one packet.
type Traffic struct{ Packets, Bytes, Lost int64 }

// Network forwards the traffic between routers, which are numbered from 0.
type Network struct {
	routerAddrs []netip.AddrPort // addresses where the routers listen, one IP address each
	proxyAddrs  []netip.AddrPort // addresses of their proxies
	seed        uint64

	mu          sync.Mutex
	links       map[[2]int]*link
	connections map[*connection]struct{}
	closed      bool

	udp     []*net.UDPConn
	tcp     []net.Listener
	running sync.WaitGroup
}

type link struct {
	rule  Rule
	rand  *rand.Rand
	count Traffic
}

// New starts the proxies. Both address lists have one entry per router; for TCP, the given number of consecutive ports is
// forwarded, beginning with the one of the address.
func New(routerAddrs, proxyAddrs []netip.AddrPort, seed uint64, ports int) (*Network, error) {
	nw := &Network{routerAddrs: routerAddrs, proxyAddrs: proxyAddrs, seed: seed, links: map[[2]int]*link{}, connections: map[*connection]struct{}{}}
	for to := range routerAddrs {
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(proxyAddrs[to]))
		if err == nil {
			nw.udp = append(nw.udp, u)
			for offset := range uint16(ports) {
				var l net.Listener
				if l, err = net.Listen("tcp", addPort(proxyAddrs[to], offset).String()); err != nil {
					break
				}
				nw.running.Go(func() { nw.accept(l, to, addPort(routerAddrs[to], offset)) })
				nw.tcp = append(nw.tcp, l)
			}
		}
		if err != nil {
			nw.Close()
			return nil, fmt.Errorf("starting the network proxy of router %d: %w", to, err)
		}
		_ = u.SetReadBuffer(1 << 20) // if this fails, more packets are lost
	}
	for to := range routerAddrs {
		nw.running.Go(func() { nw.forwardPackets(to) })
	}
	return nw, nil
}

// Close stops all proxies and waits for their goroutines. Routers cannot reach each other afterwards.
func (nw *Network) Close() {
	nw.mu.Lock()
	nw.closed = true
	for c := range nw.connections {
		c.end(true)
	}
	nw.mu.Unlock()
	for _, u := range nw.udp {
		u.Close()
	}
	for _, l := range nw.tcp {
		l.Close()
	}
	nw.running.Wait()
}

// SetRule sets the rule from one router to another. Packets in flight still arrive; connections are reset if the rule is Cut
// with Reset.
func (nw *Network) SetRule(from, to int, rule Rule) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.link(from, to).rule = rule
	for c := range nw.connections {
		if rule.Cut && rule.Reset && (c.from == from && c.to == to || c.from == to && c.to == from) {
			c.end(true)
		}
	}
}

// UpdateRules applies change to the rule of each pair of different routers, the first in from and the second in to.
func (nw *Network) UpdateRules(from, to []int, change func(*Rule)) {
	for _, f := range from {
		for _, t := range to {
			if f != t {
				rule := nw.Rule(f, t)
				change(&rule)
				nw.SetRule(f, t, rule)
			}
		}
	}
}

// Rule returns the rule from one router to another.
func (nw *Network) Rule(from, to int) Rule {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.link(from, to).rule
}

// Sent returns the traffic that a router has sent to all others.
func (nw *Network) Sent(from int) (all Traffic) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for p, x := range nw.links {
		if p[0] == from {
			all.Packets, all.Bytes, all.Lost = all.Packets+x.count.Packets, all.Bytes+x.count.Bytes, all.Lost+x.count.Lost
		}
	}
	return all
}

func (nw *Network) link(from, to int) *link {
	p := nw.links[[2]int{from, to}]
	if p == nil {
		p = &link{rand: rand.New(rand.NewPCG(nw.seed, uint64(from)<<32|uint64(to)))}
		nw.links[[2]int{from, to}] = p
	}
	return p
}

// routerAt returns the router that listens on an IP address, or -1.
func (nw *Network) routerAt(addr netip.Addr) int {
	for i, a := range nw.routerAddrs {
		if a.Addr() == addr.Unmap() {
			return i
		}
	}
	return -1
}

// forwardPackets forwards UDP packets to one router until the proxy is closed.
func (nw *Network) forwardPackets(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, source, err := nw.udp[to].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := nw.routerAt(source.Addr())
		if err != nil || from < 0 {
			continue
		}
		for _, after := range nw.deliveries(from, to, n) {
			text := append([]byte(nil), buf[:n]...)
			send := func() { _, _ = nw.udp[from].WriteToUDPAddrPort(text, nw.routerAddrs[to]) } // lost if the router is not listening
			if after == 0 {
				send()
			} else {
				time.AfterFunc(after, send)
			}
		}
	}
}

// deliveries returns the delay of each copy of a packet that is delivered; none if the packet is lost.
func (nw *Network) deliveries(from, to, size int) (after []time.Duration) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	p := nw.link(from, to)
	// Every packet draws the same number of random values, so that a rule does not change the values of later packets.
	lost, duplicated, reordered, offset := p.rand.Float64(), p.rand.Float64(), p.rand.Float64(), p.rand.Float64()
	if p.count.Packets, p.count.Bytes = p.count.Packets+1, p.count.Bytes+int64(size); p.rule.Cut || lost < p.rule.LossShare {
		p.count.Lost++
		return nil
	}
	d := p.rule.Delay + time.Duration(offset*float64(p.rule.Jitter))
	if reordered < p.rule.ReorderShare {
		d += reorderDelay
	}
	if after = []time.Duration{d}; duplicated < p.rule.DuplicateShare {
		after = append(after, d+time.Millisecond)
	}
	return after
}

// connection is a TCP connection through a proxy.
type connection struct {
	from, to int
	a, b     *net.TCPConn // to the router that connected, and to its target
	once     sync.Once
}

func (c *connection) end(reset bool) {
	c.once.Do(func() {
		for _, x := range []*net.TCPConn{c.a, c.b} {
			if x != nil {
				if reset {
					_ = x.SetLinger(0) // if this fails, the connection is closed without a reset
				}
				x.Close()
			}
		}
	})
}

func addPort(a netip.AddrPort, offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), a.Port()+offset)
}

func (nw *Network) accept(l net.Listener, to int, target netip.AddrPort) {
	for {
		a, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		nw.running.Go(func() { nw.connect(to, target, a.(*net.TCPConn)) })
	}
}

func (nw *Network) connect(to int, target netip.AddrPort, a *net.TCPConn) {
	source, err := netip.ParseAddrPort(a.RemoteAddr().String())
	c := &connection{from: nw.routerAt(source.Addr()), to: to, a: a}
	if err != nil || c.from < 0 {
		c.end(true)
		return
	}
	// The source is the proxy address of the caller, as it is for packets.
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: nw.proxyAddrs[c.from].Addr().AsSlice()}}
	b, err := d.Dial("tcp", target.String())
	if err != nil {
		c.end(true)
		return
	}
	c.b = b.(*net.TCPConn)
	nw.mu.Lock()
	if nw.closed {
		nw.mu.Unlock()
		c.end(true)
		return
	}
	nw.connections[c] = struct{}{}
	nw.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { nw.copyStream(c, c.a, c.b, c.from, c.to) })
	both.Go(func() { nw.copyStream(c, c.b, c.a, c.to, c.from) })
	both.Wait()
	c.end(false)
	nw.mu.Lock()
	delete(nw.connections, c)
	nw.mu.Unlock()
}

// copyStream forwards one direction of a connection. If the link is cut, it discards data until one side closes.
func (nw *Network) copyStream(c *connection, in, out *net.TCPConn, from, to int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			wait, cut, reset := nw.chunkFate(from, to, n)
			if reset {
				c.end(true)
				return
			}
			time.Sleep(wait)
			if cut {
				_, _ = io.Copy(io.Discard, in)
				c.end(false)
				return
			}
			if _, werr := out.Write(buf[:n]); werr != nil {
				c.end(true)
				return
			}
		}
		if err != nil {
			_ = out.CloseWrite() // the other direction may continue
			return
		}
	}
}

// chunkFate decides what happens to data read from a connection: its delay, and whether the connection is cut or reset.
func (nw *Network) chunkFate(from, to, size int) (wait time.Duration, cut, reset bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	p := nw.link(from, to)
	p.count.Packets, p.count.Bytes = p.count.Packets+1, p.count.Bytes+int64(size)
	if p.rule.Cut {
		p.count.Lost++
		return 0, !p.rule.Reset, p.rule.Reset
	}
	wait = p.rule.Delay + time.Duration(p.rand.Float64()*float64(p.rule.Jitter))
	for retransmitAfter := 200 * time.Millisecond; p.rand.Float64() < p.rule.LossShare; retransmitAfter *= 2 { // as the kernel sends again
		if p.count.Lost++; retransmitAfter > 3*time.Second {
			return wait, true, false
		}
		wait += retransmitAfter
	}
	return wait, false, false
}
