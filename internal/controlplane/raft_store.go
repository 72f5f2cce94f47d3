package controlplane

import (
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// observedStore is a raft store that reports the result of each write. Raft does not report it: a follower with a full disk
// falls behind silently.
type observedStore struct {
	*raftboltdb.BoltStore
	afterWrite func(error) // called with the error of each write, or nil
}

// StoreLog implements raft.LogStore.
func (o observedStore) StoreLog(log *raft.Log) error { return o.observe(o.BoltStore.StoreLog(log)) }

// StoreLogs implements raft.LogStore.
func (o observedStore) StoreLogs(logs []*raft.Log) error {
	return o.observe(o.BoltStore.StoreLogs(logs))
}

// Set implements raft.StableStore.
func (o observedStore) Set(key, value []byte) error { return o.observe(o.BoltStore.Set(key, value)) }

// SetUint64 implements raft.StableStore.
func (o observedStore) SetUint64(key []byte, value uint64) error {
	return o.observe(o.BoltStore.SetUint64(key, value))
}

func (o observedStore) observe(err error) error {
	o.afterWrite(err)
	return err
}
