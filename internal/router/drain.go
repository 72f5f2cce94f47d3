package router

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
		r.publish()
		r.tellServing(false)
		r.after(r.lim.LingerOpen, func() {
			r.closing = true
			r.queue()
		})
	})
}

// Drained tells, after Run, whether the router ended because it was told to.
func (r *Router) Drained() bool { return r.draining }

// closeIdleClients closes the clients that wait for nothing. One that has just come in is spared for a while: its first
// req is on its way. A command that has come in part gets a sweep's time for the rest.
func (r *Router) closeIdleClients() {
	now := r.clock()
	for c := range r.clients {
		if r.takeover.handing && !c.over {
			continue // it is passed on
		}
		quiet := now - c.idle
		if c.ended() && (c.used || quiet >= r.lim.Quiet) && (c.waiting() == 0 || quiet > r.lim.Sweep) {
			r.close(c.conn)
		}
	}
	if r.closing && r.takeover.unsent == 0 && len(r.clients) == 0 && r.away == 0 && r.offers.open == 0 && !r.stopped {
		r.stopped = true
		if r.takeover.unix != nil {
			r.takeover.unix.Close()
		}
		close(r.ended)
	}
}
