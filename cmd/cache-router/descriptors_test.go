package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/resp"
)

// holdIdleClients keeps idle clients connected until stop is called. Half of them have sent nothing, half one PING. A client whose
// connection is closed reconnects at once.
func (h *harness) holdIdleClients(clients int) (stop func()) {
	var stopped atomic.Bool
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for !stopped.Load() {
				c, err := net.DialTimeout("tcp", h.listen, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				if i%2 == 0 {
					_, _ = c.Write(resp.AppendCommand(nil, []byte("PING")))
				}
				for err == nil && !stopped.Load() { // stays idle until the router closes the connection
					_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
					if _, err = c.Read(make([]byte, 100)); errors.Is(err, os.ErrDeadlineExceeded) {
						err = nil
					}
				}
				c.Close()
			}
		})
	}
	return func() {
		stopped.Store(true)
		all.Wait()
	}
}

// waitForAnswer sends requests, each on a new connection, until one is answered. The router may close connections unread while
// descriptors are scarce.
func (h *harness) waitForAnswer(key string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for n := 0; time.Now().Before(deadline); n++ {
		c, err := net.DialTimeout("tcp", h.listen, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte(key), fmt.Append(nil, key, n), []byte("c=get,d=1500")))
		buf := make([]byte, 100)
		got, _ := c.Read(buf)
		c.Close()
		if strings.HasPrefix(string(buf[:got]), "$") {
			return nil
		}
	}
	return fmt.Errorf("no request for %s was answered within %v", key, within)
}

// answerGetsAtOnce has a cache server answer each read.
func answerGetsAtOnce(s *endpoint) {
	for m := range s.received {
		if strings.Contains(m.text, "CACHE.GET") {
			_, _ = m.conn.Write([]byte("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"))
		}
	}
}

// countDescriptors counts the descriptors of a process.
func countDescriptors(pid int) int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // a process that has exited has none
	return len(files)
}

// While discovery is down, idle clients occupy all descriptors that the router may use, and the kernel grants no more. When
// discovery returns, its watch must get a descriptor nevertheless, the list must take effect, and attempts must get descriptors.
func TestWatchGetsDescriptorWhileClientsFillThem(t *testing.T) {
	for name, c := range map[string]struct {
		refuses bool // discovery refuses connections; otherwise it does not answer calls
		sockets int
	}{
		"discovery refuses, few descriptors": {true, 50},
		"discovery is silent, few":           {false, 50},
		"discovery refuses, more":            {true, 256},
		"discovery is silent, more":          {false, 256},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.sockets, h.noAdmin = c.sockets, true
			h.start([]string{"s1", "origin"})
			pid := h.program.Process.Pid
			limit := unix.Rlimit{Cur: uint64(c.sockets), Max: uint64(c.sockets)}
			if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
				t.Fatal(err)
			}
			for _, name := range []string{"s1", "s2"} {
				go answerGetsAtOnce(h.endpoint(name))
			}
			discovery := h.endpoint("discovery")
			addr := discovery.ln.Addr().String()
			if c.refuses {
				discovery.ln.Close()
				discovery.closeAll(true)
			}
			stop := h.holdIdleClients(2 * c.sockets)
			defer stop()
			maxDescriptors := 0
			for range 40 {
				maxDescriptors = max(maxDescriptors, countDescriptors(pid))
				time.Sleep(50 * time.Millisecond)
			}
			if err := h.waitForAnswer("in-the-outage", 3*time.Second); err != nil {
				t.Error(err)
			}
			if c.refuses { // discovery returns at its address
				ln, err := net.Listen("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				discovery.ln = ln
				go discovery.accept(readRequests)
			}
			go h.serveList("s1:leaving", "s2", "origin")
			began := time.Now()
			for !h.endpoint("s2").connected() {
				if time.Since(began) > 5*time.Second {
					t.Fatal("no list took effect within 5 s of discovery's return")
				}
				_ = h.waitForAnswer("then", 200*time.Millisecond) // may still go to the old server
			}
			delay := time.Since(began)
			if err := h.waitForAnswer("after-it", 2*time.Second); err != nil {
				t.Error(err)
			}
			maxDescriptors = max(maxDescriptors, countDescriptors(pid))
			t.Logf("the list took effect %v after discovery's return; %d of %d descriptors at most", delay.Round(time.Millisecond), maxDescriptors, c.sockets)
			if maxDescriptors < c.sockets*3/5 {
				t.Errorf("idle clients occupied only %d of %d descriptors", maxDescriptors, c.sockets)
			}
		})
	}
}

// connected reports whether anything has connected to the server.
func (e *endpoint) connected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns) > 0
}
