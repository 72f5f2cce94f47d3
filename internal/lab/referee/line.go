package referee

import (
	"fmt"

	"spurtrestle/internal/lab/event"
)

var kinds = map[event.Kind]string{event.Wanted: "wanted", event.Asked: "asked", event.Answered: "answered", event.Cut: "cut off",
	event.Left: "client left", event.Unreached: "unreached", event.Surplus: "surplus", event.Owed: "owed", event.Begun: "write-out came",
	event.Ended: "write-out ended", event.Ran: "effect ran", event.Fell: "fell over", event.Stopped: "origin stopped", event.Conn: "connected",
	event.Came: "server up", event.Went: "server down", event.Odd: "odd", event.Told: "told", event.Due: "due", event.Up: "router up",
	event.Term: "SIGTERM", event.Down: "router ended", event.Killed: "SIGKILL", event.Fault: "fault", event.Sample: "sample", event.Late: "late",
	event.Stalled: "stalled", event.Policied: "policied"}

var outcomes = map[event.Outcome]string{event.Satisfied: "satisfied", event.Nacked: "nacked", event.Failed: "failed", event.Foreign: "foreign value"}

var replies = map[event.Reply]string{event.Value: "value", event.Miss: "miss", event.TurnedAway: "turned away", event.Error: "error",
	event.Lost: "connection over", event.Spoilt: "spoilt answer"}

// Line is one event as evidence.
func Line(e event.Event) string {
	s := fmt.Sprintf("%10.3f ms  %s", float64(e.At)/1e3, kinds[e.Kind])
	if e.Router != event.Nobody {
		s += fmt.Sprintf(" router=%d", e.Router)
	}
	if e.Server != "" {
		s += " server=" + string(e.Server)
	}
	if e.Kind == event.Begun {
		s += fmt.Sprintf(" first-byte=%.3fms", float64(e.Since)/1e3)
	}
	if e.Kind == event.Asked || e.Kind == event.Late {
		s += fmt.Sprintf(" limit=%v", e.Limit.Duration())
	}
	if e.Kind == event.Asked || e.Kind == event.Begun {
		s += fmt.Sprintf(" deadline-sent=%v", e.DeadlineSent.Duration())
	}
	if o := outcomes[e.Outcome]; o != "" && e.Kind == event.Answered {
		s += " " + o
	}
	if r := replies[e.Reply]; r != "" {
		s += " " + r
	}
	if e.Note != "" {
		s += " (" + e.Note + ")"
	}
	return s
}
