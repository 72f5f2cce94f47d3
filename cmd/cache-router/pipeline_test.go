package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// pipelineRecord counts what became of the requests of clients that pipeline.
type pipelineRecord struct {
	crowd    *crowd
	command  func(id string, position int, wait time.Duration) []byte // in a pipeline; nil: a read
	answered atomic.Int64
	rejected atomic.Int64
	crossed  atomic.Int64 // sent while the connection was being closed, and never run
	excused  atomic.Bool  // a process was killed without warning: what it had is lost to that
	mu       sync.Mutex
	lost     []string
	late     []time.Duration // by how much answers passed the time from which they count as lost
}

// noteAnswer records an answer. Its time counts from the last byte of its request, less the wait for the answers before it.
func (p *pipelineRecord) noteAnswer(line string, due time.Time) {
	p.answered.Add(1)
	if line[0] != '$' {
		p.rejected.Add(1)
	}
	if late := time.Since(due) - lostAfter; late > 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.late = append(p.late, late)
	}
}

// noteEnd records that the connection ended, or its answer did not come, while requests had none.
func (p *pipelineRecord) noteEnd(ids []string, sent time.Time, err error) {
	taken := time.Since(sent)
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	for _, id := range ids {
		ran := p.crowd.timesRun(id)
		if !timedOut && taken < crossingTime && ran == 0 {
			p.crossed.Add(1)
			continue
		}
		if !p.excused.Load() {
			p.mu.Lock()
			p.lost = append(p.lost, fmt.Sprintf("%s: ran %d times, %v after its last byte: %v", id, ran, taken, err))
			p.mu.Unlock()
		}
	}
}

// check fails the test if a request was lost, by the end of its connection or by the time of its answer.
func (p *pipelineRecord) check(t *testing.T) {
	t.Helper()
	t.Logf("%d answered, %d of them rejected, %d crossed an end, %d lost, %d late", p.answered.Load(), p.rejected.Load(), p.crossed.Load(), len(p.lost), len(p.late))
	if p.answered.Load() == 0 {
		t.Error("no request was answered")
	}
	if len(p.lost) > 0 {
		t.Errorf("%d requests were lost, the first: %s", len(p.lost), p.lost[0])
	}
	if len(p.late) > 0 {
		longest := time.Duration(0)
		for _, late := range p.late {
			longest = max(longest, late)
		}
		t.Errorf("%d answers came later than %v after their time, by up to %v more", len(p.late), lostAfter, longest)
	}
}

