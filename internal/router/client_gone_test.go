package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
	"spurtrestle/internal/wire"
)

// departure is a router of which each dial is held, with clients of one protocol that leave.
type departure struct {
	t       *testing.T
	l       *notedLoop
	dials   []heldDial
	conns   []*notedConn // to servers, in the order in which they came up
	clients map[string]*notedConn
	offers  map[string]*ExternalRequest // of gRPC clients
	byGRPC  bool
}

type heldDial struct {
	addr string
	to   connHandler
}

const (
	originAddr = "127.0.0.1:1"
	cacheAddr  = "127.0.0.1:2"
	getBudget  = 2e6 // as held has it
)

func newDeparture(t *testing.T, byGRPC bool, change func(*routing.Settings)) *departure {
	l, _ := held(t, change)
	// From here on time passes by a microsecond a reading, and else where the test has it pass: how long the machine takes must not
	// decide which server a request goes to, or whether the loop counts as late.
	passed := l.r.sinceStart()
	l.r.sinceStart = func() time.Duration {
		passed += time.Microsecond
		return passed
	}
	d := &departure{t: t, l: l, clients: map[string]*notedConn{}, offers: map[string]*ExternalRequest{}, byGRPC: byGRPC}
	close(l.r.ready)
	l.r.limits.ExternalRequests = 100
	for i := range l.r.cfg.Settings.Methods {
		l.r.cfg.Settings.Methods[i].Deadline = getBudget
	}
	l.r.dialFunc = func(addr string, p connHandler, _ func(error)) { d.dials = append(d.dials, heldDial{addr, p}) }
	return d
}

// asks has a client of its own ask.
func (d *departure) asks(id, key, method string, write bool) {
	props := fmt.Sprintf("c=%s,d=1900", method)
	if d.byGRPC {
		request := &ExternalRequest{Request: wire.Request{ID: routing.RequestID(id), Key: []byte(key), Props: wire.NewProps([]byte(props)), Write: write}, Method: method, Timeout: 1900e3,
			Answer: func(wire.Answer) {}, Refuse: func(why RefusalReason) { d.t.Errorf("%s is refused: %d", id, why) }}
		d.offers[id] = request
		d.l.r.Submit(request)
		d.l.rounds()
		return
	}
	d.clients[id] = d.l.open(nil)
	words := []string{"CACHE.GET", key, id, props}
	if write {
		words = append(words, "v")
		words[0] = "CACHE.SET"
	}
	d.l.comes(d.clients[id], command(words...))
}

// leaves has a client close its connection, or cancel its call.
func (d *departure) leaves(id string) {
	if d.byGRPC {
		d.l.r.Withdraw(d.offers[id])
	} else {
		_ = d.l.Close(d.clients[id])
	}
	d.l.rounds()
}

// comesUp lets the first held dial to a server through.
func (d *departure) comesUp(addr string) *notedConn {
	d.t.Helper()
	for i, held := range d.dials {
		if held.addr == addr {
			d.dials = append(d.dials[:i:i], d.dials[i+1:]...)
			c := d.l.open(held.to)
			d.conns = append(d.conns, c)
			d.l.rounds()
			return c
		}
	}
	d.t.Fatalf("nobody dials %s", addr)
	return nil
}

// attempts counts those of a request that were begun.
func (d *departure) attempts(id string) (n int) {
	for _, c := range d.conns {
		n += strings.Count(c.wrote, id)
	}
	return n
}

// begins fails the test unless so many attempts of a request have begun.
func (d *departure) begins(id string, n int) {
	d.t.Helper()
	if got := d.attempts(id); got != n {
		d.t.Fatalf("%d attempts of %s have begun, not %d", got, id, n)
	}
}

