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

// Limits are the sizes, counts and durations that the network code observes. They are computed once, at start.
type Limits struct {
	// File descriptors; see setDescriptors.
	Descriptors         int // connections and dials, without the reserve
	MaxDescriptors      int // the same, for clients that connect while no other connection can be closed
	ReservedDescriptors int // not part of the two above
	ServerConnections   int // of Descriptors: connections to servers, and dials
	ClientConnections   int // of Descriptors: beyond it, a client's connection is closed before an idle server's
	ActiveClients       int // of Descriptors: clients that have sent a request; beyond it, the longest quiet one is closed
	AdminConnections    int // apart from all of these

	// Memory, in bytes; see setMemory.
	MemoryBytes       int64 // soft limit of the process
	RequestBytes      int   // of all requests in flight
	ClientBufferBytes int   // buffered by the connections of all clients

	// Sizes, in bytes, and queue lengths; see setSizes.
	RESP              resp.Bounds
	Origin            httpwire.Bounds
	Discovery         httpwire.Bounds
	ReadChunk         int // of one read by the loop
	LargeValueWindow  int // of one large value in transit
	ClientInput       int // unread input of one client
	ClientOutput      int // unsent answers to one client
	ExternalRequests  int // requests from other goroutines that wait for the loop
	PipelinedCommands int // commands of one client that wait for their answers

	// Clients; see setClientTimeouts.
	IdleClientEvictionAge         clock.Duration // a client that was quiet for so long may be closed for another one
	ClientIdleTimeout             clock.Duration // of a client that has no open request and sends nothing
	PartialCommandTimeout         clock.Duration // of a client that has sent a part of a command
	LargeValueUnreadTimeout       clock.Duration // of a client that reads nothing more of a large value
	ClientWriteTimeout            clock.Duration // of a client that does not read its answers
	ClientDisconnectCheckInterval clock.Duration // between two looks whether the client of a large value has gone
	ClientNetworkMargin           clock.Duration // subtracted from a client's deadline, for the network between

	// Start and end of the process; see setLifecycleTimeouts.
	TakeoverListTimeout clock.Duration // how long a successor waits for an endpoint list
	DrainAcceptPeriod   clock.Duration // how long a draining router still accepts connections
	ShutdownTimeout     clock.Duration // from SIGTERM to the end

	// Cache servers and the origin; see setServerTimeouts.
	ConnectTimeout          clock.Duration
	ServerIdleTimeout       clock.Duration // an idle connection is closed before the server closes it
	IdleSweepInterval       clock.Duration // between two searches for idle connections
	ReuseDelay              clock.Duration // before a connection is used again, where servers have answered twice
	DuplicateResponseWindow clock.Duration // how long a second answer counts for ReuseDelay
	LargeValueStallTimeout  clock.Duration // of a server that sends nothing more of a large value
	LargeValueRetryInterval clock.Duration // until a large value that waits is tried again

	// Discovery; see setDiscoveryTimeouts.
	WatchTimeout        clock.Duration // the length of a watch that the router requests
	WatchGrace          clock.Duration // how much later than WatchTimeout its answer may come; also for connecting
	ListTimeout         clock.Duration // of a request for the full list
	DiscoveryRetryDelay clock.Duration // after a failed request

	// The event loop; see setLoopIntervals.
	MetricsInterval  clock.Duration // between two updates of the metrics, while there is traffic
	LoopLagThreshold clock.Duration // between two batches, from which the loop is late
	StallThreshold   clock.Duration // between two batches, from which the process or its machine stood still
	AdminCallTimeout clock.Duration // how long a call to the admin endpoint may wait for the loop
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Bounds of the limits in the file.
const (
	minSockets   = 50
	minMemoryMiB = 16
)

// Descriptors that are no connection of clients or servers.
const (
	// openDescriptors is the standard streams, the epoll instances and event files of gnet and the Go runtime, the
	// listener, the loop's first connection, the successor's socket, the configuration file, and four accepted connections
	// that the loop does not have yet.
	openDescriptors = 24
	// reservedDescriptors is openDescriptors and some connections that are being closed.
	reservedDescriptors = 34
	// adminFiles is the admin endpoint's listener and the two files of the operator state.
	adminFiles          = 3
	maxAdminConnections = 32
)

// newLimits computes the limits from those of the file.
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

// Shares of the descriptors, as divisors. Servers get half of those for connections. Clients get a third of all, the
// reserve included, and those that have sent a request a quarter, so that new clients find some free.
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

// Shares of the memory. Three tenths are left to what the garbage collector does not count.
const (
	heapTenths          = 7
	requestDivisor      = 8
	clientBufferDivisor = 4
)

func (l *Limits) setMemory(mebibytes int) {
	l.MemoryBytes = int64(mebibytes) * mebibyte * heapTenths / 10
	l.RequestBytes = mebibytes * mebibyte / requestDivisor
	l.ClientBufferBytes = mebibytes * mebibyte / clientBufferDivisor
}

const (
	maxValueBytes         = 4 * mebibyte // the longest value of a cache server
	maxSmallValueBytes    = 64 * kibibyte
	maxHeadBytes          = 16 * kibibyte
	maxEndpointListBytes  = 4 * mebibyte // a list of thousands
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
	l.RESP = resp.Bounds{Bulk: maxSmallValueBytes, Long: maxValueBytes, Line: maxCommandLineBytes, Args: maxCommandArguments}
	l.Origin = httpwire.Bounds{Head: maxHeadBytes, Body: maxSmallValueBytes, Long: maxValueBytes}
	l.Discovery = httpwire.Bounds{Head: maxHeadBytes, Body: maxEndpointListBytes}
	l.ReadChunk = readChunkBytes
	l.LargeValueWindow = largeValueWindowBytes
	l.ClientInput = clientInputBytes
	l.ClientOutput = clientOutputBytes
	l.ExternalRequests = maxExternalRequests
	l.PipelinedCommands = maxPipelinedCommands
}

const (
	idleClientEvictionAge   = 50 * clock.Millisecond // a connection's first request arrives earlier than this
	clientIdleTimeout       = 2 * clock.Second
	partialCommandTimeout   = 2500 * clock.Millisecond
	largeValueUnreadTimeout = 10 * clock.Second
	minClientWriteTimeout   = 3 * clock.Second
	// clientDisconnectCheckInterval lets a large value's attempt end within 100 ms of its client's going.
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

const (
	takeoverListTimeout = 2 * clock.Second
	drainAcceptPeriod   = 500 * clock.Millisecond
	// The process ends so long after the longest deadline, or after maxShutdownDeadline. SIGKILL comes 0.2 s later at the
	// earliest.
	shutdownMargin      = 500 * clock.Millisecond
	maxShutdownDeadline = 3 * clock.Second
)

func (l *Limits) setLifecycleTimeouts(service routing.Settings) {
	l.TakeoverListTimeout = takeoverListTimeout
	l.DrainAcceptPeriod = drainAcceptPeriod
	l.ShutdownTimeout = min(maxShutdownDeadline, settings.LongestDeadline(service)) + shutdownMargin
}

const (
	defaultConnectTimeout     = 250 * clock.Millisecond // where the settings have none
	defaultServerIdleTimeout  = 15 * clock.Second       // where the settings have none
	maxIdleSweepInterval      = 250 * clock.Millisecond
	idleSweepsPerTimeout      = 20
	reuseDelay                = 50 * clock.Millisecond // second answers come some milliseconds late
	duplicateResponseWindow   = 30 * clock.Second
	minLargeValueStallTimeout = 3 * clock.Second
	largeValueRetryInterval   = 5 * clock.Millisecond
)

func (l *Limits) setServerTimeouts(service routing.Settings) {
	l.ConnectTimeout = service.ConnectTimeout
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = defaultConnectTimeout
	}
	l.ServerIdleTimeout = service.ServerIdleTimeout * 9 / 10 // a request may be in transit when the server closes
	if l.ServerIdleTimeout <= 0 {
		l.ServerIdleTimeout = defaultServerIdleTimeout
	}
	l.IdleSweepInterval = min(maxIdleSweepInterval, l.ServerIdleTimeout/idleSweepsPerTimeout)
	l.ReuseDelay = reuseDelay
	l.DuplicateResponseWindow = duplicateResponseWindow
	l.LargeValueStallTimeout = max(minLargeValueStallTimeout, settings.LongestDeadline(service))
	l.LargeValueRetryInterval = largeValueRetryInterval
}

// Discovery is an agent on the machine that pushes changes and answers at once, or one service that all routers poll,
// where requests queue for up to two seconds. Either way a silent watch is given up at least a second before the endpoint
// list counts as stale.
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

const (
	metricsInterval  = 20 * clock.Millisecond
	loopLagThreshold = 80 * clock.Millisecond
	stallThreshold   = 250 * clock.Millisecond
	adminCallTimeout = 800 * clock.Millisecond // callers give up after a second
)

func (l *Limits) setLoopIntervals() {
	l.MetricsInterval = metricsInterval
	l.LoopLagThreshold = loopLagThreshold
	l.StallThreshold = stallThreshold
	l.AdminCallTimeout = adminCallTimeout
}
