package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/faults"
	"spurtrestle/internal/lab/links"
	"spurtrestle/internal/lab/scenario"
)

// runFaults applies each act of the timeline at its time.
func (r *run) runFaults(ctx context.Context, from event.Micros) {
	affected := map[[2]int]*cacheServer{} // by fault and slot: the affected server, so that the end of the fault affects the same process
	for _, a := range faults.Timeline(r.scenario, r.options.Seed) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(0, from+a.At-r.log.Now()).Duration()):
		}
		f := r.scenario.Faults[a.Fault]
		if a.End && f.Kind == "site_lost" {
			r.options.await(ctx, SiteReturns)
		}
		end := event.Micros(0)
		if a.End {
			end = 1
		}
		if a.Stage != 1 {
			r.log.Add(event.Event{Kind: event.Fault, Router: event.NoRouter, Note: f.Kind, Limit: end})
		}
		r.options.Log.WithField("at", a.At.Duration()).Debugf("%s (%v)", f.Kind, a)
		if err := r.applyFault(ctx, f, a, affected); err != nil {
			r.mu.Lock()
			r.err = err
			r.mu.Unlock()
			return
		}
	}
}

func (r *run) applyFault(ctx context.Context, f scenario.Fault, a faults.Action, affected map[[2]int]*cacheServer) error {
	switch scenario.FaultKinds[f.Kind].Target() {
	case "servers":
		return r.applyServerFault(ctx, f, a, affected)
	case "routers":
		r.applyRouterFault(ctx, f, a)
	case "policy":
		r.actions.Go(func() { r.changePolicy(ctx, f) })
	case "links":
		r.applyLinkFault(f, a.End)
	case "sites":
		if f.Kind == "site_lost" {
			return r.loseSite(ctx, f, a, affected)
		}
		return r.partitionSite(f.Site, !a.End)
	case "origin":
		if r.origin != nil {
			r.origin.ApplyFault(f, a.End)
		}
	case "discovery":
		if f.Kind == "discovery_move" {
			return r.moveDiscovery()
		}
		r.registry.ApplyFault(f, a.End)
	case "clients":
		switch f.Kind {
		case "rubbish", "flood", "mute", "crowd":
			if !a.End {
				within, cancel := context.WithTimeout(ctx, f.Duration.Micros().Duration()+4*time.Second)
				r.misbehaving.Go(func() {
					defer cancel()
					r.balancer.RunMisbehaving(within, f)
				})
			}
		}
	}
	return nil
}

func (r *run) applyServerFault(ctx context.Context, f scenario.Fault, a faults.Action, affected map[[2]int]*cacheServer) error {
	target := [2]int{a.Fault, a.Target}
	r.mu.Lock()
	current := r.current[a.Target]
	r.mu.Unlock()
	if !a.End && a.Stage == 0 {
		affected[target] = current
	}
	affectedServer := affected[target]
	switch f.Kind {
	case "ban":
		r.setBanned(ctx, affectedServer.entry.UID, !a.End)
		return nil
	case "kill":
		if a.End {
			r.announce(affectedServer, "left")
			return r.startSuccessor(current, affectedServer, f.NewAddress)
		}
		current.process.Kill()
		time.AfterFunc(r.scenario.Discovery.DetectionDelay.Micros().Duration(), func() { r.announce(current, "left") })
		return nil
	case "zone_lost": // silent while it is lost; it returns as new, cold processes, and open connections are reset
		if a.End {
			r.announce(affectedServer, "left")
			affectedServer.process.Kill()
			return r.startSuccessor(current, affectedServer, f.NewAddress)
		}
		time.AfterFunc(r.scenario.Discovery.DetectionDelay.Micros().Duration(), func() { r.announce(current, "left") })
		return current.process.ApplyFault(scenario.Fault{Kind: "vanish"}, false)
	case "drain", "deploy":
		switch a.Stage {
		case 0:
			current.process.Drain()
			r.announce(current, "leaving")
			time.AfterFunc((r.scenario.Discovery.Delay+r.scenario.Service.DrainGrace).Micros().Duration()+time.Second, current.process.EndDrainGrace)
		case 1:
			r.announce(affectedServer, "left")
			affectedServer.process.Kill()
		default:
			return r.startSuccessor(current, affectedServer, f.NewAddress)
		}
		return nil
	}
	if a.End && affectedServer != current {
		return nil // another fault has replaced the server
	}
	return current.process.ApplyFault(f, a.End)
}

// loseSite stops all cache servers and routers of a site at once, or starts them again, cold. Clients of the site use routers
// of other sites once the load balancer has detected the loss.
func (r *run) loseSite(ctx context.Context, f scenario.Fault, a faults.Action, affected map[[2]int]*cacheServer) error {
	for place := range r.scenario.Servers.Count {
		if r.scenario.SiteOf(place) != f.Site {
			continue
		}
		b := a
		b.Target = place
		lost := f
		if lost.Kind = "zone_lost"; f.Share > 0 && float64(place/len(r.scenario.Sites)) >= f.Share*float64(r.scenario.Servers.Count/len(r.scenario.Sites)) {
			continue
		}
		if err := r.applyServerFault(ctx, lost, b, affected); err != nil {
			return err
		}
	}
	for n := range r.scenario.Routers.Count {
		if r.scenario.SiteOf(n) == f.Site && f.Share == 0 {
			b := a
			b.Target = n
			down := f
			down.Kind = "router_kill"
			r.applyRouterFault(ctx, down, b)
		}
	}
	return nil
}

