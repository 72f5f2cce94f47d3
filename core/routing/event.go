package routing

import "spurtrestle/core/clock"

// EndpointState is the state of a server in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server    ServerID
	Zone      Zone
	Kind      Kind
	Cell      Cell
	State     EndpointState
	Weight    float64
	StartedAt clock.Time // start of the server's process; 0: unknown or long ago
}

// EndpointUpdateKind is the kind of an update of the endpoint list.
type EndpointUpdateKind int

// The kinds of endpoint updates.
const (
	FullUpdate        EndpointUpdateKind = iota // endpoints that are not named are removed
	IncrementalUpdate                           // endpoints that are not named stay
	CachedUpdate                                // a full list from before a restart of the router
	FailedUpdate                                // discovery did not answer
)

// AttemptStatus is the outcome of an attempt.
type AttemptStatus int

// The outcomes of an attempt.
const (
	OK           AttemptStatus = iota
	Failed                     // an error or a malformed answer; the request may have run
	QueueFull                  // rejected by the server; the request did not run
	TimedOut                   // the request may have run
	ConnectError               // no connection; the request did not run
	Reset                      // the connection broke after the request was sent; it may have run
	Canceled
	NotSent // its time-out or StartBy passed, or its server drained, before it was sent; the request did not run
	Miss    // the cache does not have the key
)

// Report has the load figures of a server, in the order of Settings.ReportFields.
type Report []float64

// Event is an input of a Router: one of the types below.
type Event any

// EndpointsUpdated is an update of the endpoint list, or the failure of a poll for it.
type EndpointsUpdated struct {
	Kind      EndpointUpdateKind
	Endpoints []Endpoint
	Rejected  bool // for FailedUpdate: discovery answered, but rejected the call for now
}

// RequestArrived is the arrival of a client request.
type RequestArrived struct {
	Request       RequestID
	Method        Method
	Tenant        Tenant
	Key           Key
	ValidUntil    clock.Time
	Waited        clock.Duration // since its last byte arrived, or since the reply before it on its connection
	ClientRetry   bool           // the client repeats a request that was rejected
	Write         bool
	SingleAttempt bool // its body is not buffered: it cannot be sent twice
}

// AttemptEnded is the outcome of an attempt.
type AttemptEnded struct {
	Request  RequestID
	Server   ServerID
	Attempt  Attempt
	Status   AttemptStatus
	Took     clock.Duration
	Answered bool // the client has received its answer
	Report   Report
}

// ResponseStarted is the event that the first bytes of an answer were sent to the client, so that no other attempt can answer
// the request.
type ResponseStarted struct {
	Request RequestID
	Attempt Attempt
}

// ClientDisconnected is the event that the client of a request has disconnected.
type ClientDisconnected struct {
	Request RequestID
}

// KnowledgeRestored restores the knowledge of an earlier process, discounted by its age. It precedes all other events.
type KnowledgeRestored struct {
	Knowledge
}

// ServersRestored restores the knowledge of an earlier process about servers. It precedes the endpoint list that names them.
type ServersRestored struct {
	Servers []ServerKnowledge
}

// BanChanged is the event that an operator banned a server, or lifted the ban.
type BanChanged struct {
	Server ServerID
	Banned bool
	Since  clock.Time // when the ban was lifted: the server counts as started then
}

// FleetShareChanged sets this router's share of the load that all routers may send together. The initial share is one divided
// by Settings.Routers.
type FleetShareChanged struct {
	Share float64
}

// ZoneShare assigns a zone a fraction of the keys of its caches, or a weight.
type ZoneShare struct {
	Zone  Zone
	Share float64 // a fraction of 0 excludes the zone's caches as if they were not listed
}

// FailoverOrders are the fleet's orders to its routers while a site is lost. The zero value changes nothing.
type FailoverOrders struct {
	ZoneShares       []ZoneShare    // fraction of their keys that the caches of a zone get; 1 for zones not named
	FailoverWeights  []ZoneShare    // weights of zones for keys whose owner's zone has a reduced share; 1 for zones not named
	MinimumRank      Rank           // requests of a lower rank are rejected
	MinimumRankShare float64        // fraction of the requests of exactly that rank that are admitted
	RetryAfter       clock.Duration // the longest retry-after of rejected requests
	OriginReadLimit  float64        // reads per second at the origin, of all routers together; 0: no limit
}

// SettingsChanged replaces the settings. Methods and tenants must be the same as before, in the same order.
type SettingsChanged struct {
	Settings
}

// ShutdownScheduled is the event that the process will end: answers after the deadline have no value.
type ShutdownScheduled struct {
	Deadline clock.Time
}

// TimerFired is the event that a timer set by a SetTimer decision fired.
type TimerFired struct {
	Timer TimerID
}

// HealthChecked is the outcome of a health check.
type HealthChecked struct {
	Server ServerID
	Status AttemptStatus
	Took   clock.Duration
	Report Report
}
