// Package cacheserver simulates cache servers for lab runs: a Server speaks RESP2 as specified, executes its work on the
// model of package machine, stores keys, and injects faults on demand. Package fleet starts the servers. One Server stands
// for one process from its start to its end, and records every attempt of a router in the event log.
//
// Server.mu guards the state of a server. Each connection has a goroutine that reads and one that writes.
//
// Files: cacheserver.go has the server and its listeners, conn.go a connection, answer.go the replies, props.go the
// properties of an attempt, and trouble.go the faults.
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

// Config is shared by all servers of a run.
type Config struct {
	Log          *event.Log
	Settings     scenario.Servers
	Service      scenario.Service
	Methods      map[string]scenario.Method
	ReadThrough  bool
	OnMiss       func(req event.RequestID, s *Server, cold bool) // called for a miss in aside mode, so that the origin's answer can fill the server
	Deduplicator *Deduplicator
}

// Deduplicator remembers requests with deduplicated effects, shared by all servers of a group.
type Deduplicator struct {
	mu   sync.Mutex
	seen map[string]event.Micros
}

// IsRepeat reports whether a request ran in a group within the window. If it did not, it is remembered as run now.
func (r *Deduplicator) IsRepeat(group string, req event.RequestID, now, window event.Micros) bool {
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

// Server is one process of a cache server.
type Server struct {
	config *Config
	UID    event.Server
	Zone   string
	Cell   int
	Boot   time.Time // zero for a server that started long before the run
	addrs  []string  // by router

	mu              sync.Mutex
	machine         *machine.Machine
	store           *machine.LRU
	rand            *rand.Rand
	listeners       []net.Listener
	backlogFillers  []io.Closer
	partitioned     map[event.Router][]io.Closer // unreachable routers, with the resources that keep their addresses silent
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
	smoothedLatency event.Micros // moving average of the time from start to reply
	hitRate         float64      // moving average
	errorRate       float64
	wg              sync.WaitGroup
}

// Start starts a server that listens on one address for each router. A warm server performs as one that has been up for
// long. Call Kill and then Wait to end it.
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
	s.machine = machine.New(machine.Settings{Cores: f.Settings.Cores, QueueLimit: f.Settings.Queue, ColdCapacityShare: f.Settings.ColdShare,
		WarmupDuration: f.Settings.ColdSpan.Micros(), CollapseMultiple: f.Settings.CollapseMultiple, CollapseWindow: f.Settings.CollapseWindow.Micros()}, now, warm)
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	if err := s.listen(); err != nil {
		return nil, err
	}
	f.Log.Add(event.Event{Kind: event.ServerUp, Server: uid, Router: event.NoRouter, Limit: cold})
	return s, nil
}

// Addr returns the address at which a router reaches the server.
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
		s.config.Log.Add(event.Event{Kind: event.ConnectionAccepted, Server: s.UID, Router: r})
		s.wg.Add(2)
		go conn.read()
		go conn.write()
	}
}

// Fill stores a key, as after an answer of the origin to a miss.
func (s *Server) Fill(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.store.Put(key)
	}
}

// Invalidate removes a key, as after a write.
func (s *Server) Invalidate(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Remove(key)
}

// Drain marks the server as draining. It rejects new requests only after EndDrainGrace.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Kill ends the server at once: connections are reset and new ones are refused.
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
	s.config.Log.Add(event.Event{Kind: event.ServerDown, Server: s.UID, Router: event.NoRouter})
}

// Wait returns when all goroutines of the server have ended. Call it after Kill.
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

// onTimer completes the jobs that are due.
func (s *Server) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

// advance answers completed jobs and sets the timer for the next one. The caller holds s.mu.
func (s *Server) advance() {
	if s.down {
		return
	}
	now := s.config.Log.Now()
	for _, job := range s.machine.Completed(now) {
		cmd := s.jobs[job]
		delete(s.jobs, job)
		if cmd != nil {
			s.finish(cmd, now)
		}
	}
	if next, ok := s.machine.NextCompletion(); ok {
		s.timer.Reset(max(0, next-s.config.Log.Now()).Duration())
	}
}
