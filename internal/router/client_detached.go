package router

import (
	"github.com/panjf2000/gnet/v2"

	"spurtrestle/core/clientmemory"
)

// A client whose large value is streamed is detached: its connection is off the loop, and a goroutine owns it until it returns.

// detachFromLoop takes the client's connection off the loop, or out of its pause, and returns the descriptor with which
// a goroutine continues; it stays counted. If it was on the loop, the descriptor is a duplicate, and the caller closes
// the connection before gnet reads from it again.
func (c *client) detachFromLoop() (descriptor int, err error) {
	if c.paused {
		c.paused = false
		c.setDetached(true)
		return c.descriptor, nil
	}
	if descriptor, err = c.conn.Dup(); err != nil {
		return -1, err
	}
	c.conn.SetContext(nil)
	c.conn = nil
	c.setDetached(true)
	c.r.detachedClients++
	c.r.connCount++
	delete(c.r.clients, c)
	return descriptor, nil
}

// reattach returns the client to the loop and writes the replies that are ready.
func (c *client) reattach(conn gnet.Conn) {
	r := c.r
	c.arrivalTimes = arrivalTimes{}
	c.arrivalTimes.noteUnread(len(c.input.unread), c.lastActivity) // this input arrived before the connection left the loop
	c.conn, c.lastActivity = conn, r.clock()
	c.noteOutput(c.lastActivity)
	c.setDetached(false)
	c.memory.Set(clientmemory.LargeValues, 0)
	c.noteMemory()
	r.detachedClients--
	r.connCount-- // it stayed counted while it was off the loop
	r.clients[c] = struct{}{}
	if len(c.unsent) > 0 {
		r.pollClient(c)
	}
	c.flushReplies()
	if c.conn != nil && !c.closeAfterReplies && len(c.input.unread) > 0 {
		r.runAsync(c.resumeReading)
	}
	if r.isClosingClients() || r.takeover.handingOver {
		r.queueBatch()
	}
}

// detachedConnLost finishes a client whose connection ended while it was off the loop.
func (c *client) detachedConnLost() {
	c.r.detachedClients--
	c.r.connCount--
	c.setDetached(false)
	delete(c.r.clients, c)
	c.onClose(false)
}

// setDetached records that the client leaves the loop, to stay off it while a value is streamed, or returns.
func (c *client) setDetached(detached bool) {
	if c.detached == detached {
		return
	}
	c.detached = detached
	switch {
	case !c.hasSentRequest:
	case detached:
		c.r.requestingClients--
	default:
		c.r.requestingClients++
	}
}
