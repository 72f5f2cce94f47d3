package scale

import (
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/scale/result"
)

func TestParse_ErrorNamesLineFieldAndRemedy(t *testing.T) {
	const good = "title = \"x\"\nsizes = [12, 25, 50]\n"
	for name, c := range map[string]struct{ text, want string }{
		"no routers":          {"title = \"x\"\n", "line 1: sizes: is missing or empty: the run has no routers; name one number"},
		"an empty fleet":      {"title = \"x\"\nsizes = [12, 0]\n", "line 2: sizes[1]: 0 routers are no fleet; write a number above zero"},
		"unknown field":       {good + "colour = 1\n", "line 3: colour: is no field here; see docs/scale.md"},
		"unknown topology":    {good + "topology = \"round\"\n", "line 3: topology: \"round\" is not known; write one of flat, tiered"},
		"unknown fault":       {good + "faults = [\"rain\"]\n", "line 3: faults[0]: \"rain\" is not known; write one of rest, loss"},
		"no representative":   {good + "faults = [\"representative_killed\"]\n", "line 3: faults[0]: a flat fleet has no representatives; write topology"},
		"one region":          {good + "faults = [\"region_cut\"]\n", "line 3: faults[0]: 12 routers are one region; write fewer routers_per_site"},
		"loss of all":         {good + "loss = 1.0\n", "line 3: loss: 1 is no share of packets; write a number from 0 to below 1"},
		"no span":             {good + "settle = \"long\"\n", "line 3: settle"},
		"too long":            {good + "measure = \"1h\"\n", "line 3: measure: 1h0m0s is not from 1s to 10m0s; write a span"},
		"too many processes":  {good + "processes = 99\n", "line 3: processes: 99 is not from 1 to 8; write a number from 1 to 8"},
		"nothing starts":      {good + "starts = 0\n", "line 3: starts: 0 is not from 1 to 64; write a number from 1 to 64"},
		"network of others":   {good + "network = 130\n", "line 3: network: 130 is no network of the harness; write a number from 70 to 109"},
		"too large":           {"title = \"x\"\nsizes = [99000]\n", "line 2: sizes[0]: 99000 routers do not fit into one loopback network"},
		"a bound never seen":  {good + "[bound]\nsettled = \"2m\"\n", "line 4: bound.settled: is below zero or longer than settle"},
		"all real":            {good + "real = 12\n", "line 2: sizes[0]: 12 routers are no more than the 12 real ones; write a larger size"},
		"too many real":       {good + "real = 33\n", "line 3: real: 33 is not from 0 to 32"},
		"links of real":       {"title = \"x\"\nsizes = [36]\nreal = 2\nfaults = [\"loss\"]\n", "line 4: faults[0]: \"loss\" strikes links, and those of real routers"},
		"slope of two points": {"title = \"x\"\nsizes = [1, 2]\n[bound]\nbytes_slope = 0.1\n", "line 4: bound.bytes_slope: no slope follows from less than three sizes"},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
	if _, err := Parse([]byte(good)); err != nil {
		t.Error(err)
	}
}

func TestPublishedScenariosAreValid(t *testing.T) {
	for _, name := range []string{"quick", "flat", "tiered", "tiered-faults", "flat-faults", "tiered-region-cut", "real"} {
		if _, err := Read("../../../lab/scale/" + name + ".toml"); err != nil {
			t.Error(err)
		}
	}
}

func TestFits_RejectsScenariosTooLargeForTheMachine(t *testing.T) {
	s := Default()
	s.Sizes = []int{50, 800}
	err := s.Fits(Machine{Memory: 24 << 30, Files: 20000})
	if err == nil || !strings.Contains(err.Error(), "sizes[1]: 800 flat routers need some") {
		t.Errorf("memory: %v", err)
	}
	s.Topology, s.Sizes, s.Real = result.Tiered, []int{50}, 8
	if err = s.Fits(Machine{Memory: 1 << 30, Files: 20000}); err == nil {
		t.Error("sixteen real processes were accepted with half a GiB of memory")
	}
	s.Sizes, s.Real = []int{3200}, 0
	if err := s.Fits(Machine{Memory: 24 << 30, Files: 20000}); err != nil {
		t.Error(err)
	}
	if err = s.Fits(Machine{Memory: 24 << 30, Files: 1024}); err == nil || !strings.Contains(err.Error(), "open files in each, and the limit is 1024") {
		t.Errorf("files: %v", err)
	}
}

func TestPart_RejectsUnknownValues(t *testing.T) {
	s := Default()
	s.Sizes, s.Seeds = []int{12, 25}, []uint64{1, 2}
	part, err := s.Part([]int{25}, []uint64{2}, nil)
	if err != nil || len(part.plans()) != 1 || part.plans()[0] != (plan{result.NoFault, 25, 2}) {
		t.Errorf("%v, %v", part.plans(), err)
	}
	if _, err := s.Part([]int{26}, nil, nil); err == nil {
		t.Error("a size that the scenario does not have was accepted")
	}
	if _, err := s.Part(nil, nil, []result.Fault{result.PacketLoss}); err == nil {
		t.Error("a fault that the scenario does not have was accepted")
	}
}

// Constant traffic per router satisfies the bound on the slope; traffic in proportion to the size does not.
func TestKept_ChecksEachBound(t *testing.T) {
	s := Default()
	s.Sizes, s.Bound = []int{10, 20, 40}, Bound{Slope: 0.2, Bytes: 2000, Settled: Span(10 * time.Second)}
	settled, late := 8.0, 12.0
	trials := func(bytes ...float64) (all []result.Trial) {
		for i, b := range bytes {
			all = append(all, result.Trial{Fault: result.NoFault, Routers: s.Sizes[i], PerRouter: result.Usage{BytesIn: b / 2, BytesOut: b / 2}, ConvergenceKnownTime: &settled})
		}
		return all
	}
	if err := s.Kept(trials(1000, 1010, 990)); err != nil {
		t.Error(err)
	}
	unsettled, slow := trials(1000, 1000, 1000), trials(1000, 1000, 1000)
	unsettled[1].ConvergenceKnownTime, slow[1].ConvergenceKnownTime = nil, &late
	for _, c := range []struct {
		trials []result.Trial
		want   string
	}{
		{trials(100, 200, 400), "to the power of 1.00, and 0.20 was allowed"},
		{trials(100, 200, 2400), "a router of 40 used 2400 B/s, and 2000 were allowed"},
		{unsettled, "20 routers settled in: never, and 10s was allowed"},
		{slow, "20 routers settled in: 12.0 s, and 10s was allowed"},
		{trials(100, 100), "2 of 3 sizes were measured"},
	} {
		if err := s.Kept(c.trials); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got %v, want %s", err, c.want)
		}
	}
}
