package router

import (
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/internal/counters"
)

// gnet reads whatever arrives on a connection and cannot be told to stop. A client whose input cannot be processed
// yet leaves the loop instead: its connection stays open, the loop goes on writing replies to it, and what it sends
// stays in the kernel, which stops the client from sending more. It returns to the loop when more input is needed.

// pauseReading takes the client off the loop. If it returns true, the caller closes the connection on the loop, of
// which a duplicate of the descriptor remains.
func (c *client) pauseReading() bool {
	r := c.r
	descriptor, err := c.conn.Dup()
	if err != nil {
		r.log.WithError(err).Debug("client connection: reading cannot be paused")
		return false // it is tried again when more arrives
	}
	c.conn.SetContext(nil)
	c.conn, c.paused, c.descriptor = nil, true, descriptor
	if !c.waitsForInput {
		c.partialSince = 0
	}
	delete(r.clients, c)
	r.detachedClients++
	r.connCount++
	r.counts.PausedClients++
	r.pollClient(c)
	c.noteMemory()
	return true
}

// isOpen reports whether replies can be written to the client now.
func (c *client) isOpen() bool { return c.conn != nil || c.paused }

// fd returns the descriptor of an open client.
func (c *client) fd() int {
	if c.paused {
		return c.descriptor
	}
	return c.conn.Fd()
}

// close closes the connection of an open client.
func (c *client) close() {
	if !c.paused {
		c.r.closeConn(c.conn)
		return
	}
	_ = unix.Close(c.descriptor) // it is gone even after an error
	c.paused = false
	c.detachedConnLost()
}

// continuePaused gives a paused client a turn, and returns it to the loop when it has sent no more.
func (c *client) continuePaused() {
	switch {
	case !c.paused || c.r.takeover.handingOver: // what is left is for the next process
		return
	case peerHungUp(c.descriptor):
		c.close()
		return
	}
	result := c.takeTurn(nil)
	if result == needsInput && c.paused {
		chunk, read := c.readPaused()
		switch read {
		case pausedEnd:
			c.close()
			return
		case pausedNothing:
			c.backlogged = false
			c.endPause()
			return
		case pausedLater:
			c.r.queueTurn(c)
			return
		}
		result = c.takeTurn(chunk)
	}
	if !c.paused {
		return
	}
	switch {
	case result == endsConnection:
		c.resumeOnLoop()
	case result == needsInput && !c.awaitsMemory(), result == turnOver:
		c.arrivalTimes.noteUnread(len(c.input.unread), c.lastActivity)
		c.r.queueTurn(c)
	case result == needsCapacity && c.stalled:
		c.arrivalTimes.noteUnread(len(c.input.unread), c.lastActivity)
	}
}

// endPause returns a paused client, of which everything has been read, to the loop. A connection that is about to end is not read
// from again.
func (c *client) endPause() {
	switch {
	case c.inputEnded:
		c.endConnection()
	case c.r.closingClients && len(c.input.unread) == 0 && c.closeUnlessOwed(counters.ClientDrained):
	case c.r.inputEnds && c.hasNoPendingReplies() && !c.closeAfterReplies:
		c.endInput()
	default:
		c.resumeOnLoop()
	}
}

// resumeOnLoop returns a paused client to the loop, where it is read from again. While it is on its way, replies wait
// in their slots.
func (c *client) resumeOnLoop() {
	r := c.r
	if c.resumeDue = r.pendingResumes == maxPendingEnrolls; c.resumeDue {
		return // pollClients tries again
	}
	r.pendingResumes++
	c.paused = false
	c.setDetached(true)
	delete(r.polledClients, c)
	descriptor := c.descriptor
	go func() {
		err := r.enrollDuplicate(descriptor, c)
		if err == nil {
			_ = unix.Close(descriptor) // it is gone even after an error
		}
		r.runAsync(func() {
			r.pendingResumes--
			if err != nil {
				c.paused, c.resumeDue = true, true
				c.setDetached(false)
				r.pollClient(c)
				c.flushReplies()
			}
		})
	}()
}

// pollClient has pollClients look after a client that is paused or has a reply that the kernel has not accepted
// completely: the loop is not notified of either.
func (r *Router) pollClient(c *client) {
	r.polledClients[c] = struct{}{}
	r.scheduleClientPoll()
}

