package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

// LogConfig is where a keeper keeps the log, and is reached for it.
type LogConfig struct {
	Dir       string
	Listen    netip.AddrPort
	Advertise netip.AddrPort
}

// log is the replicated log of one keeper. A folder that is new has a number that no other had; it takes part only once
// the fleet was founded there, or the leader has welcomed it: a folder that was lost, or put back, has no vote.
type log struct {
	cfg  LogConfig
	out  *logrus.Logger
	mu   sync.Mutex
	file keeperFile
	why  string // it takes no part

	full atomic.Pointer[string] // its folder cannot be written; nil: it can
	raft *raft.Raft
	ends []func() error

	// stateMu is apart from mu: raft restores a snapshot while begin, which starts it, has mu.
	stateMu sync.Mutex
	decided *policycommit.LogState
	done    map[policycommit.Token]policycommit.Verdict // since the last look

	barrier uint64 // the term in which all that was decided before is in the log state
}

// keeperFile says whose folder it is.
type keeperFile struct {
	Name   string `json:"name"`
	Number uint64 `json:"number"`
	Member bool   `json:"member"`
}

const (
	fileName     = "keeper.json"
	keptLogs     = 256 // entries behind a snapshot, for those who are a little late
	snapshotEach = 512 // entries
	answerWithin = 2 * time.Second
)

var errPutBack = errors.New("was put back, or lost")

func openLog(cfg LogConfig, name string, out *logrus.Logger) (*log, error) {
	l := &log{cfg: cfg, out: out, decided: &policycommit.LogState{}, done: map[policycommit.Token]policycommit.Verdict{}, why: "it has not been welcomed yet"}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(cfg.Dir, fileName))
	switch {
	case errors.Is(err, os.ErrNotExist):
		l.file = keeperFile{Name: name, Number: rand.Uint64() | 1}
		return l, l.keep()
	case err != nil:
		return nil, err
	}
	if err := json.Unmarshal(text, &l.file); err != nil || l.file.Number == 0 {
		return nil, fmt.Errorf("%s in %s cannot be read (%v)", fileName, cfg.Dir, err)
	}
	if l.file.Name != name {
		return nil, fmt.Errorf("%s is the folder of keeper %q, and this one is %q", cfg.Dir, l.file.Name, name)
	}
	return l, nil
}

func (l *log) keep() error {
	text, err := json.Marshal(l.file)
	if err != nil {
		return err
	}
	name := filepath.Join(l.cfg.Dir, fileName)
	if err := os.WriteFile(name+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// id is a keeper's name and its folder's number: a new folder is another voter.
func id(name string, number uint64) raft.ServerID {
	return raft.ServerID(name + "/" + strconv.FormatUint(number, 16))
}

func nameOf(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// begin takes part. promised is the highest entry that the others have heard this folder speak of.
func (l *log) begin(promised uint64, found bool) (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.raft != nil {
		return nil
	}
	defer func() {
		if err != nil {
			l.why = err.Error()
			for i := len(l.ends) - 1; i >= 0; i-- {
				err = errors.Join(err, l.ends[i]())
			}
			l.ends = nil
		}
	}()
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(l.cfg.Dir, "log.db"),
		BoltOptions: &bbolt.Options{Timeout: 100 * time.Millisecond}}) // else it waits for ever for a process that has it
	if err != nil {
		return err
	}
	l.ends = append(l.ends, store.Close)
	last, err := store.LastIndex()
	if err != nil {
		return err
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(l.cfg.Dir, 2, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	if all, err := snapshots.List(); err == nil && len(all) > 0 {
		last = max(last, all[0].Index)
	}
	if last < promised {
		return fmt.Errorf("the folder ends at entry %d, and its keeper has spoken of %d: it %w; "+
			"empty it, and have the keeper taken up anew with cache-routerctl policy keeper replace", last, promised, errPutBack)
	}
	ln, err := net.Listen("tcp", l.cfg.Listen.String())
	if err != nil {
		return err
	}
	wire := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer{ln, l.cfg}, MaxPool: 3, Timeout: answerWithin,
		Logger: hclog.NewNullLogger()})
	l.ends = append(l.ends, wire.Close)
	c := raft.DefaultConfig()
	c.LocalID = id(l.file.Name, l.file.Number)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = 600*time.Millisecond, 600*time.Millisecond,
		400*time.Millisecond, 20*time.Millisecond
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotEach, keptLogs, 10*time.Second
	c.Logger = hclog.NewNullLogger()
	if found {
		err = raft.BootstrapCluster(c, store, store, snapshots, wire, raft.Configuration{Servers: []raft.Server{{ID: c.LocalID, Address: wire.LocalAddr()}}})
		if err != nil {
			return err
		}
	}
	l.file.Member = true
	if err := l.keep(); err != nil {
		return err
	}
	kept := disk{store, l.wrote}
	l.raft, err = raft.NewRaft(c, l, kept, kept, snapshots, wire)
	l.why = ""
	return err
}

// layer is the keepers' TCP: it dials from the address that it listens on, so that who is called knows who calls.
type layer struct {
	net.Listener
	cfg LogConfig
}

func (y layer) Addr() net.Addr { return net.TCPAddrFromAddrPort(y.cfg.Advertise) }

func (y layer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: y.cfg.Listen.Addr().AsSlice()}}
	return d.Dial("tcp", string(to))
}

func (l *log) node() *raft.Raft {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.raft
}

