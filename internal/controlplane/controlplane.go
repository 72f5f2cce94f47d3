// Package controlplane keeps a router to the policy of its fleet: each router holds what the keepers have decided (package
// policycommit), and some routers are keepers, which decide it in a log that hashicorp/raft replicates. Asking and answering go by
// the words of the fleet (package gossip). Nothing here is ever waited for by the router's loop.
//
// The files: this one the router's side and the leader's; log.go the replicated log; door.go what operators ask.
package controlplane

import (
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/policy"
)

// Config is how a router takes part.
type Config struct {
	Name    string
	Serves  bool     // it goes on under what it has where it cannot reach the keepers
	Keepers []string // names of routers
	Log     LogConfig
	Own     routing.Settings
	Site    string
	Sites   []string // all that the settings have; none: they tell nothing of them
	Refused func(field, what, remedy string) error
}

// keeps tells whether this router is a keeper.
func (c Config) keeps() bool { return slices.Contains(c.Keepers, c.Name) }

// Router is the router that is kept to the policy. All may be called from any goroutine, but the loop's.
type Router interface {
	// SetPolicy has it decide by other settings, with these cache servers out. It is in force once it returns nil.
	SetPolicy(s routing.Settings, out []string) error
	// MayTake has it take new requests until a time: zero for ever, one that is past not at all.
	MayTake(until time.Time)
	// SetExtra adds to its part of what all may send together, until a time.
	SetExtra(part float64, until time.Time)
	// Transfer leaves something to the process that is to replace this one; Inherit has that come to a function.
	Transfer(what func() []byte)
	Inherit(func([]byte))
	// SitePlan has it keep to what the fleet does about a lost site, until a time, and tells its load of late. It is in
	// force once the error is nil.
	SitePlan(p routing.FailoverOrders, until time.Time) (routing.RouterLoad, error)
}

// Keeper is a router's side. Close ends it.
type Keeper struct {
	cfg    Config
	router Router
	fleet  fleet.Transport
	log    *logrus.Logger
	start  time.Time
	build  string

	mu       sync.Mutex
	follower *policycommit.Follower
	leader   *policycommit.Leader // nil: this one does not lead
	raftLog  *log                 // nil: this one is no keeper, or not yet
	asks     []ask
	wants    map[policycommit.Token][]waiting   // who waits for a verdict
	calls    map[uint64]chan policycommit.Reply // of operators, at this router
	entering map[policycommit.Name]clock.Time
	inForce  policycommit.Revision // that the loop decides by
	extra    float64               // as last granted
	cannot   string                // why it cannot hold what is in force
	sites    sites

	kick  chan struct{}
	stop  chan struct{}
	ended sync.WaitGroup
}

type ask struct {
	policycommit.Renewal
	from fleet.Incarnation
}

type waiting struct {
	from fleet.Incarnation
	id   uint64
}

func (k *Keeper) micros() clock.Time {
	return clock.Time(time.Since(k.start) / time.Microsecond)
}

