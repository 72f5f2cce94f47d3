package routing

import (
	"cmp"
	"math"
	"slices"

	"spurtrestle/core/clock"
)

// This file: the inputs, and what each of them changes.

// New starts a router.
func New(now clock.Time, s Settings, seed uint64) (*Router, []Decision) {
	r := &Router{
		methods: make([]method, len(s.Methods)), tenants: map[Tenant]*tenant{}, figures: s.ReportFields,
		aside: s.CacheAside, sized: s.WeightsAreCapacity, originKind: s.OriginKind,
		ask: s.PollEndpoints, mayCopy: s.HedgingAllowed && s.CancelAllowed,
		tick: max(s.ClockGranularity, 1), mayCancel: s.CancelAllowed, dice: dice{seed: uint32(mix(seed))},
		began: now, now: now, rules: requestRules(), endBy: math.MaxInt64,
		connect: s.ConnectTimeout, ways: map[Zone]way{},
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, fetches: map[Key]*request{},
		before: map[ServerID]ServerKnowledge{}, barred: map[ServerID]bool{}, table: map[uint32][groupCount]uint32{},
		hot:     keyCounts{counts: map[KeyHash]float64{}, most: 1024}, // several times the keys over the bound
		retries: 10,                                                   // enough for the first seconds
		part:    1 / float64(max(1, s.Routers)),
	}
	// In a day a connection to every cache costs its fee for each hundred, a new one for each request its own:
	// where all routers use a server alike, keeping pays up to this ratio of one.
	r.keep = s.ConnectionCost * float64(s.Routers) / 100 / max(1e-9, s.HandshakeCost)
	// A copy is paid for by work and a crossing: the dearer, the later. Of the usual answer.
	r.copyAfter = 0.7 + 18*(s.WastedWorkCost+s.CrossZoneCost)
	if r.adopt(s); r.ask {
		r.subscribe()
	}
	return r, r.decided
}

// adopt takes over what may change while requests are in hand: those end by the rules under which they came.
func (r *Router) adopt(s Settings) {
	r.overWorth, r.maxSends, r.maxHint = s.OverShareWeight, Attempt(s.MaxAttempts), s.MaxRetryAfter
	r.coldShare, r.coldSpan, r.fallSpan = s.WarmUpShare, max(s.WarmUpDuration, 1), max(s.OverloadWindow, 1)
	// Patience: a fifth for the least, and more where the worst-served method counts much, lest it starve.
	r.coldTimes, r.patience = safe*s.OverloadMultiple, min(1, 0.2+s.WorstMethodWeight)
	r.methods = slices.Clone(r.methods)
	most, tightest := 0.0, clock.Time(math.MaxInt64)
	for _, m := range s.Methods {
		if most = max(most, m.Criticality); m.Idempotency == Idempotent {
			tightest = min(tightest, m.LatencyBudget)
		}
	}
	r.originGoal = tightest / 5 * 2 // a read's miss at the cache and a wait must still fit into its budget
	for i, m := range s.Methods {
		own := method{time: r.methods[i].time, effect: m.Idempotency, group: m.DeduplicationScope, aim: m.LatencyBudget,
			window: m.DeduplicationWindow, yields: m.LatencyBudget, lateEarns: m.LateValue > 0,
			worth: m.Criticality / max(most, 1e-9)}
		for _, n := range s.Methods {
			if n.Criticality >= m.Criticality {
				own.yields = min(own.yields, n.LatencyBudget)
			}
		}
		r.methods[i] = own
	}
	for _, t := range s.Tenants {
		own := cmp.Or(r.tenants[t.Name], &tenant{})
		r.tenants[t.Name], own.share = own, t.Share
	}
}

// Step takes one input.
func (r *Router) Step(now clock.Time, ev Event) []Decision {
	r.now, r.decided = max(now, r.now), r.decided[:0]
	r.recompute()
	switch e := ev.(type) {
	case RequestArrived:
		r.requestCame(e)
	case AttemptEnded:
		r.returned(e)
	case ClientDisconnected:
		r.left(e)
	case ResponseStarted:
		if q := r.requests[e.Request]; q != nil {
			r.finish(q)
		}
	case EndpointsUpdated:
		r.listCame(e)
	case BanChanged:
		r.bar(e)
	case FleetShareChanged:
		r.part = e.Share
	case FailoverOrders:
		r.replan(e)
	case SettingsChanged:
		r.adopt(e.Settings)
	case ShutdownScheduled:
		r.endBy = e.Deadline
		for _, q := range r.requests {
			q.final = min(q.final, e.Deadline)
		}
	case KnowledgeRestored:
		r.learn(e.Knowledge)
	case ServersRestored:
		r.learnServers(e)
	case TimerFired:
		if r.askAt != 0 && r.askAt <= r.now {
			r.subscribe()
		}
		r.runWatched()
	}
	if _, came := ev.(RequestArrived); !came {
		r.runHeld()
	}
	if len(r.held) > 0 {
		r.wake(r.now + max(r.tick, 5e3)) // held requests are looked at again that often at least
	}
	if r.askAt != 0 {
		r.wake(r.askAt)
	}
	return r.decided
}

