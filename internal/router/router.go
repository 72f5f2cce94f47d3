// Package router is the router on sockets: one gnet loop that owns all state. It gathers what came in, hands it to
// package routing in one go, and carries out what came back. It decides nothing about requests itself.
//
// The files: this one the loop's callbacks; batch.go the hand-over to the decisions; requests.go the requests and their
// attempts, whatever protocol they came by; clients.go, servers.go (pools and dials) and watch.go the kinds of
// connections; timers.go the timers; memory.go what outlives the process; drain.go the end.
package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/metrics"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/config"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/http1"
	"spurtrestle/internal/wire/resp2"
)

// Router is one router. All its state belongs to the loop; only Drain, Reload and Print may be called from elsewhere.
type Router struct {
	gnet.BuiltinEventEngine
	cfg    config.Config
	lim    config.Limits
	log    *logrus.Logger
	counts counters.Counters

	start time.Time
	began clock.Time // the wall clock at the start; the time is that and what has passed by the monotonic clock
	// sinceStart reads the monotonic clock. Tests of the loop without sockets put a counter in its place.
	sinceStart func() time.Duration
	loop       gnet.EventLoop
	ready      chan struct{} // closed once loop is set

	core    *routing.Router
	methods map[string]routing.Method
	now     clock.Time // of the batch at hand
	// After the loop stood still since stoodFrom, until stoodUntil, what is read may have come at any time since then.
	stoodFrom, stoodUntil clock.Time
	behindUntil           clock.Time // until then the ends of clients may lie unread
	inputs                []routing.Event
	decided               []routing.Decision
	queued                bool // a batch is on its way

	timers timers

	requests  map[routing.RequestID]*request
	held      int                  // bytes of all requests
	buffered  int                  // bytes that the clients' connections hold, or more
	clients   map[*client]struct{} // all that are open
	passing   map[*long]struct{}   // big values under way to clients
	away      int                  // more that are off the loop
	askers    int                  // those of them that have sent a request
	stalled   []*client            // clients whose commands wait for room
	servers   map[routing.ServerID]*server
	cache     wire.ServerCodec // how cache servers are spoken to, and the origin
	origin    wire.ServerCodec
	dialer    func(addr string, p peer, failed func(error)) // dialOff, but in tests
	dials     int
	upstreams int // open connections to servers
	waryUntil clock.Time
	starved   []*server // with attempts that wait for a dial
	conns     int       // open connections of all kinds
	book      *discovery.EndpointList
	watch     *watch
	known     routing.EndpointsUpdated // the list to start with
	serving   bool                     // a list with a server to use has come
	memory    *memory                  // nil: nothing is kept over a restart
	offers    offers                   // from fronts off the loop
	ops       ops                      // of operators
	takeover  takeover                 // from the process before, and by the next
	place     place
	onServing func(bool)

	ended                      chan struct{} // the loop is to end, or has
	draining, closing, stopped bool
	endBy                      clock.Time // all that is taken is answered by then; 0: no end is in sight
	scratch                    []byte
}

// peer is one connection's side of the loop: gnet's context of it.
type peer interface {
	opened(gnet.Conn)
	traffic() gnet.Action
	closed(ended bool) // ended: by the other side, in order, and all that it sent has been read
}

// New returns a router that is not running yet.
func New(cfg config.Config, log *logrus.Logger) (*Router, error) {
	r := &Router{cfg: cfg, lim: cfg.Limits, log: log, start: time.Now(), ready: make(chan struct{}), ended: make(chan struct{}),
		methods: map[string]routing.Method{}, requests: map[routing.RequestID]*request{}, clients: map[*client]struct{}{}, passing: map[*long]struct{}{},
		servers: map[routing.ServerID]*server{}, book: discovery.New(), cache: resp2.ServerCodec{Bounds: cfg.Limits.RESP},
		origin: http1.Codec{Bounds: cfg.Limits.Origin}}
	r.ops.barred = map[routing.ServerID]bool{}
	r.counts.Ended = make([][3]int, len(cfg.Settings.Methods))
	r.dialer, r.began = r.dialOff, clock.Time(r.start.UnixMicro())
	r.sinceStart = func() time.Duration { return time.Since(r.start) }
	for i, m := range cfg.Settings.Methods {
		r.methods[m.Name] = routing.Method(i)
	}
	if len(cfg.SavedEndpoints) > 0 {
		var err error
		if r.known, err = r.book.ApplySaved(cfg.SavedEndpoints); err != nil {
			return nil, &configerror.Error{File: cfg.File, Field: "known", Problem: err.Error(),
				Remedy: "give a list in discovery's form, or leave it out", Cause: err}
		}
	}
	return r, nil
}

