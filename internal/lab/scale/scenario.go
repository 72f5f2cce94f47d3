// Package scale measures what membership costs a router as its fleet grows. It starts many hollow routers - the real
// membership without any client traffic - in a few worker processes on loopback, lets a fault strike, and counts bytes,
// messages, CPU, memory and the times until all agree.
//
// The files: scenario.go, check.go and capacity.go read a run's description and refuse what cannot be run; address.go says
// who listens where; hollow.go is one hollow router; worker.go is a process of them, which protocol.go's messages steer;
// workers.go starts and ends those; trial.go plays one trial, faults.go its fault and realtrial.go its real routers, which
// real.go starts; rates.go and load.go make its figures; run.go plays a whole scenario; table.go
// prints its result.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"spurtrestle/internal/scale/result"
	"spurtrestle/internal/tomlfile"
)

// Span is a length of time, in a file as in "250ms" or "1m30s".
type Span time.Duration

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span; write it as \"250ms\", \"4s\" or \"1m30s\"", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a span as it is read.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Scenario is a run: a trial for each fault, size and seed.
type Scenario struct {
	Title          string          `toml:"title"`
	Topology       result.Topology `toml:"topology"`
	Sizes          []int           `toml:"sizes"` // routers of a fleet
	Seeds          []uint64        `toml:"seeds"`
	RoutersPerSite int             `toml:"routers_per_site"`
	SitesPerRegion int             `toml:"sites_per_region"`
	Probe          Span            `toml:"probe"` // between two probes of a router
	Faults         []result.Fault  `toml:"faults"`
	Loss           float64         `toml:"loss"`       // share of all packets that is lost under loss and representative_killed
	Settle         Span            `toml:"settle"`     // at most, until all agree
	Calm           Span            `toml:"calm"`       // after that, before anything is measured
	Measure        Span            `toml:"measure"`    // that the rates are of, and that the fault strikes for
	Change         Span            `toml:"change"`     // at most, until a change is known everywhere
	KillEvery      Span            `toml:"kill_every"` // between two representatives killed
	BackAfter      Span            `toml:"back_after"` // from being killed to the next process of the router
	Processes      int             `toml:"processes"`  // at most
	Starts         int             `toml:"starts"`     // routers that each process starts at a time
	Real           int             `toml:"real"`       // routers of each fleet that are processes of the router's program
	Network        int             `toml:"network"`    // 127.NETWORK.0.0/16 is used; 0: one that is free
	Bound          Bound           `toml:"bound"`
}

// Bound is what a run must keep to at rest. A field that is zero bounds nothing.
type Bound struct {
	// Slope is the highest exponent of the bytes of a router over the size of the fleet: 0 is constant, 1 in proportion.
	Slope float64 `toml:"bytes_slope"`
	Bytes float64 `toml:"bytes_per_s"` // of a router, in and out together
	// Settled is the longest time from the last start until all routers know that they agree.
	Settled Span `toml:"settled"`
}

// Default is a scenario before its file is read.
func Default() Scenario {
	return Scenario{Topology: result.Flat, Seeds: []uint64{1}, RoutersPerSite: 18, SitesPerRegion: 18, Probe: Span(time.Second),
		Faults: []result.Fault{result.NoFault}, Loss: 0.02, Settle: Span(time.Minute), Calm: Span(5 * time.Second),
		Measure: Span(20 * time.Second),
		Change:  Span(30 * time.Second), KillEvery: Span(time.Second), BackAfter: Span(5 * time.Second), Processes: mostProcesses, Starts: 8}
}

// Read reads a scenario's file. The error has a line for each thing that is wrong.
func Read(file string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	s, err := Parse(text)
	if err == nil {
		return s, nil
	}
	var lines []error
	for _, e := range split(err) {
		lines = append(lines, fmt.Errorf("%s: %w", file, e))
	}
	return s, errors.Join(lines...)
}

func split(err error) []error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return []error{err}
}

// Parse reads the text of a scenario's file.
func Parse(text []byte) (Scenario, error) {
	s := Default()
	if err := tomlfile.Decode(text, &s, "docs/scale.md"); err != nil {
		return s, err
	}
	return s, errors.Join(check(&s, tomlfile.FieldLines(text))...)
}

// Sites and regions that a fleet of so many routers has.
func (s Scenario) sites(routers int) int { return (routers + s.RoutersPerSite - 1) / s.RoutersPerSite }
func (s Scenario) regions(routers int) int {
	return (s.sites(routers) + s.SitesPerRegion - 1) / s.SitesPerRegion
}

// Part is the scenario with these sizes, seeds and faults alone; none: with all. An error: the scenario does not have one.
func (s Scenario) Part(sizes []int, seeds []uint64, faults []result.Fault) (part Scenario, err error) {
	part = s
	if part.Sizes, err = chosen("sizes", sizes, s.Sizes); err != nil {
		return s, err
	}
	if part.Seeds, err = chosen("seeds", seeds, s.Seeds); err != nil {
		return s, err
	}
	if part.Faults, err = chosen("faults", faults, s.Faults); err != nil {
		return s, err
	}
	return part, nil
}

func chosen[T comparable](field string, choice, of []T) ([]T, error) {
	if len(choice) == 0 {
		return of, nil
	}
	for _, x := range choice {
		if !slices.Contains(of, x) {
			return nil, fmt.Errorf("%s: %v is none of the scenario's; choose of %v", field, x, of)
		}
	}
	return choice, nil
}
