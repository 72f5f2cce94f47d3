package cacheserver

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/resp"
)

var lastHost atomic.Int32

func startServer(t *testing.T, change func(*Config)) (*Server, *Config) {
	s, err := scenario.Parse([]byte(scenario.Example))
	if err != nil {
		t.Fatal(err)
	}
	f := &Config{Log: event.NewLog(), Settings: s.Servers, Service: s.Service, Methods: map[string]scenario.Method{}, Deduplicator: &Deduplicator{},
		OnMiss: func(event.RequestID, *Server, bool) {}}
	for _, m := range s.Methods {
		m.Work, m.WorkDistribution = 1000, "none"
		f.Methods[m.Name] = m
	}
	f.Settings.ConnectionWork = 0
	if change != nil {
		change(f)
	}
	return startAnother(t, f, "s1"), f
}

func startAnother(t *testing.T, f *Config, uid event.Server) *Server {
	addr := fmt.Sprintf("127.13.0.%d:%d", lastHost.Add(1), 16379)
	s, err := Start(f, uid, "north", 1, []string{addr}, true, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Kill(); s.Wait() })
	return s
}

// routerConn is the router's side of a connection, with the bytes that are not parsed yet.
type routerConn struct {
	net.Conn
	unread []byte
}

func dial(t *testing.T, s *Server) *routerConn {
	c, err := net.Dial("tcp", s.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &routerConn{Conn: c}
}

func send(t *testing.T, c net.Conn, text string) {
	var words [][]byte
	for _, w := range strings.Fields(text) {
		words = append(words, []byte(w))
	}
	if _, err := c.Write(resp.AppendCommand(nil, words...)); err != nil {
		t.Fatal(err)
	}
}

// readAnswer reads one answer and returns the first word of the value, "miss", or the line; or how the connection ended.
func readAnswer(c *routerConn) string {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // an error shows in Read
	buf := make([]byte, 4096)
	for first := true; ; first = false {
		var err error
		if !first || len(c.unread) == 0 {
			var n int
			n, err = c.Read(buf)
			c.unread = append(c.unread, buf[:n]...)
		}
		r, used, bad := resp.ReadReply(c.unread, bounds)
		c.unread = c.unread[used:]
		switch {
		case bad != nil:
			return "unreadable"
		case used > 0 && r.Kind == '*' && r.Items[0].Null:
			return "miss"
		case used > 0 && r.Kind == '*':
			first, _, _ := strings.Cut(string(r.Items[0].Text), " ")
			return first
		case used > 0:
			return string(r.Text)
		case errors.Is(err, syscall.ECONNRESET):
			return "reset"
		case err != nil:
			return "end"
		}
	}
}

func roundTrip(t *testing.T, c *routerConn, text string) string {
	send(t, c, text)
	return readAnswer(c)
}

func TestAnswers(t *testing.T) {
	s, f := startServer(t, nil)
	c := dial(t, s)
	s.Fill("k")
	for _, x := range []struct{ send, want string }{
		{"CACHE.GET k id1 c=status,d=500,size=100", "id1"},
		{"CACHE.GET other id2 c=status,d=500", "miss"},
		{"CACHE.GET k id3 c=unknown,d=500", "SYNTAX"},
		{"CACHE.GET k id4 c=status", "SYNTAX"},
		{"CACHE.GET k id5", "SYNTAX"},
		{"PING", "PONG"},
		{"INFO load", "NOPERM"},
		{"HELLO 3", "ERR unknown command"},
		{"CACHE.SET k id6 c=book,d=500 v", "id6"},
		{"CACHE.GET k id7 c=status,d=500", "miss"}, // the write dropped the copy
	} {
		if got := roundTrip(t, c, x.send); got != x.want {
			t.Errorf("%s: %s", x.send, got)
		}
	}
	odd, ran := 0, 0
	for _, e := range f.Log.Events() {
		switch e.Kind {
		case event.ProtocolViolation:
			odd++
		case event.EffectExecuted:
			ran++
		}
	}
	if odd != 3 || ran != 1 {
		t.Errorf("%d protocol violations and %d effects were recorded", odd, ran)
	}
}

func TestProbes(t *testing.T) {
	s, f := startServer(t, func(f *Config) { f.Settings.Probes = true })
	c := dial(t, s)
	if got := roundTrip(t, c, "PING"); got != "PONG" {
		t.Error(got)
	}
	if got := roundTrip(t, c, "INFO load"); !strings.HasPrefix(got, "avg_ms=") || !strings.Contains(got, ",waiting=0") {
		t.Error(got)
	}
	if err := s.ApplyFault(scenario.Fault{Kind: "hang"}, false); err != nil {
		t.Fatal(err)
	}
	send(t, c, "PING")
	c.Close() // an abandoned probe is not an attempt
	time.Sleep(50 * time.Millisecond)
	for _, e := range f.Log.Events() {
		if e.Kind == event.AttemptEnded || e.Kind == event.AttemptReceived {
			t.Error("a probe was recorded as an attempt")
		}
	}
}

func TestAttemptsAreRecordedWithDeadlineSent(t *testing.T) {
	s, f := startServer(t, nil)
	c := dial(t, s)
	if got := roundTrip(t, c, "CACHE.GET k id1 c=status,d=480"); got != "miss" {
		t.Error(got)
	}
	if got := roundTrip(t, c, "CACHE.SET k id2 c=order,d=0.5 v"); got != "id2" {
		t.Error(got)
	}
	want := map[event.RequestID]event.Micros{"id1": 480e3, "id2": 500}
	for _, e := range f.Log.Events() {
		if e.Kind != event.AttemptReceived {
			continue
		}
		if e.DeadlineSent != want[e.Request] {
			t.Errorf("%s was recorded as %v", e.Request, e.DeadlineSent)
		}
		delete(want, e.Request)
	}
	if len(want) > 0 {
		t.Error("not recorded: ", want)
	}
	if got := roundTrip(t, c, "CACHE.GET k id3 c=status,d=480,d=0"); got != "SYNTAX" {
		t.Error("an invalid deadline was answered with ", got)
	}
}

// A repeated deduplicated request is answered, but its effect runs only once per group.
func TestDeduplicatedRequestsRunOncePerGroup(t *testing.T) {
	s, f := startServer(t, nil)
	other := startAnother(t, f, "s2")
	for _, c := range []*routerConn{dial(t, s), dial(t, other)} {
		if got := roundTrip(t, c, "CACHE.SET k id1 c=order,d=500 v"); got != "id1" {
			t.Error(got)
		}
	}
	for _, c := range []*routerConn{dial(t, s), dial(t, other)} {
		if got := roundTrip(t, c, "CACHE.SET k id2 c=book,d=500 v"); got != "id2" {
			t.Error(got)
		}
	}
	ran := map[event.RequestID]int{}
	for _, e := range f.Log.Events() {
		if e.Kind == event.EffectExecuted {
			ran[e.Request]++
		}
	}
	if ran["id1"] != 1 || ran["id2"] != 2 {
		t.Errorf("effects ran %v", ran)
	}
}

func TestQueueAndConnectionsAreBounded(t *testing.T) {
	s, _ := startServer(t, func(f *Config) { f.Settings.Cores, f.Settings.Queue, f.Settings.Connections = 1, 1, 2 })
	s.Fill("k")
	a, b := dial(t, s), dial(t, s)
	if err := s.ApplyFault(scenario.Fault{Kind: "hang"}, false); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		send(t, a, fmt.Sprintf("CACHE.GET k id%d c=status,d=500", i))
	}
	time.Sleep(50 * time.Millisecond)
	if got := roundTrip(t, b, "CACHE.GET k id9 c=status,d=500"); got != "BUSY" {
		t.Error("with a full queue: ", got)
	}
	if err := s.ApplyFault(scenario.Fault{Kind: "hang"}, true); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"id0", "id1", "BUSY"} { // in the order of the commands
		if got := readAnswer(a); got != want {
			t.Error(got, want)
		}
	}
	if got := roundTrip(t, dial(t, s), "CACHE.GET k id10 c=status,d=500"); got != "BUSY" {
		t.Error("above the connection limit: ", got)
	}
}

