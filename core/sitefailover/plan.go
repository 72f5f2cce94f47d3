// Package sitefailover decides what a fleet does when a whole site is lost: which site counts as lost and when it is back, how
// much of its keys a returning site has, and what all routers refuse meanwhile. It does no I/O and knows no clock; the
// time is an argument, in microseconds of a clock that never goes back.
//
// One process decides, the leader of the keepers (package policycommit): each router's report comes with its asking, and the
// orders go out with the grants, so that all routers keep to the same ones. What a site counts as is an entry of the
// keepers' log, and outlives the leader. A router that has had no orders for a while goes by its own evidence.
//
// The files: this one what operators plan and what is ruled on a site; coordinator.go the leader's side; shed.go what is let in;
// rehearse.go what a loss would be like, beforehand.
package sitefailover

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// Site names a site.
type Site string

// Rank orders requests by what is refused last: millionths of the highest worth, and one. What is of a tenant over its share, and what
// was refused before, has less.
type Rank int

// Plan is what operators have planned. The zero value: nothing.
type Plan struct {
	Sites           []SitePlan
	OriginReadRate  float64        // that the origin bears for reads, a second; 0: not told, and there is no bound beside each router's own
	RecoverySteps   []float64      // parts of its keys that a returning site has, one after the other; the last is 1
	LostAfter       clock.Time     // for so long the evidence must hold
	RecoverAfter    clock.Time     // and that of its return; each loss that follows soon doubles it
	MinStepDuration clock.Time     // a step takes so long at least
	ExpectedLoads   []ExpectedLoad // for rehearsals
}

// Place is one site of a plan.
type SitePlan struct {
	Name             Site
	Capacity         float64 // answers a second of all its cache servers; 0: as many as were seen lately
	PreferredTargets []Site  // where its load goes first while it is lost; empty: by what each has to spare
}

// Load is a part of what is asked for.
type ExpectedLoad struct {
	Method string
	Tenant string // empty: all, by their shares
	Rate   float64
}

// On tells whether anything is planned.
func (p *Plan) Enabled() bool { return len(p.Sites) > 0 }

// DefaultPlan has the spans and steps of a plan that says nothing of them.
func DefaultPlan() Plan {
	return Plan{
		// Longer than a stall of a process that is busy, and short against what requests in hand can bear.
		LostAfter:    1e6,
		RecoverAfter: 3e6,
		// A quarter, a half and all had a dip of a seventh of the service at the last step, when half of the keys of a site
		// whose servers counted as warm had to be fetched at once; by eighths it was a third of that.
		RecoverySteps:   []float64{0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1},
		MinStepDuration: 500e3,
	}
}

// Stage is what a site counts as.
type Stage string

// The stages that are ruled on. Degraded is none: it is seen, and nothing but the capacity hangs on it.
const (
	Up         Stage = ""
	Lost       Stage = "lost"
	Recovering Stage = "returning"
)

func (s Stage) String() string { return cmp.Or(string(s), "up") }

// Decision is what was decided on a site; the zero value is that it is up, which nobody had to decide.
type Decision struct {
	Stage           Stage       `json:"stage"`
	Step            int         `json:"step"`  // of the return
	Paused          bool        `json:"held"`  // by an operator: no step is taken, and no return begins
	RepeatedLosses  int         `json:"fails"` // losses that followed soon on a return
	DecidedBy       string      `json:"by"`    // an operator, or "evidence"
	Reason          string      `json:"reason"`
	FailoverWeights []SiteShare `json:"spare,omitempty"` // how its keys go to the others, by weights of their servers; none: evenly
	DecidedAt       int64       `json:"at"`              // by the wall clock, in microseconds since 1970, for people
	Index           uint64      `json:"index"`
}

// share is the part of its keys that a site may have.
func (r Decision) share(p *Plan) float64 {
	switch r.Stage {
	case Lost:
		return 0
	case Recovering:
		return p.RecoverySteps[min(max(0, r.Step), len(p.RecoverySteps)-1)]
	}
	return 1
}

