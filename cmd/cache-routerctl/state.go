package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/core/staleness"
	"spurtrestle/internal/snapshot"
)

func (a *cli) stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Look at what a router has kept of what it learned",
		Long: "Every command takes a state file, or the folder of a router, of which it reads the newest generation that is good.\n" +
			"None of them changes anything but `upgrade`. See docs/state.md.",
		Example: "  cache-routerctl state show /var/lib/spurtrestle/n1", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(a.stateShowCommand(), a.stateVerifyCommand(), a.stateDiffCommand(), a.stateUpgradeCommand())
	return c
}

// readState reads a state file, or the newest valid generation of a directory. skipped holds the errors of newer generations.
func readState(path string) (s snapshot.State, from string, skipped []error, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return s, path, nil, err
	}
	if info.IsDir() {
		loaded, err := snapshot.NewStore(snapshot.Dir(path)).Load()
		if err != nil {
			return s, path, loaded.Skipped, fmt.Errorf("%s: %w", path, err)
		}
		return loaded.State, filepath.Join(path, loaded.File), loaded.Skipped, nil
	}
	if info.Size() > snapshot.MaxFileBytes {
		return s, path, nil, fmt.Errorf("%s: %d bytes are too many for a state", path, info.Size())
	}
	file, err := os.ReadFile(path)
	if err != nil {
		return s, path, nil, err
	}
	if s, err = snapshot.Decode(file); err != nil {
		return s, path, nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, path, nil, nil
}

// serverSummary is the learned state of a server as it was written, and as it would be restored now.
type serverSummary struct {
	UID             string  `json:"uid"`
	Age             string  `json:"evidence_age"`
	LatencyMs       float64 `json:"time_ms"`
	FastestMs       float64 `json:"quickest_ms"`
	Answers         int     `json:"answers"`
	RestoredAnswers int     `json:"restored_answers"`
	Rate            float64 `json:"answers_per_second"`
	Ejected         bool    `json:"aside"`
	EjectedNow      bool    `json:"restored_aside"`
	Started         string  `json:"started,omitempty"`
}

// stateSummary is the content of a state file, and what a router would restore from it now.
type stateSummary struct {
	File           string             `json:"file"`
	Version        int                `json:"version"`
	Router         string             `json:"router"`
	Written        string             `json:"written"`
	Age            string             `json:"age"`
	Weights        map[string]float64 `json:"weights"`
	LatencyMs      float64            `json:"usual_ms"`
	FastestMs      float64            `json:"quickest_ms"`
	RequestRate    float64            `json:"reqs_per_second"`
	ObservedFor    string             `json:"restored_watched_for"`
	RetryBudget    float64            `json:"retry_budget"`
	RetryBudgetNow float64            `json:"restored_retry_budget"`
	Methods        map[string]float64 `json:"methods_ms"`
	HotKeys        int                `json:"keys"`
	HotKeysNow     int                `json:"restored_keys"`
	Servers        []serverSummary    `json:"servers"`
}

func milliseconds(t clock.Time) float64 { return float64(t) / 1e3 }

func formatAge(now, at clock.Time) string {
	if at > now {
		return "in the future"
	}
	return (time.Duration(now-at) * time.Microsecond).Round(time.Second).String()
}

func formatTime(at clock.Time) string { return time.UnixMicro(int64(at)).UTC().Format(time.RFC3339) }

// summarizeState summarizes a state, and what a router would restore from it at a given time.
func summarizeState(s snapshot.State, file string, now clock.Time) stateSummary {
	knowledge := s.Knowledge
	age := staleness.Age(now, knowledge.CapturedAt)
	out := stateSummary{File: file, Version: s.Version, Router: s.Router, Written: formatTime(knowledge.CapturedAt), Age: formatAge(now, knowledge.CapturedAt), LatencyMs: milliseconds(knowledge.CacheLatency.Recent),
		FastestMs: milliseconds(knowledge.CacheLatency.Fastest), RequestRate: knowledge.RequestRate, RetryBudget: knowledge.RetryBudget, HotKeys: len(knowledge.Keys), Methods: map[string]float64{},
		Servers: []serverSummary{}, Weights: map[string]float64{}}
	for name, halfLife := range map[string]clock.Time{"times": staleness.LatencyHalfLife, "quickest": staleness.FastestLatencyHalfLife, "rates": staleness.RateHalfLife,
		"health": staleness.HealthHalfLife, "hot keys": staleness.HotKeyHalfLife, "retry budget": staleness.RetryBudgetHalfLife} {
		out.Weights[name] = math.Round(1000*staleness.Weight(age, halfLife)) / 1000
	}
	for _, m := range s.Methods {
		out.Methods[m.Name] = milliseconds(m.Latency)
	}
	for i, x := range s.Servers {
		x.Server = routing.ServerID(i)
		knowledge.Servers = append(knowledge.Servers, x.ServerKnowledge)
	}
	decayed := staleness.Decay(knowledge, now)
	out.ObservedFor = (time.Duration(decayed.ObservedFor) * time.Microsecond).Round(time.Millisecond).String()
	out.RetryBudgetNow, out.HotKeysNow = decayed.RetryBudget, len(decayed.Keys)
	restored := map[routing.ServerID]routing.ServerKnowledge{}
	for _, x := range decayed.Servers {
		restored[x.Server] = x
	}
	for i, x := range s.Servers {
		r := restored[routing.ServerID(i)]
		row := serverSummary{UID: x.UID, Age: formatAge(now, x.ObservedAt), LatencyMs: milliseconds(x.Latency.Recent), FastestMs: milliseconds(x.Latency.Fastest), Answers: x.Latency.Samples,
			RestoredAnswers: min(r.Latency.Samples, routing.MaxRestoredSamples), Rate: x.AnswerRate, Ejected: x.Ejected, EjectedNow: r.Ejected}
		if x.StartedAt > 0 {
			row.Started = formatTime(x.StartedAt)
		}
		out.Servers = append(out.Servers, row)
	}
	return out
}

