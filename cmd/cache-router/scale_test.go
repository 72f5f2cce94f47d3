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

// procStatus returns a number from /proc/PID/status, in the unit that it has there.
func procStatus(t *testing.T, pid int, name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), name+":")
	n, _ := strconv.Atoi(strings.Fields(rest)[0])
	return n
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
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

// serverNames returns the origin and n cache servers, all of them at the address of s1.
func serverNames(from, n int) []string {
	names := []string{"origin"}
	for i := range n {
		names = append(names, fmt.Sprintf("c%d=s1", from+i))
	}
	return names
}

// One of 2,000 routers starts with a list of 2,000 cache servers, receives the whole list from discovery, indented, and then one in
// which half of the servers are replaced. It must serve within the time and the memory that a router has on the platform.
func TestTwoThousandServersAndRouters(t *testing.T) {
	const servers, joined = 2000, 50                  // joined: with the second and the third list
	const startTimeout, maxMiB = 10 * time.Second, 96 // the platform grants 192 MiB; the race detector needs three times as much
	h := newHarness(t)
	h.sockets = 4096
	h.replacements = append(h.replacements, `"balancers":1,`, `"balancers":2000,`)
	go answerGetsAtOnce(h.endpoint("s1"))
	discovery := &fakeDiscovery{}
	go discovery.serve(h.endpoint("discovery"))
	began := time.Now()
	h.start(serverNames(0, servers-joined))
	for h.ping() != "+PONG" {
		if time.Since(began) > startTimeout {
			t.Fatalf("not ready in %v", startTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
	pid := h.program.Process.Pid
	took, cpu, resident := time.Since(began), cpuTime(t, pid), procStatus(t, pid, "VmRSS")/1024
	h.checkServed("first")

	h.publishList(discovery, 2, indentJSON(h.listBody(true, 2, serverNames(0, servers))), servers)
	h.checkServed("second")
	h.publishList(discovery, 3, h.listBody(true, 3, serverNames(servers/2, servers+joined)), servers+joined)
	for i := range 200 {
		h.checkServed(fmt.Sprint("third", i))
	}
	peak, threads := procStatus(t, pid, "VmHWM")/1024, procStatus(t, pid, "Threads")
	t.Logf("%d servers, 2000 routers: ready in %v with %v of processor time and %d MiB; at most %d MiB after three lists, %d threads, %v in all",
		servers, took.Round(time.Millisecond), cpu, resident, peak, threads, cpuTime(t, pid))
	if peak > maxMiB {
		t.Errorf("resident memory peaked at %d MiB, the limit is %d", peak, maxMiB)
	}
}

func indentJSON(list string) string {
	var parsed any
	_ = json.Unmarshal([]byte(list), &parsed)
	text, _ := json.MarshalIndent(parsed, "", "    ")
	return string(text)
}

// fakeDiscovery answers each call as soon as it has a newer list than the caller.
type fakeDiscovery struct {
	mu   sync.Mutex
	rev  int
	list string
}

func (d *fakeDiscovery) publish(rev int, list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev, d.list = rev, list
}

func (d *fakeDiscovery) serve(s *endpoint) {
	for m := range s.received {
		if _, call, ok := strings.Cut(m.text, "GET /registry/instances"); ok {
			go d.answer(m.conn, call)
		}
	}
}

// answer waits for a list that is newer than the one that the call names. A call is not answered after waitTimeout.
func (d *fakeDiscovery) answer(on io.Writer, call string) {
	known := 0
	_, _ = fmt.Sscanf(call, "?index=%d", &known) // a call for the whole list names no index
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		d.mu.Lock()
		rev, list := d.rev, d.list
		d.mu.Unlock()
		if rev > known {
			_, _ = fmt.Fprintf(on, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			return
		}
	}
}

// publishList has discovery publish a list, and waits until the router uses it.
func (h *harness) publishList(discovery *fakeDiscovery, rev int, list string, servers int) {
	h.t.Helper()
	discovery.publish(rev, list)
	for deadline := time.Now().Add(2 * waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if strings.Contains(h.adminCall("GET", "/ops/stats", ""), fmt.Sprintf("router.discovered:%d|", servers)) {
			return
		}
	}
	h.t.Fatalf("the list of %d servers did not take effect:\n%s", servers, h.adminCall("GET", "/ops/stats", ""))
}

// checkServed reads a key on a new connection and checks the answer.
func (h *harness) checkServed(key string) {
	h.t.Helper()
	w := h.newWriter()
	defer w.Close()
	_, _ = w.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte(key), []byte("r-"+key), []byte("c=get,d=2500")))
	w.checkRead("$1\r\nv\r\n")
}
