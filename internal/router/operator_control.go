package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/admin"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
	"spurtrestle/internal/operatorstate"
)

// operatorControl holds what operators have requested, and the statistics they read. The admin endpoint's
// goroutines use the exported methods below.
type operatorControl struct {
	announcedBans  map[routing.ServerID]bool // what package routing was last notified of, by server
	mu             sync.Mutex                // serializes changes; never held by the loop
	store          *operatorstate.Store
	latestState    operatorstate.State   // what operators have requested; guarded by mu
	issuedVersion  uint64                // version of latestState, for the loop; guarded by mu
	appliedVersion uint64                // version of the state that the loop has applied; belongs to the loop
	state          operatorstate.State   // the state in force; belongs to the loop
	stats          atomic.Pointer[stats] // latest copy for the admin endpoint
	statsAt        clock.Time
	notPersisted   atomic.Bool // the file does not contain the latest state
	closingClients bool        // client connections are being closed because an operator requested a drain
}

// stats is a copy of the loop's figures, so that readers need not wait for the loop.
type stats struct {
	outcomes                    [][3]int // by method: succeeded, declined, aborted
	forwards, openRequests      int
	listedCaches, avoidedCaches int
	held                        clientmemory.Usage
	reloads, rejectedReloads    int
	notReady                    error // why the router accepts no clients; nil: it does
	draining, idle              bool  // draining: an operator drains it or it shuts down; idle: no client has anything pending
}

var (
	errNoEndpoints = errors.New("not ready: no list of servers yet")
	errDraining    = errors.New("not ready: draining, as operators asked")
	errHandedOver  = errors.New("not ready: another process has taken over")
	errStalePolicy = errors.New("not ready: it cannot prove that its policy is current")
	errStopping    = errors.New("not ready: the process is ending")
	errBusy        = errors.New("the router did not come to it in time; ask again")
)

// UseOperatorStore applies the operator state in store, now and whenever it changes. Call it before Run.
func (r *Router) UseOperatorStore(store *operatorstate.Store) {
	r.operator.store = store
	state, err := store.Load()
	if err != nil {
		r.log.WithError(err).Warn("going on without it")
	}
	// The predecessor may know a newer state than the file.
	if frame := r.takeover.operatorFrame; frame != nil && (err != nil || frame.NotPersisted || store.Stale()) {
		state = frame.State
		store.MarkStale()
		r.operator.notPersisted.Store(true)
	}
	// Without a predecessor, the drain was meant for a process that is gone.
	state.Drain = state.Drain && r.takeover.predecessor != nil
	r.operator.latestState, r.operator.state = state, state
}

// followOperatorState applies changes that operators have made through another process of this router.
func (r *Router) followOperatorState() {
	const pollInterval = 50 * time.Millisecond
	for {
		select {
		case <-r.done:
			return
		case <-time.After(pollInterval):
		}
		r.operator.mu.Lock()
		if r.operator.store.Changed() {
			if state, err := r.operator.store.Load(); err != nil {
				r.log.WithError(err).Warn("operator state cannot be read; keeping the last one")
			} else {
				r.runAsync(r.issueOperatorState(state))
			}
		}
		r.operator.mu.Unlock()
	}
}

// awaitOnLoop runs f on the loop and waits for it as runOnLoop does. Unlike there, f still runs after errBusy: it
// applies a change that has been persisted, which therefore has to come into force.
func (r *Router) awaitOnLoop(f func()) error {
	done := make(chan struct{})
	r.runAsync(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-r.done:
		return errStopping
	case <-time.After(toDuration(r.limits.AdminCallTimeout)):
		return errBusy
	}
}

// issueOperatorState makes a state the latest and returns the function by which the loop applies it. That does
// nothing if the loop has applied a later state, since the loop's queue does not keep the order of its entries
// when it is long. r.operator.mu must be held.
func (r *Router) issueOperatorState(state operatorstate.State) func() {
	r.operator.latestState = state
	r.operator.issuedVersion++
	version := r.operator.issuedVersion
	return func() {
		if version > r.operator.appliedVersion {
			r.operator.appliedVersion = version
			r.applyOperatorState(state)
		}
	}
}

