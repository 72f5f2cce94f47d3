package capacity

import (
	"cmp"
	_ "embed"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/template"

	"spurtrestle/internal/scale/result"
	"spurtrestle/internal/scale/slope"
)

// Report is all that the page tells.
type Report struct {
	Target   Target        `json:"target"`
	Sources  []Source      `json:"sources"`
	Peak     []Line        `json:"peak"`
	Sizes    []SizeRow     `json:"sizes"`  // at rest
	Faults   []SizeRow     `json:"faults"` // each but rest
	Parts    []PartsRow    `json:"parts"`  // at rest, by mechanism
	Slopes   []Series      `json:"slopes"`
	Real     []RealRow     `json:"real"`
	Held     []Held        `json:"held"`
	Roles    []Role        `json:"roles"`
	First    []Break       `json:"first"` // of today's fleet, all parts together
	Breaks   []Breaks      `json:"breaks"`
	Today    Today         `json:"today"`
	Grants   Grants        `json:"grants"`
	Purging  Purging       `json:"purging"`
	Budget   Budget        `json:"budget"`
	Leader   *LeaderSlopes `json:"leader"` // nil: not measured
	Excluded []Excluded    `json:"excluded"`
}

// Source is a file that figures come from.
type Source struct {
	Name    string `json:"name"`
	Build   string `json:"build"`
	Cores   int    `json:"cores"`
	Trials  int    `json:"trials"`
	Probes  string `json:"probes"`  // seconds between two probes of a router
	Sites   string `json:"sites"`   // routers to a site
	Regions string `json:"regions"` // sites to a region
	Others  string `json:"others"`  // most cores that other processes used in a window
}

// SizeRow is what was measured at one size of one kind of fleet under one fault, the mean over the seeds.
type SizeRow struct {
	Topology result.Topology `json:"topology"`
	Fault    result.Fault    `json:"fault"`
	Routers  int             `json:"routers"`
	Seeds    int             `json:"seeds"`
	Bytes    slope.Interval  `json:"bytes"` // the bounds are the least and the most of the seeds, here and below
	Worst    slope.Interval  `json:"worst"`
	CPU      slope.Interval  `json:"cpu"`
	Memory   slope.Interval  `json:"memory"`
	Settled  slope.Interval  `json:"settled"`
	Known    slope.Interval  `json:"all_settled"`
	Change   slope.Interval  `json:"change"`
	Settles  int             `json:"settles"` // seeds in which it settled
	Knows    int             `json:"knows"`   // seeds in which all routers knew it
	Changes  int             `json:"changes"` // seeds in which all had the change
}

// PartsRow is what each mechanism causes at one size of one kind of fleet at rest, the mean over the seeds.
type PartsRow struct {
	Topology result.Topology `json:"topology"`
	Routers  int             `json:"routers"`
	Bytes    []float64       `json:"bytes_per_s"` // in the order of Mechanisms; 0 where it causes none
}

// RealRow is what membership costs a process of the router's program, beside hollow routers of the same fleet at rest; the
// mean over the seeds. CPU and memory of a process are those beyond one whose fleet is switched off.
type RealRow struct {
	Topology     result.Topology `json:"topology"`
	Routers      int             `json:"routers"`
	Processes    int             `json:"processes"` // of all seeds
	Bytes        slope.Interval  `json:"bytes"`     // of a process; the bounds are the least and the most of the seeds, here and below
	CPU          slope.Interval  `json:"cpu"`
	Memory       slope.Interval  `json:"memory"`
	HollowBytes  slope.Interval  `json:"hollow_bytes"`
	HollowCPU    slope.Interval  `json:"hollow_cpu"`
	HollowMemory slope.Interval  `json:"hollow_memory"`
}

// Mechanisms are those that a scale run tells apart.
var Mechanisms = []string{"probe", "gossip", "heartbeat", "full_state", "summary", "lending", "grant", "other"}

// Held is the largest size measured at which all seeds kept to a router's budget, at rest.
type Held struct {
	Topology result.Topology `json:"topology"`
	Size     int             `json:"size"`    // 0: none
	Largest  int             `json:"largest"` // measured
}

