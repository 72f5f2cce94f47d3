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

// runFiles are the result files that the page is computed from. Trials that ran beside other work on the machine are not among them.
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

func readTarget(t *testing.T) Target {
	t.Helper()
	target, err := ReadTarget(targetFile, []byte(read(t, targetFile)))
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// readLeaderModel returns nil if the leader was not measured.
func readLeaderModel(t *testing.T) *LeaderModel {
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

// The page in the repository equals the page rendered from its target and its result files.
func TestPage_MatchesItsSources(t *testing.T) {
	var measured []ResultFile
	for _, file := range runFiles {
		m, err := DecodeResultFile(file, []byte(read(t, file)))
		if err != nil {
			t.Fatal(err)
		}
		m.Name = filepath.Base(file)
		measured = append(measured, m)
	}
	want, err := Page(NewReport(readTarget(t), measured, readLeaderModel(t)))
	if err != nil {
		t.Fatal(err)
	}
	if err := Check("docs/CAPACITY.md", read(t, pageFile), want); err != nil {
		t.Fatal(err)
	}
}

func TestCheck_DetectsStalePage(t *testing.T) {
	target := readTarget(t)
	before, err := Page(NewReport(target, nil, nil))
	if err != nil {
		t.Fatal(err)
	}
	if err := Check("p", before, before); err != nil {
		t.Error(err)
	}
	target.Purges.PerSecond++
	after, err := Page(NewReport(target, nil, nil))
	if err != nil {
		t.Fatal(err)
	}
	var stale StaleError
	if err := Check("p", before, after); !errors.As(err, &stale) || !strings.Contains(stale.Want, "421/s") {
		t.Errorf("page of another target: got error %v, want a StaleError that contains 421/s", err)
	}
	if err := Check("p", before[:len(before)-20], before); !errors.As(err, &stale) {
		t.Errorf("truncated page: got error %v, want a StaleError", err)
	}
	if err := Check("p", before+"more\n", before); !errors.As(err, &stale) {
		t.Errorf("page with an extra line: got error %v, want a StaleError", err)
	}
}

func TestReadTarget_RejectsInvalidFields(t *testing.T) {
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
			t.Fatalf("%q is not in the target file", c.old)
		}
		_, err := ReadTarget("fleet.toml", []byte(text))
		if err == nil {
			t.Errorf("%q: got no error", c.new)
			continue
		}
		for _, part := range []string{"fleet.toml", "line ", c.field, c.remedy} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%q: got error %v, want one that contains %q", c.new, err, part)
			}
		}
	}
}

func TestDecodeResultFile_RejectsInvalidFiles(t *testing.T) {
	for text, field := range map[string]string{
		``:                           "the file",
		`{"format":2,"trials":[{}]}`: "format",
		`{"format":1}`:               "trials",
		`{"format":1,"colour":2}`:    "the file",
		`{"format":1,"trials":[{"topology":"flat"}]}`:              "trials[0].routers",
		`{"format":1,"trials":[{"topology":"ring","routers":50}]}`: "trials[0].topology",
	} {
		_, err := DecodeResultFile("runs.json", []byte(text))
		var fieldErr FieldError
		if !errors.As(err, &fieldErr) || fieldErr.File != "runs.json" || fieldErr.Field != field || fieldErr.Remedy == "" {
			t.Errorf("%s: got error %v, want a FieldError of %q", text, err, field)
		}
	}
}

// A page is rendered for every valid target, and it contains no invalid number or formatting error.
func TestPage_AnyValidTarget(t *testing.T) {
	base := readTarget(t)
	rapid.Check(t, func(t *rapid.T) {
		target := base
		target.Routers = float64(rapid.IntRange(1, 1_000_000).Draw(t, "routers"))
		target.Sites = float64(rapid.IntRange(1, int(target.Routers)).Draw(t, "sites"))
		target.Zones = float64(rapid.IntRange(1, int(target.Sites)).Draw(t, "zones"))
		target.Regions = float64(rapid.IntRange(1, int(target.Zones)).Draw(t, "regions"))
		target.CacheServers = float64(rapid.IntRange(int(target.Assumptions.Replicas), 100_000).Draw(t, "cache servers"))
		target.Purges.PerSecond = rapid.Float64Range(0.001, 1e6).Draw(t, "purges")
		target.Changes.PerDay = rapid.Float64Range(0.001, 1e6).Draw(t, "changes")
		target.Budget.Machines = float64(rapid.IntRange(int(target.Assumptions.PolicyVoters), 1000).Draw(t, "machines"))
		for _, c := range target.checks() {
			if c.failed {
				t.Fatalf("%s %s", c.field, c.problem)
			}
		}
		page, err := Page(NewReport(target, nil, nil))
		if err != nil {
			t.Fatal(err)
		}
		for _, invalid := range []string{"NaN", "Inf", "<nil>", "%!", "<no value>"} {
			if strings.Contains(page, invalid) {
				t.Fatalf("the page contains %q", invalid)
			}
		}
	})
}

