package router

import (
	"slices"

	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
)

// Drain shuts the router down in order: it accepts new connections for a while, then closes each client's
// connection once nothing of it is pending, and ends when all are closed.
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
		r.after(r.limits.ShutdownTimeout-rejectionMargin, r.startRejecting)
		r.after(r.limits.ShutdownTimeout-lastInputMargin, r.endInput)
		r.after(r.limits.ShutdownTimeout-lingerMargin, r.endLingering)
		r.after(r.limits.DrainAcceptPeriod, r.startClosing)
	})
}

// endAllAttempts aborts outstanding attempts at the shutdown deadline, so that their requests are answered before
// the process is killed, even if a server hangs.
func (r *Router) endAllAttempts() {
	for _, request := range r.requests {
		for _, attempt := range slices.Clone(request.attempts) {
			r.timeOutAttempt(attempt)
		}
	}
}

// isPastShutdown reports whether every admitted request has been answered, or is about to be.
func (r *Router) isPastShutdown() bool {
	return r.shutdownDeadline != 0 && r.clock() >= r.shutdownDeadline
}

// Drained reports, after Run has returned, whether the router ended because of Drain.
func (r *Router) Drained() bool { return r.draining }

// hasPendingConnection reports whether a client connection is accepted, or may be waiting to be, that is not on
// the loop yet. It arrived while the router accepted clients, and may carry a request.
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

// isClosingClients reports whether each client is closed once nothing of it is pending.
func (r *Router) isClosingClients() bool {
	return r.closingClients || r.operator.closingClients || r.fleet.outOfService != ""
}

// closeIdleClients closes the clients without pending commands. One that has just connected is spared for a while,
// since its first request is on its way. An incomplete command gets one sweep interval for its rest. After the shutdown deadline
// nothing more is read.
func (r *Router) closeIdleClients() {
	now := r.clock()
	isPastDeadline := r.closingClients && r.isPastShutdown()
	for client := range r.clients {
		if r.takeover.handingOver && !client.closeAfterReplies {
			continue // it is handed over instead
		}
		quietFor := now - client.lastActivity
		connectGraceOver := client.hasReceived || quietFor >= r.limits.IdleClientEvictionAge
		isDone := connectGraceOver && (len(client.input.unread) == 0 || quietFor > r.limits.IdleSweepInterval)
		switch {
		case client.hasEnded():
			r.closeConn(client.conn)
		case isDone && client.closeUnlessOwed(counters.ClientDrained):
		case isPastDeadline && client.isQuiet():
			client.closeFor(counters.ClientDrained)
		case isDone && client.hasNoPendingReplies() && client.inKernel:
			r.scheduleDeliveryCheck()
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
