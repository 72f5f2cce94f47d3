package router

import (
	"fmt"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// addEvent adds an event to the next batch, and schedules that batch if it is the first one.
func (r *Router) addEvent(event routing.Event) {
	r.pendingEvents = append(r.pendingEvents, event)
	r.queueBatch()
}

func (r *Router) queueBatch() {
	if !r.batchQueued {
		r.batchQueued = true
		r.runAsync(r.runBatch)
	}
}

// runBatch reads the clock once, passes the collected events and those of due timers to package routing, and
// carries out its decisions. Events that this causes go into the next batch.
func (r *Router) runBatch() {
	r.batchQueued = true // events of due timers go into this batch
	previous := r.batchTime
	if r.batchTime = r.clock(); r.batchTime-previous > r.limits.StallThreshold {
		r.log.WithField("for", toDuration(r.batchTime-previous)).Warn("the loop stood still; what waited in the sockets counts as come when it began to")
		r.stallStart, r.stallGraceEnd = previous, r.batchTime+r.limits.IdleClientEvictionAge
	}
	r.updateLag(previous)
	r.counts.Batches++
	r.sockets.batches++
	r.fireTimers(r.batchTime)
	events := r.pendingEvents
	r.pendingEvents, r.batchQueued, r.unbatchedRequests = nil, false, 0
	r.decisions = r.decisions[:0]
	r.expireFleetLimits()
	for _, event := range events {
		if arrival, ok := event.(*requestArrival); ok {
			event = arrival.atTime(r.arrivalTime())
		}
		r.decisions = append(r.decisions, r.core.Step(r.batchTime, event)...)
	}
	r.applyDecisions(r.decisions)
	for _, event := range events {
		if left, ok := event.(routing.ClientDisconnected); ok && r.requests[left.Request] != nil {
			r.requests[left.Request].departurePending = false
			r.releaseRequest(r.requests[left.Request])
		}
	}
	r.beginWaiting()
	r.resumeStalledClients()
	r.dialForWaiting()
	if r.batchTime-r.operator.statsAt >= r.limits.MetricsInterval {
		r.publishStats()
	}
	r.setAlarm()
	if r.takeover.handingOver {
		r.handOverClients()
	}
	if r.isClosingClients() {
		r.closeIdleClients()
	}
}

// arrivalTime returns the earliest time at which a request that has just been read may have arrived. After a pause
// longer than its clients wait, the process found their requests in its sockets, treated them as new, and sent
// them on after their deadline.
func (r *Router) arrivalTime() clock.Time {
	if r.batchTime < r.stallGraceEnd {
		return r.stallStart
	}
	return r.batchTime
}

func (r *Router) applyDecisions(decisions []routing.Decision) {
	for _, decision := range decisions {
		switch decision.Action {
		case routing.Send:
			r.beginAttempt(decision)
		case routing.Reject:
			r.rejectRequest(decision.Request, decision.After)
		case routing.Fail:
			r.failRequest(decision.Request)
		case routing.Cancel:
			r.cancelAttempt(decision.Request, decision.Attempt)
		case routing.SetTimer:
			ref := decision.Timer
			r.after(decision.After, func() { r.addEvent(routing.TimerFired{Timer: ref}) })
		case routing.Subscribe:
			if r.watch != nil {
				r.watch.startCall()
			}
		case routing.CloseIdle:
			if s := r.servers[decision.Server]; s != nil {
				r.closeIdleConnections(s)
			}
		default:
			r.log.Error(fmt.Sprintf("unknown decision of package routing: %+v", decision))
		}
	}
}
