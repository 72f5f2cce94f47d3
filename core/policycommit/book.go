// Package policycommit decides how a change of policy takes hold everywhere or nowhere. It does no I/O and knows no clock; the
// time is an argument, in microseconds of this process's own clock that never goes back.
//
// Three parts: the book is what the keepers have decided, the same at each of them, entry by entry of a log that a
// library replicates; the council is what the leader of the keepers does with it; the holder is each router's side.
//
// A router takes requests by the leader's word alone: a grant, which counts for a span from when the router asked, and is
// answered only after a majority has confirmed the leader once more. So whatever is late, stalled or cut off, a router takes
// nothing under a revision for longer than that span after the next one was first granted to anybody.
package policycommit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"spurtrestle/core/sitefailover"
)

// Micros is a time or a span in whole microseconds.
type Micros int64

// The ids are types of their own, so that one cannot stand for another.
type (
	Name     string // of a router
	Process  uint64 // one life of a router
	Revision uint64 // of the policy; 0: each router's own settings
	Index    uint64 // of an entry of the log
	Token    string // of one change that is asked for, drawn by who asks
)

// Kind is what an entry of the log says.
type Kind string

// The entries.
const (
	Propose Kind = "propose" // a change is asked for: Token, Base, Doc, Author, Reason, At
	Decide  Kind = "decide"  // it holds from here on: Token
	Abort   Kind = "abort"   // it never will: Token, Why
	Enter   Kind = "enter"   // a router's process is there: Name, Process, Serves, Build
	Leave   Kind = "leave"   // it has ended, by its own word: Name, Process
	Dead    Kind = "dead"    // it has ended, by an operator's word: Name, Author, Reason, At
	Site    Kind = "site"    // a site counts as something else: Order
	Lend    Kind = "lend"    // a lost router's part is the others': Name, Process
	Unlend  Kind = "unlend"  // it is nobody's but its own again: Name
)

// Entry is one of the log.
type Entry struct {
	Kind    Kind     `json:"kind"`
	Token   Token    `json:"token,omitempty"`
	Base    Revision `json:"base,omitempty"`
	Doc     string   `json:"doc,omitempty"`
	Author  string   `json:"author,omitempty"`
	Reason  string   `json:"reason,omitempty"`
	At      int64    `json:"at,omitempty"` // the asker's wall clock, in microseconds since 1970, for people
	Why     string   `json:"why,omitempty"`
	Name    Name     `json:"name,omitempty"`
	Process Process  `json:"process,omitempty"`
	Serves  bool     `json:"serves,omitempty"`
	Build   string   `json:"build,omitempty"`
	Site    string   `json:"site,omitempty"`

	Order *sitefailover.Order `json:"order,omitempty"`
}

// Change is one that was decided, or is pending.
type Change struct {
	Revision Revision `json:"revision"`
	Token    Token    `json:"token"`
	Doc      string   `json:"doc"`
	Author   string   `json:"author"`
	Reason   string   `json:"reason"`
	At       int64    `json:"at"`
	Index    Index    `json:"index"` // of its proposal
}

// Verdict is what became of a change.
type Verdict struct {
	Everywhere bool     `json:"everywhere"`
	Revision   Revision `json:"revision"` // that it became; of the one in force where it did not
	Why        string   `json:"why,omitempty"`
}

// Member is a router that may take clients.
type Member struct {
	Process Process `json:"process"`
	Serves  bool    `json:"serves"` // it goes on under what it has where it cannot reach the keepers
	Build   string  `json:"build"`
	Site    string  `json:"site"`
}

const (
	mostHistory  = 100 // changes kept whole, for undo and for people
	mostVerdicts = 1000
)

// Book is what was decided. The zero value is an empty one; all fields are for a snapshot.
type Book struct {
	Index    Index             `json:"index"`
	History  []Change          `json:"history"` // the last is in force
	Pending  *Change           `json:"pending"`
	Verdicts map[Token]Verdict `json:"verdicts"`
	Order    []Token           `json:"order"` // of the verdicts, the eldest first
	Roster   map[Name]Member   `json:"roster"`
	Said     []Entry           `json:"said"` // operators' words on dead routers

	Sites map[sitefailover.Site]sitefailover.Ruling `json:"sites"`
	Out   map[Name]bool                             `json:"out"` // routers whose part is lent
}

// Current is the revision in force, and its document.
func (b *Book) Current() (Revision, string) {
	if n := len(b.History); n > 0 {
		return b.History[n-1].Revision, b.History[n-1].Doc
	}
	return 0, ""
}

