package router

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
)

// closePaths are the paths that close a client which owes no reply and is owed none.
var closePaths = map[string]func(*Router){
	"idle sweep": (*Router).sweepConnections,
	"eviction":   func(r *Router) { r.shedClient(false) },
	"eviction of a client with requests": func(r *Router) {
		for client := range r.clients {
			client.hasSentRequest = true
		}
		r.shedClient(true)
	},
	"SIGTERM":          func(r *Router) { r.closingClients = true; r.closeIdleClients() },
	"operator's drain": func(r *Router) { r.operator.closingClients = true; r.closeIdleClients() },
	"name lost":        func(r *Router) { r.fleet.outOfService = "another has the name"; r.closeIdleClients() },
}

// TestClose_LeavesAClientThatIsOwedSomething guards against a path that closes a client whose request has been read in part or in
// full, or lies in the kernel.
func TestClose_LeavesAClientThatIsOwedSomething(t *testing.T) {
	const rest = 3 * clock.Second // longer than any client may be idle
	read := command("CACHE.GET", "k", "r1", "c=get,d=1900")
	for state, owe := range map[string]func(l *fakeLoop, conn *fakeConn, remote int){
		"reply":      func(l *fakeLoop, conn *fakeConn, _ int) { l.receive(conn, read) },
		"command":    func(_ *fakeLoop, conn *fakeConn, _ int) { clientOf(conn).input.adopt([]byte(read)) },
		"no command": func(_ *fakeLoop, conn *fakeConn, _ int) { clientOf(conn).input.adopt([]byte("?\r\n")) },
		"input":      func(_ *fakeLoop, _ *fakeConn, remote int) { _, _ = unix.Write(remote, []byte(read)) },
		"reply in the kernel": func(l *fakeLoop, conn *fakeConn, _ int) {
			clientOf(conn).noteOutput(l.r.clock())
			_, _ = unix.Write(conn.fd, []byte("+PONG\r\n"))
		},
		"command behind a reply": func(l *fakeLoop, conn *fakeConn, _ int) {
			l.receive(conn, read)
			clientOf(conn).input.adopt([]byte(read))
		},
	} {
		for path, closes := range closePaths {
			t.Run(state+", "+path, func(t *testing.T) {
				l, _ := newHeldDials(t, nil)
				l.r.limits.ClientWriteTimeout = rest
				owed, idle := l.open(nil), l.open(nil)
				var remote int
				owed.fd, remote = socketPair(t)
				idle.fd, _ = socketPair(t)
				for _, conn := range []*fakeConn{owed, idle} {
					l.receive(conn, command("PING"))
				}
				owe(l, owed, remote)
				l.r.startWallClock += rest
				l.r.batchTime = l.r.clock()
				for range 2 { // an eviction passes over a client at first
					closes(l.r)
				}
				if owed.closed {
					t.Error("a client that is owed something was closed")
				}
				if !idle.closed {
					t.Error("a client that is owed nothing was kept")
				}
			})
		}
	}
}

// TestClose_FollowsTheDeliveryOfReplies guards against a client that is kept although it has got its replies, or although it reads
// none of them for too long.
func TestClose_FollowsTheDeliveryOfReplies(t *testing.T) {
	for _, reads := range []bool{true, false} {
		for path, closes := range closePaths {
			t.Run(fmt.Sprintf("%s, reads %v", path, reads), func(t *testing.T) {
				l, _ := newHeldDials(t, nil)
				l.r.limits.ClientWriteTimeout = 3 * clock.Second
				conn := l.open(nil)
				var remote int
				conn.fd, remote = socketPair(t)
				l.receive(conn, command("PING"))
				_, _ = unix.Write(conn.fd, []byte("+PONG\r\n"))
				for i := range 4 { // the first call learns what the kernel has
					closes(l.r)
					if i < 2 && conn.closed {
						t.Fatal("closed before the reply was delivered")
					}
					if reads && i == 1 {
						_, _ = unix.Read(remote, make([]byte, 100))
					}
					l.r.startWallClock += 2 * clock.Second
					l.r.batchTime = l.r.clock()
				}
				if !conn.closed {
					t.Error("kept")
				}
			})
		}
	}
}

// TestPartialCommand_ThatIsCompletedIsNotSilent guards against a client that is closed as silent although the command that came in
// pieces is complete, and waits for its turn.
func TestPartialCommand_ThatIsCompletedIsNotSilent(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	conn := l.open(nil)
	conn.fd, _ = socketPair(t)
	client := clientOf(conn)
	client.input.adopt([]byte(command("CACHE.GET", "k", "r1", "c=get,d=1900")))
	client.partialSince = l.r.clock()
	if l.r.startWallClock += 3 * clock.Second; client.isSilent(l.r.clock()) {
		t.Error("a complete command counts as one that has not come in full")
	}
}
