package capacity

import (
	"fmt"
	"math"

	"spurtrestle/internal/scale/result"
)

// Basis states how a value was obtained.
type Basis string

// The bases, from the most to the least reliable.
const (
	Measured     Basis = "measured"     // predicted within the sizes measured
	Extrapolated Basis = "extrapolated" // predicted beyond the sizes measured
	Calculated   Basis = "counted"      // from durations and message sizes of the code or the design, and the numbers of the target
	NotMeasured  Basis = "not measured"
)

// Estimate is the estimated value of a quantity for the target fleet.
type Estimate struct {
	Basis     Basis   `json:"basis"`
	Value     float64 `json:"value"`
	Low       float64 `json:"low"`
	High      float64 `json:"high"`
	Unit      Unit    `json:"unit"`
	SizeRatio float64 `json:"factor,omitempty"` // of the target's routers to the largest size measured
	Source    string  `json:"from"`             // the series, or the calculation
	Note      string  `json:"note,omitempty"`   // if not measured: what is known
}

func calculated(value float64, unit Unit, from string) Estimate {
	return Estimate{Basis: Calculated, Value: value, Low: value, High: value, Unit: unit, Source: from}
}

func notMeasured(note string) Estimate { return Estimate{Basis: NotMeasured, Note: note} }

// sum adds two estimates. It is not measured if either part is not.
func sum(a, b Estimate) Estimate {
	if a.Basis == NotMeasured || b.Basis == NotMeasured {
		return notMeasured("a part is not measured")
	}
	s := a
	s.Value, s.Low, s.High = a.Value+b.Value, a.Low+b.Low, a.High+b.High
	s.SizeRatio = max(a.SizeRatio, b.SizeRatio)
	if b.Basis != Calculated {
		s.Basis = b.Basis
	}
	return s
}

// predict returns the prediction of a series for the target's number of routers.
func predict(e Measurements, t Target, key SeriesKey) Estimate {
	s := e.Find(key)
	if s == nil {
		return notMeasured("no trial")
	}
	if s.Fit == nil {
		note := s.NotFittedReason
		if mean, size, ok := s.MeanAtLargestSize(); ok {
			note = fmt.Sprintf("%s at %s routers; not extended: %s", formatValue(mean, key.Metric.Unit()), formatValue(size, Number), s.NotFittedReason)
		}
		return notMeasured(note)
	}
	p := s.Fit.Predict(t.Routers)
	basis := Measured
	if p.Ratio > 1 {
		basis = Extrapolated
	}
	from := fmt.Sprintf("`%s`: %s", key, s.Fit.Model)
	for _, rival := range s.Fit.Alternatives {
		from += fmt.Sprintf(" or %s", rival.Model)
	}
	return Estimate{Basis: basis, Value: p.Value, Low: p.Low, High: p.High, Unit: key.Metric.Unit(), SizeRatio: p.Ratio, Source: from}
}

// Limit is the upper limit of a quantity.
type Limit struct {
	Value float64 `json:"value"`
	Unit  Unit    `json:"unit"`
}

// Row holds the estimates of one quantity of a role in three situations.
type Row struct {
	Quantity        string   `json:"quantity"`
	Normal          Estimate `json:"ordinary"`
	RestartBurst    Estimate `json:"herd"`
	RegionPartition Estimate `json:"region_cut"`
	Mechanism       string   `json:"mechanism"`
	Limit           *Limit   `json:"limit"` // nil: the target sets no limit
}

// LimitShare returns the largest of the three estimates, and the largest of their upper bounds, as fractions of the limit. ok is
// false if there is no limit or no estimate.
func (r Row) LimitShare() (share, upTo float64, ok bool) {
	if r.Limit == nil {
		return 0, 0, false
	}
	for _, e := range []Estimate{r.Normal, r.RestartBurst, r.RegionPartition} {
		if e.Basis != NotMeasured {
			share, ok = max(share, e.Value/r.Limit.Value), true
			upTo = max(upTo, e.High/r.Limit.Value)
		}
	}
	return share, upTo, ok
}

// Role holds what one kind of machine or router needs.
type Role struct {
	Name string `json:"name"`
	Note string `json:"note"`
	Rows []Row  `json:"rows"`
}

// constantRow returns a row with the same estimate in all three situations.
func constantRow(quantity string, e Estimate, mechanism string) Row {
	return Row{Quantity: quantity, Normal: e, RestartBurst: e, RegionPartition: e, Mechanism: mechanism}
}

