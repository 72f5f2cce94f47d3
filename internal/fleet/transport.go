package fleet

import "golang.org/x/sys/unix"

// Incarnation identifies one process of a router. 0 identifies no process.
type Incarnation uint64

// VoterStatus is the state that a router announces as a voter of the policy.
type VoterStatus struct {
	Name        string
	Incarnation Incarnation
	VoterID     uint64 // identity of its raft log; 0 if the router is not a voter
	Addr        string // address of its raft log
	Voter       bool   // its raft log has joined raft
	LastIndex   uint64 // index of the last entry in its raft log
}

// Transport carries the messages of the policy between the routers of a fleet. Its methods do not wait for the network, and
// messages may be lost.
type Transport interface {
	Self() Incarnation
	// Send sends a message. OnMessage must be called before a process sends to itself. Such a message is handled on another
	// goroutine, so that the caller may hold locks that the handler acquires.
	Send(to Incarnation, body []byte)
	// OnMessage sets the handler of incoming messages. It is called from the receiving goroutine and must not block.
	OnMessage(handler func(from Incarnation, body []byte))

	// The setters take effect with the next heartbeat.

	SetLeader(isLeader bool) // announces whether this process is the leader of the voters
	Leaders() []Incarnation  // returns the processes that announce that they are the leader
	SetPolicyRevision(revision uint64)
	SetVoter(VoterStatus) // announces this router's state as a voter
	Voters() []VoterStatus
	// AcknowledgedIndex returns the highest index that any process with this voter's identity has announced.
	AcknowledgedIndex(voterID uint64) (lastIndex uint64)

	HasJoined() bool   // reports whether another router is alive
	Members() []Member // returns the routers that are alive or were lost recently, including this one
}

// Member identifies a router of the fleet.
type Member struct {
	Name, Site string
}

// Monotonic returns the time, in microseconds, of the monotonic clock that all processes of a machine share.
func Monotonic() int64 {
	const nanosecondsPerMicrosecond = 1000
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // cannot fail: all systems have this clock
	return now.Nano() / nanosecondsPerMicrosecond
}
