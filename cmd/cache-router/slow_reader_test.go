package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// slowReader is a client with several reads on its connection that reads their answers at a bounded rate.
type slowReader struct {
	crowd   *crowd
	conn    net.Conn
	in      *bufio.Reader
	name    string
	pending []string // ids without an answer, in order
	sentAt  map[string]time.Time
	sent    int
	sendErr error
	rate    int // in bytes a second
}

const (
	slowReadBytes    = 16 << 10 // read at a time
	slowReaderBuffer = 64 << 10 // that the kernel holds for it
)

// newSlowReader connects a client that reads so many bytes a second.
func (c *crowd) newSlowReader(name string, rate int) *slowReader {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReaderBuffer)
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &slowReader{crowd: c, conn: conn, in: bufio.NewReaderSize(&pacedReader{conn: conn, rate: rate}, slowReadBytes), name: name, sentAt: map[string]time.Time{}, rate: rate}
}

// send sends a read of a value of smallValueBytes, unless the connection has failed.
func (s *slowReader) send() {
	if s.sendErr != nil {
		return
	}
	id := fmt.Sprintf("%s-%d", s.name, s.sent)
	s.sent++
	if _, s.sendErr = s.conn.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte("long-"+id), []byte(id), []byte("c=get,d=2900"))); s.sendErr == nil {
		s.pending, s.sentAt[id] = append(s.pending, id), time.Now()
	}
}

// receive reads one answer. It returns false if the connection has ended.
func (s *slowReader) receive() bool {
	line, err := s.in.ReadString('\n')
	if size, found := strings.CutPrefix(line, "$"); found && err == nil {
		var n int
		if n, err = strconv.Atoi(strings.TrimSpace(size)); err == nil {
			_, err = s.in.Discard(n + len("\r\n"))
		}
	}
	if err != nil {
		return false
	}
	s.pending = s.pending[1:]
	return true
}

// keepSending has so many reads out until the given time, and then reads the rest of the answers.
func (s *slowReader) keepSending(depth int, until time.Time) {
	for {
		for len(s.pending) < depth && s.sendErr == nil && time.Now().Before(until) {
			s.send()
		}
		if len(s.pending) == 0 || !s.receive() {
			return
		}
	}
}

// checkAnswered fails the test if a request has run, or did not cross the end of the connection, and has no answer. The client meets
// that end behind what its kernel holds, which is twice the size of its buffer at most.
func (s *slowReader) checkAnswered() {
	s.crowd.t.Helper()
	endDelay := crossingTime + 2*slowReaderBuffer*time.Second/time.Duration(s.rate)
	for _, id := range s.pending {
		if ran := s.crowd.timesRun(id); ran > 0 || time.Since(s.sentAt[id]) > endDelay {
			s.crowd.t.Errorf("%s has no answer: it ran %d times, %v ago; %d were sent", id, ran, time.Since(s.sentAt[id]), s.sent)
		}
	}
}

// TestSlowReader_GetsItsAnswersWhateverEnds guards against connections that are closed while the kernel holds answers for a client
// that goes on sending: the reset drops them.
func TestSlowReader_GetsItsAnswersWhateverEnds(t *testing.T) {
	const depth, sendFor = 6, 5 * time.Second
	signal := func(c *crowd, signals ...os.Signal) {
		for _, sent := range signals {
			_ = c.program.Process.Signal(sent)
			time.Sleep(300 * time.Millisecond)
		}
	}
	ends := map[string]func(c *crowd){
		"SIGTERM":       func(c *crowd) { signal(c, syscall.SIGTERM) },
		"SIGTERM twice": func(c *crowd) { signal(c, syscall.SIGTERM, syscall.SIGTERM) },
		"an operator's drain": func(c *crowd) {
			if got := c.adminCall("PUT", "/ops/drain/start", ""); !strings.HasPrefix(got, "200") {
				c.t.Error(got)
			}
		},
		"an upgrade": func(c *crowd) {
			old := c.program
			c.startNextProcess()
			_ = old.Process.Signal(syscall.SIGTERM)
		},
	}
	for end, begin := range ends {
		for _, rate := range []int{200_000, 400_000, 3_000_000} {
			t.Run(fmt.Sprintf("%s, %d bytes a second", end, rate), func(t *testing.T) {
				t.Parallel()
				c := startCrowd(t, 192)
				client := c.newSlowReader("r", rate)
				began := time.Now()
				old := c.program
				time.AfterFunc(time.Second, func() { begin(c) })
				time.AfterFunc(time.Second+killDelay, func() {
					if strings.HasPrefix(end, "SIGTERM") || end == "an upgrade" {
						_ = old.Process.Kill()
					}
				})
				client.keepSending(depth, began.Add(sendFor))
				client.checkAnswered()
				if client.sent < 2*depth {
					t.Errorf("%d requests were sent, which shows nothing", client.sent)
				}
			})
		}
	}
}

// TestSlowReader_IsNotIdle guards against the same by the idle timeout: a client that has sent nothing for longer may still be reading
// what it has sent for.
func TestSlowReader_IsNotIdle(t *testing.T) {
	const reads = 30
	c := startCrowd(t, 192)
	client := c.newSlowReader("r", 400_000)
	for range reads {
		client.send()
	}
	time.AfterFunc(2900*time.Millisecond, client.send)
	client.keepSending(reads, time.Now())
	client.checkAnswered()
	if client.sent != reads+1 {
		t.Errorf("%d requests were sent, want %d", client.sent, reads+1)
	}
}

// TestSlowReader_GetsItsAnswersBeforeAnInvalidWrite guards against the same where a large write ends the connection off the loop.
func TestSlowReader_GetsItsAnswersBeforeAnInvalidWrite(t *testing.T) {
	const reads, valueBytes = 6, 100_000
	c := startCrowd(t, 192)
	client := c.newSlowReader("r", 400_000)
	for range reads {
		client.send()
	}
	text := resp.AppendStreamedCommand(nil, valueBytes, []byte("CACHE.SET"), []byte("k"), []byte("bad"), []byte("c=pay,d=2500"))
	text = append(text, zeroBytes[:valueBytes+2]...) // no line end
	if _, err := client.conn.Write(append(text, "*1\r\n$4\r\nPING\r\n"...)); err != nil {
		t.Fatal(err)
	}
	for range reads {
		if !client.receive() {
			t.Fatalf("the connection ended; %d of %d reads have no answer", len(client.pending), reads)
		}
	}
	if c.timesRun("bad") != 0 {
		t.Error("the invalid write ran")
	}
}

// TestSlowReader_ThatReadsNothingIsEnded guards against a process that does not end since a client reads nothing.
func TestSlowReader_ThatReadsNothingIsEnded(t *testing.T) {
	for _, reads := range []int{2, 60} { // the kernel accepts all answers, or not
		t.Run(fmt.Sprint(reads, " reads"), func(t *testing.T) {
			t.Parallel()
			c := startCrowd(t, 192)
			client := c.newSlowReader("r", 1)
			for range reads {
				client.send()
			}
			time.Sleep(500 * time.Millisecond)
			_ = c.program.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-c.exited:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(killDelay):
				t.Error("it is still running")
			}
		})
	}
}
