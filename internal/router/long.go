package router

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
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
	method routing.Method
	last   bool // the server's connection carries nothing behind it

	client, server net.Conn    // of the goroutine
	pending        []byte      // for the client
	left           int         // bytes of the value to come
	ended          bool        // the line end behind it is pending, or out
	stopped        atomic.Bool // the goroutine is to end, and the value to go on elsewhere
}

// long takes an answer that is too big to be held: its attempt ends here, at the first bytes of its value. false: it is
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
		up.r.returned(w, routing.OK, up.r.report(o.Report))
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
	l := &long{r: up.r, up: up, c: c, from: fd, has: append([]byte(nil), buf[at:]...), size: size, method: w.q.method, last: o.Close}
	up.off()
	w.q.over = true // it is counted when the value ends
	up.r.returned(w, routing.OK, up.r.report(o.Report))
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
		c.r.after(c.r.lim.LargeValueRetryInterval, c.leave)
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
	c.arrivals = arrivalTimes{}
	c.arrivals.waiting(len(c.rest), c.idle) // they came before the connection left the loop
	c.conn, c.away, c.carried, c.idle = conn, false, true, r.clock()
	r.away--
	r.conns-- // it was counted all the time
	r.clients[c] = struct{}{}
	c.flush()
	if c.conn != nil && !c.over && len(c.rest) > 0 {
		r.execute(c.readOn)
	}
	if r.closing || r.ops.emptied || r.place.out != "" || r.takeover.handing {
		r.queue()
	}
}

// lost: the client ended, or had to, while it was off the loop.
func (c *client) lost() {
	c.r.away--
	c.r.conns--
	c.away = false
	delete(c.r.clients, c)
	c.closed(false)
}

var pieces = sync.Pool{New: func() any { return new([]byte) }}

// asConn makes a descriptor a connection, and is done with the descriptor.
func asConn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	return net.FileConn(f)
}

// dupOf duplicates a descriptor. (File of the standard library would make the connection a blocking one.)
func dupOf(c syscall.Conn) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	e := raw.Control(func(of uintptr) { fd, err = unix.FcntlInt(of, unix.F_DUPFD_CLOEXEC, 0) })
	return fd, errors.Join(e, err)
}

// pass runs off the loop. The client's side ends unless the value has passed whole.
func (l *long) pass(to int) {
	client, err := asConn(to)
	server, err2 := asConn(l.from)
	if err = errors.Join(err, err2); err != nil {
		l.r.log.WithError(err).Warn("a big value cannot be passed on")
	}
	n := min(len(l.has), l.size)
	head := strconv.AppendInt([]byte{'$'}, int64(l.size), 10)
	l.pending, l.left, l.has = append(append(head, "\r\n"...), l.has[:n]...), l.size-n, l.has[n:]
	l.client, l.server = client, server
	if err != nil {
		l.end(err)
		return
	}
	l.r.execute(func() {
		l.r.passing[l] = struct{}{}
		l.watchClient()
	})
	l.run()
}

// watchClient looks, while the client has requests open behind the value, whether it has closed its connection: the goroutine
// finds out only once there is something to write, and until then their attempts went on.
func (l *long) watchClient() {
	open := slices.ContainsFunc(l.c.slots, func(s *slot) bool { return s.q != nil && !s.q.over })
	if !l.c.away || !open {
		return
	}
	gone := false // nor is it where it is closed here: it is on its way back to the loop
	if raw, err := l.client.(syscall.Conn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { gone = hungUp(int(fd)) })
	}
	if gone {
		for _, s := range l.c.slots {
			if s.q != nil {
				l.r.left(s.q)
			}
		}
		return
	}
	l.r.after(l.r.lim.ClientDisconnectCheckInterval, l.watchClient)
}

var errStopped = errors.New("stopped for another process")

// run passes on what is left.
func (l *long) run() {
	r := l.r
	err := l.copy()
	if err == errStopped {
		r.execute(l.move)
		return
	}
	if err != nil {
		l.end(err)
		return
	}
	r.execute(func() {
		delete(r.passing, l)
		r.count(l.method, wire.Served)
	})
	r.enroll(l.client, l.c, l.c.lost)
	if !l.last && l.rest(l.server) {
		r.enroll(l.server, l.up, l.up.ended)
		return
	}
	l.server.Close()
	r.execute(l.up.ended)
}

// end: the value cannot be finished. Its length was told, so that nobody takes it for whole.
func (l *long) end(why error) {
	l.r.log.WithError(why).Debug("a big value ends early")
	for _, c := range []net.Conn{l.client, l.server} {
		if c != nil {
			c.Close()
		}
	}
	l.r.execute(func() {
		delete(l.r.passing, l)
		l.r.count(l.method, wire.Failed)
		l.up.ended()
		l.c.lost()
	})
}

