package router

import (
	"bytes"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/resp2"
)

// client is a connection that was accepted.
type client struct {
	r       *Router
	conn    gnet.Conn
	slots   []*slot    // commands in order, until their answers are written
	idle    clock.Time // since when it has been quiet
	whole   clock.Time // when the last whole command came, or the connection
	part    clock.Time // when the first byte came of a command that is not whole yet; 0: there is none
	coming  bool       // accepted, and not with the loop yet
	used    bool       // something has come on it
	spoke   bool       // a whole command has come on it
	asked   bool       // a request has come on it
	stalled bool       // its next commands wait until there is room; it is on the router's list of those
	over    bool       // to be closed once the answers are out
	first   bool       // a big write is next, and waits until all before it is answered
	leaving bool       // soon off the loop
	carried bool       // a big value has passed on it, of which the kernel may hold a part
	away    bool       // off the loop: a big value passes on it
	rest    []byte     // what came before it left the loop, and is not read yet
	words   [][]byte

	arrivals arrivalTimes // of what is not read yet
	came     clock.Time   // when the last byte of the command came that is being read
}

// slot is the place of one command among the answers of its connection.
type slot struct {
	q    *request
	text []byte // nil: not answered yet
	long *long  // a big value is its answer
}

func (c *client) opened(conn gnet.Conn) {
	if c.away {
		c.back(conn)
		return
	}
	if c.coming {
		c.coming = false
		c.r.takeover.coming.Add(-1)
	}
	c.conn, c.idle = conn, c.r.clock()
	c.whole = c.idle
	c.r.clients[c] = struct{}{}
	c.r.counts.ClientConns++
	if c.r.takeover.handing {
		c.r.queue()
	}
	if !c.r.roomForClient(c) {
		c.r.close(conn)
		return
	}
	if len(c.rest) > 0 { // another process read that
		c.r.execute(c.readOn)
	}
}

func (c *client) closed(bool) {
	delete(c.r.clients, c)
	if c.asked {
		c.r.askers--
	}
	for _, s := range c.slots {
		if s.q != nil {
			c.r.left(s.q)
		}
		if s.long != nil {
			c.r.counts.Left++
			s.long.drop()
		}
	}
	c.slots, c.over, c.conn = nil, true, nil
	if c.r.closing || c.r.ops.emptied || c.r.place.out != "" {
		c.r.queue() // it may have been the last
	}
}

// traffic reads whole commands, as many as there is room for.
func (c *client) traffic() gnet.Action {
	c.idle, c.used = c.r.clock(), true
	if c.over { // what comes behind a broken command is not read
		_, _ = c.conn.Discard(-1)
		return gnet.None
	}
	if c.r.takeover.handing { // what comes now is the next process's
		c.r.queue()
		return gnet.None
	}
	for !c.over {
		if len(c.slots) >= c.r.lim.PipelinedCommands || c.r.held >= c.r.lim.RequestBytes {
			c.stall()
			break
		}
		buf := c.unread()
		if len(buf) == 0 {
			return gnet.None
		}
		words, used, err := resp.Command(buf, c.words, c.r.lim.RESP)
		c.words = words
		if err != nil {
			if ok, away := c.longWrite(buf); away {
				return gnet.Close // a duplicate goes on
			} else if ok {
				c.r.buffer(c.waiting())
				return gnet.None
			}
		}
		if err != nil {
			c.broken("protocol")
			break
		}
		if used == 0 {
			break
		}
		c.spoke, c.whole, c.part = true, c.idle, 0
		c.came = c.arrivals.take(used, c.idle)
		if len(words) > 0 {
			c.command(words)
		}
		if c.over {
			break
		}
		c.read(used)
	}
	if !c.over {
		if n := c.waiting(); n > c.r.lim.ClientInput && !c.first {
			// gnet reads on whatever the loop leaves, so a client that sends on is cut off here.
			c.broken("too much is waiting")
		} else {
			if n > 0 && !c.stalled && c.part == 0 {
				c.part = c.idle
			}
			if c.stalled {
				c.arrivals.waiting(n, c.idle)
			}
			c.r.buffer(n)
		}
	}
	if c.over && c.ended() {
		return gnet.Close
	}
	return gnet.None
}

// silent: nothing whole has come since it connected, or the head of a command is long in coming, or the rest has stopped.
// A value may flow slowly, but not for ever.
func (c *client) silent(now clock.Time) bool {
	const values = 10 // times as long as a head
	slow := c.r.lim.PartialCommandTimeout
	switch {
	case c.part == 0:
		return !c.spoke && now-c.whole >= c.r.lim.ClientIdleTimeout
	case c.waiting() <= c.r.lim.RESP.Line:
		return now-c.part >= slow
	}
	return now-c.idle >= slow || now-c.part >= values*slow
}

