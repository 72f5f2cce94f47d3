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

var long = flag.Bool("long", false, "also explore the scopes that take minutes")

// modelTiming is the timing of the model: a lease lasts one tick.
var modelTiming = Timing{LeaseDuration: 1, RenewInterval: 1, RetryInterval: 1, PrepareTimeout: 3}

// The tests of this file explore a model of the protocol exhaustively. The model has two routers that renew, a leader that
// answers renewals and resolves changes, and an operator that proposes changes. Messages may be delayed without bound. A stalled
// router is one that takes no steps.

// acceptAll is the validation of a build that can apply every document.
func acceptAll(string) error { return nil }

// eventBudget is the number of events in a run that are not steps of the protocol, by kind.
type eventBudget struct {
	proposals, losses, duplicates, crashes, newLeaders int
}

// injectedBug is a protocol error that the exploration has to find.
type injectedBug string

const (
	noBug             injectedBug = ""
	leaseFromReceipt  injectedBug = "lease counts from its receipt"
	leaseIgnored      injectedBug = "lease is not checked"
	preparedForgotten injectedBug = "prepared change is forgotten"
)

// scope bounds the states that are explored.
type scope struct {
	failOpen []bool     // of each router
	ticks    clock.Time // until the end of a run
	renewals []int      // of each router
	budget   eventBudget
}

// modelState is one state of the model.
type modelState struct {
	now          clock.Time
	log          *LogState
	leader       *Leader
	followers    []*Follower
	incarnations []Incarnation
	renewals     []*Renewal              // in flight, by router
	leases       []*Lease                // in flight, by router
	firstServed  map[Revision]clock.Time // by any router
	budget       eventBudget
	renewalsLeft []int // by router
}

func (s *modelState) clone() *modelState {
	clone := *s
	clone.log = s.log.Clone()
	leader := *s.leader
	leader.renewals = maps.Clone(s.leader.renewals)
	clone.leader = &leader
	clone.followers = make([]*Follower, len(s.followers))
	for i, follower := range s.followers {
		followerClone := *follower
		clone.followers[i] = &followerClone
	}
	clone.incarnations = slices.Clone(s.incarnations)
	clone.renewalsLeft = slices.Clone(s.renewalsLeft)
	clone.renewals = slices.Clone(s.renewals)
	clone.leases = slices.Clone(s.leases)
	clone.firstServed = maps.Clone(s.firstServed)
	return &clone
}

func (s *modelState) append(entry Entry) { s.log.Apply(s.log.Index+1, entry) }

// key encodes all properties that distinguish two states.
func (s *modelState) key() []byte {
	key := make([]byte, 0, 256)
	numbers := func(values ...int64) {
		for _, value := range values {
			key = strconv.AppendInt(append(key, ' '), value, 36)
		}
	}
	token := func(t Token) { key = append(append(key, ' '), t...) }
	numbers(int64(s.now), int64(s.log.Index), int64(len(s.log.Verdicts)), int64(len(s.log.History)))
	numbers(int64(s.leader.startedAt), int64(s.leader.pendingSince))
	token(s.leader.pendingToken)
	numbers(int64(s.budget.proposals), int64(s.budget.losses), int64(s.budget.duplicates), int64(s.budget.crashes), int64(s.budget.newLeaders))
	for revision := range Revision(4) {
		servedAt, ok := s.firstServed[revision]
		if !ok {
			servedAt = -1
		}
		numbers(int64(servedAt))
	}
	if s.log.Pending != nil {
		token(s.log.Pending.Token)
	}
	for i, follower := range s.followers {
		known := s.leader.renewals[follower.config.Name]
		numbers(int64(s.renewalsLeft[i]), int64(follower.active.Revision), int64(follower.index), int64(follower.leaseExpiresAt))
		numbers(int64(follower.preparedIndex), int64(follower.config.Incarnation))
		numbers(int64(known.receivedAt), int64(known.Incarnation), int64(known.ActiveRevision))
		numbers(int64(s.log.Members[follower.config.Name].Incarnation))
		if follower.hasRevision {
			token("k")
		}
		token(follower.prepared)
		token(known.Prepared)
		if renewal := s.renewals[i]; renewal != nil {
			numbers(int64(renewal.SentAt), int64(renewal.Incarnation), int64(renewal.ActiveRevision), int64(renewal.Index))
			token("a" + renewal.Prepared)
		}
		if lease := s.leases[i]; lease != nil {
			numbers(int64(lease.RenewalSentAt), int64(lease.Incarnation), int64(lease.Index), int64(lease.Revision), int64(len(lease.PrepareDocument)))
			token("g" + lease.Pending)
		}
	}
	return key
}

