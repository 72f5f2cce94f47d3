// Package origin simulates the slow, shared store behind the cache servers of a lab run. It speaks HTTP/1.1 as specified,
// executes its work on the model of package machine, and records each attempt and effect in the event log. Package fleet
// runs it. Origin.mu guards its state; net/http handles each attempt on its own goroutine.
package origin

import (
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/machine"
	"spurtrestle/internal/lab/scenario"
)

// UID is the origin's name in discovery.
const UID event.Server = "origin"

// Config is the origin's view of the run. The functions are called on the goroutines of the attempts.
type Config struct {
	Log          *event.Log
	Settings     scenario.Origin
	Methods      map[string]scenario.Method
	OnRead       func(req event.RequestID, key string) // called when a read is done, to fill the servers that missed
	OnWrite      func(key string)                      // called when a write is done, to invalidate all copies
	IsColdMiss   func(req event.RequestID) bool        // reports whether the miss was at a cold server
	Deduplicator *cacheserver.Deduplicator
}

// Origin is the store.
type Origin struct {
	config *Config
	addrs  []string

	mu             sync.Mutex
	machine        *machine.Machine
	rand           *rand.Rand
	timer          *time.Timer
	jobs           map[*machine.Job]chan struct{}
	down           bool
	partitioned    map[event.Router]bool // routers that cannot reach it
	recentWork     float64               // decaying sum of offered work, and of the part for misses at cold servers
	recentColdWork float64
	recentWorkAt   event.Micros
	duplicates     *duplicates
	servers        []*http.Server
	wg             sync.WaitGroup
}

type connKey struct{}

// Start starts an origin that listens on one address for each router. Call Close to end it.
func Start(f *Config, addrs []string, seed uint64) (*Origin, error) {
	o := &Origin{config: f, addrs: addrs, rand: rand.New(rand.NewPCG(seed, 8)), jobs: map[*machine.Job]chan struct{}{},
		duplicates: &duplicates{rand: rand.New(rand.NewPCG(seed, 9))}}
	o.resetMachine()
	o.timer = time.AfterFunc(time.Hour, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.advance()
	})
	for i, addr := range addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			o.Close()
			return nil, fmt.Errorf("origin: %w", err)
		}
		r := event.Router(i)
		srv := &http.Server{Handler: o, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				f.Log.Add(event.Event{Kind: event.ConnectionAccepted, Server: UID, Router: r})
				return context.WithValue(ctx, connKey{}, c)
			},
			ConnState: func(c net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					c.(*conn).finishResponse()
				}
			}}
		o.servers = append(o.servers, srv)
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			_ = srv.Serve(listener{ln, r, f.Log, o.duplicates}) // ends with Close
		}()
	}
	f.Log.Add(event.Event{Kind: event.ServerUp, Server: UID, Router: event.NoRouter})
	return o, nil
}

// Addr returns the address at which a router reaches the origin.
func (o *Origin) Addr(r event.Router) string { return o.addrs[r] }

// Close ends the origin immediately and returns when its listeners have ended.
func (o *Origin) Close() {
	for _, s := range o.servers {
		s.Close()
	}
	if o.timer != nil {
		o.timer.Stop()
	}
	o.wg.Wait()
}

// resetMachine replaces the machine by an idle one.
func (o *Origin) resetMachine() {
	s := o.config.Settings
	o.machine = machine.New(machine.Settings{Cores: s.Cores, QueueLimit: s.Queue, ColdCapacityShare: 1,
		CollapseMultiple: s.CollapseMultiple, CollapseWindow: s.CollapseWindow.Micros(), CollapseWhenWarm: true}, o.config.Log.Now(), true)
}

// advance completes jobs that are due and sets the timer for the next one. The caller holds o.mu.
func (o *Origin) advance() {
	for _, j := range o.machine.Completed(o.config.Log.Now()) {
		if done := o.jobs[j]; done != nil {
			delete(o.jobs, j)
			close(done)
		}
	}
	if next, ok := o.machine.NextCompletion(); ok {
		o.timer.Reset(max(0, next-o.config.Log.Now()).Duration())
	}
}

// ApplyFault begins a fault of the scenario, or ends it.
func (o *Origin) ApplyFault(f scenario.Fault, end bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case f.Kind == "origin_slow" && end:
		o.machine.SetSlowdown(1)
	case f.Kind == "origin_slow":
		o.machine.SetSlowdown(f.Factor)
	case f.Kind == "origin_duplicate" && end:
		o.duplicates.setShare(0)
	case f.Kind == "origin_duplicate":
		o.duplicates.setShare(f.Share)
	case f.Kind == "origin_stop":
		o.machine.SetFrozen(o.config.Log.Now(), !end)
	}
	o.advance()
}

// Partition makes the origin unreachable from the given routers and reachable from all others. Their connections are still
// accepted but never answered, since net/http cannot be made to stop accepting.
func (o *Origin) Partition(from map[event.Router]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partitioned = from
}

func (o *Origin) isPartitioned(r event.Router) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.partitioned[r]
}

// recordWork updates the sums of recent work, from which collapse computes the share of misses at cold servers.
func (o *Origin) recordWork(now event.Micros, work float64, cold bool) {
	decay := math.Exp(-float64(now-o.recentWorkAt) / float64(max(1, o.config.Settings.CollapseWindow)))
	o.recentWork, o.recentColdWork, o.recentWorkAt = o.recentWork*decay+work, o.recentColdWork*decay, now
	if cold {
		o.recentColdWork += work
	}
}

