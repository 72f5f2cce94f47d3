package sitefailover

import (
	"slices"

	"spurtrestle/core/clock"
)

// shedThreshold returns the rank that fits a target only in part, and the fraction of the requests of that rank that fits.
// Higher ranks fit completely. offered has the highest rank first. If everything fits the result is rank 0, which no request has.
func shedThreshold(offered []OfferedLoad, target float64) (minRank Rank, fraction float64) {
	remaining := target
	for _, load := range offered {
		if load.Rate > remaining {
			return load.Rank, max(0, remaining) / load.Rate
		}
		remaining -= load.Rate
	}
	return 0, 1
}

// availableCapacity is the capacity of one site in its current state.
type availableCapacity struct {
	site     Site
	servers  float64 // responding, scaled by the site's key share
	capacity float64 // of these servers, answers per second
}

// totalCapacity returns the answers per second that all sites together can give, and the site that limits this rate. Keys are
// distributed evenly over the servers, so the first site that reaches its capacity limits the fleet.
func totalCapacity(sites []availableCapacity) (capacity float64, limitingSite Site) {
	servers := 0.0
	for _, site := range sites {
		servers += site.servers
	}
	for _, site := range sites {
		if site.servers <= 0 || site.capacity <= 0 {
			continue
		}
		fleetCapacity := site.capacity * servers / site.servers
		if limitingSite == "" || fleetCapacity < capacity {
			capacity, limitingSite = fleetCapacity, site.site
		}
	}
	return capacity, limitingSite
}

// assignDisplaced distributes displaced servers to the sites that serve their keys instead, by failover weights.
func assignDisplaced(sites []availableCapacity, displacedServers float64, weights []SiteShare) {
	weighted := make([]float64, len(sites))
	totalWeighted := 0.0
	for i, site := range sites {
		weighted[i] = site.servers
		for _, weight := range weights {
			if weight.Site == site.site {
				weighted[i] *= weight.Fraction
			}
		}
		totalWeighted += weighted[i]
	}
	if totalWeighted <= 0 {
		return
	}
	for i := range sites {
		sites[i].servers += displacedServers * weighted[i] / totalWeighted
	}
}

const (
	// throttleInterval is the time between two updates of the target, long enough for each router to answer requests and report.
	throttleInterval = 250 * clock.Millisecond

	// If the failed fraction of the admitted priority weight is below lowFailedFraction the target is raised, and above
	// highFailedFraction it is lowered. Priority weight is used instead of the number of requests because the most critical
	// requests have the tightest deadlines and fail first in a queue.
	lowFailedFraction  = 0.01
	highFailedFraction = 0.03

	// The factors by which one update changes the target.
	decreaseFactor        = 0.97
	increaseFactor        = 1.04
	healthyIncreaseFactor = 1.06 // while no site is degraded

	// The limits of the target as a multiple of the capacity: a planned capacity is for the usual mix of requests, and does not
	// include the requests that the origin answers.
	minTargetRatio = 0.5
	maxTargetRatio = 1.5

	// answeredWindow is how long an answered rate remains a lower bound of the target: failures are still reported up to a second
	// after the target has been lowered.
	answeredWindow = 2 * clock.Second
	// releaseDelay is how long all offered requests must fit the target before the throttle is switched off.
	releaseDelay = 2 * clock.Second
	// capacityTolerance is the relative change of the capacity that invalidates the answered rates.
	capacityTolerance = 0.05
	// changeGracePeriod is the time after a change of the capacity in which failures do not lower the target: requests in flight
	// at a lost site fail regardless of the target.
	changeGracePeriod = 1500 * clock.Millisecond
)

