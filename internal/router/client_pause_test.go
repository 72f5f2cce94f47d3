package router

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
)

// newPausedClient returns a client that has a read in progress and has sent more than can be processed behind it, and
// the client's end of its connection.
func newPausedClient(t *testing.T) (l *fakeLoop, cache *fakeConn, paused *client, remote int) {
	t.Helper()
	l, completeDial := newHeldDials(t, nil)
	l.r.loop = failingEnrollLoop{l}
	l.r.limits.PipelinedCommands, l.r.limits.LargeValueRetryInterval = 1, 5*clock.Millisecond
	conn := l.open(nil)
	conn.fd, remote = socketPair(t)
	paused = clientOf(conn)
	l.receive(conn, command("CACHE.GET", "k", "first", "c=get,d=1900"))
	cache = completeDial()
	for i := 0; !conn.closed; i++ {
		if i == 1000 {
			t.Fatalf("%d bytes of a client's input are held, and it is still read from", l.r.held.Total())
		}
		l.receive(conn, command("CACHE.GET", "k", fmt.Sprint("next", i), "c=get,d=1900"))
	}
	return l, cache, paused, remote
}

// TestUnprocessedInput_PausesReading guards against unread input that piles up, or costs its client the connection: the
// client is not read from, gets the answer that it waits for, and is noticed when it leaves.
func TestUnprocessedInput_PausesReading(t *testing.T) {
	l, cache, paused, remote := newPausedClient(t)
	if held, most := l.r.held.Usage().Total(), 2*l.r.bufferBytes; !paused.paused || held > most {
		t.Fatalf("paused: %v, %d bytes are held, want at most %d", paused.paused, held, most)
	}
	l.receive(cache, hitWith("1"))
	buffer := make([]byte, 100)
	n, err := unix.Read(remote, buffer)
	if got := string(buffer[:max(n, 0)]); got != "$1\r\n1\r\n" || err != nil {
		t.Errorf("a paused client got %q, %v", got, err)
	}
	if got := len(l.r.requests); got != 1 {
		t.Errorf("%d requests are open behind the answered one, want the next of those that were read", got)
	}
	if err := unix.Shutdown(remote, unix.SHUT_WR); err != nil {
		t.Fatal(err)
	}
	l.advance(10 * clock.Millisecond)
	if paused.paused || l.r.detachedClients != 0 || len(l.r.polledClients) != 0 {
		t.Errorf("a paused client that has left: paused %v, %d off the loop", paused.paused, l.r.detachedClients)
	}
	for _, request := range l.r.requests {
		if !request.finished {
			t.Errorf("%s is open, and its client has left", request.ID)
		}
	}
}

// TestUnprocessedInput_LargeWriteBehindARead guards against a large write that is read into memory while it has to wait
// for earlier answers.
func TestUnprocessedInput_LargeWriteBehindARead(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	l.r.limits.RESP.Streamed = 4 << 20
	conn := l.open(nil)
	conn.fd, _ = socketPair(t)
	l.receive(conn, command("CACHE.GET", "k", "first", "c=get,d=1900"))
	completeDial()
	l.receive(conn, "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$5\r\nwrite\r\n$12\r\nc=pay,d=1900\r\n$4194304\r\n")
	client := clientOf(conn)
	for range 100 {
		if conn.closed {
			break
		}
		l.receive(conn, strings.Repeat("v", 10_000))
	}
	if held, most := l.r.held.Usage().Total(), 2*l.r.bufferBytes; !client.paused || held > most {
		t.Errorf("paused: %v, %d bytes are held, want at most %d", client.paused, held, most)
	}
	if client.slots[0].request.finished {
		t.Error("the read before the write was dropped")
	}
}

// TestUnprocessedInput_IncompleteCommandsStayWithinTheMemory guards against small writes that arrive slowly and together
// are larger than the memory for them.
func TestUnprocessedInput_IncompleteCommandsStayWithinTheMemory(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	l.r.bufferBytes = 4096
	paused := 0
	for range 100 {
		conn := l.open(nil)
		conn.fd, _ = socketPair(t)
		client := clientOf(conn)
		l.receive(conn, "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$5\r\nwrite\r\n$12\r\nc=pay,d=1900\r\n$60000\r\n")
		for range 10 {
			if !conn.closed {
				l.receive(conn, strings.Repeat("v", 5000))
			}
		}
		if client.paused {
			paused++
		} else if conn.closed {
			t.Fatal("a client that sends slowly was closed")
		}
	}
	if total, most := l.r.held.Total(), l.r.held.Limit(); paused == 0 || total > most {
		t.Errorf("%d clients are paused, %d bytes are held, want at most %d", paused, total, most)
	}
}

