// Package bench loads one address with read requests and measures the answers: in a closed loop, where each connection
// keeps a fixed number of requests in flight, or in an open loop, where requests are sent by schedule regardless of the
// answers. Latency in the open loop counts from the scheduled send time, so that a generator that falls behind is visible.
// The command `cache-routerctl lab bench` runs it.
//
// Files: load.go has the generator, null.go servers that answer immediately, and router.go the measurement of a router
// between the two.
package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spurtrestle/internal/lab/pacer"
	"spurtrestle/internal/resp"
)

// Load describes the requests to send.
type Load struct {
	Addr     string
	Conns    int
	Depth    int           // closed loop: requests in flight on a connection
	Rate     float64       // open loop: requests per second over all connections; 0: closed loop
	Keys     int           // number of keys, read in turn
	Props    string        // properties of each request
	Duration time.Duration // measured time
	WarmUp   time.Duration // time before the measurement
	FirstID  uint64        // id of the first request; loads with different ranges share no ids
}

// Result holds the answers within the measured time.
type Result struct {
	Answered    int64
	Succeeded   int64
	Rejected    int64
	Failed      int64
	Duration    time.Duration
	Latency     *hdrhistogram.Histogram // microseconds
	MaxLateness time.Duration           // largest lateness of the generator
	LatenessP99 time.Duration           // of the sends of the open loop
}

// Rate returns the answers per second.
func (o Result) Rate() float64 { return float64(o.Answered) / o.Duration.Seconds() }

// Quantile returns a percentile of the latency in milliseconds.
func (o Result) Quantile(q float64) float64 { return float64(o.Latency.ValueAtQuantile(q)) / 1e3 }

// connection is one connection of the generator. mu guards due and orders the writes.
type connection struct {
	load    *Load
	index   int
	conn    net.Conn
	ids     *atomic.Uint64
	mu      sync.Mutex
	due     []int64 // send times of the requests without an answer, in microseconds since the start
	hist    *hdrhistogram.Histogram
	result  Result
	scratch []byte
}

