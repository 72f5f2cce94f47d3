package sitefailover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/tracetest"
)

// day is a fleet as its leader sees it: two routers and four servers a site, and a log that takes each order at once.
type day struct {
	now     clock.Time
	plan    Plan
	chief   *Coordinator
	orders  Orders // that all keep to
	rulings map[Site]Decision
	index   uint64
	down    map[Site]bool        // its routers are not heard
	there   map[Site]float64     // part of its servers that answer
	blind   map[[2]Site]bool     // what routers of the first see of the second: nothing
	offered []OfferedLoad        // of each router
	can     float64              // answers a second of a whole site
	said    func(string, ...any) // an order
	check   func(Orders, *Transition, []RouterState)
}

var sites = []Site{"a", "b", "c"}

func newDay() *day {
	d := &day{plan: DefaultPlan(), chief: NewCoordinator(0), rulings: map[Site]Decision{}, down: map[Site]bool{}, there: map[Site]float64{},
		blind: map[[2]Site]bool{}, offered: []OfferedLoad{{1000001, 20}, {600001, 60}, {200001, 20}}, can: 250, said: func(string, ...any) {}}
	for _, s := range sites {
		d.plan.Sites = append(d.plan.Sites, SitePlan{Name: s, Capacity: d.can})
		d.there[s] = 1
	}
	return d
}

func (d *day) rows() (rows []RouterState) {
	let, answered, heard := 0.0, 0.0, 0.0
	for _, s := range sites {
		if !d.down[s] {
			heard += 2
		}
		answered += d.can * d.there[s] * d.rulings[s].share(&d.plan)
	}
	for _, o := range d.offered {
		let += o.Rate * heard
	}
	asked := let
	if t := d.orders.AdmissionTarget; t > 0 {
		let = min(let, t)
	}
	lost := max(0, let-answered)
	for _, s := range sites {
		for i := range 2 {
			r := RouterState{Name: fmt.Sprint(s, i), Site: s, Reporting: !d.down[s]}
			if r.Reporting {
				r.Report = Report{Site: s, Offered: d.offered, AdmittedRate: let / heard, FailedRate: lost / heard, AdmittedWeight: let / heard, FailedWeight: lost / heard, AdmissionTarget: d.orders.AdmissionTarget}
				for _, of := range sites {
					n := int(4*d.there[of] + 0.5)
					if d.blind[[2]Site{s, of}] {
						n = 0
					}
					r.Report.Observations = append(r.Report.Observations, SiteObservation{Site: of, ExpectedServers: 4, ListedServers: 4, SilentServers: 4 - n, AnswerRate: min(d.can, asked/3) * d.there[of] / heard})
				}
			}
			rows = append(rows, r)
		}
	}
	return rows
}

func (d *day) step() {
	rows := d.rows()
	orders, order := d.chief.Evaluate(d.now, &d.plan, d.rulings, rows)
	if d.check != nil {
		d.check(orders, order, rows)
	}
	d.orders = orders
	d.take(order)
	d.now += 100e3
}

func (d *day) take(o *Transition) {
	if o == nil || d.rulings[o.Site].Index != o.PreviousIndex {
		return
	}
	d.index++
	o.Decision.Index = d.index
	d.rulings[o.Site] = o.Decision
	d.said("%.1f %s: %s step %d fails %d by %s: %s", float64(d.now)/1e6, o.Site, o.Stage, o.Step+1, o.RepeatedLosses, o.DecidedBy, o.Reason)
}

// A script has what happens at a time, in seconds; below stands what was ruled up to then, and what the fleet keeps to.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		d := newDay()
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			words := strings.Fields(line)
			d.said = say
			seconds, err := strconv.ParseFloat(words[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			for d.now < clock.Time(seconds*1e6) {
				d.step()
			}
			part := func(text string) float64 {
				x, err := strconv.ParseFloat(text, 64)
				if err != nil {
					t.Fatal(line, err)
				}
				return x
			}
			site := func() Site { return Site(words[2]) }
			switch words[1] {
			case "look":
				s := d.chief.Status()
				for _, x := range s.Sites {
					say("%s %s keys %.2f bears %.0f %s", x.Name, x.DisplayStage(), x.KeyShare, x.Capacity, x.WaitingFor)
				}
				for _, x := range s.Orders.FailoverWeights {
					say("of lost keys to servers of %s: %.2f", x.Site, x.Fraction)
				}
				say("bears %.0f (%s) target %.0f least %d some %.2f", s.Capacity, s.LimitingSite, s.Orders.AdmissionTarget, s.Orders.MinRank, s.Orders.MinRankFraction)
			case "down", "up": // the whole site
				d.down[site()], d.there[site()] = words[1] == "down", map[string]float64{"down": 0, "up": 1}[words[1]]
			case "servers":
				d.there[site()] = part(words[3])
			case "mute": // its routers
				d.down[site()] = words[3] == "on"
			case "blind":
				d.blind[[2]Site{site(), Site(words[3])}] = words[4] == "on"
			case "load":
				for i := range d.offered {
					d.offered[i].Rate *= part(words[2])
				}
			case "bears", "prefer": // "bears a 400", "prefer b a"
				for i := range d.plan.Sites {
					if p := &d.plan.Sites[i]; p.Name == site() && words[1] == "bears" {
						p.Capacity = part(words[3])
					} else if p.Name == site() {
						p.PreferredTargets = append(p.PreferredTargets, Site(words[3]))
					}
				}
			case "leader":
				d.chief = NewCoordinator(d.now)
			case "word":
				o, err := Command{Site: site(), Action: Action(words[3]), Author: "ann", Reason: "told by phone"}.Transition(&d.plan, d.rulings)
				if err != nil {
					say("%v", err)
				}
				d.take(o)
			default:
				t.Fatal(line)
			}
		})
	})
}

