// Package links is the network between routers: each is reached at an address of the rig, which passes on what comes, UDP
// and TCP, as the rule of that sender and receiver has it. Chance comes from a seed, packet by packet of each ordered pair.
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

// Rule is what happens on the way from one router to another. The zero value passes all on at once.
type Rule struct {
	LossShare      float64       // share of packets lost; TCP's come later, as often as they would be sent again
	Cut            bool          // nothing passes
	Reset          bool          // with Cut: connections are reset, in place of falling silent
	Delay          time.Duration // of each packet
	Jitter         time.Duration // more, evenly from nothing to this
	DuplicateShare float64       // share that comes twice
	ReorderShare   float64       // share that comes after others that were sent later
}

// late is how much later a packet that changes places comes: behind some turns of gossip.
const late = 150 * time.Millisecond

// Traffic is what passed on a way.
type Traffic struct{ Packets, Bytes, Lost int64 }

// Network is the network. Routers count from 0.
type Network struct {
	at    []netip.AddrPort // where the routers listen, each on an address of its own
	front []netip.AddrPort // where they are reached
	seed  uint64

	mu     sync.Mutex
	pairs  map[[2]int]*pair
	conns  map[*conn]struct{}
	closed bool

	udp     []*net.UDPConn
	tcp     []net.Listener
	running sync.WaitGroup
}

type pair struct {
	rule  Rule
	rand  *rand.Rand
	count Traffic
}

// New begins to pass on. at and front have one address for each router; of TCP so many ports from there on pass.
func New(at, front []netip.AddrPort, seed uint64, ports int) (*Network, error) {
	r := &Network{at: at, front: front, seed: seed, pairs: map[[2]int]*pair{}, conns: map[*conn]struct{}{}}
	for to := range at {
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(front[to]))
		if err == nil {
			r.udp = append(r.udp, u)
			for more := range uint16(ports) {
				var l net.Listener
				if l, err = net.Listen("tcp", beside(front[to], more).String()); err != nil {
					break
				}
				r.running.Go(func() { r.accept(l, to, beside(at[to], more)) })
				r.tcp = append(r.tcp, l)
			}
		}
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("the rig's way to router %d: %w", to, err)
		}
		_ = u.SetReadBuffer(1 << 20) // a smaller one only loses more
	}
	for to := range at {
		r.running.Go(func() { r.packets(to) })
	}
	return r, nil
}

// Close ends all. Routers hear nothing of one another then.
func (r *Network) Close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.end(true)
	}
	r.mu.Unlock()
	for _, u := range r.udp {
		u.Close()
	}
	for _, l := range r.tcp {
		l.Close()
	}
	r.running.Wait()
}

// SetRule gives a way a rule; what is on it already still comes, but for connections that are cut.
func (r *Network) SetRule(from, to int, rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pair(from, to).rule = rule
	for c := range r.conns {
		if rule.Cut && rule.Reset && (c.from == from && c.to == to || c.from == to && c.to == from) {
			c.end(true)
		}
	}
}

// UpdateRules changes the rule of each way from one of a group to one of another, whoever is in both.
func (r *Network) UpdateRules(from, to []int, change func(*Rule)) {
	for _, f := range from {
		for _, t := range to {
			if f != t {
				rule := r.Rule(f, t)
				change(&rule)
				r.SetRule(f, t, rule)
			}
		}
	}
}

// Rule is that of a way.
func (r *Network) Rule(from, to int) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pair(from, to).rule
}

// Sent is what a router has sent, to all.
func (r *Network) Sent(from int) (all Traffic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, x := range r.pairs {
		if p[0] == from {
			all.Packets, all.Bytes, all.Lost = all.Packets+x.count.Packets, all.Bytes+x.count.Bytes, all.Lost+x.count.Lost
		}
	}
	return all
}

func (r *Network) pair(from, to int) *pair {
	p := r.pairs[[2]int{from, to}]
	if p == nil {
		p = &pair{rand: rand.New(rand.NewPCG(r.seed, uint64(from)<<32|uint64(to)))}
		r.pairs[[2]int{from, to}] = p
	}
	return p
}

