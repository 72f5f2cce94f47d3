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

// resident is what a process holds, in MiB.
func resident(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	n, _ := strconv.Atoi(strings.Fields(rest)[0])
	return n / 1024
}

// answers has a cache server answer each command with so many bytes, in pieces cut anywhere; of "breaks" only half, and
// of "waits" the second half late.
func answers(s *side, size int) {
	for m := range s.came {
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
				if _, err := m.on.Write(text[n:next]); err != nil {
					return
				}
				if n = next; strings.Contains(m.text, "waits") && n > len(text)/2 && n < len(text)/2+100_000 {
					time.Sleep(1800 * time.Millisecond)
				}
			}
			if strings.Contains(m.text, "breaks") {
				m.on.Close()
			}
		}()
	}
}

// Big values pass in pieces: many at once, with slow readers, stay far under what holding them would take; one that
// breaks midway is never made to look whole; what waits behind one on its connection is answered after it.
func TestBigValues(t *testing.T) {
	const many, size = 32, 4 << 20
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	go answers(p.server("s1"), size)
	ask := func(key, id string) net.Conn {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		_, _ = c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte(key), []byte(id), []byte("c=get,d=2500")))
		return c
	}
	var clients []net.Conn
	for i := range many {
		clients = append(clients, ask(fmt.Sprint("k", i), fmt.Sprint("r", i)))
	}
	_, _ = io.WriteString(clients[0], "*1\r\n$4\r\nPING\r\n")
	time.Sleep(time.Second) // nobody reads
	if mb := resident(t, p.program.Process.Pid); mb > 64 {
		t.Errorf("%d MiB are resident with %d values of 4 MiB under way", mb, many)
	}
	whole := resp.AppendBulk(nil, bytes.Repeat([]byte("v"), size))
	for i, c := range clients {
		got := make([]byte, len(whole))
		if n, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, whole) {
			t.Fatalf("value %d: %d bytes, %v", i, n, err)
		}
	}
	pong := make([]byte, 7)
	if _, err := io.ReadFull(clients[0], pong); string(pong) != "+PONG\r\n" {
		t.Errorf("behind a big value: %q, %v", pong, err)
	}
	broken, err := io.ReadAll(ask("breaks", "rb"))
	if err != nil || len(broken) >= len(whole) || !bytes.HasPrefix(broken, whole[:10]) {
		t.Errorf("a value that broke: %d bytes, %v", len(broken), err)
	}
	// The first bytes go on at once, and beyond the request's time what still flows is not cut.
	slow, since := ask("waits", "rw"), time.Now()
	if _, err := io.ReadFull(slow, make([]byte, 10)); err != nil || time.Since(since) > time.Second {
		t.Error("the first bytes: ", err, time.Since(since))
	}
	if n, err := io.ReadFull(slow, make([]byte, len(whole)-10)); err != nil {
		t.Errorf("the rest: %d, %v", n, err)
	} else if took := time.Since(since); took < 1600*time.Millisecond {
		t.Errorf("it shows nothing: %v", took)
	}
	again := ask("k0", "again") // on connections that carried big values
	if n, err := io.ReadFull(again, make([]byte, len(whole))); err != nil {
		t.Errorf("again: %d, %v", n, err)
	}
	time.Sleep(200 * time.Millisecond)
	if got := p.call("GET", "/ops/stats", ""); !strings.Contains(got, "succeeded.get:34|") || !strings.Contains(got, "aborted.get:1|") ||
		!strings.Contains(got, "outstanding:0|") {
		t.Error(got)
	}
}
