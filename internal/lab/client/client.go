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
	log            *event.Log
	scenario       scenario.Scenario
	seed           uint64
	addrs          []string
	respPools      []transport // by RESP2; empty if all clients speak gRPC
	grpcTransports []transport // by gRPC; empty if none does

	mu         sync.Mutex
	alive      []bool // as the front believes
	draining   []bool // told to end: connections that are open are used on
	nextRouter int

	wg        sync.WaitGroup // connections and bad clients
	ops       sync.WaitGroup
	completed atomic.Int64
}

// router is the way to one router, by one protocol.
type transport interface {
	// ask sends a request and waits for what becomes of it; kept: where the connection ended under it, it may be sent once more.
	roundTrip(*pending) (res result, kept bool)
	// isOpen reports whether a connection is open.
	isOpen() bool
	close()
}

// NewFront returns a front to routers at these addresses, none of them believed alive. grpc is where they take calls, if any
// clients speak that.
func NewLoadBalancer(log *event.Log, s scenario.Scenario, seed uint64, addrs, grpc []string) *LoadBalancer {
	lb := &LoadBalancer{log: log, scenario: s, seed: seed, addrs: addrs, alive: make([]bool, len(addrs)), draining: make([]bool, len(addrs))}
	for i, addr := range grpc {
		lb.grpcTransports = append(lb.grpcTransports, &grpcTransport{lb: lb, router: event.Router(i), addr: addr})
	}
	for i, addr := range addrs {
		if s.Clients.Protocol == scenario.GRPC {
			break
		}
		lb.respPools = append(lb.respPools, &pool{lb: lb, router: event.Router(i), addr: addr, maxConns: max(8, s.Routers.Descriptors/3)})
	}
	return lb
}

// SiteOf is where a router stands.
func SiteOf(s scenario.Scenario, r event.Router) event.Site { return event.Site(int(r) % len(s.Sites)) }

// Believe sets what the front believes of a router.
func (lb *LoadBalancer) SetAlive(r event.Router, alive bool) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.alive[r] = alive
	lb.draining[r] = false
}

// End has the front open no more connections to a router, and use those that are open for as long as they are.
func (lb *LoadBalancer) DrainRouter(r event.Router) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.alive[r], lb.draining[r] = false, true
}

// mayOpen reports whether connections to a router may be opened.
func (lb *LoadBalancer) mayOpen(r event.Router) bool {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return !lb.draining[r]
}

// ways are the ways to the routers by the protocol of an op's client.
func (lb *LoadBalancer) transports(op event.Op) []transport {
	if len(lb.respPools) == 0 || len(lb.grpcTransports) > 0 && op%2 == 1 {
		return lb.grpcTransports
	}
	return lb.respPools
}

// pick is the next router of a site; any where the site has none. One that was told to end is used while a connection is open, unless a
// fresh one is needed.
func (lb *LoadBalancer) pickRouter(site event.Site, transports []transport, needsNewConn bool) (event.Router, bool) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	for _, sameSite := range []bool{true, false} {
		for i := range lb.alive {
			r := event.Router((lb.nextRouter + i) % len(lb.alive))
			usable := lb.alive[r] || !needsNewConn && lb.draining[r] && transports[r].isOpen()
			if usable && (!sameSite || SiteOf(lb.scenario, r) == site) {
				lb.nextRouter = int(r) + 1
				return r, true
			}
		}
	}
	return 0, false
}

// Done is how many ops are over.
func (lb *LoadBalancer) CompletedOps() int { return int(lb.completed.Load()) }

// Run plays a schedule from the log's time from on, and returns once all ops have begun. What comes later than late is
// noted as the lab's own lateness.
func (lb *LoadBalancer) Run(ctx context.Context, schedule []arrivals.Arrival, from event.Micros, lateLimit time.Duration) {
	start := lb.log.Start().Add(from.Duration())
	pacer.Run(ctx, start, len(schedule), func(i int) time.Duration { return schedule[i].At.Duration() }, func(i int, lateness time.Duration) {
		if lateness > lateLimit {
			lb.log.Add(event.Event{Kind: event.Late, Router: event.Nobody, Limit: event.Micros(lateness / time.Microsecond)})
		}
		lb.ops.Add(1)
		go func() {
			defer lb.ops.Done()
			defer lb.completed.Add(1)
			lb.runOp(ctx, event.Op(i), schedule[i], from)
		}()
	})
}

