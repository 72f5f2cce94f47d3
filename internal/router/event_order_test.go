package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/config"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/resp"
)

// These tests force orders of events that a kernel rarely produces: with a socket that holds bytes the loop has
// not read, a dial that the test completes, or a clock that the test advances.

// newHeldDials returns a router with a cache server and the origin, and a function that completes the next pending
// dial.
func newHeldDials(t *testing.T, change func(*routing.Settings)) (l *fakeLoop, completeDial func() *fakeConn) {
	cfg := originOnlyConfig()
	cfg.Limits.ServerIdleTimeout, cfg.Limits.IdleSweepInterval, cfg.Limits.IdleClientEvictionAge = 60e6, 250e3, 50e3
	cfg.Settings.MaxAttempts, cfg.Settings.CancelAllowed = 3, true
	cfg.Settings.Methods = append(cfg.Settings.Methods, routing.MethodSettings{Name: "get", LatencyBudget: 2e6, Criticality: 1},
		routing.MethodSettings{Name: "look", Idempotency: routing.Deduplicated, DeduplicationWindow: 400e3, LatencyBudget: 2e6, Criticality: 1})
	cfg.SavedEndpoints = []byte(`{"rev":1,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"},` +
		`{"uid":"s","endpoint":"127.0.0.1:2","model":"m","state":"active"}]}`)
	if change != nil {
		change(&cfg.Settings)
	}
	l = newFakeLoop(t, cfg)
	var dials []connHandler
	l.r.dialFunc = func(_ string, p connHandler, _ func(error)) { dials = append(dials, p) }
	return l, func() *fakeConn {
		if len(dials) == 0 {
			t.Fatal("no dial is pending")
		}
		p := dials[0]
		dials = dials[1:]
		c := l.open(p)
		l.runQueued()
		return c
	}
}

func (l *fakeLoop) receive(c *fakeConn, text string) {
	c.in = append(c.in, text...)
	if l.r.OnTraffic(c) != 0 {
		_ = l.Close(c)
	}
	l.runQueued()
}

func command(words ...string) string {
	var all [][]byte
	for _, w := range words {
		all = append(all, []byte(w))
	}
	return string(resp.AppendCommand(nil, all...))
}

// advance advances the clock.
func (l *fakeLoop) advance(by clock.Time) {
	l.r.startWallClock += by
	l.r.limits.StallThreshold = 1 << 60
	l.r.runBatch()
	l.runQueued()
}

// A retry that waits for a connection is not sent once the server's deduplication window for the first attempt may
// be over.
func TestRetryOutsideDeduplicationWindowIsNotSent(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=look,d=1900"))
	first := completeDial()
	l.advance(100e3)
	_ = l.Close(first) // the attempt may have run; its retry waits for a new connection
	l.runQueued()
	l.advance(350e3)
	if second := completeDial(); second.written != "" {
		t.Errorf("450 ms after the first attempt, with a deduplication window of 400 ms, sent %q", second.written)
	}
	if client.written != "-ERR failed\r\n" {
		t.Errorf("the client got %q", client.written)
	}
}

// socketPair returns the two ends of a real connection.
func socketPair(t *testing.T) (local, remote int) {
	two, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		unix.Close(two[0])
		unix.Close(two[1])
	})
	return two[0], two[1]
}

// A request lies unread in a client's socket when the loop is about to close the client: after a pause of the
// process, timers run before sockets are read. No code that closes silent clients closes this one.
func TestClientWithUnreadRequestIsNotClosed(t *testing.T) {
	for name, closes := range map[string]func(*Router){
		"sweep": (*Router).sweepConnections,
		"shed":  func(r *Router) { r.shedClient(false) },
		"drain": func(r *Router) { r.closingClients = true; r.closeIdleClients() },
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := newHeldDials(t, nil)
			client, empty := l.open(nil), l.open(nil)
			var other int
			client.fd, other = socketPair(t)
			empty.fd, _ = socketPair(t)
			l.receive(client, command("PING"))
			l.receive(empty, command("PING"))
			if _, err := unix.Write(other, []byte(command("CACHE.GET", "k", "r1", "c=get,d=1900"))); err != nil {
				t.Fatal(err)
			}
			l.r.startWallClock += 3e6
			l.r.batchTime = l.r.clock()
			closes(l.r)
			if name == "shed" {
				l.r.shedClient(false)
			}
			if client.closed {
				t.Error("a client with an unread request was closed")
			}
			if !empty.closed {
				t.Error("a client without unread input was kept")
			}
		})
	}
}

