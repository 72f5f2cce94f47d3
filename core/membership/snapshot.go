package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"spurtrestle/core/clock"
)

// Router is what is shown of one router. Ages are in microseconds, as of the time of the view.
type RouterStatus struct {
	Name           Name       `json:"name"`
	Site           Site       `json:"site"`
	State          State      `json:"state"`
	Incarnation    string     `json:"incarnation"` // of the process that speaks for it
	StartedAt      int64      `json:"started"`     // by its wall clock, in microseconds since 1970
	Build          string     `json:"build"`
	Slot           Slot       `json:"seat"`
	Addr           string     `json:"address"`
	InStateFor     clock.Time `json:"for"` // so long it has been in this state
	Accepting      bool       `json:"takes_clients"`
	Draining       bool       `json:"draining"`
	NameConflict   bool       `json:"name_conflict"` // two that live have this name; the elder is shown
	PolicyRevision uint64     `json:"policy_revision"`
	ContactAge     clock.Time `json:"age"` // since this router heard from it itself
	Digest         string     `json:"digest"`
}

// SiteCount is how many of a site's routers are alive, of those known.
type SiteCount struct {
	Site      Site `json:"site"`
	Alive     int  `json:"alive"`
	Accepting int  `json:"takes_clients"`
	Known     int  `json:"of"`
}

// Snapshot is a view as people are shown it.
type Snapshot struct {
	Fleet       string         `json:"fleet"`
	ReportedBy  Name           `json:"by"`
	Digest      string         `json:"digest"`
	Settled     bool           `json:"settled"`
	SettledFor  clock.Time     `json:"for"` // settled or not
	Disagreeing []Name         `json:"disagree"`
	YieldReason string         `json:"out_of_service"` // why this router keeps out; empty: it does not
	Sites       []SiteCount    `json:"sites"`
	Routers     []RouterStatus `json:"routers"`
}

