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

func (a *app) run() *cobra.Command {
	var o runOptions
	c := &cobra.Command{Use: "run FILE...", Short: "Play scenarios on real router processes and judge them",
		Long: "Plays each scenario, prints its figures, and leaves report.json and a page a run in --out.\n" +
			"Exit codes: 0 all rules kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken, 4 the run does\n" +
			"not count, 5 the scenario's expectation was missed.",
		Example: "  cache-routerctl lab run lab/scenarios/calm.toml --seeds 3\n  cache-routerctl lab run day.toml --output json > day.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			if o.seeds < 1 || o.seeds > 100 {
				return usage("--seeds: %d is not from 1 to 100", o.seeds)
			}
			if o.protocol != "" && !slices.Contains([]string{scenario.RESP2, scenario.GRPC, scenario.Mixed}, o.protocol) {
				return usage("--protocol: %q is none of resp2, grpc, mixed", o.protocol)
			}
			usual := "cache-router"
			var all []scenario.Scenario
			for _, file := range files {
				s, err := scenario.Read(file)
				if err != nil {
					return err
				}
				s.Routers.State = s.Routers.State || o.state
				switch o.fleet {
				case "":
				case "on":
					s.Routers.Fleet = true
				case "off": // and nothing between the routers to be struck
					s.Routers.Fleet = false
					s.Faults = slices.DeleteFunc(s.Faults, func(f scenario.Fault) bool { return scenario.FaultKinds[f.Kind].Target() == "links" })
				default:
					return usage("--fleet: %q is neither on nor off", o.fleet)
				}
				switch o.plan {
				case "":
				case "off":
					s.Routers.SiteLossPlan = ""
				default:
					return usage("--plan: %q is not off", o.plan)
				}
				if o.protocol != "" {
					s.Clients.Protocol = o.protocol
				}
				if s.Routers.Fleet {
					usual = "cache-router-fleet"
				}
				all = append(all, s)
			}
			program, err := routerProgram(o.router, usual)
			if err != nil {
				return err
			}
			var worst error
			var sets []report.RunSet
			for i, s := range all {
				set, err := a.playSeeds(c, s, files[i], program, o)
				if err != nil {
					return err
				}
				sets = append(sets, set)
				if bad := verdict(s, set); bad != nil && (worst == nil || bad.(coded).code < worst.(coded).code) {
					worst = bad
				}
			}
			if o.output == "json" {
				if err := writeJSON(c.OutOrStdout(), sets); err != nil {
					return err
				}
			}
			return worst
		}}
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
	outputFlag(c, &o.output)
	return c
}

// routerProgram is the path given, or a program beside this one.
func routerProgram(path, usual string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), usual)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s is no program; run `make build`, or name the router with --router", path)
	}
	return filepath.Abs(path)
}

// verdict is the error that a set of runs ends with, nil where all is well.
func verdict(s scenario.Scenario, set report.RunSet) error {
	void := 0
	sum, counted := 0.0, 0
	for _, r := range set.Runs {
		if len(r.Violations) > 0 {
			return coded{exitBroken, fmt.Errorf("%s, seed %d: %s", s.Title, r.Seed, r.Violations[0])}
		}
		if r.InvalidReason != "" {
			void++
			continue
		}
		sum, counted = sum+r.Service.Overall, counted+1
	}
	if void > 0 {
		return coded{exitVoid, fmt.Errorf("%s: %d of %d runs do not count", s.Title, void, len(set.Runs))}
	}
	if mean := sum / float64(max(1, counted)); mean < s.Expect.Service {
		return coded{exitMissed, fmt.Errorf("%s: service is %.4f, expected is %.4f", s.Title, mean, s.Expect.Service)}
	}
	return nil
}

// runOptions are the flags of run.
type runOptions struct {
	seed                               uint64
	protocol                           string
	seeds                              int
	router, out, output, label, replay string
	noPage, state                      bool
	fleet, plan                        string
}

// playSeeds plays one scenario with each seed, and leaves its report and pages in a folder of its own.
func (a *app) playSeeds(c *cobra.Command, s scenario.Scenario, file, program string, o runOptions) (report.RunSet, error) {
	label, quiet, seed := o.label, o.output == "json", orSeed(c, o.seed, s)
	if label == "" {
		label = program
	}
	set := report.RunSet{Version: report.Version, Label: label}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	folder := filepath.Join(o.out, name+"-"+time.Now().UTC().Format("20060102T150405"))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return set, err
	}
	for i := range o.seeds {
		var recorded []arrivals.Arrival
		if o.replay != "" {
			var err error
			if recorded, err = readTrace(o.replay, s); err != nil {
				return set, err
			}
		}
		r, err := a.playOne(c, s, seed+uint64(i), program, folder, recorded)
		if err != nil {
			return set, err
		}
		set.Runs = append(set.Runs, r)
		if !quiet {
			if err := report.WriteTable(c.OutOrStdout(), r); err != nil {
				return set, err
			}
		}
		if !o.noPage {
			if err := writePage(filepath.Join(folder, fmt.Sprintf("seed-%d.html", r.Seed)), r); err != nil {
				return set, err
			}
		}
	}
	if o.seeds > 1 && !quiet {
		if err := report.WriteRunSet(c.OutOrStdout(), set); err != nil {
			return set, err
		}
	}
	f, err := os.Create(filepath.Join(folder, "report.json"))
	if err != nil {
		return set, err
	}
	if err := errors.Join(writeJSON(f, set), f.Close()); err != nil {
		return set, err
	}
	if !quiet {
		fmt.Fprintf(c.OutOrStdout(), "reports are in %s\n", folder)
	}
	return set, nil
}

func writePage(file string, r report.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(report.WritePage(f, r), f.Close())
}

// playOne plays one seed; logs of routers stay in the folder where something was wrong.
func (a *app) playOne(c *cobra.Command, s scenario.Scenario, seed uint64, program, folder string, recorded []arrivals.Arrival) (report.Report, error) {
	dir := filepath.Join(folder, fmt.Sprintf("seed-%d-routers", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return report.Report{}, err
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return report.Report{}, err
	}
	show, done := progress(c.ErrOrStderr(), s.Title)
	res, err := fleet.Run(c.Context(), s, fleet.Options{Seed: seed, Start: fleet.ProgramStarter(program), Dir: dir, Arrivals: recorded,
		Progress: show, Log: a.log})
	done()
	if err != nil {
		if c.Context().Err() != nil { // stopped by hand: nothing is left behind, but what other runs have left
			_ = os.RemoveAll(dir)
			_ = os.Remove(folder)
			_ = os.Remove(filepath.Dir(folder))
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

// progress shows how far a run is: on a terminal in one line, else a line every five seconds.
func progress(w io.Writer, title string) (show func(fleet.Progress), done func()) {
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
