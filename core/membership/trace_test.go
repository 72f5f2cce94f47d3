package membership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/tracetest"
)

// tickInterval is the time between two calls of Tick in a script.
const tickInterval = 500 * clock.Millisecond

// testConfig returns the default configuration for a probe interval of a second, with a shorter ForgetAfter.
func testConfig() Config {
	config := DefaultConfig(clock.Second)
	config.ForgetAfter = clock.Minute
	return config
}

func parseNumber(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64) // 0 if text is not a number
	return n
}

// parseMember parses a member of a script, as in "a/2 site=s start=5 predecessor=1 slot=0".
func parseMember(words []string) Member {
	name, id, _ := strings.Cut(words[0], "/")
	number := parseNumber(id)
	member := Member{Fleet: "f", Name: Name(name), Site: "s", Incarnation: Incarnation(number), StartedAt: int64(number), Addr: "at-" + id}
	for _, word := range words[1:] {
		field, value, _ := strings.Cut(word, "=")
		switch field {
		case "site":
			member.Site = Site(value)
		case "start":
			member.StartedAt = int64(parseNumber(value))
		case "predecessor":
			member.Predecessor = Incarnation(parseNumber(value))
		case "slot":
			member.Slot = Slot(parseNumber(value))
		case "addr":
			member.Addr = value
		}
	}
	return member
}

// parseHeartbeat sets the fields of a heartbeat that a script lists.
func parseHeartbeat(t *testing.T, heartbeat Heartbeat, words []string) Heartbeat {
	t.Helper()
	for _, word := range words {
		field, value, _ := strings.Cut(word, "=")
		switch field {
		case "accepting":
			heartbeat.Accepting = true
		case "draining":
			heartbeat.Draining = true
		case "handing-over":
			heartbeat.HandingOver = true
		case "left":
			heartbeat.Left = true
		case "other-digest":
			heartbeat.ViewDigest++
		case "duplicate":
			heartbeat.Duplicate = Incarnation(parseNumber(value))
		case "policy":
			heartbeat.PolicyRevision = parseNumber(value)
		case "seq":
			heartbeat.Seq = parseNumber(value)
		default:
			t.Fatalf("unknown heartbeat field %q", word)
		}
	}
	return heartbeat
}

// scriptRun is a run of a script against the view of the router "me", incarnation 1.
type scriptRun struct {
	t    *testing.T
	view *View
	now  clock.Time
	seqs map[Incarnation]uint64
}

// TestTraces runs the scripts of testdata. A script has a line for each input, with its time in seconds, followed by the logged
// changes and the resulting view.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		run := &scriptRun{t: t, view: New(0, testConfig(), parseMember([]string{"me/1"})), seqs: map[Incarnation]uint64{}}
		return tracetest.Steps(script, run.step)
	})
}

func (r *scriptRun) step(line string, log func(string, ...any)) {
	words := strings.Fields(line)
	seconds, err := strconv.ParseFloat(words[0], 64)
	if err != nil {
		r.t.Fatal(err)
	}
	at := clock.Time(seconds * float64(clock.Second))
	input, args := words[1], words[2:]
	for r.now+tickInterval < at && input != "continues" {
		r.now += tickInterval
		r.tick(log)
	}
	r.now = at
	r.apply(input, args, log)
	r.tick(log)
	log("%s", describeSnapshot(r.view.Snapshot(r.now)))
}

// apply passes one input of a script to the view.
func (r *scriptRun) apply(input string, args []string, log func(string, ...any)) {
	var id Incarnation
	if len(args) > 0 {
		id = Incarnation(parseNumber(args[0]))
	}
	switch input {
	case "joined":
		r.view.MemberJoined(r.now, parseMember(args))
	case "failed":
		r.view.MemberFailed(r.now, id)
	case "contact":
		r.view.RecordContact(r.now, id)
	case "heartbeat":
		r.seqs[id]++
		heartbeat := Heartbeat{Incarnation: id, Seq: r.seqs[id], ViewDigest: r.view.digest}
		if !r.view.ReceiveHeartbeat(r.now, parseHeartbeat(r.t, heartbeat, args[1:])) {
			log("not newer")
		}
	case "reconnect":
		for range 2 {
			if addr, ok := r.view.NextReconnect(r.now, []string{"at-join"}); ok {
				log("reconnect to %s", addr)
				r.view.reconnectAt = r.now
			}
		}
	case "show", "continues":
	default:
		r.t.Fatalf("unknown input %q", input)
	}
}

func (r *scriptRun) tick(log func(string, ...any)) {
	_, changes := r.view.Tick(r.now)
	for _, change := range changes {
		mark := ""
		if change.Warning {
			mark = "!"
		}
		log("%v log: %s %s%s", float64(r.now)/float64(clock.Second), change.Router, change.Event, mark)
	}
}

func describeSnapshot(snapshot Snapshot) string {
	text := fmt.Sprintf("settled=%v", snapshot.Settled)
	for _, router := range snapshot.Routers {
		text += fmt.Sprintf(" %s/%s:%v", router.Name, router.Incarnation, router.State)
		if router.NameConflict {
			text += "+duplicate"
		}
		if router.Accepting {
			text += "+accepting"
		}
		if router.Draining {
			text += "+draining"
		}
	}
	if len(snapshot.Disagreeing) > 0 {
		text += fmt.Sprintf("; disagreeing %v", snapshot.Disagreeing)
	}
	if snapshot.YieldReason != "" {
		text += "; out: " + snapshot.YieldReason
	}
	return text
}
