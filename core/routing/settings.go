package routing

import "spurtrestle/core/clock"

// Each identifier has a type of its own, so that the compiler rejects one in the place of another.
type (
	// ServerID is the number of a server, the same at every router.
	ServerID uint32
	// RequestID names a client request; it is unique among the requests of one router that are not finished.
	RequestID string
	// Key is the key that a request reads or writes; empty where it has none.
	Key string
	// KeyHash is the hash of a key by which routers exchange counts of hot keys.
	KeyHash uint32
	// Tenant is the name of a tenant; empty for none.
	Tenant string
	// Zone is the name of an availability zone.
	Zone string
	// Kind is the kind of a server. It distinguishes the origin from the caches.
	Kind string
	// Cell is the number of a deployment cell within a zone.
	Cell int64
	// TimerID identifies a timer: a SetTimer decision sets it, the event TimerFired returns it.
	TimerID int64
	// Method is an index into Settings.Methods.
	Method int
	// Attempt is the number of an attempt of a request, from 0.
	Attempt int
	// Rank is the priority of a request: its weight in millionths of the highest weight, plus one. Load is shed from the
	// lowest rank up.
	Rank int
)

// Idempotency tells when a request that may have run may be sent again.
type Idempotency int

// The classes of idempotency.
const (
	Idempotent    Idempotency = iota // may run again at any time
	Deduplicated                     // the servers of its scope drop repeats within the window
	NonIdempotent                    // must never run twice
)

// DeduplicationScope is the set of servers that recognize a repeat of a deduplicated request.
type DeduplicationScope int

// The scopes, relative to the server that had the first attempt.
const (
	ScopeAll  DeduplicationScope = iota // every server
	ScopeZone                           // the servers of its zone
	ScopeCell                           // the servers of its zone and cell
)

// MethodSettings are the settings of one method of requests.
type MethodSettings struct {
	Name                string
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow clock.Duration // for deduplicated methods: how long repeats are recognized
	LatencyBudget       clock.Duration // an answer within it has its full value
	Deadline            clock.Duration
	Criticality         float64
	LateValue           float64 // fraction of the criticality that an answer after the latency budget still has
	Stream              bool
}

// TenantSettings is the entitlement of one tenant.
type TenantSettings struct {
	Name  Tenant
	Share float64 // fraction of the traffic
	Quota float64 // requests per second over all routers
}

// Settings configures a Router. Package internal/settings reads them from the settings file. Some fields are used only by
// internal/router, or not at all: no decision depends on OriginOverloadMultiple, OriginOverloadWindow, ResponseSlack,
// PollInterval, DrainTimeout, HealthChecksAllowed, ServerIdleTimeout, ReportsOnHealthChecks, MethodSettings.Deadline,
// MethodSettings.Stream or TenantSettings.Quota.
type Settings struct {
	Routers                int
	Methods                []MethodSettings
	Tenants                []TenantSettings
	CacheAside             bool // writes and misses go to the origin; else caches read and write through
	OriginKind             Kind // empty: the endpoint list has no origin
	OriginOverloadMultiple float64
	OriginOverloadWindow   clock.Duration
	ReportFields           []Figure // the figures of a Report, in order
	PollEndpoints          bool     // the endpoint list must be polled
	WeightsAreCapacity     bool     // weights of endpoints are relative capacities
	ClockGranularity       clock.Duration
	ResponseSlack          clock.Duration
	PollInterval           clock.Duration
	WarmUpShare            float64 // fraction of its capacity that a cache has at its start
	WarmUpDuration         clock.Duration
	OverloadWindow         clock.Duration // window over which the load of a warming cache is measured
	OverloadMultiple       float64        // multiple of its capacity at which a warming cache fails
	DrainTimeout           clock.Duration
	CancelAllowed          bool
	HealthChecksAllowed    bool
	HedgingAllowed         bool // two attempts of a request may be in flight
	MaxAttempts            int
	MaxRetryAfter          clock.Duration // 0: rejections carry no retry-after
	OverShareWeight        float64        // factor on the weight of requests of tenants over their share
	WorstMethodWeight      float64        // weight of the worst-served method in the service's objective
	ConnectTimeout         clock.Duration
	ServerIdleTimeout      clock.Duration // the longest time for which a server keeps an idle connection open
	ConnectionCost         float64        // of a hundred open connections to each server
	HandshakeCost          float64        // of opening a connection for every request
	WastedWorkCost         float64        // of work whose result is not used, as a fraction of all work
	CrossZoneCost          float64        // of a request that crosses zones once
	ReportsOnHealthChecks  bool
}

// Figure is one value of a load report.
type Figure int

// The figures of a load report.
const (
	FigureUnknown     Figure = iota
	FigureServiceTime        // recent service time without queueing, in milliseconds
	FigureQueue              // requests queued
	FigureInFlight           // requests being served
	FigureBusy               // busy fraction of the cores
	FigureErrors             // errors per second
	FigureHits               // recent hit ratio
)
