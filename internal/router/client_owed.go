package router

import (
	"github.com/sirupsen/logrus"

	"spurtrestle/internal/counters"
	"spurtrestle/internal/resp"
)

// obligation is what the router owes a client. A request is one from its last byte on, whether or not the router has read it, so
// that a connection may be closed only when nothing is owed.
type obligation uint8

const (
	owesNothing  obligation = iota
	owesReply               // a command is being processed, or its reply has not been handed to the kernel
	owesCommand             // a command has been read, and it waits to be processed
	owesInput               // the kernel has input that has not been read, which may complete a command
	owesDelivery            // the kernel has replies that it has not delivered
)

var obligationNames = map[obligation]string{owesNothing: "nothing", owesReply: "reply", owesCommand: "command", owesInput: "input",
	owesDelivery: "delivery"}

// owes returns the first thing that the router owes the client.
func (c *client) owes() obligation {
	switch {
	case !c.hasNoPendingReplies():
		return owesReply
	case c.hasUnreadCommand():
		return owesCommand
	case c.isOpen() && c.kernelBytes() > 0:
		return owesInput
	case c.hasUndelivered():
		return owesDelivery
	}
	return owesNothing
}

// owesAnswer reports whether the client has sent something that has been read, and whose reply has not been handed to the kernel. It
// needs no system call.
func (c *client) owesAnswer() bool { return !c.hasNoPendingReplies() || c.hasUnreadCommand() }

// isUnresponsive reports whether the client has not read its replies for too long.
func (c *client) isUnresponsive() bool {
	if !c.hasNoPendingReplies() {
		return c.allAnswered() && c.r.clock()-c.lastActivity > c.r.limits.ClientWriteTimeout
	}
	return c.hasUndelivered() && c.r.clock()-max(c.lastSentAt, c.progressAt) > c.deliveryTimeout()
}

// hasEnded reports whether the client, which is to be closed after its replies, has got them. What it sends is ignored.
func (c *client) hasEnded() bool {
	return c.closeAfterReplies && (!c.isOpen() || c.isQuiet() || c.isUnresponsive())
}

// hasUnreadCommand reports whether the input begins with a complete command, or with what is none and is answered by an error.
func (c *client) hasUnreadCommand() bool {
	if len(c.input.unread) == 0 || c.closeAfterReplies {
		return false
	}
	words, used, err := resp.ReadCommand(c.input.unread, c.r.words, c.r.limits.RESP)
	clear(words) // they refer to the input
	c.r.words = words[:0]
	return used > 0 || err != nil
}

// closeUnlessOwed closes the connection of an open client if nothing is owed to it, or it has not read its replies for too long. It
// reports whether it did.
func (c *client) closeUnlessOwed(end counters.ClientConnectionEnd) bool {
	if c.owes() != owesNothing && !c.isUnresponsive() {
		return false
	}
	c.end = end
	c.close()
	return true
}

// closeFor closes the connection of an open client in any case.
func (c *client) closeFor(end counters.ClientConnectionEnd) {
	c.end = end
	c.noteObligation()
	c.close()
}

// noteObligation logs and counts that the client is closed although something is owed to it.
func (c *client) noteObligation() {
	owed := c.owes()
	if owed == owesNothing {
		return
	}
	c.r.counts.UnansweredEnds[c.end]++
	suppressed, ok := c.r.anomalies.admit(c.r.clock())
	if !ok {
		return
	}
	fields := logrus.Fields{
		"reason":  c.end.String(),
		"owed":    obligationNames[owed],
		"pending": len(c.slots),
		"unread":  len(c.input.unread),
		"kernel":  c.kernelBytes(),
		"unsent":  len(c.unsent),
		"idle":    toDuration(c.r.clock() - c.lastActivity),
		"paused":  c.paused,
	}
	if len(c.slots) > 0 && c.slots[0].request != nil {
		fields["request"] = string(c.slots[0].request.ID)
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	c.r.log.WithFields(fields).Warn("client connection: closed before it was answered")
}
