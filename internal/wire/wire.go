// Package wire defines requests, answers, attempts and outcomes independently of the protocols that carry them. The
// router works on these types alone. Each protocol has a package of its own that encodes and decodes them; those packages
// do no I/O and do not know the router. Nothing here is safe for concurrent use: a request and its answer belong to one
// goroutine at a time, normally the router's loop.
package wire

import (
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Request is a client's request as it is forwarded. It owns its bytes until the request is over.
type Request struct {
	ID    routing.RequestID
	Key   []byte
	Props Props
	Value []byte // set for writes only
	Write bool
	Verb  []byte // the command name as the client spelled it; nil selects the protocol's own
}

// AnswerKind is the result that a final answer reports.
type AnswerKind uint8

// The kinds of final answers.
const (
	Served   AnswerKind = iota
	Rejected            // a retry is harmless
	Failed              // the request may or may not have run
)

// Answer is the single final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Value      []byte     // if served; valid only until the answer is written
	TooLarge   bool       // if failed: a value exists, but is too large for the client's protocol
	RetryAfter clock.Time // if rejected: how long the client should wait before a retry; 0 means unspecified
}

// Outcome is the result of one attempt, as its server reported it.
type Outcome struct {
	Status routing.AttemptStatus
	Value  []byte // if OK; points into the input buffer
	Report []byte // the load report as received, names and values; nil means none
	Close  bool   // for a large value: the connection cannot be reused after it
}

// ValueHead is the head of an answer with a value.
type ValueHead struct {
	Outcome Outcome // without the value
	Start   int     // offset at which the value begins
	Size    int     // of the value, in bytes
}

// ServerCodec encodes attempts and decodes answers in one protocol. A connection carries one attempt at a time.
type ServerCodec interface {
	// AppendAttempt appends an encoded attempt.
	AppendAttempt(to []byte, a Attempt) []byte
	// AppendStreamedWrite appends the head of a write whose value, of size bytes, is streamed after it. The caller sends
	// tail after the value.
	AppendStreamedWrite(to []byte, a Attempt, size int) (head []byte, tail string)
	// ReadAnswer decodes an answer from the bytes received so far. ended means that the connection delivers no more.
	// used is 0 while the answer is incomplete. keep reports whether the connection can carry another attempt. An error
	// means that the answer is invalid.
	ReadAnswer(buf []byte, ended bool) (o Outcome, used int, keep bool, err error)
	// ReadLargeAnswer decodes the head of an answer that ReadAnswer refuses for its size. ok is false if buf does not begin
	// with such an answer.
	ReadLargeAnswer(buf []byte) (head ValueHead, ok bool)
	// ReadValueHead decodes the head of an answer with a value of any size. ok is false if buf does not begin with one.
	ReadValueHead(buf []byte) (head ValueHead, ok bool)
	// ReadTrailer decodes the rest of an answer behind its large value. complete is false while more input is needed; used is
	// the size of the trailer, which may be 0.
	ReadTrailer(buf []byte) (used int, complete bool, err error)
	// Fence returns a command without effect whose reply cannot be confused with an answer. The server replies in order: once
	// the reply has arrived, so have all answers to the attempts before it. It is nil if the protocol has no such command.
	Fence() []byte
	// ReadFence decodes the reply to a fence. used is 0 while it is incomplete. An error means that buf begins with anything
	// else.
	ReadFence(buf []byte) (used int, err error)
}
