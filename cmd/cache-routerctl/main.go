// Command cache-routerctl is the command line tool for operators and developers of the router. It queries and changes running
// fleets through the admin endpoints of their routers, inspects state files, runs the lab and scale tests on loopback, and
// evaluates their results.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// Exit codes. Scripts depend on them, so they must not change.
const (
	exitFailed            = 1 // invalid input, or the operation failed
	exitUsage             = 2 // invalid command line
	exitRuleViolated      = 3 // a run violated a rule
	exitInvalidRun        = 4 // a run is not valid
	exitExpectationMissed = 5 // a run missed the expectation of its scenario

	exitUnsettled    = 6 // the routers do not agree on one view, or not for long enough
	exitUnreachable  = 7 // a router cannot be reached
	exitNotCommitted = 8 // a policy change was not committed
)

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (c exitError) Error() string { return c.err.Error() }
func (c exitError) Unwrap() error { return c.err }

func usageErrorf(format string, args ...any) error {
	return exitError{exitUsage, fmt.Errorf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cache-routerctl:", err)
	var c exitError
	if errors.As(err, &c) {
		os.Exit(c.code)
	}
	os.Exit(exitFailed)
}

// cli holds the state that all commands share.
type cli struct {
	log *logrus.Logger
}

func rootCommand() *cobra.Command {
	a := &cli{log: logrus.New()}
	var level, format string
	root := &cobra.Command{
		Use:           "cache-routerctl",
		Short:         "Run, break and measure spurtrestle routers",
		Example:       "  cache-routerctl lab run lab/scenarios/calm.toml",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			l, err := logrus.ParseLevel(level)
			if err != nil {
				return usageErrorf("--log-level: %q is none of debug, info, warning, error", level)
			}
			a.log.SetLevel(l)
			switch format {
			case "text":
			case "json":
				a.log.SetFormatter(&logrus.JSONFormatter{})
			default:
				return usageErrorf("--log-format: %q is neither text nor json", format)
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.PersistentFlags().StringVar(&level, "log-level", "info", "debug, info, warning or error")
	root.PersistentFlags().StringVar(&format, "log-format", "text", "text or json")
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error { return usageErrorf("%v; see %s --help", err, c.CommandPath()) })
	root.AddCommand(a.labCommand(), a.stateCommand(), a.fleetCommand(), a.policyCommand(), a.scaleCommand(), versionCommand())
	wrapArgumentErrors(root)
	return root
}

// wrapArgumentErrors makes invalid arguments of a command and its subcommands exit with exitUsage.
func wrapArgumentErrors(c *cobra.Command) {
	if args := c.Args; args != nil {
		c.Args = func(c *cobra.Command, given []string) error {
			if err := args(c, given); err != nil {
				return usageErrorf("%v; see %s --help", err, c.CommandPath())
			}
			return nil
		}
	}
	for _, sub := range c.Commands() {
		wrapArgumentErrors(sub)
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Tell what this program was built from", Example: "  cache-routerctl version",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "cache-routerctl", buildRevision())
			return err
		}}
}

// buildRevision returns the commit that this program was built from.
func buildRevision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}