// syntheticTrials returns three trials per size, in which bytes gives the traffic of a router.
func syntheticTrials(topology result.Topology, fault result.Fault, sizes []int, bytes func(size float64, seed int) float64) (all []result.Trial) {
	for _, size := range sizes {
		for seed := 1; seed <= 3; seed++ {
			b := bytes(float64(size), seed)
			convergence, propagation := 5.0, 1.0
			all = append(all, result.Trial{Topology: topology, Fault: fault, Seed: uint64(seed), Routers: size, Sites: size / 10, ProbeInterval: 1,
				PerRouter: result.Usage{BytesIn: b / 2, BytesOut: b / 2, CPU: 0.001, Memory: 1e6}, Busiest: result.Usage{BytesOut: 2 * b},
				Mechanisms: []result.Mechanism{{Name: "probe", Bytes: b}}, ConvergenceTime: &convergence, PropagationTime: &propagation})
		}
	}
	return all
}

var (
	manySizes = []int{50, 100, 200, 400, 800, 1600}
	fewSizes  = []int{50, 100, 200}
)

func linearBytes(size float64, seed int) float64 { return (100 + 2*size) * (1 + 0.01*float64(seed-2)) }

func TestPredict_StatesTheBasis(t *testing.T) {
	target := readTarget(t)
	target.Routers = 3200
	measurements := FitMeasurements([]ResultFile{{Name: "made.json", File: result.File{Trials: append(syntheticTrials(result.Flat, result.NoFault, manySizes, linearBytes),
		syntheticTrials(result.Tiered, result.NoFault, fewSizes, linearBytes)...)}}})

	e := predict(measurements, target, SeriesKey{result.Flat, result.NoFault, MetricBytes})
	if e.Basis != Extrapolated || e.SizeRatio != 2 || math.Abs(e.Value-6500) > 65 || e.Low >= 6500 || e.High <= 6500 {
		t.Errorf("got %+v", e)
	}
	target.Routers = 1000
	if e := predict(measurements, target, SeriesKey{result.Flat, result.NoFault, MetricBytes}); e.Basis != Measured {
		t.Errorf("got %+v", e)
	}
	if e := predict(measurements, target, SeriesKey{result.Tiered, result.NoFault, MetricBytes}); e.Basis != NotMeasured || !strings.Contains(e.Note, "3 sizes over a factor of 4") {
		t.Errorf("got %+v", e)
	}
	if e := predict(measurements, target, SeriesKey{result.Flat, result.RegionPartition, MetricBytes}); e.Basis != NotMeasured || e.Note != "no trial" {
		t.Errorf("got %+v", e)
	}
	both := sum(calculated(100, BytesPerSecond, ""), predict(measurements, target, SeriesKey{result.Flat, result.NoFault, MetricBytes}))
	if both.Basis != Measured || math.Abs(both.Value-2200) > 25 {
		t.Errorf("got %+v", both)
	}
	if e := sum(calculated(100, BytesPerSecond, ""), notMeasured("")); e.Basis != NotMeasured {
		t.Errorf("got %+v", e)
	}
}

func TestFitMeasurements_IncompleteTrials(t *testing.T) {
	trials := syntheticTrials(result.Flat, result.NoFault, manySizes, linearBytes)
	trials[4].ConvergenceTime = nil
	trials[5].Incomplete = "it was interrupted"
	measurements := FitMeasurements([]ResultFile{{File: result.File{Trials: trials}}})
	if len(measurements.Excluded) != 1 || measurements.Excluded[0].Reason != "it was interrupted" || measurements.Excluded[0].Routers != 100 {
		t.Errorf("got %+v", measurements.Excluded)
	}
	convergence := measurements.Find(SeriesKey{result.Flat, result.NoFault, MetricConvergence})
	if convergence.Fit != nil || convergence.MissingTrials != 1 || convergence.MinMissingSize != 100 {
		t.Errorf("convergence was fitted although one trial never converged: %+v", convergence)
	}
	if bytes := measurements.Find(SeriesKey{result.Flat, result.NoFault, MetricBytes}); len(bytes.Points) != len(trials)-1 || bytes.Fit == nil || bytes.Fit.Model != slope.Linear {
		t.Errorf("got %+v", bytes)
	}
}

