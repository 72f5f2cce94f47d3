package policycommit

import (
	"fmt"

	"spurtrestle/core/clock"
)

// A transferred lease ends as the predecessor's would: once a change is prepared no later than the lease, and never later than a
// lease after the transfer, also where the predecessor has no deadline.
func ExampleFollower_AdoptTransfer() {
	const millisecond = clock.Millisecond
	timing := DefaultTiming()
	for _, failOpen := range []bool{false, true} {
		predecessor := NewFollower(timing, FollowerConfig{Name: "r", Incarnation: 1, FailOpen: failOpen, Validate: acceptAll})
		successor := NewFollower(timing, FollowerConfig{Name: "r", Incarnation: 2, FailOpen: failOpen, Validate: acceptAll})
		transferAt := func(now clock.Time) {
			transfer, ok := predecessor.Transfer(now)
			if ok {
				fmt.Printf("adopts %v, ", successor.AdoptTransfer(now, transfer))
			}
			active, hasRevision := successor.Active()
			fmt.Printf("left %v, revision %d %v, until %d ms\n", ok, active.Revision, hasRevision, successor.AdmissionDeadline(now)/millisecond)
		}
		fmt.Println("serves when cut off:", failOpen)
		transferAt(0)
		predecessor.ReceiveLease(100*millisecond, Lease{Incarnation: 1, RenewalSentAt: 0, Duration: timing.LeaseDuration, Index: 5, Revision: 3})
		transferAt(100 * millisecond)
		predecessor.ReceiveLease(300*millisecond, Lease{Incarnation: 1, RenewalSentAt: 300 * millisecond, Duration: timing.LeaseDuration,
			Index: 6, Revision: 3, Pending: "t", PrepareDocument: "doc"})
		transferAt(400 * millisecond)
		predecessor.ReceiveLease(500*millisecond, Lease{Incarnation: 1, RenewalSentAt: 450 * millisecond, Duration: timing.LeaseDuration,
			Index: 8, Revision: 4, Document: "doc"})
		transferAt(500 * millisecond)
		// The successor's own lease goes before every transfer.
		successor.ReceiveLease(600*millisecond, Lease{Incarnation: 2, RenewalSentAt: 600 * millisecond, Duration: timing.LeaseDuration, Index: 9, Revision: 5})
		transferAt(700 * millisecond)
	}
	// Output:
	// serves when cut off: false
	// left false, revision 0 false, until 0 ms
	// adopts true, left true, revision 3 true, until 950 ms
	// adopts false, left true, revision 3 true, until 1250 ms
	// adopts true, left true, revision 4 true, until 1400 ms
	// adopts false, left true, revision 5 true, until 1550 ms
	// serves when cut off: true
	// left false, revision 0 false, until 0 ms
	// adopts true, left true, revision 3 true, until 1050 ms
	// adopts false, left true, revision 3 true, until 1250 ms
	// adopts true, left true, revision 4 true, until 1450 ms
	// adopts false, left true, revision 5 true, until 0 ms
}
