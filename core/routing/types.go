package routing

import "spurtrestle/core/clock"

// This file: the plain types of settings, inputs and decisions.

// The ids are types of their own, so that one cannot stand for another.
type (
	ServerID  uint32
	RequestID string
	Key       string
	KeyHash   uint32 // of a key, as routers tell it to each other
	Tenant    string
	Zone      string
	Kind      string
	Cell      int64
	TimerRef  int64
	Method    int // index into Settings.Methods
	Attempt   int // a request's attempts count from 0
	Rank      int // of a request, in millionths of the highest worth, and one: what is refused last
)

// ZonePart is the part of its keys that the caches of a zone may have.
type ZonePart struct {
	Zone Zone
	Part float64 // 0: none, as if they were not listed
}

// Effect tells whether a method may run again.
type Effect int

const (
	Idempotent    Effect = iota // may run again
	Deduplicated                // a group of servers drops repeats within a window
	NonIdempotent               // must never run twice
)

// Group names the servers that drop repeats of a deduplicated request.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// MethodSettings describes one method.
type MethodSettings struct {
	Name          string
	Effect        Effect
	Group         Group
	Window        clock.Time // deduplicated only: how long repeats are known
	LatencyBudget clock.Time
	Deadline      clock.Time
	Criticality   float64
	LateShare     float64 // part of the criticality that a late answer still earns
	Stream        bool
}

// TenantSettings is one tenant's share of the service.
type TenantSettings struct {
	Name  Tenant
	Share float64
	Quota float64 // requests a second over all routers
}

// Settings is what a router is told at its start.
type Settings struct {
	Routers         int
	Methods         []MethodSettings
	Tenants         []TenantSettings
	Aside           bool
	OriginKind      Kind // empty: the origin is no server of the list
	OriginFall      float64
	OriginFallSpan  clock.Time
	ReportFields    []Figure
	ListOnRequest   bool
	ListsSizes      bool // weights in lists are sizes, and stay
	Resolution      clock.Time
	AnswerSlack     clock.Time
	AskEvery        clock.Time
	ColdShare       float64
	ColdSpan        clock.Time
	FallSpan        clock.Time
	FallMultiple    float64
	DrainGrace      clock.Time
	MayCancel       bool
	MayProbe        bool
	MayTwoAtOnce    bool
	MaxAttempts     int
	MaxHint         clock.Time // 0: rejections do not say when to come back
	OverShareWorth  float64
	WorstMethod     float64 // weight of the worst-served method in what the service is judged by
	ConnectTimeout  clock.Time
	IdleClose       clock.Time // when a server closes an idle connection at the latest
	ConnectionFee   float64    // for a hundred connections kept open to each server
	HandshakeFee    float64    // for a new connection with each request
	WasteFee        float64    // for work that answers nothing, as a part of all
	CrossFee        float64    // for each request crossing locations once
	ReportsOnProbes bool
}

// Figure names one value of a load report.
type Figure int

const (
	FigureUnknown     Figure = iota
	FigureServiceTime        // recent service time without waiting, in milliseconds
	FigureQueue              // requests waiting
	FigureInFlight           // requests in hand
	FigureBusy               // busy share of the cores
	FigureErrors             // errors a second
	FigureHits               // recent share of hits
)

// State is what the list says of a server.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// Entry is one line of the list of servers.
type Entry struct {
	Server  ServerID
	Zone    Zone
	Kind    Kind
	Cell    Cell
	State   State
	Weight  float64
	Started clock.Time // 0: long ago
}

// ListKind tells what a list holds.
type ListKind int

const (
	ListFull ListKind = iota
	ListChanges
	ListSaved
	ListFailed
)

// Status is how an attempt ended.
type Status int

const (
	OK Status = iota
	Failed
	QueueFull
	TimedOut
	ConnectError
	Reset
	Canceled
	Ignored
	Miss
)

// Report holds the load figures of a server by their order in Settings.ReportFields.
type Report []float64

// Event is one input: one of the types below.
type Event any

type (
	ListCame struct {
		Kind    ListKind
		Entries []Entry
		Refused bool // of ListFailed: discovery answered that it takes no such call now
	}
	RequestCame struct {
		Request    RequestID
		Method     Method
		Tenant     Tenant
		Key        Key
		ValidUntil clock.Time
		Resent     bool
		Write      bool
		Once       bool // its body is not kept: one attempt at most
	}
	Returned struct {
		Request RequestID
		Server  ServerID
		Attempt Attempt
		Status  Status
		Took    clock.Time
		Over    bool // the request is answered
		Report  Report
	}
	Streaming struct { // the answer has begun and belongs to the client
		Request RequestID
		Attempt Attempt
	}
	Left struct { // the client is gone
		Request RequestID
	}
	Learned struct { // what an earlier process knew, faded by its age; before anything else
		Knowledge
	}
	LearnedServers struct { // the same of servers, before the list that names them
		Servers []ServerKnowledge
	}
	Barred struct { // an operator has taken a server out, or given it back
		Server ServerID
		On     bool
		Since  clock.Time // given back: it counts as started then
	}
	Parted struct { // the part of what all routers may send together is another now, of one; at first it is one of them
		Part float64
	}
	Planned struct { // what the fleet keeps to while a site is lost; the zero value: nothing
		Parts   []ZonePart
		Spare   []ZonePart // weights of zones for the keys whose owner's zone has a part only; 1 where none is named
		Least   Rank       // less is refused
		Some    float64    // and of what has just that rank all but so much
		Back    clock.Time // what is refused is to come back within so long
		Fetches float64    // reads at the origin a second, of all routers together; 0: no bound but the router's own
	}
	Changed struct { // the settings are others now; the methods and tenants are the same ones, in the same order
		Settings
	}
	Ending struct { // the process ends: no answer is of use after that
		By clock.Time
	}
	Elapsed struct {
		Ref TimerRef
	}
	Probed struct {
		Server ServerID
		Status Status
		Took   clock.Time
		Report Report
	}
)

// Action says which fields of a Decision count.
type Action int

const (
	Send   Action = iota // Request, Server, After (time-out)
	Reject               // Request, After (when to come back; 0: no hint)
	Fail                 // Request
	Cancel               // Request, Attempt
	Wake                 // After, Ref
	Subscribe
	Probe      // Server
	Disconnect // Server: close what is idle
)

// Decision is one thing to do now.
type Decision struct {
	Action  Action
	Request RequestID
	Server  ServerID
	Attempt Attempt
	After   clock.Time
	By      clock.Time // of an attempt: it is not begun later than that; 0: any time
	Ref     TimerRef
}
