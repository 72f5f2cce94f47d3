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

// lateAnswerGrace is how long a client waits after the deadline, so that late answers are recorded as late.
const lateAnswerGrace event.Micros = 500e3

// pending is a request without an answer.
type pending struct {
	id           event.RequestID
	op           event.Op
	arrival      arrivals.Arrival
	write        bool
	props        string
	deadline     event.Micros // time allowed for the answer
	deadlineSent event.Micros // deadline as sent over RESP2, in whole milliseconds
	givesUpAt    event.Micros // when the client abandons it; 0: never
	sentAt       event.Micros
	needsNewConn bool // it is sent again after a connection ended, on a new one
	answer       chan result
}

// pool holds the RESP2 connections to one router.
type pool struct {
	lb       *LoadBalancer
	router   event.Router
	addr     string
	maxConns int
	mu       sync.Mutex
	conns    []*conn
	opened   int
	closed   bool
}

// conn is one RESP2 connection. Answers arrive in the order of requests.
type conn struct {
	pool         *pool
	netConn      net.Conn
	mu           sync.Mutex
	pending      []*pending // in the order of the requests on the wire
	reserved     int        // requests that have reserved a slot and are about to be written
	used         bool
	closed       bool
	lastRequest  event.RequestID
	lastAnswerAt event.Micros // when the previous answer arrived
}

// acquire reserves a slot on a connection, preferring the newest one, or opens a connection. With needsNewConn it always
// opens one.
func (p *pool) acquire(needsNewConn bool) (c *conn, reused bool, err error) {
	p.mu.Lock()
	for i := len(p.conns) - 1; i >= 0 && !needsNewConn; i-- {
		c := p.conns[i]
		c.mu.Lock()
		if !c.closed && len(c.pending)+c.reserved < p.lb.scenario.Clients.Pipeline {
			c.reserved++
			reused = c.used
			c.used = true
			c.mu.Unlock()
			p.mu.Unlock()
			return c, reused, nil
		}
		c.mu.Unlock()
	}
	if p.opened >= p.maxConns || p.closed || !p.lb.mayOpen(p.router) {
		p.mu.Unlock()
		return nil, false, errPoolFull
	}
	p.opened++
	p.mu.Unlock()
	n, err := net.DialTimeout("tcp", p.addr, time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.opened--
		return nil, false, err
	}
	c = &conn{pool: p, netConn: n, reserved: 1, used: true}
	p.conns = append(p.conns, c)
	p.lb.wg.Add(1)
	go c.read()
	return c, false, nil
}

// poolFullError reports that no connection has a free slot and none may be opened.
type poolFullError struct{}

func (poolFullError) Error() string {
	return "all connections to the router are busy and no more may be opened"
}

var errPoolFull = poolFullError{}

func (p *pool) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// roundTrip sends a request and waits for its result. reused reports whether the connection had carried other requests.
func (p *pool) roundTrip(request *pending) (res result, reused bool) {
	record := event.Event{Request: request.id, Op: request.op, Router: p.router, Method: request.arrival.Method, Limit: request.deadline}
	var c *conn
	var err error
	for {
		if c, reused, err = p.acquire(request.needsNewConn); err != nil {
			record.Kind, record.Note = event.ConnectFailed, err.Error()
			p.lb.log.Add(record)
			return result{outcome: unreached}, false
		}
		c.mu.Lock()
		c.reserved--
		if !c.closed {
			break
		}
		c.mu.Unlock() // it ended before anything was written: try another connection
	}
	// The lock is held until the request is written, so that pending has the order on the wire.
	c.pending = append(c.pending, request)
	record.Kind, record.DeadlineSent = event.RequestSent, request.deadlineSent
	if !reused {
		record.Note = event.NewConnection
	}
	request.sentAt = p.lb.log.Now()
	record.At = request.sentAt
	p.lb.log.AddAt(record)
	_ = c.netConn.SetWriteDeadline(time.Now().Add(request.deadline.Duration())) // an error shows in Write
	_, err = c.netConn.Write(encode(request))
	c.mu.Unlock()
	if err != nil {
		c.close()
	}
	return c.await(request), reused
}

// await waits for the answer to a request that was written, or for its client to abandon it.
func (c *conn) await(request *pending) result {
	// The client waits beyond the deadline, so that a late answer is recorded as late.
	deadline := time.NewTimer((request.deadline + lateAnswerGrace).Duration())
	defer deadline.Stop()
	givesUp := make(<-chan time.Time)
	if request.givesUpAt > 0 {
		t := time.NewTimer(max(0, request.givesUpAt-c.pool.lb.log.Now()).Duration())
		defer t.Stop()
		givesUp = t.C
	}
	for {
		select {
		case res := <-request.answer:
			return res
		case <-givesUp:
			if c.abandon(request) {
				return result{outcome: abandoned}
			}
			givesUp = nil // other requests wait on the connection: keep it and wait for the answer
		case <-deadline.C:
			c.close()
			select {
			case res := <-request.answer:
				return res
			case <-time.After(time.Second):
				return result{outcome: failed}
			}
		}
	}
}