// partitionSite partitions a site from the others, or heals the partition. Routers cannot reach servers, origin and discovery
// on the other side. The origin is at the first site, discovery at all sites.
func (r *run) partitionSite(site string, on bool) error {
	r.mu.Lock()
	if r.partitionedSites[site] = on; !on {
		delete(r.partitionedSites, site)
	}
	servers := append([]*cacheServer(nil), r.current...)
	r.mu.Unlock()
	for _, l := range servers {
		if err := l.process.Partition(r.unreachableFrom(l.entry.Zone)); err != nil {
			return err
		}
	}
	if r.origin != nil {
		r.origin.Partition(r.unreachableFrom(r.scenario.Sites[0]))
	}
	lone := map[event.Router]bool{}
	for n := range r.scenario.Routers.Count {
		lone[event.Router(n)] = r.partitionedSites[r.scenario.SiteOf(n)]
	}
	r.registry.Partition(lone)
	return nil
}

// unreachableFrom returns the routers that currently cannot reach a site.
func (r *run) unreachableFrom(site string) map[event.Router]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	far := map[event.Router]bool{}
	for n := range r.scenario.Routers.Count {
		if at := r.scenario.SiteOf(n); at != site && (r.partitionedSites[at] || r.partitionedSites[site]) {
			far[event.Router(n)] = true
		}
	}
	return far
}

// startSuccessor starts the successor of a server, unless another fault has replaced it already.
func (r *run) startSuccessor(current, affected *cacheServer, moved bool) error {
	if current != affected {
		return nil
	}
	affected.process.Wait()
	return r.startServer(affected.slot, false, moved)
}

// applyRouterFault applies a fault to a router. Actions that take time run concurrently with the timeline.
func (r *run) applyRouterFault(ctx context.Context, f scenario.Fault, a faults.Action) {
	p := r.routers[a.Target]
	random := r.randomFor(a.Fault, a.Target)
	switch f.Kind {
	case "router_kill":
		if a.End {
			r.actions.Go(func() { r.restartRouter(ctx, p) })
			return
		}
		r.actions.Go(func() { r.killRouter(ctx, p, f) })
	case "router_stall":
		p.stall(!a.End)
	case "router_empty":
		r.setDrained(ctx, p, !a.End)
	case "router_tmp_full":
		if err := p.fillTmp(!a.End); err != nil {
			r.options.Log.WithError(err).Warn("lab: cannot change TMPDIR of a router")
		}
	default:
		if !a.End {
			r.startRouterAction(ctx, p, f, random)
		}
	}
}

// startRouterAction starts a fault of a router that has no end on the timeline.
func (r *run) startRouterAction(ctx context.Context, p *router, f scenario.Fault, random *rand.Rand) {
	switch f.Kind {
	case "router_restart":
		r.actions.Go(func() {
			p.stop(true, func(at Instance) { sendSignalsDuringShutdown(ctx, at, f.Count, random) })
			r.restartRouter(ctx, p)
		})
	case "router_replace":
		r.runReplacement(ctx, p, func() error { return p.replace(ctx) })
	case "router_dud":
		r.runReplacement(ctx, p, func() error { return p.replaceAfterFailedStart(ctx, random) })
	case "router_signals":
		r.actions.Go(func() {
			if err := p.sendSignals(ctx, f.Count, f.Duration.Micros().Duration(), random); err != nil {
				r.fail(ctx, err)
			}
		})
	case "router_reload":
		if err := p.reload(); err != nil {
			r.options.Log.WithError(err).Error("reload failed")
		}
	}
}

// killRouter kills a router. The load balancer detects it after its detection delay, unless the router was started again.
func (r *run) killRouter(ctx context.Context, p *router, f scenario.Fault) {
	p.sigkill()
	starts := p.starts
	time.AfterFunc(r.scenario.Clients.BalancerDetectionDelay.Micros().Duration(), func() {
		p.mu.Lock()
		same := p.starts == starts
		p.mu.Unlock()
		if same {
			r.balancer.SetAlive(p.index, false)
		}
	})
	if f.Duration == 0 && f.BatchShare == 0 { // it is restarted immediately
		r.restartRouter(ctx, p)
	}
}

// restartRouter starts a router again and waits until it is ready. A failure fails the run.
func (r *run) restartRouter(ctx context.Context, p *router) {
	if ctx.Err() != nil {
		return
	}
	err := p.start()
	if err == nil {
		err = p.waitUntilReady(ctx, 15*time.Second)
	}
	if err != nil && ctx.Err() == nil {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
}

// applyLinkFault begins or ends a fault on the links between routers.
func (r *run) applyLinkFault(f scenario.Fault, end bool) {
	groups := [2][]int{f.From, f.To}
	for i := range groups {
		if len(groups[i]) == 0 {
			for n := range r.scenario.Routers.Count {
				groups[i] = append(groups[i], n)
			}
		}
	}
	change := func(rule *links.Rule) {
		switch f.Kind {
		case "link_drop":
			rule.LossShare = f.Share
		case "link_cut":
			rule.Cut = true
		case "link_delay":
			rule.Delay, rule.Jitter = f.Step.Micros().Duration(), f.Step.Micros().Duration()/2
		}
		if end {
			*rule = links.Rule{}
		}
	}
	r.links.UpdateRules(groups[0], groups[1], change)
	if !f.OneWay {
		r.links.UpdateRules(groups[1], groups[0], change)
	}
}

// moveDiscovery gives every router's agent a new address and reloads the routers.
func (r *run) moveDiscovery() error {
	for _, p := range r.routers {
		if err := p.moveDiscovery(); err != nil {
			return err
		}
	}
	return nil
}
