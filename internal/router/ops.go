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
type ops struct {
	barred  map[routing.ServerID]bool // what the decisions were told last, of those that they were told of
	mu      sync.Mutex                // one change at a time; never held by the loop
	store   *operatorstate.Store
	latest  operatorstate.State     // what operators have requested; guarded by mu
	issued  uint64                  // number of latest, for the loop; guarded by mu
	obeyed  uint64                  // number of the state that the loop has taken over; the loop's
	wanted  operatorstate.State     // the loop's own
	told    atomic.Pointer[figures] // what the loop last left for the admin endpoint
	toldAt  clock.Time
	unkept  atomic.Bool // the file does not have what is wanted
	emptied bool        // clients' connections are being ended since an operator asked for it
}

// figures are a copy that the loop leaves, so that nobody waits for it.
type figures struct {
	ended               [][3]int // by method: succeeded, declined, aborted
	forwards, open      int
	listed, avoided     int
	reloaded, notLoaded int
	why                 error // that it takes no clients; nil: it does
	draining, empty     bool  // operators drain it or it ends; nothing of any client is in hand
}

var (
	errNoList   = errors.New("not ready: no list of servers yet")
	errEmptying = errors.New("not ready: draining, as operators asked")
	errPassed   = errors.New("not ready: another process has taken over")
	errStale    = errors.New("not ready: it cannot prove that its policy is current")
	errEnding   = errors.New("not ready: the process is ending")
	errBusy     = errors.New("the router did not come to it in time; ask again")
)

// Operate has the router keep to what is asked of it by operators, now and by the file. Call it before Run.
func (r *Router) UseOperatorStore(store *operatorstate.Store) {
	r.ops.store = store
	i, err := store.Load()
	if err != nil {
		r.log.WithError(err).Warn("going on without it")
	}
	if a := r.takeover.asked; a != nil && (err != nil || a.Unkept || store.Stale()) { // the process before this one knows
		i = a.State
		store.MarkStale()
		r.ops.unkept.Store(true)
	}
	i.Drain = i.Drain && r.takeover.old != nil // else of a process that is gone
	r.ops.latest, r.ops.wanted = i, i
}

// follow takes over what another process of this router has been asked.
func (r *Router) follow() {
	const every = 50 * time.Millisecond
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(every):
		}
		r.ops.mu.Lock()
		if r.ops.store.Changed() {
			if i, err := r.ops.store.Load(); err != nil {
				r.log.WithError(err).Warn("what operators asked is kept as it was")
			} else {
				r.execute(r.newState(i))
			}
		}
		r.ops.mu.Unlock()
	}
}

// awaitOnLoop runs f on the loop and waits for it as runOnLoop does. After errBusy it still runs, late: for what is persisted by
// then, and so has to come into force.
func (r *Router) awaitOnLoop(f func()) error {
	done := make(chan struct{})
	r.execute(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-r.ended:
		return errEnding
	case <-time.After(span(r.lim.AdminCallTimeout)):
		return errBusy
	}
}

// newState makes a state the latest and returns what the loop has to do for it: nothing once it has obeyed a later one, since
// the loop's queue does not keep the order of its entries when it is long. r.ops.mu must be held.
func (r *Router) newState(state operatorstate.State) func() {
	r.ops.latest = state
	r.ops.issued++
	number := r.ops.issued
	return func() {
		if number > r.ops.obeyed {
			r.ops.obeyed = number
			r.obey(state)
		}
	}
}

// change is what an operator asks: kept first, then in force, then the yes.
func (r *Router) change(f func(*operatorstate.State) error) error {
	<-r.ready
	r.ops.mu.Lock()
	defer r.ops.mu.Unlock()
	i, err := r.ops.store.Update(r.ops.latest, f)
	var unkept *operatorstate.PersistError
	if errors.As(err, &unkept) {
		r.log.WithError(err).Warn("what an operator asked holds in this process alone")
	} else if err != nil {
		return err
	}
	r.ops.unkept.Store(unkept != nil)
	obey := r.newState(i)
	return r.awaitOnLoop(func() {
		obey()
		r.publishOperatorState()
	})
}

// publishOperatorState sends what is wanted to the other processes of this router.
func (r *Router) publishOperatorState() {
	for _, p := range []*handover.Conn{r.takeover.old, r.takeover.heir} {
		if p != nil {
			r.sendOperatorState(p)
		}
	}
}

func (r *Router) sendOperatorState(p *handover.Conn) {
	text, _ := json.Marshal(asked{r.ops.wanted, r.ops.unkept.Load(), r.place.whole}) // plain fields: it cannot fail
	p.Publish(handover.OperatorState, func() []byte { return text })
}

// receiveOperatorState takes over what another process has published. Where that is in the file, the file is read: it has the
// changes of both processes in their order, and the other's frame may have crossed a change of this one.
func (r *Router) receiveOperatorState(f handover.Frame) {
	var a asked
	if json.Unmarshal(f.Body, &a) != nil {
		return
	}
	r.ops.mu.Lock()
	defer r.ops.mu.Unlock()
	state := a.State
	if a.Unkept {
		r.ops.store.MarkStale()
	} else if stored, err := r.ops.store.Load(); err == nil && !r.ops.store.Stale() {
		state = stored
	}
	r.ops.unkept.Store(a.Unkept)
	r.execute(r.newState(state))
}

