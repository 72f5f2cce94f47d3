package router

import (
	"sync/atomic"
	"time"
)

// runOnLoop runs f on the loop and waits for it, but no longer than the admin call timeout. After an error f has
// not run and never will: a late call is withdrawn, so that it cannot undo what a later call has put into force.
func (r *Router) runOnLoop(f func()) error {
	timeout := time.NewTimer(toDuration(r.limits.AdminCallTimeout))
	defer timeout.Stop()
	select {
	case <-r.ready:
	case <-r.done:
		return errStopping
	case <-timeout.C:
		return errBusy
	}
	var claimed atomic.Bool // set by the loop, which runs f, or by the caller, which withdraws it
	done := make(chan struct{})
	r.runAsync(func() {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		f()
		close(done)
	})
	err := errBusy
	select {
	case <-done:
		return nil
	case <-r.done:
		err = errStopping
	case <-timeout.C:
	}
	if claimed.CompareAndSwap(false, true) {
		r.log.WithError(err).Debug("router: call withdrawn, the loop did not run it in time")
		return err
	}
	<-done // the loop is running f
	return nil
}
