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
	r                 *Router
	conn              gnet.Conn
	slots             []*slot    // commands in order, until their answers are written
	lastActivity      clock.Time // since when it has been quiet
	lastCommandAt     clock.Time // when the last whole command came, or the connection
	partialSince      clock.Time // when the first byte came of a command that is not whole yet; 0: there is none
	enrolling         bool       // accepted, and not with the loop yet
	hasReceived       bool       // something has come on it
	hasSentCommand    bool       // a whole command has come on it
	hasSentRequest    bool       // a request has come on it
	stalled           bool       // its next commands wait until there is room; it is on the router's list of those
	closeAfterReplies bool       // to be closed once the answers are out
	largeWriteNext    bool       // a big write is next, and waits until all before it is answered
	detachPending     bool       // soon off the loop
	carriedLargeRead  bool       // a big value has passed on it, of which the kernel may hold a part
	detached          bool       // off the loop: a big value passes on it
	detachedInput     []byte     // what came before it left the loop, and is not read yet
	words             [][]byte

	arrivalTimes arrivalTimes // of what is not read yet
	receivedAt   clock.Time   // when the last byte of the command came that is being read
}

// slot is the place of one command among the answers of its connection.
type slot struct {
	request   *pendingRequest
	reply     []byte     // nil: not answered yet
	largeRead *largeRead // a big value is its answer
}

func (c *client) onOpen(conn gnet.Conn) {
	if c.detached {
		c.reattach(conn)
		return
	}
	if c.enrolling {
		c.enrolling = false
		c.r.takeover.enrolling.Add(-1)
	}
	c.conn, c.lastActivity = conn, c.r.clock()
	c.lastCommandAt = c.lastActivity
	c.r.clients[c] = struct{}{}
	c.r.counts.ClientConns++
	if c.r.takeover.handingOver {
		c.r.queueBatch()
	}
	if !c.r.makeRoomForClient(c) {
		c.r.close(conn)
		return
	}
	if len(c.detachedInput) > 0 { // another process read that
		c.r.runAsync(c.resumeReading)
	}
}

func (c *client) onClose(bool) {
	delete(c.r.clients, c)
	if c.hasSentRequest {
		c.r.requestingClients--
	}
	for _, s := range c.slots {
		if s.request != nil {
			c.r.clientLeft(s.request)
		}
		if s.largeRead != nil {
			c.r.counts.Left++
			s.largeRead.discard()
		}
	}
	c.slots, c.closeAfterReplies, c.conn = nil, true, nil
	if c.r.closingClients || c.r.operator.closingClients || c.r.fleet.outOfService != "" {
		c.r.queueBatch() // it may have been the last
	}
}

// traffic reads whole commands, as many as there is room for.
func (c *client) onTraffic() gnet.Action {
	c.lastActivity, c.hasReceived = c.r.clock(), true
	if c.closeAfterReplies { // what comes behind a broken command is not read
		_, _ = c.conn.Discard(-1)
		return gnet.None
	}
	if c.r.takeover.handingOver { // what comes now is the next process's
		c.r.queueBatch()
		return gnet.None
	}
	for !c.closeAfterReplies {
		if len(c.slots) >= c.r.limits.PipelinedCommands || c.r.requestBytes >= c.r.limits.RequestBytes {
			c.waitForRoom()
			break
		}
		buf := c.unreadInput()
		if len(buf) == 0 {
			return gnet.None
		}
		words, used, err := resp.Command(buf, c.words, c.r.limits.RESP)
		c.words = words
		if err != nil {
			if ok, away := c.startLargeWrite(buf); away {
				return gnet.Close // a duplicate goes on
			} else if ok {
				c.r.noteClientBuffer(c.unreadBytes())
				return gnet.None
			}
		}
		if err != nil {
			c.closeWithError("protocol")
			break
		}
		if used == 0 {
			break
		}
		c.hasSentCommand, c.lastCommandAt, c.partialSince = true, c.lastActivity, 0
		c.receivedAt = c.arrivalTimes.consume(used, c.lastActivity)
		if len(words) > 0 {
			c.handleCommand(words)
		}
		if c.closeAfterReplies {
			break
		}
		c.discardInput(used)
	}
	if !c.closeAfterReplies {
		if n := c.unreadBytes(); n > c.r.limits.ClientInput && !c.largeWriteNext {
			// gnet reads on whatever the loop leaves, so a client that sends on is cut off here.
			c.closeWithError("too much is waiting")
		} else {
			if n > 0 && !c.stalled && c.partialSince == 0 {
				c.partialSince = c.lastActivity
			}
			if c.stalled {
				c.arrivalTimes.noteUnread(n, c.lastActivity)
			}
			c.r.noteClientBuffer(n)
		}
	}
	if c.closeAfterReplies && c.mayClose() {
		return gnet.Close
	}
	return gnet.None
}

