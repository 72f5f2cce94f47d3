package router

import (
	"slices"

	"spurtrestle/core/clock"
)

// catchUp is how long a loop that was late once may still find old news in its sockets: hundreds of requests take some of it.
const catchUp = clock.Time(1e6)

// noteLag notes that the loop comes late to what waits in its sockets, as after a pause of the process or with too little of a core.
func (r *Router) noteLag(since clock.Time) {
	if r.now-since > r.lim.LoopLagThreshold {
		r.behindUntil = r.now + catchUp
	}
}

// hasGone tells, while the loop is late, whether the client of a request has closed its connection or cancelled, and that is not read
// yet. Of some hundred sockets that wait for the loop it reads requests before it comes to the ends behind others, and began attempts
// for clients that had gone long before. Otherwise ends are read in time, and the call is spared.
func (r *Router) hasGone(q *request) bool {
	if q.over || r.now >= r.behindUntil {
		return false
	}
	switch from := q.from.(type) {
	case *client:
		return from.conn != nil && hungUp(from.conn.Fd())
	case *ExternalRequest:
		return from.withdrawn.Load() || from.ClientGone != nil && from.ClientGone()
	}
	return false
}

// unreadRecheck is how long an attempt waits for a front that has something to read.
const unreadRecheck = clock.Millisecond

// mayHaveGone reports, while the loop is late, whether the end of a request's client may lie where its front has not read it yet.
func (r *Router) mayHaveGone(q *request) bool {
	offer, isOffer := q.from.(*ExternalRequest)
	return isOffer && !q.over && r.now < r.behindUntil && offer.HasUnreadInput != nil && offer.HasUnreadInput()
}

// connectAfterFront gives an attempt a connection once its request's front has had a moment to read.
func (r *Router) connectAfterFront(w *attempt) {
	r.after(unreadRecheck, func() {
		if slices.Contains(w.q.attempts, w) && w.up == nil {
			r.connect(w)
		}
	})
}
