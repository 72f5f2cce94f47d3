package policy

import (
	"fmt"
	"slices"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
)

const (
	minEvidenceDuration = 500 * time.Millisecond // longer than the stall of a busy process
	minStepDuration     = 100 * time.Millisecond
	maxSiteDuration     = time.Hour
)

// Sites is the section of a document that plans for the loss of a site.
type Sites struct {
	OriginReadRate  *float64  `toml:"fetches"` // reads per second that the origin sustains
	RecoverySteps   []float64 `toml:"steps"`   // fractions of its keys that a recovering site gets, in order
	LostAfter       *string   `toml:"lost_after"`
	RecoverAfter    *string   `toml:"back_after"`
	MinStepDuration *string   `toml:"hold"`
	Sites           []Site    `toml:"site"`
	Loads           []Load    `toml:"load"` // expected load, for forecasts of a failover
}

// Site configures one site of the plan.
type Site struct {
	Name             string   `toml:"name"`
	Capacity         *float64 `toml:"bears"`  // answers per second
	PreferredTargets []string `toml:"prefer"` // sites that receive its load first if it is lost
}

// Load is the expected load of a method.
type Load struct {
	Method string  `toml:"method"`
	Tenant string  `toml:"tenant"` // if empty, the load is divided among all tenants by their shares
	Rate   float64 `toml:"rate"`   // requests per second
}

// Plan returns the document's plan for the loss of a site. sites has all sites that the settings name; it is empty if they name
// none.
func (d Document) Plan(own routing.Settings, sites []string) (sitefailover.Plan, error) {
	plan := sitefailover.DefaultPlan()
	c := &siteChecker{checker: &checker{document: d}, sites: d.Sites, plan: &plan}
	c.applyTiming()
	c.applyRecoverySteps()
	c.applySites(sites)
	c.checkCompleteness(sites)
	c.applyLoads(own)
	if c.checker.err != nil {
		return sitefailover.Plan{}, c.checker.err
	}
	return plan, nil
}

// siteChecker validates the section [sites] of a document and copies it into a plan.
type siteChecker struct {
	checker *checker
	sites   Sites
	plan    *sitefailover.Plan
}

func (c *siteChecker) reject(field, problem, remedy string) {
	c.checker.reject("sites."+field, problem, remedy)
}

// positive returns a value that must be above 0, or 0 if it is not set.
func (c *siteChecker) positive(field string, value *float64) float64 {
	result := 0.0
	c.checker.positive("sites."+field, value, &result, "write a number above 0, or leave it out")
	return result
}

// duration parses and copies a value from shortest to maxSiteDuration. Its bounds and error text differ from those of
// checker.duration for compatibility with earlier releases.
func (c *siteChecker) duration(field string, value *string, into *clock.Duration, shortest time.Duration) {
	if value == nil {
		return
	}
	duration, err := time.ParseDuration(*value)
	if err != nil || duration < shortest || duration > maxSiteDuration {
		c.reject(field, fmt.Sprintf("%q is no span from %v to an hour", *value, shortest), `write it as "1s" or "90s"`)
		return
	}
	*into = clock.Duration(duration / time.Microsecond)
}

func (c *siteChecker) applyTiming() {
	c.plan.OriginReadRate = c.positive("fetches", c.sites.OriginReadRate)
	c.duration("lost_after", c.sites.LostAfter, &c.plan.LostAfter, minEvidenceDuration)
	c.duration("back_after", c.sites.RecoverAfter, &c.plan.RecoverAfter, minEvidenceDuration)
	c.duration("hold", c.sites.MinStepDuration, &c.plan.MinStepDuration, minStepDuration)
}

func (c *siteChecker) applyRecoverySteps() {
	steps := c.sites.RecoverySteps
	if len(steps) == 0 {
		return
	}
	c.plan.RecoverySteps = steps
	for i, step := range steps {
		isFraction := step > 0 && step <= 1
		isAscending := i == 0 || step > steps[i-1]
		if !isFraction || !isAscending {
			c.reject("steps", fmt.Sprintf("its entry %d, %v, is no part of one above the one before", i+1, step), "write them in order, such as [0.25, 0.5, 1.0]")
			break
		}
	}
	if last := steps[len(steps)-1]; last != 1 {
		c.reject("steps", fmt.Sprintf("end at %v, and the site would never be whole again", last), "end them with 1.0")
	}
}

