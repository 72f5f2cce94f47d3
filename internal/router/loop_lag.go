package router

import (
	"slices"

	"spurtrestle/core/clock"
)

// lagGracePeriod is how long a loop that was late may still find outdated input in its sockets: working off
// hundreds of requests takes a good part of it.
const lagGracePeriod = clock.Time(1e6)

// updateLag records that the loop is late in reading its sockets, as after a pause of the process or when it gets
// too little CPU.
func (r *Router) updateLag(since clock.Time) {
	if r.batchTime-since > r.limits.LoopLagThreshold {
		r.laggingUntil = r.batchTime + lagGracePeriod
	}
}

// clientGone reports, while the loop is late, whether a request's client has disconnected or canceled without the
// loop having read that. With some hundred sockets ready, the loop reads requests before it gets to disconnects on
// other sockets, and used to begin attempts for clients long gone. When the loop is not late, disconnects are read
// in time, and the system call is saved.
func (r *Router) clientGone(request *pendingRequest) bool {
	if request.finished || r.batchTime >= r.laggingUntil {
		return false
	}
	switch responder := request.responder.(type) {
	case *client:
		return responder.isOpen() && peerHungUp(responder.fd())
	case *ExternalRequest:
		return responder.withdrawn.Load() || responder.ClientGone != nil && responder.ClientGone()
	}
	return false
}

// clientRecheckDelay is how long an attempt waits for a front end that has unread input.
const clientRecheckDelay = clock.Millisecond

// clientMayBeGone reports, while the loop is late, whether the end of a request's client may be in input that its
// front end has not read yet.
func (r *Router) clientMayBeGone(request *pendingRequest) bool {
	external, isExternal := request.responder.(*ExternalRequest)
	return isExternal && !request.finished && r.batchTime < r.laggingUntil && external.HasUnreadInput != nil && external.HasUnreadInput()
}

// recheckClientThenConnect connects an attempt after its request's front end has had time to read.
func (r *Router) recheckClientThenConnect(attempt *activeAttempt) {
	r.after(clientRecheckDelay, func() {
		if slices.Contains(attempt.request.attempts, attempt) && attempt.conn == nil {
			r.connectAttempt(attempt)
		}
	})
}
