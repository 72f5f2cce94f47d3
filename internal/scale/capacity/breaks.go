package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"spurtrestle/internal/scale/result"
)

// Break is the size of a fleet at which a limit is reached.
type Break struct {
	What   string  `json:"what"`
	Limit  float64 `json:"limit"`
	Unit   Unit    `json:"unit"`
	Size   float64 `json:"size"` // routers; 0: at none up to the target, or it is not known
	Basis  Basis   `json:"basis"`
	Factor float64 `json:"factor,omitempty"` // size by the largest measured
	Early  float64 `json:"early,omitempty"`  // size by a form that is not ruled out; 0: none reaches it earlier
	From   string  `json:"from"`
}

// Breaks are those of one part of the fleet, the first to break first; what is not reached or not known stands last.
type Breaks struct {
	Name string  `json:"name"`
	All  []Break `json:"all"`
}

func breaks(t Target, e Evidence, now Today, ofLeader *LeaderSlopes) []Breaks {
	flat := Breaks{Name: "Flat membership, today's fleet", All: measuredBreaks(t, e, result.Flat)}
	flat.All = append(flat.All, countedBreak("a full state is longer than a router takes, and is dropped whole", mostWords, Number, mostWords+1,
		"limit of `internal/gossip`: words of a state"))
	all := []Breaks{
		flat,
		{Name: "Tiered membership", All: measuredBreaks(t, e, result.Tiered)},
		{Name: "Policy, parts and purges as they are today", All: append(countedBreaks(t, now), leaderBreaks(t, now, ofLeader)...)},
	}
	for i := range all {
		slices.SortStableFunc(all[i].All, earlier)
	}
	return all
}

// earlier has what is not reached, or not known, last.
func earlier(a, b Break) int {
	if (a.Size == 0) != (b.Size == 0) {
		return cmp.Compare(b.Size, a.Size)
	}
	return cmp.Compare(a.Size, b.Size)
}

// first are the first to break of several parts together, a few of them.
func first(parts ...Breaks) (all []Break) {
	const few = 8
	for _, part := range parts {
		for _, b := range part.All {
			if b.Size > 0 {
				all = append(all, b)
			}
		}
	}
	slices.SortStableFunc(all, earlier)
	return all[:min(few, len(all))]
}

// measuredBreaks are those of a router at rest, and of what a change takes.
func measuredBreaks(t Target, e Evidence, topology result.Topology) []Break {
	limits := []struct {
		what   string
		figure Figure
		limit  float64
	}{
		{"bytes of a router", FigureBytes, t.Control.BytesPerSecond},
		{"bytes of the router with the most", FigureWorst, t.Control.BytesPerSecond},
		{"processor time of a router", FigureCPU, t.Control.CoreShare},
		{"memory of a router", FigureMemory, t.Control.MemoryBytes},
		{"time of a change until all have it", FigureChange, t.Changes.Within.Seconds()},
	}
	var all []Break
	for _, l := range limits {
		all = append(all, measuredBreak(e, Key{topology, result.NoFault, l.figure}, l.what, l.limit))
	}
	return all
}

func measuredBreak(e Evidence, key Key, what string, limit float64) Break {
	b := Break{What: what, Limit: limit, Unit: key.Figure.Unit(), Basis: Missing}
	s := e.Of(key)
	if s == nil {
		b.From = "no trial"
		return b
	}
	if s.Choice == nil {
		b.From = fmt.Sprintf("`%s`: not fitted, %s", key, s.Unfit)
		if size, over := s.smallestOver(limit); over {
			b.Size, b.Basis = size, FromRuns
		}
		return b
	}
	b.From = fmt.Sprintf("`%s`: %s", key, s.Choice.Form)
	size, reached := s.Choice.Reaches(limit)
	if early, ok := s.Choice.Earliest(limit); ok && (!reached || early < size) {
		b.Early = early
	}
	if !reached {
		b.Basis = FromRuns
		return b
	}
	b.Size, b.Basis, b.Factor = size, FromRuns, size/s.Choice.Largest
	if b.Factor > 1 {
		b.Basis = Extrapolated
	}
	return b
}

func countedBreak(what string, limit float64, unit Unit, size float64, from string) Break {
	return Break{What: what, Limit: limit, Unit: unit, Size: size, Basis: Counted, From: from}
}

func countedBreaks(t Target, now Today) []Break {
	limit := t.Control.BytesPerSecond
	anySize := func(value float64) float64 {
		if value > limit {
			return 1
		}
		return 0
	}
	// A pass of the leader waits for a majority, here in other regions.
	pass := leaderRest + 2*t.Assumed.NetworkDelay.Seconds()

	return []Break{
		countedBreak("renewals of a router, leader in its region", limit, BytesPerSecond, anySize(now.Near.Bytes), fmt.Sprintf("%s at any size", show(now.Near.Bytes, BytesPerSecond))),
		countedBreak("renewals of a router, leader and majority in other regions", limit, BytesPerSecond, anySize(now.Far.Bytes), fmt.Sprintf("%s at any size; delay assumed", show(now.Far.Bytes, BytesPerSecond))),
		countedBreak("purges, if every router hears each", limit, BytesPerSecond, anySize(t.Purges.PerSecond*t.Purges.Bytes),
			fmt.Sprintf("%s at any size; no mechanism is built", show(t.Purges.PerSecond*t.Purges.Bytes, BytesPerSecond))),
		countedBreak("askings dropped by the leader just after an election, majority in other regions", mostAskings, Number, mostAskings*now.AskAgain/pass,
			fmt.Sprintf("more come in a pass of %s than wait; delay assumed", show(pass, Seconds))),
		countedBreak("answers to recalls dropped at a router that begins", handoffQueue, Number, handoffQueue+2, "lending is by pairs: all other seats answer at once"),
		countedBreak("answers dropped at a router that lends", mostAnswers, Number, mostAnswers*lendingAsk/peersStep+1, "all other seats ask each half second, evenly spread"),
	}
}

// leaderBreaks are those of the leader of the policy's keepers on an ordinary day.
func leaderBreaks(t Target, now Today, s *LeaderSlopes) []Break {
	const near, far = "askings dropped by the leader on an ordinary day, all in one region", "askings dropped by the leader on an ordinary day, majority in other regions"
	if !s.Fitted() {
		none := Break{Limit: mostAskings, Unit: Number, Basis: Missing, From: "no trial of the leader"}
		first, second := none, none
		first.What, second.What = near, far
		return []Break{first, second}
	}
	at := func(what string, askings, confirm float64) Break {
		b := Break{What: what, Limit: mostAskings, Unit: Number, Size: s.failsAt(askings, confirm), Basis: Counted,
			From: "counted with `leader/answer` and `leader/pass`, without sockets and raft; delay assumed"}
		if b.Factor = b.Size / s.Largest; b.Factor > 1 {
			b.Basis = Extrapolated
		}
		return b
	}
	return []Break{at(near, now.Near.Askings, nearDelay.Seconds()), at(far, now.Far.Askings, 2*t.Assumed.NetworkDelay.Seconds())}
}
