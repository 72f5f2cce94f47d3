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
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/choice"
	"spurtrestle/internal/admin"
	"spurtrestle/internal/config"
	"spurtrestle/internal/intent"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/router"
	"spurtrestle/internal/snapshot"
)

const usage = `spurtrestle is a router for fleets of cache servers.

  spurtrestle [--file FILE] [--log-format text|json] [--log-level LEVEL]
                       serve; EDGE_CONFIG names the configuration, FILE is the operator's own (deploy/spurtrestle.toml)
  spurtrestle check [--config FILE] [--file FILE]
                       tell what is wrong in a configuration
  spurtrestle version  tell what it was built from

Example: EDGE_CONFIG=config.json spurtrestle --file deploy/spurtrestle.toml --log-format json
Exit codes: 0 ended in order, 1 bad configuration or the loop ended by itself, 2 wrong usage.
`

var errUsage = errors.New("wrong usage; see spurtrestle --help")

// Front begins to take clients of a further protocol, and returns what ends that in order. It is told before the router
// runs.
type Front func(*router.Router, config.Config, operator.GRPC, *logrus.Logger) (stop func(), err error)

// Main is a router's main function. grpc is nil in a program that has no gRPC linked in.
func Main(grpc Front) {
	err := command(os.Args[1:], os.Stdout, grpc)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "spurtrestle:", err)
	if errors.Is(err, errUsage) {
		os.Exit(2)
	}
	os.Exit(1)
}

func command(args []string, out io.Writer, grpc Front) error {
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
		return check(*file, *own, out, grpc)
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
	return serve(log, *own, grpc)
}

// load reads the operator's file, as far as this program can do what it asks for.
func load(own string, grpc Front) (operator.File, error) {
	mine, err := operator.Load(own)
	if err == nil && mine.GRPC.Listen != "" && grpc == nil {
		err = fmt.Errorf("%s: grpc.listen: this program has no gRPC; start spurtrestle-grpc in its place, or leave the field empty", own)
	}
	return mine, err
}

// check reads a configuration as the router would, and listens nowhere.
func check(file, own string, out io.Writer, grpc Front) error {
	mine, err := load(own, grpc)
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
		_, err = router.New(cfg, logrus.New())
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: good; %s listens on %s, %d methods, discovery at %s\n", file, cfg.Name, cfg.Listen,
		len(cfg.Settings.Methods), cfg.Discovery)
	return err
}

func version(out io.Writer) error {
	rev := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				rev = s.Value
			}
		}
	}
	_, err := fmt.Fprintln(out, "spurtrestle", rev)
	return err
}

func serve(log *logrus.Logger, own string, grpc Front) error {
	// From the first moment on: a SIGHUP that comes early must not end the program. One that waits is as good as many.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	mine, err := load(own, grpc)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(cfg.Limits.Memory)
	r, err := router.New(cfg, log)
	if err != nil {
		return err
	}
	var keeper *snapshot.Keeper
	if dir := mine.State.Dir; dir != "" {
		var learned *snapshot.State
		keeper, learned = snapshot.Keep(dir, log)
		r.Remember(learned, choice.Micros(mine.State.Interval()/time.Microsecond), keeper.Put)
	}
	front := func() {}
	if mine.GRPC.Listen != "" {
		if front, err = grpc(r, cfg, mine.GRPC, log); err != nil {
			return err
		}
	}
	if cfg.Admin != "" {
		door, err := net.Listen("tcp", cfg.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w; give the operators' door a free address", err)
		}
		defer door.Close()
		r.Join(os.TempDir())
		r.Operate(intent.Open(os.TempDir(), cfg.Listen))
		go admin.Serve(door, cfg.Limits.Callers, r)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
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
			if cfg, err := config.Reload(os.Getenv); err != nil {
				log.WithError(err).Error("the new configuration is not taken; the old one holds")
				r.NotLoaded()
			} else {
				r.Reload(cfg.Discovery)
			}
		}
	}()
	if err := r.Run(); err != nil {
		return err
	}
	front()
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