func (a *cli) stateShowCommand() *cobra.Command {
	var output, at string
	c := &cobra.Command{Use: "show FILE|FOLDER", Short: "Show a state, and what of it a router would begin with now",
		Example: "  cache-routerctl state show /var/lib/spurtrestle/n1\n  cache-routerctl state show state.7 --at 2026-12-01T08:00:00Z --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			if at != "" {
				var err error
				if now, err = time.Parse(time.RFC3339, at); err != nil {
					return usageErrorf("--at: %q is no time; write it as 2026-12-01T08:00:00Z", at)
				}
			}
			s, from, passed, err := readState(args[0])
			if err != nil {
				return err
			}
			for _, p := range passed {
				a.log.WithError(p).Warn("passed over")
			}
			x := summarizeState(s, from, clock.Time(now.UnixMicro()))
			if output == "json" {
				return writeJSON(c.OutOrStdout(), x)
			}
			w := c.OutOrStdout()
			fmt.Fprintf(w, "%s: version %d, of router %s, written %s (%s ago)\n", x.File, x.Version, x.Router, x.Written, x.Age)
			fmt.Fprintf(w, "usual answer %.2f ms, quickest %.2f ms; %.1f reqs a second; retry budget %.1f, %.1f now; %d keys, %d now\n",
				x.LatencyMs, x.FastestMs, x.RequestRate, x.RetryBudget, x.RetryBudgetNow, x.HotKeys, x.HotKeysNow)
			fmt.Fprint(w, "weights now:")
			for _, name := range []string{"times", "quickest", "rates", "health", "hot keys", "retry budget"} {
				fmt.Fprintf(w, "  %s %.3f", name, x.Weights[name])
			}
			fmt.Fprintln(w)
			t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "server\tevidence is old\ttime ms\tquickest ms\tanswers a second\tanswers\trestored as\taside\trestored")
			for _, r := range x.Servers {
				fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.1f\t%d\t%d\t%v\t%v\n", r.UID, r.Age, r.LatencyMs, r.FastestMs, r.Rate, r.Answers, r.RestoredAnswers, r.Ejected, r.EjectedNow)
			}
			return t.Flush()
		}}
	c.Flags().StringVar(&at, "at", "", "as of another time than now")
	addOutputFlag(c, &output)
	return c
}

// verifiedFile is the result of verifying one state file.
type verifiedFile struct {
	Path    string `json:"path"`
	Good    bool   `json:"good"`
	Version int    `json:"version,omitempty"`
	Servers int    `json:"servers,omitempty"`
	Wrong   string `json:"wrong,omitempty"`
}

// verifyFiles verifies the state at each path, and returns how many files are unusable.
func verifyFiles(paths []string) (files []verifiedFile, unusable int) {
	files = []verifiedFile{}
	for _, path := range paths {
		s, from, passed, err := readState(path)
		for _, p := range passed {
			if err == nil {
				files, unusable = append(files, verifiedFile{Path: path, Wrong: p.Error()}), unusable+1
			}
		}
		if err != nil {
			files, unusable = append(files, verifiedFile{Path: path, Wrong: err.Error()}), unusable+1
			continue
		}
		files = append(files, verifiedFile{from, true, s.Version, len(s.Servers), ""})
	}
	return files, unusable
}

func printVerification(w io.Writer, rows []verifiedFile, output string) error {
	if output == "json" {
		return writeJSON(w, rows)
	}
	for _, r := range rows {
		if r.Good {
			fmt.Fprintf(w, "%s: good, version %d, %d servers\n", r.Path, r.Version, r.Servers)
		} else {
			fmt.Fprintf(w, "%s\n", r.Wrong)
		}
	}
	return nil
}

