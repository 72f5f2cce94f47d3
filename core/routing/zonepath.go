package routing

import (
	"slices"

	"spurtrestle/core/clock"
)

const (
	// zoneBackoff is the time for which nothing is sent to an unreachable zone before a trial. It is as long as some usual
	// answers, since each trial costs a request. Up to half as much again is added at random.
	zoneBackoff = 300 * clock.Millisecond
	// unreachableAfter is the number of caches of a zone that must be silent in a row for the zone to be unreachable.
	unreachableAfter = 2
)

// zonePath is the state of the network path to the caches of one zone.
type zonePath struct {
	silentCaches int        // caches without a response in a row; repeats of the same cache count once
	lastSilent   *server    // the last of these caches
	backoffUntil clock.Time // no attempts are sent there until then; 0: no backoff
}

// recordPathOutcome updates the state of the path to the server's zone. If caches of a zone are silent in a row, with no response
// from any of them, the zone is unreachable; detecting that for each cache would cost a request each. A rejected connection is
// a response, since the machine was reached. A time-out without points is no evidence.
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

// backOffZone stores the path of a zone, with a backoff if enough of its caches were silent and there are other zones.
func (r *Router) backOffZone(zone Zone, path zonePath) {
	isOtherZone := func(cache *server) bool { return cache.Zone != zone }
	if path.silentCaches >= unreachableAfter && slices.ContainsFunc(r.endpoints.caches, isOtherZone) {
		path.backoffUntil = r.now + clock.Duration(float64(zoneBackoff)*(1+r.random.float()/2))
	}
	r.zonePaths[zone] = path
}

// extendZoneTrial renews the backoff of an unreachable zone when an attempt is sent there, so that it is the only trial.
func (r *Router) extendZoneTrial(server *server) {
	path := r.zonePaths[server.Zone]
	if path.backoffUntil > 0 && !server.isOrigin {
		r.backOffZone(server.Zone, path)
	}
}
