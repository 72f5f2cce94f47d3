package program

import (
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurtrestle/internal/config"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/router"

	"github.com/sirupsen/logrus"
)

// TestParseOptions parses the flags of each command and rejects unknown commands, flags and arguments.
func TestParseOptions(t *testing.T) {
	t.Setenv("EDGE_CONFIG", "from-environment.json")
	for _, c := range []struct {
		args string
		want options
		err  error
	}{
		{"", options{logFormat: "text", logLevel: "info"}, nil},
		{"--file f.toml --log-format json --log-level debug", options{operatorFile: "f.toml", logFormat: "json", logLevel: "debug"}, nil},
		{"check", options{command: "check", configFile: "from-environment.json"}, nil},
		{"check --config c.json --file f.toml", options{command: "check", configFile: "c.json", operatorFile: "f.toml"}, nil},
		{"version", options{command: "version"}, nil},
		{"--help", options{logFormat: "text", logLevel: "info"}, flag.ErrHelp},
		{"serve", options{command: "serve"}, errUsage},
		{"version --file f", options{command: "version"}, errUsage},
		{"check more", options{command: "check", configFile: "from-environment.json"}, errUsage},
	} {
		got, err := parseOptions(strings.Fields(c.args))
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%q: got %+v, %v, want %+v, %v", c.args, got, err, c.want, c.err)
		}
	}
}

// TestNewLogger verifies that unknown formats and levels are usage errors.
func TestNewLogger(t *testing.T) {
	for _, c := range []struct {
		format, level string
		err           error
	}{
		{"text", "info", nil}, {"json", "error", nil}, {"xml", "info", errUsage}, {"text", "loud", errUsage},
	} {
		if _, err := newLogger(options{logFormat: c.format, logLevel: c.level}); !errors.Is(err, c.err) {
			t.Errorf("format %s, level %s: got %v, want %v", c.format, c.level, err, c.err)
		}
	}
}

// TestFleetConfig verifies that the name and the site come from the operator's file or else from the configuration, and that
// a fleet without them is rejected.
func TestFleetConfig(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		fleet      operator.Fleet
		cfg        config.Config
		name, site string
		field      string // of the expected error; empty: none
	}{
		{operator.Fleet{Name: "f", Router: "r", Site: "a"}, config.Config{Name: "n", Site: "b", Sites: []string{"a", "b"}}, "r", "a", ""},
		{operator.Fleet{Name: "f"}, config.Config{Name: "n", Site: "b", Sites: []string{"a", "b"}}, "n", "b", ""},
		{operator.Fleet{Name: "f"}, config.Config{}, "", "", "fleet.router"},
		{operator.Fleet{Name: "f", Site: "c"}, config.Config{Name: "n", Sites: []string{"a"}}, "n", "c", "fleet.site"},
		{operator.Fleet{Name: "f", Tiered: true}, config.Config{Name: "n"}, "n", "", "fleet.site"},
		{operator.Fleet{Name: "f", Dir: file}, config.Config{Name: "n"}, "n", "", "fleet.dir"},
	} {
		got, err := fleetConfig(operator.File{Fleet: c.fleet}, c.cfg)
		field := ""
		var located *configerror.Error
		if errors.As(err, &located) {
			field = located.Field
		}
		if got.Name != c.name || got.Site != c.site || field != c.field {
			t.Errorf("%+v: got %s, %s, %v, want %s, %s, an error in field %q", c.fleet, got.Name, got.Site, err, c.name, c.site, c.field)
		}
	}
}

// TestLoadOperatorFile verifies that a table of a component that is not linked in is rejected with its field and a remedy.
func TestLoadOperatorFile(t *testing.T) {
	grpc := func(*router.Router, config.Config, operator.GRPC, *logrus.Logger) (func(), error) {
		return func() {}, nil
	}
	for _, c := range []struct {
		text       string
		components Components
		want       string // empty: no error
	}{
		{"[grpc]\nlisten = \"127.0.0.1:7443\"\n", Components{},
			"FILE: grpc.listen: this program has no gRPC; start cache-router-grpc in its place, or leave the field empty"},
		{"[grpc]\nlisten = \"127.0.0.1:7443\"\n", Components{GRPC: grpc}, ""},
		{"[fleet]\nname = \"f\"\nlisten = \"127.0.0.1:1\"\n", Components{}, "FILE: line 2: fleet.name: this program is built without fleet membership; " +
			"start cache-router-fleet or cache-router-grpc instead, or leave the field empty"},
	} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		got := ""
		if _, err := loadOperatorFile(path, c.components); err != nil {
			got = strings.ReplaceAll(err.Error(), path, "FILE")
		}
		if got != c.want {
			t.Errorf("%q: got %s, want %s", c.text, got, c.want)
		}
	}
}

// TestCheck_RejectsSettingsOfTwoShapes is stricter than a start, which only warns.
func TestCheck_RejectsSettingsOfTwoShapes(t *testing.T) {
	const text = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"memory_mb":64,"sockets":256},` +
		`"settings":{"balancers":1,"discovery":"pushed","weights":"silent","domain":{"mode":"through"},"policy-limits":{"send-cap":1},"rules":{},` +
		`"request-classes":[{"name":"get","effect":"free","deadline-s":1}]}}`
	for weights, want := range map[string]string{"silent": "", "rough": "settings: weights: "} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(strings.Replace(text, "silent", weights, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		err := check(path, "", io.Discard, Components{})
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("weights %s: got %v, want an error with %q", weights, err, want)
		}
	}
}
