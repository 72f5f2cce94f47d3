package router

import "context"

// Drain ends the router in order: it takes new connections for a while, then closes each client's once nothing of it
// is in hand, and stops when all are closed.
func (r *Router) Drain() {
	<-r.ready
	r.execute(func() {
		if r.draining {
			return
		}
		r.draining = true
		r.log.Info("draining")
		r.after(r.lim.LingerOpen, func() {
			r.closing = true
			r.queue()
		})
	})
}

// Drained tells, after Run, whether the router ended because it was told to.
func (r *Router) Drained() bool { return r.draining }

// closeIdleClients closes the clients that wait for nothing. A command that has come in part gets a sweep's time for
// the rest.
func (r *Router) closeIdleClients() {
	now := r.clock()
	for c := range r.clients {
		if c.ended() && (c.conn.InboundBuffered() == 0 || now-c.idle > r.lim.Sweep) {
			r.close(c.conn)
		}
	}
	if len(r.clients) == 0 && !r.stopped {
		r.stopped = true
		go func() { _ = r.engine.Stop(context.Background()) }() // it waits for the loop
	}
}