// With CancelStopsWork, closing a connection frees the core that its request occupied.
func TestClosingAConnectionCancelsItsWork(t *testing.T) {
	s, _ := startServer(t, func(f *Config) {
		f.Settings.Cores, f.Settings.Queue = 1, 0
		m := f.Methods["status"]
		m.Work = 60e6
		f.Methods["status"] = m
	})
	s.Fill("k")
	a := dial(t, s)
	send(t, a, "CACHE.GET k id1 c=status,d=500")
	time.Sleep(50 * time.Millisecond)
	a.Close()
	time.Sleep(50 * time.Millisecond)
	if got := roundTrip(t, dial(t, s), "CACHE.SET k id2 c=book,d=500 v"); got != "id2" {
		t.Error(got)
	}
}

func TestFaults(t *testing.T) {
	s, f := startServer(t, nil)
	s.Fill("k")
	get := func(c *routerConn) string { return roundTrip(t, c, "CACHE.GET k id c=status,d=500") }
	apply := func(f scenario.Fault, end bool) {
		if err := s.ApplyFault(f, end); err != nil {
			t.Fatal(err)
		}
	}
	for name := range MalformedReplies {
		x := scenario.Fault{Kind: "spoil", Share: 1, ReplyForms: []string{name}}
		apply(x, false)
		c := dial(t, s)
		send(t, c, "CACHE.GET k id c=status,d=500")
		buf := make([]byte, 1<<16)
		n, err := c.Read(buf)
		r, used, bad := resp.ReadReply(buf[:n], resp.Bounds{Bulk: 64 << 10, Line: 4 << 10, Args: 16})
		if err != nil || bad == nil && used > 0 && r.Kind == '*' {
			t.Errorf("%s: %q is a valid reply", name, buf[:n])
		}
		apply(x, true)
	}
	apply(scenario.Fault{Kind: "reset", Share: 1}, false)
	if got := get(dial(t, s)); got != "reset" && got != "end" {
		t.Error("a truncated answer: ", got)
	}
	apply(scenario.Fault{Kind: "reset"}, true)

	open := dial(t, s)
	if got := get(open); got != "id" {
		t.Error(got)
	}
	apply(scenario.Fault{Kind: "refuse"}, false)
	if _, err := net.Dial("tcp", s.Addr(0)); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("connecting while connections are refused: ", err)
	}
	if got := get(open); got != "id" {
		t.Error("an open connection while new ones are refused: ", got)
	}
	apply(scenario.Fault{Kind: "refuse"}, true)

	// A host that is unreachable or partitioned from this router is silent, and resets old connections on its return.
	for name, setSilent := range map[string]func(bool){
		"unreachable": func(on bool) { apply(scenario.Fault{Kind: "vanish"}, !on) },
		"partitioned": func(on bool) {
			if err := s.Partition(map[event.Router]bool{0: on}); err != nil {
				t.Fatal(err)
			}
		},
	} {
		open := dial(t, s)
		if got := get(open); got != "id" {
			t.Error(name, "before:", got)
		}
		setSilent(true)
		if c, err := net.DialTimeout("tcp", s.Addr(0), 100*time.Millisecond); err == nil {
			c.Close()
			t.Error(name, ": a connection was accepted")
		}
		send(t, open, "CACHE.GET k lost c=status,d=500")
		_ = open.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // an error shows in Read
		if n, err := open.Read(make([]byte, 1)); n > 0 || !errors.Is(err, syscall.ETIMEDOUT) && !strings.Contains(fmt.Sprint(err), "timeout") {
			t.Error(name, ": it sent ", n, err)
		}
		setSilent(false)
		if got := readAnswer(open); got != "reset" && got != "end" {
			t.Error(name, ": an old connection after its return: ", got)
		}
		if got := get(dial(t, s)); got != "id" {
			t.Error(name, ": after its return: ", got)
		}
	}
	for _, e := range f.Log.Events() {
		if e.Request == "lost" {
			t.Error("a silent host received a request")
		}
	}
	s.Kill()
	if _, err := net.Dial("tcp", s.Addr(0)); err == nil {
		t.Error("a killed server accepts connections")
	}
}

