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

// Report holds all content of the page.
type Report struct {
	Target              Target          `json:"target"`
	Sources             []SourceFile    `json:"sources"`
	Peak                []PeakLoad      `json:"peak"`
	Sizes               []SizeRow       `json:"sizes"`  // without faults
	Faults              []SizeRow       `json:"faults"` // with each fault
	Mechanisms          []MechanismRow  `json:"parts"`  // without faults, by mechanism
	Slopes              []Series        `json:"slopes"`
	Real                []RealRouterRow `json:"real"`
	LargestWithinBudget []BudgetResult  `json:"held"`
	Roles               []Role          `json:"roles"`
	FirstLimits         []ScalingLimit  `json:"first"` // of the current fleet, over all parts
	Limits              []ScalingLimits `json:"breaks"`
	Current             CurrentCosts    `json:"today"`
	Renewals            RenewalDesign   `json:"grants"`
	Purges              PurgeDesign     `json:"purging"`
	Budget              Budget          `json:"budget"`
	Leader              *LeaderModel    `json:"leader"` // nil: not measured
	Excluded            []ExcludedTrial `json:"excluded"`
}

// SourceFile describes a file that measurements come from.
type SourceFile struct {
	Name           string `json:"name"`
	Build          string `json:"build"`
	Cores          int    `json:"cores"`
	Trials         int    `json:"trials"`
	ProbeIntervals string `json:"probes"`  // seconds between two probes by a router
	RoutersPerSite string `json:"sites"`   // routers per site
	SitesPerRegion string `json:"regions"` // sites per region
	OtherLoad      string `json:"others"`  // maximum number of cores that other processes used during a trial
}

// SizeRow holds the measurements for one size, topology and fault, as means over the seeds.
type SizeRow struct {
	Topology              result.Topology `json:"topology"`
	Fault                 result.Fault    `json:"fault"`
	Routers               int             `json:"routers"`
	Seeds                 int             `json:"seeds"`
	Bytes                 slope.Interval  `json:"bytes"` // bounds: minimum and maximum over the seeds, here and below
	Busiest               slope.Interval  `json:"worst"`
	CPU                   slope.Interval  `json:"cpu"`
	Memory                slope.Interval  `json:"memory"`
	Convergence           slope.Interval  `json:"settled"`
	ConvergenceKnown      slope.Interval  `json:"all_settled"`
	Propagation           slope.Interval  `json:"change"`
	ConvergedSeeds        int             `json:"settles"` // seeds in which all views agreed
	ConvergenceKnownSeeds int             `json:"knows"`   // seeds in which all routers knew that the views agreed
	PropagatedSeeds       int             `json:"changes"` // seeds in which all routers had the change
}

// MechanismRow holds the traffic of each mechanism for one size and topology without faults, as means over the seeds.
type MechanismRow struct {
	Topology result.Topology `json:"topology"`
	Routers  int             `json:"routers"`
	Bytes    []float64       `json:"bytes_per_s"` // in the order of the variable Mechanisms; 0: no traffic
}

// RealRouterRow holds the cost of membership for a real router process, compared to the simulated ("hollow") routers of the same
// fleet, without faults, as means over the seeds. CPU and memory are relative to a process with fleet membership disabled.
type RealRouterRow struct {
	Topology     result.Topology `json:"topology"`
	Routers      int             `json:"routers"`
	Processes    int             `json:"processes"` // over all seeds
	Bytes        slope.Interval  `json:"bytes"`     // of a process; bounds: minimum and maximum over the seeds, here and below
	CPU          slope.Interval  `json:"cpu"`
	Memory       slope.Interval  `json:"memory"`
	HollowBytes  slope.Interval  `json:"hollow_bytes"`
	HollowCPU    slope.Interval  `json:"hollow_cpu"`
	HollowMemory slope.Interval  `json:"hollow_memory"`
}

// Mechanisms lists the protocol mechanisms that a scale run measures separately.
var Mechanisms = []string{"probe", "gossip", "heartbeat", "full_state", "summary", "lending", "grant", "other"}

