package router

import (
	"fmt"
	"strings"
	"testing"

	"spurtrestle/core/clock"
)

// TestSlowReader_GetsAllAnswers guards against answers that are lost since their client reads more slowly than the
// servers answer: they wait until the kernel accepts them. Only a client that reads nothing for long is closed.
func TestSlowReader_GetsAllAnswers(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	l.r.limits.LargeValueRetryInterval, l.r.limits.LargeValueUnreadTimeout = 5*clock.Millisecond, 10*clock.Second
	client := l.open(nil)
	client.outboundBytes = 1
	for _, id := range []string{"first", "second", "third"} {
		l.receive(client, command("CACHE.GET", "k", id, "c=get,d=1900"))
	}
	for i, server := range []*fakeConn{completeDial(), completeDial(), completeDial()} {
		l.receive(server, hitWith(fmt.Sprint(i+1)))
	}
	l.advance(9 * clock.Second)
	if client.closed || client.written != "" {
		t.Fatalf("closed: %v, written: %q", client.closed, client.written)
	}
	client.outboundBytes = 0
	l.advance(10 * clock.Millisecond)
	if want := "$1\r\n1\r\n$1\r\n2\r\n$1\r\n3\r\n"; client.written != want {
		t.Errorf("got %q, want %q", client.written, want)
	}
	client.outboundBytes = 1
	l.receive(client, command("PING"))
	l.advance(11 * clock.Second)
	l.advance(10 * clock.Millisecond)
	if !client.closed || l.r.held.Total() != 0 {
		t.Errorf("a client that reads nothing: closed %v, %d bytes are held", client.closed, l.r.held.Total())
	}
}

// TestSlowReader_AnswersBehindAnUnsentOneWait guards against answers that overtake one that is partly sent.
func TestSlowReader_AnswersBehindAnUnsentOneWait(t *testing.T) {
	l, _ := newHeldDials(t, nil)
	l.r.limits.LargeValueRetryInterval = 5 * clock.Millisecond
	client := l.open(nil)
	client.outboundBytes = 1
	l.receive(client, command("PING", "first"))
	client.outboundBytes = 0
	l.receive(client, command("PING", "second"))
	l.advance(10 * clock.Millisecond)
	if first, second := strings.Index(client.written, "first"), strings.Index(client.written, "second"); first < 0 || second < first {
		t.Errorf("got %q, want the first answer before the second", client.written)
	}
}
