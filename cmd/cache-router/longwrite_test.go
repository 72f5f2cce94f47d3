package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// writer is a client that writes big values.
type writer struct {
	t *testing.T
	net.Conn
}

func (p *player) writer() writer {
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return writer{p.t, c}
}

// put sends a write in pieces cut anywhere.
func (w writer) put(id, props string, size int) {
	text := resp.AppendCommand(nil, []byte("CACHE.SET"), []byte("k"), []byte(id), []byte(props), bytes.Repeat([]byte("v"), size))
	for i, n := 0, 0; n < len(text); i++ {
		next := min(len(text), n+[]int{1, 7, 40_000, 3, 100_000, 65_536}[i%6])
		if _, err := w.Write(text[n:next]); err != nil {
			return // what is read tells
		}
		n = next
	}
}

func (w writer) gets(want string) {
	w.t.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(w, got); string(got) != want {
		w.t.Errorf("got %q (%v), want %q", got[:n], err, want)
	}
}

// Big writes pass in pieces, many at once, far under what holding them would take; their answers come behind them, and
// what stands before and behind them on a connection is answered in its turn.
func TestBigWrites(t *testing.T) {
	const many, size = 32, 4 << 20
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	o := p.server("origin")
	hold := make(chan bool)
	go func() {
		<-hold
		for m := range o.came {
			if strings.Contains(m.text, ": PUT ") && strings.Contains(m.text, fmt.Sprint(size, " bytes")) {
				_, _ = io.WriteString(m.on, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}()
	var all sync.WaitGroup
	for i := range many {
		all.Go(func() {
			w := p.writer()
			_, _ = io.WriteString(w, "*1\r\n$4\r\nPING\r\n")
			w.put(fmt.Sprint("w", i), "c=get,d=2500", size)
			_, _ = io.WriteString(w, "*1\r\n$4\r\nPING\r\n")
			w.gets("+PONG\r\n$2\r\nok\r\n+PONG\r\n")
		})
	}
	time.Sleep(500 * time.Millisecond)
	if mb := resident(t, p.program.Process.Pid); mb > 64 {
		t.Errorf("%d MiB are resident with %d values of 4 MiB under way", mb, many)
	}
	close(hold)
	all.Wait()
	time.Sleep(200 * time.Millisecond) // figures may be a little old
	if got := p.call("GET", "/ops/stats", ""); !strings.Contains(got, "outstanding:0|") {
		t.Error(got)
	}
}

// How a big write ends when it does not end well.
func TestBigWritesThatEnd(t *testing.T) {
	const size = 1 << 20
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	o := p.server("origin")
	w := p.writer()
	w.put("a", "c=nothing,d=2500", size) // refused at its head, answered behind its body
	w.gets("-ERR a req needs a new id, c, and d\r\n")
	go func() { // the origin ends the connection once all has come: it may have run
		for m := range o.came {
			switch {
			case strings.Contains(m.text, "PUT /k half"): // without a length, and reset: no answer
				_, _ = io.WriteString(m.on, "HTTP/1.1 200 OK\r\n\r\nha")
				_ = m.on.(*net.TCPConn).SetLinger(0)
			case strings.Contains(m.text, "PUT /k whole"):
				_, _ = io.WriteString(m.on, "HTTP/1.1 200 OK\r\n\r\nwhole")
			}
			if strings.Contains(m.text, "PUT ") {
				m.on.Close()
			}
		}
	}()
	w.put("b", "c=pay,d=2500", size)
	w.gets("-ERR failed\r\n")
	w.put("c", "c=get,d=2500", size) // may run again, but its body is gone: the client may send it again
	w.gets("-BUSY 1000\r\n")
	w.put("half", "c=pay,d=2500", size)
	w.gets("-ERR failed\r\n")
	w.put("whole", "c=pay,d=2500", size)
	w.gets("$5\r\nwhole\r\n")
	o.ln.Close()
	o.closeAll(true)
	w.put("d", "c=pay,d=2500", size) // no connection: it never ran
	w.gets("-BUSY 1000\r\n")
	_, _ = io.WriteString(w, "*1\r\n$4\r\nPING\r\n")
	w.gets("+PONG\r\n")
	// One with no line end behind it is no command: it never runs, and the connection ends.
	bad := p.writer()
	text := resp.AppendStreamedCommand(nil, 100_000, []byte("CACHE.SET"), []byte("k"), []byte("f"), []byte("c=pay,d=2500"))
	_, _ = bad.Write(append(text, bytes.Repeat([]byte("v"), 100_002)...))
	if got, err := io.ReadAll(bad); len(got) > 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("%q, %v", got, err)
	}
	// One that its client leaves in the middle is forgotten.
	gone := p.writer()
	_, _ = io.WriteString(gone, "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ne\r\n$10\r\nc=pay,d=99\r\n$1000000\r\nvvv")
	time.Sleep(100 * time.Millisecond)
	gone.Close()
	time.Sleep(300 * time.Millisecond)
	if got := p.call("GET", "/ops/stats", ""); !strings.Contains(got, "outstanding:0|") {
		t.Error(got)
	}
}
