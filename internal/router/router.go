// Package router runs the router on sockets: one gnet event loop owns all of its state. The loop collects events
// (requests, answers, timers, endpoint lists), passes them in batches to package routing, and carries out the
// decisions that come back. It makes no routing decisions itself.
//
// Package program creates the router; protocol front ends such as grpcfront submit requests to it from their own
// goroutines, and the admin endpoint and the fleet's packages call its exported methods.
//
// Files: router.go holds the loop's callbacks; loop_tasks.go the functions that run on it; batch.go passes events to package routing; requests.go tracks
// requests and their attempts, independent of the protocol; clients.go, client_input.go, client_turns.go, client_output.go,
// client_pause.go, upstream.go (connections to
// servers), servers.go (their pools and dials) and watch.go (discovery) hold the kinds of connections; descriptors.go
// keeps them within the limits; large_read.go, large_read_handover.go, large_write.go and large_write_ending.go stream large values off
// the loop, client_detached.go and socket_conn.go move connections off it and back; last_byte.go decides whether an attempt can have run, client_delivery.go
// whether a client has got its replies; external_requests.go accepts requests of front ends; takeover.go, client_handover.go, endpoint_sharing.go and shared_memory.go hand over to the next process;
// operator_control.go and fleet_limits.go apply what operators and the fleet set; timers.go holds the timers;
// held_memory.go accounts for the memory held for clients; queue_limits.go and waiting_requests.go have clients wait while queues are long; client_owed.go says what is owed to a client; socket_watch.go logs when sockets are not read in time;
// learned_state.go the state that survives a restart; drain.go the shutdown, client_ending.go the end of clients' connections in it; conn_log.go the log lines on
// connections and requests.
package router

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/metrics"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
	"spurtrestle/core/recentids"
	"spurtrestle/core/routing"
	"spurtrestle/internal/config"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/http1"
	"spurtrestle/internal/wire/resp2"
)

