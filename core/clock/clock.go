// Package clock defines the time types of the decision logic. The packages that use them do not read a clock: every call
// is given the current time, so that tests control it.
//
// Duration is an alias of Time, so that plain operators add and compare both. The name in a declaration shows whether a
// point in time or a duration is meant.
package clock

// Time is a point in time in whole microseconds. Its origin is that of the clock it was read from: the process's monotonic
// clock unless a declaration says otherwise.
type Time int64

// Duration is the difference of two times, in whole microseconds.
type Duration = Time

// The units of a Duration.
const (
	Microsecond Duration = 1
	Millisecond          = 1000 * Microsecond
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)
