// Package capacity works out what a fleet of a given size needs and what breaks first, from what scale runs measured, and
// writes it as a page. It does no I/O.
//
// The files: target.go the fleet that is asked about; measured.go the figures of scale runs and their slopes; wire.go the
// sizes of today's messages; today.go what today's mechanisms cost by count; design.go the mechanisms that are designed and
// not built; roles.go what each role needs; breaks.go what breaks first; page.go the page.
package capacity

import (
	"errors"
	"fmt"
	"time"

	"spurtrestle/internal/tomlfile"
)

// Span is a length of time, written as in "7.1s".
type Duration time.Duration

// UnmarshalText reads one.
func (s *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	*s = Duration(span)
	return err
}

// MarshalText writes one.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Seconds is the length in seconds.
func (s Duration) Seconds() float64 { return time.Duration(s).Seconds() }

func (s Duration) String() string { return time.Duration(s).String() }

// Target is the fleet that is asked about.
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

// Purges are objects that no cache server may give out any more.
type Purges struct {
	PerSecond float64  `toml:"per_second" json:"per_second"`
	Bytes     float64  `toml:"bytes" json:"bytes"` // that name one
	Within    Duration `toml:"within" json:"within"`
}

// Changes are those of configuration.
type Changes struct {
	PerDay float64  `toml:"per_day" json:"per_day"`
	Within Duration `toml:"within" json:"within"`
}

// Control is what may be spent on control.
type ControlBudget struct {
	CoreShare      float64 `toml:"core_share" json:"core_share"`             // of one core, by a router
	MemoryBytes    float64 `toml:"memory_bytes" json:"memory_bytes"`         // by a router
	BytesPerSecond float64 `toml:"bytes_per_second" json:"bytes_per_second"` // by a router, in and out together
	Machines       float64 `toml:"machines" json:"machines"`                 // set aside
}

// Failures are those of an ordinary day, and of a bad one.
type Failures struct {
	MachinesPerDay     float64  `toml:"machines_per_day" json:"machines_per_day"`
	RestartsPerDay     float64  `toml:"restarts_per_day" json:"restarts_per_day"`
	RestartBurstFactor float64  `toml:"herd" json:"herd"` // times that pace
	RegionPartition    Duration `toml:"region_cut" json:"region_cut"`
}

// Assumed is what is neither measured nor told.
type AssumedValues struct {
	PolicyVoters   float64  `toml:"keepers" json:"keepers"`
	DocumentBytes  float64  `toml:"document_bytes" json:"document_bytes"`
	ListEntryBytes float64  `toml:"list_entry_bytes" json:"list_entry_bytes"`
	Replicas       float64  `toml:"copies" json:"copies"` // cache servers of a site that hold an object
	LongestFetch   Duration `toml:"longest_fetch" json:"longest_fetch"`
	NetworkDelay   Duration `toml:"network_delay" json:"network_delay"` // one way, between regions
}

const secondsPerDay = 24 * 60 * 60

// RoutersPerSite is the mean.
func (t Target) RoutersPerSite() float64 { return t.Routers / t.Sites }

// CachesPerSite is the mean.
func (t Target) CachesPerSite() float64 { return t.CacheServers / t.Sites }

// ChangesPerSecond is the mean over a day.
func (t Target) ChangesPerSecond() float64 { return t.Changes.PerDay / secondsPerDay }

// RestartsPerSecond is the mean over an ordinary day.
func (t Target) RestartsPerSecond() float64 { return t.Failures.RestartsPerDay / secondsPerDay }

// FieldError names what is wrong in a file.
type FieldError struct {
	File    string
	Line    int // 0: of the whole file
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

// ReadTarget reads a target's file strictly. Errors are FieldErrors, or name line, field and remedy by themselves.
func ReadTarget(file string, text []byte) (Target, error) {
	var t Target
	if err := tomlfile.Decode(text, &t, "docs/scale/target.toml"); err != nil {
		return Target{}, fmt.Errorf("%s: %w", file, err)
	}
	places := tomlfile.FieldLines(text)
	var wrong []error
	for _, c := range t.checks() {
		if c.failed {
			wrong = append(wrong, FieldError{file, places.Line(c.field), c.field, c.problem, c.remedy})
		}
	}
	return t, errors.Join(wrong...)
}

type fieldCheck struct {
	field, problem, remedy string
	failed                 bool
}

// checks are all that a target is held to.
func (t Target) checks() []fieldCheck {
	const most = 1e18 // beyond it no fleet is, and figures lose their digits
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
