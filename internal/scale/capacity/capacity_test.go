package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spurtrestle/core/clock"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/scale/leader"
	"spurtrestle/internal/scale/result"
	"spurtrestle/internal/scale/slope"
)

const (
	targetFile = "../../../docs/scale/target.toml"
	pageFile   = "../../../docs/CAPACITY.md"
	leaderFile = "../../../docs/scale/leader/leader.json"
)

// runFiles are what the page follows from; trials beside other work on the machine are not.
var runFiles = []string{"../../../docs/scale/flat.json", "../../../docs/scale/tiered.json", "../../../docs/scale/tiered-faults.json",
	"../../../docs/scale/real.json"}

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func ourTarget(t *testing.T) Target {
	t.Helper()
	target, err := ReadTarget(targetFile, []byte(read(t, targetFile)))
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// ourLeader is nil where nothing was measured.
func ourLeader(t *testing.T) *LeaderSlopes {
	t.Helper()
	if _, err := os.Stat(leaderFile); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	f, err := DecodeLeader(leaderFile, []byte(read(t, leaderFile)))
	if err != nil {
		t.Fatal(err)
	}
	return FitLeader(filepath.Base(leaderFile), &f)
}

// The page in the repository is what its target and its runs give.
func TestPageFollowsFromItsFigures(t *testing.T) {
	var measured []Measured
	for _, file := range runFiles {
		m, err := DecodeMeasured(file, []byte(read(t, file)))
		if err != nil {
			t.Fatal(err)
		}
		m.Name = filepath.Base(file)
		measured = append(measured, m)
	}
	want, err := Page(Work(ourTarget(t), measured, ourLeader(t)))
	if err != nil {
		t.Fatal(err)
	}
	if err := Check("docs/CAPACITY.md", read(t, pageFile), want); err != nil {
		t.Fatal(err)
	}
}

func TestStalePageIsFound(t *testing.T) {
	target := ourTarget(t)
	before, err := Page(Work(target, nil, nil))
	if err != nil {
		t.Fatal(err)
	}
	if err := Check("p", before, before); err != nil {
		t.Error(err)
	}
	target.Purges.PerSecond++
	after, err := Page(Work(target, nil, nil))
	if err != nil {
		t.Fatal(err)
	}
	var stale StaleError
	if err := Check("p", before, after); !errors.As(err, &stale) || !strings.Contains(stale.Want, "421/s") {
		t.Error("another target:", err)
	}
	if err := Check("p", before[:len(before)-20], before); !errors.As(err, &stale) {
		t.Error("cut short:", err)
	}
	if err := Check("p", before+"more\n", before); !errors.As(err, &stale) {
		t.Error("longer:", err)
	}
}

func TestWrongTargetsAreRefused(t *testing.T) {
	whole := read(t, targetFile)
	for _, c := range []struct{ old, new, field, remedy string }{
		{"routers = 14_000", "routers = 0", "routers", "give a number above 0"},
		{"routers = 14_000", "", "routers", "give a number above 0"},
		{"routers = 14_000", "routers = -3", "routers", "give a number above 0"},
		{"routers = 14_000", "routers = 1.5", "routers", "give a whole number"},
		{"routers = 14_000", "routers = nan", "routers", "give a number above 0"},
		{"routers = 14_000", "routers = inf", "routers", "give a number above 0"},
		{"routers = 14_000", "routers = 700", "sites", "correct one of them"},
		{"routers = 14_000", "router = 14_000", "router", "see docs/scale/target.toml for all fields"},
		{"sites = 760", "sites = 0", "sites", "give a number above 0"},
		{"core_share = 0.02", "core_share = 2.0", "control.core_share", "1 at most"},
		{"herd = 10 ", "herd = 0.5 ", "failures.herd", "1 or more"},
		{`within = "7.1s"`, `within = "soon"`, "purges.within", "correct this line"},
		{`within = "7.1s"`, `within = "0s"`, "purges.within", "give a number above 0"},
		{"machines = 28", "machines = 2", "assumed.keepers", "correct one of them"},
	} {
		text := strings.Replace(whole, c.old, c.new, 1)
		if text == whole {
			t.Fatalf("%q is not in the file", c.old)
		}
		_, err := ReadTarget("fleet.toml", []byte(text))
		if err == nil {
			t.Errorf("%q: taken", c.new)
			continue
		}
		for _, part := range []string{"fleet.toml", "line ", c.field, c.remedy} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%q: %v: no %q in it", c.new, err, part)
			}
		}
	}
}

