// Package report computes metrics from the record of a run and writes them as tables, JSON and HTML pages. The lab commands
// of cache-routerctl call it. It keeps no state.
//
// Files: report.go computes the metrics of a run, loss.go those of the loss of a site, and recovery.go those of a restart;
// table.go and page.go show a run, and compare.go compares sets of runs.
package report

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/referee"
	"spurtrestle/internal/lab/scenario"
)

// Version is the version of the JSON format. It increases when the meaning of a field changes.
const Version = 1

// Report holds the metrics of one run. Service is the criticality of operations answered within their latency budget divided
// by the criticality of all operations. Retries count as part of their operation.
type Report struct {
	Version           int                 `json:"version"`
	Scenario          string              `json:"scenario"`
	Seed              uint64              `json:"seed"`
	InvalidReason     string              `json:"void,omitempty"` // reason why the metrics are not valid; empty if they are
	Violations        []referee.Violation `json:"broken"`
	Service           Service             `json:"service"`
	Ops               Ops                 `json:"ops"`
	Latency           Latency             `json:"latency_ms"`
	Attempts          AttemptCounts       `json:"write_outs"`
	Rejections        []HintBucket        `json:"nacks_by_hint"`
	ConnectionsOpened int                 `json:"connections_opened"`
	Routers           []RouterUsage       `json:"routers"`
	Seconds           []Second            `json:"seconds"`
	Servers           []ServerLoad        `json:"servers"`
	Faults            []FaultMark         `json:"faults"`
	MaxLatenessMs     float64             `json:"lab_late_ms"`
	AroundRestart     *RestartWindow      `json:"around_restart,omitempty"`
	SiteLoss          *SiteLoss           `json:"loss,omitempty"`
	MostCritical      []string            `json:"most_critical"` // methods with the highest criticality
}

// Service holds shares of the criticality that was answered in time.
type Service struct {
	Overall  float64      `json:"whole"`
	Worst10s float64      `json:"worst_10s"`
	Methods  []NamedShare `json:"methods"`
	Tenants  []NamedShare `json:"tenants"`
}

// NamedShare is the share of a method or tenant.
type NamedShare struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Ops   int     `json:"ops"`
}

// Ops counts operations, requests and their outcomes.
type Ops struct {
	Offered   int `json:"wanted"`
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Unserved  int `json:"unserved"`
	Requests  int `json:"tries"`
	Rejected  int `json:"nacked"`
	Failed    int `json:"failed"`
	Unreached int `json:"unreached"`
	Cut       int `json:"cut"`
	Abandoned int `json:"left"`
}

// Latency holds percentiles in milliseconds of successful operations, from the scheduled start to the last byte.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// AttemptCounts counts the attempts at cache servers and at the origin.
type AttemptCounts struct {
	Total      int     `json:"all"`
	PerRequest float64 `json:"per_try"`
	Misses     int     `json:"misses"`
	ToOrigin   int     `json:"to_origin"`
	Wasted     int     `json:"with_no_use"`
	Rejected   int     `json:"turned_away"`
}

// HintBucket counts rejections whose retry hint is in a range.
type HintBucket struct {
	Hint  string `json:"hint"`
	Count int    `json:"n"`
}

// RouterUsage is the CPU time and memory that a router used.
type RouterUsage struct {
	Router          int       `json:"router"`
	CPUSeconds      float64   `json:"cpu_seconds"`
	CPUPerRequestUs float64   `json:"cpu_per_try_us"`
	MemoryMaxMB     float64   `json:"memory_max_mb"`
	CPU             []float64 `json:"cpu_by_second"`
	MemoryMB        []float64 `json:"memory_mb_by_second"`
	Requests        int       `json:"tries"`
}