func (c *siteChecker) applySites(known []string) {
	var names []string
	for i, site := range c.sites.Sites {
		prefix := fmt.Sprintf("site[%d].", i)
		switch {
		case site.Name == "" || slices.Contains(names, site.Name):
			c.reject(prefix+"name", fmt.Sprintf("%q is empty or there twice", site.Name), "name each site once")
		case len(known) > 0 && !slices.Contains(known, site.Name):
			c.reject(prefix+"name", fmt.Sprintf("%q is no site that the routers know", site.Name), fmt.Sprintf("write one of %q", known))
		}
		names = append(names, site.Name)
		c.plan.Sites = append(c.plan.Sites, sitefailover.SitePlan{
			Name:             sitefailover.Site(site.Name),
			Capacity:         c.positive(prefix+"bears", site.Capacity),
			PreferredTargets: c.preferredTargets(prefix, site),
		})
	}
}

func (c *siteChecker) preferredTargets(prefix string, site Site) []sitefailover.Site {
	var targets []sitefailover.Site
	for i, name := range site.PreferredTargets {
		isRepeated := slices.Contains(site.PreferredTargets[:i], name)
		if name == site.Name || isRepeated || !c.hasSite(name) {
			c.reject(prefix+"prefer", fmt.Sprintf("its entry %d, %q, is the site itself, there twice or none of the plan", i+1, name),
				"name other sites of the plan, the first choice first")
		}
		targets = append(targets, sitefailover.Site(name))
	}
	return targets
}

func (c *siteChecker) hasSite(name string) bool {
	return slices.ContainsFunc(c.sites.Sites, func(site Site) bool { return site.Name == name })
}

// checkCompleteness checks that the plan is either empty or has all known sites, and more than one.
func (c *siteChecker) checkCompleteness(known []string) {
	if len(c.sites.Sites) == 1 {
		c.reject("site[0].name", "is the only site, and its load could go nowhere", "name all sites, or leave [sites] out")
	}
	if len(c.sites.Sites) == 0 && c.sites.hasOtherFields() {
		c.reject("site", "none is there, though other fields of [sites] are set", "add a [[sites.site]] with its name for each site")
	}
	for _, name := range known {
		if len(c.sites.Sites) > 1 && !c.hasSite(name) {
			c.reject("site", fmt.Sprintf("%q is not planned for", name), "add a [[sites.site]] with its name")
		}
	}
}

func (s Sites) hasOtherFields() bool {
	hasTiming := s.LostAfter != nil || s.RecoverAfter != nil || s.MinStepDuration != nil
	return hasTiming || s.OriginReadRate != nil || len(s.RecoverySteps) > 0 || len(s.Loads) > 0
}

func (c *siteChecker) applyLoads(own routing.Settings) {
	for i, load := range c.sites.Loads {
		prefix := fmt.Sprintf("load[%d].", i)
		if !slices.ContainsFunc(own.Methods, func(m routing.MethodSettings) bool { return m.Name == load.Method }) {
			c.reject(prefix+"method", fmt.Sprintf("%q is no method of the settings", load.Method), "write one of them")
		}
		isTenant := slices.ContainsFunc(own.Tenants, func(t routing.TenantSettings) bool { return string(t.Name) == load.Tenant })
		if load.Tenant != "" && !isTenant {
			c.reject(prefix+"tenant", fmt.Sprintf("%q is no tenant of the settings", load.Tenant), "write one of them, or leave it out for all")
		}
		c.positive(prefix+"rate", &load.Rate)
		c.plan.ExpectedLoads = append(c.plan.ExpectedLoads, sitefailover.ExpectedLoad{Method: load.Method, Tenant: load.Tenant, Rate: load.Rate})
	}
}
