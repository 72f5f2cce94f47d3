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
type body struct {
	r    *Router
	c    *client
	q    *request // nil: refused at its head
	fd   int
	has  []byte // of the value, read already
	size int

	going bool // a goroutine passes it on
	mu    sync.Mutex
	conns []net.Conn // of the goroutine, to be cut from the loop
}

// longWrite takes the head of a write whose value is over the bound for such as are held whole. ok is false where it is
// none; where the client is away its connection is to be closed.
func (c *client) longWrite(buf []byte) (ok, away bool) {
	r := c.r
	words, at, size, ok := resp.ReadLargeCommand(buf, c.words, r.lim.RESP)
	if !ok || len(words) != 4 || string(bytes.ToUpper(words[0])) != "CACHE.SET" {
		return false, false
	}
	c.part = 0
	if c.first = !c.settled(); c.first {
		return true, false // what is asked before it must not wait for it
	}
	fd, err := c.conn.Dup()
	if err != nil {
		r.log.WithError(err).Warn("a big value cannot be taken")
		return false, false
	}
	b := &body{r: r, c: c, fd: fd, size: size, has: append([]byte(nil), buf[at:]...)}
	q, came, waits, good := c.request(words, true)
	s := &q.slot
	c.slots = append(c.slots, s)
	c.offLoop()
	c.rest = nil
	if !good {
		s.text = refusedReq // it goes out behind the body
		b.start(b.discard)
		return true, true
	}
	q.body, b.q, s.q = b, q, q
	came.SingleAttempt = true
	r.take(q, came, waits, c.idle)
	c.hasAsked()
	return true, true
}

// answered: a write that was given up before its body could go is answered behind it.
func (b *body) answered(a wire.Answer) {
	b.c.fill(&b.q.slot, resp2.AppendAnswer(nil, a))
	if !b.going {
		b.start(b.discard)
	}
}

func (b *body) start(f func(client net.Conn) bool) {
	b.going = true
	go func() {
		client, err := asConn(b.fd)
		if err != nil {
			b.r.execute(b.c.lost)
			return
		}
		b.hold(client)
		if f(client) {
			b.r.enroll(client, b.c, b.c.lost)
			return
		}
		client.Close()
		b.r.execute(b.c.lost)
	}()
}

// hold keeps a connection where the loop can cut it.
func (b *body) hold(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns = append(b.conns, c)
}

// cut ends what the goroutine does: nobody waits for it any more.
func (b *body) cut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}

// discard reads the body to its end; false: the client ended first, or what came is no command.
func (b *body) discard(client net.Conn) bool { return b.each(client, func([]byte) {}) }

// each hands on the body and the line end behind it in pieces.
func (b *body) each(client net.Conn, put func([]byte)) bool {
	left := b.size + 2
	var end []byte // the value's last byte is held back until the line end behind it has come: a broken command must not run
	pass := func(p []byte) {
		n := min(len(p), max(0, left-3))
		put(p[:n])
		end = append(end, p[n:]...)
		left -= len(p)
	}
	n := min(len(b.has), left)
	pass(b.has[:n])
	b.c.rest = b.has[n:] // the client is off the loop: nothing else touches it
	piece := pieces.Get().(*[]byte)
	defer pieces.Put(piece)
	if len(*piece) != b.r.lim.LargeValueWindow {
		*piece = make([]byte, b.r.lim.LargeValueWindow)
	}
	for left > 0 {
		_ = client.SetReadDeadline(time.Now().Add(span(b.r.lim.LargeValueStallTimeout)))
		n, err := client.Read((*piece)[:min(left, b.r.lim.LargeValueWindow)])
		if n > 0 {
			pass((*piece)[:n])
		}
		if err != nil && left > 0 {
			return false
		}
	}
	if string(end[1:]) != "\r\n" {
		return false
	}
	if raw, err := client.(syscall.Conn).SyscallConn(); err == nil { // its end stands behind a big body, unseen until now
		gone := false
		_ = raw.Control(func(fd uintptr) { gone = hungUp(int(fd)) })
		if gone {
			return false
		}
	}
	put(end[:1])
	return true
}

