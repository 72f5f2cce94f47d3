package router

import (
	"context"
	"net"
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/wire"
)

// server is a cache server or the origin: what is connected to it.
//
// A connection carries one attempt at a time. The settings allow more, but answers come in order, and an attempt is
// given up by closing its connection: a slow one would hold up those behind it, and one given up would reset them.
type server struct {
	id       routing.ServerID
	addr     string
	speaks   wire.Back
	ready    bool // listed and not out: idle connections are of use
	listed   bool // in the list, and not draining
	out      bool // an operator has taken it out
	isOrigin bool
	idle     []*upstream // the last used at the end
	waiting  []*attempt  // for a connection
	dialing  int
}

// upstream is a connection to a server.
type upstream struct {
	r       *Router
	server  *server
	addr    string // where it leads; the server may have another by now
	conn    gnet.Conn
	carries *attempt   // nil: idle
	since   clock.Time // idle since
	writing bool       // gnet may close it within a write
	away    bool       // off the loop: a big value comes on it
	used    bool       // it has carried an attempt
}

func (s *server) forget(w *attempt) {
	s.waiting = slices.DeleteFunc(s.waiting, func(x *attempt) bool { return x == w })
}

// connect gives an attempt a connection: an idle one, else the first that gets free.
func (r *Router) connect(w *attempt) {
	if r.hasGone(w.q) {
		r.left(w.q)
		return
	}
	if r.mayHaveGone(w.q) {
		r.connectAfterFront(w)
		return
	}
	s := w.server
	for i, up := range slices.Backward(s.idle) {
		if up.rested() && up.open(w) {
			s.idle = slices.Delete(s.idle, i, i+1)
			up.send(w)
			return
		}
	}
	s.waiting = append(s.waiting, w)
	r.starved = append(r.starved, s)
	r.feed()
}

const descriptorsOfDial = 2 // gnet takes a copy, and then the first is closed

// feed dials for attempts that wait, as far as there are descriptors; else they wait on, for one that gets free.
func (r *Router) feed() {
	for len(r.starved) > 0 {
		s := r.starved[0]
		if s.dialing >= len(s.waiting) {
			r.starved = r.starved[1:]
			continue
		}
		if !r.roomToDial() {
			return
		}
		r.dial(s)
	}
}

// dial opens a connection off the loop, since gnet's own Register knows no time limit.
func (r *Router) dial(s *server) {
	s.dialing++
	r.dials++
	r.counts.Dials++
	addr := s.addr
	r.dialer(addr, &upstream{r: r, server: s, addr: addr}, func(error) {
		r.counts.DialsFailed++
		s.dialing--
		if addr != s.addr { // nothing is known of the new one
			r.starved = append(r.starved, s)
		} else if len(s.waiting) > s.dialing {
			r.returned(s.waiting[0], routing.ConnectError, nil)
		}
		r.feed()
	})
}

// dialOff connects to an address and enrolls the connection for p; failed runs on the loop.
func (r *Router) dialOff(addr string, p peer, failed func(error)) {
	within := r.lim.ConnectTimeout
	if _, is := p.(*watch); is { // servers may be long in coming up, the agent may not: a call waits behind it
		within = min(within, r.lim.WatchGrace)
	}
	go func() {
		c, err := net.DialTimeout("tcp", addr, span(within))
		if err == nil {
			var enrolled <-chan gnet.RegisteredResult
			if enrolled, err = r.loop.Enroll(gnet.NewContext(context.Background(), p), c); err != nil {
				c.Close()
			} else {
				err = (<-enrolled).Err
			}
		}
		if err != nil {
			r.execute(func() {
				r.dials--
				failed(err)
			})
		}
	}()
}

func (up *upstream) opened(conn gnet.Conn) {
	up.conn = conn
	if up.away {
		up.away = false
		up.r.conns-- // it was counted all the time
		up.free()
		return
	}
	up.r.upstreams++
	up.server.dialing--
	up.r.dials--
	up.free()
}

