package sitefailover

import "fmt"

// Action is an operator's command on a site.
type Action string

// The actions of an operator.
const (
	ActionLose    Action = "lost" // treat the site as lost until ActionRecover
	ActionRecover Action = "back" // begin the recovery without waiting for evidence
	ActionPause   Action = "hold" // pause the recovery
	ActionResume  Action = "go"   // resume the recovery
)

// Command is an operator's request to change the state of a site.
type Command struct {
	Site   Site
	Action Action
	Author string
	Reason string
}

// Transition returns the transition that executes the command, or an error if the site's decision does not allow it. The error
// texts are part of the admin endpoint's replies and must not change.
func (c Command) Transition(plan *Plan, decisions map[Site]Decision) (*Transition, error) {
	if !plan.contains(c.Site) {
		return nil, fmt.Errorf("%q is no site of the plan; cache-routerctl fleet site status names them", c.Site)
	}
	current := decisions[c.Site]
	transition := &Transition{Site: c.Site, PreviousIndex: current.Index, Decision: current}
	transition.DecidedBy, transition.Reason = c.Author, c.Reason
	switch c.Action {
	case ActionLose:
		if plan.isLastSite(c.Site, decisions) {
			return nil, fmt.Errorf("%s is the only site that is not lost: its load could go nowhere", c.Site)
		}
		transition.Stage, transition.Step, transition.Paused = Lost, 0, true
	case ActionRecover:
		if current.Stage == Up {
			return nil, fmt.Errorf("%s is up", c.Site)
		}
		transition.Stage, transition.Step, transition.Paused, transition.RepeatedLosses = Recovering, 0, false, 0
	case ActionPause, ActionResume:
		if current.Stage == Up {
			return nil, fmt.Errorf("%s is up: there is no return to hold", c.Site)
		}
		transition.Paused = c.Action == ActionPause
	default:
		return nil, fmt.Errorf("%q is none of lost, back, hold, go", c.Action)
	}
	return transition, nil
}
