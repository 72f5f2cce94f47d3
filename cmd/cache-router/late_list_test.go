package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// writeList writes a list or changes of it as a response of discovery.
func (h *harness) writeList(conn net.Conn, all bool, rev int, servers ...string) {
	body := h.listBody(all, rev, servers)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against requests at a draining server: discovery answers the request for the full list twice, and the second answer, which
// is older than the changes that came between, is taken for that of the next watch.
func TestSecondListDoesNotBringADrainingServerBack(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	discovery := h.endpoint("discovery")
	drained := make(chan bool)
	go func() {
		calls := map[net.Conn]int{}
		isDraining := false
		for m := range discovery.received {
			switch calls[m.conn]++; {
			case strings.HasSuffix(m.text, "the end"):
			case !strings.Contains(m.text, "index="):
				if !isDraining {
					h.writeList(m.conn, true, 5, "s1", "origin")
					continue
				}
				h.writeList(m.conn, true, 6, "s1:leaving", "origin")
			case strings.Contains(m.text, "index=5") && !isDraining:
				isDraining = true
				h.writeList(m.conn, false, 6, "s1:leaving")
			case strings.Contains(m.text, "index=6") && calls[m.conn] == 3:
				h.writeList(m.conn, true, 5, "s1", "origin") // the first response again
				time.Sleep(100 * time.Millisecond)
				close(drained)
			}
		}
	}()
	go func() {
		for m := range h.endpoint("origin").received {
			_, _ = fmt.Fprint(m.conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
		}
	}()
	<-drained
	time.Sleep(1200 * time.Millisecond) // the grace period of a drain is 1 s
	cache := h.endpoint("s1")
	for i := range 5 {
		conn, _ := h.sendCommand("CACHE.GET", "k1", fmt.Sprint("r", i), "c=get,d=2500")
		select {
		case m := <-cache.received:
			t.Errorf("the draining server received %q", m.text)
		case <-time.After(50 * time.Millisecond):
		}
		conn.Close()
	}
}
