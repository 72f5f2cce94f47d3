// Package event is the record of a lab run: what the simulated clients, cache servers, origin and discovery observed, and
// when. The referee and the report are computed from this record alone, never from what a router reports about itself.
package event

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Micros is a time since the start of the run, or a duration, in whole microseconds.
type Micros int64

// Duration converts m to the type of the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Ids and indexes of a run. Each has its own type, so that the compiler rejects one in place of another.
type (
	// RequestID is one request of a client, as sent over the wire; a retry of an operation is a new request.
	RequestID string
	// Op is an operation that a client wants done, over all of its retries; its index in the schedule.
	Op int32
	// Server is the uid of one process of a cache server, or of the origin.
	Server string
	// Router is an index among the routers of the run.
	Router int
	// Method is an index into the scenario's methods.
	Method int
	// Tenant is an index into the scenario's tenants.
	Tenant int
	// Site is an index into the scenario's sites.
	Site int
)

// NoRouter is the router of an event that concerns none.
const NoRouter Router = -1

// Kind says what happened, and which fields of an Event are set.
type Kind uint8

// Events that a client observes.
const (
	OperationDue     Kind = iota + 1 // an operation is due: Op, Method, Tenant, Site; At is its scheduled time
	RequestSent                      // the last byte of a request was sent: Request, Op, Router, Method, Limit, DeadlineSent; Note may be NewConnection
	Answered                         // the last byte of its answer was received: Request, Router, Outcome, Limit (the retry-after hint)
	ConnectionClosed                 // the router closed the connection without an answer: Request, Router
	ClientLeft                       // the client gave up or disconnected: Request, Router
	ConnectFailed                    // the router did not accept a connection: Request, Router
	UnexpectedAnswer                 // bytes that belong to no request: Router, Request (the last one answered on the connection)
	BadInputAccepted                 // malformed input got neither an error nor a close in time: Router, Note
)

// Events that a cache server or the origin observes.
const (
	AttemptReceived    Kind = iota + 20 // an attempt was received completely: Request, Server, Router, Write, DeadlineSent; Since is the time of its first byte
	AttemptEnded                        // the attempt ended at the server: Request, Server, Router, Reply
	EffectExecuted                      // the effect of the attempt was executed: Request, Server
	ServerCollapsed                     // overload made the server collapse while cold: Server, Note
	OriginCollapsed                     // overload made the origin collapse: Server, Limit (per mille of its load that were misses at cold servers)
	ConnectionAccepted                  // a connection was accepted: Server, Router
	ServerUp                            // a server has started: Server; Limit is how long it counts as cold, 0 for not at all
	ServerDown                          // a server has stopped: Server
	ProtocolViolation                   // a router sent something that the protocol does not allow: Server, Router, Note
)

// Events that concern routers, and what they were notified of.
const (
	RemovalDelivered Kind = iota + 40 // discovery told a router that a server is draining or gone: Server, Router
	RemovalAnnounced                  // the same has reached the discovery agent of the router: Server, Router
	RouterUp                          // a router answers PING: Router
	SIGTERMSent                       // SIGTERM was sent: Router
	RouterExited                      // the process of a router exited: Router, Outcome (Succeeded for an orderly exit)
	SIGKILLSent                       // SIGKILL was sent: Router
	Fault                             // a fault begins, or ends if Limit is 1: Note
	ResourceSample                    // CPU time in microseconds (Limit) and memory in bytes (Size) of a router so far: Router
	LabDelayed                        // the lab itself was delayed by Limit
	ServerBanned                      // a router confirmed an operator's command not to use a server: Server, Router
	ServerUnbanned                    // a router was told to use the server again: Server, Router
	PolicyChanged                     // a policy change was decided: Note (the servers it excludes), Limit (1 if in force everywhere), Since (when it was requested)
	RouterStalled                     // the process of a router is stopped, or continues if Limit is 1: Router
)

// Outcome is the final answer to a request as the client reads it.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota + 1 // with the value that belongs to this request
	Rejected
	Failed
	WrongValue // with a value that belongs to another request
)

// Reply says how an attempt ended at the server.
type Reply uint8

// The replies.
const (
	Value          Reply = iota + 1 // the value or receipt was written completely
	Miss                            // the server does not hold the key
	Refused                         // the attempt was not executed, and the router was told so
	Error                           // an error was written; the attempt may have been executed
	ConnectionLost                  // the connection ended before the reply; the attempt may have been executed
	Malformed                       // the reply was unreadable; the attempt may have been executed
)

// NeverRan reports whether this reply tells the router that the attempt was not executed.
func (r Reply) NeverRan() bool { return r == Miss || r == Refused }

// NewConnection is the Note of a request that is the first on its connection.
const NewConnection = "new-connection"

// Event is one observation. Kind says which of the other fields are set.
type Event struct {
	At      Micros
	Kind    Kind
	Request RequestID
	Op      Op
	Server  Server
	Router  Router
	Method  Method
	Tenant  Tenant
	Site    Site
	Since   Micros
	Limit   Micros
	Size    int64
	Outcome Outcome
	Reply   Reply
	Write   bool
	Note    string
	// DeadlineSent is the remaining time that was sent with the request or attempt, 0 if none was sent.
	DeadlineSent Micros
}

// Log collects events from many goroutines. It stores them in chunks, because growing a single slice copies it under the
// lock, which was visible as a dip of service some seconds into every run.
type Log struct {
	start  time.Time
	mu     sync.Mutex
	chunks [][]Event // all but the last are full
}

const chunkSize = 1 << 13 // events

// NewLog returns an empty log whose times count from now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now returns the time since the start, by the monotonic clock.
func (l *Log) Now() Micros { return Micros(time.Since(l.start) / time.Microsecond) }

// Start returns the wall-clock time of the start.
func (l *Log) Start() time.Time { return l.start }

// Add records an event that happens now; it sets e.At.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	e.At = l.Now()
	l.add(e)
	l.mu.Unlock()
}

// AddAt records an event whose time the caller has set.
func (l *Log) AddAt(e Event) {
	l.mu.Lock()
	l.add(e)
	l.mu.Unlock()
}

func (l *Log) add(e Event) {
	n := len(l.chunks)
	if n == 0 || len(l.chunks[n-1]) == chunkSize {
		l.chunks = append(l.chunks, make([]Event, 0, chunkSize))
		n++
	}
	l.chunks[n-1] = append(l.chunks[n-1], e)
}

// Events returns a copy of all events recorded so far, in order of time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Concat(l.chunks...)
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}
