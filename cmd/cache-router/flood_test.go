package main

import (
	"cmp"
	"fmt"
	"net"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/resp"
)

const (
	floodBatchBytes   = 64 << 10
	oneConnectionEach = -1
)

func unknownCommand(int) []byte { return resp.AppendCommand(nil, []byte("NOSUCH")) }

func ping(int) []byte { return resp.AppendCommand(nil, []byte("PING")) }

// floodConnections sends each command on a connection of its own until stop is set.
func (c *crowd) floodConnections(command func(n int) []byte, stop *atomic.Bool, record *floodRecord) {
	for n := 0; !stop.Load(); n++ {
		conn, err := c.dial()
		if err != nil {
			return
		}
		record.exchange(conn, command(n))
		conn.Close()
	}
}

// flood sends commands without pause until stop is set, in pieces of the given size, and reads what comes.
func (c *crowd) flood(command func(n int) []byte, piece int, stop *atomic.Bool, record *floodRecord) {
	conn, err := c.dial()
	if err != nil {
		return
	}
	_ = conn.Conn.(*net.TCPConn).SetWriteBuffer(64 << 10) // so that it waits for the router, and leaves the machine to the others
	answers := &floodConn{record: record}
	var reading sync.WaitGroup
	reading.Go(func() { answers.readAnswers(conn, stop) })
	defer func() {
		reading.Wait() // what has come before the end counts
		conn.Close()
	}()
	go func() {
		for !stop.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		conn.Close() // it may wait for the router
	}()
	for n := 0; !stop.Load(); {
		var batch []byte
		var ends []int // of the commands in the batch
		first := n
		for len(batch) < floodBatchBytes/2 {
			batch = append(batch, command(n)...)
			ends = append(ends, len(batch))
			n++
		}
		written, commands := 0, 0
		for part := range slices.Chunk(batch, piece) {
			if _, err := conn.Write(part); err != nil || stop.Load() {
				return
			}
			written += len(part)
			for commands < len(ends) && ends[commands] <= written {
				commands++
			}
			answers.noteWritten(first + commands)
		}
	}
}

// startOnCore starts a process that has one core from its first instruction on: it inherits that of the thread that starts it.
func startOnCore(program *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &before) }()
	return program.Start()
}

// giveOneCore has the program run on one core, which it shares with busy processes. Those of tests that run at the same time are
// on others.
func (c *crowd) giveOneCore(busy int) {
	var cores unix.CPUSet
	if err := unix.SchedGetaffinity(0, &cores); err != nil {
		c.t.Fatal(err)
	}
	core := -1
	for skip := int(lastAddress.Load()) % cores.Count(); skip >= 0; skip-- {
		for core++; !cores.IsSet(core); core++ {
		}
	}
	c.startProgram = func(program *exec.Cmd) error { return startOnCore(program, core) }
	for range busy {
		process := exec.Command("sh", "-c", "while :; do :; done")
		if err := startOnCore(process, core); err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() {
			_ = process.Process.Kill()
			_ = process.Wait()
		})
	}
}

// floodName returns a name that no other command of a flood has.
func floodName(n int) string { return fmt.Sprint(strings.Repeat("n", 16), n) }

func readOfNewKey(n int) []byte { return readCommand(floodName(n), floodName(n), "c=get,d=200") }

