package controlplane

import (
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// disk is the store of a log that says when it cannot be written: a follower with a full disk only falls behind, and nobody
// was told.
type disk struct {
	*raftboltdb.BoltStore
	wrote func(error)
}

// StoreLog is called by raft, as all below.
func (d disk) StoreLog(l *raft.Log) error { return d.told(d.BoltStore.StoreLog(l)) }

// StoreLogs adds entries.
func (d disk) StoreLogs(l []*raft.Log) error { return d.told(d.BoltStore.StoreLogs(l)) }

// Set keeps a value.
func (d disk) Set(k, v []byte) error { return d.told(d.BoltStore.Set(k, v)) }

// SetUint64 keeps a number.
func (d disk) SetUint64(k []byte, v uint64) error { return d.told(d.BoltStore.SetUint64(k, v)) }

func (d disk) told(err error) error {
	d.wrote(err)
	return err
}
