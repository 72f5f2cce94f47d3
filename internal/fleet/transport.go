package fleet

import "golang.org/x/sys/unix"

// Incarnation identifies one process of a router; 0 is none.
type Incarnation uint64

// VoterStatus is what a router announces about itself as a voter of the policy.
type VoterStatus struct {
	Name        string
	Incarnation Incarnation
	VoterID     uint64 // identity of its raft log; 0: the router is no voter
	Addr        string // of its raft log
	Voter       bool   // its raft log is part of the quorum
	LastIndex   uint64 // last entry of its raft log
}

// Transport carries the messages of the policy between the routers of a fleet. Its methods do not wait for the network, and
// messages may be lost.
type Transport interface {
	Self() Incarnation
	// Send sends a message. One to this process itself is handled on another goroutine, so that the caller may have locked what
	// the handler locks; it requires OnMessage before.
	Send(to Incarnation, body []byte)
	// OnMessage sets the function that receives messages. It is called from the receiving goroutine and must not block.
	OnMessage(handler func(from Incarnation, body []byte))

	// The setters announce with the next heartbeat.

	SetLeader(isLeader bool) // announces whether this process is the leader of the voters
	Leaders() []Incarnation  // processes that announce that they are the leader
	SetPolicyRevision(revision uint64)
	SetVoter(VoterStatus) // announces this router's state as a voter
	Voters() []VoterStatus
	// AcknowledgedIndex is the highest index that any process with this voter's identity has announced.
	AcknowledgedIndex(voterID uint64) (lastIndex uint64)

	HasJoined() bool   // another router is alive
	Members() []Member // routers that are alive or were lost recently, this one included
}

// Member is a router of the fleet.
type Member struct {
	Name, Site string
}

// Monotonic is the clock that all processes of a machine share, in microseconds.
func Monotonic() int64 {
	const nanosecondsPerMicrosecond = 1000
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // this clock exists on all systems
	return now.Nano() / nanosecondsPerMicrosecond
}
