// Package settings reads the settings object, which describes the service: its methods, tenants, costs and rules. The router's
// configuration contains it (internal/config), and the simulator sends it (simwire). The package is stateless.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/configerror"
)

// ReportFields maps the field names of a server's load report to the figures that they report. A name that is not in the map
// yields routing.FigureUnknown. It must not be modified.
var ReportFields = map[string]routing.Figure{
	"avg_ms":  routing.FigureServiceTime,
	"waiting": routing.FigureQueue,
	"active":  routing.FigureInFlight,
	"cpu":     routing.FigureBusy,
	"err_rps": routing.FigureErrors,
	"x0":      routing.FigureHits,
}

// effects maps the values of a method's effect to its idempotency.
var effects = map[string]routing.Idempotency{
	"free":        routing.Idempotent,
	"guarded":     routing.Deduplicated,
	"single_shot": routing.NonIdempotent,
}

// groups maps the values of a method's group to the scope within which repeated requests are deduplicated.
var groups = map[string]routing.DeduplicationScope{
	"":     routing.ScopeAll,
	"all":  routing.ScopeAll,
	"zone": routing.ScopeZone,
	"cell": routing.ScopeCell,
}

// Seconds converts a number of seconds to a Duration.
func Seconds(seconds float64) clock.Duration {
	return clock.Duration(math.Round(seconds * float64(clock.Second)))
}

// Parse reads the settings object. Unknown keys are ignored. The error is a *configerror.Error or an error of encoding/json; the
// caller adds its location with configerror.InSection. The settings are valid only if there is no error.
func Parse(data []byte) (routing.Settings, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return routing.Settings{}, configerror.WithoutGoType(err)
	}
	if err := d.check(); err != nil {
		return routing.Settings{}, err
	}
	service := routing.Settings{
		Routers:          *d.Balancers,
		ClockGranularity: Seconds(d.Resolution),
		OverShareWeight:  d.OverShare,
	}
	d.applyDomain(&service)
	d.applyCosts(&service)
	d.applyDiscovery(&service)
	d.applyLimits(&service)
	d.applyRules(&service)
	if err := d.applyMethods(&service); err != nil {
		return service, err
	}
	d.applyTenants(&service)
	return service, nil
}

// check rejects an object with a missing or unknown value, or with values that contradict each other.
func (d *document) check() error {
	switch {
	case d.Balancers == nil || *d.Balancers < 1:
		return &configerror.Error{Field: "balancers", Problem: "missing or below 1", Remedy: "say how many routers there are"}
	case len(d.Classes) == 0:
		return &configerror.Error{Field: "request-classes", Problem: "missing or empty", Remedy: "name the service's methods"}
	case d.Rules == nil:
		return &configerror.Error{Field: "rules", Problem: "missing", Remedy: "give the object, as the service was told it"}
	case d.Limits.MaxAttempts == nil || *d.Limits.MaxAttempts < 1:
		return &configerror.Error{Field: "policy-limits.send-cap", Problem: "missing or below 1",
			Remedy: "say how many attempts a request may have"}
	case !slices.Contains([]string{discoveryPushed, discoveryOnRequest}, d.Discovery):
		return &configerror.Error{Field: "discovery", Value: strconv.Quote(d.Discovery), Remedy: "say pushed or on_request"}
	case !slices.Contains([]string{modeAside, modeThrough}, d.Domain.Mode):
		return &configerror.Error{Field: "domain.mode", Value: strconv.Quote(d.Domain.Mode), Remedy: "say aside or through"}
	case !slices.Contains([]string{"", weightsSilent, weightsNominal, weightsRough, weightsLive}, d.Weights):
		return &configerror.Error{Field: "weights", Value: strconv.Quote(d.Weights), Remedy: "say silent, nominal, rough or live"}
	}
	return d.checkOriginKind()
}

// checkOriginKind rejects an origin that is missing although the mode needs it, or that is not among the flavors.
func (d *document) checkOriginKind() error {
	kind := d.Domain.OriginKind
	if kind == nil && d.Domain.Mode == modeAside {
		return &configerror.Error{Field: "domain.origin-kind", Problem: "missing, though domain.mode is aside",
			Remedy: "say which of flavors the origin is, from 0"}
	}
	if kind != nil && *kind >= len(d.Flavors) {
		return &configerror.Error{Field: "domain.origin-kind",
			Problem: fmt.Sprintf("%d, but flavors has %d names", *kind, len(d.Flavors)), Remedy: "they count from 0"}
	}
	return nil
}

