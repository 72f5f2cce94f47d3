package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
	"spurtrestle/internal/config"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/httpwire"
	"spurtrestle/internal/resp"
)

// Behaviour that a kernel does not produce on demand is tested with a connection and a loop that only record
// calls.

type fakeConn struct {
	gnet.Conn
	ctx            any
	in             []byte
	written        string
	outboundBytes  int   // bytes that the kernel has not accepted
	writeErr       error // returned by Write
	fd             int
	onWriteFailure func(gnet.Conn)
	closed         bool
}

func (c *fakeConn) Context() any               { return c.ctx }
func (c *fakeConn) SetContext(x any)           { c.ctx = x }
func (c *fakeConn) Peek(int) ([]byte, error)   { return c.in, nil }
func (c *fakeConn) Discard(n int) (int, error) { c.in = c.in[n:]; return n, nil }
func (c *fakeConn) InboundBuffered() int       { return len(c.in) }
func (c *fakeConn) OutboundBuffered() int      { return c.outboundBytes }
func (c *fakeConn) Fd() int {
	if c.fd == 0 {
		return -1 // not the test's own standard input
	}
	return c.fd
}
func (c *fakeConn) Dup() (int, error)       { return unix.Dup(c.fd) }
func (*fakeConn) EventLoop() gnet.EventLoop { return nil }
func (c *fakeConn) Write(p []byte) (int, error) {
	if c.writeErr != nil { // gnet closes the connection within the write
		c.onWriteFailure(c)
		return 0, c.writeErr
	}
	c.written += string(p)
	return len(p), nil
}

type fakeLoop struct {
	gnet.EventLoop
	r     *Router
	mu    sync.Mutex // the timers' alarm fires on another goroutine
	queue []gnet.Runnable
	fd    int // given to connections opened from now on; 0: none
}

func (l *fakeLoop) Execute(_ context.Context, f gnet.Runnable) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, f)
	return nil
}

func (l *fakeLoop) Close(c gnet.Conn) error {
	l.closeWith(c, nil)
	return nil
}

// closeWith closes a connection with the error that gnet would report.
func (l *fakeLoop) closeWith(c gnet.Conn, err error) {
	if n := c.(*fakeConn); !n.closed {
		n.closed = true
		l.r.OnClose(c, err)
	}
}

func (l *fakeLoop) runQueued() {
	for {
		l.mu.Lock()
		work := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, f := range work {
			_ = f.Run(context.Background())
		}
		if len(work) > 0 {
			continue
		}
		if l.r.tasks.endIfEmpty() {
			return
		}
		l.r.tasks.runningSince = 0 // a run that took long has left some; the loop has read its sockets since
		l.r.runTasks()
	}
}

// originOnlyConfig has one method that must not run twice, and no server but the origin.
func originOnlyConfig() config.Config {
	cfg := config.Config{Listen: "-", Limits: config.Limits{RESP: resp.Bounds{Bulk: 1 << 16, Line: 1 << 10, Args: 8},
		Descriptors: 100, ServerConnections: 50, ClientConnections: 50, ActiveClients: 50, ClientIdleTimeout: 2e6, PartialCommandTimeout: 2e6, MaxDescriptors: 110, PipelinedCommands: 10, RequestBytes: 1 << 20, LargeValueRetryInterval: 5e3, LargeValueUnreadTimeout: 10e6, ClientShareBytes: 1 << 20, ClientInput: 1 << 20, ClientOutput: 1 << 20, ClientBufferBytes: 1 << 20}}
	cfg.Limits.ReadChunk, cfg.Limits.MemoryBytes = 1<<16, 1<<30
	cfg.Limits.Origin = httpwire.Bounds{Head: 1 << 10, Body: 1 << 16}
	cfg.Settings = routing.Settings{Routers: 1, CacheAside: true, OriginKind: "origin", ClockGranularity: 1e3, MaxAttempts: 1,
		Methods: []routing.MethodSettings{{Name: "pay", Idempotency: routing.NonIdempotent, LatencyBudget: 5e6, Criticality: 1}}}
	cfg.SavedEndpoints = []byte(`{"rev":1,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"}]}`)
	return cfg
}