// free gives the connection to the first that waits, or keeps it. One that leads where the server no longer is, busy or on
// its way when the list told so, brought requests to whoever is there now.
func (up *upstream) free() {
	s := up.server
	if up.addr != s.addr {
		up.r.starved = append(up.r.starved, s)
		up.r.close(up.conn)
		up.r.feed()
		return
	}
	up.since = up.r.clock()
	s.dropLate(up.r, up.since)
	if len(s.waiting) > 0 && up.rested() && up.open(s.waiting[0]) {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		up.send(w)
		return
	}
	if !s.ready {
		up.r.close(up.conn)
		return
	}
	s.idle = append(s.idle, up)
	if len(s.waiting) > 0 {
		up.r.starved = append(up.r.starved, s)
		up.r.feed()
	}
}

// dropLate drops from the head of those that wait what is not to be sent any more, or not yet. After a pause of the process its
// connections come up before its timers go off.
func (s *server) dropLate(r *Router, now clock.Time) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		switch {
		case w.until <= now:
			r.giveUp(w, routing.NotSent)
		case r.hasGone(w.q):
			r.left(w.q)
		case r.mayHaveGone(w.q):
			s.forget(w)
			r.connectAfterFront(w)
		default:
			return
		}
	}
}

// rested: what answers twice does so some milliseconds late, and no answer says whose it is. Where that was seen lately a
// connection that has carried an attempt is left alone for as long, so that the second answer meets nobody.
func (up *upstream) rested() bool {
	now := up.r.clock()
	return now >= up.r.waryUntil || !up.used || now-up.since >= up.r.lim.ReuseDelay
}

