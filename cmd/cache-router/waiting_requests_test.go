package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// waitingStates have clients whose complete requests wait in the router, each for another reason.
var waitingStates = []pipelineCase{
	{name: "room in the queues", clients: 60},
	{name: "deadlines of all lengths", clients: 60, waits: []time.Duration{longWait, shortWait, time.Second}},
	{name: "the kernel, paused", clients: 12, depth: 100},
	{name: "a turn", clients: 20, depth: 2000, command: func(id string, position int, wait time.Duration) []byte {
		if position%500 == 0 {
			return readCommand("k"+id, id, fmt.Sprint("c=get,d=", wait.Milliseconds()))
		}
		return resp.AppendCommand(nil, []byte("PING"))
	}},
	{name: "memory", memoryMB: 32, clients: 60, depth: 6, command: func(id string, _ int, wait time.Duration) []byte {
		return writeCommand("slow"+id, id, fmt.Sprint("c=pay,d=", wait.Milliseconds()), smallValueBytes)
	}},
	{name: "the way back to the loop", clients: 20, depth: 5, command: func(id string, position int, wait time.Duration) []byte {
		key := "k"
		if position == 0 {
			key = "large"
		}
		return readCommand(key+id, id, fmt.Sprint("c=get,d=", wait.Milliseconds()))
	}},
}

// waitingEnds are what may end the connection of a client whose requests wait, or the wait itself.
var waitingEnds = []struct {
	name        string
	descriptors int
	end         func(c *crowd, p *pipelineRecord)
}{
	{"SIGTERM", 0, func(c *crowd, _ *pipelineRecord) { c.endLast(c.program) }},
	{"SIGTERM, again and again", 0, func(c *crowd, _ *pipelineRecord) {
		for delay := 100 * time.Millisecond; delay < killDelay; delay += 300 * time.Millisecond {
			process := c.program.Process
			time.AfterFunc(delay, func() { _ = process.Signal(syscall.SIGTERM) })
		}
		c.endLast(c.program)
	}},
	{"an operator's drain", 0, func(c *crowd, _ *pipelineRecord) {
		if got := c.adminCall("PUT", "/ops/drain/start", ""); !strings.HasPrefix(got, "200") {
			c.t.Error("starting a drain: ", got)
		}
		c.frontAway.Store(true)
		time.Sleep(time.Second)
		c.endProcess(c.program)
	}},
	{"an upgrade", 0, func(c *crowd, _ *pipelineRecord) { c.replaceAndEnd(100 * time.Millisecond) }},
	{"an upgrade that is aborted", 0, func(c *crowd, p *pipelineRecord) { c.abortUpgrade(p) }},
	{"a crowd without descriptors", 160, func(c *crowd, _ *pipelineRecord) { c.connectIdly(100) }},
}

// TestWaitingRequests_AreAnsweredWhateverEnds guards against a path that ends a connection, or a wait, without regard to requests
// that wait in one of the router's queues.
func TestWaitingRequests_AreAnsweredWhateverEnds(t *testing.T) {
	const parallel = 4
	slots := make(chan struct{}, parallel)
	for _, state := range waitingStates {
		for _, ending := range waitingEnds {
			t.Run(state.name+", "+ending.name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				test := state
				test.descriptors, test.end, test.runs = ending.descriptors, ending.end, 700*time.Millisecond
				if test.waits == nil {
					test.waits = []time.Duration{longWait}
				}
				test.play(t)
			})
		}
	}
}

// abortUpgrade has another process begin to take over, and kills it. What it has got by then is lost with it.
func (c *crowd) abortUpgrade(p *pipelineRecord) {
	old := c.program
	c.startNextProcess()
	p.excused.Store(true)
	_ = c.program.Process.Kill()
	<-c.exited
	c.program = old
	time.Sleep(time.Second)
	p.excused.Store(false)
	time.Sleep(time.Second)
}

// connectIdly opens connections that send nothing, again and again, so that descriptors run short.
func (c *crowd) connectIdly(connections int) {
	for range 10 {
		var idle []net.Conn
		for range connections {
			if conn, err := net.Dial("tcp", c.listen); err == nil {
				idle = append(idle, conn)
			}
		}
		time.Sleep(200 * time.Millisecond)
		for _, conn := range idle {
			conn.Close()
		}
	}
}
