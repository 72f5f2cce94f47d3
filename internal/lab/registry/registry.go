// Package registry is a stand-in for discovery: a list of servers with watches on its changes, told to each router by
// an agent of its own, late, silent or wrong as a scenario has it.
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

// Entry is one server as discovery has it.
type Entry struct {
	UID   event.Server
	Zone  string
	Kind  string
	Cell  int
	State string // active, leaving, left
	Boot  time.Time
	Addr  func(event.Router) string
}

type change struct {
	due   event.Micros
	entry Entry
}

// Registry is the one list, and the agents that tell of it.
type Registry struct {
	log *event.Log
	set scenario.Discovery

	mu      sync.Mutex
	changes []change
	silent  bool
	stuck   int // what is visible while silent
	late    event.Micros
	bad     bool
	cut     map[event.Router]bool // whose agents hear nothing
	step    time.Duration
	news    chan struct{} // closed at each change of anything
	told    []int         // by router: changes told so far
	due     []int         // by router: changes that have reached the agent
	agents  []*agent
	moved   []*agent // away from an address
}

type agent struct {
	r      *Registry
	router event.Router
	addr   string
	srv    *http.Server
	done   chan struct{}
}

// Start begins an agent for each router on its address.
func Start(seen *event.Log, set scenario.Discovery, addrs []string) (*Registry, error) {
	r := &Registry{log: seen, set: set, news: make(chan struct{}), told: make([]int, len(addrs)), due: make([]int, len(addrs))}
	for i, addr := range addrs {
		a, err := r.agent(event.Router(i), addr)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.agents = append(r.agents, a)
	}
	return r, nil
}

func (r *Registry) agent(router event.Router, addr string) (*agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	a := &agent{r: r, router: router, addr: addr, done: make(chan struct{})}
	a.srv = &http.Server{Handler: a, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		defer close(a.done)
		_ = a.srv.Serve(ln) // ends with Close
	}()
	return a, nil
}

// Close ends all agents.
func (r *Registry) Close() {
	for _, a := range append(r.agents, r.moved...) {
		a.srv.Close()
		<-a.done
	}
}

// Addr is where a router finds discovery.
func (r *Registry) Addr(router event.Router) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[router].addr
}

// Move gives a router's agent another address. The old one goes on for a while, with the connections that it has.
func (r *Registry) MoveAgent(router event.Router, addr string, lingers time.Duration) error {
	a, err := r.agent(router, addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	old := r.agents[router]
	r.agents[router] = a
	r.moved = append(r.moved, old)
	r.mu.Unlock()
	time.AfterFunc(lingers, func() { old.srv.Close() })
	return nil
}

func (r *Registry) stir() {
	close(r.news)
	r.news = make(chan struct{})
}

// Set notes a change; it is told after the delay. At once where the list is made.
func (r *Registry) Update(e Entry, atOnce bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.log.Now()
	if !atOnce {
		due += r.set.Delay.Micros() + r.late
	}
	if n := len(r.changes); n > 0 {
		due = max(due, r.changes[n-1].due)
	}
	r.changes = append(r.changes, change{due, e})
	r.stir()
}

// Known is the list as it was at first, in the form of a router's configuration.
func (r *Registry) FullList(router event.Router) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body(router, len(r.changes), 0, true)
}

// Strike begins a fault of the scenario, or takes it back.
func (r *Registry) ApplyFault(f scenario.Fault, end bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch f.Kind {
	case "discovery_silent":
		r.stuck = r.visible()
		r.silent = !end
	case "discovery_late":
		if r.late = f.Step.Micros(); end {
			r.late = 0
		}
	case "discovery_bad":
		r.bad = !end
	case "clock_step":
		if r.step = f.Step.Micros().Duration(); end {
			r.step = 0
		}
	}
	r.stir()
}

// Cut takes the way between the list and some routers' agents, and gives it back to the others.
func (r *Registry) Partition(from map[event.Router]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = from
	r.stir()
}

// visible is how many changes can be told now.
func (r *Registry) visible() int {
	if r.silent {
		return r.stuck
	}
	n, now := 0, r.log.Now()
	for n < len(r.changes) && r.changes[n].due <= now {
		n++
	}
	return n
}

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

// body is an answer: the whole list as of a change, or what came behind another.
func (r *Registry) body(router event.Router, upto, behind int, all bool) []byte {
	var order []event.Server
	last := map[event.Server]Entry{}
	if all {
		behind = 0
	}
	for _, c := range r.changes[behind:upto] {
		if _, known := last[c.entry.UID]; !known {
			order = append(order, c.entry.UID)
		}
		last[c.entry.UID] = c.entry
	}
	targets := []target{}
	for _, uid := range order {
		e := last[uid]
		if all && e.State == "left" {
			continue
		}
		t := target{UID: e.UID, Endpoint: e.Addr(router), Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Weight: 1}
		if !e.Boot.IsZero() {
			t.Boot = e.Boot.Add(r.step).UnixMilli()
		}
		targets = append(targets, t)
	}
	out, _ := json.Marshal(map[string]any{"rev": upto, "all": all, "targets": targets}) // of such types it never fails
	return out
}

const bad = `{"rev":"seven","all":maybe,"targets":[{"uid":`

// ServeHTTP answers a router's call.
func (a *agent) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	r := a.r
	index, watch := -1, q.URL.Query().Has("index")
	if watch {
		index, _ = strconv.Atoi(q.URL.Query().Get("index")) // what is no number asks for all
	}
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	end := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer end.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	over := !watch
	for {
		n := r.visible()
		if !r.silent && !r.cut[a.router] && (over || n > index) {
			break
		}
		next := time.Hour
		if !r.silent && !r.cut[a.router] && n < len(r.changes) {
			next = max(0, r.changes[n].due-r.log.Now()).Duration() + time.Microsecond
		}
		news, due := r.news, time.NewTimer(next)
		r.mu.Unlock()
		select {
		case <-news:
		case <-due.C:
		case <-end.C:
			over = true
		case <-q.Context().Done():
			due.Stop()
			r.mu.Lock()
			return
		}
		due.Stop()
		r.mu.Lock()
	}
	n := r.visible()
	w.Header().Set("Content-Type", "application/json")
	if r.bad {
		_, _ = w.Write([]byte(bad))
		return
	}
	all := !watch || r.set.FullLists || index < 0 || index > n
	out := r.body(a.router, n, max(0, min(index, n)), all)
	if _, err := w.Write(out); err == nil && q.Context().Err() == nil {
		r.tell(a.router, n)
	}
}

// tell notes what a router has been told of servers that want nothing new.
func (r *Registry) tell(router event.Router, upto int) {
	for ; r.told[router] < upto; r.told[router]++ {
		if e := r.changes[r.told[router]].entry; e.State != "active" {
			r.log.Add(event.Event{Kind: event.Told, Server: e.UID, Router: router})
		}
	}
}

// Tick notes what has reached the agents, whether or not a router asks for it.
func (r *Registry) RecordDeliveries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.visible()
	for router := range r.due {
		for ; !r.cut[event.Router(router)] && r.due[router] < n; r.due[router]++ {
			if e := r.changes[r.due[router]].entry; e.State != "active" {
				r.log.Add(event.Event{Kind: event.Due, Server: e.UID, Router: event.Router(router)})
			}
		}
	}
}

// Restarted records that a router was restarted, so that its next list is complete.
func (r *Registry) Restarted(router event.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[router], r.due[router] = 0, 0
}
