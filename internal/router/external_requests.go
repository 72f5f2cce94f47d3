package router

import (
	"sync"
	"sync/atomic"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/wire"
)

// Refusal is why a request that a front offers is not taken.
type RefusalReason uint8

const (
	RefusedOverloaded    RefusalReason = iota + 1 // the router holds all that it may
	RefusedUnknownMethod                          // the settings do not name its method
	RefusedDuplicateID                            // another open request has its id
	RefusedExpired                                // its time was over when it came
	RefusedShuttingDown                           // the router takes nothing new
)

// Offer is a request of a front off the loop: a protocol whose library has goroutines of its own. Its fields are not changed
// once it is offered.
type ExternalRequest struct {
	wire.Request
	Method      string
	Tenant      routing.Tenant
	Timeout     clock.Time // how long its client waits; 0: as long as the method allows
	ClientRetry bool
	// Exactly one of the two is called, on the loop, once: it must not wait. An answer's value is good only within it.
	Answer func(wire.Answer)
	Refuse func(RefusalReason)
	// Gone reports whether the client has cancelled or left, by what the front has read; nil: never before Withdraw. Both this
	// and Unread are called on the loop, where it is late.
	ClientGone func() bool
	// Unread reports whether there is something of the client's connection that the front has not read; nil: never.
	HasUnreadInput func() bool

	withdrawn atomic.Bool     // ahead of the loop
	request   *pendingRequest // belongs to the loop; nil: not taken
}

// offers is the way from fronts to the loop. Its lock is held for an append, never across the loop's work.
type externalQueue struct {
	mu           sync.Mutex
	events       []externalEvent
	openRequests int // taken and not over; belongs to the loop
}

type externalEvent struct {
	request   *ExternalRequest
	withdrawn bool
}

// Offer hands over a request from any goroutine; false: too many wait already, or the loop does not run yet, and nothing will be called.
func (r *Router) Submit(request *ExternalRequest) bool {
	return r.enqueueExternal(externalEvent{request: request}, r.limits.ExternalRequests)
}

// Withdraw tells that the client of an offer is gone: its attempts are called off, and neither function is called any
// more once the loop has come to it.
func (r *Router) Withdraw(request *ExternalRequest) {
	request.withdrawn.Store(true)
	r.enqueueExternal(externalEvent{request, true}, 1<<62)
}

func (r *Router) enqueueExternal(event externalEvent, limit int) bool {
	select {
	case <-r.ready:
	default:
		return false // a front that listens before the loop runs: a call in that moment ended the process
	}
	queue := &r.external
	queue.mu.Lock()
	if len(queue.events) >= limit {
		queue.mu.Unlock()
		return false
	}
	queue.events = append(queue.events, event)
	first := len(queue.events) == 1
	queue.mu.Unlock()
	if first {
		r.runAsync(r.admitExternalRequests)
	}
	return true
}

// takeOffers takes all that has come since the last time, into one batch.
func (r *Router) admitExternalRequests() {
	queue := &r.external
	queue.mu.Lock()
	events := queue.events
	queue.events = nil
	queue.mu.Unlock()
	for _, event := range events {
		if event.withdrawn {
			if request := event.request.request; request != nil {
				r.clientLeft(request)
			}
			continue
		}
		if why := r.admitExternal(event.request); why != 0 {
			event.request.Refuse(why)
		}
	}
}

func (r *Router) admitExternal(request *ExternalRequest) RefusalReason {
	method, known := r.methods[request.Method]
	size := len(request.Key) + request.Props.Len() + len(request.Value)
	switch {
	case r.closingClients || r.operator.state.Drain || r.fleet.outOfService != "":
		return RefusedShuttingDown
	case !known:
		return RefusedUnknownMethod
	case r.requests[request.ID] != nil:
		return RefusedDuplicateID
	case request.Timeout < 0:
		return RefusedExpired
	case r.requestBytes+size > r.limits.RequestBytes:
		return RefusedOverloaded
	}
	timeout := r.cfg.Settings.Methods[method].Deadline // a longer wait does not lengthen it
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	request.request = &pendingRequest{Request: request.Request, size: size, responder: request}
	r.external.openRequests++
	r.admitRequest(request.request, routing.RequestArrived{Request: request.ID, Key: routing.Key(request.Key), Write: request.Write, Method: method, Tenant: request.Tenant, ClientRetry: request.ClientRetry}, timeout, r.clock())
	return 0
}

// answer makes an Offer an asker.
func (e *ExternalRequest) deliver(_ *pendingRequest, a wire.Answer) {
	e.Answer(a)
}

// OnServing has a function called on the loop when the router begins to serve (true) and when it ends (false). Call it
// before Run.
func (r *Router) OnServing(f func(bool)) { r.onServing = f }

func (r *Router) notifyServing(on bool) {
	if r.onServing != nil {
		r.onServing(on)
	}
}