// TestFlood_DelaysNoOtherClient guards against a loop that works for clients that send at full speed, one turn after the other,
// before it reads the sockets of the others, on cores of its own or on one that it shares. Nor may their end take longer.
func TestFlood_DelaysNoOtherClient(t *testing.T) {
	const ordinary, floodTime = 20, 2 * time.Second
	for _, test := range []struct {
		name     string
		flooders int
		command  func(n int) []byte
		piece    int // bytes of one write; 0: many commands; oneConnectionEach
		oneCore  bool
		busy     int  // processes that share the core
		slow     bool // the flood is more than the cache servers bear
		replaced bool // the process is replaced within the flood
		settled  bool // the ordinary clients come before the flood
		// the commands get no answers
		unanswered bool
	}{
		{name: "unknown commands of 6 clients", flooders: 6, command: unknownCommand},
		{name: "PING of 6 clients", flooders: 6, command: ping},
		{name: "PING of 6 clients in pieces of one byte", flooders: 6, command: ping, piece: 1},
		{name: "unknown commands of 100 clients", flooders: 100, command: unknownCommand},
		{name: "PING of 100 clients", flooders: 100, command: ping},
		{name: "wrong number of words", flooders: 6, command: func(int) []byte { return resp.AppendCommand(nil, []byte("CACHE.GET")) }},
		{name: "unknown classes under new names", flooders: 6, command: func(n int) []byte {
			return readCommand(floodName(n), floodName(n), fmt.Sprint("c=", floodName(n), ",t=", n, ",d=100"))
		}},
		{name: "reads under new names", flooders: 6, command: func(n int) []byte {
			return readCommand(floodName(n), floodName(n), fmt.Sprint("c=get,t=", n, ",d=100"))
		}},
		{name: "empty commands", flooders: 6, unanswered: true, command: func(int) []byte { return []byte("*0\r\n") }},
		{name: "heads of many short fields", flooders: 6, command: func(n int) []byte {
			return readCommand("k", floodName(n), "c=none"+strings.Repeat(",a=1", 2000))
		}},
		{name: "reads of 40 clients, one core", flooders: 40, command: readOfNewKey, oneCore: true},
		{name: "reads of 100 clients, one core", flooders: 100, command: readOfNewKey, oneCore: true},
		{name: "PING of 100 clients, one core", flooders: 100, command: ping, oneCore: true},
		{name: "a connection for each read of 100 clients, one core", flooders: 100, command: readOfNewKey, piece: oneConnectionEach, oneCore: true},
		{name: "a connection for each read of 40 clients, a 21st of a core", flooders: 40, command: readOfNewKey, piece: oneConnectionEach, oneCore: true, busy: 20},
		{name: "writes of 40 clients, one core", flooders: 40, oneCore: true, command: func(n int) []byte {
			return writeCommand(floodName(n), floodName(n), "c=pay,d=200", 10)
		}},
		{name: "reads of 8 clients, a 21st of a core", flooders: 8, command: readOfNewKey, oneCore: true, busy: 20},
		{name: "reads of 8 clients for new tenants, a 21st of a core", flooders: 8, oneCore: true, busy: 20, command: func(n int) []byte {
			return readCommand(floodName(n), floodName(n), fmt.Sprint("c=get,d=200,t=", n))
		}},
		{name: "unknown classes of 8 clients in pieces of one byte, a ninth of a core", flooders: 8, piece: 1, oneCore: true, busy: 8, command: func(n int) []byte {
			return readCommand(floodName(n), floodName(n), fmt.Sprint("c=", floodName(n), ",d=100"))
		}},
		{name: "reads of 40 clients, one core, process replaced", flooders: 40, command: readOfNewKey, oneCore: true, replaced: true},
		{name: "reads of 8 clients, a ninth of a core, process replaced", flooders: 8, command: readOfNewKey, oneCore: true, busy: 8, replaced: true},
		{name: "reads of 8 clients, busy servers", flooders: 8, command: readOfNewKey, slow: true},
		{name: "reads of 100 clients, busy servers", flooders: 100, command: readOfNewKey, slow: true},
		{name: "reads of 100 clients, busy servers, ordinary clients first", flooders: 100, command: readOfNewKey, slow: true, settled: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCrowd(t, crowdMemoryMB)
			if test.oneCore {
				c.giveOneCore(test.busy)
			}
			c.busyServers = test.slow
			c.serve()
			check := c.watchLimits(crowdMemoryMB, c.runningPIDs())
			var stop, stopFlood atomic.Bool
			var done, flood sync.WaitGroup
			l, record := &latencies{}, &floodRecord{}
			for i := range ordinary {
				done.Go(func() { c.askSteadily(fmt.Sprint("o", i), 50*time.Millisecond, &stop, l) })
			}
			if test.settled {
				time.Sleep(floodTime / 4)
			}
			for i := range test.flooders {
				flood.Go(func() {
					first := i << 32 // names differ between clients
					command := func(n int) []byte { return test.command(first + n) }
					if test.piece == oneConnectionEach {
						c.floodConnections(command, &stopFlood, record)
						return
					}
					c.flood(command, cmp.Or(test.piece, floodBatchBytes), &stopFlood, record)
				})
			}
			time.Sleep(floodTime)
			if test.replaced {
				old := c.program
				c.startNextProcess()
				time.Sleep(floodTime / 4) // it takes over
				c.endInFlood(old, false)
			}
			stop.Store(true)
			done.Wait()
			check()
			l.checkInFlood(t, test.busy > 0, test.slow)
			if test.oneCore {
				c.endInFlood(c.program, true)
			}
			stopFlood.Store(true)
			flood.Wait()
			if !test.unanswered {
				record.check(t)
			}
		})
	}
}

// checkInFlood fails the test if the flood was felt by the ordinary clients. On a core that is shared with others an answer may
// be late, but must not count as lost.
func (l *latencies) checkInFlood(t *testing.T, sharesCore, busyServers bool) {
	t.Helper()
	const deadline, medianLimit, slack = 200 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond
	if len(l.taken) == 0 {
		t.Fatal("no answer came")
	}
	slices.Sort(l.taken)
	median, longest, rejected := l.taken[len(l.taken)/2], l.taken[len(l.taken)-1], l.rejected.Load()
	t.Logf("%d answers, median %v, longest %v, %d rejected, %d lost", len(l.taken), median, longest, rejected, l.lost)
	limit := deadline + slack
	if sharesCore {
		limit = deadline + lostAfter
	} else if median > medianLimit && !busyServers {
		t.Errorf("the median is %v, at most %v is wanted", median, medianLimit)
	}
	if longest > limit || l.lost > 0 {
		t.Errorf("the longest took %v of %v, %d connections were lost", longest, limit, l.lost)
	}
	if !sharesCore && int(rejected)*10 > len(l.taken) {
		t.Errorf("%d of %d were rejected, the flood is to wait", rejected, len(l.taken))
	}
}

// endInFlood sends SIGTERM while the flood goes on. The process has to end before it may be killed. No call to discovery may have
// failed by then.
func (c *crowd) endInFlood(process *exec.Cmd, isLast bool) {
	c.t.Helper()
	defer func() { c.t.Log(c.counters()) }()
	if failed := c.counter("lists-failed"); failed > 0 {
		c.t.Errorf("%d calls to discovery failed", failed)
	}
	began := time.Now()
	_ = process.Process.Signal(syscall.SIGTERM)
	if isLast {
		time.AfterFunc(frontDelay, func() { c.frontAway.Store(true) })
	}
	select {
	case err := <-c.exited:
		c.t.Logf("the process ended %v after SIGTERM", time.Since(began))
		if err != nil {
			c.t.Errorf("the process that was told to end: %v", err)
		}
	case <-time.After(killDelay):
		c.t.Errorf("the process had not ended %v after SIGTERM", killDelay)
	}
}
