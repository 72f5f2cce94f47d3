package policycommit

import "spurtrestle/core/sitefailover"

// EntryKind is the kind of an entry of the raft log. Its values are stored.
type EntryKind string

// The kinds of entries, with the fields that each uses.
const (
	EntryPropose        EntryKind = "propose" // propose a change: Token, Base, Document, Author, Reason, RequestedAt
	EntryCommit         EntryKind = "decide"  // commit the pending change: Token
	EntryAbort          EntryKind = "abort"   // drop the pending change: Token, AbortReason
	EntryJoin           EntryKind = "enter"   // add a router's process as a member: Name, Incarnation, FailOpen, Build, Site
	EntryLeave          EntryKind = "leave"   // remove a process that has shut down: Name, Incarnation
	EntryMarkDead       EntryKind = "dead"    // remove a router that an operator reports as dead: Name, Author, Reason, RequestedAt
	EntrySiteTransition EntryKind = "site"    // change the state of a site: Transition
	EntryGrantShare     EntryKind = "lend"    // lease the share of a lost router to the others: Name, Incarnation
	EntryRevokeShare    EntryKind = "unlend"  // return the share to its router: Name
)

// Entry is one entry of the raft log, stored as JSON.
type Entry struct {
	Kind        EntryKind   `json:"kind"`
	Token       Token       `json:"token,omitempty"`
	Base        Revision    `json:"base,omitempty"`
	Document    string      `json:"doc,omitempty"`
	Author      string      `json:"author,omitempty"`
	Reason      string      `json:"reason,omitempty"`
	RequestedAt int64       `json:"at,omitempty"` // the operator's wall clock, in microseconds since 1970
	AbortReason string      `json:"why,omitempty"`
	Name        RouterName  `json:"name,omitempty"`
	Incarnation Incarnation `json:"process,omitempty"`
	FailOpen    bool        `json:"serves,omitempty"`
	Build       string      `json:"build,omitempty"`
	Site        string      `json:"site,omitempty"`

	Transition *sitefailover.Transition `json:"order,omitempty"`
}
