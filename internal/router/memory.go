package router

import (
	"math/rand/v2"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/core/staleness"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/settings"
	"spurtrestle/internal/snapshot"
)

// memory is what the router has from an earlier process, and where it leaves what it knows.
type memory struct {
	learned *snapshot.State
	waiting map[discovery.UID]routing.ServerKnowledge // of servers that no list has named yet
	every   clock.Time
	keep    func(snapshot.State)
	rand    *rand.Rand
}

// Remember has the router begin with what an earlier process had learned (nil: nothing), and hand over what it knows
// itself about every so often. keep is called on the loop and must not wait. Call it before Run.
func (r *Router) ConfigureSnapshots(learned *snapshot.State, every clock.Time, keep func(snapshot.State)) {
	r.memory = &memory{learned: learned, every: every, keep: keep, waiting: map[discovery.UID]routing.ServerKnowledge{},
		rand: rand.New(rand.NewPCG(r.cfg.Seed, 1))}
}

// remind gives the decisions what was learned before, as far as it still counts.
func (r *Router) remind() {
	m := r.memory
	if m == nil {
		return
	}
	if m.keep != nil {
		r.later()
	}
	if m.learned == nil {
		return
	}
	s := *m.learned
	if err := sameService(s, r.cfg.Settings); err != nil {
		r.log.WithError(err).Warn("what was learned before is left alone; give each service a folder of its own")
		m.learned = nil
		return
	}
	k := s.Knowledge
	for _, method := range r.cfg.Settings.Methods { // by name: their order may have changed
		time := clock.Time(0)
		for _, x := range s.Methods {
			if x.Name == method.Name {
				time = x.Latency
			}
		}
		k.MethodLatencies = append(k.MethodLatencies, time)
	}
	for i, x := range s.Servers {
		x.Server = routing.ServerID(i) // only to find it again: numbers are given by the list
		k.Servers = append(k.Servers, x.ServerKnowledge)
	}
	k = staleness.Decay(k, r.now)
	for _, x := range k.Servers {
		m.waiting[discovery.UID(s.Servers[x.Server].UID)] = x
	}
	k.Servers = nil
	r.carryOut(r.core.Step(r.now, routing.KnowledgeRestored{Knowledge: k}))
	m.learned = nil
}

// sameService: what another service's router has learned, of methods that are not ours, is not ours.
func sameService(s snapshot.State, ours routing.Settings) error {
	var theirs []string
	for _, m := range s.Methods {
		theirs = append(theirs, m.Name)
	}
	return settings.CheckSameService(theirs, settings.MethodNames(ours))
}

// name gives the decisions what is known of servers that a list names, ahead of the list.
func (r *Router) name(l routing.EndpointsUpdated) {
	if r.memory == nil || len(r.memory.waiting) == 0 {
		return
	}
	var known []routing.ServerKnowledge
	for _, e := range l.Endpoints {
		uid := r.book.UID(e.Server)
		if x, ok := r.memory.waiting[uid]; ok {
			x.Server = e.Server
			known = append(known, x)
			delete(r.memory.waiting, uid)
		}
	}
	if len(known) > 0 {
		r.input(routing.ServersRestored{Servers: known})
	}
}

// later keeps what is known after a while; not all routers of a fleet at once.
func (r *Router) later() {
	m := r.memory
	r.after(clock.Time(float64(m.every)*(0.75+m.rand.Float64()/2)), func() {
		m.keep(r.State())
		r.later()
	})
}

// State is what the router knows, by names that outlive it. It belongs to the loop until Run is over.
func (r *Router) State() snapshot.State {
	k := r.core.Knowledge(r.clock())
	s := snapshot.State{Version: snapshot.Version, Router: r.cfg.Name, Knowledge: k}
	for i, t := range k.MethodLatencies {
		s.Methods = append(s.Methods, snapshot.Method{Name: r.cfg.Settings.Methods[i].Name, Latency: t})
	}
	s.Servers = make([]snapshot.Server, 0, len(k.Servers))
	for _, x := range k.Servers {
		if uid := r.book.UID(x.Server); uid != "" {
			s.Servers = append(s.Servers, snapshot.Server{UID: string(uid), ServerKnowledge: x})
		}
	}
	s.Knowledge.MethodLatencies, s.Knowledge.Servers = nil, nil
	return s
}
