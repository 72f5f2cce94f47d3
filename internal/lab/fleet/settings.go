package fleet

import (
	"encoding/json"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/referee"
	"spurtrestle/internal/lab/scenario"
)

// settings returns the service settings of a router, with their names and units on the wire.
func settings(s scenario.Scenario, me int) map[string]any {
	seconds := func(x scenario.Span) float64 { return float64(x) / 1e6 }
	var classes, tenants []map[string]any
	for _, m := range s.Methods {
		c := map[string]any{"name": m.Name, "effect": scenario.Effects[m.Effect], "slo-s": seconds(m.LatencyBudget),
			"deadline-s": seconds(m.Deadline), "worth": m.Criticality, "late-value": m.LateShare}
		if m.Effect == "deduplicated" {
			c["group"], c["window-s"] = m.Group, seconds(m.Window)
		}
		classes = append(classes, c)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": t.Share})
	}
	var fields []string
	for _, name := range s.Servers.ReportFields {
		fields = append(fields, scenario.LoadReportFields[name])
	}
	domain := map[string]any{"mode": s.Service.Mode}
	if s.Service.Mode == "aside" {
		domain["origin-kind"] = 1
	}
	return map[string]any{
		"balancers": s.Routers.Count, "me": me, "zone": s.SiteOf(me), "zones": s.Sites, "discovery": "pushed", "resolution-s": 0.001,
		"flavors": []string{"cache", "origin"}, "domain": domain, "over-share-worth": s.Service.OverShareValue,
		"load-report": map[string]any{"how": "answers", "fields": fields},
		"policy-limits": map[string]any{"cancel": s.Service.Cancel, "probes": s.Servers.Probes, "retry-after": s.Service.Hints,
			"max-retry-after-s": seconds(s.Service.MaxHint), "send-cap": s.Service.MaxAttempts,
			"connect-timeout-s": seconds(s.Service.ConnectTimeout), "idle-close-s": seconds(s.Service.IdleClose)},
		"rules": map[string]any{"cold-s": seconds(s.Servers.ColdSpan), "cold-share": s.Servers.ColdShare,
			"fall-s": seconds(s.Servers.CollapseWindow), "tip-multiple": s.Servers.CollapseMultiple,
			"stop-sending-within-s": seconds(s.Service.DrainGrace)},
		"request-classes": classes, "tenants": tenants,
	}
}

// Config returns the content of a router's configuration file. me is the index of the router, known the server list.
func Config(s scenario.Scenario, me int, name, listen, discovery, seed string, known json.RawMessage) ([]byte, error) {
	return json.MarshalIndent(map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": seed,
		"limits": map[string]any{"cores": float64(s.Routers.Cores), "memory_mb": s.Routers.MemoryMB,
			"sockets": s.Routers.Descriptors},
		"known": known, "settings": settings(s, me)}, "", " ")
}

// rules returns the parameters of the referee's checks.
func rules(s scenario.Scenario, places map[event.Server]referee.Location) referee.Rules {
	r := referee.Rules{Locations: places, MaxAttempts: s.Service.MaxAttempts, DrainGrace: s.Service.DrainGrace.Micros(),
		Slack: referee.DefaultSlack, NotifyDelay: referee.DefaultNotifyDelay, MaxColdMissShare: referee.DefaultMaxColdMissShare}
	for _, m := range s.Methods {
		r.Methods = append(r.Methods, referee.Method{Name: m.Name, Effect: m.Effect, Group: m.Group, Window: m.Window.Micros()})
	}
	return r
}
