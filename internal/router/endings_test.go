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
	"spurtrestle/internal/resp"
)

// The orders in which things end that a kernel brings about once in a long while, each forced: by a socket that holds bytes
// which the loop has not read, a dial that is held, a clock that is set on.

// held returns a router whose dials wait to be let through, with two servers and the origin.
func held(t *testing.T, change func(*routing.Settings)) (l *notedLoop, up func() *notedConn) {
	cfg := notedConfig()
	cfg.Limits.ServerIdleTimeout, cfg.Limits.IdleSweepInterval, cfg.Limits.IdleClientEvictionAge = 60e6, 250e3, 50e3
	cfg.Settings.MaxAttempts, cfg.Settings.CancelAllowed = 3, true
	cfg.Settings.Methods = append(cfg.Settings.Methods, routing.MethodSettings{Name: "get", LatencyBudget: 2e6, Criticality: 1},
		routing.MethodSettings{Name: "look", Idempotency: routing.Deduplicated, DeduplicationWindow: 400e3, LatencyBudget: 2e6, Criticality: 1})
	cfg.SavedEndpoints = []byte(`{"rev":1,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"},` +
		`{"uid":"s","endpoint":"127.0.0.1:2","model":"m","state":"active"}]}`)
	if change != nil {
		change(&cfg.Settings)
	}
	l = newLoop(t, cfg)
	var dials []peer
	l.r.dialer = func(_ string, p peer, _ func(error)) { dials = append(dials, p) }
	return l, func() *notedConn {
		if len(dials) == 0 {
			t.Fatal("nobody dials")
		}
		p := dials[0]
		dials = dials[1:]
		c := l.open(p)
		l.rounds()
		return c
	}
}

func (l *notedLoop) comes(c *notedConn, text string) {
	c.in = append(c.in, text...)
	if l.r.OnTraffic(c) != 0 {
		_ = l.Close(c)
	}
	l.rounds()
}

func command(words ...string) string {
	var all [][]byte
	for _, w := range words {
		all = append(all, []byte(w))
	}
	return string(resp.AppendCommand(nil, all...))
}

// pass sets the clock on.
func (l *notedLoop) pass(by clock.Time) {
	l.r.began += by
	l.r.lim.StallThreshold = 1 << 60
	l.r.batch()
	l.rounds()
}

// A repeat that waits for a connection until its group may have forgotten the first is not sent any more.
func TestRepeatOutOfItsWindow(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=look,d=1900"))
	first := up()
	l.pass(100e3)
	_ = l.Close(first) // it may have run; the repeat waits for a new connection
	l.rounds()
	l.pass(350e3)
	if second := up(); second.wrote != "" {
		t.Errorf("450 ms after the first, of which repeats are known for 400, there went out %q", second.wrote)
	}
	if client.wrote != "-ERR failed\r\n" {
		t.Errorf("the client got %q", client.wrote)
	}
}

// sockets returns a real connection's two ends.
func sockets(t *testing.T) (mine, others int) {
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

// A request lies in a client's socket when the loop comes to close the client: after a pause of the process its timers go before
// its sockets. The client is not closed under it, by none of those who close clients that say nothing.
func TestClientIsNotClosedUnderItsReq(t *testing.T) {
	for name, closes := range map[string]func(*Router){
		"sweep": (*Router).sweep,
		"shed":  func(r *Router) { r.shedClient(false) },
		"drain": func(r *Router) { r.closing = true; r.closeIdleClients() },
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := held(t, nil)
			client, empty := l.open(nil), l.open(nil)
			var other int
			client.fd, other = sockets(t)
			empty.fd, _ = sockets(t)
			l.comes(client, command("PING"))
			l.comes(empty, command("PING"))
			if _, err := unix.Write(other, []byte(command("CACHE.GET", "k", "r1", "c=get,d=1900"))); err != nil {
				t.Fatal(err)
			}
			l.r.began += 3e6
			l.r.now = l.r.clock()
			closes(l.r)
			if name == "shed" {
				l.r.shedClient(false)
			}
			if client.closed {
				t.Error("closed under a req that was taken")
			}
			if !empty.closed {
				t.Error("one with nothing on its way was kept")
			}
		})
	}
}

