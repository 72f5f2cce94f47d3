// Package capacity estimates what a fleet of a given size needs and which limit it reaches first, from the results of scale runs,
// and renders the estimate as a Markdown page. cache-routerctl scale capacity and scale slopes call it. It does no I/O and keeps
// no state between calls.
//
// The files: target.go defines the target fleet; measured.go reads the results of scale runs and fits growth models; leader.go
// does the same for the policy leader; wire.go computes the sizes of the current messages; today.go calculates what the current
// mechanisms cost; design.go calculates mechanisms that are designed but not built; roles.go estimates what each role needs;
// breaks.go finds the limits that are reached first; page.go and show.go render the page.
package capacity

import (
	"errors"
	"fmt"
	"time"

	"spurtrestle/internal/tomlfile"
)

// Duration is a duration with the text format of time.ParseDuration, such as "7.1s".
type Duration time.Duration

// UnmarshalText decodes a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	*d = Duration(duration)
	return err
}

// MarshalText encodes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

func (d Duration) String() string { return time.Duration(d).String() }

// Target describes the fleet whose capacity is estimated.
type Target struct {
	Routers      float64 `toml:"routers" json:"routers"`
	Sites        float64 `toml:"sites" json:"sites"`
	Regions      float64 `toml:"regions" json:"regions"`
	Zones        float64 `toml:"zones" json:"zones"`
	CacheServers float64 `toml:"cache_servers" json:"cache_servers"`
	Requests     float64 `toml:"requests_per_second" json:"requests_per_second"` // at the peak
	Bits         float64 `toml:"bits_per_second" json:"bits_per_second"`         // at the peak
	Objects      float64 `toml:"objects" json:"objects"`

	Purges      Purges        `toml:"purges" json:"purges"`
	Changes     Changes       `toml:"changes" json:"changes"`
	Budget      ControlBudget `toml:"control" json:"control"`
	Failures    Failures      `toml:"failures" json:"failures"`
	Assumptions AssumedValues `toml:"assumed" json:"assumed"`
}

// Purges describes the load of purges: objects that no cache server may serve any more.
type Purges struct {
	PerSecond float64  `toml:"per_second" json:"per_second"`
	Bytes     float64  `toml:"bytes" json:"bytes"` // of the name of one object
	Within    Duration `toml:"within" json:"within"`
}

// Changes describes the load of configuration changes.
type Changes struct {
	PerDay float64  `toml:"per_day" json:"per_day"`
	Within Duration `toml:"within" json:"within"`
}

// ControlBudget limits the resources for control traffic and its processing.
type ControlBudget struct {
	CoreShare      float64 `toml:"core_share" json:"core_share"`             // cores of one router
	MemoryBytes    float64 `toml:"memory_bytes" json:"memory_bytes"`         // of one router
	BytesPerSecond float64 `toml:"bytes_per_second" json:"bytes_per_second"` // of one router, received and sent
	Machines       float64 `toml:"machines" json:"machines"`                 // reserved for control
}

// Failures describes the failures of an ordinary day and of the worst cases.
type Failures struct {
	MachinesPerDay     float64  `toml:"machines_per_day" json:"machines_per_day"`
	RestartsPerDay     float64  `toml:"restarts_per_day" json:"restarts_per_day"`
	RestartBurstFactor float64  `toml:"herd" json:"herd"` // multiple of the ordinary restart rate
	RegionPartition    Duration `toml:"region_cut" json:"region_cut"`
}

// AssumedValues holds values that are neither measured nor part of the requirements.
type AssumedValues struct {
	PolicyVoters   float64  `toml:"keepers" json:"keepers"`
	DocumentBytes  float64  `toml:"document_bytes" json:"document_bytes"`
	ListEntryBytes float64  `toml:"list_entry_bytes" json:"list_entry_bytes"`
	Replicas       float64  `toml:"copies" json:"copies"` // cache servers of a site that hold each object
	LongestFetch   Duration `toml:"longest_fetch" json:"longest_fetch"`
	NetworkDelay   Duration `toml:"network_delay" json:"network_delay"` // one way, between regions
}

const secondsPerDay = 24 * 60 * 60

// RoutersPerSite returns the mean number of routers per site.
func (t Target) RoutersPerSite() float64 { return t.Routers / t.Sites }

// CachesPerSite returns the mean number of cache servers per site.
func (t Target) CachesPerSite() float64 { return t.CacheServers / t.Sites }

// ChangesPerSecond returns the mean rate of configuration changes.
func (t Target) ChangesPerSecond() float64 { return t.Changes.PerDay / secondsPerDay }

// RestartsPerSecond returns the mean rate of router restarts on an ordinary day.
func (t Target) RestartsPerSecond() float64 { return t.Failures.RestartsPerDay / secondsPerDay }

