package sitefailover

import (
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// Site is the name of a site.
type Site string

// Plan is the operators' plan for the loss of a site. The zero value disables failover.
type Plan struct {
	Sites           []SitePlan
	OriginReadRate  float64        // reads per second that the origin can answer; 0: unknown, so that the fleet has no limit
	RecoverySteps   []float64      // fractions of its keys that a recovering site serves, ascending up to 1; not empty if there are sites
	LostAfter       clock.Duration // minimum duration of the evidence of a loss
	RecoverAfter    clock.Duration // minimum duration of the evidence of a recovery; doubled by each repeated loss
	MinStepDuration clock.Duration // of a recovery step
	ExpectedLoads   []ExpectedLoad // for forecasts
}

// SitePlan is the plan for one site.
type SitePlan struct {
	Name             Site
	Capacity         float64 // answers per second of all its cache servers; 0: use the highest recent rate
	PreferredTargets []Site  // sites that get its load first while it is lost; empty: distribute by free capacity
}

// ExpectedLoad is the expected rate of one kind of request.
type ExpectedLoad struct {
	Method string
	Tenant string // empty: all tenants, by their shares
	Rate   float64
}

const (
	defaultLostAfter       = 1 * clock.Second
	defaultRecoverAfter    = 3 * clock.Second
	defaultMinStepDuration = 500 * clock.Millisecond
	defaultRecoverySteps   = 8 // of equal size, to limit the cache misses in each step
)

// DefaultPlan returns a plan without sites that has the default timings and steps.
func DefaultPlan() Plan {
	plan := Plan{
		LostAfter:       defaultLostAfter,
		RecoverAfter:    defaultRecoverAfter,
		MinStepDuration: defaultMinStepDuration,
	}
	for step := range defaultRecoverySteps {
		plan.RecoverySteps = append(plan.RecoverySteps, float64(step+1)/defaultRecoverySteps)
	}
	return plan
}

// Enabled reports whether the plan has any site.
func (p *Plan) Enabled() bool { return len(p.Sites) > 0 }

// SiteNames returns the names of the planned sites, sorted.
func (p *Plan) SiteNames() []Site {
	names := map[Site]bool{}
	for _, site := range p.Sites {
		names[site.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func (p *Plan) contains(name Site) bool {
	return slices.ContainsFunc(p.Sites, func(site SitePlan) bool { return site.Name == name })
}

// isLastSite reports whether every planned site other than name is lost.
func (p *Plan) isLastSite(name Site, decisions map[Site]Decision) bool {
	return !slices.ContainsFunc(p.Sites, func(site SitePlan) bool {
		return site.Name != name && decisions[site.Name].Stage != Lost
	})
}