func newFakeLoop(t testing.TB, cfg config.Config) *fakeLoop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	l := &fakeLoop{r: r}
	r.watch = &watch{r: r, callPending: true}
	r.loop = l
	r.sendFunc = func(owner *client, data []byte) (int, error) {
		if owner.paused {
			return sendNonblocking(owner, data)
		}
		c := owner.conn.(*fakeConn)
		if c.writeErr != nil || c.outboundBytes > 0 { // the kernel has no room
			return 0, c.writeErr
		}
		c.written += string(data)
		return len(data), nil
	}
	r.takeover.accepting = true
	r.timers.init(r)
	r.core, _ = routing.New(r.clock(), cfg.Settings, 1)
	r.applyEndpoints(r.initialEndpoints)
	l.runQueued()
	return l
}

// clientOf returns the client that handles a connection.
func clientOf(c *fakeConn) *client { return c.ctx.(*client) }

func (l *fakeLoop) open(ctx any) *fakeConn {
	if ctx == nil {
		ctx = newClient(l.r)
	}
	c := &fakeConn{ctx: ctx, fd: l.fd, onWriteFailure: func(c gnet.Conn) { _ = l.Close(c) }}
	l.r.OnOpen(c)
	return c
}

// newConnectedOrigin returns a router with one client and one idle connection to the origin, which receives all
// writes.
func newConnectedOrigin(t testing.TB) (l *fakeLoop, client, origin *fakeConn) {
	l = newFakeLoop(t, originOnlyConfig())
	origin = l.openServerConn()
	return l, l.open(nil), origin
}

// openServerConn opens a connection to the only server.
func (l *fakeLoop) openServerConn() (conn *fakeConn) {
	for _, s := range l.r.servers {
		s.dialing++
		l.r.pendingDials++
		conn = l.open(newUpstream(l.r, s))
	}
	return conn
}

// If the connection breaks before the last byte of a request was sent, the request has never run and may be
// rejected. After that it may have run, and must fail.
func Example_connectionBreaks() {
	for _, c := range []struct {
		name          string
		outboundBytes int
		writeErr      error
	}{
		{"the request was sent completely", 0, nil},
		{"part of it was still in the router's buffer", 10, nil},
		{"the write itself failed", 0, errors.New("broken pipe")},
	} {
		l, client, origin := newConnectedOrigin(new(testing.T))
		origin.outboundBytes, origin.writeErr = c.outboundBytes, c.writeErr
		client.sendWrites(l.r, "r")
		l.runQueued()
		if !origin.closed {
			_ = l.Close(origin)
		}
		l.runQueued()
		fmt.Printf("%s: %q, then %d requests and %d bytes held\n", c.name, client.written, len(l.r.requests), l.r.requestMemory.Total())
	}
	// Output:
	// the request was sent completely: "-ERR failed\r\n", then 0 requests and 0 bytes held
	// part of it was still in the router's buffer: "-BUSY\r\n", then 0 requests and 0 bytes held
	// the write itself failed: "-BUSY\r\n", then 0 requests and 0 bytes held
}

// gnet writes out its buffer after OnClose. An attempt reported as never run must not reach the server that way.
func TestNoWritesAfterClose(t *testing.T) {
	l, _, origin := newConnectedOrigin(t)
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	origin.fd, origin.outboundBytes = pair[0], 10
	_ = l.Close(origin)
	if _, err := unix.Write(pair[0], []byte("the rest")); err != unix.EPIPE {
		t.Errorf("writing after the close: got %v, want EPIPE", err)
	}
}

// An attempt that times out while it waits for a connection was never sent: it does not count against the server,
// and its request may be rejected.
func TestAttemptTimesOutBeforeConnecting(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	r := l.r
	s := origin.ctx.(*upstream).server
	_ = l.Close(origin)
	s.dialing = 1 // a dial is pending and does not end
	client.sendWrites(r, "r")
	l.runQueued()
	if len(s.waitingAttempts) != 1 {
		t.Fatal(len(s.waitingAttempts), "attempts wait, want 1")
	}
	r.timeOutAttempt(s.waitingAttempts[0])
	l.runQueued()
	if client.written != "-BUSY\r\n" || len(s.waitingAttempts) != 0 || r.counts.NotExecuted != 1 {
		t.Errorf("client got %q, %d attempts wait, counters %+v", client.written, len(s.waitingAttempts), r.counts)
	}
}

