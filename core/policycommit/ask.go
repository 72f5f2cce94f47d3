package policycommit

import "spurtrestle/core/sitefailover"

// Request is what an operator asks of the leader, by any router.
type Request struct {
	ID     uint64   `json:"id"`
	What   string   `json:"what"` // apply, status, history, dead, replace, sites, site; found is asked of one keeper
	Doc    string   `json:"doc,omitempty"`
	Base   Revision `json:"base,omitempty"`
	Token  Token    `json:"token,omitempty"`
	Author string   `json:"author,omitempty"`
	Reason string   `json:"reason,omitempty"`
	Name   string   `json:"name,omitempty"`
	Word   string   `json:"word,omitempty"` // on a site: lost, back, hold, go
	At     int64    `json:"at,omitempty"`   // the asker's wall clock, in microseconds since 1970
}

// Reply is the leader's answer.
type Reply struct {
	ID        uint64          `json:"id"`
	Error     string          `json:"error,omitempty"`
	Verdict   *Verdict        `json:"verdict,omitempty"`
	Current   Revision        `json:"current"`
	Pending   *Change         `json:"pending,omitempty"`
	History   []Change        `json:"history,omitempty"`
	Said      []Entry         `json:"said,omitempty"`
	Standings []FollowerState `json:"standings,omitempty"`
	Keepers   []string        `json:"keepers,omitempty"`

	Sites *sitefailover.Status `json:"sites,omitempty"`
	Plan  string               `json:"plan,omitempty"` // the document that it is of
}
