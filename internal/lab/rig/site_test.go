package rig

import (
	"fmt"
	"testing"
	"time"

	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/lab/links"
)

var threeSites = []string{"hill", "coast", "valley"}

// newPlannedTrial starts a fleet with a plan for the loss of sites: three sites with two routers, four servers and a keeper each.
func newPlannedTrial(t *testing.T) trial {
	r := newTrial(t, Options{Routers: 6, Sites: threeSites, Policy: "serve", Keepers: 3, Servers: 4, PollInterval: time.Hour})
	r.start("start", routersBelow(6)...)
	_, err := r.AskPolicy(0, map[string]any{"what": "found"})
	r.must(err)
	r.ready(routersBelow(6)...)
	v, err := r.apply(0, 0, "plan", SiteDoc(threeSites, "500ms"))
	r.must(err)
	if !v.Committed {
		t.Fatalf("the plan: %+v", v)
	}
	r.waitUntil("all keepers vote", func() bool {
		s, err := r.AskPolicy(0, map[string]any{"what": "status"})
		return err == nil && len(s.Voters) == 3
	})
	r.waitUntil("every site is seen whole", func() bool { return r.stages(0) == "up up up" })
	return r
}

// stages returns the stages of all sites in order, as a router shows them.
func (t trial) stages(by int) string {
	s, err := t.Sites(by)
	if err != nil || s == nil || len(s.Sites) != 3 {
		return fmt.Sprint("unknown: ", err)
	}
	return s.Sites[0].DisplayStage() + " " + s.Sites[1].DisplayStage() + " " + s.Sites[2].DisplayStage()
}

func (t trial) waitForShare(site sitefailover.Site, share float64, routers ...int) {
	t.t.Helper()
	t.waitUntil(fmt.Sprint(routers, " give ", site, " a share of ", share), func() bool {
		for _, i := range routers {
			o, err := t.Orders(i)
			if err != nil {
				return false
			}
			has := 1.0
			if o != nil {
				for _, s := range o.KeyShares {
					if s.Site == site {
						has = s.Fraction
					}
				}
			}
			if has != share {
				return false
			}
		}
		return true
	})
}

// The site of the leader is lost: another leader is elected, the remaining routers follow the same shares, and the site recovers
// step by step. A second loss during the recovery takes it out at once.
func TestLossOfTheLeadersSite(t *testing.T) {
	r := newPlannedTrial(t)
	leader := r.leader(3)
	site := threeSites[leader]
	left := []int{(leader + 1) % 3, (leader + 2) % 3, 3 + (leader+1)%3, 3 + (leader+2)%3}
	r.must(r.LoseSite(site, true))
	r.waitForShare(sitefailover.Site(site), 0, left...)
	r.must(r.LoseSite(site, false))
	r.waitForShare(sitefailover.Site(site), 0.125, routersBelow(6)...)
	r.must(r.LoseSite(site, true))
	r.waitForShare(sitefailover.Site(site), 0, left...)
	r.must(r.LoseSite(site, false))
	r.waitForShare(sitefailover.Site(site), 1, routersBelow(6)...)
	s, err := r.Sites(left[0])
	r.must(err)
	if x := s.Sites[leader]; x.Stage == sitefailover.Up && x.RepeatedLosses == 0 {
		t.Errorf("its second loss did not count: %+v", x)
	}
}

// None of these counts as the loss of a site: 30% packet loss on all links, a partition between two sites, a site that is cut off
// but alive, half of its servers gone, or its routers stalled.
func TestSiteIsNotLost(t *testing.T) {
	r := newPlannedTrial(t)
	if r.stages(0) != "up up up" {
		t.Fatal(r.stages(0))
	}
	never := func(what string, span time.Duration) {
		t.Helper()
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for i := range 3 {
				if s, err := r.Sites(i); err == nil && s != nil {
					for _, x := range s.Sites {
						if x.Index != 0 {
							t.Fatalf("%s: %+v", what, x)
						}
					}
					break
				}
			}
		}
	}
	all := routersBelow(6)
	r.Links.UpdateRules(all, all, func(rule *links.Rule) { rule.LossShare = 0.3 })
	never("lossy", 3*time.Second)
	r.Links.UpdateRules(all, all, func(rule *links.Rule) { rule.LossShare = 0 })
	r.Cut("one other", true, []int{1, 4}, []int{2, 5}, true, false)
	never("out of reach of one", 3*time.Second)
	r.Cut("healed", false, []int{1, 4}, []int{2, 5}, true, false)
	r.Cut("cut off", true, []int{2, 5}, []int{0, 1, 3, 4}, true, false)
	never("cut off", 3*time.Second)
	if h := r.policyStatus(5); !h.May {
		t.Error("a router that is cut off and serves on takes no clients")
	}
	r.Cut("healed", false, []int{2, 5}, []int{0, 1, 3, 4}, true, false)
	r.ListServers("coast", 2)
	never("half gone", 2500*time.Millisecond)
	r.ListServers("coast", 4)
	r.must(r.Stall("stall", true, 2, 5))
	never("stalled", 2500*time.Millisecond)
	r.must(r.Stall("goes on", false, 2, 5))
	r.waitUntil("all is well", func() bool { return r.stages(0) == "up up up" })
}

