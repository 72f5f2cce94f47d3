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

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/admin"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
	"spurtrestle/internal/operatorstate"
)

// ops is what operators see and ask for. The admin endpoint's goroutines come by the exported methods below.
type operatorControl struct {
	announcedBans  map[routing.ServerID]bool // what the decisions were told last, of those that they were told of
	mu             sync.Mutex                // one change at a time; never held by the loop
	store          *operatorstate.Store
	latestState    operatorstate.State   // what operators have requested; guarded by mu
	issuedVersion  uint64                // number of latest, for the loop; guarded by mu
	appliedVersion uint64                // number of the state that the loop has taken over; the loop's
	state          operatorstate.State   // the loop's own
	stats          atomic.Pointer[stats] // what the loop last left for the admin endpoint
	statsAt        clock.Time
	notPersisted   atomic.Bool // the file does not have what is wanted
	closingClients bool        // clients' connections are being ended since an operator asked for it
}

// figures are a copy that the loop leaves, so that nobody waits for it.
type stats struct {
	outcomes                    [][3]int // by method: succeeded, declined, aborted
	forwards, openRequests      int
	listedCaches, avoidedCaches int
	reloads, rejectedReloads    int
	notReady                    error // that it takes no clients; nil: it does
	draining, idle              bool  // operators drain it or it ends; nothing of any client is in hand
}

var (
	errNoEndpoints = errors.New("not ready: no list of servers yet")
	errDraining    = errors.New("not ready: draining, as operators asked")
	errHandedOver  = errors.New("not ready: another process has taken over")
	errStalePolicy = errors.New("not ready: it cannot prove that its policy is current")
	errStopping    = errors.New("not ready: the process is ending")
	errBusy        = errors.New("the router did not come to it in time; ask again")
)

// Operate has the router keep to what is asked of it by operators, now and by the file. Call it before Run.
func (r *Router) UseOperatorStore(store *operatorstate.Store) {
	r.operator.store = store
	state, err := store.Load()
	if err != nil {
		r.log.WithError(err).Warn("going on without it")
	}
	if a := r.takeover.operatorFrame; a != nil && (err != nil || a.NotPersisted || store.Stale()) { // the process before this one knows
		state = a.State
		store.MarkStale()
		r.operator.notPersisted.Store(true)
	}
	state.Drain = state.Drain && r.takeover.predecessor != nil // else of a process that is gone
	r.operator.latestState, r.operator.state = state, state
}

// follow takes over what another process of this router has been asked.
func (r *Router) followOperatorState() {
	const every = 50 * time.Millisecond
	for {
		select {
		case <-r.done:
			return
		case <-time.After(every):
		}
		r.operator.mu.Lock()
		if r.operator.store.Changed() {
			if state, err := r.operator.store.Load(); err != nil {
				r.log.WithError(err).Warn("what operators asked is kept as it was")
			} else {
				r.runAsync(r.issueOperatorState(state))
			}
		}
		r.operator.mu.Unlock()
	}
}

// awaitOnLoop runs f on the loop and waits for it as runOnLoop does. After errBusy it still runs, late: for what is persisted by
// then, and so has to come into force.
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

// newState makes a state the latest and returns what the loop has to do for it: nothing once it has obeyed a later one, since
// the loop's queue does not keep the order of its entries when it is long. r.ops.mu must be held.
func (r *Router) issueOperatorState(state operatorstate.State) func() {
	r.operator.latestState = state
	r.operator.issuedVersion++
	number := r.operator.issuedVersion
	return func() {
		if number > r.operator.appliedVersion {
			r.operator.appliedVersion = number
			r.applyOperatorState(state)
		}
	}
}

// change is what an operator asks: kept first, then in force, then the yes.
func (r *Router) changeOperatorState(f func(*operatorstate.State) error) error {
	<-r.ready
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	state, err := r.operator.store.Update(r.operator.latestState, f)
	var unkept *operatorstate.PersistError
	if errors.As(err, &unkept) {
		r.log.WithError(err).Warn("what an operator asked holds in this process alone")
	} else if err != nil {
		return err
	}
	r.operator.notPersisted.Store(unkept != nil)
	obey := r.issueOperatorState(state)
	return r.awaitOnLoop(func() {
		obey()
		r.publishOperatorState()
	})
}

// publishOperatorState sends what is wanted to the other processes of this router.
func (r *Router) publishOperatorState() {
	for _, conn := range []*handover.Conn{r.takeover.predecessor, r.takeover.successor} {
		if conn != nil {
			r.sendOperatorState(conn)
		}
	}
}

func (r *Router) sendOperatorState(conn *handover.Conn) {
	text, _ := json.Marshal(operatorFrame{r.operator.state, r.operator.notPersisted.Load(), r.fleet.noSharesGranted}) // plain fields: it cannot fail
	conn.Publish(handover.OperatorState, func() []byte { return text })
}