func (r *Router) scheduleClientPoll() {
	if len(r.polledClients) > 0 && !r.clientPollScheduled {
		r.clientPollScheduled = true
		r.after(r.limits.LargeValueRetryInterval, r.pollClients)
	}
}

// pollClients looks after the clients of which the loop is not notified, for a bounded time. The order of a map is another one
// each time, so that none is left out for long.
func (r *Router) pollClients() {
	r.clientPollScheduled = false
	r.closeGonePausedClients()
	r.noteKernelInput()
	began := r.clock()
	for client := range r.polledClients {
		client.poll()
		if r.isTimeUp(began) {
			break
		}
	}
	r.scheduleClientPoll()
}

// poll closes a client that does not read or is to be closed, sends what the kernel accepts now, and returns the client to the
// loop if that was not possible earlier.
func (c *client) poll() {
	r := c.r
	if c.isOpen() && len(c.unsent) > 0 {
		c.writeUnsent()
	}
	if c.paused && r.closingClients && len(c.unsent) > 0 && c.isUnresponsive() {
		c.closeFor(counters.ClientUnread)
	}
	if c.paused && c.inputEnded {
		c.endConnection()
	}
	if c.paused && r.isPastShutdown() && c.isQuiet() {
		c.closeFor(counters.ClientDrained)
	}
	if c.isOpen() && c.hasEnded() {
		c.close()
	}
	if c.paused && c.lingers {
		c.dropLingeringInput()
		c.closeLingering()
	}
	if c.paused && c.resumeDue && !c.inputEnded {
		c.resumeOnLoop()
	}
	c.revealEnd()
	if !c.paused && len(c.unsent) == 0 && !(c.isOpen() && c.closeAfterReplies) {
		delete(r.polledClients, c)
	}
}

const (
	// revealDelay is how long the kernel may have input of a paused client before it is read ahead.
	revealDelay = 20 * clock.Millisecond
	// maxRevealBytes is how much is read ahead at a time.
	maxRevealBytes = 256 << 10
)

// revealEnd reads ahead what the kernel has from a paused client with pending commands, if there is memory. Otherwise the end of
// its connection could not arrive, and attempts would begin for a client that has left.
func (c *client) revealEnd() {
	r := c.r
	isWaiting := c.paused && !c.waitsForInput && !c.largeWriteNext && !c.closeAfterReplies && !r.takeover.handingOver && !c.rejectsRequests()
	if !isWaiting || len(c.slots) == 0 || c.input.reserved || r.clock()-max(c.lastActivity, c.lastSentAt) < revealDelay {
		return
	}
	size := min(c.kernelBytes(), maxRevealBytes)
	if size == 0 || !r.held.MayReadAhead(&c.memory, size) {
		return
	}
	c.input.grow(len(c.input.unread) + size)
	unread := c.input.unread
	if n, err := unix.Read(c.descriptor, unread[len(unread):cap(unread)]); err == nil && n > 0 {
		c.input.unread = unread[:len(unread)+n]
		c.arrivalTimes.noteUnread(len(c.input.unread), r.clock())
	}
	c.noteMemory()
}

// closeGonePausedClients closes the paused clients that have closed their side, as the loop does when it reads that.
func (r *Router) closeGonePausedClients() {
	var paused []*client
	var polled []unix.PollFd
	for client := range r.polledClients {
		if client.paused {
			paused = append(paused, client)
			polled = append(polled, unix.PollFd{Fd: int32(client.descriptor), Events: unix.POLLRDHUP})
		}
	}
	if len(paused) == 0 {
		return
	}
	if _, err := unix.Poll(polled, 0); err != nil {
		return // the next poll finds them
	}
	for i, client := range paused {
		if polled[i].Revents != 0 && client.paused {
			client.close()
		}
	}
}

// resumePausedClients gives all paused clients a turn: while clients are handed over they get none.
func (r *Router) resumePausedClients() {
	for client := range r.polledClients {
		if client.paused {
			r.queueTurn(client)
		}
	}
}

// noteKernelInput dates the input of paused clients that wait for memory, and lets those continue whose command has
// arrived in full.
func (r *Router) noteKernelInput() {
	if r.inputWaiters == 0 {
		return
	}
	now := r.clock()
	for client := range r.polledClients {
		if !client.paused || !client.waitsForInput {
			continue
		}
		client.noteKernelInput(now)
	}
	r.checksInputWaiters = true
	r.resumeStalledClients()
	r.checksInputWaiters = false
}
