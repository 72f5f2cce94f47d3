// Package sharelease decides which part of what all routers may send together is one router's. It does no I/O and knows no
// clock: the time is an argument, in microseconds of this process's own clock that never goes back.
//
// Each of N seats owns 1/N. An eighth of that it keeps always; the rest it may lend, an equal piece to each other seat,
// while it takes no clients. A piece is lent on being asked, for a span that counts at the borrower from its asking and
// at the lender from its answer, which is later: whatever is late, lost, doubled or out of order, the borrower has
// stopped before the lender takes the piece back by itself. A borrower that answers a recall gives it back sooner.
//
// Nothing is ever taken from who does not answer: of two that do not hear each other none can tell whether the other has
// ended, and what one may take then, the other would have to leave unused. So the sum over all routers of what they hold
// is never over the whole, as long as a seat has one living process.
package sharelease

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// The ids are types of their own, so that one cannot stand for another.
type (
	Slot        int    // which of the routers, from 0
	Incarnation uint64 // one life of a router
)

// Rules are the spans of lending.
type Timing struct {
	Lease         clock.Time // for which a piece is lent to each asking
	Transfer      clock.Time // the same, by one that ends: it cannot be asked again
	RetryInterval clock.Time // between two askings, or recalls
	ExpiryMargin  clock.Time // what a lender waits longer, beside a hundredth of the span for clocks that do not run alike
}

// DefaultRules are those of a fleet: a lease is renewed three times over, since packets get lost; a bequest covers a restart, and is the time
// for which a start that reaches nobody does without the pieces.
func DefaultTiming() Timing {
	return Timing{Lease: 2e6, Transfer: 10e6, RetryInterval: 500e3, ExpiryMargin: 50e3}
}

// Kind is what a message says.
type Kind uint8

// Ask and Return go from borrower to lender, Grant and Recall the other way.
const (
	Request Kind = iota + 1 // lend me your piece: At is the borrower's time
	Grant                   // it is yours for a span from At on, which is that of the asking
	Revoke                  // give it back: At is the lender's count
	Release                 // I do not hold it: At is the count of the recall
)

// Message goes from one seat's process to another's.
type Message struct {
	Kind     Kind        `json:"Kind"`
	From     Slot        `json:"From"`
	To       Slot        `json:"To"`
	Grantor  Incarnation `json:"Lender"` // 0 in an asking: whichever it is
	Holder   Incarnation `json:"Borrower"`
	Stamp    int64       `json:"At"`
	Duration clock.Time  `json:"For"`
}

// Peer is a seat whose router is there.
type Peer struct {
	Incarnation Incarnation
	Granting    bool
}

// Share is what a router may use: Now until a time, Then afterwards, until it is told anew.
type Share struct {
	Current     float64
	ExpiresAt   clock.Time // 0: there is no end
	AfterExpiry float64
}

type loan struct { // of an own piece
	until clock.Time
	to    Incarnation // 0: to whom the process before this one lent it is not known
	count int64       // of the last grant
}

type held struct { // of another's piece
	until clock.Time
	from  Incarnation
}

// Leases is one process's side. It is not safe for use by several goroutines at once.
type Leases struct {
	rules   Timing
	seats   int
	me      Slot
	process Incarnation
	lends   bool
	ends    bool
	count   int64
	out     map[Slot]loan
	has     map[Slot]held
	refuse  map[Slot]clock.Time // grants of askings up to then are not taken
	asked   map[Slot]clock.Time // or recalled
	waiting map[Slot]Message    // the last asking of each
}

const keeps = 1.0 / 8 // so that a router that takes clients again does not stand still until its pieces are back

// Least is what a router of so many has in any case, as part of the whole.
func MinimumShare(seats int) float64 { return keeps / float64(max(1, seats)) }

// New begins with all pieces out, as the process before may have left them; clear says that it has lent none.
func New(now clock.Time, rules Timing, seats int, me Slot, process Incarnation, clear bool) *Leases {
	p := &Leases{rules: rules, seats: max(1, seats), me: me, process: process, out: map[Slot]loan{}, has: map[Slot]held{},
		refuse: map[Slot]clock.Time{}, asked: map[Slot]clock.Time{}, waiting: map[Slot]Message{}}
	for s := range p.seats {
		if s := Slot(s); s != me && !clear {
			p.out[s] = loan{until: p.later(now, rules.Transfer)}
		}
	}
	return p
}

// later is the end of a span as its lender counts it.
func (p *Leases) later(now, span clock.Time) clock.Time {
	return now + span + span/100 + p.rules.ExpiryMargin
}

// Lend has the router lend its pieces, or take them back. Share without them has to be in force before: call it then.
// ends says that the process is about to end.
func (p *Leases) SetGranting(on, ends bool) { p.lends, p.ends = on, ends }

