package router

import (
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clientmemory"
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
	attemptCount    int               // attempts that it has carried, the current one included
	previousRequest routing.RequestID // of the attempt before the current one
	answers         answerHistory     // that it has delivered
	fenceSent       bool              // behind the current attempt; its reply has not been handled
	partial         []byte            // what has arrived of the answer to the current attempt
	readFailed      bool              // reading has failed, other than by the end of the stream
	end             counters.ServerConnectionEnd
	memory          clientmemory.Account
}

// newUpstream returns a connection to a server that is being dialed, or is off the loop.
func newUpstream(r *Router, s *server) *upstream {
	return &upstream{r: r, server: s, addr: s.addr, memory: r.held.NewAccount()}
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
	if len(s.waitingAttempts) > 0 && up.canCarry(s.waitingAttempts[0]) {
		attempt := s.waitingAttempts[0]
		up.r.removeWaiting(attempt)
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

// canCarry reports whether an attempt may be sent on the connection now.
func (up *upstream) canCarry(attempt *activeAttempt) bool {
	return up.hasRested() && up.mayCarry(attempt) && up.isOpen(attempt)
}

// hasRested reports whether the connection may be reused now. If a server answered twice recently, a used connection rests
// until a second answer would have arrived.
func (up *upstream) hasRested() bool {
	now := up.r.clock()
	return up.attemptCount == 0 || now >= up.r.duplicateGuardUntil || now-up.idleSince >= up.r.limits.ReuseDelay
}

// isOpen reports whether the server has neither closed the connection nor sent anything that the loop has yet to
// read. An attempt written to a closed connection may have run for all the router knows, so this is checked where
// that would forbid a retry; in the other cases the loop notices in time, or the attempt is retried.
func (up *upstream) isOpen(attempt *activeAttempt) bool {
	if attempt.request.isIdempotent(up.r) || up.attemptCount == 0 {
		return true
	}
	var one [1]byte
	_, _, err := unix.Recvfrom(up.conn.Fd(), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != nil && err != unix.ECONNRESET
}

func (up *upstream) send(attempt *activeAttempt) {
	up.attempt, attempt.conn = attempt, up
	up.attemptCount++
	up.r.rememberID(attempt.request.ID)
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
	up.memory.Set(clientmemory.ServerOutput, up.conn.OutboundBuffered())
	up.noteSent()
}

// onTraffic reads an answer. Data that arrives without an attempt, or after the answer, belongs to no request.
func (up *upstream) onTraffic() gnet.Action {
	chunk, err := up.conn.Peek(-1)
	if err != nil || len(chunk) == 0 {
		return gnet.None
	}
	_, _ = up.conn.Discard(len(chunk)) // these bytes stay valid until gnet reads again
	if up.attempt == nil {
		up.noteDuplicate(counters.UnsolicitedData, len(chunk))
		return gnet.Close
	}
	up.noteSent()
	return up.handleInput(up.joinInput(chunk))
}

// handleInput handles what has arrived of an answer.
func (up *upstream) handleInput(input []byte) gnet.Action {
	outcome, used, keep, err := up.server.protocol.ReadAnswer(input, false)
	switch {
	case err != nil && up.startLargeRead(input):
		return gnet.Close
	case err != nil: // the server responded, so the connection did not fail, but the request may have run
		up.r.counts.AbortedConnections++
		up.closeFor(counters.MalformedAnswer)
		up.logAnomaly(counters.MalformedAnswer, len(input))
		up.r.endAttempt(up.attempt, routing.Failed, nil)
		return gnet.Close
	case used > 0:
		return up.handleAnswer(completeAnswer{outcome: outcome, input: input, used: used, keep: keep})
	}
	return up.handlePartialAnswer(input)
}

// handleAnswer handles a complete answer to the current attempt.
func (up *upstream) handleAnswer(answer completeAnswer) gnet.Action {
	attempt := up.attempt
	sum := sumAnswer(answer.outcome, answer.input[:answer.used])
	following := answer.input[answer.used:]
	owner := up.ownerOf(answer.outcome, sum, following)
	switch owner {
	case ownerPending:
		up.keepAnswer(answer.input)
		return gnet.None
	case ownerLost:
		return gnet.Close
	}
	up.r.spareBuffer, up.partial = up.partial, nil
	defer func() { up.r.spareBuffer = nil }()
	up.memory.Release()
	if owner == ownerInDoubt {
		up.noteDuplicate(counters.AnswerInDoubt, len(answer.input))
		up.dropAnswer(attempt)
		return gnet.Close
	}
	if up.fenceSent {
		fenceUsed, _ := up.server.protocol.ReadFence(following) // it was read when the owner was confirmed
		following = following[fenceUsed:]
		up.fenceSent = false
	}
	up.r.handleOutcome(attempt, answer.outcome)
	switch {
	case len(following) > 0:
		up.noteDuplicate(counters.UnsolicitedData, len(following))
		return gnet.Close
	case !answer.keep || owner == ownerNoMatter || up.needsOwnConn(attempt.request):
		up.closeFor(counters.SingleUse)
		return gnet.Close
	}
	up.answers.remember(sum)
	up.release()
	return gnet.None
}

// onClose ends the attempt on a closed connection. gnet still writes out its buffer after this callback; so that an aborted attempt cannot
// reach the server that way, the socket is shut down first.
//
// An answer without a length lasts until the end of the stream. A reset is no such end: the rest of the value is
// missing, and the client would get a truncated value as a complete one.
func (up *upstream) onClose(endOfStream bool) {
	s := up.server
	up.memory.Release()
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
	if !attempt.mayHaveRun() {
		status = routing.ConnectError
	} else if outcome, ok := up.answerAtEnd(endOfStream); ok {
		up.r.handleOutcome(attempt, outcome)
		return
	}
	up.r.endAttempt(attempt, status, nil)
}

// answerAtEnd returns the answer that the end of the stream has completed.
func (up *upstream) answerAtEnd(endOfStream bool) (outcome wire.Outcome, ok bool) {
	if !endOfStream || up.readFailed || len(up.partial) == 0 || up.fenceSent {
		return outcome, false
	}
	outcome, used, _, err := up.server.protocol.ReadAnswer(up.partial, true)
	if err != nil || used == 0 {
		return outcome, false
	}
	up.noteSent()
	isRepeated := up.answers.contains(sumAnswer(outcome, up.partial[:used]))
	return outcome, up.isFirstAttempt() || up.attempt.fullySent && !isRepeated
}
