package routing

import (
	"cmp"
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// loadWindow is the window of the rates in RouterLoad. It smooths random variation of one router's requests of a rank, and shows
// a loss within a second.
const loadWindow = 1 * clock.Second

// RankRate is the rate of the requests of one rank.
type RankRate struct {
	Rank Rank
	Rate float64 // requests per second
}

// ZoneLoad is the state of the caches of a zone, as one router observes it.
type ZoneLoad struct {
	Zone        Zone
	Listed      int     // caches in the endpoint list that are not banned
	Unreachable int     // listed caches that are silent, or, until a trial has succeeded, ejected or behind a path in backoff
	AnswerRate  float64 // per second
}

// RouterLoad is the load of a router over about the last second, for its report to the fleet.
type RouterLoad struct {
	Offered            []RankRate // requests that arrived, the highest rank first
	EndedRate          float64    // requests per second that ended, without those shed by the fleet's orders
	UnansweredRate     float64    // requests per second of EndedRate that were rejected or failed
	EndedWeight        float64    // EndedRate, each request counted by its weight
	UnansweredWeight   float64    // UnansweredRate, each request counted by its weight
	Zones              []ZoneLoad // sorted by name
	OriginLatencyRatio float64    // the origin's latency over its goal; 0: not known
}

// loadCounters count requests and how they ended, for RouterLoad. No decision depends on them.
type loadCounters struct {
	offered          map[Rank]*decayingRate
	ended            decayingRate
	unanswered       decayingRate
	endedWeight      decayingRate
	unansweredWeight decayingRate
}

// countArrival counts a request of a rank.
func (l *loadCounters) countArrival(rank Rank, now clock.Time) {
	if l.offered == nil {
		l.offered = map[Rank]*decayingRate{}
	}
	rate := l.offered[rank]
	if rate == nil {
		rate = &decayingRate{}
		l.offered[rank] = rate
	}
	rate.add(now, loadWindow)
}

// countEnd counts a request that ends, once, as unanswered if the last decision rejected or failed it.
func (r *Router) countEnd(request *request) {
	if request.finished || request.shed {
		return
	}
	r.load.ended.add(r.now, loadWindow)
	r.load.endedWeight.addWeighted(request.weight, r.now, loadWindow)
	if r.justRejectedOrFailed(request) {
		r.load.unanswered.add(r.now, loadWindow)
		r.load.unansweredWeight.addWeighted(request.weight, r.now, loadWindow)
	}
}

func (r *Router) justRejectedOrFailed(request *request) bool {
	if len(r.decisions) == 0 {
		return false
	}
	last := r.decisions[len(r.decisions)-1]
	return last.Request == request.id && (last.Action == Reject || last.Action == Fail)
}

// Load returns the router's load at an instant. It changes no state except the decay of rates.
func (r *Router) Load(now clock.Time) RouterLoad {
	r.now = max(now, r.now)
	counters := &r.load
	load := RouterLoad{
		EndedRate:        counters.ended.at(r.now, loadWindow),
		UnansweredRate:   counters.unanswered.at(r.now, loadWindow),
		EndedWeight:      counters.endedWeight.at(r.now, loadWindow),
		UnansweredWeight: counters.unansweredWeight.at(r.now, loadWindow),
	}
	for _, rank := range slices.Sorted(maps.Keys(counters.offered)) {
		load.Offered = append(load.Offered, RankRate{rank, counters.offered[rank].at(r.now, loadWindow)})
	}
	slices.Reverse(load.Offered)
	load.Zones = r.zoneLoads()
	origin := r.origin.server
	if origin != nil && r.config.originLatencyGoal > 0 {
		goal := max(r.config.originLatencyGoal, origin.latency.fastest)
		load.OriginLatencyRatio = float64(origin.latency.recent) / float64(goal)
	}
	return load
}

// zoneLoads returns the loads of the zones, sorted by name.
func (r *Router) zoneLoads() []ZoneLoad {
	byZone := map[Zone]*ZoneLoad{}
	for _, server := range r.endpoints.all {
		if server.isOrigin || server.State == Removed || r.endpoints.banned[server.Server] {
			continue
		}
		zone := byZone[server.Zone]
		if zone == nil {
			zone = &ZoneLoad{Zone: server.Zone}
			byZone[server.Zone] = zone
		}
		zone.Listed++
		zone.AnswerRate += server.answerRate.at(r.now, answerWindow)
		pathBackedOff := r.zonePaths[server.Zone].backoffUntil > 0
		if pathBackedOff || server.ejectedUntil > 0 || r.isSilent(server) {
			zone.Unreachable++
		}
	}
	var zones []ZoneLoad
	for _, zone := range byZone {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}