// Close ends all connections and returns once nothing of the clients runs any more.
func (lb *LoadBalancer) Close() {
	for _, p := range slices.Concat(lb.respPools, lb.grpcTransports) {
		p.close()
	}
	lb.wg.Wait()
}

// id is that of a try: new for each, the same in each run of a seed.
func (lb *LoadBalancer) requestID(op event.Op, try int) event.Req {
	return event.Req(fmt.Sprintf("%08x%06x%02x", crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d %d", lb.seed, op, try)), op, try))
}

// op asks until it is satisfied, has used up its retries, or may not ask again.
func (lb *LoadBalancer) runOp(ctx context.Context, op event.Op, a arrivals.Arrival, from event.Micros) {
	m := lb.scenario.Methods[a.Method]
	lb.log.AddAt(event.Event{At: from + a.At, Kind: event.Wanted, Op: op, Method: a.Method, Tenant: a.Tenant, Site: a.Site,
		Router: event.Nobody})
	random := rand.New(rand.NewPCG(lb.seed, uint64(op)+1<<32))
	abandonsAt := event.Micros(0)
	if a.AbandonAfter > 0 {
		abandonsAt = from + a.At + a.AbandonAfter
	}
	for try := 0; ctx.Err() == nil; try++ {
		res := lb.sendRequest(op, try, a, abandonsAt)
		mayRetry := res.outcome == rejected || res.outcome == unreached || m.Effect == "retryable" && res.outcome != succeeded
		if !mayRetry || res.outcome == abandoned || try >= lb.scenario.Clients.Retries {
			return
		}
		wait := lb.scenario.Clients.Backoff.Micros() << min(try, 6)
		wait = wait/2 + event.Micros(random.Float64()*float64(wait))
		if res.retryAfter > 0 && random.Float64() < lb.scenario.Clients.HonourHintsShare {
			wait = res.retryAfter + event.Micros(random.Float64()*float64(res.retryAfter)/10)
		}
		select {
		case <-time.After(wait.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

type outcome int

const (
	succeeded outcome = iota
	rejected
	failed
	disconnected // the connection ended with no answer
	unreached    // nothing was sent
	abandoned
)

type result struct {
	outcome    outcome
	retryAfter event.Micros
}

// try sends one request, once more where a connection that was kept ended under it.
func (lb *LoadBalancer) sendRequest(op event.Op, try int, a arrivals.Arrival, abandonsAt event.Micros) result {
	m := lb.scenario.Methods[a.Method]
	request := &pending{id: lb.requestID(op, try), op: op, arrival: a, write: m.Write, answer: make(chan result, 1), deadline: m.Deadline.Micros()}
	if patience := lb.scenario.Clients.Patience; patience < 1 {
		request.givesUpAt = lb.log.Now() + event.Micros(patience*float64(m.Deadline))
	}
	if abandonsAt > 0 && (request.givesUpAt == 0 || abandonsAt < request.givesUpAt) {
		request.givesUpAt = abandonsAt
	}
	props := "c=" + m.Name
	if a.Tenant >= 0 {
		props += ",t=" + lb.scenario.Tenants[a.Tenant].Name
	}
	const millisecond = event.Micros(1e3)
	ms := request.deadline / millisecond
	request.deadlineSent = ms * millisecond
	props += fmt.Sprintf(",d=%d,size=%d", ms, a.Size)
	if try > 0 {
		props += ",r=1"
	}
	request.props = props
	for resends := 0; ; resends++ {
		transports := lb.transports(op)
		r, ok := lb.pickRouter(a.Site, transports, request.needsNewConn)
		if !ok {
			lb.log.Add(event.Event{Kind: event.Unreached, Req: request.id, Op: op, Router: event.Nobody})
			return result{outcome: unreached}
		}
		res, reused := transports[r].roundTrip(request)
		// Only what may run again is sent again without knowing what became of it.
		if res.outcome != disconnected || !reused || resends > 0 || m.Effect != "retryable" {
			return res
		}
		request.needsNewConn = true
	}
}

// Drain returns once all ops that have begun are over.
func (lb *LoadBalancer) WaitOps() { lb.ops.Wait() }
