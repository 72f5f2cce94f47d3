package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// figure is one of /proc/PID/status, in its own unit.
func figure(t *testing.T, pid int, name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), name+":")
	n, _ := strconv.Atoi(strings.Fields(rest)[0])
	return n
}

// used is the processor time that a process has used.
func used(t *testing.T, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	const tick = 10 * time.Millisecond
	return time.Duration(user+system) * tick
}

// many are the names of so many cache servers, all at the address of s1, and the origin.
func many(from, n int) []string {
	names := []string{"origin"}
	for i := range n {
		names = append(names, fmt.Sprintf("c%d=s1", from+i))
	}
	return names
}

// One of 2,000 routers starts with a list of 2,000 cache servers, is told the whole list by discovery, indented, and then another
// of which half have been replaced, and serves: within the time and the memory that a router has on the platform.
func TestTwoThousandServersAndRouters(t *testing.T) {
	const servers, joined = 2000, 50           // with the second and the third list
	const ready, memory = 10 * time.Second, 96 // MiB; the platform gives 192, and the race detector needs three times as much
	p := newPlayer(t)
	p.sockets = 4096
	p.swaps = append(p.swaps, `"balancers":1,`, `"balancers":2000,`)
	go serves(p.server("s1"))
	d := &lister{}
	go d.serve(p.server("discovery"))
	began := time.Now()
	p.start(many(0, servers-joined))
	for p.ping() != "+PONG" {
		if time.Since(began) > ready {
			t.Fatalf("not ready in %v", ready)
		}
		time.Sleep(5 * time.Millisecond)
	}
	pid := p.program.Process.Pid
	took, cpu, resident := time.Since(began), used(t, pid), figure(t, pid, "VmRSS")/1024
	p.isServed("first")

	p.tells(d, 2, indented(p.list(true, 2, many(0, servers))), servers)
	p.isServed("second")
	p.tells(d, 3, p.list(true, 3, many(servers/2, servers+joined)), servers+joined)
	for i := range 200 {
		p.isServed(fmt.Sprint("third", i))
	}
	most, threads := figure(t, pid, "VmHWM")/1024, figure(t, pid, "Threads")
	t.Logf("%d servers, 2000 routers: ready in %v with %v of processor time and %d MiB; at most %d MiB after three lists, %d threads, %v in all",
		servers, took.Round(time.Millisecond), cpu, resident, most, threads, used(t, pid))
	if most > memory {
		t.Errorf("%d MiB were resident", most)
	}
}

func indented(list string) string {
	var parsed any
	_ = json.Unmarshal([]byte(list), &parsed)
	text, _ := json.MarshalIndent(parsed, "", "    ")
	return string(text)
}

// lister is a discovery that answers each call as soon as it has something newer.
type lister struct {
	mu   sync.Mutex
	rev  int
	list string
}

func (d *lister) tell(rev int, list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev, d.list = rev, list
}

func (d *lister) serve(s *side) {
	for m := range s.came {
		if _, call, ok := strings.Cut(m.text, "GET /registry/instances"); ok {
			go d.answer(m.on, call)
		}
	}
}

// answer waits for a list that is newer than what a call names; who has given it up gets nothing.
func (d *lister) answer(on io.Writer, call string) {
	known := 0
	_, _ = fmt.Sscanf(call, "?index=%d", &known) // a call for the whole list names none
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		d.mu.Lock()
		rev, list := d.rev, d.list
		d.mu.Unlock()
		if rev > known {
			_, _ = fmt.Fprintf(on, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			return
		}
	}
}

// tells has discovery tell a list, and waits until it counts.
func (p *player) tells(d *lister, rev int, list string, servers int) {
	p.t.Helper()
	d.tell(rev, list)
	for until := time.Now().Add(2 * patience); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if strings.Contains(p.call("GET", "/ops/stats", ""), fmt.Sprintf("router.discovered:%d|", servers)) {
			return
		}
	}
	p.t.Fatalf("the list of %d servers does not count:\n%s", servers, p.call("GET", "/ops/stats", ""))
}

// isServed asks for a key on a connection of its own.
func (p *player) isServed(key string) {
	p.t.Helper()
	w := p.writer()
	defer w.Close()
	_, _ = w.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte(key), []byte("r-"+key), []byte("c=get,d=2500")))
	w.gets("$1\r\nv\r\n")
}
