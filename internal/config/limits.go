package config

import (
	"fmt"
	"strconv"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/httpwire"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/settings"
)

// Limits holds the sizes, counts and durations that the network code observes. They are computed once, when the configuration
// is loaded.
type Limits struct {
	// File descriptors; see setDescriptors.
	Descriptors         int // for connections and dials, excluding the reserve
	MaxDescriptors      int // as Descriptors, but for clients that connect while no other connection can be closed
	ReservedDescriptors int // counted in neither of the two above
	ServerConnections   int // of Descriptors: for connections to servers, and dials
	ClientConnections   int // of Descriptors: above it, a client's connection is closed before a server's idle one
	ActiveClients       int // of Descriptors: for clients that have sent a request; above it, the longest idle one is closed
	AdminConnections    int // in addition to Descriptors

	// Memory, in bytes; see setMemory.
	MemoryBytes       int64 // soft memory limit of the Go runtime
	ClientBufferBytes int   // held for all clients together
	RequestBytes      int   // in addition, for requests that are first on their connection
	ClientShareBytes  int   // held for one client whose requests are behind others

	// Sizes, in bytes, and queue lengths; see setSizes.
	RESP              resp.Bounds
	Origin            httpwire.Bounds
	Discovery         httpwire.Bounds
	ReadChunk         int // of one read by the event loop
	LargeValueWindow  int // buffered of one large value in transit
	ClientInput       int // unread input of one client
	ClientOutput      int // unsent answers to one client
	ExternalRequests  int // from other goroutines, queued for the event loop
	PipelinedCommands int // of one client, without an answer yet

	// Clients; see setClientTimeouts.
	IdleClientEvictionAge         clock.Duration // from this idle time on, a client may be closed to admit another one
	ClientIdleTimeout             clock.Duration // for a client without an open request that sends nothing
	PartialCommandTimeout         clock.Duration // for the rest of a command, once a part of it has arrived
	LargeValueUnreadTimeout       clock.Duration // for a client that stops reading a large value
	ClientWriteTimeout            clock.Duration // for a client that does not read its answers
	ClientDisconnectCheckInterval clock.Duration // between checks for the disconnect of a large value's client
	ClientNetworkMargin           clock.Duration // subtracted from a client's deadline for network delay

	// Start and end of the process; see setLifecycleTimeouts.
	TakeoverListTimeout clock.Duration // for a successor to get an endpoint list
	DrainAcceptPeriod   clock.Duration // during which a draining router still accepts connections
	ShutdownTimeout     clock.Duration // from SIGTERM to the end of the process

	// Cache servers and the origin; see setServerTimeouts.
	ConnectTimeout          clock.Duration
	ServerIdleTimeout       clock.Duration // shorter than the server's own, so that the router closes first
	IdleSweepInterval       clock.Duration // between searches for idle connections
	ReuseDelay              clock.Duration // before a connection is reused, if servers have sent duplicate responses
	DuplicateResponseWindow clock.Duration // for which a duplicate response keeps ReuseDelay in effect
	LargeValueStallTimeout  clock.Duration // for a server that stops sending a large value
	LargeValueRetryInterval clock.Duration // between attempts to resume a large value that waits

	// Discovery; see setDiscoveryTimeouts.
	WatchTimeout        clock.Duration // of a watch, as the router requests it
	WatchGrace          clock.Duration // added to WatchTimeout for the response to arrive; also the limit for connecting
	ListTimeout         clock.Duration // for a request for the full list
	DiscoveryRetryDelay clock.Duration // after a failed request

	// The event loop; see setLoopIntervals.
	MetricsInterval  clock.Duration // between updates of the metrics while there is traffic
	LoopLagThreshold clock.Duration // time between two batches above which the loop is late
	StallThreshold   clock.Duration // time between two batches above which the process or its machine was stalled
	AdminCallTimeout clock.Duration // for a call to the admin endpoint to be handled by the loop
}

// Units of memory, in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Lower bounds of the limits in the file.
const (
	minSockets   = 50
	minMemoryMiB = 16
)

// Descriptors that are not connections to clients or servers.
const (
	// openDescriptors covers the standard streams, the epoll instances and event files of gnet and the Go runtime, the
	// listener, the loop's first two connections, the successor's socket, the configuration file, and four accepted connections
	// that have not reached the loop yet.
	openDescriptors = 24
	// reservedDescriptors covers openDescriptors and ten connections that are being closed.
	reservedDescriptors = 34
	// adminFiles covers the admin endpoint's listener and the two files of the operator state.
	adminFiles          = 3
	maxAdminConnections = 32
)

