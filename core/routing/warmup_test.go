package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"spurtrestle/core/clock"
)

// fleet simulates many routers that share only the cache servers and the endpoint list.
type fleet struct {
	scenario
	rand              *rand.Rand
	routers           []*Router
	listedAt          []clock.Time // when each router gets the endpoint list with the start
	now               clock.Time
	pending           callQueue
	cumulativeWeights []float64 // cumulative sums of the weights of the keys
	cached            map[ServerID]map[Key]bool
	warming           ServerID
	started           clock.Time
	attempts          []clock.Time // times of attempts at the warming server by routers that have the list with its start
	arrived           int
	hotKey            Key
	keyOf             map[RequestID]Key
}

// scenario is a deployment and what happens to it.
type scenario struct {
	name           string
	routers        int
	caches         int
	capacity       float64 // requests per second of a warm cache server
	load           float64 // fraction of the capacity of all cache servers that clients request
	burst          float64 // factor on the load from the start of the warming server on
	skew           float64 // exponent of the Zipf distribution of keys; 0: uniform
	settings       Settings
	hotKeyLoad     float64 // reads of one key that the warming server owns, as a multiple of those of an average cache
	routersRestart bool    // seven in ten routers restart a second before the start
	serverRestarts bool    // the warming server was listed before its start
	unevenTraffic  bool    // some routers get several times the mean traffic
	maxListDelay   clock.Time
}

