package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/report"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/lab/trace"
)

func (a *app) lab() *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "Play a fleet on loopback: stand-in servers, load, faults and a referee",
		Long: "The lab starts real router processes between stand-in clients, cache servers, an origin and discovery,\n" +
			"lets faults strike, and judges the four rules from what the stand-ins saw. See docs/lab.md.",
		Example: "  spurctl lab init > day.toml\n  spurctl lab run day.toml",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.initLab(), a.check(), a.plan(), a.run(), a.compare(), a.recovery(), a.show(), a.record(), a.bench())
	return c
}

func (a *app) initLab() *cobra.Command {
	return &cobra.Command{Use: "init", Short: "Write a commented scenario to standard output",
		Example: "  spurctl lab init > day.toml", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), scenario.Commented)
			return err
		}}
}

func (a *app) check() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Tell what is wrong in scenario files",
		Example: "  spurctl lab check lab/scenarios/*.toml", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var wrong []error
			for _, file := range files {
				s, err := scenario.Read(file)
				if err != nil {
					wrong = append(wrong, err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %v, %d faults\n", file, s.Title, s.Length, len(s.Faults))
			}
			return errors.Join(wrong...)
		}}
}

func (a *app) plan() *cobra.Command {
	var seed uint64
	var output string
	c := &cobra.Command{Use: "plan FILE", Short: "Show what a seed makes of a scenario: faults, and a digest of all arrivals",
		Example: "  spurctl lab plan lab/scenarios/demo.toml --seed 3", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			seed = orSeed(c, seed, s)
			all := arrivals.Make(s, seed)
			acts := fleet.Timeline(s, seed)
			type line struct {
				At    string `json:"at"`
				Fault string `json:"fault"`
				Who   int    `json:"who"`
				Stage int    `json:"stage"`
				End   bool   `json:"end"`
			}
			lines := []line{}
			for _, x := range acts {
				lines = append(lines, line{x.At.Duration().String(), s.Faults[x.Fault].Kind, x.Who, x.Stage, x.End})
			}
			digest := arrivals.Digest(all)
			if output == "json" {
				return writeJSON(c.OutOrStdout(), map[string]any{"scenario": s.Title, "seed": seed, "arrivals": len(all), "digest": digest,
					"acts": lines})
			}
			fmt.Fprintf(c.OutOrStdout(), "%s, seed %d: %d arrivals, digest %s\n", s.Title, seed, len(all), digest)
			for _, l := range lines {
				what := "begins"
				if l.End {
					what = "ends"
				}
				if l.Stage == 1 {
					what = "is gone"
				}
				who := "all"
				if l.Who >= 0 {
					who = fmt.Sprint(l.Who)
				}
				fmt.Fprintf(c.OutOrStdout(), "  %8s  %s %s at %s\n", l.At, l.Fault, what, who)
			}
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 0, "instead of the scenario's own")
	outputFlag(c, &output)
	return c
}

func orSeed(c *cobra.Command, seed uint64, s scenario.Scenario) uint64 {
	if c.Flags().Changed("seed") {
		return seed
	}
	return s.Seed
}

func outputFlag(c *cobra.Command, output *string) {
	c.Flags().StringVar(output, "output", "table", "table or json")
	before := c.PreRunE
	c.PreRunE = func(c *cobra.Command, args []string) error {
		if *output != "table" && *output != "json" {
			return usage("--output: %q is neither table nor json", *output)
		}
		if before != nil {
			return before(c, args)
		}
		return nil
	}
}

func writeJSON(w io.Writer, x any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(x)
}