func TestWrongResultsAreRefused(t *testing.T) {
	for text, field := range map[string]string{
		``:                           "the file",
		`{"format":2,"trials":[{}]}`: "format",
		`{"format":1}`:               "trials",
		`{"format":1,"colour":2}`:    "the file",
		`{"format":1,"trials":[{"topology":"flat"}]}`:              "trials[0].routers",
		`{"format":1,"trials":[{"topology":"ring","routers":50}]}`: "trials[0].topology",
	} {
		_, err := DecodeMeasured("runs.json", []byte(text))
		var wrong FieldError
		if !errors.As(err, &wrong) || wrong.File != "runs.json" || wrong.Field != field || wrong.Remedy == "" {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Whatever fleet is asked about, a page is written, and no figure of it is not a number.
func TestAnyTargetHasAPage(t *testing.T) {
	ours := ourTarget(t)
	rapid.Check(t, func(t *rapid.T) {
		target := ours
		target.Routers = float64(rapid.IntRange(1, 1_000_000).Draw(t, "routers"))
		target.Sites = float64(rapid.IntRange(1, int(target.Routers)).Draw(t, "sites"))
		target.Zones = float64(rapid.IntRange(1, int(target.Sites)).Draw(t, "zones"))
		target.Regions = float64(rapid.IntRange(1, int(target.Zones)).Draw(t, "regions"))
		target.CacheServers = float64(rapid.IntRange(int(target.Assumed.Copies), 100_000).Draw(t, "cache servers"))
		target.Purges.PerSecond = rapid.Float64Range(0.001, 1e6).Draw(t, "purges")
		target.Changes.PerDay = rapid.Float64Range(0.001, 1e6).Draw(t, "changes")
		target.Control.Machines = float64(rapid.IntRange(int(target.Assumed.Keepers), 1000).Draw(t, "machines"))
		for _, c := range target.checks() {
			if c.wrong {
				t.Fatalf("%s %s", c.field, c.what)
			}
		}
		page, err := Page(Work(target, nil, nil))
		if err != nil {
			t.Fatal(err)
		}
		for _, odd := range []string{"NaN", "Inf", "<nil>", "%!", "<no value>"} {
			if strings.Contains(page, odd) {
				t.Fatalf("%q in the page", odd)
			}
		}
	})
}

// made are trials by a rule: bytes of a router by its fleet's size.
func made(topology result.Topology, fault result.Fault, sizes []int, bytes func(size float64, seed int) float64) (all []result.Trial) {
	for _, size := range sizes {
		for seed := 1; seed <= 3; seed++ {
			b := bytes(float64(size), seed)
			settled, change := 5.0, 1.0
			all = append(all, result.Trial{Topology: topology, Fault: fault, Seed: uint64(seed), Routers: size, Sites: size / 10, ProbeInterval: 1,
				PerRouter: result.Usage{BytesIn: b / 2, BytesOut: b / 2, CPU: 0.001, Memory: 1e6}, Busiest: result.Usage{BytesOut: 2 * b},
				Mechanisms: []result.Mechanism{{Name: "probe", Bytes: b}}, ConvergenceTime: &settled, PropagationTime: &change})
		}
	}
	return all
}

var (
	manySizes = []int{50, 100, 200, 400, 800, 1600}
	fewSizes  = []int{50, 100, 200}
)

func linear(size float64, seed int) float64 { return (100 + 2*size) * (1 + 0.01*float64(seed-2)) }

func TestEstimatesSayWhatTheyRestOn(t *testing.T) {
	target := ourTarget(t)
	target.Routers = 3200
	evidence := Gather([]Measured{{Name: "made.json", File: result.File{Trials: append(made(result.Flat, result.NoFault, manySizes, linear),
		made(result.Tiered, result.NoFault, fewSizes, linear)...)}}})

	e := predicted(evidence, target, Key{result.Flat, result.NoFault, FigureBytes})
	if e.Basis != Extrapolated || e.Factor != 2 || math.Abs(e.Value-6500) > 65 || e.Low >= 6500 || e.High <= 6500 {
		t.Errorf("%+v", e)
	}
	target.Routers = 1000
	if e := predicted(evidence, target, Key{result.Flat, result.NoFault, FigureBytes}); e.Basis != FromRuns {
		t.Errorf("%+v", e)
	}
	if e := predicted(evidence, target, Key{result.Tiered, result.NoFault, FigureBytes}); e.Basis != Missing || !strings.Contains(e.Note, "3 sizes over a factor of 4") {
		t.Errorf("%+v", e)
	}
	if e := predicted(evidence, target, Key{result.Flat, result.RegionPartition, FigureBytes}); e.Basis != Missing || e.Note != "no trial" {
		t.Errorf("%+v", e)
	}
	both := sum(counted(100, BytesPerSecond, ""), predicted(evidence, target, Key{result.Flat, result.NoFault, FigureBytes}))
	if both.Basis != FromRuns || math.Abs(both.Value-2200) > 25 {
		t.Errorf("%+v", both)
	}
	if e := sum(counted(100, BytesPerSecond, ""), missing("")); e.Basis != Missing {
		t.Errorf("%+v", e)
	}
}

func TestTrialsThatCountForNothing(t *testing.T) {
	trials := made(result.Flat, result.NoFault, manySizes, linear)
	trials[4].ConvergenceTime = nil
	trials[5].Incomplete = "it was interrupted"
	evidence := Gather([]Measured{{File: result.File{Trials: trials}}})
	if len(evidence.Incomplete) != 1 || evidence.Incomplete[0].Why != "it was interrupted" || evidence.Incomplete[0].Routers != 100 {
		t.Errorf("%+v", evidence.Incomplete)
	}
	settled := evidence.Of(Key{result.Flat, result.NoFault, FigureSettled})
	if settled.Choice != nil || settled.Absent != 1 || settled.AbsentN != 100 {
		t.Errorf("fitted, with a fleet left out that never settled: %+v", settled)
	}
	if bytes := evidence.Of(Key{result.Flat, result.NoFault, FigureBytes}); len(bytes.Points) != len(trials)-1 || bytes.Choice == nil || bytes.Choice.Form != slope.Linear {
		t.Errorf("%+v", bytes)
	}
}

func TestWhatBreaksFirst(t *testing.T) {
	target := ourTarget(t)
	steep := func(size float64, seed int) float64 { return linear(size, seed) / 2 }
	evidence := Gather([]Measured{{File: result.File{Trials: made(result.Flat, result.NoFault, manySizes, steep)}}})
	flat := breaks(target, evidence, today(target, nil), nil)[0].All
	want := []struct {
		what string
		size float64
	}{
		{"bytes of the router with the most", 950}, {"bytes of a router", 1950},
		{"a full state is longer than a router takes, and is dropped whole", mostWords + 1},
	}
	for i, w := range want {
		if flat[i].What != w.what || math.Abs(flat[i].Size-w.size) > w.size/50 {
			t.Errorf("%d: %+v", i, flat[i])
		}
	}
	if flat[1].Basis != Extrapolated || math.Abs(flat[1].Factor-1950.0/1600) > 0.05 || flat[0].Basis != FromRuns {
		t.Errorf("%+v %+v", flat[0], flat[1])
	}
	for _, b := range flat[3:] {
		if b.Size != 0 {
			t.Errorf("%+v is reached", b)
		}
	}
}

// Too few sizes for a form, and yet over the limit.
func TestBreakWithoutAForm(t *testing.T) {
	target := ourTarget(t)
	steep := func(size float64, seed int) float64 {
		if size == 50 && seed == 1 {
			return 1999 // one seed keeps within it
		}
		return 2001
	}
	evidence := Gather([]Measured{{File: result.File{Trials: made(result.Flat, result.NoFault, fewSizes, steep)}}})
	b := measuredBreak(evidence, Key{result.Flat, result.NoFault, FigureBytes}, "bytes", target.Control.BytesPerSecond)
	if b.Size != 100 || b.Basis != FromRuns || !strings.Contains(b.From, "not fitted") {
		t.Errorf("%+v", b)
	}
	if b := measuredBreak(evidence, Key{result.Flat, result.NoFault, FigureMemory}, "memory", target.Control.MemoryBytes); b.Size != 0 || b.Basis != Missing {
		t.Errorf("%+v", b)
	}
}

func TestFirstOfAllParts(t *testing.T) {
	a := Breaks{All: []Break{{What: "c", Size: 30}, {What: "unknown"}}}
	b := Breaks{All: []Break{{What: "a", Size: 1}, {What: "b", Size: 2}, {What: "never"}}}
	got := ""
	for _, x := range first(a, b) {
		got += x.What
	}
	if got != "abc" {
		t.Error(got)
	}
}

func TestShareOfTheWorst(t *testing.T) {
	r := Row{Ordinary: counted(10, Bytes, ""), Herd: Estimate{Basis: FromRuns, Value: 20, High: 90}, Cut: missing("")}
	if got := share(r); got != "-" {
		t.Error(got)
	}
	if got := share(r.within(100, Bytes)); got != "20%, up to 90%" {
		t.Error(got)
	}
	if got := share(Row{Ordinary: missing(""), Herd: missing(""), Cut: missing("")}.within(100, Bytes)); got != "-" {
		t.Error(got)
	}
}

func TestLargestSizeHeld(t *testing.T) {
	target := ourTarget(t)
	for _, c := range []struct {
		bytes func(float64, int) float64
		size  int
	}{
		{linear, 800}, // 1700 there, and 3300 at the next
		{func(float64, int) float64 { return 3000 }, 0},
		{func(float64, int) float64 { return 1000 }, 1600},
		{func(size float64, seed int) float64 { // one seed of one size is over
			if size == 200 && seed == 2 {
				return 2001
			}
			return 1000
		}, 100},
	} {
		report := Work(target, []Measured{{File: result.File{Trials: made(result.Flat, result.NoFault, manySizes, c.bytes)}}}, nil)
		if len(report.Held) != 1 || report.Held[0].Size != c.size || report.Held[0].Largest != 1600 {
			t.Errorf("%+v, want %d", report.Held, c.size)
		}
	}
}

// What is counted for mechanisms of today rests on limits that stand in their code, unexported.
func TestLimitsStandInTheCode(t *testing.T) {
	for file, lines := range map[string][]string{
		"../../controlplane/leader_loop.go":              {fmt.Sprintf(`maxQueuedRenewals += %d\b`, mostAskings), fmt.Sprintf(`leaderInterval += %d \* time\.Millisecond`, int(leaderRest*1e3)), `time\.After\(leaderInterval\)`, `>= maxQueuedRenewals\b`},
		"../../gossip/codec.go":                          {fmt.Sprintf(`maxStateHeartbeats = %d\b`, mostWords)},
		"../../gossip/shares.go":                         {fmt.Sprintf(`maxQueuedLeaseReplies = %d\b`, mostAnswers)},
		"../../gossip/memberlist.go":                     {fmt.Sprintf(`handoffQueueDepth = %d\b`, handoffQueue), `HandoffQueueDepth = handoffQueueDepth\b`, `gossipsPerProbe += 5\b`},
		"../../gossip/tick.go":                           {fmt.Sprintf(`maxTickInterval += %d \* time\.Millisecond`, int(peersStep*1e3)), `return min\(n\.gossipInterval\(\), maxTickInterval\)`},
		"../../config/limits.go":                         {fmt.Sprintf(`watchTimeoutPolled += %d \* clock\.Second\n`, int(watchWait)), fmt.Sprintf(`watchTimeoutPushed += %d \* clock\.Second\n`, int(watchWaitPush)), `if polled \{\s+l\.WatchTimeout = watchTimeoutPolled\n`, `return\s+\}\s+l\.WatchTimeout = watchTimeoutPushed\n`},
		"../../../docs/operating.md":                     {fmt.Sprintf(`Values over %d KiB, up to %d MiB`, bigValue>>10, largestValue>>20)},
		"../../../internal/controlplane/raft_replica.go": {`r\.state\.Clone\(\)`},
	} {
		text := read(t, file)
		for _, line := range lines {
			if !regexp.MustCompile(line).MatchString(text) {
				t.Errorf("%s has no %s any more: count its mechanism anew", file, line)
			}
		}
	}
	if sharelease.DefaultTiming().RetryInterval != lendingAsk*microseconds {
		t.Error("lending asks by another span")
	}
}

func TestSourceTellsBuildsAndOtherLoad(t *testing.T) {
	half, none := 0.5, 0.0
	file := Measured{Name: "a.json", File: result.File{Build: "new", Trials: []result.Trial{
		{Routers: 1, Build: "old", OtherLoad: &half}, {Routers: 2, OtherLoad: &none}, {Routers: 3, Build: "old", OtherLoad: &none}}}}
	if s := source(file); s.Build != "old, new" || s.Others != "0.50" {
		t.Errorf("%+v", s)
	}
	file.Trials[0].OtherLoad = nil
	if s := source(file); s.Others != "0.00; not recorded in 1" {
		t.Errorf("%+v", s)
	}
	file.Trials = file.Trials[:1]
	if s := source(file); s.Others != "not recorded" {
		t.Errorf("%+v", s)
	}
}

// Hollow routers beside real ones are no further seed of fleets of hollow ones alone.
func TestRealRoutersStandApart(t *testing.T) {
	hollow := made(result.Tiered, result.NoFault, manySizes, func(float64, int) float64 { return 600 })
	beside := result.Trial{Topology: result.Tiered, Fault: result.NoFault, Routers: 100, PerRouter: result.Usage{BytesIn: 300, BytesOut: 300},
		Real: &result.RealRouters{Routers: 8, PerRouter: result.Usage{BytesIn: 310, BytesOut: 310, CPU: 0.004, Memory: 9e6}, WithoutFleet: result.Usage{CPU: 0.001, Memory: 7e6}}}
	target := ourTarget(t)
	alone := Work(target, []Measured{{File: result.File{Trials: hollow}}}, nil)
	both := Work(target, []Measured{{File: result.File{Trials: append(hollow, beside)}}}, nil)
	if len(both.Real) != 1 || both.Real[0].Processes != 8 || both.Real[0].Bytes.Value != 620 || both.Real[0].Memory.Value != 2e6 {
		t.Fatalf("%+v", both.Real)
	}
	for i, row := range alone.Sizes {
		if both.Sizes[i] != row {
			t.Errorf("%+v became %+v", row, both.Sizes[i])
		}
	}
	page, err := Page(both)
	if err != nil || !strings.Contains(page, "| tiered | 100 | 8 | 620 B/s") {
		t.Errorf("%v, %s", err, page)
	}
}

func TestAskingsOfAHolder(t *testing.T) {
	for _, c := range []struct {
		delay                clock.Time
		least, most, covered float64
	}{
		{1_000, 5, 5, 1},      // each 0.2 s, as it should
		{40_000, 5, 5, 1},     // answered before it is asked again
		{600_000, 6, 16, 1},   // asked again while the answer is on its way
		{2_000_000, 5, 17, 0}, // later than the lease
	} {
		perSecond, covered := playAskings(c.delay)
		if perSecond < c.least || perSecond > c.most || covered != c.covered {
			t.Errorf("after %d us: %v askings a second, %v covered", c.delay, perSecond, covered)
		}
	}
}

func TestGrantsThroughRepresentatives(t *testing.T) {
	target := ourTarget(t)
	now := today(target, nil)
	g := grants(target, now)
	if g.Chosen == nil || !g.Chosen.Fits || g.Chosen.Leader >= now.Near.Leader {
		t.Fatalf("%+v", g)
	}
	one, two := throughRepresentatives(target, 3, 1), throughRepresentatives(target, 3, 2)
	if two.Busiest >= one.Busiest || two.Leader != 2*one.Leader || two.Router != one.Router {
		t.Errorf("%+v %+v", one, two)
	}
	target.Control.BytesPerSecond = 1
	if g := grants(target, now); g.Chosen != nil || g.KeepsOne != nil {
		t.Errorf("something fits into a byte: %+v", g)
	}
}

func TestPurgesAreSharedOut(t *testing.T) {
	target := ourTarget(t)
	p := purging(target, 1800)
	all, one := p.Options[0], *p.Chosen
	if all.Fits || !one.Fits || all.Heard < target.Purges.PerSecond*target.Purges.Bytes {
		t.Errorf("%+v\n%+v", all, one)
	}
	if want := all.Heard / (target.RoutersPerSite() - membershipRepresentatives); math.Abs(one.Heard-want) > 1 {
		t.Errorf("%v heard, want %v", one.Heard, want)
	}
	if one.Smallest < 2 || one.Smallest > target.RoutersPerSite() {
		t.Errorf("smallest site %v", one.Smallest)
	}
	total := 0.0
	for _, s := range p.Steps {
		total += s.Seconds
	}
	if p.Seconds != total || p.Within != (total <= 7.1) {
		t.Errorf("%+v", p)
	}
	if p.Missed != 420*3600 || p.MissedBytes != 420*3600*20 {
		t.Errorf("missed %v, %v bytes", p.Missed, p.MissedBytes)
	}
}

func TestBudgetOfARouter(t *testing.T) {
	target := ourTarget(t)
	g, p := grants(target, today(target, nil)), purging(target, 1800)
	b := budget(target, g, p, counted(600, BytesPerSecond, ""), counted(1200, BytesPerSecond, ""))
	documents := documentsOnce(target)
	for _, c := range []struct {
		name string
		got  Estimate
		want float64
	}{
		{"router", b.All.Router, 600 + g.Chosen.Router + documents + p.Chosen.Control},
		{"membership's", b.All.Membership, 1200 + g.Chosen.Router + documents},
		{"policy's", b.All.Policy, 600 + g.Chosen.Busiest + documents + p.Chosen.Control},
	} {
		if math.Abs(c.got.Value-c.want) > 0.01 {
			t.Errorf("%s: %v, want %v", c.name, c.got.Value, c.want)
		}
	}
	if b := budget(target, g, p, missing("no trial"), missing("no trial")); b.All.Router.Basis != Missing {
		t.Errorf("%+v", b.All)
	}
}

func TestTimeInQueue(t *testing.T) {
	if got := timeInQueue(2, 0.25); got != 3 { // half busy: the wait is half of the service
		t.Error(got)
	}
	if got := timeInQueue(5, 0.2); got != -1 {
		t.Error(got)
	}
}

func TestShowBetween(t *testing.T) {
	for _, c := range []struct {
		value, low, high float64
		unit             Unit
		want             string
	}{
		{1500, 1200, 1800, BytesPerSecond, "1.5 KB/s (1.2 to 1.8)"},
		{1500, 900, 1800, BytesPerSecond, "1.5 KB/s (900 B/s to 1.8 KB/s)"},
		{0.01, 0.009, 0.011, Cores, "1% of a core (0.9 to 1.1)"},
		{14, 13, 15000, Number, "14 (13 to 15,000)"},
	} {
		if got := showBetween(c.value, c.low, c.high, c.unit); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}

func TestShow(t *testing.T) {
	for _, c := range []struct {
		value float64
		unit  Unit
		want  string
	}{
		{2000, BytesPerSecond, "2 KB/s"}, {999.9, BytesPerSecond, "1 KB/s"}, {0, BytesPerSecond, "0 B/s"}, {13456, BytesPerSecond, "13.5 KB/s"},
		{50e12, BitsPerSecond, "50 Tbit/s"}, {0.0123, Cores, "1.23% of a core"}, {32e6, Bytes, "32 MB"},
		{0.00001428, Seconds, "14.3 us"}, {0.2, Seconds, "200 ms"}, {7.1, Seconds, "7.1 s"}, {3600, Seconds, "60 min"}, {86400, Seconds, "24 h"},
		{14000, Number, "14,000"}, {195986000, Number, "196,000,000"}, {12.345, Number, "12.3"}, {70000, PerSecond, "70,000/s"},
	} {
		if got := show(c.value, c.unit); got != c.want {
			t.Errorf("%v %s: %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}

// madeLeader takes answer seconds for an asking, and pass seconds a router for a pass.
func madeLeader(answer, pass float64) *LeaderSlopes {
	f := &leader.File{Format: leader.Format, Kind: leader.Kind}
	for _, routers := range []int{100, 400, 1600, 6400, 25600} {
		for seed := range 3 {
			wobble := 1 + 0.001*float64(seed-1)
			f.Samples = append(f.Samples, leader.Sample{Routers: routers, Decode: 1e-6 * wobble, Answer: answer * wobble, Pass: pass * float64(routers) * wobble})
		}
	}
	return FitLeader("made.json", f)
}

func TestLeaderFallsBehind(t *testing.T) {
	near := func(a, b float64) bool { return math.Abs(a-b) < 0.01*b }
	s := madeLeader(10e-6, 1e-6)
	if !s.Fitted() || s.Largest != 25600 {
		t.Fatalf("%+v", s)
	}
	l := s.load(10_000, 5, 0.03) // half of the time goes for answers; 50 ms of rest and confirming, 10 ms a pass
	if !near(l.Busy, 0.5) || !near(l.Pass, 0.12) || !near(l.Waiting, 6000) || !near(l.Cores, 0.05+0.5+0.01/0.12) || l.fails() {
		t.Errorf("%+v", l)
	}
	if l := s.load(20_001, 5, 0); l.Busy < 1 || !l.fails() || l.Pass != 0 {
		t.Errorf("%+v", l)
	}
	size := s.failsAt(5, 0.03)
	if s.load(size+1, 5, 0.03).fails() != true || s.load(size-1, 5, 0.03).fails() {
		t.Errorf("fails at %v", size)
	}
	target := ourTarget(t)
	report := Work(target, nil, s)
	if report.Today.NearLoad == nil || report.Today.FarLoad == nil {
		t.Error("nothing told of the leader")
	}
	if text, err := Page(report); err != nil || !strings.Contains(text, "leader/answer: an asking, in the pass | constant |") {
		t.Error(err)
	}
}

func TestWrongLeaderFilesAreRefused(t *testing.T) {
	for text, field := range map[string]string{
		`[`:                                   "the file",
		`{"format":1,"trials":[]}`:            "the file",
		`{"format":1,"kind":"other"}`:         "kind",
		`{"format":2,"kind":"policy_leader"}`: "kind",
		`{"format":1,"kind":"policy_leader","samples":[{"routers":5,"decode_s":1,"pass_s":1}]}`: "samples[0]",
	} {
		_, err := DecodeLeader("l.json", []byte(text))
		var wrong FieldError
		if !errors.As(err, &wrong) || wrong.Field != field || wrong.File != "l.json" || wrong.Remedy == "" {
			t.Errorf("%s: %v", text, err)
		}
	}
}
