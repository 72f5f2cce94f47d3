package cheat

import (
	"strings"
	"testing"

	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/scenario"
)

const aside = `
title = "cheats"
length = "2500ms"
sites = ["north", "south"]
[service]
max_write_outs = 3
drain_grace = "300ms"
[[method]]
name = "read"
share = 1.0
effect = "retryable"
work = "2ms"
spread = "none"
latency_budget = "200ms"
deadline = "400ms"
criticality = 1.0
[routers]
count = 1
[servers]
count = 4
[discovery]
delay = "50ms"
notice_for = "100ms"
[load]
rate = 100.0
arrivals = "even"
keys = 200
`

const through = `
title = "cheats on writes"
length = "2500ms"
sites = ["north", "south"]
[service]
mode = "through"
[[method]]
name = "order"
share = 1.0
effect = "deduplicated"
group = "zone"
window = "300ms"
write = true
work = "2ms"
latency_budget = "200ms"
deadline = "900ms"
criticality = 1.0
[[method]]
name = "book"
share = 1.0
effect = "non-retryable"
write = true
work = "2ms"
latency_budget = "200ms"
deadline = "900ms"
criticality = 1.0
[routers]
count = 1
[servers]
count = 4
[load]
rate = 60.0
keys = 200
[[fault]]
kind = "reset"
at = "100ms"
for = "2s"
part = 1.0
share = 0.5
`

const drained = aside + `
[[fault]]
kind = "drain"
at = "300ms"
for = "2s"
pick = [0, 1]
`

const banned = aside + `
[[fault]]
kind = "ban"
at = "300ms"
for = "2s"
pick = [0, 1]
`

const replaced = aside + `
[[fault]]
kind = "kill"
at = "200ms"
for = "300ms"
pick = [0]
`

const rubbish = aside + `
[[fault]]
kind = "rubbish"
at = "200ms"
for = "1s"
count = 12
`

// slow: longer than the 50 ms that sockets are granted.
var slow = strings.NewReplacer(`"2ms"`, `"120ms"`, "rate = 100.0", "rate = 20.0").Replace(aside)

// lateMisses: a cache server finds out that it lacks a key long after it was asked, so that the origin is asked late.
var lateMisses = strings.NewReplacer("count = 4\n", "count = 4\nfilled = 0.0\nmiss_work = \"200ms\"\n", "rate = 100.0", "rate = 20.0").Replace(aside)

// lateResets: half of the answers get lost, long after the first attempt, so that the next cache server is asked late.
var lateResets = strings.Replace(slow, `"120ms"`, `"150ms"`, 1) + `
[[fault]]
kind = "reset"
at = "100ms"
for = "2s"
part = 1.0
share = 0.5
`

// weak: one that is cold can do next to nothing, and so can the origin.
func weak(text string) string {
	return strings.NewReplacer("count = 4\n", "count = 4\ncores = 1\ncold_share = 0.02\ncold_span = \"60s\"\nfall_multiple = 2.0\nfall_span = \"500ms\"\n").Replace(text)
}

func weakOrigin(text string) string {
	return text + "\n[origin]\ncores = 1\nwork = \"40ms\"\nfall_multiple = 2.0\nfall_span = \"500ms\"\n"
}

func TestCheatersAreCaught(t *testing.T) {
	for _, c := range []struct {
		kind Kind
		text string
		rule int
		says string
	}{
		{Twice, aside, 1, "answered what nobody asked"},
		{Never, aside, 1, "never answered"},
		{Late, aside, 1, "after its deadline"},
		{Cutting, aside, 1, "lost: the router ended the connection"},
		{Forges, aside, 1, "a value that was not made for it"},
		{After, aside, 1, "after the req was over"},
		{Serves, rubbish, 1, "was served with a value"},
		{Parallel, slow, 2, "was out"},
		{Greedy, aside, 2, "more than the 3 write-outs"},
		{Repeats, through, 2, "though it may have run at"},
		{Hides, through, 2, "nacked though it may have run"},
		{Window, through, 2, "after the window in which repeats are dropped"},
		{Strays, through, 2, "outside the group"},
		{Drains, drained, 3, "after the router was told"},
		{Bars, banned, 3, "after operators had taken it out"},
		{Floods, weak(replaced), 4, "was pushed over while cold"},
		{Floods, weakOrigin(replaced), 4, "the origin was pushed over"},
		{Garbles, aside, 0, "a command no client sent"},
		{Ignores, rubbish, 0, "got neither an error nor a close"},
		{Crashes, aside, 0, "ended by itself"},
		{Lingers, aside, 0, "had not ended by its time"},
		{Invents, aside, 0, "no client asked for"},
		{FirstDeadlineOrigin, lateMisses, 1, "more than its client had left"},
		{FirstDeadlineCache, lateResets, 1, "more than its client had left"},
		{NoDeadline, lateMisses, 1, "sent to origin with no deadline"},
		{Honest, aside, -1, ""},
		{Honest, lateMisses, -1, ""},
		{Honest, lateResets, -1, ""},
		{Honest, drained, -1, ""},
		{Honest, banned, -1, ""},
		{Honest, rubbish, -1, ""},
		{Honest, through, -1, ""},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			r, err := fleet.Run(t.Context(), s, fleet.Options{Seed: 1, Start: Starter(c.kind), Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Violations {
				if b.Rule == c.rule && strings.Contains(b.What, c.says) {
					return
				}
			}
			if c.rule >= 0 || len(r.Violations) > 0 {
				t.Errorf("%d rule breaks", len(r.Violations))
				for _, b := range r.Violations[:min(3, len(r.Violations))] {
					t.Error(b, strings.Join(b.Evidence, "\n"))
				}
			}
		})
	}
}
