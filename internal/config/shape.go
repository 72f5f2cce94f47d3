package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"spurtrestle/core/routing"
	"spurtrestle/internal/configerror"
)

// settingsSection is the field of the file that the faults below are in.
const settingsSection = "settings"

// minAttemptsWithHedging is an attempt at a cache, a hedge, and one retry.
const minAttemptsWithHedging = 3

// shapeConflict returns an error for settings that mix the two shapes of a deployment: a pool of routers in front of many
// clients, or a router in each client process. policy-limits.parallel-tries tells them apart. A mix mostly comes from a
// file moved from one shape to the other by half. Some deployments mean it, so that a start only warns; the check command
// rejects it.
func shapeConflict(s routing.Settings) error {
	const perClient = "policy-limits.parallel-tries is true, as where each client process has a router of its own"
	for _, conflict := range []struct {
		found                  bool
		field, problem, remedy string
	}{
		{s.HedgingAllowed && !s.WeightsAreCapacity, "weights",
			"lists that tell no sizes, though " + perClient, "say nominal or rough"},
		{!s.HedgingAllowed && s.WeightsAreCapacity, "weights",
			"lists that tell sizes, as of routers in client processes, though policy-limits.parallel-tries is not true", "say silent, or set both"},
		{s.HedgingAllowed && !s.CancelAllowed, "policy-limits.cancel",
			"attempts cannot be called off, though " + perClient, "say true"},
		{s.HedgingAllowed && !s.CacheAside, "domain.mode",
			"the servers ask the origin themselves, though " + perClient, "say aside, or set parallel-tries to false"},
		{s.HedgingAllowed && s.MaxAttempts < minAttemptsWithHedging, "policy-limits.send-cap",
			"a cache, a copy and one more attempt do not fit, though " + perClient, "say 3 at least"},
	} {
		if conflict.found {
			return &configerror.Error{Section: settingsSection, Field: conflict.field, Problem: conflict.problem, Remedy: conflict.remedy}
		}
	}
	return nil
}

// checkCosts rejects negative costs.
func checkCosts(s routing.Settings) error {
	for _, cost := range []struct {
		field string
		value float64
	}{
		{"fees.waste", s.WastedWorkCost},
		{"fees.cross-zone", s.CrossZoneCost},
	} {
		if cost.value < 0 {
			return &configerror.Error{Section: settingsSection, Field: cost.field, Problem: "less than nothing", Remedy: "say 0 or more"}
		}
	}
	return nil
}

// placeDocument is the router's place in its fleet as the settings object has it. Decisions do not read it.
type placeDocument struct {
	Routers int      `json:"balancers"`
	Slot    int      `json:"me"`
	Zone    string   `json:"zone"`
	Zones   []string `json:"zones"`
}

// setPlace reads the router's place, and rejects one that does not exist: the file is meant for another router.
func (c *Config) setPlace(object json.RawMessage) error {
	var place placeDocument
	if err := json.Unmarshal(object, &place); err != nil {
		return configerror.InSection(settingsSection, configerror.WithoutGoType(err))
	}
	if place.Slot < 0 || place.Slot >= place.Routers {
		return &configerror.Error{Section: settingsSection, Field: "me", Value: strconv.Itoa(place.Slot),
			Problem: fmt.Sprintf("is no number of one of %d routers", place.Routers),
			Remedy:  "they count from 0, and balancers says how many"}
	}
	if place.Zone != "" && len(place.Zones) > 0 && !slices.Contains(place.Zones, place.Zone) {
		return &configerror.Error{Section: settingsSection, Field: "zone", Value: strconv.Quote(place.Zone),
			Problem: fmt.Sprintf("is not among zones %q", place.Zones), Remedy: "correct one of them"}
	}
	c.Slot = place.Slot
	c.Site = place.Zone
	c.Sites = place.Zones
	return nil
}
