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

// TestTraces runs the scripts in testdata: events with their times, and below each event, indented, the expected decisions. Lines
// without a time are settings or comments.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		got := playScript(script)
		if second := playScript(script); second != got {
			t.Errorf("a second run differs:\n%s", second)
		}
		return got
	})
}

// baseSettings returns the settings of a site in cache-aside mode. Scripts change them with lines such as
// "set routers=3 write-through".
func baseSettings() Settings {
	return Settings{
		Routers:          1,
		CacheAside:       true,
		OriginKind:       "origin",
		ClockGranularity: clock.Millisecond,
		WarmUpShare:      0.2,
		WarmUpDuration:   10 * clock.Second,
		OverloadWindow:   clock.Second,
		OverloadMultiple: 2,
		CancelAllowed:    true,
		MaxRetryAfter:    clock.Second,
		MaxAttempts:      3,
		OverShareWeight:  0.1,
		DrainTimeout:     clock.Second,
		PollInterval:     10 * clock.Second,
		ResponseSlack:    20 * clock.Millisecond,
		Methods: []MethodSettings{
			{
				Name: "read", Criticality: 2,
				LatencyBudget: 500 * clock.Millisecond, Deadline: 1200 * clock.Millisecond,
			},
			{
				Name: "hold", Criticality: 5, LateValue: 0.5,
				Idempotency: Deduplicated, DeduplicationWindow: 600 * clock.Millisecond,
				LatencyBudget: 400 * clock.Millisecond, Deadline: 800 * clock.Millisecond,
			},
			{
				Name: "pay", Criticality: 5, LateValue: 0.5,
				Idempotency:   NonIdempotent,
				LatencyBudget: 1500 * clock.Millisecond, Deadline: 3000 * clock.Millisecond,
			},
			{
				Name: "low", Criticality: 0.2,
				LatencyBudget: 500 * clock.Millisecond, Deadline: 1200 * clock.Millisecond,
			},
			{
				Name: "look", Criticality: 2,
				Idempotency: Deduplicated, DeduplicationWindow: 600 * clock.Millisecond,
				LatencyBudget: 400 * clock.Millisecond, Deadline: 800 * clock.Millisecond,
			},
		},
	}
}

// playScript runs a script and returns it with the decisions that follow from its events.
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

// applySetting changes the settings by the words of a "set" line.
func applySetting(s *Settings, words []string) {
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "routers":
			s.Routers, _ = strconv.Atoi(value)
		case "read-budget":
			s.Methods = slices.Clone(s.Methods)
			s.Methods[0].LatencyBudget = parseSeconds(value)
		case "small-share":
			s.Tenants = []TenantSettings{{Name: "big", Share: 0.9}, {Name: "small", Share: 0.1}}
			s.Tenants[1].Share, _ = strconv.ParseFloat(value, 64)
		case "max-retry-after":
			s.MaxRetryAfter = parseSeconds(value)
		case "max-attempts":
			s.MaxAttempts, _ = strconv.Atoi(value)
		case "write-through":
			s.CacheAside, s.OriginKind = false, ""
		case "scope-zone":
			s.Methods = slices.Clone(s.Methods)
			s.Methods[1].DeduplicationScope, s.Methods[4].DeduplicationScope = ScopeZone, ScopeZone
		case "connection-costs":
			s.ConnectionCost, s.HandshakeCost = 0.12, 0.08
		case "reports":
			s.ReportFields = []Figure{FigureServiceTime}
		case "connect-timeout":
			s.ConnectTimeout = parseSeconds(value)
		case "hedging":
			s.HedgingAllowed, s.WastedWorkCost = true, 0.02
		case "poll":
			s.PollEndpoints = true
		case "tenants":
			s.Tenants = []TenantSettings{{Name: "big", Share: 0.9}, {Name: "small", Share: 0.1}}
		default:
			panic("unknown setting " + w)
		}
	}
}

// parseEvent parses an event from its name and its words, for example "endpoints full 1 2:draining 9",
// "request a read key 1.2" or "ended a 1 0 timeout 0.3 [answered]".
func parseEvent(s Settings, name string, words []string) Event {
	switch name {
	case "endpoints":
		return parseEndpoints(words)
	case "ban":
		return BanChanged{Server: parseServer(words[0]), Banned: true}
	case "unban":
		return BanChanged{Server: parseServer(words[0]), Since: parseSeconds(words[1])}
	case "change":
		applySetting(&s, words)
		return SettingsChanged{s}
	case "fleet-share":
		return FleetShareChanged{Share: parseNumber(words[0])}
	case "failover":
		return parseFailover(words)
	case "request":
		return parseRequest(s, words)
	case "ended":
		return parseAttemptEnded(words)
	case "restored":
		return parseRestored(words)
	case "restored-server":
		return parseRestoredServer(words)
	case "disconnected":
		return ClientDisconnected{Request: RequestID(words[0])}
	case "timer":
		return TimerFired{Timer: onlyTimer}
	}
	panic("unknown event " + name)
}

