package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/configerror"
)

const completeFile = `{"name":"n3","listen":"127.0.0.4:6379","discovery":"127.0.1.1:8500","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[]},"settings":` +
	`{"balancers":2,"discovery":"pushed","domain":{"mode":"aside","origin-kind":1},"flavors":["std","origin"],` +
	`"policy-limits":{"send-cap":3,"connect-timeout-s":0.1,"idle-close-s":60},"rules":{},"request-classes":` +
	`[{"name":"get","effect":"free","deadline-s":1}]}}`

// load writes text to a configuration file and loads it with the given environment variables.
func load(t *testing.T, text string, variables map[string]string) (Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if name == "EDGE_CONFIG" {
			return file
		}
		return variables[name]
	})
}

// TestLoad_EnvironmentTakesPrecedence loads a file with two of its fields overridden by the environment.
func TestLoad_EnvironmentTakesPrecedence(t *testing.T) {
	c, err := load(t, completeFile, map[string]string{"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.9:1"})
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []struct {
		name      string
		got, want any
	}{
		{"Name", c.Name, "n9"},
		{"Listen", c.Listen, "127.0.0.9:1"},
		{"Discovery", c.Discovery, "127.0.1.1:8500"},
		{"Seed", c.Seed, uint64(0x8c1f30d27a5be964)},
		{"Settings.Routers", c.Settings.Routers, 2},
		{"Limits.ConnectTimeout", c.Limits.ConnectTimeout, 100 * clock.Millisecond},
		{"Limits.ServerIdleTimeout", c.Limits.ServerIdleTimeout, 54 * clock.Second},
		{"Limits.Descriptors", c.Limits.Descriptors, 990},
		{"SavedEndpoints", string(c.SavedEndpoints), `{"rev":1,"all":true,"targets":[]}`},
	} {
		if field.got != field.want {
			t.Errorf("%s: got %v, want %v", field.name, field.got, field.want)
		}
	}
}

// TestLoad_ErrorsNameFieldAndRemedy compares the complete error text for each kind of fault.
func TestLoad_ErrorsNameFieldAndRemedy(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"127.0.0.4:6379"`, `"here"`, `FILE: listen: "here" is no address and port; write it as "127.0.0.1:6379"`},
		{`"127.0.1.1:8500"`, `""`, `FILE: discovery: "" is no address and port; write it as "127.0.0.1:6379"`},
		{`8c1f30d27a5be964`, `x`, `FILE: seed: "x" is no number; write up to 16 hexadecimal digits`},
		{`"discovery":`, `"admin":"door","discovery":`, `FILE: admin: "door" is no address and port; write it as "127.0.0.1:6379"`},
		{`"discovery":`, `"admin":"127.0.0.4:6379","discovery":`, `FILE: admin: 127.0.0.4:6379 is listen too; give the operators' door an address of its own`},
		{`"sockets":1024`, `"sockets":10`, "FILE: limits.sockets: 10 are fewer than 50; give it as many at least"},
		{`"memory_mb":192`, `"memory_mb":1`, "FILE: limits.memory_mb: 1 is less than 16; give it as much at least"},
		{`"balancers":2`, `"balancers":0`, "FILE: settings: balancers: missing or below 1; say how many routers there are"},
		{`"effect":"free"`, `"effect":"odd"`, `FILE: settings: request-classes: "get" lacks a name, an effect, a group or a deadline; ` +
			`effects are free, guarded and single_shot, groups all, zone and cell`},
		{`"settings":`, `"set":`, "FILE: settings: missing; give the object that describes the service"},
		{`"balancers":2`, `"balancers":2,"weights":"heavy"`, `FILE: settings: weights: "heavy"; say silent, nominal, rough or live`},
		{completeFile, `{"name"`, "FILE: unexpected end of JSON input; write one object of JSON, as README.md has it"},
	} {
		cfg, err := load(t, strings.Replace(completeFile, c.from, c.to, 1), nil)
		if err == nil || err.Error() != strings.Replace(c.want, "FILE", cfg.File, 1) {
			t.Errorf("with %s: got %v, want %s", c.to, err, c.want)
		}
	}
	const variable = `EDGE_LISTEN: "there" is no address and port; write it as "127.0.0.1:6379"` // does not name the file, which is valid
	if _, err := load(t, completeFile, map[string]string{"EDGE_LISTEN": "there"}); err == nil || err.Error() != variable {
		t.Errorf("bad variable: got %v, want %s", err, variable)
	}
	if _, err := Load(func(string) string { return "" }); err == nil || err.Error() != "EDGE_CONFIG is not set; have it name the configuration" {
		t.Errorf("no variable: got %v, want that EDGE_CONFIG is not set", err)
	}
}

