package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/lab/testprogram"
)

// build builds a program of the repository.
func build(t *testing.T, name string) string {
	t.Helper()
	program, err := testprogram.Build(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// Only the rules are checked, not times, so that the result is the same on a slow machine.
func TestRulesHoldOnRealRouters(t *testing.T) {
	programs := map[string]string{"resp2": build(t, "cache-router"), "grpc": build(t, "cache-router-grpc")}
	withFleet := build(t, "cache-router-fleet")
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios found", err)
	}
	for _, file := range files {
		for protocol, program := range programs {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".toml")+"/"+protocol, func(t *testing.T) {
				t.Parallel()
				s, err := scenario.Read(file)
				if err != nil {
					t.Fatal(err)
				}
				if s.Clients.Protocol = protocol; s.Routers.Fleet && protocol == "resp2" {
					program = withFleet
				}
				runScenario(t, s, program)
			})
		}
	}
}

// runScenario runs a scenario and checks what every run must satisfy.
func runScenario(t *testing.T, s scenario.Scenario, program string) {
	dir := t.TempDir()
	options := Options{Seed: 1, Start: ProgramStarter(program), Dir: dir}
	if s.Routers.SiteLossPlan != "" {
		options.Await = (&siteDecisions{t: t, routers: s.Routers.Count, dir: dir}).await
	}
	r, err := Run(t.Context(), s, options)
	if err != nil {
		logRouterLogs(t, dir)
		t.Fatal(err)
	}
	for i, b := range r.Violations {
		if i < 3 {
			t.Errorf("%v\n%s", b, strings.Join(b.Evidence, "\n"))
		}
	}
	struck, answered := map[string]bool{}, 0
	for _, e := range r.Events {
		switch e.Kind {
		case event.Fault:
			struck[e.Note] = true
		case event.Answered:
			answered++
		}
	}
	for _, f := range s.Faults {
		if !struck[f.Kind] {
			t.Errorf("fault %s never began", f.Kind)
		}
	}
	// A router without requests would satisfy the rules.
	if answered < len(r.Arrivals)/2 {
		t.Errorf("%d answers to %d operations", answered, len(r.Arrivals))
	}
	if s.Routers.SiteLossPlan != "" {
		checkSiteLossPlan(t, s, r, dir)
	}
	if t.Failed() && s.Routers.SiteLossPlan != "" {
		t.Log(strings.Join((&siteDecisions{t: t, routers: s.Routers.Count, dir: dir}).lines(), "\n"))
	}
	if t.Failed() {
		logRouterLogs(t, dir)
	}
}

// checkSiteLossPlan checks that the routers decided every stage of the site loss, and that the less critical requests were
// rejected.
func checkSiteLossPlan(t *testing.T, s scenario.Scenario, r Result, dir string) {
	text := strings.Join((&siteDecisions{t: t, routers: s.Routers.Count, dir: dir}).lines(), "\n")
	for _, what := range []string{"stage=lost", "stage=returning step=1", "stage=returning step=8", "stage=up"} {
		if !strings.Contains(text, what) {
			t.Errorf("no router decided %q", what)
		}
	}
	rejected, all := map[event.Method]float64{}, map[event.Method]float64{}
	for _, e := range r.Events {
		if e.Kind != event.Answered {
			continue
		}
		if all[e.Method]++; e.Outcome == event.Rejected {
			rejected[e.Method]++
		}
	}
	if read, report := rejected[0]/all[0], rejected[1]/all[1]; report < 2*read || report == 0 {
		t.Errorf("%.3f of reads were rejected, and %.3f of reports, which are less critical", read, report)
	}
}

// siteDecisions finds the decisions on a lost site in the routers' logs.
type siteDecisions struct {
	t       *testing.T
	routers int
	dir     string
}

const (
	siteDecision     = "site: decision"
	leadershipGained = "leader=true"
	// decisionTimeout is how long a decision may take if a process stalled.
	decisionTimeout = 15 * time.Second
)

// lines returns the log lines about decisions and leadership.
func (d *siteDecisions) lines() []string {
	d.t.Helper()
	var found []string
	for i := range d.routers {
		log, err := os.ReadFile(filepath.Join(d.dir, fmt.Sprintf("r%d.log", i)))
		if err != nil {
			d.t.Fatal(err)
		}
		for line := range strings.SplitSeq(string(log), "\n") {
			if strings.Contains(line, siteDecision) || strings.Contains(line, leadershipGained) {
				found = append(found, fmt.Sprintf("r%d: %s", i, line))
			}
		}
	}
	return found
}

// count returns how many of the lines contain a text.
func (d *siteDecisions) count(text string) (n int) {
	for _, line := range d.lines() {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// await waits for the decision that the next moment of the run requires. Without a change of leader the decision must have
// been made by then. On a busy machine a leader that stalls for a second is replaced, and its successor first has to collect
// reports; only then the test waits.
func (d *siteDecisions) await(ctx context.Context, moment Moment) {
	stage := map[Moment]string{SiteReturns: "stage=lost", RunEnds: "stage=up"}[moment]
	if d.count(stage) == 0 && d.count(leadershipGained) == 1 {
		d.t.Errorf("%q was not decided in time, although the leader did not change", stage)
	}
	for until := time.Now().Add(decisionTimeout); d.count(stage) == 0 && time.Now().Before(until) && ctx.Err() == nil; {
		time.Sleep(20 * time.Millisecond)
	}
}

func logRouterLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is good
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		t.Logf("%s:\n%s", filepath.Base(file), text[max(0, len(text)-2000):])
	}
}

// A run that is canceled at any time leaves no process, goroutine or address behind.
func TestCanceledRunLeavesNothingRunning(t *testing.T) {
	program := build(t, "cache-router")
	s, err := scenario.Read("testdata/deploy.toml")
	if err != nil {
		t.Fatal(err)
	}
	before := goleak.IgnoreCurrent()
	var mu sync.Mutex
	var started []Instance
	start := func(spec Spec) (Instance, error) {
		p, err := ProgramStarter(program)(spec)
		if err == nil {
			mu.Lock()
			started = append(started, p)
			mu.Unlock()
		}
		return p, err
	}
	for _, after := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(t.Context(), after)
		_, err := Run(ctx, s, Options{Seed: 1, Start: start, Dir: t.TempDir()})
		cancel()
		if err == nil {
			t.Errorf("a run canceled after %v returned no error", after)
		}
	}
	if len(started) < 4 {
		t.Errorf("only %d routers were started", len(started))
	}
	for i, p := range started {
		select {
		case <-p.Done():
		default:
			t.Errorf("router %d is still running", i)
		}
	}
	goleak.VerifyNone(t, before)
}
