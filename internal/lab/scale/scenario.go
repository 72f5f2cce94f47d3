// Package scale measures the cost of membership per router as the fleet grows. It runs many hollow routers (the real membership
// protocol without client traffic) in a few worker processes on loopback, applies a fault, and measures bytes, messages, CPU,
// memory and the times until all views agree. cache-routerctl runs it, both as the parent and as the workers.
//
// The files: scenario.go, check.go and capacity.go read a scenario and reject what cannot be run; address.go assigns addresses;
// hollow.go is one hollow router; worker.go is a process with many of them, controlled by the messages of protocol.go;
// workers.go starts and stops the workers; trial.go runs one trial, faults.go its fault and realtrial.go its real routers, which
// real.go starts; rates.go and load.go compute its results; run.go runs a whole scenario; table.go prints the results.
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

// Span is a duration, written in a file as "250ms" or "1m30s".
type Span time.Duration

// UnmarshalText parses a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span; write it as \"250ms\", \"4s\" or \"1m30s\"", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText formats a span so that UnmarshalText can parse it.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Scenario describes a run: one trial for each fault, size and seed.
type Scenario struct {
	Title          string          `toml:"title"`
	Topology       result.Topology `toml:"topology"`
	Sizes          []int           `toml:"sizes"` // numbers of routers in the fleet
	Seeds          []uint64        `toml:"seeds"`
	RoutersPerSite int             `toml:"routers_per_site"`
	SitesPerRegion int             `toml:"sites_per_region"`
	Probe          Span            `toml:"probe"` // interval between two probes of a router
	Faults         []result.Fault  `toml:"faults"`
	Loss           float64         `toml:"loss"`       // share of packets lost under the faults loss and representative_killed
	Settle         Span            `toml:"settle"`     // timeout for all views to agree
	Calm           Span            `toml:"calm"`       // pause after that, before anything is measured
	Measure        Span            `toml:"measure"`    // duration of the measurement and of the fault
	Change         Span            `toml:"change"`     // timeout for a change to be known everywhere
	KillEvery      Span            `toml:"kill_every"` // interval between two kills of representatives
	BackAfter      Span            `toml:"back_after"` // from the kill of a router to its restart
	Processes      int             `toml:"processes"`  // maximum number of worker processes
	Starts         int             `toml:"starts"`     // routers that each worker starts concurrently
	Real           int             `toml:"real"`       // routers of each fleet that are processes of the router program
	Network        int             `toml:"network"`    // number of the network 127.NETWORK.0.0/16 to use; 0 for any free one
	Bound          Bound           `toml:"bound"`
}

// Bound holds the limits of a run at rest. A field that is zero sets no limit.
type Bound struct {
	// Slope is the greatest exponent of a router's bytes as a power of the fleet's size: 0 is constant, 1 proportional.
	Slope float64 `toml:"bytes_slope"`
	Bytes float64 `toml:"bytes_per_s"` // per router, sent and received together
	// Settled is the longest time from the last start until all routers know that their views agree.
	Settled Span `toml:"settled"`
}

// Default returns the scenario that an empty file describes.
func Default() Scenario {
	return Scenario{Topology: result.Flat, Seeds: []uint64{1}, RoutersPerSite: 18, SitesPerRegion: 18, Probe: Span(time.Second),
		Faults: []result.Fault{result.NoFault}, Loss: 0.02, Settle: Span(time.Minute), Calm: Span(5 * time.Second),
		Measure: Span(20 * time.Second),
		Change:  Span(30 * time.Second), KillEvery: Span(time.Second), BackAfter: Span(5 * time.Second), Processes: maxProcesses, Starts: 8}
}

// Read reads the file of a scenario. The error has one line for each problem.
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

// Parse parses the text of a scenario file.
func Parse(text []byte) (Scenario, error) {
	s := Default()
	if err := tomlfile.Decode(text, &s, "docs/scale.md"); err != nil {
		return s, err
	}
	return s, errors.Join(check(&s, tomlfile.FieldLines(text))...)
}

// sites and regions return how many of each a fleet with a number of routers has.
func (s Scenario) sites(routers int) int { return (routers + s.RoutersPerSite - 1) / s.RoutersPerSite }
func (s Scenario) regions(routers int) int {
	return (s.sites(routers) + s.SitesPerRegion - 1) / s.SitesPerRegion
}

// Part returns the scenario reduced to the given sizes, seeds and faults; an empty list keeps all. It returns an error if the
// scenario lacks one of them.
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
