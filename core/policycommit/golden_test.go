package policycommit

import (
	"encoding/json"
	"testing"

	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/goldentest"
)

// messagesFile has the JSON encoding of every exchanged or stored type, by name, as written by build bfb4b5c. Routers of
// different builds exchange these messages and read each other's log.
const messagesFile = "testdata/messages.golden"

// siteTransition decodes a transition from JSON, so that the test does not depend on the names of its fields.
func siteTransition(t *testing.T) *sitefailover.Transition {
	t.Helper()
	const text = `{"Site":"coast","On":0,"stage":"lost","step":1,"by":"ada","reason":"dark","at":7,"index":0}`
	var transition sitefailover.Transition
	if err := json.Unmarshal([]byte(text), &transition); err != nil {
		t.Fatal(err)
	}
	return &transition
}

// goldenLogState applies entries of every kind and passes the verdicts to checkVerdict.
func goldenLogState(t *testing.T, checkVerdict func(Token, Verdict)) *LogState {
	t.Helper()
	state := &LogState{}
	for i, entry := range []Entry{
		{Kind: EntryJoin, Name: "n1", Incarnation: 11, Build: "abc", Site: "hill"},
		{Kind: EntryJoin, Name: "n2", Incarnation: 12, FailOpen: true, Build: "abd", Site: "coast"},
		{Kind: EntryJoin, Name: "n3", Incarnation: 13},
		{Kind: EntryPropose, Token: "t1", Base: 0, Document: "d1", Author: "ada", Reason: "r1", RequestedAt: 1},
		{Kind: EntryPropose, Token: "t2", Base: 0, Document: "d2", Author: "bob", Reason: "r2", RequestedAt: 2},
		{Kind: EntryCommit, Token: "t1"},
		{Kind: EntryPropose, Token: "t3", Base: 0, Document: "d3", Author: "bob", Reason: "r3", RequestedAt: 3},
		{Kind: EntryPropose, Token: "t4", Base: 1, Document: "d4", Author: "bob", Reason: "r4", RequestedAt: 4},
		{Kind: EntryAbort, Token: "t4", AbortReason: "n2 cannot"},
		{Kind: EntryPropose, Token: "t5", Base: 1, Document: "d5", Author: "bob", Reason: "r5", RequestedAt: 5},
		{Kind: EntryGrantShare, Name: "n1", Incarnation: 11},
		{Kind: EntryGrantShare, Name: "n2", Incarnation: 99},
		{Kind: EntryMarkDead, Name: "n3", Author: "ada", Reason: "burnt", RequestedAt: 6},
		{Kind: EntrySiteTransition, Transition: siteTransition(t)},
	} {
		if verdict, ok := state.Apply(Index(i+1), entry); ok {
			checkVerdict(entry.Token, verdict)
		}
	}
	return state
}