// open: the server has not ended it, nor sent anything on it that the loop is still to read. What is written to an ended
// connection may have run for all that is known, so it is looked at where that forbids another try. The rest is told by the
// loop in time, or tried again.
func (up *upstream) open(w *attempt) bool {
	if up.r.cfg.Settings.Methods[w.q.method].Idempotency == routing.Idempotent || !up.used {
		return true
	}
	var one [1]byte
	_, _, err := unix.Recvfrom(up.conn.Fd(), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != nil && err != unix.ECONNRESET
}

// unasked: a server has sent what nobody asked for.
func (r *Router) unasked() { r.waryUntil = r.clock() + r.lim.DuplicateResponseWindow }

func (up *upstream) send(w *attempt) {
	up.carries, w.up, up.used = w, up, true
	if w.q.body != nil {
		w.q.body.soon(w)
		return
	}
	attempt := wire.NewAttempt(&w.q.Request, up.server.addr, w.remaining(up.r.clock()))
	up.r.scratch = up.server.speaks.Append(up.r.scratch[:0], attempt)
	up.writing = true
	_, err := up.conn.Write(up.r.scratch)
	up.writing = false
	if err != nil { // gnet has closed it and called closed
		return
	}
	up.left()
}

// left counts an attempt once its last byte is with the kernel.
func (up *upstream) left() {
	if w := up.carries; w != nil && !w.whole && !up.writing && up.conn.OutboundBuffered() == 0 {
		w.whole = true
		up.r.counts.Forwards++
	}
}

// traffic reads an answer. What comes while nothing is asked, or behind an answer, belongs to nobody.
func (up *upstream) traffic() gnet.Action {
	w := up.carries
	if w == nil {
		up.r.counts.Broken++
		up.r.unasked()
		return gnet.Close
	}
	buf, err := up.conn.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	o, used, keep, err := up.server.speaks.Read(buf, false)
	if err != nil && up.long(buf) {
		return gnet.Close
	}
	if err != nil {
		// It answered, so that it is no lost connection, but what it said is spoilt: its request may have run.
		up.r.counts.Broken++
		up.r.returned(w, routing.Failed, nil)
		return gnet.Close
	}
	if used == 0 {
		return gnet.None
	}
	up.r.spoke(w, o)
	if used < len(buf) {
		up.r.unasked()
	}
	if used < len(buf) || !keep {
		return gnet.Close
	}
	_, _ = up.conn.Discard(used) // bytes that Peek has just shown
	up.free()
	return gnet.None
}

// closed: before its last byte has left us an attempt has never run; after that it may have. gnet still writes out
// what is buffered after this; what was given up must not reach the server then, so the sending side is shut first.
//
// An answer without a length lasts until the connection ends. A reset is no such end: the rest of the value was on its way,
// and the client got half of one for the whole.
func (up *upstream) closed(ended bool) {
	s := up.server
	up.r.upstreams--
	if up.conn.OutboundBuffered() > 0 {
		_ = unix.Shutdown(up.conn.Fd(), unix.SHUT_RDWR) // fails where the peer has ended it already
	}
	s.idle = slices.DeleteFunc(s.idle, func(x *upstream) bool { return x == up })
	w := up.carries
	if w == nil {
		return
	}
	status := routing.Reset
	if up.writing || up.conn.OutboundBuffered() > 0 || w.q.body != nil { // a body has not begun to go
		status = routing.ConnectError
	} else if buf, _ := up.conn.Peek(-1); ended && len(buf) > 0 {
		if o, used, _, err := up.server.speaks.Read(buf, true); err == nil && used > 0 {
			up.r.spoke(w, o)
			return
		}
	}
	up.r.returned(w, status, nil)
}

func (r *Router) closeIdle(s *server) {
	for _, up := range slices.Clone(s.idle) {
		r.close(up.conn)
	}
}

// sweep closes what has been idle for nearly as long as its server would let it, clients that were to be closed once
// they had taken their answers, and those that hold a descriptor and say nothing, or nothing more.
func (r *Router) sweep() {
	now := r.clock()
	for c := range r.clients {
		switch {
		case c.over && c.ended():
			r.close(c.conn)
		case !c.over && c.silent(now):
			c.broken("nothing whole has come")
			if c.ended() && c.conn != nil {
				r.close(c.conn)
			}
		// Some ask once and keep the connection for good. Clients may hold only so many, and had none left for requests.
		case !c.over && now-c.idle >= r.lim.ClientIdleTimeout && c.quiet() && c.waiting() == 0 && !c.unheard():
			r.close(c.conn)
		}
	}
	r.after(r.lim.IdleSweepInterval, r.sweep)
	for _, s := range r.servers {
		for len(s.idle) > 0 && now-s.idle[0].since >= r.lim.ServerIdleTimeout {
			r.close(s.idle[0].conn)
		}
	}
}

// used is what connections and dials hold, and what one more dial would.
func (r *Router) used() int {
	return r.conns + descriptorsOfDial*r.dials + r.takeover.others[0] + r.takeover.others[1]
}

// roomToDial closes idle connections until there are descriptors for a dial. Servers get a part of them only, so that
// clients can always come in.
func (r *Router) roomToDial() bool {
	for {
		mine := r.upstreams+descriptorsOfDial*(r.dials+1) <= r.lim.ServerConnections
		if mine && r.used()+descriptorsOfDial <= r.lim.Descriptors {
			return true
		}
		if !(mine && r.shed()) && !r.shedServer() {
			return false
		}
	}
}

// roomForClient does the same for a client that has come in; false where it can't be kept.
func (r *Router) roomForClient(c *client) bool {
	for r.used() > r.lim.Descriptors {
		if !r.shed() {
			break
		}
	}
	if !r.handsOver() && r.dialsWait() && r.anotherIsQuiet(c) {
		return r.used() <= r.lim.Descriptors-descriptorsOfDial
	}
	return r.used() <= r.lim.MaxDescriptors
}

// handsOver: another process of this router lives, and clients go from one to the other with requests that were taken. What both
// hold counts against the descriptors then, so that dials may wait though nobody crowds in.
func (r *Router) handsOver() bool { return r.takeover.others != [2]int{} }

// dialsWait: attempts wait for a connection, not because servers have their part of the descriptors, but because there are none.
// Those that clients leave must then not go to the next client: of a crowd that came again at once it was each time younger than
// may be closed, and no attempt ever got one.
func (r *Router) dialsWait() bool {
	return len(r.starved) > 0 && r.upstreams+descriptorsOfDial*(r.dials+1) <= r.lim.ServerConnections
}

// anotherIsQuiet: a client can be closed, now or as soon as it has been quiet for long enough.
func (r *Router) anotherIsQuiet(than *client) bool {
	for c := range r.clients {
		if c != than && c.quiet() {
			return true
		}
	}
	return false
}

// shed closes a client while they hold more than they need for requests, else an idle connection to a server. Hundreds that
// asked once and stayed, or never asked, took the descriptors of the servers' connections, and each attempt paid for
// a new one.
func (r *Router) shed() bool {
	return len(r.clients) > r.lim.ClientConnections && r.shedClient(false) || r.shedServer() || r.shedClient(false)
}

// shedServer closes the connection to a server that has been idle longest.
func (r *Router) shedServer() bool {
	var oldest *upstream
	for _, s := range r.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].since < oldest.since) {
			oldest = s.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	r.counts.Shed++
	r.close(oldest.conn)
	return true
}