// Open begins to hold the fleet's policy, and to keep it where this router is a keeper.
func Open(cfg Config, process fleet.Incarnation, build string, router Router, transport fleet.Transport, logger *logrus.Logger) (*Keeper, error) {
	k := &Keeper{cfg: cfg, router: router, fleet: transport, log: logger, start: time.Now(), build: build, wants: map[policycommit.Token][]waiting{}, calls: map[uint64]chan policycommit.Reply{},
		entering: map[policycommit.Name]clock.Time{}, kick: make(chan struct{}, 1), stop: make(chan struct{})}
	k.follower = policycommit.NewFollower(policycommit.DefaultRules(), policycommit.Name(cfg.Name), policycommit.Process(process), cfg.Serves, build, k.check)
	if cfg.keeps() {
		raftLog, err := openLog(cfg.Log, cfg.Name, logger)
		if err != nil {
			return nil, cfg.Refused("policy.dir", err.Error(), "give the keeper a folder of its own that it can write, and an address that nobody listens on")
		}
		k.raftLog = raftLog
	}
	router.MayTake(time.Unix(0, 1)) // not before it is told what is in force
	router.Inherit(k.inherit)
	transport.OnMessage(k.heard)
	k.ended.Go(k.run)
	k.ended.Go(k.tendSites)
	if k.raftLog != nil {
		k.ended.Go(k.resume)
		k.ended.Go(func() {
			for {
				k.lead(k.raftLog)
				select {
				case <-k.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return k, nil
}

// rules are those by which this leader waits: nothing is in hand for longer than the longest deadline.
func (k *Keeper) rules() policycommit.Rules {
	r := policycommit.DefaultRules()
	for _, m := range k.cfg.Own.Methods {
		r.Rest = max(r.Rest, clock.Time(m.Deadline)+1e6)
	}
	return r
}

// check tells whether this router could hold a document.
func (k *Keeper) check(doc string) error {
	_, _, _, err := k.settings(doc)
	return err
}

func (k *Keeper) settings(doc string) (s routing.Settings, out []string, plan sitefailover.Plan, err error) {
	if doc == "" { // revision 0: its own
		return k.cfg.Own, nil, plan, nil
	}
	d, err := policy.Parse(doc)
	if err != nil {
		return k.cfg.Own, nil, plan, err
	}
	if plan, err = d.Plan(k.cfg.Own, k.cfg.Sites); err != nil {
		return k.cfg.Own, nil, plan, err
	}
	s, err = d.Settings(k.cfg.Own)
	return s, d.Out, plan, err
}

func (k *Keeper) run() {
	left := time.Time{}
	for t := time.NewTicker(20 * time.Millisecond); ; {
		k.step()
		if now := time.Now(); now.Sub(left) > 80*time.Millisecond {
			left = now
			k.router.Transfer(k.leaseTransfer)
		}
		select {
		case <-k.stop:
			t.Stop()
			return
		case <-k.kick:
		case <-t.C:
		}
	}
}

// what one router's keeper tells another's.
type said struct {
	Renewal *policycommit.Renewal `json:"r,omitempty"`
	Grant   *policycommit.Lease   `json:"g,omitempty"`
	Request *policycommit.Request `json:"q,omitempty"`
	Reply   *policycommit.Reply   `json:"a,omitempty"`
	Welcome string                `json:"w,omitempty"` // to a keeper whose folder may vote: its number

	Report *sitefailover.Report `json:"s,omitempty"` // with a renewal
	Orders *sitefailover.Orders `json:"o,omitempty"` // with a grant
}

func (k *Keeper) tell(to fleet.Incarnation, s said) {
	body, _ := json.Marshal(s) // plain fields: it cannot fail
	k.fleet.Send(to, body)
}

// heard takes in what another keeper or router says; it must not wait.
func (k *Keeper) heard(from fleet.Incarnation, body []byte) {
	var s said
	if json.Unmarshal(body, &s) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case s.Renewal != nil:
		const most = 10000 // of a fleet of thousands
		if k.leader != nil && len(k.asks) < most {
			k.asks = append(k.asks, ask{*s.Renewal, from})
			k.reported(s.Renewal.Name, s.Report)
		}
	case s.Grant != nil:
		k.granted(*s.Grant)
		k.ordered(s.Orders)
	case s.Request != nil:
		go k.serve(from, *s.Request)
	case s.Reply != nil:
		k.replied(*s.Reply)
	case s.Welcome != "":
		go k.welcomed(s.Welcome)
	}
}

// granted is called with the lock held.
func (k *Keeper) granted(g policycommit.Lease) {
	adopt, news := k.follower.Granted(k.micros(), g)
	if g.Process == policycommit.Process(k.fleet.Self()) {
		k.extra = g.Extra
		k.router.SetExtra(g.Extra, k.start.Add(time.Duration(g.At+g.For)*time.Microsecond))
	}
	if adopt {
		revision, doc, _ := k.follower.Held()
		go k.adopt(revision, doc)
	}
	if adopt || news {
		k.wake()
	}
}

// wake has the next look come at once.
func (k *Keeper) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// lease transfer is what the process that replaces this one may take by until it can ask the leader itself: its address is this
// one's until then. The clock is one that both share.
func (k *Keeper) leaseTransfer() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.follower.Transfer(k.micros())
	if !ok || k.cannot != "" || k.inForce != b.Revision {
		return nil
	}
	b.For += clock.Time(fleet.Monotonic())
	text, _ := json.Marshal(b) // plain fields: it cannot fail
	return text
}

func (k *Keeper) inherit(text []byte) {
	var b policycommit.LeaseTransfer
	if json.Unmarshal(text, &b) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	b.For -= clock.Time(fleet.Monotonic())
	if k.follower.Inherit(k.micros(), b) {
		go k.adopt(b.Revision, b.Doc)
	}
	k.wake()
}

// adopt puts a revision into force. Until it is, the router takes nothing.
func (k *Keeper) adopt(revision policycommit.Revision, doc string) {
	k.router.MayTake(time.Unix(0, 1))
	s, out, plan, err := k.settings(doc)
	if err == nil {
		for err = k.router.SetPolicy(s, out); err != nil; err = k.router.SetPolicy(s, out) {
			select {
			case <-k.stop:
				return
			case <-time.After(50 * time.Millisecond): // the loop is busy
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now, _, _ := k.follower.Held(); now != revision {
		return // overtaken
	}
	if k.cannot = ""; err != nil {
		k.cannot = err.Error()
		k.log.WithError(err).WithField("revision", uint64(revision)).Error("policy: this build cannot hold it; taking no clients")
		return
	}
	k.inForce, k.sites.plan = revision, plan
	k.wake() // it takes requests again at once: by the next look ten milliseconds of the fleet were lost in each change
	k.fleet.SetPolicyRevision(uint64(revision))
	k.log.WithFields(logrus.Fields{"revision": uint64(revision), "mono_us": fleet.Monotonic()}).Info("policy: in force")
}

func (k *Keeper) step() {
	k.mu.Lock()
	now := k.micros()
	renewal, due := k.follower.Ask(now)
	renewal.Site = k.cfg.Site
	report := k.sites.report
	until := k.follower.AcceptsUntil(now)
	revision, _, knows := k.follower.Held()
	able := knows && k.cannot == "" && k.inForce == revision
	k.mu.Unlock()

	switch {
	case !able:
		k.router.MayTake(time.Unix(0, 1))
	case until == 0:
		k.router.MayTake(time.Time{})
	default:
		k.router.MayTake(k.start.Add(time.Duration(until) * time.Microsecond))
	}
	if due {
		for _, leader := range k.fleet.Leaders() {
			k.tell(leader, said{Renewal: &renewal, Report: report})
		}
	}
	if k.raftLog != nil {
		number, last, member := k.raftLog.last()
		k.fleet.SetVoter(fleet.VoterStatus{VoterID: number, Addr: k.cfg.Log.Advertise.String(), Voter: member, LastIndex: last})
	}
}

// lead is the leader's part.
func (k *Keeper) lead(raftLog *log) {
	leads := raftLog.leads()
	k.mu.Lock()
	if leads != (k.leader != nil) {
		if k.leader = nil; leads {
			k.leader = policycommit.NewLeader(k.micros(), k.rules(), k.cfg.Own.Routers)
			// What an earlier time as leader left is old.
			s := &k.sites
			s.coordinator, s.reports, s.given, s.stepped = sitefailover.NewCoordinator(clock.Time(k.micros())), nil, nil, -leadEach
		}
		k.asks = nil
		k.fleet.SetLeader(leads)
		k.log.WithField("leads", leads).Info("policy: leading the keepers")
	}
	leader, asks := k.leader, k.asks
	k.asks = nil
	k.mu.Unlock()
	if leader == nil {
		return
	}
	raftLog.tend(k.fleet, k.cfg.Keepers, k.welcome)
	k.leadSites(raftLog) // before the first grant: one without orders would have all go by themselves for a moment
	// What has been asked before a majority confirms this leader may be answered; what comes meanwhile waits.
	if len(asks) > 0 && raftLog.confirmed() {
		k.mu.Lock()
		now, b := k.micros(), raftLog.now()
		for _, a := range asks {
			g, ok, enter := leader.Answer(now, b, a.Renewal)
			if ok {
				k.tell(a.from, said{Grant: &g, Orders: k.sites.given})
			}
			if enter != nil && now-k.entering[enter.Name] > 200e3 {
				k.entering[enter.Name] = now
				go raftLog.put(*enter) // asked for again until it is there
			}
		}
		k.mu.Unlock()
	}
	b := raftLog.now()
	k.mu.Lock()
	entry := leader.Resolve(k.micros(), b)
	k.mu.Unlock()
	if entry != nil {
		raftLog.put(*entry)
	}
	k.mu.Lock()
	entry = leader.Lend(k.micros(), b)
	k.mu.Unlock()
	if entry != nil {
		k.log.WithFields(logrus.Fields{"what": string(entry.Kind), "router": string(entry.Name)}).Warn("policy: a lost router's part")
		raftLog.put(*entry)
	}
	for token, v := range raftLog.verdicts() {
		k.mu.Lock()
		waits := k.wants[token]
		delete(k.wants, token)
		k.mu.Unlock()
		for _, w := range waits {
			k.tell(w.from, said{Reply: &policycommit.Reply{ID: w.id, Verdict: &v}})
		}
	}
}

// Close says that this router takes nothing more, unless another process goes on for it, and ends its side.
func (k *Keeper) Close(handed bool) {
	k.mu.Lock()
	bye := k.follower.Leave(k.micros())
	bye.Site = k.cfg.Site
	k.mu.Unlock()
	// Where another goes on for it the router stays on the roster, and is waited for until the next process asks.
	for n := 0; n < 2 && !handed; n++ { // a lost one is as a crash: the leader finds that its grant has run out
		for _, leader := range k.fleet.Leaders() {
			k.tell(leader, said{Renewal: &bye})
		}
		time.Sleep(60 * time.Millisecond)
	}
	close(k.stop)
	if k.raftLog != nil {
		k.raftLog.close() // what waits for a majority ends with it
	}
	k.ended.Wait()
}

var errNoLeader = errors.New("no leader of the keepers can be reached; nothing was changed, or it is not known: ask again with the same token")

// Policy is what is held here, as JSON, without asking anybody.
func (k *Keeper) Policy() (string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.micros()
	revision, _, knows := k.follower.Held()
	until := k.follower.AcceptsUntil(now)
	w := Held{Revision: revision, InForce: k.inForce, Known: knows, Cannot: k.cannot, Prepared: k.follower.Prepared(), CutOff: "refuse",
		Extra: k.extra, Keeper: k.cfg.keeps(), Leads: k.leader != nil}
	if k.cfg.Serves {
		w.CutOff = "serve"
	}
	w.Takes = knows && k.cannot == "" && k.inForce == revision && (until == 0 || until > now) // as step has it
	if k.raftLog != nil {
		w.Folder = k.raftLog.state()
	}
	if o := k.sites.orders; k.sites.came != 0 && now < k.sites.came+ordersLast && !o.Empty() {
		w.Orders = &o
	}
	text, err := json.MarshalIndent(w, "", " ")
	return string(text) + "\n", err
}

// Held is what a router holds.
type Held struct {
	Revision policycommit.Revision `json:"revision"`
	InForce  policycommit.Revision `json:"in_force"`
	Known    bool                  `json:"known"`
	Takes    bool                  `json:"may_take"`
	Cannot   string                `json:"cannot,omitempty"`
	Prepared policycommit.Token    `json:"prepared,omitempty"`
	CutOff   string                `json:"cut_off"`
	Keeper   bool                  `json:"keeper"`
	Leads    bool                  `json:"leads"`
	Extra    float64               `json:"extra"` // of what all may send together, of lost routers
	Folder   string                `json:"folder,omitempty"`

	Orders *sitefailover.Orders `json:"orders,omitempty"` // about sites, from the leader
}
