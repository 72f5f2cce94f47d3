package router

import (
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/wire"
)

// upstream is a connection to a server.
type upstream struct {
	r               *Router
	server          *server
	addr            string // address it was dialed to; the server's may have changed since
	conn            gnet.Conn
	attempt         *activeAttempt    // nil: idle
	idleSince       clock.Time        // when it became idle
	writing         bool              // gnet may close the connection within a write
	detached        bool              // off the loop while a large value is streamed
	attemptCount    int               // attempts that it has carried
	previousRequest routing.RequestID // of the attempt before the current one
	end             counters.ServerConnectionEnd
}

func (up *upstream) onOpen(conn gnet.Conn) {
	up.conn = conn
	if up.detached {
		up.detached = false
		up.r.connCount-- // it stayed counted while it was off the loop
		up.release()
		return
	}
	up.r.serverConnCount++
	up.server.dialing--
	up.r.pendingDials--
	up.release()
}

// release assigns the connection to the first waiting attempt, or keeps it idle. A connection to an address the
// server has left is closed: if it was busy or still being dialed during the address change, it used to carry
// requests to whichever server is there now.
func (up *upstream) release() {
	s := up.server
	if up.addr != s.addr {
		up.r.dialQueue = append(up.r.dialQueue, s)
		up.closeFor(counters.ServerNotInUse)
		up.r.closeConn(up.conn)
		up.r.dialForWaiting()
		return
	}
	up.idleSince = up.r.clock()
	s.dropExpired(up.r, up.idleSince)
	if len(s.waitingAttempts) > 0 && up.mayReuse() && up.isOpen(s.waitingAttempts[0]) {
		attempt := s.waitingAttempts[0]
		s.waitingAttempts = s.waitingAttempts[1:]
		up.send(attempt)
		return
	}
	if !s.ready {
		up.closeFor(counters.ServerNotInUse)
		up.r.closeConn(up.conn)
		return
	}
	s.idleConns = append(s.idleConns, up)
	if len(s.waitingAttempts) > 0 {
		up.r.dialQueue = append(up.r.dialQueue, s)
		up.r.dialForWaiting()
	}
}

// mayReuse reports whether the connection can carry another attempt now. A server that answers twice does so some
// milliseconds late, and answers carry no request id. If that happened recently, a used connection rests for that
// long, so that a duplicate answer cannot be taken for that of the next request.
func (up *upstream) mayReuse() bool {
	now := up.r.clock()
	return now >= up.r.duplicateGuardUntil || up.attemptCount == 0 || now-up.idleSince >= up.r.limits.ReuseDelay
}

// isOpen reports whether the server has neither closed the connection nor sent anything that the loop has yet to
// read. An attempt written to a closed connection may have run for all the router knows, so this is checked where
// that would forbid a retry; in the other cases the loop notices in time, or the attempt is retried.
func (up *upstream) isOpen(attempt *activeAttempt) bool {
	if up.r.cfg.Settings.Methods[attempt.request.method].Idempotency == routing.Idempotent || up.attemptCount == 0 {
		return true
	}
	var one [1]byte
	_, _, err := unix.Recvfrom(up.conn.Fd(), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != nil && err != unix.ECONNRESET
}

// noteUnsolicited records that the server has sent data that belongs to no attempt. The caller closes the connection.
func (up *upstream) noteUnsolicited(receivedBytes int) {
	up.closeFor(counters.UnsolicitedData)
	up.logAnomaly(counters.UnsolicitedData, receivedBytes)
	up.r.duplicateGuardUntil = up.r.clock() + up.r.limits.DuplicateResponseWindow
}

func (up *upstream) send(attempt *activeAttempt) {
	up.attempt, attempt.conn = attempt, up
	up.attemptCount++
	if attempt.request.largeWrite != nil {
		attempt.request.largeWrite.scheduleSend(attempt)
		return
	}
	wireAttempt := wire.NewAttempt(&attempt.request.Request, up.server.addr, attempt.remaining(up.r.clock()))
	up.r.writeBuffer = up.server.protocol.AppendAttempt(up.r.writeBuffer[:0], wireAttempt)
	up.writing = true
	_, err := up.conn.Write(up.r.writeBuffer)
	up.writing = false
	if err != nil { // gnet has closed the connection and called onClose
		return
	}
	up.noteSent()
}

// noteSent counts an attempt once its last byte has been handed to the kernel.
func (up *upstream) noteSent() {
	if attempt := up.attempt; attempt != nil && !attempt.fullySent && !up.writing && up.conn.OutboundBuffered() == 0 {
		attempt.fullySent = true
		up.r.counts.ForwardedAttempts++
	}
}

// onTraffic reads an answer. Data that arrives without an attempt, or after the answer, belongs to no request.
func (up *upstream) onTraffic() gnet.Action {
	attempt := up.attempt
	if attempt == nil {
		up.r.counts.AbortedConnections++
		up.noteUnsolicited(up.conn.InboundBuffered())
		return gnet.Close
	}
	buf, err := up.conn.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	outcome, used, keep, err := up.server.protocol.ReadAnswer(buf, false)
	if err != nil && up.startLargeRead(buf) {
		return gnet.Close
	}
	if err != nil {
		// The server responded, so the connection did not fail, but its answer is malformed: the request may have
		// run.
		up.r.counts.AbortedConnections++
		up.closeFor(counters.MalformedAnswer)
		up.logAnomaly(counters.MalformedAnswer, len(buf))
		up.r.endAttempt(attempt, routing.Failed, nil)
		return gnet.Close
	}
	if used == 0 {
		return gnet.None
	}
	up.r.handleOutcome(attempt, outcome)
	if used < len(buf) {
		up.noteUnsolicited(len(buf) - used)
		return gnet.Close
	}
	if !keep {
		up.closeFor(counters.SingleUse)
		return gnet.Close
	}
	_, _ = up.conn.Discard(used) // bytes that Peek has just returned
	up.release()
	return gnet.None
}

// onClose ends the attempt on a closed connection. An attempt whose last byte has not been sent has never run; any
// other may have run. gnet still writes out its buffer after this callback; so that an aborted attempt cannot
// reach the server that way, the socket is shut down first.
//
// An answer without a length lasts until the end of the stream. A reset is no such end: the rest of the value is
// missing, and the client would get a truncated value as a complete one.
func (up *upstream) onClose(endOfStream bool) {
	s := up.server
	up.r.serverConnCount--
	up.r.counts.ServerConnectionEnds[up.end]++
	if up.conn.OutboundBuffered() > 0 {
		_ = unix.Shutdown(up.conn.Fd(), unix.SHUT_RDWR) // fails if the peer has already closed it
	}
	s.idleConns = slices.DeleteFunc(s.idleConns, func(x *upstream) bool { return x == up })
	attempt := up.attempt
	if attempt == nil {
		return
	}
	status := routing.Reset
	if up.writing || up.conn.OutboundBuffered() > 0 || attempt.request.largeWrite != nil { // the body of a large write has not started
		status = routing.ConnectError
	} else if buf, _ := up.conn.Peek(-1); endOfStream && len(buf) > 0 {
		if outcome, used, _, err := up.server.protocol.ReadAnswer(buf, true); err == nil && used > 0 {
			up.r.handleOutcome(attempt, outcome)
			return
		}
	}
	up.r.endAttempt(attempt, status, nil)
}
