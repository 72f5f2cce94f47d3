package router

import (
	"bytes"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clientmemory"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/resp"
)

// inputBuffer holds what a client has sent and the router has not processed yet.
type inputBuffer struct {
	unread   []byte
	size     int  // bytes allocated; 0 while unread is lent
	reserved bool // allocated for all of the incomplete command in unread
}

// append adds a chunk. An empty buffer only borrows it, until own is called.
func (b *inputBuffer) append(chunk []byte) {
	switch {
	case len(chunk) == 0:
	case len(b.unread) == 0:
		*b = inputBuffer{unread: chunk}
	case b.size > 0 && cap(b.unread)-len(b.unread) >= len(chunk):
		b.unread = append(b.unread, chunk...)
	default:
		size := len(b.unread) + len(chunk)
		b.grow((size + inputGranule - 1) / inputGranule * inputGranule)
		b.unread = append(b.unread, chunk...)
	}
}

// inputGranule is what sizes are rounded up to, so that input in small pieces is not moved for each of them.
const inputGranule = 512

// grow moves what is unread to an allocation of the given size.
func (b *inputBuffer) grow(size int) {
	*b = inputBuffer{unread: append(make([]byte, 0, size), b.unread...), size: size}
}

// own copies what is borrowed.
func (b *inputBuffer) own() {
	switch {
	case len(b.unread) == 0:
		*b = inputBuffer{}
	case b.size == 0:
		b.grow(len(b.unread))
	}
}

// adopt replaces the content by data, which becomes the buffer's.
func (b *inputBuffer) adopt(data []byte) { *b = inputBuffer{unread: data, size: cap(data)} }

// consume drops the first n bytes.
func (b *inputBuffer) consume(n int) {
	b.unread, b.reserved = b.unread[n:], false
	if len(b.unread) == 0 {
		*b = inputBuffer{}
	}
}

// missing returns how many bytes the incomplete command lacks for which memory is reserved.
func (b *inputBuffer) missing() int {
	if !b.reserved {
		return 0
	}
	return cap(b.unread) - len(b.unread)
}

// readResult says why a client's turn has ended.
type readResult uint8

const (
	needsInput     readResult = iota // all complete commands have been processed
	needsCapacity                    // further commands wait for memory or for earlier replies
	turnOver                         // further commands wait for the client's next turn
	streamsValue                     // the client is off the loop, where a goroutine streams a large value
	endsConnection                   // the connection is to be closed after its replies
)

// Work of one turn, in commands that the router answers itself.
const (
	turnWork         = 64
	requestWork      = 4    // of a command that is admitted as a request
	workUnitBytes    = 4096 // parsing so many bytes counts as one command
	maxCommandExcess = 16 << 10
)

// onTraffic takes what has arrived and gives the client a turn.
func (c *client) onTraffic() gnet.Action {
	c.lastActivity, c.hasReceived = c.r.clock(), true
	chunk, err := c.conn.Peek(-1)
	if err != nil {
		return gnet.None
	}
	_, _ = c.conn.Discard(len(chunk)) // these bytes stay valid until gnet reads again
	switch {
	case c.closeAfterReplies: // input after a malformed command is ignored
		return gnet.None
	case c.hasLeft(chunk):
		return gnet.Close
	case c.r.takeover.handingOver:
		return c.keepForSuccessor(chunk)
	}
	result := turnOver
	if c.turnQueued {
		c.input.append(chunk)
		c.input.own()
		c.noteMemory()
	} else {
		result = c.takeTurn(chunk)
	}
	switch {
	case result == streamsValue:
		return gnet.Close // a duplicate of the descriptor takes over
	case c.conn == nil: // a write has failed
		return gnet.None
	case c.hasEnded():
		return gnet.Close
	case result == needsInput && c.r.closingClients && !c.r.takeover.handingOver && len(c.input.unread) == 0 && c.owes() == owesNothing:
		c.end = counters.ClientDrained // before it sends more
		return gnet.Close
	case !c.closeAfterReplies && c.mustPause(result) && c.pauseReading():
		return gnet.Close // the same
	}
	return gnet.None
}

// hasLeft reports whether the client has closed its connection behind more input than one turn processes.
func (c *client) hasLeft(chunk []byte) bool {
	return len(chunk)+len(c.input.unread) > c.r.pauseBytes && peerHungUp(c.fd())
}

// keepForSuccessor holds input that arrives while clients are handed over.
func (c *client) keepForSuccessor(chunk []byte) gnet.Action {
	c.input.append(chunk)
	c.input.own()
	c.noteMemory()
	c.r.queueBatch()
	if len(c.input.unread) > c.r.pauseBytes && !c.hasNoPendingReplies() && c.pauseReading() {
		return gnet.Close
	}
	return gnet.None
}

