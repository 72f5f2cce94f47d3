// Package config reads what a router is told at its start: the EDGE_ variables and the file that EDGE_CONFIG names.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"spurtrestle/choice"
	"spurtrestle/internal/settings"
)

// Config is what a router is told.
type Config struct {
	Name      string
	Listen    string
	Admin     string // the operators' door; empty: there is none
	Discovery string
	Seed      uint64
	Settings  choice.Settings
	Known     json.RawMessage // the list as this router last had it, in discovery's form
	Limits    Limits
	Seat      int      // which of the routers it is, from 0
	Site      string   // empty: not told
	Sites     []string // all that there are; none: not told
	Mixed     error    // the settings are of both shapes; nil: of one
}

// Load reads the variables through get, os.Getenv in service.
func Load(get func(string) string) (Config, error) {
	var c Config
	path := get("EDGE_CONFIG")
	if path == "" {
		return c, fmt.Errorf("EDGE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
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
		return c, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	either := func(variable, told string) string {
		if v := get(variable); v != "" {
			return v
		}
		return told
	}
	c.Name = either("EDGE_NAME", f.Name)
	if c.Listen, err = address("listen", either("EDGE_LISTEN", f.Listen)); err != nil {
		return c, err
	}
	if c.Admin = either("EDGE_ADMIN", f.Admin); c.Admin != "" {
		if c.Admin, err = address("admin", c.Admin); err == nil && c.Admin == c.Listen {
			err = fmt.Errorf("admin: %s is listen too; give the operators' door an address of its own", c.Admin)
		}
		if err != nil {
			return c, err
		}
	}
	if c.Discovery, err = address("discovery", either("EDGE_DISCOVERY", f.Discovery)); err != nil {
		return c, err
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %q is not a hexadecimal number", f.Seed)
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if err = checkFees(c.Settings); err == nil {
		err = c.place(f.Settings)
	}
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if err = mixed(c.Settings); err != nil {
		c.Mixed = fmt.Errorf("%s: %w", path, err)
	}
	c.Known = f.Known
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

func address(field, text string) (string, error) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return "", fmt.Errorf("%s: %q is no address and port", field, text)
	}
	return text, nil
}
