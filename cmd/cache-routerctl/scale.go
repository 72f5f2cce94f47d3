package main

import (
	"github.com/spf13/cobra"
)

// scaleCommand returns the commands that measure and estimate how large a fleet can be.
func (a *cli) scaleCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure what a fleet's size costs its routers",
		Long: "Hollow routers - the real membership without clients - are started on loopback in growing numbers, and what each of them\n" +
			"sends, receives and uses is counted. See docs/scale.md.",
		Example: "  cache-routerctl scale run lab/scale/quick.toml",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.scaleRunCommand(), a.scaleWorkerCommand(), a.scaleSlopesCommand(), a.scaleCapacityCommand(), a.scaleLeaderCommand())
	return c
}