func (r Row) withLimit(limit float64, unit Unit) Row {
	r.Limit = &Limit{limit, unit}
	return r
}

// measuredRow returns the predictions of a metric for a topology in all three situations.
func measuredRow(e Measurements, t Target, topology result.Topology, figure Metric, quantity, mechanism string) Row {
	at := func(fault result.Fault) Estimate { return predict(e, t, SeriesKey{topology, fault, figure}) }
	return Row{Quantity: quantity, Normal: at(result.NoFault), RestartBurst: at(result.RestartsTenfold), RegionPartition: at(result.RegionPartition), Mechanism: mechanism}
}

func allRoles(t Target, measurements Measurements, costs CurrentCosts, p PurgeDesign, ofLeader *LeaderModel) []Role {
	return []Role{
		routerRole(t, measurements, result.Flat, "Router, flat membership", "Every router knows every other: today's fleet."),
		routerRole(t, measurements, result.Tiered, "Router, tiered membership", "Full membership within its site; off by default."),
		currentPolicyRole(t, costs),
		representativeRole(t, measurements),
		policyVoterRole(t, costs, ofLeader),
		controlMachineRole(t, p),
		cacheServerRole(t, p),
		originRole(t),
		discoveryRole(t, costs),
	}
}

func routerRole(t Target, e Measurements, topology result.Topology, name, note string) Role {
	budget := t.Budget
	mechanism := "probes, gossip, full states"
	if topology == result.Tiered {
		mechanism += " within the site, summaries beyond it"
	}
	return Role{Name: name, Note: note, Rows: []Row{
		measuredRow(e, t, topology, MetricBytes, "bytes in and out", mechanism).withLimit(budget.BytesPerSecond, BytesPerSecond),
		measuredRow(e, t, topology, MetricMessages, "messages in and out", mechanism),
		measuredRow(e, t, topology, MetricCPU, "processor time", mechanism).withLimit(budget.CoreShare, Cores),
		measuredRow(e, t, topology, MetricMemory, "memory, all state in it", mechanism).withLimit(budget.MemoryBytes, Bytes),
		measuredRow(e, t, topology, MetricConvergence, "until all views agree: from the last start, or the fault's end", mechanism),
		measuredRow(e, t, topology, MetricConvergenceKnown, "until all routers know that they do", mechanism),
		measuredRow(e, t, topology, MetricPropagation, "from a change at one router until all have it", mechanism).withLimit(t.Changes.Within.Seconds(), Seconds),
	}}
}

func currentPolicyRole(t Target, costs CurrentCosts) Role {
	limit := t.Budget.BytesPerSecond
	unansweredBytes := costs.RenewalBytes / costs.RetryInterval
	restartBurst := t.Failures.RestartBurstFactor
	return Role{Name: "Router, policy, parts and list of today", Note: "Beside either membership; by count. Leader, keepers and router each in another region.", Rows: []Row{
		{Quantity: "renewals, bytes", Normal: calculated(costs.CrossRegion.Bytes, BytesPerSecond, "askings of `policycommit.Follower`, played"),
			RestartBurst: calculated(costs.CrossRegion.Bytes, BytesPerSecond, ""), RegionPartition: calculated(unansweredBytes, BytesPerSecond, "asked in vain, until the leader counts as lost"),
			Mechanism: "each asks the keepers' leader by itself", Limit: &Limit{limit, BytesPerSecond}},
		{Quantity: "renewals, messages", Normal: calculated(costs.CrossRegion.Messages(), PerSecond, ""), RestartBurst: calculated(costs.CrossRegion.Messages(), PerSecond, ""),
			RegionPartition: calculated(1/costs.RetryInterval, PerSecond, ""), Mechanism: "the same"},
		constantRow("documents of changes", calculated(costs.DocumentBytes, BytesPerSecond, "each twice: prepared, then in force; its size is assumed"), "grants").withLimit(limit, BytesPerSecond),
		{Quantity: "lending, bytes in the mean", Normal: calculated(costs.LeaseBytesMean, BytesPerSecond, "a recall and its answer for each restart of another, at least"),
			RestartBurst: calculated(costs.LeaseBytesMean*restartBurst, BytesPerSecond, ""), RegionPartition: notMeasured("hangs on which parts were lent"), Mechanism: "one piece to each other seat", Limit: &Limit{limit, BytesPerSecond}},
		constantRow("lending, messages at its own start", calculated(costs.LeaseBurstMessages, Number, "a recall to each other seat at once"), "the same").withLimit(handoffQueueDepth, Number),
		constantRow("discovery's list, bytes of state", calculated(costs.ListBytes, Bytes, "all cache servers; an entry's size is assumed"), "watch of discovery").withLimit(t.Budget.MemoryBytes, Bytes),
		constantRow("processor time", notMeasured("no run tells it from serving"), ""),
	}}
}

