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
)

// Loss is what clients saw before, in and after the loss of a site, by when ops came up.
type SiteLoss struct {
	Onset           Phase   `json:"onset"` // the first two seconds of the loss: nobody knows yet
	Before          Phase   `json:"before"`
	During          Phase   `json:"in"`
	Return          Phase   `json:"return"`       // eight seconds from its end on
	After           Phase   `json:"after"`        // until the end of the run
	RecoverySeconds float64 `json:"back_s"`       // from its end until service was as before for a second
	Dip             float64 `json:"dip"`          // the deepest fall of a second's service after that, against before
	RejectedShare   float64 `json:"refused_part"` // of the first tries in the loss
}

// Phase is a part of a run.
type Phase struct {
	Seconds  float64      `json:"seconds"`
	Service  float64      `json:"service"`
	Methods  []NamedShare `json:"methods"`
	Tenants  []NamedShare `json:"tenants"`
	Goodput  float64      `json:"goodput"` // ops a second that were answered in time
	Rejected []NamedShare `json:"refused"` // part of the first tries that were rejected, by method
	// P99 is that of the tries that were satisfied, as a part of the method's latency budget; the worst method's.
	P99 float64 `json:"p99_of_budget"`
	// Inversions are first tries that were rejected while a less critical one that came within the same quarter of a second
	// was served, as a part of all first tries.
	Inversions float64 `json:"inversions"`
}

const (
	onsetSpan  = 2e6
	returnSpan = 8e6
	bucketSpan = 250e3
)

// firstTry is the first try of an op, and what became of the op.
type firstTry struct {
	wanted event.Event
	asked  event.Micros
	out    event.Outcome
	at     event.Micros // the op was served; 0: never
}

// lossOf looks for the loss of a site; nil where there is none.
func lossOf(r fleet.Result) *SiteLoss {
	from, until := event.Micros(-1), event.Micros(-1)
	for _, e := range r.Events {
		if e.Kind == event.Fault && (e.Note == "site_lost" || e.Note == "zone_lost") {
			if e.Limit == 0 && from < 0 {
				from = e.At
			} else if e.Limit == 1 {
				until = e.At
			}
		}
	}
	if from < 0 || until < 0 {
		return nil
	}
	tries, byReq := map[event.Op]*firstTry{}, map[event.Req]event.Event{}
	for _, e := range r.Events {
		switch e.Kind {
		case event.Wanted:
			tries[e.Op] = &firstTry{wanted: e}
		case event.Asked:
			byReq[e.Req] = e
			if t := tries[e.Op]; t != nil && t.asked == 0 {
				t.asked = e.At
			}
		case event.Answered:
			t := tries[e.Op]
			if t == nil {
				continue
			}
			if byReq[e.Req].At == t.asked {
				t.out = e.Outcome
			}
			if e.Outcome == event.Satisfied && t.at == 0 {
				t.at = e.At
			}
		}
	}
	end := r.ClientsStart + r.Scenario.Length.Micros()
	l := &SiteLoss{Before: phase(r, tries, byReq, r.ClientsStart+2e6, from), Onset: phase(r, tries, byReq, from, min(until, from+onsetSpan)),
		During: phase(r, tries, byReq, min(until, from+onsetSpan), until), Return: phase(r, tries, byReq, until, min(end, until+returnSpan)),
		After: phase(r, tries, byReq, min(end, until+returnSpan), end), RecoverySeconds: -1}
	nacked, all := 0, 0
	for _, t := range tries {
		if t.wanted.At >= from+onsetSpan && t.wanted.At < until && t.asked > 0 {
			if all++; t.out == event.Nacked {
				nacked++
			}
		}
	}
	l.RejectedShare = float64(nacked) / float64(max(1, all))
	for at := until; at+1e6 <= end; at += bucketSpan {
		s := phase(r, tries, byReq, at, at+1e6).Service
		switch {
		case l.RecoverySeconds < 0 && s >= l.Before.Service-0.03:
			l.RecoverySeconds = float64(at-until) / 1e6
		case l.RecoverySeconds >= 0:
			l.Dip = max(l.Dip, l.Before.Service-s)
		}
	}
	return l
}