func TestMessages_JSONIsUnchanged(t *testing.T) {
	golden := goldentest.ReadMessages(t, messagesFile)
	check := func(name string, value any) {
		t.Helper()
		golden.Compare(t, name, value)
	}

	for name, entry := range map[string]Entry{
		"empty":   {},
		"propose": {Kind: EntryPropose, Token: "token-1", Base: 3, Document: "schema = 1\n", Author: "ada", Reason: "less load", RequestedAt: 1700000000000001},
		"decide":  {Kind: EntryCommit, Token: "token-1"},
		"abort":   {Kind: EntryAbort, Token: "token-1", AbortReason: "n4 does not answer"},
		"enter":   {Kind: EntryJoin, Name: "n1", Incarnation: 11, FailOpen: true, Build: "abc", Site: "hill"},
		"leave":   {Kind: EntryLeave, Name: "n1", Incarnation: 11},
		"dead":    {Kind: EntryMarkDead, Name: "n1", Author: "ada", Reason: "burnt", RequestedAt: 5},
		"site":    {Kind: EntrySiteTransition, Transition: siteTransition(t)},
		"lend":    {Kind: EntryGrantShare, Name: "n1", Incarnation: 11},
		"unlend":  {Kind: EntryRevokeShare, Name: "n1"},
	} {
		check("entry/"+name, entry)
	}

	check("renewal/empty", Renewal{})
	check("renewal/full", Renewal{Name: "n1", Incarnation: 11, SentAt: 12, FailOpen: true, Build: "abc", Site: "hill", ActiveRevision: 3, Index: 14,
		Prepared: "p", Rejected: "r", RejectReason: "line 2", Leaving: true})
	check("lease/empty", Lease{})
	check("lease/full", Lease{Incarnation: 11, RenewalSentAt: 12, Duration: 950000, Index: 14, Revision: 3, Document: "d", Pending: "p", PrepareDocument: "next", ExtraShare: 0.05})
	check("transfer/empty", LeaseTransfer{})
	check("transfer/full", LeaseTransfer{Revision: 3, Index: 14, Document: "d", Remaining: 950000})

	check("request/empty", Request{})
	check("request/full", Request{ID: 1, Type: "apply", Document: "d", Base: 3, Token: "t", Author: "ada", Reason: "why", Name: "n1", SiteAction: "lost", RequestedAt: 6})
	check("verdict/everywhere", Verdict{Committed: true, Revision: 4})
	check("verdict/nowhere", Verdict{Revision: 3, Reason: "no"})
	check("reply/empty", Reply{})
	check("reply/full", Reply{ID: 1, Error: "e", Verdict: &Verdict{Committed: true, Revision: 4}, Current: 4,
		Pending:      &Change{Revision: 5, Token: "t5", Document: "d5", Author: "bob", Reason: "r5", RequestedAt: 55, ProposalIndex: 15},
		History:      []Change{{Revision: 4, Token: "t4", Document: "d4", Author: "ada", Reason: "r4", RequestedAt: 44, ProposalIndex: 14}},
		DeathReports: []Entry{{Kind: EntryMarkDead, Name: "n9", Author: "ada", Reason: "burnt", RequestedAt: 5}},
		Followers:    []FollowerState{{Name: "n1", Incarnation: 11, FailOpen: true, Build: "abc", ActiveRevision: 4, Prepared: true, RenewalAge: 7}},
		Voters:       []string{"n1/a at 127.0.0.1:1, leads"}, Sites: &sitefailover.Status{}, Document: "doc"})

	check("logstate/empty", &LogState{})
	state := goldenLogState(t, func(token Token, verdict Verdict) { check("verdict/of-"+string(token), verdict) })
	check("logstate/full", state)

	// Abort entries with the leader's reasons are stored, and shown to operators.
	timing := DefaultTiming()
	leader := NewLeader(0, timing, 3)
	leader.AnswerRenewal(1, state, Renewal{Name: "n2", Incarnation: 12, FailOpen: true, Site: "coast", Rejected: "t5", RejectReason: "line 2: bad"})
	check("abort/refused", leader.ResolvePending(2, state))
	leader = NewLeader(0, timing, 3)
	leader.AnswerRenewal(1, state, Renewal{Name: "n2", Incarnation: 12, FailOpen: true, Site: "coast"})
	check("abort/unresolved", leader.ResolvePending(2, state))
	leader.AnswerRenewal(timing.PrepareTimeout+3, state, Renewal{Name: "n1", Incarnation: 11, Site: "hill"})
	check("abort/timeout", leader.ResolvePending(timing.PrepareTimeout+4, state))
	check("followers", leader.Followers(timing.PrepareTimeout+5, state))

	golden.CheckAllCompared(t)
}

// A log state that was written by an older build is read without loss.
func TestLogState_ReadsOlderSnapshot(t *testing.T) {
	want := goldentest.ReadMessages(t, messagesFile).Text("logstate/full")
	var state LogState
	if err := json.Unmarshal([]byte(want), &state); err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(&state); err != nil || string(text) != want {
		t.Errorf("log state after decoding and encoding:\n got %s, error %v\nwant %s", text, err, want)
	}
}
