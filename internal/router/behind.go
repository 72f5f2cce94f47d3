package router

import "spurtrestle/core/clock"

// catchUp is how long a loop that was late once may still find old news in its sockets: hundreds of requests take some of it.
const catchUp = clock.Time(1e6)

// noteLag notes that the loop comes late to what waits in its sockets, as after a pause of the process or with too little of a core.
func (r *Router) noteLag(since clock.Time) {
	if r.now-since > r.lim.LoopLagThreshold {
		r.behindUntil = r.now + catchUp
	}
}

// hasGone tells, while the loop is late, whether the client of a request has closed its connection and that is not read yet. Of some
// hundred sockets that wait for the loop it reads requests before it comes to the ends behind others, and began attempts for clients
// that had gone long before. Otherwise ends are read in time, and the call is spared.
func (r *Router) hasGone(q *request) bool {
	c, is := q.from.(*client)
	return is && !q.over && r.now < r.behindUntil && c.conn != nil && hungUp(c.conn.Fd())
}
