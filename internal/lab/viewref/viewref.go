// Package viewref judges the views of a fleet's routers: what each showed, by its admin endpoint, against what was done to them. It
// has no I/O; a record is judged the same however often.
package viewref

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"spurtrestle/core/membership"
)

// Change is one thing that was done, by the rig's own word.
type Change struct {
	At     time.Duration // since the rig's start
	Kind   Kind
	Router int    // router, from 0
	To     int    // Cut and Heal: the way from Who to this one
	Note   string // what it is part of, for figures
}

// Kind says what was done.
type Kind uint8

// Up is told once the process answers, Down when it has ended. StatusChange: what it says of itself changed.
const (
	Up Kind = iota + 1
	Down
	Stall
	Wake
	Cut
	Heal
	StatusChange
	Leave // it was told to end
)

func (k Kind) String() string {
	return [...]string{"", "up", "down", "stall", "wake", "cut", "heal", "word", "leave"}[k]
}

// Sample is a view as a router showed it.
type Sample struct {
	At     time.Duration
	Router int
	View   membership.Snapshot
}

// Record is a run.
type Record struct {
	Names   []membership.Name
	End     time.Duration
	Changes []Change
	Samples []Sample // in order of time
}

// Bounds are the times after which what has not become true is a broken rule.
type Bounds struct {
	SettleWithin  time.Duration // after the last thing done
	RemoveWithin  time.Duration // a router that is dead or out of reach counts as alive no longer than this
	RestoreWithin time.Duration // one that is there and in reach does not count as gone for longer than this
}

// Violation is a rule that did not hold.
type Violation struct {
	At   time.Duration
	Rule string // settles, dead, living, digest
	What string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v %s: %s", b.At.Round(time.Millisecond), b.Rule, b.What)
}

// world is the truth at a time.
type world struct {
	up, stalled, leaving []bool
	cut                  map[[2]int]bool
	since                time.Duration // of this state of things
}

func newWorld(n int) *world {
	return &world{up: make([]bool, n), stalled: make([]bool, n), leaving: make([]bool, n), cut: map[[2]int]bool{}}
}

func (w *world) does(i int) bool { return w.up[i] && !w.stalled[i] }

