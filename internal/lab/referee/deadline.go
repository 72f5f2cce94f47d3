package referee

import (
	"fmt"

	"spurtrestle/internal/lab/event"
)

// leastDeadline may be sent however little is left: deadlines go out in whole milliseconds, and never as none.
const leastDeadline event.Micros = 1e3

// deadlinesSent judges, for one request, that each attempt tells its server at most the time that its client has left.
func (j *judge) deadlinesSent(q *req) {
	for _, w := range q.sent {
		j.deadlineSent(q, w.begun)
	}
}

// deadlineSent judges one attempt by its first byte, against what the client itself told: over gRPC that is the call's
// deadline, and no part of what the router passes on. A client that told none is owed none.
func (j *judge) deadlineSent(q *req, begun event.Event) {
	asked := q.asked[q.asking(begun.Router, begun.Since)]
	switch {
	case asked.DeadlineSent == 0:
		return
	case begun.DeadlineSent == 0:
		j.add(1, q, begun.Since, fmt.Sprintf("sent to %s with no deadline, though its client told one", begun.Server))
		return
	case j.died(begun.Router, asked.At, begun.Since): // a process that stood still cannot know how long its client had waited
		return
	}
	left := asked.At + asked.DeadlineSent - begun.Since
	excess := begun.DeadlineSent - max(leastDeadline, left)
	// A stall of the lab at either end makes the request seem older than it is to its router.
	if excess > max(j.slack(asked.At), j.slack(begun.Since)) {
		j.add(1, q, begun.Since, fmt.Sprintf("sent to %s with a deadline of %v, %v more than its client had left",
			begun.Server, begun.DeadlineSent.Duration(), excess.Duration()))
	}
}
