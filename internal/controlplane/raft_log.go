package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/fleet"
)

const (
	logStoreName       = "log.db"
	logStoreLockWait   = 100 * time.Millisecond // for another process that has the store open; by default bbolt waits forever
	raftTimeout        = 2 * time.Second        // of one append, barrier or configuration change
	raftHeartbeat      = 600 * time.Millisecond
	raftElection       = 600 * time.Millisecond
	raftLeaderLease    = 400 * time.Millisecond
	raftCommit         = 20 * time.Millisecond
	snapshotInterval   = 10 * time.Second
	snapshotThreshold  = 512 // entries
	trailingEntries    = 256 // retained after a snapshot, for voters that lag behind
	retainedSnapshots  = 2
	connectionsPerPeer = 3
)

// notInvited is the fault of a voter with a new directory. The response to GET /ops/policy contains this text, and those of all
// other faults.
const notInvited = "it has not been welcomed yet"

// RaftConfig configures the raft log of a voter.
type RaftConfig struct {
	Dir       string         // directory of the log
	Listen    netip.AddrPort // address that this voter listens on
	Advertise netip.AddrPort // address at which the other voters reach this one
}

// StaleLogError reports that the log in a directory ends before an entry that the voter has acknowledged. The directory was
// restored from an older copy, and the voter must not vote with it.
type StaleLogError struct {
	LastIndex         uint64 // last entry in the directory
	AcknowledgedIndex uint64 // highest entry that the voter has acknowledged
}

// Error implements error. The response to GET /ops/policy contains the text.
func (e *StaleLogError) Error() string {
	return fmt.Sprintf("the folder ends at entry %d, and its keeper has spoken of %d: it was put back, or lost; "+
		"empty it, and have the keeper taken up anew with cache-routerctl policy keeper replace", e.LastIndex, e.AcknowledgedIndex)
}

// raftLog is the replicated log of one voter. The node opens it at its start and calls start when the voter may join raft. A
// voter with a new directory waits for a bootstrap or an invitation first: a voter that has lost its directory must not vote with
// an empty log. All methods except isLeader are safe for concurrent use.
type raftLog struct {
	config  RaftConfig
	log     *logrus.Logger
	replica replica

	writeFault  atomic.Pointer[string] // why the last write to the directory failed; nil if it succeeded
	barrierTerm uint64                 // term in which the replica has applied all entries of earlier terms; owned by isLeader

	closing context.Context // ends with close
	cancel  context.CancelFunc

	mu             sync.Mutex // guards the fields below
	identity       voterIdentity
	inactiveReason string // why the voter has not joined raft; empty if it has
	node           *raft.Raft
	closers        []func() error // in the order in which the resources were opened
}

// startOptions determines how a voter joins raft.
type startOptions struct {
	acknowledgedIndex uint64 // the highest index that this voter has announced to other routers
	bootstrap         bool   // begin a new log with this voter as the only one
}

// openRaftLog reads the identity in a directory, or creates one in a new directory.
func openRaftLog(config RaftConfig, name string, log *logrus.Logger) (*raftLog, error) {
	identity, err := openIdentity(config.Dir, name)
	if err != nil {
		return nil, err
	}
	closing, cancel := context.WithCancel(context.Background())
	return &raftLog{
		closing:        closing,
		cancel:         cancel,
		config:         config,
		log:            log,
		replica:        newReplica(),
		identity:       identity,
		inactiveReason: notInvited,
	}, nil
}

// start joins raft. It does nothing if the voter has already joined. It can be called again after an error.
func (l *raftLog) start(options startOptions) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.node != nil {
		return nil
	}
	if err := l.joinRaft(options); err != nil {
		l.inactiveReason = err.Error()
		closers := l.closers
		l.closers = nil
		return errors.Join(err, closeAll(closers))
	}
	l.inactiveReason = ""
	return nil
}

// joinRaft opens the store, the snapshots and the transport, and starts raft with them. l.mu must be held.
func (l *raftLog) joinRaft(options startOptions) error {
	store, err := raftboltdb.New(raftboltdb.Options{
		Path:        filepath.Join(l.config.Dir, logStoreName),
		BoltOptions: &bbolt.Options{Timeout: logStoreLockWait},
	})
	if err != nil {
		return err
	}
	l.closers = append(l.closers, store.Close)
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(l.config.Dir, retainedSnapshots, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	if err := checkLogIsCurrent(store, snapshots, options.acknowledgedIndex); err != nil {
		return err
	}
	transport, err := l.listen()
	if err != nil {
		return err
	}
	config := l.raftConfig()
	if options.bootstrap {
		server := raft.Server{ID: config.LocalID, Address: transport.LocalAddr()}
		err = raft.BootstrapCluster(config, store, store, snapshots, transport, raft.Configuration{Servers: []raft.Server{server}})
		if err != nil {
			return err
		}
	}
	l.identity.Member = true
	if err := l.identity.persist(l.config.Dir); err != nil {
		return err
	}
	observed := observedStore{BoltStore: store, afterWrite: l.recordWrite}
	l.node, err = raft.NewRaft(config, &l.replica, observed, observed, snapshots, transport)
	return err
}

// checkLogIsCurrent returns a StaleLogError if the log and the snapshots end before acknowledgedIndex.
func checkLogIsCurrent(store raft.LogStore, snapshots raft.SnapshotStore, acknowledgedIndex uint64) error {
	last, err := store.LastIndex()
	if err != nil {
		return err
	}
	if all, err := snapshots.List(); err == nil && len(all) > 0 {
		last = max(last, all[0].Index)
	}
	if last < acknowledgedIndex {
		return &StaleLogError{LastIndex: last, AcknowledgedIndex: acknowledgedIndex}
	}
	return nil
}

// listen opens raft's transport. l.mu must be held.
func (l *raftLog) listen() (*raft.NetworkTransport, error) {
	listener, err := net.Listen("tcp", l.config.Listen.String())
	if err != nil {
		return nil, err
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  streamLayer{Listener: listener, config: l.config},
		MaxPool: connectionsPerPeer,
		Timeout: raftTimeout,
		Logger:  hclog.NewNullLogger(),
	})
	l.closers = append(l.closers, transport.Close)
	return transport, nil
}

