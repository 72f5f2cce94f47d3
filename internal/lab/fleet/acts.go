package fleet

import (
	"context"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/faults"
	"spurtrestle/internal/lab/links"
	"spurtrestle/internal/lab/scenario"
)

// playFaults does each act of the timeline at its time.
func (r *run) playFaults(ctx context.Context, from event.Micros) {
	struck := map[[2]int]*life{} // by fault and place: who was struck, so that the end finds the same life
	for _, a := range faults.Timeline(r.s, r.o.Seed) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(0, from+a.At-r.log.Now()).Duration()):
		}
		f := r.s.Faults[a.Fault]
		if a.End && f.Kind == "site_lost" {
			r.o.await(ctx, SiteReturns)
		}
		end := event.Micros(0)
		if a.End {
			end = 1
		}
		if a.Stage != 1 {
			r.log.Add(event.Event{Kind: event.Fault, Router: event.Nobody, Note: f.Kind, Limit: end})
		}
		r.o.Log.WithField("at", a.At.Duration()).Debugf("%s (%v)", f.Kind, a)
		if err := r.act(ctx, f, a, struck); err != nil {
			r.mu.Lock()
			r.failed = err
			r.mu.Unlock()
			return
		}
	}
}

func (r *run) act(ctx context.Context, f scenario.Fault, a faults.Act, struck map[[2]int]*life) error {
	switch scenario.FaultKinds[f.Kind].Target() {
	case "servers":
		return r.actServer(ctx, f, a, struck)
	case "routers":
		r.actRouter(ctx, f, a)
	case "policy":
		r.acts.Go(func() { r.change(ctx, f) })
	case "links":
		r.actLinks(f, a.End)
	case "sites":
		if f.Kind == "site_lost" {
			return r.loseSite(ctx, f, a, struck)
		}
		return r.cutOff(f.Site, !a.End)
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
				r.bad.Go(func() {
					defer cancel()
					r.front.RunMisbehaving(within, f)
				})
			}
		}
	}
	return nil
}

func (r *run) actServer(ctx context.Context, f scenario.Fault, a faults.Act, struck map[[2]int]*life) error {
	at := [2]int{a.Fault, a.Who}
	r.mu.Lock()
	l := r.lives[a.Who]
	r.mu.Unlock()
	if !a.End && a.Stage == 0 {
		struck[at] = l
	}
	victim := struck[at]
	switch f.Kind {
	case "ban":
		r.ban(ctx, victim.entry.UID, !a.End)
		return nil
	case "kill":
		if a.End {
			r.tell(victim, "left")
			return r.succeed(l, victim, f.NewAddress)
		}
		l.server.Kill()
		time.AfterFunc(r.s.Discovery.DetectionDelay.Micros().Duration(), func() { r.tell(l, "left") })
		return nil
	case "zone_lost": // silent while it is lost; back as other processes, cold, which reset what was open
		if a.End {
			r.tell(victim, "left")
			victim.server.Kill()
			return r.succeed(l, victim, f.NewAddress)
		}
		time.AfterFunc(r.s.Discovery.DetectionDelay.Micros().Duration(), func() { r.tell(l, "left") })
		return l.server.ApplyFault(scenario.Fault{Kind: "vanish"}, false)
	case "drain", "deploy":
		switch a.Stage {
		case 0:
			l.server.Drain()
			r.tell(l, "leaving")
			time.AfterFunc((r.s.Discovery.Delay+r.s.Service.DrainGrace).Micros().Duration()+time.Second, l.server.EndDrainGrace)
		case 1:
			r.tell(victim, "left")
			victim.server.Kill()
		default:
			return r.succeed(l, victim, f.NewAddress)
		}
		return nil
	}
	if a.End && victim != l {
		return nil // another fault has replaced it meanwhile
	}
	return l.server.ApplyFault(f, a.End)
}

// loseSite takes all of a site down at once, its cache servers and its routers; or has it come back cold, all at once. Who
// asks there goes to routers elsewhere once the front has noticed.
func (r *run) loseSite(ctx context.Context, f scenario.Fault, a faults.Act, struck map[[2]int]*life) error {
	for place := range r.s.Servers.Count {
		if r.s.SiteOf(place) != f.Site {
			continue
		}
		b := a
		b.Who = place
		lost := f
		if lost.Kind = "zone_lost"; f.Share > 0 && float64(place/len(r.s.Sites)) >= f.Share*float64(r.s.Servers.Count/len(r.s.Sites)) {
			continue
		}
		if err := r.actServer(ctx, lost, b, struck); err != nil {
			return err
		}
	}
	for n := range r.s.Routers.Count {
		if r.s.SiteOf(n) == f.Site && f.Share == 0 {
			b := a
			b.Who = n
			down := f
			down.Kind = "router_kill"
			r.actRouter(ctx, down, b)
		}
	}
	return nil
}

