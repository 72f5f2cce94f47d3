package routing

import (
	"slices"

	"spurtrestle/core/clock"
)

const (
	// zoneBackoff is how long nothing is sent to an unreachable zone before a trial: some usual answers. Up to half as
	// much again is added at random. Each trial costs a request.
	zoneBackoff = 300 * clock.Millisecond
	// unreachableAfter is how many caches of a zone must be silent one after the other.
	unreachableAfter = 2
)

// zonePath is the record of the path to the caches of one zone.
type zonePath struct {
	silentCaches int        // without a response, one after the other; repeats of one cache count once
	lastSilent   *server    // the last of these caches
	backoffUntil clock.Time // nothing is sent there until then; 0: in use
}

// recordPathOutcome updates the record of the path to the server's zone. If caches of a zone are silent one after the other,
// with no response from any, the zone is unreachable; detecting that for each cache would cost a request each. A rejected
// connection is a response: the machine was reached. A time-out without points is no evidence.
func (r *Router) recordPathOutcome(server *server, status AttemptStatus, points int, took clock.Duration) {
	path := r.zonePaths[server.Zone]
	noEvidence := status == TimedOut && points == 0 || status == NotSent || status == Canceled
	connectRejected := status == ConnectError && took < r.config.connectTimeout/2
	responded := status != TimedOut && status != ConnectError || connectRejected
	switch {
	case server.isOrigin || noEvidence:
	case responded:
		delete(r.zonePaths, server.Zone)
	case path.lastSilent != server:
		path.silentCaches++
		path.lastSilent = server
		r.backOffZone(server.Zone, path)
	}
}

// backOffZone stores the path of a zone, with a backoff where enough of its caches were silent and there are other zones.
func (r *Router) backOffZone(zone Zone, path zonePath) {
	isOtherZone := func(cache *server) bool { return cache.Zone != zone }
	if path.silentCaches >= unreachableAfter && slices.ContainsFunc(r.endpoints.caches, isOtherZone) {
		path.backoffUntil = r.now + clock.Duration(float64(zoneBackoff)*(1+r.random.float()/2))
	}
	r.zonePaths[zone] = path
}

// extendZoneTrial renews the backoff of an unreachable zone when an attempt goes there: it is the only one until then.
func (r *Router) extendZoneTrial(server *server) {
	path := r.zonePaths[server.Zone]
	if path.backoffUntil > 0 && !server.isOrigin {
		r.backOffZone(server.Zone, path)
	}
}
