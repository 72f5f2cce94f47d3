package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/scenario"
)

// SiteLoss holds what clients observed before, during and after the loss of a site. Operations count by their scheduled
// start.
type SiteLoss struct {
	Onset           Phase   `json:"onset"` // first two seconds of the loss, before it is detected
	Before          Phase   `json:"before"`
	During          Phase   `json:"in"`
	Return          Phase   `json:"return"`       // first eight seconds after its end
	After           Phase   `json:"after"`        // rest of the run
	RecoverySeconds float64 `json:"back_s"`       // seconds from its end until one second of service was as before; -1: never
	Dip             float64 `json:"dip"`          // largest drop of one second's service after that, relative to before
	RejectedShare   float64 `json:"refused_part"` // of first requests during the loss
}

// Phase holds the metrics of one phase of a run.
type Phase struct {
	Seconds  float64      `json:"seconds"`
	Service  float64      `json:"service"`
	Methods  []NamedShare `json:"methods"`
	Tenants  []NamedShare `json:"tenants"`
	Goodput  float64      `json:"goodput"` // operations per second that were answered in time
	Rejected []NamedShare `json:"refused"` // rejected share of first requests, by method
	// P99 is the p99 latency of successful requests as a fraction of the latency budget, for the worst method.
	P99 float64 `json:"p99_of_budget"`
	// Inversions is the share of first requests that were rejected while a less critical one that was sent within the same
	// quarter of a second was served.
	Inversions float64 `json:"inversions"`
}

const (
	onsetSpan  = 2e6
	returnSpan = 8e6
	bucketSpan = 250e3
)

// firstRequest is the first request of an operation, with the outcome of the operation.
type firstRequest struct {
	offered  event.Event
	sentAt   event.Micros
	outcome  event.Outcome
	servedAt event.Micros // when the operation was served; 0: never
}

// earned returns the criticality that the operation earned, and whether it was served within its latency budget.
func (t *firstRequest) earned(m scenario.Method) (criticality float64, inTime bool) {
	switch latency := t.servedAt - t.offered.At; {
	case t.servedAt == 0:
		return 0, false
	case latency <= m.LatencyBudget.Micros():
		return m.Criticality, true
	default:
		return m.Criticality * m.LateShare, false
	}
}

// siteLossOf returns the metrics of the loss of a site, or nil if no site was lost.
func siteLossOf(r fleet.Result) *SiteLoss {
	from, until := lossSpan(r)
	if from < 0 || until < 0 {
		return nil
	}
	requests, byReq := firstRequests(r)
	end := r.ClientsStart + r.Scenario.Length.Micros()
	loss := &SiteLoss{Before: measurePhase(r, requests, byReq, r.ClientsStart+2e6, from), Onset: measurePhase(r, requests, byReq, from, min(until, from+onsetSpan)),
		During: measurePhase(r, requests, byReq, min(until, from+onsetSpan), until), Return: measurePhase(r, requests, byReq, until, min(end, until+returnSpan)),
		After: measurePhase(r, requests, byReq, min(end, until+returnSpan), end), RecoverySeconds: -1}
	loss.RejectedShare = rejectedShare(requests, from+onsetSpan, until)
	for at := until; at+1e6 <= end; at += bucketSpan {
		s := measurePhase(r, requests, byReq, at, at+1e6).Service
		switch {
		case loss.RecoverySeconds < 0 && s >= loss.Before.Service-0.03:
			loss.RecoverySeconds = float64(at-until) / 1e6
		case loss.RecoverySeconds >= 0:
			loss.Dip = max(loss.Dip, loss.Before.Service-s)
		}
	}
	return loss
}

// rejectedShare returns the rejected share of the first requests of operations that started within a span.
func rejectedShare(requests map[event.Op]*firstRequest, from, until event.Micros) float64 {
	rejected, all := 0, 0
	for _, t := range requests {
		if t.offered.At >= from && t.offered.At < until && t.sentAt > 0 {
			if all++; t.outcome == event.Rejected {
				rejected++
			}
		}
	}
	return float64(rejected) / float64(max(1, all))
}

