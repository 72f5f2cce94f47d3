package routing

import "slices"

// This file: passes over the requests by the rules; it decides nothing.

// A rule is a condition and an effect. After every input the rules are gone through in order, for each request
// that the input touched, until none fires.
type rule struct {
	name string
	when func(*Router, *request) bool
	do   func(*Router, *request)
}

func (r *Router) run(q *request) {
	for q.settled = q.done; !q.settled; {
		i := slices.IndexFunc(r.rules, func(x rule) bool { return x.when(r, q) })
		r.rules[i].do(r, q)
	}
}

func (r *Router) settle(q *request) { q.settled = true }

// runWatched looks at the requests whose copy is due; its time drifts slowly, so that they stand in order.
func (r *Router) runWatched() {
	for len(r.watched) > 0 {
		q := r.watched[0]
		if !q.done && q.copyAt > r.now {
			r.wake(q.copyAt)
			return
		}
		r.watched = r.watched[1:]
		if !q.done {
			r.run(q)
		}
	}
}

func (r *Router) runHeld() {
	for _, q := range r.held {
		if s := r.waitsFor(q); s != nil {
			s.ahead = 0
		}
	}
	for _, q := range slices.Clone(r.held) {
		r.run(q)
		if s := r.waitsFor(q); s != nil && !q.done && len(q.attempts) == 0 {
			s.ahead++
		}
	}
	r.held = slices.DeleteFunc(r.held, func(q *request) bool {
		q.held = !q.done && len(q.attempts) == 0
		return !q.held
	})
}
