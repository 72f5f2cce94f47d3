package router

import (
	"bytes"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clientmemory"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/resp2"
)

// slot is the place of one command in the reply order of its connection.
type slot struct {
	request       *pendingRequest
	reply         []byte     // nil: not answered yet
	largeRead     *largeRead // set if the reply is a large value
	reservedBytes int        // of memory, for the reply
}

// replyNow queues the reply of a command that needs no server.
func (c *client) replyNow(text []byte) {
	if c.isOpen() && c.hasNoPendingReplies() {
		c.write(text)
		return
	}
	s := &slot{}
	c.slots = append(c.slots, s)
	c.fillSlot(s, text)
}

// deliver replies to a request of this client, in command order.
func (c *client) deliver(request *pendingRequest, a wire.Answer) {
	c.r.writeBuffer = resp2.AppendAnswer(c.r.writeBuffer[:0], a)
	c.fillSlot(&request.slot, c.r.writeBuffer)
}

// fillSlot sets the reply of a slot and writes all replies that are next in order.
func (c *client) fillSlot(s *slot, text []byte) {
	if !c.isOpen() && !c.detached {
		return
	}
	c.releaseReservation(s)
	if c.detached {
		c.holdReply(s, text)
		return
	}
	if len(c.unsent) == 0 && len(c.slots) > 0 && c.slots[0] == s {
		c.removeFirstSlot()
		c.write(text)
	} else {
		c.holdReply(s, text)
	}
	c.flushReplies()
}

// holdReply keeps the reply of a slot until those before it have been written.
func (c *client) holdReply(s *slot, text []byte) {
	s.reply = c.r.copyReply(text)
	c.memory.Add(clientmemory.PendingAnswers, cap(s.reply))
}

// copyReply copies a reply. It reuses the buffer of the answer that the reply was made from, unless that is much larger.
func (r *Router) copyReply(text []byte) []byte {
	spare := r.spareBuffer
	if cap(spare) < len(text) || cap(spare) > len(text)+maxAnswerHeadBytes {
		return bytes.Clone(text)
	}
	r.spareBuffer = nil
	return append(spare[:0], text...)
}

// removeFirstSlot removes the slot that is next in order and returns its reply. Neither the array of the slots nor
// the request of the slot refers to the reply from then on.
func (c *client) removeFirstSlot() (reply []byte) {
	first := c.slots[0]
	c.slots[0] = nil
	c.slots = c.slots[1:]
	reply, first.reply = first.reply, nil
	c.memory.Add(clientmemory.PendingAnswers, -cap(reply))
	return reply
}

// flushReplies writes the replies that are next in order, up to the next large value, which is streamed off the
// loop. It stops at a reply that the kernel does not accept completely.
func (c *client) flushReplies() {
	if c.r.turnClient == c {
		return // endTurnOutput calls it again
	}
	for len(c.unsent) == 0 && len(c.slots) > 0 && c.slots[0].reply != nil {
		c.write(c.removeFirstSlot())
	}
	if !c.isOpen() || len(c.unsent) > 0 {
		return
	}
	if c.largeWriteNext && len(c.slots) == 0 {
		c.r.runAsync(c.resumeLargeWrite)
	}
	if len(c.slots) > 0 && c.slots[0].largeRead != nil && !c.detachPending {
		c.detachPending = true
		c.r.runAsync(c.detach) // not within a callback of this connection
	}
	switch {
	case c.paused || !c.closeAfterReplies:
	case c.hasEnded():
		c.close()
	default:
		c.r.pollClient(c)
	}
}

// write hands a reply to the kernel, or to what is collected during the client's turn. What the kernel does not accept is
// sent later, and the replies behind it wait in their slots: gnet's own buffer has no bound.
func (c *client) write(text []byte) {
	if c.r.turnClient == c {
		c.r.turnOutput = append(c.r.turnOutput, text...)
		return
	}
	c.writeNow(text)
}

func (c *client) writeNow(text []byte) {
	if !c.isOpen() {
		return
	}
	c.lastActivity = c.r.clock()
	c.noteOutput(c.lastActivity)
	sent, err := c.r.sendFunc(c, text)
	if err != nil {
		c.close()
		return
	}
	if sent < len(text) {
		c.unsent = c.r.copyReply(text[sent:])
		c.r.pollClient(c)
	}
	c.noteMemory()
}

// writeUnsent sends more of the reply that the kernel has not accepted completely, and the replies behind it. A client
// that has not read for long is closed.
func (c *client) writeUnsent() {
	now := c.r.clock()
	sent, err := c.r.sendFunc(c, c.unsent)
	switch {
	case err != nil:
		c.close()
		return
	case sent == 0 && now-c.lastSentAt > c.r.limits.LargeValueUnreadTimeout:
		c.r.counts.AbortedConnections++
		c.closeFor(counters.ClientUnread)
		return
	case sent > 0:
		c.lastActivity = now
		c.noteOutput(now)
	}
	if c.unsent = c.unsent[sent:]; len(c.unsent) == 0 {
		c.unsent = nil
	}
	c.noteMemory()
	c.flushReplies()
}

// sendNonblocking writes to a client's connection and returns how many bytes the kernel has accepted.
func sendNonblocking(c *client, data []byte) (sent int, err error) {
	for {
		sent, err = unix.Write(c.fd(), data)
		switch err {
		case nil:
			return sent, nil
		case unix.EINTR:
			continue
		case unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM: // it is tried again
			return 0, nil
		}
		return 0, err
	}
}

// hasNoPendingReplies reports whether no command of the client is being processed and all replies have been handed
// to the kernel. An incomplete command does not count.
func (c *client) hasNoPendingReplies() bool {
	return len(c.slots) == 0 && len(c.unsent) == 0
}
