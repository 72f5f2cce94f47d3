package simwire

import (
	"fmt"
	"math"
	"slices"

	"spurtrestle/core/routing"
	"spurtrestle/internal/settings"
)

// noTenant is the text of the field team of requests without a tenant.
const noTenant = "0"

// The keywords of the protocol and the values they stand for.
var (
	updateKinds = map[string]routing.EndpointUpdateKind{
		"INCREMENTAL": routing.IncrementalUpdate,
		"FULL":        routing.FullUpdate,
		"SAVED":       routing.CachedUpdate,
		"FAILED":      routing.FailedUpdate,
	}
	endpointStates = map[string]routing.EndpointState{
		"U": routing.Ready,
		"L": routing.Draining,
		"D": routing.Removed,
	}
	statuses = map[string]routing.AttemptStatus{
		"Ok":           routing.OK,
		"Failed":       routing.Failed,
		"QueueFull":    routing.QueueFull,
		"TimedOut":     routing.TimedOut,
		"ConnectError": routing.ConnectError,
		"ResetByPeer":  routing.Reset,
		"Canceled":     routing.Canceled,
		"Ignored":      routing.NotSent,
		"Miss":         routing.Miss,
	}
)

// eventParsers parse the fields of an event, by the name of the event in the protocol. A nil result is ignored.
var eventParsers = map[string]func(*Reader, *fields, Instance) any{
	"launch":       (*Reader).parseLaunch,
	"shutdown":     parseShutdown,
	"members":      (*Reader).parseMembers,
	"demand":       (*Reader).parseDemand,
	"accepted":     parseAccepted,
	"returned":     parseReturned,
	"expired":      parseExpired,
	"elapsed":      parseElapsed,
	"probe_result": parseProbeResult,
	"message":      parseMessage,
}

func (r *Reader) parseLaunch(line *fields, instance Instance) any {
	launch := Launch{Seed: line.unsigned("salt", math.MaxUint64)}
	parsed, err := settings.Parse([]byte(line.rest))
	if err != nil {
		line.fail("profile-data", err.Error())
	}
	launch.Settings = parsed
	r.settings[instance] = parsed
	return launch
}

func parseShutdown(*Reader, *fields, Instance) any { return Shutdown{} }

func (r *Reader) parseMembers(line *fields, _ Instance) any {
	update := routing.EndpointsUpdated{Kind: keyword(line, "how", updateKinds)}
	line.text("seq-no")
	if update.Kind == routing.FailedUpdate {
		update.Rejected = true // the protocol gives no reason; discovery rejects calls beyond its capacity
		return update
	}
	slot := line.unsigned("slot", listSlots-1)
	if line.err != nil {
		return update
	}
	list := r.lists[slot]
	if !list.received {
		line.fail("slot", fmt.Sprintf("list %d was never sent", slot))
	}
	update.Endpoints = list.endpoints
	return update
}

func (r *Reader) parseDemand(line *fields, instance Instance) any {
	request := routing.RequestArrived{Request: routing.RequestID(line.text("ticket"))}
	name := line.text("kind")
	method := slices.IndexFunc(r.settings[instance].Methods, func(m routing.MethodSettings) bool { return m.Name == name })
	if method < 0 {
		line.fail("kind", fmt.Sprintf("%q is not a request class of the settings", name))
	}
	request.Method = routing.Method(method)
	tenant := line.optional("team")
	if tenant != noTenant {
		request.Tenant = routing.Tenant(tenant)
	}
	request.Key = routing.Key(line.optional("partition-key"))
	request.ValidUntil = line.seconds("valid-until-s")
	line.number("hint-s")
	line.number("size")
	request.ClientRetry = line.flag("resent")
	request.Write = line.flag("write")
	return request
}

func parseAccepted(_ *Reader, line *fields, _ Instance) any {
	return routing.ResponseStarted{
		Request: routing.RequestID(line.text("ticket")),
		Attempt: routing.Attempt(line.unsigned("n", 1<<31)),
	}
}

func parseReturned(_ *Reader, line *fields, _ Instance) any {
	ended := routing.AttemptEnded{Request: routing.RequestID(line.text("ticket"))}
	line.number("detail")
	ended.Server = routing.ServerID(line.unsigned("server", math.MaxUint32))
	ended.Attempt = routing.Attempt(line.unsigned("n", 1<<31))
	ended.Status = keyword(line, "code", statuses)
	ended.Took = line.seconds("elapsed-s")
	ended.Answered = line.flag("complete")
	ended.Report = line.report("feedback")
	return ended
}

func parseExpired(_ *Reader, line *fields, _ Instance) any {
	return routing.ClientDisconnected{Request: routing.RequestID(line.text("ticket"))}
}

func parseElapsed(_ *Reader, line *fields, _ Instance) any {
	return routing.TimerFired{Timer: routing.TimerID(line.unsigned("ref", math.MaxInt64))}
}

func parseProbeResult(_ *Reader, line *fields, _ Instance) any {
	return routing.HealthChecked{
		Server: routing.ServerID(line.unsigned("server", math.MaxUint32)),
		Status: keyword(line, "code", statuses),
		Took:   line.seconds("elapsed-s"),
		Report: line.report("feedback"),
	}
}

// parseMessage parses and ignores a message of another router: instances do not communicate in the simulation.
func parseMessage(_ *Reader, line *fields, _ Instance) any {
	line.text("sender")
	line.optional("contents")
	return nil
}
