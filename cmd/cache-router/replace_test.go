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

// replace starts a second process beside the one that serves, waits for its yes, and ends the first in order.
func (p *player) replace(n int) error {
	old := p.program
	p.admin = strings.Replace(p.listen, ":6379", fmt.Sprint(":", 6400+n), 1)
	p.run()
	for i := 0; !strings.HasPrefix(p.call("GET", "/ops/readiness", ""), "200"); i++ {
		if i > 60 {
			return errors.New("not ready in 6 s")
		}
		time.Sleep(100 * time.Millisecond)
	}
	_ = old.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		return err
	case <-time.After(patience):
		return errors.New("the old process stays")
	}
}

// load keeps clients asking until it is stopped: on connections that they keep, on new ones, in pieces, pipelined. What
// ends without an answer of its own is lost.
func (p *player) load(clients int) (stop func() (answered int, lost []string)) {
	var over atomic.Bool
	var done sync.WaitGroup
	var mu sync.Mutex
	var answered int
	var lost []string
	for i := range clients {
		done.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for n := 0; !over.Load(); n++ {
				if c == nil || i%4 == 1 {
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = net.Dial("tcp", p.listen); err != nil {
						mu.Lock()
						lost = append(lost, "not let in: "+err.Error())
						mu.Unlock()
						return
					}
					in = bufio.NewReader(c)
				}
				many := 1 + i%4/3*4
				var text []byte
				for k := range many {
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
				for range many {
					line, e := in.ReadString('\n')
					if err = errors.Join(err, e); err == nil && line[0] == '$' {
						_, err = in.ReadString('\n')
					}
				}
				mu.Lock()
				if answered += many; err != nil {
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
		over.Store(true)
		done.Wait()
		return answered, lost
	}
}

func quick(s *side) {
	for m := range s.came {
		if strings.Contains(m.text, "CACHE.GET") {
			time.AfterFunc(5*time.Millisecond, func() { _, _ = io.WriteString(m.on, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n") })
		}
	}
}

// listing has discovery tell the same list at each call that does not wait.
func (p *player) listing(words ...string) {
	for m := range p.server("discovery").came {
		if strings.HasSuffix(m.text, "instances") {
			body := p.list(true, 2, words)
			_, _ = fmt.Fprintf(m.on, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
}

// A process of another service is started at the address and in the TMPDIR of one that serves: it ends with 1 and names both,
// and the one that serves goes on.
func TestNotReplacedByAnotherService(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	go p.listing("s1", "origin")
	for range 100 {
		if found, _ := filepath.Glob(filepath.Join(p.tmp, "*.sock")); len(found) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.configure(strings.Replace(p.config, `"name":"get"`, `"name":"tile"`, 1))
	within, done := context.WithTimeout(t.Context(), patience)
	defer done()
	other := exec.CommandContext(within, os.Args[0])
	other.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+p.file, "TMPDIR="+p.tmp, "EDGE_ADMIN="+strings.Replace(p.admin, "6380", "6381", 1))
	out, _ := other.CombinedOutput() // the code tells
	if other.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "listen: a process serves at "+p.listen+
		", but it is of a service with the methods get, pay, and this router serves one with tile, pay") {
		t.Errorf("%d, %s", other.ProcessState.ExitCode(), out)
	}
	if got := p.ping(); got != "+PONG" {
		t.Error("the one that served:", got)
	}
}

// Ten replacements in a row under load: no client loses a connection or a request, and a ban lasts.
func TestReplacingLosesNothing(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "s2", "origin"})
	go quick(p.server("s1"))
	go quick(p.server("s2"))
	go p.listing("s1", "s2", "origin")
	stop := p.load(24)
	time.Sleep(200 * time.Millisecond)
	if got := p.call("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Error(got)
	}
	for n := range 10 {
		if err := p.replace(n); err != nil {
			t.Errorf("replacement %d: %v", n, err)
			break
		}
	}
	if got := p.call("GET", "/ops/stats", ""); !strings.Contains(got, "router.ejected:1|g") {
		t.Error("the ban is forgotten:", got)
	}
	answered, lost := stop()
	if answered < 1000 || len(lost) > 0 {
		t.Errorf("%d answered, lost %d: %q", answered, len(lost), lost[:min(5, len(lost))])
	}
}

// A new process that is killed before or after it has taken over: the old one goes on.
func TestReplacementThatDies(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	go quick(p.server("s1"))
	go p.listing("s1", "origin")
	first, door := p.program, p.admin
	for n := range 2 {
		p.admin = strings.Replace(p.listen, ":6379", fmt.Sprint(":", 6400+n), 1)
		p.run()
		time.Sleep(time.Duration(n) * time.Second)
		_ = p.program.Process.Kill()
		<-p.ended
	}
	p.program, p.admin = first, door
	time.Sleep(200 * time.Millisecond)
	if got := p.call("GET", "/ops/readiness", ""); got != "200 ready" {
		t.Error(got)
	}
	stop := p.load(8)
	time.Sleep(300 * time.Millisecond)
	if answered, lost := stop(); answered < 100 || len(lost) > 0 {
		t.Errorf("%d answered, lost %q", answered, lost)
	}
}

// A replacement amid a drain, with a ban, a big value under way and no file: the new process knows what was asked, the
// value ends whole, and after the call back clients are taken.
func TestReplacingAmidAll(t *testing.T) {
	const size = 4 << 20
	p := newPlayer(t)
	p.start([]string{"s1", "s2", "origin"})
	go answers(p.server("s1"), size)
	go p.listing("s1", "s2", "origin")
	if got := p.call("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Fatal(got)
	}
	slow, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	_, _ = slow.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte("k"), []byte("r"), []byte("c=get,d=2500")))
	time.Sleep(200 * time.Millisecond)
	if got := p.call("PUT", "/ops/drain/start", ""); got != "200 draining" {
		t.Fatal(got)
	}
	for _, file := range []string{"intent", "intent.lock"} {
		if err := os.WriteFile(filepath.Join(p.tmp, "spurtrestle-"+p.listen+"."+file), []byte("spoilt"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.replace(0); err != nil { // nobody reads the value, and the old process ends all the same
		t.Fatal(err)
	}
	whole := append(resp.AppendBulk(nil, bytes.Repeat([]byte("v"), size)), "-DRAINING as operators asked\r\n"...)
	_, _ = io.WriteString(slow, "*1\r\n$4\r\nPING\r\n")
	_ = slow.SetDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, len(whole))
	if n, err := io.ReadFull(slow, got); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("the value: %d bytes, %v", n, err)
	}
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	if line, _ := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "-DRAINING") {
		t.Error("the drain is forgotten: ", line)
	}
	if got := p.call("GET", "/ops/stats", ""); !strings.Contains(got, "router.ejected:1|g") {
		t.Error("the ban is forgotten:", got)
	}
	if got := p.call("PUT", "/ops/drain/stop", ""); got != "200 taking clients" {
		t.Error(got)
	}
	if got := p.call("GET", "/ops/readiness", ""); got != "200 ready" {
		t.Error(got)
	}
}

// What cannot be written is told: a folder that takes no file of what was asked loses no ban at a replacement, nor one that
// is asked while two live.
func TestReplacingWithNoRoom(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "s2", "origin"})
	go p.listing("s1", "s2", "origin")
	// A folder stands where the file is to be written first, as a full disk would have it.
	if err := os.MkdirAll(filepath.Join(p.tmp, "spurtrestle-"+p.listen+".intent.next", "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	if got := p.call("PUT", "/ops/cache-servers/down", "s1"); got != "200 out" {
		t.Fatal(got)
	}
	_, old := p.beside(0)
	p.until(p.admin, "/ops/readiness", "200 ready")
	p.until(p.admin, "/ops/stats", "ejected:1|")
	next := p.admin
	p.admin = old
	if got := p.call("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Error(got)
	}
	p.until(next, "/ops/stats", "ejected:2|")
	p.admin = next
	if got := p.call("PUT", "/ops/cache-servers/up", "s1"); got != "200 in use" {
		t.Error(got)
	}
	p.until(old, "/ops/stats", "ejected:1|")
}

// beside starts a second process and leaves the first as it is.
func (p *player) beside(n int) (first *exec.Cmd, door string) {
	first, door = p.program, p.admin
	p.admin = strings.Replace(p.listen, ":6379", fmt.Sprint(":", 6400+n), 1)
	p.run()
	return first, door
}

// until waits for what a call says.
func (p *player) until(door, path, want string) {
	p.t.Helper()
	was := p.admin
	defer func() { p.admin = was }()
	p.admin = door
	got := ""
	for range 60 {
		if got = p.call("GET", path, ""); strings.Contains(got, want) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.t.Errorf("%s says %q, not %q", path, got, want)
}

// While two processes live, what one door is asked holds in both.
func TestEitherDoor(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "s2", "origin"})
	go p.listing("s1", "s2", "origin")
	_, old := p.beside(0)
	p.until(p.admin, "/ops/readiness", "200 ready")
	p.until(old, "/ops/readiness", "503 not ready: another process has taken over")
	if got := p.call("PUT", "/ops/cache-servers/down", "s1"); got != "200 out" {
		t.Error(got)
	}
	p.until(old, "/ops/stats", "ejected:1|")
	next := p.admin
	p.admin = old
	if got := p.call("PUT", "/ops/cache-servers/up", "s1"); got != "200 in use" {
		t.Error(got)
	}
	if got := p.call("PUT", "/ops/cache-servers/down", "s2"); got != "200 out" {
		t.Error(got)
	}
	p.until(next, "/ops/stats", "ejected:1|")
}

// The old process is killed, before the new one has taken over or while it hands over: the new one serves.
func TestOldProcessDies(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			p := newPlayer(t)
			p.start([]string{"s1", "origin"})
			go quick(p.server("s1"))
			if after > 0 {
				go p.listing("s1", "origin") // else the new one waits for it, and is not ready yet
			}
			first, _ := p.beside(0)
			time.Sleep(after)
			_ = first.Process.Kill()
			<-p.ended
			p.until(p.admin, "/ops/readiness", "200 ready")
			stop := p.load(8)
			time.Sleep(300 * time.Millisecond)
			if answered, lost := stop(); answered < 100 || len(lost) > 0 {
				t.Errorf("%d answered, lost %q", answered, lost)
			}
		})
	}
}