func (*cli) stateVerifyCommand() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "verify FILE|FOLDER...", Short: "Tell whether states are whole; exit 1 where one is not",
		Example: "  cache-routerctl state verify /var/lib/spurtrestle/*", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			rows, unusable := verifyFiles(paths)
			if err := printVerification(c.OutOrStdout(), rows, output); err != nil {
				return err
			}
			if unusable > 0 {
				return fmt.Errorf("%d cannot be used; a router begins with the generation before, or anew", unusable)
			}
			return nil
		}}
	addOutputFlag(c, &output)
	return c
}

func (*cli) stateDiffCommand() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "diff A B", Short: "Show in what two states differ, of one router at two times or of two routers",
		Example: "  cache-routerctl state diff n1/state.7 n1/state.8\n  cache-routerctl state diff n1 n2", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			a, fromA, _, errA := readState(args[0])
			b, fromB, _, errB := readState(args[1])
			if err := errors.Join(errA, errB); err != nil {
				return err
			}
			rows := diffSummaries(summarizeState(a, fromA, a.Knowledge.CapturedAt), summarizeState(b, fromB, b.Knowledge.CapturedAt))
			if output == "json" {
				return writeJSON(c.OutOrStdout(), rows)
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintf(t, "\t%s\t%s\n", fromA, fromB)
			for _, r := range rows {
				fmt.Fprintf(t, "%s\t%s\t%s\n", r.What, r.A, r.B)
			}
			return t.Flush()
		}}
	addOutputFlag(c, &output)
	return c
}

// difference is one value that differs between two states.
type difference struct {
	What string `json:"what"`
	A    string `json:"a"`
	B    string `json:"b"`
}

// diffSummaries lists the differences between two states. Numbers within 10% of each other count as equal: measured values never
// match exactly.
func diffSummaries(a, b stateSummary) (rows []difference) {
	rows = []difference{}
	compareText := func(what, x, y string) {
		if x != y {
			rows = append(rows, difference{what, x, y})
		}
	}
	compareNumber := func(what string, x, y float64) {
		if math.Abs(x-y) > 0.1*max(math.Abs(x), math.Abs(y)) {
			rows = append(rows, difference{what, fmt.Sprintf("%.2f", x), fmt.Sprintf("%.2f", y)})
		}
	}
	compareText("router", a.Router, b.Router)
	compareText("written", a.Written, b.Written)
	compareNumber("usual ms", a.LatencyMs, b.LatencyMs)
	compareNumber("quickest ms", a.FastestMs, b.FastestMs)
	compareNumber("reqs a second", a.RequestRate, b.RequestRate)
	compareNumber("retry budget", a.RetryBudget, b.RetryBudget)
	compareNumber("keys", float64(a.HotKeys), float64(b.HotKeys))
	serversOfB := map[string]serverSummary{}
	for _, s := range b.Servers {
		serversOfB[s.UID] = s
	}
	for _, s := range a.Servers {
		other, there := serversOfB[s.UID]
		delete(serversOfB, s.UID)
		if !there {
			compareText(s.UID, "known", "not known")
			continue
		}
		compareNumber(s.UID+" time ms", s.LatencyMs, other.LatencyMs)
		compareNumber(s.UID+" quickest ms", s.FastestMs, other.FastestMs)
		compareNumber(s.UID+" answers", float64(s.Answers), float64(other.Answers))
		compareText(s.UID+" aside", fmt.Sprint(s.Ejected), fmt.Sprint(other.Ejected))
		compareText(s.UID+" started", s.Started, other.Started)
	}
	for _, s := range b.Servers {
		if _, only := serversOfB[s.UID]; only {
			compareText(s.UID, "not known", "known")
		}
	}
	return rows
}

func (*cli) stateUpgradeCommand() *cobra.Command {
	return &cobra.Command{Use: "upgrade FOLDER", Short: "Write a folder's state as a new generation in the newest version",
		Long: "A router reads older versions by itself and writes the newest. This is for looking at it before, with no router running\n" +
			"on the folder: the lock is taken, and the older generation stays until the next one is written.",
		Example: "  cache-routerctl state upgrade /var/lib/spurtrestle/n1", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			dir := snapshot.Dir(args[0])
			if info, err := os.Stat(args[0]); err != nil || !info.IsDir() {
				return fmt.Errorf("%s is no folder; name the one that state.dir names", args[0])
			}
			lock, err := dir.Lock()
			if err != nil {
				return fmt.Errorf("%s: %w; %s", args[0], err, snapshot.Remedy(args[0], err))
			}
			defer lock.Close()
			store := snapshot.NewStore(dir)
			loaded, err := store.Load()
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			s := loaded.State
			if s.Version == snapshot.Version {
				_, err := fmt.Fprintf(c.OutOrStdout(), "%s is of version %d, the newest: nothing to do\n", loaded.File, s.Version)
				return err
			}
			if err := store.Save(snapshot.Encode(s)); err != nil {
				return fmt.Errorf("%s: %w; %s", args[0], err, snapshot.Remedy(args[0], err))
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s was of version %d; its state now stands in version %d beside it\n", loaded.File, s.Version, snapshot.Version)
			return err
		}}
}