// Work works a report out; of the leader nil where nothing was measured.
func Work(t Target, files []Measured, ofLeader *LeaderSlopes) Report {
	e := Gather(files)
	now := today(t, ofLeader)
	g := grants(t, now)
	spent := documentsOnce(t)
	if g.Chosen != nil {
		spent += g.Chosen.Router
	}
	p := purging(t, t.Control.BytesPerSecond-spent)
	membership := predicted(e, t, Key{result.Tiered, result.NoFault, FigureBytes})
	ofRepresentative := predicted(e, t, Key{result.Tiered, result.NoFault, FigureWorst})
	r := Report{Target: t, Peak: peak(t), Sizes: sizeRows(e, atRest), Faults: sizeRows(e, func(f result.Fault) bool { return !atRest(f) }), Parts: partsRows(e), Real: realRows(e), Slopes: e.Series, Roles: roles(t, e, now, p, ofLeader), Breaks: breaks(t, e, now, ofLeader),
		Today: now, Grants: g, Purging: p, Budget: budget(t, g, p, membership, ofRepresentative), Excluded: e.Incomplete, Leader: ofLeader}
	for _, f := range e.Files {
		r.Sources = append(r.Sources, source(f))
	}
	r.Held = held(t, r.Sizes)
	r.First = first(r.Breaks[0], r.Breaks[2])
	return r
}

func source(f Measured) Source {
	probes, perSite, perRegion := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, trial := range f.Trials {
		probes[digits(trial.ProbeInterval)] = true
		if trial.Sites > 0 {
			perSite[rounded(trial.Routers, trial.Sites)] = true
		}
		if trial.Regions > 0 {
			perRegion[rounded(trial.Sites, trial.Regions)] = true
		}
	}
	list := func(set map[string]bool) string {
		return strings.Join(slices.SortedFunc(maps.Keys(set), func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }), ", ")
	}
	return Source{Name: f.Name, Build: builds(f), Cores: f.Cores, Trials: len(f.Trials), Probes: list(probes), Sites: list(perSite), Regions: list(perRegion),
		Others: mostOtherLoad(f.Trials)}
}

// builds are those of all trials, in the order in which they were played.
func builds(f Measured) string {
	var all []string
	for _, t := range f.Trials {
		if build := shortCommit(cmp.Or(t.Build, f.Build)); !slices.Contains(all, build) {
			all = append(all, build)
		}
	}
	return strings.Join(all, ", ")
}

// mostOtherLoad is the most that others used of the machine while one of the trials was measured.
func mostOtherLoad(trials []result.Trial) string {
	most, unknown := 0.0, 0
	for _, t := range trials {
		if t.OtherLoad == nil {
			unknown++
			continue
		}
		most = max(most, *t.OtherLoad)
	}
	switch unknown {
	case 0:
		return fmt.Sprintf("%.2f", most)
	case len(trials):
		return "not recorded"
	}
	return fmt.Sprintf("%.2f; not recorded in %d", most, unknown)
}

// rounded is a ratio as a whole number.
func rounded(a, b int) string { return strconv.Itoa(int(math.Round(float64(a) / float64(b)))) }

// group is one size of one kind of fleet under one fault.
type group struct {
	topology result.Topology
	fault    result.Fault
	routers  int
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.topology, b.topology), cmp.Compare(a.fault, b.fault), cmp.Compare(a.routers, b.routers))
}

// groups are the trials that were not ended early, of those faults that are wanted.
func groups(e Evidence, wanted func(result.Fault) bool) map[group][]result.Trial {
	trials := map[group][]result.Trial{}
	for _, f := range e.Files {
		for _, t := range f.Trials {
			if wanted(t.Fault) && t.Incomplete == "" && t.Real == nil {
				g := group{t.Topology, t.Fault, t.Routers}
				trials[g] = append(trials[g], t)
			}
		}
	}
	return trials
}

