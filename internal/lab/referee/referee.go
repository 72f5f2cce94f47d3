// Package referee checks the record of a lab run against the four rules of the router's contract. It uses only what the
// simulated clients, servers and discovery observed, never what a router reports, and does no I/O. The lab's fleet calls it
// at the end of a run.
//
//	1  each accepted request gets exactly one answer before its deadline, and no attempt is sent for it afterwards;
//	   each attempt carries a deadline that is no longer than the time that its client has left
//	2  no effect is executed twice, attempts do not overlap, and there are no more attempts than allowed
//	3  no new attempt to a server once the grace period has passed after the router was told that it drains, is gone or
//	   must not be used
//	4  no cold server collapses from overload, and misses at cold servers do not make the origin collapse
//	0  no crash, no protocol violation, and malformed input gets an error or a close
//
// Requests that a router held when it was killed do not count as lost: the client has to retry them.
package referee

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"spurtrestle/internal/lab/event"
)

// Method is what the rules need to know of one method.
type Method struct {
	Name   string
	Effect string // retryable, deduplicated, non-retryable
	Group  string // all, zone, cell
	Window event.Micros
}

// Location is where a server runs; requests are deduplicated within a zone or a cell.
type Location struct{ Zone, Cell string }

// Rules are the parameters of the checks.
type Rules struct {
	Methods          []Method
	Locations        map[event.Server]Location
	MaxAttempts      int          // of one request
	DrainGrace       event.Micros // how long attempts may still be sent to a server after the router learned of its removal
	Slack            event.Micros // tolerance of each time limit, since the lab uses real sockets
	NotifyDelay      event.Micros // after this, what has reached the discovery agent of a router counts as known to it
	MaxColdMissShare float64      // a collapsed origin violates rule 4 if at least this share of its load was misses at cold servers
}

// DefaultSlack, DefaultNotifyDelay and DefaultMaxColdMissShare are the published values. Misses at cold servers count as the
// cause of a collapse of the origin from half of its load on.
const (
	DefaultSlack            event.Micros = 50e3
	DefaultNotifyDelay      event.Micros = 6e6
	DefaultMaxColdMissShare              = 0.5
)

// Violation is one broken rule with the events that prove it.
type Violation struct {
	Rule     int             `json:"rule"`
	What     string          `json:"what"`
	At       event.Micros    `json:"at_us"`
	Request  event.RequestID `json:"req,omitempty"`
	Router   event.Router    `json:"router"`
	Evidence []string        `json:"evidence"`
}

func (v Violation) String() string {
	s := fmt.Sprintf("rule %d: %s", v.Rule, v.What)
	if v.Request != "" {
		s += fmt.Sprintf(" (req %s, router %d)", v.Request, v.Router)
	}
	return s
}

// attempt is one attempt as the server observed it.
type attempt struct {
	received event.Event
	ended    *event.Event
}

// request is everything that was observed of one request.
type request struct {
	id         event.RequestID
	sends      []event.Event // more than one if a kept-alive connection ended and the client sent the request again
	answers    []event.Event
	closes     []event.Event
	left       *event.Event
	attempts   []*attempt
	executions []event.Event
	all        []event.Event
	op         event.Op
	wasSent    bool
}

// span is a period of time with both ends included.
type span struct{ from, until event.Micros }

// checker holds a record, indexed by request, and the violations found so far.
type checker struct {
	rules       Rules
	events      []event.Event
	requests    map[event.RequestID]*request
	order       []event.RequestID
	delays      []event.Event
	unavailable map[event.Router][]span // from SIGKILL until the next process is up, and while stalled
	crowds      []span                  // times at which idle clients may use up the file descriptors of the routers
	violations  []Violation
}

