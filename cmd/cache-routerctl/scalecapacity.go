package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"spurtrestle/internal/scale/capacity"
)

func (*cli) scaleCapacityCommand() *cobra.Command {
	var target, ofLeader, write, check, output string
	var measured []string
	c := &cobra.Command{
		Use:   "capacity --target FILE --measured FILE.json...",
		Short: "Work out what a fleet of a given size needs, and what breaks first",
		Long: "Reads the fleet that is asked about and the results of scale runs, and prints the page of capacity: slopes, needs of each\n" +
			"role, limits, what breaks at which size. What no run has measured is said so. A page is written whole or not at all.",
		Example: "  cache-routerctl scale capacity --target docs/scale/target.toml --measured docs/scale/flat.json docs/scale/tiered.json --leader docs/scale/leader/leader.json --write docs/CAPACITY.md\n" +
			"  cache-routerctl scale capacity --target docs/scale/target.toml --measured docs/scale/flat.json docs/scale/tiered.json --leader docs/scale/leader/leader.json --check docs/CAPACITY.md",
		RunE: func(c *cobra.Command, more []string) error {
			if target == "" {
				return usageErrorf("--target: names no file; give that of the fleet, as docs/scale/target.toml")
			}
			if len(more) > 0 && len(measured) == 0 {
				return usageErrorf("%q is no argument; name results by --measured", more[0])
			}
			if write != "" && check != "" {
				return usageErrorf("--write and --check are both given; use one of them")
			}
			report, err := newCapacityReport(target, append(measured, more...), ofLeader) // a shell pattern after --measured gives more files as arguments
			if err != nil {
				return err
			}
			return outputCapacity(c.OutOrStdout(), report, write, check, output)
		},
	}
	c.Flags().StringVar(&target, "target", "", "file of the fleet that is asked about")
	c.Flags().StringSliceVar(&measured, "measured", nil, "results of scale runs; more may follow, by the shell's *.json")
	c.Flags().StringVar(&ofLeader, "leader", "", "what cache-routerctl scale leader measured")
	c.Flags().StringVar(&write, "write", "", "write the page into this file")
	c.Flags().StringVar(&check, "check", "", "tell whether this page follows from its figures")
	addOutputFlag(c, &output)
	return c
}

func newCapacityReport(target string, files []string, leaderFile string) (capacity.Report, error) {
	text, err := os.ReadFile(target)
	if err != nil {
		return capacity.Report{}, capacity.FieldError{File: target, Field: "the file", Problem: err.Error(), Remedy: "name the file of a fleet, as docs/scale/target.toml"}
	}
	parsedTarget, err := capacity.ReadTarget(target, text)
	if err != nil {
		return capacity.Report{}, err
	}
	measured, err := readMeasured(files)
	if err != nil {
		return capacity.Report{}, err
	}
	leaderModel, err := readLeaderModel(leaderFile)
	if err != nil {
		return capacity.Report{}, err
	}
	return capacity.NewReport(parsedTarget, measured, leaderModel), nil
}

// readLeaderModel reads and fits the results of scale leader; it returns nil without a file name.
func readLeaderModel(file string) (*capacity.LeaderModel, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, capacity.FieldError{File: file, Field: "the file", Problem: err.Error(), Remedy: "name a file that cache-routerctl scale leader wrote"}
	}
	f, err := capacity.DecodeLeader(file, text)
	if err != nil {
		return nil, err
	}
	return capacity.FitLeader(filepath.Base(file), &f), nil
}

// outputCapacity prints, writes or checks the page.
func outputCapacity(w io.Writer, report capacity.Report, write, check, output string) error {
	page, err := capacity.Page(report)
	if err != nil {
		return err
	}
	switch {
	case write != "":
		return writeFileAtomically(write, page)
	case check != "":
		content, err := os.ReadFile(check)
		if err != nil {
			return capacity.FieldError{File: check, Field: "the file", Problem: err.Error(), Remedy: "write it by --write"}
		}
		return capacity.Check(check, string(content), page)
	case output == "json":
		return writeJSON(w, report)
	}
	_, err = io.WriteString(w, page)
	return err
}

// writeFileAtomically replaces a file by renaming a temporary file of the same directory, so that it is never partially written.
func writeFileAtomically(file, text string) error {
	fieldErr := func(err error) error {
		return capacity.FieldError{File: file, Field: "the file", Problem: err.Error(), Remedy: "name one in a folder that can be written"}
	}
	if err := checkReplaceable(file); err != nil {
		return fieldErr(err)
	}
	temp, err := os.CreateTemp(filepath.Dir(file), "."+filepath.Base(file)+"-*")
	if err != nil {
		return fieldErr(err)
	}
	defer os.Remove(temp.Name()) // has no effect after the rename
	const readable = 0o644
	_, err = io.WriteString(temp, text)
	if err == nil {
		err = temp.Chmod(readable)
	}
	if closed := temp.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(temp.Name(), file)
	}
	if err != nil {
		return fieldErr(fmt.Errorf("it was not written: %w", err))
	}
	return nil
}

// checkReplaceable reports an existing file that is not a regular file, such as a device or a directory: it must not be replaced.
func checkReplaceable(file string) error {
	info, err := os.Stat(file)
	if err == nil && !info.Mode().IsRegular() {
		return fmt.Errorf("%s is no regular file", file)
	}
	return nil
}