// silent: nothing whole has come since it connected, or the head of a command is long in coming, or the rest has stopped.
// A value may flow slowly, but not for ever.
func (c *client) isSilent(now clock.Time) bool {
	const values = 10 // times as long as a head
	slow := c.r.limits.PartialCommandTimeout
	switch {
	case c.partialSince == 0:
		return !c.hasSentCommand && now-c.lastCommandAt >= c.r.limits.SilentClientTimeout
	case c.unreadBytes() <= c.r.limits.RESP.Line:
		return now-c.partialSince >= slow
	}
	return now-c.lastActivity >= slow || now-c.partialSince >= values*slow
}

// readOn reads what came before the connection was on this loop.
func (c *client) resumeReading() {
	if conn := c.conn; conn != nil && !c.closeAfterReplies && c.onTraffic() == gnet.Close {
		c.r.close(conn)
	}
}

// firstNow reads on at a big write once all before it is answered and has left.
func (c *client) resumeLargeWrite() {
	if c.conn == nil || !c.largeWriteNext {
		return
	}
	if c.conn.OutboundBuffered() > 0 {
		c.r.after(c.r.limits.LargeValueRetryInterval, c.resumeLargeWrite)
		return
	}
	c.largeWriteNext = false
	c.resumeReading()
}

// unread is what has come and is not read yet: the rest from before it left the loop goes first.
func (c *client) unreadInput() []byte {
	buf, err := c.conn.Peek(-1)
	if err != nil || len(c.detachedInput) == 0 {
		return buf
	}
	c.detachedInput = append(c.detachedInput, buf...)
	_, _ = c.conn.Discard(-1) // bytes that Peek has just shown, here and below
	return c.detachedInput
}

func (c *client) discardInput(n int) {
	if len(c.detachedInput) == 0 {
		_, _ = c.conn.Discard(n)
	} else if c.detachedInput = c.detachedInput[n:]; len(c.detachedInput) == 0 {
		c.detachedInput = nil
	}
}

func (c *client) unreadBytes() int { return len(c.detachedInput) + c.conn.InboundBuffered() }

func (c *client) waitForRoom() {
	if !c.stalled {
		c.stalled = true
		c.r.stalledClients = append(c.r.stalledClients, c)
	}
}

// broken answers a command that cannot be read, behind the answers that are due, and closes.
func (c *client) closeWithError(why string) {
	c.r.counts.Broken++
	c.replyNow(resp.AppendLine(nil, '-', "ERR "+why))
	c.closeAfterReplies = true
}

// now answers a command that needs no server.
func (c *client) replyNow(text []byte) {
	s := &slot{}
	c.slots = append(c.slots, s)
	c.fillSlot(s, text)
}

// answer gives a request of this client its final answer, in its turn.
func (c *client) deliver(request *pendingRequest, a wire.Answer) {
	c.r.writeBuffer = resp2.AppendAnswer(c.r.writeBuffer[:0], a)
	c.fillSlot(&request.slot, c.r.writeBuffer)
}

