package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const whole = `{"name":"n3","listen":"127.0.0.4:6379","discovery":"127.0.1.1:8500","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[]},"settings":` +
	`{"balancers":2,"discovery":"pushed","domain":{"mode":"aside","origin-kind":1},"flavors":["std","origin"],` +
	`"policy-limits":{"send-cap":3,"connect-timeout-s":0.1,"idle-close-s":60},"rules":{},"request-classes":` +
	`[{"name":"get","effect":"free","deadline-s":1}]}}`

func load(t *testing.T, text string, variables map[string]string) (Config, error) {
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

func TestLoad(t *testing.T) {
	c, err := load(t, whole, map[string]string{"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.9:1"})
	got := fmt.Sprintf("%v %s %s %s %x, %d routers, %d %d %d %s", err, c.Name, c.Listen, c.Discovery, c.Seed,
		c.Settings.Routers, c.Limits.Connect, c.Limits.Idle, c.Limits.Descriptors, c.Known)
	const want = "<nil> n9 127.0.0.9:1 127.0.1.1:8500 8c1f30d27a5be964, 2 routers, 100000 54000000 990 " +
		`{"rev":1,"all":true,"targets":[]}`
	if got != want {
		t.Error(got)
	}
}

// What is wrong is named by its field.
func TestBadConfigurationIsNamed(t *testing.T) {
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
		{whole, `{"name"`, "FILE: unexpected end of JSON input; write one object of JSON, as README.md has it"},
	} {
		cfg, err := load(t, strings.Replace(whole, c.from, c.to, 1), nil)
		if err == nil || err.Error() != strings.Replace(c.want, "FILE", cfg.File, 1) {
			t.Errorf("with %s: %v", c.to, err)
		}
	}
	const variable = `EDGE_LISTEN: "there" is no address and port; write it as "127.0.0.1:6379"` // the file is right
	if _, err := load(t, whole, map[string]string{"EDGE_LISTEN": "there"}); err == nil || err.Error() != variable {
		t.Error(err)
	}
	if _, err := Load(func(string) string { return "" }); err == nil || err.Error() != "EDGE_CONFIG is not set; have it name the configuration" {
		t.Error(err)
	}
}

// The shape follows from the settings alone: none of the newer keys is the old one, and a mix is told by its key, but served;
// what is no price, and a file for another router, are refused.
func TestShape(t *testing.T) {
	own := strings.NewReplacer(`"balancers":2`, `"balancers":800,"weights":"nominal","fees":{"waste":0.02,"cross-zone":0.06}`,
		`"send-cap":3`, `"send-cap":4,"cancel":true,"parallel-tries":true`).Replace(whole)
	for _, text := range []string{whole, own} {
		c, err := load(t, text, nil)
		s := c.Settings
		t.Log(err, s.HedgingAllowed, s.WeightsAreCapacity, s.WastedWorkCost, s.CrossZoneCost)
		if new := text == own; err != nil || s.HedgingAllowed != new || s.WeightsAreCapacity != new || (s.WastedWorkCost == 0.02) != new ||
			(s.CrossZoneCost == 0.06) != new {
			t.Errorf("%v: %+v", err, s)
		}
	}
	for _, c := range []struct{ text, from, to, key string }{
		{own, `"nominal"`, `"silent"`, "weights"},
		{own, `"weights":"nominal",`, "", "weights"},
		{own, `"parallel-tries":true`, `"parallel-tries":false`, "weights"},
		{own, `"cancel":true`, `"cancel":false`, "policy-limits.cancel"},
		{own, `"mode":"aside"`, `"mode":"through"`, "domain.mode"},
		{own, `"send-cap":4`, `"send-cap":2`, "policy-limits.send-cap"},
		{own, `"waste":0.02`, `"waste":-1`, "fees.waste"},
		{own, `"cross-zone":0.06`, `"cross-zone":-1`, "fees.cross-zone"},
		{own, `"balancers":800`, `"balancers":800,"me":800`, "me"},
		{whole, `"balancers":2`, `"balancers":2,"zone":"c","zones":["a","b"]`, "zone"},
		{whole, `"balancers":2`, `"balancers":2,"weights":"rough"`, "weights"},
		{whole, `"send-cap":3`, `"send-cap":3,"cancel":true,"parallel-tries":true`, "weights"},
	} {
		cfg, err := load(t, strings.Replace(c.text, c.from, c.to, 1), nil)
		if mix := c.key == "weights" || strings.Contains(c.key, "policy") || strings.Contains(c.key, "domain"); mix {
			if err != nil {
				t.Errorf("with %s: %v", c.to, err)
			}
			err = cfg.Mixed
		}
		if err == nil || !strings.Contains(err.Error(), "config.json: settings: "+c.key+": ") {
			t.Errorf("with %s: %v", c.to, err)
		}
	}
}
