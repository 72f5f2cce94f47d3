package policycommit

import (
	"fmt"

	"spurtrestle/core/clock"
)

// What a process leaves to the next one ends as its own would: after a promise no later than its grant, and never later than a
// lease from when it was left, also where it may serve for ever.
func ExampleFollower_AdoptTransfer() {
	sure := func(string) error { return nil }
	rules := DefaultTiming()
	for _, serves := range []bool{false, true} {
		old, heir := NewFollower(rules, "r", 1, serves, "", sure), NewFollower(rules, "r", 2, serves, "", sure)
		show := func(now clock.Time) {
			b, ok := old.Transfer(now)
			if ok {
				fmt.Printf("adopts %v, ", heir.AdoptTransfer(now, b))
			}
			active, knows := heir.Active()
			fmt.Printf("left %v, revision %d %v, until %d ms\n", ok, active.Revision, knows, heir.AdmissionDeadline(now)/1e3)
		}
		fmt.Println("serves when cut off:", serves)
		show(0)
		old.ReceiveLease(100e3, Lease{Incarnation: 1, RenewalSentAt: 0, Duration: rules.LeaseDuration, Index: 5, Revision: 3})
		show(100e3)
		old.ReceiveLease(300e3, Lease{Incarnation: 1, RenewalSentAt: 300e3, Duration: rules.LeaseDuration, Index: 6, Revision: 3, Pending: "t", PrepareDocument: "doc"})
		show(400e3)
		old.ReceiveLease(500e3, Lease{Incarnation: 1, RenewalSentAt: 450e3, Duration: rules.LeaseDuration, Index: 8, Revision: 4, Document: "doc"})
		show(500e3)
		// What the leader grants the heir itself goes before all that is left.
		heir.ReceiveLease(600e3, Lease{Incarnation: 2, RenewalSentAt: 600e3, Duration: rules.LeaseDuration, Index: 9, Revision: 5})
		show(700e3)
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
