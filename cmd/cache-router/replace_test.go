package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// replace starts a successor of the running process, waits until it is ready, and stops the old process with SIGTERM.
func (h *harness) replace(n int) error {
	old := h.program
	h.admin = strings.Replace(h.listen, ":6379", fmt.Sprint(":", 6400+n), 1)
	h.startProcess()
	for i := 0; !strings.HasPrefix(h.adminCall("GET", "/ops/readiness", ""), "200"); i++ {
		if i > 60 {
			return errors.New("the successor is not ready after 6 s")
		}
		time.Sleep(100 * time.Millisecond)
	}
	_ = old.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-h.exited:
		return err
	case <-time.After(waitTimeout):
		return errors.New("the old process did not exit")
	}
}

// load runs clients that send requests until stop is called: on persistent connections, on new ones, in fragments, and
// pipelined. A request without an answer is lost.
func (h *harness) load(clients int) (stop func() (answered int, lost []string)) {
	var stopped atomic.Bool
	var done sync.WaitGroup
	var mu sync.Mutex
	var answered int
	var lost []string
	for i := range clients {
		done.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for n := 0; !stopped.Load(); n++ {
				if c == nil || i%4 == 1 {
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = net.Dial("tcp", h.listen); err != nil {
						mu.Lock()
						lost = append(lost, "cannot connect: "+err.Error())
						mu.Unlock()
						return
					}
					in = bufio.NewReader(c)
				}
				batch := 1 + i%4/3*4
				var text []byte
				for k := range batch {
					text = resp.AppendCommand(text, []byte("CACHE.GET"), []byte(fmt.Sprint("k", i)), []byte(fmt.Sprintf("r%d-%d-%d", i, n, k)),
						[]byte("c=get,d=2500"))
				}
				_ = c.SetDeadline(time.Now().Add(3 * time.Second))
				_, err := c.Write(text[:len(text)/2])
				if i%4 == 2 {
					time.Sleep(3 * time.Millisecond)
				}
				if err == nil {
					_, err = c.Write(text[len(text)/2:])
				}
				for range batch {
					line, e := in.ReadString('\n')
					if err = errors.Join(err, e); err == nil && line[0] == '$' {
						_, err = in.ReadString('\n')
					}
				}
				mu.Lock()
				if answered += batch; err != nil {
					lost = append(lost, fmt.Sprint("client ", i, ": ", err))
				}
				mu.Unlock()
				if err != nil {
					c.Close()
					c = nil
				}
				time.Sleep(time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	return func() (int, []string) {
		stopped.Store(true)
		done.Wait()
		return answered, lost
	}
}

// answerGets has a cache server answer each read after 5 ms.
func answerGets(s *endpoint) {
	for m := range s.received {
		if strings.Contains(m.text, "CACHE.GET") {
			time.AfterFunc(5*time.Millisecond, func() { _, _ = io.WriteString(m.conn, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n") })
		}
	}
}

// serveList has discovery answer each call for the whole list with the same list.
func (h *harness) serveList(words ...string) {
	for m := range h.endpoint("discovery").received {
		if strings.HasSuffix(m.text, "instances") {
			body := h.listBody(true, 2, words)
			_, _ = fmt.Fprintf(m.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
}

// A process of another service that is started with the address and the TMPDIR of a serving one exits with 1 and an error that
// names both services. The serving process goes on.
func TestOtherServiceCannotReplace(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	go h.serveList("s1", "origin")
	for range 100 {
		if found, _ := filepath.Glob(filepath.Join(h.tempDir, "*.sock")); len(found) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.configure(strings.Replace(h.config, `"name":"get"`, `"name":"tile"`, 1))
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	other := exec.CommandContext(ctx, os.Args[0])
	other.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+h.configFile, "TMPDIR="+h.tempDir, "EDGE_ADMIN="+strings.Replace(h.admin, "6380", "6381", 1))
	out, _ := other.CombinedOutput() // the exit code is checked instead
	if other.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "listen: a process serves at "+h.listen+
		", but it is of a service with the methods get, pay, and this router serves one with tile, pay") {
		t.Errorf("exit code %d, output: %s", other.ProcessState.ExitCode(), out)
	}
	if got := h.ping(); got != "+PONG" {
		t.Error("the serving process answers", got)
	}
}

// Ten consecutive replacements under load: no client loses a connection or a request, and a cache server that operators have
// taken out stays out.
func TestReplacementsUnderLoadLoseNothing(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1", "s2", "origin"})
	go answerGets(h.endpoint("s1"))
	go answerGets(h.endpoint("s2"))
	go h.serveList("s1", "s2", "origin")
	stop := h.load(24)
	time.Sleep(200 * time.Millisecond)
	if got := h.adminCall("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Error(got)
	}
	for n := range 10 {
		if err := h.replace(n); err != nil {
			t.Errorf("replacement %d: %v", n, err)
			break
		}
	}
	if got := h.adminCall("GET", "/ops/stats", ""); !strings.Contains(got, "router.ejected:1|g") {
		t.Error("the server is not out any more:", got)
	}
	answered, lost := stop()
	if answered < 1000 || len(lost) > 0 {
		t.Errorf("%d answered, lost %d: %q", answered, len(lost), lost[:min(5, len(lost))])
	}
}

// A successor is killed before or after it has taken over: the old process goes on.
func TestKilledSuccessorLeavesOldProcessServing(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1", "origin"})
	go answerGets(h.endpoint("s1"))
	go h.serveList("s1", "origin")
	first, admin := h.program, h.admin
	for n := range 2 {
		h.admin = strings.Replace(h.listen, ":6379", fmt.Sprint(":", 6400+n), 1)
		h.startProcess()
		time.Sleep(time.Duration(n) * time.Second)
		_ = h.program.Process.Kill()
		<-h.exited
	}
	h.program, h.admin = first, admin
	time.Sleep(200 * time.Millisecond)
	if got := h.adminCall("GET", "/ops/readiness", ""); got != "200 ready" {
		t.Error(got)
	}
	stop := h.load(8)
	time.Sleep(300 * time.Millisecond)
	if answered, lost := stop(); answered < 100 || len(lost) > 0 {
		t.Errorf("%d answered, lost %q", answered, lost)
	}
}

// A replacement during a drain, with a cache server taken out, a large value in transit and unusable intent files: the
// successor knows the operators' commands, the value arrives whole, and when the drain is stopped, clients are accepted.
func TestReplacementDuringDrainAndLargeValue(t *testing.T) {
	const size = 4 << 20
	h := newHarness(t)
	h.start([]string{"s1", "s2", "origin"})
	go answerLargeValues(h.endpoint("s1"), size)
	go h.serveList("s1", "s2", "origin")
	if got := h.adminCall("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Fatal(got)
	}
	slow, err := net.Dial("tcp", h.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	_, _ = slow.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte("k"), []byte("r"), []byte("c=get,d=2500")))
	time.Sleep(200 * time.Millisecond)
	if got := h.adminCall("PUT", "/ops/drain/start", ""); got != "200 draining" {
		t.Fatal(got)
	}
	for _, file := range []string{"intent", "intent.lock"} {
		if err := os.WriteFile(filepath.Join(h.tempDir, "spurtrestle-"+h.listen+"."+file), []byte("spoilt"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.replace(0); err != nil { // nobody reads the value, but the old process exits nevertheless
		t.Fatal(err)
	}
	whole := append(resp.AppendBulk(nil, bytes.Repeat([]byte("v"), size)), "-DRAINING as operators asked\r\n"...)
	_, _ = io.WriteString(slow, "*1\r\n$4\r\nPING\r\n")
	_ = slow.SetDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, len(whole))
	if n, err := io.ReadFull(slow, got); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("large value: got %d bytes, error %v", n, err)
	}
	c, err := net.Dial("tcp", h.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	if line, _ := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "-DRAINING") {
		t.Error("the successor does not drain: ", line)
	}
	if got := h.adminCall("GET", "/ops/stats", ""); !strings.Contains(got, "router.ejected:1|g") {
		t.Error("the server is not out any more:", got)
	}
	if got := h.adminCall("PUT", "/ops/drain/stop", ""); got != "200 taking clients" {
		t.Error(got)
	}
	if got := h.adminCall("GET", "/ops/readiness", ""); got != "200 ready" {
		t.Error(got)
	}
}

// When the intent file cannot be written, operators' commands are handed over by the processes: a replacement loses no cache
// server that is taken out, nor one that is taken out while both processes run.
func TestReplacementWithUnwritableIntentFile(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1", "s2", "origin"})
	go h.serveList("s1", "s2", "origin")
	// A folder in place of the temporary file makes the write fail, as on a full disk.
	if err := os.MkdirAll(filepath.Join(h.tempDir, "spurtrestle-"+h.listen+".intent.next", "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	if got := h.adminCall("PUT", "/ops/cache-servers/down", "s1"); got != "200 out" {
		t.Fatal(got)
	}
	_, old := h.startSuccessor(0)
	h.waitForAdmin(h.admin, "/ops/readiness", "200 ready")
	h.waitForAdmin(h.admin, "/ops/stats", "ejected:1|")
	next := h.admin
	h.admin = old
	if got := h.adminCall("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Error(got)
	}
	h.waitForAdmin(next, "/ops/stats", "ejected:2|")
	h.admin = next
	if got := h.adminCall("PUT", "/ops/cache-servers/up", "s1"); got != "200 in use" {
		t.Error(got)
	}
	h.waitForAdmin(old, "/ops/stats", "ejected:1|")
}

// startSuccessor starts a second process and returns the first one with its admin address.
func (h *harness) startSuccessor(n int) (first *exec.Cmd, admin string) {
	first, admin = h.program, h.admin
	h.admin = strings.Replace(h.listen, ":6379", fmt.Sprint(":", 6400+n), 1)
	h.startProcess()
	return first, admin
}

// waitForAdmin waits until the answer to a call at an admin address contains a text.
func (h *harness) waitForAdmin(admin, path, want string) {
	h.t.Helper()
	previous := h.admin
	defer func() { h.admin = previous }()
	h.admin = admin
	got := ""
	for range 60 {
		if got = h.adminCall("GET", path, ""); strings.Contains(got, want) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.t.Errorf("%s answers %q, want %q", path, got, want)
}

// While two processes run, a command at the admin endpoint of one applies to both.
func TestOperatorCommandsReachBothProcesses(t *testing.T) {
	h := newHarness(t)
	h.start([]string{"s1", "s2", "origin"})
	go h.serveList("s1", "s2", "origin")
	_, old := h.startSuccessor(0)
	h.waitForAdmin(h.admin, "/ops/readiness", "200 ready")
	h.waitForAdmin(old, "/ops/readiness", "503 not ready: another process has taken over")
	if got := h.adminCall("PUT", "/ops/cache-servers/down", "s1"); got != "200 out" {
		t.Error(got)
	}
	h.waitForAdmin(old, "/ops/stats", "ejected:1|")
	next := h.admin
	h.admin = old
	if got := h.adminCall("PUT", "/ops/cache-servers/up", "s1"); got != "200 in use" {
		t.Error(got)
	}
	if got := h.adminCall("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Error(got)
	}
	h.waitForAdmin(next, "/ops/stats", "ejected:1|")
}

// The old process is killed before the successor has taken over, or during the handover: the successor serves.
func TestKilledOldProcessLeavesSuccessorServing(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			h := newHarness(t)
			h.start([]string{"s1", "origin"})
			go answerGets(h.endpoint("s1"))
			if after > 0 {
				go h.serveList("s1", "origin") // without a list, the successor waits for it and is not ready
			}
			first, _ := h.startSuccessor(0)
			time.Sleep(after)
			_ = first.Process.Kill()
			<-h.exited
			h.waitForAdmin(h.admin, "/ops/readiness", "200 ready")
			stop := h.load(8)
			time.Sleep(300 * time.Millisecond)
			if answered, lost := stop(); answered < 100 || len(lost) > 0 {
				t.Errorf("%d answered, lost %q", answered, lost)
			}
		})
	}
}
