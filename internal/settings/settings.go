// Package settings reads the settings object that a router is told at its start, on the bench's wire and in its
// own configuration alike.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

var (
	// Figures names what load reports hold.
	Figures = map[string]routing.Figure{"avg_ms": routing.FigureServiceTime, "waiting": routing.FigureQueue,
		"active": routing.FigureInFlight, "cpu": routing.FigureBusy, "err_rps": routing.FigureErrors,
		"x0": routing.FigureHits}
	effects = map[string]routing.Idempotency{"free": routing.Idempotent, "guarded": routing.Deduplicated,
		"single_shot": routing.NonIdempotent}
	groups = map[string]routing.DeduplicationScope{"": routing.ScopeAll, "all": routing.ScopeAll, "zone": routing.ScopeZone,
		"cell": routing.ScopeCell}
)

// Micros is a span told in seconds.
func Micros(s float64) clock.Time { return clock.Time(math.Round(s * 1e6)) }

// Parse reads the settings object. Unknown keys are ignored; a needed one that is missing or
// contradicts another is named, with what helps.
func Parse(data []byte) (routing.Settings, error) {
	var p struct {
		Balancers  *int     `json:"balancers"`
		Discovery  string   `json:"discovery"`
		Weights    string   `json:"weights"`
		Resolution float64  `json:"resolution-s"`
		Flavors    []string `json:"flavors"`
		Over       float64  `json:"over-share-worth"`
		Fees       struct {
			Connection float64 `json:"connection"`
			Handshake  float64 `json:"handshake"`
			Waste      float64 `json:"waste"`
			Cross      float64 `json:"cross-zone"`
		} `json:"fees"`
		Goal struct {
			WorstClass float64 `json:"worst-class"`
		} `json:"goal"`
		Domain struct {
			Mode     string  `json:"mode"`
			Kind     *int    `json:"origin-kind"`
			Fall     float64 `json:"origin-fall-multiple"`
			FallSpan float64 `json:"origin-fall-s"`
		} `json:"domain"`
		Report struct {
			Fields []string `json:"fields"`
			How    string   `json:"how"`
		} `json:"load-report"`
		Limits struct {
			Cancel   bool    `json:"cancel"`
			Probes   bool    `json:"probes"`
			Hint     bool    `json:"retry-after"`
			Parallel bool    `json:"parallel-tries"`
			SendCap  *int    `json:"send-cap"`
			MaxHint  float64 `json:"max-retry-after-s"`
			Connect  float64 `json:"connect-timeout-s"`
			Idle     float64 `json:"idle-close-s"`
		} `json:"policy-limits"`
		Rules *struct {
			Slack     float64 `json:"answer-slack-s"`
			AskEvery  float64 `json:"ask-every-s"`
			ColdSpan  float64 `json:"cold-s"`
			ColdShare float64 `json:"cold-share"`
			FallSpan  float64 `json:"fall-s"`
			Multiple  float64 `json:"tip-multiple"`
			Grace     float64 `json:"stop-sending-within-s"`
		} `json:"rules"`
		Classes []struct {
			Name     string  `json:"name"`
			Effect   string  `json:"effect"`
			Group    string  `json:"group"`
			Window   float64 `json:"window-s"`
			Aim      float64 `json:"slo-s"`
			Deadline float64 `json:"deadline-s"`
			Worth    float64 `json:"worth"`
			Late     float64 `json:"late-value"`
			Stream   bool    `json:"stream"`
		} `json:"request-classes"`
		Tenants []struct {
			Name  string  `json:"name"`
			Share float64 `json:"share"`
			Quota float64 `json:"quota-per-s"`
		} `json:"tenants"`
	}
	var s routing.Settings
	if err := json.Unmarshal(data, &p); err != nil {
		return s, err
	}
	switch {
	case p.Balancers == nil || *p.Balancers < 1:
		return s, errors.New("balancers: missing or below 1; say how many routers there are")
	case len(p.Classes) == 0:
		return s, errors.New("request-classes: missing or empty; name the service's methods")
	case p.Rules == nil:
		return s, errors.New("rules: missing; give the object, as the service was told it")
	case p.Limits.SendCap == nil || *p.Limits.SendCap < 1:
		return s, errors.New("policy-limits.send-cap: missing or below 1; say how many attempts a request may have")
	case p.Discovery != "pushed" && p.Discovery != "on_request":
		return s, fmt.Errorf("discovery: %q; say pushed or on_request", p.Discovery)
	case p.Domain.Mode != "aside" && p.Domain.Mode != "through":
		return s, fmt.Errorf("domain.mode: %q; say aside or through", p.Domain.Mode)
	case !slices.Contains([]string{"", "silent", "nominal", "rough", "live"}, p.Weights):
		return s, fmt.Errorf("weights: %q; say silent, nominal, rough or live", p.Weights)
	case p.Domain.Mode == "aside" && p.Domain.Kind == nil:
		return s, errors.New("domain.origin-kind: missing, though domain.mode is aside; say which of flavors the origin is, from 0")
	}
	if k := p.Domain.Kind; k != nil && *k >= len(p.Flavors) {
		return s, fmt.Errorf("domain.origin-kind: %d, but flavors has %d names; they count from 0", *k, len(p.Flavors))
	} else if k != nil && *k >= 0 {
		s.OriginKind = routing.Kind(p.Flavors[*k])
	}
	s.Routers = *p.Balancers
	s.CacheAside = p.Domain.Mode == "aside"
	s.OriginOverloadMultiple, s.OriginOverloadWindow = p.Domain.Fall, Micros(p.Domain.FallSpan)
	for _, name := range p.Report.Fields {
		s.ReportFields = append(s.ReportFields, Figures[name])
	}
	s.ReportsOnHealthChecks = p.Report.How == "pull"
	s.PollEndpoints = p.Discovery == "on_request"
	s.WeightsAreCapacity = p.Weights == "nominal" || p.Weights == "rough"
	s.ClockGranularity = Micros(p.Resolution)
	s.OverShareWeight, s.WorstMethodWeight = p.Over, p.Goal.WorstClass
	s.WastedWorkCost, s.CrossZoneCost = p.Fees.Waste, p.Fees.Cross
	s.ConnectionCost, s.HandshakeCost = p.Fees.Connection, p.Fees.Handshake
	l, u := p.Limits, p.Rules
	s.CancelAllowed, s.HealthChecksAllowed, s.HedgingAllowed = l.Cancel, l.Probes, l.Parallel
	s.MaxAttempts, s.MaxRetryAfter, s.ConnectTimeout = *l.SendCap, Micros(l.MaxHint), Micros(l.Connect)
	if !l.Hint {
		s.MaxRetryAfter = 0
	}
	s.ServerIdleTimeout = Micros(l.Idle)
	s.ResponseSlack, s.PollInterval, s.DrainTimeout = Micros(u.Slack), Micros(u.AskEvery), Micros(u.Grace)
	s.WarmUpShare, s.WarmUpDuration = u.ColdShare, Micros(u.ColdSpan)
	s.OverloadMultiple, s.OverloadWindow = u.Multiple, Micros(u.FallSpan)
	for _, c := range p.Classes {
		e, ok := effects[c.Effect]
		g, ok2 := groups[c.Group]
		if !ok || !ok2 || c.Name == "" || c.Deadline <= 0 {
			return s, fmt.Errorf("request-classes: %q lacks a name, an effect, a group or a deadline; effects are %s, groups %s",
				c.Name, "free, guarded and single_shot", "all, zone and cell")
		}
		s.Methods = append(s.Methods, routing.MethodSettings{Name: c.Name, Idempotency: e, DeduplicationScope: g,
			DeduplicationWindow: Micros(c.Window), LatencyBudget: Micros(c.Aim), Deadline: Micros(c.Deadline),
			Criticality: c.Worth, LateValue: c.Late, Stream: c.Stream})
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants,
			routing.TenantSettings{Name: routing.Tenant(t.Name), Share: t.Share, Quota: t.Quota})
	}
	return s, nil
}