// A connection waits to be accepted when a drain closes the last client: the router does not end before it has
// handled it.
func TestDrainWaitsForPendingConnections(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l.r.takeover.listener = ln.(*net.TCPListener)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l.r.closingClients, l.r.shutdownDeadline = true, l.r.clock()+1e6
	if l.r.closeIdleClients(); l.r.stopped {
		t.Fatal("the router ended while a connection waited to be accepted")
	}
	l.r.takeover.enrolling.Add(1) // accepted, but not enrolled in the loop yet
	if a, err := ln.Accept(); err == nil {
		defer a.Close()
	}
	if l.r.closeIdleClients(); l.r.stopped {
		t.Fatal("the router ended while an accepted connection was being enrolled")
	}
	enrolling := newClient(l.r)
	enrolling.enrolling = true
	client := l.open(enrolling)
	if l.r.closeIdleClients(); l.r.stopped {
		t.Fatal("the router ended while a client was connected")
	}
	_ = l.Close(client)
	if l.r.closeIdleClients(); !l.r.stopped {
		t.Error("the router does not end without clients")
	}
}

// failingEnrollLoop is a loop without descriptors for further connections.
type failingEnrollLoop struct{ *fakeLoop }

func (failingEnrollLoop) Enroll(_ context.Context, c net.Conn) (<-chan gnet.RegisteredResult, error) {
	out := make(chan gnet.RegisteredResult, 1)
	out <- gnet.RegisteredResult{Err: unix.EMFILE}
	return out, c.Close()
}

// A drain does not wait for an accepted connection that could not be enrolled for lack of a descriptor.
func TestDrainIgnoresFailedEnrolls(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	l.r.loop = failingEnrollLoop{l}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.r.takeover.listener = ln.(*net.TCPListener)
	ended := make(chan struct{})
	go func() {
		l.r.acceptClients()
		close(ended)
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Read(make([]byte, 1)) // returns once the router has closed the connection
	for until := time.Now().Add(eventTimeout); l.r.takeover.enrolling.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("a connection that was not enrolled still counts as pending")
		}
	}
	ln.Close()
	<-ended
}

const eventTimeout = 3 * time.Second

