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

// learnedState holds what an earlier process has learned, and how this process saves what it learns.
type learnedState struct {
	restored        *snapshot.State
	unlistedServers map[discovery.UID]routing.ServerKnowledge // of servers that no endpoint list has contained yet
	interval        clock.Time
	submit          func(snapshot.State)
	random          *rand.Rand
}

// ConfigureSnapshots makes the router start with the learned state of an earlier process (nil: none), and pass its
// own to submit about once per interval. submit is called on the loop and must not block. Call it before Run.
func (r *Router) ConfigureSnapshots(learned *snapshot.State, interval clock.Time, submit func(snapshot.State)) {
	r.learned = &learnedState{restored: learned, interval: interval, submit: submit, unlistedServers: map[discovery.UID]routing.ServerKnowledge{},
		random: rand.New(rand.NewPCG(r.cfg.Seed, 1))}
}

// restoreLearned passes the learned state to package routing, as far as it is still valid.
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
		r.log.WithError(err).Warn("learned state ignored; give each service a folder of its own")
		learned.restored = nil
		return
	}
	knowledge := restored.Knowledge
	for _, method := range r.cfg.Settings.Methods { // matched by name, since their order may have changed
		latency := clock.Time(0)
		for _, entry := range restored.Methods {
			if entry.Name == method.Name {
				latency = entry.Latency
			}
		}
		knowledge.MethodLatencies = append(knowledge.MethodLatencies, latency)
	}
	for i, entry := range restored.Servers {
		entry.Server = routing.ServerID(i) // an index into restored.Servers; the endpoint list assigns the ids
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

// checkSameService returns an error if the state was learned by a router of another service, with other methods.
func checkSameService(s snapshot.State, own routing.Settings) error {
	var learned []string
	for _, m := range s.Methods {
		learned = append(learned, m.Name)
	}
	return settings.CheckSameService(learned, settings.MethodNames(own))
}

// restoreListedServers passes what is known of the servers in an update to package routing, ahead of the update.
func (r *Router) restoreListedServers(update routing.EndpointsUpdated) {
	if r.learned == nil || len(r.learned.unlistedServers) == 0 {
		return
	}
	var known []routing.ServerKnowledge
	for _, endpoint := range update.Endpoints {
		uid := r.endpoints.UID(endpoint.Server)
		if knowledge, ok := r.learned.unlistedServers[uid]; ok {
			knowledge.Server = endpoint.Server
			known = append(known, knowledge)
			delete(r.learned.unlistedServers, uid)
		}
	}
	if len(known) > 0 {
		r.addEvent(routing.ServersRestored{Servers: known})
	}
}

// scheduleSnapshot submits a snapshot after 0.75 to 1.25 intervals, chosen at random, so that the routers of a
// fleet do not do so at the same time.
func (r *Router) scheduleSnapshot() {
	learned := r.learned
	r.after(clock.Time(float64(learned.interval)*(0.75+learned.random.Float64()/2)), func() {
		learned.submit(r.State())
		r.scheduleSnapshot()
	})
}

// State returns the router's learned state, with names that stay valid across restarts. It must be called on the
// loop until Run has returned.
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