// explorer visits every state of a scope once.
type explorer struct {
	scope     scope
	bug       injectedBug
	states    int
	visited   map[[16]byte]struct{} // hashes of the visited states; the chance of a collision among 1e7 states is 1e-24
	violation string
}

func explore(s scope, bug injectedBug) *explorer {
	e := &explorer{scope: s, bug: bug, visited: map[[16]byte]struct{}{}}
	e.visit(e.initialState())
	return e
}

// initialState returns a state in which all routers have a lease for revision 0.
func (e *explorer) initialState() *modelState {
	s := &modelState{
		log:          &LogState{},
		leader:       NewLeader(0, modelTiming, 3),
		firstServed:  map[Revision]clock.Time{},
		budget:       e.scope.budget,
		renewalsLeft: slices.Clone(e.scope.renewals),
		renewals:     make([]*Renewal, len(e.scope.failOpen)),
		leases:       make([]*Lease, len(e.scope.failOpen)),
	}
	for i, failOpen := range e.scope.failOpen {
		incarnation := Incarnation(i + 1)
		name := RouterName(fmt.Sprint("r", i))
		s.append(Entry{Kind: EntryJoin, Name: name, Incarnation: incarnation, FailOpen: failOpen})
		s.incarnations = append(s.incarnations, incarnation)
		follower := NewFollower(modelTiming, FollowerConfig{Name: name, Incarnation: incarnation, FailOpen: failOpen, Validate: acceptAll})
		if answer := s.leader.AnswerRenewal(0, s.log, follower.renewal(0)); answer.Lease != nil {
			follower.ReceiveLease(0, *answer.Lease)
		}
		s.followers = append(s.followers, follower)
	}
	return s
}

// visit checks a state and then recursively visits its successor states.
func (e *explorer) visit(s *modelState) {
	if e.violation != "" {
		return
	}
	e.checkServed(s)
	if e.violation != "" || !e.addVisited(s) {
		return
	}
	e.environmentSteps(s)
	e.leaderSteps(s)
	for i := range s.followers {
		e.renewalSteps(s, i)
		e.leaseSteps(s, i)
		e.crashStep(s, i)
	}
}

// checkServed records a violation if a router can still admit requests under a revision more than a lease duration after a
// later revision was first served.
func (e *explorer) checkServed(s *modelState) {
	for i, follower := range s.followers {
		deadline := follower.AdmissionDeadline(s.now)
		if e.bug == leaseIgnored {
			deadline = NoDeadline
		}
		canServe := follower.hasRevision && (deadline == NoDeadline || deadline > s.now)
		if !canServe {
			continue
		}
		revision := follower.active.Revision
		if servedAt, ok := s.firstServed[revision]; !ok || s.now < servedAt {
			s.firstServed[revision] = s.now
		}
		for later, servedAt := range s.firstServed {
			if later > revision && s.now > servedAt+modelTiming.LeaseDuration {
				e.violation = fmt.Sprintf("at tick %d router %d serves revision %d, but revision %d was first served at tick %d", s.now, i, revision, later, servedAt)
				return
			}
		}
	}
}

// addVisited adds the state to the visited ones and reports whether it is new.
func (e *explorer) addVisited(s *modelState) bool {
	hash := fnv.New128a()
	_, _ = hash.Write(s.key()) // a hash's Write never fails
	var key [16]byte
	hash.Sum(key[:0])
	if _, ok := e.visited[key]; ok {
		return false
	}
	e.visited[key] = struct{}{}
	e.states++
	return true
}

// step applies a step to a copy of the state and visits the result.
func (e *explorer) step(s *modelState, apply func(*modelState)) {
	next := s.clone()
	apply(next)
	e.visit(next)
}

// environmentSteps advance the time and propose changes.
func (e *explorer) environmentSteps(s *modelState) {
	if s.now < e.scope.ticks {
		e.step(s, func(next *modelState) { next.now++ })
	}
	if s.budget.proposals > 0 && s.log.Pending == nil {
		e.step(s, func(next *modelState) {
			next.budget.proposals--
			current, _ := next.log.Current()
			next.append(Entry{Kind: EntryPropose, Token: Token(fmt.Sprint("t", next.budget.proposals)), Base: current, Document: "d"})
		})
	}
}

// leaderSteps resolve the pending change or replace the leader.
func (e *explorer) leaderSteps(s *modelState) {
	entry := s.clone().leader.ResolvePending(s.now, s.log)
	isFirstObservation := s.log.Pending != nil && s.leader.pendingToken == ""
	if entry != nil || isFirstObservation {
		e.step(s, func(next *modelState) {
			if entry := next.leader.ResolvePending(next.now, next.log); entry != nil {
				next.append(*entry)
			}
		})
	}
	if s.budget.newLeaders > 0 {
		e.step(s, func(next *modelState) {
			next.budget.newLeaders--
			next.leader = NewLeader(next.now, modelTiming, 3)
		})
	}
}

