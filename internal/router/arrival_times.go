package router

import "spurtrestle/core/clock"

// arrivalTimes records when a client's bytes arrived that stay unread for lack of room. A request's time counts
// from its last byte, not from when the router reads it.
type arrivalTimes struct {
	consumed int64 // bytes read so far
	marks    []arrivalMark
}

// arrivalMark records that all bytes before end had arrived by receivedAt.
type arrivalMark struct {
	end        int64
	receivedAt clock.Time
}

const maxArrivalMarks = 64 // beyond this, bytes are dated too early, never too late

// noteUnread records that n bytes are unread.
func (a *arrivalTimes) noteUnread(n int, now clock.Time) {
	end, last := a.consumed+int64(n), len(a.marks)-1
	switch {
	case last >= 0 && a.marks[last].end >= end:
	case last+1 == maxArrivalMarks:
		a.marks[last].end = end
	default:
		a.marks = append(a.marks, arrivalMark{end: end, receivedAt: now})
	}
}

// consume marks n bytes as read and returns when the last of them arrived.
func (a *arrivalTimes) consume(n int, now clock.Time) clock.Time {
	a.consumed += int64(n)
	for len(a.marks) > 0 && a.marks[0].end < a.consumed {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		a.marks = nil
		return now
	}
	return a.marks[0].receivedAt
}