// encode returns the command of a request.
func encode(request *pending) []byte {
	words := [][]byte{[]byte("CACHE.GET"), []byte(request.arrival.Key), []byte(request.id), []byte(request.props)}
	if request.write {
		words[0] = []byte("CACHE.SET")
		words = append(words, cacheserver.MakeValue(request.id, "client", request.arrival.Size))
	}
	return resp.AppendCommand(nil, words...)
}

// abandon closes the connection without waiting for the answer. It does nothing and returns false if another request uses
// the connection.
func (c *conn) abandon(request *pending) bool {
	c.mu.Lock()
	if len(c.pending) != 1 || c.pending[0] != request || c.reserved > 0 || c.closed {
		c.mu.Unlock()
		return false
	}
	c.pending = nil
	c.closed = true
	c.pool.lb.log.Add(event.Event{Kind: event.ClientLeft, Request: request.id, Op: request.op, Router: c.pool.router})
	c.mu.Unlock()
	c.netConn.Close()
	return true
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.netConn.Close()
}

// read handles answers until the connection ends.
func (c *conn) read() {
	defer c.pool.lb.wg.Done()
	defer c.handleClose()
	var unread []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := c.netConn.Read(buf)
		unread = append(unread, buf[:n]...)
		used := 0
		for used < len(unread) {
			r, size, parseErr := resp.ReadReply(unread[used:], bounds)
			if parseErr != nil {
				c.recordSurplus("malformed answer")
				return
			}
			if size == 0 {
				break
			}
			if !c.handleReply(r) {
				return
			}
			used += size
		}
		unread = append(unread[:0], unread[used:]...)
		if err != nil {
			return
		}
	}
}

// recordSurplus records bytes that answer no request.
func (c *conn) recordSurplus(note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool.lb.log.Add(event.Event{Kind: event.UnexpectedAnswer, Request: c.lastRequest, Router: c.pool.router, Note: note})
}

// handleReply passes an answer to the oldest pending request. It returns false if there is none.
func (c *conn) handleReply(r resp.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.pool.lb.log.Now()
	if len(c.pending) == 0 {
		if !c.closed {
			c.pool.lb.log.Add(event.Event{Kind: event.UnexpectedAnswer, Request: c.lastRequest, Router: c.pool.router, Note: "answer without a request"})
		}
		return false
	}
	request := c.pending[0]
	c.pending = c.pending[1:]
	c.lastRequest = request.id
	res, recorded := result{outcome: failed}, event.Failed
	value := r.Text
	if r.Kind == '*' && len(r.Items) > 0 {
		r, value = r.Items[0], r.Items[0].Text
	}
	code, rest, _ := bytes.Cut(r.Text, []byte(" "))
	switch {
	case r.Kind == '$' && !r.Null && cacheserver.IsValueFor(request.id, value):
		res.outcome, recorded = succeeded, event.Succeeded
	case r.Kind == '$' && !r.Null:
		recorded = event.WrongValue
	case r.Kind == '-' && string(code) == "BUSY":
		res.outcome, recorded = rejected, event.Rejected
		ms, _ := strconv.Atoi(string(rest)) // 0 where there is no hint
		res.retryAfter = event.Micros(ms) * 1000
	}
	c.pool.lb.log.AddAt(event.Event{At: now, Kind: event.Answered, Request: request.id, Op: request.op, Router: c.pool.router, Outcome: recorded,
		Limit: res.retryAfter, Since: c.lastAnswerAt, Method: request.arrival.Method})
	c.lastAnswerAt = now
	request.answer <- res
	return true
}

// handleClose removes a closed connection from its pool and fails its pending requests.
func (c *conn) handleClose() {
	c.netConn.Close()
	p := c.pool
	p.mu.Lock()
	for i, x := range p.conns {
		if x == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	p.opened--
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	kind, outcome := event.ConnectionClosed, disconnected
	if c.closed { // closed by the client after a timeout: requests that it gave up are not sent again
		kind, outcome = event.ClientLeft, failed
	}
	c.closed = true
	for _, request := range c.pending {
		p.lb.log.Add(event.Event{Kind: kind, Request: request.id, Op: request.op, Router: p.router})
		request.answer <- result{outcome: outcome}
	}
	c.pending = nil
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	conns := append([]*conn(nil), p.conns...)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}
