package policycommit

import (
	"spurtrestle/core/clock"
	"spurtrestle/core/sitefailover"
)

// RequestType is the operation of a Request.
type RequestType string

// The operations. The router that receives a RequestBootstrap executes it; the leader executes all others.
const (
	RequestApply        RequestType = "apply"   // propose a change: Document, Base, Token
	RequestStatus       RequestType = "status"  // the revision in force and all followers
	RequestHistory      RequestType = "history" // committed changes; only that of Base if it is set
	RequestMarkDead     RequestType = "dead"    // report a router dead: Name
	RequestReplaceVoter RequestType = "replace" // remove a voter whose folder is lost: Name
	RequestSites        RequestType = "sites"   // the state of the sites
	RequestSiteAction   RequestType = "site"    // an operator's action on a site: Name, SiteAction
	RequestBootstrap    RequestType = "found"   // start the fleet's raft log with this voter
)

// Request is an operator's request, the body of POST /ops/policy/ask. Any router forwards it to the leader.
type Request struct {
	ID          uint64              `json:"id"`
	Type        RequestType         `json:"what"`
	Document    string              `json:"doc,omitempty"`
	Base        Revision            `json:"base,omitempty"` // the revision that the change was made for
	Token       Token               `json:"token,omitempty"`
	Author      string              `json:"author,omitempty"`
	Reason      string              `json:"reason,omitempty"`
	Name        string              `json:"name,omitempty"` // of a router or of a site
	SiteAction  sitefailover.Action `json:"word,omitempty"`
	RequestedAt int64               `json:"at,omitempty"` // the operator's wall clock, in microseconds since 1970
}

// Reply is the leader's reply to a Request and the response to POST /ops/policy/ask.
type Reply struct {
	ID           uint64          `json:"id"`
	Error        string          `json:"error,omitempty"`
	Verdict      *Verdict        `json:"verdict,omitempty"`
	Current      Revision        `json:"current"`
	Pending      *Change         `json:"pending,omitempty"`
	History      []Change        `json:"history,omitempty"`
	DeathReports []Entry         `json:"said,omitempty"`
	Followers    []FollowerState `json:"standings,omitempty"`
	Voters       []string        `json:"keepers,omitempty"`

	Sites    *sitefailover.Status `json:"sites,omitempty"`
	Document string               `json:"plan,omitempty"` // the policy in force, with its plan for the sites
}

// FollowerState is the leader's view of a router.
type FollowerState struct {
	Name           RouterName     `json:"name"`
	Incarnation    Incarnation    `json:"process"`
	FailOpen       bool           `json:"serves"`
	Build          string         `json:"build"`
	ActiveRevision Revision       `json:"held"`
	Prepared       bool           `json:"prepared"`
	RenewalAge     clock.Duration `json:"heard"` // negative: this leader has received no renewal
}

// RouterStatus is the policy state of one router, from its own state only. It is the reply to GET /ops/policy.
type RouterStatus struct {
	Revision    Revision `json:"revision"` // of the last lease
	InForce     Revision `json:"in_force"` // that requests are admitted under
	HasRevision bool     `json:"known"`
	Admitting   bool     `json:"may_take"`
	ApplyError  string   `json:"cannot,omitempty"` // why this build cannot apply Revision
	Prepared    Token    `json:"prepared,omitempty"`
	CutOff      string   `json:"cut_off"`
	Voter       bool     `json:"keeper"`
	Leader      bool     `json:"leads"`
	ExtraShare  float64  `json:"extra"`            // of the fleet's limits, from lost routers
	VoterFault  string   `json:"folder,omitempty"` // why the voter does not participate or falls behind

	Orders *sitefailover.Orders `json:"orders,omitempty"` // on sites, from the leader
}
