// Package report makes figures, tables and pages from the record of a run. It decides nothing and plays nothing.
//
// The files: this one the figures of one run; table.go and page.go show them; compare.go sets runs side by side.
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

// Version is that of the JSON form; it grows when a field changes its meaning.
const Version = 1

// Report is one run in figures. Service is criticality answered within the latency budget over criticality asked for,
// where an op's retries count with its first try.
type Report struct {
	Version  int                 `json:"version"`
	Scenario string              `json:"scenario"`
	Seed     uint64              `json:"seed"`
	Void     string              `json:"void,omitempty"` // why the figures are not to be trusted
	Broken   []referee.Violation `json:"broken"`
	Service  Service             `json:"service"`
	Ops      Ops                 `json:"ops"`
	Latency  Latency             `json:"latency_ms"`
	WriteOut Outs                `json:"write_outs"`
	Nacks    []Bucket            `json:"nacks_by_hint"`
	Opened   int                 `json:"connections_opened"`
	Routers  []RouterUse         `json:"routers"`
	Seconds  []Second            `json:"seconds"`
	Servers  []ServerLoad        `json:"servers"`
	Faults   []FaultMark         `json:"faults"`
	LateMs   float64             `json:"lab_late_ms"`
	Around   *Around             `json:"around_restart,omitempty"`
	Loss     *Loss               `json:"loss,omitempty"`
	Top      []string            `json:"most_critical"` // methods
}

// Service is the share of criticality answered in time.
type Service struct {
	Whole    float64     `json:"whole"`
	Worst10s float64     `json:"worst_10s"`
	Methods  []NamedPart `json:"methods"`
	Tenants  []NamedPart `json:"tenants"`
}

// NamedPart is a share by name.
type NamedPart struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Ops   int     `json:"ops"`
}

// Ops are counts of what clients wanted and got.
type Ops struct {
	Wanted    int `json:"wanted"`
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Unserved  int `json:"unserved"`
	Tries     int `json:"tries"`
	Nacked    int `json:"nacked"`
	Failed    int `json:"failed"`
	Unreached int `json:"unreached"`
	Cut       int `json:"cut"`
	Left      int `json:"left"`
}

// Latency is of satisfied ops, from the intended start to the last byte.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Outs are attempts to cache servers and to the origin.
type Outs struct {
	All     int     `json:"all"`
	PerTry  float64 `json:"per_try"`
	Misses  int     `json:"misses"`
	Origin  int     `json:"to_origin"`
	Wasted  int     `json:"with_no_use"`
	Refused int     `json:"turned_away"`
}

// Bucket counts rejections whose hint is up to a time.
type Bucket struct {
	Hint string `json:"hint"`
	N    int    `json:"n"`
}

// RouterUse is what a router used over the run.
type RouterUse struct {
	Router      int       `json:"router"`
	CPUSeconds  float64   `json:"cpu_seconds"`
	CPUPerTryUs float64   `json:"cpu_per_try_us"`
	MemoryMaxMB float64   `json:"memory_max_mb"`
	CPU         []float64 `json:"cpu_by_second"`
	MemoryMB    []float64 `json:"memory_mb_by_second"`
	Tries       int       `json:"tries"`
}

