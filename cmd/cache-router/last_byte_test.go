package main

import (
	"bytes"
	"net"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// closingOrigin is an origin that closes each connection as soon as it has all of a write's value but its last byte. The kernel of
// the router accepts that byte, and the reset that answers it comes before the router's next call on the connection.
type closingOrigin struct {
	valueBytes int
	closed     chan struct{} // an element for each connection that has been closed
}

func newClosingOrigin(h *harness, valueBytes int) *closingOrigin {
	o := &closingOrigin{valueBytes: valueBytes, closed: make(chan struct{}, 16)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	e := &endpoint{ln: ln, received: make(chan message, 16)}
	h.setEndpoint("origin", e)
	go e.accept(func(_ *endpoint, c net.Conn) { o.read(c) })
	return o
}

func (o *closingOrigin) read(c net.Conn) {
	defer c.Close()
	var received []byte
	chunk := make([]byte, 64<<10)
	for {
		n, err := c.Read(chunk)
		if err != nil {
			return
		}
		received = append(received, chunk[:n]...)
		head := bytes.Index(received, []byte("\r\n\r\n"))
		if head >= 0 && len(received) >= head+len("\r\n\r\n")+o.valueBytes-1 {
			c.Close()
			o.closed <- struct{}{}
			return
		}
	}
}

// TestLargeWrite_ResetBehindItsLastByteIsNotRejected guards against a large write that must not run twice and is rejected as harmless
// although the kernel has accepted its last byte: something else that failed on the connection used to count as that byte.
func TestLargeWrite_ResetBehindItsLastByteIsNotRejected(t *testing.T) {
	const size = 100_000
	h := newHarness(t)
	o := newClosingOrigin(h, size)
	h.start([]string{"s1", "origin"})
	w := h.newWriter()
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		text := resp.AppendCommand(nil, []byte("CACHE.SET"), []byte("k"), []byte(id), []byte("c=pay,d=2500"), bytes.Repeat([]byte("v"), size))
		rest := len(text) - len("v\r\n")
		_, _ = w.Write(text[:rest])
		select {
		case <-o.closed:
		case <-time.After(waitTimeout):
			t.Fatalf("%s: the origin got no value", id)
		}
		time.Sleep(20 * time.Millisecond) // for the end of its connection to arrive
		if _, err := w.Write(text[rest:]); err != nil {
			t.Fatal(err)
		}
		w.checkRead("-ERR failed\r\n")
	}
}