func TestScalingLimits_SortedBySize(t *testing.T) {
	target := readTarget(t)
	steep := func(size float64, seed int) float64 { return linearBytes(size, seed) / 2 }
	measurements := FitMeasurements([]ResultFile{{File: result.File{Trials: syntheticTrials(result.Flat, result.NoFault, manySizes, steep)}}})
	flat := scalingLimits(target, measurements, currentCosts(target, nil), nil)[0].Limits
	want := []struct {
		what string
		size float64
	}{
		{"bytes of the router with the most", 950}, {"bytes of a router", 1950},
		{"a full state is longer than a router takes, and is dropped whole", maxStateHeartbeats + 1},
	}
	for i, w := range want {
		if flat[i].Description != w.what || math.Abs(flat[i].Size-w.size) > w.size/50 {
			t.Errorf("limit %d: got %+v", i, flat[i])
		}
	}
	if flat[1].Basis != Extrapolated || math.Abs(flat[1].SizeRatio-1950.0/1600) > 0.05 || flat[0].Basis != Measured {
		t.Errorf("got %+v and %+v", flat[0], flat[1])
	}
	for _, b := range flat[3:] {
		if b.Size != 0 {
			t.Errorf("got limit %+v, want one that is not reached", b)
		}
	}
}

// With too few sizes to fit a model, the limit is the smallest size at which all seeds exceed it.
func TestMeasuredLimit_WithoutFittedModel(t *testing.T) {
	target := readTarget(t)
	steep := func(size float64, seed int) float64 {
		if size == 50 && seed == 1 {
			return 1999 // one seed is within the limit
		}
		return 2001
	}
	measurements := FitMeasurements([]ResultFile{{File: result.File{Trials: syntheticTrials(result.Flat, result.NoFault, fewSizes, steep)}}})
	b := measuredLimit(measurements, SeriesKey{result.Flat, result.NoFault, MetricBytes}, "bytes", target.Budget.BytesPerSecond)
	if b.Size != 100 || b.Basis != Measured || !strings.Contains(b.Source, "not fitted") {
		t.Errorf("got %+v", b)
	}
	if b := measuredLimit(measurements, SeriesKey{result.Flat, result.NoFault, MetricMemory}, "memory", target.Budget.MemoryBytes); b.Size != 0 || b.Basis != NotMeasured {
		t.Errorf("got %+v", b)
	}
}

func TestFirstReached(t *testing.T) {
	a := ScalingLimits{Limits: []ScalingLimit{{Description: "c", Size: 30}, {Description: "unknown"}}}
	b := ScalingLimits{Limits: []ScalingLimit{{Description: "a", Size: 1}, {Description: "b", Size: 2}, {Description: "never"}}}
	got := ""
	for _, x := range firstReached(a, b) {
		got += x.Description
	}
	if got != "abc" {
		t.Errorf("got %v", got)
	}
}

func TestLimitShare_OfTheLargestEstimate(t *testing.T) {
	r := Row{Normal: calculated(10, Bytes, ""), RestartBurst: Estimate{Basis: Measured, Value: 20, High: 90}, RegionPartition: notMeasured("")}
	if got := formatLimitShare(r); got != "-" {
		t.Errorf("got %v", got)
	}
	if got := formatLimitShare(r.withLimit(100, Bytes)); got != "20%, up to 90%" {
		t.Errorf("got %v", got)
	}
	if got := formatLimitShare(Row{Normal: notMeasured(""), RestartBurst: notMeasured(""), RegionPartition: notMeasured("")}.withLimit(100, Bytes)); got != "-" {
		t.Errorf("got %v", got)
	}
}