// Run sends the load until its time is over. It fails if the address cannot be reached or a connection breaks.
func Run(ctx context.Context, l Load) (Result, error) {
	if l.Conns < 1 || l.Depth < 1 && l.Rate <= 0 || l.Keys < 1 {
		return Result{}, errors.New("a load requires connections, keys, and a depth or a rate")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ids := &atomic.Uint64{}
	ids.Store(l.FirstID)
	conns := make([]*connection, l.Conns)
	for i := range conns {
		conn, err := net.DialTimeout("tcp", l.Addr, 2*time.Second)
		if err != nil {
			return Result{}, err
		}
		defer conn.Close()
		conns[i] = &connection{load: &l, index: i, conn: conn, ids: ids, hist: hdrhistogram.New(1, 60e6, 3)}
	}
	start := time.Now()
	from, until := l.WarmUp, l.WarmUp+l.Duration
	stop := context.AfterFunc(ctx, func() {
		for _, c := range conns {
			c.conn.Close()
		}
	})
	defer stop()
	var readers sync.WaitGroup
	errs := make(chan error, len(conns))
	for _, c := range conns {
		readers.Go(func() {
			if err := c.read(start, from, until); err != nil {
				errs <- err
			}
		})
	}
	var lateness *hdrhistogram.Histogram
	if l.Rate > 0 {
		lateness = runOpenLoop(ctx, conns, l, start, until)
	} else {
		if err := runClosedLoop(ctx, conns, l, start, until); err != nil {
			return Result{}, err
		}
	}
	time.Sleep(min(200*time.Millisecond, l.Duration)) // for answers in flight
	cancel()
	readers.Wait()
	select {
	case err := <-errs:
		return Result{}, err
	default:
	}
	return sum(l, conns, lateness), nil
}

// sum adds up the results of the connections. lateness is nil in a closed loop.
func sum(l Load, conns []*connection, lateness *hdrhistogram.Histogram) Result {
	total := Result{Duration: l.Duration, Latency: hdrhistogram.New(1, 60e6, 3)}
	for _, c := range conns {
		total.Answered += c.result.Answered
		total.Succeeded += c.result.Succeeded
		total.Rejected += c.result.Rejected
		total.Failed += c.result.Failed
		total.Latency.Merge(c.hist)
	}
	if lateness != nil {
		total.MaxLateness, total.LatenessP99 = time.Duration(lateness.Max())*time.Microsecond, time.Duration(lateness.ValueAtQuantile(99))*time.Microsecond
	}
	return total
}

// runClosedLoop sends the first requests of each connection and waits until the time is over.
func runClosedLoop(ctx context.Context, conns []*connection, l Load, start time.Time, until time.Duration) error {
	for _, c := range conns {
		if err := c.send(l.Depth, time.Since(start)); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(until):
	}
	return nil
}

// runOpenLoop sends by schedule from two goroutines, because one fell behind at 60,000 requests per second. It returns the
// lateness of the sends.
func runOpenLoop(ctx context.Context, conns []*connection, l Load, start time.Time, until time.Duration) *hdrhistogram.Histogram {
	threads := min(2, len(conns))
	var wg sync.WaitGroup
	lateness := make([]*hdrhistogram.Histogram, threads)
	for t := range threads {
		lateness[t] = hdrhistogram.New(1, 60e6, 3)
		wg.Go(func() {
			rate := l.Rate / float64(threads)
			n := int(rate * until.Seconds())
			own := conns[t*len(conns)/threads : (t+1)*len(conns)/threads]
			at := func(i int) time.Duration {
				return time.Duration((float64(i) + float64(t)/float64(threads)) / rate * 1e9)
			}
			pacer.Run(ctx, start, n, at, func(i int, late time.Duration) {
				_ = lateness[t].RecordValue(max(1, int64(late/time.Microsecond))) // fails above a minute, when the run is over
				// If the connection breaks, its reader reports the error.
				_ = own[i%len(own)].send(1, at(i))
			})
		})
	}
	wg.Wait()
	for _, h := range lateness[1:] {
		lateness[0].Merge(h)
	}
	return lateness[0]
}

// send writes n requests in one write. due is their scheduled send time, from the start.
func (c *connection) send(n int, due time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scratch = c.scratch[:0]
	for range n {
		id := c.ids.Add(1)
		c.scratch = append(c.scratch, "*4\r\n$9\r\nCACHE.GET\r\n"...)
		var word [24]byte
		c.scratch = resp.AppendBulk(c.scratch, strconv.AppendUint(append(word[:0], 'k'), id%uint64(c.load.Keys), 36))
		c.scratch = resp.AppendBulk(c.scratch, strconv.AppendUint(word[:0], id, 16))
		c.scratch = resp.AppendBulk(c.scratch, []byte(c.load.Props))
		c.due = append(c.due, int64(due/time.Microsecond))
	}
	_, err := c.conn.Write(c.scratch)
	return err
}

var bounds = resp.Bounds{Bulk: 1 << 20, Line: 1 << 12, Args: 16}

// read handles answers. In the closed loop it sends a new request for each.
func (c *connection) read(start time.Time, from, until time.Duration) error {
	buf := make([]byte, 256<<10)
	have := 0
	for {
		if have == len(buf) {
			buf = append(buf, make([]byte, len(buf))...)
		}
		n, err := c.conn.Read(buf[have:])
		now := time.Since(start)
		if err != nil {
			if now < until {
				return fmt.Errorf("connection %d: %w", c.index, err)
			}
			return nil // the end of the load
		}
		have += n
		used, answers, err := c.handleReplies(buf[:have], now, now >= from && now < until)
		if err != nil {
			return err
		}
		copy(buf, buf[used:have])
		have -= used
		if c.load.Rate <= 0 && answers > 0 && now < until {
			if err := c.send(answers, time.Since(start)); err != nil {
				return err
			}
		}
	}
}

// nextDue removes and returns the send time of the oldest request without an answer; ok is false if there is none.
func (c *connection) nextDue() (due time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.due) == 0 {
		return 0, false
	}
	due = time.Duration(c.due[0]) * time.Microsecond
	c.due = c.due[1:]
	return due, true
}

// count adds an answer to the result.
func (c *connection) count(r resp.Reply, latency time.Duration) {
	c.result.Answered++
	switch {
	case r.Kind == '$' && !r.Null:
		c.result.Succeeded++
	case r.Kind == '-' && len(r.Text) >= 4 && string(r.Text[:4]) == "BUSY":
		c.result.Rejected++
	default:
		c.result.Failed++
	}
	_ = c.hist.RecordValue(max(1, int64(latency/time.Microsecond))) // fails above a minute, which is no meaningful latency
}

// handleReplies handles the complete answers at the beginning of data, which was read at now, and counts them if they are
// within the measured time. It returns the size and number of the answers.
func (c *connection) handleReplies(data []byte, now time.Duration, measured bool) (used, answers int, err error) {
	for used < len(data) {
		r, size, err := resp.ReadReply(data[used:], bounds)
		if err != nil {
			return used, answers, fmt.Errorf("connection %d: malformed answer: %w", c.index, err)
		}
		if size == 0 {
			break
		}
		used += size
		answers++
		due, ok := c.nextDue()
		if !ok {
			return used, answers, fmt.Errorf("connection %d: answer without a request", c.index)
		}
		if measured {
			c.count(r, now-due)
		}
	}
	return used, answers, nil
}