// partsRows are by topology and size.
func partsRows(e Evidence) (rows []PartsRow) {
	trials := groups(e, atRest)
	for _, g := range slices.SortedFunc(maps.Keys(trials), compareGroups) {
		row := PartsRow{Topology: g.topology, Routers: g.routers, Bytes: make([]float64, len(Mechanisms))}
		for _, trial := range trials[g] {
			for _, m := range trial.Mechanisms {
				if i := slices.Index(Mechanisms, m.Name); i >= 0 {
					row.Bytes[i] += m.Bytes / float64(len(trials[g]))
				}
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// realRows are by topology and size.
func realRows(e Evidence) (rows []RealRow) {
	trials := map[group][]result.Trial{}
	for _, f := range e.Files {
		for _, t := range f.Trials {
			if t.Real != nil && t.Incomplete == "" && atRest(t.Fault) {
				g := group{t.Topology, t.Fault, t.Routers}
				trials[g] = append(trials[g], t)
			}
		}
	}
	for _, g := range slices.SortedFunc(maps.Keys(trials), compareGroups) {
		all := trials[g]
		row := RealRow{Topology: g.topology, Routers: g.routers}
		for _, t := range all {
			row.Processes += t.Real.Routers
		}
		row.Bytes, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.Real.PerRouter.BytesIn + t.Real.PerRouter.BytesOut) })
		row.CPU, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.Real.PerRouter.CPU - t.Real.WithoutFleet.CPU) })
		row.Memory, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.Real.PerRouter.Memory - t.Real.WithoutFleet.Memory) })
		row.HollowBytes, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.BytesIn + t.PerRouter.BytesOut) })
		row.HollowCPU, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.CPU) })
		row.HollowMemory, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.Memory) })
		rows = append(rows, row)
	}
	return rows
}

func atRest(f result.Fault) bool { return f == result.NoFault }

// sizeRows are by topology, fault and size.
func sizeRows(e Evidence, wanted func(result.Fault) bool) (rows []SizeRow) {
	trials := groups(e, wanted)
	for _, g := range slices.SortedFunc(maps.Keys(trials), compareGroups) {
		all := trials[g]
		row := SizeRow{Topology: g.topology, Fault: g.fault, Routers: g.routers, Seeds: len(all)}
		row.Bytes, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.BytesIn + t.PerRouter.BytesOut) })
		row.Worst, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.Busiest.BytesIn + t.Busiest.BytesOut) })
		row.CPU, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.CPU) })
		row.Memory, _ = spread(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.Memory) })
		row.Settled, row.Settles = spread(all, func(t result.Trial) *float64 { return t.ConvergenceTime })
		row.Known, row.Knows = spread(all, func(t result.Trial) *float64 { return t.ConvergenceKnownTime })
		row.Change, row.Changes = spread(all, func(t result.Trial) *float64 { return t.PropagationTime })
		rows = append(rows, row)
	}
	return rows
}

func pointer(value float64) *float64 { return &value }

// spread is mean, least and most, and in how many trials there is a value.
func spread(all []result.Trial, of func(result.Trial) *float64) (i slope.Interval, count int) {
	i.Low = math.Inf(1)
	for _, t := range all {
		v := of(t)
		if v == nil {
			continue
		}
		count++
		i.Value += *v
		i.Low, i.High = min(i.Low, *v), max(i.High, *v)
	}
	if count == 0 {
		return slope.Interval{}, 0
	}
	i.Value /= float64(count)
	return i, count
}

// held looks upwards from the smallest size, and ends at the first that is over a limit.
func held(t Target, rows []SizeRow) (all []Held) {
	for _, topology := range []result.Topology{result.Flat, result.Tiered} {
		h, over := Held{Topology: topology}, false
		for _, r := range rows {
			if r.Topology != topology {
				continue
			}
			c := t.Control
			over = over || r.Bytes.High > c.BytesPerSecond || r.CPU.High > c.CoreShare || r.Memory.High > c.MemoryBytes
			if h.Largest = r.Routers; !over {
				h.Size = r.Routers
			}
		}
		if h.Largest > 0 {
			all = append(all, h)
		}
	}
	return all
}

//go:embed capacity.md.tmpl
var page string