func phase(r fleet.Result, tries map[event.Op]*firstTry, byReq map[event.Req]event.Event, from, until event.Micros) Phase {
	s := r.Scenario
	p := Phase{Seconds: float64(until-from) / 1e6}
	var whole worth
	methods, tenants, refused := make([]worth, len(s.Methods)), make([]worth, len(s.Tenants)), make([]worth, len(s.Methods))
	inTime, firsts, inverted := 0, 0, 0
	type counts struct{ nacked, served map[float64]int }
	buckets := map[event.Micros]counts{}
	for _, t := range tries {
		if t.wanted.At < from || t.wanted.At >= until {
			continue
		}
		m := s.Methods[t.wanted.Method]
		earned := 0.0
		switch took := t.at - t.wanted.At; {
		case t.at == 0:
		case took <= m.LatencyBudget.Micros():
			earned = m.Criticality
			inTime++
		default:
			earned = m.Criticality * m.LateShare
		}
		whole.add(m.Criticality, earned)
		methods[t.wanted.Method].add(m.Criticality, earned)
		if t.wanted.Tenant >= 0 {
			tenants[t.wanted.Tenant].add(m.Criticality, earned)
		}
		if t.asked == 0 {
			continue
		}
		firsts++
		b := buckets[t.asked/bucketSpan]
		if b.nacked == nil {
			b = counts{map[float64]int{}, map[float64]int{}}
			buckets[t.asked/bucketSpan] = b
		}
		no := 0.0
		if t.out == event.Nacked {
			no = 1
			b.nacked[m.Criticality]++
		} else if t.out == event.Satisfied {
			b.served[m.Criticality]++
		}
		refused[t.wanted.Method].add(1, no)
	}
	for _, b := range buckets {
		inverted += inversions(b.nacked, b.served)
	}
	p.Service, p.Goodput = whole.share(), float64(inTime)/max(1e-9, p.Seconds)
	p.Inversions = float64(inverted) / float64(max(1, firsts))
	for i := range s.Methods {
		p.Methods = append(p.Methods, NamedShare{s.Methods[i].Name, methods[i].share(), methods[i].ops})
		if refused[i].ops > 0 {
			p.Rejected = append(p.Rejected, NamedShare{s.Methods[i].Name, refused[i].share(), refused[i].ops})
		}
	}
	for i := range s.Tenants {
		p.Tenants = append(p.Tenants, NamedShare{s.Tenants[i].Name, tenants[i].share(), tenants[i].ops})
	}
	p.P99 = worstP99(r, byReq, from, until)
	return p
}

// inversions pairs as many rejections as can be with one served each that is worth less: the cheapest with the cheapest first.
func inversions(nacked, served map[float64]int) (n int) {
	left := maps.Clone(served)
	cheap := slices.Sorted(maps.Keys(served))
	for _, w := range slices.Sorted(maps.Keys(nacked)) {
		k := nacked[w]
		for _, c := range cheap {
			if c < w {
				pairs := min(k, left[c])
				n, k, left[c] = n+pairs, k-pairs, left[c]-pairs
			}
		}
	}
	return n
}

// worstP99 is over the tries that were asked in a span and satisfied, from the last byte asked to the last one answered.
func worstP99(r fleet.Result, byReq map[event.Req]event.Event, from, until event.Micros) (worst float64) {
	each := make([]*hdrhistogram.Histogram, len(r.Scenario.Methods))
	for _, e := range r.Events {
		asked, known := byReq[e.Req]
		if e.Kind != event.Answered || e.Outcome != event.Satisfied || !known || asked.At < from || asked.At >= until {
			continue
		}
		if each[asked.Method] == nil {
			each[asked.Method] = hdrhistogram.New(1, 60e6, 3)
		}
		_ = each[asked.Method].RecordValue(max(1, int64(e.At-asked.At))) // what is over the bound is no latency of a run
	}
	for i, h := range each {
		if h != nil {
			worst = max(worst, float64(h.ValueAtQuantile(99))/float64(r.Scenario.Methods[i].LatencyBudget))
		}
	}
	return worst
}

// lossFigures are compared where a site was lost.
var lossFigures = []Metric{
	{"in the loss: service", func(r Report) float64 { return r.SiteLoss.During.Service }, false},
	{"in the loss: highest criticality", func(r Report) float64 { return r.SiteLoss.During.highest(r) }, false},
	{"in the loss: goodput /s", func(r Report) float64 { return r.SiteLoss.During.Goodput }, false},
	{"in the loss: p99 of budget", func(r Report) float64 { return r.SiteLoss.During.P99 }, true},
	{"in the loss: inversions", func(r Report) float64 { return r.SiteLoss.During.Inversions }, true},
	{"return, 8 s: service", func(r Report) float64 { return r.SiteLoss.Return.Service }, false},
	{"return: seconds until as before", func(r Report) float64 { return r.SiteLoss.RecoverySeconds }, true},
	{"return: dip after that", func(r Report) float64 { return r.SiteLoss.Dip }, true},
	{"after: service", func(r Report) float64 { return r.SiteLoss.After.Service }, false},
}

// highest is the service of the most critical methods.
func (p Phase) highest(r Report) float64 {
	asked, earned := 0.0, 0.0
	for _, m := range p.Methods {
		if slices.Contains(r.MostCritical, m.Name) {
			asked, earned = asked+float64(m.Ops), earned+m.Share*float64(m.Ops)
		}
	}
	return earned / max(1, asked)
}

// lossTable writes the parts for people.
func lossTable(w io.Writer, l *SiteLoss) error {
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
