package router

import (
	"github.com/panjf2000/gnet/v2"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/resp2"
)

// client is an accepted client connection.
type client struct {
	r                 *Router
	conn              gnet.Conn
	slots             []*slot     // commands in order, until their replies are written
	lastActivity      clock.Time  // when it last sent or received something
	lastCommandAt     clock.Time  // when the last complete command arrived, or the connection was opened
	partialSince      clock.Time  // when the first byte of an incomplete command arrived; 0: no command is incomplete
	enrolling         bool        // accepted, but not yet enrolled in the loop
	adopted           bool        // handed over by the process before this one
	hasReceived       bool        // has sent something
	hasSentCommand    bool        // has sent a complete command
	hasSentRequest    bool        // has sent a request
	hasReusedConn     bool        // has sent another one
	stalled           bool        // further commands wait; it is in the router's stalledClients
	closeAfterReplies bool        // to be closed once the replies are written
	largeWriteNext    bool        // a large write is next, and waits until everything before it is answered
	detachPending     bool        // about to leave the loop
	paused            bool        // off the loop so that nothing is read; see client_pause.go
	resumeDue         bool        // paused, and to return to the loop
	descriptor        int         // of the connection while it is paused
	rejectsEarly      bool        // the process ends, and the client sends without end or reads slowly
	inputEnded        bool        // paused for good: no more than kernelInputLeft bytes are read
	bytesToEnd        int         // to be read before its connection ends, which is the next one to do so
	kernelInputLeft   int         // what is still to be read, once the input has ended
	lingers           bool        // its connection has been ended; until the client closes it, what it sends is dropped
	lastKernelBytes   int         // of its input, while it waits for memory
	arrivedInKernelAt clock.Time  // when all of the command that waits for memory was in the kernel; 0: it is not
	waitsForInput     bool        // stalled, and it is the rest of a command that waits for memory
	detached          bool        // off the loop while a large value is streamed
	input             inputBuffer // received and not processed yet
	turnQueued        bool        // it gets another turn in one of the next rounds
	backlogged        bool        // it has sent more than its last turn could process
	hasInputBehind    bool        // it has sent more than the command that is processed, or was last
	nextTarget        limitTarget // of the request that waits for room
	unsent            []byte      // rest of the last written reply that the kernel has not accepted
	lastSentAt        clock.Time  // when the kernel last accepted a part of a reply
	delivery                      // of what the kernel has accepted
	memory            clientmemory.Account
	end               counters.ClientConnectionEnd // why this process closes the connection

	arrivalTimes arrivalTimes // of the unread input
	receivedAt   clock.Time   // when the last byte of the current command arrived
}

// newClient returns a client whose connection has not reached the loop yet.
func newClient(r *Router) *client { return &client{r: r, memory: r.held.NewAccount()} }

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
	c.r.counts.ClientConnections++
	if c.r.takeover.handingOver {
		c.r.queueBatch()
	}
	if c.adopted {
		c.noteOutput(c.lastActivity) // the process before this one may have sent something
		c.r.noteAdoptedDescriptor()
	}
	hasDescriptor := c.r.makeRoomForClient(c)
	mustKeep := c.adopted && c.owes() != owesNothing // the first request of a new client may be refused unread
	if !hasDescriptor && !mustKeep {
		c.end = counters.ClientNoDescriptor
		c.r.closeConn(conn)
		return
	}
	c.noteMemory()
	if len(c.input.unread) > 0 { // input that another process has read
		c.r.runAsync(c.resumeReading)
	}
}

func (c *client) onClose(bool) {
	delete(c.r.clients, c)
	c.r.counts.ClientConnectionEnds[c.end]++
	c.logEnd()
	if c.hasSentRequest {
		c.r.requestingClients--
	}
	for _, s := range c.slots {
		if s.request != nil {
			c.r.clientLeft(s.request)
		}
		if s.largeRead != nil {
			c.r.counts.Abandoned++
			s.largeRead.discard()
		}
	}
	c.slots, c.unsent, c.closeAfterReplies, c.conn = nil, nil, true, nil
	delete(c.r.polledClients, c)
	c.input = inputBuffer{}
	c.stopWaitingForInput()
	c.memory.Release()
	if c.r.isClosingClients() {
		c.r.queueBatch() // it may have been the last one
	}
}