// throttle is the admission control of the fleet: while a site is degraded it limits the rate of admitted requests to a target.
// The target starts at the capacity of the sites and is adjusted by the failures of admitted requests.
type throttle struct {
	target            float64 // admitted requests per second; 0: the throttle is off
	capacity          float64 // at the last change of the capacity
	capacityChangedAt clock.Time
	answered          []answeredRate // since the capacity changed, within answeredWindow
	measuredRatio     float64        // highest answered rate while the throttle was off, as a multiple of the capacity
	unneededSince     clock.Time     // since when the throttle has not been needed; 0: it is needed
	updatedAt         clock.Time
}

type answeredRate struct {
	at   clock.Time
	rate float64
}

// update adjusts the target to the traffic of the fleet, the capacity of its sites, and whether any site is degraded.
func (t *throttle) update(now clock.Time, fleet traffic, capacity float64, anyDegraded bool) {
	if now-t.updatedAt < throttleInterval {
		return
	}
	t.updatedAt = now
	if capacity <= 0 {
		capacity = fleet.answeredRate() // neither planned nor measured
	}
	if capacity <= 0 || t.target == 0 && !anyDegraded {
		ratio := fleet.answeredRate() / max(1, capacity)
		*t = throttle{updatedAt: now, measuredRatio: min(max(t.measuredRatio, ratio), maxTargetRatio)}
		return
	}
	t.followCapacity(now, capacity)
	highestAnswered := t.recordAnswered(now, fleet.answeredRate())
	t.adjustTarget(now, fleet.failedFraction, highestAnswered, anyDegraded)
	t.target = min(max(t.target, minTargetRatio*capacity), maxTargetRatio*capacity)
	t.releaseWhenUnneeded(now, anyDegraded || fleet.offeredRate() > t.target)
}

// followCapacity initializes the target with the capacity, and moves it by changes of the capacity.
func (t *throttle) followCapacity(now clock.Time, capacity float64) {
	if t.target == 0 {
		t.target, t.capacity, t.capacityChangedAt = capacity*max(1, t.measuredRatio), capacity, now
	}
	if t.capacity == 0 { // a new leader has taken over the target of its predecessor
		t.capacity, t.capacityChangedAt = capacity, now
	}
	changed := capacity < t.capacity*(1-capacityTolerance) || capacity > t.capacity*(1+capacityTolerance)
	if changed {
		// The difference between target and capacity is kept: it is mostly the requests that the origin answers.
		t.target += capacity - t.capacity
		t.answered, t.capacity, t.capacityChangedAt = nil, capacity, now
	}
}

// recordAnswered adds an answered rate and returns the highest earlier one in the window.
func (t *throttle) recordAnswered(now clock.Time, rate float64) (highest float64) {
	t.answered = slices.DeleteFunc(t.answered, func(a answeredRate) bool { return now-a.at > answeredWindow })
	for _, answered := range t.answered {
		highest = max(highest, answered.rate)
	}
	t.answered = append(t.answered, answeredRate{at: now, rate: rate})
	return highest
}

// adjustTarget lowers the target if too many admitted requests fail, but not below the highest recently answered rate, and raises
// the target if few fail.
func (t *throttle) adjustTarget(now clock.Time, failedFraction, highestAnswered float64, anyDegraded bool) {
	switch {
	case failedFraction > highFailedFraction && now-t.capacityChangedAt < changeGracePeriod:
		// The failures are requests that were in flight at the change: the target stays.
	case failedFraction > highFailedFraction:
		t.target = max(t.target*decreaseFactor, min(highestAnswered, t.target))
	case failedFraction >= lowFailedFraction:
		// Acceptable: the target stays.
	case anyDegraded:
		t.target *= increaseFactor
	default:
		t.target *= healthyIncreaseFactor
	}
}

// releaseWhenUnneeded turns the throttle off once it has not been needed for releaseDelay.
func (t *throttle) releaseWhenUnneeded(now clock.Time, isNeeded bool) {
	t.unneededSince = conditionStart(now, t.unneededSince, !isNeeded)
	if hasLasted(now, t.unneededSince, releaseDelay) {
		t.target, t.unneededSince = 0, 0
	}
}
