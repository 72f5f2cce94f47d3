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
	HealthCheck               // Server; no rule decides it
	CloseIdle                 // Server: close its idle connections
)

// Decision is one thing to do now.
type Decision struct {
	Action  Action
	Request RequestID
	Server  ServerID
	Attempt Attempt
	After   clock.Duration // of Send the time-out, of Reject the retry-after, of SetTimer the delay
	StartBy clock.Time     // of an attempt: it is not started later than that; 0: no bound
	Timer   TimerID
}