// changeOperatorState applies an operator's change: it is persisted, then put into force, then confirmed.
func (r *Router) changeOperatorState(change func(*operatorstate.State) error) error {
	<-r.ready
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	state, err := r.operator.store.Update(r.operator.latestState, change)
	var persistErr *operatorstate.PersistError
	if errors.As(err, &persistErr) {
		r.log.WithError(err).Warn("what an operator asked holds in this process alone")
	} else if err != nil {
		return err
	}
	r.operator.notPersisted.Store(persistErr != nil)
	apply := r.issueOperatorState(state)
	return r.awaitOnLoop(func() {
		apply()
		r.publishOperatorState()
	})
}

// publishOperatorState sends the state in force to the other processes of this router.
func (r *Router) publishOperatorState() {
	for _, conn := range []*handover.Conn{r.takeover.predecessor, r.takeover.successor} {
		if conn != nil {
			r.sendOperatorState(conn)
		}
	}
}

func (r *Router) sendOperatorState(conn *handover.Conn) {
	// The fields are plain: Marshal cannot fail.
	text, _ := json.Marshal(operatorFrame{
		State:             r.operator.state,
		NotPersisted:      r.operator.notPersisted.Load(),
		NoSharesGranted:   r.fleet.noSharesGranted,
		ReplacedDiscovery: r.replacedDiscovery(),
		DiscoveryMove:     r.discoveryMove,
	})
	conn.Publish(handover.OperatorState, func() []byte { return text })
}

// receiveOperatorState applies a state that another process has published. If that state is in the file, the file
// is read instead: it has the changes of both processes in order, while the frame may have crossed a change made
// here.
func (r *Router) receiveOperatorState(f handover.Frame) {
	var received operatorFrame
	if json.Unmarshal(f.Body, &received) != nil {
		return
	}
	r.runAsync(func() { r.followDiscovery(received.DiscoveryMove) })
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	state := received.State
	if received.NotPersisted {
		r.operator.store.MarkStale()
	} else if stored, err := r.operator.store.Load(); err == nil && !r.operator.store.Stale() {
		state = stored
	}
	r.operator.notPersisted.Store(received.NotPersisted)
	r.runAsync(r.issueOperatorState(state))
}

// BanServer stops sending requests to a cache server until it is unbanned.
func (r *Router) BanServer(uid string) error {
	return r.changeOperatorState(func(state *operatorstate.State) error {
		if !state.IsBanned(uid) && !r.knowsCacheServer(uid) {
			return admin.ErrUnknownServer
		}
		return state.Ban(uid)
	})
}

// UnbanServer uses a cache server again.
func (r *Router) UnbanServer(uid string) error {
	return r.changeOperatorState(func(state *operatorstate.State) error {
		if !state.IsBanned(uid) && !r.knowsCacheServer(uid) {
			return admin.ErrUnknownServer
		}
		state.Unban(uid, time.UnixMicro(int64(r.clock())))
		return nil
	})
}

// SetDraining closes the clients' connections, each once it has nothing pending, or accepts clients again.
func (r *Router) SetDraining(on bool) error {
	return r.changeOperatorState(func(state *operatorstate.State) error {
		state.Drain = on
		return nil
	})
}

// knowsCacheServer reports whether there is a cache server of this name.
func (r *Router) knowsCacheServer(uid string) (known bool) {
	err := r.runOnLoop(func() {
		id, named := r.endpoints.ID(discovery.UID(uid))
		s := r.servers[id]
		known = named && s != nil && !s.isOrigin
	})
	return known && err == nil
}

// applyOperatorState puts a state into force.
func (r *Router) applyOperatorState(state operatorstate.State) {
	previous := r.operator.state
	r.operator.state = state
	for _, s := range r.servers {
		uid := string(r.endpoints.UID(s.id))
		if banned := state.IsBanned(uid); banned != previous.IsBanned(uid) && !r.fleet.policyBans[uid] {
			r.log.WithFields(map[string]any{"server": uid, "out": banned}).Info("as operators asked")
			r.setBanned(s, banned, clock.Time(state.UnbannedAt[uid]))
		}
	}
	if state.Drain != previous.Drain {
		r.log.WithField("draining", state.Drain).Info("as operators asked")
		r.operator.closingClients = false
		r.notifyServing(!state.Drain && r.hasUsableServer && !r.draining)
		if state.Drain {
			r.after(r.limits.DrainAcceptPeriod, func() { r.operator.closingClients = r.operator.state.Drain })
		}
	}
	r.runBatch() // in force, and in the statistics, before the change is confirmed
	r.publishStats()
}

