// Package cacheserver is a stand-in for a cache server: it speaks RESP2 as the published protocol has it, works on a
// machine of package machine, stores keys, and fails on demand. One Server is one life of one process. All that it sees
// of routers goes into the run's record.
//
// The files: this one a life and its listeners; conn.go a connection; answer.go what is answered; trouble.go what can be
// done to it.
package cacheserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/machine"
	"spurtrestle/internal/lab/process"
	"spurtrestle/internal/lab/scenario"
)

// Fleet is what all servers of a run share.
type Config struct {
	Log          *event.Log
	Settings     scenario.Servers
	Service      scenario.Service
	Methods      map[string]scenario.Method
	ReadThrough  bool
	OnMiss       func(req event.Req, s *Server, cold bool) // aside: the origin's answer is to fill it
	Deduplicator *Deduplicator
}

// Repeats remembers deduplicated requests, as all servers of a group do together.
type Deduplicator struct {
	mu   sync.Mutex
	seen map[string]event.Micros
}

// Known tells whether a request ran in a group within a window, and remembers it otherwise.
func (r *Deduplicator) IsRepeat(group string, req event.Req, now, window event.Micros) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = map[string]event.Micros{}
	}
	k := group + " " + string(req)
	if at, ok := r.seen[k]; ok && now-at <= window {
		return true
	}
	r.seen[k] = now
	return false
}

// Server is one life.
type Server struct {
	config *Config
	UID    event.Server
	Zone   string
	Cell   int
	Boot   time.Time // zero: up for long
	addrs  []string  // one for each router, in their order

	mu              sync.Mutex
	machine         *machine.Machine
	store           *machine.LRU
	rand            *rand.Rand
	listeners       []net.Listener
	backlogFillers  []io.Closer
	partitioned     map[event.Router][]io.Closer // routers that cannot reach it, and what keeps their addresses silent
	conns           map[*conn]struct{}
	timer           *time.Timer
	lastJobID       uint64
	jobs            map[*machine.Job]*command
	down            bool
	draining        bool
	unreachable     bool
	faults          faultState
	report          []byte
	reportedAt      event.Micros
	smoothedLatency event.Micros // smoothed time of work
	hitRate         float64      // share of late
	errorRate       float64
	wg              sync.WaitGroup
}

// Start begins a life on its addresses. A warm one has been up for long and holds its keys already.
func Start(f *Config, uid event.Server, zone string, cell int, addrs []string, warm bool, seed uint64) (*Server, error) {
	s := &Server{config: f, UID: uid, Zone: zone, Cell: cell, addrs: addrs, store: machine.NewLRU(f.Settings.Keys),
		rand: rand.New(rand.NewPCG(seed, 7)), conns: map[*conn]struct{}{}, jobs: map[*machine.Job]*command{},
		partitioned: map[event.Router][]io.Closer{}}
	now := f.Log.Now()
	cold := event.Micros(0)
	if !warm {
		s.Boot = time.Now()
		cold = f.Settings.ColdSpan.Micros()
	}
	s.machine = machine.New(machine.Settings{Cores: f.Settings.Cores, Queue: f.Settings.Queue, ColdShare: f.Settings.ColdShare,
		ColdSpan: f.Settings.ColdSpan.Micros(), FallMultiple: f.Settings.CollapseMultiple, FallSpan: f.Settings.CollapseWindow.Micros()}, now, warm)
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	if err := s.listen(); err != nil {
		return nil, err
	}
	f.Log.Add(event.Event{Kind: event.Came, Server: uid, Router: event.Nobody, Limit: cold})
	return s, nil
}

// Addr is where a router reaches it.
func (s *Server) Addr(r event.Router) string { return s.addrs[r] }

func (s *Server) listen() error {
	s.listeners = make([]net.Listener, len(s.addrs))
	for i := range s.addrs {
		if err := s.listenFor(event.Router(i)); err != nil {
			for _, ln := range s.listeners[:i] {
				ln.Close()
			}
			s.listeners = nil
			return err
		}
	}
	for r := range s.partitioned {
		if err := s.blackholeRouter(r); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) listenFor(r event.Router) error {
	ln, err := process.Listen(s.addrs[r])
	if err != nil {
		return fmt.Errorf("cache server %s: %w", s.UID, err)
	}
	s.listeners[r] = ln
	s.wg.Add(1)
	go s.accept(ln, r)
	return nil
}

func (s *Server) accept(ln net.Listener, r event.Router) {
	defer s.wg.Done()
	for {
		netConn, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if _, partitioned := s.partitioned[r]; partitioned || s.down || s.unreachable {
			s.mu.Unlock()
			netConn.Close()
			continue
		}
		conn := newConn(s, netConn, r, len(s.conns) >= s.config.Settings.Connections)
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.config.Log.Add(event.Event{Kind: event.Conn, Server: s.UID, Router: r})
		s.wg.Add(2)
		go conn.read()
		go conn.write()
	}
}

// Fill stores a key, as the origin's answer does for a server that missed it.
func (s *Server) Fill(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.store.Put(key)
	}
}

// Drop takes a key out, as a write does.
func (s *Server) Invalidate(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Drop(key)
}

// Drain has the server finish its requests, and reject what arrives after the grace.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Kill ends the process at once: its connections are reset, its address refuses new ones.
func (s *Server) Kill() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.closeListeners()
	for c := range s.conns {
		c.reset()
	}
	s.timer.Stop()
	s.mu.Unlock()
	s.config.Log.Add(event.Event{Kind: event.Went, Server: s.UID, Router: event.Nobody})
}

// Wait returns once nothing of it runs any more; call it after Kill.
func (s *Server) Wait() { s.wg.Wait() }

func (s *Server) closeListeners() {
	for _, ln := range s.listeners {
		ln.Close()
	}
	s.listeners = nil
	for _, c := range s.backlogFillers {
		c.Close()
	}
	s.backlogFillers = nil
	for r, fillers := range s.partitioned {
		for _, c := range fillers {
			c.Close()
		}
		s.partitioned[r] = nil
	}
}

// ring ends the jobs that are due.
func (s *Server) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

// turn answers what is done and sets the alarm for what comes next.
func (s *Server) advance() {
	if s.down {
		return
	}
	now := s.config.Log.Now()
	for _, job := range s.machine.Ended(now) {
		cmd := s.jobs[job]
		delete(s.jobs, job)
		if cmd != nil {
			s.finish(cmd, now)
		}
	}
	if next, ok := s.machine.Next(); ok {
		s.timer.Reset(max(0, next-s.config.Log.Now()).Duration())
	}
}
