package main

import (
	"strings"
	"testing"
)

const settings = `{"balancers":2,"discovery":"pushed","domain":{"mode":"aside","origin-kind":1},` +
	`"flavors":["std","origin"],"not-known":{"x":1},"load-report":{"fields":["avg_ms","x0"],"how":"piggyback"},` +
	`"policy-limits":{"cancel":true,"retry-after":true,"max-retry-after-s":1,"send-cap":3},` +
	`"rules":{"cold-s":8,"cold-share":0.3,"fall-s":3,"tip-multiple":3,"stop-sending-within-s":1},` +
	`"resolution-s":0.005,"request-classes":[{"name":"get","effect":"free","group":"all","slo-s":0.5,` +
	`"deadline-s":1,"worth":1},{"name":"put","effect":"single_shot","slo-s":0.5,"deadline-s":1,"worth":2}]}`

// batches is a session of two instances with the same settings; replies is the output for it.
const batches = "mark 1 1\nlaunch 0 5 " + settings + "\nlist 0 3\nserver 7 a std 0 U 1 -\nserver 8 a std 0 U 1 -\n" +
	"server 9 a origin 0 U 1 -\nmembers 0 SAVED 1 0\nlaunch 1 6 " + settings + "\nmembers 1 SAVED 1 0\nyour_turn\n" +
	"mark 1.1 2\ndemand 0 r-a get - k/3 2 - - 0 0\ndemand 1 r-b put - k/3 2 0.1 12 0 1\nyour_turn\n" +
	"mark 1.2 3\nreturned 0 r-a 2 7 0 Miss 0.1 0 14.5,0.4\nreturned 1 r-b - 9 0 Ok 0.1 1 -\nyour_turn\n" +
	"mark 1.3 4\nshutdown 1\nelapsed 1 1\nreturned 0 r-a - 9 1 TimedOut 0.1 0 -\nyour_turn\n"

const replies = "ready 1\npass_on 0 r-a 7 0.500000\npass_on 1 r-b 9 0.500000\nready 2\n" +
	"pass_on 0 r-a 9 0.400000\nready 3\nbounce 0 r-a 1.000000\nready 4\n"

func TestRun_RepliesToEachBatch(t *testing.T) {
	var output strings.Builder
	if err := run(strings.NewReader(batches), &output); err != nil {
		t.Fatal(err)
	}
	if got := output.String(); got != replies {
		t.Errorf("got replies:\n%s\nwant:\n%s", got, replies)
	}
}

// The decisions of an instance do not depend on the other instances of its process.
func TestRun_InstancesShareNoState(t *testing.T) {
	var alone strings.Builder
	for line := range strings.Lines(batches) {
		name, rest, _ := strings.Cut(line, " ")
		if name == "mark" || name == "list" || name == "server" || !strings.HasPrefix(rest, "1 ") {
			alone.WriteString(line)
		}
	}
	var output strings.Builder
	if err := run(strings.NewReader(alone.String()), &output); err != nil {
		t.Fatal(err)
	}
	want := strings.ReplaceAll(replies, "pass_on 1 r-b 9 0.500000\n", "")
	if got := output.String(); got != want {
		t.Errorf("without instance 1: got replies:\n%s\nwant:\n%s", got, want)
	}
}

// An error names the line and the field of the malformed input, and no part of the reply to that batch is written.
func TestRun_ErrorNamesLineAndField(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{"demand 0 r-a get - k/3 2", "demand 0 r-a get - k/3 soon", `line 12: demand: field valid-until-s: "soon" is not a number`},
		{"demand 0 r-a get", "demand 0 r-a fetch", `line 12: demand: field kind: "fetch" is not a request class of the settings`},
		{"0 Miss 0.1", "0 Lost 0.1", `line 16: returned: field code: "Lost" is not known`},
		{"14.5,0.4", "14.5,x", `line 16: returned: field feedback: "x" is not a number`},
		{"members 0 SAVED 1 0", "members 0 SAVED 1 4", "line 7: members: field slot: list 4 was never sent"},
		{"shutdown 1", "shutdown", "line 20: shutdown: field router: is missing"},
		{"elapsed 1 1", "passed 1 1", `line 21: "passed" is not an event`},
		{"server 8 a std 0 U", "server 8 a std 0 X", `line 5: server: field phase: "X" is not known`},
		{"mark 1.1 2", "demand 0", `line 11: got "demand", want mark`},
		{`"balancers":2`, `"balancers":0`, "line 2: launch: field profile-data: balancers: missing or below 1; say how many routers there are"},
		{`"origin-kind":1`, `"origin-kind":5`,
			"line 2: launch: field profile-data: domain.origin-kind: 5, but flavors has 2 names; they count from 0"},
		{`"rules":`, `"rulez":`, "line 2: launch: field profile-data: rules: missing; give the object, as the service was told it"},
	} {
		var output strings.Builder
		err := run(strings.NewReader(strings.Replace(batches, test.from, test.to, 1)), &output)
		if err == nil || err.Error() != test.want {
			t.Errorf("with %q: got error %v, want %s", test.to, err, test.want)
		}
		if got := output.String(); got != "" && !strings.HasSuffix(got, "\n") || strings.Count(got, "pass_on") > 0 &&
			!strings.Contains(got, "ready 2") {
			t.Errorf("with %q: got an incomplete reply: %q", test.to, got)
		}
	}
	truncated := strings.TrimSuffix(batches, "your_turn\n")
	if err := run(strings.NewReader(truncated), new(strings.Builder)); err == nil {
		t.Error("a batch that ends before your_turn was accepted")
	}
}

// With 400 routers an idle connection costs more than a handshake and is closed. Messages of other routers are ignored.
func TestRun_ClosesIdleConnectionsAndIgnoresMessages(t *testing.T) {
	many := strings.Replace(settings, `"balancers":2`, `"balancers":400,"fees":{"connection":0.1,"handshake":0.1}`, 1)
	script := "mark 1 1\nlaunch 0 5 " + many + "\nlist 0 2\nserver 7 a std 0 U 1 -\nserver 9 a origin 0 U 1 -\n" +
		"members 0 SAVED 1 0\nyour_turn\nmark 1.6 2\ndemand 0 r-a get - k/3 2.6 - - 0 0\n" +
		"message 0 3 AQAAAAIAAAA=\nyour_turn\nmark 1.7 3\nreturned 0 r-a 1 7 0 Ok 0.1 1 -\nyour_turn\n"
	var output strings.Builder
	if err := run(strings.NewReader(script), &output); err != nil {
		t.Fatal(err)
	}
	const want = "ready 1\npass_on 0 r-a 7 0.500000\nready 2\ndrop_conns 0 7\nready 3\n"
	if got := output.String(); got != want {
		t.Errorf("got replies:\n%s\nwant:\n%s", got, want)
	}
}
