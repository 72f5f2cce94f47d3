// Package event holds what the stand-ins of a lab run saw: who did what, and when. The referee and the report are made
// from this record alone, never from what a router says of itself.
package event

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Micros is a time since the run's start, or a span, in whole microseconds.
type Micros int64

// Duration is the span in the standard library's form.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// The ids are types of their own, so that one cannot stand for another.
type (
	RequestID string // one try, as it goes over the wire
	Op        int32  // what a client wants, over all of its tries; the place in the schedule
	Server    string // the uid of one life of a cache server, or of the origin
	Router    int    // place among the run's routers
	Method    int    // index into the scenario's methods
	Tenant    int    // index into the scenario's tenants
	Site      int    // index into the scenario's sites
)

// NoRouter stands where an event concerns no router.
const NoRouter Router = -1

// Kind says what happened, and which fields of an Event count.
type Kind uint8

// What a client saw.
const (
	OperationDue     Kind = iota + 1 // an op came up: Op, Method, Tenant, Site; At is its intended time
	RequestSent                      // the last byte of a request went out: Request, Op, Router, Method, Limit, DeadlineSent; Note may be NewConnection
	Answered                         // the last byte of its answer came: Request, Router, Outcome, Limit (the hint)
	ConnectionClosed                 // the router ended the connection with no answer: Request, Router
	ClientLeft                       // the client gave up or went: Request, Router
	ConnectFailed                    // no connection to the router: Request, Router
	UnexpectedAnswer                 // bytes that no request asked for: Router, Request (the last one answered there)
	BadInputAccepted                 // a bad client got neither an error nor a close in time: Router, Note
)

// What a cache server or the origin saw.
const (
	AttemptReceived    Kind = iota + 20 // an attempt came whole: Request, Server, Router, Write, DeadlineSent; Since is its first byte
	AttemptEnded                        // it ended there: Request, Server, Router, Reply
	EffectExecuted                      // its effect ran: Request, Server
	ServerCollapsed                     // the server was pushed over while cold: Server, Note
	OriginCollapsed                     // the origin was pushed over: Server, Limit (share of cold misses in parts of 1000)
	ConnectionAccepted                  // a connection was accepted: Server, Router
	ServerUp                            // a server is up: Server; Limit is the span that it counts as cold, 0 for none
	ServerDown                          // it is down: Server
	ProtocolViolation                   // a router sent what is not of the protocol: Server, Router, Note
)

// What happened to routers, and what they were told.
const (
	RemovalDelivered Kind = iota + 40 // discovery wrote to a router that a server is draining or gone: Server, Router
	RemovalAnnounced                  // the same has reached the agent that tells this router: Server, Router
	RouterUp                          // a router answers PING: Router
	SIGTERMSent                       // SIGTERM was sent: Router
	RouterExited                      // a router's process ended: Router, Outcome (Satisfied: as it should)
	SIGKILLSent                       // SIGKILL was sent: Router
	Fault                             // a fault begins, or ends where Limit is 1: Note
	ResourceSample                    // a router's CPU in microseconds (Limit) and memory in bytes (Size) so far: Router
	LabDelayed                        // the lab itself was late by Limit
	ServerBanned                      // a router said yes to leaving a server alone: Server, Router
	ServerUnbanned                    // it was told to use it again: Server, Router
	PolicyChanged                     // a change of policy has its verdict: Note (the servers that it has out), Limit (1: everywhere), Since (when asked for)
	RouterStalled                     // its process stands still, or goes on where Limit is 1: Router
)

// Outcome is a final answer as a client reads it.
type Outcome uint8

const (
	Succeeded Outcome = iota + 1 // with the value made for this request
	Rejected
	Failed
	WrongValue // a value that was not made for this request
)

// Reply is how an attempt ended at the server.
type Reply uint8

const (
	Value          Reply = iota + 1 // the value or receipt was written whole
	Miss                            // it lacks the key
	Refused                         // it never ran, and the router was told so
	Error                           // an error was written: it may have run
	ConnectionLost                  // the connection was over before an answer: it may have run
	Malformed                       // what was written could not be read: it may have run
)

// NeverRan tells whether the router knows by this reply that nothing ran.
func (r Reply) NeverRan() bool { return r == Miss || r == Refused }

// NewConnection is the note of a request that is the first on its connection.
const NewConnection = "new-connection"

// Event is one thing seen.
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
	// DeadlineSent is the time that its sender allows, told with the request or the attempt. 0: none was told.
	DeadlineSent Micros
}

// Log gathers events from many goroutines, in chunks: a slice that grows would be copied whole under the lock, which
// was seen as a dip of service some seconds into every run.
type Log struct {
	start  time.Time
	mu     sync.Mutex
	chunks [][]Event // all but the last are full
}

const chunk = 1 << 13

// NewLog begins a record; times count from now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now is the time since the start, by the monotonic clock.
func (l *Log) Now() Micros { return Micros(time.Since(l.start) / time.Microsecond) }

// Start is the wall clock's time of the start.
func (l *Log) Start() time.Time { return l.start }

// Add notes an event that happens now.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	e.At = l.Now()
	l.add(e)
	l.mu.Unlock()
}

// AddAt notes one whose time is known.
func (l *Log) AddAt(e Event) {
	l.mu.Lock()
	l.add(e)
	l.mu.Unlock()
}

func (l *Log) add(e Event) {
	n := len(l.chunks)
	if n == 0 || len(l.chunks[n-1]) == chunk {
		l.chunks = append(l.chunks, make([]Event, 0, chunk))
		n++
	}
	l.chunks[n-1] = append(l.chunks[n-1], e)
}

// Events returns what was noted so far, in order of time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Concat(l.chunks...)
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}