// Two sites are lost one after the other. Without a majority, the remaining routers rely on their own evidence and accept clients;
// once a majority is back, its decisions hold again.
func TestLossOfTwoSites(t *testing.T) {
	r := newPlannedTrial(t)
	r.must(r.LoseSite("hill", true))
	r.waitForShare("hill", 0, 1, 2, 4, 5)
	r.must(r.LoseSite("coast", true))
	r.waitForShare("hill", 1, 2, 5)
	for _, i := range []int{2, 5} {
		if h := r.policyStatus(i); !h.May {
			t.Errorf("router %d takes no clients: %+v", i, h)
		}
	}
	r.must(r.LoseSite("coast", false))
	r.waitForShare("hill", 0, 1, 2, 4, 5)
	r.must(r.LoseSite("hill", false))
	r.waitUntil("all sites are up", func() bool { return r.stages(2) == "up up up" })
}

// A command of an operator on a site must hold even if the leader dies right after it and while the policy is changed; invalid
// commands are rejected with a reason.
func TestOperatorCommandOnASite(t *testing.T) {
	r := newPlannedTrial(t)
	word := func(site, word string) string {
		a, err := r.AskPolicy(5, map[string]any{"what": "site", "name": site, "word": word, "author": "test", "reason": "drill", "at": time.Now().UnixMicro()})
		r.must(err)
		return a.Error
	}
	for _, x := range [][3]string{{"moon", "lost", `"moon" is no site of the plan; cache-routerctl fleet site status names them`},
		{"hill", "back", "hill is up"}, {"hill", "hold", "hill is up: there is no return to hold"}, {"hill", "shut", `"shut" is none of lost, back, hold, go`}} {
		if got := word(x[0], x[1]); got != x[2] {
			t.Errorf("%v: %q", x, got)
		}
	}
	if why := word("coast", "lost"); why != "" {
		t.Fatal(why)
	}
	leader := r.leader(3)
	r.Kill("behind the word", leader)
	var left []int
	for i := range 6 {
		if i != leader {
			left = append(left, i)
		}
	}
	r.waitForShare("coast", 0, left...)
	r.start("again", leader)
	v, err := r.apply(left[0], 1, "other", SiteDoc(threeSites, "600ms"))
	r.must(err)
	if !v.Committed {
		t.Fatalf("a change while a site is out: %+v", v)
	}
	r.waitForShare("coast", 0, routersBelow(6)...)
	if why := word("coast", "back"); why != "" {
		t.Fatal(why)
	}
	if why := word("coast", "hold"); why != "" {
		t.Fatal(why)
	}
	r.waitForShare("coast", 0.125, routersBelow(6)...)
	time.Sleep(1500 * time.Millisecond)
	r.waitForShare("coast", 0.125, routersBelow(6)...)
	if why := word("coast", "go"); why != "" {
		t.Fatal(why)
	}
	r.waitForShare("coast", 1, routersBelow(6)...)
}

// CheckSites must accept a correct record and find each kind of violation.
func TestCheckSites(t *testing.T) {
	at := func(s float64, stage sitefailover.Stage, step int, index uint64, orders map[int]map[sitefailover.Site]float64) SiteSample {
		return SiteSample{At: time.Duration(s * float64(time.Second)), Orders: orders,
			Sites: []sitefailover.SiteStatus{{Name: "a", Decision: sitefailover.Decision{Stage: stage, Step: step, Index: index, DecidedBy: "evidence"}}}}
	}
	lost := SiteChange{At: 4 * time.Second, Site: "a"}
	back := SiteChange{At: 9 * time.Second, Site: "a", Listed: 1, Routers: true}
	both := func(x, y float64) map[int]map[sitefailover.Site]float64 {
		return map[int]map[sitefailover.Site]float64{0: {"a": x}, 1: {"a": y}}
	}
	good := []SiteSample{at(1, sitefailover.Up, 0, 0, nil), at(5, sitefailover.Lost, 0, 1, both(0, 0)), at(11, sitefailover.Recovering, 0, 2, both(0.25, 0.25)),
		at(12, sitefailover.Recovering, 1, 3, both(0.5, 0.25)), at(13, sitefailover.Up, 0, 4, nil)}
	steps := []float64{0.25, 0.5, 1}
	if broken := CheckSites(good, []SiteChange{lost, back}, steps); len(broken) > 0 {
		t.Error(broken)
	}
	for what, x := range map[string]struct {
		samples []SiteSample
		changes []SiteChange
	}{
		"lost while it is there": {good, nil},
		"back while it is not":   {good, []SiteChange{lost}},
		"a step is skipped":      {[]SiteSample{good[1], good[2], at(12, sitefailover.Recovering, 3, 3, nil)}, []SiteChange{lost, back}},
		"shares at odds":         {[]SiteSample{good[1], at(6, sitefailover.Lost, 0, 1, both(0, 1)), at(8, sitefailover.Lost, 0, 1, both(0, 1))}, []SiteChange{lost}},
		"no step":                {[]SiteSample{good[1], at(6, sitefailover.Lost, 0, 1, both(0.3, 0.3))}, []SiteChange{lost}},
	} {
		if len(CheckSites(x.samples, x.changes, steps)) == 0 {
			t.Errorf("%s: not found", what)
		}
	}
}
