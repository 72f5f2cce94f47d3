package referee

import (
	"fmt"

	"spurtrestle/internal/lab/event"
)

// minDeadline may be sent however little time is left: deadlines are sent in whole milliseconds and are at least one.
const minDeadline event.Micros = 1e3

// deadlinesSent checks that each attempt of a request sends the server a deadline no longer than the time that the client
// has left.
func (c *checker) deadlinesSent(q *request) {
	for _, w := range q.attempts {
		c.deadlineSent(q, w.received)
	}
}

// deadlineSent checks one attempt at the time of its first byte, against the deadline that the client itself sent: over gRPC
// that is the deadline of the call, which the router does not forward as it is. If the client sent none, the router need
// not send one.
func (c *checker) deadlineSent(q *request, received event.Event) {
	send := q.sends[q.sendIndex(received.Router, received.Since)]
	switch {
	case send.DeadlineSent == 0:
		return
	case received.DeadlineSent == 0:
		c.add(1, q, received.Since, fmt.Sprintf("sent to %s with no deadline, though its client told one", received.Server))
		return
	case c.died(received.Router, send.At, received.Since): // a stalled process cannot know how long its client had waited
		return
	}
	left := send.At + send.DeadlineSent - received.Since
	excess := received.DeadlineSent - max(minDeadline, left)
	// A delay of the lab at either end makes the request seem older than it is to its router.
	if excess > max(c.slack(send.At), c.slack(received.Since)) {
		c.add(1, q, received.Since, fmt.Sprintf("sent to %s with a deadline of %v, %v more than its client had left",
			received.Server, received.DeadlineSent.Duration(), excess.Duration()))
	}
}