// who tells which router an address is that of.
func (r *Network) who(addr netip.Addr) int {
	for i, a := range r.at {
		if a.Addr() == addr.Unmap() {
			return i
		}
	}
	return -1
}

// packets passes on UDP to one router.
func (r *Network) packets(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, source, err := r.udp[to].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := r.who(source.Addr())
		if err != nil || from < 0 {
			continue
		}
		for _, after := range r.fate(from, to, n) {
			text := append([]byte(nil), buf[:n]...)
			send := func() { _, _ = r.udp[from].WriteToUDPAddrPort(text, r.at[to]) } // nobody listens: lost
			if after == 0 {
				send()
			} else {
				time.AfterFunc(after, send)
			}
		}
	}
}

// fate is when a packet comes, and how often.
func (r *Network) fate(from, to, size int) (after []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pair(from, to)
	// All draws are made for each packet, so that a rule does not shift those of the next.
	lost, twice, behind, more := p.rand.Float64(), p.rand.Float64(), p.rand.Float64(), p.rand.Float64()
	if p.count.Packets, p.count.Bytes = p.count.Packets+1, p.count.Bytes+int64(size); p.rule.Cut || lost < p.rule.LossShare {
		p.count.Lost++
		return nil
	}
	d := p.rule.Delay + time.Duration(more*float64(p.rule.Jitter))
	if behind < p.rule.ReorderShare {
		d += late
	}
	if after = []time.Duration{d}; twice < p.rule.DuplicateShare {
		after = append(after, d+time.Millisecond)
	}
	return after
}

// conn is a TCP connection through the rig.
type conn struct {
	from, to int
	a, b     *net.TCPConn // the caller's side and the other
	once     sync.Once
}

func (c *conn) end(reset bool) {
	c.once.Do(func() {
		for _, x := range []*net.TCPConn{c.a, c.b} {
			if x != nil {
				if reset {
					_ = x.SetLinger(0) // closed all the same
				}
				x.Close()
			}
		}
	})
}

func beside(a netip.AddrPort, more uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), a.Port()+more)
}

func (r *Network) accept(l net.Listener, to int, at netip.AddrPort) {
	for {
		a, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.running.Go(func() { r.connect(to, at, a.(*net.TCPConn)) })
	}
}

func (r *Network) connect(to int, at netip.AddrPort, a *net.TCPConn) {
	source, err := netip.ParseAddrPort(a.RemoteAddr().String())
	c := &conn{from: r.who(source.Addr()), to: to, a: a}
	if err != nil || c.from < 0 {
		c.end(true)
		return
	}
	// From the address at which the caller is reached, as the packets.
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: r.front[c.from].Addr().AsSlice()}}
	if b, err := d.Dial("tcp", at.String()); err == nil {
		c.b = b.(*net.TCPConn)
	} else {
		c.end(true)
		return
	}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		c.end(true)
		return
	}
	r.conns[c] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pump(c, c.a, c.b, c.from, c.to) })
	both.Go(func() { r.pump(c, c.b, c.a, c.to, c.from) })
	both.Wait()
	c.end(false)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// pump passes on one direction. A way that is cut takes what comes and passes nothing on, until one side gives up.
func (r *Network) pump(c *conn, in, out *net.TCPConn, from, to int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			wait, cut, reset := r.passes(from, to, n)
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
			_ = out.CloseWrite() // the other way may go on
			return
		}
	}
}

// passes tells what becomes of a piece of a connection.
func (r *Network) passes(from, to, size int) (wait time.Duration, cut, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pair(from, to)
	p.count.Packets, p.count.Bytes = p.count.Packets+1, p.count.Bytes+int64(size)
	if p.rule.Cut {
		p.count.Lost++
		return 0, !p.rule.Reset, p.rule.Reset
	}
	wait = p.rule.Delay + time.Duration(p.rand.Float64()*float64(p.rule.Jitter))
	for again := 200 * time.Millisecond; p.rand.Float64() < p.rule.LossShare; again *= 2 { // as the kernel sends again
		if p.count.Lost++; again > 3*time.Second {
			return wait, true, false
		}
		wait += again
	}
	return wait, false, false
}
