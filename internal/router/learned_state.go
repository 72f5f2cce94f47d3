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
type learnedState struct {
	restored        *snapshot.State
	unlistedServers map[discovery.UID]routing.ServerKnowledge // of servers that no list has named yet
	interval        clock.Time
	submit          func(snapshot.State)
	random          *rand.Rand
}

// Remember has the router begin with what an earlier process had learned (nil: nothing), and hand over what it knows
// itself about every so often. keep is called on the loop and must not wait. Call it before Run.
func (r *Router) ConfigureSnapshots(learned *snapshot.State, every clock.Time, keep func(snapshot.State)) {
	r.learned = &learnedState{restored: learned, interval: every, submit: keep, unlistedServers: map[discovery.UID]routing.ServerKnowledge{},
		random: rand.New(rand.NewPCG(r.cfg.Seed, 1))}
}

// remind gives the decisions what was learned before, as far as it still counts.
func (r *Router) restoreLearned() {
	learned := r.learned
	if learned == nil {
		return
	}
	if learned.submit != nil {
		r.scheduleSnapshot()
	}
	if learned.restored == nil {
		return
	}
	restored := *learned.restored
	if err := checkSameService(restored, r.cfg.Settings); err != nil {
		r.log.WithError(err).Warn("what was learned before is left alone; give each service a folder of its own")
		learned.restored = nil
		return
	}
	knowledge := restored.Knowledge
	for _, method := range r.cfg.Settings.Methods { // by name: their order may have changed
		time := clock.Time(0)
		for _, entry := range restored.Methods {
			if entry.Name == method.Name {
				time = entry.Latency
			}
		}
		knowledge.MethodLatencies = append(knowledge.MethodLatencies, time)
	}
	for i, entry := range restored.Servers {
		entry.Server = routing.ServerID(i) // only to find it again: numbers are given by the list
		knowledge.Servers = append(knowledge.Servers, entry.ServerKnowledge)
	}
	knowledge = staleness.Decay(knowledge, r.batchTime)
	for _, entry := range knowledge.Servers {
		learned.unlistedServers[discovery.UID(restored.Servers[entry.Server].UID)] = entry
	}
	knowledge.Servers = nil
	r.applyDecisions(r.core.Step(r.batchTime, routing.KnowledgeRestored{Knowledge: knowledge}))
	learned.restored = nil
}

// sameService: what another service's router has learned, of methods that are not ours, is not ours.
func checkSameService(s snapshot.State, ours routing.Settings) error {
	var theirs []string
	for _, m := range s.Methods {
		theirs = append(theirs, m.Name)
	}
	return settings.CheckSameService(theirs, settings.MethodNames(ours))
}

// name gives the decisions what is known of servers that a list names, ahead of the list.
func (r *Router) restoreListedServers(update routing.EndpointsUpdated) {
	if r.learned == nil || len(r.learned.unlistedServers) == 0 {
		return
	}
	var known []routing.ServerKnowledge
	for _, e := range update.Endpoints {
		uid := r.endpoints.UID(e.Server)
		if x, ok := r.learned.unlistedServers[uid]; ok {
			x.Server = e.Server
			known = append(known, x)
			delete(r.learned.unlistedServers, uid)
		}
	}
	if len(known) > 0 {
		r.addEvent(routing.ServersRestored{Servers: known})
	}
}

// later keeps what is known after a while; not all routers of a fleet at once.
func (r *Router) scheduleSnapshot() {
	learned := r.learned
	r.after(clock.Time(float64(learned.interval)*(0.75+learned.random.Float64()/2)), func() {
		learned.submit(r.State())
		r.scheduleSnapshot()
	})
}

// State is what the router knows, by names that outlive it. It belongs to the loop until Run is over.
func (r *Router) State() snapshot.State {
	knowledge := r.core.Knowledge(r.clock())
	state := snapshot.State{Version: snapshot.Version, Router: r.cfg.Name, Knowledge: knowledge}
	for i, latency := range knowledge.MethodLatencies {
		state.Methods = append(state.Methods, snapshot.Method{Name: r.cfg.Settings.Methods[i].Name, Latency: latency})
	}
	state.Servers = make([]snapshot.Server, 0, len(knowledge.Servers))
	for _, entry := range knowledge.Servers {
		if uid := r.endpoints.UID(entry.Server); uid != "" {
			state.Servers = append(state.Servers, snapshot.Server{UID: string(uid), ServerKnowledge: entry})
		}
	}
	state.Knowledge.MethodLatencies, state.Knowledge.Servers = nil, nil
	return state
}