// Clone is a copy that shares nothing that changes.
func (b *Book) Clone() *Book {
	c := *b
	c.History, c.Order, c.Said = slices.Clone(b.History), slices.Clone(b.Order), slices.Clone(b.Said)
	c.Verdicts, c.Roster, c.Sites = maps.Clone(b.Verdicts), maps.Clone(b.Roster), maps.Clone(b.Sites)
	c.Out = maps.Clone(b.Out)
	if b.Pending != nil {
		p := *b.Pending
		c.Pending = &p
	}
	return &c
}

// Apply takes in the next entry. The verdict is that of a proposal that is not taken up, or of the change that an entry
// ends; ok: there is one.
func (b *Book) Apply(at Index, e Entry) (v Verdict, ok bool) {
	b.Index = at
	if b.Verdicts == nil {
		b.Verdicts, b.Roster = map[Token]Verdict{}, map[Name]Member{}
	}
	current, _ := b.Current()
	switch e.Kind {
	case Propose:
		if v, ok := b.Verdicts[e.Token]; ok {
			return v, true // asked for again
		}
		switch {
		case b.Pending != nil && b.Pending.Token == e.Token:
			return Verdict{}, false
		case b.Pending != nil:
			return b.end(e.Token, Verdict{Revision: current, Why: fmt.Sprintf("another change is being made, by %s: %s", b.Pending.Author, b.Pending.Reason)})
		case e.Base != current:
			why := fmt.Sprintf("it was made for revision %d, and %d is in force", e.Base, current)
			if n := len(b.History); n > 0 {
				why += fmt.Sprintf(", by %s: %s", b.History[n-1].Author, b.History[n-1].Reason)
			}
			return b.end(e.Token, Verdict{Revision: current, Why: why})
		}
		b.Pending = &Change{Revision: current + 1, Token: e.Token, Doc: e.Doc, Author: e.Author, Reason: e.Reason, At: e.At, Index: at}
	case Decide:
		if b.Pending != nil && b.Pending.Token == e.Token {
			if b.History = append(b.History, *b.Pending); len(b.History) > mostHistory {
				b.History = slices.Clone(b.History[1:])
			}
			b.Pending = nil
			return b.end(e.Token, Verdict{Everywhere: true, Revision: current + 1})
		}
	case Abort:
		if b.Pending != nil && b.Pending.Token == e.Token {
			b.Pending = nil
			return b.end(e.Token, Verdict{Revision: current, Why: e.Why})
		}
	case Enter:
		b.Roster[e.Name] = Member{e.Process, e.Serves, e.Build, e.Site}
	case Leave:
		if b.Roster[e.Name].Process == e.Process {
			delete(b.Roster, e.Name)
		}
	case Site:
		// Made for what the site counted as then: of an operator's word and the leader's the later one is void.
		if o := e.Order; o != nil && b.Sites[o.Site].Index == o.On {
			if b.Sites == nil {
				b.Sites = map[sitefailover.Site]sitefailover.Ruling{}
			}
			o.Ruling.Index = uint64(at)
			b.Sites[o.Site] = o.Ruling
		}
	case Lend:
		if m := b.Roster[e.Name]; m.Process == e.Process && m.Process != 0 { // another has entered meanwhile
			if b.Out == nil {
				b.Out = map[Name]bool{}
			}
			b.Out[e.Name] = true
		}
	case Unlend:
		delete(b.Out, e.Name)
	case Dead:
		delete(b.Roster, e.Name)
		if b.Said = append(b.Said, e); len(b.Said) > mostHistory {
			b.Said = slices.Clone(b.Said[1:])
		}
	}
	return Verdict{}, false
}

func (b *Book) end(t Token, v Verdict) (Verdict, bool) {
	b.Verdicts[t] = v
	if b.Order = append(b.Order, t); len(b.Order) > mostVerdicts {
		delete(b.Verdicts, b.Order[0])
		b.Order = slices.Clone(b.Order[1:])
	}
	return v, true
}

// Rules are the spans of a council and its holders.
type Rules struct {
	Lease    Micros // for which a grant counts, from its asking: the window in which two revisions may both be served
	Ask      Micros // between two askings
	Again    Micros // until one that was not answered is repeated
	Patience Micros // for a change to be prepared by all
	Slack    Micros // that the council waits longer than a lease, beside a hundredth of it
	Rest     Micros // after the end of a router's last grant until nothing that it had in hand, or had lent, can be left
}

