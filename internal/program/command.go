package program

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
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

// The commands. The program serves if none is given.
const (
	commandServe   = ""
	commandCheck   = "check"
	commandVersion = "version"
)

// options is a parsed command line.
type options struct {
	command      string
	configFile   string // for commandCheck
	operatorFile string // empty: none
	logFormat    string
	logLevel     string
}

// run executes a command line and returns when its command ends.
func run(args []string, out io.Writer, components Components) error {
	opts, err := parseOptions(args)
	if errors.Is(err, flag.ErrHelp) {
		_, err = io.WriteString(out, usage)
		return err
	}
	if err != nil {
		return err
	}
	switch opts.command {
	case commandCheck:
		return check(opts.configFile, opts.operatorFile, out, components)
	case commandVersion:
		_, err := fmt.Fprintln(out, "cache-router", revision())
		return err
	}
	log, err := newLogger(opts)
	if err != nil {
		return err
	}
	return serve(log, opts.operatorFile, components)
}

// parseOptions parses a command line. It returns errUsage for an invalid one and flag.ErrHelp if help is requested. The flags
// are described in the usage text.
func parseOptions(args []string) (options, error) {
	var opts options
	hasCommand := len(args) > 0 && args[0] != "" && !strings.HasPrefix(args[0], "-")
	if hasCommand {
		opts.command = args[0]
		args = args[1:]
	}
	flags := flag.NewFlagSet(opts.command, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	switch opts.command {
	case commandServe:
		flags.StringVar(&opts.operatorFile, "file", "", "")
		flags.StringVar(&opts.logFormat, "log-format", "text", "")
		flags.StringVar(&opts.logLevel, "log-level", "info", "")
	case commandCheck:
		flags.StringVar(&opts.configFile, "config", os.Getenv("EDGE_CONFIG"), "")
		flags.StringVar(&opts.operatorFile, "file", "", "")
	case commandVersion:
	default:
		return opts, fmt.Errorf("%q is no command: %w", opts.command, errUsage)
	}
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return opts, err
	}
	if err != nil {
		return opts, fmt.Errorf("%v: %w", err, errUsage)
	}
	if flags.NArg() > 0 {
		return opts, fmt.Errorf("%q is one word too many: %w", flags.Arg(0), errUsage)
	}
	return opts, nil
}

// newLogger returns a logger with the given level and format, or errUsage if either is unknown.
func newLogger(opts options) (*logrus.Logger, error) {
	log := logrus.New()
	level, err := logrus.ParseLevel(opts.logLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %q is none of debug, info, warning, error: %w", opts.logLevel, errUsage)
	}
	log.Level = level
	switch opts.logFormat {
	case "text":
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, fmt.Errorf("--log-format: %q is neither text nor json: %w", opts.logFormat, errUsage)
	}
	return log, nil
}