// scheduledCall is a function that is called at an instant.
type scheduledCall struct {
	at  clock.Time
	run func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int           { return len(q) }
func (q callQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q callQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)        { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d clock.Time, run func()) { heap.Push(&f.pending, scheduledCall{f.now + d, run}) }

const (
	keyCount    = 5000
	originID    = ServerID(1000)
	serverStart = 20e6 // when the warming server starts: the routers run for this long before
)

// list returns the endpoint list, with or without the start of the warming server.
func (f *fleet) list(withStart bool) EndpointsUpdated {
	l := EndpointsUpdated{Endpoints: []Endpoint{{Server: originID, Kind: "origin"}}}
	for i := range f.caches {
		e := Endpoint{Server: ServerID(i + 1)}
		if e.Server == f.warming {
			if !withStart && !f.serverRestarts {
				continue
			}
			if withStart {
				e.StartedAt = f.started
			}
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{scenario: s, rand: rand.New(rand.NewPCG(seed, 7)), cached: map[ServerID]map[Key]bool{}, keyOf: map[RequestID]Key{},
		started: serverStart, routers: make([]*Router, s.routers), listedAt: make([]clock.Time, s.routers)}
	f.warming = ServerID(1 + f.rand.IntN(s.caches))
	sum := 0.0
	for i := range keyCount {
		sum += math.Pow(float64(i+1), -s.skew)
		f.cumulativeWeights = append(f.cumulativeWeights, sum)
	}
	f.hotKey = f.keyOfWarmingServer()
	for i := range f.routers {
		f.listedAt[i] = f.started + clock.Time(f.rand.Float64()*float64(s.maxListDelay))
		f.startRouter(i)
		f.after(f.listedAt[i], func() { f.step(i, f.list(true)) })
		if s.routersRestart && f.rand.Float64() < 0.7 {
			f.after(f.started-1e6, func() { f.startRouter(i) })
		}
	}
	return f
}

// keyOfWarmingServer returns a key that the warming server owns and may get from its start on.
func (f *fleet) keyOfWarmingServer() Key {
	r, _ := New(0, f.settings, 1)
	r.Step(0, f.list(true))
	for i := 0; ; i++ {
		key := Key(fmt.Sprint("hot", i))
		hash := hashText(string(key))
		if at := float64(hash>>32&0xffff) / 0x10000; r.groupOf(hash)[0].Server == f.warming && at < 0.05 {
			return key
		}
	}
}

// startRouter starts a new process of a router.
func (f *fleet) startRouter(i int) {
	f.routers[i], _ = New(f.now, f.settings, f.rand.Uint64())
	f.step(i, f.list(f.now >= f.listedAt[i] && f.now > 0))
}

func (f *fleet) step(i int, ev Event) {
	r := f.routers[i]
	for _, d := range append([]Decision(nil), r.Step(f.now, ev)...) {
		switch d.Action {
		case Send:
			f.attempt(i, r, d)
		case SetTimer:
			f.after(d.After, func() {
				if f.routers[i] == r {
					f.step(i, TimerFired{Timer: d.Timer})
				}
			})
		}
	}
}

// attempt simulates the answer of a server to an attempt. The warming server caches the keys that it missed.
func (f *fleet) attempt(i int, r *Router, d Decision) {
	took, status := clock.Time(15e3*(0.5+f.rand.ExpFloat64())), OK
	key := f.keyOf[d.Request]
	if d.Server == originID {
		took *= 4
	}
	if d.Server == f.warming && f.now >= f.started {
		if f.now >= f.listedAt[i] {
			f.attempts = append(f.attempts, f.now)
		}
		took *= 2
		if f.cached[d.Server] == nil {
			f.cached[d.Server] = map[Key]bool{}
		}
		if !f.cached[d.Server][key] {
			status = Miss
			f.cached[d.Server][key] = true
		}
	}
	number := Attempt(0)
	if request := r.requests.byID[d.Request]; request != nil {
		number = request.attemptCount - 1
	}
	f.after(took, func() {
		if f.routers[i] == r {
			f.step(i, AttemptEnded{Request: d.Request, Server: d.Server, Attempt: number, Status: status, Took: took, Answered: status == OK})
		}
	})
}

// request sends a client request to a router and schedules the next one.
func (f *fleet) request() {
	x := f.rand.Float64() * f.cumulativeWeights[keyCount-1]
	at := 0
	for n := keyCount; n > 0; { // binary search for the first key whose cumulative weight is not less than x
		if half := n / 2; f.cumulativeWeights[at+half] < x {
			at, n = at+half+1, n-half-1
		} else {
			n = half
		}
	}
	i := f.rand.IntN(len(f.routers))
	if f.unevenTraffic && f.rand.IntN(2) == 0 {
		i %= max(1, len(f.routers)/6)
	}
	f.arrived++
	id := RequestID(fmt.Sprint(f.arrived))
	if f.keyOf[id] = Key(fmt.Sprint("k", at)); f.rand.Float64() < f.hotKeyLoad/float64(f.caches) {
		f.keyOf[id] = f.hotKey
	}
	f.step(i, RequestArrived{Request: id, Key: f.keyOf[id], ValidUntil: f.now + 1200e3})
	rate := f.load * f.capacity * float64(f.caches)
	if f.now >= f.started {
		rate *= f.burst
	}
	f.after(clock.Time(f.rand.ExpFloat64()*1e6/rate), f.request)
}

// run returns the highest load of the warming server in an overload window, as a fraction of the bound, and for that window the
// number of attempts and the bound.
func (f *fleet) run() (worst float64, n int, allowed float64) {
	f.request()
	for end := f.started + f.settings.WarmUpDuration; f.now < end; {
		next := heap.Pop(&f.pending).(scheduledCall)
		f.now = max(f.now, next.at)
		next.run()
	}
	first := 0
	for i, at := range f.attempts {
		for at-f.attempts[first] > f.settings.OverloadWindow {
			first++
		}
		age := float64(at-f.started) / float64(f.settings.WarmUpDuration)
		share := f.settings.WarmUpShare + (1-f.settings.WarmUpShare)*age
		most := f.settings.OverloadMultiple * share * f.capacity * float64(f.settings.OverloadWindow) / 1e6
		most += 2*math.Sqrt(most) + 2
		if got := i - first + 1; float64(got)/most > worst {
			worst, n, allowed = float64(got)/most, got, most
		}
	}
	return worst, n, allowed
}

// deployments returns the settings for warming servers of some deployments, each with its lowest initial share and slowest
// warm-up.
func deployments() map[string]Settings {
	warmUpSettings := func(multiple, share float64, window, duration clock.Time) Settings {
		s := baseSettings()
		s.OverloadMultiple, s.WarmUpShare, s.OverloadWindow, s.WarmUpDuration = multiple, share, window, duration
		return s
	}
	return map[string]Settings{
		"3 times in 3 s":     warmUpSettings(3, 0.31, 3e6, 8.8e6),
		"3 times in 1 s":     warmUpSettings(3, 0.12, 1e6, 24e6),
		"2.5 times in 1.5 s": warmUpSettings(2.5, 0.2, 1500e3, 14e6),
	}
}

// A server that has just started gets no more requests than its present capacity, N by the settings, from all routers of a fleet
// together, though they share no state. 2 times the root of N and 2 more are allowed for chance. The fleets have twenty and thirty routers, a
// burst, and uniform or skewed keys; the server is new or has restarted, most routers have just restarted, or learn of it late.
func TestWarmUp_FleetStaysWithinCapacity(t *testing.T) {
	scenarios := []scenario{{name: "new"}, {name: "back", serverRestarts: true}, {name: "after a herd", routersRestart: true, serverRestarts: true},
		{name: "unevenly", unevenTraffic: true, serverRestarts: true}, {name: "noticed late", serverRestarts: true, maxListDelay: 1500e3},
		{name: "a hot key", hotKeyLoad: 1.5, serverRestarts: true}, {name: "a hot key after a herd", hotKeyLoad: 1.5, routersRestart: true, serverRestarts: true}}
	for name, settings := range deployments() {
		for _, size := range []struct{ routers, caches int }{{20, 4}, {30, 4}, {30, 9}} {
			t.Run(fmt.Sprintf("%s, %d routers, %d caches", name, size.routers, size.caches), func(t *testing.T) {
				t.Parallel()
				for _, skew := range []float64{0, 0.8, 1.1} {
					for _, s := range scenarios {
						s.routers, s.caches, s.capacity, s.skew = size.routers, size.caches, 10, skew
						for seed := range uint64(4) {
							s.check(t, settings, seed)
						}
					}
				}
			})
		}
	}
}

// The same bound for a fleet of hundreds of routers, each with a few requests per second, and less than one per cache.
func TestWarmUp_HundredsOfRoutersStayWithinCapacity(t *testing.T) {
	for name, settings := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, s := range []scenario{{name: "back", serverRestarts: true}, {name: "a hot key after a herd", hotKeyLoad: 0.75, routersRestart: true, serverRestarts: true}} {
				s.routers, s.caches, s.capacity = 300, 150, 25
				s.check(t, settings, 1)
			}
		})
	}
}

