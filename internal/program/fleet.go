package program

import (
	"fmt"
	"os"
	"slices"

	"spurtrestle/internal/admin"
	"spurtrestle/internal/config"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/router"
	"spurtrestle/internal/settings"
)

// fleetConfig builds the fleet configuration from the operator's file, falling back to the router's configuration for the
// name and the site.
func fleetConfig(file operator.File, cfg config.Config) (fleet.Config, error) {
	f := file.Fleet
	c := fleet.Config{
		Fleet:         f.Name,
		Name:          f.Router,
		Site:          f.Site,
		Sites:         cfg.Sites,
		Tiered:        f.Tiered,
		Region:        f.Region,
		Remote:        f.Remote,
		Join:          f.Join,
		Dir:           f.Dir,
		ProbeInterval: f.ProbeInterval(),
		ForgetAfter:   f.ForgetAfter(),
		FleetSize:     cfg.Settings.Routers,
		Slot:          cfg.Slot,
		Build:         revision(),
		Methods:       settings.MethodNames(cfg.Settings),
		ConfigError:   file.FieldError,
	}
	c.Listen, c.Advertise = f.Addresses()
	if c.Name == "" {
		c.Name = cfg.Name
	}
	if c.Site == "" {
		c.Site = cfg.Site
	}
	return c, checkFleetConfig(c)
}

// checkFleetConfig validates what depends on both files; package operator has checked the rest.
func checkFleetConfig(cfg fleet.Config) error {
	if cfg.Name == "" {
		return cfg.ConfigError("fleet.router", "is empty, and so is name in the configuration", "give the router a name")
	}
	if len(cfg.Sites) > 0 && !slices.Contains(cfg.Sites, cfg.Site) {
		return cfg.ConfigError("fleet.site", fmt.Sprintf("%q is not among the settings' zones", cfg.Site), fmt.Sprintf("write one of %q", cfg.Sites))
	}
	if cfg.Tiered && cfg.Site == "" {
		return cfg.ConfigError("fleet.site", "is empty, and so is the site in the configuration", "name the site; a tiered fleet consists of sites")
	}
	if cfg.Dir != "" {
		if info, err := os.Stat(cfg.Dir); err == nil && !info.IsDir() {
			return cfg.ConfigError("fleet.dir", cfg.Dir+" is no folder", "name a folder, one for each router")
		}
	}
	return nil
}

// fleetRouter adds fleet membership to a router. It is served by the admin endpoint.
type fleetRouter struct {
	*router.Router
	fleet.Node
}

// Metrics returns the metrics of the router, followed by those of the fleet membership.
func (r fleetRouter) Metrics() string { return r.Router.Metrics() + r.Node.Metrics() }

// policyRouter adds the fleet's policy to a fleetRouter. It is served by the admin endpoint.
type policyRouter struct {
	fleetRouter
	policy fleet.Policy
}

// Policy returns the policy in force as JSON.
func (r policyRouter) Policy() (string, error) { return r.policy.Policy() }

// HandleRequest forwards an operator's request to the voters and returns their reply.
func (r policyRouter) HandleRequest(request string) (string, error) {
	return r.policy.HandleRequest(request)
}

// The admin endpoint detects these interfaces by type assertion.
var (
	_ admin.Fleet  = fleetRouter{}
	_ admin.Policy = policyRouter{}
)
