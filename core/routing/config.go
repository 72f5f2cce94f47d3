package routing

import (
	"cmp"
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// hedgeDelay is after how many mean latencies of the caches a read is hedged where a hedged request costs nothing.
	hedgeDelay = 0.7
	// hedgeDelayPerCost is by how many more for each unit of the cost of wasted work and crossings.
	hedgeDelayPerCost = 18
	// lowestWaitRatio is the fraction of the wait allowed at a cache that the least important requests may use.
	lowestWaitRatio = 0.2
	// warmUpSafety is the fraction of the overload multiple that warming caches get: the work of requests varies, and
	// so do their keys.
	warmUpSafety = 0.6
	// smallestCost stands for costs and weights of zero in quotients.
	smallestCost = 1e-9
)

// config is what follows from the settings.
type config struct {
	// Fixed for the process.
	cacheAside       bool
	weightsAreSizes  bool
	originKind       Kind
	reportFields     []Figure
	pollEndpoints    bool
	clockGranularity clock.Duration
	connectTimeout   clock.Duration // 0: not known
	cancelAllowed    bool
	hedgingAllowed   bool
	hedgeDelay       float64 // in mean latencies of the caches
	// idleKeepRatio is the least use of a server, as a multiple of the mean, for which its idle connections stay open.
	idleKeepRatio float64

	// Replaced by applySettings.
	methods              []method
	maxAttempts          Attempt
	maxRetryAfter        clock.Duration // 0: rejections carry no retry-after
	overShareWeight      float64
	lowPriorityWaitRatio float64 // fraction of the wait allowed that a request of no weight may use
	originLatencyGoal    clock.Duration
	warmUpShare          float64
	warmUpDuration       clock.Duration
	overloadWindow       clock.Duration
	// warmUpMultiple is the multiple of a warming cache's present capacity that the routers may send it.
	warmUpMultiple float64
}

// method is what follows from the settings of a method, and the latency that the router has measured for it.
type method struct {
	idempotency        Idempotency
	scope              DeduplicationScope
	window             clock.Duration
	latencyObjective   clock.Duration
	strictestObjective clock.Duration // the shortest objective of the methods of at least its criticality
	weight             float64        // criticality over the highest criticality of all methods
	lateAnswerCounts   bool
	latency            clock.Duration // measured: the smoothed latency of a cache's answer; a change of settings leaves it
}

// newConfig is the part of the configuration that is fixed for the process.
func newConfig(settings Settings) config {
	c := config{
		cacheAside:       settings.CacheAside,
		weightsAreSizes:  settings.WeightsAreCapacity,
		originKind:       settings.OriginKind,
		reportFields:     settings.ReportFields,
		pollEndpoints:    settings.PollEndpoints,
		clockGranularity: max(settings.ClockGranularity, 1),
		connectTimeout:   settings.ConnectTimeout,
		cancelAllowed:    settings.CancelAllowed,
		hedgingAllowed:   settings.HedgingAllowed && settings.CancelAllowed,
		methods:          make([]method, len(settings.Methods)),
	}
	// An open connection to every server has a cost for each hundred of them, a handshake for each request has its own.
	// If all routers use a server equally, an open connection costs less from this ratio of the mean use on.
	const connectionsPerCost = 100
	openCost := settings.ConnectionCost * float64(settings.Routers) / connectionsPerCost
	c.idleKeepRatio = openCost / max(smallestCost, settings.HandshakeCost)
	// A hedged request is work and a crossing: the more these cost, the later it is sent.
	c.hedgeDelay = hedgeDelay + hedgeDelayPerCost*(settings.WastedWorkCost+settings.CrossZoneCost)
	return c
}

// applySettings replaces the settings that may change in service. Requests in flight continue under the earlier ones.
func (r *Router) applySettings(settings Settings) {
	c := &r.config
	c.maxAttempts = Attempt(settings.MaxAttempts)
	c.maxRetryAfter = settings.MaxRetryAfter
	c.overShareWeight = settings.OverShareWeight
	c.warmUpShare = settings.WarmUpShare
	c.warmUpDuration = max(settings.WarmUpDuration, 1)
	c.overloadWindow = max(settings.OverloadWindow, 1)
	c.warmUpMultiple = warmUpSafety * settings.OverloadMultiple
	// Where the worst-served method counts much, the least important requests may wait longer, so that they do not starve.
	c.lowPriorityWaitRatio = min(1, lowestWaitRatio+settings.WorstMethodWeight)
	c.applyMethods(settings.Methods)
	for _, t := range settings.Tenants {
		own := cmp.Or(r.admission.tenants[t.Name], &tenant{})
		own.share = t.Share
		r.admission.tenants[t.Name] = own
	}
}

// applyMethods replaces the methods, in a new slice: requests refer to the methods that were valid when they arrived.
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
	// Two fifths of the strictest read: its miss at the cache and a wait must fit into its objective as well.
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

// strictestObjective is the shortest latency objective of the methods that are at least as critical as one.
func strictestObjective(all []MethodSettings, of MethodSettings) clock.Duration {
	strictest := of.LatencyBudget
	for _, m := range all {
		if m.Criticality >= of.Criticality {
			strictest = min(strictest, m.LatencyBudget)
		}
	}
	return strictest
}