// fill fills a slot and writes out what is in order.
func (c *client) fillSlot(s *slot, text []byte) {
	if c.detached {
		s.reply = bytes.Clone(text)
		return
	}
	if c.conn == nil {
		return
	}
	if len(c.slots) > 0 && c.slots[0] == s {
		c.slots = c.slots[1:]
		c.write(text)
	} else {
		s.reply = bytes.Clone(text)
	}
	c.flushReplies()
}

// flush writes out what is in order, as far as the next big value, which passes off the loop.
func (c *client) flushReplies() {
	for len(c.slots) > 0 && c.slots[0].reply != nil {
		text := c.slots[0].reply
		c.slots = c.slots[1:]
		c.write(text)
	}
	if c.conn != nil && c.largeWriteNext && len(c.slots) == 0 {
		c.r.runAsync(c.resumeLargeWrite)
	}
	if c.conn != nil && len(c.slots) > 0 && c.slots[0].largeRead != nil && !c.detachPending {
		c.detachPending = true
		c.r.runAsync(c.detach) // not within a call of this connection
	}
	if c.conn != nil && c.closeAfterReplies && c.mayClose() {
		c.r.close(c.conn)
	}
}

func (c *client) write(text []byte) {
	if c.conn == nil {
		return
	}
	c.lastActivity = c.r.clock()
	if _, err := c.conn.Write(text); err != nil { // gnet has closed it
		return
	}
	if n := c.conn.OutboundBuffered(); n > c.r.limits.ClientOutput { // it does not take its answers
		c.r.counts.Broken++
		c.r.close(c.conn)
	} else {
		c.r.noteClientBuffer(n)
	}
}

// buffer notes bytes that a client's connection holds. Where all together may hold too much they are counted, and
// those that hold most are closed.
func (r *Router) noteClientBuffer(added int) {
	if r.clientBufferBytes += added; r.clientBufferBytes <= r.limits.ClientBufferBytes {
		return
	}
	for {
		r.clientBufferBytes = 0
		var largest *client
		bytesHeld := func(client *client) int { return client.unreadBytes() + client.conn.OutboundBuffered() }
		for client := range r.clients {
			r.clientBufferBytes += bytesHeld(client)
			if largest == nil || bytesHeld(client) > bytesHeld(largest) {
				largest = client
			}
		}
		if r.clientBufferBytes <= r.limits.ClientBufferBytes/2 {
			return
		}
		r.counts.Shed++
		r.close(largest.conn)
	}
}

// settled: no request of it is in hand and all answers are with the kernel. A command that has come in part is not taken yet.
func (c *client) hasNoPendingReplies() bool {
	return len(c.slots) == 0 && c.conn.OutboundBuffered() == 0
}

// quiet: it is settled, and could be closed. A close that crosses what the client sends drops all that the kernel still
// has for it, and of a big value that may be megabytes.
func (c *client) isQuiet() bool {
	if c.hasNoPendingReplies() && c.carriedLargeRead {
		n, err := unix.IoctlGetInt(c.conn.Fd(), unix.SIOCOUTQ)
		c.carriedLargeRead = err == nil && n > 0
	}
	return c.hasNoPendingReplies() && !c.carriedLargeRead
}