// parseEndpoints parses the kind of the update and its endpoints: "1:draining@10.5/a" is server 1, draining, started at 10.5,
// in zone a. Server 9 is the origin.
func parseEndpoints(words []string) EndpointsUpdated {
	update := EndpointsUpdated{Kind: EndpointUpdateKind(indexOf(words[0], "full", "incremental", "cached", "failed"))}
	for _, word := range words[1:] {
		word, zone, _ := strings.Cut(word, "/")
		word, start, _ := strings.Cut(word, "@")
		id, state, _ := strings.Cut(word, ":")
		endpoint := Endpoint{Server: parseServer(id), Kind: "cache", Zone: Zone(zone), StartedAt: parseSeconds("0" + start)}
		if id == "9" {
			endpoint.Kind = "origin"
		}
		endpoint.State = EndpointState(indexOf(state, "", "draining", "gone"))
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update
}

// parseFailover parses "a=0 b=0.5 *c=0.1 minimum-rank=600001 minimum-rank-share=0.3 retry-after=2 origin-reads=4": shares of
// zones, failover weights of zones after an asterisk, and the other orders.
func parseFailover(words []string) FailoverOrders {
	orders := FailoverOrders{MinimumRankShare: 1}
	for _, word := range words {
		field, value, _ := strings.Cut(word, "=")
		switch field {
		case "minimum-rank":
			orders.MinimumRank = Rank(parseNumber(value))
		case "minimum-rank-share":
			orders.MinimumRankShare = parseNumber(value)
		case "retry-after":
			orders.RetryAfter = parseSeconds(value)
		case "origin-reads":
			orders.OriginReadLimit = parseNumber(value)
		default:
			if zone, isWeight := strings.CutPrefix(field, "*"); isWeight {
				orders.FailoverWeights = append(orders.FailoverWeights, ZoneShare{Zone(zone), parseNumber(value)})
				continue
			}
			orders.ZoneShares = append(orders.ZoneShares, ZoneShare{Zone(field), parseNumber(value)})
		}
	}
	return orders
}

// parseRequest parses the id, the method, the key or "-", the end of validity, and optionally the tenant or "single-attempt".
func parseRequest(s Settings, words []string) RequestArrived {
	method := slices.IndexFunc(s.Methods, func(m MethodSettings) bool { return m.Name == words[1] })
	request := RequestArrived{
		Request:       RequestID(words[0]),
		Method:        Method(method),
		ValidUntil:    parseSeconds(words[3]),
		Write:         words[1] == "hold" || words[1] == "pay",
		SingleAttempt: words[len(words)-1] == "single-attempt",
	}
	if words[2] != "-" {
		request.Key = Key(words[2])
	}
	if len(words) > 4 {
		request.Tenant = Tenant(words[4])
	}
	return request
}

// parseAttemptEnded parses the request, the server, the attempt, the status, the duration, and optionally "answered" or the
// service time that the server reports, in milliseconds.
func parseAttemptEnded(words []string) AttemptEnded {
	status := AttemptStatus(indexOf(words[3], "ok", "failed", "queue-full", "timeout", "connect-error", "reset", "canceled",
		"not-sent", "miss"))
	last, reported, hasReport := strings.Cut(words[len(words)-1], "report=")
	ended := AttemptEnded{
		Request:  RequestID(words[0]),
		Server:   parseServer(words[1]),
		Attempt:  Attempt(parseNumber(words[2])),
		Status:   status,
		Took:     parseSeconds(words[4]),
		Answered: status == OK || last == "answered",
	}
	if hasReport {
		ended.Report = Report{parseNumber(reported)}
	}
	return ended
}

// parseRestored parses the latency over all caches.
func parseRestored(words []string) KnowledgeRestored {
	latency := parseSeconds(words[0])
	return KnowledgeRestored{Knowledge{
		ObservedFor:  clock.Minute,
		CacheLatency: LatencySummary{latency, latency, latency, fullSamples},
		RequestRate:  20,
		HitRate:      20,
		EndedRate:    20,
		AnsweredRate: 20,
		AttemptRate:  20,
		RetryBudget:  5,
	}}
}

// parseRestoredServer parses the server, its latency, and optionally "ejected" or, after "@", its start.
func parseRestoredServer(words []string) ServersRestored {
	latency := parseSeconds(words[1])
	knowledge := ServerKnowledge{
		Server:      parseServer(words[0]),
		ObservedAt:  1,
		Latency:     LatencySummary{latency, latency, latency, fullSamples},
		AnswerRate:  5,
		AttemptRate: 5,
	}
	for _, word := range words[2:] {
		knowledge.Ejected = word == "ejected"
		if knowledge.Ejected {
			knowledge.FailurePoints = 3
		} else {
			knowledge.StartedAt = parseSeconds(word[1:])
		}
	}
	return ServersRestored{[]ServerKnowledge{knowledge}}
}

// indexOf returns the index of a word among the allowed ones.
func indexOf(word string, allowed ...string) int {
	index := slices.Index(allowed, word)
	if index < 0 {
		panic(fmt.Sprintf("%q is none of %q", word, allowed))
	}
	return index
}

func parseServer(text string) ServerID { return ServerID(parseNumber(text)) }

func parseNumber(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return x
}

func parseSeconds(text string) clock.Time {
	return clock.Time(parseNumber(text) * microsecondsPerSecond)
}

// formatDecision formats a decision as in the scripts.
func formatDecision(d Decision) string {
	after := fmt.Sprintf("%.3f", float64(d.After)/1e6)
	switch d.Action {
	case Send:
		return fmt.Sprint("send ", d.Request, " to ", d.Server, ", time-out ", after)
	case Reject:
		return fmt.Sprint("reject ", d.Request, ", retry after ", after)
	case Fail:
		return fmt.Sprint("fail ", d.Request)
	case Cancel:
		return fmt.Sprint("cancel ", d.Request, " ", d.Attempt)
	case Subscribe:
		return "subscribe"
	case CloseIdle:
		return fmt.Sprint("close idle connections to ", d.Server)
	}
	return "timer after " + after
}