// Check reads the events of a run, in order of time, and returns the violations in order of time.
func Check(rules Rules, events []event.Event) []Violation {
	c := &checker{rules: rules, events: events, requests: map[event.RequestID]*request{}, unavailable: map[event.Router][]span{}}
	c.indexEvents()
	for _, id := range c.order {
		if q := c.requests[id]; q.wasSent {
			c.oneAnswer(q)
			c.deadlinesSent(q)
			c.noEffectTwice(q)
		} else if len(q.attempts) > 0 {
			c.add(0, q, q.attempts[0].received.At, "a write-out for a req that no client asked for")
		}
	}
	c.effects()
	c.drains()
	c.policies()
	c.others()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

func (c *checker) request(id event.RequestID) *request {
	q := c.requests[id]
	if q == nil {
		q = &request{id: id, op: -1}
		c.requests[id] = q
		c.order = append(c.order, id)
	}
	return q
}

func (c *checker) indexEvents() {
	for _, e := range c.events {
		switch e.Kind {
		case event.LabDelayed:
			c.delays = append(c.delays, e)
		case event.Fault:
			c.gatherCrowd(e)
		case event.SIGKILLSent:
			c.unavailable[e.Router] = append(c.unavailable[e.Router], span{e.At, math.MaxInt64})
		case event.RouterStalled: // a stalled process is treated like a dead one
			if n := len(c.unavailable[e.Router]); e.Limit == 0 {
				c.unavailable[e.Router] = append(c.unavailable[e.Router], span{e.At, math.MaxInt64})
			} else if n > 0 {
				c.unavailable[e.Router][n-1].until = min(e.At, c.unavailable[e.Router][n-1].until)
			}
		case event.RouterUp:
			if n := len(c.unavailable[e.Router]); n > 0 && e.At < c.unavailable[e.Router][n-1].until {
				c.unavailable[e.Router][n-1].until = e.At
			}
		}
		if e.Request == "" || e.Kind == event.UnexpectedAnswer {
			continue
		}
		q := c.request(e.Request)
		q.add(e)
	}
}

// add records an event of the request.
func (q *request) add(e event.Event) {
	q.all = append(q.all, e)
	switch e.Kind {
	case event.RequestSent:
		q.sends, q.op, q.wasSent = append(q.sends, e), e.Op, true
	case event.ConnectFailed: // a client library accepted the request but never had a connection to send it on
		// If the last send ended with a closed connection, it did go out, and this event is of the next send.
		if n := len(q.sends); n > len(q.closes) {
			q.sends, q.wasSent = q.sends[:n-1], n > 1
		}
	case event.Answered:
		q.answers = append(q.answers, e)
	case event.ConnectionClosed:
		q.closes = append(q.closes, e)
	case event.ClientLeft:
		q.left = &e
	case event.AttemptReceived:
		q.attempts = append(q.attempts, &attempt{received: e})
	case event.AttemptEnded:
		for _, w := range q.attempts {
			if w.ended == nil && w.received.Server == e.Server && w.received.Router == e.Router {
				w.ended = &e
				break
			}
		}
	case event.EffectExecuted:
		q.executions = append(q.executions, e)
	}
}

// slack returns the tolerance of a time limit around a time: the one for sockets, and the greatest delay of the lab itself
// within a second.
func (c *checker) slack(at event.Micros) event.Micros {
	const around = 1e6
	i, _ := slices.BinarySearchFunc(c.delays, at-around, func(e event.Event, t event.Micros) int { return cmp.Compare(e.At, t) })
	most := event.Micros(0)
	for ; i < len(c.delays) && c.delays[i].At <= at+around; i++ {
		most = max(most, c.delays[i].Limit)
	}
	return c.rules.Slack + most
}

// died reports whether a router was killed or stalled at any time between from and until.
func (c *checker) died(r event.Router, from, until event.Micros) bool {
	return slices.ContainsFunc(c.unavailable[r], func(s span) bool { return s.from <= until && s.until >= from })
}

// sendIndex returns which send of the request an event at a router belongs to: a client may send a request again, with the
// same id, if a kept-alive connection ended before the answer.
func (q *request) sendIndex(r event.Router, at event.Micros) int {
	of := 0
	for i, a := range q.sends {
		if a.Router == r && a.At <= at {
			of = i
		}
	}
	return of
}

func (c *checker) add(rule int, q *request, at event.Micros, what string) {
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
	c.violations = append(c.violations, b)
}

// oneAnswer checks rule 1 for one request.
func (c *checker) oneAnswer(q *request) {
	last := q.sends[len(q.sends)-1]
	due := last.At + last.Limit
	endedAt := c.checkAnswer(q, last, due)
	// A router may close a connection that it considers idle; a request that crosses the close was not accepted. The client
	// sends it once more on a new connection, and that send counts. But a request with an attempt had been accepted.
	for _, closed := range q.closes {
		accepted := slices.ContainsFunc(q.attempts, func(w *attempt) bool {
			return w.received.Router == closed.Router && w.received.Since < closed.At
		})
		if accepted && !c.diedBeforeClose(q, closed) {
			c.add(1, q, closed.At, "lost: the router ended the connection with no answer")
		}
	}
	for _, w := range q.attempts {
		// The first byte counts: an attempt that was in flight when the answer came was sent before it.
		at := w.received.Since
		switch {
		case endedAt >= 0 && at > endedAt+c.slack(at):
			c.add(1, q, at, fmt.Sprintf("a write-out %v after the req was over", (at-endedAt).Duration()))
		case at > due+c.slack(at):
			c.add(1, q, at, fmt.Sprintf("a write-out %v after the deadline", (at-due).Duration()))
		}
	}
}

// checkAnswer checks that a request got one answer before it was due. It returns when the request ended, after which no
// attempt may be sent, or -1 if it did not end.
func (c *checker) checkAnswer(q *request, last event.Event, due event.Micros) (endedAt event.Micros) {
	router := last.Router
	if len(q.answers) > 1 {
		c.add(1, q, q.answers[1].At, "answered twice")
	}
	endedAt = event.Micros(-1)
	switch {
	case len(q.answers) > 0:
		a := q.answers[0]
		endedAt = a.At
		if a.Outcome == event.WrongValue {
			c.add(1, q, a.At, "satisfied with a value that was not made for it")
		}
		// The time that an answer waits for earlier ones on its connection does not count.
		if a.At > max(due, a.Since)+c.slack(a.At) && !c.died(router, last.At, a.At) {
			c.add(1, q, a.At, fmt.Sprintf("answered %v after its deadline", (a.At-due).Duration()))
		}
	case q.left != nil && q.left.At <= due+c.slack(due):
		endedAt = q.left.At
	case len(q.closes) > 0 && c.died(router, last.At, q.closes[len(q.closes)-1].At+c.rules.Slack):
		endedAt = q.closes[len(q.closes)-1].At
	case len(q.closes) > 0 && q.closes[len(q.closes)-1].At <= due+c.slack(due):
		endedAt = q.closes[len(q.closes)-1].At
		unexplained := 0
		for _, closed := range q.closes {
			if !c.diedBeforeClose(q, closed) && !c.isShedInCrowd(q, closed) {
				unexplained++
			}
		}
		if unexplained > 1 {
			c.add(1, q, endedAt, "lost: routers ended the connection with no answer, twice")
		}
	case c.died(router, last.At, due+c.rules.Slack):
	default:
		c.add(1, q, due, "never answered")
	}
	return endedAt
}

// diedBeforeClose reports whether a router was killed or stalled between the send of a request and the close of its
// connection.
func (c *checker) diedBeforeClose(q *request, closed event.Event) bool {
	return c.died(closed.Router, q.sends[q.sendIndex(closed.Router, closed.At)].At, closed.At+c.rules.Slack)
}

// gatherCrowd records the times at which the crowd fault is active.
func (c *checker) gatherCrowd(fault event.Event) {
	if fault.Note != "crowd" {
		return
	}
	if fault.Limit == 0 {
		c.crowds = append(c.crowds, span{fault.At, math.MaxInt64})
	} else if n := len(c.crowds); n > 0 {
		c.crowds[n-1].until = fault.At
	}
}

// isShedInCrowd reports whether a router closed a new connection without reading from it while idle clients used up its
// descriptors. It may do so, as it had not accepted the request.
func (c *checker) isShedInCrowd(q *request, closed event.Event) bool {
	send := q.sends[q.sendIndex(closed.Router, closed.At)]
	inCrowd := slices.ContainsFunc(c.crowds, func(s span) bool { return s.from <= closed.At && send.At <= s.until })
	return inCrowd && send.Note == event.NewConnection && len(q.attempts) == 0
}

// noEffectTwice checks rule 2 for one request.
func (c *checker) noEffectTwice(q *request) {
	m := c.method(q)
	attempts := make([]int, len(q.sends)) // attempts per send: another router does not know the attempts of the first
	for _, w := range q.attempts {
		i := q.sendIndex(w.received.Router, w.received.Since)
		if attempts[i]++; attempts[i] == c.rules.MaxAttempts+1 {
			c.add(2, q, w.received.At, fmt.Sprintf("more than the %d write-outs that are allowed", c.rules.MaxAttempts))
		}
	}
	var mayHaveRun *attempt // the first attempt that may have been executed
	for i, w := range q.attempts {
		at := w.received.At
		for _, before := range q.attempts[:i] {
			if before.ended == nil || before.ended.At > at+c.slack(at) {
				c.add(2, q, at, fmt.Sprintf("a write-out to %s while one to %s was out", w.received.Server, before.received.Server))
				break
			}
		}
		switch {
		case mayHaveRun == nil || m.Effect == "retryable":
		case m.Effect == "non-retryable":
			c.add(2, q, at, fmt.Sprintf("sent again to %s though it may have run at %s", w.received.Server, mayHaveRun.received.Server))
		case at-mayHaveRun.received.At > m.Window+c.slack(at):
			c.add(2, q, at, "sent again after the window in which repeats are dropped")
		case !c.sameGroup(m, mayHaveRun.received.Server, w.received.Server):
			c.add(2, q, at, fmt.Sprintf("sent again to %s, outside the group of %s", w.received.Server, mayHaveRun.received.Server))
		}
		if mayHaveRun == nil && (w.ended == nil || !w.ended.Reply.NeverRan()) {
			mayHaveRun = w
		}
	}
	if mayHaveRun != nil && m.Effect != "retryable" && len(q.answers) > 0 && q.answers[0].Outcome == event.Rejected {
		c.add(2, q, q.answers[0].At, fmt.Sprintf("nacked though it may have run at %s", mayHaveRun.received.Server))
	}
}

func (c *checker) method(q *request) Method {
	m := q.sends[0].Method
	if int(m) < len(c.rules.Methods) {
		return c.rules.Methods[m]
	}
	return Method{Effect: "retryable"}
}

func (c *checker) sameGroup(m Method, a, b event.Server) bool {
	x, y := c.rules.Locations[a], c.rules.Locations[b]
	switch m.Group {
	case "zone":
		return x.Zone == y.Zone
	case "cell":
		return x.Cell == y.Cell && x.Zone == y.Zone
	}
	return true
}

// effects checks, over all requests of an operation, that its effect was executed at most once.
func (c *checker) effects() {
	executions := map[event.Op][]event.Event{}
	for _, id := range c.order {
		if q := c.requests[id]; q.wasSent && c.method(q).Effect != "retryable" {
			executions[q.op] = append(executions[q.op], q.executions...)
			if n := len(executions[q.op]); n > 1 && len(q.executions) > 0 {
				c.add(2, q, executions[q.op][1].At, fmt.Sprintf("the effect ran %d times over all tries of its op", n))
			}
		}
	}
}

// drains checks rule 3.
func (c *checker) drains() {
	n := notifications{checker: c, notified: map[routerServer]event.Micros{}, banned: map[routerServer]event.Micros{}}
	for _, e := range c.events {
		if e.Kind == event.AttemptReceived {
			n.checkAttempt(e)
		} else {
			n.record(e)
		}
	}
}

type routerServer struct {
	router event.Router
	server event.Server
}

// notifications are what each router has been told about servers that it must not use any more.
type notifications struct {
	*checker
	notified map[routerServer]event.Micros // when the router counts as notified of a drain or removal
	banned   map[routerServer]event.Micros // when an operator banned the server; this outlives the process of the router
}

func (n *notifications) record(e event.Event) {
	p := routerServer{e.Router, e.Server}
	switch e.Kind {
	case event.RemovalDelivered, event.RemovalAnnounced:
		at := e.At
		if e.Kind == event.RemovalAnnounced {
			at += n.rules.NotifyDelay
		}
		if have, known := n.notified[p]; !known || at < have {
			n.notified[p] = at
		}
	case event.ServerBanned:
		n.banned[p] = e.At
	case event.ServerUnbanned:
		delete(n.banned, p)
	case event.RouterExited, event.SIGKILLSent: // the next process has not been notified
		for k := range n.notified {
			if k.router == e.Router {
				delete(n.notified, k)
			}
		}
	case event.RouterStalled: // notifications that arrive during a stall are read after it
		for k, at := range n.notified {
			if k.router == e.Router && e.Limit == 1 && n.died(k.router, at, at) {
				n.notified[k] = e.At + n.rules.NotifyDelay
			}
		}
	}
}

func (n *notifications) checkAttempt(e event.Event) {
	p := routerServer{e.Router, e.Server}
	if at, known := n.banned[p]; known && e.Since > at+n.rules.DrainGrace+n.slack(e.Since) {
		n.add(3, n.requests[e.Request], e.Since, fmt.Sprintf("a write-out to %s %v after operators had taken it out", e.Server, (e.Since-at).Duration()))
	}
	if at, known := n.notified[p]; known && e.Since > at+n.rules.DrainGrace+n.slack(e.Since) {
		n.add(3, n.requests[e.Request], e.Since, fmt.Sprintf("a write-out to %s %v after the router was told that it drains or is gone",
			e.Server, (e.Since-at).Duration()))
	}
}

// MaxPolicyOverlap is how long two policies may be in use at the same time.
const MaxPolicyOverlap event.Micros = 1e6

// policies checks, from the attempts that servers received, that two policies are not in use at once for longer than
// MaxPolicyOverlap. A policy is recognized by the servers that it excludes.
func (c *checker) policies() {
	periods := c.policyPeriods()
	for _, e := range c.events {
		q := c.requests[e.Request]
		if e.Kind != event.AttemptReceived || q == nil || !q.wasSent {
			continue
		}
		at := q.sends[q.sendIndex(e.Router, e.Since)].At
		for _, p := range periods {
			if at > p.from+c.slack(at) && at < p.until && slices.Contains(p.out, string(e.Server)) {
				c.add(3, q, e.Since, fmt.Sprintf("a req taken %v after a policy was held was sent to %s, which it leaves alone", (at-p.from+MaxPolicyOverlap).Duration(), e.Server))
			}
		}
	}
}

// policyPeriod is a time in which only one policy may be in use.
type policyPeriod struct {
	from, until event.Micros // of the times at which requests were sent
	out         []string     // servers that the policy excludes
}

func (c *checker) policyPeriods() (all []policyPeriod) {
	var previous []string
	for i, e := range c.events {
		if e.Kind != event.PolicyChanged || e.Limit != 1 {
			continue
		}
		out := strings.Fields(e.Note)
		held := e.At // or as soon as a server is used that only the new policy allows
		for _, x := range c.events[:i] {
			if x.Kind == event.AttemptReceived && x.Since >= e.Since && slices.Contains(previous, string(x.Server)) && !slices.Contains(out, string(x.Server)) {
				held = min(held, x.Since)
			}
		}
		if n := len(all); n > 0 {
			all[n-1].until = e.Since
		}
		all = append(all, policyPeriod{held + MaxPolicyOverlap, math.MaxInt64, out})
		previous = out
	}
	return all
}

// others checks rule 4, and rule 0 apart from requests.
func (c *checker) others() {
	ends := map[event.Router]event.Micros{} // when the router was told to exit
	for _, e := range c.events {
		report := func(rule int, what string) {
			c.violations = append(c.violations, Violation{Rule: rule, What: what, At: e.At, Router: e.Router, Evidence: []string{FormatEvent(e)}})
		}
		switch e.Kind {
		case event.ServerCollapsed:
			report(4, fmt.Sprintf("%s was pushed over while cold: %s", e.Server, e.Note))
		case event.OriginCollapsed:
			if share := float64(e.Limit) / 1000; share >= c.rules.MaxColdMissShare {
				report(4, fmt.Sprintf("the origin was pushed over, %.0f%% of its load by misses at cold servers", 100*share))
			}
		case event.ProtocolViolation:
			report(0, fmt.Sprintf("router %d sent %s %s", e.Router, e.Server, e.Note))
		case event.UnexpectedAnswer:
			report(1, fmt.Sprintf("router %d answered what nobody asked (%s), after req %s", e.Router, e.Note, e.Request))
		case event.BadInputAccepted:
			rule := 0
			if len(e.Note) > 6 && e.Note[len(e.Note)-5:] == "value" {
				rule = 1
			}
			report(rule, fmt.Sprintf("router %d: %s", e.Router, e.Note))
		case event.SIGTERMSent, event.SIGKILLSent:
			ends[e.Router] = e.At
		case event.RouterUp:
			delete(ends, e.Router)
		case event.RouterExited:
			if _, notified := ends[e.Router]; !notified {
				report(0, fmt.Sprintf("router %d ended by itself: %s", e.Router, e.Note))
			} else if e.Outcome != event.Succeeded {
				report(0, fmt.Sprintf("router %d did not end in order: %s", e.Router, e.Note))
			}
		}
	}
}