func (d *document) applyDomain(service *routing.Settings) {
	service.CacheAside = d.Domain.Mode == modeAside
	kind := d.Domain.OriginKind
	if kind != nil && *kind >= 0 { // negative: the origin is not listed
		service.OriginKind = routing.Kind(d.Flavors[*kind])
	}
	service.OriginOverloadMultiple = d.Domain.OriginOverloadMultiple
	service.OriginOverloadWindow = Seconds(d.Domain.OriginOverloadWindow)
}

func (d *document) applyCosts(service *routing.Settings) {
	service.ConnectionCost = d.Fees.Connection
	service.HandshakeCost = d.Fees.Handshake
	service.WastedWorkCost = d.Fees.Waste
	service.CrossZoneCost = d.Fees.CrossZone
	service.WorstMethodWeight = d.Goal.WorstClass
}

func (d *document) applyDiscovery(service *routing.Settings) {
	service.PollEndpoints = d.Discovery == discoveryOnRequest
	service.WeightsAreCapacity = d.Weights == weightsNominal || d.Weights == weightsRough
	service.ReportsOnHealthChecks = d.LoadReport.How == reportPull
	for _, name := range d.LoadReport.Fields {
		service.ReportFields = append(service.ReportFields, ReportFields[name])
	}
}

func (d *document) applyLimits(service *routing.Settings) {
	limits := &d.Limits
	service.CancelAllowed = limits.Cancel
	service.HealthChecksAllowed = limits.HealthChecks
	service.HedgingAllowed = limits.Hedging
	service.MaxAttempts = *limits.MaxAttempts
	if limits.RetryAfter {
		service.MaxRetryAfter = Seconds(limits.MaxRetryAfter)
	}
	service.ConnectTimeout = Seconds(limits.ConnectTimeout)
	service.ServerIdleTimeout = Seconds(limits.IdleTimeout)
}

func (d *document) applyRules(service *routing.Settings) {
	rules := d.Rules
	service.ResponseSlack = Seconds(rules.ResponseSlack)
	service.PollInterval = Seconds(rules.PollInterval)
	service.DrainTimeout = Seconds(rules.DrainTimeout)
	service.WarmUpShare = rules.WarmUpShare
	service.WarmUpDuration = Seconds(rules.WarmUpDuration)
	service.OverloadMultiple = rules.OverloadMultiple
	service.OverloadWindow = Seconds(rules.OverloadWindow)
}

// applyMethods sets the methods. It validates them after everything else, so that an object with several faults yields the same
// error as in earlier releases. The error does not say which of its four faults occurred.
func (d *document) applyMethods(service *routing.Settings) error {
	for _, class := range d.Classes {
		effect, effectKnown := effects[class.Effect]
		group, groupKnown := groups[class.Group]
		if !effectKnown || !groupKnown || class.Name == "" || class.Deadline <= 0 {
			return &configerror.Error{
				Field:   "request-classes",
				Value:   strconv.Quote(class.Name),
				Problem: "lacks a name, an effect, a group or a deadline",
				Remedy:  "effects are free, guarded and single_shot, groups all, zone and cell",
			}
		}
		service.Methods = append(service.Methods, routing.MethodSettings{
			Name:                class.Name,
			Idempotency:         effect,
			DeduplicationScope:  group,
			DeduplicationWindow: Seconds(class.Window),
			LatencyBudget:       Seconds(class.Objective),
			Deadline:            Seconds(class.Deadline),
			Criticality:         class.Weight,
			LateValue:           class.LateValue,
			Stream:              class.Stream,
		})
	}
	return nil
}

func (d *document) applyTenants(service *routing.Settings) {
	for _, tenant := range d.Tenants {
		service.Tenants = append(service.Tenants, routing.TenantSettings{
			Name:  routing.Tenant(tenant.Name),
			Share: tenant.Share,
			Quota: tenant.Quota,
		})
	}
}
