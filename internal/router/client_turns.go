package router

import "spurtrestle/core/clock"

// A client's turn on the loop is bounded. One that has sent more gets its next turn after those of the other clients
// that wait for one; the loop reads its sockets in between.

const (
	turnInterval  = clock.Millisecond // between two rounds of turns
	turnsPerRound = 16
)

// queueTurn gives the client another turn, in one of the next rounds.
func (r *Router) queueTurn(c *client) {
	if c.turnQueued {
		return
	}
	c.turnQueued = true
	r.turnQueue = append(r.turnQueue, c)
	r.scheduleTurns()
}

// scheduleTurns schedules the next round, without an interval once the process is about to end.
func (r *Router) scheduleTurns() {
	if len(r.turnQueue) == 0 || r.turnsScheduled {
		return
	}
	r.turnsScheduled = true
	if r.closingClients {
		r.runAsync(r.giveTurns)
		return
	}
	r.after(turnInterval, r.giveTurns)
}

// giveTurns gives one round of turns, for a bounded time.
func (r *Router) giveTurns() {
	r.turnsScheduled = false
	if r.closingClients {
		r.giveEndingTurns()
		r.scheduleTurns()
		return
	}
	began := r.clock()
	for range min(turnsPerRound, len(r.turnQueue)) {
		r.giveNextTurn()
		if r.isTimeUp(began) {
			break
		}
	}
	r.scheduleTurns()
}

// giveNextTurn gives a turn to the client that has waited longest for one.
func (r *Router) giveNextTurn() {
	client := r.turnQueue[0]
	r.turnQueue[0] = nil
	r.turnQueue = r.turnQueue[1:]
	client.turnQueued = false
	if client.isOpen() && !client.stalled {
		client.resumeReading()
	}
}

// turnWork returns the work of one turn of the client.
func (c *client) turnWork() int {
	if c == c.r.endingClient {
		return focusTurnWork
	}
	return turnWork
}

// beginTurnOutput collects what is written to a client until endTurnOutput, so that many replies take one system call.
func (r *Router) beginTurnOutput(c *client) {
	r.turnClient, r.turnOutput = c, r.turnOutput[:0]
}

// endTurnOutput writes what was collected.
func (r *Router) endTurnOutput(c *client) {
	r.turnClient = nil
	if len(r.turnOutput) > 0 {
		c.writeNow(r.turnOutput)
	}
	c.flushReplies()
}
