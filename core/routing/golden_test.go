package routing_test

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// goldenFile was written by the code of commit bfb4b5c. There is no flag that rewrites it: a commit that changes decisions copies
// the hashes that the failing test prints into the file, and gives the reason.
const goldenFile = "testdata/golden-drive.txt"

// TestRouter_DecisionsMatchGoldenFile drives routers with several settings through pseudo-random events. It compares a hash of
// all decisions, loads and knowledge, in order and to the last bit, with that of an earlier build.
func TestRouter_DecisionsMatchGoldenFile(t *testing.T) {
	var got strings.Builder
	for _, name := range goldenSettingsNames {
		for seed := range uint64(4) {
			d := newDriver(goldenSettings(name), seed)
			d.run(10000)
			fmt.Fprintf(&got, "%s %d: %d decisions, hash %016x\n", name, seed, d.decisions, d.digest.Sum64())
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("decisions differ from the golden file:\ngot\n%swant\n%s", got.String(), want)
	}
}

var goldenSettingsNames = []string{"plain", "through", "large", "sparse", "hedged", "sized", "on-request"}

// goldenSettings returns the settings of a deployment by its name.
func goldenSettings(name string) routing.Settings {
	s := routing.Settings{Routers: 3, CacheAside: true, OriginKind: "origin", ClockGranularity: 1e3, WarmUpShare: 0.2,
		WarmUpDuration: 10e6, OverloadWindow: 1e6, OverloadMultiple: 2, CancelAllowed: true, MaxRetryAfter: 1e6,
		MaxAttempts: 3, OverShareWeight: 0.1, DrainTimeout: 1e6, PollInterval: 10e6, ResponseSlack: 20e3,
		ConnectTimeout: 200e3, WorstMethodWeight: 0.3,
		Tenants: []routing.TenantSettings{{Name: "big", Share: 0.7}, {Name: "small", Share: 0.1}},
		Methods: []routing.MethodSettings{
			{Name: "read", LatencyBudget: 500e3, Deadline: 1200e3, Criticality: 2},
			{Name: "hold", Idempotency: routing.Deduplicated, DeduplicationWindow: 600e3, LatencyBudget: 400e3, Deadline: 800e3,
				Criticality: 5, LateValue: 0.5},
			{Name: "pay", Idempotency: routing.NonIdempotent, LatencyBudget: 1500e3, Deadline: 3000e3, Criticality: 5,
				LateValue: 0.5},
			{Name: "low", LatencyBudget: 500e3, Deadline: 1200e3, Criticality: 0.2},
			{Name: "look", Idempotency: routing.Deduplicated, DeduplicationScope: routing.ScopeZone, DeduplicationWindow: 600e3, LatencyBudget: 400e3,
				Deadline: 800e3, Criticality: 2},
			{Name: "cell", Idempotency: routing.Deduplicated, DeduplicationScope: routing.ScopeCell, DeduplicationWindow: 300e3, LatencyBudget: 700e3,
				Deadline: 800e3, Criticality: 1, LateValue: 0.2},
			{Name: "urgent", LatencyBudget: 25e3, Deadline: 200e3, Criticality: 3},
		}}
	switch name {
	case "through":
		s.CacheAside, s.OriginKind = false, ""
	case "large":
		s.Routers, s.ConnectionCost, s.HandshakeCost = 300, 0.12, 0.08
		s.ReportFields = []routing.Figure{routing.FigureQueue, routing.FigureServiceTime}
	case "sparse":
		s.Routers, s.ConnectionCost, s.HandshakeCost = 100, 0.12, 0.08
		s.HedgingAllowed, s.WastedWorkCost, s.CrossZoneCost = true, 0.01, 0.002
		s.ReportFields = []routing.Figure{routing.FigureServiceTime}
	case "hedged":
		s.Routers, s.HedgingAllowed, s.WastedWorkCost = 1, true, 0.02
	case "sized":
		s.WeightsAreCapacity, s.CancelAllowed, s.MaxRetryAfter = true, false, 0
	case "on-request":
		s.PollEndpoints, s.Routers = true, 8
	}
	return s
}

// scheduledEvent is an event that is due at an instant. A nil event is the next client request.
type scheduledEvent struct {
	at    clock.Time
	order int // breaks ties between events of the same instant
	event routing.Event
}

type eventQueue []scheduledEvent

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(scheduledEvent)) }
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulatedServer is a cache or the origin, with the outcomes of the attempts that it gets.
type simulatedServer struct {
	endpoint         routing.Endpoint
	listed           bool
	slowness         float64 // factor on its service time
	faultProbability float64 // probability of a fault for each attempt
	silent           bool
	missProbability  float64 // probability of a miss
}

