package grpcfront

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"spurtrestle/internal/lab/event"
)

// TestWaitingCalls_EndInTime guards against calls that wait for room in the queues longer than their clients do, or without an end:
// beside a server that hangs, in a drain, and once they are cancelled.
func TestWaitingCalls_EndInTime(t *testing.T) {
	const calls = 200                                                      // more than may be pending
	const allowed = 100 * time.Millisecond                                 // an attempt may begin so long after its call was cancelled
	const deadline, slack = 600 * time.Millisecond, 300 * time.Millisecond // of the method, and of a busy machine
	for _, test := range []struct {
		name string
		end  func(r *testRouter, cancel context.CancelFunc)
	}{
		{"a server hangs", func(*testRouter, context.CancelFunc) {}},
		{"a drain", func(r *testRouter, _ context.CancelFunc) { r.router.Drain() }},
		{"the calls are cancelled", func(_ *testRouter, cancel context.CancelFunc) { cancel() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := startRouter(t)
			r.setFault("hang", 0, false)
			defer r.setFault("hang", 0, true)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var done sync.WaitGroup
			var mu sync.Mutex
			var longest time.Duration
			ends := map[codes.Code]int{}
			ids := make([]string, calls)
			for i := range calls {
				ids[i] = r.newID()
				done.Go(func() {
					began := time.Now()
					_, err := r.get(ctx, ids[i], "status")
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, time.Since(began))
					ends[status.Code(err)]++
				})
			}
			time.Sleep(deadline / 4)
			test.end(r, cancel)
			time.Sleep(allowed)
			attempts := r.countAttempts(ids)
			done.Wait()
			t.Logf("the longest call took %v; %v", longest, ends)
			if longest > deadline+slack {
				t.Errorf("the longest call took %v of %v", longest, deadline)
			}
			if ctx.Err() == nil {
				return
			}
			time.Sleep(deadline)
			if late := r.countAttempts(ids) - attempts; late > 0 {
				t.Errorf("%d attempts came more than %v after their calls were cancelled", late, allowed)
			}
		})
	}
}

// countAttempts returns how many attempts of these calls the server has received.
func (r *testRouter) countAttempts(ids []string) (count int) {
	for _, id := range ids {
		count += r.countEvents(id, event.AttemptReceived)
	}
	return count
}
