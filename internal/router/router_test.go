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

type notedConn struct {
	gnet.Conn
	ctx     any
	in      []byte
	wrote   string
	left    int   // bytes that the kernel would not take
	fails   error // of a write
	fd      int
	closing func(gnet.Conn)
	closed  bool
}

func (c *notedConn) Context() any               { return c.ctx }
func (c *notedConn) SetContext(x any)           { c.ctx = x }
func (c *notedConn) Peek(int) ([]byte, error)   { return c.in, nil }
func (c *notedConn) Discard(n int) (int, error) { c.in = c.in[n:]; return n, nil }
func (c *notedConn) InboundBuffered() int       { return len(c.in) }
func (c *notedConn) OutboundBuffered() int      { return c.left }
func (c *notedConn) Fd() int {
	if c.fd == 0 {
		return -1 // not the test's own input
	}
	return c.fd
}
func (c *notedConn) Dup() (int, error)         { return unix.Dup(c.fd) }
func (c *notedConn) EventLoop() gnet.EventLoop { return nil }
func (c *notedConn) Write(p []byte) (int, error) {
	if c.fails != nil { // gnet closes the connection within the write
		c.closing(c)
		return 0, c.fails
	}
	c.wrote += string(p)
	return len(p), nil
}

type notedLoop struct {
	gnet.EventLoop
	r    *Router
	mu   sync.Mutex // the alarm of the timers comes from elsewhere
	work []gnet.Runnable
	fd   int // of connections that are opened from now on; 0: they have none
}

func (l *notedLoop) Execute(_ context.Context, f gnet.Runnable) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work = append(l.work, f)
	return nil
}

func (l *notedLoop) Close(c gnet.Conn) error {
	l.ends(c, nil)
	return nil
}

// ends: a connection is no more, for a reason as gnet tells it.
func (l *notedLoop) ends(c gnet.Conn, why error) {
	if n := c.(*notedConn); !n.closed {
		n.closed = true
		l.r.OnClose(c, why)
	}
}

