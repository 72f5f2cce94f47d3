package sitefailover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// Row is one router that is there, or was lately, as the leader knows it.
type RouterState struct {
	Name      string
	Site      Site
	Reporting bool // its last report is new
	Report    Report
}

// Coordinator is the leader's side; a new leader begins with a new one. It is not safe for use by several goroutines at once.
type Coordinator struct {
	began    clock.Time
	sites    map[Site]*watch
	throttle throttle
	load     float64 // answers a second while all sites were whole
	status   Status
}

// watch is what the leader has seen of a site.
type watch struct {
	decision Decision
	since    clock.Time // it knows of that decision
	lost     float64    // the part of the worth let in that was given up then
	gone     clock.Time // since when the evidence is that it is lost; 0: it is not
	there    clock.Time // since when that it is back
	servers  int
	best     float64 // answers a second, of late
	bestAt   clock.Time
}

// settle is how long a new leader listens before it rules on anything.
const settle = 1500e3

// soon after its return a loss counts as one more of the same.
const soon = 60e6

// NewCoordinator begins as leader.
func NewCoordinator(now clock.Time) *Coordinator {
	return &Coordinator{began: now, sites: map[Site]*watch{}}
}

// Order is an entry that is to be in the log: what a site counts as from then on. It holds only while Decision is what the
// site counted as when it was made.
type Transition struct {
	Site          Site
	PreviousIndex uint64 `json:"On"` // the index of the decision that it follows
	Decision
}

// Step looks at all routers anew. It tells what they are to keep to, and rules on a site where it is time to.
func (c *Coordinator) Evaluate(now clock.Time, p *Plan, decisions map[Site]Decision, rows []RouterState) (Orders, *Transition) {
	if !p.Enabled() {
		c.throttle, c.status = throttle{}, Status{}
		return Orders{}, nil
	}
	slices.SortFunc(rows, func(a, b RouterState) int { return cmp.Compare(a.Name, b.Name) })
	heard := slices.DeleteFunc(slices.Clone(rows), func(r RouterState) bool { return !r.Reporting })
	if c.throttle.target == 0 && now-c.began < settle {
		c.throttle.target = told(heard) // that another leader had come to
	}
	offered, let, lost, worth, missed, origin := pool(heard), 0.0, 0.0, 0.0, 0.0, 0.0
	for _, r := range heard {
		let, lost, origin = let+r.Report.AdmittedRate, lost+r.Report.FailedRate, max(origin, r.Report.OriginSlowdown)
		worth, missed = worth+r.Report.AdmittedWeight, missed+r.Report.FailedWeight
	}
	missed /= max(1, worth)
	s := Status{Now: now, OriginSlowdown: origin, AdmittedRate: let, FailedRate: lost}
	var orders Orders
	var order *Transition
	var stands []standing
	trouble, latest, away := false, uint64(0), 0.0
	for _, place := range p.Sites {
		w := c.watch(now, place.Name, decisions[place.Name], missed)
		e := evidence(place.Name, rows, heard)
		w.see(now, e)
		share := w.decision.share(p)
		bears := cmp.Or(place.Capacity, w.best)
		there := e.there
		if w.decision.Stage != Lost && now-c.began >= settle && !e.known {
			there = 0
		}
		row := SiteStatus{Decision: w.decision, Name: place.Name, KeyShare: share, Capacity: bears * share * there, CapacityPlanned: place.Capacity > 0, Responding: there,
			Routers: e.routers, ReportingRouters: e.heard}
		if row.degraded() {
			trouble = true
		}
		away += float64(e.usual) * (1 - share)
		stands = append(stands, standing{place.Name, float64(e.usual) * share * there, row.Capacity})
		if share < 1 {
			orders.KeyShares = append(orders.KeyShares, SiteShare{place.Name, share})
			if w.decision.Index >= latest { // of two that are away the last one's
				latest, orders.FailoverWeights = w.decision.Index, w.decision.FailoverWeights
			}
		}
		if now-c.began >= settle {
			next, why := w.next(now, p, e, missed, origin)
			row.WaitingFor = why
			if next != nil && next.Stage == Lost && last(p, place.Name, decisions) {
				next, row.WaitingFor = nil, "it is the only site that is not lost"
			}
			if next != nil && order == nil { // one at a time
				next.Site, next.PreviousIndex = place.Name, w.decision.Index
				switch {
				case next.Stage == Lost && w.decision.Stage == Up:
					next.FailoverWeights = c.FailoverWeights(p, place.Name, decisions)
				case next.Stage != Up:
					next.FailoverWeights = w.decision.FailoverWeights
				}
				order = next
			}
		}
		s.Sites = append(s.Sites, row)
	}
	if !trouble {
		c.load += (let - lost - c.load) / 20
	}
	settleOn(stands, away, orders.FailoverWeights)
	s.Capacity, s.LimitingSite = bears(stands)
	s.MeasuredCapacityRatio = c.throttle.more
	c.throttle.step(now, offered, let-lost, missed, s.Capacity, trouble)
	if t := c.throttle.target; t > 0 {
		orders.AdmissionTarget = t
		orders.MinRank, orders.MinRankFraction = cut(offered, t)
		orders.RetryAfter, orders.OriginReadRate = comeBack, p.OriginReadRate
	}
	s.Orders, s.Offered = orders, offered
	c.status = s
	return orders, order
}

