package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"spurtrestle/internal/scale/leader"
)

func (*cli) scaleLeaderCommand() *cobra.Command {
	var output, write string
	var sizes []int
	var seeds int
	var minDuration time.Duration
	c := &cobra.Command{
		Use:   "leader",
		Short: "Measure what the leader of the policy's keepers computes, by the size of the roster",
		Long: "Times decoding and answering of each router's asking, and a pass beside them, in this process, by its processor time:\n" +
			"without sockets and without the replicated log. Ctrl-C keeps what is finished.",
		Example: "  cache-routerctl scale leader --write docs/scale/leader/leader.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkLeaderFlags(sizes, seeds, minDuration); err != nil {
				return err
			}
			file := leader.File{Format: leader.Format, Kind: leader.Kind, Build: buildRevision(), Cores: runtime.NumCPU()}
			var interrupted error
			for seed := 1; seed <= seeds && interrupted == nil; seed++ {
				for _, routers := range sizes {
					if interrupted = c.Context().Err(); interrupted != nil {
						break
					}
					sample, err := leader.Measure(routers, uint64(seed), minDuration, processorTime)
					if err != nil {
						return err
					}
					file.Samples = append(file.Samples, sample)
					fmt.Fprintf(c.ErrOrStderr(), "%d routers, seed %d\n", routers, seed)
				}
			}
			if err := outputLeader(c, file, write, output); err != nil {
				return err
			}
			if interrupted != nil {
				return fmt.Errorf("interrupted after %d of %d rosters", len(file.Samples), seeds*len(sizes))
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "sizes", []int{200, 400, 800, 1600, 3200, 6400, 14000}, "routers on the roster")
	c.Flags().IntVar(&seeds, "seeds", 3, "rosters of each size")
	c.Flags().DurationVar(&minDuration, "span", 300*time.Millisecond, "for which each part is timed at least")
	c.Flags().StringVar(&write, "write", "", "write the results into this file, as JSON")
	addOutputFlag(c, &output)
	return c
}

func checkLeaderFlags(sizes []int, seeds int, minDuration time.Duration) error {
	const maxRouters = 200_000 // uses several hundred MB
	for _, n := range sizes {
		if n < 1 || n > maxRouters {
			return usageErrorf("--sizes: %d is not within 1 to %d", n, maxRouters)
		}
	}
	if len(sizes) == 0 || seeds < 1 || minDuration <= 0 {
		return usageErrorf("--sizes, --seeds and --span: give one or more of each, and a span above 0")
	}
	return nil
}

func outputLeader(c *cobra.Command, file leader.File, write, output string) error {
	if write != "" {
		text, err := json.MarshalIndent(file, "", " ")
		if err != nil {
			return err
		}
		return writeFileAtomically(write, string(text)+"\n")
	}
	if output == "json" {
		return writeJSON(c.OutOrStdout(), file)
	}
	table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "routers\tseed\tdecode\tanswer\tpass")
	for _, s := range file.Samples {
		span := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
		fmt.Fprintf(table, "%d\t%d\t%v\t%v\t%v\n", s.Routers, s.Seed, span(s.DecodeTime), span(s.AnswerTime), span(s.PassTime))
	}
	return table.Flush()
}

// processorTime returns the CPU time of this process over all cores. Other load on the machine does not affect it.
func processorTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0 // cannot fail for the calling process
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
