package router

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/resp2"
)

// largeWrite is the value of a large write on its way from a client to a server. As with largeRead, both
// connections leave the loop; the client's does so at the head of the command, so that no more is read than can be
// passed on.
type largeWrite struct {
	r                *Router
	client           *client
	request          *pendingRequest // nil: its head was invalid
	clientDescriptor int
	received         []byte // bytes of the value read so far
	size             int
	timeout          time.Duration // how long the client waits for the answer, from the last byte of its command
	lastWaitEnd      time.Time     // until then, not all of the command had arrived
	lastByte         lastByte

	started bool // a goroutine reads the value
	mu      sync.Mutex
	// The connections are owned by the goroutine; the loop interrupts them. Both are nil at first.
	clientConn, serverConn net.Conn
	interrupted            bool       // nothing waits for the result of the attempt
	inputEnd               inputLimit // of the value
}

// inputLimit bounds how long the rest of a value is read.
type inputLimit struct {
	waitUntil time.Time // more is not waited for; zero: there is no limit
	readUntil time.Time // what has arrived is not read any more
}

// startLargeWrite handles the head of a write whose value exceeds the limit for values held in memory. ok is false
// if this is no such head. If detached is true, the caller closes the connection on the loop; a duplicate of its
// descriptor continues off the loop.
func (c *client) startLargeWrite(buf []byte) (ok, detached bool) {
	r := c.r
	words, valueStart, size, ok := resp.ReadLargeCommand(buf, r.words, r.limits.RESP)
	if !ok || len(words) != 4 || string(bytes.ToUpper(words[0])) != "CACHE.SET" {
		return false, false
	}
	c.hasSentCommand, c.lastCommandAt, c.partialSince = true, c.lastActivity, 0
	if c.largeWriteNext = !c.hasNoPendingReplies(); c.largeWriteNext {
		return true, false // requests before it must not wait for it
	}
	received := bytes.Clone(buf[valueStart:])
	fd, err := c.detachFromLoop()
	if err != nil {
		r.log.WithError(err).Warn("large value cannot be read")
		return false, false
	}
	request, event, timeout, valid := c.parseRequest(words, true)
	w := &largeWrite{r: r, client: c, clientDescriptor: fd, size: size, received: received, timeout: toDuration(max(timeout-r.limits.ClientNetworkMargin, 1)), lastWaitEnd: time.Now()}
	slot := &request.slot
	c.slots = append(c.slots, slot)
	c.input = inputBuffer{}
	c.noteMemory()
	c.memory.Set(clientmemory.LargeValues, cap(w.received)+r.limits.LargeValueWindow)
	r.largeWrites[w] = struct{}{}
	if c.rejectsRequests() {
		w.limitInput()
	}
	switch { // the reply is written after the value has been read
	case c.rejectsRequests():
		if valid {
			r.countUnadmitted(event.Method, wire.Rejected)
		}
		slot.reply = busyReply
	case !valid:
		slot.reply = invalidRequestReply
	}
	if slot.reply != nil {
		w.startGoroutine(w.discardValue)
		return true, true
	}
	request.largeWrite, w.request, slot.request = w, request, request
	event.SingleAttempt = true
	r.admitRequest(&requestArrival{request: request, event: event, timeout: timeout, receivedAt: c.lastActivity}, false)
	c.countRequester()
	return true, true
}

// finishEarly answers a write that ended before its value was sent: the reply is written after the value has been
// read.
func (w *largeWrite) finishEarly(a wire.Answer) {
	w.client.fillSlot(&w.request.slot, resp2.AppendAnswer(nil, a))
	if !w.started {
		w.startGoroutine(w.discardValue)
	}
}

func (w *largeWrite) startGoroutine(f func(client net.Conn) bool) {
	w.started = true
	go func() {
		client, err := connFromDescriptor(w.clientDescriptor)
		if err != nil {
			w.r.runAsync(w.clientLost)
			return
		}
		w.setClientConn(client)
		if f(client) {
			w.r.runAsync(func() { delete(w.r.largeWrites, w) })
			w.r.enroll(client, w.client, w.client.detachedConnLost)
			return
		}
		w.r.closeDelivered(client)
		w.r.runAsync(w.clientLost)
	}()
}

