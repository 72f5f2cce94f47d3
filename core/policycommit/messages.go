package policycommit

import "spurtrestle/core/clock"

// Renewal is the request of a router for a new lease. It also reports what the router made of the pending change.
type Renewal struct {
	Name           RouterName  `json:"name"`
	Incarnation    Incarnation `json:"process"`
	SentAt         clock.Time  `json:"at"` // by the router's clock
	FailOpen       bool        `json:"serves"`
	Build          string      `json:"build"`
	Site           string      `json:"site"`
	ActiveRevision Revision    `json:"held"`
	Index          Index       `json:"index"`    // the highest index of a lease received
	Prepared       Token       `json:"prepared"` // the change that the router has prepared
	Rejected       Token       `json:"refused"`  // the change that the router cannot apply
	RejectReason   string      `json:"why"`
	Leaving        bool        `json:"leaving"` // the router shuts down and admits nothing any more
}

// Lease is the answer to a Renewal: the router may admit requests under Revision until Duration after RenewalSentAt.
type Lease struct {
	Incarnation     Incarnation    `json:"process"`
	RenewalSentAt   clock.Time     `json:"at"` // by the router's clock
	Duration        clock.Duration `json:"for"`
	Index           Index          `json:"index"` // of the log state that the lease was granted by
	Revision        Revision       `json:"revision"`
	Document        string         `json:"doc"` // of Revision; empty if the router has that revision
	Pending         Token          `json:"pending"`
	PrepareDocument string         `json:"prepare"` // of the pending change, until the router has prepared or rejected it
	ExtraShare      float64        `json:"extra"`   // of the fleet's limits, beside the router's own share
}

// LeaseTransfer is what a process passes to its successor, which cannot renew before it has the address. It expires no later
// than the lease of the process would, had the process just prepared a change: so whatever the process prepares later, the
// successor stops in time.
type LeaseTransfer struct {
	Revision  Revision       `json:"Revision"`
	Index     Index          `json:"Index"`
	Document  string         `json:"Doc"`
	Remaining clock.Duration `json:"For"`
}
