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
	TimerID   int64
	Method    int // index into Settings.Methods
	Attempt   int // a request's attempts count from 0
	Rank      int // of a request, in millionths of the highest worth, and one: what is refused last
)

// ZoneShare is the part of its keys that the caches of a zone may have.
type ZoneShare struct {
	Zone  Zone
	Share float64 // 0: none, as if they were not listed
}

// Idempotency tells whether a method may run again.
type Idempotency int

const (
	Idempotent    Idempotency = iota // may run again
	Deduplicated                     // a group of servers drops repeats within a window
	NonIdempotent                    // must never run twice
)

// DeduplicationScope names the servers that drop repeats of a deduplicated request.
type DeduplicationScope int

const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// MethodSettings describes one method.
type MethodSettings struct {
	Name                string
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow clock.Time // deduplicated only: how long repeats are known
	LatencyBudget       clock.Time
	Deadline            clock.Time
	Criticality         float64
	LateValue           float64 // part of the criticality that a late answer still earns
	Stream              bool
}

// TenantSettings is one tenant's share of the service.
type TenantSettings struct {
	Name  Tenant
	Share float64
	Quota float64 // requests a second over all routers
}

// Settings is what a router is told at its start.
type Settings struct {
	Routers                int
	Methods                []MethodSettings
	Tenants                []TenantSettings
	CacheAside             bool
	OriginKind             Kind // empty: the origin is no server of the list
	OriginOverloadMultiple float64
	OriginOverloadWindow   clock.Time
	ReportFields           []Figure
	PollEndpoints          bool
	WeightsAreCapacity     bool // weights in lists are sizes, and stay
	ClockGranularity       clock.Time
	ResponseSlack          clock.Time
	PollInterval           clock.Time
	WarmUpShare            float64
	WarmUpDuration         clock.Time
	OverloadWindow         clock.Time
	OverloadMultiple       float64
	DrainTimeout           clock.Time
	CancelAllowed          bool
	HealthChecksAllowed    bool
	HedgingAllowed         bool
	MaxAttempts            int
	MaxRetryAfter          clock.Time // 0: rejections do not say when to come back
	OverShareWeight        float64
	WorstMethodWeight      float64 // weight of the worst-served method in what the service is judged by
	ConnectTimeout         clock.Time
	ServerIdleTimeout      clock.Time // when a server closes an idle connection at the latest
	ConnectionCost         float64    // for a hundred connections kept open to each server
	HandshakeCost          float64    // for a new connection with each request
	WastedWorkCost         float64    // for work that answers nothing, as a part of all
	CrossZoneCost          float64    // for each request crossing locations once
	ReportsOnHealthChecks  bool
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

// EndpointState is what the list says of a server.
type EndpointState int

const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one line of the list of servers.
type Endpoint struct {
	Server    ServerID
	Zone      Zone
	Kind      Kind
	Cell      Cell
	State     EndpointState
	Weight    float64
	StartedAt clock.Time // 0: long ago
}

// EndpointUpdateKind tells what a list holds.
type EndpointUpdateKind int

const (
	FullUpdate EndpointUpdateKind = iota
	IncrementalUpdate
	CachedUpdate
	FailedUpdate
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
	NotSent
	Miss
)

// Report holds the load figures of a server by their order in Settings.ReportFields.
type Report []float64

// Event is one input: one of the types below.
type Event any

type (
	EndpointsUpdated struct {
		Kind      EndpointUpdateKind
		Endpoints []Endpoint
		Rejected  bool // of ListFailed: discovery answered that it takes no such call now
	}
	RequestArrived struct {
		Request       RequestID
		Method        Method
		Tenant        Tenant
		Key           Key
		ValidUntil    clock.Time
		ClientRetry   bool
		Write         bool
		SingleAttempt bool // its body is not kept: one attempt at most
	}
	AttemptEnded struct {
		Request  RequestID
		Server   ServerID
		Attempt  Attempt
		Status   Status
		Took     clock.Time
		Answered bool // the request is answered
		Report   Report
	}
	ResponseStarted struct { // the answer has begun and belongs to the client
		Request RequestID
		Attempt Attempt
	}
	ClientDisconnected struct { // the client is gone
		Request RequestID
	}
	KnowledgeRestored struct { // what an earlier process knew, faded by its age; before anything else
		Knowledge
	}
	ServersRestored struct { // the same of servers, before the list that names them
		Servers []ServerKnowledge
	}
	BanChanged struct { // an operator has taken a server out, or given it back
		Server ServerID
		Banned bool
		Since  clock.Time // given back: it counts as started then
	}
	FleetShareChanged struct { // the part of what all routers may send together is another now, of one; at first it is one of them
		Share float64
	}
	FailoverOrders struct { // what the fleet keeps to while a site is lost; the zero value: nothing
		ZoneShares       []ZoneShare
		FailoverWeights  []ZoneShare // weights of zones for the keys whose owner's zone has a part only; 1 where none is named
		MinimumRank      Rank        // less is refused
		MinimumRankShare float64     // and of what has just that rank all but so much
		RetryAfter       clock.Time  // what is refused is to come back within so long
		OriginReadLimit  float64     // reads at the origin a second, of all routers together; 0: no bound but the router's own
	}
	SettingsChanged struct { // the settings are others now; the methods and tenants are the same ones, in the same order
		Settings
	}
	ShutdownScheduled struct { // the process ends: no answer is of use after that
		Deadline clock.Time
	}
	TimerFired struct {
		Timer TimerID
	}
	HealthChecked struct {
		Server ServerID
		Status Status
		Took   clock.Time
		Report Report
	}
)

// Action says which fields of a Decision count.
type Action int

const (
	Send     Action = iota // Request, Server, After (time-out)
	Reject                 // Request, After (when to come back; 0: no hint)
	Fail                   // Request
	Cancel                 // Request, Attempt
	SetTimer               // After, Ref
	Subscribe
	HealthCheck // Server
	CloseIdle   // Server: close what is idle
)

// Decision is one thing to do now.
type Decision struct {
	Action  Action
	Request RequestID
	Server  ServerID
	Attempt Attempt
	After   clock.Time
	StartBy clock.Time // of an attempt: it is not begun later than that; 0: any time
	Timer   TimerID
}
