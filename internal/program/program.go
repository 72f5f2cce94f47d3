// Package program is the router's command line: its flags, its signals, and how it begins and ends.
package program

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/admin"
	"spurtrestle/internal/config"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/operatorstate"
	"spurtrestle/internal/router"
	"spurtrestle/internal/settings"
	"spurtrestle/internal/snapshot"
)

const usage = `cache-router is a router for fleets of cache servers.

  cache-router [--file FILE] [--log-format text|json] [--log-level LEVEL]
                       serve; EDGE_CONFIG names the configuration, FILE is the operator's own (deploy/spurtrestle.toml)
  cache-router check [--config FILE] [--file FILE]
                       tell what is wrong in a configuration
  cache-router version
                       tell what it was built from

Example: EDGE_CONFIG=config.json cache-router --file deploy/spurtrestle.toml --log-format json
Exit codes: 0 ended in order, 1 bad configuration or the loop ended by itself, 2 wrong usage.
`

var errUsage = errors.New("wrong usage; see cache-router --help")

// Parts are what a program has linked in beside the router; nil: it has not. Each costs memory and time at the start.
type Parts struct {
	GRPC   Front
	Fleet  fleet.Join
	Policy func(operator.Policy, fleet.Config, routing.Settings, *router.Router, fleet.Node, *logrus.Logger) (fleet.Policy, error)
}

// Front begins to take clients of a further protocol, and returns what ends that in order. It is told before the router
// runs.
type Front func(*router.Router, config.Config, operator.GRPC, *logrus.Logger) (stop func(), err error)

// Main is a router's main function.
func Main(has Parts) {
	err := command(os.Args[1:], os.Stdout, has)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cache-router:", err)
	if errors.Is(err, errUsage) {
		os.Exit(2)
	}
	os.Exit(1)
}

func command(args []string, out io.Writer, has Parts) error {
	name := ""
	if len(args) > 0 && args[0] != "" && args[0][0] != '-' {
		name, args = args[0], args[1:]
	}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	format, level, file, own := new(string), new(string), new(string), new(string)
	switch name {
	case "":
		own = flags.String("file", "", "")
		format = flags.String("log-format", "text", "")
		level = flags.String("log-level", "info", "")
	case "check":
		file = flags.String("config", os.Getenv("EDGE_CONFIG"), "")
		own = flags.String("file", "", "")
	case "version":
	default:
		return fmt.Errorf("%q is no command: %w", name, errUsage)
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		_, err = io.WriteString(out, usage)
		return err
	case err != nil:
		return fmt.Errorf("%v: %w", err, errUsage)
	case flags.NArg() > 0:
		return fmt.Errorf("%q is one word too many: %w", flags.Arg(0), errUsage)
	}
	switch name {
	case "check":
		return check(*file, *own, out, has)
	case "version":
		return version(out)
	}
	log := logrus.New()
	var err error
	if log.Level, err = logrus.ParseLevel(*level); err != nil {
		return fmt.Errorf("--log-level: %q is none of debug, info, warning, error: %w", *level, errUsage)
	}
	switch *format {
	case "text":
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return fmt.Errorf("--log-format: %q is neither text nor json: %w", *format, errUsage)
	}
	return serve(log, *own, has)
}

// load reads the operator's file, as far as this program can do what it asks for.
func load(own string, has Parts) (operator.File, error) {
	mine, err := operator.Load(own)
	if err == nil && mine.GRPC.Listen != "" && has.GRPC == nil {
		err = fmt.Errorf("%s: grpc.listen: this program has no gRPC; start cache-router-grpc in its place, or leave the field empty", own)
	}
	if err == nil && mine.Fleet.Name != "" && has.Fleet == nil {
		err = mine.FieldError("fleet.name", "this program keeps no view of a fleet", "start cache-router-fleet or cache-router-grpc in its place, or leave the field empty")
	}
	return mine, err
}

// placeOf is how the router takes part in its fleet, by the operator's file and the configuration.
func placeOf(mine operator.File, cfg config.Config) (fleet.Config, error) {
	f := mine.Fleet
	c := fleet.Config{Fleet: f.Name, Name: f.Router, Site: f.Site, Tiered: f.Tiered, Region: f.Region, Remote: f.Remote, Join: f.Join, Dir: f.Dir,
		FleetSize: cfg.Settings.Routers, Slot: cfg.Slot,
		Build: revision(), Methods: settings.MethodNames(cfg.Settings), ConfigError: mine.FieldError}
	c.Listen, c.Advertise = f.Addresses()
	c.ProbeInterval, c.ForgetAfter = f.ProbeInterval(), f.ForgetAfter()
	if c.Name == "" {
		c.Name = cfg.Name
	}
	if c.Name == "" {
		return c, c.ConfigError("fleet.router", "is empty, and so is name in the configuration", "give the router a name")
	}
	if c.Site == "" {
		c.Site = cfg.Site
	}
	c.Sites = cfg.Sites
	if len(cfg.Sites) > 0 && !slices.Contains(cfg.Sites, c.Site) {
		return c, c.ConfigError("fleet.site", fmt.Sprintf("%q is none of the settings' zones", c.Site), fmt.Sprintf("write one of %q", cfg.Sites))
	}
	if c.Tiered && c.Site == "" {
		return c, c.ConfigError("fleet.site", "is empty, and so is the site in the configuration", "name the site; a tiered fleet is made of them")
	}
	if c.Dir != "" {
		if info, err := os.Stat(c.Dir); err == nil && !info.IsDir() {
			return c, c.ConfigError("fleet.dir", c.Dir+" is no folder", "name a folder, one for each router")
		}
	}
	return c, nil
}

