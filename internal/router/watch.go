package router

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/panjf2000/gnet/v2"

	"spurtrestle/core/routing"
	"spurtrestle/internal/httpwire"
)

var errIncompleteResponse = errors.New("the connection ended, or the answer was late")

// watch is the connection to discovery: one call after the other, each but the first waiting for news.
type watch struct {
	r            *Router
	addr         string
	conn         gnet.Conn
	superseded   bool // another watch has taken its place
	dialing      bool
	callPending  bool
	failing      bool
	retryTimer   *timer // the next call after a failed one
	timeoutTimer *timer
}

// rewatch begins anew at an address, from the whole list on: versions there need not go on from the ones here. What
// the old watch still brings is not read any more, and until the new one answers the last list holds.
func (r *Router) restartWatch(addr string) {
	if old := r.watch; old != nil {
		old.superseded = true
		r.cancel(old.retryTimer)
		r.cancel(old.timeoutTimer)
		if old.conn != nil {
			r.close(old.conn)
		}
		r.endpoints.Invalidate()
	}
	r.watch = &watch{r: r, addr: addr}
	r.watch.startCall()
}

// call asks at once, unless a call is out.
func (w *watch) startCall() {
	if w.superseded || w.dialing || w.callPending {
		return
	}
	w.r.cancel(w.retryTimer)
	if w.conn == nil {
		w.dialing = true
		w.r.pendingDials++
		w.r.dialFunc(w.addr, w, func(err error) {
			w.dialing = false
			w.handleFailure(err)
		})
		return
	}
	r := w.r
	w.callPending = true
	path, wait := r.endpoints.NextRequest(r.limits.WatchTimeout)
	slack := r.limits.WatchGrace
	if wait == 0 {
		slack = r.limits.ListTimeout
	}
	w.timeoutTimer = r.after(wait+slack, func() { r.close(w.conn) })
	_, _ = w.conn.Write(httpwire.AppendRequest(nil, "GET", path, w.addr, nil, nil)) // an error: closed
}

func (w *watch) onOpen(conn gnet.Conn) {
	w.dialing, w.conn = false, conn
	w.r.pendingDials--
	if w.superseded {
		w.r.close(conn)
		return
	}
	w.startCall()
}

// closed: a list that came without a length is read however the connection ended, since JSON tells by itself whether it is
// whole.
func (w *watch) onClose(bool) {
	buf, _ := w.conn.Peek(-1)
	w.conn = nil
	if w.superseded {
		return
	}
	if w.callPending && len(buf) > 0 {
		if answer, used, err := httpwire.Read(buf, true, w.r.limits.Discovery); err == nil && used > 0 {
			w.handleResponse(answer)
			return
		}
	}
	if w.callPending && !w.r.stopped { // at the end all connections are closed
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
	answer, used, err := httpwire.Read(buf, false, w.r.limits.Discovery)
	if err != nil || !w.callPending {
		return gnet.Close
	}
	if used == 0 { // one without a length is a list as soon as it is whole: who ends the connection late has told it all the same
		if answer, used, err = httpwire.Read(buf, true, w.r.limits.Discovery); err != nil || used == 0 || !json.Valid(answer.Body) {
			return gnet.None
		}
	}
	end := answer.Close || used < len(buf)
	if end {
		answer.Body = bytes.Clone(answer.Body) // the buffer ends with the connection
		w.callPending = false                  // closed must not read it again
		w.r.close(w.conn)
	}
	w.handleResponse(answer)
	if !end {
		_, _ = w.conn.Discard(used) // bytes that Peek has just shown
	}
	return gnet.None
}

// took: an odd answer leaves the last list as it is.
func (w *watch) handleResponse(answer httpwire.Response) {
	w.callPending = false
	w.r.cancel(w.timeoutTimer)
	l, err := w.r.endpoints.Apply(answer.Body)
	if answer.Status != http.StatusOK {
		err = &refusedError{status: answer.Status}
	}
	if err != nil {
		w.handleFailure(err)
		return
	}
	if w.failing {
		w.failing = false
		w.r.log.Info("discovery answers again")
	}
	w.r.applyEndpoints(l)
	w.startCall()
}

// refusedError is a call that discovery answered without a list, as one that has more calls than it can take does.
type refusedError struct{ status int }

// Error tells the status.
func (e *refusedError) Error() string { return fmt.Sprintf("status %d", e.status) }

// failed: the old list holds. Where the decisions ask for lists they also say when to ask again. The next call is for the
// whole list: whoever answers then may count its versions anew, and what was on its way is lost.
func (w *watch) handleFailure(err error) {
	if w.superseded {
		return
	}
	w.callPending = false
	w.r.endpoints.Invalidate()
	w.r.cancel(w.timeoutTimer)
	w.r.counts.ListsFailed++
	if !w.failing { // once for a row of them
		w.failing = true
		w.r.log.WithError(err).Warn("a call to discovery failed; going on with the last list")
	}
	if w.r.cfg.Settings.PollEndpoints {
		var refused *refusedError
		w.r.addEvent(routing.EndpointsUpdated{Kind: routing.FailedUpdate, Rejected: errors.As(err, &refused)})
		return
	}
	w.r.cancel(w.retryTimer)
	w.retryTimer = w.r.after(w.r.limits.DiscoveryRetryDelay, w.startCall)
}