// driver simulates the servers and the clients of one router.
type driver struct {
	random    *rand.Rand
	settings  routing.Settings
	seed      uint64
	router    *routing.Router
	now       clock.Time
	pending   eventQueue
	scheduled int // number of events scheduled so far
	servers   []*simulatedServer
	sent      map[routing.RequestID]routing.Attempt
	requests  int
	rate      float64 // client requests per second
	keys      float64 // number of distinct keys
	decisions int
	digest    hash.Hash64
}

func newDriver(settings routing.Settings, seed uint64) *driver {
	d := &driver{random: rand.New(rand.NewPCG(seed, 11)), settings: settings, seed: seed, now: 1e6,
		sent: map[routing.RequestID]routing.Attempt{}, rate: 60, keys: 300, digest: fnv.New64a()}
	if settings.WeightsAreCapacity { // more keys than the router counts
		d.keys = 30000
	}
	for i := range 14 {
		s := &simulatedServer{listed: true, slowness: 1, missProbability: 0.05,
			endpoint: routing.Endpoint{Server: routing.ServerID(i*7 + 1), Kind: "cache", Zone: routing.Zone("abc"[i%3 : i%3+1]),
				Cell: routing.Cell(i % 5), Weight: float64(1 + i%4)}}
		if i == 13 && settings.OriginKind != "" {
			s.endpoint.Kind, s.slowness, s.missProbability = settings.OriginKind, 3, 0
		}
		d.servers = append(d.servers, s)
	}
	router, decisions := routing.New(d.now, settings, seed)
	d.router = router
	d.carryOut(decisions)
	d.step(routing.EndpointsUpdated{Kind: routing.CachedUpdate, Endpoints: d.list()})
	d.step(routing.EndpointsUpdated{Kind: routing.FullUpdate, Endpoints: d.list()})
	d.after(0, nil)
	return d
}

// run passes the given number of events to the router.
func (d *driver) run(events int) {
	for n := range events {
		next := heap.Pop(&d.pending).(scheduledEvent)
		d.now = max(d.now, next.at)
		if next.event == nil {
			d.request()
		} else {
			d.step(next.event)
		}
		if d.random.IntN(25) == 0 {
			d.disrupt()
		}
		if n%100 == 99 {
			d.recordLoad()
		}
	}
	d.recordKnowledge()
	d.step(routing.ShutdownScheduled{Deadline: d.now + 200e3})
	d.step(routing.TimerFired{Timer: 1})
}

func (d *driver) after(wait clock.Time, event routing.Event) {
	d.scheduled++
	heap.Push(&d.pending, scheduledEvent{d.now + wait, d.scheduled, event})
}

func (d *driver) step(event routing.Event) {
	d.carryOut(slices.Clone(d.router.Step(d.now, event)))
}

