package sitefailover

import "cmp"

// Stage is the main part of a site's state. The values are stored.
type Stage string

// The stages of a site.
const (
	Up         Stage = ""
	Lost       Stage = "lost"
	Recovering Stage = "returning"
)

func (s Stage) String() string { return cmp.Or(string(s), "up") }

// decidedByEvidence is the value of Decision.DecidedBy for the Coordinator's decisions.
const decidedByEvidence = "evidence"

// Decision is the most recently decided state of a site. The zero value is that of a site that was never lost.
type Decision struct {
	Stage           Stage       `json:"stage"`
	Step            int         `json:"step"`   // index into Plan.RecoverySteps
	Paused          bool        `json:"held"`   // by an operator: evidence neither starts nor advances the recovery
	RepeatedLosses  int         `json:"fails"`  // losses during or soon after a recovery
	DecidedBy       string      `json:"by"`     // an operator, or "evidence"
	Reason          string      `json:"reason"` // for operators
	FailoverWeights []SiteShare `json:"spare,omitempty"`
	DecidedAt       int64       `json:"at"` // Unix time in microseconds, for operators
	Index           uint64      `json:"index"`
}

// keyShare is the fraction of its keys that the site serves.
func (d Decision) keyShare(plan *Plan) float64 {
	switch d.Stage {
	case Lost:
		return 0
	case Recovering:
		lastStep := len(plan.RecoverySteps) - 1
		return plan.RecoverySteps[min(max(0, d.Step), lastStep)]
	default:
		return 1
	}
}

// Transition is a raft log entry that replaces the decision on a site. It is applied only if the current decision has the index
// PreviousIndex, so that concurrent transitions of one site do not overwrite each other.
type Transition struct {
	Site          Site   `json:"Site"`
	PreviousIndex uint64 `json:"On"`
	Decision
}

// newTransition returns a transition caused by evidence. The caller sets Site, PreviousIndex and FailoverWeights.
func newTransition(decision Decision, reason string) *Transition {
	decision.DecidedBy, decision.Reason = decidedByEvidence, reason
	return &Transition{Decision: decision}
}
