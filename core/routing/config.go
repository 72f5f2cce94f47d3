package routing

import (
	"cmp"
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// baseHedgeDelay is the delay of a hedged request, in mean latencies of the caches, where wasted work and zone crossings
	// cost nothing.
	baseHedgeDelay = 0.7
	// hedgeDelayPerCost is added to it for each unit of the cost of wasted work and zone crossings.
	hedgeDelayPerCost = 18
	// lowestWaitRatio is the fraction of the allowed wait at a cache that requests of the lowest weight may use.
	lowestWaitRatio = 0.2
	// warmUpSafety is the fraction of the overload multiple that warming caches may receive: the work per request and the
	// distribution of keys vary.
	warmUpSafety = 0.6
	// smallestCost replaces costs and weights of zero in divisors.
	smallestCost = 1e-9
)

// config holds the values derived from the settings.
type config struct {
	// Fixed for the process.
	cacheAside         bool
	weightsAreCapacity bool
	originKind         Kind
	reportFields       []Figure
	pollEndpoints      bool
	clockGranularity   clock.Duration
	connectTimeout     clock.Duration // 0: not known
	cancelAllowed      bool
	hedgingAllowed     bool
	hedgeDelay         float64 // in mean latencies of the caches
	// idleKeepRatio is the rate of attempts at a server, as a multiple of the mean rate, from which on its idle connections
	// stay open.
	idleKeepRatio float64

	// Replaced by applySettings.
	methods              []method
	maxAttempts          Attempt
	maxRetryAfter        clock.Duration // 0: rejections carry no retry-after
	overShareWeight      float64
	lowPriorityWaitRatio float64 // fraction of the allowed wait that a request of weight 0 may use
	originLatencyGoal    clock.Duration
	warmUpShare          float64
	warmUpDuration       clock.Duration
	overloadWindow       clock.Duration
	// warmUpMultiple is the load that all routers together may send a warming cache, as a multiple of its present capacity.
	warmUpMultiple float64
}

// method holds the values derived from the settings of one method, and the latency measured for it.
type method struct {
	idempotency        Idempotency
	scope              DeduplicationScope
	window             clock.Duration
	latencyObjective   clock.Duration
	strictestObjective clock.Duration // the shortest objective of the methods of at least its criticality
	weight             float64        // criticality divided by the highest criticality of all methods
	lateAnswerCounts   bool
	latency            clock.Duration // measured: the smoothed latency of a cache's answer; kept when settings change
}

// newConfig derives the values that are fixed for the process. applySettings sets the others.
func newConfig(settings Settings) config {
	c := config{
		cacheAside:         settings.CacheAside,
		weightsAreCapacity: settings.WeightsAreCapacity,
		originKind:         settings.OriginKind,
		reportFields:       settings.ReportFields,
		pollEndpoints:      settings.PollEndpoints,
		clockGranularity:   max(settings.ClockGranularity, 1),
		connectTimeout:     settings.ConnectTimeout,
		cancelAllowed:      settings.CancelAllowed,
		hedgingAllowed:     settings.HedgingAllowed && settings.CancelAllowed,
		methods:            make([]method, len(settings.Methods)),
	}
	// The cost of open connections counts per hundred of them, that of handshakes per request. If all routers use a server
	// equally, keeping a connection open costs less than handshakes from this multiple of the mean rate on.
	const connectionsPerCost = 100
	openCost := settings.ConnectionCost * float64(settings.Routers) / connectionsPerCost
	c.idleKeepRatio = openCost / max(smallestCost, settings.HandshakeCost)
	// A hedged request adds work and may cross zones: the higher the cost of these, the later it is sent.
	c.hedgeDelay = baseHedgeDelay + hedgeDelayPerCost*(settings.WastedWorkCost+settings.CrossZoneCost)
	return c
}

// applySettings replaces the settings that may change in service. Requests in flight keep the method and the number of
// attempts that were valid when they arrived.
func (r *Router) applySettings(settings Settings) {
	c := &r.config
	c.maxAttempts = Attempt(settings.MaxAttempts)
	c.maxRetryAfter = settings.MaxRetryAfter
	c.overShareWeight = settings.OverShareWeight
	c.warmUpShare = settings.WarmUpShare
	c.warmUpDuration = max(settings.WarmUpDuration, 1)
	c.overloadWindow = max(settings.OverloadWindow, 1)
	c.warmUpMultiple = warmUpSafety * settings.OverloadMultiple
	// The more the worst-served method counts, the longer requests of the lowest weight may wait, so that they do not starve.
	c.lowPriorityWaitRatio = min(1, lowestWaitRatio+settings.WorstMethodWeight)
	c.applyMethods(settings.Methods)
	for _, t := range settings.Tenants {
		entitlement := cmp.Or(r.admission.tenants[t.Name], &tenant{})
		entitlement.share = t.Share
		r.admission.tenants[t.Name] = entitlement
	}
}

// applyMethods replaces the methods in a new slice, since requests refer to the methods that were valid when they arrived.
func (c *config) applyMethods(settings []MethodSettings) {
	c.methods = slices.Clone(c.methods)
	highest := 0.0
	strictest := clock.Duration(math.MaxInt64)
	for _, m := range settings {
		highest = max(highest, m.Criticality)
		if m.Idempotency == Idempotent {
			strictest = min(strictest, m.LatencyBudget)
		}
	}
	// Two fifths of the strictest read objective: the miss at the cache and a wait must fit into it as well.
	c.originLatencyGoal = strictest / 5 * 2
	for i, m := range settings {
		c.methods[i] = method{
			idempotency:        m.Idempotency,
			scope:              m.DeduplicationScope,
			window:             m.DeduplicationWindow,
			latencyObjective:   m.LatencyBudget,
			strictestObjective: strictestObjective(settings, m),
			weight:             m.Criticality / max(highest, smallestCost),
			lateAnswerCounts:   m.LateValue > 0,
			latency:            c.methods[i].latency,
		}
	}
}

// strictestObjective returns the shortest latency objective of the methods that are at least as critical as the given one.
func strictestObjective(all []MethodSettings, of MethodSettings) clock.Duration {
	strictest := of.LatencyBudget
	for _, m := range all {
		if m.Criticality >= of.Criticality {
			strictest = min(strictest, m.LatencyBudget)
		}
	}
	return strictest
}
