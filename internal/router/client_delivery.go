package router

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
)

// A reply that the kernel has accepted is not delivered yet: the kernel keeps what a client that reads slowly has no room for, and
// drops it if the connection is closed and the client sends something more. The kernel is asked only when a connection may be
// closed, so that an answer costs no further system call.

const (
	// acknowledgementTime is how long the client's side may take to acknowledge what it has got. Until then, what the kernel has
	// sent counts as delivered: it arrives ahead of a reset.
	acknowledgementTime = 200 * clock.Millisecond
	// slowReaderTime is how long the kernel has had replies to deliver, at each check, when the client counts as one that reads slowly.
	slowReaderTime = 100 * clock.Millisecond
)

// delivery is what is known of the replies to a client that the kernel has accepted.
type delivery struct {
	inKernel    bool       // since replies were last known to be delivered, the kernel has accepted some
	undelivered int        // bytes that the kernel had when it was last asked
	progressAt  clock.Time // when that number last changed
	slowSince   clock.Time // since then the kernel has had replies at each check; 0: it had none at the last one
}

// noteOutput records that the kernel has accepted a part of a reply.
func (c *client) noteOutput(now clock.Time) { c.lastSentAt, c.inKernel = now, true }

// isQuiet reports whether the client has no pending replies, and all that it was sent has been delivered.
func (c *client) isQuiet() bool { return c.hasNoPendingReplies() && !c.hasUndelivered() }

// hasUndelivered reports whether the kernel has replies that it has not delivered.
func (c *client) hasUndelivered() bool {
	if !c.inKernel || !c.isOpen() {
		return false
	}
	now := c.r.clock()
	unacknowledged := kernelOutput(c.fd(), unix.SIOCOUTQ)
	c.inKernel = unacknowledged > 0
	undelivered := unacknowledged
	if c.inKernel && now-c.lastSentAt < acknowledgementTime {
		undelivered = unsentOutput(c.fd(), unacknowledged)
	}
	if undelivered != c.undelivered {
		c.undelivered, c.progressAt = undelivered, now
	}
	return undelivered > 0
}

// unsentOutput returns how many bytes the kernel has not sent, out of those that are not acknowledged. Some kinds of sockets do not
// tell.
func unsentOutput(descriptor, unacknowledged int) int {
	if unsent, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQNSD); err == nil {
		return unsent
	}
	return unacknowledged
}

// kernelOutput returns a number of bytes in a connection's send queue; 0 if the connection is gone.
func kernelOutput(descriptor int, request uint) int {
	n, err := unix.IoctlGetInt(descriptor, request)
	if err != nil {
		return 0
	}
	return n
}

// closeDelivered ends a client's connection off the loop, and closes it when the replies before have been delivered, or when the client
// has read none of them for too long.
func (r *Router) closeDelivered(conn net.Conn) {
	defer conn.Close()
	stream, canEnd := conn.(*net.TCPConn)
	if !canEnd || stream.CloseWrite() != nil {
		return // after an error the client is gone
	}
	undelivered, progressAt := -1, time.Now()
	for time.Since(progressAt) < toDuration(r.limits.ClientWriteTimeout) {
		left := connOutput(stream)
		switch {
		case left == 0:
			return
		case left != undelivered:
			undelivered, progressAt = left, time.Now()
		}
		time.Sleep(toDuration(r.limits.LargeValueRetryInterval))
	}
}

// connOutput returns how many bytes of a connection have not been acknowledged; 0 if the connection is gone.
func connOutput(conn syscall.Conn) (unacknowledged int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { unacknowledged = kernelOutput(int(fd), unix.SIOCOUTQ) }) // it is gone after an error
	return unacknowledged
}

// scheduleDeliveryCheck has the router look again soon whether clients that are to be closed have got their replies.
func (r *Router) scheduleDeliveryCheck() {
	if r.deliveryCheckScheduled {
		return
	}
	r.deliveryCheckScheduled = true
	r.after(r.limits.LargeValueRetryInterval, func() {
		r.deliveryCheckScheduled = false
		r.queueBatch()
	})
}

// deliveryTimeout is how long the client may go without reading anything that the kernel has for it.
func (c *client) deliveryTimeout() clock.Duration {
	if c.r.isPastShutdown() {
		return c.r.limits.IdleSweepInterval
	}
	return c.r.limits.ClientWriteTimeout
}

// readsSlowly reports whether replies have been waiting for the client to read them at each call for some time.
func (c *client) readsSlowly() bool {
	now := c.r.clock()
	switch {
	case len(c.unsent) == 0 && !c.hasUndelivered():
		c.slowSince = 0
	case c.slowSince == 0:
		c.slowSince = now
	}
	return c.slowSince != 0 && now-c.slowSince >= slowReaderTime
}
