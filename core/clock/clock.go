// Package clock has the types of time for everything that decides. Deciding packages read no clock: each call is given the
// current instant, so that a test can play any course of events.
//
// Time and Duration are names of one type, so that plain operators add and compare them. The name in a declaration tells
// whether an instant or a span is meant.
package clock

// Time is an instant in whole microseconds. Its origin is that of the clock it was read from: the process's monotonic clock
// unless a declaration says otherwise.
type Time int64

// Duration is a span between two instants, in whole microseconds.
type Duration = Time

// The units of a Duration.
const (
	Microsecond Duration = 1
	Millisecond          = 1000 * Microsecond
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)
