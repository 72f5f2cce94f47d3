// Command cache-routerctl is everything around the router: the lab that plays a fleet on loopback, and what looks at its runs.
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

// Exit codes. They stay as they are.
const (
	exitFailed = 1 // bad input, or something could not be done
	exitUsage  = 2 // wrong usage
	exitBroken = 3 // a rule was broken
	exitVoid   = 4 // the run does not count
	exitMissed = 5 // what the scenario expects was not reached

	exitUnsettled   = 6 // routers are not settled on one view, or not for long enough
	exitUnreachable = 7 // a router cannot be asked
	exitNowhere     = 8 // a change of policy was refused everywhere
)

// coded is an error with an exit code of its own.
type coded struct {
	code int
	err  error
}

func (c coded) Error() string { return c.err.Error() }
func (c coded) Unwrap() error { return c.err }

func usage(format string, args ...any) error { return coded{exitUsage, fmt.Errorf(format, args...)} }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cache-routerctl:", err)
	var c coded
	if errors.As(err, &c) {
		os.Exit(c.code)
	}
	os.Exit(exitFailed)
}

// app is what all commands share.
type app struct {
	log *logrus.Logger
}

func command() *cobra.Command {
	a := &app{log: logrus.New()}
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
				return usage("--log-level: %q is none of debug, info, warning, error", level)
			}
			a.log.SetLevel(l)
			switch format {
			case "text":
			case "json":
				a.log.SetFormatter(&logrus.JSONFormatter{})
			default:
				return usage("--log-format: %q is neither text nor json", format)
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.PersistentFlags().StringVar(&level, "log-level", "info", "debug, info, warning or error")
	root.PersistentFlags().StringVar(&format, "log-format", "text", "text or json")
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error { return usage("%v; see %s --help", err, c.CommandPath()) })
	root.AddCommand(a.lab(), a.state(), a.fleet(), a.policy(), a.scale(), version())
	wrongUsage(root)
	return root
}

// wrongUsage makes errors about arguments end with the code for wrong usage.
func wrongUsage(c *cobra.Command) {
	if args := c.Args; args != nil {
		c.Args = func(c *cobra.Command, given []string) error {
			if err := args(c, given); err != nil {
				return usage("%v; see %s --help", err, c.CommandPath())
			}
			return nil
		}
	}
	for _, sub := range c.Commands() {
		wrongUsage(sub)
	}
}

func version() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Tell what this program was built from", Example: "  cache-routerctl version",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "cache-routerctl", builtFrom())
			return err
		}}
}

// builtFrom is the commit that this program was built from.
func builtFrom() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}