func (a *app) run() *cobra.Command {
	var o struct {
		seed                               uint64
		seeds                              int
		router, out, output, label, replay string
		noPage, state                      bool
	}
	c := &cobra.Command{Use: "run FILE...", Short: "Play scenarios on real router processes and judge them",
		Long: "Plays each scenario, prints its figures, and leaves report.json and a page a run in --out.\n" +
			"Exit codes: 0 all rules kept, 1 it could not be played, 2 wrong usage, 3 a rule was broken, 4 the run does\n" +
			"not count, 5 the scenario's expectation was missed.",
		Example: "  spurctl lab run lab/scenarios/calm.toml --seeds 3\n  spurctl lab run day.toml --output json > day.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			if o.seeds < 1 || o.seeds > 100 {
				return usage("--seeds: %d is not from 1 to 100", o.seeds)
			}
			program, err := routerProgram(o.router)
			if err != nil {
				return err
			}
			var all []scenario.Scenario
			for _, file := range files {
				s, err := scenario.Read(file)
				if err != nil {
					return err
				}
				s.Routers.State = s.Routers.State || o.state
				all = append(all, s)
			}
			var worst error
			var sets []report.Set
			for i, s := range all {
				set, err := a.playSeeds(c, s, files[i], orSeed(c, o.seed, s), o.seeds, program, o.out, o.replay, o.label, o.output == "json", !o.noPage)
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
	f.StringVar(&o.router, "router", "", "program of the router (default: spurtrestle beside this program)")
	f.StringVar(&o.out, "out", "lab-reports", "folder for reports")
	f.StringVar(&o.label, "label", "", "name of what is run, for comparisons (default: the router's path)")
	f.StringVar(&o.replay, "trace", "", "recorded traffic to play instead of the scenario's own")
	f.BoolVar(&o.state, "state", false, "give each router a folder that outlives it, whatever the scenario says")
	f.BoolVar(&o.noPage, "no-page", false, "leave out the HTML pages")
	outputFlag(c, &o.output)
	return c
}

func routerProgram(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "spurtrestle")
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s is no program; run `make build`, or name the router with --router", path)
	}
	return filepath.Abs(path)
}

// verdict is the error that a set of runs ends with, nil where all is well.
func verdict(s scenario.Scenario, set report.Set) error {
	void := 0
	sum, counted := 0.0, 0
	for _, r := range set.Runs {
		if len(r.Broken) > 0 {
			return coded{exitBroken, fmt.Errorf("%s, seed %d: %s", s.Title, r.Seed, r.Broken[0])}
		}
		if r.Void != "" {
			void++
			continue
		}
		sum, counted = sum+r.Service.Whole, counted+1
	}
	if void > 0 {
		return coded{exitVoid, fmt.Errorf("%s: %d of %d runs do not count", s.Title, void, len(set.Runs))}
	}
	if mean := sum / float64(max(1, counted)); mean < s.Expect.Service {
		return coded{exitMissed, fmt.Errorf("%s: service is %.4f, expected is %.4f", s.Title, mean, s.Expect.Service)}
	}
	return nil
}

func (a *app) playSeeds(c *cobra.Command, s scenario.Scenario, file string, seed uint64, seeds int, program, out, replay, label string,
	quiet, pages bool) (report.Set, error) {
	if label == "" {
		label = program
	}
	set := report.Set{Version: report.Version, Label: label}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	folder := filepath.Join(out, name+"-"+time.Now().UTC().Format("20060102T150405"))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return set, err
	}
	for i := range seeds {
		var recorded []arrivals.Arrival
		if replay != "" {
			var err error
			if recorded, err = readTrace(replay, s); err != nil {
				return set, err
			}
		}
		r, err := a.playOne(c, s, seed+uint64(i), program, folder, recorded)
		if err != nil {
			return set, err
		}
		set.Runs = append(set.Runs, r)
		if !quiet {
			if err := report.Table(c.OutOrStdout(), r); err != nil {
				return set, err
			}
		}
		if pages {
			if err := writePage(filepath.Join(folder, fmt.Sprintf("seed-%d.html", r.Seed)), r); err != nil {
				return set, err
			}
		}
	}
	if seeds > 1 && !quiet {
		if err := report.SetTable(c.OutOrStdout(), set); err != nil {
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
	return errors.Join(report.Page(f, r), f.Close())
}

// playOne plays one seed; logs of routers stay in the folder where something was wrong.
func (a *app) playOne(c *cobra.Command, s scenario.Scenario, seed uint64, program, folder string, recorded []arrivals.Arrival) (report.Report, error) {
	dir := filepath.Join(folder, fmt.Sprintf("seed-%d-routers", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return report.Report{}, err
	}
	if dir, err := filepath.Abs(dir); err != nil {
		return report.Report{}, err
	} else {
		show, done := progress(c.ErrOrStderr(), s.Title)
		res, err := fleet.Play(c.Context(), s, fleet.Options{Seed: seed, Start: fleet.Program(program), Dir: dir, Arrivals: recorded,
			Progress: show, Log: a.log})
		done()
		if err != nil {
			if c.Context().Err() != nil {
				_ = os.RemoveAll(dir) // stopped by hand: nothing is left behind
				_ = os.Remove(folder) // unless another run has left its page there
			}
			return report.Report{}, err
		}
		r := report.Make(res)
		if len(r.Broken) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return r, err
			}
		}
		return r, nil
	}
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

func readSet(file string) (report.Set, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return report.Set{}, err
	}
	var s report.Set
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%s: %w; name the report.json of a run", file, err)
	}
	if s.Version > report.Version || s.Version < 1 {
		return s, fmt.Errorf("%s: version %d is not known here; read it with the spurctl that wrote it", file, s.Version)
	}
	return s, nil
}

