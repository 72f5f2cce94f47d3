package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"spurtrestle/core/clock"
)

// Router is what is shown of one router. Ages are in microseconds, as of the time of the view.
type Router struct {
	Name        Name       `json:"name"`
	Site        Site       `json:"site"`
	State       State      `json:"state"`
	Incarnation string     `json:"incarnation"` // of the process that speaks for it
	Started     int64      `json:"started"`     // by its wall clock, in microseconds since 1970
	Build       string     `json:"build"`
	Seat        Seat       `json:"seat"`
	Addr        string     `json:"address"`
	For         clock.Time `json:"for"` // so long it has been in this state
	Takes       bool       `json:"takes_clients"`
	Draining    bool       `json:"draining"`
	Conflict    bool       `json:"name_conflict"` // two that live have this name; the elder is shown
	Revision    uint64     `json:"policy_revision"`
	Age         clock.Time `json:"age"` // since this router heard from it itself
	Digest      string     `json:"digest"`
}

// SiteCount is how many of a site's routers are alive, of those known.
type SiteCount struct {
	Site  Site `json:"site"`
	Alive int  `json:"alive"`
	Takes int  `json:"takes_clients"`
	Of    int  `json:"of"`
}

// Snapshot is a view as people are shown it.
type Snapshot struct {
	Fleet    string      `json:"fleet"`
	By       Name        `json:"by"`
	Digest   string      `json:"digest"`
	Settled  bool        `json:"settled"`
	For      clock.Time  `json:"for"` // settled or not
	Disagree []Name      `json:"disagree"`
	Out      string      `json:"out_of_service"` // why this router keeps out; empty: it does not
	Sites    []SiteCount `json:"sites"`
	Routers  []Router    `json:"routers"`
}

// Snapshot is the view as of now.
func (v *View) Snapshot(now clock.Time) Snapshot {
	w := Snapshot{Fleet: v.me.Fleet, By: v.me.Name, Digest: hex(v.digest), Settled: v.settled, For: now - v.since,
		Disagree: v.Disagree(), Out: v.Out()}
	if w.Disagree == nil {
		w.Disagree = []Name{}
	}
	sites := map[Site]*SiteCount{}
	for name, ps := range v.names() {
		p, state, conflict := v.speaker(name, ps)
		if state == Alive && now-p.heard > v.rules.Suspect {
			state = Suspect
		}
		r := Router{Name: name, Site: p.Site, State: state, Incarnation: hex(uint64(p.Process)), Started: p.Started, Build: p.Build,
			Seat: p.Seat, Addr: p.Addr, For: now - p.since, Conflict: conflict, Revision: p.word.Revision, Age: now - p.heard,
			Digest: hex(p.word.Digest)}
		c := sites[p.Site]
		if c == nil {
			c = &SiteCount{Site: p.Site}
			sites[p.Site] = c
		}
		c.Of++
		if state <= Suspect {
			r.Takes, r.Draining = p.word.Takes, p.word.Draining
			c.Alive++
			if r.Takes {
				c.Takes++
			}
		}
		w.Routers = append(w.Routers, r)
	}
	for _, c := range sites {
		w.Sites = append(w.Sites, *c)
	}
	slices.SortFunc(w.Routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(w.Sites, func(a, b SiteCount) int { return cmp.Compare(a.Site, b.Site) })
	return w
}

// Out tells why this process has to keep out of service; empty: it has not.
func (v *View) Out() string {
	if !v.Heartbeat().Out {
		return ""
	}
	for _, p := range v.living(v.me.Name) {
		if p.word.Rival == v.me.Process {
			return fmt.Sprintf("the name %q is that of a router at %s, which has been there for longer; give this one a name of its own",
				v.me.Name, p.Addr)
		}
	}
	return "the name is another router's; give this one a name of its own"
}

// Line is a change that is worth a line in the log.
type Line struct {
	Router Name
	What   string // alive, lost, left, forgotten, draining, ..., settled
	Bad    bool   // worth a warning
	Fields map[string]any
}

// lines tells what is otherwise than at the last call.
func (v *View) lines() (lines []Line) {
	seen := map[Name]bool{}
	for name, ps := range v.names() {
		p, state, conflict := v.speaker(name, ps)
		now := row{state, p.Process, conflict, Heartbeat{Takes: p.word.Takes, Draining: p.word.Draining, Revision: p.word.Revision}}
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
		case was.state == state && now.word.Takes != was.word.Takes:
			what = map[bool]string{true: "takes clients", false: "takes no clients"}[now.word.Takes]
		case was.state == state && now.word.Revision != was.word.Revision:
			what = "another policy"
		case was.state == state:
			what = "the name is one router's again"
		}
		lines = append(lines, Line{Router: name, What: what, Bad: bad, Fields: map[string]any{"site": p.Site,
			"incarnation": hex(uint64(p.Process)), "address": p.Addr, "policy": p.word.Revision}})
	}
	for name := range v.last {
		if !seen[name] {
			delete(v.last, name)
			lines = append(lines, Line{Router: name, What: "forgotten"})
		}
	}
	if v.stood > 0 {
		lines = append(lines, Line{Router: v.me.Name, What: "this process stood still; its view is old", Bad: true,
			Fields: map[string]any{"for_us": int64(v.stood)}})
		v.stood = 0
	}
	slices.SortFunc(lines, func(a, b Line) int { return cmp.Compare(a.Router, b.Router) })
	return lines
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// Twin tells whether another process that counts as alive has this one's name, and is older. One at this process's own
// address is none: it has ended, or this one could not be there. To wait for it to say that it lives cost each restart 0.6 s.
func (v *View) Twin() bool {
	for _, p := range v.living(v.me.Name) {
		if p.Process != v.me.Process && older(p.Member, v.me) && p.Addr != v.me.Addr {
			return true
		}
	}
	return false
}

// Differ tells where two views are not the same, a line each: who is held to be what by whom. Ages do not count.
func Differ(a, b Snapshot) (lines []string) {
	show := func(r Router, there bool) string {
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
		}{{r.Takes, "takes clients"}, {r.Draining, "draining"}, {r.Conflict, "two of the name"}} {
			if x.on {
				s += ", " + x.what
			}
		}
		return fmt.Sprintf("%s, process %s, policy %d", s, r.Incarnation, r.Revision)
	}
	rows := [2]map[Name]Router{{}, {}}
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
			lines = append(lines, fmt.Sprintf("%s: %s by %s; %s by %s", name, s, a.By, t, b.By))
		}
	}
	return lines
}
