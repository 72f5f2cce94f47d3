package router

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clientmemory"
	"spurtrestle/internal/wire"
)

// gnet collects input in buffers that double in size and are pooled, so that an answer in parts takes several times its size.
// A connection to a server therefore keeps what has arrived of an answer itself, in a buffer of the answer's size.

// answerTrailerBytes is allocated behind a value, for the rest of its answer and the first bytes of a second answer.
const answerTrailerBytes = 512

// completeAnswer is an answer that has arrived completely.
type completeAnswer struct {
	outcome wire.Outcome
	input   []byte // the answer, and bytes that follow it
	used    int    // bytes of the answer
	keep    bool   // the connection can carry another attempt
}

// joinInput adds a chunk to what has arrived of an answer before. If nothing has, it returns the chunk itself.
func (up *upstream) joinInput(chunk []byte) []byte {
	if len(up.partial) == 0 {
		return chunk
	}
	if size := len(up.partial) + len(chunk); size > cap(up.partial) {
		up.growPartial(max(size, 2*cap(up.partial)))
	}
	up.partial = append(up.partial, chunk...)
	return up.partial
}

// growPartial moves what has arrived of an answer to an allocation of the given size.
func (up *upstream) growPartial(size int) {
	up.partial = append(make([]byte, 0, size), up.partial...)
	up.noteInputMemory()
}

// noteInputMemory records the memory of what has arrived of an answer, beyond what is reserved for it.
func (up *upstream) noteInputMemory() {
	up.memory.Set(clientmemory.ServerInput, max(0, cap(up.partial)-up.reservedBytes()))
}

// reservedBytes returns how much memory is reserved for the answer to the current attempt.
func (up *upstream) reservedBytes() int {
	request := up.attempt.request
	if request.finished {
		return 0
	}
	return request.slot.reservedBytes
}

// keepAnswer keeps a complete answer whose owner is not known yet.
func (up *upstream) keepAnswer(input []byte) {
	if len(up.partial) == 0 {
		up.partial = append(make([]byte, 0, len(input)+answerTrailerBytes), input...) // the reply to the fence follows
	}
	up.noteInputMemory()
}

// handlePartialAnswer handles the beginning of an answer, which may have to be buffered: until the rest has arrived, or, if the
// connection has carried others, until its owner is known. Without memory for that, its value is streamed as it arrives; then
// the caller closes the connection on the loop.
func (up *upstream) handlePartialAnswer(input []byte) gnet.Action {
	size := up.expectedBytes(input)
	mayHold := up.mayHold(size)
	if !mayHold && !up.isFirstAttempt() && up.streamWithoutMemory(input) {
		return gnet.Close
	}
	if answer, ok := up.readAhead(input); ok {
		return up.handleAnswer(answer)
	}
	if !mayHold && up.isFirstAttempt() && up.streamWithoutMemory(input) {
		return gnet.Close
	}
	return up.keepInput(input, size)
}

// mayHold reports whether there is memory for an answer of the given size.
func (up *upstream) mayHold(size int) bool {
	need := size - max(cap(up.partial), up.reservedBytes())
	return need <= 0 || up.r.held.MayRead(need)
}

// keepInput keeps the beginning of an answer, in memory of the given size.
func (up *upstream) keepInput(input []byte, size int) gnet.Action {
	switch {
	case len(up.partial) == 0:
		up.partial = append(make([]byte, 0, size), input...)
	case size > cap(up.partial):
		up.growPartial(size)
	}
	up.noteInputMemory()
	return up.readRest()
}

// expectedBytes returns the memory that a complete answer takes, estimated from its beginning.
func (up *upstream) expectedBytes(input []byte) int {
	if head, ok := up.server.protocol.ReadValueHead(input); ok {
		return max(len(input), head.Start+head.Size+answerTrailerBytes)
	}
	return (len(input) + inputGranule - 1) / inputGranule * inputGranule
}

// streamWithoutMemory streams a value that would otherwise be held until it is complete.
func (up *upstream) streamWithoutMemory(input []byte) bool {
	client, isRESP2 := up.attempt.request.responder.(*client)
	head, ok := up.server.protocol.ReadValueHead(input)
	return ok && isRESP2 && up.conn.OutboundBuffered() == 0 && up.streamValue(client, head, input)
}

// readRest reads what the kernel has of the rest of an answer.
func (up *upstream) readRest() gnet.Action {
	free := up.partial[len(up.partial):cap(up.partial)]
	if len(free) == 0 {
		return gnet.None
	}
	n, err := unix.Read(up.conn.Fd(), free)
	if !up.hasRead(n, err) {
		return gnet.None
	}
	up.partial = up.partial[:len(up.partial)+n]
	return up.handleInput(up.partial)
}

// hasRead reports whether reading gave any bytes. gnet meets the end of the stream itself, but not an error of the connection,
// which the kernel reports only once.
func (up *upstream) hasRead(n int, err error) bool {
	switch err {
	case nil:
		return n > 0
	case unix.EAGAIN, unix.EINTR, unix.ENOMEM, unix.ENOBUFS, unix.EBADF: // they say nothing of the connection
	default:
		up.readFailed = true
	}
	return false
}

// readAhead reads the rest of an answer if the kernel has it, into a buffer that all connections share.
func (up *upstream) readAhead(input []byte) (answer completeAnswer, ok bool) {
	r := up.r
	if len(input) < r.limits.ReadChunk || len(up.partial) > 0 {
		return answer, false
	}
	joined := append(r.answerBuffer[:0], input...)
	rest := joined[len(input):cap(joined)]
	n, _, err := unix.Recvfrom(up.conn.Fd(), rest, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if !up.hasRead(n, err) {
		return answer, false
	}
	joined = joined[:len(input)+n]
	outcome, used, keep, err := up.server.protocol.ReadAnswer(joined, false)
	if err != nil || used == 0 {
		return answer, false
	}
	if read, err := unix.Read(up.conn.Fd(), rest[:n]); !up.hasRead(read, err) || read != n {
		return answer, false
	}
	return completeAnswer{outcome: outcome, input: joined, used: used, keep: keep}, true
}
