package routing

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/tracetest"
)

// TestTraces plays the scripts of testdata: events with their times, and below each the decisions that follow. Lines without
// a time are settings or comments.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		got := playScript(script)
		if second := playScript(script); second != got {
			t.Errorf("a second run differs:\n%s", second)
		}
		return got
	})
}

// baseSettings is a site in cache-aside mode; scripts change it with lines such as "set routers=3 through".
func baseSettings() Settings {
	return Settings{Routers: 1, CacheAside: true, OriginKind: "origin", ClockGranularity: 1e3, WarmUpShare: 0.2,
		WarmUpDuration: 10e6, OverloadWindow: 1e6, OverloadMultiple: 2, CancelAllowed: true, MaxRetryAfter: 1e6,
		MaxAttempts: 3, OverShareWeight: 0.1, DrainTimeout: 1e6, PollInterval: 10e6, ResponseSlack: 20e3,
		Methods: []MethodSettings{
			{Name: "read", LatencyBudget: 500e3, Deadline: 1200e3, Criticality: 2},
			{Name: "hold", Idempotency: Deduplicated, DeduplicationWindow: 600e3, LatencyBudget: 400e3, Deadline: 800e3,
				Criticality: 5, LateValue: 0.5},
			{Name: "pay", Idempotency: NonIdempotent, LatencyBudget: 1500e3, Deadline: 3000e3, Criticality: 5,
				LateValue: 0.5},
			{Name: "low", LatencyBudget: 500e3, Deadline: 1200e3, Criticality: 0.2},
			{Name: "look", Idempotency: Deduplicated, DeduplicationWindow: 600e3, LatencyBudget: 400e3, Deadline: 800e3, Criticality: 2},
		}}
}

func playScript(script string) string {
	var out strings.Builder
	s := baseSettings()
	var r *Router
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		out.WriteString(line)
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if words[0] == "set" {
			applySetting(&s, words[1:])
			continue
		}
		now := parseSeconds(words[0])
		var decisions []Decision
		if words[1] == "start" {
			r, decisions = New(now, s, 7)
		} else {
			decisions = r.Step(now, parseEvent(s, words[1], words[2:]))
		}
		for _, d := range decisions {
			fmt.Fprintf(&out, "  %s\n", formatDecision(d))
		}
	}
	return out.String()
}

func applySetting(s *Settings, words []string) {
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "routers":
			s.Routers, _ = strconv.Atoi(value)
		case "read-budget":
			s.Methods = slices.Clone(s.Methods)
			s.Methods[0].LatencyBudget = parseSeconds(value)
		case "share":
			s.Tenants = []TenantSettings{{Name: "big", Share: 0.9}, {Name: "small", Share: 0.1}}
			s.Tenants[1].Share, _ = strconv.ParseFloat(value, 64)
		case "hint":
			s.MaxRetryAfter = parseSeconds(value)
		case "sends":
			s.MaxAttempts, _ = strconv.Atoi(value)
		case "through":
			s.CacheAside, s.OriginKind = false, ""
		case "zone-group":
			s.Methods = slices.Clone(s.Methods)
			s.Methods[1].DeduplicationScope, s.Methods[4].DeduplicationScope = ScopeZone, ScopeZone
		case "fees":
			s.ConnectionCost, s.HandshakeCost = 0.12, 0.08
		case "tells":
			s.ReportFields = []Figure{FigureServiceTime}
		case "connect":
			s.ConnectTimeout = parseSeconds(value)
		case "copies":
			s.HedgingAllowed, s.WastedWorkCost = true, 0.02
		case "ask":
			s.PollEndpoints = true
		case "tenants":
			s.Tenants = []TenantSettings{{Name: "big", Share: 0.9}, {Name: "small", Share: 0.1}}
		default:
			panic("unknown setting " + w)
		}
	}
}