var pageTemplate = template.Must(template.New("capacity").Funcs(template.FuncMap{
	"cell": cell, "from": from, "share": share, "limit": limit,
	"number":  func(v float64) string { return show(v, Number) },
	"bytes":   func(v float64) string { return show(v, Bytes) },
	"rate":    func(v float64) string { return show(v, BytesPerSecond) },
	"times":   func(v float64) string { return show(v, PerSecond) },
	"time":    func(v float64) string { return show(v, Seconds) },
	"bits":    func(v float64) string { return show(v, BitsPerSecond) },
	"cores":   func(v float64) string { return show(v, Cores) },
	"percent": func(v float64) string { return digits(v*100) + "%" },
	"value":   show,
	"around":  func(i slope.Interval, unit Unit) string { return around(i, unit) },
	"seen": func(i slope.Interval, count, of int) string {
		if count == 0 {
			return fmt.Sprintf("in none of %d", of)
		}
		text := around(i, Seconds)
		if count < of {
			text += fmt.Sprintf(", in %d of %d", count, of)
		}
		return text
	},
	"rivals": func(c *slope.Choice) string {
		var names []string
		for _, f := range c.Rivals {
			names = append(names, f.Form.String())
		}
		return cmp.Or(strings.Join(names, ", "), "-")
	},
	"breakSize": breakSize,
	"yes": func(v bool) string {
		if v {
			return "yes"
		}
		return "no"
	},
	"mechanisms": func() []string { return Mechanisms },
	"fitted":     func(s *LeaderSlopes) bool { return s.Fitted() },
	"add":        func(a, b int) int { return a + b },
	"step":       func(f slope.Fit) string { return interval(f.Step, f.Form == slope.Constant) },
	"base":       func(f slope.Fit) string { return interval(f.Base, false) },
	"short":      shortCommit,
}).Parse(page))

func around(i slope.Interval, unit Unit) string {
	return showBetween(i.Value, i.Low, i.High, unit)
}

// interval writes coefficients, which may be very small.
func interval(i slope.Interval, none bool) string {
	if none {
		return "-"
	}
	return fmt.Sprintf("%.3g (%.3g to %.3g)", i.Value, i.Low, i.High)
}

func breakSize(b Break) string {
	if b.Early > 0 {
		return fmt.Sprintf("%s; not ruled out: from %s on", chosenSize(b), show(math.Ceil(b.Early), Number))
	}
	return chosenSize(b)
}

func chosenSize(b Break) string {
	switch {
	case b.Size == 0 && b.Basis == Missing:
		return "not measured"
	case b.Size == 0:
		return "not reached"
	case b.Basis == Extrapolated:
		return fmt.Sprintf("%s, x%s beyond what is measured", show(math.Ceil(b.Size), Number), digits(b.Factor))
	case b.Size == 1:
		return "any"
	}
	return show(math.Ceil(b.Size), Number)
}

// shortCommit leaves what is no commit alone.
func shortCommit(build string) string {
	const whole, enough = 40, 10
	if len(build) != whole {
		return build
	}
	return build[:enough]
}

// Page writes the report as markdown.
func Page(r Report) (string, error) {
	var out strings.Builder
	if err := pageTemplate.Execute(&out, r); err != nil {
		return "", err
	}
	return out.String(), nil
}

// StaleError says that a page does not follow from its figures.
type StaleError struct {
	Page string
	Line int
	Has  string
	Want string
}

func (e StaleError) Error() string {
	return fmt.Sprintf("%s: line %d: it has %q, and its figures give %q; write it anew: cache-routerctl scale capacity --target FILE --measured FILE... --leader FILE --write %s",
		e.Page, e.Line, e.Has, e.Want, e.Page)
}

// Check tells whether a page is what its report gives; the error is a StaleError.
func Check(name, has, want string) error {
	if has == want {
		return nil
	}
	a, b := strings.Split(has, "\n"), strings.Split(want, "\n")
	at := func(lines []string, i int) string {
		if i < len(lines) {
			return lines[i]
		}
		return "the page's end"
	}
	for i := range max(len(a), len(b)) {
		if at(a, i) != at(b, i) {
			return StaleError{name, i + 1, at(a, i), at(b, i)}
		}
	}
	return StaleError{name, len(a), "", ""}
}
