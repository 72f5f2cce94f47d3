// Package referee judges a run on the four rules, from what the stand-ins saw. It does no I/O, and never asks a router.
//
//	1  each request taken gets exactly one answer before its deadline, and nothing is sent for it after;
//	   each attempt tells its server a deadline, and no more time than its client has left
//	2  no effect twice, never two attempts at once, no more attempts than allowed
//	3  nothing new to a server past the grace after this router was told that it drains or is gone, or to leave it alone
//	4  no cold server pushed over, and misses at cold servers don't push the origin over
//	0  no crash, nothing sent that is not of the protocol, bad clients get an error or a close
//
// What a router was holding when it was killed is its client's to ask again, and no lost request.
package referee

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"spurtrestle/internal/lab/event"
)

// Method is what the rules ask of one method.
type Method struct {
	Name   string
	Effect string // retryable, deduplicated, non-retryable
	Group  string // all, zone, cell
	Window event.Micros
}

// Location is where a server stands, for groups that drop repeats.
type Location struct{ Zone, Cell string }

// Rules are the figures that the rules are judged by.
type Rules struct {
	Methods          []Method
	Locations        map[event.Server]Location
	MaxAttempts      int          // of one request
	DrainGrace       event.Micros // of a drain
	Slack            event.Micros // each limit is longer by this on sockets
	NotifyDelay      event.Micros // what has reached a router's agent counts as told after this, whether it asked or not
	MaxColdMissShare float64      // part of the load of an origin pushed over that misses at cold servers may be
}

// DefaultSlack, DefaultNotifyDelay and DefaultMaxColdMissShare are the published figures; half of a load is "much of it".
const (
	DefaultSlack            event.Micros = 50e3
	DefaultNotifyDelay      event.Micros = 6e6
	DefaultMaxColdMissShare              = 0.5
)

// Violation is one broken rule with its evidence.
type Violation struct {
	Rule     int             `json:"rule"`
	What     string          `json:"what"`
	At       event.Micros    `json:"at_us"`
	Request  event.RequestID `json:"req,omitempty"`
	Router   event.Router    `json:"router"`
	Evidence []string        `json:"evidence"`
}

func (b Violation) String() string {
	s := fmt.Sprintf("rule %d: %s", b.Rule, b.What)
	if b.Request != "" {
		s += fmt.Sprintf(" (req %s, router %d)", b.Request, b.Router)
	}
	return s
}

// writeOut is one as a server saw it.
type writeOut struct {
	begun event.Event
	ended *event.Event
}

// request is one try.
type req struct {
	id       event.RequestID
	asked    []event.Event // twice where a kept connection ended under the first
	answers  []event.Event
	cuts     []event.Event
	left     *event.Event
	sent     []*writeOut
	ran      []event.Event
	all      []event.Event
	op       event.Op
	hasAsked bool
}

// span is a time with both ends.
type span struct{ from, until event.Micros }

type judge struct {
	rules  Rules
	events []event.Event
	reqs   map[event.RequestID]*req
	order  []event.RequestID
	late   []event.Event
	killed map[event.Router][]span // from SIGKILL until its successor is up, or standing still
	crowds []span                  // idle clients fill the routers' descriptors
	broken []Violation
}