// isSilent reports whether the client has sent no complete command since it connected, or takes too long for the
// head of a command, or has stopped in the middle of one. A value may arrive slowly, but only up to a time limit.
func (c *client) isSilent(now clock.Time) bool {
	const valueTimeoutFactor = 10 // time limit of a value, in time limits of a head
	headTimeout := c.r.limits.PartialCommandTimeout
	switch {
	case c.hasUnreadCommand():
		return false
	case c.partialSince == 0:
		return !c.hasSentCommand && now-c.lastCommandAt >= c.r.limits.ClientIdleTimeout
	case len(c.input.unread) <= c.r.limits.RESP.Line:
		return now-c.partialSince >= headTimeout
	}
	return now-c.lastActivity >= headTimeout || now-c.partialSince >= valueTimeoutFactor*headTimeout
}

// sweep closes a client that was to be closed after its replies, or holds a descriptor without sending anything, or
// anything complete.
func (c *client) sweep(now clock.Time) {
	switch {
	case c.hasEnded():
		c.r.closeConn(c.conn)
	case !c.closeAfterReplies && c.isSilent(now):
		c.closeWithError("nothing whole has come", counters.ClientSilent)
		if c.hasEnded() && c.conn != nil {
			c.r.closeConn(c.conn)
		}
	// Some clients send one request and keep the connection. Clients can hold a limited number of connections,
	// and would have none left for requests.
	case !c.closeAfterReplies && now-c.lastActivity >= c.r.limits.ClientIdleTimeout && len(c.input.unread) == 0:
		c.closeUnlessOwed(counters.ClientIdle)
	}
}

// sweepPaused does the same for a client that waits for memory, and has stopped in the middle of its command. What it has
// sent may be complete: then the wait is not its own.
func (c *client) sweepPaused(now clock.Time) {
	isWaiting := c.paused && c.waitsForInput && !c.closeAfterReplies
	timeout := c.r.limits.PartialCommandTimeout
	if c.r.closingClients {
		timeout = c.r.limits.IdleSweepInterval
	}
	if !isWaiting || now-c.lastActivity < timeout || c.hasArrived() || !c.mayBeginNext() {
		return
	}
	c.closeWithError("nothing whole has come", counters.ClientSilent)
	if c.paused && c.hasEnded() {
		c.close()
	}
}

// closeWithError replies with an error, after the replies that are due, and closes the connection.
func (c *client) closeWithError(reason string, end counters.ClientConnectionEnd) {
	c.r.counts.AbortedConnections++
	c.end = end
	c.replyNow(resp.AppendLine(nil, '-', "ERR "+reason))
	c.closeAfterReplies = true
}

// Words of the commands that are requests.
const (
	readWords  = 4 // verb, key, id and properties
	writeWords = 5 // a read's, and the value
)

// handleCommand processes one command, and reports whether it was admitted as a request.
func (c *client) handleCommand(words [][]byte) (admitted bool) {
	switch verb := words[0]; {
	case isVerb(verb, "CACHE.GET"):
		return c.handleRequest(words, readWords, false)
	case isVerb(verb, "CACHE.SET"):
		return c.handleRequest(words, writeWords, true)
	case isVerb(verb, "PING"):
		c.handlePing(words)
	case isVerb(verb, "CLIENT"), isVerb(verb, "SELECT"):
		c.replyNow([]byte("+OK\r\n"))
	case isVerb(verb, "QUIT"):
		c.end = counters.ClientQuit
		c.replyNow([]byte("+OK\r\n"))
		c.closeAfterReplies = true
	default:
		c.replyNow([]byte("-ERR unknown command\r\n"))
	}
	return false
}

// handlePing tells whether this process serves.
func (c *client) handlePing(words [][]byte) {
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
}

