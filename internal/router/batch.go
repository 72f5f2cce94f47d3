package router

import (
	"fmt"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// input gathers one input; the first of a round queues the batch.
func (r *Router) input(ev routing.Event) {
	r.inputs = append(r.inputs, ev)
	r.queue()
}

func (r *Router) queue() {
	if !r.queued {
		r.queued = true
		r.execute(r.batch)
	}
}

// batch takes the clock once, hands over what was gathered and what is due, and carries out what came back. What that
// brings in goes into the next batch.
func (r *Router) batch() {
	r.queued = true // what is due goes into this batch
	was := r.now
	if r.now = r.clock(); r.now-was > r.lim.StallThreshold {
		r.log.WithField("for", span(r.now-was)).Warn("the loop stood still; what waited in the sockets counts as come when it began to")
		r.stoodFrom, r.stoodUntil = was, r.now+r.lim.IdleClientEvictionAge
	}
	r.noteLag(was)
	r.counts.Batches++
	r.fire(r.now)
	inputs := r.inputs
	r.inputs, r.queued = nil, false
	r.decided = r.decided[:0]
	r.lapse()
	for _, ev := range inputs {
		if q, ok := ev.(*arrival); ok {
			ev = q.event(r.cameAt())
		}
		r.decided = append(r.decided, r.core.Step(r.now, ev)...)
	}
	r.carryOut(r.decided)
	for _, ev := range inputs {
		if l, ok := ev.(routing.ClientDisconnected); ok && r.requests[l.Request] != nil {
			r.requests[l.Request].leaving = false
			r.settle(r.requests[l.Request])
		}
	}
	r.resume()
	r.feed()
	if r.now-r.ops.toldAt >= r.lim.MetricsInterval {
		r.publish()
	}
	r.setAlarm()
	if r.takeover.handing {
		r.passClients()
	}
	if r.closing || r.ops.emptied || r.place.out != "" {
		r.closeIdleClients()
	}
}

// cameAt is when a request that has just been read may have come. A process that was stopped for longer than its clients wait
// found their requests in its sockets, took them for new, and sent them on after their deadline.
func (r *Router) cameAt() clock.Time {
	if r.now < r.stoodUntil {
		return r.stoodFrom
	}
	return r.now
}

func (r *Router) carryOut(decided []routing.Decision) {
	for _, d := range decided {
		switch d.Action {
		case routing.Send:
			r.beginAttempt(d)
		case routing.Reject:
			r.reject(d.Request, d.After)
		case routing.Fail:
			r.fail(d.Request)
		case routing.Cancel:
			r.recall(d.Request, d.Attempt)
		case routing.SetTimer:
			ref := d.Timer
			r.after(d.After, func() { r.input(routing.TimerFired{Timer: ref}) })
		case routing.Subscribe:
			if r.watch != nil {
				r.watch.call()
			}
		case routing.CloseIdle:
			if s := r.servers[d.Server]; s != nil {
				r.closeIdle(s)
			}
		default:
			r.log.Error(fmt.Sprintf("a decision that the router cannot carry out: %+v", d))
		}
	}
}