// BanServer sends nothing new to a cache server until it is given back.
func (r *Router) BanServer(uid string) error {
	return r.change(func(i *operatorstate.State) error {
		if !i.IsBanned(uid) && !r.has(uid) {
			return admin.ErrUnknownServer
		}
		return i.Ban(uid)
	})
}

// UnbanServer uses a cache server again.
func (r *Router) UnbanServer(uid string) error {
	return r.change(func(i *operatorstate.State) error {
		if !i.IsBanned(uid) && !r.has(uid) {
			return admin.ErrUnknownServer
		}
		i.Unban(uid, time.UnixMicro(int64(r.clock())))
		return nil
	})
}

// SetDraining ends the clients' connections, each once nothing of it is in hand, or takes clients again.
func (r *Router) SetDraining(on bool) error {
	return r.change(func(i *operatorstate.State) error {
		i.Drain = on
		return nil
	})
}

// has tells whether a cache server of this name is known.
func (r *Router) has(uid string) (known bool) {
	err := r.runOnLoop(func() {
		id, named := r.book.ID(discovery.UID(uid))
		s := r.servers[id]
		known = named && s != nil && !s.isOrigin
	})
	return known && err == nil
}

// obey takes over what is wanted.
func (r *Router) obey(i operatorstate.State) {
	was := r.ops.wanted
	r.ops.wanted = i
	for _, s := range r.servers {
		uid := string(r.book.UID(s.id))
		if out := i.IsBanned(uid); out != was.IsBanned(uid) && !r.place.gone[uid] {
			r.log.WithFields(map[string]any{"server": uid, "out": out}).Info("as operators asked")
			r.bar(s, out, clock.Time(i.UnbannedAt[uid]))
		}
	}
	if i.Drain != was.Drain {
		r.log.WithField("draining", i.Drain).Info("as operators asked")
		r.ops.emptied = false
		r.tellServing(!i.Drain && r.serving && !r.draining)
		if i.Drain {
			r.after(r.lim.DrainAcceptPeriod, func() { r.ops.emptied = r.ops.wanted.Drain })
		}
	}
	r.batch() // in force, and in the figures, before the yes
	r.publish()
}

// bar tells the decisions that a server is out, or back since then.
func (r *Router) bar(s *server, out bool, since clock.Time) {
	if out {
		since = 0
	}
	if s.out = out; !out && since == 0 && !r.ops.barred[s.id] {
		return // as nearly all that a list names: the decisions know nothing else
	}
	r.ops.barred[s.id] = out
	r.input(routing.BanChanged{Server: s.id, Banned: out, Since: since})
	if s.ready = s.listed && !out; !s.ready {
		r.dismiss(s)
	}
}

// publish leaves the figures for the admin endpoint.
func (r *Router) publish() {
	c := &r.counts
	f := &figures{ended: append([][3]int(nil), c.Ended...), forwards: c.Forwards, reloaded: c.Reloaded, notLoaded: c.NotLoaded,
		open: c.Taken - c.Served - c.Rejected - c.Failed - c.Left, why: r.notReady(), draining: r.draining || r.ops.wanted.Drain}
	f.empty = (r.ops.emptied || r.closing) && len(r.clients) == 0 && len(r.requests) == 0 && r.away == 0 && r.offers.open == 0
	if r.core != nil {
		f.listed, f.avoided = r.core.CountCaches()
	}
	r.ops.told.Store(f)
	r.ops.toldAt = r.clock()
}

func (r *Router) notReady() error {
	switch {
	case r.draining:
		return errEnding
	case r.place.out != "":
		return errors.New("not ready: " + r.place.out)
	case r.place.shut:
		return errStale
	case r.ops.wanted.Drain && r.takeover.old == nil: // while the old process lives yes means that it may be ended
		return errEmptying
	case r.takeover.handing:
		return errPassed
	case !r.serving || !r.takeover.accepting:
		return errNoList
	}
	return nil
}

// Ready tells why the router takes no clients; nil: it does.
func (r *Router) Ready() error {
	if f := r.ops.told.Load(); f != nil {
		return f.why
	}
	return errNoList
}

// Metrics returns the metrics as statsd lines.
func (r *Router) Metrics() string {
	f := r.ops.told.Load()
	if f == nil {
		f = &figures{ended: make([][3]int, len(r.cfg.Settings.Methods))}
	}
	var out strings.Builder
	line := func(name string, value int, kind string) {
		out.WriteString("router." + name + ":" + strconv.Itoa(value) + "|" + kind + "\n")
	}
	for i, m := range r.cfg.Settings.Methods {
		for outcome, name := range [3]string{"succeeded", "declined", "aborted"} {
			line(fmt.Sprintf("%s.%s", name, m.Name), f.ended[i][outcome], "c")
		}
	}
	line("forwards", f.forwards, "c")
	line("outstanding", f.open, "g")
	line("discovered", f.listed, "g")
	line("ejected", f.avoided, "g")
	line("sighup_applied", f.reloaded, "c")
	line("sighup_rejected", f.notLoaded, "c")
	return out.String()
}
