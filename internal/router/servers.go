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
	id              routing.ServerID
	addr            string
	protocol        wire.Back
	ready           bool // listed and not out: idle connections are of use
	listed          bool // in the list, and not draining
	banned          bool // an operator has taken it out
	isOrigin        bool
	idleConns       []*upstream      // the last used at the end
	waitingAttempts []*activeAttempt // for a connection
	dialing         int
}

// upstream is a connection to a server.
type upstream struct {
	r          *Router
	server     *server
	addr       string // where it leads; the server may have another by now
	conn       gnet.Conn
	attempt    *activeAttempt // nil: idle
	idleSince  clock.Time     // idle since
	writing    bool           // gnet may close it within a write
	detached   bool           // off the loop: a big value comes on it
	hasCarried bool           // it has carried an attempt
}

func (s *server) removeWaiting(attempt *activeAttempt) {
	s.waitingAttempts = slices.DeleteFunc(s.waitingAttempts, func(other *activeAttempt) bool { return other == attempt })
}

// connect gives an attempt a connection: an idle one, else the first that gets free.
func (r *Router) connectAttempt(attempt *activeAttempt) {
	if r.clientGone(attempt.request) {
		r.clientLeft(attempt.request)
		return
	}
	if r.clientMayBeGone(attempt.request) {
		r.recheckClientThenConnect(attempt)
		return
	}
	s := attempt.server
	for i, up := range slices.Backward(s.idleConns) {
		if up.mayReuse() && up.isOpen(attempt) {
			s.idleConns = slices.Delete(s.idleConns, i, i+1)
			up.send(attempt)
			return
		}
	}
	s.waitingAttempts = append(s.waitingAttempts, attempt)
	r.dialQueue = append(r.dialQueue, s)
	r.dialForWaiting()
}

const descriptorsPerDial = 2 // gnet takes a copy, and then the first is closed

// feed dials for attempts that wait, as far as there are descriptors; else they wait on, for one that gets free.
func (r *Router) dialForWaiting() {
	for len(r.dialQueue) > 0 {
		s := r.dialQueue[0]
		if s.dialing >= len(s.waitingAttempts) {
			r.dialQueue = r.dialQueue[1:]
			continue
		}
		if !r.makeRoomToDial() {
			return
		}
		r.dialServer(s)
	}
}

// dial opens a connection off the loop, since gnet's own Register knows no time limit.
func (r *Router) dialServer(s *server) {
	s.dialing++
	r.pendingDials++
	r.counts.Dials++
	addr := s.addr
	r.dialFunc(addr, &upstream{r: r, server: s, addr: addr}, func(error) {
		r.counts.DialsFailed++
		s.dialing--
		if addr != s.addr { // nothing is known of the new one
			r.dialQueue = append(r.dialQueue, s)
		} else if len(s.waitingAttempts) > s.dialing {
			r.endAttempt(s.waitingAttempts[0], routing.ConnectError, nil)
		}
		r.dialForWaiting()
	})
}

// dialOff connects to an address and enrolls the connection for p; failed runs on the loop.
func (r *Router) dialAsync(addr string, p connHandler, failed func(error)) {
	within := r.limits.ConnectTimeout
	if _, is := p.(*watch); is { // servers may be long in coming up, the agent may not: a call waits behind it
		within = min(within, r.limits.WatchGrace)
	}
	go func() {
		c, err := net.DialTimeout("tcp", addr, toDuration(within))
		if err == nil {
			var enrolled <-chan gnet.RegisteredResult
			if enrolled, err = r.loop.Enroll(gnet.NewContext(context.Background(), p), c); err != nil {
				c.Close()
			} else {
				err = (<-enrolled).Err
			}
		}
		if err != nil {
			r.runAsync(func() {
				r.pendingDials--
				failed(err)
			})
		}
	}()
}

func (up *upstream) onOpen(conn gnet.Conn) {
	up.conn = conn
	if up.detached {
		up.detached = false
		up.r.connCount-- // it was counted all the time
		up.release()
		return
	}
	up.r.serverConnCount++
	up.server.dialing--
	up.r.pendingDials--
	up.release()
}

