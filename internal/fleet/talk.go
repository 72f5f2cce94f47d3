package fleet

import "golang.org/x/sys/unix"

// Process is one life of a router.
type Incarnation uint64

// Keeping is what a router says of itself as a keeper of the policy.
type VoterStatus struct {
	Name        string
	Incarnation Incarnation
	VoterID     uint64 // its number; 0: the router is no keeper
	Addr        string // where it is reached for the log
	Voter       bool   // it takes part
	LastIndex   uint64 // the last entry that it has
}

// Transport is how routers of a fleet speak to one another. Nothing of it waits, and what is told may be lost.
type Transport interface {
	Self() Incarnation
	Send(to Incarnation, body []byte)
	OnMessage(func(from Incarnation, body []byte)) // called by what reads; it must not wait
	Leaders() []Incarnation                        // who say that they lead the keepers
	SetLeader(on bool)                             // this one does
	SetPolicyRevision(revision uint64)
	SetVoter(VoterStatus)
	Voters() []VoterStatus // of the living routers, this one as well
	HasJoined() bool       // another router has been heard
	AcknowledgedIndex(folder uint64) (last uint64)
	Members() []Member // the routers that are there or were lost lately, this one as well
}

// Member is a router of the fleet, as the view has it.
type Member struct {
	Name, Site string
}

// Monotonic is the clock that all processes of a machine share, in microseconds.
func Monotonic() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // it is always there
	return t.Nano() / 1e3
}