// In days of random troubles nothing is ever ruled on evidence that is not there, no site is given more at once than a step,
// what is let in fits the target, and once all is well again every site is back and nothing is refused.
func TestAnyDayEndsWell(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 3))
		d := newDay()
		for i := range d.offered {
			d.offered[i].Rate *= 0.5 + 1.5*r.Float64()
		}
		d.check = func(o Orders, order *Transition, rows []RouterState) {
			sum := 0.0
			for _, x := range pool(rows) {
				switch {
				case x.Rank > o.MinRank:
					sum += x.Rate
				case x.Rank == o.MinRank:
					sum += x.Rate * o.MinRankFraction
				}
			}
			if o.AdmissionTarget > 0 && sum > o.AdmissionTarget+1e-6 {
				t.Fatalf("seed %d, %v: %.1f is let in, and the target is %.1f", seed, d.now, sum, o.AdmissionTarget)
			}
			if order == nil {
				return
			}
			was := d.rulings[order.Site]
			switch {
			case order.Stage == Lost && was.Stage == Up:
				deaf := 0
				for _, s := range sites {
					if s != order.Site && !d.down[s] && (d.there[order.Site] <= nearlyNone || d.blind[[2]Site{s, order.Site}]) {
						deaf++
					}
				}
				if deaf < 2 && deaf < len(sites)-1-boolCount(d.down, order.Site) {
					t.Fatalf("seed %d, %v: %s is called lost by %d sites", seed, d.now, order.Site, deaf)
				}
			case order.Stage == Recovering && was.Stage == Lost:
				if d.down[order.Site] || d.there[order.Site] < half {
					t.Fatalf("seed %d, %v: %s returns, and is not there", seed, d.now, order.Site)
				}
			case order.Stage == Recovering && order.Step != was.Step+1, order.Stage == Up && was.Step != len(d.plan.RecoverySteps)-1:
				t.Fatalf("seed %d, %v: from step %d to %v", seed, d.now, was.Step, order.Decision)
			}
		}
		for range 40 {
			s, other := sites[r.IntN(3)], sites[r.IntN(3)]
			switch r.IntN(6) {
			case 0:
				d.down[s], d.there[s] = true, 0
			case 1:
				d.down[s], d.there[s] = false, 1
			case 2:
				d.there[s] = float64(r.IntN(5)) / 4
			case 3:
				d.blind[[2]Site{s, other}] = !d.blind[[2]Site{s, other}] && s != other
			case 4:
				d.down[s] = !d.down[s]
			case 5:
				d.chief = NewCoordinator(d.now)
			}
			for range r.IntN(40) {
				d.step()
			}
		}
		clear(d.down)
		clear(d.blind)
		for _, s := range sites {
			d.there[s] = 1
		}
		for i := range d.offered {
			d.offered[i].Rate = 30
		}
		for range 10 * 60 * 30 { // waits double with each loss that follows
			if d.step(); d.well() {
				break
			}
		}
		if !d.well() {
			t.Fatalf("seed %d: at the end it is %v, and the target is %.0f", seed, d.rulings, d.chief.throttle.target)
		}
	}
}

func (d *day) well() bool {
	for _, s := range sites {
		if d.rulings[s].Stage != Up {
			return false
		}
	}
	return d.chief.throttle.target == 0
}

func boolCount(of map[Site]bool, but Site) (n int) {
	for s, on := range of {
		if on && s != but {
			n++
		}
	}
	return n
}

// A tenant over its share goes first, whatever its method.
func ExampleForecastLoss() {
	loads := []ExpectedLoad{{Method: "status", Rate: 420}, {Method: "alert", Rate: 70}, {Method: "report", Rate: 150}, {Method: "report", Tenant: "dairy", Rate: 60}}
	asked := DistributeLoads(loads, map[string]float64{"status": 0.6, "alert": 1, "report": 0.2}, map[string]float64{"grain": 0.8, "dairy": 0.2}, 0.1)
	o := ForecastLoss([]SiteCapacity{{Site: "hill", Servers: 3, Capacity: 250}, {Site: "coast", Servers: 3, Capacity: 250}, {Site: "valley", Servers: 2, Capacity: 200}}, asked, []Site{"coast"})
	fmt.Printf("asked %.0f, borne %.0f, %s binds\n", o.OfferedRate, o.Capacity, o.LimitingSite)
	for _, r := range slices.Concat(o.ByMethod, o.ByTenant) {
		fmt.Printf("%s %.0f of %.0f\n", r.Name, r.ShedRate, r.OfferedRate)
	}
	// Output:
	// asked 700, borne 450, hill binds
	// alert 14 of 70
	// status 84 of 420
	// report 152 of 210
	// grain 62 of 512
	// dairy 188 of 188
}

// What a site had is known once its servers are gone from the list, and forgotten in the end.
func ExampleServerCounts() {
	var m ServerCounts
	for _, x := range []struct {
		at     clock.Time
		listed int
	}{{0, 3}, {10e6, 4}, {20e6, 0}, {500e6, 2}, {700e6, 1}, {2000e6, 1}} {
		fmt.Println(x.at/1e6, x.listed, m.Record(x.at, []SiteObservation{{Site: "a", ListedServers: x.listed}})[0].ExpectedServers)
	}
	// Output:
	// 0 3 3
	// 10 4 4
	// 20 0 4
	// 500 2 4
	// 700 1 2
	// 2000 1 1
}
