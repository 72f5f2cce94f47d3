package membership

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// Event is a kind of change of a view. Its text is logged.
type Event string

// The events that are not the entry into a state; those are named after the state.
const (
	EventNewIncarnation    Event = "new incarnation"
	EventDraining          Event = "draining"
	EventDrainEnded        Event = "no longer draining"
	EventAccepting         Event = "accepting clients"
	EventNotAccepting      Event = "not accepting clients"
	EventPolicyChanged     Event = "policy changed"
	EventDuplicateName     Event = "duplicate name"
	EventDuplicateResolved Event = "duplicate name resolved"
	EventForgotten         Event = "forgotten"
	EventStalled           Event = "process stalled; view is stale"
)

// Change is a change of the view, to be logged.
type Change struct {
	Router         Name
	Event          Event
	Warning        bool           // it requires an operator's attention
	Owner          *Member        // of the name; nil for EventForgotten and EventStalled
	PolicyRevision uint64         // of the owner
	StalledFor     clock.Duration // for EventStalled
}

// reportedState is the part of a router's state whose changes are logged.
type reportedState struct {
	state          State
	incarnation    Incarnation
	duplicated     bool
	accepting      bool
	draining       bool
	policyRevision uint64
}

func (o nameOwner) reportedState() reportedState {
	return reportedState{
		state:          o.routerState,
		incarnation:    o.Incarnation,
		duplicated:     o.duplicated,
		accepting:      o.heartbeat.Accepting,
		draining:       o.heartbeat.Draining,
		policyRevision: o.heartbeat.PolicyRevision,
	}
}

// collectChanges returns the changes since the last call, ordered by router.
func (v *View) collectChanges() []Change {
	var changes []Change
	seen := map[Name]bool{}
	for name, processes := range v.processesByName() {
		seen[name] = true
		owner := ownerOf(processes)
		before, current := v.reported[name], owner.reportedState()
		v.reported[name] = current
		event := eventBetween(before, current)
		if event == "" {
			continue
		}
		member := owner.Member
		changes = append(changes, Change{
			Router:         name,
			Event:          event,
			Warning:        current.state == Lost || event == EventDuplicateName,
			Owner:          &member,
			PolicyRevision: current.policyRevision,
		})
	}
	for name := range v.reported {
		if !seen[name] {
			delete(v.reported, name)
			changes = append(changes, Change{Router: name, Event: EventForgotten})
		}
	}
	if v.stalledFor > 0 {
		changes = append(changes, Change{Router: v.self.Name, Event: EventStalled, Warning: true, StalledFor: v.stalledFor})
		v.stalledFor = 0
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Router, b.Router) })
	return changes
}

// eventBetween returns the most important difference between two states of a router, or "" if there is nothing to log. The zero
// state is that of an unknown router.
func eventBetween(before, current reportedState) Event {
	switch {
	case before == current:
		return ""
	case current.duplicated && !before.duplicated:
		return EventDuplicateName
	case before.state != current.state:
		return Event(current.state.String())
	case before.incarnation != current.incarnation:
		return EventNewIncarnation
	case current.state != Alive:
		return ""
	case !before.draining && current.draining:
		return EventDraining
	case before.draining && !current.draining:
		return EventDrainEnded
	case !before.accepting && current.accepting:
		return EventAccepting
	case before.accepting && !current.accepting:
		return EventNotAccepting
	case before.policyRevision != current.policyRevision:
		return EventPolicyChanged
	default: // only before.duplicated remains
		return EventDuplicateResolved
	}
}