func TestLargestWithinBudget(t *testing.T) {
	target := readTarget(t)
	for _, c := range []struct {
		bytes func(float64, int) float64
		size  int
	}{
		{linearBytes, 800}, // 1700 at this size, 3300 at the next
		{func(float64, int) float64 { return 3000 }, 0},
		{func(float64, int) float64 { return 1000 }, 1600},
		{func(size float64, seed int) float64 { // one seed of one size exceeds the budget
			if size == 200 && seed == 2 {
				return 2001
			}
			return 1000
		}, 100},
	} {
		report := NewReport(target, []ResultFile{{File: result.File{Trials: syntheticTrials(result.Flat, result.NoFault, manySizes, c.bytes)}}}, nil)
		if len(report.LargestWithinBudget) != 1 || report.LargestWithinBudget[0].Size != c.size || report.LargestWithinBudget[0].LargestMeasured != 1600 {
			t.Errorf("got %+v, want %d", report.LargestWithinBudget, c.size)
		}
	}
}

// The calculated costs use unexported constants of other packages. The test fails if one of these constants changes.
func TestConstants_MatchTheSource(t *testing.T) {
	for file, lines := range map[string][]string{
		"../../controlplane/leader_loop.go":              {fmt.Sprintf(`maxQueuedRenewals += %d\b`, maxQueuedRenewals), fmt.Sprintf(`leaderInterval += %d \* time\.Millisecond`, int(leaderInterval*1e3)), `time\.After\(leaderInterval\)`, `>= maxQueuedRenewals\b`},
		"../../gossip/codec.go":                          {fmt.Sprintf(`maxStateHeartbeats = %d\b`, maxStateHeartbeats)},
		"../../gossip/shares.go":                         {fmt.Sprintf(`maxQueuedLeaseReplies = %d\b`, maxQueuedLeaseReplies)},
		"../../gossip/memberlist.go":                     {fmt.Sprintf(`handoffQueueDepth = %d\b`, handoffQueueDepth), `HandoffQueueDepth = handoffQueueDepth\b`, `gossipsPerProbe += 5\b`},
		"../../gossip/tick.go":                           {fmt.Sprintf(`maxTickInterval += %d \* time\.Millisecond`, int(gossipTick*1e3)), `return min\(n\.gossipInterval\(\), maxTickInterval\)`},
		"../../config/limits.go":                         {fmt.Sprintf(`watchTimeoutPolled += %d \* clock\.Second\n`, int(watchTimeoutPolled)), fmt.Sprintf(`watchTimeoutPushed += %d \* clock\.Second\n`, int(watchTimeoutPushed)), `if polled \{\s+l\.WatchTimeout = watchTimeoutPolled\n`, `return\s+\}\s+l\.WatchTimeout = watchTimeoutPushed\n`},
		"../../../docs/operating.md":                     {fmt.Sprintf(`Values over %d KiB, up to %d MiB`, maxUnchunkedValue>>10, maxValue>>20)},
		"../../../internal/controlplane/raft_replica.go": {`r\.state\.Clone\(\)`},
	} {
		text := read(t, file)
		for _, line := range lines {
			if !regexp.MustCompile(line).MatchString(text) {
				t.Errorf("%s no longer matches %s: update the constant and the calculation that uses it", file, line)
			}
		}
	}
	if sharelease.DefaultTiming().RetryInterval != leaseRetryInterval*microsecondsPerSecond {
		t.Errorf("got sharelease RetryInterval %v, want %v seconds", sharelease.DefaultTiming().RetryInterval, leaseRetryInterval)
	}
}

func TestSource_BuildsAndOtherLoad(t *testing.T) {
	half, none := 0.5, 0.0
	file := ResultFile{Name: "a.json", File: result.File{Build: "new", Trials: []result.Trial{
		{Routers: 1, Build: "old", OtherLoad: &half}, {Routers: 2, OtherLoad: &none}, {Routers: 3, Build: "old", OtherLoad: &none}}}}
	if s := source(file); s.Build != "old, new" || s.OtherLoad != "0.50" {
		t.Errorf("got %+v", s)
	}
	file.Trials[0].OtherLoad = nil
	if s := source(file); s.OtherLoad != "0.00; not recorded in 1" {
		t.Errorf("got %+v", s)
	}
	file.Trials = file.Trials[:1]
	if s := source(file); s.OtherLoad != "not recorded" {
		t.Errorf("got %+v", s)
	}
}

