package policycommit

import (
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"testing"

	"spurtrestle/core/clock"
)

var long = flag.Bool("long", false, "explore the scopes that take minutes as well")

// What is explored: routers that ask, a leader that answers and resolves, operators that propose; any message may be late,
// one is lost, one comes twice; one router is killed and started again; another keeper leads. A tick is a lease. A
// router that stands still is one that nothing happens at.
var ticks = Timing{LeaseDuration: 1, RenewInterval: 1, RetryInterval: 1, PrepareTimeout: 3}

type scope struct {
	ticks   clock.Time
	states  int
	visited map[[16]byte]struct{} // by a hash: of 1e7 states no two share one, but for a chance of 1e-24
	bug     string                // planted
	found   string
}

type state struct {
	now     clock.Time
	book    *LogState
	council *Leader
	routers []*Follower
	procs   []Incarnation
	asks    []*Renewal // under way, by router
	grants  []*Lease
	first   map[Revision]clock.Time // when a revision could first be served, anywhere
	budget  [5]int                  // proposals, losses, doubles, crashes, leaders
	left    []int                   // askings, by router
}

func (s *state) clone() *state {
	c := *s
	c.book = s.book.Clone()
	l := *s.council
	l.renewals = maps.Clone(s.council.renewals)
	c.council = &l
	c.routers = make([]*Follower, len(s.routers))
	for i, h := range s.routers {
		x := *h
		c.routers[i] = &x
	}
	c.procs = append([]Incarnation(nil), s.procs...)
	c.left = append([]int(nil), s.left...)
	c.asks, c.grants = append([]*Renewal(nil), s.asks...), append([]*Lease(nil), s.grants...)
	c.first = maps.Clone(s.first)
	return &c
}

func (s *state) key() []byte {
	b := make([]byte, 0, 256)
	num := func(all ...int64) {
		for _, n := range all {
			b = strconv.AppendInt(append(b, ' '), n, 36)
		}
	}
	token := func(t Token) { b = append(append(b, ' '), t...) }
	num(int64(s.now), int64(s.book.Index), int64(len(s.book.Verdicts)), int64(len(s.book.History)), int64(s.council.startedAt), int64(s.council.pendingSince))
	token(s.council.pendingToken)
	for _, n := range s.budget {
		num(int64(n))
	}
	for rev := range Revision(4) {
		if at, ok := s.first[rev]; ok {
			num(int64(at))
		} else {
			num(-1)
		}
	}
	if s.book.Pending != nil {
		token(s.book.Pending.Token)
	}
	for i, h := range s.routers {
		heard := s.council.renewals[h.name]
		num(int64(s.left[i]), int64(h.active.Revision), int64(h.index), int64(h.leaseExpiresAt), int64(h.preparedIndex), int64(h.incarnation), int64(heard.receivedAt), int64(heard.Incarnation),
			int64(heard.ActiveRevision), int64(s.book.Members[h.name].Incarnation))
		if h.hasRevision {
			token("k")
		}
		token(h.prepared)
		token(heard.Prepared)
		if a := s.asks[i]; a != nil {
			num(int64(a.SentAt), int64(a.Incarnation), int64(a.ActiveRevision), int64(a.Index))
			token("a" + a.Prepared)
		}
		if g := s.grants[i]; g != nil {
			num(int64(g.RenewalSentAt), int64(g.Incarnation), int64(g.Index), int64(g.Revision), int64(len(g.PrepareDocument)))
			token("g" + g.Pending)
		}
	}
	return b
}

func (x *scope) run(s *state) {
	if x.found != "" {
		return
	}
	for i, h := range s.routers { // who could take a request now, and under what
		until := h.AdmissionDeadline(s.now)
		if x.bug == "a lease is not looked at" {
			until = 0
		}
		if !h.hasRevision || until != 0 && until <= s.now {
			continue
		}
		if at, ok := s.first[h.active.Revision]; !ok || s.now < at {
			s.first[h.active.Revision] = s.now
		}
		for newer, at := range s.first {
			if newer > h.active.Revision && s.now > at+ticks.LeaseDuration {
				x.found = fmt.Sprintf("at tick %d router %d serves revision %d, and %d was served at %d", s.now, i, h.active.Revision, newer, at)
				return
			}
		}
	}
	var key [16]byte
	h := fnv.New128a()
	_, _ = h.Write(s.key()) // it cannot fail
	if _, was := x.visited[[16]byte(h.Sum(key[:0]))]; was {
		return
	}
	x.visited[key] = struct{}{}
	x.states++
	next := func(do func(*state)) {
		c := s.clone()
		do(c)
		x.run(c)
	}
	put := func(c *state, e Entry) { c.book.Apply(c.book.Index+1, e) }
	if s.now < x.ticks {
		next(func(c *state) { c.now++ })
	}
	if s.budget[0] > 0 && s.book.Pending == nil {
		next(func(c *state) {
			c.budget[0]--
			current, _ := c.book.Current()
			put(c, Entry{Kind: EntryPropose, Token: Token(fmt.Sprint("t", c.budget[0])), Base: current, Document: "d"})
		})
	}
	if e := s.clone().council.ResolvePending(s.now, s.book); e != nil || s.book.Pending != nil && s.council.pendingToken == "" {
		next(func(c *state) {
			if e := c.council.ResolvePending(c.now, c.book); e != nil {
				put(c, *e)
			}
		})
	}
	if s.budget[4] > 0 {
		next(func(c *state) { c.budget[4]--; c.council = NewLeader(c.now, ticks, 3) })
	}
	for i, h := range s.routers {
		if s.asks[i] == nil && s.grants[i] == nil && s.left[i] > 0 {
			next(func(c *state) {
				r := h.renewal(c.now)
				c.asks[i] = &r
				if c.left[i]--; x.bug == "a promise is forgotten" {
					c.routers[i].prepared = ""
				}
			})
		}
		if a := s.asks[i]; a != nil {
			next(func(c *state) {
				c.asks[i] = nil
				answer := c.council.AnswerRenewal(c.now, c.book, *a)
				if answer.Entry != nil {
					put(c, *answer.Entry)
				}
				if answer.Lease != nil {
					c.grants[i] = answer.Lease
				}
			})
			if s.budget[1] > 0 {
				next(func(c *state) { c.budget[1]--; c.asks[i] = nil })
			}
		}
		if g := s.grants[i]; g != nil {
			take := func(c *state) {
				told := *g
				if x.bug == "a lease counts from when it comes" {
					told.RenewalSentAt = c.now
				}
				c.routers[i].ReceiveLease(c.now, told)
			}
			next(func(c *state) { take(c); c.grants[i] = nil })
			if s.budget[2] > 0 {
				next(func(c *state) { c.budget[2]--; take(c) })
			}
			if s.budget[1] > 0 {
				next(func(c *state) { c.budget[1]--; c.grants[i] = nil })
			}
		}
		if s.budget[3] > 0 {
			next(func(c *state) {
				c.budget[3]--
				c.procs[i] += 10
				c.routers[i] = NewFollower(ticks, h.name, c.procs[i], h.failOpen, "", h.validate)
			})
		}
	}
}