func (l *raftLog) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = serverID(l.identity.Name, l.identity.VoterID)
	config.HeartbeatTimeout = raftHeartbeat
	config.ElectionTimeout = raftElection
	config.LeaderLeaseTimeout = raftLeaderLease
	config.CommitTimeout = raftCommit
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = trailingEntries
	config.Logger = hclog.NewNullLogger()
	return config
}

// raftNode returns raft's node, or nil before start.
func (l *raftLog) raftNode() *raft.Raft {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node
}

// isLeader reports whether this voter leads raft and its replica has applied all entries that earlier leaders committed. It may
// block for up to raftTimeout, until its barrier has succeeded once in the term. Only the goroutine of runLeader may call it.
func (l *raftLog) isLeader() bool {
	node := l.raftNode()
	if node == nil || node.State() != raft.Leader {
		return false
	}
	term := node.CurrentTerm()
	if l.barrierTerm == term {
		return true
	}
	if node.Barrier(raftTimeout).Error() != nil || node.CurrentTerm() != term {
		return false
	}
	l.barrierTerm = term
	return true
}

// confirmLeadership reports whether a majority of the voters confirms, after the call began, that this one leads.
func (l *raftLog) confirmLeadership() bool {
	node := l.raftNode()
	if node == nil {
		return false
	}
	// Raft never answers a verification that it has queued and not begun when it is shut down.
	verified := make(chan error, 1)
	go func() { verified <- node.VerifyLeader().Error() }()
	select {
	case err := <-verified:
		return err == nil
	case <-l.closing.Done():
		return false
	}
}

// append appends an entry and waits until the replica has applied it. If it fails, the entry may still have been appended.
func (l *raftLog) append(entry policycommit.Entry) error {
	node := l.raftNode()
	if node == nil {
		return ErrNoLeader
	}
	data, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return node.Apply(data, raftTimeout).Error()
}

// currentState returns a copy of the state after all entries applied so far.
func (l *raftLog) currentState() *policycommit.LogState { return l.replica.currentState() }

// takeVerdicts returns the verdicts since the last call.
func (l *raftLog) takeVerdicts() map[policycommit.Token]policycommit.Verdict {
	return l.replica.takeVerdicts()
}

func (l *raftLog) currentIdentity() voterIdentity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.identity
}

// voterStatus returns the state of this voter to announce to the other routers. It leaves out Name and Incarnation.
func (l *raftLog) voterStatus() fleet.VoterStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := fleet.VoterStatus{
		VoterID: l.identity.VoterID,
		Addr:    l.config.Advertise.String(),
		Voter:   l.identity.Member && l.node != nil,
	}
	if l.node != nil {
		status.LastIndex = l.node.LastIndex()
	}
	return status
}

// fault returns why the voter has not joined raft or cannot write its directory. It is empty if there is no fault.
func (l *raftLog) fault() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeFault := l.writeFault.Load()
	if l.inactiveReason == "" && writeFault != nil {
		return *writeFault
	}
	return l.inactiveReason
}

// recordWrite records the result of a write to the directory. It logs the first failure, and the first success after one.
func (l *raftLog) recordWrite(err error) {
	var fault *string
	if err != nil {
		text := "the folder cannot be written, and its keeper falls behind: " + err.Error()
		fault = &text
	}
	entry := l.log.WithField("dir", l.config.Dir)
	previous := l.writeFault.Swap(fault)
	switch {
	case previous == nil && err != nil:
		entry.WithError(err).Error("policy: raft folder cannot be written; free the disk")
	case previous != nil && err == nil:
		entry.Info("policy: raft folder can be written again")
	}
}

// close shuts raft down. Appends that are waiting for a majority fail.
func (l *raftLog) close() {
	defer l.cancel()
	l.mu.Lock()
	node, closers := l.node, l.closers
	l.closers = nil
	l.mu.Unlock()
	if node != nil {
		_ = node.Shutdown().Error() // always nil
	}
	if err := closeAll(closers); err != nil {
		l.log.WithError(err).Debug("policy: raft log not closed cleanly")
	}
}

// closeAll calls the closers in reverse order.
func closeAll(closers []func() error) error {
	var errs []error
	for _, closeNext := range slices.Backward(closers) {
		errs = append(errs, closeNext())
	}
	return errors.Join(errs...)
}
