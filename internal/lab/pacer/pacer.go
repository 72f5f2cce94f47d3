// Package pacer calls a function on a schedule that is fixed in advance (open loop), independent of how long the work it
// triggers takes. It sleeps in the kernel on a dedicated thread, because timers of the Go runtime fire 0.5 ms late at the
// median and 1 ms late at the 99th percentile. The load generators of the lab use it.
package pacer

import (
	"context"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Run calls do(i, late) for each i in [0, n) once at(i) has elapsed since start; at must not decrease. It runs on the
// caller's goroutine, which it locks to its thread, and returns the greatest lateness of a call. It returns early if ctx
// is canceled.
func Run(ctx context.Context, start time.Time, n int, at func(int) time.Duration, do func(i int, late time.Duration)) (worst time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	// The default timer slack lets the kernel wake a thread up to 50 us late to save power. If this call fails, calls are
	// late by as much.
	_ = unix.Prctl(unix.PR_SET_TIMERSLACK, 1, 0, 0, 0)
	for i := range n {
		due := at(i)
		for {
			left := due - time.Since(start)
			if left <= 0 {
				break
			}
			if ctx.Err() != nil {
				return worst
			}
			// Short sleeps, so that a canceled context is noticed.
			sleep := unix.NsecToTimespec(int64(min(left, 50*time.Millisecond)))
			_ = unix.Nanosleep(&sleep, nil) // the loop repeats an interrupted sleep
		}
		if i%64 == 0 && ctx.Err() != nil {
			return worst
		}
		late := time.Since(start) - due
		worst = max(worst, late)
		do(i, late)
	}
	return worst
}
