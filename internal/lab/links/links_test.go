package links

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"
)

// addresses returns the router and proxy addresses of two routers, in a loopback network that no other test uses.
func addresses(k int) (at, front []netip.AddrPort) {
	for i := range 2 {
		at = append(at, netip.MustParseAddrPort(fmt.Sprintf("127.120.%d.%d:7946", k, i+1)))
		front = append(front, netip.MustParseAddrPort(fmt.Sprintf("127.120.%d.%d:7946", k, i+101)))
	}
	return at, front
}

// Guards against losses that differ between runs with the same seed, and checks the effect of each kind of rule on packets.
func TestRulesApplyToPackets(t *testing.T) {
	at, front := addresses(1)
	received := func(seed uint64, rule Rule) (got string) {
		r, err := New(at, front, seed, 1)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		a, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at[0]))
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		b, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at[1]))
		if err != nil {
			t.Fatal(err)
		}
		defer b.Close()
		r.SetRule(0, 1, rule)
		for i := range 40 {
			if _, err := a.WriteToUDPAddrPort([]byte{byte('A' + i)}, front[1]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		buf := make([]byte, 10)
		for {
			_ = b.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
			n, from, err := b.ReadFromUDPAddrPort(buf)
			if err != nil {
				return got
			}
			if from != front[0] {
				t.Errorf("a packet of router 0 arrived from %v", from)
			}
			got += string(buf[:n])
		}
	}
	all := received(1, Rule{})
	if len(all) != 40 {
		t.Errorf("%d of 40 packets arrived without a rule", len(all))
	}
	lossy := received(1, Rule{LossShare: 0.3})
	if again := received(1, Rule{LossShare: 0.3}); again != lossy || len(lossy) < 20 || len(lossy) > 36 {
		t.Errorf("received with the same seed: %q and %q", lossy, again)
	}
	if other := received(2, Rule{LossShare: 0.3}); other == lossy {
		t.Error("different seeds lost the same packets")
	}
	if cut := received(1, Rule{Cut: true}); cut != "" {
		t.Errorf("%q arrived over a link that is cut", cut)
	}
	if twice := received(1, Rule{DuplicateShare: 1}); len(twice) != 80 {
		t.Errorf("%d packets arrived, want two for each of 40", len(twice))
	}
	if late := received(1, Rule{ReorderShare: 0.5}); late == all || len(late) != 40 {
		t.Errorf("%q arrived, want all packets in another order", late)
	}
}

// A connection over a link that is cut goes silent, or is reset if the rule says so.
func TestRulesApplyToConnections(t *testing.T) {
	at, front := addresses(2)
	r, err := New(at, front, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ln, err := net.Listen("tcp", at[1].String())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 100)
				for {
					n, err := c.Read(buf)
					if err != nil {
						c.Close()
						return
					}
					_, _ = c.Write(buf[:n]) // the client may have gone
				}
			}()
		}
	}()
	exchange := func() string {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: at[0].Addr().AsSlice()}, Timeout: time.Second}
		c, err := d.Dial("tcp", front[1].String())
		if err != nil {
			return "no connection"
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(500 * time.Millisecond)) // a failure shows in Read
		if _, err := c.Write([]byte("hello")); err != nil {
			return "cut off"
		}
		buf := make([]byte, 10)
		n, err := c.Read(buf)
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return "silence"
		} else if err != nil {
			return "cut off"
		}
		return string(buf[:n])
	}
	for _, c := range []struct {
		there, back Rule
		want        string
	}{{Rule{}, Rule{}, "hello"}, {Rule{Cut: true}, Rule{}, "silence"}, {Rule{}, Rule{Cut: true}, "silence"},
		{Rule{Cut: true, Reset: true}, Rule{}, "cut off"}, {Rule{Delay: 50 * time.Millisecond}, Rule{}, "hello"}, {Rule{}, Rule{}, "hello"}} {
		r.SetRule(0, 1, c.there)
		r.SetRule(1, 0, c.back)
		if got := exchange(); got != c.want {
			t.Errorf("rules %+v and %+v back: got %q, want %q", c.there, c.back, got, c.want)
		}
	}
}
