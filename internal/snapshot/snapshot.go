// Package snapshot persists what a router has learned, so that its next process does not start from nothing.
//
// A snapshot is one versioned, checksummed file. The folder stores two generations. A generation is written beside
// the others, synced, renamed into place, and the folder synced; only then is the generation before the last removed.
//
// # File format
//
// A file is a magic text, then records, of which the last is an end record with the checksum of all bytes before it. A
// record is its kind (1 byte), payload length (4 bytes, little endian), CRC-32C of kind, length and payload (4 bytes), and
// the payload. The payload of a keys record is a list of hashes and counts; that of other kinds is in protobuf's wire
// form, in which readers skip fields that they do not know.
//
// # Use
//
// internal/program opens a Writer, internal/router submits to it from its event loop, and the Writer's own goroutine does
// all I/O. A predecessor sends its successor the same encoding over internal/handover.
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

// Bounds of a file, so that decoding a corrupt one cannot exhaust memory.
const (
	MaxFileBytes  = 8 << 20
	MaxServers    = 10000
	MaxKeys       = 1 << 14
	MaxMethods    = 1 << 10
	maxNameLength = 256
)

// State is the content of a file. Knowledge.Servers and Knowledge.MethodLatencies are empty: Servers and Methods replace
// them, identified by names that do not change between processes.
type State struct {
	Version   int // of the file that it was decoded from
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

// Server is what is known of one server, by its name in discovery: addresses and server numbers change.
type Server struct {
	UID string
	routing.ServerKnowledge
}

// Errors of a file that cannot be used.
var (
	ErrCorrupt      = errors.New("the file is damaged")
	ErrNewerVersion = errors.New("the file was written by a newer version")
)
