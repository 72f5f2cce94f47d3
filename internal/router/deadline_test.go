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

// The deadline that each kind of attempt is sent with, by a clock that is set on: never more than what its client has left.

var sentDeadline = regexp.MustCompile(`[ ,\n]d=([0-9]+)`)

// deadlineIn returns the deadline, in milliseconds, of the last attempt that was written to a server's connection.
func deadlineIn(t *testing.T, server *notedConn) int {
	t.Helper()
	found := sentDeadline.FindAllStringSubmatch(server.wrote, -1)
	if len(found) == 0 {
		t.Fatalf("no deadline in %q", server.wrote)
	}
	ms, err := strconv.Atoi(found[len(found)-1][1])
	if err != nil {
		t.Fatal(err)
	}
	return ms
}

// wantDeadline holds a deadline sent to what is left of a client's time, and not much less: a server is not to give up early.
func wantDeadline(t *testing.T, server *notedConn, left int) {
	t.Helper()
	const tolerance = 200 // for the real time that the test itself takes, in milliseconds
	if sent := deadlineIn(t, server); sent > left || sent < left-tolerance {
		t.Errorf("with %d ms left the server was sent %d ms", left, sent)
	}
}

// A big write is sent on as it comes, once there is a connection for it: its head carries what is left then.
func TestDeadlineOfABigWriteWhoseConnectionComesUpLate(t *testing.T) {
	l, up := held(t, nil)
	l.r.loop = enrollsNobody{l}
	l.r.lim.RESP.Streamed, l.r.lim.LargeValueWindow, l.r.lim.LargeValueStallTimeout = 1<<20, 1<<12, 5e6
	client := l.open(nil)
	client.fd, _ = sockets(t)
	const size = 1 << 17
	head := fmt.Sprintf("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nr1\r\n$12\r\nc=get,d=1900\r\n$%d\r\nv", size)
	l.comes(client, head)
	l.pass(700e3)
	var other int
	l.fd, other = sockets(t)
	up()
	server, err := net.FileConn(os.NewFile(uintptr(dup(t, other)), ""))
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
	wantDeadline(t, &notedConn{wrote: string(read[:n])}, 1200)
}

func dup(t *testing.T, fd int) int {
	t.Helper()
	other, err := unix.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	return other
}

const (
	missed = "*3\r\n$-1\r\n$-1\r\n$-1\r\n"
	erred  = "-ERR failed\r\n"
)

func TestDeadlineOfAnAttemptAfterALateMiss(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache := up()
	wantDeadline(t, cache, 1900)
	l.pass(600e3)
	l.comes(cache, missed)
	wantDeadline(t, up(), 1300)
}

func TestDeadlineOfARetry(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache := up()
	l.pass(600e3)
	l.comes(cache, erred)
	l.pass(0)
	retried := cache // on the same connection, or on a new one
	if len(sentDeadline.FindAllString(cache.wrote, -1)) < 2 {
		retried = up()
	}
	wantDeadline(t, retried, 1300)
}

func TestDeadlineWhenTheConnectionComesUpLate(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	l.pass(400e3)
	cache := up()
	wantDeadline(t, cache, 1500)
	l.pass(300e3)
	l.comes(cache, missed)
	l.pass(500e3)
	wantDeadline(t, up(), 700)
}

func TestDeadlineOfAWrite(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.SET", "k", "r1", "c=pay,d=1900", "v"))
	l.pass(700e3)
	wantDeadline(t, up(), 1200)
}

// A front off the loop gives the client's time in the call; its properties hold a placeholder.
func TestDeadlineOfAnOffer(t *testing.T) {
	l, up := held(t, func(s *routing.Settings) {
		for i := range s.Methods {
			s.Methods[i].Deadline = 3e6
		}
	})
	l.r.lim.ExternalRequests = 10
	close(l.r.ready)
	answered := func(wire.Answer) {}
	offer := &Offer{Request: wire.Request{ID: "r1", Key: []byte("k"), Props: wire.NewProps([]byte("c=get,d=1"))}, Method: "get", Waits: 1900e3,
		Answer: answered, Refuse: func(why Refusal) { t.Errorf("refused: %d", why) }}
	if !l.r.Offer(offer) {
		t.Fatal("the offer is not taken")
	}
	l.rounds()
	cache := up()
	wantDeadline(t, cache, 1900)
	l.pass(600e3)
	l.comes(cache, missed)
	wantDeadline(t, up(), 1300)
}

// A router waits less for a cache than its client waits for it; the cache is sent the lesser.
func TestDeadlineIsTheRoutersWhereThatIsLess(t *testing.T) {
	l, up := held(t, nil)
	client := l.open(nil)
	l.comes(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache := up()
	attempt := cache.ctx.(*upstream).carries
	attempt.within, attempt.q.due = 500e3, attempt.sent+1900e3
	if left := attempt.remaining(attempt.sent); left != 500e3 {
		t.Errorf("of a wait of 500 ms there are %d us left", left)
	}
	attempt.within, attempt.q.due = 1900e3, attempt.sent+500e3
	if left := attempt.remaining(attempt.sent + 100e3); left != 400e3 {
		t.Errorf("of a client's 400 ms there are %d us left", left)
	}
}

// A command that waited unread, since its client had as many in hand as it may have, is dated by when it came.
func TestDeadlineOfACommandThatWaitedUnread(t *testing.T) {
	l, up := held(t, nil)
	l.r.lim.PipelinedCommands = 1
	client := l.open(nil)
	for i := range 2 { // the second waits unread
		l.comes(client, command("CACHE.GET", "k", fmt.Sprint("r", i), "c=get,d=1900"))
	}
	cache := up()
	l.pass(500e3)
	l.comes(client, command("CACHE.GET", "k", "later", "c=get,d=1900"))
	l.pass(100e3)
	const value = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
	l.comes(cache, value)
	wantDeadline(t, cache, 1300)
	l.comes(cache, value)
	wantDeadline(t, cache, 1800)
	if len(sentDeadline.FindAllString(cache.wrote, -1)) != 3 {
		t.Errorf("the cache got %q", cache.wrote)
	}
}