// lossSpan returns when the loss of a site began and ended; -1 for a time that was not recorded.
func lossSpan(r fleet.Result) (from, until event.Micros) {
	from, until = event.Micros(-1), event.Micros(-1)
	for _, e := range r.Events {
		if e.Kind == event.Fault && (e.Note == "site_lost" || e.Note == "zone_lost") {
			if e.Limit == 0 && from < 0 {
				from = e.At
			} else if e.Limit == 1 {
				until = e.At
			}
		}
	}
	return from, until
}

// firstRequests returns the first request of each operation, and the event of each request when it was sent.
func firstRequests(r fleet.Result) (map[event.Op]*firstRequest, map[event.RequestID]event.Event) {
	requests, byReq := map[event.Op]*firstRequest{}, map[event.RequestID]event.Event{}
	for _, e := range r.Events {
		switch e.Kind {
		case event.OperationDue:
			requests[e.Op] = &firstRequest{offered: e}
		case event.RequestSent:
			byReq[e.Request] = e
			if t := requests[e.Op]; t != nil && t.sentAt == 0 {
				t.sentAt = e.At
			}
		case event.Answered:
			t := requests[e.Op]
			if t == nil {
				continue
			}
			if byReq[e.Request].At == t.sentAt {
				t.outcome = e.Outcome
			}
			if e.Outcome == event.Succeeded && t.servedAt == 0 {
				t.servedAt = e.At
			}
		}
	}
	return requests, byReq
}

// measurePhase computes the metrics of the operations that started within a span.
func measurePhase(r fleet.Result, requests map[event.Op]*firstRequest, byReq map[event.RequestID]event.Event, from, until event.Micros) Phase {
	s := r.Scenario
	p := Phase{Seconds: float64(until-from) / 1e6}
	var overall valueSum
	methods, tenants, refused := make([]valueSum, len(s.Methods)), make([]valueSum, len(s.Tenants)), make([]valueSum, len(s.Methods))
	inTime, sent, inverted := 0, 0, 0
	type counts struct{ rejected, served map[float64]int }
	buckets := map[event.Micros]counts{}
	for _, t := range requests {
		if t.offered.At < from || t.offered.At >= until {
			continue
		}
		m := s.Methods[t.offered.Method]
		earned, isInTime := t.earned(m)
		if isInTime {
			inTime++
		}
		overall.add(m.Criticality, earned)
		methods[t.offered.Method].add(m.Criticality, earned)
		if t.offered.Tenant >= 0 {
			tenants[t.offered.Tenant].add(m.Criticality, earned)
		}
		if t.sentAt == 0 {
			continue
		}
		sent++
		b := buckets[t.sentAt/bucketSpan]
		if b.rejected == nil {
			b = counts{map[float64]int{}, map[float64]int{}}
			buckets[t.sentAt/bucketSpan] = b
		}
		rejected := 0.0
		if t.outcome == event.Rejected {
			rejected = 1
			b.rejected[m.Criticality]++
		} else if t.outcome == event.Succeeded {
			b.served[m.Criticality]++
		}
		refused[t.offered.Method].add(1, rejected)
	}
	for _, b := range buckets {
		inverted += countInversions(b.rejected, b.served)
	}
	p.Service, p.Goodput = overall.share(), float64(inTime)/max(1e-9, p.Seconds)
	p.Inversions = float64(inverted) / float64(max(1, sent))
	p.setShares(s, methods, tenants, refused)
	p.P99 = worstP99(r, byReq, from, until)
	return p
}

// setShares sets the shares by method and tenant. refused sums the rejected first requests by method.
func (p *Phase) setShares(s scenario.Scenario, methods, tenants, refused []valueSum) {
	for i := range s.Methods {
		p.Methods = append(p.Methods, NamedShare{s.Methods[i].Name, methods[i].share(), methods[i].ops})
		if refused[i].ops > 0 {
			p.Rejected = append(p.Rejected, NamedShare{s.Methods[i].Name, refused[i].share(), refused[i].ops})
		}
	}
	for i := range s.Tenants {
		p.Tenants = append(p.Tenants, NamedShare{s.Tenants[i].Name, tenants[i].share(), tenants[i].ops})
	}
}

// countInversions returns the largest number of rejections that can be paired with a served request of lower criticality,
// by matching the least critical ones first.
func countInversions(rejected, served map[float64]int) (n int) {
	unpaired := maps.Clone(served)
	criticalities := slices.Sorted(maps.Keys(served))
	for _, w := range slices.Sorted(maps.Keys(rejected)) {
		k := rejected[w]
		for _, c := range criticalities {
			if c < w {
				pairs := min(k, unpaired[c])
				n, k, unpaired[c] = n+pairs, k-pairs, unpaired[c]-pairs
			}
		}
	}
	return n
}

