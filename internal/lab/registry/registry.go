// Package registry simulates service discovery for lab runs: a list of servers with watches on its changes, which an HTTP
// agent per router serves late, not at all or malformed, as the faults require. Package fleet and package rig run it.
// Registry.mu guards all of its state; each agent has a goroutine for its HTTP server.
package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// Entry is the state of one server in the list.
type Entry struct {
	UID   event.Server
	Zone  string
	Kind  string
	Cell  int
	State string // active, leaving, left
	Boot  time.Time
	Addr  func(event.Router) string
}

// change is one revision of the list.
type change struct {
	due   event.Micros
	entry Entry
}

// Registry holds the list and the agents that serve it.
type Registry struct {
	log      *event.Log
	settings scenario.Discovery

	mu                 sync.Mutex
	changes            []change
	silent             bool
	visibleWhileSilent int // number of visible changes while silent
	extraDelay         event.Micros
	malformed          bool
	partitioned        map[event.Router]bool // routers whose agents do not receive changes
	clockStep          time.Duration
	changed            chan struct{} // closed and replaced when the state changes
	delivered          []int         // by router: number of changes that it has received
	reached            []int         // by router: number of changes that have reached its agent
	agents             []*agent
	retired            []*agent // agents at former addresses
}

// agent serves discovery to one router.
type agent struct {
	registry *Registry
	router   event.Router
	addr     string
	srv      *http.Server
	done     chan struct{}
}

// Start starts an agent for each router on its address. Deliveries are recorded in seen. Call Close to end the agents.
func Start(seen *event.Log, set scenario.Discovery, addrs []string) (*Registry, error) {
	r := &Registry{log: seen, settings: set, changed: make(chan struct{}), delivered: make([]int, len(addrs)), reached: make([]int, len(addrs))}
	for i, addr := range addrs {
		a, err := r.startAgent(event.Router(i), addr)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.agents = append(r.agents, a)
	}
	return r, nil
}

func (r *Registry) startAgent(router event.Router, addr string) (*agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	a := &agent{registry: r, router: router, addr: addr, done: make(chan struct{})}
	a.srv = &http.Server{Handler: a, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		defer close(a.done)
		_ = a.srv.Serve(ln) // ends with Close
	}()
	return a, nil
}

// Close ends all agents, including those at former addresses.
func (r *Registry) Close() {
	for _, a := range append(r.agents, r.retired...) {
		a.srv.Close()
		<-a.done
	}
}

// Addr returns the current address of a router's agent.
func (r *Registry) Addr(router event.Router) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[router].addr
}

// MoveAgent starts an agent for the router at another address. The old agent keeps serving for the duration lingers.
func (r *Registry) MoveAgent(router event.Router, addr string, lingers time.Duration) error {
	a, err := r.startAgent(router, addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	old := r.agents[router]
	r.agents[router] = a
	r.retired = append(r.retired, old)
	r.mu.Unlock()
	time.AfterFunc(lingers, func() { old.srv.Close() })
	return nil
}

// notify wakes all waiting calls. The caller holds r.mu.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Update adds a change, which becomes visible after the delay, or immediately if atOnce is set. Changes become visible in
// the order of their updates.
func (r *Registry) Update(e Entry, atOnce bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.log.Now()
	if !atOnce {
		due += r.settings.Delay.Micros() + r.extraDelay
	}
	if n := len(r.changes); n > 0 {
		due = max(due, r.changes[n-1].due)
	}
	r.changes = append(r.changes, change{due, e})
	r.notify()
}

// FullList returns the list with all changes, whether visible or not, as a router's configuration contains it.
func (r *Registry) FullList(router event.Router) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encodeList(router, len(r.changes), 0, true)
}

// ApplyFault begins a fault of the scenario, or ends it.
func (r *Registry) ApplyFault(f scenario.Fault, end bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch f.Kind {
	case "discovery_silent":
		r.visibleWhileSilent = r.visible()
		r.silent = !end
	case "discovery_late":
		if r.extraDelay = f.Step.Micros(); end {
			r.extraDelay = 0
		}
	case "discovery_bad":
		r.malformed = !end
	case "clock_step":
		if r.clockStep = f.Step.Micros().Duration(); end {
			r.clockStep = 0
		}
	}
	r.notify()
}

// Partition stops changes from reaching the agents of the given routers, and lets them reach all others.
func (r *Registry) Partition(from map[event.Router]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = from
	r.notify()
}

