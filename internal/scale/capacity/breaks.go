package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"spurtrestle/internal/scale/result"
)

// ScalingLimit is a limit of the fleet, and the size at which the fleet reaches it.
type ScalingLimit struct {
	Description  string  `json:"what"`
	Limit        float64 `json:"limit"`
	Unit         Unit    `json:"unit"`
	Size         float64 `json:"size"` // routers; 0: not reached, or not known
	Basis        Basis   `json:"basis"`
	SizeRatio    float64 `json:"factor,omitempty"` // of Size to the largest size measured
	EarliestSize float64 `json:"early,omitempty"`  // smallest size by an alternative model; 0: no alternative reaches the limit earlier
	Source       string  `json:"from"`
}

// ScalingLimits holds the limits of one part of the fleet by ascending size; those that are not reached or not known come last.
type ScalingLimits struct {
	Name   string         `json:"name"`
	Limits []ScalingLimit `json:"all"`
}

func scalingLimits(t Target, e Measurements, costs CurrentCosts, ofLeader *LeaderModel) []ScalingLimits {
	flat := ScalingLimits{Name: "Flat membership, today's fleet", Limits: measuredLimits(t, e, result.Flat)}
	flat.Limits = append(flat.Limits, calculatedLimit("a full state is longer than a router takes, and is dropped whole", maxStateHeartbeats, Number, maxStateHeartbeats+1,
		"limit of `internal/gossip`: words of a state"))
	all := []ScalingLimits{
		flat,
		{Name: "Tiered membership", Limits: measuredLimits(t, e, result.Tiered)},
		{Name: "Policy, parts and purges as they are today", Limits: append(calculatedLimits(t, costs), leaderLimits(t, costs, ofLeader)...)},
	}
	for i := range all {
		slices.SortStableFunc(all[i].Limits, compareLimits)
	}
	return all
}

// compareLimits orders limits by size; those that are not reached or not known come last.
func compareLimits(a, b ScalingLimit) int {
	if (a.Size == 0) != (b.Size == 0) {
		return cmp.Compare(b.Size, a.Size)
	}
	return cmp.Compare(a.Size, b.Size)
}

// firstReached returns the limits that are reached first, over several parts of the fleet.
func firstReached(parts ...ScalingLimits) (all []ScalingLimit) {
	const maxListed = 8
	for _, part := range parts {
		for _, b := range part.Limits {
			if b.Size > 0 {
				all = append(all, b)
			}
		}
	}
	slices.SortStableFunc(all, compareLimits)
	return all[:min(maxListed, len(all))]
}

// measuredLimits returns the limits of a router without faults and of the time that a change takes.
func measuredLimits(t Target, e Measurements, topology result.Topology) []ScalingLimit {
	limits := []struct {
		what   string
		figure Metric
		limit  float64
	}{
		{"bytes of a router", MetricBytes, t.Budget.BytesPerSecond},
		{"bytes of the router with the most", MetricBusiestBytes, t.Budget.BytesPerSecond},
		{"processor time of a router", MetricCPU, t.Budget.CoreShare},
		{"memory of a router", MetricMemory, t.Budget.MemoryBytes},
		{"time of a change until all have it", MetricPropagation, t.Changes.Within.Seconds()},
	}
	var all []ScalingLimit
	for _, l := range limits {
		all = append(all, measuredLimit(e, SeriesKey{topology, result.NoFault, l.figure}, l.what, l.limit))
	}
	return all
}

// measuredLimit returns the size at which a measured metric reaches a limit. Without a fitted model it is the smallest size
// measured at which no seed is within the limit.
func measuredLimit(e Measurements, key SeriesKey, what string, limit float64) ScalingLimit {
	b := ScalingLimit{Description: what, Limit: limit, Unit: key.Metric.Unit(), Basis: NotMeasured}
	s := e.Find(key)
	if s == nil {
		b.Source = "no trial"
		return b
	}
	if s.Fit == nil {
		b.Source = fmt.Sprintf("`%s`: not fitted, %s", key, s.NotFittedReason)
		if size, over := s.minSizeOver(limit); over {
			b.Size, b.Basis = size, Measured
		}
		return b
	}
	b.Source = fmt.Sprintf("`%s`: %s", key, s.Fit.Model)
	size, reached := s.Fit.Crossing(limit)
	if early, ok := s.Fit.EarliestCrossing(limit); ok && (!reached || early < size) {
		b.EarliestSize = early
	}
	if !reached {
		b.Basis = Measured
		return b
	}
	b.Size, b.Basis, b.SizeRatio = size, Measured, size/s.Fit.Largest
	if b.SizeRatio > 1 {
		b.Basis = Extrapolated
	}
	return b
}