// copy passes the value on.
func (l *long) copy() error {
	r := l.r
	piece := pieces.Get().(*[]byte)
	defer pieces.Put(piece)
	if len(*piece) != r.lim.LargeValueWindow {
		*piece = make([]byte, r.lim.LargeValueWindow)
	}
	for {
		for len(l.pending) > 0 {
			_ = l.client.SetWriteDeadline(time.Now().Add(span(r.lim.LargeValueUnreadTimeout)))
			if l.stopped.Load() { // behind the deadline, which stop sets as well
				l.pending = append([]byte(nil), l.pending...)
				return errStopped
			}
			n, err := l.client.Write(l.pending)
			if l.pending = l.pending[n:]; err != nil && !l.stopped.Load() {
				return err
			}
		}
		switch {
		case l.ended:
			return nil
		case l.left == 0:
			l.ended, l.pending = true, []byte("\r\n")
			continue
		}
		_ = l.server.SetReadDeadline(time.Now().Add(span(r.lim.LargeValueStallTimeout)))
		if l.stopped.Load() {
			return errStopped
		}
		n, err := l.server.Read((*piece)[:min(l.left, r.lim.LargeValueWindow)])
		if l.pending, l.left = (*piece)[:n], l.left-n; err != nil && n == 0 && !l.stopped.Load() {
			return err
		}
	}
}

// stop has the goroutine end between two pieces, once all that waits behind the value is answered: what is in hand for
// its client is this process's to answer.
func (l *long) stop() {
	if !l.stopped.Load() && l.c.answeredAll() {
		l.stopped.Store(true)
		_ = l.client.SetDeadline(time.Unix(1, 0))
		_ = l.server.SetDeadline(time.Unix(1, 0))
	}
}

func (c *client) answeredAll() bool {
	return !slices.ContainsFunc(c.slots, func(s *slot) bool { return s.text == nil })
}

// moved is a big value as one process tells it to the next.
type moved struct {
	Server  string // its name in discovery
	Method  string
	Pending []byte // for the client
	Left    int    // bytes to come from the server
	Last    bool
	Ended   bool   // the line end is pending, or out
	Has     []byte // read of what stands behind the value
	Answers []byte // for the client, behind the value
	Rest    []byte // of the client, not read yet
}

// move passes the value on to the next process, or goes on where there is none.
func (l *long) move() {
	r, t := l.r, &l.r.takeover
	if !t.handing {
		l.stopped.Store(false)
		go l.run()
		return
	}
	m := moved{Server: string(r.book.UID(l.up.server.id)), Method: r.cfg.Settings.Methods[l.method].Name, Pending: l.pending, Left: l.left,
		Last: l.last, Ended: l.ended, Has: l.has, Rest: l.c.rest}
	for _, s := range l.c.slots {
		m.Answers = append(m.Answers, s.text...)
	}
	text, err := json.Marshal(m)
	var fds []int
	for _, c := range []net.Conn{l.client, l.server} {
		fd, e := dupOf(c.(*net.TCPConn))
		if err = errors.Join(err, e); e == nil {
			fds = append(fds, fd)
		}
	}
	if err != nil {
		for _, fd := range fds {
			unix.Close(fd)
		}
		go l.end(err)
		return
	}
	l.client.Close()
	l.server.Close()
	delete(r.passing, l)
	r.counts.Taken-- // the next process counts it
	r.away--
	r.upstreams--
	if l.c.asked {
		r.askers--
	}
	t.unsent++
	t.out <- passed{handover.Frame{Kind: handover.LargeValue, Body: text, FDs: fds}}
}

// takeValue goes on with a big value that another process began.
func (r *Router) takeValue(f handover.Frame) {
	var m moved
	err := json.Unmarshal(f.Body, &m)
	to, err1 := asConn(f.FDs[0])
	from, err2 := asConn(f.FDs[1])
	if err = errors.Join(err, err1, err2); err != nil {
		r.log.WithError(err).Warn("a big value cannot be taken over")
		return // what is left of it ends with the process
	}
	r.execute(func() {
		method := r.methods[m.Method]
		s := &server{speaks: r.cache}
		if id, known := r.book.ID(discovery.UID(m.Server)); known && r.servers[id] != nil {
			s = r.servers[id]
		}
		c := &client{r: r, away: true, spoke: true, used: true, rest: m.Rest}
		if len(m.Answers) > 0 {
			c.slots = []*slot{{text: m.Answers}}
		}
		l := &long{r: r, c: c, up: &upstream{r: r, server: s, addr: s.addr, away: true}, method: method, client: to, server: from,
			pending: m.Pending, left: m.Left, last: m.Last, ended: m.Ended, has: m.Has}
		r.counts.Taken++
		r.away++
		r.upstreams++
		r.conns += 2
		r.passing[l] = struct{}{}
		go l.run()
	})
}

// rest reads what stands behind the value and tells whether the connection can carry another attempt.
func (l *long) rest(server net.Conn) bool {
	_ = server.SetDeadline(time.Now().Add(span(l.r.lim.LargeValueStallTimeout)))
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