// state is how the folder stands, for people; empty: it takes part.
func (l *log) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if full := l.full.Load(); l.why == "" && full != nil {
		return *full
	}
	return l.why
}

// wrote takes in how a write to the folder ended. It is called with and without the lock.
func (l *log) wrote(err error) {
	var why *string
	if err != nil {
		text := "the folder cannot be written, and its keeper falls behind: " + err.Error()
		why = &text
	}
	entry := l.out.WithField("dir", l.cfg.Dir)
	switch was := l.full.Swap(why); {
	case was == nil && err != nil:
		entry.WithError(err).Error("policy: the keeper's folder cannot be written; free the disk")
	case was != nil && err == nil:
		entry.Info("policy: the keeper's folder can be written again")
	}
}

// leads tells whether this keeper leads, and has in its decided all that was decided before.
func (l *log) leads() bool {
	node := l.node()
	if node == nil || node.State() != raft.Leader {
		return false
	}
	if term := node.CurrentTerm(); l.barrier != term {
		if node.Barrier(answerWithin).Error() != nil || node.CurrentTerm() != term {
			return false
		}
		l.barrier = term
	}
	return true
}

// confirmed tells that a majority held this keeper for the leader at some time since it was called.
func (l *log) confirmed() bool {
	node := l.node()
	return node != nil && node.VerifyLeader().Error() == nil
}

// put adds an entry, and waits until it is in the log state; an error: it may be there or not.
func (l *log) put(e policycommit.Entry) error {
	node := l.node()
	if node == nil {
		return errNoLeader
	}
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return node.Apply(text, answerWithin).Error()
}

// now is the log state as it stands.
func (l *log) now() *policycommit.LogState {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	return l.decided.Clone()
}

// verdicts are those that have come since the last call.
func (l *log) verdicts() map[policycommit.Token]policycommit.Verdict {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	all := l.done
	l.done = map[policycommit.Token]policycommit.Verdict{}
	return all
}

// Apply is called by raft with each entry, in order.
func (l *log) Apply(entry *raft.Log) any {
	var e policycommit.Entry
	if json.Unmarshal(entry.Data, &e) != nil {
		return nil // of a later build: it is told apart by its documents, which are refused by field
	}
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	if v, ok := l.decided.Apply(policycommit.Index(entry.Index), e); ok {
		l.done[e.Token] = v
	}
	return nil
}

// Snapshot is called by raft.
func (l *log) Snapshot() (raft.FSMSnapshot, error) { return snapshot{l.now()}, nil }

// Restore is called by raft.
func (l *log) Restore(from io.ReadCloser) error {
	defer from.Close()
	b := &policycommit.LogState{}
	if err := json.NewDecoder(from).Decode(b); err != nil {
		return err
	}
	l.stateMu.Lock()
	l.decided = b
	l.stateMu.Unlock()
	return nil
}

type snapshot struct{ *policycommit.LogState }

func (s snapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(s.LogState); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (s snapshot) Release() {}

// tend takes up keepers that the file names and that were never there, one at a time.
func (l *log) tend(transport fleet.Transport, names []string, welcome func(fleet.VoterStatus)) {
	node := l.node()
	f := node.GetConfiguration()
	if f.Error() != nil {
		return
	}
	have := map[string]raft.Server{}
	for _, s := range f.Configuration().Servers {
		have[nameOf(s.ID)] = s
	}
	for _, k := range transport.Voters() {
		if _, there := have[k.Name]; there || k.VoterID == 0 {
			continue
		}
		for _, name := range names {
			if name != k.Name {
				continue
			}
			welcome(k) // it has to listen before it can be counted on
			if k.Voter {
				_ = node.AddVoter(id(k.Name, k.VoterID), raft.ServerAddress(k.Addr), 0, answerWithin).Error() // tried again
			}
			return
		}
	}
}

// replace has a keeper's old folder count no more; the new one is taken up by itself.
func (l *log) replace(name string) error {
	node := l.node()
	if node == nil {
		return errNoLeader
	}
	f := node.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	for _, s := range f.Configuration().Servers {
		if nameOf(s.ID) == name {
			return node.RemoveServer(s.ID, 0, answerWithin).Error()
		}
	}
	return fmt.Errorf("%q is no keeper", name)
}

// servers are the keepers that vote.
func (l *log) servers() (all []string) {
	node := l.node()
	if node == nil {
		return nil
	}
	f := node.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	_, leader := node.LeaderWithID()
	for _, s := range f.Configuration().Servers {
		what := string(s.ID) + " at " + string(s.Address)
		if s.ID == leader {
			what += ", leads"
		}
		all = append(all, what)
	}
	return all
}

// folder is its number, and whether it took part before.
func (l *log) folder() (number uint64, was bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.file.Number, l.file.Member
}

// last is the last entry that this folder has, and its number.
func (l *log) last() (number, last uint64, member bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.raft != nil {
		last = l.raft.LastIndex()
	}
	return l.file.Number, last, l.file.Member && l.raft != nil
}

func (l *log) close() {
	l.mu.Lock()
	node, ends := l.raft, l.ends
	l.ends = nil
	l.mu.Unlock()
	if node != nil {
		_ = node.Shutdown().Error() // it ends all the same; entries still come in meanwhile
	}
	for i := len(ends) - 1; i >= 0; i-- {
		if err := ends[i](); err != nil {
			l.out.WithError(err).Debug("policy: closing the log")
		}
	}
}
