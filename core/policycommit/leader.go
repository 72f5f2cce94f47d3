package policycommit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// This file: the messages between a router and the leader, and the leader's side.

// Rules are the spans of a leader and its followers.
type Rules struct {
	Lease    clock.Time // for which a grant counts, from its asking: the window in which two revisions may both be served
	Ask      clock.Time // between two askings
	Again    clock.Time // until one that was not answered is repeated
	Patience clock.Time // for a change to be prepared by all
	Slack    clock.Time // that the leader waits longer than a lease, beside a hundredth of it
	Rest     clock.Time // after the end of a router's last grant until nothing that it had in hand, or had lent, can be left
}

// DefaultRules are those of a fleet: the window stays under a second, also by a clock that runs a hundredth slow. A lease is renewed four
// times over, and asked for again soon where packets get lost.
func DefaultRules() Rules {
	// What a router leaves to others as it ends counts for ten seconds (package sharelease); requests in hand for less.
	return Rules{Lease: 950e3, Ask: 200e3, Again: 60e3, Patience: 5e6, Slack: 50e3, Rest: 12e6}
}

// Renewal is what a router asks with.
type Renewal struct {
	Name     Name       `json:"name"`
	Process  Process    `json:"process"`
	At       clock.Time `json:"at"` // by its own clock
	Serves   bool       `json:"serves"`
	Build    string     `json:"build"`
	Site     string     `json:"site"`
	Held     Revision   `json:"held"`
	Index    Index      `json:"index"`    // the highest that it was told of
	Prepared Token      `json:"prepared"` // the change that it could hold
	Refused  Token      `json:"refused"`  // the change that it cannot
	Why      string     `json:"why"`
	Leaving  bool       `json:"leaving"` // it takes nothing more, for good
}

// Lease is what it is answered.
type Lease struct {
	Process  Process    `json:"process"`
	At       clock.Time `json:"at"` // of the asking
	For      clock.Time `json:"for"`
	Index    Index      `json:"index"` // of the log state that it was made by
	Revision Revision   `json:"revision"`
	Doc      string     `json:"doc"` // of that revision, where the asker does not hold it
	Pending  Token      `json:"pending"`
	Prepare  string     `json:"prepare"` // the pending document, where the asker has not said what it makes of it
	Extra    float64    `json:"extra"`   // of what all routers may send together, beside the asker's own part
}

// Leader is the leader's side; a new leader begins with a new one. It is not safe for use by several goroutines at once.
type Leader struct {
	rules   Rules
	began   clock.Time
	heard   map[Name]heard
	pending Token
	since   clock.Time          // of the pending change, at this leader
	seats   int                 // that the whole is parted by
	extra   map[Name]clock.Time // when a lent part was last given out
	recall  map[Name]bool       // it is given out no more: its router asks
}

type heard struct {
	Renewal
	at clock.Time
}

// NewLeader begins as leader.
func NewLeader(now clock.Time, rules Rules, seats int) *Leader {
	return &Leader{rules: rules, began: now, heard: map[Name]heard{}, seats: seats, extra: map[Name]clock.Time{}, recall: map[Name]bool{}}
}

// Answer takes in an asking, and answers it once a majority has confirmed the leader after it had come; book is as of then.
// enter is an entry that has to be in the log state first.
func (c *Leader) Answer(now clock.Time, b *LogState, r Renewal) (g Lease, ok bool, enter *Entry) {
	c.heard[r.Name] = heard{r, now}
	m, there := b.Roster[r.Name]
	if r.Leaving {
		if there && m.Process == r.Process {
			return g, false, &Entry{Kind: Leave, Name: r.Name, Process: r.Process}
		}
		return g, false, nil
	}
	if !there || m.Process != r.Process || m.Serves != r.Serves || m.Site != r.Site {
		return g, false, &Entry{Kind: Enter, Name: r.Name, Process: r.Process, Serves: r.Serves, Build: r.Build, Site: r.Site}
	}
	if b.Out[r.Name] {
		c.recall[r.Name] = true // it takes nothing before its part is its own again
		return g, false, nil
	}
	current, doc := b.Current()
	g = Lease{Process: r.Process, At: r.At, For: c.rules.Lease, Index: b.Index, Revision: current}
	if r.Held != current {
		g.Doc = doc
	}
	g.Extra = c.lent(now, b)
	if p := b.Pending; p != nil {
		g.Pending = p.Token
		if r.Prepared != p.Token && r.Refused != p.Token {
			g.Prepare = p.Doc
		}
	}
	return g, true, nil
}

