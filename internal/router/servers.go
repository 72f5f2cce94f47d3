package router

import (
	"errors"
	"net"
	"slices"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
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

// removeWaiting removes an attempt from those that wait for a connection, if it is one of them.
func (r *Router) removeWaiting(attempt *activeAttempt) {
	s := attempt.server
	if i := slices.Index(s.waitingAttempts, attempt); i >= 0 {
		s.waitingAttempts = slices.Delete(s.waitingAttempts, i, i+1)
		r.waitingAttempts--
	}
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
		if up.canCarry(attempt) {
			s.idleConns = slices.Delete(s.idleConns, i, i+1)
			up.send(attempt)
			return
		}
	}
	s.waitingAttempts = append(s.waitingAttempts, attempt)
	r.waitingAttempts++
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
	r.dialFunc(addr, newUpstream(r, s), func(err error) {
		r.counts.FailedDials++
		s.dialing--
		switch {
		case addr != s.addr: // the failure says nothing about the new address
			r.dialQueue = append(r.dialQueue, s)
		case isLocalDialError(err): // nor does it about the server: attempts that can still be sent are dialed for again
			r.counts.LocalDialErrors++
			r.after(dialRetryDelay, func() {
				r.dialQueue = append(r.dialQueue, s)
				r.dialForWaiting()
			})
		case len(s.waitingAttempts) > s.dialing:
			r.endAttempt(s.waitingAttempts[0], routing.ConnectError, nil)
		}
		r.dialForWaiting()
	})
}

// dialRetryDelay is the time until the next dial while this process can open no socket.
const dialRetryDelay = 20 * clock.Millisecond

// localDialErrors are errors of a dial that this machine causes, by lack of descriptors, memory or ports. A missing route is none
// of them: another server may have one.
var localDialErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE,
	unix.EAGAIN, unix.EINTR}

func isLocalDialError(err error) bool {
	return slices.ContainsFunc(localDialErrors, func(local error) bool { return errors.Is(err, local) })
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
			err = r.enrollAndWait(c, p)
		}
		if err != nil {
			r.runAsync(func() {
				r.pendingDials--
				failed(err)
			})
		}
	}()
}

// dropExpired removes attempts from the head of the queue that must not be sent any more, or not yet. After a
// pause of the process, connections come up before its timers fire.
func (s *server) dropExpired(r *Router, now clock.Time) {
	for len(s.waitingAttempts) > 0 {
		attempt := s.waitingAttempts[0]
		switch {
		case attempt.startDeadline <= now || attempt.request.finished: // another attempt was answered in this round
			r.abortAttempt(attempt, routing.NotSent)
		case r.clientGone(attempt.request):
			r.clientLeft(attempt.request)
		case r.clientMayBeGone(attempt.request):
			r.removeWaiting(attempt)
			r.recheckClientThenConnect(attempt)
		default:
			return
		}
	}
}

func (r *Router) closeIdleConnections(s *server) {
	for _, up := range slices.Clone(s.idleConns) {
		up.closeFor(counters.ServerNotInUse)
		r.closeConn(up.conn)
	}
}

// sweepConnections closes the connections of clients and servers that have been idle for too long, from time to time.
func (r *Router) sweepConnections() {
	now := r.clock()
	for client := range r.clients {
		client.sweep(now)
	}
	for client := range r.polledClients {
		client.sweepPaused(now)
	}
	r.after(r.limits.IdleSweepInterval, r.sweepConnections)
	for _, s := range r.servers {
		for len(s.idleConns) > 0 && now-s.idleConns[0].idleSince >= r.limits.ServerIdleTimeout {
			s.idleConns[0].closeFor(counters.IdleTimeout)
			r.closeConn(s.idleConns[0].conn)
		}
	}
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
	r.countServers()
}

// stopUsing closes the idle connections to a server and ends the attempts that wait for one. They have not been
// sent, so package routing decides on them again.
func (r *Router) stopUsing(s *server) {
	r.closeIdleConnections(s)
	for len(s.waitingAttempts) > 0 {
		r.endAttempt(s.waitingAttempts[0], routing.NotSent, nil)
	}
}