// TestLoad_SettingsOfAnotherType verifies that the error for settings that are not an object does not print the fields of a Go
// type.
func TestLoad_SettingsOfAnotherType(t *testing.T) {
	cfg, err := load(t, strings.Replace(completeFile, `"settings":`, `"settings":7,"set":`, 1), nil)
	want := cfg.File + ": settings: json: cannot unmarshal number into Go value of type settings.document"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
	var located *configerror.Error
	if !errors.As(err, &located) || located.File != cfg.File || located.Section != "settings" {
		t.Errorf("got %+v, want a configerror.Error of the file's settings", located)
	}
}

// TestLoad_Shape verifies that the two deployment shapes are distinguished by the settings alone. A mix of them is loaded and
// reported with its field; negative costs and another router's file are errors.
func TestLoad_Shape(t *testing.T) {
	perClient := strings.NewReplacer(`"balancers":2`, `"balancers":800,"weights":"nominal","fees":{"waste":0.02,"cross-zone":0.06}`,
		`"send-cap":3`, `"send-cap":4,"cancel":true,"parallel-tries":true`).Replace(completeFile)
	for _, text := range []string{completeFile, perClient} {
		c, err := load(t, text, nil)
		s := c.Settings
		if want := text == perClient; err != nil || s.HedgingAllowed != want || s.WeightsAreCapacity != want || (s.WastedWorkCost == 0.02) != want ||
			(s.CrossZoneCost == 0.06) != want {
			t.Errorf("got %+v, %v, want hedging, capacity weights and both costs: %v", s, err, text == perClient)
		}
	}
	for _, c := range []struct {
		text, from, to, key string
		conflict            bool // expect a ShapeConflict rather than an error
	}{
		{perClient, `"nominal"`, `"silent"`, "weights", true},
		{perClient, `"weights":"nominal",`, "", "weights", true},
		{perClient, `"parallel-tries":true`, `"parallel-tries":false`, "weights", true},
		{perClient, `"cancel":true`, `"cancel":false`, "policy-limits.cancel", true},
		{perClient, `"mode":"aside"`, `"mode":"through"`, "domain.mode", true},
		{perClient, `"send-cap":4`, `"send-cap":2`, "policy-limits.send-cap", true},
		{perClient, `"waste":0.02`, `"waste":-1`, "fees.waste", false},
		{perClient, `"cross-zone":0.06`, `"cross-zone":-1`, "fees.cross-zone", false},
		{perClient, `"balancers":800`, `"balancers":800,"me":800`, "me", false},
		{completeFile, `"balancers":2`, `"balancers":2,"zone":"c","zones":["a","b"]`, "zone", false},
		{completeFile, `"balancers":2`, `"balancers":2,"weights":"rough"`, "weights", true},
		{completeFile, `"send-cap":3`, `"send-cap":3,"cancel":true,"parallel-tries":true`, "weights", true},
	} {
		cfg, err := load(t, strings.Replace(c.text, c.from, c.to, 1), nil)
		if c.conflict {
			if err != nil {
				t.Errorf("with %s: got %v, want it loaded", c.to, err)
			}
			err = cfg.ShapeConflict
		}
		if err == nil || !strings.Contains(err.Error(), "config.json: settings: "+c.key+": ") {
			t.Errorf("with %s: got %v, want an error of %s", c.to, err, c.key)
		}
	}
}