// An endpoint list moves a server while a dial to its old address is pending: the waiting attempt goes to the new
// address, and the old connection is not used.
func TestDialToOutdatedAddressIsNotUsed(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	list, err := l.r.endpoints.Apply(discovery.Call{}, []byte(`{"rev":2,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"},`+
		`{"uid":"s","endpoint":"127.0.0.1:9","model":"m","state":"active"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l.r.applyEndpoints(list)
	l.runQueued()
	if old := completeDial(); old.written != "" || !old.closed {
		t.Errorf("the old address received %q, closed: %v", old.written, old.closed)
	}
	if moved := completeDial(); !strings.Contains(moved.written, "r1") || moved.ctx.(*upstream).addr != "127.0.0.1:9" {
		t.Errorf("the new address received %q", moved.written)
	}
}

// All pending requests are answered by the shutdown deadline, whatever their own deadline, including requests that
// arrive late.
func TestAllRequestsAreAnsweredByShutdownDeadline(t *testing.T) {
	l, completeDial := newHeldDials(t, func(s *routing.Settings) { s.Methods[1].LatencyBudget = 6e6 })
	close(l.r.ready)
	l.r.limits.ShutdownTimeout, l.r.limits.DrainAcceptPeriod = 3e6, 500e3
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=6000")) // sent, and no answer arrives
	completeDial()
	l.receive(client, command("CACHE.GET", "k2", "r2", "c=get,d=6000")) // waits for a connection that is never opened
	l.r.Drain()
	l.runQueued()
	l.advance(2.9e6)
	late := command("CACHE.GET", "k3", "r3", "c=get,d=6000")
	l.receive(client, late)
	l.advance(200e3)
	if n := strings.Count(client.written, "-BUSY"); n != 3 {
		t.Error(fmt.Sprint(n, " of three requests were answered by the shutdown deadline: ", client.written))
	}
}

// A draining process ends in time even if idle clients reconnect as soon as they are closed.
func TestDrainEndsWhileClientsReconnect(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	close(l.r.ready)
	l.r.limits.ShutdownTimeout, l.r.limits.DrainAcceptPeriod, l.r.limits.IdleClientEvictionAge = 3e6, 500e3, 50e3
	l.r.Drain()
	l.runQueued()
	const step = 20e3 // less than the age from which a client may be closed
	for passed := clock.Time(0); passed <= 3200e3 && !l.r.stopped; passed += step {
		for range 5 {
			l.open(nil)
		}
		l.advance(step)
	}
	if !l.r.stopped {
		t.Errorf("still running 0.2 s after the shutdown deadline, with %d clients", len(l.r.clients))
	}
}

// hitWith returns a cache server's answer with a value of one byte.
func hitWith(value string) string { return "*3\r\n$1\r\n" + value + "\r\n$-1\r\n$-1\r\n" }

var hitReply = hitWith("v")

// A server answers twice, the second time some milliseconds late. After that was seen once, a connection is not
// reused before a duplicate answer would have arrived; the next client used to get it as its own.
func TestDuplicateAnswerIsDropped(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	l.r.limits.ReuseDelay, l.r.limits.DuplicateResponseWindow = 50e3, 30e6
	client := l.open(nil)
	sendRequest := func(id string) { l.receive(client, command("CACHE.GET", "k"+id, id, "c=get,d=1900")) }
	sendRequest("r1")
	first := completeDial()
	l.receive(first, hitReply)
	l.receive(first, hitReply) // detected: no attempt was pending
	if !first.closed {
		t.Fatal("a connection with a duplicate answer was kept")
	}
	sendRequest("r2")
	second := completeDial()
	l.receive(second, hitWith("2"))
	sendRequest("r3")
	third := completeDial() // a connection of its own
	l.receive(second, "*3\r\n$5\r\nagain\r\n$-1\r\n$-1\r\n")
	if !second.closed || strings.Contains(client.written, "again") {
		t.Errorf("the duplicate answer was used: %q", client.written)
	}
	l.receive(third, hitWith("3"))
	l.advance(60e3)
	sendRequest("r4") // the connection has rested
	if l.receive(third, hitWith("4")); client.written != "$1\r\nv\r\n$1\r\n2\r\n$1\r\n3\r\n$1\r\n4\r\n" {
		t.Errorf("the client got %q", client.written)
	}
	sendRequest("r5") // a waiting attempt does not get a connection that was used just now
	sendRequest("r6")
	l.receive(third, hitWith("5"))
	if strings.Contains(third.written, "r6") {
		t.Error("a connection was reused without a rest")
	}
}

// A server has closed an idle connection, and the loop has not noticed. A request that must not run twice is not
// written to it, since it would then count as one that may have run.
func TestClosedConnectionIsNotReused(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=pay,d=900"))
	first := completeDial()
	l.receive(first, hitReply)
	var other int
	first.fd, other = socketPair(t)
	l.receive(client, command("CACHE.GET", "k", "r2", "c=pay,d=900")) // open, and used
	if l.receive(first, hitReply); !strings.Contains(first.written, "r2") {
		t.Error("an open connection was not used")
	}
	if err := unix.Shutdown(other, unix.SHUT_WR); err != nil {
		t.Fatal(err)
	}
	l.receive(client, command("CACHE.GET", "k", "r3", "c=pay,d=900"))
	if strings.Contains(first.written, "r3") {
		t.Error("the request was written to a closed connection")
	}
	if second := completeDial(); !strings.Contains(second.written, "r3") {
		t.Error("the request was not written to a new connection")
	}
}

// After a pause of the process, a connection is opened before the loop runs its timers. An attempt that waited for
// it past its deadline, or past the deduplication window, is not sent.
func TestExpiredAttemptIsNotSentOnALateConnection(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	l.r.startWallClock += 3e6
	if late := completeDial(); late.written != "" {
		t.Errorf("1.1 s after the deadline, sent %q", late.written)
	}
	l, completeDial = newHeldDials(t, nil)
	client = l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=look,d=1900"))
	first := completeDial()
	l.advance(100e3)
	_ = l.Close(first) // the attempt may have run
	l.runQueued()
	l.r.startWallClock += 350e3
	if second := completeDial(); second.written != "" {
		t.Errorf("450 ms after the first attempt, with a deduplication window of 400 ms, sent %q", second.written)
	}
}

// newConfiguredRouter returns a router with the limits of a configuration file, a discovery mode, and a function
// that completes the next pending dial, or returns nil if there is none.
func newConfiguredRouter(t *testing.T, mode string) (l *fakeLoop, completeDial func() *fakeConn) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"memory_mb":64,"sockets":256},`+
		`"settings":{"balancers":1,"discovery":%q,"domain":{"mode":"aside","origin-kind":0},"flavors":["origin"],"policy-limits":{"send-cap":1},`+
		`"rules":{},"resolution-s":0.001,"request-classes":[{"name":"get","effect":"free","slo-s":1,"deadline-s":1}]}}`, mode)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	l = newFakeLoop(t, cfg)
	var dials []connHandler
	l.r.dialFunc = func(_ string, p connHandler, _ func(error)) { dials = append(dials, p) }
	l.r.restartWatch(cfg.Discovery)
	return l, func() *fakeConn {
		if len(dials) == 0 {
			return nil
		}
		c := l.open(dials[0])
		dials = dials[1:]
		l.runQueued()
		return c
	}
}

// In mode on_request a watch may wait for 20 s. A silent one is abandoned a second later, which is a second before
// a missed update counts against the router, and the full list is requested.
func TestSilentWatchIsReplaced(t *testing.T) {
	const list = `{"rev":5,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"}]}`
	l, completeDial := newConfiguredRouter(t, "on_request")
	first := completeDial()
	l.receive(first, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	if !strings.Contains(first.written, "index=5&wait=20000") {
		t.Fatalf("the watch requested %q", first.written)
	}
	l.advance(20.9e6)
	if first.closed {
		t.Fatal("the watch was abandoned before its answer was due")
	}
	l.advance(0.2e6)
	if !first.closed {
		t.Fatal("the watch was not abandoned after 21.1 s of silence")
	}
	for range 9 { // package routing decides when: within the second
		if second := completeDial(); second != nil {
			if second.written != "GET /registry/instances HTTP/1.1\r\nHost: 127.0.0.1:2\r\n\r\n" {
				t.Errorf("the next call is %q", second.written)
			}
			return
		}
		l.advance(0.1e6)
	}
	t.Error("no call requested the list")
}

// A hanging dial to discovery ends after the grace time of a watch, however long dials to servers may take, since
// the next call waits for it.
func TestHangingDialToDiscoveryTimesOut(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	if err = errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	for range 2 { // nobody accepts: the backlog takes one connection, and the next stays pending
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	l, _ := newConfiguredRouter(t, "pushed")
	l.r.limits.ConnectTimeout, l.r.limits.WatchGrace = 60e6, 50e3
	failed := make(chan error, 1)
	l.r.pendingDials++
	l.r.dialAsync(addr, l.r.watch, func(err error) { failed <- err })
	for until := time.Now().Add(5 * time.Second); len(failed) == 0; l.runQueued() {
		if time.Now().After(until) {
			t.Fatal("the dial did not time out")
		}
		time.Sleep(time.Millisecond)
	}
	var netErr net.Error
	if err := <-failed; !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Errorf("the dial failed with %v, want a timeout", err)
	}
}