// readOn reads what came before the connection was on this loop.
func (c *client) readOn() {
	if conn := c.conn; conn != nil && !c.over && c.traffic() == gnet.Close {
		c.r.close(conn)
	}
}

// firstNow reads on at a big write once all before it is answered and has left.
func (c *client) firstNow() {
	if c.conn == nil || !c.first {
		return
	}
	if c.conn.OutboundBuffered() > 0 {
		c.r.after(c.r.lim.LargeValueRetryInterval, c.firstNow)
		return
	}
	c.first = false
	c.readOn()
}

// unread is what has come and is not read yet: the rest from before it left the loop goes first.
func (c *client) unread() []byte {
	buf, err := c.conn.Peek(-1)
	if err != nil || len(c.rest) == 0 {
		return buf
	}
	c.rest = append(c.rest, buf...)
	_, _ = c.conn.Discard(-1) // bytes that Peek has just shown, here and below
	return c.rest
}

func (c *client) read(n int) {
	if len(c.rest) == 0 {
		_, _ = c.conn.Discard(n)
	} else if c.rest = c.rest[n:]; len(c.rest) == 0 {
		c.rest = nil
	}
}

func (c *client) waiting() int { return len(c.rest) + c.conn.InboundBuffered() }

func (c *client) stall() {
	if !c.stalled {
		c.stalled = true
		c.r.stalled = append(c.r.stalled, c)
	}
}

// broken answers a command that cannot be read, behind the answers that are due, and closes.
func (c *client) broken(why string) {
	c.r.counts.Broken++
	c.now(resp.AppendLine(nil, '-', "ERR "+why))
	c.over = true
}

// now answers a command that needs no server.
func (c *client) now(text []byte) {
	s := &slot{}
	c.slots = append(c.slots, s)
	c.fill(s, text)
}

// answer gives a request of this client its final answer, in its turn.
func (c *client) answer(q *request, a wire.Answer) {
	c.r.scratch = resp2.AppendAnswer(c.r.scratch[:0], a)
	c.fill(&q.slot, c.r.scratch)
}

// fill fills a slot and writes out what is in order.
func (c *client) fill(s *slot, text []byte) {
	if c.away {
		s.text = bytes.Clone(text)
		return
	}
	if c.conn == nil {
		return
	}
	if len(c.slots) > 0 && c.slots[0] == s {
		c.slots = c.slots[1:]
		c.write(text)
	} else {
		s.text = bytes.Clone(text)
	}
	c.flush()
}

// flush writes out what is in order, as far as the next big value, which passes off the loop.
func (c *client) flush() {
	for len(c.slots) > 0 && c.slots[0].text != nil {
		text := c.slots[0].text
		c.slots = c.slots[1:]
		c.write(text)
	}
	if c.conn != nil && c.first && len(c.slots) == 0 {
		c.r.execute(c.firstNow)
	}
	if c.conn != nil && len(c.slots) > 0 && c.slots[0].long != nil && !c.leaving {
		c.leaving = true
		c.r.execute(c.leave) // not within a call of this connection
	}
	if c.conn != nil && c.over && c.ended() {
		c.r.close(c.conn)
	}
}

func (c *client) write(text []byte) {
	if c.conn == nil {
		return
	}
	c.idle = c.r.clock()
	if _, err := c.conn.Write(text); err != nil { // gnet has closed it
		return
	}
	if n := c.conn.OutboundBuffered(); n > c.r.lim.ClientOutput { // it does not take its answers
		c.r.counts.Broken++
		c.r.close(c.conn)
	} else {
		c.r.buffer(n)
	}
}

// buffer notes bytes that a client's connection holds. Where all together may hold too much they are counted, and
// those that hold most are closed.
func (r *Router) buffer(n int) {
	if r.buffered += n; r.buffered <= r.lim.ClientBufferBytes {
		return
	}
	for {
		r.buffered = 0
		var most *client
		holds := func(c *client) int { return c.waiting() + c.conn.OutboundBuffered() }
		for c := range r.clients {
			r.buffered += holds(c)
			if most == nil || holds(c) > holds(most) {
				most = c
			}
		}
		if r.buffered <= r.lim.ClientBufferBytes/2 {
			return
		}
		r.counts.Shed++
		r.close(most.conn)
	}
}

