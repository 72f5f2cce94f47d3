package router

import (
	"spurtrestle/core/queuelimit"
)

// A client that has sent more than it has answers for is limited: its next request waits for room in the queues. Otherwise it
// would take the servers from the clients that send one request at a time. The first one on its connection waits as a pending
// request, see waiting_requests.go, and those behind it unread.

// limitTarget is the kind of server that requests go to first.
type limitTarget uint8

const (
	cacheTarget limitTarget = iota
	originTarget
	limitTargetCount
)

// targetLimit bounds the pending requests of limited clients to one kind of server.
type targetLimit struct {
	queuelimit.Limit
	pending int
}

func (r *Router) initQueueLimits() {
	for i := range r.queueLimits {
		r.queueLimits[i].Limit = queuelimit.New()
	}
}

// countServers sets the numbers of servers in use.
func (r *Router) countServers() {
	caches := 0
	for _, s := range r.servers {
		if s.ready && !s.isOrigin {
			caches++
		}
	}
	r.queueLimits[cacheTarget].SetServers(caches)
}

// targetOf returns where a request goes first.
func (r *Router) targetOf(isWrite bool) limitTarget {
	if isWrite && r.cfg.Settings.CacheAside {
		return originTarget
	}
	return cacheTarget
}

// queueRoom returns how many requests of limited clients may begin.
func (r *Router) queueRoom(target limitTarget) int {
	limit := &r.queueLimits[target]
	return limit.Room(r.unbatchedRequests+r.core.QueuedRequests()+r.waitingAttempts, limit.pending)
}

// isLimited reports whether the client has sent more than it has answers for.
func (c *client) isLimited() bool {
	return !c.rejectsRequests() && (c.backlogged || c.hasInputBehind || !c.hasNoPendingReplies())
}

// waitsForRoom reports whether a command is a request that has to wait unread, behind others of its client.
func (c *client) waitsForRoom(words [][]byte) bool {
	if len(words) == 0 || c.hasNoPendingReplies() || !c.isLimited() {
		return false
	}
	isWrite := isVerb(words[0], "CACHE.SET")
	if !isWrite && !isVerb(words[0], "CACHE.GET") {
		return false
	}
	c.nextTarget = c.r.targetOf(isWrite)
	return c.r.queueRoom(c.nextTarget) == 0
}

// mayBeginNext reports whether there is room for the next command of the client.
func (c *client) mayBeginNext() bool {
	return c.mayBegin() && (!c.isLimited() || c.r.queueRoom(c.nextTarget) > 0)
}

// limit counts a request of a limited client as pending, until endLimit.
func (r *Router) limit(request *pendingRequest) {
	request.isLimited = true
	r.queueLimits[r.targetOf(request.Write)].pending++
}

// endLimit no longer counts a request that ends as pending.
func (r *Router) endLimit(request *pendingRequest) {
	if request.isLimited {
		request.isLimited = false
		r.queueLimits[r.targetOf(request.Write)].pending--
	}
}

// limitedRequests returns how many requests of limited clients are pending.
func (r *Router) limitedRequests() (count int) {
	for i := range r.queueLimits {
		count += r.queueLimits[i].pending
	}
	return count
}

// observeResponse adjusts the limit to an answer to the first attempt of a request, at the kind of server where it was due.
func (r *Router) observeResponse(attempt *activeAttempt) {
	target := r.targetOf(attempt.request.Write)
	if attempt.number > 0 || attempt.server.isOrigin != (target == originTarget) {
		return
	}
	now := r.clock()
	limit := &r.queueLimits[target]
	limit.Observe(now, now-attempt.request.admittedAt, limit.pending)
}
