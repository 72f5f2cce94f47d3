package cheat

import (
	"strings"
	"testing"

	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/scenario"
)

const readScenario = `
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

const writeScenario = `
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

const drainScenario = readScenario + `
[[fault]]
kind = "drain"
at = "300ms"
for = "2s"
pick = [0, 1]
`

const banScenario = readScenario + `
[[fault]]
kind = "ban"
at = "300ms"
for = "2s"
pick = [0, 1]
`

const restartScenario = readScenario + `
[[fault]]
kind = "kill"
at = "200ms"
for = "300ms"
pick = [0]
`

const badInputScenario = readScenario + `
[[fault]]
kind = "rubbish"
at = "200ms"
for = "1s"
count = 12
`

// slowScenario has attempts that take longer than the referee's tolerance of 50 ms.
var slowScenario = strings.NewReplacer(`"2ms"`, `"120ms"`, "rate = 100.0", "rate = 20.0").Replace(readScenario)

// lateMissScenario has cache servers that report a miss long after the attempt, so that the origin is asked late.
var lateMissScenario = strings.NewReplacer("count = 4\n", "count = 4\nfilled = 0.0\nmiss_work = \"200ms\"\n", "rate = 100.0", "rate = 20.0").Replace(readScenario)

// lateResetScenario loses half of the replies long after the attempt, so that the next cache server is asked late.
var lateResetScenario = strings.Replace(slowScenario, `"120ms"`, `"150ms"`, 1) + `
[[fault]]
kind = "reset"
at = "100ms"
for = "2s"
part = 1.0
share = 0.5
`

// withWeakServers gives cold servers almost no capacity.
func withWeakServers(text string) string {
	return strings.NewReplacer("count = 4\n", "count = 4\ncores = 1\ncold_share = 0.02\ncold_span = \"60s\"\nfall_multiple = 2.0\nfall_span = \"500ms\"\n").Replace(text)
}

func withWeakOrigin(text string) string {
	return text + "\n[origin]\ncores = 1\nwork = \"40ms\"\nfall_multiple = 2.0\nfall_span = \"500ms\"\n"
}

func TestRefereeDetectsViolations(t *testing.T) {
	for _, c := range []struct {
		kind Kind
		text string
		rule int
		want string
	}{
		{AnswersTwice, readScenario, 1, "answered what nobody asked"},
		{NeverAnswers, readScenario, 1, "never answered"},
		{AnswersLate, readScenario, 1, "after its deadline"},
		{ClosesConnection, readScenario, 1, "lost: the router ended the connection"},
		{ForgesValue, readScenario, 1, "a value that was not made for it"},
		{AttemptsAfterAnswer, readScenario, 1, "after the req was over"},
		{AnswersBadInput, badInputScenario, 1, "was served with a value"},
		{ParallelAttempts, slowScenario, 2, "was out"},
		{TooManyAttempts, readScenario, 2, "more than the 3 write-outs"},
		{RetriesNonRetryable, writeScenario, 2, "though it may have run at"},
		{RejectsAfterAttempt, writeScenario, 2, "nacked though it may have run"},
		{RetriesAfterWindow, writeScenario, 2, "after the window in which repeats are dropped"},
		{RetriesOutsideGroup, writeScenario, 2, "outside the group"},
		{IgnoresDrain, drainScenario, 3, "after the router was told"},
		{IgnoresBan, banScenario, 3, "after operators had taken it out"},
		{OverloadsColdServer, withWeakServers(restartScenario), 4, "was pushed over while cold"},
		{OverloadsColdServer, withWeakOrigin(restartScenario), 4, "the origin was pushed over"},
		{SendsUnknownCommand, readScenario, 0, "a command no client sent"},
		{IgnoresBadInput, badInputScenario, 0, "got neither an error nor a close"},
		{Crashes, readScenario, 0, "ended by itself"},
		{IgnoresSIGTERM, readScenario, 0, "had not ended by its time"},
		{InventsRequests, readScenario, 0, "no client asked for"},
		{FirstDeadlineOrigin, lateMissScenario, 1, "more than its client had left"},
		{FirstDeadlineCache, lateResetScenario, 1, "more than its client had left"},
		{NoDeadline, lateMissScenario, 1, "sent to origin with no deadline"},
		{Correct, readScenario, -1, ""},
		{Correct, lateMissScenario, -1, ""},
		{Correct, lateResetScenario, -1, ""},
		{Correct, drainScenario, -1, ""},
		{Correct, banScenario, -1, ""},
		{Correct, badInputScenario, -1, ""},
		{Correct, writeScenario, -1, ""},
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
				if b.Rule == c.rule && strings.Contains(b.What, c.want) {
					return
				}
			}
			if c.rule >= 0 || len(r.Violations) > 0 {
				t.Errorf("%d violations; want one of rule %d with %q, or none for rule -1", len(r.Violations), c.rule, c.want)
				for _, b := range r.Violations[:min(3, len(r.Violations))] {
					t.Error(b, strings.Join(b.Evidence, "\n"))
				}
			}
		})
	}
}
