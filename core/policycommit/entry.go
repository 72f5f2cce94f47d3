package policycommit

import "spurtrestle/core/sitefailover"

// EntryKind is the kind of an entry of the raft log. Its values are stored.
type EntryKind string

// The kinds of entries, with the fields that each uses.
const (
	EntryPropose        EntryKind = "propose" // a change is proposed: Token, Base, Document, Author, Reason, RequestedAt
	EntryCommit         EntryKind = "decide"  // the pending change is in force from here on: Token
	EntryAbort          EntryKind = "abort"   // the pending change is dropped: Token, AbortReason
	EntryJoin           EntryKind = "enter"   // a router's process is a member: Name, Incarnation, FailOpen, Build, Site
	EntryLeave          EntryKind = "leave"   // the process has shut down: Name, Incarnation
	EntryMarkDead       EntryKind = "dead"    // an operator reports the router dead: Name, Author, Reason, RequestedAt
	EntrySiteTransition EntryKind = "site"    // a site changes its state: Transition
	EntryGrantShare     EntryKind = "lend"    // the share of a lost router is leased to the others: Name, Incarnation
	EntryRevokeShare    EntryKind = "unlend"  // the share is the router's own again: Name
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
