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

// server is a cache server or the origin, with the connections to it.
//
// A connection carries one attempt at a time. The settings allow pipelining, but answers come in order and an
// attempt is canceled by closing its connection: a slow attempt would delay those behind it, and a canceled one
// would reset them.
type server struct {
	id              routing.ServerID
	addr            string
	protocol        wire.ServerCodec
	ready           bool // listed and not banned: idle connections are worth keeping
	listed          bool // in the endpoint list, and not draining
	banned          bool // taken out of use by an operator or the fleet's policy
	isOrigin        bool
	idleConns       []*upstream      // the most recently used is last
	waitingAttempts []*activeAttempt // attempts that wait for a connection
	dialing         int
}

// upstream is a connection to a server.
type upstream struct {
	r          *Router
	server     *server
	addr       string // address it was dialed to; the server's may have changed since
	conn       gnet.Conn
	attempt    *activeAttempt // nil: idle
	idleSince  clock.Time     // when it became idle
	writing    bool           // gnet may close the connection within a write
	detached   bool           // off the loop while a large value is streamed
	hasCarried bool           // has carried an attempt
}

func (s *server) removeWaiting(attempt *activeAttempt) {
	s.waitingAttempts = slices.DeleteFunc(s.waitingAttempts, func(other *activeAttempt) bool { return other == attempt })
}

// connectAttempt assigns an idle connection to an attempt, or queues it for the next one that is free.
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

const descriptorsPerDial = 2 // gnet duplicates the descriptor and then closes the first one

// dialForWaiting dials for waiting attempts as long as there are descriptors; the others wait for a connection
// that becomes free.
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

// dialServer opens a connection off the loop, since gnet's Register has no time limit.
func (r *Router) dialServer(s *server) {
	s.dialing++
	r.pendingDials++
	r.counts.Dials++
	addr := s.addr
	r.dialFunc(addr, &upstream{r: r, server: s, addr: addr}, func(error) {
		r.counts.FailedDials++
		s.dialing--
		if addr != s.addr { // the failure says nothing about the new address
			r.dialQueue = append(r.dialQueue, s)
		} else if len(s.waitingAttempts) > s.dialing {
			r.endAttempt(s.waitingAttempts[0], routing.ConnectError, nil)
		}
		r.dialForWaiting()
	})
}

// dialAsync connects to an address and enrolls the connection with handler p; failed runs on the loop.
func (r *Router) dialAsync(addr string, p connHandler, failed func(error)) {
	timeout := r.limits.ConnectTimeout
	// A server may take long to accept; discovery may not, since the next call waits for this dial.
	if _, isWatch := p.(*watch); isWatch {
		timeout = min(timeout, r.limits.WatchGrace)
	}
	go func() {
		c, err := net.DialTimeout("tcp", addr, toDuration(timeout))
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
		up.r.connCount-- // it stayed counted while it was off the loop
		up.release()
		return
	}
	up.r.serverConnCount++
	up.server.dialing--
	up.r.pendingDials--
	up.release()
}

// release assigns the connection to the first waiting attempt, or keeps it idle. A connection to an address the
// server has left is closed: if it was busy or still being dialed during the address change, it used to carry
// requests to whichever server is there now.
func (up *upstream) release() {
	s := up.server
	if up.addr != s.addr {
		up.r.dialQueue = append(up.r.dialQueue, s)
		up.r.closeConn(up.conn)
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
		up.r.closeConn(up.conn)
		return
	}
	s.idleConns = append(s.idleConns, up)
	if len(s.waitingAttempts) > 0 {
		up.r.dialQueue = append(up.r.dialQueue, s)
		up.r.dialForWaiting()
	}
}

// dropExpired removes attempts from the head of the queue that must not be sent any more, or not yet. After a
// pause of the process, connections come up before its timers fire.
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

// mayReuse reports whether the connection can carry another attempt now. A server that answers twice does so some
// milliseconds late, and answers carry no request id. If that happened recently, a used connection rests for that
// long, so that a duplicate answer cannot be taken for that of the next request.
func (up *upstream) mayReuse() bool {
	now := up.r.clock()
	return now >= up.r.duplicateGuardUntil || !up.hasCarried || now-up.idleSince >= up.r.limits.ReuseDelay
}

