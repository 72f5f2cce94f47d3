package routing

import (
	"math"

	"spurtrestle/core/clock"
)

const (
	// queueCheckInterval is the interval at which queued requests are checked while no other events arrive.
	queueCheckInterval = 5 * clock.Millisecond
	// trafficWindow is the window of the rates of requests and answers. It is longer than a burst.
	trafficWindow = 5 * clock.Second
	// attemptWindow is the window of the rates of attempts and failures. In a fleet of hundreds, each router sends an average
	// cache a few attempts within it.
	attemptWindow = 20 * clock.Second
	// answerWindow is the window of a server's rate of answers. It covers about a dozen answers of one cache to one router,
	// and is short compared to a fault.
	answerWindow = 1 * clock.Second
)

// onlyTimer identifies the single timer of a router.
const onlyTimer TimerID = 1

// Router makes the decisions of one router process. It is owned by one goroutine, which makes all calls.
type Router struct {
	config     config
	fleetShare float64 // this router's share of the load that all routers may send together
	rules      []rule
	random     random

	startedAt  clock.Time
	now        clock.Time
	shutdownAt clock.Time // answers after it have no value
	timerAt    clock.Time // when the timer fires; not set if in the past
	decisions  []Decision // of the current Step

	requests     requestTable
	endpoints    endpointTable
	zonePaths    map[Zone]zonePath // of the zones whose last attempt brought no response
	cacheLatency latencyEstimate   // over the answers of all caches
	traffic      trafficRates
	origin       originState
	hotKeys      hotKeyState
	admission    admissionState
	budgets      budgets
	failover     FailoverOrders
	restored     map[ServerID]ServerKnowledge // from before a restart, until the endpoint list names the server
	load         loadCounters
}

// trafficRates are rates over all servers.
type trafficRates struct {
	requests decayingRate // that arrived
	hits     decayingRate // answers of caches without misses
	attempts decayingRate
	failures decayingRate // attempts that failed for reasons other than load: the background failure rate
}

// New returns a Router that starts at the given instant, and its first decisions. The seed determines its random draws.
func New(now clock.Time, settings Settings, seed uint64) (*Router, []Decision) {
	r := &Router{
		config:     newConfig(settings),
		fleetShare: 1 / float64(max(1, settings.Routers)),
		rules:      requestRules(),
		random:     random{seed: uint32(mixBits(seed))},
		startedAt:  now,
		now:        now,
		shutdownAt: math.MaxInt64,
		requests:   requestTable{byID: map[RequestID]*request{}, originReads: map[Key]*request{}},
		endpoints: endpointTable{
			servers: map[ServerID]*server{},
			banned:  map[ServerID]bool{},
			groups:  map[uint32][groupSize]uint32{},
		},
		zonePaths: map[Zone]zonePath{},
		hotKeys:   hotKeyState{counts: keyCounts{byKey: map[KeyHash]float64{}, capacity: hotKeyCapacity}},
		admission: admissionState{tenants: map[Tenant]*tenant{}},
		budgets:   budgets{retries: initialRetries},
		restored:  map[ServerID]ServerKnowledge{},
	}
	r.applySettings(settings)
	if r.config.pollEndpoints {
		r.subscribe()
	}
	return r, r.decisions
}

// Step handles one event and returns the resulting decisions, in order. The next call reuses the slice. An instant before that
// of an earlier call is replaced by that one, so that time does not go back.
func (r *Router) Step(now clock.Time, event Event) []Decision {
	r.now = max(now, r.now)
	r.decisions = r.decisions[:0]
	r.updateShareInputs()
	r.handle(event)
	_, isRequest := event.(RequestArrived)
	if !isRequest {
		r.checkQueue()
	}
	if len(r.requests.queued) > 0 {
		r.setTimer(r.now + max(r.config.clockGranularity, queueCheckInterval))
	}
	if r.endpoints.pollAt != 0 {
		r.setTimer(r.endpoints.pollAt)
	}
	return r.decisions
}

// handle passes an event to its handler. Events of unknown types are ignored.
func (r *Router) handle(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		r.requestArrived(e)
	case AttemptEnded:
		r.attemptEnded(e)
	case ClientDisconnected:
		r.clientDisconnected(e)
	case ResponseStarted:
		request := r.requests.byID[e.Request]
		if request != nil {
			r.finish(request)
		}
	case EndpointsUpdated:
		r.endpointsUpdated(e)
	case BanChanged:
		r.banChanged(e)
	case FleetShareChanged:
		r.fleetShare = e.Share
	case FailoverOrders:
		r.failoverOrdered(e)
	case SettingsChanged:
		r.applySettings(e.Settings)
	case ShutdownScheduled:
		r.shutdownScheduled(e)
	case KnowledgeRestored:
		r.restoreKnowledge(e.Knowledge)
	case ServersRestored:
		r.storeRestoredServers(e)
	case TimerFired:
		r.timerFired()
	case HealthChecked: // no decision depends on health checks
	}
}

// shutdownScheduled bounds the deadlines of all requests.
func (r *Router) shutdownScheduled(event ShutdownScheduled) {
	r.shutdownAt = event.Deadline
	for _, request := range r.requests.byID {
		request.deadline = min(request.deadline, event.Deadline)
	}
}

func (r *Router) timerFired() {
	if r.endpoints.pollAt != 0 && r.endpoints.pollAt <= r.now {
		r.subscribe()
	}
	r.checkHedges()
}

// setTimer makes the timer fire at the given instant or earlier.
func (r *Router) setTimer(at clock.Time) {
	if r.timerAt <= r.now || at < r.timerAt {
		r.timerAt = max(at, r.now+1)
		r.decide(Decision{Action: SetTimer, After: r.timerAt - r.now, Timer: onlyTimer})
	}
}

func (r *Router) decide(decision Decision) { r.decisions = append(r.decisions, decision) }
