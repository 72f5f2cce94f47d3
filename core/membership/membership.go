// Package membership maintains one router's view of its fleet: which routers are present and in which state, which process
// owns a router's name, and whether all routers agree. It does no I/O and reads no clock: internal/gossip passes it membership
// events and heartbeats together with the current time of the process's monotonic clock, from any goroutine but under one lock.
//
// A router is identified by its name. Each process of a router is an incarnation with a random number, so that restarts,
// replacements and duplicate names can be told apart without comparing wall clocks.
package membership

import "spurtrestle/core/clock"

// Name is the name of a router, shared by all of its incarnations.
type Name string

// Site is the name of a router's site.
type Site string

// Incarnation identifies one process of a router. It is chosen at random when the process starts; 0 is none.
type Incarnation uint64

// Slot is the router's index in the configured fleet, from 0.
type Slot int

// Member is the metadata that a process announces once and never changes.
type Member struct {
	Fleet       string
	Name        Name
	Site        Site
	Incarnation Incarnation
	Slot        Slot
	StartedAt   int64 // wall clock, in microseconds since 1970; only orders the incarnations of one name
	Build       string
	Addr        string      // where other routers reach it
	Predecessor Incarnation // still serving incarnation that this one replaces; 0: none
}

// olderThan orders the incarnations of a name by their start, and by their number if the starts are equal.
func (m Member) olderThan(other Member) bool {
	if m.StartedAt != other.StartedAt {
		return m.StartedAt < other.StartedAt
	}
	return m.Incarnation < other.Incarnation
}

// Heartbeat is the current state of a process, as reported by that process. The heartbeat with the highest Seq is current,
// regardless of the order of arrival. Routers of a flat fleet exchange heartbeats as JSON under the names of the tags.
type Heartbeat struct {
	Incarnation    Incarnation `json:"Process"`
	Seq            uint64      `json:"Seq"`
	Accepting      bool        `json:"Takes"`    // it accepts clients
	Draining       bool        `json:"Draining"` // an operator drains it, or it is shutting down
	HandingOver    bool        `json:"Passing"`  // a successor has taken over, and it is about to exit
	Yielded        bool        `json:"Out"`      // it stays out of service because an older process owns its name
	Left           bool        `json:"Left"`     // it has shut down gracefully
	Duplicate      Incarnation `json:"Rival"`    // younger live process with the same name; 0: none
	PolicyRevision uint64      `json:"Revision"` // revision of the policy in force; 0: none
	ViewDigest     uint64      `json:"Digest"`   // digest of its view when the view was last stable

	Leader    bool   `json:"Leads"`  // it is the leader of the policy's voters
	VoterID   uint64 `json:"Folder"` // its identity as a voter; 0: it is not a voter
	VoterAddr string `json:"Keeper"` // address of its raft log
	Voter     bool   `json:"Member"` // its raft log is part of the quorum
	LastIndex uint64 `json:"Last"`   // last entry of its raft log
}

// Config has the timings and limits of a View.
type Config struct {
	StableFor         clock.Duration // without a change of the view until its digest is announced
	SuspectAfter      clock.Duration // without direct contact until an alive router is shown as suspect
	HandoverTimeout   clock.Duration // how long a router that hands over stays alive without a process
	StallThreshold    clock.Duration // gap between two ticks above which the view is stale
	ForgetAfter       clock.Duration // until a lost or left router is removed
	ReconnectInterval clock.Duration // minimum between two reconnect attempts
	MaxReconnectAddrs int            // remembered addresses of routers that are not alive; also bounds the processes of a view
}

// Timings of DefaultConfig, in probe intervals.
const (
	// suspectProbes is large because each of n routers probes a given other one only every n-th interval on average.
	suspectProbes = 90
	// stallProbes is the gap after which other routers may have suspected this process, and this process the others.
	stallProbes     = 2
	handoverProbes  = 5
	reconnectProbes = 2
)

const (
	defaultForgetAfter = 10 * clock.Minute
	// defaultMaxReconnectAddrs bounds the memory use: an address takes up to 60 bytes.
	defaultMaxReconnectAddrs = 1024
)

// DefaultConfig returns the configuration for a failure detector that probes once in each probeInterval.
func DefaultConfig(probeInterval clock.Duration) Config {
	return Config{
		StableFor:         probeInterval / 2,
		SuspectAfter:      suspectProbes * probeInterval,
		HandoverTimeout:   handoverProbes * probeInterval,
		StallThreshold:    stallProbes * probeInterval,
		ForgetAfter:       defaultForgetAfter,
		ReconnectInterval: reconnectProbes * probeInterval,
		MaxReconnectAddrs: defaultMaxReconnectAddrs,
	}
}