// takeTurn processes a chunk behind the unread input, as much as one turn allows. What the client gets meanwhile is
// written at once.
func (c *client) takeTurn(chunk []byte) readResult {
	c.r.sockets.turns++
	c.r.beginTurnOutput(c)
	result := c.processChunk(chunk)
	if result == turnOver || result == needsCapacity {
		c.backlogged = true
	} else if !c.paused {
		c.backlogged = false
	}
	if result == streamsValue { // a goroutine owns the input
		c.r.turnClient = nil
		return result
	}
	c.r.endTurnOutput(c)
	c.noteMemory()
	return result
}

func (c *client) processChunk(chunk []byte) readResult {
	work := 0
	if rest := c.input.missing(); rest > 0 && rest < len(chunk) {
		c.input.append(chunk[:rest])
		chunk = chunk[rest:]
		result := c.readCommands(&work)
		if result == streamsValue || result == endsConnection {
			return result
		}
	}
	c.input.append(chunk)
	result := c.readCommands(&work)
	if result != streamsValue {
		c.input.own()
	}
	return result
}

// readCommands processes complete commands until there is no more input, the client may not begin another, or its turn is over.
func (c *client) readCommands(work *int) readResult {
	r := c.r
	for !c.closeAfterReplies {
		buf := c.input.unread
		switch {
		case len(buf) == 0:
			return needsInput
		case !c.mayBegin():
			c.stall()
			return needsCapacity
		case *work >= c.turnWork():
			return turnOver
		}
		words, used, err := resp.ReadCommand(buf, r.words, r.limits.RESP)
		r.words = words
		if err != nil {
			return c.handleNonCommand(buf)
		}
		if used == 0 {
			if resp.CommandBytes(buf, r.limits.RESP) > r.limits.RESP.Bulk+maxCommandExcess {
				c.closeWithError("protocol", counters.ClientMalformed)
				return endsConnection
			}
			return needsInput
		}
		if c.waitsForRoom(words) {
			clear(words) // they refer to the input
			c.stall()
			return needsCapacity
		}
		c.hasSentCommand, c.lastCommandAt, c.partialSince = true, c.lastActivity, 0
		c.receivedAt = c.arrivalTimes.consume(used, c.lastActivity)
		c.hasInputBehind = used < len(buf)
		*work += 1 + used/workUnitBytes
		if len(words) > 0 && c.handleCommand(words) {
			*work += requestWork - 1
		}
		clear(words)
		if !c.closeAfterReplies {
			c.input.consume(used)
		}
	}
	return endsConnection
}

// handleNonCommand handles input that is neither a complete command nor the beginning of one that fits in memory.
func (c *client) handleNonCommand(buf []byte) readResult {
	c.r.endTurnOutput(c) // a large write begins once earlier replies are written
	if !c.isOpen() {
		return endsConnection
	}
	switch ok, detached := c.startLargeWrite(buf); {
	case detached:
		return streamsValue
	case ok:
		return needsCapacity
	}
	c.closeWithError("protocol", counters.ClientMalformed)
	return endsConnection
}

// mustPause prepares for what ended the client's turn, and reports whether it may not be read from until its input
// has been processed.
func (c *client) mustPause(result readResult) bool {
	unread := len(c.input.unread)
	switch {
	case result == needsInput:
		return c.awaitsMemory()
	case result == turnOver:
		c.r.queueTurn(c)
		fallthrough
	case c.stalled:
		c.arrivalTimes.noteUnread(unread, c.lastActivity)
	}
	return unread > c.r.pauseBytes
}

// awaitsMemory reports whether the rest of an incomplete command waits for memory.
func (c *client) awaitsMemory() bool {
	unread := len(c.input.unread)
	if unread > 0 && c.partialSince == 0 {
		c.partialSince = c.lastActivity
	}
	if unread <= c.r.pauseBytes || c.mayBeginNext() && c.reserveInput(c.r.inputWaiters == 0) {
		return false
	}
	if !c.waitsForInput {
		c.waitsForInput = true
		c.r.inputWaiters++
	}
	c.stall()
	return true
}

// reserveInput allocates memory for the rest of the incomplete command, if there is any. Half of it is for commands
// whose rest has not arrived in the kernel yet: clients that stop within a command leave the other half to the others.
func (c *client) reserveInput(isNext bool) bool {
	total := resp.CommandBytes(c.input.unread, c.r.limits.RESP)
	if c.input.reserved && total <= c.input.size {
		return true
	}
	need := total - c.input.size
	if !isNext || !c.r.held.MayReceive(need, c.hasArrived) {
		return false
	}
	c.input.grow(total)
	c.input.reserved = true
	c.noteMemory()
	return true
}

// hasArrived reports whether the rest of the incomplete command is in the kernel, as far as its heads have been read.
func (c *client) hasArrived() bool {
	total := resp.CommandBytes(c.input.unread, c.r.limits.RESP)
	return c.kernelBytes() >= total-len(c.input.unread)
}