// The end of an attempt is recorded with the time when the close was read, even if the server's mutex is held then. It was
// held for up to 20 ms per address while a server became unreachable, and a router that gave up just then seemed to have
// two attempts in flight.
func TestAttemptEndsWhenTheCloseWasRead(t *testing.T) {
	s, f := startServer(t, nil)
	if err := s.ApplyFault(scenario.Fault{Kind: "hang"}, false); err != nil {
		t.Fatal(err)
	}
	router := dial(t, s)
	send(t, router, "CACHE.GET k id1 c=status,d=500")
	var c *conn
	for c == nil {
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		for candidate := range s.conns {
			if len(candidate.pending) > 0 {
				c = candidate
			}
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	router.Close()
	<-c.closed // the close has been read while the test holds the mutex
	closedAt := f.Log.Now()
	for f.Log.Now() < closedAt+5e3 {
		time.Sleep(time.Millisecond)
	}
	s.mu.Unlock()
	s.Kill()
	s.Wait()
	for _, e := range f.Log.Events() {
		if e.Kind == event.AttemptEnded && e.At > closedAt {
			t.Errorf("recorded %v after it was read", (e.At - closedAt).Duration())
		}
	}
}

// A duplicate is written after its reply, whatever the connection carries by then.
func TestDuplicatesFollowTheirReplies(t *testing.T) {
	s, _ := startServer(t, nil)
	s.Fill("k")
	if err := s.ApplyFault(scenario.Fault{Kind: "duplicate", Share: 1}, false); err != nil {
		t.Fatal(err)
	}
	c := dial(t, s)
	for range 2 {
		if got := roundTrip(t, c, "CACHE.GET k id0 c=status,d=500"); got != "id0" {
			t.Fatal(got)
		}
		if got := readAnswer(c); got != "id0" {
			t.Errorf("the duplicate is %q", got)
		}
	}
}
