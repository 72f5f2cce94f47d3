package main

import (
	"bufio"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// endingWrite is a large write that is under way when its router is told to end.
type endingWrite struct {
	name       string
	method     string
	lastByteAt time.Duration // after SIGTERM
	originTime time.Duration // until the origin answers the write
	replaced   bool          // another process has replaced the router before SIGTERM
	behind     string        // the key of a read before it on its connection; "": there is none
	want       []string      // prefixes of the answer, one of which it has; nil: the connection ends
}

// noAnswerTime is longer than any process is given.
const noAnswerTime = 10 * time.Second

// The shutdown deadline is 3.5 s after SIGTERM, and what is read in the last second before it is rejected.
var endingWrites = []endingWrite{
	{"complete before SIGTERM, the origin hangs", "pay", -200 * time.Millisecond, noAnswerTime, false, "", []string{"-ERR"}},
	{"complete before SIGTERM, may run twice, the origin hangs", "get", -200 * time.Millisecond, noAnswerTime, false, "", []string{"-BUSY", "-ERR"}},
	{"complete just before the limit, the origin is slow", "pay", 2300 * time.Millisecond, 2 * time.Second, false, "", []string{"-ERR"}},
	{"complete just before the limit, the origin is quick", "pay", 2300 * time.Millisecond, 10 * time.Millisecond, false, "", []string{"$"}},
	{"complete just behind the limit", "pay", 2600 * time.Millisecond, time.Second, false, "", []string{"-BUSY"}},
	{"complete behind the limit, the origin hangs", "pay", 3 * time.Second, noAnswerTime, false, "", []string{"-BUSY"}},
	{"complete behind the end of reading", "pay", 3600 * time.Millisecond, time.Second, false, "", nil},
	{"in an upgrade, complete before SIGTERM, the origin hangs", "pay", -200 * time.Millisecond, noAnswerTime, true, "", []string{"-ERR"}},
	{"in an upgrade, complete behind the limit", "pay", 2700 * time.Millisecond, time.Second, true, "", []string{"-BUSY"}},
	{"behind a read whose server hangs", "pay", 500 * time.Millisecond, time.Second, false, "hang", []string{"-BUSY"}},
}

// TestLargeWrite_IsAnsweredBeforeItsRouterEnds guards against a large write that an ending process takes and does not answer before it
// is killed: neither the reading of its value nor the wait for its answer knew the shutdown deadline.
func TestLargeWrite_IsAnsweredBeforeItsRouterEnds(t *testing.T) {
	for _, w := range endingWrites {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			w.run(t)
		})
	}
}

func (w *endingWrite) run(t *testing.T) {
	const id, pieces, valueBytes = "w", 40, 1 << 20
	c := newCrowd(t, 192)
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	c.onRun = func(ran string) {
		if ran != id {
			return
		}
		select {
		case <-over:
		case <-time.After(w.originTime):
		}
	}
	c.serve()
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	began := time.Now()
	signalAt := time.Second
	_ = conn.SetDeadline(began.Add(signalAt + killDelay + 500*time.Millisecond))
	endProcess(c.program, signalAt)
	if w.behind != "" { // until after the limit
		time.Sleep(signalAt - 100*time.Millisecond)
		_, _ = conn.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte(w.behind), []byte("r"), []byte("c=pay,d=2900")))
	}
	text := writeCommand("k", id, "c="+w.method+",d=2900", valueBytes)
	first := time.Since(began)
	for i := range pieces {
		time.Sleep(time.Until(began.Add(first + (signalAt+w.lastByteAt-first)*time.Duration(i)/(pieces-1))))
		if _, err = conn.Write(text[len(text)*i/pieces : len(text)*(i+1)/pieces]); err != nil {
			break // the router has ended the connection
		}
		if i == 0 && w.replaced {
			c.startNextProcess()
		}
	}
	w.check(t, c, conn, id)
}

// endProcess ends a process as planned: SIGTERM after a delay, and SIGKILL as early as it may come.
func endProcess(process *exec.Cmd, delay time.Duration) {
	time.AfterFunc(delay, func() { _ = process.Process.Signal(syscall.SIGTERM) })
	time.AfterFunc(delay+killDelay, func() { _ = process.Process.Kill() })
}

// check reads the answers and compares them.
func (w *endingWrite) check(t *testing.T, c *crowd, conn net.Conn, id string) {
	t.Helper()
	in := bufio.NewReader(conn)
	if w.behind != "" {
		if line, err := in.ReadString('\n'); !strings.HasPrefix(line, "-") {
			t.Errorf("the read got %q (%v)", line, err)
		}
	}
	line, err := in.ReadString('\n')
	answered := false
	for _, want := range w.want {
		answered = answered || strings.HasPrefix(line, want)
	}
	ran := c.timesRun(id)
	if w.want == nil && (err == nil || ran > 0) || w.want != nil && !answered {
		t.Errorf("got %q (%v), want one of %q; it ran %d times", line, err, w.want, ran)
	}
	if strings.HasPrefix(line, "-BUSY") && w.method == "pay" && ran > 0 {
		t.Errorf("it was rejected as harmless, and ran %d times", ran)
	}
}