// Snapshot is the view as of now.
func (v *View) Snapshot(now clock.Time) Snapshot {
	w := Snapshot{Fleet: v.me.Fleet, ReportedBy: v.me.Name, Digest: hex(v.digest), Settled: v.settled, SettledFor: now - v.since,
		Disagreeing: v.Disagreeing(), YieldReason: v.YieldReason()}
	if w.Disagreeing == nil {
		w.Disagreeing = []Name{}
	}
	sites := map[Site]*SiteCount{}
	for name, ps := range v.names() {
		p, state, conflict := v.speaker(name, ps)
		if state == Alive && now-p.heard > v.rules.SuspectAfter {
			state = Suspect
		}
		r := RouterStatus{Name: name, Site: p.Site, State: state, Incarnation: hex(uint64(p.Incarnation)), StartedAt: p.StartedAt, Build: p.Build,
			Slot: p.Slot, Addr: p.Addr, InStateFor: now - p.since, NameConflict: conflict, PolicyRevision: p.word.PolicyRevision, ContactAge: now - p.heard,
			Digest: hex(p.word.ViewDigest)}
		c := sites[p.Site]
		if c == nil {
			c = &SiteCount{Site: p.Site}
			sites[p.Site] = c
		}
		c.Known++
		if state <= Suspect {
			r.Accepting, r.Draining = p.word.Accepting, p.word.Draining
			c.Alive++
			if r.Accepting {
				c.Accepting++
			}
		}
		w.Routers = append(w.Routers, r)
	}
	for _, c := range sites {
		w.Sites = append(w.Sites, *c)
	}
	slices.SortFunc(w.Routers, func(a, b RouterStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(w.Sites, func(a, b SiteCount) int { return cmp.Compare(a.Site, b.Site) })
	return w
}

// Out tells why this process has to keep out of service; empty: it has not.
func (v *View) YieldReason() string {
	if !v.Heartbeat().Yielded {
		return ""
	}
	for _, p := range v.living(v.me.Name) {
		if p.word.Duplicate == v.me.Incarnation {
			return fmt.Sprintf("the name %q is that of a router at %s, which has been there for longer; give this one a name of its own",
				v.me.Name, p.Addr)
		}
	}
	return "the name is another router's; give this one a name of its own"
}

// Line is a change that is worth a line in the log.
type Change struct {
	Router  Name
	Event   string // alive, lost, left, forgotten, draining, ..., settled
	Warning bool   // worth a warning
	Fields  map[string]any
}

// lines tells what is otherwise than at the last call.
func (v *View) lines() (lines []Change) {
	seen := map[Name]bool{}
	for name, ps := range v.names() {
		p, state, conflict := v.speaker(name, ps)
		now := row{state, p.Incarnation, conflict, Heartbeat{Accepting: p.word.Accepting, Draining: p.word.Draining, PolicyRevision: p.word.PolicyRevision}}
		was, known := v.last[name]
		seen[name] = true
		if known && was == now {
			continue
		}
		v.last[name] = now
		what, bad := state.String(), state == Lost
		switch {
		case conflict && !was.conflict:
			what, bad = "two have this name", true
		case was.state == state && was.process != now.process:
			what = "another process"
		case was.state == state && state != Alive:
			continue
		case was.state == state && now.word.Draining != was.word.Draining:
			what = map[bool]string{true: "draining", false: "no longer draining"}[now.word.Draining]
		case was.state == state && now.word.Accepting != was.word.Accepting:
			what = map[bool]string{true: "takes clients", false: "takes no clients"}[now.word.Accepting]
		case was.state == state && now.word.PolicyRevision != was.word.PolicyRevision:
			what = "another policy"
		case was.state == state:
			what = "the name is one router's again"
		}
		lines = append(lines, Change{Router: name, Event: what, Warning: bad, Fields: map[string]any{"site": p.Site,
			"incarnation": hex(uint64(p.Incarnation)), "address": p.Addr, "policy": p.word.PolicyRevision}})
	}
	for name := range v.last {
		if !seen[name] {
			delete(v.last, name)
			lines = append(lines, Change{Router: name, Event: "forgotten"})
		}
	}
	if v.stood > 0 {
		lines = append(lines, Change{Router: v.me.Name, Event: "this process stood still; its view is old", Warning: true,
			Fields: map[string]any{"for_us": int64(v.stood)}})
		v.stood = 0
	}
	slices.SortFunc(lines, func(a, b Change) int { return cmp.Compare(a.Router, b.Router) })
	return lines
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// Twin tells whether another process that counts as alive has this one's name, and is older. One at this process's own
// address is none: it has ended, or this one could not be there. To wait for it to say that it lives cost each restart 0.6 s.
func (v *View) HasOlderDuplicate() bool {
	for _, p := range v.living(v.me.Name) {
		if p.Incarnation != v.me.Incarnation && older(p.Member, v.me) && p.Addr != v.me.Addr {
			return true
		}
	}
	return false
}

// Differ tells where two views are not the same, a line each: who is held to be what by whom. Ages do not count.
func Diff(a, b Snapshot) (lines []string) {
	show := func(r RouterStatus, there bool) string {
		if !there {
			return "not there"
		}
		s := r.State.String()
		if r.State == Suspect {
			s = Alive.String() // one router's own impression
		}
		for _, x := range []struct {
			on   bool
			what string
		}{{r.Accepting, "takes clients"}, {r.Draining, "draining"}, {r.NameConflict, "two of the name"}} {
			if x.on {
				s += ", " + x.what
			}
		}
		return fmt.Sprintf("%s, process %s, policy %d", s, r.Incarnation, r.PolicyRevision)
	}
	rows := [2]map[Name]RouterStatus{{}, {}}
	var names []Name
	for i, w := range []Snapshot{a, b} {
		for _, r := range w.Routers {
			rows[i][r.Name] = r
			names = append(names, r.Name)
		}
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		x, inA := rows[0][name]
		y, inB := rows[1][name]
		if !inA && y.State > Suspect || !inB && x.State > Suspect {
			continue // who has come later does not know of those who were gone
		}
		if s, t := show(x, inA), show(y, inB); s != t {
			lines = append(lines, fmt.Sprintf("%s: %s by %s; %s by %s", name, s, a.ReportedBy, t, b.ReportedBy))
		}
	}
	return lines
}
