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
type departureTest struct {
	t            *testing.T
	l            *fakeLoop
	pendingDials []pendingDial
	conns        []*fakeConn // to servers, in the order in which they came up
	clients      map[string]*fakeConn
	offers       map[string]*ExternalRequest // of gRPC clients
	byGRPC       bool
}

type pendingDial struct {
	addr    string
	handler connHandler
}

const (
	originAddr       = "127.0.0.1:1"
	cacheAddr        = "127.0.0.1:2"
	getLatencyBudget = 2e6 // as held has it
)

func newDepartureTest(t *testing.T, byGRPC bool, change func(*routing.Settings)) *departureTest {
	l, _ := newHeldDials(t, change)
	// From here on time passes by a microsecond a reading, and else where the test has it pass: how long the machine takes must not
	// decide which server a request goes to, or whether the loop counts as late.
	passed := l.r.sinceStart()
	l.r.sinceStart = func() time.Duration {
		passed += time.Microsecond
		return passed
	}
	test := &departureTest{t: t, l: l, clients: map[string]*fakeConn{}, offers: map[string]*ExternalRequest{}, byGRPC: byGRPC}
	close(l.r.ready)
	l.r.limits.ExternalRequests = 100
	for i := range l.r.cfg.Settings.Methods {
		l.r.cfg.Settings.Methods[i].Deadline = getLatencyBudget
	}
	l.r.dialFunc = func(addr string, p connHandler, _ func(error)) {
		test.pendingDials = append(test.pendingDials, pendingDial{addr, p})
	}
	return test
}

// asks has a client of its own ask.
func (d *departureTest) sendRequest(id, key, method string, write bool) {
	props := fmt.Sprintf("c=%s,d=1900", method)
	if d.byGRPC {
		request := &ExternalRequest{Request: wire.Request{ID: routing.RequestID(id), Key: []byte(key), Props: wire.NewProps([]byte(props)), Write: write}, Method: method, Timeout: 1900e3,
			Answer: func(wire.Answer) {}, Refuse: func(why RefusalReason) { d.t.Errorf("%s is refused: %d", id, why) }}
		d.offers[id] = request
		d.l.r.Submit(request)
		d.l.runQueued()
		return
	}
	d.clients[id] = d.l.open(nil)
	words := []string{"CACHE.GET", key, id, props}
	if write {
		words = append(words, "v")
		words[0] = "CACHE.SET"
	}
	d.l.receive(d.clients[id], command(words...))
}

// leaves has a client close its connection, or cancel its call.
func (d *departureTest) disconnect(id string) {
	if d.byGRPC {
		d.l.r.Withdraw(d.offers[id])
	} else {
		_ = d.l.Close(d.clients[id])
	}
	d.l.runQueued()
}

// comesUp lets the first held dial to a server through.
func (d *departureTest) completeDial(addr string) *fakeConn {
	d.t.Helper()
	for i, held := range d.pendingDials {
		if held.addr == addr {
			d.pendingDials = append(d.pendingDials[:i:i], d.pendingDials[i+1:]...)
			c := d.l.open(held.handler)
			d.conns = append(d.conns, c)
			d.l.runQueued()
			return c
		}
	}
	d.t.Fatalf("nobody dials %s", addr)
	return nil
}

// attempts counts those of a request that were begun.
func (d *departureTest) attempts(id string) (n int) {
	for _, c := range d.conns {
		n += strings.Count(c.written, id)
	}
	return n
}

// begins fails the test unless so many attempts of a request have begun.
func (d *departureTest) wantAttempts(id string, n int) {
	d.t.Helper()
	if got := d.attempts(id); got != n {
		d.t.Fatalf("%d attempts of %s have begun, not %d", got, id, n)
	}
}