func representativeRole(t Target, e Measurements) Role {
	row := measuredRow(e, t, result.Tiered, MetricBusiestBytes, "bytes in and out, of the router with the most", "summaries among sites and regions, beside its own site")
	killed := predict(e, t, SeriesKey{result.Tiered, result.RepresentativeKilled, MetricBusiestBytes})
	change := predict(e, t, SeriesKey{result.Tiered, result.RepresentativeKilled, MetricPropagation})
	return Role{Name: "Router that represents its site (tiered membership)", Note: "Processor time and memory are counted per process of many routers: as in the mean router.", Rows: []Row{
		row.withLimit(t.Budget.BytesPerSecond, BytesPerSecond),
		{Quantity: "the same, one representative killed each second", Normal: killed, RestartBurst: notMeasured("no trial"), RegionPartition: notMeasured("no trial"),
			Mechanism: "others take its place", Limit: &Limit{t.Budget.BytesPerSecond, BytesPerSecond}},
		{Quantity: "a change until all have it, one killed each second", Normal: change, RestartBurst: notMeasured("no trial"), RegionPartition: notMeasured("no trial"),
			Mechanism: "the same", Limit: &Limit{t.Changes.Within.Seconds(), Seconds}},
		constantRow("processor time and memory of its own", notMeasured("no run tells it apart"), ""),
	}}
}

func policyVoterRole(t Target, costs CurrentCosts, ofLeader *LeaderModel) Role {
	restartBurst, perRegion := t.Failures.RestartBurstFactor, t.Routers/t.Regions
	entries := 2 * (t.RestartsPerSecond() + t.ChangesPerSecond())
	return Role{Name: "Keeper: control machine that holds the policy's log", Note: "The leader of them; the others hold the same state and answer nobody.", Rows: []Row{
		{Quantity: "askings", Normal: calculated(costs.CrossRegion.LeaderRenewals, PerSecond, fmt.Sprintf("%s were all routers in its region; further away they ask again before the grant is back", formatValue(costs.SameRegion.LeaderRenewals, PerSecond))),
			RestartBurst: calculated(costs.CrossRegion.LeaderRenewals, PerSecond, ""), RegionPartition: calculated(costs.PostElectionRenewals, PerSecond, "just after an election: all ask again and again"),
			Mechanism: "each router asks by itself"},
		{Quantity: "bytes in and out", Normal: calculated(costs.CrossRegion.LeaderBytes, BytesPerSecond, ""), RestartBurst: calculated(costs.CrossRegion.LeaderBytes, BytesPerSecond, ""),
			RegionPartition: calculated(costs.PostElectionRenewals*costs.RenewalBytes, BytesPerSecond, "in alone"), Mechanism: "the same"},
		constantRow("processor time, without sockets and raft", leaderCPU(t, costs, ofLeader), "one goroutine answers all askings, one decodes them"),
		constantRow("state", calculated(costs.MemberListBytes, Bytes, "roster; the documents of a hundred changes beside it"), "`policycommit.LogState`"),
		constantRow("roster's entries copied", calculated(costs.MembersCopied, PerSecond, "two copies of the book a pass, at most"), "`Book.Clone`"),
		{Quantity: "entries of the log", Normal: calculated(entries, PerSecond, "a leave and an enter a restart, two a change"),
			RestartBurst:    calculated(2*(t.RestartsPerSecond()*restartBurst+t.ChangesPerSecond()), PerSecond, ""),
			RegionPartition: calculated(perRegion, Number, "the parts of a region's routers are lent one by one, and taken back"), Mechanism: "raft"},
		constantRow("machines", calculated(t.Assumptions.PolicyVoters, Number, "assumed"), "").withLimit(t.Budget.Machines, Number),
	}}
}

