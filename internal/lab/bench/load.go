// Package bench loads one address with plain reads and measures what comes back: in a closed loop, each connection
// keeping so many requests in hand, or in an open loop, requests coming by schedule whatever becomes of the answers. Latency in
// the open loop counts from the time when a request was to be sent, so that a generator that falls behind shows it.
//
// The files: load.go the generator; null.go servers that answer at once; router.go a router between the two.
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

// Load is what to send.
type Load struct {
	Addr     string
	Conns    int
	Depth    int           // closed loop: requests in hand on a connection
	Rate     float64       // open loop: requests a second over all connections; 0: closed
	Keys     int           // read in turns
	Props    string        // of each request, as the protocol has them
	Duration time.Duration // that is measured
	WarmUp   time.Duration // before that
	FirstID  uint64        // of the ids, so that two loads share none
}

// Outcome is what came back within the time measured.
type Result struct {
	Answered    int64
	Succeeded   int64
	Rejected    int64
	Failed      int64
	Duration    time.Duration
	Latency     *hdrhistogram.Histogram // microseconds
	MaxLateness time.Duration           // by which the generator was behind, at worst
	LatenessP99 time.Duration           // of the calls of the open loop
}

// Rate is answers a second.
func (o Result) Rate() float64 { return float64(o.Answered) / o.Duration.Seconds() }

// Quantile is a latency in milliseconds.
func (o Result) Quantile(q float64) float64 { return float64(o.Latency.ValueAtQuantile(q)) / 1e3 }

// link is one connection of the generator.
type link struct {
	l       *Load
	n       int
	c       net.Conn
	ids     *atomic.Uint64
	mu      sync.Mutex
	due     []int64 // microseconds since the start, of those without an answer
	hist    *hdrhistogram.Histogram
	out     Result
	scratch []byte
}