// free gives the connection to the first that waits, or keeps it. One that leads where the server no longer is, busy or on
// its way when the list told so, brought requests to whoever is there now.
func (up *upstream) release() {
	s := up.server
	if up.addr != s.addr {
		up.r.dialQueue = append(up.r.dialQueue, s)
		up.r.close(up.conn)
		up.r.dialForWaiting()
		return
	}
	up.idleSince = up.r.clock()
	s.dropExpired(up.r, up.idleSince)
	if len(s.waitingAttempts) > 0 && up.mayReuse() && up.isOpen(s.waitingAttempts[0]) {
		attempt := s.waitingAttempts[0]
		s.waitingAttempts = s.waitingAttempts[1:]
		up.send(attempt)
		return
	}
	if !s.ready {
		up.r.close(up.conn)
		return
	}
	s.idleConns = append(s.idleConns, up)
	if len(s.waitingAttempts) > 0 {
		up.r.dialQueue = append(up.r.dialQueue, s)
		up.r.dialForWaiting()
	}
}

// dropLate drops from the head of those that wait what is not to be sent any more, or not yet. After a pause of the process its
// connections come up before its timers go off.
func (s *server) dropExpired(r *Router, now clock.Time) {
	for len(s.waitingAttempts) > 0 {
		attempt := s.waitingAttempts[0]
		switch {
		case attempt.startDeadline <= now:
			r.abortAttempt(attempt, routing.NotSent)
		case r.clientGone(attempt.request):
			r.clientLeft(attempt.request)
		case r.clientMayBeGone(attempt.request):
			s.removeWaiting(attempt)
			r.recheckClientThenConnect(attempt)
		default:
			return
		}
	}
}

// rested: what answers twice does so some milliseconds late, and no answer says whose it is. Where that was seen lately a
// connection that has carried an attempt is left alone for as long, so that the second answer meets nobody.
func (up *upstream) mayReuse() bool {
	now := up.r.clock()
	return now >= up.r.duplicateGuardUntil || !up.hasCarried || now-up.idleSince >= up.r.limits.ReuseDelay
}

