package router

import (
	"sync"
	"sync/atomic"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/wire"
)

// RejectReason is why a front end's request is not admitted.
type RejectReason uint8

// The reasons for which a request is rejected.
const (
	RejectedOverloaded    RejectReason = iota + 1 // the router holds as many requests as it may
	RejectedUnknownMethod                         // the settings do not contain its method
	RejectedDuplicateID                           // another open request has its id
	RejectedExpired                               // its deadline had passed when it arrived
	RejectedShuttingDown                          // the router admits no new requests
)

// ExternalRequest is a request of a front end off the loop: a protocol whose library has goroutines of its own.
// Its fields must not be changed after Submit.
type ExternalRequest struct {
	wire.Request
	Method      string
	Tenant      routing.Tenant
	Timeout     clock.Time // how long its client waits; 0: as long as the method allows
	ClientRetry bool
	// Client identifies the connection. A client's further requests wait while queues are long, as those of RESP2 clients do.
	Client string
	// Exactly one of Answer and Reject is called, on the loop, once; it must not block. An answer's value is valid
	// only during the call.
	Answer func(wire.Answer)
	Reject func(RejectReason)
	// ClientGone reports whether the client has canceled or disconnected, as far as the front end has read; nil:
	// never before Withdraw. It and HasUnreadInput are called on the loop when the loop is late.
	ClientGone func() bool
	// HasUnreadInput reports whether the front end has yet to read something from the client's connection; nil:
	// never.
	HasUnreadInput func() bool

	submittedAt clock.Time
	withdrawn   atomic.Bool     // set before the loop processes the withdrawal
	request     *pendingRequest // belongs to the loop; nil: not admitted
}

// externalQueue passes requests from front ends to the loop. Its lock is held for an append only, never while the
// loop works.
type externalQueue struct {
	mu        sync.Mutex
	events    []externalEvent
	scheduled bool // admitExternalRequests is going to run

	// These belong to the loop.
	openRequests int            // admitted and not finished
	openByClient map[string]int // of them, by client
}

type externalEvent struct {
	request   *ExternalRequest
	withdrawn bool
}

// noQueueLimit is the limit for withdrawals, which are always queued.
const noQueueLimit = 1 << 62

// Submit queues a request, from any goroutine. It returns false if too many are queued or the loop does not run
// yet; nothing is called then.
func (r *Router) Submit(request *ExternalRequest) bool {
	request.submittedAt = r.clock()
	return r.enqueueExternal(externalEvent{request: request}, r.limits.ExternalRequests)
}

// Withdraw reports that the client of a request is gone. Its attempts are canceled, and once the loop has
// processed the withdrawal, neither Answer nor Reject is called.
func (r *Router) Withdraw(request *ExternalRequest) {
	request.withdrawn.Store(true)
	r.enqueueExternal(externalEvent{request, true}, noQueueLimit)
}

// enqueueExternal queues an event and wakes the loop, unless limit events are queued already or the loop does not run
// yet; it reports whether the event was queued.
func (r *Router) enqueueExternal(event externalEvent, limit int) bool {
	select {
	case <-r.ready:
	default:
		return false // a front end may listen before the loop runs; a call at that moment used to crash the process
	}
	queue := &r.external
	queue.mu.Lock()
	if len(queue.events) >= limit {
		queue.mu.Unlock()
		return false
	}
	queue.events = append(queue.events, event)
	isIdle := !queue.scheduled
	queue.scheduled = true
	queue.mu.Unlock()
	if isIdle {
		r.runAsync(r.admitExternalRequests)
	}
	return true
}

// admitExternalRequests admits what is queued, for a bounded time. The rest is admitted by a later task.
func (r *Router) admitExternalRequests() {
	began := r.clock()
	for event, ok := r.external.next(); ok; event, ok = r.external.next() {
		r.handleExternal(event)
		if r.isTimeUp(began) {
			r.runAsync(r.admitExternalRequests)
			return
		}
	}
}

func (r *Router) handleExternal(event externalEvent) {
	if event.withdrawn {
		if request := event.request.request; request != nil {
			r.clientLeft(request)
		}
		return
	}
	if reason := r.admitExternal(event.request); reason != 0 {
		event.request.Reject(reason)
		return
	}
	r.external.openRequests++
	r.external.openByClient[event.request.Client]++
}

// endExternal no longer counts a request that has ended as open.
func (r *Router) endExternal(request *ExternalRequest) {
	queue := &r.external
	queue.openRequests--
	if queue.openByClient[request.Client]--; queue.openByClient[request.Client] == 0 {
		delete(queue.openByClient, request.Client)
	}
}

// rejectsExternal reports whether no request of a front end is admitted any more.
func (r *Router) rejectsExternal() bool {
	return r.closingClients || r.operator.state.Drain || r.fleet.outOfService != ""
}

// next removes the first event. If there is none, ok is false, and the next one that is queued wakes the loop.
func (q *externalQueue) next() (event externalEvent, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		q.events, q.scheduled = nil, false
		return externalEvent{}, false
	}
	event = q.events[0]
	q.events[0] = externalEvent{}
	q.events = q.events[1:]
	return event, true
}

// admitExternal admits a request, or returns why it is rejected; 0 means that it is admitted.
func (r *Router) admitExternal(request *ExternalRequest) RejectReason {
	method, known := r.methods[request.Method]
	now := r.clock()
	waited := now - request.submittedAt
	size := requestOverheadBytes + len(request.Key) + request.Props.Len() + len(request.Value)
	switch {
	case r.rejectsExternal():
		return RejectedShuttingDown
	case !known:
		return RejectedUnknownMethod
	case r.isRepeated(request.ID):
		return RejectedDuplicateID
	case request.Timeout < 0:
		return RejectedExpired
	case request.Timeout > 0 && request.Timeout <= waited:
		return RejectedExpired
	case !r.held.MayBegin():
		return RejectedOverloaded
	}
	timeout := r.cfg.Settings.Methods[method].Deadline // a client that waits longer does not extend it
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout-waited)
	}
	request.request = &pendingRequest{Request: request.Request, size: size, responder: request}
	event := routing.RequestArrived{Request: request.ID, Key: routing.Key(request.Key), Write: request.Write,
		Method: method, Tenant: request.Tenant, ClientRetry: request.ClientRetry}
	hasOthers := r.external.openByClient[request.Client] > 0
	r.admitRequest(&requestArrival{request: request.request, event: event, timeout: timeout, receivedAt: now, startedAt: now}, hasOthers)
	return 0
}

// deliver implements responder.
func (e *ExternalRequest) deliver(_ *pendingRequest, a wire.Answer) {
	e.Answer(a)
}

// OnServing registers a function that is called on the loop when the router starts to serve (true) and when it
// stops (false). Call it before Run.
func (r *Router) OnServing(f func(bool)) { r.onServing = f }

func (r *Router) notifyServing(on bool) {
	if r.onServing != nil {
		r.onServing(on)
	}
}