// carryOut records the decisions and schedules the events that follow from them.
func (d *driver) carryOut(decisions []routing.Decision) {
	for _, x := range decisions {
		d.decisions++
		d.record(uint64(d.now), uint64(x.Action), uint64(x.Server), uint64(x.Attempt), uint64(x.After), uint64(x.StartBy), uint64(x.Timer))
		d.digest.Write([]byte(x.Request))
		switch x.Action {
		case routing.Send:
			d.attempt(x)
		case routing.SetTimer:
			d.after(x.After, routing.TimerFired{Timer: x.Timer})
		case routing.Subscribe:
			if d.random.IntN(3) == 0 {
				d.after(5e3, routing.EndpointsUpdated{Kind: routing.FailedUpdate, Rejected: d.random.IntN(2) == 0})
			} else {
				d.after(8e3, routing.EndpointsUpdated{Kind: routing.FullUpdate, Endpoints: d.list()})
			}
		}
	}
}

// attempt schedules the outcome of one attempt.
func (d *driver) attempt(x routing.Decision) {
	i := slices.IndexFunc(d.servers, func(s *simulatedServer) bool { return s.endpoint.Server == x.Server })
	server := d.servers[i]
	attempt := d.sent[x.Request]
	d.sent[x.Request]++
	status := routing.OK
	took := clock.Time(8e3 * server.slowness * (0.5 + d.random.ExpFloat64()))
	switch {
	case server.silent:
		status, took = routing.TimedOut, x.After
		if d.random.IntN(4) == 0 {
			status, took = routing.ConnectError, min(x.After, 200e3)
		}
	case d.random.Float64() < server.faultProbability:
		status = []routing.AttemptStatus{routing.Failed, routing.Reset, routing.QueueFull, routing.ConnectError, routing.NotSent,
			routing.Canceled}[d.random.IntN(6)]
		took /= 4
	case d.random.Float64() < server.missProbability:
		status = routing.Miss
	}
	if took > x.After {
		status, took = routing.TimedOut, x.After
	}
	var report routing.Report
	for _, figure := range d.settings.ReportFields {
		value := float64(d.random.IntN(5))
		if figure == routing.FigureServiceTime {
			value = float64(took) / 2e3
		}
		report = append(report, value)
	}
	if d.random.IntN(20) == 0 {
		d.after(took/2, routing.ResponseStarted{Request: x.Request, Attempt: attempt})
	}
	over := status == routing.OK || status == routing.Failed && d.random.IntN(10) == 0
	d.after(took, routing.AttemptEnded{Request: x.Request, Server: x.Server, Attempt: attempt, Status: status, Took: took,
		Answered: over, Report: report})
}

// request sends one client request and schedules the next one.
func (d *driver) request() {
	d.requests++
	id := routing.RequestID(fmt.Sprint("r", d.requests))
	method := d.random.IntN(len(d.settings.Methods))
	if d.random.IntN(2) == 0 {
		method = 0
	}
	key := routing.Key(fmt.Sprint("k", int(d.keys*math.Pow(d.random.Float64(), 3))))
	switch d.random.IntN(8) {
	case 0:
		key = "hot"
	case 1:
		key = ""
	}
	settings := d.settings.Methods[method]
	d.step(routing.RequestArrived{Request: id, Method: routing.Method(method),
		Tenant: []routing.Tenant{"", "big", "small", "unknown"}[d.random.IntN(4)], Key: key,
		ValidUntil:  d.now + clock.Time(float64(settings.Deadline)*(0.1+0.9*d.random.Float64())),
		ClientRetry: d.random.IntN(10) == 0, Write: settings.Idempotency != routing.Idempotent && method != 4,
		SingleAttempt: d.random.IntN(15) == 0})
	if d.random.IntN(12) == 0 {
		d.after(clock.Time(d.random.Float64()*100e3), routing.ClientDisconnected{Request: id})
	}
	d.after(clock.Time(d.random.ExpFloat64()*1e6/d.rate), nil)
}

