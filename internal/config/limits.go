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
	MemoryBytes         int64 // soft limit of the whole process
	Descriptors         int   // connections and dials, without the reserve
	MaxDescriptors      int   // the same, for clients that connect while no other connection can be closed
	ReservedDescriptors int   // not part of the two above
	ServerConnections   int   // of Descriptors: connections to servers, and dials
	ClientConnections   int   // of Descriptors: beyond it, a client's connection is closed before an idle server's
	ActiveClients       int   // of Descriptors: clients that have sent a request; beyond it, the longest quiet one is closed

	AdminConnections int // apart from all of these

	RESP                    resp.Bounds
	Origin                  httpwire.Bounds
	Discovery               httpwire.Bounds
	ReadChunk               int            // bytes of one read by the loop
	LargeValueWindow        int            // bytes of one large value in transit
	ClientInput             int            // unread bytes of one client
	ClientOutput            int            // unsent bytes of answers to one client
	ExternalRequests        int            // requests from other goroutines that wait for the loop
	PipelinedCommands       int            // commands of one client that wait for their answers
	RequestBytes            int            // bytes of all requests in flight
	ClientBufferBytes       int            // bytes buffered by the connections of all clients
	ConnectTimeout          clock.Duration // of a connection to a server
	ServerIdleTimeout       clock.Duration // an idle connection to a server is closed before the server does
	ReuseDelay              clock.Duration // before a connection is used again, where servers have answered twice
	DuplicateMemory         clock.Duration // how long a second answer counts for ReuseDelay
	IdleSweepInterval       clock.Duration // between two searches for idle connections
	QuietClientAge          clock.Duration // a client that was quiet for so long may be closed for another one
	SilentClientTimeout     clock.Duration // of a client that has no open request and sends nothing
	PartialCommandTimeout   clock.Duration // of a client that has sent a part of a command
	LargeValueStallTimeout  clock.Duration // of a server that sends nothing more of a large value
	ClientGoneCheckInterval clock.Duration // between two looks whether the client of a large value has gone
	LargeValueRetryInterval clock.Duration // until a large value that waits is tried again
	LargeValueUnreadTimeout clock.Duration // of a client that reads nothing more of a large value
	TakeoverListTimeout     clock.Duration // how long a successor waits for an endpoint list
	ClientNetworkMargin     clock.Duration // subtracted from a client's deadline, for the network between
	WatchTimeout            clock.Duration // a watch of discovery, as asked for
	WatchGrace              clock.Duration // how much later than WatchTimeout its answer may come; also for connecting
	ListTimeout             clock.Duration // of a list request to discovery
	DiscoveryRetryDelay     clock.Duration // after a failed request to discovery
	ClientWriteTimeout      clock.Duration // of a client that does not read its answers
	ShutdownTimeout         clock.Duration // from SIGTERM to the end
	DrainAcceptPeriod       clock.Duration // how long a draining router still accepts connections
	MetricsInterval         clock.Duration // between two updates of the metrics, while there is traffic
	LoopLagThreshold        clock.Duration // between two batches, from which the loop is late
	StallThreshold          clock.Duration // between two batches, from which the process or its machine stood still
	AdminCallTimeout        clock.Duration // how long a call to the admin endpoint may wait for the loop
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

// maxValueBytes is the longest value of a cache server.
const maxValueBytes = 4 * mebibyte

