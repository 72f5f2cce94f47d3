// Package client simulates the clients of a lab run and the load balancer between them and the routers. Package fleet runs
// it. Operations start by schedule, independently of each other; each consists of a first request and its retries. Some
// clients misbehave on purpose.
//
// Each operation has its own goroutine, and each RESP2 connection one that reads. LoadBalancer.mu guards the state of the
// load balancer.
//
// Files: client.go has the load balancer and operations, conn.go RESP2 connections, grpc.go gRPC calls, and bad.go the
// misbehaving clients.
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

// LoadBalancer distributes requests over the routers of each site.
type LoadBalancer struct {
	log            *event.Log
	scenario       scenario.Scenario
	seed           uint64
	addrs          []string
	respPools      []transport // by router, over RESP2; empty if all clients use gRPC
	grpcTransports []transport // by router, over gRPC; empty if no client uses it

	mu         sync.Mutex
	alive      []bool // by router, as detected by the load balancer
	draining   []bool // shutting down: only open connections are still used
	nextRouter int

	wg        sync.WaitGroup // readers of connections
	ops       sync.WaitGroup
	completed atomic.Int64
}

// transport sends requests to one router over one protocol.
type transport interface {
	// roundTrip sends a request and waits for its result. If reused is true and the connection ended before the answer,
	// the request may be sent once more.
	roundTrip(*pending) (res result, reused bool)
	// isOpen reports whether a connection is open.
	isOpen() bool
	// close ends all connections.
	close()
}

// NewLoadBalancer returns a load balancer for the routers at these addresses. All routers count as dead until SetAlive.
// grpc holds their gRPC addresses; it is empty if no client uses gRPC.
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

// SiteOf returns the site of a router.
func SiteOf(s scenario.Scenario, r event.Router) event.Site { return event.Site(int(r) % len(s.Sites)) }

// SetAlive sets whether the load balancer considers a router alive, and ends its draining.
func (lb *LoadBalancer) SetAlive(r event.Router, alive bool) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.alive[r] = alive
	lb.draining[r] = false
}

// DrainRouter makes the load balancer open no more connections to a router. Connections that are open stay in use.
func (lb *LoadBalancer) DrainRouter(r event.Router) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.alive[r], lb.draining[r] = false, true
}

// mayOpen reports whether new connections to a router may be opened.
func (lb *LoadBalancer) mayOpen(r event.Router) bool {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return !lb.draining[r]
}

// transports returns the transports, by router, for the protocol of an operation's client.
func (lb *LoadBalancer) transports(op event.Op) []transport {
	if len(lb.respPools) == 0 || len(lb.grpcTransports) > 0 && op%2 == 1 {
		return lb.grpcTransports
	}
	return lb.respPools
}

// pickRouter returns the next usable router of a site in round robin order, or of any site if that site has none. A draining
// router is usable while a connection to it is open, unless a new connection is needed.
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

// CompletedOps returns the number of completed operations.
func (lb *LoadBalancer) CompletedOps() int { return int(lb.completed.Load()) }

// Run starts the operations of a schedule, which begins at the log's time from, and returns when all have started. Starts
// that are late by more than lateLimit are recorded as lateness of the lab.
func (lb *LoadBalancer) Run(ctx context.Context, schedule []arrivals.Arrival, from event.Micros, lateLimit time.Duration) {
	start := lb.log.Start().Add(from.Duration())
	pacer.Run(ctx, start, len(schedule), func(i int) time.Duration { return schedule[i].At.Duration() }, func(i int, lateness time.Duration) {
		if lateness > lateLimit {
			lb.log.Add(event.Event{Kind: event.LabDelayed, Router: event.NoRouter, Limit: event.Micros(lateness / time.Microsecond)})
		}
		lb.ops.Add(1)
		go func() {
			defer lb.ops.Done()
			defer lb.completed.Add(1)
			lb.runOp(ctx, event.Op(i), schedule[i], from)
		}()
	})
}

// Close ends all connections and returns when the goroutines that read them have ended.
func (lb *LoadBalancer) Close() {
	for _, p := range slices.Concat(lb.respPools, lb.grpcTransports) {
		p.close()
	}
	lb.wg.Wait()
}

// requestID returns an id that is unique per request and the same in every run with the same seed.
func (lb *LoadBalancer) requestID(op event.Op, try int) event.RequestID {
	return event.RequestID(fmt.Sprintf("%08x%06x%02x", crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d %d", lb.seed, op, try)), op, try))
}

// runOp sends requests until one succeeds, the retries are used up, or the operation must not be retried.
func (lb *LoadBalancer) runOp(ctx context.Context, op event.Op, a arrivals.Arrival, from event.Micros) {
	m := lb.scenario.Methods[a.Method]
	lb.log.AddAt(event.Event{At: from + a.At, Kind: event.OperationDue, Op: op, Method: a.Method, Tenant: a.Tenant, Site: a.Site,
		Router: event.NoRouter})
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

// outcome is the result of a request as its client sees it.
type outcome int

const (
	succeeded outcome = iota
	rejected
	failed
	disconnected // the connection ended without an answer
	unreached    // nothing was sent
	abandoned
)

// result is an outcome, with the retry hint of a rejection.
type result struct {
	outcome    outcome
	retryAfter event.Micros
}

// sendRequest sends one request. It sends it again, once, if a reused connection ended before the answer.
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
			lb.log.Add(event.Event{Kind: event.ConnectFailed, Request: request.id, Op: op, Router: event.NoRouter})
			return result{outcome: unreached}
		}
		res, reused := transports[r].roundTrip(request)
		// Only retryable requests may be sent again when it is unknown whether they ran.
		if res.outcome != disconnected || !reused || resends > 0 || m.Effect != "retryable" {
			return res
		}
		request.needsNewConn = true
	}
}

// WaitOps returns when all started operations have ended.
func (lb *LoadBalancer) WaitOps() { lb.ops.Wait() }