// Offer is what comes in of one rank.
type OfferedLoad struct {
	Rank Rank    `json:"k"`
	Rate float64 `json:"r"` // a second
}

// Seen is what a router sees of a site's cache servers.
type SiteObservation struct {
	Site            Site    `json:"s"`
	ExpectedServers int     `json:"u"` // as many as have been listed at once lately
	ListedServers   int     `json:"l"` // now
	SilentServers   int     `json:"q"` // of these
	AnswerRate      float64 `json:"a"` // a second
}

// there is the part of the usual servers that answer, as far as this router knows.
func (s SiteObservation) there() float64 {
	return min(1, float64(max(0, s.ListedServers-s.SilentServers))/float64(max(1, s.ExpectedServers)))
}

// Report is what a router tells of about the last second.
type Report struct {
	Site            Site              `json:"site"`
	Offered         []OfferedLoad     `json:"offered"`
	AdmittedRate    float64           `json:"let"`    // requests a second that were let in and have ended
	FailedRate      float64           `json:"lost"`   // of these: given up
	AdmittedWeight  float64           `json:"worth"`  // of what was let in, a second
	FailedWeight    float64           `json:"missed"` // of this: given up
	OriginSlowdown  float64           `json:"origin"` // the time of its answers over what it should be; 0: not known
	AdmissionTarget float64           `json:"target"` // of the orders that it keeps to
	Observations    []SiteObservation `json:"seen"`
}

// Orders are what all routers keep to.
type Orders struct {
	KeyShares       []SiteShare `json:"shares,omitempty"` // of sites that are not up
	FailoverWeights []SiteShare `json:"spare,omitempty"`  // weights of sites for the keys of those
	MinRank         Rank        `json:"least"`            // less is refused
	MinRankFraction float64     `json:"some"`             // of what has just that rank so much is let in
	RetryAfter      clock.Time  `json:"back"`             // what is refused is to come back within so long
	OriginReadRate  float64     `json:"fetches"`          // at the origin for reads, a second, of all routers; 0: no bound
	AdmissionTarget float64     `json:"target"`           // requests a second that are let in; 0: all
}

// Share is the part of its keys that a site's cache servers may have.
type SiteShare struct {
	Site     Site    `json:"s"`
	Fraction float64 `json:"p"`
}

// None tells that the orders ask for nothing.
func (o *Orders) Empty() bool {
	return len(o.KeyShares) == 0 && o.AdmissionTarget == 0 && o.OriginReadRate == 0
}

// Memory keeps how many cache servers a site has had lately, which a list no longer tells once they are gone.
type ServerCounts struct {
	most map[Site][]count
}

type count struct {
	at clock.Time
	n  int
}

const remembered = 600e6 // longer than an outage during which somebody has to look at the figures

// Note fills in what is usual.
func (m *ServerCounts) Record(now clock.Time, all []SiteObservation) []SiteObservation {
	if m.most == nil {
		m.most = map[Site][]count{}
	}
	for _, s := range all {
		// Only what nothing later surpasses counts.
		kept := slices.DeleteFunc(m.most[s.Site], func(c count) bool { return c.n <= s.ListedServers || now-c.at > remembered })
		m.most[s.Site] = append(kept, count{now, s.ListedServers})
	}
	out := make([]SiteObservation, 0, len(m.most))
	for site, counts := range m.most {
		seen := SiteObservation{Site: site}
		if i := slices.IndexFunc(all, func(s SiteObservation) bool { return s.Site == site }); i >= 0 {
			seen = all[i]
		}
		seen.ExpectedServers = max(seen.ListedServers, counts[0].n)
		out = append(out, seen)
	}
	slices.SortFunc(out, func(a, b SiteObservation) int { return cmp.Compare(a.Site, b.Site) })
	return out
}