// check reads a configuration as the router would, and listens nowhere.
func check(file, own string, out io.Writer, has Parts) error {
	mine, err := load(own, has)
	if err != nil {
		return err
	}
	if own != "" {
		kept := "no state is kept"
		if mine.State.Dir != "" {
			kept = fmt.Sprintf("state is kept in %s, every %v", mine.State.Dir, mine.State.Interval())
		}
		if _, err := fmt.Fprintf(out, "%s: good; %s\n", own, kept); err != nil || file == "" {
			return err
		}
	}

	cfg, err := config.Load(func(name string) string {
		if name == "EDGE_CONFIG" {
			return file
		}
		return os.Getenv(name)
	})
	if err == nil {
		err = cfg.ShapeConflict
	}
	if err == nil {
		_, err = router.New(cfg, logrus.New())
	}
	if err == nil && mine.Fleet.Name != "" {
		_, err = placeOf(mine, cfg)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: good; %s listens on %s, %d methods, discovery at %s\n", file, cfg.Name, cfg.Listen,
		len(cfg.Settings.Methods), cfg.Discovery)
	return err
}

func version(out io.Writer) error {
	_, err := fmt.Fprintln(out, "cache-router", revision())
	return err
}

// revision is what the program was built from.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}

// withFleet is a router as the admin endpoint sees it, with what is seen of the fleet from its place.
type withFleet struct {
	*router.Router
	fleet.Node
}

// Figures are the router's and the view's.
func (w withFleet) Figures() string { return w.Router.Figures() + w.Node.Figures() }

// withPolicy is one that is kept to a policy of the whole fleet as well.
type withPolicy struct {
	withFleet
	kept fleet.Policy
}

// Policy is what is held here, as JSON.
func (w withPolicy) Policy() (string, error) { return w.kept.Policy() }

// Ask asks the keepers.
func (w withPolicy) Ask(request string) (string, error) { return w.kept.Ask(request) }

func serve(log *logrus.Logger, own string, has Parts) error {
	// From the first moment on: a SIGHUP that comes early must not end the program. One that waits is as good as many.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// A SIGTERM that comes before the router serves ends it in order as well, once it does.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if cfg.ShapeConflict != nil {
		log.WithError(cfg.ShapeConflict).Warn("the settings are of two shapes; serving by each key as it stands")
	}
	mine, err := load(own, has)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes)
	r, err := router.New(cfg, log)
	if err != nil {
		return err
	}
	var keeper *snapshot.Writer
	if dir := mine.State.Dir; dir != "" {
		var learned *snapshot.State
		keeper, learned = snapshot.OpenWriter(dir, log)
		r.Remember(learned, clock.Time(mine.State.Interval()/time.Microsecond), keeper.Submit)
	}
	var at fleet.Config
	if mine.Fleet.Name != "" {
		if at, err = placeOf(mine, cfg); err != nil {
			return err
		}
	}
	serveDoor := func(admin.Router) {}
	if cfg.Admin != "" {
		door, err := net.Listen("tcp", cfg.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w; give the operators' door a free address", err)
		}
		defer door.Close()
		if err := r.Join(os.TempDir()); err != nil {
			return err
		}
		r.Operate(operatorstate.Open(os.TempDir(), cfg.Listen, settings.MethodNames(cfg.Settings)))
		serveDoor = func(seen admin.Router) { go admin.Serve(door, cfg.Limits.AdminConnections, seen) }
	}
	leave := func() {}
	if at.Fleet != "" {
		at.HasPredecessor, at.NoSharesGranted = r.Place(sharelease.MinimumShare(at.FleetSize))
		member, err := has.Fleet(at, r, log)
		if err != nil {
			return err
		}
		seen := withFleet{r, member}
		if mine.Policy.WhenIsolated == "" {
			serveDoor(seen)
			leave = func() { member.Close(r.Handed()) }
		} else {
			kept, err := has.Policy(mine.Policy, at, cfg.Settings, r, member, log)
			if err != nil {
				return err
			}
			serveDoor(withPolicy{seen, kept})
			leave = func() {
				kept.Close(r.Handed())
				member.Close(r.Handed())
			}
		}
	} else {
		serveDoor(r)
	}
	front := func() {}
	if mine.GRPC.Listen != "" {
		if front, err = has.GRPC(r, cfg, mine.GRPC, log); err != nil {
			return err
		}
	}
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				r.Print()
			} else {
				r.Drain()
				go front()
			}
		}
	}()
	go func() {
		for range reload {
			again, err := config.Reload(os.Getenv)
			if err == nil { // its discovery would send our requests to another's servers
				if err = settings.CheckSameService(settings.MethodNames(again.Settings), settings.MethodNames(cfg.Settings)); err != nil {
					err = fmt.Errorf("settings: %w; start it anew, or give it a file of its own in place of %q", err, os.Getenv("EDGE_CONFIG"))
				}
			}
			if err != nil {
				log.WithError(err).Error("the new configuration is not taken; the old one holds")
				r.NotLoaded()
			} else {
				r.Reload(again.Discovery)
			}
		}
	}()
	if err := r.Run(); err != nil {
		return err
	}
	front()
	leave()
	log.Info(r.Counters())
	if keeper != nil {
		const most = time.Second // of the time that a planned restart leaves
		keeper.Close(r.State(), most)
	}
	if !r.Drained() {
		return fmt.Errorf("the loop ended by itself")
	}
	return nil
}

// The admin endpoint finds these by type assertion.
var (
	_ admin.Fleet  = withFleet{}
	_ admin.Policy = withPolicy{}
)
