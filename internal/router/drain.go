package router

import (
	"slices"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
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
		r.after(r.limits.DrainAcceptPeriod, func() {
			r.closingClients = true
			r.queueBatch()
		})
	})
}

// Clients that send without end are owed something at all times, so that the process would not end. It ends their connections in
// steps, each some time before the shutdown deadline.
const (
	// rejectionMargin is for answering, with a small share of a core, what clients have sent.
	rejectionMargin = clock.Second
	// lastInputMargin is for the input that the kernel has by then.
	lastInputMargin = 600 * clock.Millisecond
	// lingerMargin is for closing the connections.
	lingerMargin = 300 * clock.Millisecond
)

// startRejecting has requests rejected as they are read, so that clients are owed nothing sooner than they send more.
func (r *Router) startRejecting() {
	r.rejectsRequests = true
	r.endAllWaits()
	for client := range r.clients {
		if len(client.input.unread) > 0 {
			r.queueTurn(client)
		}
	}
	r.resumePausedClients()
}

// endInput has the router read no more of its clients than they have sent by now. Those with pending requests follow when these are
// answered.
func (r *Router) endInput() {
	for client := range r.clients {
		client.endInput()
	}
	for client := range r.polledClients {
		client.endInput()
	}
	r.after(r.limits.LargeValueRetryInterval, r.endInput)
}

// endInput has nothing read of a client without pending requests but what the kernel has now.
func (c *client) endInput() {
	if c.inputEnded || c.closeAfterReplies || !c.isOpen() || !c.hasNoPendingReplies() || c.owes() == owesNothing {
		return
	}
	if conn := c.conn; conn != nil {
		if !c.pauseReading() {
			return
		}
		c.r.closeConn(conn) // a duplicate of the descriptor remains
	}
	c.inputEnded, c.kernelInputLeft = true, c.kernelBytes()
	c.r.queueTurn(c)
}

// endLingering closes the connections that have been ended and that their clients have not closed yet.
func (r *Router) endLingering() {
	r.lingeringEnded = true
	for client := range r.polledClients {
		if client.lingers {
			client.close()
		}
	}
}

// endConnection ends a paused client's connection once everything is answered that had been sent when its input ended.
func (c *client) endConnection() {
	if c.lingers || c.kernelInputLeft > 0 || c.owesAnswer() {
		return
	}
	if c.kernelBytes() == 0 || c.r.lingeringEnded {
		c.closeFor(counters.ClientDrained)
		return
	}
	// Closing would reset the connection for the rest of the input, and the client might lose replies.
	c.end, c.lingers = counters.ClientDrained, true
	_ = unix.Shutdown(c.descriptor, unix.SHUT_WR) // after an error the client is gone
}

// dropInput drops what a lingering client has sent, so that the end of its connection can arrive.
func (c *client) dropInput() {
	for range maxDroppedReads {
		n, err := unix.Read(c.descriptor, c.r.readBuffer)
		if err != nil || n == 0 {
			return
		}
	}
}

// maxDroppedReads bounds the time that a client takes.
const maxDroppedReads = 16

// endAllAttempts aborts outstanding attempts at the shutdown deadline, so that their requests are answered before
// the process is killed. A hanging server used to hold a request with the longest deadline until after SIGKILL.
func (r *Router) endAllAttempts() {
	for _, request := range r.requests {
		for _, attempt := range slices.Clone(request.attempts) {
			if attempt.conn == nil || !attempt.conn.detached {
				r.timeOutAttempt(attempt)
			}
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
		case isDone && client.mayClose(), isPastDeadline && client.isQuiet():
			client.closeFor(counters.ClientDrained)
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
