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

// The program is told d by a client, a server spends some of it, and the next server reads what is left: over real
// connections, and by a bound that holds however slow the machine is.

const (
	clientWaits = 2500 * time.Millisecond
	spent       = 400 * time.Millisecond
)

var deadlineRead = regexp.MustCompile(`\bd=([0-9]+)`)

// next is the next attempt that a server reads, and the deadline it was sent.
func (p *player) next(s *side) (m message, sent time.Duration) {
	p.t.Helper()
	select {
	case m = <-s.came:
	case <-time.After(patience):
		p.t.Fatal("no attempt came")
	}
	found := deadlineRead.FindStringSubmatch(m.text)
	if found == nil {
		p.t.Fatalf("no deadline in %q", m.text)
	}
	ms, err := strconv.Atoi(found[1])
	if err != nil {
		p.t.Fatal(err)
	}
	return m, time.Duration(ms) * time.Millisecond
}

// sendsAt sends a command as a client does, and returns when its time began at the latest.
func (p *player) sendsAt(words ...string) (net.Conn, time.Time) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	var args [][]byte
	for _, w := range words {
		args = append(args, []byte(w))
	}
	_, err = c.Write(resp.AppendCommand(nil, args...))
	if err != nil {
		p.t.Fatal(err)
	}
	return c, time.Now()
}

// wantLeft holds a deadline sent, read at a moment at the earliest, to what the client had left then.
func (p *player) wantLeft(kind string, sent time.Duration, asked, earliest time.Time) {
	p.t.Helper()
	left := clientWaits - earliest.Sub(asked)
	if sent > left || sent <= 0 {
		p.t.Errorf("%s: the client had %v left, the server was sent %v", kind, left, sent)
	}
}

func TestServersAreSentWhatIsLeft(t *testing.T) {
	const miss, failed = "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "-ERR failed\r\n"
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	cache, origin := p.server("s1"), p.server("origin")
	properties := fmt.Sprintf("c=get,d=%d", clientWaits.Milliseconds())

	_, asked := p.sendsAt("CACHE.GET", "k1", "late-miss", properties)
	first, sent := p.next(cache)
	p.wantLeft("first attempt", sent, asked, asked)
	time.Sleep(spent)
	answered := time.Now()
	_, _ = io.WriteString(first.on, miss)
	fetch, sent := p.next(origin)
	p.wantLeft("origin after a late miss", sent, asked, answered)
	_, _ = io.WriteString(fetch.on, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")

	_, asked = p.sendsAt("CACHE.GET", "k1", "late-error", properties)
	first, _ = p.next(cache)
	time.Sleep(spent)
	answered = time.Now()
	_, _ = io.WriteString(first.on, failed)
	_, sent = p.next(cache)
	p.wantLeft("retry after a late error", sent, asked, answered)
}

// Where two attempts at once are allowed, the second begins while the first is out.
func TestHedgeIsSentWhatIsLeft(t *testing.T) {
	p := newPlayer(t)
	p.own = true
	p.start([]string{"s1", "origin"})
	cache, origin := p.server("s1"), p.server("origin")
	properties := fmt.Sprintf("c=get,d=%d", clientWaits.Milliseconds())
	_, _ = p.sendsAt("CACHE.GET", "k1", "quick", properties)
	first, _ := p.next(cache)
	time.Sleep(spent) // a cache that answers so late is hedged that much later
	_, _ = io.WriteString(first.on, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	_, asked := p.sendsAt("CACHE.GET", "k1", "hedged", properties)
	_, _ = p.next(cache)
	began := time.Now()
	m, sent := p.next(origin)
	if !strings.Contains(m.text, "hedged") {
		t.Fatalf("the origin got %q", m.text)
	}
	if waited := time.Since(began); waited < spent/2 {
		t.Errorf("the hedge came after %v: too soon to tell", waited)
	}
	if sent > clientWaits-spent/2 || sent <= 0 {
		t.Errorf("%v after the request the hedge was sent %v of %v", time.Since(asked), sent, clientWaits)
	}
}

// A write whose value is passed on as it comes: the head goes out while the value is still to come.
func TestBigWriteIsSentWhatIsLeft(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	origin := p.server("origin")
	asked := time.Now()
	go p.writer().put("big", fmt.Sprintf("c=get,d=%d", clientWaits.Milliseconds()), 1<<20)
	_, sent := p.next(origin)
	p.wantLeft("big write", sent, asked, asked)
}