// setBanned notifies package routing that a server is banned, or in use again since a time.
func (r *Router) setBanned(s *server, banned bool, since clock.Time) {
	if banned {
		since = 0
	}
	if s.banned = banned; !banned && since == 0 && !r.operator.announcedBans[s.id] {
		return // the usual case, a server that was never banned: package routing assumes that
	}
	r.operator.announcedBans[s.id] = banned
	r.addEvent(routing.BanChanged{Server: s.id, Banned: banned, Since: since})
	if s.ready = s.listed && !banned; !s.ready {
		r.stopUsing(s)
	}
}

// publishStats updates the statistics for the admin endpoint.
func (r *Router) publishStats() {
	counts := &r.counts
	r.logHeldMemory()
	snapshot := &stats{outcomes: append([][3]int(nil), counts.OutcomesByMethod...), forwards: counts.ForwardedAttempts,
		reloads: counts.ConfigReloads, rejectedReloads: counts.RejectedReloads,
		openRequests: counts.Requests - counts.Served - counts.Rejected - counts.Failed - counts.Abandoned,
		held:         r.held.Usage(),
		notReady:     r.readinessError(), draining: r.draining || r.operator.state.Drain}
	snapshot.idle = (r.operator.closingClients || r.closingClients) && len(r.clients) == 0 && len(r.requests) == 0 &&
		r.detachedClients == 0 && r.external.openRequests == 0
	if r.core != nil {
		snapshot.listedCaches, snapshot.avoidedCaches = r.core.CountCaches()
	}
	r.operator.stats.Store(snapshot)
	r.operator.statsAt = r.clock()
}

func (r *Router) readinessError() error {
	switch {
	case r.draining:
		return errStopping
	case r.fleet.outOfService != "":
		return errors.New("not ready: " + r.fleet.outOfService)
	case r.fleet.admissionClosed:
		return errStalePolicy
	case r.operator.state.Drain && r.takeover.predecessor == nil: // while the predecessor is alive, being ready means that it may be ended
		return errDraining
	case r.takeover.handingOver:
		return errHandedOver
	case !r.hasUsableServer || !r.takeover.accepting:
		return errNoEndpoints
	}
	return nil
}

// Ready returns why the router accepts no clients, or nil if it does.
func (r *Router) Ready() error {
	if snapshot := r.operator.stats.Load(); snapshot != nil {
		return snapshot.notReady
	}
	return errNoEndpoints
}

// Metrics returns the metrics as statsd lines.
func (r *Router) Metrics() string {
	snapshot := r.operator.stats.Load()
	if snapshot == nil {
		snapshot = &stats{outcomes: make([][3]int, len(r.cfg.Settings.Methods))}
	}
	var out strings.Builder
	line := func(name string, value int, kind string) {
		out.WriteString("router." + name + ":" + strconv.Itoa(value) + "|" + kind + "\n")
	}
	for i, m := range r.cfg.Settings.Methods {
		for outcome, name := range [3]string{"succeeded", "declined", "aborted"} {
			line(fmt.Sprintf("%s.%s", name, m.Name), snapshot.outcomes[i][outcome], "c")
		}
	}
	line("forwards", snapshot.forwards, "c")
	line("outstanding", snapshot.openRequests, "g")
	line("discovered", snapshot.listedCaches, "g")
	line("ejected", snapshot.avoidedCaches, "g")
	for _, kind := range clientmemory.Kinds() {
		line("held."+kind.String(), snapshot.held[kind], "g")
	}
	line("sighup_applied", snapshot.reloads, "c")
	line("sighup_rejected", snapshot.rejectedReloads, "c")
	return out.String()
}