// Router is one router. All its state belongs to the loop's goroutine; an exported method that other goroutines
// may call passes its work to the loop.
type Router struct {
	gnet.BuiltinEventEngine
	cfg    config.Config
	limits config.Limits
	log    *logrus.Logger
	counts counters.Counters

	startTime         time.Time
	startWallClock    clock.Time // wall clock at startTime; the current time is this plus the monotonic time elapsed since
	sharedClockOffset clock.Time // see sharedTime
	// sinceStart reads the monotonic clock; tests that run the loop without sockets replace it.
	sinceStart func() time.Duration
	loop       gnet.EventLoop
	ready      chan struct{} // closed once loop is set

	core      *routing.Router
	methods   map[string]routing.Method
	batchTime clock.Time // time of the current batch
	// If the loop stalled from stallStart on, input that is read before stallGraceEnd may have arrived at any time
	// since stallStart.
	stallStart, stallGraceEnd clock.Time
	laggingUntil              clock.Time // until then the loop may not have read disconnects of clients that are in its sockets
	pendingEvents             []routing.Event
	decisions                 []routing.Decision
	batchQueued               bool // a batch is scheduled on the loop

	timers  timers
	sockets socketWatch
	tasks   taskQueue

	requests            map[routing.RequestID]*pendingRequest
	recent              *recentids.Set       // requests that may have run
	held                clientmemory.Budget  // memory held for clients
	nextMemoryLog       clock.Time           // until then, logHeldMemory logs nothing
	requestMemory       clientmemory.Account // of requests that are not finished
	bufferBytes         int                  // of the buffers of one large value
	pauseBytes          int                  // unread input of a client above which it is paused while it has to wait
	readBuffer          []byte               // for one read from a paused client
	answerBuffer        []byte               // for one answer of a server that is read ahead
	spareBuffer         []byte               // of the answer that is being handled; the reply may take it over
	words               [][]byte             // of the command that is being processed; the slice is reused
	inputWaiters        int                  // clients with an incomplete command that wait for memory
	checksInputWaiters  bool                 // it is time to look whether there is memory for them
	turnQueue           []*client            // clients that get another turn
	turnsScheduled      bool
	turnClient          *client              // the client whose turn it is
	turnOutput          []byte               // written to it during its turn
	clients             map[*client]struct{} // all open clients on the loop
	polledClients       map[*client]struct{} // see pollClient
	pendingResumes      int                  // paused clients on their way back to the loop
	clientPollScheduled bool

	deliveryCheckScheduled bool // see scheduleDeliveryCheck

	largeReads          map[*largeRead]struct{}  // large values being streamed to clients
	largeWrites         map[*largeWrite]struct{} // large writes whose clients are off the loop
	detachedClients     int                      // open clients that are off the loop
	requestingClients   int                      // clients that have sent a request
	stalledClients      []*client                // clients whose commands wait for room
	queueLimits         [limitTargetCount]targetLimit
	waitingRequests     [limitTargetCount]waitingRequests
	unbatchedRequests   int // admitted since the last batch
	waitingAttempts     int // of all servers, that wait for a connection
	servers             map[routing.ServerID]*server
	cacheCodec          wire.ServerCodec // protocol spoken to cache servers
	originCodec         wire.ServerCodec
	dialFunc            func(addr string, p connHandler, failed func(error)) // dialAsync, except in tests
	sendFunc            func(c *client, data []byte) (sent int, err error)   // sendNonblocking, except in tests
	pendingDials        int
	serverConnCount     int        // open connections to servers
	duplicateGuardUntil clock.Time // until then a used server connection rests before it is reused; see mayReuse
	dialQueue           []*server  // servers with attempts that wait for a dial
	connCount           int        // open connections of all kinds
	endpoints           *discovery.EndpointList
	watch               *watch
	discoveryMove       *discoveryMove           // the last one; nil: there was none since the start
	initialEndpoints    routing.EndpointsUpdated // the endpoint list to start with
	hasUsableServer     bool                     // an endpoint list with at least one usable server has arrived
	learned             *learnedState            // nil: nothing is kept across restarts
	external            externalQueue            // requests of front ends off the loop
	operator            operatorControl          // what operators have requested
	takeover            takeover                 // handover from the previous process and to the next
	fleet               fleetLimits
	onServing           func(bool)

	done                              chan struct{} // closed when the loop is about to end or has ended
	draining, closingClients, stopped bool
	rejectsRequests                   bool       // see startRejecting
	inputEnds, lingeringEnded         bool       // see endInput, endLingering
	endingClient                      *client    // whose connection ends next
	focusBuffer                       []byte     // for one read from it
	shutdownDeadline                  clock.Time // every admitted request is answered by then; 0: no shutdown is in progress
	writeBuffer                       []byte
	anomalies                         anomalyLog
}

// connHandler handles the loop's callbacks for one connection; it is stored as the connection's gnet context.
type connHandler interface {
	onOpen(gnet.Conn)
	onTraffic() gnet.Action
	onClose(endOfStream bool) // endOfStream: the peer closed the stream without a reset, and everything it sent has been read
}

