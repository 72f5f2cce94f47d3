package client

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/resp"
)

var bounds = resp.Bounds{Bulk: 1 << 20, Line: 1 << 12, Args: 16}

// lateAnswers is how long a client waits on behind its limit.
const lateAnswers event.Micros = 500e3

// pending is a request that has no answer yet.
type pending struct {
	req    event.Req
	op     event.Op
	a      arrivals.Arrival
	write  bool
	props  string
	limit  event.Micros // how long it may wait
	sent   event.Micros // the deadline sent over RESP2, in whole milliseconds
	gives  event.Micros // when its client goes; 0: never
	asked  event.Micros
	fresh  bool // it crossed a close, and goes on a new connection
	answer chan result
}

// pool holds the connections to one router.
type pool struct {
	f      *LoadBalancer
	router event.Router
	addr   string
	most   int
	mu     sync.Mutex
	conns  []*conn
	opens  int
	closed bool
}

// conn is one connection. Answers come in the order of requests.
type conn struct {
	p     *pool
	c     net.Conn
	mu    sync.Mutex
	waits []*pending // in the order on the wire
	due   int        // that have a place, and are about to be written
	used  bool
	ended bool
	last  event.Req
	prior event.Micros // when the answer before came
}

// take finds a connection with room, the one used last first, or opens one. A fresh one is opened in any case.
func (p *pool) take(fresh bool) (c *conn, kept bool, err error) {
	p.mu.Lock()
	for i := len(p.conns) - 1; i >= 0 && !fresh; i-- {
		c := p.conns[i]
		c.mu.Lock()
		if !c.ended && len(c.waits)+c.due < p.f.s.Clients.Pipeline {
			c.due++
			kept = c.used
			c.used = true
			c.mu.Unlock()
			p.mu.Unlock()
			return c, kept, nil
		}
		c.mu.Unlock()
	}
	if p.opens >= p.most || p.closed || !p.f.mayOpen(p.router) {
		p.mu.Unlock()
		return nil, false, errNoRoom
	}
	p.opens++
	p.mu.Unlock()
	n, err := net.DialTimeout("tcp", p.addr, time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.opens--
		return nil, false, err
	}
	c = &conn{p: p, c: n, due: 1, used: true}
	p.conns = append(p.conns, c)
	p.f.wg.Add(1)
	go c.read()
	return c, false, nil
}

type noRoom struct{}

func (noRoom) Error() string { return "all connections that the clients may hold are busy" }

var errNoRoom = noRoom{}

func (p *pool) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// ask sends a request and waits for what becomes of it; kept: the connection had carried others before.
func (p *pool) ask(q *pending) (res result, kept bool) {
	note := event.Event{Req: q.req, Op: q.op, Router: p.router, Method: q.a.Method, Limit: q.limit}
	var c *conn
	var err error
	for {
		if c, kept, err = p.take(q.fresh); err != nil {
			note.Kind, note.Note = event.Unreached, err.Error()
			p.f.log.Add(note)
			return result{how: unreached}, false
		}
		c.mu.Lock()
		c.due--
		if !c.ended {
			break
		}
		c.mu.Unlock() // it ended before anything was written: another one
	}
	// Under the lock, so that the order on the wire is the order of those who wait.
	c.waits = append(c.waits, q)
	note.Kind, note.DeadlineSent = event.Asked, q.sent
	if !kept {
		note.Note = event.NewConnection
	}
	q.asked = p.f.log.Now()
	note.At = q.asked
	p.f.log.AddAt(note)
	_ = c.c.SetWriteDeadline(time.Now().Add(q.limit.Duration())) // an error shows in Write
	_, err = c.c.Write(c.text(q))
	c.mu.Unlock()
	if err != nil {
		c.end()
	}
	// An answer that comes late is to be seen as late, so the client waits on for a while.
	over := time.NewTimer((q.limit + lateAnswers).Duration())
	defer over.Stop()
	goes := make(<-chan time.Time)
	if q.gives > 0 {
		t := time.NewTimer(max(0, q.gives-p.f.log.Now()).Duration())
		defer t.Stop()
		goes = t.C
	}
	for {
		select {
		case res := <-q.answer:
			return res, kept
		case <-goes:
			if c.leave(q) {
				return result{how: left}, kept
			}
			goes = nil // others wait on the connection: it stays, and so does the answer
		case <-over.C:
			c.end()
			select {
			case res := <-q.answer:
				return res, kept
			case <-time.After(time.Second):
				return result{how: failed}, kept
			}
		}
	}
}