// Second is one second of the run.
type Second struct {
	At        int     `json:"at"`
	Wanted    int     `json:"wanted"`
	Satisfied int     `json:"satisfied"`
	Nacked    int     `json:"nacked"`
	Failed    int     `json:"failed"`
	Opened    int     `json:"opened"`
	Service   float64 `json:"service"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
}

// ServerLoad is how many attempts came to a life of a server, by second.
type ServerLoad struct {
	Server event.Server `json:"server"`
	All    int          `json:"all"`
	Cold   bool         `json:"cold"`
	By     []int        `json:"by_second"`
}

// FaultMark is where a fault began or ended.
type FaultMark struct {
	At   float64 `json:"at_s"`
	Kind string  `json:"kind"`
	End  bool    `json:"end"`
}

type op struct {
	wanted   event.Event
	answered event.Micros // of the answer that satisfied it
	served   bool
}

// Most lateness of the lab that leaves figures worth something: no single stall over the first, and no more than the
// second of all ops begun late.
const (
	voidStall = 250e3
	voidShare = 0.02
)

// Make makes the figures of a run.
func Make(r fleet.Result) Report {
	s := r.Scenario
	n := int((s.Length.Micros() + 1e6 - 1) / 1e6)
	rep := Report{Version: Version, Scenario: s.Title, Seed: r.Seed, Broken: r.Broken, Seconds: make([]Second, n),
		Routers: make([]RouterUse, s.Routers.Count), Faults: []FaultMark{}, Servers: []ServerLoad{}}
	if rep.Broken == nil {
		rep.Broken = []referee.Violation{}
	}
	m := maker{rep: &rep, s: s, from: r.From, n: n, ops: map[event.Op]*op{}, servers: map[event.Server]int{},
		routerOf: map[event.RequestID]event.Router{}, cpu: make([]event.Micros, s.Routers.Count), hints: make([]int, len(hintBounds)+2)}
	for i := range rep.Routers {
		rep.Routers[i] = RouterUse{Router: i, CPU: make([]float64, n), MemoryMB: make([]float64, n)}
	}
	for _, e := range r.Events {
		m.take(e)
	}
	m.finish(len(r.Arrivals))
	rep.Around, rep.Loss = around(r), lossOf(r)
	top := slices.MaxFunc(s.Methods, func(a, b scenario.Method) int { return cmp.Compare(a.Criticality, b.Criticality) })
	for _, m := range s.Methods {
		if m.Criticality == top.Criticality {
			rep.Top = append(rep.Top, m.Name)
		}
	}
	return rep
}

var hintBounds = []event.Micros{100e3, 300e3, 1e6, 3e6}

type maker struct {
	rep      *Report
	s        scenario.Scenario
	from     event.Micros
	n        int
	ops      map[event.Op]*op
	servers  map[event.Server]int
	routerOf map[event.RequestID]event.Router
	cpu      []event.Micros
	hints    []int
	lateOps  int
	stall    event.Micros
}

func (m *maker) second(at event.Micros) int { return max(0, min(m.n-1, int((at-m.from)/1e6))) }

func (m *maker) take(e event.Event) {
	rep, sec := m.rep, &m.rep.Seconds[m.second(e.At)]
	switch e.Kind {
	case event.OperationDue:
		m.ops[e.Op] = &op{wanted: e}
		rep.Ops.Wanted++
		sec.Wanted++
	case event.RequestSent:
		rep.Ops.Tries++
		rep.Routers[e.Router].Tries++
	case event.ConnectFailed:
		rep.Ops.Unreached++
	case event.ConnectionClosed:
		rep.Ops.Cut++
		sec.Failed++
	case event.ClientLeft:
		rep.Ops.Left++
	case event.Answered:
		switch e.Outcome {
		case event.Succeeded:
			sec.Satisfied++
			if o := m.ops[e.Op]; o != nil && !o.served {
				o.served, o.answered = true, e.At
			}
		case event.Rejected:
			rep.Ops.Nacked++
			sec.Nacked++
			i, _ := slices.BinarySearch(hintBounds, e.Limit)
			if e.Limit > 0 {
				i++
			}
			m.hints[i]++
		default:
			rep.Ops.Failed++
			sec.Failed++
		}
	case event.ConnectionAccepted:
		rep.Opened++
		sec.Opened++
	case event.ServerUp:
		if e.Server != "" {
			m.server(e.Server).Cold = e.Limit > 0
		}
	case event.AttemptReceived:
		rep.WriteOut.All++
		l := m.server(e.Server)
		l.All++
		l.By[m.second(e.At)]++
		if e.Server == "origin" {
			rep.WriteOut.Origin++
		}
	case event.AttemptEnded:
		switch e.Reply {
		case event.Miss:
			rep.WriteOut.Misses++
		case event.Refused:
			rep.WriteOut.Refused++
		case event.ConnectionLost, event.Malformed, event.Error:
			rep.WriteOut.Wasted++
		}
	case event.Fault:
		rep.Faults = append(rep.Faults, FaultMark{float64(e.At-m.from) / 1e6, e.Note, e.Limit == 1})
	case event.LabDelayed:
		m.stall = max(m.stall, e.Limit)
		if e.Note == "" {
			m.lateOps++
		}
	case event.ResourceSample:
		m.sample(e)
	}
}

func (m *maker) sample(e event.Event) {
	u, at := &m.rep.Routers[e.Router], m.second(e.At)
	if used := e.Limit - m.cpu[e.Router]; used > 0 && e.At > m.from && m.cpu[e.Router] > 0 { // less: it is a new process
		u.CPU[at] += float64(used) / 1e6
		u.CPUSeconds += float64(used) / 1e6
	}
	m.cpu[e.Router] = e.Limit
	mb := float64(e.Size) / (1 << 20)
	u.MemoryMB[at] = mb
	u.MemoryMaxMB = max(u.MemoryMaxMB, mb)
}

func (m *maker) server(uid event.Server) *ServerLoad {
	i, known := m.servers[uid]
	if !known {
		i = len(m.rep.Servers)
		m.servers[uid] = i
		m.rep.Servers = append(m.rep.Servers, ServerLoad{Server: uid, By: make([]int, m.n)})
	}
	return &m.rep.Servers[i]
}

// worth is asked for and earned criticality.
type worth struct {
	asked, earned float64
	ops           int
}

func (w worth) share() float64 {
	if w.asked == 0 {
		return 1
	}
	return w.earned / w.asked
}

func (w *worth) add(asked, earned float64) {
	w.asked, w.earned, w.ops = w.asked+asked, w.earned+earned, w.ops+1
}

func (m *maker) finish(planned int) {
	rep, s := m.rep, m.s
	var whole worth
	bySecond, byMethod, byTenant := make([]worth, m.n), make([]worth, len(s.Methods)), make([]worth, len(s.Tenants))
	all := hdrhistogram.New(1, 60e6, 3)
	each := make([]*hdrhistogram.Histogram, m.n)
	for _, o := range m.ops {
		method, at := s.Methods[o.wanted.Method], m.second(o.wanted.At)
		earned, took := 0.0, o.answered-o.wanted.At
		switch {
		case !o.served:
			rep.Ops.Unserved++
		case took <= method.LatencyBudget.Micros():
			earned = method.Criticality
			rep.Ops.InTime++
		default:
			earned = method.Criticality * method.LateShare
			rep.Ops.Late++
		}
		if o.served {
			if each[at] == nil {
				each[at] = hdrhistogram.New(1, 60e6, 3)
			}
			_ = all.RecordValue(max(1, int64(took))) // what is over the bound is no latency of a run
			_ = each[at].RecordValue(max(1, int64(took)))
		}
		whole.add(method.Criticality, earned)
		bySecond[at].add(method.Criticality, earned)
		byMethod[o.wanted.Method].add(method.Criticality, earned)
		if o.wanted.Tenant >= 0 {
			byTenant[o.wanted.Tenant].add(method.Criticality, earned)
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	rep.Latency = Latency{ms(all, 50), ms(all, 90), ms(all, 99), ms(all, 99.9), float64(all.Max()) / 1e3}
	rep.Service.Whole, rep.Service.Worst10s = whole.share(), worst(bySecond, 10)
	for i := range s.Methods {
		rep.Service.Methods = append(rep.Service.Methods, NamedPart{s.Methods[i].Name, byMethod[i].share(), byMethod[i].ops})
	}
	for i := range s.Tenants {
		rep.Service.Tenants = append(rep.Service.Tenants, NamedPart{s.Tenants[i].Name, byTenant[i].share(), byTenant[i].ops})
	}
	for i := range rep.Seconds {
		rep.Seconds[i].At, rep.Seconds[i].Service = i, bySecond[i].share()
		if each[i] != nil {
			rep.Seconds[i].P50, rep.Seconds[i].P99 = ms(each[i], 50), ms(each[i], 99)
		}
	}
	rep.WriteOut.PerTry = float64(rep.WriteOut.All) / float64(max(1, rep.Ops.Tries))
	for i := range rep.Routers {
		rep.Routers[i].CPUPerTryUs = 1e6 * rep.Routers[i].CPUSeconds / float64(max(1, rep.Routers[i].Tries))
	}
	for i, n := range m.hints {
		name := "none"
		switch {
		case i > len(hintBounds):
			name = "more"
		case i > 0:
			name = "to " + hintBounds[i-1].Duration().String()
		}
		rep.Nacks = append(rep.Nacks, Bucket{name, n})
	}
	slices.SortStableFunc(rep.Servers, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	rep.LateMs = float64(m.stall) / 1e3
	switch {
	case m.stall > voidStall:
		rep.Void = fmt.Sprintf("the lab itself stood still for %v; give it more of the machine", m.stall.Duration())
	case float64(m.lateOps) > voidShare*float64(max(1, planned)):
		rep.Void = fmt.Sprintf("%d of %d ops began over 20 ms late; lower the rate, or give the lab more of the machine", m.lateOps, planned)
	}
}

// worst is the least share over so many seconds in a row.
func worst(by []worth, span int) float64 {
	least := 1.0
	for i := 0; i == 0 || i+span <= len(by); i++ {
		var w worth
		for _, x := range by[i:min(len(by), i+span)] {
			w.asked, w.earned = w.asked+x.asked, w.earned+x.earned
		}
		least = min(least, w.share())
	}
	return least
}
