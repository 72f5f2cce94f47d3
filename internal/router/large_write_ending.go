package router

import (
	"net"
	"slices"
	"time"

	"spurtrestle/core/routing"
	"spurtrestle/internal/wire"
)

// A large write is read and forwarded off the loop, by a goroutine that knows no shutdown. The loop ends it in time: a write whose
// last byte has not been sent when requests are rejected is rejected too, and the rest of its value is read for a bounded time. One
// whose last byte has been sent waits for its answer until the shutdown deadline, as all attempts do.

// inputReadTime is for how long, once more of a value is not waited for, what has arrived is read.
const inputReadTime = lingerMargin / 2

// rejectLargeWrites rejects the large writes whose last byte has not been sent.
func (r *Router) rejectLargeWrites() {
	for w := range r.largeWrites {
		w.limitInput()
		if w.request != nil && !w.request.finished && w.lastByte.withdraw() {
			r.rejectUnsent(w.request)
		}
	}
}

// rejectUnsent rejects a request, wherever it waits, of which no attempt can have run.
func (r *Router) rejectUnsent(request *pendingRequest) {
	request.departurePending = true // until package routing knows that it has ended
	r.stopWaiting(request)
	r.answerRequest(request, wire.Answer{Kind: wire.Rejected})
	r.addEvent(routing.ClientDisconnected{Request: request.ID})
	for _, attempt := range slices.Clone(request.attempts) {
		r.abortAttempt(attempt, routing.NotSent)
	}
}

// limitInput has the rest of the value read no longer than until the connections of clients are closed. The answer to a command that
// is complete by then can be delivered before the process is killed.
func (w *largeWrite) limitInput() {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.r.shutdownDeadline - lingerMargin - w.r.clock()
	waitUntil := time.Now().Add(toDuration(left))
	w.inputEnd = inputLimit{waitUntil: waitUntil, readUntil: waitUntil.Add(toDuration(inputReadTime))}
	if w.clientConn != nil {
		_ = w.clientConn.SetReadDeadline(waitUntil) // after an error the connection is gone
	}
}

// setReadDeadline bounds the next read of the value, which may have to wait for input.
func (w *largeWrite) setReadDeadline(waits bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	deadline := time.Now().Add(toDuration(w.r.limits.LargeValueStallTimeout))
	limit := w.inputEnd.readUntil
	if waits {
		limit = w.inputEnd.waitUntil
	}
	if !limit.IsZero() && limit.Before(deadline) {
		deadline = limit
	}
	_ = w.clientConn.SetReadDeadline(deadline) // after an error the connection is gone
}

// mayReadOn reports whether the value is read on after an error: a read that has timed out reads nothing, even if more has arrived.
func (w *largeWrite) mayReadOn(client net.Conn, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	isOver := !w.inputEnd.readUntil.IsZero() && !time.Now().Before(w.inputEnd.readUntil)
	return isTimeout(err) && !isOver && hasInput(client)
}

func (w *largeWrite) setClientConn(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clientConn = conn
}

// setServerConn records the server's connection, so that the loop can interrupt the goroutine.
func (w *largeWrite) setServerConn(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serverConn = conn
	if w.interrupted {
		_ = conn.Close()
	}
}

// interrupt has the goroutine neither write to the server nor wait for its answer any longer: the attempt has ended. The goroutine
// reads the rest of the value, so that the client can be answered.
func (w *largeWrite) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupted = true
	if w.serverConn != nil {
		_ = w.serverConn.Close()
	}
}