// BudgetResult is the largest size measured up to which all seeds were within a router's budget, without faults.
type BudgetResult struct {
	Topology        result.Topology `json:"topology"`
	Size            int             `json:"size"`    // 0: at no size
	LargestMeasured int             `json:"largest"` // largest size measured
}

// NewReport computes the report for a target. ofLeader is nil if the leader was not measured.
func NewReport(t Target, files []ResultFile, ofLeader *LeaderModel) Report {
	measurements := FitMeasurements(files)
	costs := currentCosts(t, ofLeader)
	g := designRenewals(t, costs)
	usedBytes := documentBytes(t)
	if g.Chosen != nil {
		usedBytes += g.Chosen.RouterBytes
	}
	p := designPurges(t, t.Budget.BytesPerSecond-usedBytes)
	membership := predict(measurements, t, SeriesKey{result.Tiered, result.NoFault, MetricBytes})
	ofRepresentative := predict(measurements, t, SeriesKey{result.Tiered, result.NoFault, MetricBusiestBytes})
	r := Report{Target: t, Peak: peakLoads(t), Sizes: sizeRows(measurements, withoutFault), Faults: sizeRows(measurements, func(f result.Fault) bool { return !withoutFault(f) }), Mechanisms: mechanismRows(measurements), Real: realRouterRows(measurements), Slopes: measurements.Series, Roles: allRoles(t, measurements, costs, p, ofLeader), Limits: scalingLimits(t, measurements, costs, ofLeader),
		Current: costs, Renewals: g, Purges: p, Budget: routerBudget(t, g, p, membership, ofRepresentative), Excluded: measurements.Excluded, Leader: ofLeader}
	for _, f := range measurements.Files {
		r.Sources = append(r.Sources, source(f))
	}
	r.LargestWithinBudget = largestWithinBudget(t, r.Sizes)
	r.FirstLimits = firstReached(r.Limits[0], r.Limits[2])
	return r
}

func source(f ResultFile) SourceFile {
	probes, perSite, perRegion := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, trial := range f.Trials {
		probes[formatDigits(trial.ProbeInterval)] = true
		if trial.Sites > 0 {
			perSite[roundedRatio(trial.Routers, trial.Sites)] = true
		}
		if trial.Regions > 0 {
			perRegion[roundedRatio(trial.Sites, trial.Regions)] = true
		}
	}
	list := func(set map[string]bool) string {
		return strings.Join(slices.SortedFunc(maps.Keys(set), func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }), ", ")
	}
	return SourceFile{Name: f.Name, Build: builds(f), Cores: f.Cores, Trials: len(f.Trials), ProbeIntervals: list(probes), RoutersPerSite: list(perSite), SitesPerRegion: list(perRegion),
		OtherLoad: maxOtherLoad(f.Trials)}
}

// builds lists the builds of all trials in execution order, each once.
func builds(f ResultFile) string {
	var all []string
	for _, t := range f.Trials {
		if build := shortCommit(cmp.Or(t.Build, f.Build)); !slices.Contains(all, build) {
			all = append(all, build)
		}
	}
	return strings.Join(all, ", ")
}

// maxOtherLoad formats the maximum number of cores that other processes used during one of the trials.
func maxOtherLoad(trials []result.Trial) string {
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

// roundedRatio formats a ratio as a whole number.
func roundedRatio(a, b int) string { return strconv.Itoa(int(math.Round(float64(a) / float64(b)))) }

// group identifies the trials of one size, topology and fault.
type group struct {
	topology result.Topology
	fault    result.Fault
	routers  int
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.topology, b.topology), cmp.Compare(a.fault, b.fault), cmp.Compare(a.routers, b.routers))
}