// DefaultRules: the window stays under a second, also by a clock that runs a hundredth slow. A lease is renewed four
// times over, and asked for again soon where packets get lost.
func DefaultRules() Rules {
	// What a router leaves to others as it ends counts for ten seconds (package sharelease); requests in hand for less.
	return Rules{Lease: 950e3, Ask: 200e3, Again: 60e3, Patience: 5e6, Slack: 50e3, Rest: 12e6}
}

// Renewal is what a router asks with.
type Renewal struct {
	Name     Name     `json:"name"`
	Process  Process  `json:"process"`
	At       Micros   `json:"at"` // by its own clock
	Serves   bool     `json:"serves"`
	Build    string   `json:"build"`
	Site     string   `json:"site"`
	Held     Revision `json:"held"`
	Index    Index    `json:"index"`    // the highest that it was told of
	Prepared Token    `json:"prepared"` // the change that it could hold
	Refused  Token    `json:"refused"`  // the change that it cannot
	Why      string   `json:"why"`
	Leaving  bool     `json:"leaving"` // it takes nothing more, for good
}

// Grant is what it is answered.
type Grant struct {
	Process  Process  `json:"process"`
	At       Micros   `json:"at"` // of the asking
	For      Micros   `json:"for"`
	Index    Index    `json:"index"` // of the book that it was made by
	Revision Revision `json:"revision"`
	Doc      string   `json:"doc"` // of that revision, where the asker does not hold it
	Pending  Token    `json:"pending"`
	Prepare  string   `json:"prepare"` // the pending document, where the asker has not said what it makes of it
	Extra    float64  `json:"extra"`   // of what all routers may send together, beside the asker's own part
}

// Council is the leader's side; a new leader begins with a new one. It is not safe for use by several goroutines at once.
type Council struct {
	rules   Rules
	began   Micros
	heard   map[Name]heard
	pending Token
	since   Micros          // of the pending change, at this council
	seats   int             // that the whole is parted by
	extra   map[Name]Micros // when a lent part was last given out
	recall  map[Name]bool   // it is given out no more: its router asks
}

type heard struct {
	Renewal
	at Micros
}

// NewCouncil begins as leader.
func NewCouncil(now Micros, rules Rules, seats int) *Council {
	return &Council{rules: rules, began: now, heard: map[Name]heard{}, seats: seats, extra: map[Name]Micros{}, recall: map[Name]bool{}}
}

// Answer takes in an asking, and answers it once a majority has confirmed the leader after it had come; book is as of then.
// enter is an entry that has to be in the book first.
func (c *Council) Answer(now Micros, b *Book, r Renewal) (g Grant, ok bool, enter *Entry) {
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
	g = Grant{Process: r.Process, At: r.At, For: c.rules.Lease, Index: b.Index, Revision: current}
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
func (c *Council) span() Micros { return c.rules.Lease + c.rules.Lease/100 + c.rules.Slack }

// lent is each living router's share of what lost ones may not send.
func (c *Council) lent(now Micros, b *Book) float64 {
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
func (c *Council) Lend(now Micros, b *Book) *Entry {
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
func (c *Council) absent(now Micros, name Name, m Member) bool {
	span := c.span()
	h, known := c.heard[name]
	return now-c.began > span && (!known || h.Process != m.Process || now-h.at > span)
}

// Resolve tells how the pending change ends, if it does now: everywhere once all that may serve could hold it, nowhere
// where one cannot, or cannot be asked in time.
func (c *Council) Resolve(now Micros, b *Book) *Entry {
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

// Standing is what the council knows of a router.
type Standing struct {
	Name     Name     `json:"name"`
	Process  Process  `json:"process"`
	Serves   bool     `json:"serves"`
	Build    string   `json:"build"`
	Held     Revision `json:"held"`
	Prepared bool     `json:"prepared"`
	Heard    Micros   `json:"heard"` // ago; negative: not by this leader
}

// Standings are those of all on the roster.
func (c *Council) Standings(now Micros, b *Book) (all []Standing) {
	for name, m := range b.Roster {
		s := Standing{Name: name, Process: m.Process, Serves: m.Serves, Build: m.Build, Heard: -1}
		if h, ok := c.heard[name]; ok && h.Process == m.Process {
			s.Held, s.Heard, s.Prepared = h.Held, now-h.at, b.Pending != nil && h.Prepared == b.Pending.Token
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Standing) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
