// Package routing holds every decision of a router: which server gets a request, how long to wait, whether to try again,
// and what is refused. New starts a router on its settings and seed; Step takes one input at a clock time and returns what
// to do now, in order, in a slice that the next Step reuses. A router keeps to itself: no I/O, clock, goroutine or global,
// and the same inputs always give the same decisions.
//
// The decisions, a file for each job: request.go (the rules for one request, in order), selection.go (which cache),
// hotkeys.go (shares of hot keys), retry.go, admission.go (refusals and bounds), origin.go, coldstart.go, health.go and
// inputs.go. The others decide nothing: engine.go goes through the rules, types.go has the inputs, settings and decisions,
// state.go the state by how long it lives, measure.go counters and hashes, figures.go and knowledge.go what the fleet and
// the next process are told.
package routing
