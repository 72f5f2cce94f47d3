// Package snapshot persists what a router has learned, so that its next process does not have to learn it again.
//
// A snapshot is one versioned, checksummed file. The directory holds two generations. A new one is written under a temporary
// name, synced and renamed, and the directory is synced; only then is the oldest generation removed.
//
// # File format
//
// A file is a magic string followed by records. The last one is an end record with the checksum of all bytes before it. A record
// consists of its kind (1 byte), payload length (4 bytes, little endian), CRC-32C of kind, length and payload (4 bytes, little
// endian), and the payload. The payload of a keys record is a list of hashes and counts. That of all other kinds is in the
// protobuf wire format, so that readers can skip unknown fields.
//
// # Use
//
// internal/program opens a Writer, and internal/router submits states to it from its event loop. The Writer's own goroutine does
// all I/O after OpenWriter. A predecessor also sends its successor a state in this encoding, over internal/handover.
package snapshot

import (
	"errors"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Version is the format version of the files that Encode writes.
//
//	1  before the first release: servers had no ObservedAt
//	2  ObservedAt of each server
const Version = 2

// Bounds of a file. They keep the decoding of a corrupt file from exhausting memory.
const (
	MaxFileBytes  = 8 << 20
	MaxServers    = 10000
	MaxKeys       = 1 << 14
	MaxMethods    = 1 << 10
	maxNameLength = 256
)

// State is the content of a file. Knowledge.Servers and Knowledge.MethodLatencies are empty. Servers and Methods replace them
// and identify their entries by names, which stay the same across processes.
type State struct {
	Version   int // the format version of the file that it was decoded from
	Router    string
	Knowledge routing.Knowledge
	Methods   []Method
	Servers   []Server
}

// Method is the smoothed latency of one method.
type Method struct {
	Name    string
	Latency clock.Duration
}

// Server is what is known about one server. It is identified by its name in discovery, since addresses and server numbers
// change.
type Server struct {
	UID string
	routing.ServerKnowledge
}

// Errors of a file that cannot be used.
var (
	ErrCorrupt      = errors.New("the file is damaged")
	ErrNewerVersion = errors.New("the file was written by a newer version")
)