// A connection waits to be accepted when the last client is closed in a drain: the router does not end before it has it.
func TestDrainWaitsForWhoComes(t *testing.T) {
	l, _ := held(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l.r.takeover.ln = ln.(*net.TCPListener)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l.r.closing, l.r.endBy = true, l.r.clock()+1e6
	if l.r.closeIdleClients(); l.r.stopped {
		t.Fatal("it ended under a connection that was to be accepted")
	}
	l.r.takeover.coming.Add(1) // accepted, and on its way to the loop
	if a, err := ln.Accept(); err == nil {
		defer a.Close()
	}
	if l.r.closeIdleClients(); l.r.stopped {
		t.Fatal("it ended under a connection that was accepted")
	}
	client := l.open(&client{r: l.r, coming: true})
	if l.r.closeIdleClients(); l.r.stopped {
		t.Fatal("it ended under a client")
	}
	_ = l.Close(client)
	if l.r.closeIdleClients(); !l.r.stopped {
		t.Error("it goes on with nobody there")
	}
}

// enrollsNobody is a loop for which there is no descriptor left.
type enrollsNobody struct{ *notedLoop }

func (enrollsNobody) Enroll(_ context.Context, c net.Conn) (<-chan gnet.RegisteredResult, error) {
	out := make(chan gnet.RegisteredResult, 1)
	out <- gnet.RegisteredResult{Err: unix.EMFILE}
	return out, c.Close()
}

// A connection that is accepted, and for which there is no descriptor on the way to the loop, is not waited for in a drain.
func TestDrainWaitsForNobody(t *testing.T) {
	l, _ := held(t, nil)
	l.r.loop = enrollsNobody{l}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.r.takeover.ln = ln.(*net.TCPListener)
	ended := make(chan struct{})
	go func() {
		l.r.accept()
		close(ended)
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Read(make([]byte, 1)) // returns once it is closed there
	for until := time.Now().Add(patience); l.r.takeover.coming.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("somebody comes who was refused")
		}
	}
	ln.Close()
	<-ended
}

const patience = 3 * time.Second