const trafficSpan = 5e6 // of the rate of a tenant, and of all: longer than a burst

func (r *Router) requestCame(e RequestArrived) {
	m := &r.methods[e.Method]
	r.arrived++
	// A tick before the deadline nothing can be had any more, and an answer is due.
	q := &request{id: e.Request, method: m, key: e.Key, most: r.maxSends, write: e.Write, worth: m.worth,
		seq: r.arrived, aim: r.now + m.aim, final: min(e.ValidUntil, r.endBy) - r.tick,
		hash: hashText(string(e.Key)), drawn: -1}
	if !m.lateEarns {
		q.final = min(q.final, q.aim)
	}
	q.short = 2*(q.final-r.now) < m.aim
	if e.SingleAttempt { // passed on as it comes: nothing is left for a second
		q.most = 1
	}
	if e.Key == "" {
		q.hash = hashText(string(e.Request))
	}
	r.traffic.add(r.now, trafficSpan)
	if t := r.tenants[e.Tenant]; t != nil {
		t.rate.add(r.now, trafficSpan)
		// Each router takes its part of a tenant's share to be that of its own traffic; a fifth over is chance, and
		// two deviations: at two requests a second half of all seemed to be over.
		due := t.share * r.traffic.value
		if t.rate.value > 1.2*due+2*math.Sqrt(due*1e6/trafficSpan/2) {
			q.worth *= r.overWorth
		}
	}
	if q.rank = 1 + Rank(1e6*q.worth); e.ClientRetry {
		q.rank -= q.rank / 100 // who came back with what was refused kept the overload up
	}
	count(&r.tally.offered, q.rank, r.now)
	q.shed = q.rank < r.planned.MinimumRank || q.rank == r.planned.MinimumRank && r.chance() >= r.planned.MinimumRankShare
	r.retries = min(r.retries+0.1, 20) // a tenth of the requests may be tried again, and a short burst
	if !e.Write && e.Key != "" {
		r.hot.count(keyHash(e.Key))
	}
	r.requests[q.id] = q
	r.run(q)
}

// bar: what an operator takes out is left alone as what drains; given back, it is a process just started.
func (r *Router) bar(e BanChanged) {
	if r.barred[e.Server] = e.Banned; !e.Banned {
		delete(r.barred, e.Server)
	}
	if s := r.servers[e.Server]; s != nil && e.Since > 0 {
		s.aside, s.lost, s.unheard, s.coldFrom = 0, 0, false, e.Since
	}
	r.listCame(EndpointsUpdated{Kind: IncrementalUpdate})
}

func (r *Router) listCame(e EndpointsUpdated) {
	if e.Kind == FailedUpdate {
		// Twice as long, half random. We count as told after 6 s; two calls may take 4, and refused ones none.
		r.askWait = min(max(2*r.askWait, 250e3), map[bool]clock.Time{true: 35e5, false: 15e5}[e.Rejected])
		r.askAt = r.now + r.askWait/2 + clock.Time(r.chance()*float64(r.askWait)/2)
		return
	}
	if e.Kind != CachedUpdate {
		r.askWait = 0
	}
	if e.Kind != IncrementalUpdate {
		for _, s := range r.all { // who is not named is gone
			s.State = Removed
		}
	}
	resized := false
	for _, entry := range e.Endpoints {
		s := r.servers[entry.Server]
		if s == nil {
			s = &server{}
			r.servers[entry.Server] = s
			at, _ := slices.BinarySearchFunc(r.all, entry.Server, func(s *server, id ServerID) int {
				return cmp.Compare(s.Server, id)
			})
			r.all = slices.Insert(r.all, at, s)
		} else if entry.StartedAt > s.StartedAt {
			s.aside, s.lost, s.unheard = 0, 0, false // a new process: what was held against the old is void
			if s.recalled {
				s.gauge, s.rate = gauge{}, decayed{}
			}
		}
		size := 1.0
		if r.sized && entry.Weight > 0 {
			size = entry.Weight
		}
		resized = resized || s.size != size
		s.Endpoint, s.size = entry, size
		s.origin = r.originKind != "" && entry.Kind == r.originKind
		r.recall(s)
	}
	before := r.caches
	r.caches, r.out, r.origin = make([]*server, 0, len(r.all)), nil, nil
	r.all = slices.DeleteFunc(r.all, func(s *server) bool {
		switch {
		case s.State == Removed:
			delete(r.servers, s.Server)
		case s.State == Draining || r.barred[s.Server]:
		case s.origin:
			r.origin = s
		case r.share(s.Zone) == 0:
			r.out = append(r.out, s)
		default:
			r.caches = append(r.caches, s)
		}
		return s.State == Removed
	})
	if resized || !slices.Equal(before, r.caches) {
		clear(r.table)
	}
}