// groups returns the complete trials without real routers under the wanted faults, by group.
func groups(e Measurements, wanted func(result.Fault) bool) map[group][]result.Trial {
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

// mechanismRows returns the rows sorted by topology and size.
func mechanismRows(e Measurements) (rows []MechanismRow) {
	trials := groups(e, withoutFault)
	for _, g := range slices.SortedFunc(maps.Keys(trials), compareGroups) {
		row := MechanismRow{Topology: g.topology, Routers: g.routers, Bytes: make([]float64, len(Mechanisms))}
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

// realRouterRows returns the rows sorted by topology and size.
func realRouterRows(e Measurements) (rows []RealRouterRow) {
	trials := map[group][]result.Trial{}
	for _, f := range e.Files {
		for _, t := range f.Trials {
			if t.Real != nil && t.Incomplete == "" && withoutFault(t.Fault) {
				g := group{t.Topology, t.Fault, t.Routers}
				trials[g] = append(trials[g], t)
			}
		}
	}
	for _, g := range slices.SortedFunc(maps.Keys(trials), compareGroups) {
		all := trials[g]
		row := RealRouterRow{Topology: g.topology, Routers: g.routers}
		for _, t := range all {
			row.Processes += t.Real.Routers
		}
		row.Bytes, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.Real.PerRouter.BytesIn + t.Real.PerRouter.BytesOut) })
		row.CPU, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.Real.PerRouter.CPU - t.Real.WithoutFleet.CPU) })
		row.Memory, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.Real.PerRouter.Memory - t.Real.WithoutFleet.Memory) })
		row.HollowBytes, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.BytesIn + t.PerRouter.BytesOut) })
		row.HollowCPU, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.CPU) })
		row.HollowMemory, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.Memory) })
		rows = append(rows, row)
	}
	return rows
}

func withoutFault(f result.Fault) bool { return f == result.NoFault }

// sizeRows returns the rows sorted by topology, fault and size.
func sizeRows(e Measurements, wanted func(result.Fault) bool) (rows []SizeRow) {
	trials := groups(e, wanted)
	for _, g := range slices.SortedFunc(maps.Keys(trials), compareGroups) {
		all := trials[g]
		row := SizeRow{Topology: g.topology, Fault: g.fault, Routers: g.routers, Seeds: len(all)}
		row.Bytes, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.BytesIn + t.PerRouter.BytesOut) })
		row.Busiest, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.Busiest.BytesIn + t.Busiest.BytesOut) })
		row.CPU, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.CPU) })
		row.Memory, _ = meanAndRange(all, func(t result.Trial) *float64 { return pointer(t.PerRouter.Memory) })
		row.Convergence, row.ConvergedSeeds = meanAndRange(all, func(t result.Trial) *float64 { return t.ConvergenceTime })
		row.ConvergenceKnown, row.ConvergenceKnownSeeds = meanAndRange(all, func(t result.Trial) *float64 { return t.ConvergenceKnownTime })
		row.Propagation, row.PropagatedSeeds = meanAndRange(all, func(t result.Trial) *float64 { return t.PropagationTime })
		rows = append(rows, row)
	}
	return rows
}

func pointer(value float64) *float64 { return &value }