// visible returns the number of changes that agents can serve now. The caller holds r.mu.
func (r *Registry) visible() int {
	if r.silent {
		return r.visibleWhileSilent
	}
	n, now := 0, r.log.Now()
	for n < len(r.changes) && r.changes[n].due <= now {
		n++
	}
	return n
}

// target is the wire form of an Entry.
type target struct {
	UID      event.Server `json:"uid"`
	Endpoint string       `json:"endpoint"`
	Zone     string       `json:"az"`
	Kind     string       `json:"model"`
	Cell     int          `json:"pod_group"`
	State    string       `json:"state"`
	Weight   float64      `json:"capacity_hint"`
	Boot     int64        `json:"boot_ms"`
}

// encodeList encodes the list as of revision until: complete, or only the changes since revision from.
func (r *Registry) encodeList(router event.Router, until, from int, complete bool) []byte {
	var order []event.Server
	last := map[event.Server]Entry{}
	if complete {
		from = 0
	}
	for _, c := range r.changes[from:until] {
		if _, known := last[c.entry.UID]; !known {
			order = append(order, c.entry.UID)
		}
		last[c.entry.UID] = c.entry
	}
	targets := []target{}
	for _, uid := range order {
		e := last[uid]
		if complete && e.State == "left" {
			continue
		}
		t := target{UID: e.UID, Endpoint: e.Addr(router), Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Weight: 1}
		if !e.Boot.IsZero() {
			t.Boot = e.Boot.Add(r.clockStep).UnixMilli()
		}
		targets = append(targets, t)
	}
	out, _ := json.Marshal(map[string]any{"rev": until, "all": complete, "targets": targets}) // these types always encode
	return out
}

const malformedBody = `{"rev":"seven","all":maybe,"targets":[{"uid":`

// ServeHTTP answers a router's request for the list, or its watch.
func (a *agent) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/registry/instances" {
		http.NotFound(w, request)
		return
	}
	r := a.registry
	index, watch := -1, request.URL.Query().Has("index")
	if watch {
		index, _ = strconv.Atoi(request.URL.Query().Get("index")) // 0 if it is not a number
	}
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	end := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer end.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := !watch
	for {
		n := r.visible()
		if !r.silent && !r.partitioned[a.router] && (expired || n > index) {
			break
		}
		next := time.Hour
		if !r.silent && !r.partitioned[a.router] && n < len(r.changes) {
			next = max(0, r.changes[n].due-r.log.Now()).Duration() + time.Microsecond
		}
		changed, due := r.changed, time.NewTimer(next)
		r.mu.Unlock()
		select {
		case <-changed:
		case <-due.C:
		case <-end.C:
			expired = true
		case <-request.Context().Done():
			due.Stop()
			r.mu.Lock()
			return
		}
		due.Stop()
		r.mu.Lock()
	}
	n := r.visible()
	w.Header().Set("Content-Type", "application/json")
	if r.malformed {
		_, _ = w.Write([]byte(malformedBody))
		return
	}
	complete := !watch || r.settings.FullLists || index < 0 || index > n
	out := r.encodeList(a.router, n, max(0, min(index, n)), complete)
	if _, err := w.Write(out); err == nil && request.Context().Err() == nil {
		r.recordDelivered(a.router, n)
	}
}

// recordDelivered records that a router was told about servers that must not get new requests. The caller holds r.mu.
func (r *Registry) recordDelivered(router event.Router, until int) {
	for ; r.delivered[router] < until; r.delivered[router]++ {
		if e := r.changes[r.delivered[router]].entry; e.State != "active" {
			r.log.Add(event.Event{Kind: event.RemovalDelivered, Server: e.UID, Router: router})
		}
	}
}

// RecordDeliveries records the changes that have reached the agents, whether or not a router has requested them. It is
// called periodically.
func (r *Registry) RecordDeliveries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.visible()
	for router := range r.reached {
		for ; !r.partitioned[event.Router(router)] && r.reached[router] < n; r.reached[router]++ {
			if e := r.changes[r.reached[router]].entry; e.State != "active" {
				r.log.Add(event.Event{Kind: event.RemovalAnnounced, Server: e.UID, Router: event.Router(router)})
			}
		}
	}
}

// Restarted records that a router was restarted and has received no changes yet.
func (r *Registry) Restarted(router event.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivered[router], r.reached[router] = 0, 0
}
