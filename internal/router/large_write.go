package router

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/resp2"
)

// body is the value of a big write on its way from a client to a server. As with long, both connections leave the loop:
// the client's at the head, so that nothing more is read of it than can be passed on.
type largeWrite struct {
	r                *Router
	client           *client
	request          *pendingRequest // nil: refused at its head
	clientDescriptor int
	received         []byte // of the value, read already
	size             int

	started bool // a goroutine passes it on
	mu      sync.Mutex
	conns   []net.Conn // of the goroutine, to be cut from the loop
}

// longWrite takes the head of a write whose value is over the bound for such as are held whole. ok is false where it is
// none; where the client is away its connection is to be closed.
func (c *client) startLargeWrite(buf []byte) (ok, away bool) {
	r := c.r
	words, at, size, ok := resp.LongCommand(buf, c.words, r.limits.RESP)
	if !ok || len(words) != 4 || string(bytes.ToUpper(words[0])) != "CACHE.SET" {
		return false, false
	}
	c.partialSince = 0
	if c.largeWriteNext = !c.hasNoPendingReplies(); c.largeWriteNext {
		return true, false // what is asked before it must not wait for it
	}
	fd, err := c.conn.Dup()
	if err != nil {
		r.log.WithError(err).Warn("a big value cannot be taken")
		return false, false
	}
	b := &largeWrite{r: r, client: c, clientDescriptor: fd, size: size, received: append([]byte(nil), buf[at:]...)}
	request, event, timeout, valid := c.parseRequest(words, true)
	slot := &request.slot
	c.slots = append(c.slots, slot)
	c.detachFromLoop()
	c.detachedInput = nil
	if !valid {
		slot.reply = refusedRequestReply // it goes out behind the body
		b.startGoroutine(b.discardValue)
		return true, true
	}
	request.largeWrite, b.request, slot.request = b, request, request
	event.SingleAttempt = true
	r.admitRequest(request, event, timeout, c.lastActivity)
	c.countRequester()
	return true, true
}

// answered: a write that was given up before its body could go is answered behind it.
func (b *largeWrite) finishEarly(a wire.Answer) {
	b.client.fillSlot(&b.request.slot, resp2.AppendAnswer(nil, a))
	if !b.started {
		b.startGoroutine(b.discardValue)
	}
}

func (b *largeWrite) startGoroutine(f func(client net.Conn) bool) {
	b.started = true
	go func() {
		client, err := connFromDescriptor(b.clientDescriptor)
		if err != nil {
			b.r.runAsync(b.client.detachedConnLost)
			return
		}
		b.registerConn(client)
		if f(client) {
			b.r.enroll(client, b.client, b.client.detachedConnLost)
			return
		}
		client.Close()
		b.r.runAsync(b.client.detachedConnLost)
	}()
}

// hold keeps a connection where the loop can cut it.
func (b *largeWrite) registerConn(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns = append(b.conns, c)
}

// cut ends what the goroutine does: nobody waits for it any more.
func (b *largeWrite) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}

// discard reads the body to its end; false: the client ended first, or what came is no command.
func (b *largeWrite) discardValue(client net.Conn) bool { return b.readValue(client, func([]byte) {}) }

// each hands on the body and the line end behind it in pieces.
func (b *largeWrite) readValue(client net.Conn, write func([]byte)) bool {
	remaining := b.size + 2
	var heldBack []byte // the value's last byte is held back until the line end behind it has come: a broken command must not run
	consume := func(data []byte) {
		n := min(len(data), max(0, remaining-3))
		write(data[:n])
		heldBack = append(heldBack, data[n:]...)
		remaining -= len(data)
	}
	n := min(len(b.received), remaining)
	consume(b.received[:n])
	b.client.detachedInput = b.received[n:] // the client is off the loop: nothing else touches it
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	if len(*chunk) != b.r.limits.LargeValueWindow {
		*chunk = make([]byte, b.r.limits.LargeValueWindow)
	}
	for remaining > 0 {
		_ = client.SetReadDeadline(time.Now().Add(toDuration(b.r.limits.LargeValueStallTimeout)))
		n, err := client.Read((*chunk)[:min(remaining, b.r.limits.LargeValueWindow)])
		if n > 0 {
			consume((*chunk)[:n])
		}
		if err != nil && remaining > 0 {
			return false
		}
	}
	if string(heldBack[1:]) != "\r\n" {
		return false
	}
	if raw, err := client.(syscall.Conn).SyscallConn(); err == nil { // its end stands behind a big body, unseen until now
		gone := false
		_ = raw.Control(func(fd uintptr) { gone = peerHungUp(int(fd)) })
		if gone {
			return false
		}
	}
	write(heldBack[:1])
	return true
}

