package router

import (
	"slices"

	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
)

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
		r.endBy = r.clock() + r.lim.ShutdownTimeout
		r.input(routing.ShutdownScheduled{Deadline: r.endBy})
		r.after(r.lim.ShutdownTimeout, r.endAttempts)
		r.after(r.lim.DrainAcceptPeriod, func() {
			r.closing = true
			r.queue()
		})
	})
}

// endAttempts: nobody waits for the process any longer. What is still out is given up, so that its request gets its answer; a
// server that hung had a request of the longest deadline until after SIGKILL.
func (r *Router) endAttempts() {
	for _, q := range r.requests {
		for _, w := range slices.Clone(q.attempts) {
			if w.up == nil || !w.up.away {
				r.timedOut(w)
			}
		}
	}
}

// Drained tells, after Run, whether the router ended because it was told to.
func (r *Router) Drained() bool { return r.draining }

// someoneComes: a client's connection is accepted, or may be, and the loop does not have it yet. It came while new ones were
// taken, and may carry a request.
func (r *Router) someoneComes() bool {
	t := &r.takeover
	if t.coming.Load() > 0 {
		return true
	}
	if t.handing || t.ln == nil {
		return false
	}
	fd, err := dupOf(t.ln)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	return err == nil && n > 0
}

// closeIdleClients closes the clients that wait for nothing. One that has just come in is spared for a while, but not behind the
// last moment of a shutdown: its first request is on its way. A command that has come in part gets a sweep's time for the rest.
func (r *Router) closeIdleClients() {
	now := r.clock()
	isLastMoment := r.closing && now >= r.endBy
	for c := range r.clients {
		if r.takeover.handing && !c.over {
			continue // it is passed on
		}
		quiet := now - c.idle
		mayHaveNoRequest := c.used || quiet >= r.lim.IdleClientEvictionAge || isLastMoment
		if c.ended() && mayHaveNoRequest && (c.waiting() == 0 || quiet > r.lim.IdleSweepInterval) && !c.unheard() {
			r.close(c.conn)
		}
	}
	if r.closing && r.takeover.unsent == 0 && len(r.clients) == 0 && r.away == 0 && r.offers.open == 0 && !r.stopped {
		if r.someoneComes() && r.clock() < r.endBy {
			r.after(r.lim.LargeValueRetryInterval, r.queue)
			return
		}
		r.stopped = true
		if r.takeover.unix != nil {
			r.takeover.unix.Close()
		}
		close(r.ended)
	}
}
