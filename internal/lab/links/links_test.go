package links

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"
)

// ways are two routers' addresses that nobody else has.
func ways(t *testing.T, k int) (at, front []netip.AddrPort) {
	for i := range 2 {
		at = append(at, netip.MustParseAddrPort(fmt.Sprintf("127.120.%d.%d:7946", k, i+1)))
		front = append(front, netip.MustParseAddrPort(fmt.Sprintf("127.120.%d.%d:7946", k, i+101)))
	}
	return at, front
}

// What is lost is the same for the same seed, whatever else changes; a cut way passes nothing, the other all.
func TestPackets(t *testing.T) {
	at, front := ways(t, 1)
	came := func(seed uint64, rule Rule) (got string) {
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
				t.Errorf("a packet of router 0 comes from %v", from)
			}
			got += string(buf[:n])
		}
	}
	all := came(1, Rule{})
	if len(all) != 40 {
		t.Errorf("%d of 40 came with no rule", len(all))
	}
	lossy := came(1, Rule{LossShare: 0.3})
	if again := came(1, Rule{LossShare: 0.3}); again != lossy || len(lossy) < 20 || len(lossy) > 36 {
		t.Errorf("lost by the same seed: %q and %q", lossy, again)
	}
	if other := came(2, Rule{LossShare: 0.3}); other == lossy {
		t.Error("another seed loses the same")
	}
	if cut := came(1, Rule{Cut: true}); cut != "" {
		t.Errorf("%q came over a cut way", cut)
	}
	if twice := came(1, Rule{DuplicateShare: 1}); len(twice) != 80 {
		t.Errorf("%d came of 40 sent, each doubled", len(twice))
	}
	if late := came(1, Rule{ReorderShare: 0.5}); late == all || len(late) != 40 {
		t.Errorf("in order: %q", late)
	}
}

// A connection over a way that is cut falls silent, or is reset.
func TestConnections(t *testing.T) {
	at, front := ways(t, 2)
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
					_, _ = c.Write(buf[:n]) // the test reads it or not
				}
			}()
		}
	}()
	say := func() string {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: at[0].Addr().AsSlice()}, Timeout: time.Second}
		c, err := d.Dial("tcp", front[1].String())
		if err != nil {
			return "no connection"
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(500 * time.Millisecond)) // an error shows in Read
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
		if got := say(); got != c.want {
			t.Errorf("%+v, back %+v: %s, not %s", c.there, c.back, got, c.want)
		}
	}
}