// A client that closes its connection or cancels its call is gone: whatever its request was waiting for just then, no attempt
// of it begins more than 0.1 s later, the first, a retry or a hedge.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	noCancel := func(s *routing.Settings) { s.CancelAllowed = false }
	hedges := func(s *routing.Settings) { s.HedgingAllowed = true }
	cases := map[string]struct {
		change func(*routing.Settings)
		before func(test *departureTest) // what leads to it, of the request "gone"
	}{
		"the first attempt waits for a connection":       {nil, firstAttemptWaits},
		"the same, and attempts are not called off":      {noCancel, firstAttemptWaits},
		"a write waits for a connection to the origin":   {noCancel, func(test *departureTest) { test.sendRequest("gone", "k", "pay", true) }},
		"a retry waits for a connection":                 {nil, retryWaits},
		"a retry waits, and attempts are not called off": {noCancel, retryWaits},
		"a retry at the origin is scheduled": {nil, func(test *departureTest) {
			test.sendRequest("gone", "k", "get", true)
			_ = test.l.Close(test.completeDial(originAddr))
			test.l.runQueued()
			test.wantAttempts("gone", 1)
		}},
		"it waits for room at its cache": {noCancel, func(test *departureTest) {
			for i := range 8 {
				test.sendRequest(fmt.Sprint("other", i), "k", "get", false)
				test.completeDial(cacheAddr)
			}
			test.sendRequest("gone", "k", "get", false)
		}},
		"it waits for another's fetch of its key": {noCancel, func(test *departureTest) {
			test.sendRequest("other", "k", "get", false)
			test.l.receive(test.completeDial(cacheAddr), "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
			test.completeDial(originAddr)
			test.sendRequest("gone", "k", "get", false)
		}},
		"a miss waits for a connection to the origin": {noCancel, func(test *departureTest) {
			test.sendRequest("gone", "k", "get", false)
			test.l.receive(test.completeDial(cacheAddr), "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
			test.wantAttempts("gone", 1)
		}},
		"a hedge is due later": {hedges, hedgeScheduled},
		"a hedge waits for a connection": {hedges, func(test *departureTest) {
			hedgeScheduled(test)
			test.l.advance(500e3)
			if len(test.pendingDials) != 1 || test.pendingDials[0].addr != originAddr {
				test.t.Fatal("no hedge waits")
			}
		}},
	}
	for name, c := range cases {
		for _, byGRPC := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gRPC %v", name, byGRPC), func(t *testing.T) {
				stays := newDepartureTest(t, byGRPC, c.change)
				c.before(stays)
				began := stays.attempts("gone")
				stays.answerOthers(began)
				if stays.attempts("gone") == began {
					t.Fatal("nor does one begin for a client that stays")
				}
				test := newDepartureTest(t, byGRPC, c.change)
				c.before(test)
				test.disconnect("gone")
				test.answerOthers(began)
				if n := test.attempts("gone"); n != began {
					t.Errorf("%d attempts began after the client had gone", n-began)
				}
				if len(test.l.r.requests) != 0 {
					t.Errorf("%d requests are left", len(test.l.r.requests))
				}
			})
		}
	}
}

func firstAttemptWaits(test *departureTest) { test.sendRequest("gone", "k", "get", false) }

func retryWaits(test *departureTest) {
	test.sendRequest("gone", "k", "get", false)
	test.l.closeWith(test.completeDial(cacheAddr), errIncompleteResponse)
	test.l.runQueued()
	test.wantAttempts("gone", 1)
	if len(test.pendingDials) == 0 {
		test.t.Fatal("no retry waits")
	}
}

func hedgeScheduled(test *departureTest) {
	test.sendRequest("other", "k", "get", false)
	c := test.completeDial(cacheAddr)
	test.l.advance(100e3)
	test.l.receive(c, hitReply)
	test.sendRequest("gone", "k", "get", false)
	test.wantAttempts("gone", 1)
	if len(test.pendingDials) > 0 {
		test.t.Fatal("a hedge waits already")
	}
}

// answerAllElse lets time pass from a tenth of a second on: each dial comes up, and servers answer what is asked, but the first
// attempts of the request that is gone.
func (d *departureTest) answerOthers(began int) {
	d.l.advance(100e3)
	for range 60 {
		for len(d.pendingDials) > 0 {
			d.completeDial(d.pendingDials[0].addr)
		}
		for _, c := range d.conns {
			up, is := c.ctx.(*upstream)
			if c.closed || !is || up.attempt == nil || up.attempt.request.ID == "gone" && up.attempt.number < routing.Attempt(began) {
				continue
			}
			text := hitReply
			if up.server.isOrigin {
				text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"
			}
			d.l.receive(c, text)
		}
		d.l.advance(50e3)
	}
}