// Second holds the metrics of one second of the run.
type Second struct {
	At                int     `json:"at"`
	Offered           int     `json:"wanted"`
	Succeeded         int     `json:"satisfied"`
	Rejected          int     `json:"nacked"`
	Failed            int     `json:"failed"`
	ConnectionsOpened int     `json:"opened"`
	Service           float64 `json:"service"`
	P50               float64 `json:"p50_ms"`
	P99               float64 `json:"p99_ms"`
}

// ServerLoad counts the attempts at one server process, in total and by second.
type ServerLoad struct {
	Server   event.Server `json:"server"`
	Total    int          `json:"all"`
	Cold     bool         `json:"cold"`
	BySecond []int        `json:"by_second"`
}

// FaultMark is the begin or end of a fault.
type FaultMark struct {
	At   float64 `json:"at_s"`
	Kind string  `json:"kind"`
	End  bool    `json:"end"`
}

// opRecord is the outcome of one operation.
type opRecord struct {
	offered    event.Event
	answeredAt event.Micros // time of the first successful answer
	served     bool
}

// Limits of the lab's own lateness above which the metrics of a run are invalid: the longest single stall in microseconds,
// and the share of operations that started late.
const (
	maxStall     = 250e3
	maxLateShare = 0.02
)

// New computes the report of a run.
func New(r fleet.Result) Report {
	s := r.Scenario
	n := int((s.Length.Micros() + 1e6 - 1) / 1e6)
	rep := Report{Version: Version, Scenario: s.Title, Seed: r.Seed, Violations: r.Violations, Seconds: make([]Second, n),
		Routers: make([]RouterUsage, s.Routers.Count), Faults: []FaultMark{}, Servers: []ServerLoad{}}
	if rep.Violations == nil {
		rep.Violations = []referee.Violation{}
	}
	m := builder{report: &rep, scenario: s, start: r.ClientsStart, seconds: n, ops: map[event.Op]*opRecord{}, servers: map[event.Server]int{},
		routerOf: map[event.RequestID]event.Router{}, cpu: make([]event.Micros, s.Routers.Count), hintCounts: make([]int, len(hintBounds)+2)}
	for i := range rep.Routers {
		rep.Routers[i] = RouterUsage{Router: i, CPU: make([]float64, n), MemoryMB: make([]float64, n)}
	}
	for _, e := range r.Events {
		m.add(e)
	}
	m.finish(len(r.Arrivals))
	rep.AroundRestart, rep.SiteLoss = restartWindowOf(r), siteLossOf(r)
	top := slices.MaxFunc(s.Methods, func(a, b scenario.Method) int { return cmp.Compare(a.Criticality, b.Criticality) })
	for _, m := range s.Methods {
		if m.Criticality == top.Criticality {
			rep.MostCritical = append(rep.MostCritical, m.Name)
		}
	}
	return rep
}

// hintBounds are the upper bounds of the buckets of retry hints.
var hintBounds = []event.Micros{100e3, 300e3, 1e6, 3e6}

// builder accumulates the report of a run, event by event.
type builder struct {
	report       *Report
	scenario     scenario.Scenario
	start        event.Micros
	seconds      int
	ops          map[event.Op]*opRecord
	servers      map[event.Server]int
	routerOf     map[event.RequestID]event.Router
	cpu          []event.Micros
	hintCounts   []int
	lateOps      int
	longestStall event.Micros
}

func (b *builder) second(at event.Micros) int { return max(0, min(b.seconds-1, int((at-b.start)/1e6))) }

