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

var errNoAnswer = errors.New("the connection ended, or the answer was late")

// watch is the connection to discovery: one call after the other, each but the first waiting for news.
type watch struct {
	r       *Router
	addr    string
	conn    gnet.Conn
	over    bool // another watch has taken its place
	dialing bool
	calling bool
	failing bool
	again   *timer // the next call after a failed one
	late    *timer
}

// rewatch begins anew at an address, from the whole list on: versions there need not go on from the ones here. What
// the old watch still brings is not read any more, and until the new one answers the last list holds.
func (r *Router) rewatch(addr string) {
	if old := r.watch; old != nil {
		old.over = true
		r.cancel(old.again)
		r.cancel(old.late)
		if old.conn != nil {
			r.close(old.conn)
		}
		r.book.Invalidate()
	}
	r.watch = &watch{r: r, addr: addr}
	r.watch.call()
}

// call asks at once, unless a call is out.
func (w *watch) call() {
	if w.over || w.dialing || w.calling {
		return
	}
	w.r.cancel(w.again)
	if w.conn == nil {
		w.dialing = true
		w.r.dials++
		w.r.dialer(w.addr, w, func(err error) {
			w.dialing = false
			w.failed(err)
		})
		return
	}
	r := w.r
	w.calling = true
	path, wait := r.book.NextRequest(r.lim.WatchTimeout)
	slack := r.lim.WatchGrace
	if wait == 0 {
		slack = r.lim.ListTimeout
	}
	w.late = r.after(wait+slack, func() { r.close(w.conn) })
	_, _ = w.conn.Write(httpwire.AppendRequest(nil, "GET", path, w.addr, nil, nil)) // an error: closed
}

func (w *watch) opened(conn gnet.Conn) {
	w.dialing, w.conn = false, conn
	w.r.dials--
	if w.over {
		w.r.close(conn)
		return
	}
	w.call()
}

// closed: a list that came without a length is read however the connection ended, since JSON tells by itself whether it is
// whole.
func (w *watch) closed(bool) {
	buf, _ := w.conn.Peek(-1)
	w.conn = nil
	if w.over {
		return
	}
	if w.calling && len(buf) > 0 {
		if answer, used, err := httpwire.ReadResponse(buf, true, w.r.lim.Discovery); err == nil && used > 0 {
			w.took(answer)
			return
		}
	}
	if w.calling && !w.r.stopped { // at the end all connections are closed
		w.failed(errNoAnswer)
	}
}

func (w *watch) traffic() gnet.Action {
	if w.over {
		return gnet.Close
	}
	buf, err := w.conn.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	answer, used, err := httpwire.ReadResponse(buf, false, w.r.lim.Discovery)
	if err != nil || !w.calling {
		return gnet.Close
	}
	if used == 0 { // one without a length is a list as soon as it is whole: who ends the connection late has told it all the same
		if answer, used, err = httpwire.ReadResponse(buf, true, w.r.lim.Discovery); err != nil || used == 0 || !json.Valid(answer.Body) {
			return gnet.None
		}
	}
	end := answer.Close || used < len(buf)
	if end {
		answer.Body = bytes.Clone(answer.Body) // the buffer ends with the connection
		w.calling = false                      // closed must not read it again
		w.r.close(w.conn)
	}
	w.took(answer)
	if !end {
		_, _ = w.conn.Discard(used) // bytes that Peek has just shown
	}
	return gnet.None
}

// took: an odd answer leaves the last list as it is.
func (w *watch) took(answer httpwire.Response) {
	w.calling = false
	w.r.cancel(w.late)
	l, err := w.r.book.Apply(answer.Body)
	if answer.Status != http.StatusOK {
		err = &refusedError{status: answer.Status}
	}
	if err != nil {
		w.failed(err)
		return
	}
	if w.failing {
		w.failing = false
		w.r.log.Info("discovery answers again")
	}
	w.r.listCame(l)
	w.call()
}

// refusedError is a call that discovery answered without a list, as one that has more calls than it can take does.
type refusedError struct{ status int }

// Error tells the status.
func (e *refusedError) Error() string { return fmt.Sprintf("status %d", e.status) }

// failed: the old list holds. Where the decisions ask for lists they also say when to ask again. The next call is for the
// whole list: whoever answers then may count its versions anew, and what was on its way is lost.
func (w *watch) failed(err error) {
	if w.over {
		return
	}
	w.calling = false
	w.r.book.Invalidate()
	w.r.cancel(w.late)
	w.r.counts.ListsFailed++
	if !w.failing { // once for a row of them
		w.failing = true
		w.r.log.WithError(err).Warn("a call to discovery failed; going on with the last list")
	}
	if w.r.cfg.Settings.PollEndpoints {
		var refused *refusedError
		w.r.input(routing.EndpointsUpdated{Kind: routing.FailedUpdate, Rejected: errors.As(err, &refused)})
		return
	}
	w.r.cancel(w.again)
	w.again = w.r.after(w.r.lim.DiscoveryRetryDelay, w.call)
}
