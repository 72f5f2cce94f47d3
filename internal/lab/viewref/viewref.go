// Package viewref checks the membership views of a fleet's routers, sampled at their admin endpoints, against what was
// actually done to the routers and their links. The rig records a run and calls it. It does no I/O, and the result depends
// on the record alone.
package viewref

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"spurtrestle/core/membership"
)

// Change is one change that the rig made to a router or a link.
type Change struct {
	At     time.Duration // since the rig's start
	Kind   Kind
	Router int    // index of the router
	To     int    // for Cut and Heal: the link leads from Router to this one
	Note   string // name of the group of changes that this one is part of, for reports
}

// Kind is the kind of a change.
type Kind uint8

// Up is recorded once the process answers, Down when it has exited. StatusChange says that the status that the router
// announces about itself has changed.
const (
	Up Kind = iota + 1
	Down
	Stall
	Wake
	Cut
	Heal
	StatusChange
	Leave // the router was told to shut down
)

func (k Kind) String() string {
	return [...]string{"", "up", "down", "stall", "wake", "cut", "heal", "word", "leave"}[k]
}

// Sample is the view that a router showed at a time.
type Sample struct {
	At     time.Duration
	Router int
	View   membership.Snapshot
}

// Record is everything that was done and observed in a run.
type Record struct {
	Names   []membership.Name
	End     time.Duration
	Changes []Change
	Samples []Sample // in order of time, like Changes
}

// Bounds are the longest times that a rule may take to hold after a change.
type Bounds struct {
	SettleWithin  time.Duration // until all views are settled, after the last change
	RemoveWithin  time.Duration // until a router that is dead or unreachable is no longer shown as alive
	RestoreWithin time.Duration // until a running, reachable router is shown as alive again
}

// Violation is a rule that did not hold at a time.
type Violation struct {
	At   time.Duration
	Rule string // settles, dead, living or digest
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("%v %s: %s", v.At.Round(time.Millisecond), v.Rule, v.What)
}

// world is the actual state of routers and links at a time.
type world struct {
	up, stalled, leaving []bool
	cut                  map[[2]int]bool
	since                time.Duration // time of the last change
}

func newWorld(n int) *world {
	return &world{up: make([]bool, n), stalled: make([]bool, n), leaving: make([]bool, n), cut: map[[2]int]bool{}}
}

func (w *world) running(i int) bool { return w.up[i] && !w.stalled[i] }

func (w *world) apply(t Change) {
	switch t.Kind {
	case Up, Down:
		w.up[t.Router], w.stalled[t.Router], w.leaving[t.Router] = t.Kind == Up, false, false
	case Leave:
		w.leaving[t.Router] = true
	case Stall, Wake:
		w.stalled[t.Router] = t.Kind == Stall
	case Cut, Heal:
		w.cut[[2]int{t.Router, t.To}] = t.Kind == Cut
	}
	w.since = t.At
}

// reachable returns the routers whose messages can get to router i: over any links (loose), or only over links that work in
// both directions.
func (w *world) reachable(i int, loose bool) []bool {
	seen, pending := make([]bool, len(w.up)), []int{i}
	seen[i] = true
	for len(pending) > 0 {
		at := pending[0]
		pending = pending[1:]
		for j := range w.up {
			if !seen[j] && w.running(j) && !w.cut[[2]int{j, at}] && (loose || !w.cut[[2]int{at, j}]) {
				seen[j] = true
				pending = append(pending, j)
			}
		}
	}
	return seen
}

// Check returns the violations: for each rule, pair of routers and state of the world the first one.
func (r Record) Check(b Bounds) []Violation {
	n := len(r.Names)
	c := &checker{names: r.Names, bounds: b, world: newWorld(n), together: pairs(n), apart: pairs(n), wrong: pairs(n),
		own: map[int]string{}, contents: map[string]string{}, reported: map[string]bool{}}
	pending := r.Changes
	for _, s := range r.Samples {
		for len(pending) > 0 && pending[0].At <= s.At {
			c.applyChange(pending[0])
			pending = pending[1:]
		}
		if c.world.running(s.Router) {
			c.checkSample(s)
		}
	}
	return c.violations
}

