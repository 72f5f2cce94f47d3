package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/scale"
	"spurtrestle/internal/scale/result"
)

// scaleRunCommand returns the command that runs a scale scenario.
func (a *cli) scaleRunCommand() *cobra.Command {
	var resultFile string
	var sizes []int
	var seeds []uint
	var faults []string
	var appendTrials bool
	var router string
	c := &cobra.Command{Use: "run FILE", Short: "Play a scale scenario and count what each router uses",
		Long: "Plays a trial for each fault, seed and size of the scenario. Ctrl-C ends it and keeps the trials that are finished.\n" +
			"Exit codes: 0 done, 1 it could not be played, 2 wrong usage, 4 a trial is incomplete, 5 the scenario's bound was not kept.",
		Example: "  cache-routerctl scale run lab/scale/quick.toml\n  cache-routerctl scale run --json flat.json lab/scale/flat.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scale.Read(args[0])
			if err != nil {
				return err
			}
			part, err := s.Part(sizes, toUint64(seeds), toFaults(faults))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			options, err := a.scaleRunOptions(resultFile, appendTrials)
			if err != nil {
				return err
			}
			if part.Real > 0 {
				if options.Router, err = routerBinary(router, "cache-router-fleet"); err != nil {
					return err
				}
			}
			file, err := scale.Run(c.Context(), part, options)
			file.Trials = file.Trials[len(options.Before):]
			if tableErr := scale.Table(c.OutOrStdout(), file.Trials); tableErr != nil {
				return tableErr
			}
			if errors.Is(err, context.Canceled) {
				return fmt.Errorf("interrupted: %d trials are finished, and kept", len(file.Trials))
			}
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return checkTrials(part, file.Trials)
		}}
	c.Flags().StringVar(&resultFile, "json", "", "file for the result as JSON, written after each trial")
	c.Flags().StringVar(&router, "router", "", "program of the real routers (default: cache-router-fleet beside this program)")
	c.Flags().BoolVar(&appendTrials, "append", false, "keep the trials that the file of --json has, and add to them")
	c.Flags().IntSliceVar(&sizes, "sizes", nil, "these of the scenario's sizes alone")
	c.Flags().UintSliceVar(&seeds, "seeds", nil, "these of the scenario's seeds alone")
	c.Flags().StringSliceVar(&faults, "faults", nil, "these of the scenario's faults alone")
	return c
}

func toFaults(faults []string) (all []result.Fault) {
	for _, f := range faults {
		all = append(all, result.Fault(f))
	}
	return all
}

func toUint64(seeds []uint) (all []uint64) {
	for _, s := range seeds {
		all = append(all, uint64(s))
	}
	return all
}

func (a *cli) scaleRunOptions(resultFile string, appendTrials bool) (o scale.Options, err error) {
	var previous result.File
	if appendTrials && resultFile == "" {
		return o, usageErrorf("--append: there is no file to add to; name it by --json")
	}
	if err := checkWritable(resultFile); err != nil {
		return o, err
	}
	if appendTrials {
		if previous, err = readResult(resultFile); err != nil {
			return o, err
		}
	}
	program, err := os.Executable()
	if err != nil {
		return o, err
	}
	machine, err := scale.ThisMachine()
	if err != nil {
		return o, err
	}
	return scale.Options{Program: []string{program, "scale", "worker"}, Build: buildRevision(), Cores: runtime.NumCPU(), Machine: machine, Before: previous.Trials,
		Progress: func(line string) { a.log.Info(line) },
		Finished: func(file result.File) error { return writeResult(resultFile, file) }}, nil
}

// readResult reads the result file that new trials are appended to. It returns an empty result if there is no file.
func readResult(name string) (file result.File, err error) {
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return file, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err == nil && file.Format != result.Format {
		err = fmt.Errorf("%s is of format %d, and this program writes %d", name, file.Format, result.Format)
	}
	if err != nil {
		return file, fmt.Errorf("--append: %w; name a file that scale run has written", err)
	}
	fillTrialBuilds(&file)
	return file, nil
}

// fillTrialBuilds sets the build of each trial that has none, because the build of the file will become that of the new run.
func fillTrialBuilds(file *result.File) {
	for i := range file.Trials {
		if file.Trials[i].Build == "" {
			file.Trials[i].Build = file.Build
		}
	}
}

// checkWritable checks before a long run that its result can be written. An empty name means that no result is written.
func checkWritable(name string) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name + tempSuffix)
	if err != nil {
		return fmt.Errorf("--json: %w; name a file in a folder that can be written", err)
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}

// tempSuffix is appended to the name of a result file while it is written.
const tempSuffix = ".new"

// writeResult writes a result file atomically. An empty name means that no result is written.
func writeResult(name string, file result.File) error {
	if name == "" {
		return nil
	}
	text, err := json.MarshalIndent(file, "", " ")
	if err == nil {
		err = checkReplaceable(name)
	}
	if err == nil {
		err = os.WriteFile(name+tempSuffix, append(text, '\n'), 0o644)
	}
	if err == nil {
		err = os.Rename(name+tempSuffix, name)
	}
	if err != nil {
		return fmt.Errorf("--json: %w; name a file in a folder that can be written", err)
	}
	return nil
}

func checkTrials(s scale.Scenario, trials []result.Trial) error {
	for _, t := range trials {
		if t.Incomplete != "" {
			return exitError{exitInvalidRun, fmt.Errorf("%d routers, seed %d: incomplete: %s", t.Routers, t.Seed, t.Incomplete)}
		}
	}
	if err := s.Kept(trials); err != nil {
		return exitError{exitExpectationMissed, err}
	}
	return nil
}

// scaleWorkerCommand returns the command that runs simulated ("hollow") routers for scale run.
func (*cli) scaleWorkerCommand() *cobra.Command {
	return &cobra.Command{Use: "worker", Hidden: true, Short: "Hold hollow routers for cache-routerctl scale run, steered by standard input",
		Example: "  cache-routerctl scale worker < requests", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return scale.Work(c.InOrStdin(), c.OutOrStdout()) }}
}