// A client that closes its connection or cancels its call is gone: whatever its request was waiting for just then, no attempt
// of it begins more than 0.1 s later, the first, a retry or a hedge.
func TestNoAttemptForAClientThatIsGone(t *testing.T) {
	never := func(s *routing.Settings) { s.CancelAllowed = false }
	hedges := func(s *routing.Settings) { s.HedgingAllowed = true }
	tell := map[string]struct {
		change func(*routing.Settings)
		before func(d *departure) // what leads to it, of the request "gone"
	}{
		"the first attempt waits for a connection":       {nil, firstWaits},
		"the same, and attempts are not called off":      {never, firstWaits},
		"a write waits for a connection to the origin":   {never, func(d *departure) { d.asks("gone", "k", "pay", true) }},
		"a retry waits for a connection":                 {nil, retryWaits},
		"a retry waits, and attempts are not called off": {never, retryWaits},
		"a retry at the origin is scheduled": {nil, func(d *departure) {
			d.asks("gone", "k", "get", true)
			_ = d.l.Close(d.comesUp(originAddr))
			d.l.rounds()
			d.begins("gone", 1)
		}},
		"it waits for room at its cache": {never, func(d *departure) {
			for i := range 8 {
				d.asks(fmt.Sprint("other", i), "k", "get", false)
				d.comesUp(cacheAddr)
			}
			d.asks("gone", "k", "get", false)
		}},
		"it waits for another's fetch of its key": {never, func(d *departure) {
			d.asks("other", "k", "get", false)
			d.l.comes(d.comesUp(cacheAddr), "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
			d.comesUp(originAddr)
			d.asks("gone", "k", "get", false)
		}},
		"a miss waits for a connection to the origin": {never, func(d *departure) {
			d.asks("gone", "k", "get", false)
			d.l.comes(d.comesUp(cacheAddr), "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
			d.begins("gone", 1)
		}},
		"a hedge is due later": {hedges, hedgeIsDue},
		"a hedge waits for a connection": {hedges, func(d *departure) {
			hedgeIsDue(d)
			d.l.pass(500e3)
			if len(d.dials) != 1 || d.dials[0].addr != originAddr {
				d.t.Fatal("no hedge waits")
			}
		}},
	}
	for name, c := range tell {
		for _, byGRPC := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gRPC %v", name, byGRPC), func(t *testing.T) {
				stays := newDeparture(t, byGRPC, c.change)
				c.before(stays)
				began := stays.attempts("gone")
				stays.answerAllElse(began)
				if stays.attempts("gone") == began {
					t.Fatal("nor does one begin for a client that stays")
				}
				d := newDeparture(t, byGRPC, c.change)
				c.before(d)
				d.leaves("gone")
				d.answerAllElse(began)
				if n := d.attempts("gone"); n != began {
					t.Errorf("%d attempts began after the client had gone", n-began)
				}
				if len(d.l.r.requests) != 0 {
					t.Errorf("%d requests are left", len(d.l.r.requests))
				}
			})
		}
	}
}

func firstWaits(d *departure) { d.asks("gone", "k", "get", false) }

func retryWaits(d *departure) {
	d.asks("gone", "k", "get", false)
	d.l.ends(d.comesUp(cacheAddr), errIncompleteResponse)
	d.l.rounds()
	d.begins("gone", 1)
	if len(d.dials) == 0 {
		d.t.Fatal("no retry waits")
	}
}

func hedgeIsDue(d *departure) {
	d.asks("other", "k", "get", false)
	c := d.comesUp(cacheAddr)
	d.l.pass(100e3)
	d.l.comes(c, hit)
	d.asks("gone", "k", "get", false)
	d.begins("gone", 1)
	if len(d.dials) > 0 {
		d.t.Fatal("a hedge waits already")
	}
}

// answerAllElse lets time pass from a tenth of a second on: each dial comes up, and servers answer what is asked, but the first
// attempts of the request that is gone.
func (d *departure) answerAllElse(began int) {
	d.l.pass(100e3)
	for range 60 {
		for len(d.dials) > 0 {
			d.comesUp(d.dials[0].addr)
		}
		for _, c := range d.conns {
			up, is := c.ctx.(*upstream)
			if c.closed || !is || up.attempt == nil || up.attempt.request.ID == "gone" && up.attempt.number < routing.Attempt(began) {
				continue
			}
			text := hit
			if up.server.isOrigin {
				text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"
			}
			d.l.comes(c, text)
		}
		d.l.pass(50e3)
	}
}

