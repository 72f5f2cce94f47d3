// Package client stands in for those who ask, and for the front between them and the routers. Clients come by schedule
// and never wait for each other; each op is a first try and its retries. Some clients are bad on purpose.
//
// The files: this one the front and an op; conn.go a connection; bad.go the bad ones.
package client

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/pacer"
	"spurtrestle/internal/lab/scenario"
)

// Front deals out connections to the routers of each site.
type LoadBalancer struct {
	log   *event.Log
	s     scenario.Scenario
	seed  uint64
	addrs []string
	pools []router // by RESP2; empty if all clients speak gRPC
	calls []router // by gRPC; empty if none does

	mu     sync.Mutex
	alive  []bool // as the front believes
	ending []bool // told to end: connections that are open are used on
	turn   int

	wg   sync.WaitGroup // connections and bad clients
	ops  sync.WaitGroup
	done atomic.Int64
}

// router is the way to one router, by one protocol.
type router interface {
	// ask sends a request and waits for what becomes of it; kept: where the connection ended under it, it may be sent once more.
	ask(*pending) (res result, kept bool)
	// isOpen reports whether a connection is open.
	isOpen() bool
	close()
}

// NewFront returns a front to routers at these addresses, none of them believed alive. grpc is where they take calls, if any
// clients speak that.
func NewLoadBalancer(log *event.Log, s scenario.Scenario, seed uint64, addrs, grpc []string) *LoadBalancer {
	f := &LoadBalancer{log: log, s: s, seed: seed, addrs: addrs, alive: make([]bool, len(addrs)), ending: make([]bool, len(addrs))}
	for i, addr := range grpc {
		f.calls = append(f.calls, &calls{f: f, router: event.Router(i), addr: addr})
	}
	for i, addr := range addrs {
		if s.Clients.Protocol == scenario.GRPC {
			break
		}
		f.pools = append(f.pools, &pool{f: f, router: event.Router(i), addr: addr, most: max(8, s.Routers.Descriptors/3)})
	}
	return f
}

// SiteOf is where a router stands.
func SiteOf(s scenario.Scenario, r event.Router) event.Site { return event.Site(int(r) % len(s.Sites)) }

// Believe sets what the front believes of a router.
func (f *LoadBalancer) SetAlive(r event.Router, alive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[r] = alive
	f.ending[r] = false
}

// End has the front open no more connections to a router, and use those that are open for as long as they are.
func (f *LoadBalancer) DrainRouter(r event.Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[r], f.ending[r] = false, true
}

// mayOpen reports whether connections to a router may be opened.
func (f *LoadBalancer) mayOpen(r event.Router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.ending[r]
}

// ways are the ways to the routers by the protocol of an op's client.
func (f *LoadBalancer) ways(op event.Op) []router {
	if len(f.pools) == 0 || len(f.calls) > 0 && op%2 == 1 {
		return f.calls
	}
	return f.pools
}

// pick is the next router of a site; any where the site has none. One that was told to end is used while a connection is open, unless a
// fresh one is needed.
func (f *LoadBalancer) pick(site event.Site, ways []router, fresh bool) (event.Router, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, same := range []bool{true, false} {
		for i := range f.alive {
			r := event.Router((f.turn + i) % len(f.alive))
			usable := f.alive[r] || !fresh && f.ending[r] && ways[r].isOpen()
			if usable && (!same || SiteOf(f.s, r) == site) {
				f.turn = int(r) + 1
				return r, true
			}
		}
	}
	return 0, false
}

// Done is how many ops are over.
func (f *LoadBalancer) CompletedOps() int { return int(f.done.Load()) }

// Run plays a schedule from the log's time from on, and returns once all ops have begun. What comes later than late is
// noted as the lab's own lateness.
func (f *LoadBalancer) Run(ctx context.Context, all []arrivals.Arrival, from event.Micros, late time.Duration) {
	start := f.log.Start().Add(from.Duration())
	pacer.Run(ctx, start, len(all), func(i int) time.Duration { return all[i].At.Duration() }, func(i int, by time.Duration) {
		if by > late {
			f.log.Add(event.Event{Kind: event.Late, Router: event.Nobody, Limit: event.Micros(by / time.Microsecond)})
		}
		f.ops.Add(1)
		go func() {
			defer f.ops.Done()
			defer f.done.Add(1)
			f.op(ctx, event.Op(i), all[i], from)
		}()
	})
}

