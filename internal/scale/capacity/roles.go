package capacity

import (
	"fmt"
	"math"

	"spurtrestle/internal/scale/result"
)

// Basis is what a value rests on.
type Basis string

// From the best to none.
const (
	FromRuns     Basis = "measured"     // within the sizes measured
	Extrapolated Basis = "extrapolated" // beyond them
	Counted      Basis = "counted"      // spans and sizes of the code or design, times the target's numbers
	Missing      Basis = "not measured"
)

// Estimate is a value at the target.
type Estimate struct {
	Basis  Basis   `json:"basis"`
	Value  float64 `json:"value"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Unit   Unit    `json:"unit"`
	Factor float64 `json:"factor,omitempty"` // target's routers by the largest size measured
	From   string  `json:"from"`             // a slope, or a count
	Note   string  `json:"note,omitempty"`   // where it is not measured: what there is
}

func counted(value float64, unit Unit, from string) Estimate {
	return Estimate{Basis: Counted, Value: value, Low: value, High: value, Unit: unit, From: from}
}

func missing(note string) Estimate { return Estimate{Basis: Missing, Note: note} }

// sum is not measured where either part is not.
func sum(a, b Estimate) Estimate {
	if a.Basis == Missing || b.Basis == Missing {
		return missing("a part is not measured")
	}
	s := a
	s.Value, s.Low, s.High = a.Value+b.Value, a.Low+b.Low, a.High+b.High
	s.Factor = max(a.Factor, b.Factor)
	if b.Basis != Counted {
		s.Basis = b.Basis
	}
	return s
}

// predicted is a series at the target's number of routers.
func predicted(e Evidence, t Target, key Key) Estimate {
	s := e.Of(key)
	if s == nil {
		return missing("no trial")
	}
	if s.Choice == nil {
		note := s.Unfit
		if mean, size, ok := s.Largest(); ok {
			note = fmt.Sprintf("%s at %s routers; not extended: %s", show(mean, key.Figure.Unit()), show(size, Number), s.Unfit)
		}
		return missing(note)
	}
	p := s.Choice.Predict(t.Routers)
	basis := FromRuns
	if p.Factor > 1 {
		basis = Extrapolated
	}
	from := fmt.Sprintf("`%s`: %s", key, s.Choice.Form)
	for _, rival := range s.Choice.Rivals {
		from += fmt.Sprintf(" or %s", rival.Form)
	}
	return Estimate{Basis: basis, Value: p.Value, Low: p.Low, High: p.High, Unit: key.Figure.Unit(), Factor: p.Factor, From: from}
}

// Limit is what a quantity is to stay within.
type Limit struct {
	Value float64 `json:"value"`
	Unit  Unit    `json:"unit"`
}

// Row is one quantity of a role in three situations.
type Row struct {
	Quantity  string   `json:"quantity"`
	Ordinary  Estimate `json:"ordinary"`
	Herd      Estimate `json:"herd"`
	Cut       Estimate `json:"region_cut"`
	Mechanism string   `json:"mechanism"`
	Limit     *Limit   `json:"limit"` // nil: the target sets none
}

// Share is the greatest of the three by the limit, and the greatest of their upper bounds; not ok: there is no limit, or
// nothing is known.
func (r Row) Share() (share, upTo float64, ok bool) {
	if r.Limit == nil {
		return 0, 0, false
	}
	for _, e := range []Estimate{r.Ordinary, r.Herd, r.Cut} {
		if e.Basis != Missing {
			share, ok = max(share, e.Value/r.Limit.Value), true
			upTo = max(upTo, e.High/r.Limit.Value)
		}
	}
	return share, upTo, ok
}

// Role is what one kind of machine needs.
type Role struct {
	Name string `json:"name"`
	Note string `json:"note"`
	Rows []Row  `json:"rows"`
}

// always is a row whose three situations are alike.
func always(quantity string, e Estimate, mechanism string) Row {
	return Row{Quantity: quantity, Ordinary: e, Herd: e, Cut: e, Mechanism: mechanism}
}

func (r Row) within(limit float64, unit Unit) Row {
	r.Limit = &Limit{limit, unit}
	return r
}

// measuredRow is a figure of a topology in all three situations.
func measuredRow(e Evidence, t Target, topology result.Topology, figure Figure, quantity, mechanism string) Row {
	at := func(fault result.Fault) Estimate { return predicted(e, t, Key{topology, fault, figure}) }
	return Row{Quantity: quantity, Ordinary: at(result.NoFault), Herd: at(result.RestartsTenfold), Cut: at(result.RegionPartition), Mechanism: mechanism}
}

func roles(t Target, e Evidence, now Today, p Purging, ofLeader *LeaderSlopes) []Role {
	return []Role{
		router(t, e, result.Flat, "Router, flat membership", "Every router knows every other: today's fleet."),
		router(t, e, result.Tiered, "Router, tiered membership", "Full membership within its site; off by default."),
		routerToday(t, now),
		representative(t, e),
		keeper(t, now, ofLeader),
		controlMachine(t, p),
		cacheServer(t, p),
		origin(t),
		discovery(t, now),
	}
}

func router(t Target, e Evidence, topology result.Topology, name, note string) Role {
	c := t.Control
	mechanism := "probes, gossip, full states"
	if topology == result.Tiered {
		mechanism += " within the site, summaries beyond it"
	}
	return Role{Name: name, Note: note, Rows: []Row{
		measuredRow(e, t, topology, FigureBytes, "bytes in and out", mechanism).within(c.BytesPerSecond, BytesPerSecond),
		measuredRow(e, t, topology, FigureMessages, "messages in and out", mechanism),
		measuredRow(e, t, topology, FigureCPU, "processor time", mechanism).within(c.CoreShare, Cores),
		measuredRow(e, t, topology, FigureMemory, "memory, all state in it", mechanism).within(c.MemoryBytes, Bytes),
		measuredRow(e, t, topology, FigureSettled, "until all views agree: from the last start, or the fault's end", mechanism),
		measuredRow(e, t, topology, FigureKnown, "until all routers know that they do", mechanism),
		measuredRow(e, t, topology, FigureChange, "from a change at one router until all have it", mechanism).within(t.Changes.Within.Seconds(), Seconds),
	}}
}

func routerToday(t Target, now Today) Role {
	limit := t.Control.BytesPerSecond
	unanswered := now.RenewalBytes / now.AskAgain
	herd := t.Failures.Herd
	return Role{Name: "Router, policy, parts and list of today", Note: "Beside either membership; by count. Leader, keepers and router each in another region.", Rows: []Row{
		{Quantity: "renewals, bytes", Ordinary: counted(now.Far.Bytes, BytesPerSecond, "askings of `policycommit.Follower`, played"),
			Herd: counted(now.Far.Bytes, BytesPerSecond, ""), Cut: counted(unanswered, BytesPerSecond, "asked in vain, until the leader counts as lost"),
			Mechanism: "each asks the keepers' leader by itself", Limit: &Limit{limit, BytesPerSecond}},
		{Quantity: "renewals, messages", Ordinary: counted(now.Far.Messages(), PerSecond, ""), Herd: counted(now.Far.Messages(), PerSecond, ""),
			Cut: counted(1/now.AskAgain, PerSecond, ""), Mechanism: "the same"},
		always("documents of changes", counted(now.DocumentBytes, BytesPerSecond, "each twice: prepared, then in force; its size is assumed"), "grants").within(limit, BytesPerSecond),
		{Quantity: "lending, bytes in the mean", Ordinary: counted(now.LendingMean, BytesPerSecond, "a recall and its answer for each restart of another, at least"),
			Herd: counted(now.LendingMean*herd, BytesPerSecond, ""), Cut: missing("hangs on which parts were lent"), Mechanism: "one piece to each other seat", Limit: &Limit{limit, BytesPerSecond}},
		always("lending, messages at its own start", counted(now.LendingBurst, Number, "a recall to each other seat at once"), "the same").within(handoffQueue, Number),
		always("discovery's list, bytes of state", counted(now.ListBytes, Bytes, "all cache servers; an entry's size is assumed"), "watch of discovery").within(t.Control.MemoryBytes, Bytes),
		always("processor time", missing("no run tells it from serving"), ""),
	}}
}

func representative(t Target, e Evidence) Role {
	row := measuredRow(e, t, result.Tiered, FigureWorst, "bytes in and out, of the router with the most", "summaries among sites and regions, beside its own site")
	killed := predicted(e, t, Key{result.Tiered, result.RepresentativeKilled, FigureWorst})
	change := predicted(e, t, Key{result.Tiered, result.RepresentativeKilled, FigureChange})
	return Role{Name: "Router that represents its site (tiered membership)", Note: "Processor time and memory are counted per process of many routers: as in the mean router.", Rows: []Row{
		row.within(t.Control.BytesPerSecond, BytesPerSecond),
		{Quantity: "the same, one representative killed each second", Ordinary: killed, Herd: missing("no trial"), Cut: missing("no trial"),
			Mechanism: "others take its place", Limit: &Limit{t.Control.BytesPerSecond, BytesPerSecond}},
		{Quantity: "a change until all have it, one killed each second", Ordinary: change, Herd: missing("no trial"), Cut: missing("no trial"),
			Mechanism: "the same", Limit: &Limit{t.Changes.Within.Seconds(), Seconds}},
		always("processor time and memory of its own", missing("no run tells it apart"), ""),
	}}
}

func keeper(t Target, now Today, ofLeader *LeaderSlopes) Role {
	herd, perRegion := t.Failures.Herd, t.Routers/t.Regions
	entries := 2 * (t.RestartsPerSecond() + t.ChangesPerSecond())
	return Role{Name: "Keeper: control machine that holds the policy's log", Note: "The leader of them; the others hold the same state and answer nobody.", Rows: []Row{
		{Quantity: "askings", Ordinary: counted(now.Far.Leader, PerSecond, fmt.Sprintf("%s were all routers in its region; further away they ask again before the grant is back", show(now.Near.Leader, PerSecond))),
			Herd: counted(now.Far.Leader, PerSecond, ""), Cut: counted(now.Elected, PerSecond, "just after an election: all ask again and again"),
			Mechanism: "each router asks by itself"},
		{Quantity: "bytes in and out", Ordinary: counted(now.Far.LeaderIO, BytesPerSecond, ""), Herd: counted(now.Far.LeaderIO, BytesPerSecond, ""),
			Cut: counted(now.Elected*now.RenewalBytes, BytesPerSecond, "in alone"), Mechanism: "the same"},
		always("processor time, without sockets and raft", leaderCores(t, now, ofLeader), "one goroutine answers all askings, one decodes them"),
		always("state", counted(now.RosterBytes, Bytes, "roster; the documents of a hundred changes beside it"), "`policycommit.LogState`"),
		always("roster's entries copied", counted(now.RosterCopied, PerSecond, "two copies of the book a pass, at most"), "`Book.Clone`"),
		{Quantity: "entries of the log", Ordinary: counted(entries, PerSecond, "a leave and an enter a restart, two a change"),
			Herd: counted(2*(t.RestartsPerSecond()*herd+t.ChangesPerSecond()), PerSecond, ""),
			Cut:  counted(perRegion, Number, "the parts of a region's routers are lent one by one, and taken back"), Mechanism: "raft"},
		always("machines", counted(t.Assumed.Keepers, Number, "assumed"), "").within(t.Control.Machines, Number),
	}}
}

// leaderCores is for a fleet in which the leader is another region's for all.
func leaderCores(t Target, now Today, s *LeaderSlopes) Estimate {
	if now.FarLoad == nil {
		return missing(fmt.Sprintf("one core leaves %s for an asking", show(now.Core, Seconds)))
	}
	factor := t.Routers / s.Largest
	basis := FromRuns
	if factor > 1 {
		basis = Extrapolated
	}
	// The bounds of its parts are narrow beside the machine's own; no interval is made of them.
	value := now.FarLoad.Cores
	return Estimate{Basis: basis, Value: value, Low: value, High: value, Unit: Cores, Factor: factor, From: "`leader/decode`, `leader/answer`, `leader/pass`"}
}

func controlMachine(t Target, p Purging) Role {
	return Role{Name: "Control machine that keeps no log", Note: "Today none does anything. By the design below:", Rows: []Row{
		always("bytes out, purges", counted(p.MachineOut, BytesPerSecond, "streams of all sites, over the machines that are no keepers"), "streams of purges"),
		always("messages in, purges told back", counted(p.MachineBack, PerSecond, ""), "counts"),
		{Quantity: "state: purges that a cut region has missed", Ordinary: counted(0, Bytes, ""), Herd: counted(0, Bytes, ""),
			Cut: counted(p.MissedBytes, Bytes, "the log of so long a cut"), Mechanism: "log of the streams"},
		always("processor time", missing("nothing is built"), ""),
		always("machines", counted(p.Machines, Number, "all but the keepers"), "").within(t.Control.Machines, Number),
	}}
}

func cacheServer(t Target, p Purging) Role {
	return Role{Name: "Cache server", Note: "Means; how load spreads over them is the router's decision and not measured at this size.", Rows: []Row{
		always("requests at the peak", counted(t.Requests/t.CacheServers, PerSecond, "if all were served by caches"), "routers' choice"),
		always("bits out at the peak", counted(t.Bits/t.CacheServers, BitsPerSecond, "the same"), "the same"),
		always("objects, each held once in the fleet", counted(t.Objects/t.CacheServers, Number, ""), "the same"),
		always("objects, each held at every site", counted(t.Objects*t.Assumed.Copies/t.CachesPerSite(), Number, "copies are assumed"), "the same"),
		{Quantity: "connections", Ordinary: counted(t.RoutersPerSite(), Number, "its site's routers alone"), Herd: counted(t.RoutersPerSite(), Number, ""),
			Cut: counted(t.Routers, Number, "if every router may ask it, at most"), Mechanism: "pools of the routers"},
		{Quantity: "connections begun a second", Ordinary: counted(t.RestartsPerSecond(), PerSecond, "by routers of all sites, at most"),
			Herd: counted(t.RestartsPerSecond()*t.Failures.Herd, PerSecond, ""), Cut: missing("no trial"), Mechanism: "the same"},
		always("purges", counted(p.PerCache, PerSecond, "at the owners of its site; by the design"), "deletions by the site's routers"),
		always("marks of purges against late fetches", counted(p.TombstoneSize, Bytes, "by the design"), "order against a fetch"),
	}}
}

func origin(t Target) Role {
	hundredth := t.Requests / 100
	return Role{Name: "Origin", Note: "No run has measured the share of misses at this size; these are for each hundredth of the reads that misses.", Rows: []Row{
		{Quantity: "fetches for a hundredth of misses", Ordinary: counted(hundredth, PerSecond, ""), Herd: missing("hangs on what restarted cache servers have lost"),
			Cut: missing("hangs on where the origin is"), Mechanism: "one fetch a key a router"},
		{Quantity: "bits out for it", Ordinary: counted(t.Bits/100, BitsPerSecond, ""), Herd: missing(""), Cut: missing(""), Mechanism: "the same"},
		always("fetches after purges, once for each site", counted(t.Purges.PerSecond*t.Sites, PerSecond, "if each purged object is asked for again at every site, at most"), "fills after a purge"),
		always("state, processor time and memory", missing("not part of this project"), ""),
	}}
}

func discovery(t Target, now Today) Role {
	herd := t.Failures.Herd
	perRegion := t.Routers / t.Regions
	return Role{Name: "Discovery and its agent", Note: "An entry's size is assumed.", Rows: []Row{
		always("watches at the one service, lists on request", counted(now.WatchesRequest, PerSecond, "one each 20 s and router"), "long polls"),
		always("watches at each router's agent, lists pushed", counted(now.WatchesPushed/t.Routers, PerSecond, "one each 4 s"), "the same, on the machine"),
		{Quantity: "whole lists", Ordinary: counted(now.ListsBytes, BytesPerSecond, "one for each restart"), Herd: counted(now.ListsBytes*herd, BytesPerSecond, ""),
			Cut: counted(perRegion*now.ListBytes, Bytes, "once, for a region's routers, if each asks for it anew"), Mechanism: "the whole list at a start"},
		always("a change of one server, to all routers", counted(t.Routers*t.Assumed.ListEntryBytes, Bytes, ""), "watches"),
		{Quantity: "changes of servers", Ordinary: counted(2*t.Failures.MachinesPerDay/secondsPerDay, PerSecond, "a failure and a return, if all machines that fail were cache servers"),
			Herd: missing("the target tells of routers' restarts alone"), Cut: counted(t.CacheServers/t.Regions, Number, "a region's cache servers, twice"), Mechanism: "the same"},
		always("state", counted(now.ListBytes, Bytes, ""), "the list"),
		always("processor time", missing("not part of this project"), ""),
	}}
}

// Line is a figure with what it means.
type Line struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  Unit    `json:"unit"`
	Means string  `json:"means"`
}

// requestSeconds is a stated guess of how long a value takes to pass, for what is in hand at once.
const requestSeconds = 0.1

func peak(t Target) []Line {
	requests, bits := t.Requests/t.Routers, t.Bits/t.Routers
	value := t.Bits / 8 / t.Requests
	control := t.Control.BytesPerSecond * 8
	pieces := "most values pass whole"
	if value > bigValue {
		pieces = fmt.Sprintf("the mean is over %s: values pass in pieces, and none of that size passes over gRPC", show(bigValue, Bytes))
	}
	if value > largestValue {
		pieces = fmt.Sprintf("the mean is over the largest that passes at all, %s", show(largestValue, Bytes))
	}
	return []Line{
		{"requests, a router", requests, PerSecond, fmt.Sprintf("one each %s", show(1/requests, Seconds))},
		{"bits of values, a router", bits, BitsPerSecond, fmt.Sprintf("in from cache servers and out to clients: %s each way on one machine, if it serves alone on it", show(bits, BitsPerSecond))},
		{"share of a network card of 10 Gbit/s, each way", bits / 10e9 * 100, Number, "percent; over 100 it does not pass"},
		{"share of one of 25 Gbit/s, each way", bits / 25e9 * 100, Number, "percent"},
		{"bytes copied, a router", 2 * bits / 8, BytesPerSecond, "read from one socket and written to another, at least once each"},
		{"mean value", value, Bytes, pieces},
		{"requests in hand, a router", requests * requestSeconds, Number, fmt.Sprintf("if a value takes %s (a guess, not measured)", show(requestSeconds, Seconds))},
		{"bytes in hand, a router, were values kept whole", requests * requestSeconds * value, Bytes, fmt.Sprintf("in pieces of %s it is %s", show(bigValue, Bytes), show(requests*requestSeconds*math.Min(bigValue, value), Bytes))},
		{"control by its limit, beside that", control, BitsPerSecond, fmt.Sprintf("%.2g of the bits of values", control/bits)},
		{"requests, a cache server", t.Requests / t.CacheServers, PerSecond, "if all were served by caches"},
		{"bits, a cache server", t.Bits / t.CacheServers, BitsPerSecond, "the same"},
		{"bits, a site", t.Bits / t.Sites, BitsPerSecond, ""},
		{"bits, a region", t.Bits / t.Regions, BitsPerSecond, "that others have to take over where a region is lost"},
	}
}