// A list moves a server while a dial to its old address is out: what waits goes to the new one, and the old connection is
// not used.
func TestDialToWhereAServerWas(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	list, err := l.r.book.Apply([]byte(`{"rev":2,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"},` +
		`{"uid":"s","endpoint":"127.0.0.1:9","model":"m","state":"active"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l.r.listCame(list)
	l.rounds()
	if old := up(); old.wrote != "" || !old.closed {
		t.Errorf("where it was there came %q, closed: %v", old.wrote, old.closed)
	}
	if moved := up(); !strings.Contains(moved.wrote, "r1") || moved.ctx.(*upstream).addr != "127.0.0.1:9" {
		t.Errorf("where it is there came %q", moved.wrote)
	}
}

// All that is in hand is answered by the end of the process, whatever its deadline, and what comes late as well.
func TestAllIsAnsweredByTheEnd(t *testing.T) {
	l, up := held(t, func(s *routing.Settings) { s.Methods[1].LatencyBudget = 6e6 })
	close(l.r.ready)
	l.r.lim.ShutdownTimeout, l.r.lim.DrainAcceptPeriod = 3e6, 500e3
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=get,d=6000")) // sent, and no answer comes
	up()
	l.comes(client, command("CACHE.GET", "k2", "r2", "c=get,d=6000")) // waits for a connection that does not come up
	l.r.Drain()
	l.rounds()
	l.pass(2.9e6)
	late := command("CACHE.GET", "k3", "r3", "c=get,d=6000")
	l.comes(client, late)
	l.pass(200e3)
	if n := strings.Count(client.wrote, "-BUSY"); n != 3 {
		t.Error(fmt.Sprint(n, " of three reqs were answered by the end: ", client.wrote))
	}
}

// A process that was told to end does so in its time also where idle clients come again as soon as they are closed.
func TestDrain_EndsBesideClientsThatComeAgain(t *testing.T) {
	l, _ := held(t, nil)
	close(l.r.ready)
	l.r.lim.ShutdownTimeout, l.r.lim.DrainAcceptPeriod, l.r.lim.IdleClientEvictionAge = 3e6, 500e3, 50e3
	l.r.Drain()
	l.rounds()
	const step = 20e3 // less than the age from which a client may be closed
	for passed := clock.Time(0); passed <= 3200e3 && !l.r.stopped; passed += step {
		for range 5 {
			l.open(nil)
		}
		l.pass(step)
	}
	if !l.r.stopped {
		t.Errorf("0.2 s behind its last moment it goes on, with %d clients", len(l.r.clients))
	}
}

const hit = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

// A server answers twice, the second time some milliseconds late. Once that was seen, a connection that has just been used is
// not used again before a second answer would have come: the next client got it for its own.
func TestSecondAnswerMeetsNobody(t *testing.T) {
	l, up := held(t, nil)
	l.r.lim.ReuseDelay, l.r.lim.DuplicateResponseWindow = 50e3, 30e6
	client := l.open(nil)
	ask := func(id string) { l.comes(client, command("CACHE.GET", "k"+id, id, "c=get,d=1900")) }
	ask("r1")
	first := up()
	l.comes(first, hit)
	l.comes(first, hit) // seen: nobody had asked
	if !first.closed {
		t.Fatal("a connection with an answer too many is kept")
	}
	ask("r2")
	second := up()
	l.comes(second, hit)
	ask("r3")
	third := up() // a connection of its own
	l.comes(second, "*3\r\n$5\r\nagain\r\n$-1\r\n$-1\r\n")
	if !second.closed || strings.Contains(client.wrote, "again") {
		t.Errorf("the second answer is used: %q", client.wrote)
	}
	l.comes(third, hit)
	l.pass(60e3)
	ask("r4") // it has rested
	if l.comes(third, hit); client.wrote != strings.Repeat("$1\r\nv\r\n", 4) {
		t.Errorf("the client got %q", client.wrote)
	}
	ask("r5") // one that waits does not get one that was used just now
	ask("r6")
	l.comes(third, hit)
	if strings.Contains(third.wrote, "r6") {
		t.Error("a connection goes on without a rest")
	}
}

// A server has ended an idle connection, and the loop has not come to it: a request that must not run twice is not written to it,
// where it would end as one that may have run.
func TestEndedConnectionIsNotUsed(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=pay,d=900"))
	first := up()
	l.comes(first, hit)
	var other int
	first.fd, other = sockets(t)
	l.comes(client, command("CACHE.GET", "k", "r2", "c=pay,d=900")) // open, and used
	if l.comes(first, hit); !strings.Contains(first.wrote, "r2") {
		t.Error("an open connection is not used")
	}
	if err := unix.Shutdown(other, unix.SHUT_WR); err != nil {
		t.Fatal(err)
	}
	l.comes(client, command("CACHE.GET", "k", "r3", "c=pay,d=900"))
	if strings.Contains(first.wrote, "r3") {
		t.Error("written to a connection that was ended")
	}
	if second := up(); !strings.Contains(second.wrote, "r3") {
		t.Error("not written to a new one")
	}
}

// After a pause of the process a connection comes up before the loop comes to its timers: what has waited for it past its
// deadline, or past the window in which a repeat is known, is not sent.
func TestConnectionComesBehindTheTime(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	l.r.began += 3e6
	if late := up(); late.wrote != "" {
		t.Errorf("1.1 s after the deadline there went out %q", late.wrote)
	}
	l, up = held(t, nil)
	client = l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=look,d=1900"))
	first := up()
	l.pass(100e3)
	_ = l.Close(first) // it may have run
	l.rounds()
	l.r.began += 350e3
	if second := up(); second.wrote != "" {
		t.Errorf("450 ms after the first, of which repeats are known for 400, there went out %q", second.wrote)
	}
}

// loaded is a router with the limits that a configuration leads to, and a dial to discovery that has been let through.
func loaded(t *testing.T, asked string) (l *notedLoop, up func() *notedConn) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"memory_mb":64,"sockets":256},`+
		`"settings":{"balancers":1,"discovery":%q,"domain":{"mode":"aside","origin-kind":0},"flavors":["origin"],"policy-limits":{"send-cap":1},`+
		`"rules":{},"resolution-s":0.001,"request-classes":[{"name":"get","effect":"free","slo-s":1,"deadline-s":1}]}}`, asked)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	l = newLoop(t, cfg)
	var dials []peer
	l.r.dialer = func(_ string, p peer, _ func(error)) { dials = append(dials, p) }
	l.r.rewatch(cfg.Discovery)
	return l, func() *notedConn {
		if len(dials) == 0 {
			return nil
		}
		c := l.open(dials[0])
		dials = dials[1:]
		l.rounds()
		return c
	}
}

// Where lists are asked for a watch may wait for 20 s; one that has fallen silent is given up a second later, a second before
// what it misses counts as told, and the whole list is asked for.
func TestSilentWatchOnRequest(t *testing.T) {
	const list = `{"rev":5,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"}]}`
	l, up := loaded(t, "on_request")
	first := up()
	l.comes(first, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	if !strings.Contains(first.wrote, "index=5&wait=20000") {
		t.Fatalf("it watches with %q", first.wrote)
	}
	l.pass(20.9e6)
	if first.closed {
		t.Fatal("given up while an answer is due")
	}
	l.pass(0.2e6)
	if !first.closed {
		t.Fatal("21.1 s silent, and not given up")
	}
	for range 9 { // the decisions say when: within the second
		if second := up(); second != nil {
			if second.wrote != "GET /registry/instances HTTP/1.1\r\nHost: 127.0.0.1:2\r\n\r\n" {
				t.Errorf("it goes on with %q", second.wrote)
			}
			return
		}
		l.pass(0.1e6)
	}
	t.Error("nobody asks for the list")
}

// A dial to discovery that hangs ends with an answer's slack, whatever servers may take to come up: a call waits behind it.
func TestDialToDiscoveryHangs(t *testing.T) {
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
	for range 2 { // nobody accepts: the backlog takes one, and the next never comes up
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	l, _ := loaded(t, "pushed")
	l.r.lim.ConnectTimeout, l.r.lim.WatchGrace = 60e6, 50e3
	failed := make(chan error, 1)
	l.r.dials++
	l.r.dialOff(addr, l.r.watch, func(err error) { failed <- err })
	for until := time.Now().Add(5 * time.Second); len(failed) == 0; l.rounds() {
		if time.Now().After(until) {
			t.Fatal("the dial hangs on")
		}
		time.Sleep(time.Millisecond)
	}
	var late net.Error
	if err := <-failed; !errors.As(err, &late) || !late.Timeout() {
		t.Error(err)
	}
}
