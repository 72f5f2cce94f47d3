package gossip

import (
	"encoding/binary"
	"errors"

	"spurtrestle/core/membership"
)

// Heartbeats in few bytes, for the sites of a tiered fleet, where they go with each answer to a probe and with each change.
// Flat fleets have them as JSON, as earlier builds do.

// The flags of a packed heartbeat. The last two tell what follows.
const (
	flagTakes = 1 << iota
	flagDraining
	flagPassing
	flagOut
	flagLeft
	flagLeads
	flagRival  // a rival's number follows
	flagKeeper // what it is as a keeper follows
)

const mostKeeper = 64 // bytes of a keeper's address

func setFlags(flags map[byte]bool) (all byte) {
	for flag, on := range flags {
		if on {
			all |= flag
		}
	}
	return all
}

// packWord appends a heartbeat.
func packWord(b []byte, w membership.Heartbeat) []byte {
	keeps := w.VoterID != 0 || w.VoterAddr != "" || w.Voter || w.LastIndex != 0
	b = binary.BigEndian.AppendUint64(b, uint64(w.Incarnation))
	b = binary.AppendUvarint(b, w.Seq)
	b = append(b, setFlags(map[byte]bool{flagTakes: w.Accepting, flagDraining: w.Draining, flagPassing: w.HandingOver, flagOut: w.Yielded,
		flagLeft: w.Left, flagLeads: w.Leader, flagRival: w.Duplicate != 0, flagKeeper: keeps}))
	b = binary.AppendUvarint(b, w.PolicyRevision)
	b = binary.BigEndian.AppendUint64(b, w.ViewDigest)
	if w.Duplicate != 0 {
		b = binary.BigEndian.AppendUint64(b, uint64(w.Duplicate))
	}
	if keeps {
		b = binary.BigEndian.AppendUint64(b, w.VoterID)
		b = append(b, bit(w.Voter), byte(min(len(w.VoterAddr), mostKeeper)))
		b = append(b, w.VoterAddr[:min(len(w.VoterAddr), mostKeeper)]...)
		b = binary.AppendUvarint(b, w.LastIndex)
	}
	return b
}

func bit(on bool) byte {
	if on {
		return 1
	}
	return 0
}

var errWord = errors.New("a heartbeat is not whole")

// unpackWord reads a heartbeat and returns what comes after it.
func unpackWord(b []byte) (w membership.Heartbeat, rest []byte, err error) {
	r := &unpacker{b: b}
	w.Incarnation, w.Seq = membership.Incarnation(r.uint64()), r.uvarint()
	flags := r.bytes(1)[0]
	w.Accepting, w.Draining, w.HandingOver = flags&flagTakes != 0, flags&flagDraining != 0, flags&flagPassing != 0
	w.Yielded, w.Left, w.Leader = flags&flagOut != 0, flags&flagLeft != 0, flags&flagLeads != 0
	w.PolicyRevision, w.ViewDigest = r.uvarint(), r.uint64()
	if flags&flagRival != 0 {
		w.Duplicate = membership.Incarnation(r.uint64())
	}
	if flags&flagKeeper != 0 {
		w.VoterID, w.Voter = r.uint64(), r.bytes(1)[0] != 0
		w.VoterAddr = string(r.bytes(min(mostKeeper, int(r.bytes(1)[0]))))
		w.LastIndex = r.uvarint()
	}
	if r.short {
		return membership.Heartbeat{}, nil, errWord
	}
	return w, r.b, nil
}

// packWords is a state: all heartbeats that a router has heard.
func packWords(words []membership.Heartbeat) []byte {
	b := []byte{kindPacked}
	for _, w := range words {
		b = packWord(b, w)
	}
	return b
}

// unpackWords reads a state.
func unpackWords(b []byte) (words []membership.Heartbeat, err error) {
	for rest := b[1:]; len(rest) > 0; {
		var w membership.Heartbeat
		if w, rest, err = unpackWord(rest); err != nil {
			return nil, err
		}
		words = append(words, w)
	}
	return words, nil
}

// unpacker reads fields. After the first that is not there all are zero.
type unpacker struct {
	b     []byte
	short bool
}

func (r *unpacker) bytes(n int) []byte {
	if r.short || len(r.b) < n {
		r.short = true
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *unpacker) uint64() uint64 { return binary.BigEndian.Uint64(r.bytes(8)) }

func (r *unpacker) uvarint() uint64 {
	n, size := binary.Uvarint(r.b)
	if r.short || size <= 0 {
		r.short = true
		return 0
	}
	r.b = r.b[size:]
	return n
}
