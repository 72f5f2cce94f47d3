package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/report"
	"spurtrestle/internal/lab/scenario"
)

func (a *cli) labRunCommand() *cobra.Command {
	var o runOptions
	c := &cobra.Command{Use: "run FILE...", Short: "Play scenarios on real router processes and judge them",
		Long: "Plays each scenario, prints its figures, and leaves report.json and a page a run in --out.\n" +
			"Exit codes: 0 all rules kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken, 4 the run does\n" +
			"not count, 5 the scenario's expectation was missed.",
		Example: "  cache-routerctl lab run lab/scenarios/calm.toml --seeds 3\n  cache-routerctl lab run day.toml --output json > day.json",
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(c *cobra.Command, files []string) error { return a.runScenarios(c, files, o) }}
	f := c.Flags()
	f.Uint64Var(&o.seed, "seed", 0, "of the first run, instead of the scenario's own")
	f.IntVar(&o.seeds, "seeds", 1, "runs, with seeds that follow each other")
	f.StringVar(&o.router, "router", "", "program of the router (default: cache-router, or cache-router-fleet, beside this program)")
	f.StringVar(&o.out, "out", "lab-reports", "folder for reports")
	f.StringVar(&o.label, "label", "", "name of what is run, for comparisons (default: the router's path)")
	f.StringVar(&o.replay, "trace", "", "recorded traffic to play instead of the scenario's own")
	f.StringVar(&o.protocol, "protocol", "", "that clients speak, whatever the scenario says: resp2, grpc or mixed (name cache-router-grpc with --router)")
	f.BoolVar(&o.state, "state", false, "give each router a folder that outlives it, whatever the scenario says")
	f.BoolVar(&o.noPage, "no-page", false, "leave out the HTML pages")
	f.StringVar(&o.fleet, "fleet", "", "on: the routers keep a view of one another, whatever the scenario says; off: they do not, and links are not struck")
	f.StringVar(&o.plan, "plan", "", "off: nothing is planned for the loss of a site, whatever the scenario says")
	addOutputFlag(c, &o.output)
	return c
}

// runScenarios runs each scenario with each seed, and returns the most severe violation.
func (a *cli) runScenarios(c *cobra.Command, files []string, o runOptions) error {
	if o.seeds < 1 || o.seeds > 100 {
		return usageErrorf("--seeds: %d is not from 1 to 100", o.seeds)
	}
	if o.protocol != "" && !slices.Contains([]string{scenario.RESP2, scenario.GRPC, scenario.Mixed}, o.protocol) {
		return usageErrorf("--protocol: %q is none of resp2, grpc, mixed", o.protocol)
	}
	all, defaultProgram, err := readScenarios(files, o)
	if err != nil {
		return err
	}
	program, err := routerBinary(o.router, defaultProgram)
	if err != nil {
		return err
	}
	var mostSevere error
	var sets []report.RunSet
	for i, s := range all {
		set, err := a.runSeeds(c, s, files[i], program, o)
		if err != nil {
			return err
		}
		sets = append(sets, set)
		if runErr := checkRuns(s, set); runErr != nil && (mostSevere == nil || runErr.(exitError).code < mostSevere.(exitError).code) {
			mostSevere = runErr
		}
	}
	if o.output == "json" {
		if err := writeJSON(c.OutOrStdout(), sets); err != nil {
			return err
		}
	}
	return mostSevere
}

// readScenarios reads the scenarios with the overrides of the options. usual is the router program that they need by default.
func readScenarios(files []string, o runOptions) (all []scenario.Scenario, defaultProgram string, err error) {
	defaultProgram = "cache-router"
	for _, file := range files {
		s, err := scenario.Read(file)
		if err != nil {
			return nil, "", err
		}
		if err := o.override(&s); err != nil {
			return nil, "", err
		}
		if s.Routers.Fleet {
			defaultProgram = "cache-router-fleet"
		}
		all = append(all, s)
	}
	return all, defaultProgram, nil
}

// override replaces settings of a scenario by those that flags set.
func (o runOptions) override(s *scenario.Scenario) error {
	s.Routers.State = s.Routers.State || o.state
	switch o.fleet {
	case "":
	case "on":
		s.Routers.Fleet = true
	case "off": // without links between routers, their faults cannot occur
		s.Routers.Fleet = false
		s.Faults = slices.DeleteFunc(s.Faults, func(f scenario.Fault) bool { return scenario.FaultKinds[f.Kind].Target() == "links" })
	default:
		return usageErrorf("--fleet: %q is neither on nor off", o.fleet)
	}
	switch o.plan {
	case "":
	case "off":
		s.Routers.SiteLossPlan = ""
	default:
		return usageErrorf("--plan: %q is not off", o.plan)
	}
	if o.protocol != "" {
		s.Clients.Protocol = o.protocol
	}
	return nil
}

// routerBinary returns the absolute path of the router program: the given path, or the default program next to this one.
func routerBinary(path, defaultName string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), defaultName)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s is no program; run `make build`, or name the router with --router", path)
	}
	return filepath.Abs(path)
}

