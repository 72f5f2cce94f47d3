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
	"spurtrestle/internal/httpwire"
	"spurtrestle/internal/resp"
)

// What a kernel does not do on demand is tested with a connection and a loop that only note what they are asked for.

type fakeConn struct {
	gnet.Conn
	ctx            any
	in             []byte
	written        string
	outboundBytes  int   // bytes that the kernel would not take
	writeErr       error // of a write
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
		return -1 // not the test's own input
	}
	return c.fd
}
func (c *fakeConn) Dup() (int, error)         { return unix.Dup(c.fd) }
func (c *fakeConn) EventLoop() gnet.EventLoop { return nil }
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
	mu    sync.Mutex // the alarm of the timers comes from elsewhere
	queue []gnet.Runnable
	fd    int // of connections that are opened from now on; 0: they have none
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

// ends: a connection is no more, for a reason as gnet tells it.
func (l *fakeLoop) closeWith(c gnet.Conn, why error) {
	if n := c.(*fakeConn); !n.closed {
		n.closed = true
		l.r.OnClose(c, why)
	}
}

func (l *fakeLoop) runQueued() {
	for {
		l.mu.Lock()
		work := l.queue
		l.queue = nil
		l.mu.Unlock()
		if len(work) == 0 {
			return
		}
		for _, f := range work {
			_ = f.Run(context.Background())
		}
	}
}

// notedConfig is one of a method that must not run twice, with the origin alone.
func originOnlyConfig() config.Config {
	cfg := config.Config{Listen: "-", Limits: config.Limits{RESP: resp.Bounds{Bulk: 1 << 16, Line: 1 << 10, Args: 8},
		Descriptors: 100, ServerConnections: 50, ClientConnections: 50, ActiveClients: 50, SilentClientTimeout: 2e6, PartialCommandTimeout: 2e6, MaxDescriptors: 110, PipelinedCommands: 10, RequestBytes: 1 << 20, ClientInput: 1 << 20, ClientOutput: 1 << 20, ClientBufferBytes: 1 << 20}}
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
	r.takeover.accepting = true
	r.timers.init(r)
	r.core, _ = routing.New(r.clock(), cfg.Settings, 1)
	r.applyEndpoints(r.initialEndpoints)
	l.runQueued()
	return l
}

// peerOf is the client behind a connection.
func clientOf(c *fakeConn) *client { return c.ctx.(*client) }

func (l *fakeLoop) open(ctx any) *fakeConn {
	if ctx == nil {
		ctx = &client{r: l.r}
	}
	c := &fakeConn{ctx: ctx, fd: l.fd, onWriteFailure: func(c gnet.Conn) { _ = l.Close(c) }}
	l.r.OnOpen(c)
	return c
}

// newNoted returns a router with one client and one idle connection to the origin, to which all writes go.
func newConnectedOrigin(t testing.TB) (l *fakeLoop, client, origin *fakeConn) {
	l = newFakeLoop(t, originOnlyConfig())
	for _, s := range l.r.servers {
		s.dialing++
		l.r.pendingDials++
		origin = l.open(&upstream{r: l.r, server: s, addr: s.addr})
	}
	return l, l.open(nil), origin
}

// A break before the last byte has left us means that the request never ran, so that it may be rejected; after that it may
// have run, and only a failure may be told.
func Example_breaks() {
	for _, c := range []struct {
		name  string
		left  int
		fails error
	}{
		{"all had left", 0, nil},
		{"some was still in our buffer", 10, nil},
		{"the write itself failed", 0, errors.New("broken pipe")},
	} {
		l, client, origin := newConnectedOrigin(new(testing.T))
		origin.outboundBytes, origin.writeErr = c.left, c.fails
		client.sendWrites(l.r, "r")
		l.runQueued()
		if !origin.closed {
			_ = l.Close(origin)
		}
		l.runQueued()
		fmt.Printf("%s: %q, then %d requests and %d bytes held\n", c.name, client.written, len(l.r.requests), l.r.requestBytes)
	}
	// Output:
	// all had left: "-ERR failed\r\n", then 0 requests and 0 bytes held
	// some was still in our buffer: "-BUSY\r\n", then 0 requests and 0 bytes held
	// the write itself failed: "-BUSY\r\n", then 0 requests and 0 bytes held
}

