// Package fleet runs a scenario: it starts simulated servers, discovery and clients and the routers under test on loopback
// addresses, sends requests by schedule, applies faults on their timeline, and passes the recorded events to the referee.
// The lab commands of cache-routerctl and the tests of the lab call it.
//
// The goroutine that calls Run owns a run; faults, clients and observers run on goroutines of their own, and run.mu guards
// the state that they share.
//
// Files: fleet.go has a run from start to end, routers.go the processes under test, acts.go the faults, signals.go signals
// and replacements, operators.go and operatorstate.go the calls of operators and their effects, policy.go changes of the
// policy, settings.go the configuration of routers, and addresses.go the addresses.
package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/client"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/faults"
	"spurtrestle/internal/lab/links"
	"spurtrestle/internal/lab/origin"
	"spurtrestle/internal/lab/referee"
	"spurtrestle/internal/lab/registry"
	"spurtrestle/internal/lab/scenario"
)

// Options are the parameters of a run beside its scenario.
type Options struct {
	Seed     uint64
	Start    Starter            // starts a router
	Dir      string             // existing directory for configurations and logs
	Arrivals []arrivals.Arrival // recorded schedule; nil: generated from the scenario
	Progress func(Progress)     // called about once per second; may be nil
	Log      *logrus.Logger     // may be nil
	// Await blocks a run at a moment until it may continue; nil: it continues by its clock.
	Await func(context.Context, Moment)
}

// Moment is a point of a run at which it can wait for its routers.
type Moment int

const (
	// SiteReturns is reached before a lost site returns.
	SiteReturns Moment = iota
	// RunEnds is reached when all requests and faults have ended.
	RunEnds
)

func (o Options) await(ctx context.Context, moment Moment) {
	if o.Await != nil {
		o.Await(ctx, moment)
	}
}

// Progress reports how far a run has come.
type Progress struct {
	At, Length time.Duration
	Done, All  int // operations
	Note       string
}

// Result is the record of a completed run.
type Result struct {
	Scenario     scenario.Scenario
	Seed         uint64
	ClientsStart event.Micros // start of the schedule
	Arrivals     []arrivals.Arrival
	Events       []event.Event
	Violations   []referee.Violation
}

// run is the state of a running scenario.
type run struct {
	scenario  scenario.Scenario
	options   Options
	log       *event.Log
	addresses *addresses
	servers   *cacheserver.Config
	origin    *origin.Origin
	registry  *registry.Registry
	balancer  *client.LoadBalancer
	links     *links.Network // nil if the routers form no fleet
	routers   []*router

	mu               sync.Mutex
	current          []*cacheServer // by slot
	started          []*cacheServer
	places           map[event.Server]referee.Location
	partitionedSites map[string]bool // currently partitioned sites
	missedBy         map[event.RequestID][]*cacheserver.Server
	coldMisses       map[event.RequestID]bool
	err              error
	policyRevision   int // current revision
	misbehaving      sync.WaitGroup
	actions          sync.WaitGroup
}