func calculatedLimit(what string, limit float64, unit Unit, size float64, from string) ScalingLimit {
	return ScalingLimit{Description: what, Limit: limit, Unit: unit, Size: size, Basis: Calculated, Source: from}
}

// calculatedLimits returns the limits that follow from constants of the code and from the target.
func calculatedLimits(t Target, costs CurrentCosts) []ScalingLimit {
	limit := t.Budget.BytesPerSecond
	anySize := func(value float64) float64 {
		if value > limit {
			return 1
		}
		return 0
	}
	// A pass of the leader waits for a majority of voters, here in other regions.
	pass := leaderInterval + 2*t.Assumptions.NetworkDelay.Seconds()

	return []ScalingLimit{
		calculatedLimit("renewals of a router, leader in its region", limit, BytesPerSecond, anySize(costs.SameRegion.Bytes), fmt.Sprintf("%s at any size", formatValue(costs.SameRegion.Bytes, BytesPerSecond))),
		calculatedLimit("renewals of a router, leader and majority in other regions", limit, BytesPerSecond, anySize(costs.CrossRegion.Bytes), fmt.Sprintf("%s at any size; delay assumed", formatValue(costs.CrossRegion.Bytes, BytesPerSecond))),
		calculatedLimit("purges, if every router hears each", limit, BytesPerSecond, anySize(t.Purges.PerSecond*t.Purges.Bytes),
			fmt.Sprintf("%s at any size; no mechanism is built", formatValue(t.Purges.PerSecond*t.Purges.Bytes, BytesPerSecond))),
		calculatedLimit("askings dropped by the leader just after an election, majority in other regions", maxQueuedRenewals, Number, maxQueuedRenewals*costs.RetryInterval/pass,
			fmt.Sprintf("more come in a pass of %s than wait; delay assumed", formatValue(pass, Seconds))),
		calculatedLimit("answers to recalls dropped at a router that begins", handoffQueueDepth, Number, handoffQueueDepth+2, "lending is by pairs: all other seats answer at once"),
		calculatedLimit("answers dropped at a router that lends", maxQueuedLeaseReplies, Number, maxQueuedLeaseReplies*leaseRetryInterval/gossipTick+1, "all other seats ask each half second, evenly spread"),
	}
}

// leaderLimits returns the limits of the policy leader on an ordinary day.
func leaderLimits(t Target, costs CurrentCosts, model *LeaderModel) []ScalingLimit {
	const sameRegion, crossRegion = "askings dropped by the leader on an ordinary day, all in one region", "askings dropped by the leader on an ordinary day, majority in other regions"
	if !model.Fitted() {
		unknown := ScalingLimit{Limit: maxQueuedRenewals, Unit: Number, Basis: NotMeasured, Source: "no trial of the leader"}
		first, second := unknown, unknown
		first.Description, second.Description = sameRegion, crossRegion
		return []ScalingLimit{first, second}
	}
	at := func(what string, renewalRate, confirmTime float64) ScalingLimit {
		b := ScalingLimit{Description: what, Limit: maxQueuedRenewals, Unit: Number, Size: model.minOverloadedSize(renewalRate, confirmTime), Basis: Calculated,
			Source: "counted with `leader/answer` and `leader/pass`, without sockets and raft; delay assumed"}
		if b.SizeRatio = b.Size / model.LargestSize; b.SizeRatio > 1 {
			b.Basis = Extrapolated
		}
		return b
	}
	return []ScalingLimit{at(sameRegion, costs.SameRegion.Renewals, sameRegionDelay.Seconds()), at(crossRegion, costs.CrossRegion.Renewals, 2*t.Assumptions.NetworkDelay.Seconds())}
}
