package main

import (
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// agentStandIn answers calls to discovery as an agent on the router's machine does: for the full list at once, and a watch once there
// is a newer revision.
type agentStandIn struct {
	h        *harness
	mu       sync.Mutex
	revision int
	servers  []string
	silent   bool
	ignored  func(net.Conn) bool  // calls on these connections are not answered
	seen     map[net.Conn]bool    // connections with a call
	pending  map[net.Conn]message // the calls that wait
}

// startAgent starts the stand-in as an endpoint with a first revision.
func (h *harness) startAgent(name string, revision int, servers ...string) *agentStandIn {
	a := &agentStandIn{h: h, revision: revision, servers: servers, seen: map[net.Conn]bool{}, pending: map[net.Conn]message{}}
	a.ignored = func(net.Conn) bool { return false }
	go func() {
		for m := range h.endpoint(name).received {
			a.mu.Lock()
			delete(a.pending, m.conn)
			if !strings.HasSuffix(m.text, "the end") {
				a.seen[m.conn] = true
				a.pending[m.conn] = m
				a.answer()
			}
			a.mu.Unlock()
		}
	}()
	return a
}

// answer answers the calls that are due. a.mu must be held.
func (a *agentStandIn) answer() {
	for conn, m := range a.pending {
		isWatch := strings.Contains(m.text, "index=")
		isCurrent := strings.Contains(m.text, fmt.Sprintf("index=%d&", a.revision))
		if a.silent || a.ignored(conn) || isWatch && isCurrent {
			continue
		}
		delete(a.pending, conn)
		a.h.writeList(conn, true, a.revision, a.servers...)
	}
}

// change makes a change in the behavior, and answers what is due then.
func (a *agentStandIn) change(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	a.answer()
}

// tell publishes the next revision.
func (a *agentStandIn) tell(servers ...string) {
	a.change(func() { a.revision, a.servers = a.revision+1, servers })
}

// connections returns the connections made so far.
func (a *agentStandIn) connections() map[net.Conn]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.seen)
}

// answerOnly answers calls on the given connections alone, or on all others.
func (a *agentStandIn) answerOnly(connections map[net.Conn]bool, others bool) {
	a.change(func() { a.ignored = func(conn net.Conn) bool { return connections[conn] == others } })
}

// checkUnused sends reads to the router and checks that a cache server gets none of them.
func (h *harness) checkUnused(server string) {
	h.t.Helper()
	for i := range 40 {
		conn, _ := h.sendCommand("CACHE.GET", fmt.Sprint("k", i), fmt.Sprint("r", h.t.Name(), time.Now().UnixNano(), i), "c=get,d=2500")
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			h.t.Errorf("a read got no answer: %v", err)
		}
		conn.Close()
	}
	for {
		select {
		case m := <-h.endpoint(server).received:
			if strings.Contains(m.text, "CACHE.GET") {
				h.t.Errorf("%s, which is out of use, received %q", server, m.text)
				return
			}
		default:
			return
		}
	}
}

// outOfUse are the ways in which discovery takes s1 out of use.
var outOfUse = map[string][]string{
	"drained": {"s1:leaving", "s2", "origin"},
	"removed": {"s2", "origin"},
}

// startServing starts the router with s1, s2 and the origin, all in use, and discovery at a revision.
func (h *harness) startServing(revision int) (agent *agentStandIn) {
	h.t.Helper()
	agent = h.startAgent("discovery", revision, "s1", "s2", "origin")
	h.start([]string{"s1", "s2", "origin"})
	go answerGets(h.endpoint("s2"))
	time.Sleep(200 * time.Millisecond)
	return agent
}

// tellAndFallSilent has discovery tell who is listed, and then nothing more.
func (a *agentStandIn) tellAndFallSilent(servers ...string) {
	a.tell(servers...)
	time.Sleep(100 * time.Millisecond)
	a.change(func() { a.silent = true })
}

// replaceAndCheck replaces the process and checks that s1 gets no reads.
func (h *harness) replaceAndCheck(n int) {
	h.t.Helper()
	if err := h.replace(n); err != nil {
		h.t.Fatal(err)
	}
	h.checkUnused("s1")
}

// grace is the time in which requests to a server that is out of use end, by the settings of the harness.
const grace = time.Second