// Run runs a scenario and returns its record. Nothing that it started is left running, even if it fails or ctx ends.
func Run(ctx context.Context, s scenario.Scenario, o Options) (Result, error) {
	if o.Log == nil {
		o.Log = logrus.New()
		o.Log.SetLevel(logrus.PanicLevel)
	}
	r := &run{scenario: s, options: o, log: event.NewLog(), places: map[event.Server]referee.Location{}, partitionedSites: map[string]bool{},
		missedBy: map[event.RequestID][]*cacheserver.Server{}, coldMisses: map[event.RequestID]bool{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	schedule := o.Arrivals
	if schedule == nil {
		schedule = arrivals.Generate(s, o.Seed)
	}
	var observers sync.WaitGroup
	observing, stopObserving := context.WithCancel(ctx)
	observers.Go(func() { r.watchLateness(observing) })
	observers.Go(func() { r.sample(observing) })
	from := r.log.Now() + 200e3
	observers.Go(func() { r.reportProgress(observing, from, len(schedule)) })
	r.actions.Go(func() { r.runFaults(ctx, from) })
	r.balancer.Run(ctx, schedule, from, latenessThreshold)
	r.balancer.WaitOps()
	r.actions.Wait()
	r.misbehaving.Wait()
	o.await(ctx, RunEnds)
	r.checkOperatorStates(ctx)
	if !r.scenario.Clients.KeepUsing {
		r.balancer.Close()
	}
	r.endRouters()
	r.balancer.Close()
	stopObserving()
	observers.Wait()
	if err := ctx.Err(); err != nil {
		return Result{}, fmt.Errorf("run was stopped before its end: %w", err)
	}
	if err := r.err; err != nil {
		return Result{}, err
	}
	events := r.log.Events()
	return Result{Scenario: s, Seed: o.Seed, ClientsStart: from, Arrivals: schedule, Events: events,
		Violations: referee.Check(rules(s, r.places), events)}, nil
}

// latenessThreshold is the lateness above which the start of an operation is recorded. A few milliseconds are normal on a
// busy machine.
const latenessThreshold = 20 * time.Millisecond

// start starts all parts of the run and waits until the routers are ready.
func (r *run) start(ctx context.Context) (err error) {
	if r.addresses, err = newAddresses(r.scenario.Routers.Count); err != nil {
		return err
	}
	if r.scenario.Routers.Fleet {
		if err = r.startLinks(); err != nil {
			return err
		}
	}
	methods := map[string]scenario.Method{}
	for _, m := range r.scenario.Methods {
		methods[m.Name] = m
	}
	repeats := &cacheserver.Deduplicator{}
	r.servers = &cacheserver.Config{Log: r.log, Settings: r.scenario.Servers, Service: r.scenario.Service, Methods: methods,
		ReadThrough: r.scenario.Service.Mode == "through", OnMiss: r.recordMiss, Deduplicator: repeats}
	if r.registry, err = registry.Start(r.log, r.scenario.Discovery, r.addresses.discovery(0)); err != nil {
		return err
	}
	if r.scenario.Service.Mode == "aside" {
		r.origin, err = origin.Start(&origin.Config{Log: r.log, Settings: r.scenario.Origin, Methods: methods, OnRead: r.fill, OnWrite: r.drop,
			IsColdMiss: r.isColdMiss, Deduplicator: repeats}, r.addresses.origin(), r.options.Seed)
		if err != nil {
			return err
		}
		r.registry.Update(registry.Entry{UID: origin.UID, Zone: r.scenario.Sites[0], Kind: "origin", State: "active", Addr: r.origin.Addr}, true)
	}
	r.current = make([]*cacheServer, r.scenario.Servers.Count)
	for slot := range r.current {
		if err := r.startServer(slot, true, false); err != nil {
			return err
		}
	}
	r.fillServers()
	return r.startRouters(ctx)
}

// startLinks starts the links between the routers.
func (r *run) startLinks() (err error) {
	var at, front []netip.AddrPort
	for i := range r.scenario.Routers.Count {
		at = append(at, netip.MustParseAddrPort(r.addresses.gossipListeners()[i]))
		front = append(front, netip.MustParseAddrPort(r.addresses.gossipAdvertised()[i]))
	}
	r.links, err = links.New(at, front, r.options.Seed, 2)
	return err
}

// startRouters starts the load balancer and the routers, and waits until they have their policy and are ready.
func (r *run) startRouters(ctx context.Context) error {
	var grpcAddrs []string
	if r.scenario.Clients.UsesGRPC() {
		grpcAddrs = r.addresses.grpc()
	}
	r.balancer = client.NewLoadBalancer(r.log, r.scenario, r.options.Seed, r.addresses.routers(), grpcAddrs)
	for i := range r.scenario.Routers.Count {
		p := &router{run: r, index: event.Router(i)}
		r.routers = append(r.routers, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := r.bootstrapPolicy(ctx); err != nil {
		return err
	}
	for _, p := range r.routers {
		if err := p.waitUntilReady(ctx, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// cacheServer is one process in a slot of the simulated cache servers.
type cacheServer struct {
	slot, generation int
	moves            int
	process          *cacheserver.Server
	entry            registry.Entry
	removed          bool // announced to discovery as left
}

// startServer starts the first server of a slot, or the successor of the current one.
func (r *run) startServer(place int, warm, moved bool) error {
	r.mu.Lock()
	old := r.current[place]
	server := &cacheServer{slot: place}
	if old != nil {
		server.generation, server.moves = old.generation+1, old.moves
	}
	if moved {
		server.moves++
	}
	zone := r.scenario.SiteOf(place)
	cell := place / 4
	uid := event.Server(fmt.Sprintf("s%d.%d", place, server.generation))
	r.places[uid] = referee.Location{Zone: zone, Cell: fmt.Sprint(cell)}
	r.mu.Unlock()
	process, err := cacheserver.Start(r.servers, uid, zone, cell, r.addresses.server(place, server.moves), warm,
		r.options.Seed+uint64(place)<<16+uint64(server.generation))
	if err != nil {
		return err
	}
	if err := process.Partition(r.unreachableFrom(zone)); err != nil {
		process.Kill()
		return err
	}
	server.process = process
	server.entry = registry.Entry{UID: uid, Zone: zone, Kind: "cache", Cell: cell, State: "active", Boot: process.Boot, Addr: process.Addr}
	r.mu.Lock()
	r.current[place] = server
	r.started = append(r.started, server)
	r.mu.Unlock()
	r.registry.Update(server.entry, old == nil)
	return nil
}

// announce tells discovery the state of a server. A server that was announced as left is not announced again.
func (r *run) announce(l *cacheServer, state string) {
	r.mu.Lock()
	if l.removed {
		r.mu.Unlock()
		return
	}
	l.removed = state == "left"
	e := l.entry
	r.mu.Unlock()
	e.State = state
	r.registry.Update(e, false)
}

// recordMiss records a server that missed a request, so that the origin's answer can fill it.
func (r *run) recordMiss(req event.RequestID, s *cacheserver.Server, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missedBy[req] = append(r.missedBy[req], s)
	r.coldMisses[req] = cold
}

func (r *run) isColdMiss(req event.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldMisses[req]
}

func (r *run) fill(req event.RequestID, key string) {
	r.mu.Lock()
	servers := r.missedBy[req]
	delete(r.missedBy, req)
	r.mu.Unlock()
	for _, s := range servers {
		s.Fill(key)
	}
}

func (r *run) drop(key string) {
	r.mu.Lock()
	servers := append([]*cacheServer(nil), r.current...)
	r.mu.Unlock()
	for _, l := range servers {
		l.process.Invalidate(key)
	}
}

// fillServers fills all servers with the most popular keys, as if they had run for long. Every server gets all of them,
// because the routers decide which server handles a key.
func (r *run) fillServers() {
	warm := r.scenario
	warm.Faults, warm.Load.Steps = nil, nil
	n := min(r.scenario.Servers.Keys, int(r.scenario.Servers.FilledShare*float64(r.scenario.Load.Keys)))
	for _, key := range arrivals.HottestKeys(warm, r.options.Seed, n) {
		for _, l := range r.current {
			l.process.Fill(key)
		}
	}
}

// watchLateness records when the lab itself is delayed, since the referee extends time limits by that, and records what has
// reached the discovery agents.
func (r *run) watchLateness(ctx context.Context) {
	const every, note = 10 * time.Millisecond, 25 * time.Millisecond
	last := time.Now()
	for t := time.NewTicker(every); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if late := time.Since(last) - every; late > note {
			r.log.Add(event.Event{Kind: event.LabDelayed, Router: event.NoRouter, Limit: event.Micros(late / time.Microsecond), Note: "heartbeat"})
		}
		last = time.Now()
		r.registry.RecordDeliveries()
	}
}

func (r *run) sample(ctx context.Context) {
	for t := time.NewTicker(time.Second); ; {
		for _, p := range r.routers {
			p.sample()
		}
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func (r *run) reportProgress(ctx context.Context, from event.Micros, all int) {
	if r.options.Progress == nil {
		return
	}
	for t := time.NewTicker(time.Second); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			r.options.Progress(Progress{At: (r.log.Now() - from).Duration(), Length: r.scenario.Length.Micros().Duration(), Done: r.balancer.CompletedOps(), All: all})
		}
	}
}

// close ends everything that the run has started.
func (r *run) close() {
	for _, p := range r.routers {
		p.kill()
	}
	if r.balancer != nil {
		r.balancer.Close()
	}
	for _, l := range r.started {
		l.process.Kill()
	}
	for _, l := range r.started {
		l.process.Wait()
	}
	if r.origin != nil {
		r.origin.Close()
	}
	if r.registry != nil {
		r.registry.Close()
	}
	if r.links != nil {
		r.links.Close()
	}
	if r.addresses != nil {
		r.addresses.close()
	}
}

// endRouters shuts all routers down in parallel, so that their shutdown is checked as well.
func (r *run) endRouters() {
	var wg sync.WaitGroup
	for _, p := range r.routers {
		wg.Go(func() { p.stop(false, nil) })
	}
	wg.Wait()
}

// Timeline returns the timeline of a scenario's faults, for display.
func Timeline(s scenario.Scenario, seed uint64) []faults.Action { return faults.Timeline(s, seed) }