// A trial with real routers is shown separately and does not count as another seed of the trials with simulated routers only.
func TestRealRouters_NotCountedAsSeeds(t *testing.T) {
	hollow := syntheticTrials(result.Tiered, result.NoFault, manySizes, func(float64, int) float64 { return 600 })
	mixed := result.Trial{Topology: result.Tiered, Fault: result.NoFault, Routers: 100, PerRouter: result.Usage{BytesIn: 300, BytesOut: 300},
		Real: &result.RealRouters{Routers: 8, PerRouter: result.Usage{BytesIn: 310, BytesOut: 310, CPU: 0.004, Memory: 9e6}, WithoutFleet: result.Usage{CPU: 0.001, Memory: 7e6}}}
	target := readTarget(t)
	hollowOnly := NewReport(target, []ResultFile{{File: result.File{Trials: hollow}}}, nil)
	both := NewReport(target, []ResultFile{{File: result.File{Trials: append(hollow, mixed)}}}, nil)
	if len(both.Real) != 1 || both.Real[0].Processes != 8 || both.Real[0].Bytes.Value != 620 || both.Real[0].Memory.Value != 2e6 {
		t.Fatalf("got %+v", both.Real)
	}
	for i, row := range hollowOnly.Sizes {
		if both.Sizes[i] != row {
			t.Errorf("got row %+v, want %+v", both.Sizes[i], row)
		}
	}
	page, err := Page(both)
	if err != nil || !strings.Contains(page, "| tiered | 100 | 8 | 620 B/s") {
		t.Errorf("got error %v and page %s", err, page)
	}
}

func TestSimulateRenewals(t *testing.T) {
	for _, c := range []struct {
		delay                clock.Time
		least, most, covered float64
	}{
		{1_000, 5, 5, 1},      // one renewal per 0.2 s, the renewal interval
		{40_000, 5, 5, 1},     // the lease arrives before the retry
		{600_000, 6, 16, 1},   // retries while the lease is on its way
		{2_000_000, 5, 17, 0}, // the delay is longer than the lease
	} {
		perSecond, covered := simulateRenewals(c.delay)
		if perSecond < c.least || perSecond > c.most || covered != c.covered {
			t.Errorf("delay %d us: got %v renewals per second and coverage %v", c.delay, perSecond, covered)
		}
	}
}

func TestDesignRenewals_Representatives(t *testing.T) {
	target := readTarget(t)
	now := currentCosts(target, nil)
	g := designRenewals(target, now)
	if g.Chosen == nil || !g.Chosen.Fits || g.Chosen.LeaderRenewals >= now.SameRegion.LeaderRenewals {
		t.Fatalf("got %+v", g)
	}
	one, two := representativeRenewal(target, 3, 1), representativeRenewal(target, 3, 2)
	if two.BusiestBytes >= one.BusiestBytes || two.LeaderRenewals != 2*one.LeaderRenewals || two.RouterBytes != one.RouterBytes {
		t.Errorf("got %+v and %+v", one, two)
	}
	target.Budget.BytesPerSecond = 1
	if g := designRenewals(target, now); g.Chosen != nil || g.ChosenCurrentLease != nil {
		t.Errorf("got an option that fits into 1 byte per second: %+v", g)
	}
}

func TestDesignPurges(t *testing.T) {
	target := readTarget(t)
	p := designPurges(target, 1800)
	all, one := p.Options[0], *p.Chosen
	if all.Fits || !one.Fits || all.ReceivedBytes < target.Purges.PerSecond*target.Purges.Bytes {
		t.Errorf("got %+v\nand %+v", all, one)
	}
	if want := all.ReceivedBytes / (target.RoutersPerSite() - membershipRepresentatives); math.Abs(one.ReceivedBytes-want) > 1 {
		t.Errorf("got %v bytes received per second, want %v", one.ReceivedBytes, want)
	}
	if one.MinSiteSize < 2 || one.MinSiteSize > target.RoutersPerSite() {
		t.Errorf("got smallest site of %v routers, want 2 to %v", one.MinSiteSize, target.RoutersPerSite())
	}
	total := 0.0
	for _, s := range p.Steps {
		total += s.Seconds
	}
	if p.Seconds != total || p.FitsTarget != (total <= 7.1) {
		t.Errorf("got %+v", p)
	}
	if p.MissedPurges != 420*3600 || p.MissedBytes != 420*3600*20 {
		t.Errorf("got %v missed purges of %v bytes", p.MissedPurges, p.MissedBytes)
	}
}