// leaderCPU estimates the processor time of the policy leader if every router is in another region.
func leaderCPU(t Target, costs CurrentCosts, model *LeaderModel) Estimate {
	if costs.CrossRegionLoad == nil {
		return notMeasured(fmt.Sprintf("one core leaves %s for an asking", formatValue(costs.SecondsPerRenewal, Seconds)))
	}
	factor := t.Routers / model.LargestSize
	basis := Measured
	if factor > 1 {
		basis = Extrapolated
	}
	// The intervals of the parts are narrow compared to the variation between machines, so no interval is given.
	value := costs.CrossRegionLoad.Cores
	return Estimate{Basis: basis, Value: value, Low: value, High: value, Unit: Cores, SizeRatio: factor, Source: "`leader/decode`, `leader/answer`, `leader/pass`"}
}

func controlMachineRole(t Target, p PurgeDesign) Role {
	return Role{Name: "Control machine that keeps no log", Note: "Today none does anything. By the design below:", Rows: []Row{
		constantRow("bytes out, purges", calculated(p.MachineBytesOut, BytesPerSecond, "streams of all sites, over the machines that are no keepers"), "streams of purges"),
		constantRow("messages in, purges told back", calculated(p.MachineAcksIn, PerSecond, ""), "counts"),
		{Quantity: "state: purges that a cut region has missed", Normal: calculated(0, Bytes, ""), RestartBurst: calculated(0, Bytes, ""),
			RegionPartition: calculated(p.MissedBytes, Bytes, "the log of so long a cut"), Mechanism: "log of the streams"},
		constantRow("processor time", notMeasured("nothing is built"), ""),
		constantRow("machines", calculated(p.Machines, Number, "all but the keepers"), "").withLimit(t.Budget.Machines, Number),
	}}
}

func cacheServerRole(t Target, p PurgeDesign) Role {
	return Role{Name: "Cache server", Note: "Means; how load spreads over them is the router's decision and not measured at this size.", Rows: []Row{
		constantRow("requests at the peak", calculated(t.Requests/t.CacheServers, PerSecond, "if all were served by caches"), "routers' choice"),
		constantRow("bits out at the peak", calculated(t.Bits/t.CacheServers, BitsPerSecond, "the same"), "the same"),
		constantRow("objects, each held once in the fleet", calculated(t.Objects/t.CacheServers, Number, ""), "the same"),
		constantRow("objects, each held at every site", calculated(t.Objects*t.Assumptions.Replicas/t.CachesPerSite(), Number, "copies are assumed"), "the same"),
		{Quantity: "connections", Normal: calculated(t.RoutersPerSite(), Number, "its site's routers alone"), RestartBurst: calculated(t.RoutersPerSite(), Number, ""),
			RegionPartition: calculated(t.Routers, Number, "if every router may ask it, at most"), Mechanism: "pools of the routers"},
		{Quantity: "connections begun a second", Normal: calculated(t.RestartsPerSecond(), PerSecond, "by routers of all sites, at most"),
			RestartBurst: calculated(t.RestartsPerSecond()*t.Failures.RestartBurstFactor, PerSecond, ""), RegionPartition: notMeasured("no trial"), Mechanism: "the same"},
		constantRow("purges", calculated(p.PurgesPerCache, PerSecond, "at the owners of its site; by the design"), "deletions by the site's routers"),
		constantRow("marks of purges against late fetches", calculated(p.TombstoneBytes, Bytes, "by the design"), "order against a fetch"),
	}}
}

func originRole(t Target) Role {
	hundredth := t.Requests / 100
	return Role{Name: "Origin", Note: "No run has measured the share of misses at this size; these are for each hundredth of the reads that misses.", Rows: []Row{
		{Quantity: "fetches for a hundredth of misses", Normal: calculated(hundredth, PerSecond, ""), RestartBurst: notMeasured("hangs on what restarted cache servers have lost"),
			RegionPartition: notMeasured("hangs on where the origin is"), Mechanism: "one fetch a key a router"},
		{Quantity: "bits out for it", Normal: calculated(t.Bits/100, BitsPerSecond, ""), RestartBurst: notMeasured(""), RegionPartition: notMeasured(""), Mechanism: "the same"},
		constantRow("fetches after purges, once for each site", calculated(t.Purges.PerSecond*t.Sites, PerSecond, "if each purged object is asked for again at every site, at most"), "fills after a purge"),
		constantRow("state, processor time and memory", notMeasured("not part of this project"), ""),
	}}
}