// play sends reads in pipelines on one connection after the other until stop is set or the front has no connection for it.
func (p *pipelineRecord) play(name string, depth int, wait time.Duration, stop *atomic.Bool) {
	var conn *crowdConn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 0; !stop.Load(); n++ {
		if conn == nil {
			var err error
			if conn, err = p.crowd.dial(); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		if !p.exchange(conn, fmt.Sprint(name, "-", n), depth, wait) {
			conn.Close()
			conn = nil
			time.Sleep(20 * time.Millisecond) // before it comes again
		}
	}
}

// exchange sends one pipeline and reads its answers. It reports whether all of them came.
func (p *pipelineRecord) exchange(conn *crowdConn, name string, depth int, wait time.Duration) bool {
	var batch []byte
	var ids []string
	for i := range depth {
		id := fmt.Sprint(name, "-", i)
		ids = append(ids, id)
		batch = append(batch, p.nextCommand(id, i, wait)...)
	}
	if _, err := conn.Write(batch); err != nil {
		p.crossed.Add(int64(depth))
		return false
	}
	sent := time.Now()
	waitsSince := sent
	for i := range ids {
		_ = conn.SetDeadline(waitsSince.Add(wait + 2*lostAfter))
		line, err := conn.readAnswer()
		if err != nil {
			p.noteEnd(ids[i:], sent, err)
			return false
		}
		p.noteAnswer(line, waitsSince.Add(wait))
		waitsSince = time.Now()
	}
	return true
}

func (p *pipelineRecord) nextCommand(id string, position int, wait time.Duration) []byte {
	if p.command != nil {
		return p.command(id, position, wait)
	}
	return readCommand("k"+id, id, fmt.Sprint("c=get,d=", wait.Milliseconds()))
}

const (
	pipelineClients = 100
	pipelineDepth   = 4
	slowServerTime  = 30 * time.Millisecond
	longWait        = 4800 * time.Millisecond
	shortWait       = 300 * time.Millisecond
)

// pipelineCase is one run of clients that pipeline at slow servers.
type pipelineCase struct {
	name        string
	descriptors int // of the process; 0: crowdDescriptors
	memoryMB    int // of the process; 0: crowdMemoryMB
	clients     int // 0: pipelineClients
	depth       int // 0: pipelineDepth
	waits       []time.Duration
	command     func(id string, position int, wait time.Duration) []byte // nil: a read
	runs        time.Duration                                            // until end is called
	end         func(c *crowd, p *pipelineRecord)
}

func (test pipelineCase) play(t *testing.T) {
	memoryMB := cmp.Or(test.memoryMB, crowdMemoryMB)
	c := newCrowd(t, memoryMB)
	c.busyServers, c.busyTime = true, slowServerTime
	if test.descriptors > 0 {
		c.sockets = test.descriptors
	}
	c.serve()
	old := c.program.Process.Pid
	var next atomic.Int64
	check := c.watchLimits(memoryMB, func() []int { return []int{old, int(next.Load())} })
	c.onReplaced = func() { next.Store(int64(c.program.Process.Pid)) }
	p := &pipelineRecord{crowd: c, command: test.command}
	var stop atomic.Bool
	var done sync.WaitGroup
	depth := cmp.Or(test.depth, pipelineDepth)
	for i := range cmp.Or(test.clients, pipelineClients) {
		done.Go(func() { p.play(fmt.Sprint("p", i), depth, test.waits[i%len(test.waits)], &stop) })
	}
	time.Sleep(test.runs)
	if test.end != nil {
		test.end(c, p)
	}
	stop.Store(true)
	done.Wait()
	check()
	p.check(t)
	c.checkNothingOwed(t)
}

// TestPipelines_AreAnsweredAtSlowServers guards against requests that wait unread while their connection passes for a quiet one: it
// is closed for their lack of activity, or their time is over before they are begun.
func TestPipelines_AreAnsweredAtSlowServers(t *testing.T) {
	for _, test := range []pipelineCase{
		{name: "SIGTERM", waits: []time.Duration{longWait}, runs: time.Second, end: func(c *crowd, _ *pipelineRecord) { c.endLast(c.program) }},
		{name: "process replaced", waits: []time.Duration{longWait}, runs: time.Second, end: func(c *crowd, _ *pipelineRecord) { c.replaceAndEnd(0) }},
		{name: "process replaced at the limit of descriptors", descriptors: 256, waits: []time.Duration{longWait, time.Second}, runs: time.Second,
			end: func(c *crowd, _ *pipelineRecord) { c.replaceAndEnd(300 * time.Millisecond) }},
		{name: "100 descriptors", descriptors: 100, waits: []time.Duration{longWait}, runs: 3 * time.Second},
		{name: "128 descriptors", descriptors: 128, waits: []time.Duration{longWait}, runs: 3 * time.Second},
		{name: "half of the clients wait for a short time", waits: []time.Duration{longWait, shortWait}, runs: 3 * time.Second},
		{name: "long pipelines, SIGTERM", memoryMB: 32, clients: 40, depth: 300, waits: []time.Duration{2 * time.Second}, runs: 500 * time.Millisecond,
			end: func(c *crowd, _ *pipelineRecord) { c.endLast(c.program) }},
	} {
		t.Run(test.name, test.play)
	}
}

// endLast has the front take the router out, and ends its process as endProcess does.
func (c *crowd) endLast(process *exec.Cmd) {
	time.AfterFunc(frontDelay, func() { c.frontAway.Store(true) })
	c.endProcess(process)
}

// endProcess sends SIGTERM and waits until the process has ended, which it has to before it may be killed.
func (c *crowd) endProcess(process *exec.Cmd) {
	c.t.Helper()
	_ = process.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-c.exited:
		if err != nil {
			c.t.Errorf("the process that was told to end: %v", err)
		}
	case <-time.After(killDelay):
		c.t.Errorf("the process had not ended %v after SIGTERM", killDelay)
		_ = process.Process.Kill()
	}
}

// replaceAndEnd has another process take over, and ends the old one after a while.
func (c *crowd) replaceAndEnd(after time.Duration) {
	old := c.program
	c.startNextProcess()
	if c.onReplaced != nil {
		c.onReplaced()
	}
	time.Sleep(after)
	c.endProcess(old)
	time.Sleep(time.Second) // with the new process alone
}

var unansweredPattern = regexp.MustCompile(`unanswered-ends\(([^)]*)\)`)

// leakedLimitPattern is in the counters of a process without open requests that counts some as pending.
var leakedLimitPattern = regexp.MustCompile(`limited=[1-9][0-9]* client-open=[0-9]+ conns=[0-9]+ dialing=[0-9]+ reqs=0 `)

// checkNothingOwed fails the test if a process that has ended, or runs now, has closed a connection before everything that its
// client had sent was answered. A client that reads nothing is not waited for.
func (c *crowd) checkNothingOwed(t *testing.T) {
	t.Helper()
	c.logCounters(c.program.Process.Pid)
	if leaked := leakedLimitPattern.FindString(c.log.text()); leaked != "" {
		t.Error("requests that have ended count as pending: ", leaked)
	}
	for _, counts := range unansweredPattern.FindAllStringSubmatch(c.log.text(), -1) {
		for _, count := range strings.Fields(counts[1]) {
			reason, number, _ := strings.Cut(count, "=")
			if number != "0" && reason != "unread" {
				t.Errorf("connections that were closed before they were answered: %s", counts[1])
				return
			}
		}
	}
}
