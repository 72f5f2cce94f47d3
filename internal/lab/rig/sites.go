package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"spurtrestle/core/policycommit"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/lab/links"
)

// SiteSample is what was seen of sites at one moment.
type SiteSample struct {
	At     time.Duration
	Sites  []sitefailover.SiteStatus             // at who leads; nil: nobody was found to
	Orders map[int]map[sitefailover.Site]float64 // by router that has orders: the shares of sites that are not up
}

// SiteTruth is what was done to a site: the part of its servers that are listed, and whether its routers run and are not cut
// off.
type SiteTruth struct {
	At      time.Duration
	Site    sitefailover.Site
	Listed  float64
	Routers bool
	Word    bool // an operator spoke
}

// SiteOutcome is a round that was played.
type SiteOutcome struct {
	Seed    uint64
	Acts    []string
	Rulings int           // changes of stage or step that were seen
	Settled time.Duration // from when all was in order until all sites were up
	Broken  []string
}

// SiteDoc is a policy that plans for sites.
func SiteDoc(sites []string, back string) string {
	doc := "schema = 1\n[sites]\nback_after = \"" + back + "\"\nhold = \"500ms\"\n"
	for _, s := range sites {
		doc += fmt.Sprintf("[[sites.site]]\nname = %q\nbears = 100.0\n", s)
	}
	return doc
}

// Sites asks what each site counts as, by a router.
func (r *Rig) Sites(by int) (*sitefailover.Status, error) {
	a, err := r.AskPolicy(by, map[string]any{"what": "sites"})
	if err == nil && a.Error != "" {
		err = fmt.Errorf("%s", a.Error)
	}
	return a.Sites, err
}

// Orders are what a router keeps to about sites; nil: nothing.
func (r *Rig) Orders(i int) (*sitefailover.Orders, error) {
	text, err := r.Call(i, "GET", "/ops/policy")
	var h struct{ Orders *sitefailover.Orders }
	if err == nil {
		err = json.Unmarshal([]byte(text), &h)
	}
	return h.Orders, err
}

// LoseSite takes a site down, its routers at once and its servers as discovery notices; or has it come back.
func (r *Rig) LoseSite(site string, on bool) error {
	var who []int
	for i := range r.o.Routers {
		if r.set.SiteOf(i) == site {
			who = append(who, i)
		}
	}
	if on {
		r.Kill("site lost", who...)
		r.List(site, 0)
		return nil
	}
	r.List(site, r.o.Servers)
	return r.Start("site back", who...)
}

// JudgeSites tells what is wrong with what was seen: a site that was called lost by evidence while it was there, a return
// that skipped a step or began while the site was not there, routers that kept to different shares for longer than a
// moment.
func JudgeSites(samples []SiteSample, truth []SiteTruth, steps []float64) (broken []string) {
	const late, moment = 4 * time.Second, 1500 * time.Millisecond
	// was tells whether something held of a site at some time of the last while before a moment.
	was := func(at time.Duration, site sitefailover.Site, ok func(SiteTruth) bool) bool {
		last := SiteTruth{Site: site, Listed: 1, Routers: true}
		held := false
		for _, t := range truth {
			if t.At > at {
				break
			}
			if t.Site == site {
				held = held && t.At >= at-late || t.At >= at-late && ok(last)
				last = t
				held = held || t.At >= at-late && ok(t)
			}
		}
		return held || ok(last)
	}
	before := map[sitefailover.Site]sitefailover.Decision{}
	for _, s := range samples {
		for _, x := range s.Sites {
			b := before[x.Name]
			before[x.Name] = x.Decision
			// A leader that is one no longer may still tell of before.
			if x.Index <= b.Index || x.By != "evidence" || was(s.At, x.Name, func(t SiteTruth) bool { return t.Word }) {
				if x.Index < b.Index {
					before[x.Name] = b
				}
				continue
			}
			bad := ""
			switch {
			case x.Stage == sitefailover.Lost && b.Stage == sitefailover.Up && !was(s.At, x.Name, func(t SiteTruth) bool { return t.Listed <= 0.2 }):
				bad = "is called lost, and its servers are there"
			case x.Stage == sitefailover.Returning && b.Stage == sitefailover.Lost && !was(s.At, x.Name, func(t SiteTruth) bool { return t.Listed > 0.5 && t.Routers }):
				bad = "returns, and is not there"
			case x.Stage == sitefailover.Returning && b.Stage == sitefailover.Returning && x.Step > b.Step+2: // looks are apart
				bad = fmt.Sprintf("went from step %d to %d", b.Step+1, x.Step+1)
			}
			if bad != "" {
				broken = append(broken, fmt.Sprintf("%v: %s %s (%s)", s.At, x.Name, bad, x.Reason))
			}
		}
	}
	// Shares that differ between routers for longer than a moment, where each has orders.
	since := map[sitefailover.Site]time.Duration{}
	for _, s := range samples {
		shares := map[sitefailover.Site][]float64{}
		for _, of := range s.Orders {
			for site := range before {
				share, named := of[site]
				if !named {
					share = 1
				}
				if !slices.Contains(shares[site], share) {
					shares[site] = append(shares[site], share)
				}
				if share != 0 && share != 1 && !slices.Contains(steps, share) {
					broken = append(broken, fmt.Sprintf("%v: %s has a share of %v, which is no step", s.At, site, share))
				}
			}
		}
		for site := range before {
			switch from, on := since[site]; {
			case len(shares[site]) < 2:
				delete(since, site)
			case !on:
				since[site] = s.At
			case s.At-from > moment:
				broken = append(broken, fmt.Sprintf("%v: routers have kept to shares %v of %s for %v", s.At, shares[site], site, s.At-from))
				since[site] = s.At
			}
		}
	}
	return broken
}

