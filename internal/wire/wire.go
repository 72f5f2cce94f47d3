// Package wire holds what a request, its answer, an attempt and its outcome are, whatever protocol they came by. The
// router knows these alone; each protocol has a package of its own that reads and writes them, without I/O and without
// knowing the router.
package wire

import (
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Request is one request as it is passed on. Its bytes belong to it until it is over.
type Request struct {
	ID    routing.RequestID
	Key   []byte
	Props Props
	Value []byte // of a write
	Write bool
	Verb  []byte // as its client wrote it; nil: the protocol's own
}

// Kind is what a final answer says.
type AnswerKind uint8

const (
	Served   AnswerKind = iota
	Rejected            // trying again is harmless
	Failed              // nothing is promised
)

// Answer is the one final answer of a request.
type Answer struct {
	Kind       AnswerKind
	Value      []byte     // of a served one; it may change once the answer is written
	TooLarge   bool       // of a failed one: there is a value, too big for who asked
	RetryAfter clock.Time // of a rejected one: when to come back; 0: not told
}

// Outcome is how an attempt ended, by what its server said.
type Outcome struct {
	Status routing.AttemptStatus
	Value  []byte // of OK; it points into what was read
	Report []byte // the load report as it came, names and values; nil: none
	Close  bool   // of a big value: the connection carries nothing behind it
}

// ServerCodec speaks one protocol to servers, on a connection that carries one attempt at a time.
type ServerCodec interface {
	// Append adds an attempt.
	AppendAttempt(to []byte, a Attempt) []byte
	// AppendLong adds the head of a write whose value, of size bytes, is passed on behind it; tail ends it.
	AppendStreamedWrite(to []byte, a Attempt, size int) (head []byte, tail string)
	// Read reads an answer from what has come so far; ended: no more comes. used is 0 while it is not whole; keep
	// tells whether the connection can carry another attempt. An error is an answer that cannot be read.
	ReadAnswer(buf []byte, ended bool) (o Outcome, used int, keep bool, err error)
	// Long tells of an answer that Read refuses for its size: its value begins at a place in buf and has that size. ok is
	// false where it is no such answer.
	ReadLargeAnswer(buf []byte) (o Outcome, at, size int, ok bool)
	// Behind reads what stands behind such a value; whole is false while more must come, keep as in Read.
	ReadTrailer(buf []byte) (whole, keep bool, err error)
}