// isOpen reports whether the server has neither closed the connection nor sent anything that the loop has yet to
// read. An attempt written to a closed connection may have run for all the router knows, so this is checked where
// that would forbid a retry; in the other cases the loop notices in time, or the attempt is retried.
func (up *upstream) isOpen(attempt *activeAttempt) bool {
	if up.r.cfg.Settings.Methods[attempt.request.method].Idempotency == routing.Idempotent || !up.hasCarried {
		return true
	}
	var one [1]byte
	_, _, err := unix.Recvfrom(up.conn.Fd(), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != nil && err != unix.ECONNRESET
}

// noteUnsolicited records that a server has sent data that belongs to no attempt.
func (r *Router) noteUnsolicited() {
	r.duplicateGuardUntil = r.clock() + r.limits.DuplicateResponseWindow
}

func (up *upstream) send(attempt *activeAttempt) {
	up.attempt, attempt.conn, up.hasCarried = attempt, up, true
	if attempt.request.largeWrite != nil {
		attempt.request.largeWrite.scheduleSend(attempt)
		return
	}
	wireAttempt := wire.NewAttempt(&attempt.request.Request, up.server.addr, attempt.remaining(up.r.clock()))
	up.r.writeBuffer = up.server.protocol.AppendAttempt(up.r.writeBuffer[:0], wireAttempt)
	up.writing = true
	_, err := up.conn.Write(up.r.writeBuffer)
	up.writing = false
	if err != nil { // gnet has closed the connection and called onClose
		return
	}
	up.noteSent()
}

// noteSent counts an attempt once its last byte has been handed to the kernel.
func (up *upstream) noteSent() {
	if attempt := up.attempt; attempt != nil && !attempt.fullySent && !up.writing && up.conn.OutboundBuffered() == 0 {
		attempt.fullySent = true
		up.r.counts.ForwardedAttempts++
	}
}

// onTraffic reads an answer. Data that arrives without an attempt, or after the answer, belongs to no request.
func (up *upstream) onTraffic() gnet.Action {
	attempt := up.attempt
	if attempt == nil {
		up.r.counts.AbortedConnections++
		up.r.noteUnsolicited()
		return gnet.Close
	}
	buf, err := up.conn.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	outcome, used, keep, err := up.server.protocol.ReadAnswer(buf, false)
	if err != nil && up.startLargeRead(buf) {
		return gnet.Close
	}
	if err != nil {
		// The server responded, so the connection did not fail, but its answer is malformed: the request may have
		// run.
		up.r.counts.AbortedConnections++
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
	_, _ = up.conn.Discard(used) // bytes that Peek has just returned
	up.release()
	return gnet.None
}

// onClose ends the attempt on a closed connection. An attempt whose last byte has not been sent has never run; any
// other may have run. gnet still writes out its buffer after this callback; so that an aborted attempt cannot
// reach the server that way, the socket is shut down first.
//
// An answer without a length lasts until the end of the stream. A reset is no such end: the rest of the value is
// missing, and the client would get a truncated value as a complete one.
func (up *upstream) onClose(endOfStream bool) {
	s := up.server
	up.r.serverConnCount--
	if up.conn.OutboundBuffered() > 0 {
		_ = unix.Shutdown(up.conn.Fd(), unix.SHUT_RDWR) // fails if the peer has already closed it
	}
	s.idleConns = slices.DeleteFunc(s.idleConns, func(x *upstream) bool { return x == up })
	attempt := up.attempt
	if attempt == nil {
		return
	}
	status := routing.Reset
	if up.writing || up.conn.OutboundBuffered() > 0 || attempt.request.largeWrite != nil { // the body of a large write has not started
		status = routing.ConnectError
	} else if buf, _ := up.conn.Peek(-1); endOfStream && len(buf) > 0 {
		if outcome, used, _, err := up.server.protocol.ReadAnswer(buf, true); err == nil && used > 0 {
			up.r.handleOutcome(attempt, outcome)
			return
		}
	}
	up.r.endAttempt(attempt, status, nil)
}

func (r *Router) closeIdleConnections(s *server) {
	for _, up := range slices.Clone(s.idleConns) {
		r.closeConn(up.conn)
	}
}

// sweepConnections closes server connections that have been idle for almost as long as their server allows,
// clients that were to be closed after their replies, and clients that hold a descriptor without sending anything,
// or anything complete.
func (r *Router) sweepConnections() {
	now := r.clock()
	for client := range r.clients {
		switch {
		case client.closeAfterReplies && client.mayClose():
			r.closeConn(client.conn)
		case !client.closeAfterReplies && client.isSilent(now):
			client.closeWithError("nothing whole has come")
			if client.mayClose() && client.conn != nil {
				r.closeConn(client.conn)
			}
		// Some clients send one request and keep the connection. Clients can hold a limited number of connections,
		// and would have none left for requests.
		case !client.closeAfterReplies && now-client.lastActivity >= r.limits.ClientIdleTimeout && client.isQuiet() &&
			client.unreadBytes() == 0 && !client.hasUnreadInput():
			r.closeConn(client.conn)
		}
	}
	r.after(r.limits.IdleSweepInterval, r.sweepConnections)
	for _, s := range r.servers {
		for len(s.idleConns) > 0 && now-s.idleConns[0].idleSince >= r.limits.ServerIdleTimeout {
			r.closeConn(s.idleConns[0].conn)
		}
	}
}

// descriptorsInUse returns the number of descriptors held by connections, pending dials and the other processes of
// this router.
func (r *Router) descriptorsInUse() int {
	return r.connCount + descriptorsPerDial*r.pendingDials + r.takeover.peerDescriptors[predecessorPeer] + r.takeover.peerDescriptors[successorPeer]
}

// makeRoomToDial closes idle connections until there are descriptors for a dial. Servers get only part of the
// descriptors, so that clients can always connect.
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

// makeRoomForClient does the same for a new client; it reports false if the client cannot be kept.
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

// sharesDescriptors reports whether another process of this router is alive. Clients with admitted requests move
// between the processes, and the descriptors of both count, so that dials may wait even though there are not too
// many clients.
func (r *Router) sharesDescriptors() bool { return r.takeover.peerDescriptors != [2]int{} }

// dialsBlocked reports whether attempts wait for a connection for lack of descriptors, and not because servers
// have used up their own limit. Descriptors freed by clients must not go to new clients then: when many clients
// reconnected at once, each was too young to be closed, and no attempt ever got a connection.
func (r *Router) dialsBlocked() bool {
	return len(r.dialQueue) > 0 && r.serverConnCount+descriptorsPerDial*(r.pendingDials+1) <= r.limits.ServerConnections
}

// hasOtherQuietClient reports whether another client can be closed, now or once it has been quiet for long enough.
func (r *Router) hasOtherQuietClient(other *client) bool {
	for client := range r.clients {
		if client != other && client.isQuiet() {
			return true
		}
	}
	return false
}

// shedConnection closes a client if they hold more connections than they need for requests, and otherwise an idle
// server connection. Hundreds of clients that sent one request or none used to take the descriptors of server
// connections, so that each attempt had to open a new one.
func (r *Router) shedConnection() bool {
	return len(r.clients) > r.limits.ClientConnections && r.shedClient(false) || r.shedServerConnection() || r.shedClient(false)
}

// shedServerConnection closes the server connection that has been idle longest.
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
	r.counts.EvictedConnections++
	r.closeConn(oldest.conn)
	return true
}

// shedClient closes the client that has been quiet longest, preferring those that never sent a request;
// requestersOnly leaves these out. A new client is spared: its first request is on its way and would be lost.
func (r *Router) shedClient(requestersOnly bool) bool {
	now := r.clock()
	var candidate *client
	for client := range r.clients {
		if client.isQuiet() && (client.hasSentRequest || !requestersOnly) && now-client.lastActivity >= r.limits.IdleClientEvictionAge &&
			(candidate == nil || client.hasSentRequest == candidate.hasSentRequest && client.lastActivity < candidate.lastActivity ||
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
	r.counts.EvictedConnections++
	r.closeConn(candidate.conn)
	return true
}

// applyEndpoints applies an endpoint list or an update of it: which servers there are, and at which addresses.
func (r *Router) applyEndpoints(update routing.EndpointsUpdated) {
	r.counts.ServerLists++
	r.restoreListedServers(update)
	r.addEvent(update)
	kept := map[routing.ServerID]bool{}
	for _, endpoint := range update.Endpoints {
		kept[endpoint.Server] = endpoint.State != routing.Removed
		s := r.servers[endpoint.Server]
		if s == nil {
			s = &server{id: endpoint.Server}
			r.servers[endpoint.Server] = s
			uid := string(r.endpoints.UID(endpoint.Server))
			r.setBanned(s, r.isBanned(uid), clock.Time(r.operator.state.UnbannedAt[uid])) // before anything is sent to it
		}
		s.isOrigin = r.cfg.Settings.OriginKind != "" && endpoint.Kind == r.cfg.Settings.OriginKind
		if s.protocol = r.cacheCodec; s.isOrigin {
			s.protocol = r.originCodec
		}
		if addr := r.endpoints.Address(endpoint.Server); s.addr != addr {
			r.closeIdleConnections(s)
			s.addr = addr
		}
		s.listed = endpoint.State == routing.Ready
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
		if keep, mentioned := kept[id]; mentioned && !keep || !mentioned && update.Kind != routing.IncrementalUpdate {
			delete(r.servers, id)
			s.ready, s.listed = false, false
			r.stopUsing(s)
		}
	}
}

// stopUsing closes the idle connections to a server and ends the attempts that wait for one. They have not been
// sent, so package routing decides on them again.
func (r *Router) stopUsing(s *server) {
	r.closeIdleConnections(s)
	for len(s.waitingAttempts) > 0 {
		r.endAttempt(s.waitingAttempts[0], routing.NotSent, nil)
	}
}
