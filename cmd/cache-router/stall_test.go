package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// Hundreds of clients send a request and disconnect while the process is stopped: when it runs again, it must forward none of them.
func TestRequestsOfGoneClientsAreDroppedAfterAStall(t *testing.T) {
	const clients = 400
	h := newHarness(t)
	h.sockets = 2000
	h.start([]string{"s1", "origin"})
	s1 := h.endpoint("s1")
	var all []net.Conn
	for range clients {
		c, err := net.Dial("tcp", h.listen)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		_, _ = c.Write(resp.AppendCommand(nil, []byte("PING")))
		if _, err = c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	for i, c := range all[:8] { // leaves idle connections to the server open
		_, _ = c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte("k"), fmt.Append(nil, "before", i), []byte("c=get,d=2500")))
	}
	for range 8 {
		if got := h.receive(s1); !strings.Contains(got, "before") {
			t.Fatal(got)
		}
		defer s1.current.Close()
		_, _ = s1.current.Write([]byte("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"))
	}
	for _, c := range all[:8] {
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.program.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	h.waitUntilStopped()
	for i, c := range all {
		_, _ = c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), fmt.Append(nil, "k", i), fmt.Append(nil, "r", i), []byte("c=get,d=2500")))
		c.Close()
	}
	time.Sleep(300 * time.Millisecond)
	if err := h.program.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	n := 0
	for len(s1.received) > 0 {
		if m := <-s1.received; strings.Contains(m.text, "CACHE.GET") {
			n++
		}
	}
	if n > 0 {
		t.Errorf("%d of %d requests of disconnected clients were forwarded", n, clients)
	}
}

// waitUntilStopped waits until each thread of the program has stopped. SIGSTOP takes effect with a delay, and until then the
// program may act for clients that are still connected.
func (h *harness) waitUntilStopped() {
	h.t.Helper()
	tasks := fmt.Sprintf("/proc/%d/task", h.program.Process.Pid)
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(time.Millisecond) {
		if allStopped(tasks) {
			return
		}
	}
	h.t.Fatal("the program did not stop after SIGSTOP")
}

// allStopped reports whether each thread in a task folder of /proc is in state T (stopped).
func allStopped(tasks string) bool {
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "stat"))
		if err != nil {
			return false
		}
		_, state, found := strings.Cut(string(text), ") ")
		if !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}