// clientLost ends a write whose client's connection cannot be used any more.
func (w *largeWrite) clientLost() {
	delete(w.r.largeWrites, w)
	w.client.detachedConnLost()
}

// discardValue reads the value to its end and drops it. It returns false as readValue does.
func (w *largeWrite) discardValue(client net.Conn) bool {
	_, ok := w.readValue(client, func([]byte) {})
	return ok
}

// readValue passes the value to write in chunks, all but its last byte, which it returns once the line end after the value has
// been read. It returns false if the client disconnected or stalled, or the command is malformed.
func (w *largeWrite) readValue(client net.Conn, write func([]byte)) (last []byte, ok bool) {
	remaining := w.size + 2
	// The last byte of the value is held back until the line end has arrived: a malformed command must not run.
	var heldBack []byte
	consume := func(data []byte) {
		n := min(len(data), max(0, remaining-3))
		write(data[:n])
		heldBack = append(heldBack, data[n:]...)
		remaining -= len(data)
	}
	n := min(len(w.received), remaining)
	w.client.input.adopt(bytes.Clone(w.received[n:])) // the client is off the loop: nothing else accesses it
	consume(w.received[:n])
	w.received = nil
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	if len(*chunk) != w.r.limits.LargeValueWindow {
		*chunk = make([]byte, w.r.limits.LargeValueWindow)
	}
	for remaining > 0 {
		waits := !hasInput(client)
		w.setReadDeadline(waits)
		n, err := client.Read((*chunk)[:min(remaining, w.r.limits.LargeValueWindow)])
		if waits {
			w.lastWaitEnd = time.Now()
		}
		if n > 0 {
			consume((*chunk)[:n])
		}
		if err != nil && remaining > 0 && !w.mayReadOn(client, err) {
			return nil, false
		}
	}
	if string(heldBack[1:]) != "\r\n" {
		return nil, false
	}
	// The client may have disconnected after the value, which reading the value does not show.
	if raw, err := client.(syscall.Conn).SyscallConn(); err == nil {
		gone := false
		_ = raw.Control(func(fd uintptr) { gone = peerHungUp(int(fd)) })
		if gone {
			return nil, false
		}
	}
	return heldBack[:1], true
}

// answerDeadline returns when the client stops waiting, at the earliest: its last byte was sent no sooner than the router
// last had to wait for input.
func (w *largeWrite) answerDeadline() time.Time { return w.lastWaitEnd.Add(w.timeout) }

// serverDeadline returns how long a server may take for the next step.
func (w *largeWrite) serverDeadline(limit clock.Duration) time.Time {
	deadline, byLimit := w.answerDeadline(), time.Now().Add(toDuration(limit))
	if byLimit.Before(deadline) {
		return byLimit
	}
	return deadline
}

// scheduleSend starts to send on the loop's next round, outside of any callback of the server's connection.
func (w *largeWrite) scheduleSend(attempt *activeAttempt) {
	up := attempt.conn
	w.r.runAsync(func() {
		if attempt.conn == up { // otherwise it has ended meanwhile
			w.forward(attempt)
		}
	})
}

// forward sends the value to the chosen server and handles its response.
func (w *largeWrite) forward(attempt *activeAttempt) {
	r, up := w.r, attempt.conn
	if peerHungUp(w.clientDescriptor) { // off the loop, nothing has noticed that the client left while the write waited
		r.clientLeft(w.request)
		r.abortAttempt(attempt, routing.NotSent)
		w.startGoroutine(w.discardValue)
		return
	}
	fd, err := up.conn.Dup()
	if err != nil {
		r.log.WithError(err).Warn("large value cannot be forwarded")
		r.abortAttempt(attempt, routing.ConnectError)
		return
	}
	r.cancelTimer(attempt.timer) // its time limit starts when the value has been sent
	r.cancelTimer(attempt.startTimer)
	conn := up.conn
	up.detachFromLoop()
	r.closeConn(conn)
	// The router waits its full time limit once the value has been sent, but no longer than the client does.
	attempt.startedAt = r.clock()
	head, tail := up.server.protocol.AppendStreamedWrite(nil, wire.NewAttempt(&w.request.Request, up.server.addr, attempt.remaining(attempt.startedAt)), w.size)
	w.startGoroutine(func(client net.Conn) bool { return w.sendToServer(client, attempt, up, fd, head, tail) })
}

