package referee

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/tracetest"
)

// A script is a record with one event per line: its time in ms, its kind, and name=value pairs. The command `judge` checks
// the events since the last one; the lines below it are the expected violations.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		var events []event.Event
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			words := strings.Fields(line)
			switch words[0] {
			case "judge":
				slices.SortStableFunc(events, func(a, b event.Event) int { return cmp.Compare(a.At, b.At) })
				broken := Check(testRules, events)
				for _, b := range broken {
					say("%v", b)
				}
				if len(broken) == 0 {
					say("all kept")
				}
				events = nil
			default:
				events = append(events, parseEvent(t, words))
			}
		})
	})
}

var testRules = Rules{MaxAttempts: 3, DrainGrace: 2e6, Slack: DefaultSlack, NotifyDelay: DefaultNotifyDelay, MaxColdMissShare: DefaultMaxColdMissShare,
	Locations: map[event.Server]Location{"a1": {"a", "1"}, "a2": {"a", "1"}, "b1": {"b", "1"}},
	Methods: []Method{{Name: "read", Effect: "retryable"}, {Name: "hold", Effect: "deduplicated", Group: "zone", Window: 1e6},
		{Name: "book", Effect: "non-retryable"}}}

func parseEvent(t *testing.T, words []string) event.Event {
	e := event.Event{Router: event.NoRouter, Since: -1, Op: -1}
	ms, err := strconv.ParseFloat(words[0], 64)
	if err != nil {
		t.Fatal(words, err)
	}
	e.At = event.Micros(ms * 1e3)
	for kind, name := range kindNames {
		if strings.ReplaceAll(name, " ", "-") == words[1] {
			e.Kind = kind
		}
	}
	if e.Kind == 0 {
		t.Fatalf("unknown kind of event %q", words[1])
	}
	for _, w := range words[2:] {
		name, value, _ := strings.Cut(w, "=")
		n, err := strconv.Atoi(value)
		if err != nil && slices.Contains([]string{"op", "router", "limit", "share", "deadline", "since"}, name) {
			t.Fatalf("%s: %v", w, err)
		}
		switch name {
		case "req":
			e.Request = event.RequestID(value)
		case "op":
			e.Op = event.Op(n)
		case "router":
			e.Router = event.Router(n)
		case "server":
			e.Server = event.Server(value)
		case "method":
			e.Method = event.Method(slices.IndexFunc(testRules.Methods, func(m Method) bool { return m.Name == value }))
		case "limit", "share":
			e.Limit = event.Micros(n) * 1e3
			if name == "share" {
				e.Limit = event.Micros(n)
			}
		case "deadline":
			e.DeadlineSent = event.Micros(n) * 1e3
		case "note":
			e.Note = value
		case "since":
			e.Since = event.Micros(n) * 1e3
		case "how":
			for o, text := range outcomeNames {
				if strings.ReplaceAll(text, " ", "-") == value {
					e.Outcome = o
				}
			}
		case "reply":
			for r, text := range replyNames {
				if strings.ReplaceAll(text, " ", "-") == value {
					e.Reply = r
				}
			}
		default:
			t.Fatalf("unknown field %q", name)
		}
	}
	if e.Since < 0 && e.Kind == event.AttemptReceived {
		e.Since = e.At
	}
	return e
}

// Checking a record of some minutes must take much less time than the run itself.
func BenchmarkCheck(b *testing.B) {
	var events []event.Event
	const ops = 100000
	for i := range ops {
		at, id := event.Micros(i*1000), event.RequestID(strconv.Itoa(i))
		events = append(events, event.Event{At: at, Kind: event.RequestSent, Request: id, Op: event.Op(i), Limit: 1e6},
			event.Event{At: at + 300, Kind: event.AttemptReceived, Request: id, Server: "a1", Since: at + 250},
			event.Event{At: at + 700, Kind: event.AttemptEnded, Request: id, Server: "a1", Reply: event.Value},
			event.Event{At: at + 900, Kind: event.Answered, Request: id, Op: event.Op(i), Outcome: event.Succeeded})
	}
	b.ReportAllocs()
	for b.Loop() {
		if broken := Check(testRules, events); len(broken) > 0 {
			b.Fatal(broken[0])
		}
	}
	b.ReportMetric(float64(b.Elapsed()/time.Nanosecond)/float64(b.N)/ops, "ns/op-judged")
}