// parseEvent reads "list full 1 2:draining 9", "request a read key 1.2", "back a 1 0 timeout 0.3 [over]", and the rest.
func parseEvent(s Settings, name string, words []string) Event {
	switch name {
	case "list":
		kinds := []string{"full", "changes", "saved", "failed"}
		l := EndpointsUpdated{Kind: EndpointUpdateKind(slices.Index(kinds, words[0]))}
		for _, w := range words[1:] {
			w, zone, _ := strings.Cut(w, "/")
			w, start, _ := strings.Cut(w, "@")
			id, state, _ := strings.Cut(w, ":")
			n, _ := strconv.Atoi(id)
			e := Endpoint{Server: ServerID(n), Kind: "cache", Zone: Zone(zone), StartedAt: parseSeconds("0" + start)}
			if n == 9 {
				e.Kind = "origin"
			}
			e.State = EndpointState(max(0, slices.Index([]string{"", "draining", "gone"}, state)))
			l.Endpoints = append(l.Endpoints, e)
		}
		return l
	case "bar":
		n, _ := strconv.Atoi(words[0])
		return BanChanged{Server: ServerID(n), Banned: true}
	case "change":
		applySetting(&s, words)
		return SettingsChanged{s}
	case "part":
		part, _ := strconv.ParseFloat(words[0], 64)
		return FleetShareChanged{Share: part}
	case "planned": // "a=0 b=0.5 *c=0.1 least=600001 some=0.3 back=2 fetches=4"
		p := FailoverOrders{MinimumRankShare: 1}
		for _, w := range words {
			field, value, _ := strings.Cut(w, "=")
			x, _ := strconv.ParseFloat(value, 64)
			switch field {
			case "least":
				p.MinimumRank = Rank(x)
			case "some":
				p.MinimumRankShare = x
			case "back":
				p.RetryAfter = clock.Time(x * 1e6)
			case "fetches":
				p.OriginReadLimit = x
			default:
				if zone, spare := strings.CutPrefix(field, "*"); spare {
					p.FailoverWeights = append(p.FailoverWeights, ZoneShare{Zone(zone), x})
					continue
				}
				p.ZoneShares = append(p.ZoneShares, ZoneShare{Zone(field), x})
			}
		}
		return p
	case "unbar":
		n, _ := strconv.Atoi(words[0])
		return BanChanged{Server: ServerID(n), Since: parseSeconds(words[1])}
	case "req":
		m := slices.IndexFunc(s.Methods, func(m MethodSettings) bool { return m.Name == words[1] })
		q := RequestArrived{Request: RequestID(words[0]), Method: Method(m), ValidUntil: parseSeconds(words[3]),
			Write: words[1] == "hold" || words[1] == "pay", SingleAttempt: words[len(words)-1] == "once"}
		if words[2] != "-" {
			q.Key = Key(words[2])
		}
		if len(words) > 4 {
			q.Tenant = Tenant(words[4])
		}
		return q
	case "back":
		names := []string{"ok", "failed", "full", "timeout", "connect", "reset", "canceled", "ignored", "miss"}
		server, _ := strconv.Atoi(words[1])
		n, _ := strconv.Atoi(words[2])
		status := AttemptStatus(slices.Index(names, words[3]))
		last, told, tells := strings.Cut(words[len(words)-1], "told=")
		var report Report
		if tells {
			ms, _ := strconv.ParseFloat(told, 64)
			report = Report{ms}
		}
		return AttemptEnded{Request: RequestID(words[0]), Server: ServerID(server), Attempt: Attempt(n), Status: status,
			Took: parseSeconds(words[4]), Answered: status == OK || last == "over", Report: report}
	case "learned": // of all caches: their usual time, and the retry budget
		return KnowledgeRestored{Knowledge{ObservedFor: 60e6, CacheLatency: LatencySummary{parseSeconds(words[0]), parseSeconds(words[0]), parseSeconds(words[0]), 32}, RequestRate: 20,
			HitRate: 20, EndedRate: 20, AnsweredRate: 20, AttemptRate: 20, RetryBudget: 5}}
	case "learned-server": // its number, usual time, [aside] [@start]
		n, _ := strconv.Atoi(words[0])
		b := ServerKnowledge{Server: ServerID(n), ObservedAt: 1, Latency: LatencySummary{parseSeconds(words[1]), parseSeconds(words[1]), parseSeconds(words[1]), 32}, AnswerRate: 5, AttemptRate: 5}
		for _, w := range words[2:] {
			if b.Ejected = w == "aside"; b.Ejected {
				b.FailurePoints = 3
			} else {
				b.StartedAt = parseSeconds(w[1:])
			}
		}
		return ServersRestored{[]ServerKnowledge{b}}
	case "left":
		return ClientDisconnected{Request: RequestID(words[0])}
	case "timer":
		return TimerFired{Timer: 1}
	}
	panic("unknown input " + name)
}

func parseSeconds(text string) clock.Time {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return clock.Time(x * 1e6)
}

func formatDecision(d Decision) string {
	after := fmt.Sprintf("%.3f", float64(d.After)/1e6)
	switch d.Action {
	case Send:
		return fmt.Sprint("write-out ", d.Request, " to ", d.Server, " for ", after)
	case Reject:
		return fmt.Sprint("nack ", d.Request, ", come back after ", after)
	case Fail:
		return fmt.Sprint("fail ", d.Request)
	case Cancel:
		return fmt.Sprint("recall ", d.Request, " ", d.Attempt)
	case Subscribe:
		return "subscribe"
	case CloseIdle:
		return fmt.Sprint("close idle connections to ", d.Server)
	}
	return "wake after " + after
}
