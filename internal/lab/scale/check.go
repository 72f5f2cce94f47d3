package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spurtrestle/internal/configerror"
	"spurtrestle/internal/scale/result"
	"spurtrestle/internal/tomlfile"
)

const (
	maxProcesses = 8
	maxReal      = 32 // processes; as many again run with their fleet switched off
	maxSpan      = 10 * time.Minute
	minProbe     = 50 * time.Millisecond
)

var (
	topologies = []result.Topology{result.Flat, result.Tiered}
	faults     = []result.Fault{result.NoFault, result.PacketLoss, result.RegionPartition, result.Restarts, result.RestartsTenfold, result.RepresentativeKilled}
)

// checker collects the problems of a scenario with the lines of its file.
type checker struct {
	at       tomlfile.Lines
	problems []error
}

func (c *checker) require(ok bool, field, what, remedy string) {
	if !ok {
		c.problems = append(c.problems, &configerror.Error{Line: c.at.Line(field), Field: field, Problem: what, Remedy: remedy})
	}
}

func (c *checker) within(field string, x, lower, upper int) {
	c.require(x >= lower && x <= upper, field, fmt.Sprintf("%d is not from %d to %d", x, lower, upper),
		fmt.Sprintf("write a number from %d to %d", lower, upper))
}

func (c *checker) span(field string, s Span, lower time.Duration) {
	c.require(time.Duration(s) >= lower && time.Duration(s) <= maxSpan, field,
		fmt.Sprintf("%v is not from %v to %v", time.Duration(s), lower, maxSpan), fmt.Sprintf("write a span from %q to %q", lower, maxSpan))
}

func oneOf[T ~string](c *checker, field string, x T, of []T) {
	var names []string
	for _, o := range of {
		names = append(names, string(o))
	}
	c.require(slices.Contains(of, x), field, fmt.Sprintf("%q is not known", x), "write one of "+strings.Join(names, ", "))
}

// check returns everything that is wrong with a scenario, regardless of the machine.
func check(s *Scenario, at tomlfile.Lines) []error {
	c := &checker{at: at}
	c.require(s.Title != "", "title", "is missing", "name the run in a few words")
	oneOf(c, "topology", s.Topology, topologies)
	c.require(len(s.Sizes) > 0, "sizes", "is missing or empty: the run has no routers", "name one number of routers at least, as in sizes = [25, 50]")
	for i, n := range s.Sizes {
		field := fmt.Sprintf("sizes[%d]", i)
		c.require(n > 0, field, fmt.Sprintf("%d routers are no fleet", n), "write a number above zero")
		c.require(n <= maxAddresses, field, fmt.Sprintf("%d routers do not fit into one loopback network", n),
			fmt.Sprintf("write %d at most", maxAddresses))
	}
	c.require(len(s.Seeds) > 0, "seeds", "is empty", "name one seed at least, as in seeds = [1]")
	c.within("routers_per_site", s.RoutersPerSite, 1, 1000)
	c.within("sites_per_region", s.SitesPerRegion, 1, 1000)
	c.within("processes", s.Processes, 1, maxProcesses)
	c.within("starts", s.Starts, 1, 64)
	c.real(s)
	c.require(s.Network == 0 || s.Network >= firstNetwork && s.Network < firstNetwork+networkCount, "network",
		fmt.Sprintf("%d is no network of the harness", s.Network), fmt.Sprintf("write a number from %d to %d, or leave it out", firstNetwork, firstNetwork+networkCount-1))
	c.require(s.Loss >= 0 && s.Loss < 1, "loss", fmt.Sprintf("%v is no share of packets", s.Loss), "write a number from 0 to below 1")
	c.span("probe", s.Probe, minProbe)
	c.span("settle", s.Settle, time.Second)
	c.span("calm", s.Calm, 0)
	c.span("measure", s.Measure, time.Second)
	c.span("change", s.Change, time.Second)
	c.span("kill_every", s.KillEvery, 100*time.Millisecond)
	c.span("back_after", s.BackAfter, 100*time.Millisecond)
	c.faults(s)
	c.require(s.Bound.Slope >= 0, "bound.bytes_slope", "is below zero", "write a number above zero, or leave it out")
	c.require(s.Bound.Slope == 0 || len(s.Sizes) >= 3, "bound.bytes_slope", "no slope follows from less than three sizes", "name three sizes, or leave it out")
	c.require(s.Bound.Settled >= 0 && s.Bound.Settled <= s.Settle, "bound.settled", "is below zero or longer than settle, for which a trial waits",
		"write a span up to settle, or leave it out")
	c.require(s.Bound.Bytes >= 0, "bound.bytes_per_s", "is below zero", "write a number above zero, or leave it out")
	return c.problems
}

// faultsOfReal are the faults that do not affect links, since the harness cannot impair the links of real processes.
var faultsOfReal = []result.Fault{result.NoFault, result.Restarts, result.RestartsTenfold}

func (c *checker) real(s *Scenario) {
	c.within("real", s.Real, 0, maxReal)
	if s.Real == 0 {
		return
	}
	for i, n := range s.Sizes {
		c.require(n > s.Real, fmt.Sprintf("sizes[%d]", i), fmt.Sprintf("%d routers are no more than the %d real ones", n, s.Real),
			"write a larger size, or fewer real routers")
	}
	for i, f := range s.Faults {
		c.require(slices.Contains(faultsOfReal, f), fmt.Sprintf("faults[%d]", i), fmt.Sprintf("%q strikes links, and those of real routers cannot be struck", f),
			"leave real out, or write another fault")
	}
}

func (c *checker) faults(s *Scenario) {
	c.require(len(s.Faults) > 0, "faults", "is empty", `name one, as in faults = ["rest"]`)
	for i, f := range s.Faults {
		field := fmt.Sprintf("faults[%d]", i)
		oneOf(c, field, f, faults)
		c.require(f != result.RepresentativeKilled || s.Topology == result.Tiered, field, "a flat fleet has no representatives", `write topology = "tiered", or another fault`)
		for _, n := range s.Sizes {
			c.require(f != result.RegionPartition || s.regions(max(1, n)) > 1, field, fmt.Sprintf("%d routers are one region", n),
				"write fewer routers_per_site or sites_per_region, or larger sizes")
		}
	}
}