func explore(serves []bool, span clock.Time, asks []int, budget [5]int, bug string) *scope {
	x := &scope{ticks: span, visited: map[[16]byte]struct{}{}, bug: bug}
	s := &state{book: &LogState{}, council: NewLeader(0, ticks, 3), first: map[Revision]clock.Time{}, budget: budget}
	for i, serve := range serves {
		p := Incarnation(i + 1)
		name := RouterName(fmt.Sprint("r", i))
		s.book.Apply(s.book.Index+1, Entry{Kind: EntryJoin, Name: name, Incarnation: p, FailOpen: serve})
		s.procs, s.left = append(s.procs, p), append(s.left, asks[i])
		h := NewFollower(ticks, name, p, serve, "", func(string) error { return nil })
		if answer := s.council.AnswerRenewal(0, s.book, h.renewal(0)); answer.Lease != nil { // all begin as told of revision 0
			h.ReceiveLease(0, *answer.Lease)
		}
		s.routers = append(s.routers, h)
	}
	s.asks, s.grants = make([]*Renewal, len(serves)), make([]*Lease, len(serves))
	x.run(s)
	return x
}

// In every order in which a small fleet may be told things, no router serves a revision for longer than a lease after the
// next one could be served anywhere. What is planted is found by the same scopes: they are long enough for it to show.
func TestEveryOrder(t *testing.T) {
	scopes := map[string]struct {
		serves []bool
		span   clock.Time
		asks   []int
		budget [5]int // proposals, losses, doubles, crashes, leaders
	}{
		"both refuse": {[]bool{false, false}, 5, []int{3, 1}, [5]int{1, 0, 0, 0, 0}},
		"both serve":  {[]bool{true, true}, 5, []int{3, 2}, [5]int{1, 0, 0, 0, 0}},
		"one serves":  {[]bool{true, false}, 5, []int{3, 1}, [5]int{1, 0, 0, 0, 0}},
		// Shorter, and one of each beside.
		"one message is lost, one comes twice": {[]bool{false, false}, 4, []int{2, 1}, [5]int{1, 1, 1, 0, 0}},
		"one router begins anew":               {[]bool{false, false}, 4, []int{2, 1}, [5]int{1, 0, 0, 1, 0}},
		"another keeper leads":                 {[]bool{false, false}, 4, []int{2, 1}, [5]int{1, 0, 0, 0, 1}},
		"all of that":                          {[]bool{true, false}, 4, []int{2, 1}, [5]int{1, 1, 1, 1, 1}},
	}
	late := map[string]bool{"both serve": true, "all of that": true}
	for name, c := range scopes {
		t.Run(name, func(t *testing.T) {
			if late[name] && !*long {
				t.Skip("minutes: make accord-long")
			}
			t.Parallel()
			x := explore(c.serves, c.span, c.asks, c.budget, "")
			if x.found != "" {
				t.Error(x.found)
			}
			t.Logf("%d states", x.states)
		})
	}
	for bug, where := range map[string][]string{"a promise is forgotten": {"both serve", "all of that"}, "a lease counts from when it comes": nil,
		"a lease is not looked at": nil} {
		for scope, c := range scopes {
			if where != nil && !slices.Contains(where, scope) {
				continue // it does not show where routers that refuse are granted anew
			}
			t.Run(bug+"/"+scope, func(t *testing.T) {
				t.Parallel()
				if x := explore(c.serves, c.span, c.asks, c.budget, bug); x.found == "" {
					t.Errorf("not found in %d states", x.states)
				} else {
					t.Logf("found in %d states: %s", x.states, x.found)
				}
			})
		}
	}
}
