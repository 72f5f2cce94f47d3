package controlplane

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"spurtrestle/core/policycommit"
)

func TestOpenIdentity_KeepsTheIDOfADirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "raft")
	first, err := openIdentity(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	if first.Name != "n1" || first.VoterID == 0 || first.Member {
		t.Errorf("new directory: got %+v, want name n1, a voter ID and no membership", first)
	}
	first.Member = true
	if err := first.persist(dir); err != nil {
		t.Fatal(err)
	}
	if second, err := openIdentity(dir, "n1"); err != nil || second != first {
		t.Errorf("opened again: got %+v, %v, want %+v", second, err, first)
	}
	if _, err := openIdentity(dir, "n2"); err == nil || !strings.Contains(err.Error(), `belongs to router "n1"`) {
		t.Errorf("directory of another router: got %v, want an error that names it", err)
	}
}

func TestOpenIdentity_RejectsAMalformedFile(t *testing.T) {
	for _, text := range []string{"", "{", `{"name":"n1","number":0}`} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, identityFileName), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := openIdentity(dir, "n1"); err == nil || !strings.Contains(err.Error(), "cannot be read") {
			t.Errorf("identity file %q: got %v, want an error that it cannot be read", text, err)
		}
	}
}

func TestServerID_HasTheNameOfTheRouter(t *testing.T) {
	id := serverID("n1", 0xa1b2)
	if id != "n1/a1b2" {
		t.Errorf("got %q, want n1/a1b2", id)
	}
	if name := routerName(id); name != "n1" {
		t.Errorf("name: got %q, want n1", name)
	}
}

// A voter must not join raft with a log that ends before an entry which it has acknowledged. The failed start must close the
// raft files, so that another start can open them.
func TestRaftLog_RejectsAStaleDirectory(t *testing.T) {
	raftLog, err := openRaftLog(testConfig(t).Raft, "n1", quietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(raftLog.close)
	var stale *StaleLogError
	err = raftLog.start(startOptions{acknowledgedIndex: 10})
	if !errors.As(err, &stale) || stale.LastIndex != 0 || stale.AcknowledgedIndex != 10 {
		t.Errorf("got %v, want a StaleLogError with LastIndex 0 and AcknowledgedIndex 10", err)
	}
	if raftLog.voterStatus().Voter || !strings.Contains(raftLog.fault(), "it was put back, or lost") {
		t.Errorf("after the error: got voter %v, fault %q, want no voter and the text of StaleLogError", raftLog.voterStatus().Voter, raftLog.fault())
	}
	if err := raftLog.start(startOptions{bootstrap: true}); err != nil {
		t.Errorf("start again: %v", err)
	}
	if !raftLog.voterStatus().Voter || raftLog.fault() != "" {
		t.Errorf("after the start: got voter %v, fault %q, want a voter without fault", raftLog.voterStatus().Voter, raftLog.fault())
	}
}

func TestRaftLog_ReportsWriteFaultsUntilAWriteSucceeds(t *testing.T) {
	raftLog := &raftLog{log: quietLog()}
	raftLog.recordWrite(errors.New("no space left on device"))
	if want := "the folder cannot be written, and its keeper falls behind: no space left on device"; raftLog.fault() != want {
		t.Errorf("got %q, want %q", raftLog.fault(), want)
	}
	raftLog.recordWrite(nil)
	if raftLog.fault() != "" {
		t.Errorf("after a write: got %q, want none", raftLog.fault())
	}
}

func TestRaftLog_HasNoLeaderBeforeItsStart(t *testing.T) {
	raftLog, err := openRaftLog(testConfig(t).Raft, "n1", quietLog())
	if err != nil {
		t.Fatal(err)
	}
	if raftLog.isLeader() || raftLog.confirmLeadership() {
		t.Error("a voter that has not joined raft reports that it leads")
	}
	if err := raftLog.append(policycommit.Entry{}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("append: got %v, want ErrNoLeader", err)
	}
	if err := raftLog.removeVoter("n1"); !errors.Is(err, ErrNoLeader) {
		t.Errorf("remove a voter: got %v, want ErrNoLeader", err)
	}
}

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct {
	bytes.Buffer
	closed, cancelled bool
}

func (*memorySink) ID() string      { return "snapshot" }
func (m *memorySink) Close() error  { m.closed = true; return nil }
func (m *memorySink) Cancel() error { m.cancelled = true; return nil }

func TestReplica_RestoresItsSnapshot(t *testing.T) {
	source := newReplica()
	for i, entry := range []policycommit.Entry{
		{Kind: policycommit.EntryJoin, Name: "n1", Incarnation: 11},
		{Kind: policycommit.EntryPropose, Token: "t1", Document: "d1"},
		{Kind: policycommit.EntryCommit, Token: "t1"},
	} {
		data, err := json.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		source.Apply(&raft.Log{Index: uint64(i + 1), Data: data})
	}
	source.Apply(&raft.Log{Index: 4, Data: []byte("not JSON")}) // stands for an entry of a later build, which is ignored
	if verdicts := source.takeVerdicts(); len(verdicts) != 1 || !verdicts["t1"].Committed {
		t.Errorf("verdicts: got %+v, want t1 committed", verdicts)
	}
	if verdicts := source.takeVerdicts(); len(verdicts) != 0 {
		t.Errorf("second takeVerdicts: got %+v, want none", verdicts)
	}
	snapshot, err := source.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var sink memorySink
	if err := snapshot.Persist(&sink); err != nil || !sink.closed || sink.cancelled {
		t.Fatalf("persist: %v, closed %v, cancelled %v", err, sink.closed, sink.cancelled)
	}
	restored := newReplica()
	if err := restored.Restore(io.NopCloser(&sink.Buffer)); err != nil {
		t.Fatal(err)
	}
	want, _ := json.Marshal(source.currentState())
	if got, _ := json.Marshal(restored.currentState()); string(got) != string(want) {
		t.Errorf("restored:\n got %s\nwant %s", got, want)
	}
	if err := restored.Restore(io.NopCloser(strings.NewReader("{"))); err == nil {
		t.Error("restore of a truncated snapshot: got no error")
	}
}

// TestRaftLog_ConfirmsNothingOnceClosed guards against a router that does not end: raft left a verification of its leadership
// unanswered that it had queued when it was shut down, and Close waited for it.
func TestRaftLog_ConfirmsNothingOnceClosed(t *testing.T) {
	const attempts = 30 // each is queued, or refused, by chance
	raftLog, err := openRaftLog(testConfig(t).Raft, "n1", quietLog())
	if err != nil {
		t.Fatal(err)
	}
	if err := raftLog.start(startOptions{bootstrap: true}); err != nil {
		t.Fatal(err)
	}
	raftLog.close()
	confirmed := make(chan bool)
	go func() {
		for range attempts {
			confirmed <- raftLog.confirmLeadership()
		}
	}()
	for range attempts {
		select {
		case got := <-confirmed:
			if got {
				t.Error("a closed voter leads")
			}
		case <-time.After(3 * time.Second):
			t.Fatal("a closed voter waits for the confirmation of its leadership")
		}
	}
}
