// Package recentids remembers which requests may have run, by their ids, so that none runs again when its id comes a
// second time. It is pure; the router's event loop, which owns a Set, tells it the time.
package recentids

import (
	"encoding/binary"
	"errors"
	"hash/fnv"

	"spurtrestle/core/clock"
)

const (
	// Window is how long an id is remembered at least, unless more come in that time than a Set holds. It is several times
	// as long as any client waits.
	Window = 15 * clock.Second
	// bytesPerID is the memory that one id takes.
	bytesPerID = 24
)

// digest stands for an id. Two ids with the same digest are taken for one, and the second request is not run.
type digest uint64

const digestBytes = 8

func digestOf(id string) digest {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // it never fails
	return digest(hash.Sum64())
}

// Set holds the ids of this window and of the one before.
type Set struct {
	current, previous map[digest]struct{}
	currentSince      clock.Time
	capacity          int // of one window, in ids
}

// New returns an empty set that takes at most the given number of bytes.
func New(bytes int) *Set { return &Set{capacity: max(1, bytes/bytesPerID/2)} }

// Add remembers an id.
func (s *Set) Add(now clock.Time, id string) { s.add(now, digestOf(id)) }

func (s *Set) add(now clock.Time, d digest) {
	s.expire(now)
	if len(s.current) >= s.capacity {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current, s.currentSince = map[digest]struct{}{}, now
	}
	s.current[d] = struct{}{}
}

// expire forgets the ids that are older than two windows, and some that are older than one.
func (s *Set) expire(now clock.Time) {
	switch age := now - s.currentSince; {
	case age >= 2*Window:
		s.previous, s.current = nil, nil
	case age >= Window:
		s.previous, s.current, s.currentSince = s.current, nil, s.currentSince+Window
	}
}

// Contains reports whether an id is remembered.
func (s *Set) Contains(now clock.Time, id string) bool {
	s.expire(now)
	d := digestOf(id)
	_, inCurrent := s.current[d]
	_, inPrevious := s.previous[d]
	return inCurrent || inPrevious
}

// Len returns how many ids are remembered.
func (s *Set) Len() int { return len(s.current) + len(s.previous) }

// Encode returns the ids in a form for another process.
func (s *Set) Encode() []byte {
	encoded := make([]byte, 0, s.Len()*digestBytes)
	for _, ids := range []map[digest]struct{}{s.previous, s.current} {
		for d := range ids {
			encoded = binary.BigEndian.AppendUint64(encoded, uint64(d))
		}
	}
	return encoded
}

// EncodeID returns one id in the same form.
func EncodeID(id string) []byte { return binary.BigEndian.AppendUint64(nil, uint64(digestOf(id))) }

// ErrEncoding means that encoded ids are damaged.
var ErrEncoding = errors.New("recent request ids: the length is no multiple of that of one id")

// AddEncoded remembers the ids that another process has encoded.
func (s *Set) AddEncoded(now clock.Time, encoded []byte) error {
	if len(encoded)%digestBytes != 0 {
		return ErrEncoding
	}
	for ; len(encoded) > 0; encoded = encoded[digestBytes:] {
		s.add(now, digest(binary.BigEndian.Uint64(encoded)))
	}
	return nil
}
