package policy

import (
	"fmt"
	"math"
	"slices"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
)

// Sites is what is planned for the loss of a site.
type Sites struct {
	Fetches   *float64  `toml:"fetches"`    // that the origin bears for reads, a second
	Steps     []float64 `toml:"steps"`      // of a return
	LostAfter *string   `toml:"lost_after"` // for so long the evidence must hold
	BackAfter *string   `toml:"back_after"`
	Hold      *string   `toml:"hold"` // each step at least
	Sites     []Place   `toml:"site"`
	Loads     []Load    `toml:"load"` // for rehearsals
}

// Place is one site.
type Place struct {
	Name   string   `toml:"name"`
	Bears  *float64 `toml:"bears"`  // answers a second
	Prefer []string `toml:"prefer"` // where its load goes first
}

// Load is a part of what is asked for.
type Load struct {
	Method string  `toml:"method"`
	Tenant string  `toml:"tenant"`
	Rate   float64 `toml:"rate"`
}

// Plan is what the document says of sites. sites are all that there are; none: that is not known.
func (d Document) Plan(own routing.Settings, sites []string) (sitefailover.Plan, error) {
	p, s := sitefailover.DefaultPlan(), d.Sites
	var errs []error
	wrong := func(field, what, remedy string) { errs = append(errs, d.wrong("sites."+field, what, remedy)) }
	above := func(field string, x *float64) float64 {
		if x != nil && (!(*x > 0) || math.IsInf(*x, 0)) {
			wrong(field, fmt.Sprintf("%v is not above zero", *x), "write a number above 0, or leave it out")
		} else if x != nil {
			return *x
		}
		return 0
	}
	span := func(field string, text *string, into *clock.Time, least time.Duration) {
		if text == nil {
			return
		}
		x, err := time.ParseDuration(*text)
		if err != nil || x < least || x > time.Hour {
			wrong(field, fmt.Sprintf("%q is no span from %v to an hour", *text, least), `write it as "1s" or "90s"`)
			return
		}
		*into = clock.Time(x / time.Microsecond)
	}
	p.OriginReadRate = above("fetches", s.Fetches)
	span("lost_after", s.LostAfter, &p.LostAfter, 500*time.Millisecond) // less is what a busy process stands still for
	span("back_after", s.BackAfter, &p.RecoverAfter, 500*time.Millisecond)
	span("hold", s.Hold, &p.MinStepDuration, 100*time.Millisecond)
	if len(s.Steps) > 0 {
		p.RecoverySteps = s.Steps
		for i, x := range s.Steps {
			if !(x > 0 && x <= 1) || i > 0 && x <= s.Steps[i-1] {
				wrong("steps", fmt.Sprintf("its entry %d, %v, is no part of one above the one before", i+1, x), "write them in order, such as [0.25, 0.5, 1.0]")
				break
			}
		}
		if last := s.Steps[len(s.Steps)-1]; last != 1 {
			wrong("steps", fmt.Sprintf("end at %v, and the site would never be whole again", last), "end them with 1.0")
		}
	}
	names := []string{}
	for i, x := range s.Sites {
		f := fmt.Sprintf("site[%d].", i)
		switch {
		case x.Name == "" || slices.Contains(names, x.Name):
			wrong(f+"name", fmt.Sprintf("%q is empty or there twice", x.Name), "name each site once")
		case len(sites) > 0 && !slices.Contains(sites, x.Name):
			wrong(f+"name", fmt.Sprintf("%q is no site that the routers know", x.Name), fmt.Sprintf("write one of %q", sites))
		}
		names = append(names, x.Name)
		p.Sites = append(p.Sites, sitefailover.SitePlan{Name: sitefailover.Site(x.Name), Capacity: above(f+"bears", x.Bears)})
		for j, name := range x.Prefer {
			if name == x.Name || slices.Contains(x.Prefer[:j], name) || !slices.ContainsFunc(s.Sites, func(y Place) bool { return y.Name == name }) {
				wrong(f+"prefer", fmt.Sprintf("its entry %d, %q, is the site itself, there twice or none of the plan", j+1, name), "name other sites of the plan, the first choice first")
			}
			p.Sites[i].PreferredTargets = append(p.Sites[i].PreferredTargets, sitefailover.Site(name))
		}
	}
	if len(s.Sites) == 1 {
		wrong("site[0].name", "is the only site, and its load could go nowhere", "name all sites, or leave [sites] out")
	}
	if len(s.Sites) == 0 && (s.Fetches != nil || len(s.Steps)+len(s.Loads) > 0 || s.LostAfter != nil || s.BackAfter != nil || s.Hold != nil) {
		wrong("site", "none is there, though other fields of [sites] are set", "add a [[sites.site]] with its name for each site")
	}
	for _, name := range sites {
		if len(s.Sites) > 1 && !slices.Contains(names, name) {
			wrong("site", fmt.Sprintf("%q is not planned for", name), "add a [[sites.site]] with its name")
		}
	}
	for i, x := range s.Loads {
		f := fmt.Sprintf("load[%d].", i)
		if !slices.ContainsFunc(own.Methods, func(m routing.MethodSettings) bool { return m.Name == x.Method }) {
			wrong(f+"method", fmt.Sprintf("%q is no method of the settings", x.Method), "write one of them")
		}
		if x.Tenant != "" && !slices.ContainsFunc(own.Tenants, func(t routing.TenantSettings) bool { return string(t.Name) == x.Tenant }) {
			wrong(f+"tenant", fmt.Sprintf("%q is no tenant of the settings", x.Tenant), "write one of them, or leave it out for all")
		}
		above(f+"rate", &x.Rate)
		p.ExpectedLoads = append(p.ExpectedLoads, sitefailover.ExpectedLoad(x))
	}
	for _, err := range errs {
		if err != nil {
			return sitefailover.Plan{}, err
		}
	}
	return p, nil
}
