package router

import (
	"slices"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// A request of a limited client that comes while there is no room in the queues waits here if nothing before it on its
// connection is pending. It is pending itself from its last byte on: its id is in use, its time runs, and its client is owed the
// answer. Requests behind it on its connection stay unread.

// waitingRequests holds the requests that wait for room at one kind of server, the oldest first.
type waitingRequests struct {
	arrivals []*requestArrival
	ended    int // of arrivals: no longer waiting
}

// roomWaitDivisor gives the part of a request's time that it may wait for room. A rejection that comes later is a late one, and a
// server needs the rest.
const roomWaitDivisor = 2

// waitForRoom has a request wait until there is room for it, or part of its time is over.
func (r *Router) waitForRoom(arrival *requestArrival) {
	waiting := &r.waitingRequests[r.targetOf(arrival.request.Write)]
	waiting.arrivals = append(waiting.arrivals, arrival)
	arrival.request.waiting = arrival
	waitEnd := arrival.startedAt + r.usefulTime(arrival.event.Method, arrival.timeout)/roomWaitDivisor
	arrival.waitTimer = r.after(max(0, waitEnd-r.clock()), func() { r.endWait(arrival) })
}

// usefulTime returns for how long the answer to a request is useful.
func (r *Router) usefulTime(method routing.Method, timeout clock.Duration) clock.Duration {
	if objective := r.cfg.Settings.Methods[method].LatencyBudget; objective > 0 {
		return min(timeout, objective)
	}
	return timeout
}

// beginWaiting begins the requests for which there is room now.
func (r *Router) beginWaiting() {
	for target := range limitTargetCount {
		waiting := &r.waitingRequests[target]
		for len(waiting.arrivals) > 0 && r.queueRoom(target) > 0 {
			arrival := waiting.removeFirst()
			if arrival.request.waiting == nil {
				waiting.ended--
				continue
			}
			r.cancelTimer(arrival.waitTimer)
			arrival.request.waiting = nil
			r.begin(arrival, true)
		}
	}
}

// endWait has package routing reject a request that has waited for too long.
func (r *Router) endWait(arrival *requestArrival) {
	r.stopWaiting(arrival.request)
	arrival.expired = true
	r.begin(arrival, false)
}

// endAllWaits does so for all requests that wait.
func (r *Router) endAllWaits() {
	for target := range r.waitingRequests {
		for _, arrival := range slices.Clone(r.waitingRequests[target].arrivals) {
			if arrival.request.waiting != nil {
				r.endWait(arrival)
			}
		}
	}
}

// stopWaiting records that a request no longer waits, if it does.
func (r *Router) stopWaiting(request *pendingRequest) {
	if request.waiting == nil {
		return
	}
	r.cancelTimer(request.waiting.waitTimer)
	request.waiting = nil
	waiting := &r.waitingRequests[r.targetOf(request.Write)]
	waiting.ended++
	if 2*waiting.ended > len(waiting.arrivals) {
		waiting.removeEnded()
	}
}

func (w *waitingRequests) removeFirst() *requestArrival {
	first := w.arrivals[0]
	w.arrivals[0] = nil
	w.arrivals = w.arrivals[1:]
	return first
}

func (w *waitingRequests) removeEnded() {
	w.arrivals = slices.DeleteFunc(w.arrivals, func(arrival *requestArrival) bool { return arrival.request.waiting == nil })
	w.ended = 0
}

// timeStart returns when the time of the client's next request begins to count: with its last byte, or with the reply before it
// if that was written later. It is 0, for the time at which the request begins, if such a reply is pending.
func (c *client) timeStart() clock.Time {
	if !c.hasNoPendingReplies() {
		return 0
	}
	return max(c.receivedAt, c.lastSentAt)
}