// meanAndRange returns the mean, minimum and maximum of a value over trials, and the number of trials that have the value.
func meanAndRange(all []result.Trial, value func(result.Trial) *float64) (i slope.Interval, count int) {
	i.Low = math.Inf(1)
	for _, t := range all {
		v := value(t)
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

// largestWithinBudget goes through the sizes in ascending order and stops at the first that exceeds a limit.
func largestWithinBudget(t Target, rows []SizeRow) (all []BudgetResult) {
	for _, topology := range []result.Topology{result.Flat, result.Tiered} {
		budgetResult, exceeded := BudgetResult{Topology: topology}, false
		for _, r := range rows {
			if r.Topology != topology {
				continue
			}
			c := t.Budget
			exceeded = exceeded || r.Bytes.High > c.BytesPerSecond || r.CPU.High > c.CoreShare || r.Memory.High > c.MemoryBytes
			if budgetResult.LargestMeasured = r.Routers; !exceeded {
				budgetResult.Size = r.Routers
			}
		}
		if budgetResult.LargestMeasured > 0 {
			all = append(all, budgetResult)
		}
	}
	return all
}

//go:embed capacity.md.tmpl
var page string

var pageTemplate = template.Must(template.New("capacity").Funcs(template.FuncMap{
	"estimate": formatEstimate, "sources": formatSources, "limitShare": formatLimitShare, "limit": formatLimit,
	"number":  func(v float64) string { return formatValue(v, Number) },
	"bytes":   func(v float64) string { return formatValue(v, Bytes) },
	"rate":    func(v float64) string { return formatValue(v, BytesPerSecond) },
	"times":   func(v float64) string { return formatValue(v, PerSecond) },
	"time":    func(v float64) string { return formatValue(v, Seconds) },
	"bits":    func(v float64) string { return formatValue(v, BitsPerSecond) },
	"cores":   func(v float64) string { return formatValue(v, Cores) },
	"percent": func(v float64) string { return formatDigits(v*100) + "%" },
	"value":   formatValue,
	"around":  func(i slope.Interval, unit Unit) string { return formatInterval(i, unit) },
	"convergence": func(i slope.Interval, count, of int) string {
		if count == 0 {
			return fmt.Sprintf("in none of %d", of)
		}
		text := formatInterval(i, Seconds)
		if count < of {
			text += fmt.Sprintf(", in %d of %d", count, of)
		}
		return text
	},
	"alternatives": func(c *slope.Selection) string {
		var names []string
		for _, f := range c.Alternatives {
			names = append(names, f.Model.String())
		}
		return cmp.Or(strings.Join(names, ", "), "-")
	},
	"breakSize": formatLimitSize,
	"yes": func(v bool) string {
		if v {
			return "yes"
		}
		return "no"
	},
	"mechanisms": func() []string { return Mechanisms },
	"fitted":     func(s *LeaderModel) bool { return s.Fitted() },
	"add":        func(a, b int) int { return a + b },
	"slope":      func(f slope.Fit) string { return formatCoefficient(f.Slope, f.Model == slope.Constant) },
	"intercept":  func(f slope.Fit) string { return formatCoefficient(f.Intercept, false) },
	"short":      shortCommit,
}).Parse(page))

func formatInterval(i slope.Interval, unit Unit) string {
	return formatRange(i.Value, i.Low, i.High, unit)
}

// formatCoefficient formats a coefficient, which may be very small; none formats it as "-".
func formatCoefficient(i slope.Interval, none bool) string {
	if none {
		return "-"
	}
	return fmt.Sprintf("%.3g (%.3g to %.3g)", i.Value, i.Low, i.High)
}

func formatLimitSize(b ScalingLimit) string {
	if b.EarliestSize > 0 {
		return fmt.Sprintf("%s; not ruled out: from %s on", formatFittedSize(b), formatValue(math.Ceil(b.EarliestSize), Number))
	}
	return formatFittedSize(b)
}

func formatFittedSize(b ScalingLimit) string {
	switch {
	case b.Size == 0 && b.Basis == NotMeasured:
		return "not measured"
	case b.Size == 0:
		return "not reached"
	case b.Basis == Extrapolated:
		return fmt.Sprintf("%s, x%s beyond what is measured", formatValue(math.Ceil(b.Size), Number), formatDigits(b.SizeRatio))
	case b.Size == 1:
		return "any"
	}
	return formatValue(math.Ceil(b.Size), Number)
}

// shortCommit abbreviates a commit hash and returns any other text as it is.
func shortCommit(build string) string {
	const commitLength, shortLength = 40, 10
	if len(build) != commitLength {
		return build
	}
	return build[:shortLength]
}

// Page renders the report as Markdown.
func Page(r Report) (string, error) {
	var out strings.Builder
	if err := pageTemplate.Execute(&out, r); err != nil {
		return "", err
	}
	return out.String(), nil
}

// StaleError reports that a page differs from the page rendered from its sources.
type StaleError struct {
	Page string
	Line int
	Got  string
	Want string
}

func (e StaleError) Error() string {
	return fmt.Sprintf("%s: line %d: it has %q, and its figures give %q; write it anew: cache-routerctl scale capacity --target FILE --measured FILE... --leader FILE --write %s",
		e.Page, e.Line, e.Got, e.Want, e.Page)
}

// Check compares a page with the expected one and reports the first line that differs as a StaleError.
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
