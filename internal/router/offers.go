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

	withdrawn atomic.Bool // ahead of the loop
	q         *request    // belongs to the loop; nil: not taken
}

// offers is the way from fronts to the loop. Its lock is held for an append, never across the loop's work.
type offers struct {
	mu   sync.Mutex
	news []news
	open int // taken and not over; belongs to the loop
}

type news struct {
	o    *ExternalRequest
	gone bool
}

// Offer hands over a request from any goroutine; false: too many wait already, or the loop does not run yet, and nothing will be called.
func (r *Router) Submit(o *ExternalRequest) bool { return r.news(news{o: o}, r.lim.ExternalRequests) }

// Withdraw tells that the client of an offer is gone: its attempts are called off, and neither function is called any
// more once the loop has come to it.
func (r *Router) Withdraw(o *ExternalRequest) {
	o.withdrawn.Store(true)
	r.news(news{o, true}, 1<<62)
}

func (r *Router) news(n news, most int) bool {
	select {
	case <-r.ready:
	default:
		return false // a front that listens before the loop runs: a call in that moment ended the process
	}
	f := &r.offers
	f.mu.Lock()
	if len(f.news) >= most {
		f.mu.Unlock()
		return false
	}
	f.news = append(f.news, n)
	first := len(f.news) == 1
	f.mu.Unlock()
	if first {
		r.execute(r.takeOffers)
	}
	return true
}

// takeOffers takes all that has come since the last time, into one batch.
func (r *Router) takeOffers() {
	f := &r.offers
	f.mu.Lock()
	all := f.news
	f.news = nil
	f.mu.Unlock()
	for _, n := range all {
		if n.gone {
			if q := n.o.q; q != nil {
				r.left(q)
			}
			continue
		}
		if why := r.takeOffer(n.o); why != 0 {
			n.o.Refuse(why)
		}
	}
}

func (r *Router) takeOffer(o *ExternalRequest) RefusalReason {
	method, known := r.methods[o.Method]
	size := len(o.Key) + o.Props.Len() + len(o.Value)
	switch {
	case r.closing || r.ops.wanted.Drain || r.place.out != "":
		return RefusedShuttingDown
	case !known:
		return RefusedUnknownMethod
	case r.requests[o.ID] != nil:
		return RefusedDuplicateID
	case o.Timeout < 0:
		return RefusedExpired
	case r.held+size > r.lim.RequestBytes:
		return RefusedOverloaded
	}
	waits := r.cfg.Settings.Methods[method].Deadline // a longer wait does not lengthen it
	if o.Timeout > 0 {
		waits = min(waits, o.Timeout)
	}
	o.q = &request{Request: o.Request, size: size, from: o}
	r.offers.open++
	r.take(o.q, routing.RequestArrived{Request: o.ID, Key: routing.Key(o.Key), Write: o.Write, Method: method, Tenant: o.Tenant, ClientRetry: o.ClientRetry}, waits, r.clock())
	return 0
}

// answer makes an Offer an asker.
func (o *ExternalRequest) answer(_ *request, a wire.Answer) {
	o.Answer(a)
}

// OnServing has a function called on the loop when the router begins to serve (true) and when it ends (false). Call it
// before Run.
func (r *Router) OnServing(f func(bool)) { r.onServing = f }

func (r *Router) tellServing(on bool) {
	if r.onServing != nil {
		r.onServing(on)
	}
}