// renewalSteps send, answer or lose a renewal.
func (e *explorer) renewalSteps(s *modelState, i int) {
	if s.renewals[i] == nil && s.leases[i] == nil && s.renewalsLeft[i] > 0 {
		e.step(s, func(next *modelState) {
			renewal := s.followers[i].renewal(next.now)
			next.renewals[i] = &renewal
			next.renewalsLeft[i]--
			if e.bug == preparedForgotten {
				next.followers[i].prepared = ""
			}
		})
	}
	renewal := s.renewals[i]
	if renewal == nil {
		return
	}
	e.step(s, func(next *modelState) {
		next.renewals[i] = nil
		answer := next.leader.AnswerRenewal(next.now, next.log, *renewal)
		if answer.Entry != nil {
			next.append(*answer.Entry)
		}
		if answer.Lease != nil {
			next.leases[i] = answer.Lease
		}
	})
	if s.budget.losses > 0 {
		e.step(s, func(next *modelState) {
			next.budget.losses--
			next.renewals[i] = nil
		})
	}
}

// leaseSteps receive a lease, receive it with a duplicate left in flight, or lose it.
func (e *explorer) leaseSteps(s *modelState, i int) {
	lease := s.leases[i]
	if lease == nil {
		return
	}
	receive := func(next *modelState) {
		received := *lease
		if e.bug == leaseFromReceipt {
			received.RenewalSentAt = next.now
		}
		next.followers[i].ReceiveLease(next.now, received)
	}
	e.step(s, func(next *modelState) {
		receive(next)
		next.leases[i] = nil
	})
	if s.budget.duplicates > 0 {
		e.step(s, func(next *modelState) {
			next.budget.duplicates--
			receive(next)
		})
	}
	if s.budget.losses > 0 {
		e.step(s, func(next *modelState) {
			next.budget.losses--
			next.leases[i] = nil
		})
	}
}

// crashStep replaces a router's process with a new one without state.
func (e *explorer) crashStep(s *modelState, i int) {
	if s.budget.crashes == 0 {
		return
	}
	e.step(s, func(next *modelState) {
		next.budget.crashes--
		next.incarnations[i] += 10
		config := s.followers[i].config
		config.Incarnation = next.incarnations[i]
		next.followers[i] = NewFollower(modelTiming, config)
	})
}

// In every order of events of a small fleet, no router serves a revision for more than a lease duration after the next one was
// first served. The injected bugs are found in the same scopes, which shows that the scopes are large enough.
func TestEveryOrder(t *testing.T) {
	failClosed, mixed, failOpen := []bool{false, false}, []bool{true, false}, []bool{true, true}
	scopes := map[string]scope{
		"both fail closed": {failClosed, 5, []int{3, 1}, eventBudget{proposals: 1}},
		"both fail open":   {failOpen, 5, []int{3, 2}, eventBudget{proposals: 1}},
		"one fails open":   {mixed, 5, []int{3, 1}, eventBudget{proposals: 1}},
		// Shorter runs with additional events.
		"loss and duplicate": {failClosed, 4, []int{2, 1}, eventBudget{proposals: 1, losses: 1, duplicates: 1}},
		"crash":              {failClosed, 4, []int{2, 1}, eventBudget{proposals: 1, crashes: 1}},
		"new leader":         {failClosed, 4, []int{2, 1}, eventBudget{proposals: 1, newLeaders: 1}},
		"all events":         {mixed, 4, []int{2, 1}, eventBudget{proposals: 1, losses: 1, duplicates: 1, crashes: 1, newLeaders: 1}},
	}
	takesMinutes := map[string]bool{"both fail open": true, "all events": true}
	for name, s := range scopes {
		t.Run(name, func(t *testing.T) {
			if takesMinutes[name] && !*long {
				t.Skip("takes minutes; run by make accord-long")
			}
			t.Parallel()
			e := explore(s, noBug)
			if e.violation != "" {
				t.Error(e.violation)
			}
			t.Logf("%d states", e.states)
		})
	}
	// A forgotten prepare is not visible in the other scopes, where fail-closed routers get a new lease.
	visibleIn := map[injectedBug][]string{
		preparedForgotten: {"both fail open", "all events"},
		leaseFromReceipt:  slices.Collect(maps.Keys(scopes)),
		leaseIgnored:      slices.Collect(maps.Keys(scopes)),
	}
	for bug, names := range visibleIn {
		for _, name := range names {
			t.Run(string(bug)+"/"+name, func(t *testing.T) {
				t.Parallel()
				e := explore(scopes[name], bug)
				if e.violation == "" {
					t.Errorf("injected bug: got no violation in %d states, want one", e.states)
				}
				t.Logf("violation after %d states: %s", e.states, e.violation)
			})
		}
	}
}
