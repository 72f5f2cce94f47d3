package sitefailover

import (
	"fmt"

	"spurtrestle/core/clock"
)

// Status is the leader's state as shown to operators.
type Status struct {
	Now                   clock.Time    `json:"now"`
	Sites                 []SiteStatus  `json:"sites"`
	Capacity              float64       `json:"bears"` // answers per second of all sites together
	MeasuredCapacityRatio float64       `json:"more"`  // highest answered rate as a multiple of the capacity; 0: not measured
	LimitingSite          Site          `json:"binds"` // whose capacity limits the fleet's
	Offered               []OfferedLoad `json:"offered"`
	AdmittedRate          float64       `json:"let"`    // per second
	FailedRate            float64       `json:"lost"`   // admitted requests that failed, per second
	OriginSlowdown        float64       `json:"origin"` // the highest in a Report
	Orders                Orders        `json:"orders"`
}

// SiteStatus is the leader's state of one site.
type SiteStatus struct {
	Decision
	Name             Site    `json:"name"`
	KeyShare         float64 `json:"share"`
	Capacity         float64 `json:"bears"` // answers per second in its current state
	CapacityPlanned  bool    `json:"told"`  // Capacity is from the plan; otherwise it is measured
	Responding       float64 `json:"there"` // fraction of its servers
	Routers          int     `json:"routers"`
	ReportingRouters int     `json:"heard"`
	WaitingFor       string  `json:"waits"` // the condition that the next transition waits for
}

// DisplayStage returns the stage as shown to operators.
func (s SiteStatus) DisplayStage() string {
	switch {
	case s.Stage == Recovering:
		return fmt.Sprintf("returning, step %d", s.Step+1)
	case s.Stage == Up && s.isDegraded():
		return "degraded"
	default:
		return s.Stage.String()
	}
}

// isDegraded reports whether a site is not up, or lacks servers or routers.
func (s SiteStatus) isDegraded() bool {
	missesServers := s.Responding < healthyFraction
	missesRouters := float64(s.ReportingRouters) < healthyFraction*float64(s.Routers)
	return s.Stage != Up || missesServers || missesRouters
}