// gnet writes out what is buffered after OnClose. What was told as never run must not run all the same.
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
		t.Errorf("the rest could be written: %v", err)
	}
}

// An attempt whose time is over while it waits for a connection was never sent: no blame, and it may be rejected.
func TestAttemptTimesOutBeforeConnecting(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	r := l.r
	s := origin.ctx.(*upstream).server
	_ = l.Close(origin)
	s.dialing = 1 // one dial is out, and does not end
	client.sendWrites(r, "r")
	l.runQueued()
	if len(s.waitingAttempts) != 1 {
		t.Fatal(len(s.waitingAttempts), "write-outs wait")
	}
	r.timeOutAttempt(s.waitingAttempts[0])
	l.runQueued()
	if client.written != "-BUSY\r\n" || len(s.waitingAttempts) != 0 || r.counts.NeverRan != 1 {
		t.Errorf("%q, %d wait, %+v", client.written, len(s.waitingAttempts), r.counts)
	}
}

// A client whose answers have not all left is neither closed at the end nor to make room, until it has long taken none.
func TestRepliesAreFlushedBeforeClose(t *testing.T) {
	l, client, _ := newConnectedOrigin(t)
	r := l.r
	r.limits.ClientWriteTimeout = 100e3
	client.in = resp.AppendCommand(nil, []byte("QUIT"))
	client.outboundBytes = 5
	if action := r.OnTraffic(client); action != gnet.None || r.shedClient(false) {
		t.Error("closed with an answer that has not left", action)
	}
	r.closeIdleClients()
	r.sweepConnections()
	if client.closed {
		t.Error("closed with an answer that has not left")
	}
	time.Sleep(150 * time.Millisecond)
	if r.sweepConnections(); !client.closed {
		t.Error("a client that takes no answers stays")
	}
}

