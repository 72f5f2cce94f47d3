package queuelimit

import (
	"testing"

	"spurtrestle/core/clock"
)

// TestLimit_LeavesShortQueues has clients that send without end use servers of different capacity: once it has settled, requests wait
// no longer than the limit allows, and the servers are busy.
func TestLimit_LeavesShortQueues(t *testing.T) {
	const tick, duration, service = clock.Millisecond, 10 * clock.Second, 10 * clock.Millisecond
	for _, slots := range []int{1, 9, 100, 2000} {
		limit := New()
		var pending []clock.Time // when each request began, in the order of the answers
		answered, capacity, longest := 0, 0.0, clock.Time(0)
		for now := clock.Time(0); now < duration; now += tick {
			isFlood := now > duration/10
			for isFlood && limit.Room(0, len(pending)) > 0 || !isFlood && len(pending) == 0 {
				pending = append(pending, now)
			}
			capacity = min(capacity+float64(slots)*float64(tick)/float64(service), float64(slots))
			for ; capacity >= 1 && len(pending) > 0 && now-pending[0] >= service; capacity-- {
				took := now - pending[0]
				pending = pending[1:]
				limit.Observe(now, took, len(pending))
				if now > duration/2 {
					answered++
					longest = max(longest, took)
				}
			}
		}
		possible := float64(slots) * float64(duration/2) / float64(service)
		if allowed := 2 * (slowdownMultiple*service + slowdownConstant + minPending*service/clock.Time(slots)); longest > allowed {
			t.Errorf("%d slots: an answer took %d us, %d are allowed", slots, longest, allowed)
		}
		if slots < 1000 && float64(answered) < 0.8*possible {
			t.Errorf("%d slots: %d of %.0f possible answers", slots, answered, possible)
		}
	}
}
