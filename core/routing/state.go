package routing

import "spurtrestle/core/clock"

// The state of a router, grouped by how long it lives. It is plain data.

// ---- State of one attempt ----

type attempt struct {
	server *server
	nth    Attempt
	sent   clock.Time
}

// A ghost is an attempt that timed out but may still hold its place at the server.
type ghost struct {
	sent, until clock.Time
}

// ---- State of one request ----

type request struct {
	id     RequestID
	method *method
	key    Key
	hash   uint64 // of the key, or of the id where there is none; for a very hot key that of the group drawn
	write  bool
	worth  float64    // criticality, lowered where its tenant is over its share
	seq    int        // order of arrival
	aim    clock.Time // an answer by then earns all
	final  clock.Time // an answer after this earns nothing

	attempts []*attempt // at most two, the second a copy
	sent     Attempt    // attempts so far
	most     Attempt    // and at most
	failed   []*server
	missed   bool       // a cache said miss: the origin is next
	toOrigin bool       // only the origin can take it now
	copyAt   clock.Time // when a copy may join its attempt; 0: never
	retrying bool       // the next attempt is a retry and pays for it
	pause    clock.Time // no attempt before then
	maybeRan clock.Time // when the first attempt that may have run was sent; 0: none
	ranAt    *server    // and where
	drawn    int        // place in its group drawn for a hot key; -1: none yet
	target   *server    // the cache it goes to or waits for
	admitted bool       // not among those rejected since the caches answer too little
	spoke    bool       // answered, or a cache said something to it
	short    bool       // it came with less than half of its latency budget left
	held     bool
	settled  bool // nothing more to do in this pass
	rank     Rank
	shed     bool // the fleet refuses what has its rank
	done     bool
}

// ---- State of one cache server, or of the origin ----

type server struct {
	Endpoint
	origin   bool
	size     float64 // as listed; 1 where lists tell none
	inFlight int
	ahead    int        // requests held for it, so far as the pass over the held ones has come
	ended    clock.Time // when an attempt to it last ended
	heard    clock.Time // when it last answered, or was first asked again after a rest
	ghosts   []ghost
	lost     int        // points for failures in a row
	aside    clock.Time // set aside until then; 0: in use
	unheard  bool       // connections failed: it may come back as a new, cold process
	recalled bool       // its times are from before a restart
	coldFrom clock.Time // when it was seen to come back
	coldRun  clock.Time // the start that the budget is for
	coldLeft float64    // attempts that it may have now while cold
	coldAt   clock.Time // when that was reckoned
	rate     decayed    // answers a second
	used     decayed    // attempts a second, over longer
	gauge               // of the time of its answers
	reported []sample   // service times, for Algorithm 2
	writes   float64    // own, since the last recompute
	reads    float64
	fixed    load // what the shares are made from until the next recompute
}

// way is what is known of the way to the caches of one zone.
type way struct {
	silent int        // of them in a row that said nothing, with no word from any other
	last   *server    // the last of these
	rest   clock.Time // nothing goes there until then; 0: in use
}

type load struct {
	time          clock.Time
	writes, reads float64
}

// ---- State of the instance ----

type method struct {
	effect    Idempotency
	group     DeduplicationScope
	window    clock.Time
	aim       clock.Time
	yields    clock.Time // the tightest latency budget of the methods worth as much or more
	worth     float64    // against the highest criticality of all methods
	lateEarns bool
	time      clock.Time // smoothed time of a cache's answer
}

type tenant struct {
	share float64
	rate  decayed
}

// Router decides for one instance.
type Router struct {
	methods    []method
	tenants    map[Tenant]*tenant
	overWorth  float64
	aside      bool
	sized      bool
	originKind Kind
	figures    []Figure
	ask        bool
	tick       clock.Time
	originGoal clock.Time // what an answer of a busy origin should take at most
	part       float64    // of what all routers may send together
	connect    clock.Time // a connection that has not come up by then never will; 0: not known
	coldShare  float64
	coldSpan   clock.Time
	coldTimes  float64 // multiple of a cold server's present capacity that the routers may ask
	fallSpan   clock.Time
	mayCancel  bool
	mayCopy    bool
	copyAfter  float64 // a read has a copy once it is out for so many usual answers
	keep       float64 // an idle connection is kept to a server used this many times as much as the mean
	patience   float64 // part of the wait allowed that a request of no worth may use
	maxSends   Attempt
	maxHint    clock.Time // 0: no hints here

	dice
	began, now  clock.Time
	decided     []Decision
	rules       []rule
	servers     map[ServerID]*server
	ways        map[Zone]way                 // to those zones from which the last word was none
	barred      map[ServerID]bool            // taken out by an operator, listed or not
	before      map[ServerID]ServerKnowledge // from before a restart, until the list names them
	all         []*server                    // in the list, sorted by id
	caches      []*server                    // ready, sorted by id: the table is built from these
	out         []*server                    // caches of zones that the fleet has out
	origin      *server
	table       map[uint32][groupCount]uint32 // of the slots asked for since the list changed: places in caches
	group       []*server                     // what groupOf last returned
	seen        gauge                         // of the answers of all caches together
	hits        decayed                       // answers of caches a second, misses aside
	requests    map[RequestID]*request
	held        []*request // writes first, then by worth, then by age
	watched     []*request // one attempt each, in the order of their times for a copy
	fetches     map[Key]*request
	hot         keyCounts // of reads, bounded and aged
	traffic     decayed
	asked       decayed // requests for caches that ended, a second
	answered    decayed // and answers of caches
	planned     FailoverOrders
	fetchLeft   float64    // reads that may go to the origin now, where the fleet has a bound on them
	fetchAt     clock.Time // when that was reckoned
	tally       tally
	used        decayed // attempts a second to all servers
	noise       decayed // and those that told against a server
	arrived     int
	retries     float64 // the retry budget
	recomputeAt clock.Time
	wakeAt      clock.Time
	askAt       clock.Time
	askWait     clock.Time
	endBy       clock.Time // of the process
}

// wake asks for a look at that time at the latest.
func (r *Router) wake(at clock.Time) {
	if r.wakeAt <= r.now || at < r.wakeAt {
		r.wakeAt = max(at, r.now+1)
		r.decided = append(r.decided, Decision{Action: SetTimer, After: r.wakeAt - r.now, Timer: 1})
	}
}

// subscribe asks for the list.
func (r *Router) subscribe() {
	r.askAt = 0
	r.decided = append(r.decided, Decision{Action: Subscribe})
}
