package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// Some platforms permit only TCP and UDP sockets over IPv4. The program, built as it is deployed, must hold no other socket
// before it is ready. Where the Unix socket for a successor cannot be created, it serves with one warning. In both cases
// SIGHUP and SIGTERM work as elsewhere.
func TestStartsWithIPv4Alone(t *testing.T) {
	built := filepath.Join(t.TempDir(), "cache-router")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", built, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	full := filepath.Join(t.TempDir(), "file") // not a folder, so no socket can be created in it
	if err := os.WriteFile(full, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	long := filepath.Join(t.TempDir(), strings.Repeat("long", 50)) // longer than a socket address permits
	if err := os.Mkdir(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		admin    bool
		tmp      string
		warnings int
	}{
		"no admin endpoint":   {},
		"an admin endpoint":   {admin: true},
		"no folder":           {admin: true, tmp: full, warnings: 2}, // the second one: the intent file cannot be read
		"a long path":         {admin: true, tmp: long},
		"nothing to write in": {admin: true, tmp: "/proc", warnings: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.binary, h.noAdmin, h.tempDir = built, !c.admin, c.tmp
			h.start(nil)
			pid := h.program.Process.Pid
			if got := h.ping(); got == "+PONG" {
				t.Fatal("the program is ready before it knows a server")
			}
			if kinds := steadySockets(t, pid); len(kinds["other"]) > 0 || len(kinds["tcp"]) == 0 || len(kinds["udp"]) == 0 {
				t.Errorf("before it is ready, the program holds the sockets %v", kinds)
			}
			go h.serveList("s1", "origin")
			for i := 0; h.ping() != "+PONG"; i++ {
				if i > 30 {
					t.Fatal("the program does not become ready")
				}
				time.Sleep(100 * time.Millisecond)
			}
			h.configure(h.config)
			_ = h.program.Process.Signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
			if got := h.ping(); got != "+PONG" {
				t.Error("after SIGHUP:", got)
			}
			if kinds := steadySockets(t, pid); (len(kinds["other"]) > 0) != (c.admin && c.warnings == 0) {
				t.Errorf("when it is ready, the program holds the sockets %v", kinds)
			}
			_ = h.program.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-h.exited:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(waitTimeout):
				t.Error("the program did not exit after SIGTERM")
			}
			if n := countWarnings(h.log.text()); n != c.warnings {
				t.Errorf("got %d warnings: %s", n, h.log.text())
			}
		})
	}
}

// slowMachineWarnings are warnings that a slow machine causes. Discovery in this test answers only after the sockets have been
// inspected; when that takes half a second, the program abandons its first call.
var slowMachineWarnings = []string{"a call to discovery failed", "the loop stood still"}

// countWarnings counts the warnings in a log, except those that a slow machine causes.
func countWarnings(log string) (n int) {
	for line := range strings.Lines(log) {
		slow := slices.ContainsFunc(slowMachineWarnings, func(what string) bool { return strings.Contains(line, what) })
		if strings.Contains(line, "level=warning") && !slow {
			n++
		}
	}
	return n
}

// ping returns the answer to PING on a new connection.
func (h *harness) ping() string {
	c, err := net.DialTimeout("tcp", h.listen, waitTimeout)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_, _ = c.Write(resp.AppendCommand(nil, []byte("PING")))
	buf := make([]byte, 64)
	n, _ := c.Read(buf)
	return strings.TrimSpace(string(buf[:n]))
}

// steadySockets returns the sockets that a process holds in each of three samples, by kind. In a single sample, a connection that
// is just being closed is in no table any more and seems to be of another kind.
func steadySockets(t *testing.T, pid int) map[string][]string {
	held := currentSockets(t, pid)
	for range 2 {
		time.Sleep(50 * time.Millisecond)
		now := currentSockets(t, pid)
		for kind := range held {
			held[kind] = slices.DeleteFunc(held[kind], func(s string) bool { return !slices.Contains(now[kind], s) })
		}
	}
	return held
}

// currentSockets returns the sockets that a process holds, by kind: "tcp" and "udp" over IPv4, and "other".
func currentSockets(t *testing.T, pid int) map[string][]string {
	kinds := map[string][]string{}
	kindOf := map[string]string{}
	for _, kind := range []string{"tcp", "udp"} {
		table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, kind))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(table)) {
			if f := strings.Fields(line); len(f) > 9 {
				kindOf[f[9]] = kind // the column of the inode
			}
		}
	}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || len(files) == 0 {
		t.Fatal("cannot read the descriptors of the process: ", err)
	}
	for _, f := range files {
		to, _ := os.Readlink(f) // fails for a descriptor that has been closed meanwhile
		if inode, ok := strings.CutPrefix(to, "socket:["); ok {
			kind := kindOf[strings.TrimSuffix(inode, "]")]
			if kind == "" {
				kind = "other"
			}
			kinds[kind] = append(kinds[kind], to)
		}
	}
	return kinds
}
