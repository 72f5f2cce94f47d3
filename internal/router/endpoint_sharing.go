package router

import (
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
)

// While one process of the router replaces another, each has a watch of its own at discovery, and sends the other one what that
// tells it. So a server that begins to drain, is removed or restarts is known to both, also if discovery answers only one of them.

// monotonicTime returns the time of the machine's monotonic clock, which all processes share and no one sets. Without it, 0.
func monotonicTime() clock.Time {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return 0
	}
	return clock.Time(time.Duration(now.Nano()) / time.Microsecond)
}

// sharedTime returns the time on a clock that the processes of the router share, and that does not follow steps of the wall clock.
func (r *Router) sharedTime() clock.Time { return r.clock() + r.sharedClockOffset }

// applyFirstEndpoints applies the list with which the router starts: that of its predecessor or, without one, the saved one.
func (r *Router) applyFirstEndpoints() {
	if shared := r.takeover.endpoints; shared != nil {
		if update, changed := r.endpoints.Adopt(*shared); changed {
			r.logAdopted(update, shared.Version)
			r.applyEndpoints(update)
			return
		}
	}
	if len(r.cfg.SavedEndpoints) > 0 {
		r.applyEndpoints(r.initialEndpoints)
	}
}

// encodeEndpoints returns the function that encodes a copy of the endpoint list, off the loop, for another process. It returns
// false if discovery has not answered yet: then the other process knows as much as this one.
func (r *Router) encodeEndpoints() (encode func() []byte, ok bool) {
	shared, ok := r.endpoints.Share()
	if !ok {
		return nil, false
	}
	return func() []byte {
		text := shared.Encode()
		if len(text) > handover.MaxBodyBytes {
			r.log.WithField("bytes", len(text)).Warn("handover: endpoint list is too long; the other process depends on discovery")
			return nil
		}
		return text
	}, true
}

// sendEndpoints sends the endpoint list to another process.
func (r *Router) sendEndpoints(conn *handover.Conn) {
	if encode, ok := r.encodeEndpoints(); ok {
		conn.Publish(handover.Endpoints, encode)
	}
}

// publishEndpoints sends the endpoint list to the other processes of this router, except to the one that it comes from.
func (r *Router) publishEndpoints(source *handover.Conn) {
	for _, conn := range []*handover.Conn{r.takeover.predecessor, r.takeover.successor} {
		if conn != nil && conn != source {
			r.sendEndpoints(conn)
		}
	}
}

// sendUnsentEndpoints sends the endpoint list ahead of the frames of the handover, if an earlier one may still be queued. The
// successor admits requests once it has received them.
func (r *Router) sendUnsentEndpoints() {
	t := &r.takeover
	if t.successor == nil || t.successor.IsIdle() {
		return
	}
	encode, ok := r.encodeEndpoints()
	if !ok {
		return
	}
	t.outgoing <- outgoingFrame{Frame: handover.Frame{Kind: handover.Endpoints}, encode: encode} // the first frame: it has room
	t.unsentFrames++
}

// decodeEndpoints returns the list in a frame. It returns false if there is none that can be used.
func (r *Router) decodeEndpoints(frame handover.Frame) (shared discovery.SharedList, ok bool) {
	if len(frame.Body) == 0 {
		return shared, false
	}
	shared, err := discovery.DecodeShared(frame.Body, r.sharedTime())
	if err != nil {
		r.log.WithError(err).Warn("handover: endpoint list of the other process cannot be read")
		return shared, false
	}
	return shared, true
}

// receiveEndpoints applies the list of another process, and passes it on along a chain of processes. It is called off the loop.
func (r *Router) receiveEndpoints(source *handover.Conn, frame handover.Frame) {
	shared, ok := r.decodeEndpoints(frame)
	if !ok {
		return
	}
	r.runAsync(func() {
		update, changed := r.endpoints.Adopt(shared)
		if !changed {
			return
		}
		r.logAdopted(update, shared.Version)
		r.applyEndpoints(update)
		r.publishEndpoints(source)
	})
}

func (r *Router) logAdopted(update routing.EndpointsUpdated, version discovery.Version) {
	r.log.WithFields(map[string]any{"discovery": version.Server, "revision": version.Revision, "servers": len(update.Endpoints)}).
		Info("handover: endpoint list of the other process adopted")
}

// refreshEndpoints requests the full list after another process has ended, if the list has states that only that one was told.
func (r *Router) refreshEndpoints() {
	if r.endpoints.NeedsFullList() && !r.stopped {
		r.restartWatch(r.watch.addr)
	}
}
