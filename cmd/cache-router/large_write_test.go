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

// writingClient is a client that writes large values.
type writingClient struct {
	t *testing.T
	net.Conn
}

func (h *harness) newWriter() writingClient {
	c, err := net.Dial("tcp", h.listen)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return writingClient{h.t, c}
}

// sendWrite sends a write in fragments of various sizes.
func (w writingClient) sendWrite(id, props string, size int) {
	text := resp.AppendCommand(nil, []byte("CACHE.SET"), []byte("k"), []byte(id), []byte(props), bytes.Repeat([]byte("v"), size))
	for i, n := 0, 0; n < len(text); i++ {
		next := min(len(text), n+[]int{1, 7, 40_000, 3, 100_000, 65_536}[i%6])
		if _, err := w.Write(text[n:next]); err != nil {
			return // the answer is checked instead
		}
		n = next
	}
}

// checkRead reads as many bytes as want has and compares them.
func (w writingClient) checkRead(want string) {
	w.t.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(w, got); string(got) != want {
		w.t.Errorf("got %q (%v), want %q", got[:n], err, want)
	}
}

// Large writes are streamed: many at once need far less memory than the sum of their values. Pipelined commands before and
// after a write are answered in order.
func TestLargeWritesAreStreamed(t *testing.T) {
	const writes, size = 32, 4 << 20
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	o := h.endpoint("origin")
	hold := make(chan bool)
	go func() {
		<-hold
		for m := range o.received {
			if strings.Contains(m.text, ": PUT ") && strings.Contains(m.text, fmt.Sprint(size, " bytes")) {
				_, _ = io.WriteString(m.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}()
	var all sync.WaitGroup
	for i := range writes {
		all.Go(func() {
			w := h.newWriter()
			_, _ = io.WriteString(w, "*1\r\n$4\r\nPING\r\n")
			w.sendWrite(fmt.Sprint("w", i), "c=get,d=2500", size)
			_, _ = io.WriteString(w, "*1\r\n$4\r\nPING\r\n")
			w.checkRead("+PONG\r\n$2\r\nok\r\n+PONG\r\n")
		})
	}
	time.Sleep(500 * time.Millisecond)
	if mb := residentMiB(t, h.program.Process.Pid); mb > 64 {
		t.Errorf("%d MiB are resident with %d values of 4 MiB in transit", mb, writes)
	}
	close(hold)
	all.Wait()
	time.Sleep(200 * time.Millisecond) // metrics are published with a delay
	if got := h.adminCall("GET", "/ops/stats", ""); !strings.Contains(got, "outstanding:0|") {
		t.Error(got)
	}
}

// Checks the answer of a large write that is refused, interrupted, malformed or abandoned by its client.
func TestLargeWriteFailures(t *testing.T) {
	const size = 1 << 20
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	o := h.endpoint("origin")
	w := h.newWriter()
	w.sendWrite("a", "c=nothing,d=2500", size) // refused when its head is read, answered after its body
	w.checkRead("-ERR a req needs a new id, c, and d\r\n")
	go func() { // the origin closes the connection when it has the whole write, which may have run
		for m := range o.received {
			switch {
			case strings.Contains(m.text, "PUT /k half"): // a body without a length that ends with a reset is no answer
				_, _ = io.WriteString(m.conn, "HTTP/1.1 200 OK\r\n\r\nha")
				_ = m.conn.(*net.TCPConn).SetLinger(0)
			case strings.Contains(m.text, "PUT /k whole"):
				_, _ = io.WriteString(m.conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			}
			if strings.Contains(m.text, "PUT ") {
				m.conn.Close()
			}
		}
	}()
	w.sendWrite("b", "c=pay,d=2500", size)
	w.checkRead("-ERR failed\r\n")
	w.sendWrite("c", "c=get,d=2500", size) // may run again, but its body is not kept: the client may retry
	w.checkRead("-BUSY 1000\r\n")
	w.sendWrite("half", "c=pay,d=2500", size)
	w.checkRead("-ERR failed\r\n")
	w.sendWrite("whole", "c=pay,d=2500", size)
	w.checkRead("$5\r\nwhole\r\n")
	o.ln.Close()
	o.closeAll(true)
	w.sendWrite("d", "c=pay,d=2500", size) // no connection: the write has not run
	w.checkRead("-BUSY 1000\r\n")
	_, _ = io.WriteString(w, "*1\r\n$4\r\nPING\r\n")
	w.checkRead("+PONG\r\n")
	// A value that is not followed by a line end makes the command invalid: it must not run, and the connection is closed.
	bad := h.newWriter()
	text := resp.AppendStreamedCommand(nil, 100_000, []byte("CACHE.SET"), []byte("k"), []byte("f"), []byte("c=pay,d=2500"))
	_, _ = bad.Write(append(text, bytes.Repeat([]byte("v"), 100_002)...))
	if got, err := io.ReadAll(bad); len(got) > 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("after an invalid command: got %q, error %v", got, err)
	}
	// A write that its client abandons midway is dropped.
	gone := h.newWriter()
	_, _ = io.WriteString(gone, "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ne\r\n$10\r\nc=pay,d=99\r\n$1000000\r\nvvv")
	time.Sleep(100 * time.Millisecond)
	gone.Close()
	time.Sleep(300 * time.Millisecond)
	if got := h.adminCall("GET", "/ops/stats", ""); !strings.Contains(got, "outstanding:0|") {
		t.Error(got)
	}
}