// newLimits computes the limits from those in the file and from the service's settings.
func newLimits(given limitsObject, adminEnabled bool, service routing.Settings) (Limits, error) {
	if err := checkLimits(given); err != nil {
		return Limits{}, err
	}
	var l Limits
	l.setDescriptors(given.Sockets, adminEnabled)
	l.setMemory(given.Memory)
	l.setSizes()
	l.setClientTimeouts(service)
	l.setLifecycleTimeouts(service)
	l.setServerTimeouts(service)
	l.setDiscoveryTimeouts(service.PollEndpoints)
	l.setLoopIntervals()
	return l, nil
}

func checkLimits(given limitsObject) error {
	if given.Sockets < minSockets {
		return &configerror.Error{Field: "limits.sockets", Value: strconv.Itoa(given.Sockets),
			Problem: fmt.Sprintf("are fewer than %d", minSockets), Remedy: "give it as many at least"}
	}
	if given.Memory < minMemoryMiB {
		return &configerror.Error{Field: "limits.memory_mb", Value: strconv.Itoa(given.Memory),
			Problem: fmt.Sprintf("is less than %d", minMemoryMiB), Remedy: "give it as much at least"}
	}
	return nil
}

// Divisors that give shares of the descriptors. Servers get half of those for connections. Clients get a third of all,
// including the reserve, and clients that have sent a request get a quarter, so that some are free for new clients.
const (
	adminDivisor            = 12
	serverConnectionDivisor = 2
	clientConnectionDivisor = 3
	activeClientDivisor     = 4
)

func (l *Limits) setDescriptors(sockets int, adminEnabled bool) {
	if adminEnabled {
		l.AdminConnections = min(maxAdminConnections, sockets/adminDivisor)
		sockets -= l.AdminConnections + adminFiles
	}
	l.Descriptors = sockets - reservedDescriptors
	l.MaxDescriptors = sockets - openDescriptors
	l.ReservedDescriptors = openDescriptors + l.AdminConnections
	l.ServerConnections = l.Descriptors / serverConnectionDivisor
	l.ClientConnections = sockets / clientConnectionDivisor
	l.ActiveClients = sockets / activeClientDivisor
}

// Shares of the memory. Three tenths are left for memory that the garbage collector does not count.
const (
	heapTenths          = 7
	requestDivisor      = 8
	clientBufferDivisor = 4
	clientShareDivisor  = 8            // of ClientBufferBytes
	maxClientShareBytes = 4 * mebibyte // as a handover frame carries it, in base64, it fits handover.MaxBodyBytes
)

func (l *Limits) setMemory(mebibytes int) {
	l.MemoryBytes = int64(mebibytes) * mebibyte * heapTenths / 10
	l.RequestBytes = mebibytes * mebibyte / requestDivisor
	l.ClientBufferBytes = mebibytes * mebibyte / clientBufferDivisor
	l.ClientShareBytes = min(maxClientShareBytes, l.ClientBufferBytes/clientShareDivisor)
}

// Sizes, in bytes, and queue lengths of Limits.
const (
	maxValueBytes         = 4 * mebibyte // the longest value that a cache server or the origin may send
	maxSmallValueBytes    = 64 * kibibyte
	maxHeadBytes          = 16 * kibibyte
	maxEndpointListBytes  = 4 * mebibyte // enough for thousands of endpoints
	maxCommandLineBytes   = 4 * kibibyte
	maxCommandArguments   = 16
	readChunkBytes        = 64 * kibibyte
	largeValueWindowBytes = 32 * kibibyte
	clientInputBytes      = 256 * kibibyte
	clientOutputBytes     = mebibyte
	maxExternalRequests   = 4096
	maxPipelinedCommands  = 256
)

func (l *Limits) setSizes() {
	l.RESP = resp.Bounds{Bulk: maxSmallValueBytes, Streamed: maxValueBytes, Line: maxCommandLineBytes, Args: maxCommandArguments}
	l.Origin = httpwire.Bounds{Head: maxHeadBytes, Body: maxSmallValueBytes, Streamed: maxValueBytes}
	l.Discovery = httpwire.Bounds{Head: maxHeadBytes, Body: maxEndpointListBytes}
	l.ReadChunk = readChunkBytes
	l.LargeValueWindow = largeValueWindowBytes
	l.ClientInput = clientInputBytes
	l.ClientOutput = clientOutputBytes
	l.ExternalRequests = maxExternalRequests
	l.PipelinedCommands = maxPipelinedCommands
}

// Durations of Limits for clients.
const (
	idleClientEvictionAge   = 50 * clock.Millisecond // the first request on a connection arrives sooner
	clientIdleTimeout       = 2 * clock.Second
	partialCommandTimeout   = 2500 * clock.Millisecond
	largeValueUnreadTimeout = 10 * clock.Second
	minClientWriteTimeout   = 3 * clock.Second
	// clientDisconnectCheckInterval lets the attempt for a large value end within 100 ms of its client's disconnect.
	clientDisconnectCheckInterval = 25 * clock.Millisecond
	clientNetworkMargin           = 3 * clock.Millisecond
)

