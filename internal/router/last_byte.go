package router

import (
	"errors"
	"sync/atomic"

	"spurtrestle/core/clientmemory"
)

// A server may have run an attempt if and only if the kernel has accepted the attempt's last byte for the server's connection.
// Whatever happens to the connection afterwards is no evidence that the attempt has not run: neither a reset, nor an error of a
// later call, nor bytes of something else that the kernel has not accepted. This file alone decides it, for all attempts.

// mayHaveRun reports whether the server may have run the attempt. If it may not, the last byte is never going to be sent: the
// caller ends the attempt.
func (a *activeAttempt) mayHaveRun() bool {
	switch {
	case a.conn == nil:
		return false
	case a.request.largeWrite != nil:
		return !a.request.largeWrite.lastByte.withdraw()
	}
	a.conn.noteSent()
	return a.fullySent
}

// noteSent records that the last byte of the current attempt has been accepted by the kernel, if it has. Nothing is written behind
// an attempt before that is recorded, so that the bytes in gnet's buffer are the attempt's. A large write is sent off the loop.
func (up *upstream) noteSent() {
	attempt := up.attempt
	if attempt == nil || attempt.fullySent || attempt.request.largeWrite != nil {
		return
	}
	if up.writing || up.conn.OutboundBuffered() > 0 {
		return
	}
	attempt.fullySent = true
	up.memory.Set(clientmemory.ServerOutput, 0)
	up.r.counts.ForwardedAttempts++
}

// lastByte is the state of a large write's last byte. The goroutine that streams the write sends it; the loop may withdraw it.
type lastByte struct{ state atomic.Uint32 }

// States of a last byte.
const (
	lastByteUnsent    uint32 = iota
	lastByteSent             // the call that hands it to the kernel has begun, or has succeeded
	lastByteWithdrawn        // it is never going to be sent
)

// errWithdrawn means that the attempt has ended, so that its last byte must not be sent.
var errWithdrawn = errors.New("the attempt has ended")

// send sends the end of a write, of which the last byte is the write's last byte, unless it has been withdrawn. An error means that
// the kernel has not accepted the last byte.
func (b *lastByte) send(write func([]byte) (sent int, err error), end []byte) error {
	if !b.state.CompareAndSwap(lastByteUnsent, lastByteSent) {
		return errWithdrawn
	}
	sent, err := write(end)
	if sent == len(end) {
		return nil
	}
	b.state.Store(lastByteWithdrawn)
	return err
}

// withdraw prevents the last byte from being sent. It returns false if it may have been sent.
func (b *lastByte) withdraw() bool {
	b.state.CompareAndSwap(lastByteUnsent, lastByteWithdrawn)
	return b.isWithdrawn()
}

// isWithdrawn reports whether the last byte is never going to be sent.
func (b *lastByte) isWithdrawn() bool { return b.state.Load() == lastByteWithdrawn }
