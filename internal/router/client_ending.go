package router

import (
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/internal/counters"
)

// Clients that send without end are owed something at all times, so that the process would not end. Once it closes clients, it
// rejects what these send, and ends one of their connections after the other. Some time before the shutdown deadline it does so
// with all that are left.
const (
	// rejectionMargin is for answering, with a small share of a core, what clients have sent.
	rejectionMargin = clock.Second
	// lastInputMargin is for the input that the kernel has by then.
	lastInputMargin = 500 * clock.Millisecond
	// lingerMargin is for closing the connections.
	lingerMargin = 300 * clock.Millisecond
)

const (
	// focusTime is for how long, in each round of turns, the client is served whose connection ends next. What it has not been
	// answered is young then. The rest of the round is for the others.
	focusTime = 9 * maxTaskTime / 10
	// senderBytes is what the client's end of its connection holds, as far as it is answered beside what the router's end holds.
	senderBytes = 256 << 10
	// focusReadBytes is for one read from it, and focusTurnWork the work of one turn: commands as short as PING.
	focusReadBytes = 64 << 10
	focusTurnWork  = focusReadBytes / 14
)

// floodBytes is the unread input from which on a client counts as one that sends without end.
const floodBytes = 64 << 10

// endlessCheckInterval is the time between searches for such clients, and for those that read slowly.
const endlessCheckInterval = 20 * clock.Millisecond

// startClosing closes each client from now on in a moment in which it is owed nothing.
func (r *Router) startClosing() {
	r.closingClients = true
	r.focusBuffer = make([]byte, focusReadBytes)
	r.rejectEndlessClients()
	r.queueBatch()
}

// rejectEndlessClients looks for clients that would be owed something until the process is killed, from time to time.
func (r *Router) rejectEndlessClients() {
	for client := range r.clients {
		client.rejectIfEndless()
	}
	for client := range r.polledClients {
		client.rejectIfEndless()
	}
	if !r.rejectsRequests {
		r.after(endlessCheckInterval, r.rejectEndlessClients)
	}
}

// rejectIfEndless has the requests of a client rejected that sends without end, or that reads its replies so slowly that more would
// not be delivered before the process ends.
func (c *client) rejectIfEndless() {
	switch {
	case c.rejectsEarly || !c.isOpen():
	case len(c.input.unread)+c.kernelBytes() >= floodBytes:
		c.rejectsEarly = true
		c.pauseToEnd()
		c.r.queueTurn(c)
	case c.readsSlowly():
		c.rejectsEarly = true
	}
}

// rejectsRequests reports whether the client's requests are rejected as they are read, so that it is owed nothing sooner than it
// sends more.
func (c *client) rejectsRequests() bool { return c.rejectsEarly || c.r.rejectsRequests }

// startRejecting has all requests rejected as they are read. Clients that have sent more than has been answered are read from in
// their turns only.
func (r *Router) startRejecting() {
	r.rejectsRequests = true
	r.rejectLargeWrites()
	r.endAllWaits()
	for client := range r.clients {
		client.pauseToEnd()
	}
	r.resumePausedClients()
}

// pauseToEnd pauses a client that has sent more than has been answered, and reports whether it is paused.
func (c *client) pauseToEnd() bool {
	conn := c.conn
	switch {
	case c.paused:
		return true
	case conn == nil || c.closeAfterReplies || c.detachPending || !c.hasNoPendingReplies() || c.owes() == owesNothing:
		return false
	case !c.pauseReading():
		return false
	}
	c.r.closeConn(conn) // a duplicate of the descriptor remains
	return true
}

// giveEndingTurns gives turns for a bounded time, most of it to the client whose connection ends next.
func (r *Router) giveEndingTurns() {
	began := r.clock()
	for r.clock()-began < focusTime {
		if !r.chooseEndingClient() {
			break
		}
		client := r.endingClient
		client.resumeReading()
		if r.inputEnds || client.bytesToEnd <= 0 {
			client.endInput()
		}
	}
	for range min(turnsPerRound, len(r.turnQueue)) {
		r.giveNextTurn()
		if r.isTimeUp(began) {
			break
		}
	}
}

// chooseEndingClient sets the client whose connection ends next, if there is one.
func (r *Router) chooseEndingClient() bool {
	if r.endingClient != nil && r.endingClient.canEnd() {
		return true
	}
	r.endingClient = nil
	for _, client := range r.turnQueue {
		if client.canEnd() {
			r.endingClient = client
			client.bytesToEnd = client.kernelBytes() + senderBytes
			return true
		}
	}
	return false
}

// canEnd reports whether a client's connection can be ended once it has been read from.
func (c *client) canEnd() bool {
	return c.paused && c.rejectsRequests() && !c.r.takeover.handingOver && !c.stalled && !c.lingers && !c.closeAfterReplies && c.hasNoPendingReplies() && (c.turnQueued || c == c.r.endingClient)
}

// endInput has the router read no more of a client, from now on, than it has sent when its connection ends next. Clients with pending
// requests follow when these are answered.
func (r *Router) endInput() {
	r.inputEnds = true
	for client := range r.clients {
		if client.pauseToEnd() {
			r.queueTurn(client)
		}
	}
	r.after(r.limits.LargeValueRetryInterval, r.endInput)
}

// endInput has nothing read of a paused client without pending requests but what the kernel has now.
func (c *client) endInput() {
	if !c.paused || c.inputEnded || c.closeAfterReplies || !c.hasNoPendingReplies() {
		return
	}
	c.inputEnded, c.kernelInputLeft = true, c.kernelBytes()
	c.r.queueTurn(c)
}

// endLingering closes the connections that have been ended and that their clients have not closed yet. Those with replies that are
// being delivered follow when these have arrived.
func (r *Router) endLingering() {
	r.lingeringEnded = true
	for client := range r.polledClients {
		client.closeLingering()
	}
}

// closeLingering closes a lingering client that has got its replies, or does not read them, once clients linger no longer.
func (c *client) closeLingering() {
	if c.lingers && c.r.lingeringEnded && (!c.hasUndelivered() || c.isUnresponsive()) {
		c.close()
	}
}

// endConnection ends a paused client's connection once everything is answered that had been sent when its input ended.
func (c *client) endConnection() {
	if c.lingers || c.kernelInputLeft > 0 || c.owesAnswer() {
		return
	}
	if c.closeUnlessOwed(counters.ClientDrained) {
		return
	}
	if c.r.lingeringEnded && !c.hasUndelivered() {
		c.closeFor(counters.ClientDrained)
		return
	}
	// Closing would reset the connection for the rest of the input, and the client might lose replies.
	c.end, c.lingers = counters.ClientDrained, true
	_ = unix.Shutdown(c.descriptor, unix.SHUT_WR) // after an error the client is gone
}

// dropLingeringInput drops what a lingering client has sent, so that the end of its connection can arrive.
func (c *client) dropLingeringInput() {
	for range maxDroppedReads {
		n, err := unix.Read(c.descriptor, c.r.readBuffer)
		if err != nil || n == 0 {
			return
		}
	}
}

// maxDroppedReads bounds the time that a client takes.
const maxDroppedReads = 16
