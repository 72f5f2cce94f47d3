package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"spurtrestle/core/routing"
	"spurtrestle/internal/configerror"
)

// settingsSection is the section named in errors of the settings object.
const settingsSection = "settings"

// minAttemptsWithHedging allows an attempt at a cache, a hedged request and one retry.
const minAttemptsWithHedging = 3

// conflict is a pair of settings that belong to different deployment shapes.
type conflict struct {
	found   bool
	field   string
	problem string
	remedy  string
}

// shapeConflict returns an error for settings that mix the two deployment shapes: a proxy tier that many clients share, and a
// sidecar, a router in each client process. policy-limits.parallel-tries distinguishes them. A mix usually comes from a file
// that was only partly converted from one shape to the other. Some deployments intend it, so startup only logs a warning; the
// check command rejects it.
func shapeConflict(service routing.Settings) error {
	const sidecarReason = "policy-limits.parallel-tries is true, as where each client process has a router of its own"
	sidecar := service.HedgingAllowed
	for _, conflict := range []conflict{
		{
			found:   sidecar && !service.WeightsAreCapacity,
			field:   "weights",
			problem: "lists that tell no sizes, though " + sidecarReason,
			remedy:  "say nominal or rough",
		},
		{
			found:   !sidecar && service.WeightsAreCapacity,
			field:   "weights",
			problem: "lists that tell sizes, as of routers in client processes, though policy-limits.parallel-tries is not true",
			remedy:  "say silent, or set both",
		},
		{
			found:   sidecar && !service.CancelAllowed,
			field:   "policy-limits.cancel",
			problem: "attempts cannot be called off, though " + sidecarReason,
			remedy:  "say true",
		},
		{
			found:   sidecar && !service.CacheAside,
			field:   "domain.mode",
			problem: "the servers ask the origin themselves, though " + sidecarReason,
			remedy:  "say aside, or set parallel-tries to false",
		},
		{
			found:   sidecar && service.MaxAttempts < minAttemptsWithHedging,
			field:   "policy-limits.send-cap",
			problem: "a cache, a copy and one more attempt do not fit, though " + sidecarReason,
			remedy:  "say 3 at least",
		},
	} {
		if conflict.found {
			return &configerror.Error{Section: settingsSection, Field: conflict.field, Problem: conflict.problem, Remedy: conflict.remedy}
		}
	}
	return nil
}

// checkCosts rejects negative costs, which would reward wasted work or traffic between zones.
func checkCosts(service routing.Settings) error {
	for _, cost := range []struct {
		field string
		value float64
	}{
		{"fees.waste", service.WastedWorkCost},
		{"fees.cross-zone", service.CrossZoneCost},
	} {
		if cost.value < 0 {
			return &configerror.Error{Section: settingsSection, Field: cost.field, Problem: "less than nothing", Remedy: "say 0 or more"}
		}
	}
	return nil
}

// placeDocument is the router's place in its fleet, as given in the settings object. Routing decisions do not use it.
type placeDocument struct {
	Routers int      `json:"balancers"`
	Slot    int      `json:"me"`
	Zone    string   `json:"zone"`
	Zones   []string `json:"zones"`
}

// setPlace sets the router's slot and site. A slot or site outside the fleet is rejected: the file then belongs to another
// router.
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
