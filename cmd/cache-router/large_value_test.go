package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// residentMiB returns the resident memory of a process in MiB.
func residentMiB(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skip("/proc is not available")
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	n, _ := strconv.Atoi(strings.Fields(rest)[0])
	return n / 1024
}

// answerLargeValues has a cache server answer each read with a value of this size, in fragments of various sizes. For the key
// "breaks" it sends only half of the answer, for "waits" it delays the second half.
func answerLargeValues(s *endpoint, size int) {
	for m := range s.received {
		if !strings.Contains(m.text, "CACHE.GET") {
			continue
		}
		go func() {
			text := resp.AppendBulk([]byte("*3\r\n"), bytes.Repeat([]byte("v"), size))
			text = append(text, "$3\r\nhit\r\n$-1\r\n"...)
			if strings.Contains(m.text, "breaks") {
				text = text[:len(text)/2]
			}
			for i, n := 0, 0; n < len(text); i++ {
				next := min(len(text), n+[]int{1, 7, 40_000, 3, 100_000, 65_536}[i%6])
				if _, err := m.conn.Write(text[n:next]); err != nil {
					return
				}
				if n = next; strings.Contains(m.text, "waits") && n > len(text)/2 && n < len(text)/2+100_000 {
					time.Sleep(1800 * time.Millisecond)
				}
			}
			if strings.Contains(m.text, "breaks") {
				m.conn.Close()
			}
		}()
	}
}

// Large values are streamed: many at once, with slow readers, need far less memory than the sum of their sizes. A value that breaks
// off midway must not look complete, and a pipelined command is answered after the value. On a machine that stands still for 0.2 s
// all connects time out at once, and the retry budget has some reads rejected: they are sent again until their value comes.
func TestLargeValuesAreStreamed(t *testing.T) {
	const values, size, maxAttempts = 32, 4 << 20, 5
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	go answerLargeValues(h.endpoint("s1"), size)
	send := func(key, id string) net.Conn {
		c, err := net.Dial("tcp", h.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		_, _ = c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte(key), []byte(id), []byte("c=get,d=2500")))
		return c
	}
	read := func(i, attempt int) net.Conn {
		c := send(fmt.Sprint("k", i), fmt.Sprint("r", i, "-", attempt))
		if i == 0 {
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		}
		return c
	}
	var clients []net.Conn
	for i := range values {
		clients = append(clients, read(i, 0))
	}
	time.Sleep(time.Second) // no client reads yet
	if mb := residentMiB(t, h.program.Process.Pid); mb > 64 {
		t.Errorf("%d MiB are resident with %d values of 4 MiB in transit", mb, values)
	}
	full := resp.AppendBulk(nil, bytes.Repeat([]byte("v"), size))
	var rejected []int
	receive := func(i int, isLast bool) {
		got := make([]byte, len(full))
		n, err := io.ReadFull(clients[i], got[:1])
		if err == nil && got[0] == '-' && !isLast {
			rejected = append(rejected, i)
			return
		}
		if err == nil {
			n, err = io.ReadFull(clients[i], got[1:])
			n++
		}
		if err != nil || !bytes.Equal(got, full) {
			t.Fatalf("value %d: %d bytes, beginning with %.20q, %v", i, n, got[:n], err)
		}
	}
	for i := range clients {
		receive(i, false)
	}
	for attempt := 1; len(rejected) > 0; attempt++ { // they are sent again once all others have come
		time.Sleep(time.Second)
		again := rejected
		rejected = nil
		for _, i := range again {
			clients[i] = read(i, attempt)
			receive(i, attempt == maxAttempts)
		}
	}
	pong := make([]byte, 7)
	if _, err := io.ReadFull(clients[0], pong); string(pong) != "+PONG\r\n" {
		t.Errorf("after a large value: got %q, error %v", pong, err)
	}
	broken, err := io.ReadAll(send("breaks", "rb"))
	if err != nil || len(broken) >= len(full) || !bytes.HasPrefix(broken, full[:10]) {
		t.Errorf("truncated value: got %d bytes, error %v", len(broken), err)
	}
	// The first bytes are forwarded at once, and a value that still arrives is not cut off at the request's deadline.
	slow, since := send("waits", "rw"), time.Now()
	if _, err := io.ReadFull(slow, make([]byte, 10)); err != nil || time.Since(since) > time.Second {
		t.Error("the first bytes: ", err, time.Since(since))
	}
	if n, err := io.ReadFull(slow, make([]byte, len(full)-10)); err != nil {
		t.Errorf("the rest of a slow value: %d bytes, error %v", n, err)
	} else if took := time.Since(since); took < 1600*time.Millisecond {
		t.Errorf("the value took only %v, which is too short for this check", took)
	}
	again := send("k0", "again") // on a server connection that has carried large values
	if n, err := io.ReadFull(again, make([]byte, len(full))); err != nil {
		t.Errorf("a later large value: %d bytes, error %v", n, err)
	}
	time.Sleep(200 * time.Millisecond)
	if got := h.adminCall("GET", "/ops/stats", ""); !strings.Contains(got, "succeeded.get:34|") || !strings.Contains(got, "aborted.get:1|") ||
		!strings.Contains(got, "outstanding:0|") {
		t.Error(got)
	}
}