// An attempt that waits for a connection is not sent once its server drains.
func TestWaitingAttemptIsNotSentToADrainingServer(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	s := origin.ctx.(*upstream).server
	_ = l.Close(origin)
	s.dialing = 1 // one dial is out, and does not end
	client.sendWrites(l.r, "r")
	l.runQueued()
	list, err := l.r.endpoints.Apply([]byte(`{"rev":2,"all":true,"targets":[{"uid":"o","model":"origin","state":"leaving"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l.r.applyEndpoints(list)
	l.runQueued()
	late := l.open(&upstream{r: l.r, server: s})
	if client.written != "-BUSY\r\n" || late.written != "" || !late.closed {
		t.Errorf("the client got %q, the server %q", client.written, late.written)
	}
}

// A decision and the news that its server is gone, or that its client is, may meet in one batch. The program crashed.
func TestDecisionsOvertakenByEvents(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	list, err := l.r.endpoints.Apply([]byte(`{"rev":2,"all":true,"targets":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	client.sendWrites(l.r, "r1")
	l.r.applyEndpoints(list)
	l.runQueued()
	if client.written != "-BUSY\r\n" || strings.Contains(origin.written, "r1") || len(l.r.requests) != 0 {
		t.Errorf("the client got %q, the server %q, and %d reqs are left", client.written, origin.written, len(l.r.requests))
	}

	l, client, origin = newConnectedOrigin(t)
	client.sendWrites(l.r, "r1")
	_ = l.Close(client)
	l.runQueued()
	if origin.written != "" || len(l.r.requests) != 0 || l.r.counts.Left != 1 {
		t.Errorf("the server got %q, and %d reqs are left", origin.written, len(l.r.requests))
	}
}

// Timers fire in the order of their times, those of one time in the order they were set, and not once cancelled.
func Example_timers() {
	l, _, _ := newConnectedOrigin(new(testing.T))
	r := l.r
	say := func(text string) func() { return func() { fmt.Println(text) } }
	r.after(3e6, say("third"))
	r.after(1e6, say("first"))
	gone := r.after(2e6, say("cancelled"))
	r.after(2e6, say("second"))
	r.after(9e6, say("too early"))
	r.cancel(gone)
	r.cancel(gone)
	r.fireTimers(r.clock() + 4e6)
	// Output:
	// first
	// second
	// third
}

// What all clients hold together is bounded: the one that holds most is closed.
func TestLargestBufferHolderIsClosed(t *testing.T) {
	l, client, _ := newConnectedOrigin(t)
	other := l.open(nil)
	l.r.limits.ClientBufferBytes = 1000
	client.outboundBytes, other.outboundBytes = 300, 800
	l.r.noteClientBuffer(1001)
	if client.closed || !other.closed {
		t.Errorf("closed: %v and %v", client.closed, other.closed)
	}
}

func (c *fakeConn) sendWrites(r *Router, ids ...string) {
	for _, id := range ids {
		c.in = resp.AppendCommand(c.in, []byte("CACHE.SET"), []byte("k"), []byte(id), []byte("c=pay,d=900"), []byte("v"))
	}
	r.OnTraffic(c)
}

// Without a descriptor to spare an attempt waits for a connection that gets free, and none is dialled.
func TestAttemptsWaitForDescriptors(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	l.r.limits.ServerConnections = 1
	client.sendWrites(l.r, "r1", "r2")
	l.runQueued()
	if strings.Count(origin.written, "PUT /k") != 1 || l.r.pendingDials != 0 || l.r.counts.Attempts != 2 {
		t.Errorf("%q, %d dials, %+v", origin.written, l.r.pendingDials, l.r.counts)
	}
	origin.in = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	l.r.OnTraffic(origin)
	l.runQueued()
	if !strings.Contains(origin.written, "r2") || client.written != "$2\r\nok\r\n" || l.r.pendingDials != 0 {
		t.Errorf("%q, %q, %d dials", origin.written, client.written, l.r.pendingDials)
	}
}

// A client that has just come in was closed to make room while its first request was on its way, and lost it. Those quiet
// for long go first, and none goes while it waits for an answer.
func TestClientsClosedToMakeRoom(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	r := l.r
	client.sendWrites(r, "r1")
	l.runQueued()
	r.limits.Descriptors, r.limits.MaxDescriptors, r.limits.QuietClientAge = r.descriptorsInUse(), r.descriptorsInUse()+1, 1e6
	if fresh := l.open(nil); fresh.closed || client.closed || origin.closed {
		t.Error("a client that came in had another closed, or itself, though there was a descriptor")
	}
	if last := l.open(nil); !last.closed {
		t.Error("the last descriptor was given away")
	}
	time.Sleep(20 * time.Millisecond)
	r.limits.QuietClientAge = 10e3
	newest := l.open(nil)
	if client.closed || origin.closed || newest.closed || r.counts.Shed != 1 {
		t.Error("one that waits for an answer was closed, or the newest")
	}
	if r.closeIdleClients(); newest.closed {
		t.Error("one that has just come in was closed at the end")
	}
	r.startWallClock += 20e3
	if r.closeIdleClients(); !newest.closed || client.closed {
		t.Error("at the end the quiet one stays, or one that waits for an answer was closed")
	}
}

// A connection that carried a big value is not closed while the kernel has some of it: a close that crosses what its
// client sends would drop that.
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
	client.fd, inner.carriedLargeRead, inner.hasReceived = pair[0], true, true
	if _, err := unix.Write(pair[0], []byte("the value's end")); err != nil {
		t.Fatal(err)
	}
	if l.r.closeIdleClients(); client.closed {
		t.Error("closed, and the rest of the value is lost")
	}
	if _, err := unix.Read(pair[1], make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if l.r.closeIdleClients(); !client.closed {
		t.Error("it stays")
	}
}

// A value that comes slowly is waited for while it flows; one that stops is not.
func TestSlowValuesAreNotCutOff(t *testing.T) {
	l, client, _ := newConnectedOrigin(t)
	r := l.r
	client.in = []byte("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$11\r\nc=pay,d=900\r\n$60000\r\n" + strings.Repeat("v", 2000))
	for range 5 {
		r.OnTraffic(client)
		r.startWallClock += 1500e3
		if r.sweepConnections(); client.closed {
			t.Fatal("cut while it flows")
		}
		client.in = append(client.in, strings.Repeat("v", 2000)...)
	}
	r.startWallClock += r.limits.PartialCommandTimeout
	if r.sweepConnections(); !client.closed {
		t.Error("it waits for ever")
	}
}

// Hundreds that asked once and stayed, or never asked, took the descriptors: each attempt then paid for a connection.
func TestExcessClientsAreClosedBeforeServerConnections(t *testing.T) {
	l, client, origin := newConnectedOrigin(t)
	r := l.r
	client.sendWrites(r, "r1")
	l.runQueued()
	origin.in = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	r.OnTraffic(origin)
	l.runQueued()
	never := l.open(nil) // what only pings is no better than one that is silent
	never.in = resp.AppendCommand(nil, []byte("PING"))
	r.OnTraffic(never)
	r.limits.ClientConnections, r.limits.Descriptors, r.limits.MaxDescriptors = 1, r.descriptorsInUse(), r.descriptorsInUse()+1
	time.Sleep(time.Millisecond) // the newest must be newer by the clock
	if newest := l.open(nil); !never.closed || client.closed || origin.closed || newest.closed {
		t.Error("the one that never asked should have gone:", never.closed, client.closed, origin.closed, newest.closed)
	}
	r.limits.ClientConnections = 10
	if l.open(nil); client.closed || !origin.closed {
		t.Error("within their part no client goes while a server's connection is idle:", client.closed, origin.closed)
	}
}

// A client that says nothing whole for long is told so and closed, at its first command and in the middle of one.
func TestSilentClientsAreClosed(t *testing.T) {
	l, silent, _ := newConnectedOrigin(t)
	r := l.r
	asked, part := l.open(nil), l.open(nil)
	asked.sendWrites(r, "r1")
	once := l.open(nil) // it has had its answer, and stays
	once.in = resp.AppendCommand(nil, []byte("PING"))
	r.OnTraffic(once)
	part.in = []byte("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\n")
	r.OnTraffic(part)
	l.runQueued()
	r.startWallClock += 1900e3
	if r.sweepConnections(); silent.closed || part.closed || once.closed {
		t.Error("closed too early")
	}
	r.startWallClock += 200e3
	r.sweepConnections()
	if !silent.closed || !part.closed || !once.closed || asked.closed || !strings.HasSuffix(part.written, "-ERR nothing whole has come\r\n") {
		t.Errorf("closed: %v, %v and %v; told %q", silent.closed, part.closed, asked.closed, part.written)
	}
}

// Clients that ask once and keep the connection had none left to ask on: the one quiet longest goes, none that waits.
func TestIdleRequestersAreShed(t *testing.T) {
	l, first, origin := newConnectedOrigin(t)
	r := l.r
	r.limits.ActiveClients = 2
	first.sendWrites(r, "r0")
	l.runQueued()
	origin.in = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	r.OnTraffic(origin)
	l.runQueued()
	pings, second, third := l.open(nil), l.open(nil), l.open(nil)
	second.sendWrites(r, "r1")
	if first.closed {
		t.Error("closed within the bound")
	}
	third.sendWrites(r, "r2")
	if !first.closed || pings.closed || second.closed || third.closed || r.requestingClients != 2 {
		t.Error(first.closed, pings.closed, second.closed, third.closed, r.requestingClients)
	}
}

// A front may listen before the loop runs: what it offers then is refused.
func TestSubmitBeforeTheLoopRuns(t *testing.T) {
	r, err := New(config.Config{}, logrus.New())
	if err != nil {
		t.Fatal(err)
	}
	if r.Submit(&ExternalRequest{}) {
		t.Error("it is taken, and the loop will never come to it")
	}
}
