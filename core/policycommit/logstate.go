// Package policycommit decides how a change of policy takes hold everywhere or nowhere. It does no I/O and knows no clock; the
// time is an argument, in microseconds of this process's own clock that never goes back.
//
// Three parts: the log state is what the keepers have decided, the same at each of them, entry by entry of a log that a
// library replicates; Leader is the side of the keepers' leader; Follower is the side of each router.
//
// A router takes requests by the leader's word alone: a lease, which counts for a span from when the router asked, and is
// answered only after a majority has confirmed the leader once more. So whatever is late, stalled or cut off, a router takes
// nothing under a revision for longer than that span after the next one was first granted to anybody.
package policycommit

import (
	"fmt"
	"maps"
	"slices"

	"spurtrestle/core/sitefailover"
)

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

	Order *sitefailover.Transition `json:"order,omitempty"`
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

// LogState is what was decided. The zero value is an empty one; all fields are for a snapshot.
type LogState struct {
	Index    Index             `json:"index"`
	History  []Change          `json:"history"` // the last is in force
	Pending  *Change           `json:"pending"`
	Verdicts map[Token]Verdict `json:"verdicts"`
	Order    []Token           `json:"order"` // of the verdicts, the eldest first
	Roster   map[Name]Member   `json:"roster"`
	Said     []Entry           `json:"said"` // operators' words on dead routers

	Sites map[sitefailover.Site]sitefailover.Decision `json:"sites"`
	Out   map[Name]bool                               `json:"out"` // routers whose part is lent
}

// Current is the revision in force, and its document.
func (b *LogState) Current() (Revision, string) {
	if n := len(b.History); n > 0 {
		return b.History[n-1].Revision, b.History[n-1].Doc
	}
	return 0, ""
}

// Clone is a copy that shares nothing that changes.
func (b *LogState) Clone() *LogState {
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
func (b *LogState) Apply(at Index, e Entry) (v Verdict, ok bool) {
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
		if o := e.Order; o != nil && b.Sites[o.Site].Index == o.PreviousIndex {
			if b.Sites == nil {
				b.Sites = map[sitefailover.Site]sitefailover.Decision{}
			}
			o.Decision.Index = uint64(at)
			b.Sites[o.Site] = o.Decision
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

func (b *LogState) end(t Token, v Verdict) (Verdict, bool) {
	b.Verdicts[t] = v
	if b.Order = append(b.Order, t); len(b.Order) > mostVerdicts {
		delete(b.Verdicts, b.Order[0])
		b.Order = slices.Clone(b.Order[1:])
	}
	return v, true
}