// The process stood still, and the loop has read a request, but not yet that its client has closed: no attempt of it begins, neither
// on a connection that is open nor on one that comes up then.
func TestNoAttemptForAnUnreadDisconnect(t *testing.T) {
	for _, late := range []bool{true, false} {
		test := newDepartureTest(t, false, nil)
		test.l.r.limits.LoopLagThreshold = 80e3
		for range 30 { // it has been in time for long
			test.l.advance(50e3)
		}
		test.sendRequest("before", "k", "get", false)
		server := test.completeDial(cacheAddr)
		test.l.receive(server, hitReply)
		open := func() (client *fakeConn, closeWaiting func()) {
			client = test.l.open(nil)
			var other int
			client.fd, other = socketPair(t)
			return client, func() {
				if err := unix.Shutdown(other, unix.SHUT_RDWR); err != nil {
					t.Fatal(err)
				}
			}
		}
		waits, closeWaiting := open()
		idle, closeIdle := open()
		test.sendRequest("other", "k", "get", false) // on the open connection
		test.l.receive(waits, command("CACHE.GET", "k", "waits", "c=get,d=1900"))
		closeWaiting()
		closeIdle()
		if late {
			test.l.advance(100e3)
		}
		up := test.completeDial(cacheAddr)
		if got := strings.Contains(up.written, "waits"); got == late {
			t.Errorf("late: %v; begun on a connection that came up: %v", late, got)
		}
		test.l.receive(server, hitReply)
		test.l.receive(idle, command("CACHE.GET", "k", "gone", "c=get,d=1900"))
		if got := test.attempts("gone") > 0; got == late {
			t.Errorf("late: %v; begun on an open connection: %v", late, got)
		}
		for _, c := range []*fakeConn{waits, idle} {
			_ = test.l.Close(c)
		}
		test.l.runQueued()
		if len(test.l.r.requests) != 0 {
			t.Errorf("%d requests are left", len(test.l.r.requests))
		}
	}
}

// lateDeparture is a departure by gRPC of a request that waits for a connection, in a loop that is late.
func newLateDeparture(t *testing.T, id string) *departureTest {
	t.Helper()
	test := newDepartureTest(t, true, nil)
	test.l.r.limits.LoopLagThreshold = 80e3
	for range 30 { // it has been in time for long
		test.l.advance(50e3)
	}
	test.sendRequest(id, "k", "get", false)
	test.l.advance(100e3)
	return test
}

// The process stood still, and the front has a call's cancel, which the loop has not come to: no attempt of it begins on a
// connection that comes up then.
func TestNoAttemptForACallWithdrawnBeforeTheLoopReadsIt(t *testing.T) {
	test := newLateDeparture(t, "gone")
	test.l.r.Withdraw(test.offers["gone"])
	test.completeDial(cacheAddr)
	test.wantAttempts("gone", 0)
	if test.l.r.external.openRequests != 0 || len(test.l.r.requests) != 0 {
		t.Errorf("%d calls are open, %d requests are left", test.l.r.external.openRequests, len(test.l.r.requests))
	}
}

// The same where the front has not read the cancel yet: the attempt waits for it. A call that goes on has its attempt then.
func TestNoAttemptForAnUnreadCancel(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		test := newLateDeparture(t, "call")
		unread, gone := true, false
		test.offers["call"].HasUnreadInput = func() bool { return unread }
		test.offers["call"].ClientGone = func() bool { return gone }
		test.completeDial(cacheAddr)
		test.l.advance(5e3)
		test.wantAttempts("call", 0)
		unread, gone = false, cancelled
		test.l.advance(5e3)
		want := 1
		if cancelled {
			want = 0
		}
		test.wantAttempts("call", want)
	}
}