// Run loads until the time is over. An address that cannot be reached, or a connection that breaks, is an error.
func Run(ctx context.Context, l Load) (Result, error) {
	if l.Conns < 1 || l.Depth < 1 && l.Rate <= 0 || l.Keys < 1 {
		return Result{}, errors.New("a load needs connections, keys, and a depth or a rate")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ids := &atomic.Uint64{}
	ids.Store(l.FirstID)
	links := make([]*link, l.Conns)
	for i := range links {
		c, err := net.DialTimeout("tcp", l.Addr, 2*time.Second)
		if err != nil {
			return Result{}, err
		}
		defer c.Close()
		links[i] = &link{l: &l, n: i, c: c, ids: ids, hist: hdrhistogram.New(1, 60e6, 3)}
	}
	start := time.Now()
	from, until := l.WarmUp, l.WarmUp+l.Duration
	stop := context.AfterFunc(ctx, func() {
		for _, k := range links {
			k.c.Close()
		}
	})
	defer stop()
	var readers sync.WaitGroup
	errs := make(chan error, len(links))
	for _, k := range links {
		readers.Go(func() {
			if err := k.read(start, from, until); err != nil {
				errs <- err
			}
		})
	}
	var late *hdrhistogram.Histogram
	if l.Rate > 0 {
		late = open(ctx, links, l, start, until)
	} else {
		for _, k := range links {
			if err := k.send(l.Depth, time.Since(start)); err != nil {
				return Result{}, err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(until):
		}
	}
	time.Sleep(min(200*time.Millisecond, l.Duration)) // what is on its way
	cancel()
	readers.Wait()
	select {
	case err := <-errs:
		return Result{}, err
	default:
	}
	all := Result{Duration: l.Duration, Latency: hdrhistogram.New(1, 60e6, 3)}
	for _, k := range links {
		all.Answered += k.out.Answered
		all.Succeeded += k.out.Succeeded
		all.Rejected += k.out.Rejected
		all.Failed += k.out.Failed
		all.Latency.Merge(k.hist)
	}
	if late != nil {
		all.MaxLateness, all.LatenessP99 = time.Duration(late.Max())*time.Microsecond, time.Duration(late.ValueAtQuantile(99))*time.Microsecond
	}
	return all, nil
}

// open sends by schedule, from two threads: one of them was behind at 60,000 a second.
func open(ctx context.Context, links []*link, l Load, start time.Time, until time.Duration) *hdrhistogram.Histogram {
	threads := min(2, len(links))
	var wg sync.WaitGroup
	lates := make([]*hdrhistogram.Histogram, threads)
	for t := range threads {
		lates[t] = hdrhistogram.New(1, 60e6, 3)
		wg.Go(func() {
			rate := l.Rate / float64(threads)
			n := int(rate * until.Seconds())
			mine := links[t*len(links)/threads : (t+1)*len(links)/threads]
			at := func(i int) time.Duration {
				return time.Duration((float64(i) + float64(t)/float64(threads)) / rate * 1e9)
			}
			pacer.Run(ctx, start, n, at, func(i int, late time.Duration) {
				_ = lates[t].RecordValue(max(1, int64(late/time.Microsecond))) // over a minute late is not recorded: the run is over
				// A connection that breaks ends its reader with an error, which is the one told.
				_ = mine[i%len(mine)].send(1, at(i))
			})
		})
	}
	wg.Wait()
	for _, h := range lates[1:] {
		lates[0].Merge(h)
	}
	return lates[0]
}

// send writes so many requests in one go; due is when they were to be sent, from the start.
func (k *link) send(n int, due time.Duration) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.scratch = k.scratch[:0]
	for range n {
		id := k.ids.Add(1)
		k.scratch = append(k.scratch, "*4\r\n$9\r\nCACHE.GET\r\n"...)
		var word [24]byte
		k.scratch = resp.AppendBulk(k.scratch, strconv.AppendUint(append(word[:0], 'k'), id%uint64(k.l.Keys), 36))
		k.scratch = resp.AppendBulk(k.scratch, strconv.AppendUint(word[:0], id, 16))
		k.scratch = resp.AppendBulk(k.scratch, []byte(k.l.Props))
		k.due = append(k.due, int64(due/time.Microsecond))
	}
	_, err := k.c.Write(k.scratch)
	return err
}

var bounds = resp.Bounds{Bulk: 1 << 20, Line: 1 << 12, Args: 16}

// read takes answers; in the closed loop each brings the next request.
func (k *link) read(start time.Time, from, until time.Duration) error {
	buf := make([]byte, 256<<10)
	have := 0
	for {
		if have == len(buf) {
			buf = append(buf, make([]byte, len(buf))...)
		}
		n, err := k.c.Read(buf[have:])
		now := time.Since(start)
		if err != nil {
			if now < until {
				return fmt.Errorf("connection %d: %w", k.n, err)
			}
			return nil // the load is over
		}
		have += n
		used, answers := 0, 0
		for used < have {
			r, size, err := resp.ReadReply(buf[used:have], bounds)
			if err != nil {
				return fmt.Errorf("connection %d: an answer cannot be read: %w", k.n, err)
			}
			if size == 0 {
				break
			}
			used += size
			answers++
			k.mu.Lock()
			if len(k.due) == 0 {
				k.mu.Unlock()
				return fmt.Errorf("connection %d: an answer that nobody asked for", k.n)
			}
			due := time.Duration(k.due[0]) * time.Microsecond
			k.due = k.due[1:]
			k.mu.Unlock()
			if now >= from && now < until {
				k.out.Answered++
				switch {
				case r.Kind == '$' && !r.Null:
					k.out.Succeeded++
				case r.Kind == '-' && len(r.Text) >= 4 && string(r.Text[:4]) == "BUSY":
					k.out.Rejected++
				default:
					k.out.Failed++
				}
				_ = k.hist.RecordValue(max(1, int64((now-due)/time.Microsecond))) // over a minute: no latency of a bench
			}
		}
		copy(buf, buf[used:have])
		have -= used
		if k.l.Rate <= 0 && answers > 0 && now < until {
			if err := k.send(answers, time.Since(start)); err != nil {
				return err
			}
		}
	}
}
