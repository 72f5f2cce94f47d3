package main

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// These tests check the deadlines that servers receive over real connections: a client sends d, one server uses up a part of it,
// and the next server must not be sent more than remains. The bounds hold however slow the machine is.

const (
	clientTimeout = 2500 * time.Millisecond
	serverDelay   = 400 * time.Millisecond
)

var deadlineProperty = regexp.MustCompile(`\bd=([0-9]+)`)

// nextAttempt returns the next attempt that a server receives, and its deadline.
func (h *harness) nextAttempt(s *endpoint) (m message, sent time.Duration) {
	h.t.Helper()
	select {
	case m = <-s.received:
	case <-time.After(waitTimeout):
		h.t.Fatal("the server received no attempt")
	}
	found := deadlineProperty.FindStringSubmatch(m.text)
	if found == nil {
		h.t.Fatalf("no deadline in %q", m.text)
	}
	ms, err := strconv.Atoi(found[1])
	if err != nil {
		h.t.Fatal(err)
	}
	return m, time.Duration(ms) * time.Millisecond
}

// sendCommand sends a command on a new connection, and returns the latest time at which its deadline can have begun.
func (h *harness) sendCommand(words ...string) (net.Conn, time.Time) {
	h.t.Helper()
	c, err := net.Dial("tcp", h.listen)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	var args [][]byte
	for _, w := range words {
		args = append(args, []byte(w))
	}
	_, err = c.Write(resp.AppendCommand(nil, args...))
	if err != nil {
		h.t.Fatal(err)
	}
	return c, time.Now()
}

// checkDeadlineSent compares a deadline that a server was sent, at time earliest or later, with the time that the client had left
// at earliest.
func (h *harness) checkDeadlineSent(kind string, deadline time.Duration, requested, earliest time.Time) {
	h.t.Helper()
	remaining := clientTimeout - earliest.Sub(requested)
	if deadline > remaining || deadline <= 0 {
		h.t.Errorf("%s: the client had %v left, the server was sent %v", kind, remaining, deadline)
	}
}

func TestAttemptsCarryRemainingDeadline(t *testing.T) {
	const miss, failed = "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "-ERR failed\r\n"
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	cache, origin := h.endpoint("s1"), h.endpoint("origin")
	properties := fmt.Sprintf("c=get,d=%d", clientTimeout.Milliseconds())

	_, requested := h.sendCommand("CACHE.GET", "k1", "late-miss", properties)
	first, sent := h.nextAttempt(cache)
	h.checkDeadlineSent("first attempt", sent, requested, requested)
	time.Sleep(serverDelay)
	answered := time.Now()
	_, _ = io.WriteString(first.conn, miss)
	fetch, sent := h.nextAttempt(origin)
	h.checkDeadlineSent("origin after a late miss", sent, requested, answered)
	_, _ = io.WriteString(fetch.conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")

	_, requested = h.sendCommand("CACHE.GET", "k1", "late-error", properties)
	first, _ = h.nextAttempt(cache)
	time.Sleep(serverDelay)
	answered = time.Now()
	_, _ = io.WriteString(first.conn, failed)
	_, sent = h.nextAttempt(cache)
	h.checkDeadlineSent("retry after a late error", sent, requested, answered)
}

// Where two concurrent attempts are allowed, a hedged request starts while the first attempt is in flight.
func TestHedgedRequestCarriesRemainingDeadline(t *testing.T) {
	h := newHarness(t)
	h.ownRouters = true
	h.start([]string{"s1", "origin"})
	cache, origin := h.endpoint("s1"), h.endpoint("origin")
	properties := fmt.Sprintf("c=get,d=%d", clientTimeout.Milliseconds())
	_, _ = h.sendCommand("CACHE.GET", "k1", "quick", properties)
	first, _ := h.nextAttempt(cache)
	time.Sleep(serverDelay) // the hedging delay follows the observed latency
	_, _ = io.WriteString(first.conn, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	_, requested := h.sendCommand("CACHE.GET", "k1", "hedged", properties)
	_, _ = h.nextAttempt(cache)
	began := time.Now()
	m, sent := h.nextAttempt(origin)
	if !strings.Contains(m.text, "hedged") {
		t.Fatalf("the origin got %q", m.text)
	}
	if waited := time.Since(began); waited < serverDelay/2 {
		t.Errorf("the hedged request was sent after %v, which is too soon for this check", waited)
	}
	if sent > clientTimeout-serverDelay/2 || sent <= 0 {
		t.Errorf("%v after the request, the hedged request carried %v of %v", time.Since(requested), sent, clientTimeout)
	}
}

// The head of a streamed write is sent before its value has arrived.
func TestLargeWriteCarriesRemainingDeadline(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	origin := h.endpoint("origin")
	requested := time.Now()
	go h.newWriter().sendWrite("big", fmt.Sprintf("c=get,d=%d", clientTimeout.Milliseconds()), 1<<20)
	_, sent := h.nextAttempt(origin)
	h.checkDeadlineSent("large write", sent, requested, requested)
}