func (w *world) take(t Change) {
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

// reach are the routers from which a word can come to i: over any ways (loose), or over ways whole in both directions.
func (w *world) reach(i int, loose bool) []bool {
	seen, todo := make([]bool, len(w.up)), []int{i}
	seen[i] = true
	for len(todo) > 0 {
		at := todo[0]
		todo = todo[1:]
		for j := range w.up {
			if !seen[j] && w.does(j) && !w.cut[[2]int{j, at}] && (loose || !w.cut[[2]int{at, j}]) {
				seen[j] = true
				todo = append(todo, j)
			}
		}
	}
	return seen
}

// Check tells what did not hold; the first of each kind, router and state of things.
func (r Record) Check(b Bounds) (broken []Violation) {
	n := len(r.Names)
	w := newWorld(n)
	// together and apart: since when j is certainly in reach of i, or certainly not.
	together, apart := pairs(n), pairs(n)
	wrong := pairs(n)       // since when i shows j as gone, or as another process
	own := map[int]string{} // the process that speaks for itself
	contents, said := map[string]string{}, map[string]bool{}
	tell := func(at time.Duration, rule, key, format string, args ...any) {
		if key = fmt.Sprint(rule, key, w.since); !said[key] {
			said[key] = true
			broken = append(broken, Violation{at, rule, fmt.Sprintf(format, args...)})
		}
	}
	todo := r.Changes
	for _, s := range r.Samples {
		for len(todo) > 0 && todo[0].At <= s.At {
			t := todo[0]
			todo = todo[1:]
			w.take(t)
			if t.Kind == Up {
				delete(own, t.Router)
			}
			for i := range n {
				tight, loose := w.reach(i, false), w.reach(i, true)
				for j := range n {
					mark(together[i], j, w.does(i) && tight[j] && !w.leaving[j], t.At)
					mark(apart[i], j, w.does(i) && !loose[j], t.At)
					if t.Kind == Up && (t.Router == j || t.Router == i) && tight[j] && w.does(i) {
						together[i][j] = t.At // another process: all is to be learned anew
					}
				}
			}
		}
		if !w.does(s.Router) {
			continue
		}
		i, living := s.Router, map[membership.Name]membership.RouterStatus{}
		for _, row := range s.View.Routers {
			if row.State <= membership.Suspect {
				living[row.Name] = row
			}
			if row.Name == r.Names[i] {
				own[i] = row.Incarnation
			}
		}
		text := content(s.View)
		if was, known := contents[s.View.Digest]; known && was != text {
			tell(s.At, "digest", s.View.Digest, "%s: digest %s stands for\n%s\nand for\n%s", r.Names[i], s.View.Digest, was, text)
		}
		contents[s.View.Digest] = text
		for j, name := range r.Names {
			row, there := living[name]
			mark(wrong[i], j, !there || own[j] != "" && row.Incarnation != own[j], s.At)
			if since := max(together[i][j], wrong[i][j]); together[i][j] >= 0 && wrong[i][j] >= 0 && s.At-since > b.RestoreWithin {
				switch {
				case !there:
					tell(s.At, "living", fmt.Sprint(i, " ", j), "%s holds %s for gone, which has been there and in reach, for %v", r.Names[i], name, s.At-since)
				case own[j] != "" && row.Incarnation != own[j]:
					tell(s.At, "living", fmt.Sprint(i, " ", j), "%s takes process %s for %s, which is %s", r.Names[i], row.Incarnation, name, own[j])
				}
			}
			if since := apart[i][j]; since >= 0 && s.At-since > b.RemoveWithin && there {
				tell(s.At, "dead", fmt.Sprint(i, " ", j), "%s holds %s for %v, which has been dead or out of reach for %v", r.Names[i], name, row.State, s.At-since)
			}
		}
		if s.At-w.since > b.SettleWithin && !s.View.Settled && w.even() {
			tell(s.At, "settles", fmt.Sprint(i), "%s is not settled %v after the last event; at odds with %v", r.Names[i], s.At-w.since, s.View.Disagreeing)
		}
	}
	return broken
}

// even tells whether each pair of living routers is either in reach of each other or of neither: else nothing says who
// should see whom.
func (w *world) even() bool {
	for i := range w.up {
		if w.does(i) && !slices.Equal(w.reach(i, false), w.reach(i, true)) {
			return false
		}
	}
	return true
}

func pairs(n int) [][]time.Duration {
	all := make([][]time.Duration, n)
	for i := range all {
		all[i] = slices.Repeat([]time.Duration{-1}, n)
	}
	return all
}

func mark(since []time.Duration, j int, on bool, at time.Duration) {
	if !on {
		since[j] = -1
	} else if since[j] < 0 {
		since[j] = at
	}
}

// content is what a digest stands for.
func content(w membership.Snapshot) string {
	var rows []string
	for _, r := range w.Routers {
		if r.State <= membership.Suspect {
			rows = append(rows, fmt.Sprint(r.Name, r.Site, r.Incarnation, r.Slot, r.Accepting, r.Draining, r.NameConflict, r.PolicyRevision))
		}
	}
	return strings.Join(rows, "\n")
}

// Convergence is one state of things, and how long the views took to follow.
type Convergence struct {
	At      time.Duration
	What    string
	Settled time.Duration // after it; negative: not before the next, or the end
}

// Convergences are the times that the views took to settle after each group of things done, done less than a tenth of a second
// apart: until every living router shows what is true and says that it is settled, and goes on to.
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

// at is the truth at a time.
func (r Record) at(now time.Duration) *world {
	w := newWorld(len(r.Names))
	for _, t := range r.Changes {
		if t.At <= now {
			w.take(t)
		}
	}
	return w
}

// Converged tells whether a view is settled and shows as alive whom is in reach, and nobody else.
func (r Record) Converged(s Sample) bool { return r.right(s, r.at(s.At).reach(s.Router, false)) }

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
	right := make([]time.Duration, n) // since when each is right; negative: it is not
	for i := range right {
		right[i] = -1
	}
	for _, s := range r.Samples {
		if s.At < from || s.At >= until || !w.does(s.Router) {
			continue
		}
		mark(right, s.Router, r.right(s, w.reach(s.Router, false)), s.At)
	}
	last := time.Duration(0)
	for i := range n {
		if !w.does(i) {
			continue
		}
		if right[i] < 0 {
			return -1
		}
		last = max(last, right[i]-from)
	}
	return last
}

// FalseLosses counts how often a router held another for gone that was there and in reach.
func (r Record) FalseLosses() (count int) {
	n := len(r.Names)
	w := newWorld(n)
	was, todo := map[[2]int]bool{}, r.Changes
	for _, s := range r.Samples {
		for len(todo) > 0 && todo[0].At <= s.At {
			w.take(todo[0])
			todo = todo[1:]
		}
		if !w.does(s.Router) {
			continue
		}
		reach := w.reach(s.Router, false)
		for _, row := range s.View.Routers {
			j := slices.Index(r.Names, row.Name)
			if j < 0 {
				continue
			}
			lost := row.State == membership.Lost && reach[j] && !w.leaving[j]
			if lost && !was[[2]int{s.Router, j}] && s.At-w.since > time.Second {
				count++
			}
			was[[2]int{s.Router, j}] = lost
		}
	}
	return count
}

// Quantile of spans, by the nearest rank; 0 for none.
func Quantile(spans []time.Duration, q float64) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	spans = slices.Clone(spans)
	slices.SortFunc(spans, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return spans[min(len(spans)-1, int(q*float64(len(spans))))]
}

// Sort puts a record into the order of time.
func (r *Record) Sort() {
	slices.SortStableFunc(r.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(r.Samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
}
