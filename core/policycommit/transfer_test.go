package policycommit

import (
	"fmt"

	"spurtrestle/core/clock"
)

// A transferred lease expires when the predecessor's would: no later than the predecessor's lease once a change is prepared, and
// never more than a lease duration after the transfer, even if the predecessor has no deadline.
func ExampleFollower_AdoptTransfer() {
	const millisecond = clock.Millisecond
	timing := DefaultTiming()
	for _, failOpen := range []bool{false, true} {
		predecessor := NewFollower(timing, FollowerConfig{Name: "r", Incarnation: 1, FailOpen: failOpen, Validate: acceptAll})
		successor := NewFollower(timing, FollowerConfig{Name: "r", Incarnation: 2, FailOpen: failOpen, Validate: acceptAll})
		transferAt := func(now clock.Time) {
			transfer, ok := predecessor.Transfer(now)
			if ok {
				fmt.Printf("adopted %v, ", successor.AdoptTransfer(now, transfer))
			}
			active, hasRevision := successor.Active()
			fmt.Printf("transferred %v, revision %d %v, until %d ms\n", ok, active.Revision, hasRevision, successor.AdmissionDeadline(now)/millisecond)
		}
		fmt.Println("fail open:", failOpen)
		transferAt(0)
		predecessor.ReceiveLease(100*millisecond, Lease{Incarnation: 1, RenewalSentAt: 0, Duration: timing.LeaseDuration, Index: 5, Revision: 3})
		transferAt(100 * millisecond)
		predecessor.ReceiveLease(300*millisecond, Lease{Incarnation: 1, RenewalSentAt: 300 * millisecond, Duration: timing.LeaseDuration,
			Index: 6, Revision: 3, Pending: "t", PrepareDocument: "doc"})
		transferAt(400 * millisecond)
		predecessor.ReceiveLease(500*millisecond, Lease{Incarnation: 1, RenewalSentAt: 450 * millisecond, Duration: timing.LeaseDuration,
			Index: 8, Revision: 4, Document: "doc"})
		transferAt(500 * millisecond)
		// The successor's own lease takes precedence over a transfer.
		successor.ReceiveLease(600*millisecond, Lease{Incarnation: 2, RenewalSentAt: 600 * millisecond, Duration: timing.LeaseDuration, Index: 9, Revision: 5})
		transferAt(700 * millisecond)
	}
	// Output:
	// fail open: false
	// transferred false, revision 0 false, until 0 ms
	// adopted true, transferred true, revision 3 true, until 950 ms
	// adopted false, transferred true, revision 3 true, until 1250 ms
	// adopted true, transferred true, revision 4 true, until 1400 ms
	// adopted false, transferred true, revision 5 true, until 1550 ms
	// fail open: true
	// transferred false, revision 0 false, until 0 ms
	// adopted true, transferred true, revision 3 true, until 1050 ms
	// adopted false, transferred true, revision 3 true, until 1250 ms
	// adopted true, transferred true, revision 4 true, until 1450 ms
	// adopted false, transferred true, revision 5 true, until 0 ms
}
