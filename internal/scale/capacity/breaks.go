package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"spurtrestle/internal/scale/result"
)

// Break is the size of a fleet at which a limit is reached.
type ScalingLimit struct {
	Description  string  `json:"what"`
	Limit        float64 `json:"limit"`
	Unit         Unit    `json:"unit"`
	Size         float64 `json:"size"` // routers; 0: at none up to the target, or it is not known
	Basis        Basis   `json:"basis"`
	SizeRatio    float64 `json:"factor,omitempty"` // size by the largest measured
	EarliestSize float64 `json:"early,omitempty"`  // size by a form that is not ruled out; 0: none reaches it earlier
	Source       string  `json:"from"`
}

// Breaks are those of one part of the fleet, the first to break first; what is not reached or not known stands last.
type ScalingLimits struct {
	Name   string         `json:"name"`
	Limits []ScalingLimit `json:"all"`
}

func scalingLimits(t Target, e Measurements, now CurrentCosts, ofLeader *LeaderModel) []ScalingLimits {
	flat := ScalingLimits{Name: "Flat membership, today's fleet", Limits: measuredLimits(t, e, result.Flat)}
	flat.Limits = append(flat.Limits, calculatedLimit("a full state is longer than a router takes, and is dropped whole", maxStateHeartbeats, Number, maxStateHeartbeats+1,
		"limit of `internal/gossip`: words of a state"))
	all := []ScalingLimits{
		flat,
		{Name: "Tiered membership", Limits: measuredLimits(t, e, result.Tiered)},
		{Name: "Policy, parts and purges as they are today", Limits: append(calculatedLimits(t, now), leaderLimits(t, now, ofLeader)...)},
	}
	for i := range all {
		slices.SortStableFunc(all[i].Limits, compareLimits)
	}
	return all
}

// earlier has what is not reached, or not known, last.
func compareLimits(a, b ScalingLimit) int {
	if (a.Size == 0) != (b.Size == 0) {
		return cmp.Compare(b.Size, a.Size)
	}
	return cmp.Compare(a.Size, b.Size)
}

// first are the first to break of several parts together, a few of them.
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

// measuredBreaks are those of a router at rest, and of what a change takes.
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

func calculatedLimits(t Target, now CurrentCosts) []ScalingLimit {
	limit := t.Budget.BytesPerSecond
	anySize := func(value float64) float64 {
		if value > limit {
			return 1
		}
		return 0
	}
	// A pass of the leader waits for a majority, here in other regions.
	pass := leaderInterval + 2*t.Assumptions.NetworkDelay.Seconds()

	return []ScalingLimit{
		calculatedLimit("renewals of a router, leader in its region", limit, BytesPerSecond, anySize(now.SameRegion.Bytes), fmt.Sprintf("%s at any size", formatValue(now.SameRegion.Bytes, BytesPerSecond))),
		calculatedLimit("renewals of a router, leader and majority in other regions", limit, BytesPerSecond, anySize(now.CrossRegion.Bytes), fmt.Sprintf("%s at any size; delay assumed", formatValue(now.CrossRegion.Bytes, BytesPerSecond))),
		calculatedLimit("purges, if every router hears each", limit, BytesPerSecond, anySize(t.Purges.PerSecond*t.Purges.Bytes),
			fmt.Sprintf("%s at any size; no mechanism is built", formatValue(t.Purges.PerSecond*t.Purges.Bytes, BytesPerSecond))),
		calculatedLimit("askings dropped by the leader just after an election, majority in other regions", maxQueuedRenewals, Number, maxQueuedRenewals*now.RetryInterval/pass,
			fmt.Sprintf("more come in a pass of %s than wait; delay assumed", formatValue(pass, Seconds))),
		calculatedLimit("answers to recalls dropped at a router that begins", handoffQueueDepth, Number, handoffQueueDepth+2, "lending is by pairs: all other seats answer at once"),
		calculatedLimit("answers dropped at a router that lends", maxQueuedLeaseReplies, Number, maxQueuedLeaseReplies*leaseRetryInterval/gossipTick+1, "all other seats ask each half second, evenly spread"),
	}
}

// leaderBreaks are those of the leader of the policy's keepers on an ordinary day.
func leaderLimits(t Target, now CurrentCosts, s *LeaderModel) []ScalingLimit {
	const near, far = "askings dropped by the leader on an ordinary day, all in one region", "askings dropped by the leader on an ordinary day, majority in other regions"
	if !s.Fitted() {
		none := ScalingLimit{Limit: maxQueuedRenewals, Unit: Number, Basis: NotMeasured, Source: "no trial of the leader"}
		first, second := none, none
		first.Description, second.Description = near, far
		return []ScalingLimit{first, second}
	}
	at := func(what string, askings, confirm float64) ScalingLimit {
		b := ScalingLimit{Description: what, Limit: maxQueuedRenewals, Unit: Number, Size: s.minOverloadedSize(askings, confirm), Basis: Calculated,
			Source: "counted with `leader/answer` and `leader/pass`, without sockets and raft; delay assumed"}
		if b.SizeRatio = b.Size / s.LargestSize; b.SizeRatio > 1 {
			b.Basis = Extrapolated
		}
		return b
	}
	return []ScalingLimit{at(near, now.SameRegion.Renewals, sameRegionDelay.Seconds()), at(far, now.CrossRegion.Renewals, 2*t.Assumptions.NetworkDelay.Seconds())}
}
