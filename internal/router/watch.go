package router

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/panjf2000/gnet/v2"

	"spurtrestle/core/routing"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/httpwire"
)

var errIncompleteResponse = errors.New("the connection ended, or the response timed out")

// watch is the connection to discovery. It makes one call after another; each but the first waits for a change.
type watch struct {
	r            *Router
	addr         string
	conn         gnet.Conn
	callCount    int            // on this connection
	call         discovery.Call // the last one
	superseded   bool           // another watch has replaced it
	dialing      bool
	callPending  bool
	failing      bool
	retryTimer   *timer // starts the next call after a failed one
	timeoutTimer *timer
}

// restartWatch starts over at an address with the full list, since versions there need not continue those seen so
// far. Responses to the old watch are ignored, and the last list stays valid until the new one answers.
func (r *Router) restartWatch(addr string) {
	if previous := r.watch; previous != nil {
		previous.superseded = true
		r.cancelTimer(previous.retryTimer)
		r.cancelTimer(previous.timeoutTimer)
		if previous.conn != nil {
			r.closeConn(previous.conn)
		}
		r.endpoints.Invalidate()
	}
	r.watch = &watch{r: r, addr: addr}
	r.watch.startCall()
}

// startCall starts a call, unless one is pending.
func (w *watch) startCall() {
	if w.superseded || w.dialing || w.callPending {
		return
	}
	r := w.r
	r.cancelTimer(w.retryTimer)
	path, wait := r.endpoints.NextRequest(r.limits.WatchTimeout)
	isFullList := wait == 0
	if isFullList && w.conn != nil && w.callCount > 0 {
		// Responses do not name their call: on a used connection, a second response to an earlier call may be an old list.
		r.closeConn(w.conn) // onClose forgets it
	}
	if w.conn == nil {
		w.dial()
		return
	}
	w.callPending = true
	w.callCount++
	w.call = r.endpoints.BeginCall(w.addr, r.sharedTime())
	grace := r.limits.WatchGrace
	if isFullList {
		grace = r.limits.ListTimeout
	}
	w.timeoutTimer = r.after(wait+grace, func() { r.closeConn(w.conn) })
	_, _ = w.conn.Write(httpwire.AppendRequest(nil, "GET", path, w.addr, nil, nil)) // after an error, gnet has closed the connection
}

func (w *watch) dial() {
	w.dialing = true
	w.r.pendingDials++
	w.r.dialFunc(w.addr, w, func(err error) {
		w.dialing = false
		w.handleFailure(err)
	})
}

func (w *watch) onOpen(conn gnet.Conn) {
	w.dialing, w.conn, w.callCount = false, conn, 0
	w.r.pendingDials--
	if w.superseded {
		w.r.closeConn(conn)
		return
	}
	w.startCall()
}

// onClose handles a list that came without a length, whichever way the connection ended: JSON shows by itself
// whether it is complete.
func (w *watch) onClose(bool) {
	buf, _ := w.conn.Peek(-1)
	w.conn = nil
	if w.superseded {
		return
	}
	if w.callPending && len(buf) > 0 {
		if answer, used, err := httpwire.ReadResponse(buf, true, w.r.limits.Discovery); err == nil && used > 0 {
			w.handleResponse(answer)
			return
		}
	}
	if w.callPending && !w.r.stopped { // at shutdown all connections are closed
		w.handleFailure(errIncompleteResponse)
	}
}

func (w *watch) onTraffic() gnet.Action {
	if w.superseded {
		return gnet.Close
	}
	buf, err := w.conn.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	answer, used, err := httpwire.ReadResponse(buf, false, w.r.limits.Discovery)
	if err != nil || !w.callPending {
		return gnet.Close
	}
	if used == 0 {
		// A list without a length is used as soon as it is complete, even if the server closes the connection late.
		if answer, used, err = httpwire.ReadResponse(buf, true, w.r.limits.Discovery); err != nil || used == 0 || !json.Valid(answer.Body) {
			return gnet.None
		}
	}
	isLast := answer.Close || used < len(buf)
	if isLast {
		answer.Body = bytes.Clone(answer.Body) // the buffer ends with the connection
		w.callPending = false                  // onClose must not read the response again
		w.r.closeConn(w.conn)
	}
	w.handleResponse(answer)
	if !isLast {
		_, _ = w.conn.Discard(used) // bytes that Peek has just returned
	}
	return gnet.None
}

// handleResponse applies a list. An invalid response leaves the last list in force.
func (w *watch) handleResponse(answer httpwire.Response) {
	w.callPending = false
	w.r.cancelTimer(w.timeoutTimer)
	w.call.AnsweredAt = w.r.sharedTime()
	update, err := w.r.endpoints.Apply(w.call, answer.Body)
	if answer.Status != http.StatusOK {
		err = &rejectedError{status: answer.Status}
	}
	if err != nil {
		w.handleFailure(err)
		return
	}
	if w.failing {
		w.failing = false
		w.r.log.Info("discovery answers again")
	}
	w.r.applyEndpoints(update)
	if update.Kind == routing.FullUpdate || len(update.Endpoints) > 0 {
		w.r.publishEndpoints(nil)
	}
	w.startCall()
}

// rejectedError is a response of discovery with a status other than 200, as when it has more calls than it can handle.
type rejectedError struct{ status int }

// Error returns the status.
func (e *rejectedError) Error() string { return fmt.Sprintf("status %d", e.status) }

// handleFailure keeps the last list in force. If package routing requests the lists, it also decides when to try
// again. The next call requests the full list: the server that answers then may number its versions anew, and a
// response on its way has been lost.
func (w *watch) handleFailure(err error) {
	if w.superseded {
		return
	}
	w.callPending = false
	w.r.endpoints.Invalidate()
	w.r.cancelTimer(w.timeoutTimer)
	w.r.counts.FailedDiscoveryCalls++
	if !w.failing { // logged once per series of failures
		w.failing = true
		w.r.log.WithError(err).Warn("a call to discovery failed; going on with the last list")
	}
	if w.r.cfg.Settings.PollEndpoints {
		var rejected *rejectedError
		w.r.addEvent(routing.EndpointsUpdated{Kind: routing.FailedUpdate, Rejected: errors.As(err, &rejected)})
		return
	}
	w.r.cancelTimer(w.retryTimer)
	w.retryTimer = w.r.after(w.r.limits.DiscoveryRetryDelay, w.startCall)
}