// checker goes through the changes and samples of a record in order of time.
type checker struct {
	names    []membership.Name
	bounds   Bounds
	world    *world
	together [][]time.Duration // since when j is certainly reachable from i, or -1
	apart    [][]time.Duration // since when j is certainly unreachable from i, or -1
	wrong    [][]time.Duration // since when i shows j as lost, or with another process, or -1
	own      map[int]string    // the process that each router reports as its own
	contents map[string]string // content of the views by their digest

	reported   map[string]bool
	violations []Violation
}

func (c *checker) report(at time.Duration, rule, key, format string, args ...any) {
	if key = fmt.Sprint(rule, key, c.world.since); !c.reported[key] {
		c.reported[key] = true
		c.violations = append(c.violations, Violation{at, rule, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) applyChange(t Change) {
	c.world.apply(t)
	if t.Kind == Up {
		delete(c.own, t.Router)
	}
	for i := range c.names {
		tight, loose := c.world.reachable(i, false), c.world.reachable(i, true)
		for j := range c.names {
			trackSince(c.together[i], j, c.world.running(i) && tight[j] && !c.world.leaving[j], t.At)
			trackSince(c.apart[i], j, c.world.running(i) && !loose[j], t.At)
			if t.Kind == Up && (t.Router == j || t.Router == i) && tight[j] && c.world.running(i) {
				c.together[i][j] = t.At // a new process has to learn everything again
			}
		}
	}
}

func (c *checker) checkSample(s Sample) {
	i, living := s.Router, map[membership.Name]membership.RouterStatus{}
	for _, row := range s.View.Routers {
		if row.State <= membership.Suspect {
			living[row.Name] = row
		}
		if row.Name == c.names[i] {
			c.own[i] = row.Incarnation
		}
	}
	text := viewContent(s.View)
	if previous, known := c.contents[s.View.Digest]; known && previous != text {
		c.report(s.At, "digest", s.View.Digest, "%s: digest %s stands for\n%s\nand for\n%s", c.names[i], s.View.Digest, previous, text)
	}
	c.contents[s.View.Digest] = text
	for j := range c.names {
		c.checkRow(s, j, living)
	}
	if s.At-c.world.since > c.bounds.SettleWithin && !s.View.Settled && c.world.symmetric() {
		c.report(s.At, "settles", fmt.Sprint(i), "%s is not settled %v after the last event; at odds with %v", c.names[i], s.At-c.world.since, s.View.Disagreeing)
	}
}

// checkRow checks what a sample shows of router j. living are the routers that it shows as alive.
func (c *checker) checkRow(s Sample, j int, living map[membership.Name]membership.RouterStatus) {
	i, name, own := s.Router, c.names[j], c.own[j]
	row, there := living[name]
	trackSince(c.wrong[i], j, !there || own != "" && row.Incarnation != own, s.At)
	if since := max(c.together[i][j], c.wrong[i][j]); c.together[i][j] >= 0 && c.wrong[i][j] >= 0 && s.At-since > c.bounds.RestoreWithin {
		switch {
		case !there:
			c.report(s.At, "living", fmt.Sprint(i, " ", j), "%s holds %s for gone, which has been there and in reach, for %v", c.names[i], name, s.At-since)
		case own != "" && row.Incarnation != own:
			c.report(s.At, "living", fmt.Sprint(i, " ", j), "%s takes process %s for %s, which is %s", c.names[i], row.Incarnation, name, own)
		}
	}
	if since := c.apart[i][j]; since >= 0 && s.At-since > c.bounds.RemoveWithin && there {
		c.report(s.At, "dead", fmt.Sprint(i, " ", j), "%s holds %s for %v, which has been dead or out of reach for %v", c.names[i], name, row.State, s.At-since)
	}
}

// symmetric reports whether each pair of running routers can reach each other or not at all. Otherwise it is not defined
// which router should see which.
func (w *world) symmetric() bool {
	for i := range w.up {
		if w.running(i) && !slices.Equal(w.reachable(i, false), w.reachable(i, true)) {
			return false
		}
	}
	return true
}

// pairs returns a time of -1 for each ordered pair of n routers.
func pairs(n int) [][]time.Duration {
	all := make([][]time.Duration, n)
	for i := range all {
		all[i] = slices.Repeat([]time.Duration{-1}, n)
	}
	return all
}

// trackSince keeps in since[j] the time since which on has held, or -1 while it does not.
func trackSince(since []time.Duration, j int, on bool, at time.Duration) {
	if !on {
		since[j] = -1
	} else if since[j] < 0 {
		since[j] = at
	}
}

// viewContent formats the part of a view that its digest covers.
func viewContent(w membership.Snapshot) string {
	var rows []string
	for _, r := range w.Routers {
		if r.State <= membership.Suspect {
			rows = append(rows, fmt.Sprint(r.Name, r.Site, r.Incarnation, r.Slot, r.Accepting, r.Draining, r.NameConflict, r.PolicyRevision))
		}
	}
	return strings.Join(rows, "\n")
}

// Convergence says how long the views took to settle after a change. It is written as JSON under its field names.
type Convergence struct {
	At      time.Duration
	What    string
	Settled time.Duration // after the change; negative if not before the next change or the end
}

// Convergences returns how long the views took to settle after each group of changes that are less than a tenth of a second
// apart: until every running router shows the actual state, reports that it is settled, and stays so.
func (r Record) Convergences() (all []Convergence) {
	for at := 0; at < len(r.Changes); {
		next := at + 1
		for next < len(r.Changes) && r.Changes[next].At-r.Changes[next-1].At < 100*time.Millisecond {
			next++
		}
		last := r.Changes[next-1]
		end := r.End
		if next < len(r.Changes) {
			end = r.Changes[next].At
		}
		what := last.Note
		if what == "" {
			what = last.Kind.String()
		}
		all = append(all, Convergence{last.At, what, r.settled(last.At, end)})
		at = next
	}
	return all
}

// at returns the actual state at a time.
func (r Record) at(now time.Duration) *world {
	w := newWorld(len(r.Names))
	for _, t := range r.Changes {
		if t.At <= now {
			w.apply(t)
		}
	}
	return w
}

// Converged reports whether a view is settled and shows exactly the reachable routers as alive.
func (r Record) Converged(s Sample) bool { return r.right(s, r.at(s.At).reachable(s.Router, false)) }

func (r Record) right(s Sample, want []bool) bool {
	living := map[membership.Name]bool{}
	for _, row := range s.View.Routers {
		living[row.Name] = row.State <= membership.Suspect
	}
	for j, name := range r.Names {
		if living[name] != want[j] {
			return false
		}
	}
	return s.View.Settled
}

func (r Record) settled(from, until time.Duration) time.Duration {
	n := len(r.Names)
	w := r.at(from)
	right := make([]time.Duration, n) // since when the view of each is correct; negative if it is not
	for i := range right {
		right[i] = -1
	}
	for _, s := range r.Samples {
		if s.At < from || s.At >= until || !w.running(s.Router) {
			continue
		}
		trackSince(right, s.Router, r.right(s, w.reachable(s.Router, false)), s.At)
	}
	last := time.Duration(0)
	for i := range n {
		if !w.running(i) {
			continue
		}
		if right[i] < 0 {
			return -1
		}
		last = max(last, right[i]-from)
	}
	return last
}

// FalseLosses counts how often a router took another for lost that was running and reachable.
func (r Record) FalseLosses() (count int) {
	n := len(r.Names)
	w := newWorld(n)
	previous, pending := map[[2]int]bool{}, r.Changes
	for _, s := range r.Samples {
		for len(pending) > 0 && pending[0].At <= s.At {
			w.apply(pending[0])
			pending = pending[1:]
		}
		if !w.running(s.Router) {
			continue
		}
		reachable := w.reachable(s.Router, false)
		for _, row := range s.View.Routers {
			j := slices.Index(r.Names, row.Name)
			if j < 0 {
				continue
			}
			lost := row.State == membership.Lost && reachable[j] && !w.leaving[j]
			if lost && !previous[[2]int{s.Router, j}] && s.At-w.since > time.Second {
				count++
			}
			previous[[2]int{s.Router, j}] = lost
		}
	}
	return count
}

// Quantile returns the quantile q of spans by the nearest rank, or 0 if there are none.
func Quantile(spans []time.Duration, q float64) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	spans = slices.Clone(spans)
	slices.SortFunc(spans, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return spans[min(len(spans)-1, int(q*float64(len(spans))))]
}

// Sort puts the changes and samples into order of time.
func (r *Record) Sort() {
	slices.SortStableFunc(r.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(r.Samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
}
