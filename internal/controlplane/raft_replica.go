package controlplane

import (
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"spurtrestle/core/policycommit"
)

// replica is this voter's copy of the replicated state. It implements raft.FSM. It has its own mutex, since raft restores a
// snapshot while raftLog.mu is held.
type replica struct {
	mu       sync.Mutex
	state    *policycommit.LogState
	verdicts map[policycommit.Token]policycommit.Verdict // since the last call of takeVerdicts
}

func newReplica() replica {
	return replica{state: &policycommit.LogState{}, verdicts: map[policycommit.Token]policycommit.Verdict{}}
}

func (r *replica) currentState() *policycommit.LogState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Clone()
}

func (r *replica) takeVerdicts() map[policycommit.Token]policycommit.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdicts := r.verdicts
	r.verdicts = map[policycommit.Token]policycommit.Verdict{}
	return verdicts
}

// Apply implements raft.FSM. It ignores an entry that it cannot decode, which a later build has written.
func (r *replica) Apply(log *raft.Log) any {
	var entry policycommit.Entry
	if json.Unmarshal(log.Data, &entry) != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if verdict, ok := r.state.Apply(policycommit.Index(log.Index), entry); ok {
		r.verdicts[entry.Token] = verdict
	}
	return nil
}

// Snapshot implements raft.FSM.
func (r *replica) Snapshot() (raft.FSMSnapshot, error) { return stateSnapshot{r.currentState()}, nil }

// Restore implements raft.FSM.
func (r *replica) Restore(from io.ReadCloser) error {
	defer from.Close() // the snapshot was read completely: an error of Close does not matter
	state := &policycommit.LogState{}
	if err := json.NewDecoder(from).Decode(state); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	return nil
}

// stateSnapshot is a state to be written to a snapshot. It implements raft.FSMSnapshot.
type stateSnapshot struct{ *policycommit.LogState }

// Persist implements raft.FSMSnapshot.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.LogState); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (stateSnapshot) Release() {}
