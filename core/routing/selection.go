package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// slotCount is the number of slots into which keys are hashed. It is a prime, and gives each of 200 caches about eighty.
	slotCount = 16381
	// groupSize is the number of caches that may serve a key (GF of the design). The first is the owner of the key.
	groupSize = 3
	// rankingSalt makes the ranking of caches independent of other hashes. Changing it moves all keys.
	rankingSalt = 0xc20c576b48deae77
	// silentLatencies is the time without a response, in mean latencies, after which a cache with attempts in flight gets no
	// more of them.
	silentLatencies = 3
)

// selectCache selects the cache for a request: the owner of its key, or the replica drawn for a hot key; if that one cannot be
// used, the next of the group. It stores the choice in request.target and reports whether that cache has capacity now.
func (r *Router) selectCache(request *request) bool {
	request.target = nil
	load, confidence := r.keyLoad(request)
	isHot := load > hotKeyThreshold
	first := 0
	if isHot {
		if request.replica < 0 {
			r.drawReplica(request, load, confidence)
		}
		first = request.replica
	}
	group := r.groupOf(request.hash)
	for i := range group {
		server := group[(first+i)%len(group)]
		isOwner := i == 0 && !isHot
		if !r.mayReceive(request, server, isOwner) {
			continue
		}
		if r.hasCapacity(request, server) {
			request.target = server
			return true
		}
		if request.target == nil || r.expectedLatency(server) < r.expectedLatency(request.target) {
			request.target = server
		}
		if !isHot && r.shouldWaitAt(request, server) {
			return false
		}
	}
	return false
}

// mayReceive reports whether a cache may get a request, regardless of its capacity. It refills the budget of a warming cache.
func (r *Router) mayReceive(request *request, server *server, isOwner bool) bool {
	return !slices.Contains(request.failedServers, server) && r.isUsable(server) && recognizesRepeat(request, server) &&
		r.slowStartAllows(request, server, isOwner)
}

// shouldWaitAt reports whether a request waits for a full cache instead of going to another one. The other one would miss, so it
// gets the request only if the origin can serve the miss, or if the request would wait too long.
func (r *Router) shouldWaitAt(request *request, server *server) bool {
	wait := r.expectedLatency(server)
	inTime := r.now+wait <= usefulUntil(request)
	return inTime && !r.originCanServeMiss(wait > server.latency.recent)
}

// isUsable reports whether a server is ready, responding, reachable and not ejected. After its ejection it is usable for one
// attempt at a time until one succeeds.
func (r *Router) isUsable(server *server) bool {
	zoneUnreachable := !server.isOrigin && r.zonePaths[server.Zone].backoffUntil > r.now
	admitted := server.ejectedUntil == 0 || r.now >= server.ejectedUntil && server.inFlight == 0
	return server.State == Ready && !r.isSilent(server) && !zoneUnreachable && admitted
}

// isSilent reports whether a cache with attempts in flight has not responded for so long that it may hang.
func (r *Router) isSilent(server *server) bool {
	limit := silentLatencies * r.cacheLatency.mean
	return r.cacheLatency.mean > 0 && server.inFlight > 0 && !server.isOrigin && r.now-server.lastResponseAt > limit
}

// groupOf returns the group of a key by its hash: the caches that its slot ranks first. The ranking of a slot is computed when it
// is first needed after a change of the caches, since a router needs only some slots between two changes. The next call reuses
// the slice.
func (r *Router) groupOf(hash uint64) []*server {
	slot := uint32(hash % slotCount)
	indices, known := r.endpoints.groups[slot]
	if !known {
		weights := r.failover.FailoverWeights
		ownerUnaffected := len(weights) > 0 && r.zoneShare(r.ownerOf(slot).Zone) == 1
		if ownerUnaffected { // keys of other zones must not move
			weights = nil
		}
		indices = rankCaches(r.endpoints.caches, slot, weights)
		r.endpoints.groups[slot] = indices
	}
	r.endpoints.group = r.endpoints.group[:0]
	for _, index := range indices[:min(groupSize, len(r.endpoints.caches))] {
		r.endpoints.group = append(r.endpoints.group, r.endpoints.caches[index])
	}
	return r.endpoints.group
}

// rankCaches returns the indices of the caches that a slot ranks first, by weighted rendezvous hashing: each cache draws an
// arrival time for the slot, from an exponential distribution with its capacity as the rate, and the earliest are ranked first.
// Each cache thus owns slots in proportion to its capacity, and when a cache leaves, only its slots move.
func rankCaches(caches []*server, slot uint32, weights []ZoneShare) (indices [groupSize]uint32) {
	earliest := [groupSize]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for i, cache := range caches {
		draw := slotDraw(cache, slot)
		capacity := cache.capacity * shareOf(weights, cache.Zone)
		if (1-draw)/capacity >= earliest[groupSize-1] { // a lower bound of the arrival, without the logarithm
			continue
		}
		arrival := -math.Log(draw) / capacity
		for k := range earliest {
			if arrival < earliest[k] {
				copy(earliest[k+1:], earliest[k:])
				copy(indices[k+1:], indices[k:])
				earliest[k], indices[k] = arrival, uint32(i)
				break
			}
		}
	}
	return indices
}

// ownerOf returns the cache that a slot ranks first among all caches that may get requests and those of excluded zones.
func (r *Router) ownerOf(slot uint32) (owner *server) {
	earliest := math.Inf(1)
	for _, cache := range slices.Concat(r.endpoints.caches, r.endpoints.excluded) {
		arrival := -math.Log(slotDraw(cache, slot)) / cache.capacity
		if arrival < earliest {
			earliest, owner = arrival, cache
		}
	}
	return owner
}

// slotDraw returns a pseudo-random number from (0, 1] for a cache and a slot, the same at every router.
func slotDraw(cache *server, slot uint32) float64 {
	return float64(mixBits(uint64(cache.Server)<<32|uint64(slot)+rankingSalt)>>11+1) / (1 << 53)
}

// expectedLatency returns the expected time until an answer of a server, behind the requests queued ahead.
func (r *Router) expectedLatency(server *server) clock.Duration {
	if server.isEjected(r.now) {
		return server.ejectedUntil - r.now + server.latency.fastest
	}
	if server.isOrigin {
		return r.originExpectedLatency()
	}
	latency := server.latency.blend(r.cacheLatency).recent
	inFlight := max(1, fleetInFlight*r.fleetShare)
	return latency + clock.Duration(float64(latency)*float64(server.queuedAhead)/inFlight)
}
