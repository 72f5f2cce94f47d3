package router

import (
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/resp2"
)

// A command waits for memory with its beginning read and its rest in the kernel. Once all of it has arrived its time runs. It is
// rejected when part of that is over, and its rest is dropped, which takes no memory.

// maxHeadWordBytes bounds the words before the value of such a command.
const maxHeadWordBytes = 1 << 10

// noteKernelInput dates the input of a paused client that waits for memory.
func (c *client) noteKernelInput(now clock.Time) {
	inKernel := c.kernelBytes()
	if inKernel != c.lastKernelBytes {
		c.lastKernelBytes, c.lastActivity = inKernel, now
	}
	if c.arrivedInKernelAt == 0 && c.hasArrived() {
		c.arrivedInKernelAt = now
		c.arrivalTimes.noteUnread(len(c.input.unread)+inKernel, now)
	}
}

// hasWaitedTooLong reports whether the command that waits for memory has done so for as long as it may.
func (c *client) hasWaitedTooLong() bool {
	if c.arrivedInKernelAt == 0 || !c.hasNoPendingReplies() {
		return false
	}
	_, timeout, ok := c.unreadWrite()
	startedAt := max(c.arrivedInKernelAt, c.lastSentAt)
	return ok && c.r.clock() >= startedAt+timeout/roomWaitDivisor
}

// unreadWrite returns the method of the write that has been read in part, and for how long its answer is useful.
func (c *client) unreadWrite() (method routing.Method, useful clock.Duration, ok bool) {
	bounds := c.r.limits.RESP
	bounds.Bulk, bounds.Streamed = maxHeadWordBytes, bounds.Bulk
	words, _, _, ok := resp.ReadLargeCommand(c.input.unread, c.r.words, bounds)
	defer clear(words) // they refer to the input
	if !ok || len(words) != writeWords-1 || !isVerb(words[0], "CACHE.SET") {
		return 0, 0, false
	}
	props := resp2.ParseProps(words[3])
	method, ok = c.r.methods[string(props.Method)]
	if !ok || props.BadDeadline {
		return 0, 0, false
	}
	return method, c.r.usefulTime(method, props.Timeout-c.r.limits.ClientNetworkMargin), true
}

// rejectUnread rejects the command that waits for memory.
func (c *client) rejectUnread() {
	method, _, ok := c.unreadWrite()
	if !ok {
		return
	}
	total := resp.CommandBytes(c.input.unread, c.r.limits.RESP)
	if !c.dropKernelInput(total - len(c.input.unread)) {
		c.closeFor(counters.ClientUnread)
		return
	}
	c.arrivalTimes.consume(total, c.lastActivity)
	c.input = inputBuffer{}
	c.hasSentCommand, c.lastCommandAt, c.partialSince = true, c.lastActivity, 0
	c.r.counts.RejectedForMemory++
	c.r.countUnadmitted(method, wire.Rejected)
	c.replyNow(busyReply)
}

// dropKernelInput drops bytes that the kernel has of a paused client. It reports whether it could.
func (c *client) dropKernelInput(size int) bool {
	for size > 0 {
		n, err := unix.Read(c.descriptor, c.r.readBuffer[:min(size, len(c.r.readBuffer))])
		if err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			return false
		}
		size -= n
	}
	return true
}
