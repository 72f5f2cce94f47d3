package router

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
	"spurtrestle/internal/wire"
)

// These tests check the deadline that is sent with each kind of attempt, on a clock that the test advances: never
// more than the time its client has left.

var sentDeadline = regexp.MustCompile(`[ ,\n]d=([0-9]+)`)

// deadlineIn returns the deadline, in milliseconds, of the last attempt written to a server's connection.
func deadlineIn(t *testing.T, server *fakeConn) int {
	t.Helper()
	found := sentDeadline.FindAllStringSubmatch(server.written, -1)
	if len(found) == 0 {
		t.Fatalf("no deadline in %q", server.written)
	}
	ms, err := strconv.Atoi(found[len(found)-1][1])
	if err != nil {
		t.Fatal(err)
	}
	return ms
}

// wantDeadline checks that the deadline sent is at most the client's time left, and not much less, so that the
// server does not abort the request early.
func wantDeadline(t *testing.T, server *fakeConn, left int) {
	t.Helper()
	const tolerance = 200 // milliseconds, for the real time that the test itself takes
	if sent := deadlineIn(t, server); sent > left || sent < left-tolerance {
		t.Errorf("with %d ms left, the deadline sent to the server is %d ms", left, sent)
	}
}

// A large write is streamed once there is a connection for it: its head carries the time left at that moment.
func TestDeadlineOfALargeWriteWithALateConnection(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	l.r.loop = failingEnrollLoop{l}
	l.r.limits.RESP.Streamed, l.r.limits.LargeValueWindow, l.r.limits.LargeValueStallTimeout = 1<<20, 1<<12, 5e6
	client := l.open(nil)
	client.fd, _ = socketPair(t)
	const size = 1 << 17
	head := fmt.Sprintf("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nr1\r\n$12\r\nc=get,d=1900\r\n$%d\r\nv", size)
	l.receive(client, head)
	l.advance(700e3)
	var other int
	l.fd, other = socketPair(t)
	completeDial()
	server, err := net.FileConn(os.NewFile(uintptr(duplicate(t, other)), ""))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	_ = server.SetReadDeadline(time.Now().Add(10 * time.Second)) // an error shows in Read
	read := make([]byte, 1<<12)
	n, err := server.Read(read)
	if err != nil {
		t.Fatal(err)
	}
	wantDeadline(t, &fakeConn{written: string(read[:n])}, 1200)
}

func duplicate(t *testing.T, fd int) int {
	t.Helper()
	other, err := unix.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	return other
}

const (
	missReply  = "*3\r\n$-1\r\n$-1\r\n$-1\r\n"
	errorReply = "-ERR failed\r\n"
)

func TestDeadlineOfAnAttemptAfterALateMiss(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache := completeDial()
	wantDeadline(t, cache, 1900)
	l.advance(600e3)
	l.receive(cache, missReply)
	wantDeadline(t, completeDial(), 1300)
}

func TestDeadlineOfARetry(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache := completeDial()
	l.advance(600e3)
	l.receive(cache, errorReply)
	l.advance(0)
	retried := cache // on the same connection, or on a new one
	if len(sentDeadline.FindAllString(cache.written, -1)) < 2 {
		retried = completeDial()
	}
	wantDeadline(t, retried, 1300)
}

func TestDeadlineWhenTheConnectionComesUpLate(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	l.advance(400e3)
	cache := completeDial()
	wantDeadline(t, cache, 1500)
	l.advance(300e3)
	l.receive(cache, missReply)
	l.advance(500e3)
	wantDeadline(t, completeDial(), 700)
}

func TestDeadlineOfAWrite(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.SET", "k", "r1", "c=pay,d=1900", "v"))
	l.advance(700e3)
	wantDeadline(t, completeDial(), 1200)
}

// A front end off the loop passes the client's timeout in the call; the properties hold a placeholder.
func TestDeadlineOfAnExternalRequest(t *testing.T) {
	l, completeDial := newHeldDials(t, func(s *routing.Settings) {
		for i := range s.Methods {
			s.Methods[i].Deadline = 3e6
		}
	})
	l.r.limits.ExternalRequests = 10
	close(l.r.ready)
	answered := func(wire.Answer) {}
	request := &ExternalRequest{Request: wire.Request{ID: "r1", Key: []byte("k"), Props: wire.NewProps([]byte("c=get,d=1"))}, Method: "get", Timeout: 1900e3,
		Answer: answered, Reject: func(reason RejectReason) { t.Errorf("rejected: %d", reason) }}
	if !l.r.Submit(request) {
		t.Fatal("the request is not accepted")
	}
	l.runQueued()
	cache := completeDial()
	wantDeadline(t, cache, 1900)
	l.advance(600e3)
	l.receive(cache, missReply)
	wantDeadline(t, completeDial(), 1300)
}

// If the router's time limit for a cache is shorter than the client's deadline, the cache is sent the shorter one.
func TestDeadlineIsTheLesserOfRouterAndClient(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache := completeDial()
	attempt := cache.ctx.(*upstream).attempt
	attempt.timeout, attempt.request.clientDeadline = 500e3, attempt.startedAt+1900e3
	if left := attempt.remaining(attempt.startedAt); left != 500e3 {
		t.Errorf("with a time limit of 500 ms: got %d us left, want 500000", left)
	}
	attempt.timeout, attempt.request.clientDeadline = 1900e3, attempt.startedAt+500e3
	if left := attempt.remaining(attempt.startedAt + 100e3); left != 400e3 {
		t.Errorf("with 400 ms until the client's deadline: got %d us left, want 400000", left)
	}
}

// A command that stayed unread because its client had reached its limit of pipelined commands counts its time from
// its arrival.
func TestDeadlineOfACommandThatWaitedUnread(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	l.r.limits.PipelinedCommands = 1
	client := l.open(nil)
	for i := range 2 { // the second stays unread
		l.receive(client, command("CACHE.GET", "k", fmt.Sprint("r", i), "c=get,d=1900"))
	}
	cache := completeDial()
	l.advance(500e3)
	l.receive(client, command("CACHE.GET", "k", "later", "c=get,d=1900"))
	l.advance(100e3)
	l.receive(cache, hitWith("1"))
	wantDeadline(t, cache, 1300)
	l.receive(cache, hitWith("2"))
	wantDeadline(t, cache, 1800)
	if len(sentDeadline.FindAllString(cache.written, -1)) != 3 {
		t.Errorf("the cache got %q", cache.written)
	}
}

// TestDeadline_OfACommandThatWaitedLongForEarlierOnes guards against attempts that are sent with no time, since their
// command waited unread for as long as it has: waiting for earlier commands does not count.
func TestDeadline_OfACommandThatWaitedLongForEarlierOnes(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	l.r.limits.PipelinedCommands = 1
	client := l.open(nil)
	for i := range 2 { // the second stays unread
		l.receive(client, command("CACHE.GET", "k", fmt.Sprint("r", i), "c=get,d=1900"))
	}
	cache := completeDial()
	l.advance(1850e3)
	l.receive(cache, hitWith("1"))
	wantDeadline(t, cache, 1900)
}
