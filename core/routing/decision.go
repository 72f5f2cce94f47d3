package routing

import "spurtrestle/core/clock"

// Action is the kind of a Decision; it says which of its fields count.
type Action int

// The actions, and the fields that count.
const (
	Send        Action = iota // Request, Server, After (time-out), StartBy
	Reject                    // Request, After (retry-after; 0: none)
	Fail                      // Request
	Cancel                    // Request, Attempt
	SetTimer                  // After, Timer
	Subscribe                 // request the endpoint list
	HealthCheck               // Server
	CloseIdle                 // Server: close its idle connections
)

// Decision is one thing to do now.
type Decision struct {
	Action  Action
	Request RequestID
	Server  ServerID
	Attempt Attempt
	After   clock.Duration
	StartBy clock.Time // of an attempt: it is not started later than that; 0: no bound
	Timer   TimerID
}
