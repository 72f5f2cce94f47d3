package policycommit

import "spurtrestle/core/clock"

// Renewal is a router's request for a new lease. It also reports whether the router has prepared or rejected the pending change.
type Renewal struct {
	Name           RouterName  `json:"name"`
	Incarnation    Incarnation `json:"process"`
	SentAt         clock.Time  `json:"at"` // by the router's clock
	FailOpen       bool        `json:"serves"`
	Build          string      `json:"build"`
	Site           string      `json:"site"`
	ActiveRevision Revision    `json:"held"`
	Index          Index       `json:"index"`    // the highest index of a lease received
	Prepared       Token       `json:"prepared"` // the pending change, if the router has prepared it
	Rejected       Token       `json:"refused"`  // the pending change, if the router cannot apply it
	RejectReason   string      `json:"why"`
	Leaving        bool        `json:"leaving"` // the router is shutting down and admits no more requests
}

// Lease is the answer to a Renewal: the router may admit requests under Revision until Duration after RenewalSentAt.
type Lease struct {
	Incarnation     Incarnation    `json:"process"`
	RenewalSentAt   clock.Time     `json:"at"` // by the router's clock
	Duration        clock.Duration `json:"for"`
	Index           Index          `json:"index"` // of the log state from which the lease was granted
	Revision        Revision       `json:"revision"`
	Document        string         `json:"doc"` // of Revision; empty if the router already has it
	Pending         Token          `json:"pending"`
	PrepareDocument string         `json:"prepare"` // of the pending change, until the router has prepared or rejected it
	ExtraShare      float64        `json:"extra"`   // of the fleet's limits, in addition to the router's own share
}

// LeaseTransfer is the lease that a process passes to its successor, which cannot renew before it owns the address. It expires
// no later than the lease of the process would if the process had just prepared a change, so that the successor stops in time
// even if the process prepares a change after the transfer.
type LeaseTransfer struct {
	Revision  Revision       `json:"Revision"`
	Index     Index          `json:"Index"`
	Document  string         `json:"Doc"`
	Remaining clock.Duration `json:"For"`
}