// Guards against a process that replaces another while discovery is silent and goes by the saved list: it sends to servers whose drain or
// removal the router was told, also in a chain of replacements, after one that failed, and after discovery has moved by SIGHUP.
func TestReplacementKnowsTheEndpointsWhileDiscoveryIsSilent(t *testing.T) {
	for way, servers := range outOfUse {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.startServing(5).tellAndFallSilent(servers...)
			for n := range 2 {
				h.replaceAndCheck(n)
			}
		})
		t.Run(way+", a process failed", func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.startServing(5).tellAndFallSilent(servers...)
			first, admin := h.startSuccessor(0)
			_ = h.program.Process.Kill()
			<-h.exited
			h.program, h.admin = first, admin
			time.Sleep(grace)
			h.checkUnused("s1")
			h.replaceAndCheck(1)
		})
		t.Run(way+", discovery moved", func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.startServing(50)
			moved := h.startAgent("discovery2", 1, "s1", "s2", "origin")
			h.execute("router", "rereads", "discovery2")
			time.Sleep(200 * time.Millisecond)
			moved.tellAndFallSilent(servers...) // with revision 2, far before those of the first discovery server
			h.configure(strings.ReplaceAll(h.config, h.endpoint("discovery").ln.Addr().String(), h.endpoint("discovery2").ln.Addr().String()))
			h.setEndpoint("discovery", h.endpoint("discovery2")) // in the environment of the next process
			h.replaceAndCheck(0)
		})
	}
}

// Guards against news that discovery tells one of two processes alone: the other one goes on sending to a server that is out of use.
func TestNewsToOneProcessReachesTheOther(t *testing.T) {
	for way, servers := range outOfUse {
		for _, toldFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(way, ", the old process is told: ", toldFirst), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				agent := h.startServing(5)
				ofOldProcess := agent.connections()
				if toldFirst {
					agent.answerOnly(ofOldProcess, false)
				}
				first, _ := h.startSuccessor(0)
				h.waitForAdmin(h.admin, "/ops/readiness", "200 ready")
				if !toldFirst {
					agent.answerOnly(ofOldProcess, true)
				}
				agent.tellAndFallSilent(servers...)
				if !toldFirst { // the new process fails, and the old one serves again
					_ = h.program.Process.Signal(syscall.SIGKILL)
					<-h.exited
					h.program = first
				}
				time.Sleep(grace)
				h.checkUnused("s1")
			})
		}
	}
}

// Discovery's answer replaces what was handed over, also if it numbers its revisions anew: the new process uses a server again.
func TestDiscoveryReplacesWhatWasHandedOver(t *testing.T) {
	h := newHarness(t)
	agent := h.startAgent("discovery", 50, "s1:leaving", "s2:leaving", "origin")
	h.start([]string{"s1", "s2", "origin"})
	go answerGets(h.endpoint("s1"))
	go answerGets(h.endpoint("s2"))
	time.Sleep(200 * time.Millisecond)
	agent.answerOnly(agent.connections(), true)
	agent.change(func() { agent.revision, agent.servers = 2, []string{"s1", "s2", "origin"} })
	if err := h.replace(0); err != nil {
		t.Fatal(err)
	}
	conn, _ := h.sendCommand("CACHE.GET", "k", "r", "c=get,d=2500")
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	reply := make([]byte, 1)
	if _, err := conn.Read(reply); err != nil || reply[0] != '$' {
		t.Errorf("a read of a key of a server that is in use again: got %q, %v", reply, err)
	}
}

// Guards against a process that asks the discovery server that its predecessor has left at SIGHUP: its environment still names that one,
// which takes no calls any more.
func TestReplacementAsksTheDiscoveryOfTheNewConfiguration(t *testing.T) {
	h := newHarness(t)
	left := h.startServing(50)
	moved := h.startAgent("discovery2", 1, "s1", "s2", "origin")
	h.execute("router", "rereads", "discovery2")
	time.Sleep(200 * time.Millisecond)
	left.change(func() { left.silent = true })
	for n := range 2 {
		if err := h.replace(n); err != nil {
			t.Fatal(err)
		}
	}
	moved.tell("s1:leaving", "s2", "origin")
	time.Sleep(grace)
	h.checkUnused("s1")
}

// Guards against a process that goes on asking the discovery server that a new configuration, which only the other process was told to
// read, has replaced: it would be alone with it.
func TestNewConfigurationReachesBothProcesses(t *testing.T) {
	for _, toldFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("the old process is told: ", toldFirst), func(t *testing.T) {
			h := newHarness(t)
			left := h.startServing(50)
			moved := h.startAgent("discovery2", 1, "s1", "s2", "origin")
			old, _ := h.startSuccessor(0)
			h.waitForAdmin(h.admin, "/ops/readiness", "200 ready")
			told, other := h.program, old
			if toldFirst {
				told, other = old, h.program
			}
			h.configure(strings.ReplaceAll(h.config, h.endpoint("discovery").ln.Addr().String(), h.endpoint("discovery2").ln.Addr().String()))
			_ = told.Process.Signal(syscall.SIGHUP)
			time.Sleep(200 * time.Millisecond)
			left.change(func() { left.silent = true })
			_ = told.Process.Kill() // the other one is left alone
			<-h.exited
			h.program = other
			moved.tell("s1:leaving", "s2", "origin")
			time.Sleep(grace)
			h.checkUnused("s1")
		})
	}
}
