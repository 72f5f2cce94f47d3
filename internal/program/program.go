// Package program is the command line of the router's programs, and the life of a router process: it reads the
// configuration, starts the parts in order, handles signals, and ends the parts in reverse order. The programs under cmd
// call Main with the parts that they link in.
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

// Components are the optional parts of a program; a nil part is not linked in. Programs without them are smaller and start
// faster.
type Components struct {
	GRPC   StartFrontend
	Fleet  fleet.Join
	Policy FollowPolicy
}

// StartFrontend starts to accept clients of a further protocol and returns the function that ends that gracefully. It is
// called before the router runs. stop may be called more than once, also concurrently.
type StartFrontend func(*router.Router, config.Config, operator.GRPC, *logrus.Logger) (stop func(), err error)

// FollowPolicy makes the router follow the policy of its fleet.
type FollowPolicy func(operator.Policy, fleet.Config, routing.Settings, *router.Router, fleet.Node, *logrus.Logger) (fleet.Policy, error)

// Exit codes other than 0.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Main is the main function of a router's program.
func Main(parts Components) {
	err := run(os.Args[1:], os.Stdout, parts)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cache-router:", err)
	if errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// revision is the commit that the program was built from.
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