func discoveryRole(t Target, costs CurrentCosts) Role {
	restartBurst := t.Failures.RestartBurstFactor
	perRegion := t.Routers / t.Regions
	return Role{Name: "Discovery and its agent", Note: "An entry's size is assumed.", Rows: []Row{
		constantRow("watches at the one service, lists on request", calculated(costs.WatchesPolled, PerSecond, "one each 20 s and router"), "long polls"),
		constantRow("watches at each router's agent, lists pushed", calculated(costs.WatchesPushed/t.Routers, PerSecond, "one each 4 s"), "the same, on the machine"),
		{Quantity: "whole lists", Normal: calculated(costs.ListTransferBytes, BytesPerSecond, "one for each restart"), RestartBurst: calculated(costs.ListTransferBytes*restartBurst, BytesPerSecond, ""),
			RegionPartition: calculated(perRegion*costs.ListBytes, Bytes, "once, for a region's routers, if each asks for it anew"), Mechanism: "the whole list at a start"},
		constantRow("a change of one server, to all routers", calculated(t.Routers*t.Assumptions.ListEntryBytes, Bytes, ""), "watches"),
		{Quantity: "changes of servers", Normal: calculated(2*t.Failures.MachinesPerDay/secondsPerDay, PerSecond, "a failure and a return, if all machines that fail were cache servers"),
			RestartBurst: notMeasured("the target tells of routers' restarts alone"), RegionPartition: calculated(t.CacheServers/t.Regions, Number, "a region's cache servers, twice"), Mechanism: "the same"},
		constantRow("state", calculated(costs.ListBytes, Bytes, ""), "the list"),
		constantRow("processor time", notMeasured("not part of this project"), ""),
	}}
}

// PeakLoad is one quantity at the peak load, with its meaning.
type PeakLoad struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    Unit    `json:"unit"`
	Meaning string  `json:"means"`
}

// assumedRequestSeconds is the assumed time of one request. It determines the number of requests in progress.
const assumedRequestSeconds = 0.1

func peakLoads(t Target) []PeakLoad {
	requests, bits := t.Requests/t.Routers, t.Bits/t.Routers
	value := t.Bits / 8 / t.Requests
	control := t.Budget.BytesPerSecond * 8
	pieces := "most values pass whole"
	if value > maxUnchunkedValue {
		pieces = fmt.Sprintf("the mean is over %s: values pass in pieces, and none of that size passes over gRPC", formatValue(maxUnchunkedValue, Bytes))
	}
	if value > maxValue {
		pieces = fmt.Sprintf("the mean is over the largest that passes at all, %s", formatValue(maxValue, Bytes))
	}
	return []PeakLoad{
		{"requests, a router", requests, PerSecond, fmt.Sprintf("one each %s", formatValue(1/requests, Seconds))},
		{"bits of values, a router", bits, BitsPerSecond, fmt.Sprintf("in from cache servers and out to clients: %s each way on one machine, if it serves alone on it", formatValue(bits, BitsPerSecond))},
		{"share of a network card of 10 Gbit/s, each way", bits / 10e9 * 100, Number, "percent; over 100 it does not pass"},
		{"share of one of 25 Gbit/s, each way", bits / 25e9 * 100, Number, "percent"},
		{"bytes copied, a router", 2 * bits / 8, BytesPerSecond, "read from one socket and written to another, at least once each"},
		{"mean value", value, Bytes, pieces},
		{"requests in hand, a router", requests * assumedRequestSeconds, Number, fmt.Sprintf("if a value takes %s (a guess, not measured)", formatValue(assumedRequestSeconds, Seconds))},
		{"bytes in hand, a router, were values kept whole", requests * assumedRequestSeconds * value, Bytes, fmt.Sprintf("in pieces of %s it is %s", formatValue(maxUnchunkedValue, Bytes), formatValue(requests*assumedRequestSeconds*math.Min(maxUnchunkedValue, value), Bytes))},
		{"control by its limit, beside that", control, BitsPerSecond, fmt.Sprintf("%.2g of the bits of values", control/bits)},
		{"requests, a cache server", t.Requests / t.CacheServers, PerSecond, "if all were served by caches"},
		{"bits, a cache server", t.Bits / t.CacheServers, BitsPerSecond, "the same"},
		{"bits, a site", t.Bits / t.Sites, BitsPerSecond, ""},
		{"bits, a region", t.Bits / t.Regions, BitsPerSecond, "that others have to take over where a region is lost"},
	}
}