// worstP99 returns the highest p99 of a method as a fraction of its latency budget, over the successful requests that were
// sent within a span. Latency counts from the last byte of the request to the last byte of the answer.
func worstP99(r fleet.Result, byReq map[event.RequestID]event.Event, from, until event.Micros) (worst float64) {
	histograms := make([]*hdrhistogram.Histogram, len(r.Scenario.Methods))
	for _, e := range r.Events {
		sent, known := byReq[e.Request]
		if e.Kind != event.Answered || e.Outcome != event.Succeeded || !known || sent.At < from || sent.At >= until {
			continue
		}
		if histograms[sent.Method] == nil {
			histograms[sent.Method] = hdrhistogram.New(1, 60e6, 3)
		}
		_ = histograms[sent.Method].RecordValue(max(1, int64(e.At-sent.At))) // fails above the bound of a minute, which no latency of a run reaches
	}
	for i, h := range histograms {
		if h != nil {
			worst = max(worst, float64(h.ValueAtQuantile(99))/float64(r.Scenario.Methods[i].LatencyBudget))
		}
	}
	return worst
}

// lossMetrics are compared if a site was lost in all runs.
var lossMetrics = []Metric{
	{"in the loss: service", func(r Report) float64 { return r.SiteLoss.During.Service }, false},
	{"in the loss: highest criticality", func(r Report) float64 { return r.SiteLoss.During.mostCriticalService(r) }, false},
	{"in the loss: goodput /s", func(r Report) float64 { return r.SiteLoss.During.Goodput }, false},
	{"in the loss: p99 of budget", func(r Report) float64 { return r.SiteLoss.During.P99 }, true},
	{"in the loss: inversions", func(r Report) float64 { return r.SiteLoss.During.Inversions }, true},
	{"return, 8 s: service", func(r Report) float64 { return r.SiteLoss.Return.Service }, false},
	{"return: seconds until as before", func(r Report) float64 { return r.SiteLoss.RecoverySeconds }, true},
	{"return: dip after that", func(r Report) float64 { return r.SiteLoss.Dip }, true},
	{"after: service", func(r Report) float64 { return r.SiteLoss.After.Service }, false},
}

// mostCriticalService returns the service of the most critical methods.
func (p Phase) mostCriticalService(r Report) float64 {
	offered, earned := 0.0, 0.0
	for _, m := range p.Methods {
		if slices.Contains(r.MostCritical, m.Name) {
			offered, earned = offered+float64(m.Ops), earned+m.Share*float64(m.Ops)
		}
	}
	return earned / max(1, offered)
}

// writeLossTable writes the phases of a site loss as a table.
func writeLossTable(w io.Writer, l *SiteLoss) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "site lost\tservice\tgoodput/s\tp99 of budget\tinversions\t")
	for _, m := range l.Before.Methods {
		fmt.Fprintf(t, "%s\t", m.Name)
	}
	for _, m := range l.Before.Tenants {
		fmt.Fprintf(t, "%s\t", m.Name)
	}
	fmt.Fprintln(t)
	for _, x := range []struct {
		name string
		p    Phase
	}{{"before", l.Before}, {"its first 2 s", l.Onset}, {"in the loss", l.During}, {"8 s of return", l.Return}, {"after", l.After}} {
		fmt.Fprintf(t, "%s\t%.3f\t%.0f\t%.2f\t%.4f\t", x.name, x.p.Service, x.p.Goodput, x.p.P99, x.p.Inversions)
		for _, m := range append(slices.Clone(x.p.Methods), x.p.Tenants...) {
			fmt.Fprintf(t, "%.3f\t", m.Share)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprint(w, "first tries nacked in the loss, by method:")
	for _, m := range l.During.Rejected {
		fmt.Fprintf(w, " %s %.3f", m.Name, m.Share)
	}
	_, err := fmt.Fprintf(w, "; all %.3f\nas before %.2f s after its return; deepest fall after that %.3f\n", l.RejectedShare, l.RecoverySeconds, l.Dip)
	return err
}