// comeBack is what those refused are told at most: nobody knows how long a site stays lost. Who is told less comes back
// into the same overload, and the settings' longest hint holds anyhow.
const comeBack = 30e6

// told is the target that most routers keep to.
func told(rows []RouterState) float64 {
	var all []float64
	for _, r := range rows {
		all = append(all, r.Report.AdmissionTarget)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (c *Coordinator) watch(now clock.Time, site Site, r Decision, lost float64) *watch {
	w := c.sites[site]
	if w == nil {
		w = &watch{since: now}
		c.sites[site] = w
	}
	if w.decision.Index != r.Index {
		w.since, w.gone, w.there, w.lost = now, 0, 0, lost
	}
	w.decision = r
	return w
}

// proof is what all routers together know of a site.
type proof struct {
	known    bool    // some router that is heard has an opinion
	usual    int     // its cache servers
	there    float64 // the part of them that answers, as most sites see it: one that is out of reach from one other still works
	listed   float64 // the part that discovery lists, at the router that knows of most
	routers  int     // of the site
	heard    int     // of these
	others   int     // other sites with a router that is heard
	against  int     // of these, where most routers find nearly all of its servers silent
	own      int     // routers of the site that are heard and have servers of it that answer
	half     int     // other sites where most routers find half of the servers silent
	answers  float64
	ownThere float64
}

const (
	nearlyNone = 0.2 // of the servers: the last ones may be on their way out of a list
	half       = 0.5
)

func evidence(site Site, rows, heard []RouterState) (e proof) {
	for _, r := range rows {
		if r.Site == site {
			e.routers++
			if r.Reporting {
				e.heard++
			}
		}
	}
	bad, badHalf, all := map[Site]int{}, map[Site]int{}, map[Site]int{}
	ownN, seen := 0.0, map[Site][2]float64{}
	for _, r := range heard {
		i := slices.IndexFunc(r.Report.Observations, func(s SiteObservation) bool { return s.Site == site })
		if i < 0 || r.Report.Observations[i].ExpectedServers == 0 {
			continue
		}
		x := r.Report.Observations[i]
		e.known, e.usual = true, max(e.usual, x.ExpectedServers)
		e.listed = max(e.listed, float64(x.ListedServers)/float64(x.ExpectedServers))
		e.answers += x.AnswerRate
		seen[r.Site] = [2]float64{seen[r.Site][0] + x.there(), seen[r.Site][1] + 1}
		if r.Site == site {
			ownN++
			if e.ownThere += x.there(); x.there() > nearlyNone {
				e.own++
			}
			continue
		}
		if all[r.Site]++; x.there() <= nearlyNone {
			bad[r.Site]++
		}
		if x.there() <= half {
			badHalf[r.Site]++
		}
	}
	var means []float64
	for _, x := range seen {
		means = append(means, x[0]/x[1])
	}
	if slices.Sort(means); len(means) > 0 {
		e.there = means[(len(means)-1)/2]
	}
	e.ownThere /= max(1, ownN)
	e.others = len(all)
	for other, n := range all {
		if 2*bad[other] > n {
			e.against++
		}
		if 2*badHalf[other] > n {
			e.half++
		}
	}
	return e
}

// lost tells whether the evidence is that the site is lost as a whole: most of the other sites, two at least where there
// are as many, find its servers silent, and nobody at the site says otherwise. One that is slow, half gone, or cut off
// from one other site only is not.
func (e proof) lost() bool {
	return e.known && e.others > 0 && e.against >= min(2, e.others) && 2*e.against > e.others && (e.heard == 0 || e.own == 0)
}

// failing tells that a returning site goes again: the same, at half of its servers.
func (e proof) failing() bool {
	return e.known && e.others > 0 && e.half >= min(2, e.others) && 2*e.half > e.others
}

// back tells whether it can take keys again: its routers are heard again, half of them at least, and its servers are
// listed, and answer who is at the site.
func (e proof) back() bool {
	return e.known && e.listed > half && 2*e.heard >= e.routers && (e.heard == 0 || e.ownThere > half)
}

func (w *watch) see(now clock.Time, e proof) {
	since := func(at *clock.Time, on bool) {
		if !on {
			*at = 0
		} else if *at == 0 {
			*at = now
		}
	}
	since(&w.gone, w.decision.Stage == Up && e.lost() || w.decision.Stage == Recovering && (e.lost() || e.failing()))
	since(&w.there, w.decision.Stage == Lost && e.back())
	w.servers = max(w.servers, e.usual)
	if w.decision.Stage == Up && (e.answers >= w.best || now-w.bestAt > remembered) {
		w.best, w.bestAt = e.answers, now
	}
}

const (
	crowdedOrigin = 1.5  // times what its answers should take
	wellThere     = 0.8  // of a returning site's servers
	longestWait   = 10e9 // hours: somebody is to look at it before
)

// next is the decision that is due, or what the next one waits for.
func (w *watch) next(now clock.Time, p *Plan, e proof, lost, origin float64) (*Transition, string) {
	r := w.decision
	after := func(at, span clock.Time) bool { return at != 0 && now-at >= span }
	switch {
	case r.Stage == Up:
		if w.gone == 0 {
			return nil, ""
		}
		if !after(w.gone, p.LostAfter) {
			return nil, "the evidence of its loss is to hold"
		}
		fails := 0
		if r.Index > 0 && now-w.since < soon {
			fails = r.RepeatedLosses + 1
		}
		return rule(Decision{Stage: Lost, RepeatedLosses: fails},
			fmt.Sprintf("%d of %d other sites find its servers silent, and %d of its %d routers are heard", e.against, e.others, e.heard, e.routers)), ""
	case r.Stage == Recovering && after(w.gone, p.LostAfter/2):
		return rule(Decision{Stage: Lost, RepeatedLosses: r.RepeatedLosses + 1}, fmt.Sprintf("%.0f%% of its servers answer, in step %d of its return", 100*e.there, r.Step+1)), ""
	case r.Paused:
		return nil, "an operator holds it"
	case r.Stage == Lost:
		wait := min(longestWait, p.RecoverAfter<<min(r.RepeatedLosses, 20))
		switch {
		case w.there == 0 && 2*e.heard < e.routers:
			return nil, fmt.Sprintf("%d of its %d routers are heard", e.heard, e.routers)
		case w.there == 0:
			return nil, fmt.Sprintf("%.0f%% of its servers are listed, and %.0f%% answer at the site", 100*e.listed, 100*e.ownThere)
		case !after(w.there, wait):
			return nil, fmt.Sprintf("it is to be there for %.1f s", float64(wait)/1e6)
		}
		return rule(Decision{Stage: Recovering, RepeatedLosses: r.RepeatedLosses}, "its routers and servers are there again"), ""
	case now-w.since < p.MinStepDuration:
		return nil, "the step has just been taken"
	case e.there < wellThere:
		return nil, fmt.Sprintf("%.0f%% of its servers answer", 100*e.there)
	case lost > w.lost+manyLost: // not by itself: the load that the rest cannot bear is why it is waited for
		return nil, fmt.Sprintf("%.0f%% of what is let in is given up, and %.0f%% was before the step", 100*lost, 100*w.lost)
	case origin > crowdedOrigin:
		return nil, fmt.Sprintf("the origin takes %.1f times as long as it should", origin)
	case r.Step+1 < len(p.RecoverySteps):
		return rule(Decision{Stage: Recovering, Step: r.Step + 1, RepeatedLosses: r.RepeatedLosses}, fmt.Sprintf("step %d held", r.Step+1)), ""
	}
	return rule(Decision{Stage: Up, RepeatedLosses: r.RepeatedLosses}, "the last step held"), ""
}

func rule(r Decision, reason string) *Transition {
	r.DecidedBy, r.Reason = "evidence", reason
	return &Transition{Decision: r}
}

// Spare is how a lost site's keys are to go to the servers of the others. None: evenly, since it is nearly that, or nothing is
// known. It is settled once for a loss, since each change moves keys.
func (c *Coordinator) FailoverWeights(p *Plan, site Site, decisions map[Site]Decision) []SiteShare {
	var all []SiteCapacity
	lost := []Site{}
	for _, x := range p.Sites {
		w := c.sites[x.Name]
		if w == nil || w.servers == 0 {
			return nil
		}
		all = append(all, SiteCapacity{x.Name, w.servers, cmp.Or(x.Capacity, w.best), x.PreferredTargets})
		if x.Name != site && decisions[x.Name].Stage == Lost {
			lost = append(lost, x.Name)
		}
	}
	return weigh(all, append(lost, site), c.load)
}

// weigh has keys of lost sites go to the servers of the others so that all of these are full together: by what each can bear
// beside its own keys. Where the last of them prefers some, these take at this load what they can bear, in order. The weights
// are of servers, the highest 1.
func weigh(sites []SiteCapacity, lost []Site, load float64) []SiteShare {
	servers, most, need, prefer := 0.0, 0.0, 0.0, []Site(nil)
	for _, s := range sites {
		if servers += float64(s.Servers); slices.Contains(lost, s.Site) {
			need += float64(s.Servers)
		} else {
			most += s.Capacity
		}
		if len(lost) > 0 && s.Site == lost[len(lost)-1] {
			prefer = s.PreferredTargets
		}
	}
	if len(prefer) == 0 || load > most { // beyond what they bear nobody has anything to spare
		load = most
	}
	if servers == 0 || load <= 0 {
		return nil
	}
	spare := map[Site]float64{}
	for _, s := range sites {
		if !slices.Contains(lost, s.Site) {
			spare[s.Site] = max(0, s.Capacity-load*float64(s.Servers)/servers)
		}
	}
	gets := divide(load*need/servers, spare, prefer)
	var weights []SiteShare
	highest, least := 0.0, 1.0
	for _, s := range sites {
		if _, left := spare[s.Site]; left && s.Servers > 0 {
			weights = append(weights, SiteShare{s.Site, gets[s.Site] / float64(s.Servers)})
			highest = max(highest, weights[len(weights)-1].Fraction)
		}
	}
	for i := range weights {
		weights[i].Fraction = max(fewest, weights[i].Fraction/max(1e-9, highest))
		least = min(least, weights[i].Fraction)
	}
	if least > nearlyEven || highest == 0 {
		return nil
	}
	return weights
}

// divide shares a load out: to those preferred as far as they have to spare, in order, the rest by what is left of that.
func divide(load float64, spare map[Site]float64, prefer []Site) map[Site]float64 {
	gets, left, sum := map[Site]float64{}, maps.Clone(spare), 0.0
	for _, name := range prefer {
		gets[name] = min(load, left[name])
		load -= gets[name]
		left[name] -= gets[name]
	}
	for _, x := range left {
		sum += x
	}
	for name, x := range left {
		if sum > 0 {
			gets[name] += load * x / sum
		}
	}
	return gets
}

const (
	fewest     = 0.05 // of the weight of the one with most: each takes a few, so that its figure stays known
	nearlyEven = 0.8  // by less keys are better off where plain hashing has them
)

// Action is an operator's command on a site.
type Action string

// The actions.
const (
	ActionLose    Action = "lost" // count the site as lost until ActionRecover
	ActionRecover Action = "back" // begin the recovery without waiting for evidence
	ActionPause   Action = "hold" // take no further recovery step
	ActionResume  Action = "go"   // let evidence decide again
)

// Command is an operator's request to change what a site counts as.
type Command struct {
	Site   Site
	Action Action
	Author string
	Reason string
}

// Transition returns the transition that carries the command out, or why the site's decision does not allow it.
func (c Command) Transition(plan *Plan, decisions map[Site]Decision) (*Transition, error) {
	isPlanned := slices.ContainsFunc(plan.Sites, func(planned SitePlan) bool { return planned.Name == c.Site })
	if !isPlanned {
		return nil, fmt.Errorf("%q is no site of the plan; cache-routerctl fleet site status names them", c.Site)
	}
	current := decisions[c.Site]
	transition := &Transition{Site: c.Site, PreviousIndex: current.Index, Decision: current}
	transition.DecidedBy, transition.Reason = c.Author, c.Reason
	switch c.Action {
	case ActionLose:
		if last(plan, c.Site, decisions) {
			return nil, fmt.Errorf("%s is the only site that is not lost: its load could go nowhere", c.Site)
		}
		transition.Stage, transition.Step, transition.Paused = Lost, 0, true
	case ActionRecover:
		if current.Stage == Up {
			return nil, fmt.Errorf("%s is up", c.Site)
		}
		transition.Stage, transition.Step, transition.Paused, transition.RepeatedLosses = Recovering, 0, false, 0
	case ActionPause, ActionResume:
		if current.Stage == Up {
			return nil, fmt.Errorf("%s is up: there is no return to hold", c.Site)
		}
		transition.Paused = c.Action == ActionPause
	default:
		return nil, fmt.Errorf("%q is none of lost, back, hold, go", c.Action)
	}
	return transition, nil
}

// last tells whether all other sites are lost.
func last(p *Plan, site Site, decisions map[Site]Decision) bool {
	return !slices.ContainsFunc(p.Sites, func(x SitePlan) bool { return x.Name != site && decisions[x.Name].Stage != Lost })
}

// Status is what the leader knows, for people.
type Status struct {
	Now                   clock.Time    `json:"now"`
	Sites                 []SiteStatus  `json:"sites"`
	Capacity              float64       `json:"bears"` // requests a second, by all sites together
	MeasuredCapacityRatio float64       `json:"more"`  // times as much has been answered lately, by the origin as well; 0: less
	LimitingSite          Site          `json:"binds"` // the site that sets it
	Offered               []OfferedLoad `json:"offered"`
	AdmittedRate          float64       `json:"let"`
	FailedRate            float64       `json:"lost"`
	OriginSlowdown        float64       `json:"origin"`
	Orders                Orders        `json:"orders"`
}

// SiteStatus is a site as the leader sees it.
type SiteStatus struct {
	Decision
	Name             Site    `json:"name"`
	KeyShare         float64 `json:"share"`
	Capacity         float64 `json:"bears"` // answers a second, now
	CapacityPlanned  bool    `json:"told"`  // by the plan; else as seen lately
	Responding       float64 `json:"there"` // part of its servers that answer
	Routers          int     `json:"routers"`
	ReportingRouters int     `json:"heard"`
	WaitingFor       string  `json:"waits"` // what the next step waits for
}

// Shows is the stage for people.
func (s SiteStatus) DisplayStage() string {
	switch {
	case s.Stage == Recovering:
		return fmt.Sprintf("returning, step %d", s.Step+1)
	case s.Stage == Up && s.degraded():
		return "degraded"
	}
	return s.Stage.String()
}

// degraded tells that a site is not whole.
func (s SiteStatus) degraded() bool {
	return s.Stage != Up || s.Responding < wellThere || float64(s.ReportingRouters) < wellThere*float64(s.Routers)
}

// Status is as of the last step.
func (c *Coordinator) Status() Status { return c.status }

// Names are those of the sites of a plan, sorted.
func (p *Plan) SiteNames() []Site {
	names := map[Site]bool{}
	for _, s := range p.Sites {
		names[s.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}
