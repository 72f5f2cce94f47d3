package router

import (
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
)

const pingCommand = "*1\r\n$4\r\nPING\r\n"

// usedConnection returns a loop whose client has been served "1" by a cache server, that server's connection, which is idle, and
// the function that completes the next dial.
func usedConnection(t *testing.T) (l *fakeLoop, client, cache *fakeConn, completeDial func() *fakeConn) {
	t.Helper()
	l, completeDial = newHeldDials(t, nil)
	client = l.open(nil)
	l.receive(client, command("CACHE.GET", "k", "r1", "c=get,d=1900"))
	cache = completeDial()
	l.receive(cache, hitWith("1"))
	cache.written, client.written = "", ""
	return l, client, cache, completeDial
}

// Guards against a value that was made for an earlier request being served: it repeats one that the connection has delivered,
// and a server may answer twice at any time.
func TestRepeatedValueIsServedOnlyOnceConfirmed(t *testing.T) {
	for _, c := range []struct {
		name    string
		inputs  []string // from the server, each read by itself
		client  string   // what the client gets before a retry
		isAsked bool     // a fence is sent
		closed  bool
	}{
		{"another value", []string{hitWith("2")}, "$1\r\n2\r\n", false, false},
		{"the same value, confirmed", []string{hitWith("1"), "+PONG\r\n"}, "$1\r\n1\r\n", true, false},
		{"confirmed in two pieces", []string{hitWith("1"), "+PO", "NG\r\n"}, "$1\r\n1\r\n", true, false},
		{"not confirmed yet", []string{hitWith("1")}, "", true, false},
		{"followed by the real answer", []string{hitWith("1"), hitWith("2")}, "", true, true},
		{"followed by the real answer at once", []string{hitWith("1") + hitWith("2")}, "", false, true},
		{"the fence is rejected", []string{hitWith("1"), "-ERR busy\r\n"}, "", true, true},
		{"confirmed, and one answer more", []string{hitWith("1"), "+PONG\r\n" + hitWith("1")}, "$1\r\n1\r\n", true, true},
		{"the real answer, then the same value", []string{hitWith("2") + hitWith("1")}, "$1\r\n2\r\n", false, true},
	} {
		l, client, cache, _ := usedConnection(t)
		l.receive(client, command("CACHE.GET", "k", "r2", "c=get,d=1900"))
		cache.written = ""
		for _, input := range c.inputs {
			l.receive(cache, input)
		}
		if client.written != c.client || cache.closed != c.closed || strings.Contains(cache.written, pingCommand) != c.isAsked {
			t.Errorf("%s: the client got %q, the server got %q, closed %v", c.name, client.written, cache.written, cache.closed)
		}
	}
}

// Guards against the same with a second answer that comes behind many others.
func TestRepeatedValueIsRecognizedBehindOthers(t *testing.T) {
	l, client, cache, _ := usedConnection(t)
	for i := range maxRememberedAnswers - 1 {
		l.receive(client, command("CACHE.GET", "k", "n"+string(rune('a'+i)), "c=get,d=1900"))
		l.receive(cache, hitWith(string(rune('a'+i))))
	}
	client.written = ""
	l.receive(client, command("CACHE.GET", "k", "late", "c=get,d=1900"))
	l.receive(cache, hitWith("1"))
	if client.written != "" || !strings.HasSuffix(cache.written, pingCommand) {
		t.Errorf("the client got %q, the server got %.60q", client.written, cache.written)
	}
}

// Guards against a connection that stays out of step: a miss repeats an earlier one, and the real answer may follow.
func TestConnectionIsNotReusedAfterARepeatedMiss(t *testing.T) {
	const miss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
	l, client, cache, _ := usedConnection(t)
	for _, id := range []string{"r2", "r3"} {
		l.receive(client, command("CACHE.GET", "k"+id, id, "c=get,d=1900"))
		l.receive(cache, miss)
	}
	if !cache.closed || l.r.counts.Misses != 2 {
		t.Errorf("closed %v, %d misses", cache.closed, l.r.counts.Misses)
	}
}

// Guards against an answer that arrives before its request has been sent completely: it belongs to an earlier one.
func TestAnswerAheadOfItsRequestIsNotServed(t *testing.T) {
	l, client, cache, _ := usedConnection(t)
	cache.outboundBytes = 1
	l.receive(client, command("CACHE.GET", "k", "r2", "c=get,d=1900"))
	l.receive(cache, hitWith("2"))
	if client.written != "" || !cache.closed || l.r.counts.AttemptEnds[routing.ConnectError] != 1 {
		t.Errorf("the client got %q, closed %v, attempts %v", client.written, cache.closed, l.r.counts.AttemptEnds)
	}
}

// Guards against a retry whose answer is in doubt again: it is sent on a connection that has carried nothing.
func TestRetryOfADoubtfulAnswerHasAnUnusedConnection(t *testing.T) {
	l, client, cache, completeDial := usedConnection(t)
	l.receive(client, command("CACHE.GET", "k", "r2", "c=get,d=1900"))
	l.receive(cache, hitWith("1")+hitWith("2"))
	retry := completeDial()
	if !strings.Contains(retry.written, "r2") || retry.ctx.(*upstream).attemptCount != 1 {
		t.Errorf("the new connection carries %q", retry.written)
	}
	if l.receive(retry, hitWith("1")); client.written != "$1\r\n1\r\n" {
		t.Errorf("the client got %q", client.written)
	}
}

// TestFence_ThatCannotBeSentEndsTheAttempt guards against a loop that handles an attempt which has ended: gnet closes the connection
// within a write that fails.
func TestFence_ThatCannotBeSentEndsTheAttempt(t *testing.T) {
	l, client, cache, _ := usedConnection(t)
	l.receive(client, command("CACHE.GET", "k", "r2", "c=pay,d=1900"))
	client.written = ""
	cache.writeErr = unix.EPIPE
	l.receive(cache, hitWith("1"))
	if !cache.closed || client.written != "-ERR failed\r\n" {
		t.Errorf("closed %v, the client got %q, want an error: the attempt may have run", cache.closed, client.written)
	}
}