// Lent is the share while the router lends.
func (p *Leases) ReducedShare() Share {
	return Share{Current: MinimumShare(p.seats), AfterExpiry: MinimumShare(p.seats)}
}

// Share is what may be used.
func (p *Leases) Share(now clock.Time) Share {
	if p.lends {
		return p.ReducedShare()
	}
	piece := p.piece()
	s := Share{Current: 1 / float64(p.seats)}
	for _, l := range p.out {
		if l.until > now {
			s.Current -= piece
		}
	}
	s.AfterExpiry = s.Current
	for _, h := range p.has {
		if h.until > now {
			s.Current += piece
			if s.ExpiresAt == 0 || h.until < s.ExpiresAt {
				s.ExpiresAt = h.until
			}
		}
	}
	return s
}

func (p *Leases) piece() float64 {
	if p.seats == 1 {
		return 0
	}
	return (1 - keeps) / float64(p.seats) / float64(p.seats-1)
}

// Step lets time pass. there are the other seats that are there now; takes says that this router could use more.
func (p *Leases) Tick(now clock.Time, there map[Slot]Peer, takes bool) (send []Message) {
	for s, l := range p.out {
		if l.until <= now {
			delete(p.out, s)
		}
	}
	for s, h := range p.has {
		if h.until <= now {
			delete(p.has, s)
		}
	}
	seats := make([]Slot, 0, len(there))
	for s := range there {
		seats = append(seats, s)
	}
	slices.SortFunc(seats, func(a, b Slot) int { return cmp.Compare(a, b) })
	for _, s := range seats {
		peer := there[s]
		if s == p.me || s < 0 || int(s) >= p.seats {
			continue
		}
		if at, did := p.asked[s]; did && now-at < p.rules.RetryInterval {
			continue
		}
		_, out := p.out[s]
		switch {
		case out && !p.lends:
			p.count++
			send = append(send, Message{Kind: Revoke, From: p.me, To: s, Grantor: p.process, Holder: peer.Incarnation, Stamp: p.count})
		case peer.Granting && takes && !p.lends:
			send = append(send, Message{Kind: Request, From: p.me, To: s, Grantor: peer.Incarnation, Holder: p.process, Stamp: int64(now)})
		default:
			continue
		}
		p.asked[s] = now
	}
	return send
}

// TransferAll answers all that have asked, as the last thing that a process does.
func (p *Leases) TransferAll(now clock.Time) (send []Message) {
	p.SetGranting(true, true)
	for _, m := range p.waiting {
		if a, ok := p.Receive(now, m); ok {
			send = append(send, a)
		}
	}
	slices.SortFunc(send, func(a, b Message) int { return cmp.Compare(a.To, b.To) })
	return send
}

// Take takes in a message, and answers it.
func (p *Leases) Receive(now clock.Time, m Message) (answer Message, ok bool) {
	if m.To != p.me || m.From == p.me || m.From < 0 || int(m.From) >= p.seats {
		return Message{}, false
	}
	switch m.Kind {
	case Request:
		if m.Grantor != p.process {
			return Message{}, false
		}
		p.waiting[m.From] = m
		if !p.lends {
			return Message{}, false
		}
		if l, out := p.out[m.From]; out && l.to != m.Holder && l.until > now {
			return Message{}, false // an earlier process of that seat may still use it
		}
		span := p.rules.Lease
		if p.ends {
			span = p.rules.Transfer
		}
		p.count++
		p.out[m.From] = loan{until: max(p.out[m.From].until, p.later(now, span)), to: m.Holder, count: p.count}
		return Message{Kind: Grant, From: p.me, To: m.From, Grantor: p.process, Holder: m.Holder, Stamp: m.Stamp, Duration: span}, true
	case Grant:
		until := clock.Time(m.Stamp) + m.Duration // from the asking: how long the answer took does not matter
		if m.Holder != p.process || clock.Time(m.Stamp) <= p.refuse[m.From] || clock.Time(m.Stamp) > now || until <= now {
			return Message{}, false
		}
		if h := p.has[m.From]; until > h.until {
			p.has[m.From] = held{until, m.Grantor}
		}
	case Revoke:
		if m.Holder != p.process {
			return Message{}, false
		}
		delete(p.has, m.From)
		p.refuse[m.From] = now // a grant that is still on its way comes too late
		return Message{Kind: Release, From: p.me, To: m.From, Grantor: m.Grantor, Holder: p.process, Stamp: m.Stamp}, true
	case Release:
		l, out := p.out[m.From]
		if out && m.Grantor == p.process && m.Stamp > l.count && (l.to == 0 || l.to == m.Holder) {
			delete(p.out, m.From)
		}
	}
	return Message{}, false
}