func (b *builder) add(e event.Event) {
	rep, second := b.report, &b.report.Seconds[b.second(e.At)]
	switch e.Kind {
	case event.OperationDue:
		b.ops[e.Op] = &opRecord{offered: e}
		rep.Ops.Offered++
		second.Offered++
	case event.RequestSent:
		rep.Ops.Requests++
		rep.Routers[e.Router].Requests++
	case event.ConnectFailed:
		rep.Ops.Unreached++
	case event.ConnectionClosed:
		rep.Ops.Cut++
		second.Failed++
	case event.ClientLeft:
		rep.Ops.Abandoned++
	case event.Answered:
		b.addAnswer(e, second)
	case event.ConnectionAccepted:
		rep.ConnectionsOpened++
		second.ConnectionsOpened++
	case event.ServerUp:
		if e.Server != "" {
			b.serverLoad(e.Server).Cold = e.Limit > 0
		}
	case event.AttemptReceived:
		rep.Attempts.Total++
		l := b.serverLoad(e.Server)
		l.Total++
		l.BySecond[b.second(e.At)]++
		if e.Server == "origin" {
			rep.Attempts.ToOrigin++
		}
	case event.AttemptEnded:
		b.addAttemptEnd(e)
	case event.Fault:
		rep.Faults = append(rep.Faults, FaultMark{float64(e.At-b.start) / 1e6, e.Note, e.Limit == 1})
	case event.LabDelayed:
		b.longestStall = max(b.longestStall, e.Limit)
		if e.Note == "" {
			b.lateOps++
		}
	case event.ResourceSample:
		b.addSample(e)
	}
}

// addAnswer adds an answer that a client received.
func (b *builder) addAnswer(e event.Event, second *Second) {
	rep := b.report
	switch e.Outcome {
	case event.Succeeded:
		second.Succeeded++
		if o := b.ops[e.Op]; o != nil && !o.served {
			o.served, o.answeredAt = true, e.At
		}
	case event.Rejected:
		rep.Ops.Rejected++
		second.Rejected++
		i, _ := slices.BinarySearch(hintBounds, e.Limit)
		if e.Limit > 0 {
			i++
		}
		b.hintCounts[i]++
	default:
		rep.Ops.Failed++
		second.Failed++
	}
}

// addAttemptEnd adds the end of an attempt at a server.
func (b *builder) addAttemptEnd(e event.Event) {
	rep := b.report
	switch e.Reply {
	case event.Miss:
		rep.Attempts.Misses++
	case event.Refused:
		rep.Attempts.Rejected++
	case event.ConnectionLost, event.Malformed, event.Error:
		rep.Attempts.Wasted++
	}
}

func (b *builder) addSample(e event.Event) {
	usage, at := &b.report.Routers[e.Router], b.second(e.At)
	if used := e.Limit - b.cpu[e.Router]; used > 0 && e.At > b.start && b.cpu[e.Router] > 0 { // a lower value belongs to a new process
		usage.CPU[at] += float64(used) / 1e6
		usage.CPUSeconds += float64(used) / 1e6
	}
	b.cpu[e.Router] = e.Limit
	mb := float64(e.Size) / (1 << 20)
	usage.MemoryMB[at] = mb
	usage.MemoryMaxMB = max(usage.MemoryMaxMB, mb)
}

func (b *builder) serverLoad(uid event.Server) *ServerLoad {
	i, known := b.servers[uid]
	if !known {
		i = len(b.report.Servers)
		b.servers[uid] = i
		b.report.Servers = append(b.report.Servers, ServerLoad{Server: uid, BySecond: make([]int, b.seconds)})
	}
	return &b.report.Servers[i]
}

// valueSum sums offered and earned criticality.
type valueSum struct {
	offered, earned float64
	ops             int
}

func (w valueSum) share() float64 {
	if w.offered == 0 {
		return 1
	}
	return w.earned / w.offered
}

func (w *valueSum) add(offered, earned float64) {
	w.offered, w.earned, w.ops = w.offered+offered, w.earned+earned, w.ops+1
}

