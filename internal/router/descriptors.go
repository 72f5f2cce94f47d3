package router

import "spurtrestle/internal/counters"

// descriptorsInUse returns the number of descriptors held by connections, pending dials and the other processes of
// this router.
func (r *Router) descriptorsInUse() int {
	return r.connCount + descriptorsPerDial*r.pendingDials + descriptorsPerAdoption*len(r.takeover.adopting) + r.takeover.peerDescriptors[predecessorPeer] + r.takeover.peerDescriptors[successorPeer]
}

// descriptorsPerAdoption is what an adopted connection holds until it has reached the loop: its own descriptor, and the
// duplicate that gnet makes.
const descriptorsPerAdoption = 2

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
		if client != other && !client.owesAnswer() {
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
	oldest.closeFor(counters.EvictedIdle)
	r.closeConn(oldest.conn)
	return true
}

// shedClient closes the client that has been quiet longest, preferring those that make less use of their connection;
// requestersOnly leaves out those that never sent a request, and those that have used their connection again lately. A new client is
// spared: its first request is on its way and would be lost.
func (r *Router) shedClient(requestersOnly bool) bool {
	now := r.clock()
	var candidate *client
	for client := range r.clients {
		minIdle := r.limits.IdleClientEvictionAge
		if requestersOnly && client.connUse() == connReused {
			minIdle = max(minIdle, r.limits.ClientIdleTimeout/reusedIdleDivisor)
		}
		if client.owesAnswer() || requestersOnly && client.connUse() == connUnused || now-client.lastActivity < minIdle {
			continue
		}
		if candidate == nil || client.isShedBefore(candidate) {
			candidate = client
		}
	}
	if candidate == nil {
		return false
	}
	if !candidate.closeUnlessOwed(counters.ClientEvicted) {
		candidate.lastActivity = now
		return r.shedClient(requestersOnly)
	}
	r.counts.EvictedConnections++
	return true
}

// reusedIdleDivisor gives the part of the idle timeout after which a client that has used its connection again counts as having
// done with it.
const reusedIdleDivisor = 2

// connUse says how much use a client makes of its connection.
type connUse uint8

const (
	connUnused  connUse = iota // it has sent no request
	connOneShot                // it has sent one
	connReused
)

func (c *client) connUse() connUse {
	switch {
	case c.hasReusedConn:
		return connReused
	case c.hasSentRequest:
		return connOneShot
	}
	return connUnused
}

// isShedBefore reports whether the client is closed before another one.
func (c *client) isShedBefore(other *client) bool {
	if c.connUse() != other.connUse() {
		return c.connUse() < other.connUse()
	}
	return c.lastActivity < other.lastActivity
}