// A client whose replies have not all been written is closed neither in a drain nor to make room, until it has not
// read them for long.
func TestRepliesAreFlushedBeforeClose(t *testing.T) {
	l, client, _ := newConnectedOrigin(t)
	r := l.r
	r.limits.ClientWriteTimeout = 100e3
	client.in = resp.AppendCommand(nil, []byte("QUIT"))
	client.outboundBytes = 5
	if action := r.OnTraffic(client); action != gnet.None || r.shedClient(false) {
		t.Error("closed with a reply that has not been written", action)
	}
	r.closeIdleClients()
	r.sweepConnections()
	if client.closed {
		t.Error("closed with a reply that has not been written")
	}
	time.Sleep(150 * time.Millisecond)
	if r.sweepConnections(); !client.closed {
		t.Error("a client that does not read its replies was kept")
	}
}

// An attempt that waits for a connection is not sent once its server drains.
func TestWaitingAttemptIsNotSentToADrainingServer(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	s := origin.ctx.(*upstream).server
	_ = l.Close(origin)
	s.dialing = 1 // a dial is pending and does not end
	client.sendWrites(l.r, "r")
	l.runQueued()
	list, err := l.r.endpoints.Apply(discovery.Call{}, []byte(`{"rev":2,"all":true,"targets":[{"uid":"o","model":"origin","state":"leaving"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l.r.applyEndpoints(list)
	l.runQueued()
	late := l.open(newUpstream(l.r, s))
	if client.written != "-BUSY\r\n" || late.written != "" || !late.closed {
		t.Errorf("the client got %q, the server %q", client.written, late.written)
	}
}

// A decision and the event that its server or its client is gone may be in one batch. This used to crash the
// process.
func TestDecisionsOvertakenByEvents(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	list, err := l.r.endpoints.Apply(discovery.Call{}, []byte(`{"rev":2,"all":true,"targets":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	client.sendWrites(l.r, "r1")
	l.r.applyEndpoints(list)
	l.runQueued()
	if client.written != "-BUSY\r\n" || strings.Contains(origin.written, "r1") || len(l.r.requests) != 0 {
		t.Errorf("the client got %q, the server %q, and %d requests are left", client.written, origin.written, len(l.r.requests))
	}

	l, client, origin = newConnectedOrigin(t)
	client.sendWrites(l.r, "r1")
	_ = l.Close(client)
	l.runQueued()
	if origin.written != "" || len(l.r.requests) != 0 || l.r.counts.Abandoned != 1 {
		t.Errorf("the server got %q, and %d requests are left", origin.written, len(l.r.requests))
	}
}

// Timers fire in order of their times, those of the same time in the order they were set, and not once canceled.
func Example_timers() {
	l, _, _ := newConnectedOrigin(new(testing.T))
	r := l.r
	printText := func(text string) func() { return func() { fmt.Println(text) } }
	r.after(3e6, printText("third"))
	r.after(1e6, printText("first"))
	canceled := r.after(2e6, printText("canceled"))
	r.after(2e6, printText("second"))
	r.after(9e6, printText("too early"))
	r.cancelTimer(canceled)
	r.cancelTimer(canceled) // has no effect
	r.fireTimers(r.clock() + 4e6)
	// Output:
	// first
	// second
	// third
}

func (c *fakeConn) sendWrites(r *Router, ids ...string) {
	for _, id := range ids {
		c.in = resp.AppendCommand(c.in, []byte("CACHE.SET"), []byte("k"), []byte(id), []byte("c=pay,d=900"), []byte("v"))
	}
	r.OnTraffic(c)
}

// Without a free descriptor, an attempt waits for a connection to become free, and no dial is started.
func TestAttemptsWaitForDescriptors(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	l.r.limits.ServerConnections = 1
	client.sendWrites(l.r, "r1", "r2")
	l.runQueued()
	if strings.Count(origin.written, "PUT /k") != 1 || l.r.pendingDials != 0 || l.r.counts.Attempts != 2 {
		t.Errorf("origin got %q, %d dials, counters %+v", origin.written, l.r.pendingDials, l.r.counts)
	}
	l.r.limits.ServerConnections = descriptorsPerDial
	l.receive(origin, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	// A write needs a connection that has carried nothing: the used one is closed, and its descriptor is free for a dial.
	if strings.Contains(origin.written, "r2") || client.written != "$2\r\nok\r\n" || !origin.closed || l.r.counts.Dials != 1 {
		t.Errorf("origin got %q, client got %q, closed %v, %d dials", origin.written, client.written, origin.closed, l.r.counts.Dials)
	}
}

// Without a free descriptor, a read waits for a connection to become free and is sent on it; no dial is started.
func TestReadsAreSentOnAFreedConnection(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache := completeDial()
	l.r.limits.ServerConnections = 1
	dials := l.r.counts.Dials
	l.receive(client, command("CACHE.GET", "k", "r2", "c=get,d=1900"))
	if strings.Contains(cache.written, "r2") || l.r.counts.Dials != dials {
		t.Errorf("while the connection is busy: the cache got %q, %d dials", cache.written, l.r.counts.Dials-dials)
	}
	l.receive(cache, hitWith("1"))
	if !strings.Contains(cache.written, "r2") || client.written != "$1\r\n1\r\n" || l.r.counts.Dials != dials {
		t.Errorf("the cache got %q, client got %q, %d dials", cache.written, client.written, l.r.counts.Dials-dials)
	}
}

// A client that had just connected used to be closed to make room, and lost the request on its way. Clients that
// have been quiet for long are closed first, and none that waits for an answer.
func TestClientsClosedToMakeRoom(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	r := l.r
	client.sendWrites(r, "r1")
	l.runQueued()
	r.limits.Descriptors, r.limits.MaxDescriptors, r.limits.IdleClientEvictionAge = r.descriptorsInUse(), r.descriptorsInUse()+1, 1e6
	if fresh := l.open(nil); fresh.closed || client.closed || origin.closed {
		t.Error("a connection was closed for a new client although a descriptor was free")
	}
	if last := l.open(nil); !last.closed {
		t.Error("the last descriptor was given away")
	}
	time.Sleep(20 * time.Millisecond)
	r.limits.IdleClientEvictionAge = 10e3
	newest := l.open(nil)
	if client.closed || origin.closed || newest.closed || r.counts.EvictedConnections != 1 {
		t.Error("closed a client or server connection in use, or the newest client, or not exactly one connection")
	}
	if r.closeIdleClients(); newest.closed {
		t.Error("a client that has just connected was closed in the drain")
	}
	r.startWallClock += 20e3
	if r.closeIdleClients(); !newest.closed || client.closed {
		t.Error("in the drain a quiet client was kept, or one that waits for an answer was closed")
	}
}

// A connection that carried a large value is not closed while the kernel holds part of it: closing while the
// client sends would drop that part.
func TestLargeValuesAreFlushedBeforeClose(t *testing.T) {
	l, client, _ := newConnectedOrigin(t)
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	inner := clientOf(client)
	l.r.limits.ClientWriteTimeout = 1e6
	client.fd, inner.inKernel, inner.hasReceived = pair[0], true, true
	if _, err := unix.Write(pair[0], []byte("the value's end")); err != nil {
		t.Fatal(err)
	}
	if l.r.closeIdleClients(); client.closed {
		t.Error("closed while the kernel held the rest of the value")
	}
	if _, err := unix.Read(pair[1], make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if l.r.closeIdleClients(); !client.closed {
		t.Error("a client with nothing left to send it was kept")
	}
}

// A value that arrives slowly is read as long as it makes progress; one that stops is not.
func TestSlowValuesAreNotCutOff(t *testing.T) {
	l, client, _ := newConnectedOrigin(t)
	r := l.r
	client.in = []byte("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$11\r\nc=pay,d=900\r\n$60000\r\n" + strings.Repeat("v", 2000))
	for range 5 {
		r.OnTraffic(client)
		r.startWallClock += 1500e3
		if r.sweepConnections(); client.closed {
			t.Fatal("closed while the value makes progress")
		}
		client.in = append(client.in, strings.Repeat("v", 2000)...)
	}
	r.startWallClock += r.limits.PartialCommandTimeout
	if r.sweepConnections(); !client.closed {
		t.Error("a stopped value was not cut off")
	}
}

// Hundreds of clients that sent one request or none used to hold the descriptors, so that each attempt had to open
// a connection.
func TestExcessClientsAreClosedBeforeServerConnections(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	r := l.r
	client.sendWrites(r, "r1")
	l.runQueued()
	l.receive(origin, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	origin = l.openServerConn()
	pinging := l.open(nil) // pings do not count as requests
	pinging.in = resp.AppendCommand(nil, []byte("PING"))
	r.OnTraffic(pinging)
	r.limits.ClientConnections, r.limits.Descriptors, r.limits.MaxDescriptors = 1, r.descriptorsInUse(), r.descriptorsInUse()+1
	time.Sleep(time.Millisecond) // the newest client must be newer by the clock
	if newest := l.open(nil); !pinging.closed || client.closed || origin.closed || newest.closed {
		t.Error("want only the client without a request closed:", pinging.closed, client.closed, origin.closed, newest.closed)
	}
	r.limits.ClientConnections = 10
	if l.open(nil); client.closed || !origin.closed {
		t.Error("want the idle server connection closed, not a client within the limit:", client.closed, origin.closed)
	}
}

// A client that sends no complete command for long gets an error and is closed, at its first command as well as in
// the middle of one.
func TestSilentClientsAreClosed(t *testing.T) {
	l, silent, _ := newConnectedOrigin(t)
	r := l.r
	waiting, partial := l.open(nil), l.open(nil)
	waiting.sendWrites(r, "r1")
	idle := l.open(nil) // has had its answer, and stays connected
	idle.in = resp.AppendCommand(nil, []byte("PING"))
	r.OnTraffic(idle)
	partial.in = []byte("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\n")
	r.OnTraffic(partial)
	l.runQueued()
	r.startWallClock += 1900e3
	if r.sweepConnections(); silent.closed || partial.closed || idle.closed {
		t.Error("closed too early")
	}
	r.startWallClock += 200e3
	r.sweepConnections()
	if !silent.closed || !partial.closed || !idle.closed || waiting.closed || !strings.HasSuffix(partial.written, "-ERR nothing whole has come\r\n") {
		t.Errorf("closed: silent %v, incomplete command %v, waiting for an answer %v; reply %q", silent.closed, partial.closed, waiting.closed, partial.written)
	}
}

// Clients that kept a connection after each request had none left for further ones: the one quiet longest is
// closed, and none that waits for an answer.
func TestIdleRequestersAreShed(t *testing.T) {
	l, first, origin := newConnectedOrigin(t)
	r := l.r
	r.limits.ActiveClients = 2
	first.sendWrites(r, "r0")
	l.runQueued()
	origin.in = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	r.OnTraffic(origin)
	l.runQueued()
	pinging, second, third := l.open(nil), l.open(nil), l.open(nil)
	second.sendWrites(r, "r1")
	if first.closed {
		t.Error("closed within the limit of requesting clients")
	}
	third.sendWrites(r, "r2")
	if !first.closed || pinging.closed || second.closed || third.closed || r.requestingClients != 2 {
		t.Errorf("closed: quiet requester %v, pinging client %v, waiting clients %v and %v, want only the first; %d requesting clients, want 2",
			first.closed, pinging.closed, second.closed, third.closed, r.requestingClients)
	}
}

// A front end may listen before the loop runs: its requests are rejected until then.
func TestSubmitBeforeTheLoopRuns(t *testing.T) {
	r, err := New(config.Config{}, logrus.New())
	if err != nil {
		t.Fatal(err)
	}
	if r.Submit(&ExternalRequest{}) {
		t.Error("a request was accepted before the loop runs")
	}
}
