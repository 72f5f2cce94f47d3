package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"spurtrestle/internal/scale/capacity"
)

func (*cli) scaleSlopesCommand() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "slopes FILE.json...",
		Short: "Tell how each measured figure grows with the size of the fleet",
		Long: "Fits constant, log n, n, n log n and n^2 to each figure over the sizes and seeds of all files together, and chooses the\n" +
			"form by its residuals with a penalty for parameters (AICc). Fewer than five sizes, or less than a factor of 16 between\n" +
			"the smallest and the largest, are not fitted.",
		Example: "  cache-routerctl scale slopes docs/scale/flat.json docs/scale/tiered.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			measured, err := readMeasured(files)
			if err != nil {
				return err
			}
			evidence := capacity.FitMeasurements(measured)
			if output == "json" {
				return writeJSON(c.OutOrStdout(), evidence.Series)
			}
			return slopesTable(c.OutOrStdout(), evidence.Series)
		},
	}
	addOutputFlag(c, &output)
	return c
}

// readMeasured reads result files. They are identified by their base names, which must be distinct.
func readMeasured(files []string) ([]capacity.ResultFile, error) {
	var all []capacity.ResultFile
	names := map[string]string{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, capacity.FieldError{File: file, Field: "the file", Problem: err.Error(), Remedy: "name a file that the scale run wrote"}
		}
		m, err := capacity.DecodeResultFile(file, text)
		if err != nil {
			return nil, err
		}
		m.Name = filepath.Base(file)
		if before, twice := names[m.Name]; twice {
			return nil, capacity.FieldError{File: file, Field: "the file", Problem: fmt.Sprintf("has the name of %s", before), Remedy: "name each file once, or give one another name"}
		}
		names[m.Name] = file
		all = append(all, m)
	}
	return all, nil
}

func slopesTable(w io.Writer, series []capacity.Series) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "series\tpoints\tsizes\tform\tbase\tstep\tscatter\tnot ruled out")
	for _, s := range series {
		if s.Fit == nil {
			fmt.Fprintf(table, "%v\t%d\t-\tnot fitted: %s\n", s.SeriesKey, len(s.Points), s.NotFittedReason)
			continue
		}
		f := s.Fit.Fit
		rivals := ""
		for _, r := range s.Fit.Alternatives {
			rivals += r.Model.String() + " "
		}
		fmt.Fprintf(table, "%v\t%d\t%.0f to %.0f\t%v\t%.4g (%.4g to %.4g)\t%.4g (%.4g to %.4g)\t%.2g\t%s\n", s.SeriesKey, f.Points, f.Smallest, f.Largest, f.Model,
			f.Intercept.Value, f.Intercept.Low, f.Intercept.High, f.Slope.Value, f.Slope.Low, f.Slope.High, f.ResidualDeviation, rivals)
	}
	return table.Flush()
}
