package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"spurtrestle/core/routing"
)

// A deployment has one of two shapes: clients reach a pool of routers, or each client process has a router of its own.
// policy-limits.parallel-tries says which, and nothing else in the program asks.

// mixed tells of settings that are of both. A mixed file is mostly one that was half moved: it serves, and only its figures
// tell. But there are customers who mean it (copies beside lists without sizes, sizes without copies), and a router that
// refused to start there served nobody: a start only warns, and cache-router check refuses.
func mixed(s routing.Settings) error {
	const own = "policy-limits.parallel-tries is true, as where each client process has a router of its own"
	for _, c := range []struct {
		wrong             bool
		key, what, remedy string
	}{
		{s.HedgingAllowed && !s.WeightsAreCapacity, "weights", "lists that tell no sizes, though " + own, "say nominal or rough"},
		{!s.HedgingAllowed && s.WeightsAreCapacity, "weights", "lists that tell sizes, as of routers in client processes, though " +
			"policy-limits.parallel-tries is not true", "say silent, or set both"},
		{s.HedgingAllowed && !s.CancelAllowed, "policy-limits.cancel", "attempts cannot be called off, though " + own, "say true"},
		{s.HedgingAllowed && !s.CacheAside, "domain.mode", "the servers ask the origin themselves, though " + own,
			"say aside, or set parallel-tries to false"},
		{s.HedgingAllowed && s.MaxAttempts < 3, "policy-limits.send-cap", "a cache, a copy and one more attempt do not " +
			"fit, though " + own, "say 3 at least"},
	} {
		if c.wrong {
			return fmt.Errorf("settings: %s: %s; %s", c.key, c.what, c.remedy)
		}
	}
	return nil
}

// checkFees refuses what is no price.
func checkFees(s routing.Settings) error {
	for _, f := range []struct {
		key string
		fee float64
	}{{"waste", s.WastedWorkCost}, {"cross-zone", s.CrossZoneCost}} {
		if f.fee < 0 {
			return fmt.Errorf("settings: fees.%s: less than nothing; say 0 or more", f.key)
		}
	}
	return nil
}

// place refuses a router that is none of its fleet: the decisions do not read its number and its location, so that
// only a file meant for another router has them wrong.
func (c *Config) place(settings json.RawMessage) error {
	var p struct {
		Routers int      `json:"balancers"`
		Me      int      `json:"me"`
		Zone    string   `json:"zone"`
		Zones   []string `json:"zones"`
	}
	if err := json.Unmarshal(settings, &p); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if p.Me < 0 || p.Me >= p.Routers {
		return fmt.Errorf("settings: me: %d is no number of one of %d routers; they count from 0, and balancers says how many",
			p.Me, p.Routers)
	}
	if p.Zone != "" && len(p.Zones) > 0 && !slices.Contains(p.Zones, p.Zone) {
		return fmt.Errorf("settings: zone: %q is not among zones %q; correct one of them", p.Zone, p.Zones)
	}
	c.Seat, c.Site, c.Sites = p.Me, p.Zone, p.Zones
	return nil
}
