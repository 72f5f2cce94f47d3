package router

import (
	"math/bits"
	"runtime/metrics"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
)

// memoryLogInterval is the least time between two log lines on the memory held for clients.
const memoryLogInterval = clock.Second

const (
	// minBufferBytes is the least size of a buffer.
	minBufferBytes = 4096
	// replyOverheadBytes is the most that a reply adds to its value.
	replyOverheadBytes = 64
	// requestOverheadBytes is what a request holds in addition to its words.
	requestOverheadBytes = 1024
)

// The kernel delivers the end of a client's connection behind all input, so that the router cannot see it while input stays
// unread. A client with more unread input than maxInputBehindPending therefore has few commands pending. The next ones begin
// after a reply has been written, since writing to a closed connection fails.
const (
	maxPendingBeforeInput = 16
	maxInputBehindPending = 2 << 10
)

// maxAnswerHeadBytes is how many bytes an answer has beside its value, if it is read ahead.
const maxAnswerHeadBytes = 4096

// bufferDivisor gives the part of a client's share of the memory that one of its buffers may take.
const bufferDivisor = 4

// sizeBuffers makes buffers small enough for all clients to have some at the same time.
func (r *Router) sizeBuffers() {
	share := r.held.Limit() / max(1, r.limits.ClientConnections) / bufferDivisor
	r.bufferBytes = 1 << (bits.Len(uint(max(share, minBufferBytes))) - 1)
	r.limits.LargeValueWindow = min(r.limits.LargeValueWindow, r.bufferBytes)
	chunk := r.held.Limit() / max(1, r.limits.MaxDescriptors) / bufferDivisor
	r.limits.ReadChunk = min(r.limits.ReadChunk, 1<<(bits.Len(uint(max(chunk, minBufferBytes)))-1))
	r.pauseBytes = r.limits.ReadChunk / 2
	r.readBuffer = make([]byte, r.limits.ReadChunk)
	r.answerBuffer = make([]byte, 0, r.limits.RESP.Bulk+r.limits.ReadChunk+maxAnswerHeadBytes)
}

// reservedReplyBytes is what is reserved for the answer to a pipelined request. A large value is streamed: what is
// read of it with its head is not longer.
func (r *Router) reservedReplyBytes() int { return r.limits.RESP.Bulk + replyOverheadBytes }

// mayBegin reports whether the client's next command may begin: there is memory, and not too many are pending. The first one of
// a connection always begins; if there is no memory even for that, its request is rejected.
func (c *client) mayBegin() bool {
	limit := c.r.limits.PipelinedCommands
	if len(c.input.unread) > maxInputBehindPending {
		limit = min(limit, maxPendingBeforeInput)
	}
	if len(c.slots) >= limit {
		return false
	}
	return c.hasNoPendingReplies() || c.r.held.MayPipeline(&c.memory, c.r.reservedReplyBytes())
}

// mayContinue reports whether there is memory for what a client waits for: the rest of a command, or the next one.
func (c *client) mayContinue() bool {
	if c.waitsForInput {
		return c.r.checksInputWaiters && (c.hasWaitedTooLong() || c.mayBeginNext() && c.reserveInput(true))
	}
	return c.mayBeginNext() || c.hasNoPendingReplies()
}

// reserveReply reserves memory for the answer to a request behind others.
func (c *client) reserveReply(s *slot) {
	if len(c.slots) == 1 {
		return // it is written as it arrives
	}
	s.reservedBytes = c.r.reservedReplyBytes()
	c.memory.Add(clientmemory.ReservedAnswers, s.reservedBytes)
}

func (c *client) releaseReservation(s *slot) {
	c.memory.Add(clientmemory.ReservedAnswers, -s.reservedBytes)
	s.reservedBytes = 0
}

// logHeldMemory logs the memory held for clients, by kind, while it is more than half of its limit.
func (r *Router) logHeldMemory() {
	now := r.clock()
	total, limit := r.held.Total(), r.held.Limit()
	if total <= limit/2 || now < r.nextMemoryLog {
		return
	}
	r.nextMemoryLog = now + memoryLogInterval
	runtimeBytes := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(runtimeBytes)
	fields := logrus.Fields{"total": total, "limit": limit, "clients": len(r.clients) + r.detachedClients,
		"runtime": runtimeBytes[0].Value.Uint64() - runtimeBytes[1].Value.Uint64()}
	usage := r.held.Usage()
	for _, kind := range clientmemory.Kinds() {
		fields[kind.String()] = usage[kind]
	}
	r.log.WithFields(fields).Warn("client memory: more than half of the limit is held")
}
