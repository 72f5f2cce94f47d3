// Package config reads a router's configuration: the EDGE_ environment variables and the JSON file that EDGE_CONFIG names. It
// also computes the limits that the network code observes. internal/program calls it at startup and on SIGHUP, and the check
// command calls it without starting a router. The package is stateless.
//
// All errors are of type *configerror.Error.
package config

import (
	"encoding/json"
	"net/netip"
	"os"
	"strconv"

	"spurtrestle/core/routing"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/settings"
)

// Names of environment variables. Each one but the first overrides a field of the file.
const (
	variableFile      = "EDGE_CONFIG"
	variableName      = "EDGE_NAME"
	variableListen    = "EDGE_LISTEN"
	variableAdmin     = "EDGE_ADMIN"
	variableDiscovery = "EDGE_DISCOVERY"
)

// Config is a router's complete configuration.
type Config struct {
	File           string // the path of the file
	Name           string // of the router
	Listen         string // address and port for clients
	Admin          string // address and port of the admin endpoint; empty: there is none
	Discovery      string // address and port of service discovery
	FileDiscovery  string // the same as the file has it, whatever the environment has; empty or invalid if the file has none
	Seed           uint64
	Settings       routing.Settings
	SavedEndpoints json.RawMessage // an endpoint list saved earlier, in discovery's format; empty: none
	Limits         Limits
	Slot           int      // the router's place among the routers of the settings, from 0
	Site           string   // the router's site; empty: unknown
	Sites          []string // all sites; empty: unknown
	ShapeConflict  error    // see shapeConflict: a warning at startup, an error in the check command; nil: none
}

// Load reads the environment variables through getenv, which is os.Getenv outside tests, and then the file. The error is a
// *configerror.Error. If there is one, only File is valid.
func Load(getenv func(string) string) (Config, error) {
	path := getenv(variableFile)
	if path == "" {
		return Config{}, &configerror.Error{Problem: variableFile + " is not set", Remedy: "have it name the configuration", Environment: true}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &configerror.Error{Field: variableFile, Problem: err.Error(), Remedy: "have it name a file that can be read",
			Environment: true, Cause: err}
	}
	c, err := parse(data, getenv)
	c.File = path
	c.ShapeConflict = configerror.InFile(path, c.ShapeConflict)
	return c, configerror.InFile(path, err)
}

// Reload reads the file again while the router runs. The address of discovery is taken from the file, not from the environment:
// the environment is fixed when the process starts, so that the file is newer.
func Reload(getenv func(string) string) (Config, error) {
	return Load(func(variable string) string {
		if variable == variableDiscovery {
			return ""
		}
		return getenv(variable)
	})
}

// document is the JSON form of the file.
type document struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Admin     string          `json:"admin"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limitsObject    `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// limitsObject is the JSON form of the limits that the machine sets.
type limitsObject struct {
	Memory  int `json:"memory_mb"`
	Sockets int `json:"sockets"`
}

// parse reads the content of a file. Its errors do not name the file yet.
func parse(data []byte, getenv func(string) string) (Config, error) {
	var object document
	if err := json.Unmarshal(data, &object); err != nil {
		err = configerror.WithoutGoType(err)
		return Config{}, &configerror.Error{Problem: err.Error(), Remedy: "write one object of JSON, as README.md has it", Cause: err}
	}
	c := Config{Name: object.Name, FileDiscovery: object.Discovery, SavedEndpoints: object.Known}
	if name := getenv(variableName); name != "" {
		c.Name = name
	}
	if err := c.setAddresses(object, getenv); err != nil {
		return c, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(object.Seed, 16, 64); err != nil {
		return c, &configerror.Error{Field: "seed", Value: strconv.Quote(object.Seed), Problem: "is no number",
			Remedy: "write up to 16 hexadecimal digits", Cause: err}
	}
	if err := c.setSettings(object.Settings); err != nil {
		return c, err
	}
	c.Limits, err = newLimits(object.Limits, c.Admin != "", c.Settings)
	return c, err
}

// setAddresses sets the three addresses. The admin endpoint is optional.
func (c *Config) setAddresses(object document, getenv func(string) string) error {
	var err error
	if c.Listen, err = address(getenv, variableListen, "listen", object.Listen); err != nil {
		return err
	}
	if object.Admin != "" || getenv(variableAdmin) != "" {
		if c.Admin, err = address(getenv, variableAdmin, "admin", object.Admin); err != nil {
			return err
		}
		if c.Admin == c.Listen {
			return &configerror.Error{Field: "admin", Value: c.Admin, Problem: "is listen too", Remedy: "give the operators' door an address of its own"}
		}
	}
	c.Discovery, err = address(getenv, variableDiscovery, "discovery", object.Discovery)
	return err
}

// address returns the value of an environment variable or, if it is not set, that of the file's field.
func address(getenv func(string) string, variable, field, value string) (string, error) {
	name := field
	override := getenv(variable)
	if override != "" {
		name = variable
		value = override
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "", &configerror.Error{Field: name, Value: strconv.Quote(value), Problem: "is no address and port",
			Remedy: `write it as "127.0.0.1:6379"`, Environment: override != "", Cause: err}
	}
	return value, nil
}

// setSettings sets Settings from the settings object, and the router's slot and site. Package settings does not read the latter
// two, so that the object is decoded twice.
func (c *Config) setSettings(object json.RawMessage) error {
	if len(object) == 0 {
		return &configerror.Error{Field: "settings", Problem: "missing", Remedy: "give the object that describes the service"}
	}
	var err error
	if c.Settings, err = settings.Parse(object); err != nil {
		return configerror.InSection(settingsSection, err)
	}
	if err := checkCosts(c.Settings); err != nil {
		return err
	}
	if err := c.setPlace(object); err != nil {
		return err
	}
	c.ShapeConflict = shapeConflict(c.Settings)
	return nil
}
