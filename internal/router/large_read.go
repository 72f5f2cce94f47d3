package router

import (
	"bytes"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/wire"
)

// largeRead is a large value on its way from a server to a client. gnet cannot pause reading, and a large value
// must not be held in memory completely. So both connections leave the loop, and a goroutine copies the value in
// chunks; its blocking writes provide back-pressure.
type largeRead struct {
	r                *Router
	upstream         *upstream
	client           *client
	serverDescriptor int    // of the server's connection
	received         []byte // what has been read after the value
	size             int    // of the value
	method           routing.Method
	memory           clientmemory.Account // belongs to the loop
	closeAfter       bool                 // the server's connection carries nothing after the value

	// A value that repeats an earlier one of the same connection may answer an earlier attempt: its line end is sent only once
	// a fence has shown that no other answer follows.
	sum     answerSum     // of what has been read of the value
	earlier answerHistory // empty if the connection had carried nothing else

	clientConn, serverConn net.Conn    // owned by the goroutine
	pending                []byte      // bytes to be written to the client
	remaining              int         // bytes of the value still to be read
	streams                bool        // the goroutine has written what the loop had read
	terminated             bool        // the line end after the value is in pending, or written
	stopped                atomic.Bool // the goroutine is to stop, so that another process continues
}

// startLargeRead handles an answer that is too large to be held: its attempt ends with the first bytes of the
// value. It returns false if this is no such answer. Otherwise the caller closes the connection on the loop; a
// duplicate of its descriptor remains.
func (up *upstream) startLargeRead(input []byte) bool {
	head, ok := up.server.protocol.ReadLargeAnswer(input)
	if !ok || up.conn.OutboundBuffered() > 0 {
		return false
	}
	attempt := up.attempt
	client, isRESP2 := attempt.request.responder.(*client)
	if !isRESP2 { // front ends of other protocols accept complete values only
		up.r.answerRequest(attempt.request, wire.Answer{Kind: wire.Failed, TooLarge: true})
		up.r.endAttempt(attempt, routing.OK, up.r.parseReport(head.Outcome.Report))
		return true
	}
	return up.streamValue(client, head, input)
}

// streamValue has a goroutine stream the value of an answer that has begun to arrive. If it returns true, the caller closes
// the connection on the loop.
func (up *upstream) streamValue(client *client, head wire.ValueHead, input []byte) bool {
	attempt := up.attempt
	if attempt.request.finished {
		return false
	}
	fd, err := up.conn.Dup()
	if err != nil {
		up.r.log.WithError(err).Warn("large value cannot be forwarded")
		return false
	}
	valueEnd := min(len(input), head.Start+head.Size)
	value := input[head.Start:valueEnd]
	replyHead := append(strconv.AppendInt([]byte{'$'}, int64(head.Size), 10), "\r\n"...)
	read := &largeRead{r: up.r, upstream: up, client: client, serverDescriptor: fd,
		pending: append(replyHead, value...), remaining: head.Size - len(value), sum: answerSum{}.add(value),
		received: bytes.Clone(input[valueEnd:]), size: head.Size, method: attempt.request.method, closeAfter: head.Outcome.Close, earlier: up.answers,
		memory: up.r.held.NewAccount()}
	read.memory.Set(clientmemory.LargeValues, cap(read.pending)+up.r.limits.LargeValueWindow)
	up.detachFromLoop()
	attempt.request.finished = true // it is counted when the value ends
	up.r.endLimit(attempt.request)
	up.r.endAttempt(attempt, routing.OK, up.r.parseReport(head.Outcome.Report))
	attempt.request.slot.request = nil
	attempt.request.slot.largeRead = read
	client.releaseReservation(&attempt.request.slot)
	if !client.detached {
		client.flushReplies()
	}
	return true
}

// detachFromLoop takes a server connection off the loop; it stays counted.
func (up *upstream) detachFromLoop() {
	up.memory.Release()
	up.partial = nil
	up.detached = true
	up.r.connCount++
	up.conn.SetContext(nil)
}

// discard drops a value whose client is gone.
func (l *largeRead) discard() {
	l.memory.Release()
	_ = os.NewFile(uintptr(l.serverDescriptor), "").Close()
	l.upstream.detachedConnClosed()
}

// detachedConnClosed updates the counts when a connection off the loop has been closed.
func (up *upstream) detachedConnClosed() {
	up.r.connCount--
	up.r.serverConnCount--
	up.r.counts.ServerConnectionEnds[up.end]++
	up.detached = false
	up.r.dialForWaiting()
}

