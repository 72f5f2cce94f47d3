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

// departureTest is a router whose dials are completed by the test, with clients of one protocol that disconnect.
type departureTest struct {
	t                *testing.T
	loop             *fakeLoop
	pendingDials     []pendingDial
	serverConns      []*fakeConn // to servers, in the order in which they were opened
	clients          map[string]*fakeConn
	externalRequests map[string]*ExternalRequest // requests of gRPC clients
	byGRPC           bool
}

type pendingDial struct {
	addr    string
	handler connHandler
}

const (
	originAddr       = "127.0.0.1:1"
	cacheAddr        = "127.0.0.1:2"
	getLatencyBudget = 2e6 // as newHeldDials sets it
)

func newDepartureTest(t *testing.T, byGRPC bool, change func(*routing.Settings)) *departureTest {
	l, _ := newHeldDials(t, change)
	// From here on, reading the clock advances it by a microsecond, and otherwise only the test does: the speed of
	// the machine must not decide which server a request is sent to, or whether the loop counts as late.
	passed := l.r.sinceStart()
	l.r.sinceStart = func() time.Duration {
		passed += time.Microsecond
		return passed
	}
	test := &departureTest{t: t, loop: l, clients: map[string]*fakeConn{}, externalRequests: map[string]*ExternalRequest{}, byGRPC: byGRPC}
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

// sendRequest sends a request of a new client.
func (d *departureTest) sendRequest(id, key, method string, write bool) {
	props := fmt.Sprintf("c=%s,d=1900", method)
	if d.byGRPC {
		request := &ExternalRequest{Request: wire.Request{ID: routing.RequestID(id), Key: []byte(key), Props: wire.NewProps([]byte(props)), Write: write}, Method: method, Timeout: 1900e3,
			Answer: func(wire.Answer) {}, Reject: func(reason RejectReason) { d.t.Errorf("%s is rejected: %d", id, reason) }}
		d.externalRequests[id] = request
		d.loop.r.Submit(request)
		d.loop.runQueued()
		return
	}
	d.clients[id] = d.loop.open(nil)
	words := []string{"CACHE.GET", key, id, props}
	if write {
		words = append(words, "v")
		words[0] = "CACHE.SET"
	}
	d.loop.receive(d.clients[id], command(words...))
}

// disconnect makes a client close its connection, or cancel its call.
func (d *departureTest) disconnect(id string) {
	if d.byGRPC {
		d.loop.r.Withdraw(d.externalRequests[id])
	} else {
		_ = d.loop.Close(d.clients[id])
	}
	d.loop.runQueued()
}

// completeDial completes the first pending dial to a server.
func (d *departureTest) completeDial(addr string) *fakeConn {
	d.t.Helper()
	for i, held := range d.pendingDials {
		if held.addr == addr {
			d.pendingDials = append(d.pendingDials[:i:i], d.pendingDials[i+1:]...)
			c := d.loop.open(held.handler)
			d.serverConns = append(d.serverConns, c)
			d.loop.runQueued()
			return c
		}
	}
	d.t.Fatalf("no dial to %s is pending", addr)
	return nil
}

// attempts counts the attempts of a request that have been sent.
func (d *departureTest) attempts(id string) (n int) {
	for _, c := range d.serverConns {
		n += strings.Count(c.written, id)
	}
	return n
}

// wantAttempts fails the test unless that many attempts of a request have been sent.
func (d *departureTest) wantAttempts(id string, n int) {
	d.t.Helper()
	if got := d.attempts(id); got != n {
		d.t.Fatalf("got %d attempts of %s, want %d", got, id, n)
	}
}

// Once a client has closed its connection or canceled its call, no attempt of its request begins more than 0.1 s
// later, whatever the request was waiting for: neither the first attempt nor a retry or a hedged request.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	noCancel := func(s *routing.Settings) { s.CancelAllowed = false }
	hedges := func(s *routing.Settings) { s.HedgingAllowed = true }
	cases := map[string]struct {
		change func(*routing.Settings)
		before func(test *departureTest) // what happens to the request "gone" before its client leaves
	}{
		"the first attempt waits for a connection":         {nil, firstAttemptWaits},
		"the first attempt waits, and cancellation is off": {noCancel, firstAttemptWaits},
		"a write waits for a connection to the origin":     {noCancel, func(test *departureTest) { test.sendRequest("gone", "k", "pay", true) }},
		"a retry waits for a connection":                   {nil, retryWaits},
		"a retry waits, and cancellation is off":           {noCancel, retryWaits},
		"a retry at the origin is scheduled": {nil, func(test *departureTest) {
			test.sendRequest("gone", "k", "get", true)
			_ = test.loop.Close(test.completeDial(originAddr))
			test.loop.runQueued()
			test.wantAttempts("gone", 1)
		}},
		"the request waits for capacity of its cache": {noCancel, func(test *departureTest) {
			for i := range 8 {
				test.sendRequest(fmt.Sprint("other", i), "k", "get", false)
				test.completeDial(cacheAddr)
			}
			test.sendRequest("gone", "k", "get", false)
		}},
		"the request waits for another request's fetch of its key": {noCancel, func(test *departureTest) {
			test.sendRequest("other", "k", "get", false)
			test.loop.receive(test.completeDial(cacheAddr), "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
			test.completeDial(originAddr)
			test.sendRequest("gone", "k", "get", false)
		}},
		"a miss waits for a connection to the origin": {noCancel, func(test *departureTest) {
			test.sendRequest("gone", "k", "get", false)
			test.loop.receive(test.completeDial(cacheAddr), "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
			test.wantAttempts("gone", 1)
		}},
		"a hedged request is scheduled": {hedges, hedgeScheduled},
		"a hedged request waits for a connection": {hedges, func(test *departureTest) {
			hedgeScheduled(test)
			test.loop.advance(500e3)
			if len(test.pendingDials) != 1 || test.pendingDials[0].addr != originAddr {
				test.t.Fatal("no hedged request waits for a connection")
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
					t.Fatal("no attempt begins for a client that stays, either")
				}
				test := newDepartureTest(t, byGRPC, c.change)
				c.before(test)
				test.disconnect("gone")
				test.answerOthers(began)
				if n := test.attempts("gone"); n != began {
					t.Errorf("%d attempts began after the client had left", n-began)
				}
				if len(test.loop.r.requests) != 0 {
					t.Errorf("%d requests are left", len(test.loop.r.requests))
				}
			})
		}
	}
}

func firstAttemptWaits(test *departureTest) { test.sendRequest("gone", "k", "get", false) }

func retryWaits(test *departureTest) {
	test.sendRequest("gone", "k", "get", false)
	test.loop.closeWith(test.completeDial(cacheAddr), errIncompleteResponse)
	test.loop.runQueued()
	test.wantAttempts("gone", 1)
	if len(test.pendingDials) == 0 {
		test.t.Fatal("no retry waits for a connection")
	}
}

func hedgeScheduled(test *departureTest) {
	test.sendRequest("other", "k", "get", false)
	c := test.completeDial(cacheAddr)
	test.loop.advance(100e3)
	test.loop.receive(c, hitReply)
	test.sendRequest("gone", "k", "get", false)
	test.wantAttempts("gone", 1)
	if len(test.pendingDials) > 0 {
		test.t.Fatal("a hedged request waits already")
	}
}

// answerOthers completes each dial and answers each attempt from 0.1 s on, except the first attempts of the
// request "gone".
func (d *departureTest) answerOthers(began int) {
	d.loop.advance(100e3)
	for range 60 {
		for len(d.pendingDials) > 0 {
			d.completeDial(d.pendingDials[0].addr)
		}
		for _, c := range d.serverConns {
			up, isUpstream := c.ctx.(*upstream)
			if c.closed || !isUpstream || up.attempt == nil || up.attempt.request.ID == "gone" && up.attempt.number < routing.Attempt(began) {
				continue
			}
			text := hitReply
			if up.server.isOrigin {
				text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"
			}
			d.loop.receive(c, text)
		}
		d.loop.advance(50e3)
	}
}

// After a pause of the process, the loop has read a request but not yet its client's disconnect. No attempt of the
// request begins, neither on an open connection nor on one that is opened then.
func TestNoAttemptForAnUnreadDisconnect(t *testing.T) {
	for _, late := range []bool{true, false} {
		test := newDepartureTest(t, false, nil)
		test.loop.r.limits.LoopLagThreshold = 80e3
		for range 30 { // the loop has been in time for long
			test.loop.advance(50e3)
		}
		test.sendRequest("before", "k", "get", false)
		server := test.completeDial(cacheAddr)
		test.loop.receive(server, hitReply)
		open := func() (client *fakeConn, disconnect func()) {
			client = test.loop.open(nil)
			var other int
			client.fd, other = socketPair(t)
			return client, func() {
				if err := unix.Shutdown(other, unix.SHUT_RDWR); err != nil {
					t.Fatal(err)
				}
			}
		}
		waiting, closeWaiting := open()
		idle, closeIdle := open()
		test.sendRequest("other", "k", "get", false) // sent on the open connection
		test.loop.receive(waiting, command("CACHE.GET", "k", "waits", "c=get,d=1900"))
		closeWaiting()
		closeIdle()
		if late {
			test.loop.advance(100e3)
		}
		up := test.completeDial(cacheAddr)
		if got := strings.Contains(up.written, "waits"); got == late {
			t.Errorf("loop late: %v; attempt begun on a new connection: %v", late, got)
		}
		test.loop.receive(server, hitWith("2"))
		test.loop.receive(idle, command("CACHE.GET", "k", "gone", "c=get,d=1900"))
		if got := test.attempts("gone") > 0; got == late {
			t.Errorf("loop late: %v; attempt begun on an open connection: %v", late, got)
		}
		for _, c := range []*fakeConn{waiting, idle} {
			_ = test.loop.Close(c)
		}
		test.loop.runQueued()
		if len(test.loop.r.requests) != 0 {
			t.Errorf("%d requests are left", len(test.loop.r.requests))
		}
	}
}

// newLateDeparture returns a departureTest with a gRPC request that waits for a connection, on a loop that is
// late.
func newLateDeparture(t *testing.T, id string) *departureTest {
	t.Helper()
	test := newDepartureTest(t, true, nil)
	test.loop.r.limits.LoopLagThreshold = 80e3
	for range 30 { // the loop has been in time for long
		test.loop.advance(50e3)
	}
	test.sendRequest(id, "k", "get", false)
	test.loop.advance(100e3)
	return test
}

// After a pause of the process, the front end has received a call's cancellation, which the loop has not
// processed. No attempt of the call begins on a connection that is opened then.
func TestNoAttemptForACallWithdrawnBeforeTheLoopReadsIt(t *testing.T) {
	test := newLateDeparture(t, "gone")
	test.loop.r.Withdraw(test.externalRequests["gone"])
	test.completeDial(cacheAddr)
	test.wantAttempts("gone", 0)
	if test.loop.r.external.openRequests != 0 || len(test.loop.r.requests) != 0 {
		t.Errorf("%d calls are open, %d requests are left", test.loop.r.external.openRequests, len(test.loop.r.requests))
	}
}

// The front end has not read the cancellation yet: the attempt waits for it to do so. If the call was not
// canceled, its attempt begins then.
func TestNoAttemptForAnUnreadCancel(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		test := newLateDeparture(t, "call")
		unread, gone := true, false
		test.externalRequests["call"].HasUnreadInput = func() bool { return unread }
		test.externalRequests["call"].ClientGone = func() bool { return gone }
		test.completeDial(cacheAddr)
		test.loop.advance(5e3)
		test.wantAttempts("call", 0)
		unread, gone = false, cancelled
		test.loop.advance(5e3)
		want := 1
		if cancelled {
			want = 0
		}
		test.wantAttempts("call", want)
	}
}