// Close ends all connections and returns once nothing of the clients runs any more.
func (f *LoadBalancer) Close() {
	for _, p := range slices.Concat(f.pools, f.calls) {
		p.close()
	}
	f.wg.Wait()
}

// id is that of a try: new for each, the same in each run of a seed.
func (f *LoadBalancer) id(op event.Op, try int) event.Req {
	return event.Req(fmt.Sprintf("%08x%06x%02x", crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d %d", f.seed, op, try)), op, try))
}

// op asks until it is satisfied, has used up its retries, or may not ask again.
func (f *LoadBalancer) op(ctx context.Context, op event.Op, a arrivals.Arrival, from event.Micros) {
	m := f.s.Methods[a.Method]
	f.log.AddAt(event.Event{At: from + a.At, Kind: event.Wanted, Op: op, Method: a.Method, Tenant: a.Tenant, Site: a.Site,
		Router: event.Nobody})
	r := rand.New(rand.NewPCG(f.seed, uint64(op)+1<<32))
	leaves := event.Micros(0)
	if a.AbandonAfter > 0 {
		leaves = from + a.At + a.AbandonAfter
	}
	for try := 0; ctx.Err() == nil; try++ {
		res := f.try(op, try, a, leaves)
		again := res.how == nacked || res.how == unreached || m.Effect == "retryable" && res.how != satisfied
		if !again || res.how == left || try >= f.s.Clients.Retries {
			return
		}
		wait := f.s.Clients.Backoff.Micros() << min(try, 6)
		wait = wait/2 + event.Micros(r.Float64()*float64(wait))
		if res.hint > 0 && r.Float64() < f.s.Clients.HonourHintsShare {
			wait = res.hint + event.Micros(r.Float64()*float64(res.hint)/10)
		}
		select {
		case <-time.After(wait.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

type how int

const (
	satisfied how = iota
	nacked
	failed
	cut       // the connection ended with no answer
	unreached // nothing was sent
	left
)

type result struct {
	how  how
	hint event.Micros
}

// try sends one request, once more where a connection that was kept ended under it.
func (f *LoadBalancer) try(op event.Op, try int, a arrivals.Arrival, leaves event.Micros) result {
	m := f.s.Methods[a.Method]
	q := &pending{req: f.id(op, try), op: op, a: a, write: m.Write, answer: make(chan result, 1), limit: m.Deadline.Micros()}
	if patience := f.s.Clients.Patience; patience < 1 {
		q.gives = f.log.Now() + event.Micros(patience*float64(m.Deadline))
	}
	if leaves > 0 && (q.gives == 0 || leaves < q.gives) {
		q.gives = leaves
	}
	props := "c=" + m.Name
	if a.Tenant >= 0 {
		props += ",t=" + f.s.Tenants[a.Tenant].Name
	}
	const millisecond = event.Micros(1e3)
	ms := q.limit / millisecond
	q.sent = ms * millisecond
	props += fmt.Sprintf(",d=%d,size=%d", ms, a.Size)
	if try > 0 {
		props += ",r=1"
	}
	q.props = props
	for again := 0; ; again++ {
		ways := f.ways(op)
		r, ok := f.pick(a.Site, ways, q.fresh)
		if !ok {
			f.log.Add(event.Event{Kind: event.Unreached, Req: q.req, Op: op, Router: event.Nobody})
			return result{how: unreached}
		}
		res, kept := ways[r].ask(q)
		// Only what may run again is sent again without knowing what became of it.
		if res.how != cut || !kept || again > 0 || m.Effect != "retryable" {
			return res
		}
		q.fresh = true
	}
}

// Drain returns once all ops that have begun are over.
func (f *LoadBalancer) WaitOps() { f.ops.Wait() }
