package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/resp"
)

// limitDescriptors lets the program open so many more descriptors, until the returned function restores its limit. The system
// calls that need one fail with EMFILE meanwhile.
func (h *harness) limitDescriptors(more int) (restore func()) {
	h.t.Helper()
	pid := h.program.Process.Pid
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		h.t.Fatal(err)
	}
	var before unix.Rlimit
	limit := unix.Rlimit{Cur: uint64(len(open) + more)}
	if err = unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		h.t.Fatal(err)
	}
	limit.Max = before.Max
	if err = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		h.t.Fatal(err)
	}
	return func() {
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
			h.t.Fatal(err)
		}
	}
}

// shortage ends long before clients give up.
const shortage = 300 * time.Millisecond

// Guards against lost requests when accept, or the duplication of an accepted connection, fails for lack of descriptors.
func TestDescriptorShortageLosesNoRequest(t *testing.T) {
	for more := range 4 {
		t.Run(fmt.Sprintf("%d more descriptors", more), func(t *testing.T) {
			h := newHarness(t)
			h.noAdmin = true
			h.start([]string{"s1", "origin"})
			go answerReads(h.endpoint("s1"))
			restore := h.limitDescriptors(more)
			served := make(chan bool)
			go func() { served <- h.checkOwnValue("r1", 40, "CACHE.GET", "k1", "r1", "c=get,d=2500") }()
			time.Sleep(shortage)
			restore()
			if !<-served {
				t.Error("the request was not served")
			}
		})
	}
}

// answerReads answers the reads that a cache server receives.
func answerReads(e *endpoint) {
	for m := range e.received {
		if words := strings.Fields(m.text); words[2] == "CACHE.GET" {
			_, _ = io.WriteString(m.conn, cacheHit(40)(words[4]))
		}
	}
}

// Guards against requests that are rejected, and servers that count as faulty, since the router itself has no descriptor, no
// port or no memory for a connection to them.
func TestAttemptsWaitWhileNoSocketCanBeOpened(t *testing.T) {
	h := newHarness(t)
	h.noAdmin = true
	h.start([]string{"s1", "origin"})
	go answerReads(h.endpoint("s1"))
	client, _ := h.sendCommand("PING")
	if _, err := io.ReadFull(client, make([]byte, len("+PONG\r\n"))); err != nil {
		t.Fatal(err)
	}
	restore := h.limitDescriptors(-3) // also below the gaps in their numbers
	_, _ = client.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte("k1"), []byte("r1"), []byte("c=get,d=2500")))
	time.Sleep(shortage)
	restore()
	if !h.checkOwnReply(client, "r1", 40) {
		t.Error("the request was not served")
	}
}