func TestRouterBudget(t *testing.T) {
	target := readTarget(t)
	g, p := designRenewals(target, currentCosts(target, nil)), designPurges(target, 1800)
	b := routerBudget(target, g, p, calculated(600, BytesPerSecond, ""), calculated(1200, BytesPerSecond, ""))
	documents := documentBytes(target)
	for _, c := range []struct {
		name string
		got  Estimate
		want float64
	}{
		{"router", b.Total.Router, 600 + g.Chosen.RouterBytes + documents + p.Chosen.ControlBytes},
		{"membership representative", b.Total.MembershipRepresentative, 1200 + g.Chosen.RouterBytes + documents},
		{"policy representative", b.Total.PolicyRepresentative, 600 + g.Chosen.BusiestBytes + documents + p.Chosen.ControlBytes},
	} {
		if math.Abs(c.got.Value-c.want) > 0.01 {
			t.Errorf("%s: got %v, want %v", c.name, c.got.Value, c.want)
		}
	}
	if b := routerBudget(target, g, p, notMeasured("no trial"), notMeasured("no trial")); b.Total.Router.Basis != NotMeasured {
		t.Errorf("got %+v", b.Total)
	}
}

func TestTimeInQueue(t *testing.T) {
	if got := timeInQueue(2, 0.25); got != 3 { // utilization 0.5: the mean wait is half the service time
		t.Errorf("got %v", got)
	}
	if got := timeInQueue(5, 0.2); got != -1 {
		t.Errorf("got %v", got)
	}
}

func TestFormatRange(t *testing.T) {
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
		if got := formatRange(c.value, c.low, c.high, c.unit); got != c.want {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

func TestFormatValue(t *testing.T) {
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
		if got := formatValue(c.value, c.unit); got != c.want {
			t.Errorf("%v %s: got %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}

// syntheticLeader returns a model with answer seconds per renewal and passPerRouter seconds per router and pass.
func syntheticLeader(answer, passPerRouter float64) *LeaderModel {
	f := &leader.File{Format: leader.Format, Kind: leader.Kind}
	for _, routers := range []int{100, 400, 1600, 6400, 25600} {
		for seed := range 3 {
			noise := 1 + 0.001*float64(seed-1)
			f.Samples = append(f.Samples, leader.Sample{Routers: routers, DecodeTime: 1e-6 * noise, AnswerTime: answer * noise, PassTime: passPerRouter * float64(routers) * noise})
		}
	}
	return FitLeader("made.json", f)
}

func TestLeaderModel_Overload(t *testing.T) {
	near := func(a, b float64) bool { return math.Abs(a-b) < 0.01*b }
	s := syntheticLeader(10e-6, 1e-6)
	if !s.Fitted() || s.LargestSize != 25600 {
		t.Fatalf("got %+v", s)
	}
	l := s.predictLoad(10_000, 5, 0.03) // utilization 0.5; 50 ms for the interval and the confirmation, 10 ms per pass
	if !near(l.Utilization, 0.5) || !near(l.PassInterval, 0.12) || !near(l.QueuedRenewals, 6000) || !near(l.Cores, 0.05+0.5+0.01/0.12) || l.overloaded() {
		t.Errorf("got %+v", l)
	}
	if l := s.predictLoad(20_001, 5, 0); l.Utilization < 1 || !l.overloaded() || l.PassInterval != 0 {
		t.Errorf("got %+v", l)
	}
	size := s.minOverloadedSize(5, 0.03)
	if s.predictLoad(size+1, 5, 0.03).overloaded() != true || s.predictLoad(size-1, 5, 0.03).overloaded() {
		t.Errorf("got smallest overloaded size %v, but the load there says otherwise", size)
	}
	target := readTarget(t)
	report := NewReport(target, nil, s)
	if report.Current.SameRegionLoad == nil || report.Current.CrossRegionLoad == nil {
		t.Error("the report has no load of the leader")
	}
	if text, err := Page(report); err != nil || !strings.Contains(text, "leader/answer: an asking, in the pass | constant |") {
		t.Error(err)
	}
}

func TestDecodeLeader_RejectsInvalidFiles(t *testing.T) {
	for text, field := range map[string]string{
		`[`:                                   "the file",
		`{"format":1,"trials":[]}`:            "the file",
		`{"format":1,"kind":"other"}`:         "kind",
		`{"format":2,"kind":"policy_leader"}`: "kind",
		`{"format":1,"kind":"policy_leader","samples":[{"routers":5,"decode_s":1,"pass_s":1}]}`: "samples[0]",
	} {
		_, err := DecodeLeader("l.json", []byte(text))
		var fieldErr FieldError
		if !errors.As(err, &fieldErr) || fieldErr.Field != field || fieldErr.File != "l.json" || fieldErr.Remedy == "" {
			t.Errorf("%s: got error %v, want a FieldError of %q", text, err, field)
		}
	}
}