// New returns a router that is not running yet.
func New(cfg config.Config, log *logrus.Logger) (*Router, error) {
	r := &Router{cfg: cfg, limits: cfg.Limits, log: log, startTime: time.Now(), ready: make(chan struct{}), done: make(chan struct{}),
		methods: map[string]routing.Method{}, requests: map[routing.RequestID]*pendingRequest{},
		clients: map[*client]struct{}{}, largeReads: map[*largeRead]struct{}{}, largeWrites: map[*largeWrite]struct{}{},
		servers: map[routing.ServerID]*server{}, endpoints: discovery.New(), cacheCodec: resp2.ServerCodec{Bounds: cfg.Limits.RESP},
		originCodec: http1.Codec{Bounds: cfg.Limits.Origin}}
	r.initQueueLimits()
	r.external.openByClient = map[string]int{}
	r.requestMemory, r.takeover.frameMemory = r.held.NewAccount(), r.held.NewAccount()
	r.takeover.adopting = make(chan struct{}, maxPendingAdoptions)
	r.recent = recentids.New(int(cfg.Limits.MemoryBytes / recentIDsDivisor))
	r.held.SetLimits(r.memoryLimits())
	r.sizeBuffers()
	r.operator.announcedBans = map[routing.ServerID]bool{}
	r.counts.OutcomesByMethod = make([][3]int, len(cfg.Settings.Methods))
	r.polledClients, r.sendFunc = map[*client]struct{}{}, sendNonblocking
	r.dialFunc, r.startWallClock = r.dialAsync, clock.Time(r.startTime.UnixMicro())
	r.sinceStart = func() time.Duration { return time.Since(r.startTime) }
	r.sharedClockOffset = monotonicTime() - r.clock()
	for i, m := range cfg.Settings.Methods {
		r.methods[m.Name] = routing.Method(i)
	}
	if len(cfg.SavedEndpoints) > 0 {
		var err error
		if r.initialEndpoints, err = r.endpoints.ApplySaved(cfg.SavedEndpoints); err != nil {
			return nil, &configerror.Error{File: cfg.File, Field: "known", Problem: err.Error(),
				Remedy: "give a list in discovery's form, or leave it out", Cause: err}
		}
	}
	return r, nil
}

// Run serves until the router has drained or cannot continue. It starts to listen last, after everything else is
// set up.
func (r *Router) Run() error {
	// A gnet client has a loop but no listener; gnet's own listeners cannot be closed before their loop ends.
	loop, err := gnet.NewClient(r, gnet.WithLogger(r.log), gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(r.limits.ReadChunk), gnet.WithWriteBufferCap(r.limits.ClientOutput)) // up to this size gnet uses a single ring buffer
	if err != nil {
		return err
	}
	if err = loop.Start(); err != nil {
		return err
	}
	anchor, err := net.Dial("udp", discardAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("opening a UDP socket to %s for the event loop: %w; check that the loopback device is up",
			discardAddr, err), loop.Stop())
	}
	if err = r.listen(); err != nil {
		anchor.Close()
		return errors.Join(err, loop.Stop())
	}
	defer r.takeover.listener.Close()
	if _, err = loop.EnrollContext(anchor, &loopAnchor{r}); err != nil {
		return errors.Join(err, loop.Stop())
	}
	if waker, err := newWakerConn(); err != nil {
		r.log.WithError(err).Warn("event loop: no waker")
	} else if _, err = loop.EnrollContext(waker, &loopWaker{r: r}); err != nil {
		r.log.WithError(err).Warn("event loop: no waker")
	}
	<-r.done
	return loop.Stop()
}

// discardAddr is the address of the loop's first connection, which carries no data: gnet starts its loop only with
// a connection. Some environments allow no sockets but TCP and UDP over IPv4; a Unix socket pair made every router
// fail at start there. The UDP socket is connected, so it accepts no datagrams from other senders.
const discardAddr = "127.0.0.1:9"

// loopAnchor handles the connection to discardAddr, which stays open as long as the loop.
type loopAnchor struct{ r *Router }

func (a *loopAnchor) onOpen(c gnet.Conn)   { a.r.startLoop(c.EventLoop()) }
func (*loopAnchor) onTraffic() gnet.Action { return gnet.None }
func (a *loopAnchor) onClose(bool) {
	if !a.r.stopped {
		a.r.stopped = true
		close(a.r.done)
	}
}

// clock returns the time in microseconds since 1970. It never goes back.
func (r *Router) clock() clock.Time {
	return r.startWallClock + clock.Time(r.sinceStart()/time.Microsecond)
}

func toDuration(t clock.Time) time.Duration { return time.Duration(t) * time.Microsecond }