// soon begins to send in the next round, when no call of the server's connection is under way.
func (b *body) soon(w *attempt) {
	up := w.up
	b.r.execute(func() {
		if w.up == up { // else it ended meanwhile
			b.send(w)
		}
	})
}

// hungUp tells of a descriptor whose other end sends no more; bytes that came before that may still wait.
func hungUp(fd int) bool {
	is := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(is, 0)
	return err == nil && n > 0
}

// send passes the body on to the server that was decided on, and then brings its answer.
func (b *body) send(w *attempt) {
	r, up := b.r, w.up
	if hungUp(b.fd) { // off the loop nobody has seen that the client went while it waited
		r.left(b.q)
		r.giveUp(w, routing.NotSent)
		b.start(b.discard)
		return
	}
	fd, err := up.conn.Dup()
	if err != nil {
		r.log.WithError(err).Warn("a big value cannot be passed on")
		r.giveUp(w, routing.ConnectError)
		return
	}
	r.cancel(w.timer) // its time begins when the body has gone
	conn := up.conn
	up.off()
	r.close(conn)
	// The router waits its whole time once the value has gone, but no longer than the client does.
	w.sent = r.clock()
	head, tail := up.server.speaks.AppendStreamedWrite(nil, wire.NewAttempt(&b.q.Request, up.server.addr, w.remaining(w.sent)), b.size)
	b.start(func(client net.Conn) bool {
		server, err := asConn(fd)
		if err != nil {
			r.execute(func() {
				r.returned(w, routing.ConnectError, nil)
				up.ended()
			})
			return b.discard(client)
		}
		b.hold(server)
		put := func(p []byte) {
			if err == nil {
				_ = server.SetWriteDeadline(time.Now().Add(span(r.lim.LargeValueStallTimeout)))
				_, err = server.Write(p)
			}
		}
		put(head)
		whole := b.each(client, put) && err == nil
		if whole {
			put([]byte(tail))
		}
		if whole = whole && err == nil; !whole { // its last byte never left, so that it never ran
			server.Close()
			done := make(chan struct{})
			r.execute(func() {
				r.returned(w, routing.ConnectError, nil)
				up.ended()
				close(done)
			})
			<-done
			return err != nil // else it was the client
		}
		sent := time.Now()
		o, keep := b.await(server, up.server.speaks, sent.Add(span(w.within)))
		done := make(chan struct{})
		r.execute(func() {
			defer close(done)
			r.counts.Forwards++
			w.whole, w.sent = true, r.clock()-clock.Time(time.Since(sent)/time.Microsecond) // its time counts from there
			r.spoke(w, o)
			if !keep {
				up.ended()
			}
		})
		<-done // what was read is used
		if keep {
			r.enroll(server, up, up.ended)
		} else {
			server.Close()
		}
		return true
	})
}

// await reads the server's answer.
func (b *body) await(server net.Conn, speaks wire.ServerCodec, until time.Time) (o wire.Outcome, keep bool) {
	_ = server.SetReadDeadline(until)
	var has []byte
	more := make([]byte, 4096)
	for {
		n, err := server.Read(more)
		has = append(has, more[:n]...)
		o, used, keep, broken := speaks.ReadAnswer(has, err == io.EOF) // a reset is no end of an answer without a length
		switch {
		case broken != nil:
			return wire.Outcome{Status: routing.Failed}, false
		case used > 0:
			return o, keep && used == len(has) && err == nil
		case err != nil && isLate(err):
			return wire.Outcome{Status: routing.TimedOut}, false
		case err != nil:
			return wire.Outcome{Status: routing.Reset}, false
		}
	}
}

func isLate(err error) bool {
	late, ok := err.(net.Error)
	return ok && late.Timeout()
}
