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
	r.runAsync(func() {
		if r.draining {
			return
		}
		r.draining = true
		r.log.Info("draining")
		r.publishStats()
		r.notifyServing(false)
		r.shutdownDeadline = r.clock() + r.limits.ShutdownTimeout
		r.addEvent(routing.ShutdownScheduled{Deadline: r.shutdownDeadline})
		r.after(r.limits.ShutdownTimeout, r.endAllAttempts)
		r.after(r.limits.DrainAcceptPeriod, func() {
			r.closingClients = true
			r.queueBatch()
		})
	})
}

// endAttempts: nobody waits for the process any longer. What is still out is given up, so that its request gets its answer; a
// server that hung had a request of the longest deadline until after SIGKILL.
func (r *Router) endAllAttempts() {
	for _, request := range r.requests {
		for _, attempt := range slices.Clone(request.attempts) {
			if attempt.conn == nil || !attempt.conn.detached {
				r.timeOutAttempt(attempt)
			}
		}
	}
}

// Drained tells, after Run, whether the router ended because it was told to.
func (r *Router) Drained() bool { return r.draining }

// someoneComes: a client's connection is accepted, or may be, and the loop does not have it yet. It came while new ones were
// taken, and may carry a request.
func (r *Router) hasPendingConnection() bool {
	t := &r.takeover
	if t.enrolling.Load() > 0 {
		return true
	}
	if t.handingOver || t.listener == nil {
		return false
	}
	fd, err := duplicateDescriptor(t.listener)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	return err == nil && ready > 0
}

// closeIdleClients closes the clients that wait for nothing. One that has just come in is spared for a while, but not behind the
// last moment of a shutdown: its first request is on its way. A command that has come in part gets a sweep's time for the rest.
func (r *Router) closeIdleClients() {
	now := r.clock()
	isLastMoment := r.closingClients && now >= r.shutdownDeadline
	for client := range r.clients {
		if r.takeover.handingOver && !client.closeAfterReplies {
			continue // it is passed on
		}
		quiet := now - client.lastActivity
		mayHaveNoRequest := client.hasReceived || quiet >= r.limits.QuietClientAge || isLastMoment
		if client.mayClose() && mayHaveNoRequest && (client.unreadBytes() == 0 || quiet > r.limits.IdleSweepInterval) && !client.hasUnreadInput() {
			r.close(client.conn)
		}
	}
	if r.closingClients && r.takeover.unsentFrames == 0 && len(r.clients) == 0 && r.detachedClients == 0 && r.external.openRequests == 0 && !r.stopped {
		if r.hasPendingConnection() && r.clock() < r.shutdownDeadline {
			r.after(r.limits.LargeValueRetryInterval, r.queueBatch)
			return
		}
		r.stopped = true
		if r.takeover.socket != nil {
			r.takeover.socket.Close()
		}
		close(r.done)
	}
}