// receiveOperatorState takes over what another process has published. Where that is in the file, the file is read: it has the
// changes of both processes in their order, and the other's frame may have crossed a change of this one.
func (r *Router) receiveOperatorState(f handover.Frame) {
	var a operatorFrame
	if json.Unmarshal(f.Body, &a) != nil {
		return
	}
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	state := a.State
	if a.NotPersisted {
		r.operator.store.MarkStale()
	} else if stored, err := r.operator.store.Load(); err == nil && !r.operator.store.Stale() {
		state = stored
	}
	r.operator.notPersisted.Store(a.NotPersisted)
	r.runAsync(r.issueOperatorState(state))
}

// BanServer sends nothing new to a cache server until it is given back.
func (r *Router) BanServer(uid string) error {
	return r.changeOperatorState(func(i *operatorstate.State) error {
		if !i.IsBanned(uid) && !r.knowsCacheServer(uid) {
			return admin.ErrUnknownServer
		}
		return i.Ban(uid)
	})
}

// UnbanServer uses a cache server again.
func (r *Router) UnbanServer(uid string) error {
	return r.changeOperatorState(func(i *operatorstate.State) error {
		if !i.IsBanned(uid) && !r.knowsCacheServer(uid) {
			return admin.ErrUnknownServer
		}
		i.Unban(uid, time.UnixMicro(int64(r.clock())))
		return nil
	})
}

// SetDraining ends the clients' connections, each once nothing of it is in hand, or takes clients again.
func (r *Router) SetDraining(on bool) error {
	return r.changeOperatorState(func(i *operatorstate.State) error {
		i.Drain = on
		return nil
	})
}

// has tells whether a cache server of this name is known.
func (r *Router) knowsCacheServer(uid string) (known bool) {
	err := r.runOnLoop(func() {
		id, named := r.endpoints.ID(discovery.UID(uid))
		s := r.servers[id]
		known = named && s != nil && !s.isOrigin
	})
	return known && err == nil
}

// obey takes over what is wanted.
func (r *Router) applyOperatorState(state operatorstate.State) {
	previous := r.operator.state
	r.operator.state = state
	for _, s := range r.servers {
		uid := string(r.endpoints.UID(s.id))
		if out := state.IsBanned(uid); out != previous.IsBanned(uid) && !r.fleet.policyBans[uid] {
			r.log.WithFields(map[string]any{"server": uid, "out": out}).Info("as operators asked")
			r.setBanned(s, out, clock.Time(state.UnbannedAt[uid]))
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
	r.runBatch() // in force, and in the figures, before the yes
	r.publishStats()
}

// bar tells the decisions that a server is out, or back since then.
func (r *Router) setBanned(s *server, banned bool, since clock.Time) {
	if banned {
		since = 0
	}
	if s.banned = banned; !banned && since == 0 && !r.operator.announcedBans[s.id] {
		return // as nearly all that a list names: the decisions know nothing else
	}
	r.operator.announcedBans[s.id] = banned
	r.addEvent(routing.BanChanged{Server: s.id, Banned: banned, Since: since})
	if s.ready = s.listed && !banned; !s.ready {
		r.stopUsing(s)
	}
}

// publish leaves the figures for the admin endpoint.
func (r *Router) publishStats() {
	counts := &r.counts
	snapshot := &stats{outcomes: append([][3]int(nil), counts.Ended...), forwards: counts.Forwards, reloads: counts.Reloaded, rejectedReloads: counts.NotLoaded,
		openRequests: counts.Taken - counts.Served - counts.Rejected - counts.Failed - counts.Left, notReady: r.readinessError(), draining: r.draining || r.operator.state.Drain}
	snapshot.idle = (r.operator.closingClients || r.closingClients) && len(r.clients) == 0 && len(r.requests) == 0 && r.detachedClients == 0 && r.external.openRequests == 0
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
	case r.operator.state.Drain && r.takeover.predecessor == nil: // while the old process lives yes means that it may be ended
		return errDraining
	case r.takeover.handingOver:
		return errHandedOver
	case !r.hasUsableServer || !r.takeover.accepting:
		return errNoEndpoints
	}
	return nil
}

// Ready tells why the router takes no clients; nil: it does.
func (r *Router) Ready() error {
	if f := r.operator.stats.Load(); f != nil {
		return f.notReady
	}
	return errNoEndpoints
}

// Metrics returns the metrics as statsd lines.
func (r *Router) Metrics() string {
	f := r.operator.stats.Load()
	if f == nil {
		f = &stats{outcomes: make([][3]int, len(r.cfg.Settings.Methods))}
	}
	var out strings.Builder
	line := func(name string, value int, kind string) {
		out.WriteString("router." + name + ":" + strconv.Itoa(value) + "|" + kind + "\n")
	}
	for i, m := range r.cfg.Settings.Methods {
		for outcome, name := range [3]string{"succeeded", "declined", "aborted"} {
			line(fmt.Sprintf("%s.%s", name, m.Name), f.outcomes[i][outcome], "c")
		}
	}
	line("forwards", f.forwards, "c")
	line("outstanding", f.openRequests, "g")
	line("discovered", f.listedCaches, "g")
	line("ejected", f.avoidedCaches, "g")
	line("sighup_applied", f.reloads, "c")
	line("sighup_rejected", f.rejectedReloads, "c")
	return out.String()
}
