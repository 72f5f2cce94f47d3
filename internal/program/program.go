// Package program implements the command line of the router's programs and the lifecycle of a router process: it reads the
// configuration, starts the components in order, handles signals, and stops the components when the router has drained. The
// programs under cmd call Main with the optional components that they link in.
//
// The main goroutine owns the process value and blocks in Router.Run, which runs the event loop. One goroutine for each purpose
// of signals calls the router, which hands the calls on to its loop.
package program

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/routing"
	"spurtrestle/internal/config"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/router"
)

// Components lists the optional components of a program. A nil field is a component that is not linked in: programs without it
// are smaller and start faster.
type Components struct {
	GRPC   StartFrontend
	Fleet  fleet.Join
	Policy FollowPolicy
}

// StartFrontend starts to accept clients of an additional protocol and returns the function that stops it gracefully. It is
// called before the router runs. stop may be called more than once and concurrently.
type StartFrontend func(*router.Router, config.Config, operator.GRPC, *logrus.Logger) (stop func(), err error)

// FollowPolicy connects the router to the policy of its fleet and returns the handle by which it is queried and closed.
type FollowPolicy func(operator.Policy, fleet.Config, routing.Settings, *router.Router, fleet.Node, *logrus.Logger) (fleet.Policy, error)

// Exit codes other than 0.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Main runs a router's program and exits the process on failure. It is the only call in each main function under cmd.
func Main(components Components) {
	err := run(os.Args[1:], os.Stdout, components)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cache-router:", err)
	if errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// revision returns the commit that the program was built from, or "unknown".
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