// shedClient closes the client that has been quiet longest, first of those that never asked. One that has just come in
// is spared: its first request is on its way, and closing the connection would lose it. askers: of those that have asked.
func (r *Router) shedClient(askers bool) bool {
	now := r.clock()
	var longest *client
	for c := range r.clients {
		if c.quiet() && (c.asked || !askers) && now-c.idle >= r.lim.IdleClientEvictionAge && (longest == nil || c.asked == longest.asked && c.idle < longest.idle ||
			!c.asked && longest.asked) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	if longest.unheard() {
		longest.idle = now
		return r.shedClient(askers)
	}
	r.counts.Shed++
	r.close(longest.conn)
	return true
}

// listCame takes a list: who is named, and where.
func (r *Router) listCame(l routing.EndpointsUpdated) {
	r.counts.Lists++
	r.name(l)
	r.input(l)
	named := map[routing.ServerID]bool{}
	for _, e := range l.Endpoints {
		named[e.Server] = e.State != routing.Removed
		s := r.servers[e.Server]
		if s == nil {
			s = &server{id: e.Server}
			r.servers[e.Server] = s
			uid := string(r.book.UID(e.Server))
			r.bar(s, r.isOut(uid), clock.Time(r.ops.wanted.UnbannedAt[uid])) // before anything is sent there
		}
		s.isOrigin = r.cfg.Settings.OriginKind != "" && e.Kind == r.cfg.Settings.OriginKind
		if s.speaks = r.cache; s.isOrigin {
			s.speaks = r.origin
		}
		if addr := r.book.Address(e.Server); s.addr != addr {
			r.closeIdle(s)
			s.addr = addr
		}
		s.listed = e.State == routing.Ready
		if s.ready = s.listed && !s.out; !s.ready {
			r.dismiss(s)
		}
		if s.ready && !r.serving {
			r.serving = true
			r.tellServing(true)
		}
	}
	r.listKnown(l)
	for id, s := range r.servers {
		if keep, told := named[id]; told && !keep || !told && l.Kind != routing.IncrementalUpdate {
			delete(r.servers, id)
			s.ready, s.listed = false, false
			r.dismiss(s)
		}
	}
}

// dismiss: a server wants nothing new. What waits for a connection to it has not been sent, and is decided anew.
func (r *Router) dismiss(s *server) {
	r.closeIdle(s)
	for len(s.waiting) > 0 {
		r.returned(s.waiting[0], routing.NotSent, nil)
	}
}