// SiteRound plays random troubles of whole sites and of the ways between them, puts all in order, and judges.
func SiteRound(o Options, acts int) (out SiteOutcome, err error) {
	o.Sites, o.Policy, o.Keepers, o.Servers = []string{"hill", "coast", "valley"}, "serve", 3, 4
	out.Seed = o.Seed
	r, err := New(o)
	if err != nil {
		return out, err
	}
	defer r.Close()
	all, err := r.found()
	if err != nil {
		return out, err
	}
	ask := func(q map[string]any) (a policycommit.Reply, err error) {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for i := range o.Routers {
				if !r.Running(i) {
					continue
				}
				if a, err = r.AskPolicy(i, q); err == nil {
					return a, nil
				}
			}
		}
		return a, fmt.Errorf("%v: %w", q["what"], err)
	}
	a, err := ask(map[string]any{"what": "apply", "doc": SiteDoc(o.Sites, "500ms"), "base": 0, "token": "plan", "author": "round", "reason": "plan"})
	if err != nil || a.Verdict == nil || !a.Verdict.Everywhere {
		return out, fmt.Errorf("the plan holds nowhere: %+v, %w", a.Verdict, err)
	}
	var mu sync.Mutex
	var samples []SiteSample
	var truth []SiteTruth
	listed, up := map[string]float64{}, map[string]bool{}
	for _, s := range o.Sites {
		listed[s], up[s] = 1, true
	}
	did := func(site string, word bool) {
		mu.Lock()
		truth = append(truth, SiteTruth{At: r.Now(), Site: sitefailover.Site(site), Listed: listed[site], Routers: up[site], Word: word})
		mu.Unlock()
	}
	stop := make(chan struct{})
	var looks sync.WaitGroup
	looks.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			s := SiteSample{At: r.Now(), Orders: map[int]map[sitefailover.Site]float64{}}
			for i := range o.Routers {
				if !r.Running(i) {
					continue
				}
				if orders, err := r.Orders(i); err == nil && orders != nil {
					s.Orders[i] = map[sitefailover.Site]float64{}
					for _, x := range orders.Shares {
						s.Orders[i][x.Site] = x.Part
					}
				}
			}
			for i := range o.Keepers {
				if r.Running(i) && r.leads(i) {
					if st, err := r.Sites(i); err == nil && st != nil {
						s.Sites = st.Sites
					}
				}
			}
			mu.Lock()
			samples = append(samples, s)
			mu.Unlock()
		}
	})
	ended := false
	end := func() {
		if !ended {
			ended = true
			close(stop)
			looks.Wait()
		}
	}
	defer end()
	dice := rand.New(rand.NewPCG(o.Seed, 38))
	at := func(site string) (here, there []int) {
		for i := range o.Routers {
			if r.set.SiteOf(i) == site {
				here = append(here, i)
			} else {
				there = append(there, i)
			}
		}
		return here, there
	}
	for range acts {
		site := o.Sites[dice.IntN(3)]
		other := o.Sites[(slices.Index(o.Sites, site)+1)%3]
		here, there := at(site)
		kind := dice.IntN(14)
		out.Acts = append(out.Acts, fmt.Sprintf("%v %s %d", r.Now().Round(time.Millisecond), site, kind))
		switch kind {
		default: // lost, or back
			on := up[site]
			up[site], listed[site] = !on, map[bool]float64{true: 0, false: 1}[on]
			did(site, false)
			err = r.LoseSite(site, on)
		case 2: // its servers alone
			listed[site] = float64(dice.IntN(5)) / 4
			r.List(site, int(4*listed[site]))
			did(site, false)
		case 3: // cut off, alive
			r.Cut("cut off", true, here, there, true, false)
			up[site] = false
			did(site, false)
			time.Sleep(time.Duration(1+dice.IntN(4)) * time.Second)
			r.Cut("healed", false, here, there, true, false)
			up[site] = r.Running(here[0])
			did(site, false)
		case 4: // from one other alone
			far, _ := at(other)
			r.Cut("one way", true, here, far, false, false)
			time.Sleep(3 * time.Second)
			r.Cut("healed", false, here, far, true, false)
		case 5: // every way is bad
			r.Links.Change(all, all, func(rule *links.Rule) { rule.Drop = 0.3 })
			time.Sleep(3 * time.Second)
			r.Links.Change(all, all, func(rule *links.Rule) { rule.Drop = 0 })
		case 6: // a router stands still, or the whole site does
			who := here[:1+dice.IntN(len(here))]
			err = r.Stall("stall", true, who...)
			time.Sleep(2 * time.Second)
			if err == nil {
				err = r.Stall("goes on", false, who...)
			}
		case 7: // it flaps
			for range 3 {
				listed[site] = 0
				r.List(site, 0)
				did(site, false)
				time.Sleep(700 * time.Millisecond)
				listed[site] = 1
				r.List(site, 4)
				did(site, false)
				time.Sleep(700 * time.Millisecond)
			}
		case 0: // half of all routers are restarted
			for _, i := range dice.Perm(o.Routers)[:o.Routers/2] {
				if r.Running(i) && err == nil {
					r.Kill("restart", i)
					err = r.Start("restart", i)
				}
			}
		case 1: // the policy is changed
			if a, err := ask(map[string]any{"what": "status"}); err == nil {
				_, _ = ask(map[string]any{"what": "apply", "doc": SiteDoc(o.Sites, "500ms") + fmt.Sprintf("# %d\n", len(out.Acts)), "base": a.Current,
					"token": fmt.Sprint("act ", len(out.Acts)), "author": "round", "reason": "dice"}) // nowhere where a router is away
			}
		case 8: // an operator
			did(site, true)
			_, _ = ask(map[string]any{"what": "site", "name": site, "word": []string{"lost", "back", "hold", "go"}[dice.IntN(4)], "author": "round", "reason": "dice",
				"at": time.Now().UnixMicro()}) // it may be up, or there may be no majority
		}
		if err != nil {
			return out, err
		}
		time.Sleep(time.Duration(500+dice.IntN(3500)) * time.Millisecond)
	}
	for _, s := range o.Sites {
		if !up[s] || !r.Running(slices.Index(o.Sites, s)) {
			if err := r.LoseSite(s, false); err != nil {
				return out, err
			}
		}
		r.List(s, 4)
		up[s], listed[s] = true, 1
		did(s, true)
		_, _ = ask(map[string]any{"what": "site", "name": s, "word": "back", "author": "round", "reason": "the end", "at": time.Now().UnixMicro()})
	}
	ordered := r.Now()
	for {
		s, err := ask(map[string]any{"what": "sites"})
		if err != nil {
			return out, err
		}
		whole := s.Sites != nil && s.Sites.Orders.None()
		for _, x := range s.Sites.Sites {
			whole = whole && x.Stage == sitefailover.Up
		}
		if whole {
			break
		}
		if r.Now()-ordered > 40*time.Second {
			text, _ := json.Marshal(s.Sites)
			out.Broken = append(out.Broken, fmt.Sprintf("not all sites are up 40 s after all was put in order: %s", text))
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	out.Settled = r.Now() - ordered
	end()
	seen := map[sitefailover.Site]uint64{}
	for _, s := range samples {
		for _, x := range s.Sites {
			if x.Index > seen[x.Name] {
				seen[x.Name] = x.Index
				out.Rulings++
			}
		}
	}
	out.Broken = append(out.Broken, JudgeSites(samples, truth, sitefailover.DefaultPlan().Steps)...)
	return out, nil
}

func (r *Rig) leads(i int) bool {
	text, err := r.Call(i, "GET", "/ops/policy")
	var h struct{ Leads bool }
	return err == nil && json.Unmarshal([]byte(text), &h) == nil && h.Leads
}
