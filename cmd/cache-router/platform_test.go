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

// There are platforms with TCP and UDP over IPv4 alone, where each other kind of socket is refused. The program, built
// as it is deployed, must hold no other before it says yes; and where the Unix socket for the next process cannot be, it
// serves with one warning. Either way SIGHUP and SIGTERM do what they do elsewhere.
func TestStartsWithIPv4Alone(t *testing.T) {
	built := filepath.Join(t.TempDir(), "cache-router")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", built, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	full := filepath.Join(t.TempDir(), "file") // no folder: no socket can be made in it
	if err := os.WriteFile(full, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	long := filepath.Join(t.TempDir(), strings.Repeat("long", 50)) // more than a socket's address has room for
	if err := os.Mkdir(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		door     bool
		tmp      string
		warnings int
	}{
		"no door":             {},
		"a door":              {door: true},
		"no folder":           {door: true, tmp: full, warnings: 2}, // the other: what operators asked cannot be read
		"a long path":         {door: true, tmp: long},
		"nothing to write in": {door: true, tmp: "/proc", warnings: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlayer(t)
			p.binary, p.noDoor, p.tmp = built, !c.door, c.tmp
			p.start(nil)
			pid := p.program.Process.Pid
			if got := p.ping(); got == "+PONG" {
				t.Fatal("it says yes before it knows a server")
			}
			if kinds := socketsOf(t, pid); len(kinds["other"]) > 0 || len(kinds["tcp"]) == 0 || len(kinds["udp"]) == 0 {
				t.Errorf("before its yes it holds %v", kinds)
			}
			go p.listing("s1", "origin")
			for i := 0; p.ping() != "+PONG"; i++ {
				if i > 30 {
					t.Fatal("it does not say yes")
				}
				time.Sleep(100 * time.Millisecond)
			}
			p.configure(p.config)
			_ = p.program.Process.Signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
			if got := p.ping(); got != "+PONG" {
				t.Error("after SIGHUP:", got)
			}
			if kinds := socketsOf(t, pid); (len(kinds["other"]) > 0) != (c.door && c.warnings == 0) {
				t.Errorf("after its yes it holds %v", kinds)
			}
			_ = p.program.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-p.ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(patience):
				t.Error("it stays after SIGTERM")
			}
			if n := warningsOfTheProgram(p.log.text()); n != c.warnings {
				t.Errorf("%d warnings: %s", n, p.log.text())
			}
		})
	}
}

// lateness are the warnings that tell of a machine which is slow at the moment: discovery's side of this test begins to answer
// only once the sockets have been looked at, and where that took half a second the first call was given up.
var lateness = []string{"a call to discovery failed", "the loop stood still"}

// warningsOfTheProgram counts the warnings in a log, but for those of a slow machine.
func warningsOfTheProgram(log string) (n int) {
	for line := range strings.Lines(log) {
		late := slices.ContainsFunc(lateness, func(what string) bool { return strings.Contains(line, what) })
		if strings.Contains(line, "level=warning") && !late {
			n++
		}
	}
	return n
}

func (p *player) ping() string {
	c, err := net.DialTimeout("tcp", p.listen, patience)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_, _ = c.Write(resp.AppendCommand(nil, []byte("PING")))
	buf := make([]byte, 64)
	n, _ := c.Read(buf)
	return strings.TrimSpace(string(buf[:n]))
}

// socketsOf are the sockets that a process holds at each of three looks, by kind. At one look a connection that ends just then is
// in no table any more, and seems to be of another kind.
func socketsOf(t *testing.T, pid int) map[string][]string {
	held := socketsNow(t, pid)
	for range 2 {
		time.Sleep(50 * time.Millisecond)
		now := socketsNow(t, pid)
		for kind := range held {
			held[kind] = slices.DeleteFunc(held[kind], func(s string) bool { return !slices.Contains(now[kind], s) })
		}
	}
	return held
}

// socketsNow: what is neither TCP nor UDP over IPv4 is "other".
func socketsNow(t *testing.T, pid int) map[string][]string {
	kinds := map[string][]string{}
	in := map[string]string{}
	for _, kind := range []string{"tcp", "udp"} {
		table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, kind))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(table)) {
			if f := strings.Fields(line); len(f) > 9 {
				in[f[9]] = kind // the column of the inode
			}
		}
	}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || len(files) == 0 {
		t.Fatal("its descriptors cannot be read: ", err)
	}
	for _, f := range files {
		to, _ := os.Readlink(f) // gone by now: not held
		if inode, ok := strings.CutPrefix(to, "socket:["); ok {
			kind := in[strings.TrimSuffix(inode, "]")]
			if kind == "" {
				kind = "other"
			}
			kinds[kind] = append(kinds[kind], to)
		}
	}
	return kinds
}