func (c *conn) text(q *pending) []byte {
	words := [][]byte{[]byte("CACHE.GET"), []byte(q.a.Key), []byte(q.req), []byte(q.props)}
	if q.write {
		words[0] = []byte("CACHE.SET")
		words = append(words, cacheserver.MakeValue(q.req, "client", q.a.Size))
	}
	return resp.AppendCommand(nil, words...)
}

// leave goes away without the answer, where no other waits on the connection.
func (c *conn) leave(q *pending) bool {
	c.mu.Lock()
	if len(c.waits) != 1 || c.waits[0] != q || c.due > 0 || c.ended {
		c.mu.Unlock()
		return false
	}
	c.waits = nil
	c.ended = true
	c.p.f.log.Add(event.Event{Kind: event.Left, Req: q.req, Op: q.op, Router: c.p.router})
	c.mu.Unlock()
	c.c.Close()
	return true
}

func (c *conn) end() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.c.Close()
}

// read takes answers until the connection ends.
func (c *conn) read() {
	defer c.p.f.wg.Done()
	defer c.gone()
	var have []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := c.c.Read(buf)
		have = append(have, buf[:n]...)
		used := 0
		for used < len(have) {
			r, size, bad := resp.ReadReply(have[used:], bounds)
			if bad != nil {
				c.odd("an answer that cannot be read")
				return
			}
			if size == 0 {
				break
			}
			if !c.took(r) {
				return
			}
			used += size
		}
		have = append(have[:0], have[used:]...)
		if err != nil {
			return
		}
	}
}

func (c *conn) odd(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.p.f.log.Add(event.Event{Kind: event.Surplus, Req: c.last, Router: c.p.router, Note: what})
}

// took gives an answer to the first that waits; false where nobody does.
func (c *conn) took(r resp.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.p.f.log.Now()
	if len(c.waits) == 0 {
		if !c.ended {
			c.p.f.log.Add(event.Event{Kind: event.Surplus, Req: c.last, Router: c.p.router, Note: "an answer that nobody asked for"})
		}
		return false
	}
	q := c.waits[0]
	c.waits = c.waits[1:]
	c.last = q.req
	res, out := result{how: failed}, event.Failed
	value := r.Text
	if r.Kind == '*' && len(r.Items) > 0 {
		r, value = r.Items[0], r.Items[0].Text
	}
	word, rest, _ := bytes.Cut(r.Text, []byte(" "))
	switch {
	case r.Kind == '$' && !r.Null && cacheserver.IsValueFor(q.req, value):
		res.how, out = satisfied, event.Satisfied
	case r.Kind == '$' && !r.Null:
		out = event.Foreign
	case r.Kind == '-' && string(word) == "BUSY":
		res.how, out = nacked, event.Nacked
		ms, _ := strconv.Atoi(string(rest)) // 0 where there is no hint
		res.hint = event.Micros(ms) * 1000
	}
	c.p.f.log.AddAt(event.Event{At: now, Kind: event.Answered, Req: q.req, Op: q.op, Router: c.p.router, Outcome: out,
		Limit: res.hint, Since: c.prior, Method: q.a.Method})
	c.prior = now
	q.answer <- res
	return true
}

// gone: the connection is over, and those who wait on it have no answer.
func (c *conn) gone() {
	c.c.Close()
	p := c.p
	p.mu.Lock()
	for i, x := range p.conns {
		if x == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	p.opens--
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	kind, ended := event.Cut, cut
	if c.ended { // by the client itself, for one that waited too long: it does not send again what it has given up
		kind, ended = event.Left, failed
	}
	c.ended = true
	for _, q := range c.waits {
		p.f.log.Add(event.Event{Kind: kind, Req: q.req, Op: q.op, Router: p.router})
		q.answer <- result{how: ended}
	}
	c.waits = nil
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	conns := append([]*conn(nil), p.conns...)
	p.mu.Unlock()
	for _, c := range conns {
		c.end()
	}
}