// detach takes the client off the loop for the large value that is next in its reply order.
func (c *client) detach() {
	c.detachPending = false
	if !c.isOpen() || len(c.slots) == 0 || c.slots[0].largeRead == nil {
		return
	}
	l := c.slots[0].largeRead
	conn := c.conn
	fd, err := c.detachFromLoop()
	if err != nil {
		c.r.log.WithError(err).Warn("large value cannot be forwarded")
		c.close()
		return
	}
	c.removeFirstSlot()
	c.noteMemory()
	if conn != nil {
		c.r.closeConn(conn)
	}
	go l.start(fd)
}

const responseBufferBytes = 4096 // for what a server sends after a large value, or in response to a large write

var chunkPool = sync.Pool{New: func() any { return new([]byte) }}

// start runs off the loop and copies the value. The client's connection is closed unless the complete value has
// been written.
func (l *largeRead) start(clientDescriptor int) {
	client, err := connFromDescriptor(clientDescriptor)
	server, serverErr := connFromDescriptor(l.serverDescriptor)
	if err = errors.Join(err, serverErr); err != nil {
		l.r.log.WithError(err).Warn("large value cannot be forwarded")
	}
	l.clientConn, l.serverConn = client, server
	if err != nil {
		l.abort(err)
		return
	}
	l.r.runAsync(func() {
		l.r.largeReads[l] = struct{}{}
		l.pollClientGone()
	})
	l.forward()
}

// pollClientGone checks, while the client has open requests behind the value, whether it has closed its
// connection. The goroutine notices only at its next write, and until then attempts for those requests used to go
// on.
func (l *largeRead) pollClientGone() {
	hasOpenRequests := slices.ContainsFunc(l.client.slots, func(s *slot) bool { return s.request != nil && !s.request.finished })
	if !l.client.detached || !hasOpenRequests {
		return
	}
	gone := false // an error means that this process has closed the connection: it is on its way back to the loop
	if raw, err := l.clientConn.(syscall.Conn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { gone = peerHungUp(int(fd)) })
	}
	if gone {
		for _, s := range l.client.slots {
			if s.request != nil {
				l.r.clientLeft(s.request)
			}
		}
		return
	}
	l.r.after(l.r.limits.ClientDisconnectCheckInterval, l.pollClientGone)
}

var errHandoverStop = errors.New("stopped for the handover to another process")

// forward copies the rest of the value and returns both connections to the loop.
func (l *largeRead) forward() {
	r := l.r
	err := l.copyValue()
	if err == errHandoverStop {
		r.runAsync(l.handOver)
		return
	}
	if err != nil {
		l.abort(err)
		return
	}
	r.runAsync(func() {
		l.finished()
		r.countOutcome(l.method, wire.Served)
	})
	r.enroll(l.clientConn, l.client, l.client.detachedConnLost)
	if !l.closeAfter && l.readTrailer() == nil {
		l.upstream.answers.remember(l.sum)
		r.enroll(l.serverConn, l.upstream, l.upstream.detachedConnClosed)
		return
	}
	l.serverConn.Close()
	r.runAsync(l.upstream.detachedConnClosed)
}

// abort ends a value that cannot be completed. Its length has been sent, so no client takes it for complete.
func (l *largeRead) abort(cause error) {
	l.r.log.WithError(cause).Debug("large value aborted")
	if l.serverConn != nil {
		l.serverConn.Close()
	}
	if l.clientConn != nil {
		l.r.closeDelivered(l.clientConn)
	}
	l.r.runAsync(func() {
		l.finished()
		l.r.countOutcome(l.method, wire.Failed)
		if errors.Is(cause, errOwnerInDoubt) {
			l.upstream.noteDuplicate(counters.AnswerInDoubt, l.size)
		}
		l.upstream.detachedConnClosed()
		l.client.detachedConnLost()
	})
}

// finished forgets a value that is not in transit any more.
func (l *largeRead) finished() {
	delete(l.r.largeReads, l)
	l.memory.Release()
}

