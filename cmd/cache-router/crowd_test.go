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

// crowd has idle clients come and stay, more than there are descriptors, until it is ended: half say nothing, half have asked
// once whether it serves. Who is closed comes again at once.
func (p *player) crowd(clients int) (end func()) {
	var over atomic.Bool
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for !over.Load() {
				c, err := net.DialTimeout("tcp", p.listen, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				if i%2 == 0 {
					_, _ = c.Write(resp.AppendCommand(nil, []byte("PING")))
				}
				for err == nil && !over.Load() { // it rests until the router ends it
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
		over.Store(true)
		all.Wait()
	}
}

// answered asks on new connections until one is answered; some may be shut unread where descriptors are short.
func (p *player) answered(key string, within time.Duration) error {
	until := time.Now().Add(within)
	for n := 0; time.Now().Before(until); n++ {
		c, err := net.DialTimeout("tcp", p.listen, time.Second)
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
	return fmt.Errorf("no request for %s is answered in %v", key, within)
}

// serves answers all that a cache server gets.
func serves(s *side) {
	for m := range s.came {
		if strings.Contains(m.text, "CACHE.GET") {
			_, _ = m.on.Write([]byte("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"))
		}
	}
}

// held counts the descriptors of a process.
func held(pid int) int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // gone: none
	return len(files)
}

// While discovery is down idle clients fill all descriptors that the router may have. The kernel gives it no more than those. At
// discovery's return the watch gets one all the same, the list counts, and attempts get theirs.
func TestDescriptorsForTheWatchInACrowd(t *testing.T) {
	for name, c := range map[string]struct {
		refuses bool // connections to discovery; else calls are not answered
		sockets int
	}{
		"discovery refuses, few descriptors": {true, 50},
		"discovery is silent, few":           {false, 50},
		"discovery refuses, more":            {true, 256},
		"discovery is silent, more":          {false, 256},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(t)
			p.sockets, p.noDoor = c.sockets, true
			p.start([]string{"s1", "origin"})
			pid := p.program.Process.Pid
			limit := unix.Rlimit{Cur: uint64(c.sockets), Max: uint64(c.sockets)}
			if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
				t.Fatal(err)
			}
			for _, name := range []string{"s1", "s2"} {
				go serves(p.server(name))
			}
			discovery := p.server("discovery")
			addr := discovery.ln.Addr().String()
			if c.refuses {
				discovery.ln.Close()
				discovery.closeAll(true)
			}
			end := p.crowd(2 * c.sockets)
			defer end()
			most := 0
			for range 40 {
				most = max(most, held(pid))
				time.Sleep(50 * time.Millisecond)
			}
			if err := p.answered("in-the-outage", 3*time.Second); err != nil {
				t.Error(err)
			}
			if c.refuses { // it comes back at its address
				ln, err := net.Listen("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				discovery.ln = ln
				go discovery.accept(readRequests)
			}
			go p.listing("s1:leaving", "s2", "origin")
			began := time.Now()
			for !p.server("s2").reached() {
				if time.Since(began) > 5*time.Second {
					t.Fatal("no list has come 5 s after discovery's return")
				}
				_ = p.answered("then", 200*time.Millisecond) // it may go to the old one
			}
			came := time.Since(began)
			if err := p.answered("after-it", 2*time.Second); err != nil {
				t.Error(err)
			}
			most = max(most, held(pid))
			t.Logf("the list counted %v after discovery's return; %d of %d descriptors at most", came.Round(time.Millisecond), most, c.sockets)
			if most < c.sockets*3/5 {
				t.Errorf("the crowd filled %d of %d descriptors only", most, c.sockets)
			}
		})
	}
}

// reached tells whether somebody has connected.
func (s *side) reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all) > 0
}