// collapse stops the origin after an overload. It answers no attempt for the configured downtime, then starts with an empty
// queue.
func (o *Origin) collapse(now event.Micros) {
	if o.down {
		return
	}
	o.down = true
	o.config.Log.AddAt(event.Event{At: now, Kind: event.OriginCollapsed, Server: UID, Router: event.NoRouter,
		Limit: event.Micros(1000 * o.recentColdWork / max(1, o.recentWork))})
	time.AfterFunc(o.config.Settings.Downtime.Micros().Duration(), func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.down = false
		o.resetMachine()
	})
}

// attempt is one attempt of a router that has been read completely.
type attempt struct {
	id       event.RequestID
	router   event.Router
	key      string
	props    cacheserver.Props
	method   scenario.Method
	write    bool
	bodySize int
}

// ServeHTTP handles one attempt.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	router := conn.router
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	since := conn.finishRequest()
	if err != nil {
		return // the connection ended before the attempt was complete
	}
	if o.isPartitioned(router) {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/health/live" || r.URL.Path == "/stats" {
		return
	}
	a, ok := o.parseAttempt(r, router, len(body))
	if !ok {
		o.config.Log.Add(event.Event{Kind: event.ProtocolViolation, Server: UID, Router: router, Note: "a request no client sent"})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := o.config.Log.Now()
	o.config.Log.AddAt(event.Event{At: now, Kind: event.AttemptReceived, Request: a.id, Server: UID, Router: router, Since: since, Write: a.write,
		DeadlineSent: a.props.DeadlineSent})
	job, done, accepted, down := o.submit(now, a)
	if !accepted && down {
		<-r.Context().Done() // no answer while it is down
		o.recordEnd(a, event.ConnectionLost)
		return
	}
	if !accepted {
		o.recordEnd(a, event.Refused)
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	o.answer(r.Context(), w, a, job, done)
}

// parseAttempt returns the attempt of a request; ok is false if the request is malformed.
func (o *Origin) parseAttempt(r *http.Request, router event.Router, bodySize int) (a attempt, ok bool) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/"))
	a = attempt{id: event.RequestID(r.Header.Get("X-Trace-Id")), router: router, key: key, props: cacheserver.ParseProps(r.Header.Get("X-Props")),
		write: r.Method == http.MethodPut, bodySize: bodySize}
	method, known := o.config.Methods[a.props.Method]
	a.method = method
	return a, !(err != nil || a.id == "" || a.key == "" || !known || !a.write && r.Method != http.MethodGet)
}

// recordEnd records the end of an attempt.
func (o *Origin) recordEnd(a attempt, reply event.Reply) {
	o.config.Log.Add(event.Event{Kind: event.AttemptEnded, Request: a.id, Server: UID, Router: a.router, Reply: reply})
}

// submit queues the work of an attempt on the machine. done is closed when the work is done. accepted is false if the queue is
// full or the origin is down.
func (o *Origin) submit(now event.Micros, a attempt) (job *machine.Job, done chan struct{}, accepted, down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	work := float64(o.config.Settings.Work) * o.rand.ExpFloat64()
	o.recordWork(now, work, !a.write && o.config.IsColdMiss(a.id))
	job, done = &machine.Job{Work: max(1, event.Micros(work))}, make(chan struct{})
	accepted = !o.down && o.machine.Submit(now, job)
	if o.machine.Collapsed() {
		o.collapse(now)
	}
	if accepted {
		o.jobs[job] = done
		o.advance()
	}
	return job, done, accepted, o.down
}

// answer waits for the work of an attempt and answers it.
func (o *Origin) answer(ctx context.Context, w http.ResponseWriter, a attempt, job *machine.Job, done chan struct{}) {
	lost := false
	select {
	case <-done:
	case <-ctx.Done():
		lost = true
		o.recordEnd(a, event.ConnectionLost) // recorded before waiting for the mutex
		if !a.write {                        // a read is canceled, a write continues
			o.cancel(job)
			return
		}
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			return
		}
	}
	o.apply(a)
	if lost {
		return
	}
	if o.isPartitioned(a.router) {
		<-ctx.Done()
		o.recordEnd(a, event.ConnectionLost)
		return
	}
	value := cacheserver.MakeValue(a.id, UID, max(a.props.Size, a.bodySize/8))
	w.Header().Set("Content-Length", fmt.Sprint(len(value)))
	o.recordEnd(a, event.Value)
	_, _ = w.Write(value) // an error means that the router has gone
}

// cancel cancels the work of a job.
func (o *Origin) cancel(job *machine.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine.Cancel(o.config.Log.Now(), job) {
		delete(o.jobs, job)
	}
	o.advance()
}

// apply runs the effect of an attempt whose work is done.
func (o *Origin) apply(a attempt) {
	if a.write {
		if a.method.Effect != "deduplicated" || !o.config.Deduplicator.IsRepeat("", a.id, o.config.Log.Now(), a.method.Window.Micros()) {
			o.config.Log.Add(event.Event{Kind: event.EffectExecuted, Request: a.id, Server: UID, Router: a.router})
		}
		o.config.OnWrite(a.key)
	} else {
		o.config.OnRead(a.id, a.key)
	}
}