// The process stood still, and the loop has read a request, but not yet that its client has closed: no attempt of it begins, neither
// on a connection that is open nor on one that comes up then.
func TestNoAttemptForAnEndThatLiesUnread(t *testing.T) {
	for _, late := range []bool{true, false} {
		d := newDeparture(t, false, nil)
		d.l.r.limits.LoopLagThreshold = 80e3
		for range 30 { // it has been in time for long
			d.l.pass(50e3)
		}
		d.asks("before", "k", "get", false)
		server := d.comesUp(cacheAddr)
		d.l.comes(server, hit)
		open := func() (client *notedConn, closes func()) {
			client = d.l.open(nil)
			var other int
			client.fd, other = sockets(t)
			return client, func() {
				if err := unix.Shutdown(other, unix.SHUT_RDWR); err != nil {
					t.Fatal(err)
				}
			}
		}
		waits, closes := open()
		gone, closesToo := open()
		d.asks("other", "k", "get", false) // on the open connection
		d.l.comes(waits, command("CACHE.GET", "k", "waits", "c=get,d=1900"))
		closes()
		closesToo()
		if late {
			d.l.pass(100e3)
		}
		up := d.comesUp(cacheAddr)
		if got := strings.Contains(up.wrote, "waits"); got == late {
			t.Errorf("late: %v; begun on a connection that came up: %v", late, got)
		}
		d.l.comes(server, hit)
		d.l.comes(gone, command("CACHE.GET", "k", "gone", "c=get,d=1900"))
		if got := d.attempts("gone") > 0; got == late {
			t.Errorf("late: %v; begun on an open connection: %v", late, got)
		}
		for _, c := range []*notedConn{waits, gone} {
			_ = d.l.Close(c)
		}
		d.l.rounds()
		if len(d.l.r.requests) != 0 {
			t.Errorf("%d requests are left", len(d.l.r.requests))
		}
	}
}

// lateDeparture is a departure by gRPC of a request that waits for a connection, in a loop that is late.
func lateDeparture(t *testing.T, id string) *departure {
	t.Helper()
	d := newDeparture(t, true, nil)
	d.l.r.limits.LoopLagThreshold = 80e3
	for range 30 { // it has been in time for long
		d.l.pass(50e3)
	}
	d.asks(id, "k", "get", false)
	d.l.pass(100e3)
	return d
}

// The process stood still, and the front has a call's cancel, which the loop has not come to: no attempt of it begins on a
// connection that comes up then.
func TestNoAttemptForACallThatWasWithdrawnAheadOfTheLoop(t *testing.T) {
	d := lateDeparture(t, "gone")
	d.l.r.Withdraw(d.offers["gone"])
	d.comesUp(cacheAddr)
	d.begins("gone", 0)
	if d.l.r.external.openRequests != 0 || len(d.l.r.requests) != 0 {
		t.Errorf("%d calls are open, %d requests are left", d.l.r.external.openRequests, len(d.l.r.requests))
	}
}

// The same where the front has not read the cancel yet: the attempt waits for it. A call that goes on has its attempt then.
func TestNoAttemptForACallWhoseEndLiesUnread(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		d := lateDeparture(t, "call")
		unread, gone := true, false
		d.offers["call"].HasUnreadInput = func() bool { return unread }
		d.offers["call"].ClientGone = func() bool { return gone }
		d.comesUp(cacheAddr)
		d.l.pass(5e3)
		d.begins("call", 0)
		unread, gone = false, cancelled
		d.l.pass(5e3)
		want := 1
		if cancelled {
			want = 0
		}
		d.begins("call", want)
	}
}