// handleRequest admits the request of a command with the expected number of words.
func (c *client) handleRequest(words [][]byte, wordCount int, write bool) (admitted bool) {
	r := c.r
	if len(words) != wordCount {
		c.replyNow([]byte("-ERR wrong number of words\r\n"))
		return false
	}
	if c.rejectsRequests() {
		c.rejectUnbegun(words)
		return false
	}
	request, event, timeout, ok := c.parseRequest(words, write)
	if !ok {
		c.replyNow(invalidRequestReply)
		return false
	}
	if !r.held.MayBegin() {
		r.counts.RejectedForMemory++
		r.countUnadmitted(event.Method, wire.Rejected)
		c.replyNow(resp2.AppendAnswer(nil, wire.Answer{Kind: wire.Rejected}))
		return false
	}
	arrival := &requestArrival{request: request, event: event, timeout: timeout, receivedAt: c.receivedAt, startedAt: c.timeStart()}
	isLimited := c.isLimited()
	request.slot.request = request
	c.slots = append(c.slots, &request.slot)
	if !write {
		c.reserveReply(&request.slot)
	}
	r.admitRequest(arrival, isLimited)
	c.countRequester()
	return true
}

// rejectUnbegun rejects a request that is read while the process ends. There may be thousands of them, and little time.
func (c *client) rejectUnbegun(words [][]byte) {
	method, known := c.r.methods[string(resp2.ParseProps(words[3]).Method)]
	if known {
		c.r.countUnadmitted(method, wire.Rejected)
	}
	c.replyNow(busyReply)
}

var busyReply = resp2.AppendAnswer(nil, wire.Answer{Kind: wire.Rejected})

var invalidRequestReply = []byte("-ERR a req needs a new id, c, and d\r\n")

// parseRequest builds a request from the words of a command; ok is false if it is invalid, which is counted
// as a failed request if its method is known.
func (c *client) parseRequest(words [][]byte, write bool) (request *pendingRequest, event routing.RequestArrived, timeout clock.Time, ok bool) {
	r := c.r
	props := resp2.ParseProps(words[3])
	method, known := r.methods[string(props.Method)]
	id := routing.RequestID(words[2])
	if props.BadDeadline || props.Timeout == 0 || !known || len(id) == 0 || r.isRepeated(id) {
		if known {
			r.countUnadmitted(method, wire.Failed)
		}
		return &pendingRequest{}, event, 0, false
	}
	request = c.copyRequest(words, id, write)
	return request, routing.RequestArrived{Request: id, Key: routing.Key(request.Key), Write: write, Method: method,
		Tenant: routing.Tenant(props.Tenant), ClientRetry: props.Resent}, props.Timeout, true
}

// copyRequest copies the words of a command, which belong to the input.
func (c *client) copyRequest(words [][]byte, id routing.RequestID, write bool) *pendingRequest {
	size := requestOverheadBytes
	for _, word := range words {
		size += len(word)
	}
	storage := make([]byte, 0, size-requestOverheadBytes)
	copyBytes := func(word []byte) []byte {
		start := len(storage)
		storage = append(storage, word...)
		return storage[start:len(storage):len(storage)]
	}
	request := &pendingRequest{Request: wire.Request{Verb: copyBytes(words[0]), Key: copyBytes(words[1]), ID: id,
		Props: wire.NewProps(copyBytes(words[3])), Write: write}, size: size, responder: c}
	if write && len(words) > 4 {
		request.Value = copyBytes(words[4])
	}
	return request
}

// countRequester counts the client at its first request. Clients that are off the loop do not count: they keep no idle
// connection.
func (c *client) countRequester() {
	if c.hasSentRequest {
		c.hasReusedConn = true
		return
	}
	c.hasSentRequest = true
	if c.detached {
		return // reattach counts it
	}
	r := c.r
	r.requestingClients++
	// Clients can hold a limited number of connections. Those that keep idle connections open would run out of
	// them for requests long before this process runs out of descriptors.
	if r.requestingClients > r.limits.ActiveClients {
		r.shedClient(true)
	}
}