// soon begins to send in the next round, when no call of the server's connection is under way.
func (b *largeWrite) scheduleSend(attempt *activeAttempt) {
	up := attempt.conn
	b.r.runAsync(func() {
		if attempt.conn == up { // else it ended meanwhile
			b.forward(attempt)
		}
	})
}

// hungUp tells of a descriptor whose other end sends no more; bytes that came before that may still wait.
func peerHungUp(fd int) bool {
	is := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(is, 0)
	return err == nil && n > 0
}

// send passes the body on to the server that was decided on, and then brings its answer.
func (b *largeWrite) forward(attempt *activeAttempt) {
	r, up := b.r, attempt.conn
	if peerHungUp(b.clientDescriptor) { // off the loop nobody has seen that the client went while it waited
		r.clientLeft(b.request)
		r.abortAttempt(attempt, routing.NotSent)
		b.startGoroutine(b.discardValue)
		return
	}
	fd, err := up.conn.Dup()
	if err != nil {
		r.log.WithError(err).Warn("a big value cannot be passed on")
		r.abortAttempt(attempt, routing.ConnectError)
		return
	}
	r.cancel(attempt.timer) // its time begins when the body has gone
	conn := up.conn
	up.detachFromLoop()
	r.close(conn)
	// The router waits its whole time once the value has gone, but no longer than the client does.
	attempt.startedAt = r.clock()
	head, tail := up.server.protocol.AppendLong(nil, wire.NewAttempt(&b.request.Request, up.server.addr, attempt.remaining(attempt.startedAt)), b.size)
	b.startGoroutine(func(client net.Conn) bool {
		server, err := connFromDescriptor(fd)
		if err != nil {
			r.runAsync(func() {
				r.endAttempt(attempt, routing.ConnectError, nil)
				up.detachedConnClosed()
			})
			return b.discardValue(client)
		}
		b.registerConn(server)
		put := func(p []byte) {
			if err == nil {
				_ = server.SetWriteDeadline(time.Now().Add(toDuration(r.limits.LargeValueStallTimeout)))
				_, err = server.Write(p)
			}
		}
		put(head)
		whole := b.readValue(client, put) && err == nil
		if whole {
			put([]byte(tail))
		}
		if whole = whole && err == nil; !whole { // its last byte never left, so that it never ran
			server.Close()
			done := make(chan struct{})
			r.runAsync(func() {
				r.endAttempt(attempt, routing.ConnectError, nil)
				up.detachedConnClosed()
				close(done)
			})
			<-done
			return err != nil // else it was the client
		}
		sent := time.Now()
		outcome, keep := b.readResponse(server, up.server.protocol, sent.Add(toDuration(attempt.timeout)))
		done := make(chan struct{})
		r.runAsync(func() {
			defer close(done)
			r.counts.Forwards++
			attempt.fullySent, attempt.startedAt = true, r.clock()-clock.Time(time.Since(sent)/time.Microsecond) // its time counts from there
			r.handleOutcome(attempt, outcome)
			if !keep {
				up.detachedConnClosed()
			}
		})
		<-done // what was read is used
		if keep {
			r.enroll(server, up, up.detachedConnClosed)
		} else {
			server.Close()
		}
		return true
	})
}

// await reads the server's answer.
func (b *largeWrite) readResponse(server net.Conn, protocol wire.Back, deadline time.Time) (outcome wire.Outcome, keep bool) {
	_ = server.SetReadDeadline(deadline)
	var received []byte
	buffer := make([]byte, 4096)
	for {
		n, err := server.Read(buffer)
		received = append(received, buffer[:n]...)
		outcome, used, keep, broken := protocol.Read(received, err == io.EOF) // a reset is no end of an answer without a length
		switch {
		case broken != nil:
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

func isTimeout(err error) bool {
	late, ok := err.(net.Error)
	return ok && late.Timeout()
}