func (l *notedLoop) rounds() {
	for {
		l.mu.Lock()
		work := l.work
		l.work = nil
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
func notedConfig() config.Config {
	cfg := config.Config{Listen: "-", Limits: config.Limits{RESP: resp.Bounds{Bulk: 1 << 16, Line: 1 << 10, Args: 8},
		Descriptors: 100, ServerConnections: 50, ClientConnections: 50, ActiveClients: 50, ClientIdleTimeout: 2e6, PartialCommandTimeout: 2e6, MaxDescriptors: 110, PipelinedCommands: 10, RequestBytes: 1 << 20, ClientInput: 1 << 20, ClientOutput: 1 << 20, ClientBufferBytes: 1 << 20}}
	cfg.Limits.Origin = httpwire.Bounds{Head: 1 << 10, Body: 1 << 16}
	cfg.Settings = routing.Settings{Routers: 1, CacheAside: true, OriginKind: "origin", ClockGranularity: 1e3, MaxAttempts: 1,
		Methods: []routing.MethodSettings{{Name: "pay", Idempotency: routing.NonIdempotent, LatencyBudget: 5e6, Criticality: 1}}}
	cfg.SavedEndpoints = []byte(`{"rev":1,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"}]}`)
	return cfg
}

func newLoop(t testing.TB, cfg config.Config) *notedLoop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	l := &notedLoop{r: r}
	r.watch = &watch{r: r, calling: true}
	r.loop = l
	r.takeover.accepting = true
	r.timers.init(r)
	r.core, _ = routing.New(r.clock(), cfg.Settings, 1)
	r.listCame(r.known)
	l.rounds()
	return l
}

// peerOf is the client behind a connection.
func peerOf(c *notedConn) *client { return c.ctx.(*client) }

func (l *notedLoop) open(ctx any) *notedConn {
	if ctx == nil {
		ctx = &client{r: l.r}
	}
	c := &notedConn{ctx: ctx, fd: l.fd, closing: func(c gnet.Conn) { _ = l.Close(c) }}
	l.r.OnOpen(c)
	return c
}

// newNoted returns a router with one client and one idle connection to the origin, to which all writes go.
func newNoted(t testing.TB) (l *notedLoop, client, origin *notedConn) {
	l = newLoop(t, notedConfig())
	for _, s := range l.r.servers {
		s.dialing++
		l.r.dials++
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
		l, client, origin := newNoted(new(testing.T))
		origin.left, origin.fails = c.left, c.fails
		client.asks(l.r, "r")
		l.rounds()
		if !origin.closed {
			_ = l.Close(origin)
		}
		l.rounds()
		fmt.Printf("%s: %q, then %d requests and %d bytes held\n", c.name, client.wrote, len(l.r.requests), l.r.held)
	}
	// Output:
	// all had left: "-ERR failed\r\n", then 0 requests and 0 bytes held
	// some was still in our buffer: "-BUSY\r\n", then 0 requests and 0 bytes held
	// the write itself failed: "-BUSY\r\n", then 0 requests and 0 bytes held
}

// gnet writes out what is buffered after OnClose. What was told as never run must not run all the same.
func TestNothingLeavesAfterAClose(t *testing.T) {
	l, _, origin := newNoted(t)
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	origin.fd, origin.left = pair[0], 10
	_ = l.Close(origin)
	if _, err := unix.Write(pair[0], []byte("the rest")); err != unix.EPIPE {
		t.Errorf("the rest could be written: %v", err)
	}
}

// An attempt whose time is over while it waits for a connection was never sent: no blame, and it may be rejected.
func TestTimeOutBeforeTheConnection(t *testing.T) {
	l, client, origin := newNoted(t)
	r := l.r
	s := origin.ctx.(*upstream).server
	_ = l.Close(origin)
	s.dialing = 1 // one dial is out, and does not end
	client.asks(r, "r")
	l.rounds()
	if len(s.waiting) != 1 {
		t.Fatal(len(s.waiting), "write-outs wait")
	}
	r.timedOut(s.waiting[0])
	l.rounds()
	if client.wrote != "-BUSY\r\n" || len(s.waiting) != 0 || r.counts.NeverRan != 1 {
		t.Errorf("%q, %d wait, %+v", client.wrote, len(s.waiting), r.counts)
	}
}

// A client whose answers have not all left is neither closed at the end nor to make room, until it has long taken none.
func TestAnswersLeaveBeforeAClose(t *testing.T) {
	l, client, _ := newNoted(t)
	r := l.r
	r.lim.ClientWriteTimeout = 100e3
	client.in = resp.AppendCommand(nil, []byte("QUIT"))
	client.left = 5
	if action := r.OnTraffic(client); action != gnet.None || r.shedClient(false) {
		t.Error("closed with an answer that has not left", action)
	}
	r.closeIdleClients()
	r.sweep()
	if client.closed {
		t.Error("closed with an answer that has not left")
	}
	time.Sleep(150 * time.Millisecond)
	if r.sweep(); !client.closed {
		t.Error("a client that takes no answers stays")
	}
}

// An attempt that waits for a connection is not sent once its server drains.
func TestNothingWaitsForADrainingServer(t *testing.T) {
	l, client, origin := newNoted(t)
	s := origin.ctx.(*upstream).server
	_ = l.Close(origin)
	s.dialing = 1 // one dial is out, and does not end
	client.asks(l.r, "r")
	l.rounds()
	list, err := l.r.book.Apply([]byte(`{"rev":2,"all":true,"targets":[{"uid":"o","model":"origin","state":"leaving"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l.r.listCame(list)
	l.rounds()
	late := l.open(&upstream{r: l.r, server: s})
	if client.wrote != "-BUSY\r\n" || late.wrote != "" || !late.closed {
		t.Errorf("the client got %q, the server %q", client.wrote, late.wrote)
	}
}

// A decision and the news that its server is gone, or that its client is, may meet in one batch. The program crashed.
func TestDecisionsThatTheNewsOvertakes(t *testing.T) {
	l, client, origin := newNoted(t)
	list, err := l.r.book.Apply([]byte(`{"rev":2,"all":true,"targets":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	client.asks(l.r, "r1")
	l.r.listCame(list)
	l.rounds()
	if client.wrote != "-BUSY\r\n" || strings.Contains(origin.wrote, "r1") || len(l.r.requests) != 0 {
		t.Errorf("the client got %q, the server %q, and %d reqs are left", client.wrote, origin.wrote, len(l.r.requests))
	}

	l, client, origin = newNoted(t)
	client.asks(l.r, "r1")
	_ = l.Close(client)
	l.rounds()
	if origin.wrote != "" || len(l.r.requests) != 0 || l.r.counts.Left != 1 {
		t.Errorf("the server got %q, and %d reqs are left", origin.wrote, len(l.r.requests))
	}
}

// Timers fire in the order of their times, those of one time in the order they were set, and not once cancelled.
func Example_timers() {
	l, _, _ := newNoted(new(testing.T))
	r := l.r
	say := func(text string) func() { return func() { fmt.Println(text) } }
	r.after(3e6, say("third"))
	r.after(1e6, say("first"))
	gone := r.after(2e6, say("cancelled"))
	r.after(2e6, say("second"))
	r.after(9e6, say("too early"))
	r.cancel(gone)
	r.cancel(gone)
	r.fire(r.clock() + 4e6)
	// Output:
	// first
	// second
	// third
}

// What all clients hold together is bounded: the one that holds most is closed.
func TestClientsThatHoldTooMuchAreClosed(t *testing.T) {
	l, client, _ := newNoted(t)
	other := l.open(nil)
	l.r.lim.ClientBufferBytes = 1000
	client.left, other.left = 300, 800
	l.r.buffer(1001)
	if client.closed || !other.closed {
		t.Errorf("closed: %v and %v", client.closed, other.closed)
	}
}

func (c *notedConn) asks(r *Router, ids ...string) {
	for _, id := range ids {
		c.in = resp.AppendCommand(c.in, []byte("CACHE.SET"), []byte("k"), []byte(id), []byte("c=pay,d=900"), []byte("v"))
	}
	r.OnTraffic(c)
}

// Without a descriptor to spare an attempt waits for a connection that gets free, and none is dialled.
func TestWriteOutsWaitForDescriptors(t *testing.T) {
	l, client, origin := newNoted(t)
	l.r.lim.ServerConnections = 1
	client.asks(l.r, "r1", "r2")
	l.rounds()
	if strings.Count(origin.wrote, "PUT /k") != 1 || l.r.dials != 0 || l.r.counts.Attempts != 2 {
		t.Errorf("%q, %d dials, %+v", origin.wrote, l.r.dials, l.r.counts)
	}
	origin.in = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	l.r.OnTraffic(origin)
	l.rounds()
	if !strings.Contains(origin.wrote, "r2") || client.wrote != "$2\r\nok\r\n" || l.r.dials != 0 {
		t.Errorf("%q, %q, %d dials", origin.wrote, client.wrote, l.r.dials)
	}
}

// A client that has just come in was closed to make room while its first request was on its way, and lost it. Those quiet
// for long go first, and none goes while it waits for an answer.
func TestWhoIsClosedToMakeRoom(t *testing.T) {
	l, client, origin := newNoted(t)
	r := l.r
	client.asks(r, "r1")
	l.rounds()
	r.lim.Descriptors, r.lim.MaxDescriptors, r.lim.IdleClientEvictionAge = r.used(), r.used()+1, 1e6
	if fresh := l.open(nil); fresh.closed || client.closed || origin.closed {
		t.Error("a client that came in had another closed, or itself, though there was a descriptor")
	}
	if last := l.open(nil); !last.closed {
		t.Error("the last descriptor was given away")
	}
	time.Sleep(20 * time.Millisecond)
	r.lim.IdleClientEvictionAge = 10e3
	newest := l.open(nil)
	if client.closed || origin.closed || newest.closed || r.counts.Shed != 1 {
		t.Error("one that waits for an answer was closed, or the newest")
	}
	if r.closeIdleClients(); newest.closed {
		t.Error("one that has just come in was closed at the end")
	}
	r.began += 20e3
	if r.closeIdleClients(); !newest.closed || client.closed {
		t.Error("at the end the quiet one stays, or one that waits for an answer was closed")
	}
}

// A connection that carried a big value is not closed while the kernel has some of it: a close that crosses what its
// client sends would drop that.
func TestBigValuesLeaveBeforeAClose(t *testing.T) {
	l, client, _ := newNoted(t)
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	c := peerOf(client)
	l.r.lim.ClientWriteTimeout = 1e6
	client.fd, c.carried, c.used = pair[0], true, true
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
func TestSlowValuesAreNotCut(t *testing.T) {
	l, client, _ := newNoted(t)
	r := l.r
	client.in = []byte("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$11\r\nc=pay,d=900\r\n$60000\r\n" + strings.Repeat("v", 2000))
	for range 5 {
		r.OnTraffic(client)
		r.began += 1500e3
		if r.sweep(); client.closed {
			t.Fatal("cut while it flows")
		}
		client.in = append(client.in, strings.Repeat("v", 2000)...)
	}
	r.began += r.lim.PartialCommandTimeout
	if r.sweep(); !client.closed {
		t.Error("it waits for ever")
	}
}

// Hundreds that asked once and stayed, or never asked, took the descriptors: each attempt then paid for a connection.
func TestClientsAboveTheirPartGoBeforeServers(t *testing.T) {
	l, client, origin := newNoted(t)
	r := l.r
	client.asks(r, "r1")
	l.rounds()
	origin.in = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	r.OnTraffic(origin)
	l.rounds()
	never := l.open(nil) // what only pings is no better than one that is silent
	never.in = resp.AppendCommand(nil, []byte("PING"))
	r.OnTraffic(never)
	r.lim.ClientConnections, r.lim.Descriptors, r.lim.MaxDescriptors = 1, r.used(), r.used()+1
	time.Sleep(time.Millisecond) // the newest must be newer by the clock
	if newest := l.open(nil); !never.closed || client.closed || origin.closed || newest.closed {
		t.Error("the one that never asked should have gone:", never.closed, client.closed, origin.closed, newest.closed)
	}
	r.lim.ClientConnections = 10
	if l.open(nil); client.closed || !origin.closed {
		t.Error("within their part no client goes while a server's connection is idle:", client.closed, origin.closed)
	}
}

// A client that says nothing whole for long is told so and closed, at its first command and in the middle of one.
func TestSilentClientsAreClosed(t *testing.T) {
	l, silent, _ := newNoted(t)
	r := l.r
	asked, part := l.open(nil), l.open(nil)
	asked.asks(r, "r1")
	once := l.open(nil) // it has had its answer, and stays
	once.in = resp.AppendCommand(nil, []byte("PING"))
	r.OnTraffic(once)
	part.in = []byte("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\n")
	r.OnTraffic(part)
	l.rounds()
	r.began += 1900e3
	if r.sweep(); silent.closed || part.closed || once.closed {
		t.Error("closed too early")
	}
	r.began += 200e3
	r.sweep()
	if !silent.closed || !part.closed || !once.closed || asked.closed || !strings.HasSuffix(part.wrote, "-ERR nothing whole has come\r\n") {
		t.Errorf("closed: %v, %v and %v; told %q", silent.closed, part.closed, asked.closed, part.wrote)
	}
}

// Clients that ask once and keep the connection had none left to ask on: the one quiet longest goes, none that waits.
func TestClientsThatKeepTheirConnections(t *testing.T) {
	l, first, origin := newNoted(t)
	r := l.r
	r.lim.ActiveClients = 2
	first.asks(r, "r0")
	l.rounds()
	origin.in = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	r.OnTraffic(origin)
	l.rounds()
	pings, second, third := l.open(nil), l.open(nil), l.open(nil)
	second.asks(r, "r1")
	if first.closed {
		t.Error("closed within the bound")
	}
	third.asks(r, "r2")
	if !first.closed || pings.closed || second.closed || third.closed || r.askers != 2 {
		t.Error(first.closed, pings.closed, second.closed, third.closed, r.askers)
	}
}

// A front may listen before the loop runs: what it offers then is refused.
func TestOfferBeforeTheLoopRuns(t *testing.T) {
	r, err := New(config.Config{}, logrus.New())
	if err != nil {
		t.Fatal(err)
	}
	if r.Offer(&Offer{}) {
		t.Error("it is taken, and the loop will never come to it")
	}
}
