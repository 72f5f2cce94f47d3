package routing

import "spurtrestle/core/clock"

// Action is the kind of a Decision. It determines which fields are valid.
type Action int

// The actions and their valid fields.
const (
	Send        Action = iota // Request, Server, After (time-out), StartBy
	Reject                    // Request, After (retry-after; 0: none)
	Fail                      // Request
	Cancel                    // Request, Attempt
	SetTimer                  // After, Timer
	Subscribe                 // request the endpoint list
	HealthCheck               // Server; no rule makes this decision
	CloseIdle                 // Server: close its idle connections
)

// Decision is one action for the caller to carry out.
type Decision struct {
	Action  Action
	Request RequestID
	Server  ServerID
	Attempt Attempt
	After   clock.Duration // the time-out of Send, the retry-after of Reject, the delay of SetTimer
	StartBy clock.Time     // the attempt must not be sent later than this; 0: no bound
	Timer   TimerID
}
