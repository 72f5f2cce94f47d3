package rig

import (
	"fmt"
	"testing"
	"time"

	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/lab/links"
)

var threeSites = []string{"hill", "coast", "valley"}

// planned is a fleet of three sites, two routers and four servers each and a keeper at every one, that plans for their loss.
func planned(t *testing.T) trial {
	r := play(t, Options{Routers: 6, Sites: threeSites, Policy: "serve", Keepers: 3, Servers: 4, PollInterval: time.Hour})
	r.start("start", upTo(6)...)
	_, err := r.AskPolicy(0, map[string]any{"what": "found"})
	r.must(err)
	r.ready(upTo(6)...)
	v, err := r.apply(0, 0, "plan", SiteDoc(threeSites, "500ms"))
	r.must(err)
	if !v.Committed {
		t.Fatalf("the plan: %+v", v)
	}
	r.until("all keepers vote", func() bool {
		s, err := r.AskPolicy(0, map[string]any{"what": "status"})
		return err == nil && len(s.Voters) == 3
	})
	r.until("every site is seen whole", func() bool { return r.stages(0) == "up up up" })
	return r
}

// stages are those of the sites, in order.
func (t trial) stages(by int) string {
	s, err := t.Sites(by)
	if err != nil || s == nil || len(s.Sites) != 3 {
		return fmt.Sprint("unknown: ", err)
	}
	return s.Sites[0].DisplayStage() + " " + s.Sites[1].DisplayStage() + " " + s.Sites[2].DisplayStage()
}

func (t trial) keepsTo(site sitefailover.Site, share float64, who ...int) {
	t.t.Helper()
	t.until(fmt.Sprint(who, " give ", site, " a share of ", share), func() bool {
		for _, i := range who {
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

// The site that holds the leader is lost: another leads, all that are left keep to the same, and it returns step by step;
// a second loss during the return goes back at once.
func TestSiteOfTheLeaderIsLost(t *testing.T) {
	r := planned(t)
	leader := r.leader(3)
	site := threeSites[leader]
	left := []int{(leader + 1) % 3, (leader + 2) % 3, 3 + (leader+1)%3, 3 + (leader+2)%3}
	r.must(r.LoseSite(site, true))
	r.keepsTo(sitefailover.Site(site), 0, left...)
	r.must(r.LoseSite(site, false))
	r.keepsTo(sitefailover.Site(site), 0.125, upTo(6)...)
	r.must(r.LoseSite(site, true))
	r.keepsTo(sitefailover.Site(site), 0, left...)
	r.must(r.LoseSite(site, false))
	r.keepsTo(sitefailover.Site(site), 1, upTo(6)...)
	s, err := r.Sites(left[0])
	r.must(err)
	if x := s.Sites[leader]; x.Stage == sitefailover.Up && x.RepeatedLosses == 0 {
		t.Errorf("its second loss did not count: %+v", x)
	}
}

// Nothing of this is a loss: every way loses a third of what it carries; the site and one other do not hear each other; a
// site is cut off and alive; half of its servers are gone; its routers stand still.
func TestSiteIsNotLost(t *testing.T) {
	r := planned(t)
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
	all := upTo(6)
	r.Links.UpdateRules(all, all, func(rule *links.Rule) { rule.LossShare = 0.3 })
	never("lossy", 3*time.Second)
	r.Links.UpdateRules(all, all, func(rule *links.Rule) { rule.LossShare = 0 })
	r.Cut("one other", true, []int{1, 4}, []int{2, 5}, true, false)
	never("out of reach of one", 3*time.Second)
	r.Cut("healed", false, []int{1, 4}, []int{2, 5}, true, false)
	r.Cut("cut off", true, []int{2, 5}, []int{0, 1, 3, 4}, true, false)
	never("cut off", 3*time.Second)
	if h := r.held(5); !h.May {
		t.Error("a router that is cut off and serves on takes no clients")
	}
	r.Cut("healed", false, []int{2, 5}, []int{0, 1, 3, 4}, true, false)
	r.ListServers("coast", 2)
	never("half gone", 2500*time.Millisecond)
	r.ListServers("coast", 4)
	r.must(r.Stall("stall", true, 2, 5))
	never("stalled", 2500*time.Millisecond)
	r.must(r.Stall("goes on", false, 2, 5))
	r.until("all is well", func() bool { return r.stages(0) == "up up up" })
}

// Two sites are lost one after the other: with the second the majority is gone, and who is left goes by its own evidence,
// and takes clients; when a majority is back, what was ruled holds again.
func TestTwoSitesAreLost(t *testing.T) {
	r := planned(t)
	r.must(r.LoseSite("hill", true))
	r.keepsTo("hill", 0, 1, 2, 4, 5)
	r.must(r.LoseSite("coast", true))
	r.keepsTo("hill", 1, 2, 5)
	for _, i := range []int{2, 5} {
		if h := r.held(i); !h.May {
			t.Errorf("router %d takes no clients: %+v", i, h)
		}
	}
	r.must(r.LoseSite("coast", false))
	r.keepsTo("hill", 0, 1, 2, 4, 5)
	r.must(r.LoseSite("hill", false))
	r.until("all sites are up", func() bool { return r.stages(2) == "up up up" })
}

// An operator's word holds also when the leader dies right behind it, and while the policy is changed; what is wrong is told.
func TestOperatorsWordOnASite(t *testing.T) {
	r := planned(t)
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
	r.keepsTo("coast", 0, left...)
	r.start("again", leader)
	v, err := r.apply(left[0], 1, "other", SiteDoc(threeSites, "600ms"))
	r.must(err)
	if !v.Committed {
		t.Fatalf("a change while a site is out: %+v", v)
	}
	r.keepsTo("coast", 0, upTo(6)...)
	if why := word("coast", "back"); why != "" {
		t.Fatal(why)
	}
	if why := word("coast", "hold"); why != "" {
		t.Fatal(why)
	}
	r.keepsTo("coast", 0.125, upTo(6)...)
	time.Sleep(1500 * time.Millisecond)
	r.keepsTo("coast", 0.125, upTo(6)...)
	if why := word("coast", "go"); why != "" {
		t.Fatal(why)
	}
	r.keepsTo("coast", 1, upTo(6)...)
}

// The judge of rounds finds what must not be.
func TestJudgeOfSites(t *testing.T) {
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
		truth   []SiteChange
	}{
		"lost while it is there": {good, nil},
		"back while it is not":   {good, []SiteChange{lost}},
		"a step is skipped":      {[]SiteSample{good[1], good[2], at(12, sitefailover.Recovering, 3, 3, nil)}, []SiteChange{lost, back}},
		"shares at odds":         {[]SiteSample{good[1], at(6, sitefailover.Lost, 0, 1, both(0, 1)), at(8, sitefailover.Lost, 0, 1, both(0, 1))}, []SiteChange{lost}},
		"no step":                {[]SiteSample{good[1], at(6, sitefailover.Lost, 0, 1, both(0.3, 0.3))}, []SiteChange{lost}},
	} {
		if len(CheckSites(x.samples, x.truth, steps)) == 0 {
			t.Errorf("%s: not found", what)
		}
	}
}