// checkRuns returns nil if all runs of a scenario are valid and meet its rules and expectation, or else an error with its exit
// code.
func checkRuns(s scenario.Scenario, set report.RunSet) error {
	invalid := 0
	sum, counted := 0.0, 0
	for _, r := range set.Runs {
		if len(r.Violations) > 0 {
			return exitError{exitRuleViolated, fmt.Errorf("%s, seed %d: %s", s.Title, r.Seed, r.Violations[0])}
		}
		if r.InvalidReason != "" {
			invalid++
			continue
		}
		sum, counted = sum+r.Service.Overall, counted+1
	}
	if invalid > 0 {
		return exitError{exitInvalidRun, fmt.Errorf("%s: %d of %d runs do not count", s.Title, invalid, len(set.Runs))}
	}
	if mean := sum / float64(max(1, counted)); mean < s.Expect.Service {
		return exitError{exitExpectationMissed, fmt.Errorf("%s: service is %.4f, expected is %.4f", s.Title, mean, s.Expect.Service)}
	}
	return nil
}

// runOptions holds the flags of lab run.
type runOptions struct {
	seed                               uint64
	protocol                           string
	seeds                              int
	router, out, output, label, replay string
	noPage, state                      bool
	fleet, plan                        string
}

// runSeeds runs a scenario with each seed and writes its report and pages to a new directory.
func (a *cli) runSeeds(c *cobra.Command, s scenario.Scenario, file, program string, o runOptions) (report.RunSet, error) {
	label, quiet, seed := o.label, o.output == "json", seedOrDefault(c, o.seed, s)
	if label == "" {
		label = program
	}
	set := report.RunSet{Version: report.Version, Label: label}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	directory := filepath.Join(o.out, name+"-"+time.Now().UTC().Format("20060102T150405"))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return set, err
	}
	for i := range o.seeds {
		recorded, err := readReplay(o.replay, s)
		if err != nil {
			return set, err
		}
		r, err := a.runSeed(c, s, seed+uint64(i), program, directory, recorded)
		if err != nil {
			return set, err
		}
		set.Runs = append(set.Runs, r)
		if err := o.showRun(c, r, directory); err != nil {
			return set, err
		}
	}
	if o.seeds > 1 && !quiet {
		if err := report.WriteRunSet(c.OutOrStdout(), set); err != nil {
			return set, err
		}
	}
	if err := writeReport(filepath.Join(directory, "report.json"), set); err != nil {
		return set, err
	}
	if !quiet {
		fmt.Fprintf(c.OutOrStdout(), "reports are in %s\n", directory)
	}
	return set, nil
}

// showRun prints the report of one run and writes its page.
func (o runOptions) showRun(c *cobra.Command, r report.Report, directory string) error {
	if o.output != "json" {
		if err := report.WriteTable(c.OutOrStdout(), r); err != nil {
			return err
		}
	}
	if o.noPage {
		return nil
	}
	return writePage(filepath.Join(directory, fmt.Sprintf("seed-%d.html", r.Seed)), r)
}

// readReplay reads the recorded traffic to replay; nil if no file is named.
func readReplay(file string, s scenario.Scenario) ([]arrivals.Arrival, error) {
	if file == "" {
		return nil, nil
	}
	return readTrace(file, s)
}

func writeReport(file string, set report.RunSet) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(writeJSON(f, set), f.Close())
}

func writePage(file string, r report.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(report.WritePage(f, r), f.Close())
}

// runSeed runs a scenario with one seed. It deletes the logs of the routers unless a rule was violated.
func (a *cli) runSeed(c *cobra.Command, s scenario.Scenario, seed uint64, program, directory string, recorded []arrivals.Arrival) (report.Report, error) {
	dir := filepath.Join(directory, fmt.Sprintf("seed-%d-routers", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return report.Report{}, err
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return report.Report{}, err
	}
	show, done := progressWriter(c.ErrOrStderr(), s.Title)
	res, err := fleet.Run(c.Context(), s, fleet.Options{Seed: seed, Start: fleet.ProgramStarter(program), Dir: dir, Arrivals: recorded,
		Progress: show, Log: a.log})
	done()
	if err != nil {
		if c.Context().Err() != nil { // interrupted: delete the directories, except those that hold files of other runs
			_ = os.RemoveAll(dir)
			_ = os.Remove(directory)
			_ = os.Remove(filepath.Dir(directory))
		}
		return report.Report{}, err
	}
	r := report.New(res)
	if len(r.Violations) == 0 {
		if err := os.RemoveAll(dir); err != nil {
			return r, err
		}
	}
	return r, nil
}

// progressWriter returns functions that report the progress of a run: on a terminal in a line that is overwritten, elsewhere as
// one line for every five calls.
func progressWriter(w io.Writer, title string) (show func(fleet.Progress), done func()) {
	terminal := false
	if f, ok := w.(*os.File); ok {
		info, err := f.Stat()
		terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	n := 0
	show = func(p fleet.Progress) {
		text := fmt.Sprintf("%s: %d of %d s, %d of %d ops", title, int(max(0, p.At).Seconds()), int(p.Length.Seconds()), p.Done, p.All)
		if n++; terminal {
			fmt.Fprintf(w, "\r\x1b[K%s", text)
		} else if n%5 == 1 {
			fmt.Fprintln(w, text)
		}
	}
	return show, func() {
		if terminal {
			fmt.Fprint(w, "\r\x1b[K")
		}
	}
}