// TestDrain_WaitsForTheInputOfPausedClients guards against a drain that closes a client whose command waits for memory: its
// last bytes may have arrived.
func TestDrain_WaitsForTheInputOfPausedClients(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	r := l.r
	r.loop = failingEnrollLoop{l}
	others := r.held.NewAccount()
	others.Add(clientmemory.PendingAnswers, r.held.Limit())
	conn := l.open(nil)
	conn.fd, _ = socketPair(t)
	client := clientOf(conn)
	l.receive(conn, "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$5\r\nwrite\r\n$12\r\nc=pay,d=1900\r\n$60000\r\n"+strings.Repeat("v", 20_000))
	if !client.paused {
		t.Fatal("a command is read for which there is no memory")
	}
	r.closingClients = true
	l.advance(10 * clock.Millisecond)
	if !client.paused {
		t.Error("the client was closed with a part of its command")
	}
	others.Release()
	l.advance(10 * clock.Millisecond)
	if !client.resumeDue && !client.detached {
		t.Error("the client is not read from once there is memory")
	}
}

// newMemoryWaiter returns a paused client that waits for memory for the rest of a command, of which the given number of bytes
// are in the kernel, and the memory that others hold.
func newMemoryWaiter(t *testing.T, inKernel int) (l *fakeLoop, waiting *client, others *clientmemory.Account) {
	t.Helper()
	l, _ = newHeldDials(t, nil)
	l.r.limits.LargeValueRetryInterval, l.r.limits.IdleSweepInterval = 5*clock.Millisecond, 100*clock.Millisecond
	l.r.loop = failingEnrollLoop{l}
	account := l.r.held.NewAccount()
	account.Add(clientmemory.PendingAnswers, l.r.held.Limit())
	conn := l.open(nil)
	remote := 0
	conn.fd, remote = socketPair(t)
	waiting = clientOf(conn)
	l.receive(conn, "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$5\r\nwrite\r\n$12\r\nc=pay,d=1900\r\n$20000\r\n"+strings.Repeat("v", 3000))
	if !waiting.paused {
		t.Fatal("a command is read for which there is no memory")
	}
	if _, err := unix.Write(remote, []byte((strings.Repeat("v", 17_000) + "\r\n")[:inKernel])); err != nil {
		t.Fatal(err)
	}
	l.advance(10 * clock.Millisecond)
	l.r.sweepConnections()
	return l, waiting, &account
}

// TestMemoryWait_IsNotTakenForSilence guards against a client that is closed for a command that has arrived in full, and waits
// for memory; one that stops within its command is told so.
func TestMemoryWait_IsNotTakenForSilence(t *testing.T) {
	for _, test := range []struct {
		inKernel int
		closed   bool
	}{
		{17_002, false},
		{10_000, true},
	} {
		l, waiting, _ := newMemoryWaiter(t, test.inKernel)
		for range 40 {
			l.advance(100 * clock.Millisecond)
		}
		if got := !waiting.paused; got != test.closed {
			t.Errorf("%d bytes in the kernel: closed %v, want %v", test.inKernel, got, test.closed)
		}
	}
}

// TestPausedClients_ContinueAfterAFailedHandover guards against clients that are never read from again once the successor has
// ended.
func TestPausedClients_ContinueAfterAFailedHandover(t *testing.T) {
	l, waiting, others := newMemoryWaiter(t, 17_002)
	r := l.r
	r.takeover.handingOver = true
	others.Release()
	waiting.slots = []*slot{{}} // it waits for an answer, so it is not handed over
	l.advance(10 * clock.Millisecond)
	if r.counts.Requests != 0 {
		t.Fatal("a client's input is processed while clients are handed over")
	}
	waiting.slots, r.takeover.handingOver = nil, false
	r.resumePausedClients()
	l.advance(10 * clock.Millisecond)
	l.advance(10 * clock.Millisecond)
	if r.counts.Requests != 1 {
		t.Error("the client's command was not processed")
	}
}

// TestMemoryWait_EndsWithPartOfTheRequestsTime guards against a write that has arrived in full and waits for memory longer than its
// client does.
func TestMemoryWait_EndsWithPartOfTheRequestsTime(t *testing.T) {
	const patience = 1900 * clock.Millisecond
	l, waiting, _ := newMemoryWaiter(t, 17_002)
	for range 10 {
		l.advance(patience / 10)
	}
	if got := l.r.counts.RejectedForMemory; got != 1 || len(waiting.input.unread) > 0 {
		t.Errorf("%d writes were rejected, %d bytes are unread: the client has given up", got, len(waiting.input.unread))
	}
	if got := l.r.counts.AbortedConnections; got != 0 {
		t.Error("the client was closed")
	}
}
