package referee

import (
	"fmt"

	"spurtrestle/internal/lab/event"
)

var kindNames = map[event.Kind]string{event.OperationDue: "wanted", event.RequestSent: "asked", event.Answered: "answered", event.ConnectionClosed: "cut off",
	event.ClientLeft: "client left", event.ConnectFailed: "unreached", event.UnexpectedAnswer: "surplus", event.BadInputAccepted: "owed", event.AttemptReceived: "write-out came",
	event.AttemptEnded: "write-out ended", event.EffectExecuted: "effect ran", event.ServerCollapsed: "fell over", event.OriginCollapsed: "origin stopped", event.ConnectionAccepted: "connected",
	event.ServerUp: "server up", event.ServerDown: "server down", event.ProtocolViolation: "odd", event.RemovalDelivered: "told", event.RemovalAnnounced: "due", event.RouterUp: "router up",
	event.SIGTERMSent: "SIGTERM", event.RouterExited: "router ended", event.SIGKILLSent: "SIGKILL", event.Fault: "fault", event.ResourceSample: "sample", event.LabDelayed: "late",
	event.RouterStalled: "stalled", event.PolicyChanged: "policied"}

var outcomeNames = map[event.Outcome]string{event.Succeeded: "satisfied", event.Rejected: "nacked", event.Failed: "failed", event.WrongValue: "foreign value"}

var replyNames = map[event.Reply]string{event.Value: "value", event.Miss: "miss", event.Refused: "turned away", event.Error: "error",
	event.ConnectionLost: "connection over", event.Malformed: "spoilt answer"}

// FormatEvent formats an event as a line of evidence.
func FormatEvent(e event.Event) string {
	s := fmt.Sprintf("%10.3f ms  %s", float64(e.At)/1e3, kindNames[e.Kind])
	if e.Router != event.NoRouter {
		s += fmt.Sprintf(" router=%d", e.Router)
	}
	if e.Server != "" {
		s += " server=" + string(e.Server)
	}
	if e.Kind == event.AttemptReceived {
		s += fmt.Sprintf(" first-byte=%.3fms", float64(e.Since)/1e3)
	}
	if e.Kind == event.RequestSent || e.Kind == event.LabDelayed {
		s += fmt.Sprintf(" limit=%v", e.Limit.Duration())
	}
	if e.Kind == event.RequestSent || e.Kind == event.AttemptReceived {
		s += fmt.Sprintf(" deadline-sent=%v", e.DeadlineSent.Duration())
	}
	if o := outcomeNames[e.Outcome]; o != "" && e.Kind == event.Answered {
		s += " " + o
	}
	if r := replyNames[e.Reply]; r != "" {
		s += " " + r
	}
	if e.Note != "" {
		s += " (" + e.Note + ")"
	}
	return s
}