// FieldError reports an invalid field of a file, and how to correct it.
type FieldError struct {
	File    string
	Line    int // 0: the error concerns the whole file
	Field   string
	Problem string
	Remedy  string
}

func (e FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s; %s", e.File, e.Field, e.Problem, e.Remedy)
	}
	return fmt.Sprintf("%s: line %d: %s: %s; %s", e.File, e.Line, e.Field, e.Problem, e.Remedy)
}

// ReadTarget decodes and validates the text of a target file; unknown fields are errors. Each error is a FieldError, or an error of
// package tomlfile that names the line, the field and the remedy.
func ReadTarget(file string, text []byte) (Target, error) {
	var t Target
	if err := tomlfile.Decode(text, &t, "docs/scale/target.toml"); err != nil {
		return Target{}, fmt.Errorf("%s: %w", file, err)
	}
	fieldLines := tomlfile.FieldLines(text)
	var wrong []error
	for _, c := range t.checks() {
		if c.failed {
			wrong = append(wrong, FieldError{file, fieldLines.Line(c.field), c.field, c.problem, c.remedy})
		}
	}
	return t, errors.Join(wrong...)
}

// fieldCheck is the result of one check of a field.
type fieldCheck struct {
	field, problem, remedy string
	failed                 bool
}

// checks returns the results of all checks of the target.
func (t Target) checks() []fieldCheck {
	const most = 1e18 // larger values lose precision as a float64, and no fleet reaches them
	positive := []struct {
		field string
		value float64
		whole bool
	}{
		{"routers", t.Routers, true}, {"sites", t.Sites, true}, {"regions", t.Regions, true}, {"zones", t.Zones, true},
		{"cache_servers", t.CacheServers, true}, {"requests_per_second", t.Requests, false}, {"bits_per_second", t.Bits, false},
		{"objects", t.Objects, true},
		{"purges.per_second", t.Purges.PerSecond, false}, {"purges.bytes", t.Purges.Bytes, true}, {"purges.within", t.Purges.Within.Seconds(), false},
		{"changes.per_day", t.Changes.PerDay, false}, {"changes.within", t.Changes.Within.Seconds(), false},
		{"control.core_share", t.Budget.CoreShare, false}, {"control.memory_bytes", t.Budget.MemoryBytes, false},
		{"control.bytes_per_second", t.Budget.BytesPerSecond, false}, {"control.machines", t.Budget.Machines, true},
		{"failures.machines_per_day", t.Failures.MachinesPerDay, false}, {"failures.restarts_per_day", t.Failures.RestartsPerDay, false},
		{"failures.herd", t.Failures.RestartBurstFactor, false}, {"failures.region_cut", t.Failures.RegionPartition.Seconds(), false},
		{"assumed.keepers", t.Assumptions.PolicyVoters, true}, {"assumed.document_bytes", t.Assumptions.DocumentBytes, false},
		{"assumed.list_entry_bytes", t.Assumptions.ListEntryBytes, false}, {"assumed.copies", t.Assumptions.Replicas, false},
		{"assumed.longest_fetch", t.Assumptions.LongestFetch.Seconds(), false}, {"assumed.network_delay", t.Assumptions.NetworkDelay.Seconds(), false},
	}
	var all []fieldCheck
	for _, p := range positive {
		usable := p.value > 0 && p.value < most
		all = append(all, fieldCheck{p.field, fmt.Sprintf("is %v", p.value), "give a number above 0", !usable})
		all = append(all, fieldCheck{p.field, fmt.Sprintf("is %v", p.value), "give a whole number", usable && p.whole && p.value != float64(int64(p.value))})
	}
	notOver := func(field string, value float64, other string, most float64) {
		what := fmt.Sprintf("is %v, more than %s, %v", value, other, most)
		all = append(all, fieldCheck{field, what, "correct one of them", value > most && most > 0})
	}
	notOver("sites", t.Sites, "routers", t.Routers)
	notOver("regions", t.Regions, "sites", t.Sites)
	notOver("zones", t.Zones, "sites", t.Sites)
	notOver("regions", t.Regions, "zones", t.Zones)
	notOver("assumed.copies", t.Assumptions.Replicas, "cache_servers", t.CacheServers)
	notOver("assumed.keepers", t.Assumptions.PolicyVoters, "control.machines", t.Budget.Machines)
	all = append(all, fieldCheck{"control.core_share", fmt.Sprintf("is %v", t.Budget.CoreShare), "give a share of one core, 1 at most", t.Budget.CoreShare > 1})
	all = append(all, fieldCheck{"failures.herd", fmt.Sprintf("is %v", t.Failures.RestartBurstFactor), "give a multiple of the ordinary pace, 1 or more", t.Failures.RestartBurstFactor > 0 && t.Failures.RestartBurstFactor < 1})
	return all
}