// disrupt changes the behaviour of servers, or sends an event other than requests and outcomes.
func (d *driver) disrupt() {
	server := d.servers[d.random.IntN(len(d.servers))]
	switch d.random.IntN(22) {
	case 0:
		server.slowness = 1 + 20*d.random.Float64()
	case 1, 2:
		server.slowness = 1
	case 3:
		server.faultProbability = d.random.Float64()
	case 4, 5:
		for _, s := range d.servers {
			s.faultProbability, s.silent, s.slowness = 0.02*d.random.Float64(), false, 1
		}
	case 6:
		server.silent = !server.silent
	case 7:
		for _, s := range d.servers {
			s.silent = s.silent || s.endpoint.Zone == server.endpoint.Zone && s.endpoint.Kind == "cache"
		}
	case 8:
		server.endpoint.StartedAt = d.now
		server.missProbability = 0.6
		d.after(0, routing.EndpointsUpdated{Kind: routing.IncrementalUpdate, Endpoints: []routing.Endpoint{server.endpoint}})
	case 9:
		server.missProbability = 0.05
	case 10:
		server.listed = !server.listed
		d.after(0, routing.EndpointsUpdated{Kind: routing.FullUpdate, Endpoints: d.list()})
	case 11:
		server.endpoint.State = []routing.EndpointState{routing.Ready, routing.Ready, routing.Draining, routing.Removed}[d.random.IntN(4)]
		server.endpoint.Weight = float64(d.random.IntN(5))
		d.after(0, routing.EndpointsUpdated{Kind: routing.IncrementalUpdate, Endpoints: []routing.Endpoint{server.endpoint}})
	case 12:
		d.after(0, routing.EndpointsUpdated{Kind: routing.FailedUpdate, Rejected: d.random.IntN(2) == 0})
	case 13:
		id := server.endpoint.Server
		d.step(routing.BanChanged{Server: id, Banned: true})
		d.after(clock.Time(d.random.Float64()*2e6), routing.BanChanged{Server: id, Since: d.now})
	case 14:
		d.step(routing.FleetShareChanged{Share: []float64{0, 0.05, 1 / float64(d.settings.Routers), 1}[d.random.IntN(4)]})
		d.after(1e6, routing.FleetShareChanged{Share: 1 / float64(d.settings.Routers)})
	case 15, 16:
		d.orderFailover()
	case 17:
		changed := d.settings
		changed.MaxAttempts, changed.MaxRetryAfter = 1+d.random.IntN(4), clock.Time(d.random.IntN(3))*500e3
		changed.WorstMethodWeight, changed.WarmUpShare = d.random.Float64(), d.random.Float64()
		changed.Tenants = slices.Clone(changed.Tenants)
		changed.Tenants[0].Share = d.random.Float64()
		d.step(routing.SettingsChanged{Settings: changed})
	case 18:
		d.now += clock.Time(d.random.ExpFloat64() * 500e3) // the process was stalled
	case 19:
		before := d.now
		d.now -= 3e6 // an instant before the previous one
		d.step(routing.TimerFired{Timer: 1})
		d.now = before
		d.step(routing.HealthChecked{Server: server.endpoint.Server, Status: routing.OK, Took: 1e3})
	case 20:
		d.rate = 20 + 400*d.random.Float64()*d.random.Float64()
	case 21:
		if d.random.IntN(4) == 0 {
			d.restart()
		}
	}
}

// orderFailover sends the fleet's orders for a lost site, and their end after a while.
func (d *driver) orderFailover() {
	p := routing.FailoverOrders{MinimumRank: routing.Rank(d.random.IntN(1e6)), MinimumRankShare: d.random.Float64(),
		RetryAfter: clock.Time(d.random.IntN(3e6))}
	switch d.random.IntN(4) {
	case 0:
		p.ZoneShares = []routing.ZoneShare{{Zone: "a"}}
	case 1:
		p.ZoneShares = []routing.ZoneShare{{Zone: "b", Share: d.random.Float64()}}
		p.FailoverWeights = []routing.ZoneShare{{Zone: "a", Share: 0.3}, {Zone: "b", Share: 0.1}}
	}
	if d.random.IntN(2) == 0 {
		p.OriginReadLimit = 100 * d.random.Float64()
	}
	d.step(p)
	d.after(clock.Time(d.random.Float64()*3e6), routing.FailoverOrders{})
}

