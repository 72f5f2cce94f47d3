package router

import (
	"bytes"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"spurtrestle/choice"
	"spurtrestle/internal/resp"
)

// client is a connection that was accepted.
type client struct {
	r       *Router
	conn    gnet.Conn
	slots   []*slot // commands in order, until their answers are written
	idle    choice.Micros
	stalled bool // its next commands wait until there is room
	over    bool // to be closed once the answers are out
	words   [][]byte
}

// slot is the place of one command among the answers of its connection.
type slot struct {
	q    *req
	text []byte // nil: not answered yet
}

func (c *client) opened(conn gnet.Conn) {
	c.conn, c.idle = conn, c.r.clock()
	c.r.clients[c] = struct{}{}
	c.r.counts.ClientConns++
	if !c.r.makeRoom(0) {
		c.r.close(conn)
	}
}

func (c *client) closed() {
	delete(c.r.clients, c)
	for _, s := range c.slots {
		if s.q != nil {
			c.r.left(s.q)
		}
	}
	c.slots, c.over, c.conn = nil, true, nil
	if c.r.closing {
		c.r.queue() // it may have been the last
	}
}

// traffic reads whole commands, as many as there is room for.
func (c *client) traffic() gnet.Action {
	c.idle = c.r.clock()
	if c.over { // what comes behind a broken command is not read
		_, _ = c.conn.Discard(-1)
		return gnet.None
	}
	for !c.over {
		if c.stalled = len(c.slots) >= c.r.lim.Pipeline || c.r.held >= c.r.lim.HeldBytes; c.stalled {
			break
		}
		buf, err := c.conn.Peek(-1)
		if err != nil || len(buf) == 0 {
			return gnet.None
		}
		words, used, err := resp.Command(buf, c.words, c.r.lim.Resp)
		c.words = words
		if err != nil {
			c.broken("protocol")
			break
		}
		if used == 0 {
			break
		}
		if len(words) > 0 {
			c.command(words)
		}
		if c.over {
			break
		}
		_, _ = c.conn.Discard(used) // bytes that Peek has just shown
	}
	if c.stalled && !c.over {
		// gnet reads on whatever is left, so this is where a client that sends on is cut off.
		c.r.stalled = append(c.r.stalled, c)
	}
	if !c.over && c.conn.InboundBuffered() > c.r.lim.ClientIn {
		c.broken("too much is waiting")
	}
	if c.over && len(c.slots) == 0 {
		return gnet.Close
	}
	return gnet.None
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
	c.answer(s, text)
}

// answer fills a slot and writes out what is in order.
func (c *client) answer(s *slot, text []byte) {
	if c.conn == nil {
		return
	}
	if len(c.slots) > 0 && c.slots[0] == s {
		c.slots = c.slots[1:]
		c.write(text)
	} else {
		s.text = bytes.Clone(text)
	}
	for len(c.slots) > 0 && c.slots[0].text != nil {
		text := c.slots[0].text
		c.slots = c.slots[1:]
		c.write(text)
	}
	if c.over && len(c.slots) == 0 && c.conn != nil {
		c.r.close(c.conn)
	}
}

func (c *client) write(text []byte) {
	if c.conn == nil {
		return
	}
	if _, err := c.conn.Write(text); err != nil { // gnet has closed it
		return
	}
	if c.conn.OutboundBuffered() > c.r.lim.ClientOut { // it does not take its answers
		c.r.counts.Broken++
		c.r.close(c.conn)
	}
}

// quiet: nothing of it is in hand.
func (c *client) quiet() bool { return len(c.slots) == 0 && c.conn.InboundBuffered() == 0 }

func (c *client) command(words [][]byte) {
	switch string(bytes.ToUpper(words[0])) {
	case "CACHE.GET":
		c.take(words, 4, false)
	case "CACHE.SET":
		c.take(words, 5, true)
	case "PING":
		switch {
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

// take makes a command a req.
func (c *client) take(words [][]byte, n int, write bool) {
	r := c.r
	if len(words) != n {
		c.now([]byte("-ERR wrong number of words\r\n"))
		return
	}
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
	q := &req{verb: own(words[0]), key: own(words[1]), id: choice.ReqID(words[2]), props: own(words[3]),
		write: write, size: size, client: c, slot: &slot{}}
	if write {
		q.value = own(words[4])
	}
	came := choice.ReqCame{Req: q.id, Key: choice.Key(q.key), Write: write}
	waits, ok := choice.Micros(0), len(q.id) > 0 && r.reqs[q.id] == nil
	known := false
	for part := range bytes.SplitSeq(q.props, []byte(",")) {
		name, value, _ := bytes.Cut(part, []byte("="))
		switch string(name) {
		case "c":
			came.Method, known = r.methods[string(value)]
		case "t":
			came.Tenant = choice.Tenant(value)
		case "d":
			ms, err := strconv.ParseFloat(string(value), 64)
			ok = ok && err == nil && ms > 0 && ms < 1e9
			waits = choice.Micros(ms * 1e3)
		case "r":
			came.Resent = string(value) == "1"
		}
	}
	if !ok || !known || waits == 0 {
		c.now([]byte("-ERR a req needs a new id, c, and d\r\n"))
		return
	}
	q.slot.q = q
	c.slots = append(c.slots, q.slot)
	r.reqs[q.id] = q
	r.held += size
	r.counts.Taken++
	r.input(&arrival{came: came, waits: max(waits-r.lim.Crossing, 1)})
}

// resume reads on where clients were stalled.
func (r *Router) resume() {
	stalled := r.stalled
	r.stalled = nil
	for _, c := range stalled {
		if !c.over && c.traffic() == gnet.Close {
			r.close(c.conn)
		}
	}
}