func readSets(files []string) (a, b report.Set, err error) {
	if a, err = readSet(files[0]); err == nil {
		b, err = readSet(files[1])
	}
	return a, b, err
}

func (a *app) compare() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "compare A B", Short: "Set two report.json side by side, by pairs of runs with the same seed",
		Example: "  spurctl lab compare lab-reports/before/report.json lab-reports/after/report.json", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			before, after, err := readSets(files)
			if err != nil {
				return err
			}
			rows, pairs, err := report.Compare(before, after)
			if err != nil {
				return err
			}
			if output == "json" {
				return writeJSON(c.OutOrStdout(), map[string]any{"pairs": pairs, "rows": rows})
			}
			return report.CompareTable(c.OutOrStdout(), "A", "B", rows, pairs)
		}}
	outputFlag(c, &output)
	return c
}

func (a *app) recovery() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "recovery A B", Short: "Compare how two sets of runs come back from a restart of routers",
		Example: "  spurctl lab recovery without/report.json with/report.json", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			before, after, err := readSets(files)
			if err != nil {
				return err
			}
			rows, pairs, err := report.Recoveries(before, after)
			if err != nil {
				return err
			}
			if output == "json" {
				return writeJSON(c.OutOrStdout(), map[string]any{"pairs": pairs, "rows": rows})
			}
			return report.RecoveryTable(c.OutOrStdout(), rows, pairs)
		}}
	outputFlag(c, &output)
	return c
}

func (a *app) show() *cobra.Command {
	var output, pages string
	c := &cobra.Command{Use: "show FILE", Short: "Show the runs of a report.json again",
		Example: "  spurctl lab show lab-reports/calm-20261201T120000/report.json", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			set, err := readSet(files[0])
			if err != nil {
				return err
			}
			if output == "json" {
				return writeJSON(c.OutOrStdout(), set)
			}
			for _, r := range set.Runs {
				if err := report.Table(c.OutOrStdout(), r); err != nil {
					return err
				}
				if pages != "" {
					if err := writePage(filepath.Join(pages, fmt.Sprintf("seed-%d.html", r.Seed)), r); err != nil {
						return err
					}
				}
			}
			return report.SetTable(c.OutOrStdout(), set)
		}}
	c.Flags().StringVar(&pages, "pages", "", "folder to write the HTML pages to")
	outputFlag(c, &output)
	return c
}

func (a *app) record() *cobra.Command {
	var seed uint64
	c := &cobra.Command{Use: "record SCENARIO TRACE", Short: "Write the traffic of a scenario to a trace file, for `run --trace`",
		Example: "  spurctl lab record lab/scenarios/demo.toml demo.trace", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			all := arrivals.Make(s, orSeed(c, seed, s))
			f, err := os.Create(args[1])
			if err != nil {
				return err
			}
			if err := errors.Join(trace.Write(f, namesOf(s), all), f.Sync(), f.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%d arrivals, digest %s\n", len(all), arrivals.Digest(all))
			return err
		}}
	c.Flags().Uint64Var(&seed, "seed", 0, "instead of the scenario's own")
	return c
}

func namesOf(s scenario.Scenario) trace.Names {
	n := trace.Names{Title: s.Title, Sites: s.Sites}
	for _, m := range s.Methods {
		n.Methods = append(n.Methods, m.Name)
	}
	for _, t := range s.Tenants {
		n.Tenants = append(n.Tenants, t.Name)
	}
	return n
}

// readTrace reads recorded traffic for a scenario: its names must be the scenario's.
func readTrace(file string, s scenario.Scenario) ([]arrivals.Arrival, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	names, all, err := trace.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	want := namesOf(s)
	for _, x := range []struct {
		what      string
		has, want []string
	}{{"sites", names.Sites, want.Sites}, {"methods", names.Methods, want.Methods}, {"tenants", names.Tenants, want.Tenants}} {
		if strings.Join(x.has, ",") != strings.Join(x.want, ",") {
			return nil, fmt.Errorf("%s: its %s are %v, the scenario's are %v; use the scenario that it was recorded from", file, x.what, x.has, x.want)
		}
	}
	return all, nil
}