// cutOff cuts a site off from the others, or takes that back: routers on one side, servers, origin and discovery (which
// are at the first site and at all of them) on the other hear nothing of each other.
func (r *run) cutOff(site string, on bool) error {
	r.mu.Lock()
	if r.cut[site] = on; !on {
		delete(r.cut, site)
	}
	lives := append([]*life(nil), r.lives...)
	r.mu.Unlock()
	for _, l := range lives {
		if err := l.server.Partition(r.unreachable(l.entry.Zone)); err != nil {
			return err
		}
	}
	if r.origin != nil {
		r.origin.Partition(r.unreachable(r.s.Sites[0]))
	}
	lone := map[event.Router]bool{}
	for n := range r.s.Routers.Count {
		lone[event.Router(n)] = r.cut[r.s.SiteOf(n)]
	}
	r.registry.Partition(lone)
	return nil
}

// unreachable are the routers that cannot reach a site now.
func (r *run) unreachable(site string) map[event.Router]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	far := map[event.Router]bool{}
	for n := range r.s.Routers.Count {
		if at := r.s.SiteOf(n); at != site && (r.cut[at] || r.cut[site]) {
			far[event.Router(n)] = true
		}
	}
	return far
}

// succeed starts the successor of a life, unless another fault has done so meanwhile.
func (r *run) succeed(now, victim *life, moved bool) error {
	if now != victim {
		return nil
	}
	victim.server.Wait()
	return r.live(victim.place, false, moved)
}

// actRouter does what takes its time beside the timeline.
func (r *run) actRouter(ctx context.Context, f scenario.Fault, a faults.Act) {
	p := r.routers[a.Who]
	draws := r.draws(a.Fault, a.Who)
	again := func() {
		if ctx.Err() != nil {
			return
		}
		err := p.start()
		if err == nil {
			err = p.untilReady(ctx, 15*time.Second)
		}
		if err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.failed = err
			r.mu.Unlock()
		}
	}
	switch f.Kind {
	case "router_kill":
		if a.End {
			r.acts.Go(again)
			return
		}
		r.acts.Go(func() {
			p.sigkill()
			starts := p.starts
			time.AfterFunc(r.s.Clients.BalancerDetectionDelay.Micros().Duration(), func() {
				p.mu.Lock()
				same := p.starts == starts
				p.mu.Unlock()
				if same {
					r.front.SetAlive(p.n, false)
				}
			})
			if f.Duration == 0 && f.BatchShare == 0 { // it is started again as soon as its end is seen
				again()
			}
		})
	case "router_restart":
		if !a.End {
			r.acts.Go(func() {
				p.stop(true, func(at Instance) { sendBesideEnd(ctx, at, f.Count, draws) })
				again()
			})
		}
	case "router_stall":
		p.stall(!a.End)
	case "router_empty":
		r.empty(ctx, p, !a.End)
	case "router_replace":
		if !a.End {
			r.replacing(ctx, p, func() error { return p.replace(ctx) })
		}
	case "router_dud":
		if !a.End {
			r.replacing(ctx, p, func() error { return p.replaceBehindDud(ctx, draws) })
		}
	case "router_signals":
		if !a.End {
			r.acts.Go(func() {
				if err := p.sendSignals(ctx, f.Count, f.Duration.Micros().Duration(), draws); err != nil {
					r.fail(ctx, err)
				}
			})
		}
	case "router_tmp_full":
		if err := p.fillTmp(!a.End); err != nil {
			r.o.Log.WithError(err).Warn("lab: TMPDIR of a router")
		}
	case "router_reload":
		if !a.End {
			if err := p.reload(); err != nil {
				r.o.Log.WithError(err).Error("a reload")
			}
		}
	}
}

// actLinks strikes what routers tell one another, or leaves it alone again.
func (r *run) actLinks(f scenario.Fault, end bool) {
	groups := [2][]int{f.From, f.To}
	for i := range groups {
		if len(groups[i]) == 0 {
			for n := range r.s.Routers.Count {
				groups[i] = append(groups[i], n)
			}
		}
	}
	change := func(rule *links.Rule) {
		switch f.Kind {
		case "link_drop":
			rule.Drop = f.Share
		case "link_cut":
			rule.Cut = true
		case "link_delay":
			rule.Delay, rule.Jitter = f.Step.Micros().Duration(), f.Step.Micros().Duration()/2
		}
		if end {
			*rule = links.Rule{}
		}
	}
	r.links.Change(groups[0], groups[1], change)
	if !f.OneWay {
		r.links.Change(groups[1], groups[0], change)
	}
}

// moveDiscovery gives every router's agent a new address, which the router's file names from then on.
func (r *run) moveDiscovery() error {
	for _, p := range r.routers {
		if err := p.moveDiscovery(); err != nil {
			return err
		}
	}
	return nil
}