// copyValue copies the rest of the value.
func (l *largeRead) copyValue() error {
	r := l.r
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	if len(*chunk) != r.limits.LargeValueWindow {
		*chunk = make([]byte, r.limits.LargeValueWindow)
	}
	for {
		for len(l.pending) > 0 {
			_ = l.clientConn.SetWriteDeadline(time.Now().Add(toDuration(r.limits.LargeValueUnreadTimeout)))
			if l.stopped.Load() { // checked after setting the deadline, since requestStop sets a deadline, too
				l.pending = append([]byte(nil), l.pending...)
				return errHandoverStop
			}
			n, err := l.clientConn.Write(l.pending)
			if l.pending = l.pending[n:]; err != nil && !l.stopped.Load() {
				return err
			}
		}
		l.releasePending()
		switch {
		case l.terminated:
			return nil
		case l.remaining == 0:
			if err := l.confirmOwner(); err != nil {
				return err
			}
			l.terminated, l.pending = true, []byte("\r\n")
			continue
		}
		if err := l.readChunk(*chunk); err != nil {
			return err
		}
	}
}

// releasePending releases what the loop had read of the value, once it has been written.
func (l *largeRead) releasePending() {
	if l.pending = nil; l.streams {
		return
	}
	l.streams = true
	l.r.runAsync(func() {
		if l.memory.Total() > 0 { // otherwise the value has ended
			l.memory.Set(clientmemory.LargeValues, l.r.limits.LargeValueWindow)
		}
	})
}

// readChunk reads the next part of the value.
func (l *largeRead) readChunk(chunk []byte) error {
	_ = l.serverConn.SetReadDeadline(time.Now().Add(toDuration(l.r.limits.LargeValueStallTimeout)))
	if l.stopped.Load() { // checked after setting the deadline, since requestStop sets a deadline, too
		return errHandoverStop
	}
	n, err := l.serverConn.Read(chunk[:min(l.remaining, len(chunk))])
	l.pending = chunk[:n]
	l.sum = l.sum.add(l.pending)
	l.remaining -= n
	if err != nil && n == 0 && !l.stopped.Load() {
		return err
	}
	return nil
}

func (c *client) allAnswered() bool {
	return !slices.ContainsFunc(c.slots, func(s *slot) bool { return s.reply == nil })
}

var (
	errOwnerInDoubt = errors.New("the value may answer an earlier request")
	errInputFollows = errors.New("the server has sent more than one answer")
)

// confirmOwner makes sure, before the value is completed, that it does not answer an earlier request.
func (l *largeRead) confirmOwner() error {
	if !l.earlier.contains(l.sum) {
		return nil
	}
	fence := l.upstream.server.protocol.Fence()
	if fence == nil {
		return errOwnerInDoubt
	}
	if err := l.readTrailer(); err != nil {
		return errOwnerInDoubt
	}
	_ = l.serverConn.SetWriteDeadline(time.Now().Add(toDuration(l.r.limits.LargeValueStallTimeout)))
	if _, err := l.serverConn.Write(fence); err != nil {
		return err
	}
	if err := l.readFence(); err != nil {
		return err
	}
	l.earlier = nil
	return nil
}

// readTrailer reads the rest of the answer behind the value. It returns nil if nothing else has arrived.
func (l *largeRead) readTrailer() error {
	return l.readUntil(func(received []byte) (done bool, err error) {
		used, complete, err := l.upstream.server.protocol.ReadTrailer(received)
		if complete && used < len(received) {
			return false, errInputFollows
		}
		return complete, err
	})
}

// readFence reads the reply to a fence.
func (l *largeRead) readFence() error {
	l.received = nil
	err := l.readUntil(func(received []byte) (done bool, err error) {
		used, err := l.upstream.server.protocol.ReadFence(received)
		return used > 0, err
	})
	if err != nil {
		return errOwnerInDoubt
	}
	return nil
}

// readUntil reads from the server until what has been received is complete. requestStop does not interrupt it.
func (l *largeRead) readUntil(isComplete func(received []byte) (bool, error)) error {
	deadline := time.Now().Add(toDuration(l.r.limits.LargeValueStallTimeout))
	buffer := make([]byte, responseBufferBytes)
	for {
		done, err := isComplete(l.received)
		if err != nil || done {
			return err
		}
		_ = l.serverConn.SetReadDeadline(deadline) // requestStop may have set another
		n, err := l.serverConn.Read(buffer)
		l.received = append(l.received, buffer[:n]...)
		interrupted := l.stopped.Load() && time.Now().Before(deadline)
		if err != nil && n == 0 && !(interrupted && isTimeout(err)) {
			return err
		}
	}
}