// span is for how long a grant may count, by any clock that runs a hundredth slow.
func (c *Leader) span() clock.Time { return c.rules.Lease + c.rules.Lease/100 + c.rules.Slack }

// lent is each living router's share of what lost ones may not send.
func (c *Leader) lent(now clock.Time, b *LogState) float64 {
	n := 0
	for name := range b.Out {
		if !c.recall[name] {
			n++
			c.extra[name] = now
		}
	}
	// With more routers than seats each has a whole part, and there is nothing to lend.
	if n == 0 || len(b.Roster) > c.seats || c.seats < 2 {
		return 0
	}
	// By those that are left now it was more than the whole while one that came back had a share and the others had not heard.
	return float64(n) / float64(c.seats) / float64(c.seats-1)
}

// Lend tells which lost router's part is to be lent, or is its own again, now. A part is lent only once its router can
// neither take a request, nor have one in hand, nor have lent the part itself; and the router is granted nothing before all
// that was given out of the part has run out.
func (c *Leader) Lend(now clock.Time, b *LogState) *Entry {
	for _, name := range slices.Sorted(maps.Keys(b.Out)) {
		if c.recall[name] && now-max(c.began, c.extra[name]) > c.span() {
			return &Entry{Kind: Unlend, Name: name}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.recall)) {
		if !b.Out[name] {
			delete(c.recall, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Roster)) {
		m := b.Roster[name]
		last := c.began
		if h, ok := c.heard[name]; ok {
			last = max(last, h.at) // of any process: it is there
		}
		if !m.Serves && !b.Out[name] && now-last > c.span()+c.rules.Rest && len(b.Roster) <= c.seats {
			return &Entry{Kind: Lend, Name: name, Process: m.Process}
		}
	}
	return nil
}

// absent tells whether a router that does not serve when cut off can take nothing now: its last grant has run out. A
// new leader does not know what the one before has granted.
func (c *Leader) absent(now clock.Time, name Name, m Member) bool {
	span := c.span()
	h, known := c.heard[name]
	return now-c.began > span && (!known || h.Process != m.Process || now-h.at > span)
}

// Resolve tells how the pending change ends, if it does now: everywhere once all that may serve could hold it, nowhere
// where one cannot, or cannot be asked in time.
func (c *Leader) Resolve(now clock.Time, b *LogState) *Entry {
	p := b.Pending
	if p == nil {
		c.pending = ""
		return nil
	}
	if c.pending != p.Token {
		c.pending, c.since = p.Token, now
	}
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(b.Roster)) {
		m, h := b.Roster[name], c.heard[name]
		if h.Process == m.Process && h.Refused == p.Token {
			return &Entry{Kind: Abort, Token: p.Token, Why: fmt.Sprintf("%s (build %s) cannot hold it: %s", name, m.Build, h.Why)}
		}
		if h.Process == m.Process && h.Prepared == p.Token {
			continue
		}
		if !m.Serves && c.absent(now, name, m) {
			continue // it takes nothing, and cannot before it knows what was decided
		}
		why := "does not answer, and may be serving"
		if h.Process == m.Process && now-h.at < c.rules.Lease {
			why = "has not said what it makes of it"
		}
		missing = append(missing, fmt.Sprintf("%s %s", name, why))
	}
	if len(missing) == 0 {
		return &Entry{Kind: Decide, Token: p.Token}
	}
	if now-c.since > c.rules.Patience {
		return &Entry{Kind: Abort, Token: p.Token, Why: fmt.Sprint(missing)}
	}
	return nil
}

// FollowerState is what the leader knows of a router.
type FollowerState struct {
	Name     Name       `json:"name"`
	Process  Process    `json:"process"`
	Serves   bool       `json:"serves"`
	Build    string     `json:"build"`
	Held     Revision   `json:"held"`
	Prepared bool       `json:"prepared"`
	Heard    clock.Time `json:"heard"` // ago; negative: not by this leader
}

// Standings are those of all on the roster.
func (c *Leader) Standings(now clock.Time, b *LogState) (all []FollowerState) {
	for name, m := range b.Roster {
		s := FollowerState{Name: name, Process: m.Process, Serves: m.Serves, Build: m.Build, Heard: -1}
		if h, ok := c.heard[name]; ok && h.Process == m.Process {
			s.Held, s.Heard, s.Prepared = h.Held, now-h.at, b.Pending != nil && h.Prepared == b.Pending.Token
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b FollowerState) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