func (r *Router) startLoop(loop gnet.EventLoop) {
	r.loop = loop
	r.batchTime = r.clock()
	r.timers.init(r)
	var decisions []routing.Decision
	r.core, decisions = routing.New(r.batchTime, r.cfg.Settings, r.cfg.Seed)
	r.applyDecisions(decisions)
	r.expireFleetLimits() // a router that needs permission to admit requests starts without it
	r.applyDecisions(r.decisions)
	r.restoreLearned()
	r.applyFirstEndpoints()
	r.startWatch()
	r.after(r.limits.IdleSweepInterval, r.sweepConnections)
	r.operator.closingClients = r.operator.state.Drain // a drain carried over from the previous process
	r.publishPeriodically()
	if r.operator.store != nil {
		go r.followOperatorState()
	}
	r.adjustMemoryLimits()
	if t := &r.takeover; t.predecessor != nil {
		go r.followPredecessor(t.predecessor)
		r.after(r.limits.TakeoverListTimeout, r.startAccepting) // discovery may be unreachable
	} else {
		r.startAccepting()
	}
	close(r.ready)
	r.log.WithFields(logrus.Fields{"name": r.cfg.Name, "listen": r.cfg.Listen}).Info("serving")
}

// OnOpen handles a connection that was accepted or enrolled.
func (r *Router) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	r.connCount++
	if p, ok := c.Context().(connHandler); ok {
		p.onOpen(c)
	}
	return nil, gnet.None
}

// OnTraffic passes readable input to the connection's handler.
func (r *Router) OnTraffic(c gnet.Conn) gnet.Action {
	r.noteSocketRead()
	r.tasks.runningSince = 0
	if r.timers.isDue(r.clock()) {
		r.queueBatch() // the alarm may be late: its goroutine needs a core, too
	}
	if p, ok := c.Context().(connHandler); ok {
		return p.onTraffic()
	}
	return gnet.Close
}

// OnClose passes a closed connection to its handler. gnet reports a reset as an error of a read or write, an end
// of stream that was read as io.EOF within an os.SyscallError, a hang-up as a bare io.EOF, and a close from this
// side as no error; only the end of stream that was read counts as an orderly end.
func (r *Router) OnClose(c gnet.Conn, err error) gnet.Action {
	r.connCount--
	if p, ok := c.Context().(connHandler); ok {
		var readErr *os.SyscallError
		p.onClose(errors.As(err, &readErr) && readErr.Err == io.EOF)
		c.SetContext(nil)
	}
	return gnet.None
}

func (r *Router) closeConn(c gnet.Conn) {
	if err := r.loop.Close(c); err != nil {
		r.log.WithError(err).Warn("closing a connection failed")
	}
}

// Reload applies the settings that may change while serving: the address of discovery.
func (r *Router) Reload(discovery string) {
	<-r.ready
	r.runAsync(func() {
		r.counts.ConfigReloads++
		r.log.WithField("discovery", discovery).Info("configuration read again")
		r.discoveryMove = &discoveryMove{Address: discovery, At: r.sharedTime()}
		r.restartWatch(discovery)
		r.publishOperatorState()
	})
}

// CountRejectedReload counts a new configuration that was rejected.
func (r *Router) CountRejectedReload() {
	<-r.ready
	r.runAsync(func() { r.counts.RejectedReloads++ })
}

// LogCounters logs the counters.
func (r *Router) LogCounters() {
	<-r.ready
	r.runAsync(func() { r.log.Info(r.Counters()) })
}

// Counters returns all counters on one line. It must be called on the loop until Run has returned.
func (r *Router) Counters() string {
	allocated := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}, {Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(allocated)
	return fmt.Sprintf("%v limited=%d client-open=%d conns=%d dialing=%d reqs=%d held-bytes=%d held(%v) held-peak(%v) allocs=%d alloc-bytes=%d", r.counts,
		r.limitedRequests(), len(r.clients), r.connCount, r.pendingDials, len(r.requests), r.requestMemory.Total(), r.held.Usage(), r.held.Peak(), allocated[0].Value.Uint64(), allocated[1].Value.Uint64())
}