// Run serves until it is drained or cannot go on. It listens once it has all else that it needs.
func (r *Router) Run() error {
	// A client engine has a loop and no listener: gnet's own listeners cannot be stopped before their loop is.
	loop, err := gnet.NewClient(r, gnet.WithLogger(r.log), gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(r.lim.ReadChunk), gnet.WithWriteBufferCap(r.lim.ClientOutput)) // up to there gnet keeps to one ring buffer
	if err != nil {
		return err
	}
	if err = loop.Start(); err != nil {
		return err
	}
	nobody, err := net.Dial("udp", noPeer)
	if err != nil {
		return errors.Join(fmt.Errorf("a UDP socket to %s, for the loop: %w; see that the loopback device is up", noPeer, err), loop.Stop())
	}
	if err = r.listen(); err != nil {
		nobody.Close()
		return errors.Join(err, loop.Stop())
	}
	defer r.takeover.ln.Close()
	if _, err = loop.EnrollContext(nobody, &heart{r}); err != nil {
		return errors.Join(err, loop.Stop())
	}
	<-r.ended
	return loop.Stop()
}

// noPeer is whom the loop's first connection is to: the port that discards, and nothing is sent there. gnet gives its loop
// with a connection only. A UDP socket, since there may be no others than TCP and UDP over IPv4: a Unix pair ended every
// router at its start where that was so. Connected, it takes nobody else's datagrams.
const noPeer = "127.0.0.1:9"

// heart is the connection to nobody; it ends with the loop.
type heart struct{ r *Router }

func (h *heart) opened(c gnet.Conn)   { h.r.begin(c.EventLoop()) }
func (h *heart) traffic() gnet.Action { return gnet.None }
func (h *heart) closed(bool) {
	if !h.r.stopped {
		h.r.stopped = true
		close(h.r.ended)
	}
}

// clock is the time in microseconds since 1970. It never goes back.
func (r *Router) clock() clock.Time {
	return r.began + clock.Time(r.sinceStart()/time.Microsecond)
}

func span(t clock.Time) time.Duration { return time.Duration(t) * time.Microsecond }

func (r *Router) begin(loop gnet.EventLoop) {
	r.loop = loop
	r.now = r.clock()
	r.timers.init(r)
	var decided []routing.Decision
	r.core, decided = routing.New(r.now, r.cfg.Settings, r.cfg.Seed)
	r.carryOut(decided)
	r.lapse() // a router that has to be told first what it may take begins with nothing
	r.carryOut(r.decided)
	r.remind()
	if len(r.cfg.SavedEndpoints) > 0 {
		r.listCame(r.known)
	}
	r.rewatch(r.cfg.Discovery)
	r.after(r.lim.IdleSweepInterval, r.sweep)
	r.ops.emptied = r.ops.wanted.Drain // as asked of the process before
	r.tell()
	if r.ops.store != nil {
		go r.follow()
	}
	if t := &r.takeover; t.old != nil {
		r.shareMemory()
		go r.followOld(t.old)
		r.after(r.lim.TakeoverListTimeout, r.takeClients) // discovery may be down
	} else {
		r.takeClients()
	}
	close(r.ready)
	r.log.WithFields(logrus.Fields{"name": r.cfg.Name, "listen": r.cfg.Listen}).Info("serving")
}

// OnOpen takes a connection that was accepted or enrolled.
func (r *Router) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	r.conns++
	if p, ok := c.Context().(peer); ok {
		p.opened(c)
	}
	return nil, gnet.None
}

// OnTraffic passes on that bytes came.
func (r *Router) OnTraffic(c gnet.Conn) gnet.Action {
	if p, ok := c.Context().(peer); ok {
		return p.traffic()
	}
	return gnet.Close
}

// OnClose passes on that a connection is no more. Only an end that was read is one in order: gnet tells a reset as the error of
// a read or a write, a hang-up as io.EOF of its own, and what is closed here as no error.
func (r *Router) OnClose(c gnet.Conn, err error) gnet.Action {
	r.conns--
	if p, ok := c.Context().(peer); ok {
		var read *os.SyscallError
		p.closed(errors.As(err, &read) && read.Err == io.EOF)
		c.SetContext(nil)
	}
	return gnet.None
}

func (r *Router) close(c gnet.Conn) {
	if err := r.loop.Close(c); err != nil {
		r.log.WithError(err).Warn("closing a connection")
	}
}

// execute runs f on the loop, from any goroutine.
func (r *Router) execute(f func()) {
	err := r.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
	select {
	case <-r.ended: // a timer, or a call to discovery, may still come in
	default:
		if err != nil {
			r.log.WithError(err).Warn("the loop takes no more work")
		}
	}
}

// Reload takes over what may change in service: where discovery is.
func (r *Router) Reload(discovery string) {
	<-r.ready
	r.execute(func() {
		r.counts.Reloaded++
		r.log.WithField("discovery", discovery).Info("configuration read again")
		r.rewatch(discovery)
	})
}

// NotLoaded counts a new configuration that was refused.
func (r *Router) NotLoaded() {
	<-r.ready
	r.execute(func() { r.counts.NotLoaded++ })
}

// Print logs the counters.
func (r *Router) Print() {
	<-r.ready
	r.execute(func() { r.log.Info(r.Counters()) })
}

// Counters is a line of all counts. It belongs to the loop until Run is over.
func (r *Router) Counters() string {
	allocated := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}, {Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(allocated)
	return fmt.Sprintf("%v client-open=%d conns=%d dialing=%d reqs=%d held-bytes=%d allocs=%d alloc-bytes=%d", r.counts,
		len(r.clients), r.conns, r.dials, len(r.requests), r.held, allocated[0].Value.Uint64(), allocated[1].Value.Uint64())
}
