package router

import (
	"slices"

	"spurtrestle/core/clock"
)

// catchUp is how long a loop that was late once may still find old news in its sockets: hundreds of requests take some of it.
const lagGracePeriod = clock.Time(1e6)

// noteLag notes that the loop comes late to what waits in its sockets, as after a pause of the process or with too little of a core.
func (r *Router) updateLag(since clock.Time) {
	if r.batchTime-since > r.limits.LoopLagThreshold {
		r.laggingUntil = r.batchTime + lagGracePeriod
	}
}

// hasGone tells, while the loop is late, whether the client of a request has closed its connection or cancelled, and that is not read
// yet. Of some hundred sockets that wait for the loop it reads requests before it comes to the ends behind others, and began attempts
// for clients that had gone long before. Otherwise ends are read in time, and the call is spared.
func (r *Router) clientGone(request *pendingRequest) bool {
	if request.finished || r.batchTime >= r.laggingUntil {
		return false
	}
	switch from := request.responder.(type) {
	case *client:
		return from.conn != nil && peerHungUp(from.conn.Fd())
	case *ExternalRequest:
		return from.withdrawn.Load() || from.ClientGone != nil && from.ClientGone()
	}
	return false
}

// unreadRecheck is how long an attempt waits for a front that has something to read.
const clientRecheckDelay = clock.Millisecond

// mayHaveGone reports, while the loop is late, whether the end of a request's client may lie where its front has not read it yet.
func (r *Router) clientMayBeGone(request *pendingRequest) bool {
	offer, isOffer := request.responder.(*ExternalRequest)
	return isOffer && !request.finished && r.batchTime < r.laggingUntil && offer.HasUnreadInput != nil && offer.HasUnreadInput()
}

// connectAfterFront gives an attempt a connection once its request's front has had a moment to read.
func (r *Router) recheckClientThenConnect(attempt *activeAttempt) {
	r.after(clientRecheckDelay, func() {
		if slices.Contains(attempt.request.attempts, attempt) && attempt.conn == nil {
			r.connectAttempt(attempt)
		}
	})
}