// sendToServer runs on the write's goroutine. It sends head, the value and tail to the server, the last byte of the value and tail
// by one call behind which nothing is sent, and handles the response. It returns false if the client's connection cannot be used any more.
func (w *largeWrite) sendToServer(client net.Conn, attempt *activeAttempt, up *upstream, serverDescriptor int, head []byte, tail string) bool {
	r := w.r
	server, err := connFromDescriptor(serverDescriptor)
	if err != nil {
		r.runAsync(func() {
			r.endAttempt(attempt, routing.ConnectError, nil)
			up.detachedConnClosed()
		})
		return w.discardValue(client)
	}
	w.setServerConn(server)
	write := func(data []byte) (sent int, err error) {
		_ = server.SetWriteDeadline(w.serverDeadline(r.limits.LargeValueStallTimeout))
		return server.Write(data)
	}
	writeNext := func(data []byte) {
		if err == nil && w.lastByte.isWithdrawn() {
			err = errWithdrawn
		}
		if err == nil && len(data) > 0 {
			_, err = write(data)
		}
	}
	writeNext(head)
	last, complete := w.readValue(client, writeNext)
	if complete && err == nil {
		err = w.lastByte.send(write, append(last, tail...))
	}
	if !complete || err != nil { // the last byte was not sent, so the write has never run
		w.logUnsent(up, err)
		server.Close()
		done := make(chan struct{})
		r.runAsync(func() {
			r.endAttempt(attempt, routing.ConnectError, nil)
			up.detachedConnClosed()
			close(done)
		})
		<-done
		return complete // otherwise the client's connection failed, or its input is in the middle of the value
	}
	w.finishSent(server, attempt, up)
	return true
}

// logUnsent logs, at the debug level, that the last byte of a write was not sent. Without an error its client has ended it.
func (w *largeWrite) logUnsent(up *upstream, err error) {
	w.r.log.WithError(err).WithFields(logrus.Fields{
		"request":   string(w.request.ID),
		"server":    up.addr,
		"withdrawn": w.lastByte.isWithdrawn(),
	}).Debug("large write: last byte not sent")
}

// finishSent waits for the response to a write that was sent completely, and returns the connection to the loop.
func (w *largeWrite) finishSent(server net.Conn, attempt *activeAttempt, up *upstream) {
	r := w.r
	sent := time.Now()
	outcome, keep := w.readResponse(server, up.server.protocol, w.serverDeadline(attempt.timeout))
	done := make(chan struct{})
	r.runAsync(func() {
		defer close(done)
		r.counts.ForwardedAttempts++
		keep = keep && outcome.Status == routing.OK && !up.needsOwnConn(w.request)
		if keep {
			up.answers.remember(sumAnswer(outcome, nil))
		}
		attempt.fullySent, attempt.startedAt = true, r.clock()-clock.Time(time.Since(sent)/time.Microsecond) // when it was sent
		r.handleOutcome(attempt, outcome)
		if !keep {
			up.detachedConnClosed()
		}
	})
	<-done // the bytes that were read are no longer needed
	if keep {
		r.enroll(server, up, up.detachedConnClosed)
	} else {
		server.Close()
	}
}

// readResponse reads the server's response.
func (*largeWrite) readResponse(server net.Conn, protocol wire.ServerCodec, deadline time.Time) (outcome wire.Outcome, keep bool) {
	_ = server.SetReadDeadline(deadline)
	var received []byte
	buffer := make([]byte, responseBufferBytes)
	for {
		n, err := server.Read(buffer)
		received = append(received, buffer[:n]...)
		outcome, used, keep, parseErr := protocol.ReadAnswer(received, err == io.EOF) // a reset does not end an answer without a length
		switch {
		case parseErr != nil:
			return wire.Outcome{Status: routing.Failed}, false
		case used > 0:
			return outcome, keep && used == len(received) && err == nil
		case err != nil && isTimeout(err):
			return wire.Outcome{Status: routing.TimedOut}, false
		case err != nil:
			return wire.Outcome{Status: routing.Reset}, false
		}
	}
}
