package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/report"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/lab/trace"
)

func (a *cli) labCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "Play a fleet on loopback: stand-in servers, load, faults and a referee",
		Long: "The lab starts real router processes between stand-in clients, cache servers, an origin and discovery,\n" +
			"lets faults strike, and judges the four rules from what the stand-ins saw. See docs/lab.md.",
		Example: "  cache-routerctl lab init > day.toml\n  cache-routerctl lab run day.toml",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.labInitCommand(), a.labCheckCommand(), a.labPlanCommand(), a.labRunCommand(), a.labCompareCommand(), a.labRecoveryCommand(), a.labShowCommand(), a.labRecordCommand(), a.labBenchCommand(), a.labViewsCommand(), a.labPoliciesCommand(), a.labSitesCommand())
	return c
}

func (*cli) labInitCommand() *cobra.Command {
	return &cobra.Command{Use: "init", Short: "Write a commented scenario to standard output",
		Example: "  cache-routerctl lab init > day.toml", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), scenario.Example)
			return err
		}}
}

func (*cli) labCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Tell what is wrong in scenario files",
		Example: "  cache-routerctl lab check lab/scenarios/*.toml", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var errs []error
			for _, file := range files {
				s, err := scenario.Read(file)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %v, %d faults\n", file, s.Title, s.Length, len(s.Faults))
			}
			return errors.Join(errs...)
		}}
}

func (*cli) labPlanCommand() *cobra.Command {
	var seed uint64
	var output string
	c := &cobra.Command{Use: "plan FILE", Short: "Show what a seed makes of a scenario: faults, and a digest of all arrivals",
		Example: "  cache-routerctl lab plan lab/scenarios/demo.toml --seed 3", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			seed = seedOrDefault(c, seed, s)
			all := arrivals.Generate(s, seed)
			timeline := fleet.Timeline(s, seed)
			type line struct {
				At    string `json:"at"`
				Fault string `json:"fault"`
				Who   int    `json:"who"`
				Stage int    `json:"stage"`
				End   bool   `json:"end"`
			}
			lines := []line{}
			for _, x := range timeline {
				lines = append(lines, line{x.At.Duration().String(), s.Faults[x.Fault].Kind, x.Target, x.Stage, x.End})
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
	addOutputFlag(c, &output)
	return c
}

func seedOrDefault(c *cobra.Command, seed uint64, s scenario.Scenario) uint64 {
	if c.Flags().Changed("seed") {
		return seed
	}
	return s.Seed
}

func addOutputFlag(c *cobra.Command, output *string) {
	c.Flags().StringVar(output, "output", "table", "table or json")
	before := c.PreRunE
	c.PreRunE = func(c *cobra.Command, args []string) error {
		if *output != "table" && *output != "json" {
			return usageErrorf("--output: %q is neither table nor json", *output)
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

func readReport(file string) (report.RunSet, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return report.RunSet{}, err
	}
	var s report.RunSet
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%s: %w; name the report.json of a run", file, err)
	}
	if s.Version > report.Version || s.Version < 1 {
		return s, fmt.Errorf("%s: version %d is not known here; read it with the cache-routerctl that wrote it", file, s.Version)
	}
	return s, nil
}

func readReports(files []string) (a, b report.RunSet, err error) {
	if a, err = readReport(files[0]); err == nil {
		b, err = readReport(files[1])
	}
	return a, b, err
}

func (*cli) labCompareCommand() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "compare A B", Short: "Set two report.json side by side, by pairs of runs with the same seed",
		Example: "  cache-routerctl lab compare lab-reports/before/report.json lab-reports/after/report.json", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			before, after, err := readReports(files)
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
			return report.WriteComparison(c.OutOrStdout(), "A", "B", rows, pairs)
		}}
	addOutputFlag(c, &output)
	return c
}

func (*cli) labRecoveryCommand() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "recovery A B", Short: "Compare how two sets of runs come back from a restart of routers",
		Example: "  cache-routerctl lab recovery without/report.json with/report.json", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			before, after, err := readReports(files)
			if err != nil {
				return err
			}
			rows, pairs, err := report.CompareRecoveries(before, after)
			if err != nil {
				return err
			}
			if output == "json" {
				return writeJSON(c.OutOrStdout(), map[string]any{"pairs": pairs, "rows": rows})
			}
			return report.WriteRecoveries(c.OutOrStdout(), rows, pairs)
		}}
	addOutputFlag(c, &output)
	return c
}

func (*cli) labShowCommand() *cobra.Command {
	var output, pages string
	c := &cobra.Command{Use: "show FILE", Short: "Show the runs of a report.json again",
		Example: "  cache-routerctl lab show lab-reports/calm-20261201T120000/report.json", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			set, err := readReport(files[0])
			if err != nil {
				return err
			}
			if output == "json" {
				return writeJSON(c.OutOrStdout(), set)
			}
			for _, r := range set.Runs {
				if err := report.WriteTable(c.OutOrStdout(), r); err != nil {
					return err
				}
				if pages != "" {
					if err := writePage(filepath.Join(pages, fmt.Sprintf("seed-%d.html", r.Seed)), r); err != nil {
						return err
					}
				}
			}
			return report.WriteRunSet(c.OutOrStdout(), set)
		}}
	c.Flags().StringVar(&pages, "pages", "", "folder to write the HTML pages to")
	addOutputFlag(c, &output)
	return c
}

func (*cli) labRecordCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{Use: "record SCENARIO TRACE", Short: "Write the traffic of a scenario to a trace file, for `run --trace`",
		Example: "  cache-routerctl lab record lab/scenarios/demo.toml demo.trace", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			all := arrivals.Generate(s, seedOrDefault(c, seed, s))
			f, err := os.Create(args[1])
			if err != nil {
				return err
			}
			if err := errors.Join(trace.Write(f, traceNames(s), all), f.Sync(), f.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%d arrivals, digest %s\n", len(all), arrivals.Digest(all))
			return err
		}}
	c.Flags().Uint64Var(&seed, "seed", 0, "instead of the scenario's own")
	return c
}

func traceNames(s scenario.Scenario) trace.Names {
	n := trace.Names{Title: s.Title, Sites: s.Sites}
	for _, m := range s.Methods {
		n.Methods = append(n.Methods, m.Name)
	}
	for _, t := range s.Tenants {
		n.Tenants = append(n.Tenants, t.Name)
	}
	return n
}

// readTrace reads recorded traffic. The names of its sites, methods and tenants must match the scenario.
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
	want := traceNames(s)
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