// open: the server has not ended it, nor sent anything on it that the loop is still to read. What is written to an ended
// connection may have run for all that is known, so it is looked at where that forbids another try. The rest is told by the
// loop in time, or tried again.
func (up *upstream) isOpen(attempt *activeAttempt) bool {
	if up.r.cfg.Settings.Methods[attempt.request.method].Idempotency == routing.Idempotent || !up.hasCarried {
		return true
	}
	var one [1]byte
	_, _, err := unix.Recvfrom(up.conn.Fd(), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != nil && err != unix.ECONNRESET
}

// unasked: a server has sent what nobody asked for.
func (r *Router) noteUnsolicited() { r.duplicateGuardUntil = r.clock() + r.limits.DuplicateMemory }

func (up *upstream) send(attempt *activeAttempt) {
	up.attempt, attempt.conn, up.hasCarried = attempt, up, true
	if attempt.request.largeWrite != nil {
		attempt.request.largeWrite.scheduleSend(attempt)
		return
	}
	wireAttempt := wire.NewAttempt(&attempt.request.Request, up.server.addr, attempt.remaining(up.r.clock()))
	up.r.writeBuffer = up.server.protocol.Append(up.r.writeBuffer[:0], wireAttempt)
	up.writing = true
	_, err := up.conn.Write(up.r.writeBuffer)
	up.writing = false
	if err != nil { // gnet has closed it and called closed
		return
	}
	up.noteSent()
}

// left counts an attempt once its last byte is with the kernel.
func (up *upstream) noteSent() {
	if attempt := up.attempt; attempt != nil && !attempt.fullySent && !up.writing && up.conn.OutboundBuffered() == 0 {
		attempt.fullySent = true
		up.r.counts.Forwards++
	}
}

// traffic reads an answer. What comes while nothing is asked, or behind an answer, belongs to nobody.
func (up *upstream) onTraffic() gnet.Action {
	attempt := up.attempt
	if attempt == nil {
		up.r.counts.Broken++
		up.r.noteUnsolicited()
		return gnet.Close
	}
	buf, err := up.conn.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	outcome, used, keep, err := up.server.protocol.Read(buf, false)
	if err != nil && up.startLargeRead(buf) {
		return gnet.Close
	}
	if err != nil {
		// It answered, so that it is no lost connection, but what it said is spoilt: its request may have run.
		up.r.counts.Broken++
		up.r.endAttempt(attempt, routing.Failed, nil)
		return gnet.Close
	}
	if used == 0 {
		return gnet.None
	}
	up.r.handleOutcome(attempt, outcome)
	if used < len(buf) {
		up.r.noteUnsolicited()
	}
	if used < len(buf) || !keep {
		return gnet.Close
	}
	_, _ = up.conn.Discard(used) // bytes that Peek has just shown
	up.release()
	return gnet.None
}

// closed: before its last byte has left us an attempt has never run; after that it may have. gnet still writes out
// what is buffered after this; what was given up must not reach the server then, so the sending side is shut first.
//
// An answer without a length lasts until the connection ends. A reset is no such end: the rest of the value was on its way,
// and the client got half of one for the whole.
func (up *upstream) onClose(endOfStream bool) {
	s := up.server
	up.r.serverConnCount--
	if up.conn.OutboundBuffered() > 0 {
		_ = unix.Shutdown(up.conn.Fd(), unix.SHUT_RDWR) // fails where the peer has ended it already
	}
	s.idleConns = slices.DeleteFunc(s.idleConns, func(x *upstream) bool { return x == up })
	attempt := up.attempt
	if attempt == nil {
		return
	}
	status := routing.Reset
	if up.writing || up.conn.OutboundBuffered() > 0 || attempt.request.largeWrite != nil { // a body has not begun to go
		status = routing.ConnectError
	} else if buf, _ := up.conn.Peek(-1); endOfStream && len(buf) > 0 {
		if outcome, used, _, err := up.server.protocol.Read(buf, true); err == nil && used > 0 {
			up.r.handleOutcome(attempt, outcome)
			return
		}
	}
	up.r.endAttempt(attempt, status, nil)
}

func (r *Router) closeIdleConnections(s *server) {
	for _, up := range slices.Clone(s.idleConns) {
		r.close(up.conn)
	}
}

// sweep closes what has been idle for nearly as long as its server would let it, clients that were to be closed once
// they had taken their answers, and those that hold a descriptor and say nothing, or nothing more.
func (r *Router) sweepConnections() {
	now := r.clock()
	for client := range r.clients {
		switch {
		case client.closeAfterReplies && client.mayClose():
			r.close(client.conn)
		case !client.closeAfterReplies && client.isSilent(now):
			client.closeWithError("nothing whole has come")
			if client.mayClose() && client.conn != nil {
				r.close(client.conn)
			}
		// Some ask once and keep the connection for good. Clients may hold only so many, and had none left for requests.
		case !client.closeAfterReplies && now-client.lastActivity >= r.limits.SilentClientTimeout && client.isQuiet() && client.unreadBytes() == 0 && !client.hasUnreadInput():
			r.close(client.conn)
		}
	}
	r.after(r.limits.IdleSweepInterval, r.sweepConnections)
	for _, s := range r.servers {
		for len(s.idleConns) > 0 && now-s.idleConns[0].idleSince >= r.limits.ServerIdleTimeout {
			r.close(s.idleConns[0].conn)
		}
	}
}

// used is what connections and dials hold, and what one more dial would.
func (r *Router) descriptorsInUse() int {
	return r.connCount + descriptorsPerDial*r.pendingDials + r.takeover.peerDescriptors[0] + r.takeover.peerDescriptors[1]
}

// roomToDial closes idle connections until there are descriptors for a dial. Servers get a part of them only, so that
// clients can always come in.
func (r *Router) makeRoomToDial() bool {
	for {
		withinServerLimit := r.serverConnCount+descriptorsPerDial*(r.pendingDials+1) <= r.limits.ServerConnections
		if withinServerLimit && r.descriptorsInUse()+descriptorsPerDial <= r.limits.Descriptors {
			return true
		}
		if !(withinServerLimit && r.shedConnection()) && !r.shedServerConnection() {
			return false
		}
	}
}

// roomForClient does the same for a client that has come in; false where it can't be kept.
func (r *Router) makeRoomForClient(client *client) bool {
	for r.descriptorsInUse() > r.limits.Descriptors {
		if !r.shedConnection() {
			break
		}
	}
	if !r.sharesDescriptors() && r.dialsBlocked() && r.hasOtherQuietClient(client) {
		return r.descriptorsInUse() <= r.limits.Descriptors-descriptorsPerDial
	}
	return r.descriptorsInUse() <= r.limits.MaxDescriptors
}

// handsOver: another process of this router lives, and clients go from one to the other with requests that were taken. What both
// hold counts against the descriptors then, so that dials may wait though nobody crowds in.
func (r *Router) sharesDescriptors() bool { return r.takeover.peerDescriptors != [2]int{} }

// dialsWait: attempts wait for a connection, not because servers have their part of the descriptors, but because there are none.
// Those that clients leave must then not go to the next client: of a crowd that came again at once it was each time younger than
// may be closed, and no attempt ever got one.
func (r *Router) dialsBlocked() bool {
	return len(r.dialQueue) > 0 && r.serverConnCount+descriptorsPerDial*(r.pendingDials+1) <= r.limits.ServerConnections
}

// anotherIsQuiet: a client can be closed, now or as soon as it has been quiet for long enough.
func (r *Router) hasOtherQuietClient(than *client) bool {
	for client := range r.clients {
		if client != than && client.isQuiet() {
			return true
		}
	}
	return false
}

// shed closes a client while they hold more than they need for requests, else an idle connection to a server. Hundreds that
// asked once and stayed, or never asked, took the descriptors of the servers' connections, and each attempt paid for
// a new one.
func (r *Router) shedConnection() bool {
	return len(r.clients) > r.limits.ClientConnections && r.shedClient(false) || r.shedServerConnection() || r.shedClient(false)
}

// shedServer closes the connection to a server that has been idle longest.
func (r *Router) shedServerConnection() bool {
	var oldest *upstream
	for _, s := range r.servers {
		if len(s.idleConns) > 0 && (oldest == nil || s.idleConns[0].idleSince < oldest.idleSince) {
			oldest = s.idleConns[0]
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
func (r *Router) shedClient(requestersOnly bool) bool {
	now := r.clock()
	var candidate *client
	for client := range r.clients {
		if client.isQuiet() && (client.hasSentRequest || !requestersOnly) && now-client.lastActivity >= r.limits.QuietClientAge && (candidate == nil || client.hasSentRequest == candidate.hasSentRequest && client.lastActivity < candidate.lastActivity ||
			!client.hasSentRequest && candidate.hasSentRequest) {
			candidate = client
		}
	}
	if candidate == nil {
		return false
	}
	if candidate.hasUnreadInput() {
		candidate.lastActivity = now
		return r.shedClient(requestersOnly)
	}
	r.counts.Shed++
	r.close(candidate.conn)
	return true
}

// listCame takes a list: who is named, and where.
func (r *Router) applyEndpoints(update routing.EndpointsUpdated) {
	r.counts.Lists++
	r.restoreListedServers(update)
	r.addEvent(update)
	named := map[routing.ServerID]bool{}
	for _, e := range update.Endpoints {
		named[e.Server] = e.State != routing.Removed
		s := r.servers[e.Server]
		if s == nil {
			s = &server{id: e.Server}
			r.servers[e.Server] = s
			uid := string(r.endpoints.UID(e.Server))
			r.setBanned(s, r.isBanned(uid), clock.Time(r.operator.state.UnbannedAt[uid])) // before anything is sent there
		}
		s.isOrigin = r.cfg.Settings.OriginKind != "" && e.Kind == r.cfg.Settings.OriginKind
		if s.protocol = r.cache; s.isOrigin {
			s.protocol = r.origin
		}
		if addr := r.endpoints.Address(e.Server); s.addr != addr {
			r.closeIdleConnections(s)
			s.addr = addr
		}
		s.listed = e.State == routing.Ready
		if s.ready = s.listed && !s.banned; !s.ready {
			r.stopUsing(s)
		}
		if s.ready && !r.hasUsableServer {
			r.hasUsableServer = true
			r.notifyServing(true)
		}
	}
	r.afterEndpointsUpdate(update)
	for id, s := range r.servers {
		if kept, mentioned := named[id]; mentioned && !kept || !mentioned && update.Kind != routing.IncrementalUpdate {
			delete(r.servers, id)
			s.ready, s.listed = false, false
			r.stopUsing(s)
		}
	}
}

// dismiss: a server wants nothing new. What waits for a connection to it has not been sent, and is decided anew.
func (r *Router) stopUsing(s *server) {
	r.closeIdleConnections(s)
	for len(s.waitingAttempts) > 0 {
		r.endAttempt(s.waitingAttempts[0], routing.NotSent, nil)
	}
}
