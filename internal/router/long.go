package router

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"spurtrestle/choice"
	"spurtrestle/internal/wire"
)

// long is a big value on its way from a server to a client. gnet cannot pause reading, and a value may not be held whole:
// both connections leave the loop, and a goroutine passes it on in pieces. A write that waits is the back-pressure.
type long struct {
	r      *Router
	up     *upstream
	c      *client
	from   int // descriptor of the server's connection
	has    []byte
	size   int
	method choice.Method
}

// long takes an answer that is too big to be held: its write-out ends here, at the first bytes of its value. false: it is
// no such answer. Its connection is to be closed on the loop then; what is left of it is the descriptor.
func (up *upstream) long(buf []byte) bool {
	w := up.carries
	o, at, size, ok := up.server.speaks.Long(buf)
	if !ok || up.conn.OutboundBuffered() > 0 {
		return false
	}
	c, plain := w.q.from.(*client)
	if !plain { // other protocols hand values over whole
		up.r.answer(w.q, wire.Answer{Kind: wire.Failed, Long: true})
		up.r.returned(w, choice.OK, up.r.report(o.Report))
		return true
	}
	if w.q.over {
		return false
	}
	fd, err := up.conn.Dup()
	if err != nil {
		up.r.log.WithError(err).Warn("a big value cannot be passed on")
		return false
	}
	l := &long{r: up.r, up: up, c: c, from: fd, has: append([]byte(nil), buf[at:]...), size: size, method: w.q.method}
	up.off()
	up.r.begun(w.q)
	up.r.returned(w, choice.OK, up.r.report(o.Report))
	w.q.slot.q = nil
	w.q.slot.long = l
	if !c.away {
		c.flush()
	}
	return true
}

// off takes a connection to a server off the loop; it counts on.
func (up *upstream) off() {
	up.away = true
	up.r.conns++
	up.conn.SetContext(nil)
}

// drop gives up a value that nobody waits for.
func (l *long) drop() {
	_ = os.NewFile(uintptr(l.from), "").Close()
	l.up.ended()
}

// ended: a connection that had left the loop is no more.
func (up *upstream) ended() {
	up.r.conns--
	up.r.upstreams--
	up.away = false
	up.r.feed()
}

// leave takes the client off the loop for the big value that is first in its order.
func (c *client) leave() {
	c.leaving = false
	if c.conn == nil || c.away || len(c.slots) == 0 || c.slots[0].long == nil {
		return
	}
	if c.conn.OutboundBuffered() > 0 { // answers before it have not left
		c.leaving = true
		c.r.after(c.r.lim.Turn, c.leave)
		return
	}
	l := c.slots[0].long
	fd, err := c.conn.Dup()
	if err != nil {
		c.r.log.WithError(err).Warn("a big value cannot be passed on")
		c.r.close(c.conn)
		return
	}
	c.slots = c.slots[1:]
	c.rest = append([]byte(nil), c.unread()...)
	conn := c.conn
	c.offLoop()
	c.r.close(conn)
	go l.pass(fd)
}

// offLoop takes the client's connection off the loop, where a duplicate of its descriptor goes on; it counts on. It is
// to be closed here before gnet reads of it again.
func (c *client) offLoop() {
	c.conn.SetContext(nil)
	c.away, c.conn = true, nil
	c.r.away++
	c.r.conns++
	delete(c.r.clients, c)
}

// back takes the client onto the loop again, with what was answered meanwhile.
func (c *client) back(conn gnet.Conn) {
	r := c.r
	c.conn, c.away, c.idle = conn, false, r.clock()
	r.away--
	r.conns-- // it was counted all the time
	r.clients[c] = struct{}{}
	c.flush()
	if c.conn != nil && !c.over && len(c.rest) > 0 {
		r.execute(c.readOn)
	}
	if r.closing || r.ops.emptied || r.takeover.handing {
		r.queue()
	}
}

// lost: the client ended, or had to, while it was off the loop.
func (c *client) lost() {
	c.r.away--
	c.r.conns--
	c.away = false
	delete(c.r.clients, c)
	c.closed()
}

var pieces = sync.Pool{New: func() any { return new([]byte) }}

// asConn makes a descriptor a connection, and is done with the descriptor.
func asConn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	return net.FileConn(f)
}

// pass runs off the loop. The client's side ends unless the value has passed whole.
func (l *long) pass(to int) {
	r := l.r
	client, err := asConn(to)
	server, err2 := asConn(l.from)
	if err = errors.Join(err, err2); err == nil {
		err = l.copy(client, server)
	}
	if err != nil {
		if client != nil {
			client.Close() // its length was told: nobody takes it for whole
		}
		if server != nil {
			server.Close()
		}
		r.execute(func() {
			r.count(l.method, wire.Failed)
			l.up.ended()
			l.c.lost()
		})
		return
	}
	r.execute(func() { r.count(l.method, wire.Satisfied) })
	r.enroll(client, l.c, l.c.lost)
	if l.rest(server) {
		r.enroll(server, l.up, l.up.ended)
		return
	}
	server.Close()
	r.execute(l.up.ended)
}

// copy passes the value on.
func (l *long) copy(client, server net.Conn) error {
	r := l.r
	put := func(p []byte) error {
		_ = client.SetWriteDeadline(time.Now().Add(span(r.lim.Unread)))
		_, err := client.Write(p)
		return err
	}
	n := min(len(l.has), l.size)
	head := strconv.AppendInt([]byte{'$'}, int64(l.size), 10)
	if err := put(append(append(head, "\r\n"...), l.has[:n]...)); err != nil {
		return err
	}
	l.has = l.has[n:]
	piece := pieces.Get().(*[]byte)
	defer pieces.Put(piece)
	if len(*piece) != r.lim.Piece {
		*piece = make([]byte, r.lim.Piece)
	}
	for left := l.size - n; left > 0; {
		_ = server.SetReadDeadline(time.Now().Add(span(r.lim.Stuck)))
		n, err := server.Read((*piece)[:min(left, r.lim.Piece)])
		if n > 0 {
			left -= n
			if err := put((*piece)[:n]); err != nil {
				return err
			}
		}
		if err != nil && left > 0 {
			return err
		}
	}
	return put([]byte("\r\n"))
}

// rest reads what stands behind the value and tells whether the connection can carry another write-out.
func (l *long) rest(server net.Conn) bool {
	_ = server.SetDeadline(time.Now().Add(span(l.r.lim.Stuck)))
	for {
		whole, keep, err := l.up.server.speaks.Behind(l.has)
		if err != nil || whole {
			_ = server.SetDeadline(time.Time{})
			return err == nil && keep
		}
		more := make([]byte, 4096)
		n, err := server.Read(more)
		if l.has = append(l.has, more[:n]...); err != nil {
			return false
		}
	}
}

// enroll puts a connection onto the loop for p; failed runs there.
func (r *Router) enroll(c net.Conn, p peer, failed func()) {
	_ = c.SetDeadline(time.Time{})
	enrolled, err := r.loop.Enroll(gnet.NewContext(context.Background(), p), c)
	if err != nil {
		c.Close()
	} else {
		err = (<-enrolled).Err
	}
	if err != nil {
		r.execute(failed)
	}
}