func (l *Limits) setClientTimeouts(service routing.Settings) {
	l.IdleClientEvictionAge = idleClientEvictionAge
	l.ClientIdleTimeout = clientIdleTimeout
	l.PartialCommandTimeout = partialCommandTimeout
	l.LargeValueUnreadTimeout = largeValueUnreadTimeout
	l.ClientWriteTimeout = max(minClientWriteTimeout, settings.LongestDeadline(service))
	l.ClientDisconnectCheckInterval = clientDisconnectCheckInterval
	l.ClientNetworkMargin = clientNetworkMargin
}

// Durations of Limits for the start and the end of the process.
const (
	takeoverListTimeout = 2 * clock.Second
	drainAcceptPeriod   = 500 * clock.Millisecond
	// The process ends shutdownMargin after the longest deadline, of which at most maxShutdownDeadline is granted. SIGKILL
	// follows 0.2 s later at the earliest.
	shutdownMargin      = 500 * clock.Millisecond
	maxShutdownDeadline = 3 * clock.Second
)

func (l *Limits) setLifecycleTimeouts(service routing.Settings) {
	l.TakeoverListTimeout = takeoverListTimeout
	l.DrainAcceptPeriod = drainAcceptPeriod
	l.ShutdownTimeout = min(maxShutdownDeadline, settings.LongestDeadline(service)) + shutdownMargin
}

// Durations of Limits for cache servers and the origin.
const (
	defaultConnectTimeout     = 250 * clock.Millisecond // if the settings have none
	defaultServerIdleTimeout  = 15 * clock.Second       // if the settings have none
	maxIdleSweepInterval      = 250 * clock.Millisecond
	idleSweepsPerTimeout      = 20
	reuseDelay                = 50 * clock.Millisecond // duplicate responses arrive some milliseconds late
	duplicateResponseWindow   = 30 * clock.Second
	minLargeValueStallTimeout = 3 * clock.Second
	largeValueRetryInterval   = 5 * clock.Millisecond
)

func (l *Limits) setServerTimeouts(service routing.Settings) {
	l.ConnectTimeout = service.ConnectTimeout
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = defaultConnectTimeout
	}
	l.ServerIdleTimeout = service.ServerIdleTimeout * 9 / 10 // a tenth less: a request may be in transit when the server closes
	if l.ServerIdleTimeout <= 0 {
		l.ServerIdleTimeout = defaultServerIdleTimeout
	}
	l.IdleSweepInterval = min(maxIdleSweepInterval, l.ServerIdleTimeout/idleSweepsPerTimeout)
	l.ReuseDelay = reuseDelay
	l.DuplicateResponseWindow = duplicateResponseWindow
	l.LargeValueStallTimeout = max(minLargeValueStallTimeout, settings.LongestDeadline(service))
	l.LargeValueRetryInterval = largeValueRetryInterval
}

// Durations of Limits for discovery. Discovery is either an agent on the same machine that pushes changes and answers at once,
// or one service that all routers poll and where requests queue for up to two seconds. In both cases a watch without a
// response is abandoned at least one second before the endpoint list counts as stale.
const (
	watchTimeoutPushed  = 4 * clock.Second
	watchGracePushed    = 500 * clock.Millisecond
	listTimeoutPushed   = 500 * clock.Millisecond
	watchTimeoutPolled  = 20 * clock.Second
	watchGracePolled    = clock.Second
	listTimeoutPolled   = 2 * clock.Second
	discoveryRetryDelay = 100 * clock.Millisecond
)

func (l *Limits) setDiscoveryTimeouts(polled bool) {
	l.DiscoveryRetryDelay = discoveryRetryDelay
	if polled {
		l.WatchTimeout = watchTimeoutPolled
		l.WatchGrace = watchGracePolled
		l.ListTimeout = listTimeoutPolled
		return
	}
	l.WatchTimeout = watchTimeoutPushed
	l.WatchGrace = watchGracePushed
	l.ListTimeout = listTimeoutPushed
}

// Durations of Limits for the event loop.
const (
	metricsInterval  = 20 * clock.Millisecond
	loopLagThreshold = 80 * clock.Millisecond
	stallThreshold   = 250 * clock.Millisecond
	adminCallTimeout = 800 * clock.Millisecond // shorter than the second after which callers give up
)

func (l *Limits) setLoopIntervals() {
	l.MetricsInterval = metricsInterval
	l.LoopLagThreshold = loopLagThreshold
	l.StallThreshold = stallThreshold
	l.AdminCallTimeout = adminCallTimeout
}