// kernelBytes returns how many bytes the client has sent that the kernel still holds. After a pause of the process, or under
// load, the loop runs its timers before it reads its sockets.
func (c *client) kernelBytes() int {
	n, err := unix.IoctlGetInt(c.fd(), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// stopWaitingForInput ends the wait of awaitsMemory.
func (c *client) stopWaitingForInput() {
	if c.waitsForInput {
		c.waitsForInput = false
		c.arrivedInKernelAt = 0
		c.r.inputWaiters--
	}
}

// readPaused reads what a paused client has sent: the rest of the command for which memory is reserved, or one chunk.
func (c *client) readPaused() (chunk []byte, result pausedRead) {
	buffer := c.r.readBuffer
	switch {
	case c == c.r.endingClient:
		buffer = c.r.focusBuffer
	case !c.rejectsRequests() && !c.r.held.MayRead(len(buffer)):
		return nil, pausedLater
	}
	if missing := c.input.missing(); missing > 0 {
		buffer = c.input.unread[len(c.input.unread):cap(c.input.unread)]
	}
	if c.inputEnded {
		buffer = buffer[:min(len(buffer), c.kernelInputLeft)]
	}
	if len(buffer) == 0 {
		return nil, pausedNothing
	}
	for {
		n, err := unix.Read(c.descriptor, buffer)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			c.kernelInputLeft = 0
			return nil, pausedNothing
		case err == unix.ENOMEM || err == unix.ENOBUFS:
			return nil, pausedNothing
		case err != nil || n == 0:
			return nil, pausedEnd
		}
		c.lastActivity = c.r.clock()
		c.kernelInputLeft = max(0, c.kernelInputLeft-n)
		if c == c.r.endingClient {
			c.bytesToEnd -= n
		}
		if c.input.missing() > 0 {
			c.input.unread = c.input.unread[:len(c.input.unread)+n]
			return nil, pausedInput
		}
		return buffer[:n], pausedInput
	}
}

// pausedRead is what reading from a paused client gave.
type pausedRead uint8

const (
	pausedInput pausedRead = iota
	pausedNothing
	pausedLater // there is no memory for it now
	pausedEnd   // the client has closed its connection
)

// resumeReading processes input that arrived before the connection was on this loop, or while the client was stalled.
func (c *client) resumeReading() {
	if c.paused {
		c.continuePaused()
		return
	}
	if conn := c.conn; conn != nil && !c.closeAfterReplies && c.onTraffic() == gnet.Close {
		c.r.closeConn(conn)
	}
}

// resumeLargeWrite continues with a large write once everything before it has been answered and written.
func (c *client) resumeLargeWrite() {
	if !c.isOpen() || !c.hasNoPendingReplies() {
		return // flushReplies calls it again
	}
	c.largeWriteNext = false
	c.resumeReading()
}

// stall has the client wait until it may continue.
func (c *client) stall() {
	if !c.stalled {
		c.stalled = true
		c.r.stalledClients = append(c.r.stalledClients, c)
	}
}

// resumeStalledClients gives a turn to the stalled clients that may continue, for a bounded time. Those that have waited longest
// come first.
func (r *Router) resumeStalledClients() {
	began := r.clock()
	stalled := r.stalledClients
	r.stalledClients = nil // clients that stall again are appended
	var waiting []*client
	for i, client := range stalled {
		switch {
		case !client.isOpen():
			client.stalled = false
		case !client.mayContinue():
			waiting = append(waiting, client)
		default:
			client.stalled = false
			if client.waitsForInput && client.hasWaitedTooLong() {
				client.rejectUnread()
			}
			client.stopWaitingForInput()
			client.resumeReading()
		}
		if r.isTimeUp(began) {
			waiting = append(waiting, stalled[i+1:]...)
			r.queueBatch()
			break
		}
	}
	r.stalledClients = append(waiting, r.stalledClients...)
}

// noteMemory records what the client's connection holds. While it is on the loop, one chunk more, and what may stay unread
// of the one before, count as held: gnet reads them unconditionally.
func (c *client) noteMemory() {
	c.memory.Set(clientmemory.UnsentOutput, cap(c.unsent))
	unread := len(c.input.unread)
	c.memory.Set(clientmemory.UnreadInput, unread)
	c.memory.Set(clientmemory.ReservedInput, max(0, c.input.size-unread))
	allowance := 0
	if c.conn != nil {
		allowance = c.r.limits.ReadChunk + max(0, c.r.pauseBytes-c.input.size)
	}
	c.memory.Set(clientmemory.InputAllowance, allowance)
}

// isVerb reports whether the first word of a command is the given verb, in capitals, in any case.
func isVerb(word []byte, verb string) bool {
	return len(word) == len(verb) && bytes.EqualFold(word, []byte(verb))
}