// unheard: it has sent something that the loop has not read. Closing it then resets the connection under a request that was taken;
// after a pause of the process, or under load, the loop comes to its timers before its sockets.
func (c *client) hasUnreadInput() bool {
	n, err := unix.IoctlGetInt(c.conn.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// ended: it is quiet, or it does not take its answers. gnet writes what it can at a close, and no more.
func (c *client) mayClose() bool {
	return c.conn == nil || c.isQuiet() || len(c.slots) == 0 && c.r.clock()-c.lastActivity > c.r.limits.ClientWriteTimeout
}

func (c *client) handleCommand(words [][]byte) {
	switch string(bytes.ToUpper(words[0])) {
	case "CACHE.GET":
		c.handleRequest(words, 4, false)
	case "CACHE.SET":
		c.handleRequest(words, 5, true)
	case "PING":
		switch {
		case c.r.operator.state.Drain:
			c.replyNow([]byte("-DRAINING as operators asked\r\n"))
		case c.r.fleet.outOfService != "":
			c.replyNow([]byte("-DRAINING the name is another router's\r\n"))
		case c.r.fleet.admissionClosed:
			c.replyNow([]byte("-LOADING the policy may not be current\r\n"))
		case !c.r.hasUsableServer:
			c.replyNow([]byte("-LOADING no list of servers yet\r\n"))
		case len(words) > 1:
			c.replyNow(resp.AppendBulk(nil, words[1]))
		default:
			c.replyNow([]byte("+PONG\r\n"))
		}
	case "CLIENT", "SELECT":
		c.replyNow([]byte("+OK\r\n"))
	case "QUIT":
		c.replyNow([]byte("+OK\r\n"))
		c.closeAfterReplies = true
	default:
		c.replyNow([]byte("-ERR unknown command\r\n"))
	}
}

// take makes a command a request.
func (c *client) handleRequest(words [][]byte, wordCount int, write bool) {
	r := c.r
	if len(words) != wordCount {
		c.replyNow([]byte("-ERR wrong number of words\r\n"))
		return
	}
	request, event, timeout, ok := c.parseRequest(words, write)
	if !ok {
		c.replyNow(refusedRequestReply)
		return
	}
	request.slot.request = request
	c.slots = append(c.slots, &request.slot)
	r.admitRequest(request, event, timeout, c.receivedAt)
	c.countRequester()
}

var refusedRequestReply = []byte("-ERR a req needs a new id, c, and d\r\n")

// request makes the words of a command a request; ok is false where they are refused, which is counted.
func (c *client) parseRequest(words [][]byte, write bool) (request *pendingRequest, event routing.RequestArrived, timeout clock.Time, ok bool) {
	r := c.r
	size := 0
	for _, word := range words {
		size += len(word)
	}
	storage := make([]byte, 0, size)
	copyBytes := func(word []byte) []byte {
		from := len(storage)
		storage = append(storage, word...)
		return storage[from:len(storage):len(storage)]
	}
	request = &pendingRequest{Request: wire.Request{Verb: copyBytes(words[0]), Key: copyBytes(words[1]), ID: routing.RequestID(words[2]), Props: wire.NewProps(copyBytes(words[3])), Write: write}, size: size, responder: c}
	if write && len(words) > 4 {
		request.Value = copyBytes(words[4])
	}
	props := resp2.ReadProps(words[3])
	method, known := r.methods[string(props.Method)]
	if props.Bad || props.Waits == 0 || !known || len(request.ID) == 0 || r.requests[request.ID] != nil {
		if known {
			r.countRefused(method, wire.Failed)
		}
		return request, event, 0, false
	}
	return request, routing.RequestArrived{Request: request.ID, Key: routing.Key(request.Key), Write: write, Method: method, Tenant: routing.Tenant(props.Tenant),
		ClientRetry: props.Resent}, props.Waits, true
}

// hasAsked counts who has asked, once.
func (c *client) countRequester() {
	if r := c.r; !c.hasSentRequest {
		c.hasSentRequest = true
		r.requestingClients++
		// Clients hold only so many connections. Where they keep those that they have done with, they have none left to
		// ask on, long before the descriptors are short here.
		if r.requestingClients > r.limits.ActiveClients {
			r.shedClient(true)
		}
	}
}

// resume reads on where clients were stalled.
func (r *Router) resumeStalledClients() {
	stalled := r.stalledClients
	r.stalledClients = nil
	for _, client := range stalled {
		client.stalled = false
		client.resumeReading()
	}
}