// settled: no request of it is in hand and all answers are with the kernel. A command that has come in part is not taken yet.
func (c *client) settled() bool { return len(c.slots) == 0 && c.conn.OutboundBuffered() == 0 }

// quiet: it is settled, and could be closed. A close that crosses what the client sends drops all that the kernel still
// has for it, and of a big value that may be megabytes.
func (c *client) quiet() bool {
	if c.settled() && c.carried {
		n, err := unix.IoctlGetInt(c.conn.Fd(), unix.SIOCOUTQ)
		c.carried = err == nil && n > 0
	}
	return c.settled() && !c.carried
}

// unheard: it has sent something that the loop has not read. Closing it then resets the connection under a request that was taken;
// after a pause of the process, or under load, the loop comes to its timers before its sockets.
func (c *client) unheard() bool {
	n, err := unix.IoctlGetInt(c.conn.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// ended: it is quiet, or it does not take its answers. gnet writes what it can at a close, and no more.
func (c *client) ended() bool {
	return c.conn == nil || c.quiet() || len(c.slots) == 0 && c.r.clock()-c.idle > c.r.lim.ClientWriteTimeout
}

func (c *client) command(words [][]byte) {
	switch string(bytes.ToUpper(words[0])) {
	case "CACHE.GET":
		c.take(words, 4, false)
	case "CACHE.SET":
		c.take(words, 5, true)
	case "PING":
		switch {
		case c.r.ops.wanted.Drain:
			c.now([]byte("-DRAINING as operators asked\r\n"))
		case c.r.place.out != "":
			c.now([]byte("-DRAINING the name is another router's\r\n"))
		case c.r.place.shut:
			c.now([]byte("-LOADING the policy may not be current\r\n"))
		case !c.r.serving:
			c.now([]byte("-LOADING no list of servers yet\r\n"))
		case len(words) > 1:
			c.now(resp.AppendBulk(nil, words[1]))
		default:
			c.now([]byte("+PONG\r\n"))
		}
	case "CLIENT", "SELECT":
		c.now([]byte("+OK\r\n"))
	case "QUIT":
		c.now([]byte("+OK\r\n"))
		c.over = true
	default:
		c.now([]byte("-ERR unknown command\r\n"))
	}
}

// take makes a command a request.
func (c *client) take(words [][]byte, n int, write bool) {
	r := c.r
	if len(words) != n {
		c.now([]byte("-ERR wrong number of words\r\n"))
		return
	}
	q, came, waits, ok := c.request(words, write)
	if !ok {
		c.now(refusedReq)
		return
	}
	q.slot.q = q
	c.slots = append(c.slots, &q.slot)
	r.take(q, came, waits, c.came)
	c.hasAsked()
}

var refusedReq = []byte("-ERR a req needs a new id, c, and d\r\n")

// request makes the words of a command a request; ok is false where they are refused, which is counted.
func (c *client) request(words [][]byte, write bool) (q *request, came routing.RequestArrived, waits clock.Time, ok bool) {
	r := c.r
	size := 0
	for _, w := range words {
		size += len(w)
	}
	all := make([]byte, 0, size)
	own := func(w []byte) []byte {
		from := len(all)
		all = append(all, w...)
		return all[from:len(all):len(all)]
	}
	q = &request{Request: wire.Request{Verb: own(words[0]), Key: own(words[1]), ID: routing.RequestID(words[2]), Props: wire.NewProps(own(words[3])), Write: write}, size: size, from: c}
	if write && len(words) > 4 {
		q.Value = own(words[4])
	}
	p := resp2.ReadProps(words[3])
	method, known := r.methods[string(p.Method)]
	if p.Bad || p.Waits == 0 || !known || len(q.ID) == 0 || r.requests[q.ID] != nil {
		if known {
			r.refused(method, wire.Failed)
		}
		return q, came, 0, false
	}
	return q, routing.RequestArrived{Request: q.ID, Key: routing.Key(q.Key), Write: write, Method: method, Tenant: routing.Tenant(p.Tenant),
		ClientRetry: p.Resent}, p.Waits, true
}

// hasAsked counts who has asked, once.
func (c *client) hasAsked() {
	if r := c.r; !c.asked {
		c.asked = true
		r.askers++
		// Clients hold only so many connections. Where they keep those that they have done with, they have none left to
		// ask on, long before the descriptors are short here.
		if r.askers > r.lim.ActiveClients {
			r.shedClient(true)
		}
	}
}

// resume reads on where clients were stalled.
func (r *Router) resume() {
	stalled := r.stalled
	r.stalled = nil
	for _, c := range stalled {
		c.stalled = false
		c.readOn()
	}
}