// restart replaces the router by a new process with the knowledge of the old one.
func (d *driver) restart() {
	knowledge := sortedKnowledge(d.router, d.now)
	d.seed += 1000
	router, decisions := routing.New(d.now, d.settings, d.seed)
	d.router = router
	d.pending = slices.DeleteFunc(d.pending, func(s scheduledEvent) bool {
		_, isTimer := s.event.(routing.TimerFired)
		return isTimer
	})
	heap.Init(&d.pending)
	d.carryOut(decisions)
	d.step(routing.KnowledgeRestored{Knowledge: knowledge})
	d.step(routing.ServersRestored{Servers: knowledge.Servers})
	d.step(routing.EndpointsUpdated{Kind: routing.FullUpdate, Endpoints: d.list()})
}

func (d *driver) list() []routing.Endpoint {
	var endpoints []routing.Endpoint
	for _, s := range d.servers {
		if s.listed {
			endpoints = append(endpoints, s.endpoint)
		}
	}
	return endpoints
}

func sortedKnowledge(router *routing.Router, now clock.Time) routing.Knowledge {
	k := router.Knowledge(now)
	slices.SortFunc(k.Servers, func(a, b routing.ServerKnowledge) int { return cmp.Compare(a.Server, b.Server) })
	return k
}

func (d *driver) record(values ...uint64) {
	var b [8]byte
	for _, value := range values {
		binary.LittleEndian.PutUint64(b[:], value)
		d.digest.Write(b[:])
	}
}

func (d *driver) recordFloats(values ...float64) {
	for _, value := range values {
		d.record(math.Float64bits(value))
	}
}

func (d *driver) recordLoad() {
	load := d.router.Load(d.now)
	d.recordFloats(load.EndedRate, load.UnansweredRate, load.EndedWeight, load.UnansweredWeight, load.OriginLatencyRatio)
	for _, x := range load.Offered {
		d.record(uint64(x.Rank))
		d.recordFloats(x.Rate)
	}
	for _, z := range load.Zones {
		d.digest.Write([]byte(z.Zone))
		d.record(uint64(z.Listed), uint64(z.Unreachable))
		d.recordFloats(z.AnswerRate)
	}
	listed, avoided := d.router.CountCaches()
	d.record(uint64(listed), uint64(avoided))
}

func (d *driver) recordKnowledge() {
	k := sortedKnowledge(d.router, d.now)
	times := func(x routing.LatencySummary) {
		d.record(uint64(x.Recent), uint64(x.Mean), uint64(x.Fastest), uint64(x.Samples))
	}
	flag := func(x bool) {
		if x {
			d.record(1)
		} else {
			d.record(0)
		}
	}
	d.record(uint64(k.CapturedAt), uint64(k.ObservedFor))
	times(k.CacheLatency)
	d.recordFloats(k.RequestRate, k.HitRate, k.EndedRate, k.AnsweredRate, k.AttemptRate, k.FailureRate, k.RetryBudget, k.KeyReads)
	for _, x := range k.MethodLatencies {
		d.record(uint64(x))
	}
	for _, s := range k.Servers {
		d.record(uint64(s.Server), uint64(s.StartedAt), uint64(s.ObservedAt), uint64(s.ReportedServiceTime), uint64(s.FailurePoints))
		times(s.Latency)
		d.recordFloats(s.AnswerRate, s.AttemptRate)
		flag(s.Ejected)
		flag(s.ConnectFailed)
	}
	for _, x := range k.Keys {
		d.record(uint64(x.Key))
		d.recordFloats(x.Count)
	}
}
