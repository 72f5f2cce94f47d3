package policycommit

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"spurtrestle/core/sitefailover"
)

// goldenMessages are the JSON forms of everything that routers exchange and that the raft log holds, by name, as the build
// bfb4b5c wrote them.
func goldenMessages(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile("testdata/messages.golden")
	if err != nil {
		t.Fatal(err)
	}
	messages := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, message, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !ok {
			t.Fatalf("golden line without a name: %q", line)
		}
		messages[name] = message
	}
	return messages
}

// siteOrder has an order in its JSON form, so that the test does not depend on the names of its fields.
func siteOrder(t *testing.T) *sitefailover.Transition {
	t.Helper()
	const text = `{"Site":"coast","On":0,"stage":"lost","step":1,"by":"ada","reason":"dark","at":7,"index":0}`
	var order sitefailover.Transition
	if err := json.Unmarshal([]byte(text), &order); err != nil {
		t.Fatal(err)
	}
	return &order
}

// logStateGolden applies entries of every kind and records the verdicts.
func logStateGolden(t *testing.T, checkVerdict func(Token, Verdict)) *LogState {
	t.Helper()
	state := &LogState{}
	for i, entry := range []Entry{
		{Kind: Enter, Name: "n1", Process: 11, Build: "abc", Site: "hill"},
		{Kind: Enter, Name: "n2", Process: 12, Serves: true, Build: "abd", Site: "coast"},
		{Kind: Enter, Name: "n3", Process: 13},
		{Kind: Propose, Token: "t1", Base: 0, Doc: "d1", Author: "ada", Reason: "r1", At: 1},
		{Kind: Propose, Token: "t2", Base: 0, Doc: "d2", Author: "bob", Reason: "r2", At: 2},
		{Kind: Decide, Token: "t1"},
		{Kind: Propose, Token: "t3", Base: 0, Doc: "d3", Author: "bob", Reason: "r3", At: 3},
		{Kind: Propose, Token: "t4", Base: 1, Doc: "d4", Author: "bob", Reason: "r4", At: 4},
		{Kind: Abort, Token: "t4", Why: "n2 cannot"},
		{Kind: Propose, Token: "t5", Base: 1, Doc: "d5", Author: "bob", Reason: "r5", At: 5},
		{Kind: Lend, Name: "n1", Process: 11},
		{Kind: Lend, Name: "n2", Process: 99},
		{Kind: Dead, Name: "n3", Author: "ada", Reason: "burnt", At: 6},
		{Kind: Site, Order: siteOrder(t)},
	} {
		if verdict, ok := state.Apply(Index(i+1), entry); ok {
			checkVerdict(entry.Token, verdict)
		}
	}
	return state
}

func TestMessages_JSONIsUnchanged(t *testing.T) {
	golden := goldenMessages(t)
	checked := map[string]bool{}
	check := func(name string, value any) {
		t.Helper()
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if want, ok := golden[name]; !ok || string(text) != want {
			t.Errorf("%s:\n got %s\nwant %s", name, text, want)
		}
		checked[name] = true
	}

	for name, entry := range map[string]Entry{
		"empty":   {},
		"propose": {Kind: Propose, Token: "token-1", Base: 3, Doc: "schema = 1\n", Author: "ada", Reason: "less load", At: 1700000000000001},
		"decide":  {Kind: Decide, Token: "token-1"},
		"abort":   {Kind: Abort, Token: "token-1", Why: "n4 does not answer"},
		"enter":   {Kind: Enter, Name: "n1", Process: 11, Serves: true, Build: "abc", Site: "hill"},
		"leave":   {Kind: Leave, Name: "n1", Process: 11},
		"dead":    {Kind: Dead, Name: "n1", Author: "ada", Reason: "burnt", At: 5},
		"site":    {Kind: Site, Order: siteOrder(t)},
		"lend":    {Kind: Lend, Name: "n1", Process: 11},
		"unlend":  {Kind: Unlend, Name: "n1"},
	} {
		check("entry/"+name, entry)
	}

	check("renewal/empty", Renewal{})
	check("renewal/full", Renewal{Name: "n1", Process: 11, At: 12, Serves: true, Build: "abc", Site: "hill", Held: 3, Index: 14,
		Prepared: "p", Refused: "r", Why: "line 2", Leaving: true})
	check("lease/empty", Lease{})
	check("lease/full", Lease{Process: 11, At: 12, For: 950000, Index: 14, Revision: 3, Doc: "d", Pending: "p", Prepare: "next", Extra: 0.05})
	check("transfer/empty", LeaseTransfer{})
	check("transfer/full", LeaseTransfer{Revision: 3, Index: 14, Doc: "d", For: 950000})

	check("request/empty", Request{})
	check("request/full", Request{ID: 1, What: "apply", Doc: "d", Base: 3, Token: "t", Author: "ada", Reason: "why", Name: "n1", Word: "lost", At: 6})
	check("verdict/everywhere", Verdict{Everywhere: true, Revision: 4})
	check("verdict/nowhere", Verdict{Revision: 3, Why: "no"})
	check("reply/empty", Reply{})
	check("reply/full", Reply{ID: 1, Error: "e", Verdict: &Verdict{Everywhere: true, Revision: 4}, Current: 4,
		Pending:   &Change{Revision: 5, Token: "t5", Doc: "d5", Author: "bob", Reason: "r5", At: 55, Index: 15},
		History:   []Change{{Revision: 4, Token: "t4", Doc: "d4", Author: "ada", Reason: "r4", At: 44, Index: 14}},
		Said:      []Entry{{Kind: Dead, Name: "n9", Author: "ada", Reason: "burnt", At: 5}},
		Standings: []FollowerState{{Name: "n1", Process: 11, Serves: true, Build: "abc", Held: 4, Prepared: true, Heard: 7}},
		Keepers:   []string{"n1/a at 127.0.0.1:1, leads"}, Sites: &sitefailover.Status{}, Plan: "doc"})

	check("logstate/empty", &LogState{})
	state := logStateGolden(t, func(token Token, verdict Verdict) { check("verdict/of-"+string(token), verdict) })
	check("logstate/full", state)

	// The reasons of the leader are stored in abort entries and shown to operators.
	timing := DefaultRules()
	leader := NewLeader(0, timing, 3)
	leader.Answer(1, state, Renewal{Name: "n2", Process: 12, Serves: true, Site: "coast", Refused: "t5", Why: "line 2: bad"})
	check("abort/refused", leader.Resolve(2, state))
	leader = NewLeader(0, timing, 3)
	leader.Answer(1, state, Renewal{Name: "n2", Process: 12, Serves: true, Site: "coast"})
	check("abort/unresolved", leader.Resolve(2, state))
	leader.Answer(timing.Patience+3, state, Renewal{Name: "n1", Process: 11, Site: "hill"})
	check("abort/timeout", leader.Resolve(timing.Patience+4, state))
	check("followers", leader.Standings(timing.Patience+5, state))

	for name := range golden {
		if !checked[name] {
			t.Errorf("golden message %q is not compared", name)
		}
	}
}

// A log state of the older build is read without loss.
func TestLogState_ReadsOlderSnapshot(t *testing.T) {
	want := goldenMessages(t)["logstate/full"]
	var state LogState
	if err := json.Unmarshal([]byte(want), &state); err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(&state); err != nil || string(text) != want {
		t.Errorf("after reading and writing:\n got %s, %v\nwant %s", text, err, want)
	}
}
