package membership

import (
	"bytes"
	"encoding/binary"
	"hash/crc64"
	"slices"

	"spurtrestle/core/clock"
)

var digestTable = crc64.MakeTable(crc64.ECMA)

// Digest returns the digest of the view, and whether the view is settled: stable, and with all alive routers announcing
// the same digest.
func (v *View) Digest() (digest uint64, settled bool) { return v.digest, v.settled }

// updateDigest computes the digest over the alive routers and the states that they announce. It excludes this router's own
// observations, so that two views of the same alive routers in the same states have the same digest. Routers of different
// builds compare digests: the encoding must not change.
func (v *View) updateDigest(now clock.Time) {
	v.expireHandovers(now)
	var rows [][]byte
	for name, processes := range v.processesByName() {
		owner := ownerOf(processes)
		if owner.routerState == Alive {
			rows = append(rows, digestRow(name, owner))
		}
	}
	slices.SortFunc(rows, bytes.Compare)
	hash := crc64.New(digestTable)
	for _, row := range rows {
		_, _ = hash.Write(row) // a hash's Write never fails
	}
	digest := hash.Sum64()
	if digest != v.digest {
		v.digest = digest
		v.changedAt = now
	}
}

func digestRow(name Name, owner nameOwner) []byte {
	row := append([]byte(name), 0)
	row = append(row, owner.Site...)
	row = append(row, 0)
	row = binary.BigEndian.AppendUint64(row, uint64(owner.Incarnation))
	row = binary.BigEndian.AppendUint64(row, uint64(owner.Slot))
	row = binary.BigEndian.AppendUint64(row, owner.heartbeat.PolicyRevision)
	flags := packFlags(owner.heartbeat.Accepting, owner.heartbeat.Draining, owner.heartbeat.HandingOver,
		owner.heartbeat.Yielded, owner.duplicated)
	return binary.BigEndian.AppendUint64(row, flags)
}

// packFlags sets bit i for the i-th flag.
func packFlags(flags ...bool) uint64 {
	var packed uint64
	for i, isSet := range flags {
		if isSet {
			packed |= 1 << i
		}
	}
	return packed
}