// The same bound for such a fleet under a burst, where one key has one and a half times the reads of an average cache. Routers
// that have run for a short time cannot know that the key is hot: one first read from each of them is too much.
func TestWarmUp_FirstReadsOfAHotKeyStayWithinCapacity(t *testing.T) {
	for name, settings := range deployments() {
		for _, s := range []scenario{{name: "a hot key", hotKeyLoad: 1.5, serverRestarts: true}, {name: "a hot key after a herd", hotKeyLoad: 1.5, routersRestart: true, serverRestarts: true}} {
			s.routers, s.caches, s.capacity = 300, 150, 25
			for seed := range uint64(6) {
				t.Run(fmt.Sprintf("%s, %s, seed %d", name, s.name, seed), func(t *testing.T) {
					t.Parallel()
					s.check(t, settings, seed)
				})
			}
		}
	}
}

// check runs the scenario at seven tenths of the servers' capacity, and at half as much again from the start on.
func (s scenario) check(t *testing.T, settings Settings, seed uint64) {
	t.Helper()
	s.load, s.burst, s.settings = 0.7, 1.5, settings
	s.settings.Routers = s.routers
	if load, n, allowed := newFleet(s, seed).run(); load > 1 {
		t.Errorf("%s, skew %.1f, seed %d: %d requests, %.1f are allowed", s.name, s.skew, seed, n, allowed)
	}
}