func (b *builder) finish(planned int) {
	rep, s := b.report, b.scenario
	var overall valueSum
	bySecond, byMethod, byTenant := make([]valueSum, b.seconds), make([]valueSum, len(s.Methods)), make([]valueSum, len(s.Tenants))
	all := hdrhistogram.New(1, 60e6, 3)
	histograms := make([]*hdrhistogram.Histogram, b.seconds)
	for _, o := range b.ops {
		method, at := s.Methods[o.offered.Method], b.second(o.offered.At)
		earned, latency := 0.0, o.answeredAt-o.offered.At
		switch {
		case !o.served:
			rep.Ops.Unserved++
		case latency <= method.LatencyBudget.Micros():
			earned = method.Criticality
			rep.Ops.InTime++
		default:
			earned = method.Criticality * method.LateShare
			rep.Ops.Late++
		}
		if o.served {
			if histograms[at] == nil {
				histograms[at] = hdrhistogram.New(1, 60e6, 3)
			}
			_ = all.RecordValue(max(1, int64(latency))) // fails above the bound of a minute, which no latency of a run reaches
			_ = histograms[at].RecordValue(max(1, int64(latency)))
		}
		overall.add(method.Criticality, earned)
		bySecond[at].add(method.Criticality, earned)
		byMethod[o.offered.Method].add(method.Criticality, earned)
		if o.offered.Tenant >= 0 {
			byTenant[o.offered.Tenant].add(method.Criticality, earned)
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	rep.Latency = Latency{ms(all, 50), ms(all, 90), ms(all, 99), ms(all, 99.9), float64(all.Max()) / 1e3}
	rep.Service.Overall, rep.Service.Worst10s = overall.share(), worstShare(bySecond, 10)
	for i := range s.Methods {
		rep.Service.Methods = append(rep.Service.Methods, NamedShare{s.Methods[i].Name, byMethod[i].share(), byMethod[i].ops})
	}
	for i := range s.Tenants {
		rep.Service.Tenants = append(rep.Service.Tenants, NamedShare{s.Tenants[i].Name, byTenant[i].share(), byTenant[i].ops})
	}
	for i := range rep.Seconds {
		rep.Seconds[i].At, rep.Seconds[i].Service = i, bySecond[i].share()
		if histograms[i] != nil {
			rep.Seconds[i].P50, rep.Seconds[i].P99 = ms(histograms[i], 50), ms(histograms[i], 99)
		}
	}
	b.setTotals()
	b.setInvalidReason(planned)
}

// setTotals sets what depends on the totals of the run.
func (b *builder) setTotals() {
	rep := b.report
	rep.Attempts.PerRequest = float64(rep.Attempts.Total) / float64(max(1, rep.Ops.Requests))
	for i := range rep.Routers {
		rep.Routers[i].CPUPerRequestUs = 1e6 * rep.Routers[i].CPUSeconds / float64(max(1, rep.Routers[i].Requests))
	}
	for i, n := range b.hintCounts {
		name := "none"
		switch {
		case i > len(hintBounds):
			name = "more"
		case i > 0:
			name = "to " + hintBounds[i-1].Duration().String()
		}
		rep.Rejections = append(rep.Rejections, HintBucket{name, n})
	}
	slices.SortStableFunc(rep.Servers, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
}

// setInvalidReason records the lateness of the lab, and why it invalidates the metrics if it does.
func (b *builder) setInvalidReason(planned int) {
	rep := b.report
	rep.MaxLatenessMs = float64(b.longestStall) / 1e3
	switch {
	case b.longestStall > maxStall:
		rep.InvalidReason = fmt.Sprintf("the lab itself stood still for %v; give it more of the machine", b.longestStall.Duration())
	case float64(b.lateOps) > maxLateShare*float64(max(1, planned)):
		rep.InvalidReason = fmt.Sprintf("%d of %d ops began over 20 ms late; lower the rate, or give the lab more of the machine", b.lateOps, planned)
	}
}

// worstShare returns the lowest share over any span of consecutive seconds.
func worstShare(by []valueSum, span int) float64 {
	least := 1.0
	for i := 0; i == 0 || i+span <= len(by); i++ {
		var w valueSum
		for _, x := range by[i:min(len(by), i+span)] {
			w.offered, w.earned = w.offered+x.offered, w.earned+x.earned
		}
		least = min(least, w.share())
	}
	return least
}
