// Package config reads what a router is told at its start: the EDGE_ variables and the file that EDGE_CONFIG names.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"spurtrestle/core/routing"
	"spurtrestle/internal/settings"
)

// Config is what a router is told.
type Config struct {
	File           string // where it stands
	Name           string
	Listen         string
	Admin          string // the admin endpoint; empty: there is none
	Discovery      string
	Seed           uint64
	Settings       routing.Settings
	SavedEndpoints json.RawMessage // the list as this router last had it, in discovery's form
	Limits         Limits
	Slot           int      // which of the routers it is, from 0
	Site           string   // empty: not told
	Sites          []string // all that there are; none: not told
	ShapeConflict  error    // the settings are of both shapes; nil: of one
}

// Load reads the variables through get, os.Getenv in service. An error names the file, or the variable, the field, and what helps.
func Load(get func(string) string) (Config, error) {
	path := get("EDGE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("EDGE_CONFIG is not set; have it name the configuration")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w; have it name a file that can be read", err)
	}
	c, err := parse(data, get)
	c.File = path
	var of ofVariable
	if err != nil && !errors.As(err, &of) {
		err = fmt.Errorf("%s: %w", path, err)
	}
	if c.ShapeConflict != nil {
		c.ShapeConflict = fmt.Errorf("%s: %w", path, c.ShapeConflict)
	}
	return c, err
}

// ofVariable is an error of a variable: the file is not at fault.
type ofVariable struct{ error }

func parse(data []byte, get func(string) string) (c Config, err error) {
	var f struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Admin     string `json:"admin"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			Memory  int `json:"memory_mb"`
			Sockets int `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return c, fmt.Errorf("%w; write one object of JSON, as README.md has it", err)
	}
	if c.Name = get("EDGE_NAME"); c.Name == "" {
		c.Name = f.Name
	}
	if c.Listen, err = address(get, "EDGE_LISTEN", "listen", f.Listen); err != nil {
		return c, err
	}
	if f.Admin != "" || get("EDGE_ADMIN") != "" {
		if c.Admin, err = address(get, "EDGE_ADMIN", "admin", f.Admin); err != nil {
			return c, err
		}
		if c.Admin == c.Listen {
			return c, fmt.Errorf("admin: %s is listen too; give the operators' door an address of its own", c.Admin)
		}
	}
	if c.Discovery, err = address(get, "EDGE_DISCOVERY", "discovery", f.Discovery); err != nil {
		return c, err
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %q is no number; write up to 16 hexadecimal digits", f.Seed)
	}
	if len(f.Settings) == 0 {
		return c, fmt.Errorf("settings: missing; give the object that describes the service")
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if err = checkFees(c.Settings); err == nil {
		err = c.place(f.Settings)
	}
	if err != nil {
		return c, err
	}
	c.ShapeConflict = mixed(c.Settings)
	c.SavedEndpoints = f.Known
	c.Limits, err = newLimits(f.Limits.Memory, f.Limits.Sockets, c.Admin != "", c.Settings)
	return c, err
}

// Reload reads the file again. It is newer than the variables: the address of discovery is the one that it names.
func Reload(get func(string) string) (Config, error) {
	return Load(func(variable string) string {
		if variable == "EDGE_DISCOVERY" {
			return ""
		}
		return get(variable)
	})
}

// address is that of a variable, or else of the file's field.
func address(get func(string) string, variable, field, text string) (string, error) {
	of, v := field, get(variable)
	if v != "" {
		of, text = variable, v
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		err = fmt.Errorf(`%s: %q is no address and port; write it as "127.0.0.1:6379"`, of, text)
		if v != "" {
			err = ofVariable{err}
		}
		return "", err
	}
	return text, nil
}