// Check reads a run's record, in order of time, and returns what was broken, in order of time.
func Check(rules Rules, events []event.Event) []Violation {
	j := &judge{rules: rules, events: events, reqs: map[event.RequestID]*req{}, killed: map[event.Router][]span{}}
	j.gather()
	for _, id := range j.order {
		if q := j.reqs[id]; q.hasAsked {
			j.oneAnswer(q)
			j.deadlinesSent(q)
			j.noEffectTwice(q)
		} else if len(q.sent) > 0 {
			j.add(0, q, q.sent[0].begun.At, "a write-out for a req that no client asked for")
		}
	}
	j.effects()
	j.drains()
	j.policies()
	j.others()
	slices.SortStableFunc(j.broken, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.broken
}

func (j *judge) req(id event.RequestID) *req {
	q := j.reqs[id]
	if q == nil {
		q = &req{id: id, op: -1}
		j.reqs[id] = q
		j.order = append(j.order, id)
	}
	return q
}

func (j *judge) gather() {
	for _, e := range j.events {
		switch e.Kind {
		case event.LabDelayed:
			j.late = append(j.late, e)
		case event.Fault:
			j.gatherCrowd(e)
		case event.SIGKILLSent:
			j.killed[e.Router] = append(j.killed[e.Router], span{e.At, math.MaxInt64})
		case event.RouterStalled: // what a process that stands still owes is judged as if it were dead
			if n := len(j.killed[e.Router]); e.Limit == 0 {
				j.killed[e.Router] = append(j.killed[e.Router], span{e.At, math.MaxInt64})
			} else if n > 0 {
				j.killed[e.Router][n-1].until = min(e.At, j.killed[e.Router][n-1].until)
			}
		case event.RouterUp:
			if n := len(j.killed[e.Router]); n > 0 && e.At < j.killed[e.Router][n-1].until {
				j.killed[e.Router][n-1].until = e.At
			}
		}
		if e.Request == "" || e.Kind == event.UnexpectedAnswer {
			continue
		}
		q := j.req(e.Request)
		q.all = append(q.all, e)
		switch e.Kind {
		case event.RequestSent:
			q.asked, q.op, q.hasAsked = append(q.asked, e), e.Op, true
		case event.ConnectFailed: // a library had taken it, and never had a connection to send it on
			// Not where the last asking ended by a cut: it was sent, and this is the next, to a router that is not there.
			if n := len(q.asked); n > len(q.cuts) {
				q.asked, q.hasAsked = q.asked[:n-1], n > 1
			}
		case event.Answered:
			q.answers = append(q.answers, e)
		case event.ConnectionClosed:
			q.cuts = append(q.cuts, e)
		case event.ClientLeft:
			q.left = &e
		case event.AttemptReceived:
			q.sent = append(q.sent, &writeOut{begun: e})
		case event.AttemptEnded:
			for _, w := range q.sent {
				if w.ended == nil && w.begun.Server == e.Server && w.begun.Router == e.Router {
					w.ended = &e
					break
				}
			}
		case event.EffectExecuted:
			q.ran = append(q.ran, e)
		}
	}
}

// slack is how much longer a limit is around a time: by the sockets' share, and by what the lab itself was late.
func (j *judge) slack(at event.Micros) event.Micros {
	const around = 1e6
	i, _ := slices.BinarySearchFunc(j.late, at-around, func(e event.Event, t event.Micros) int { return cmp.Compare(e.At, t) })
	most := event.Micros(0)
	for ; i < len(j.late) && j.late[i].At <= at+around; i++ {
		most = max(most, j.late[i].Limit)
	}
	return j.rules.Slack + most
}

// died tells whether a router was dead, by SIGKILL, or stood still, at any time between two.
func (j *judge) died(r event.Router, from, until event.Micros) bool {
	return slices.ContainsFunc(j.killed[r], func(s span) bool { return s.from <= until && s.until >= from })
}

// asking is the one of a request's askings that something at a router belongs to: a client may send it again, with the
// same id, where a kept connection ended under it.
func (q *req) asking(r event.Router, at event.Micros) int {
	of := 0
	for i, a := range q.asked {
		if a.Router == r && a.At <= at {
			of = i
		}
	}
	return of
}

func (j *judge) add(rule int, q *req, at event.Micros, what string) {
	b := Violation{Rule: rule, What: what, At: at, Router: event.NoRouter}
	if q != nil {
		b.Request = q.id
		for _, e := range q.all {
			b.Evidence = append(b.Evidence, FormatEvent(e))
			if e.Router != event.NoRouter {
				b.Router = e.Router
			}
		}
	}
	j.broken = append(j.broken, b)
}

// oneAnswer judges rule 1 for one request.
func (j *judge) oneAnswer(q *req) {
	last := q.asked[len(q.asked)-1]
	router, due := last.Router, last.At+last.Limit
	if len(q.answers) > 1 {
		j.add(1, q, q.answers[1].At, "answered twice")
	}
	over := event.Micros(-1) // nothing may be sent from then on
	switch {
	case len(q.answers) > 0:
		a := q.answers[0]
		over = a.At
		if a.Outcome == event.WrongValue {
			j.add(1, q, a.At, "satisfied with a value that was not made for it")
		}
		// Behind others on its connection an answer has to wait for theirs, which does not count.
		if a.At > max(due, a.Since)+j.slack(a.At) && !j.died(router, last.At, a.At) {
			j.add(1, q, a.At, fmt.Sprintf("answered %v after its deadline", (a.At-due).Duration()))
		}
	case q.left != nil && q.left.At <= due+j.slack(due):
		over = q.left.At
	case len(q.cuts) > 0 && j.died(router, last.At, q.cuts[len(q.cuts)-1].At+j.rules.Slack):
		over = q.cuts[len(q.cuts)-1].At
	case len(q.cuts) > 0 && q.cuts[len(q.cuts)-1].At <= due+j.slack(due):
		over = q.cuts[len(q.cuts)-1].At
		twice := 0
		for _, c := range q.cuts {
			if !j.died(c.Router, q.asked[q.asking(c.Router, c.At)].At, c.At+j.rules.Slack) && !j.isShedInCrowd(q, c) {
				twice++
			}
		}
		if twice > 1 {
			j.add(1, q, over, "lost: routers ended the connection with no answer, twice")
		}
	case j.died(router, last.At, due+j.rules.Slack):
	default:
		j.add(1, q, due, "never answered")
	}
	// A router may close a connection that it takes for idle; the request that crossed the close was not taken. It is sent
	// once more on a new one, and that time it counts. But one that was sent on had been taken.
	for _, c := range q.cuts {
		sent := slices.ContainsFunc(q.sent, func(w *writeOut) bool { return w.begun.Router == c.Router && w.begun.Since < c.At })
		if sent && !j.died(c.Router, q.asked[q.asking(c.Router, c.At)].At, c.At+j.rules.Slack) {
			j.add(1, q, c.At, "lost: the router ended the connection with no answer")
		}
	}
	for _, w := range q.sent {
		// By its first byte: what was on its way when the answer came was sent before.
		at := w.begun.Since
		switch {
		case over >= 0 && at > over+j.slack(at):
			j.add(1, q, at, fmt.Sprintf("a write-out %v after the req was over", (at-over).Duration()))
		case at > due+j.slack(at):
			j.add(1, q, at, fmt.Sprintf("a write-out %v after the deadline", (at-due).Duration()))
		}
	}
}

// gatherCrowd notes from when to when a crowd is there.
func (j *judge) gatherCrowd(fault event.Event) {
	if fault.Note != "crowd" {
		return
	}
	if fault.Limit == 0 {
		j.crowds = append(j.crowds, span{fault.At, math.MaxInt64})
	} else if n := len(j.crowds); n > 0 {
		j.crowds[n-1].until = fault.At
	}
}

// isShedInCrowd reports whether a router closed a new connection with nothing of it read while idle clients fill its descriptors, as it
// may then: it had not taken the request.
func (j *judge) isShedInCrowd(q *req, cut event.Event) bool {
	asked := q.asked[q.asking(cut.Router, cut.At)]
	inCrowd := slices.ContainsFunc(j.crowds, func(s span) bool { return s.from <= cut.At && asked.At <= s.until })
	return inCrowd && asked.Note == event.NewConnection && len(q.sent) == 0
}

// noEffectTwice judges rule 2 for one request.
func (j *judge) noEffectTwice(q *req) {
	m := j.method(q)
	sent := make([]int, len(q.asked)) // by asking: another router knows nothing of what the first had sent
	for _, w := range q.sent {
		i := q.asking(w.begun.Router, w.begun.Since)
		if sent[i]++; sent[i] == j.rules.MaxAttempts+1 {
			j.add(2, q, w.begun.At, fmt.Sprintf("more than the %d write-outs that are allowed", j.rules.MaxAttempts))
		}
	}
	var may *writeOut // the first that may have run
	for i, w := range q.sent {
		at := w.begun.At
		for _, before := range q.sent[:i] {
			if before.ended == nil || before.ended.At > at+j.slack(at) {
				j.add(2, q, at, fmt.Sprintf("a write-out to %s while one to %s was out", w.begun.Server, before.begun.Server))
				break
			}
		}
		switch {
		case may == nil || m.Effect == "retryable":
		case m.Effect == "non-retryable":
			j.add(2, q, at, fmt.Sprintf("sent again to %s though it may have run at %s", w.begun.Server, may.begun.Server))
		case at-may.begun.At > m.Window+j.slack(at):
			j.add(2, q, at, "sent again after the window in which repeats are dropped")
		case !j.sameGroup(m, may.begun.Server, w.begun.Server):
			j.add(2, q, at, fmt.Sprintf("sent again to %s, outside the group of %s", w.begun.Server, may.begun.Server))
		}
		if may == nil && (w.ended == nil || !w.ended.Reply.NeverRan()) {
			may = w
		}
	}
	if may != nil && m.Effect != "retryable" && len(q.answers) > 0 && q.answers[0].Outcome == event.Rejected {
		j.add(2, q, q.answers[0].At, fmt.Sprintf("nacked though it may have run at %s", may.begun.Server))
	}
}

func (j *judge) method(q *req) Method {
	m := q.asked[0].Method
	if int(m) < len(j.rules.Methods) {
		return j.rules.Methods[m]
	}
	return Method{Effect: "retryable"}
}

func (j *judge) sameGroup(m Method, a, b event.Server) bool {
	x, y := j.rules.Locations[a], j.rules.Locations[b]
	switch m.Group {
	case "zone":
		return x.Zone == y.Zone
	case "cell":
		return x.Cell == y.Cell && x.Zone == y.Zone
	}
	return true
}

// effects counts how often each op's effect ran, over all of its tries.
func (j *judge) effects() {
	ran := map[event.Op][]event.Event{}
	for _, id := range j.order {
		if q := j.reqs[id]; q.hasAsked && j.method(q).Effect != "retryable" {
			ran[q.op] = append(ran[q.op], q.ran...)
			if n := len(ran[q.op]); n > 1 && len(q.ran) > 0 {
				j.add(2, q, ran[q.op][1].At, fmt.Sprintf("the effect ran %d times over all tries of its op", n))
			}
		}
	}
}

// drains judges rule 3.
func (j *judge) drains() {
	type pair struct {
		r event.Router
		s event.Server
	}
	told := map[pair]event.Micros{}   // when it counts as told
	barred := map[pair]event.Micros{} // by operators: that outlives a process
	for _, e := range j.events {
		p := pair{e.Router, e.Server}
		switch e.Kind {
		case event.RemovalDelivered, event.RemovalAnnounced:
			at := e.At
			if e.Kind == event.RemovalAnnounced {
				at += j.rules.NotifyDelay
			}
			if have, known := told[p]; !known || at < have {
				told[p] = at
			}
		case event.ServerBanned:
			barred[p] = e.At
		case event.ServerUnbanned:
			delete(barred, p)
		case event.RouterExited, event.SIGKILLSent: // its successor knows nothing of this
			for k := range told {
				if k.r == e.Router {
					delete(told, k)
				}
			}
		case event.RouterStalled: // what came meanwhile is read when it wakes
			for k, at := range told {
				if k.r == e.Router && e.Limit == 1 && j.died(k.r, at, at) {
					told[k] = e.At + j.rules.NotifyDelay
				}
			}
		case event.AttemptReceived:
			if at, known := barred[p]; known && e.Since > at+j.rules.DrainGrace+j.slack(e.Since) {
				j.add(3, j.reqs[e.Request], e.Since, fmt.Sprintf("a write-out to %s %v after operators had taken it out", e.Server, (e.Since-at).Duration()))
			}
			if at, known := told[p]; known && e.Since > at+j.rules.DrainGrace+j.slack(e.Since) {
				j.add(3, j.reqs[e.Request], e.Since, fmt.Sprintf("a write-out to %s %v after the router was told that it drains or is gone",
					e.Server, (e.Since-at).Duration()))
			}
		}
	}
}

// MaxPolicyOverlap is how long two policies may be served at once.
const MaxPolicyOverlap event.Micros = 1e6

// policies judges by what servers saw that two policies are never served at once for longer than that: a policy is told by
// the servers that it leaves alone.
func (j *judge) policies() {
	type period struct {
		from, until event.Micros // of when requests were asked
		out         []string
	}
	var all []period
	var was []string
	for i, e := range j.events {
		if e.Kind != event.PolicyChanged || e.Limit != 1 {
			continue
		}
		out := strings.Fields(e.Note)
		held := e.At // or as soon as a server is used that only the next one uses
		for _, x := range j.events[:i] {
			if x.Kind == event.AttemptReceived && x.Since >= e.Since && slices.Contains(was, string(x.Server)) && !slices.Contains(out, string(x.Server)) {
				held = min(held, x.Since)
			}
		}
		if n := len(all); n > 0 {
			all[n-1].until = e.Since
		}
		all = append(all, period{held + MaxPolicyOverlap, math.MaxInt64, out})
		was = out
	}
	for _, e := range j.events {
		q := j.reqs[e.Request]
		if e.Kind != event.AttemptReceived || q == nil || !q.hasAsked {
			continue
		}
		at := q.asked[q.asking(e.Router, e.Since)].At
		for _, p := range all {
			if at > p.from+j.slack(at) && at < p.until && slices.Contains(p.out, string(e.Server)) {
				j.add(3, q, e.Since, fmt.Sprintf("a req taken %v after a policy was held was sent to %s, which it leaves alone", (at-p.from+MaxPolicyOverlap).Duration(), e.Server))
			}
		}
	}
}

// others judges rule 4, and what is no rule of its own.
func (j *judge) others() {
	ends := map[event.Router]event.Micros{} // when it was told to end
	for _, e := range j.events {
		plain := func(rule int, what string) {
			j.broken = append(j.broken, Violation{Rule: rule, What: what, At: e.At, Router: e.Router, Evidence: []string{FormatEvent(e)}})
		}
		switch e.Kind {
		case event.ServerCollapsed:
			plain(4, fmt.Sprintf("%s was pushed over while cold: %s", e.Server, e.Note))
		case event.OriginCollapsed:
			if share := float64(e.Limit) / 1000; share >= j.rules.MaxColdMissShare {
				plain(4, fmt.Sprintf("the origin was pushed over, %.0f%% of its load by misses at cold servers", 100*share))
			}
		case event.ProtocolViolation:
			plain(0, fmt.Sprintf("router %d sent %s %s", e.Router, e.Server, e.Note))
		case event.UnexpectedAnswer:
			plain(1, fmt.Sprintf("router %d answered what nobody asked (%s), after req %s", e.Router, e.Note, e.Request))
		case event.BadInputAccepted:
			rule := 0
			if len(e.Note) > 6 && e.Note[len(e.Note)-5:] == "value" {
				rule = 1
			}
			plain(rule, fmt.Sprintf("router %d: %s", e.Router, e.Note))
		case event.SIGTERMSent, event.SIGKILLSent:
			ends[e.Router] = e.At
		case event.RouterUp:
			delete(ends, e.Router)
		case event.RouterExited:
			if _, told := ends[e.Router]; !told {
				plain(0, fmt.Sprintf("router %d ended by itself: %s", e.Router, e.Note))
			} else if e.Outcome != event.Succeeded {
				plain(0, fmt.Sprintf("router %d did not end in order: %s", e.Router, e.Note))
			}
		}
	}
}
