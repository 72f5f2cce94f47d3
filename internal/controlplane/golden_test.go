package controlplane

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/policycommit"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/goldentest"
)

// messagesFile has the JSON of all messages and stored values, by name, as written by build bfb4b5c.
const messagesFile = "testdata/messages.golden"

func decode[T any](t *testing.T, text string) *T {
	t.Helper()
	value := new(T)
	if err := json.Unmarshal([]byte(text), value); err != nil {
		t.Fatal(err)
	}
	return value
}

func TestMessages_JSONIsUnchanged(t *testing.T) {
	golden := goldentest.ReadMessages(t, messagesFile)
	check := func(name string, value any) {
		t.Helper()
		golden.Compare(t, name, value)
	}
	report := decode[sitefailover.Report](t, `{"site":"hill","offered":[{"k":2,"r":10.5}],"let":9,"lost":1,"worth":20,"missed":2,`+
		`"origin":1.5,"target":100,"seen":[{"s":"coast","u":6,"l":4,"q":1,"a":50}]}`)
	orders := decode[sitefailover.Orders](t, `{"shares":[{"s":"coast","p":0.25}],"spare":[{"s":"hill","p":1}],"least":2,"some":0.5,`+
		`"back":3000000,"fetches":40,"target":100}`)

	check("message/empty", message{})
	check("message/renewal", message{Renewal: &policycommit.Renewal{Name: "n1", Incarnation: 11}, SiteReport: report})
	check("message/lease", message{Lease: &policycommit.Lease{Incarnation: 11, Revision: 3}, SiteOrders: orders})
	check("message/request", message{Request: &policycommit.Request{ID: 5, Type: "status"}})
	check("message/reply", message{Reply: &policycommit.Reply{ID: 5, Current: 3}})
	check("message/welcome", message{VoterInvitation: "a1b2"})
	check("held/empty", policycommit.RouterStatus{})
	check("held/full", policycommit.RouterStatus{Revision: 4, InForce: 3, HasRevision: true, Admitting: true, ApplyError: "line 2", Prepared: "t",
		CutOff: "serve", Voter: true, Leader: true, ExtraShare: 0.05, VoterFault: "full", Orders: orders})
	check("identity", voterIdentity{Name: "n1", VoterID: 77, Member: true})
	check("voter", serverID("n1", 0xa1b2))
	golden.CheckAllCompared(t)
}

// The directory in testdata was written by build bfb4b5c and contains a snapshot and later entries. This build must replay it,
// become the leader and append to it.
func TestRaftLog_ReadsOlderDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "raft")
	if err := os.CopyFS(dir, os.DirFS("testdata/raft")); err != nil {
		t.Fatal(err)
	}
	config := RaftConfig{Dir: dir, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Advertise: netip.MustParseAddrPort("127.0.0.1:8500")}
	raftLog, err := openRaftLog(config, "n1", logrus.New())
	if err != nil {
		t.Fatal(err)
	}
	if !raftLog.currentIdentity().Member {
		t.Error("identity in the directory: got Member false, want true")
	}
	started := make(chan error, 1)
	go func() { started <- raftLog.start(startOptions{}) }()
	select {
	case err := <-started:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("start did not return within five seconds: it hangs while raft restores the snapshot")
	}
	t.Cleanup(raftLog.close)
	for deadline := time.Now().Add(10 * time.Second); !raftLog.isLeader(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the only voter did not become the leader within ten seconds")
		}
	}
	want, err := os.ReadFile("testdata/raft-state.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(raftLog.currentState())
	if err != nil || string(got) != string(want) {
		t.Errorf("state after the replay:\n got %s, %v\nwant %s", got, err, want)
	}
	if err := raftLog.append(policycommit.Entry{Kind: policycommit.EntryRevokeShare, Name: "n2"}); err != nil {
		t.Errorf("append to the older log: %v", err)
	}
	if state := raftLog.currentState(); len(state.LeasedOut) != 0 {
		t.Errorf("leased-out shares after the appended entry: got %v, want none", state.LeasedOut)
	}
}