// newLimits computes the limits from those of the file.
func newLimits(given limitsObject, adminEnabled bool, s routing.Settings) (Limits, error) {
	if err := checkLimits(given); err != nil {
		return Limits{}, err
	}
	var l Limits
	l.setDescriptors(given.Sockets, adminEnabled)
	l.setMemory(given.Memory)
	l.setSizes()
	l.setClientTimeouts(s)
	l.setServerTimeouts(s)
	l.setDiscoveryTimeouts(s.PollEndpoints)
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

// setDescriptors divides the process's file descriptors. Servers get half of those for connections. Clients that have sent
// a request get a quarter, and clients together a third, so that new clients find some free.
func (l *Limits) setDescriptors(sockets int, adminEnabled bool) {
	if adminEnabled {
		l.AdminConnections = min(maxAdminConnections, sockets/12)
		sockets -= l.AdminConnections + adminFiles
	}
	l.Descriptors = sockets - reservedDescriptors
	l.MaxDescriptors = sockets - openDescriptors
	l.ReservedDescriptors = openDescriptors + l.AdminConnections
	l.ServerConnections = (sockets - reservedDescriptors) / 2
	l.ClientConnections = sockets / 3
	l.ActiveClients = sockets / 4
}

// setMemory leaves three tenths to memory that the garbage collector does not count.
func (l *Limits) setMemory(mebibytes int) {
	l.MemoryBytes = int64(mebibytes) * mebibyte * 7 / 10
	l.RequestBytes = mebibytes * mebibyte / 8
	l.ClientBufferBytes = mebibytes * mebibyte / 4
}

func (l *Limits) setSizes() {
	l.RESP = resp.Bounds{Bulk: 64 * kibibyte, Long: maxValueBytes, Line: 4 * kibibyte, Args: 16}
	l.Origin = httpwire.Bounds{Head: 16 * kibibyte, Body: 64 * kibibyte, Long: maxValueBytes}
	l.Discovery = httpwire.Bounds{Head: 16 * kibibyte, Body: 4 * mebibyte} // a list of thousands
	l.ReadChunk = 64 * kibibyte
	l.LargeValueWindow = 32 * kibibyte
	l.ClientInput = 256 * kibibyte
	l.ClientOutput = mebibyte
	l.ExternalRequests = 4096
	l.PipelinedCommands = 256
}

func (l *Limits) setClientTimeouts(s routing.Settings) {
	longest := settings.LongestDeadline(s)
	l.QuietClientAge = 50 * clock.Millisecond // a client's first request arrives well before
	l.SilentClientTimeout = 2 * clock.Second
	l.PartialCommandTimeout = 2500 * clock.Millisecond
	l.LargeValueUnreadTimeout = 10 * clock.Second
	l.ClientGoneCheckInterval = 25 * clock.Millisecond // no attempt begins 0.1 s after its client has gone
	l.ClientNetworkMargin = 3 * clock.Millisecond
	l.ClientWriteTimeout = max(3*clock.Second, longest)
	l.TakeoverListTimeout = 2 * clock.Second
	l.DrainAcceptPeriod = 500 * clock.Millisecond
	// SIGKILL follows SIGTERM after the longest deadline and 0.7 s, or after 3.7 s.
	l.ShutdownTimeout = min(3*clock.Second, longest) + 500*clock.Millisecond
}

// Defaults of settings that leave a timeout out.
const (
	defaultConnectTimeout    = 250 * clock.Millisecond
	defaultServerIdleTimeout = 15 * clock.Second
)

func (l *Limits) setServerTimeouts(s routing.Settings) {
	l.ConnectTimeout = s.ConnectTimeout
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = defaultConnectTimeout
	}
	l.ServerIdleTimeout = s.ServerIdleTimeout * 9 / 10 // a request may be in transit when the server closes
	if l.ServerIdleTimeout <= 0 {
		l.ServerIdleTimeout = defaultServerIdleTimeout
	}
	l.IdleSweepInterval = min(250*clock.Millisecond, l.ServerIdleTimeout/20)
	l.ReuseDelay = 50 * clock.Millisecond // second answers come some milliseconds late
	l.DuplicateMemory = 30 * clock.Second
	l.LargeValueStallTimeout = max(3*clock.Second, settings.LongestDeadline(s))
	l.LargeValueRetryInterval = 5 * clock.Millisecond
}

// setDiscoveryTimeouts sets the timeouts for the two kinds of discovery: an agent on the machine that answers at once, or
// one service that all routers poll, where requests queue for up to two seconds. Either way a silent watch is given up
// at least a second before the endpoint list counts as stale.
func (l *Limits) setDiscoveryTimeouts(polled bool) {
	l.DiscoveryRetryDelay = 100 * clock.Millisecond // a watch begins anew within 200 ms
	if polled {
		l.WatchTimeout = 20 * clock.Second
		l.WatchGrace = clock.Second
		l.ListTimeout = 2 * clock.Second
		return
	}
	l.WatchTimeout = 4 * clock.Second
	l.WatchGrace = 500 * clock.Millisecond
	l.ListTimeout = 500 * clock.Millisecond
}

func (l *Limits) setLoopIntervals() {
	l.MetricsInterval = 20 * clock.Millisecond // the loop runs at least every second interval
	l.LoopLagThreshold = 80 * clock.Millisecond
	l.StallThreshold = 250 * clock.Millisecond
	l.AdminCallTimeout = 800 * clock.Millisecond // callers wait a second
}
