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

// Hundreds of clients send a request and go while the process stands still: none of it is sent on when it runs again.
func TestClientsGoneWhileTheProcessStands(t *testing.T) {
	const clients = 400
	p := newPlayer(t)
	p.sockets = 2000
	p.start([]string{"s1", "origin"})
	s1 := p.server("s1")
	var all []net.Conn
	for range clients {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		_, _ = c.Write(resp.AppendCommand(nil, []byte("PING")))
		if _, err = c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	for i, c := range all[:8] { // connections to the server are open and idle then
		_, _ = c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte("k"), fmt.Append(nil, "before", i), []byte("c=get,d=2500")))
	}
	for range 8 {
		if got := p.see(s1); !strings.Contains(got, "before") {
			t.Fatal(got)
		}
		defer s1.last.Close()
		_, _ = s1.last.Write([]byte("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"))
	}
	for _, c := range all[:8] {
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.program.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	p.standsStill()
	for i, c := range all {
		_, _ = c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), fmt.Append(nil, "k", i), fmt.Append(nil, "r", i), []byte("c=get,d=2500")))
		c.Close()
	}
	time.Sleep(300 * time.Millisecond)
	if err := p.program.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	n := 0
	for len(s1.came) > 0 {
		if m := <-s1.came; strings.Contains(m.text, "CACHE.GET") {
			n++
		}
	}
	if n > 0 {
		t.Errorf("%d of %d requests of clients that had gone were sent on", n, clients)
	}
}

// standsStill waits until each thread of the program has stopped: a signal to stop takes effect a little after it is sent, and
// what the program does until then is rightly done for clients that are still there.
func (p *player) standsStill() {
	p.t.Helper()
	tasks := fmt.Sprintf("/proc/%d/task", p.program.Process.Pid)
	for began := time.Now(); time.Since(began) < patience; time.Sleep(time.Millisecond) {
		if allStopped(tasks) {
			return
		}
	}
	p.t.Fatal("the program does not stop")
}

// allStopped tells whether each thread in a folder of /proc is in state T, stopped.
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
