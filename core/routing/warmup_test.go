package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"spurtrestle/core/clock"
)

// fleet is many routers in simulated time that share only the cache servers and the endpoint list.
type fleet struct {
	scene
	rand      *rand.Rand
	routers   []*Router
	noticedAt []clock.Time // when each router gets the list with the start
	now       clock.Time
	due       schedule
	weights   []float64 // of keys, added up
	cached    map[ServerID]map[Key]bool
	warming   ServerID
	started   clock.Time
	sends     []clock.Time // to the warming server, of routers that have the list with its start
	arrived   int
	hotKey    Key
	open      map[RequestID]Key
}

// scene is one deployment and its course of events.
type scene struct {
	name       string
	routers    int
	caches     int
	capacity   float64 // requests a second of a warm cache server
	load       float64 // fraction of that which is requested of all of them
	burst      float64 // factor on the load from the start on
	skew       float64 // exponent of Zipf's law over the keys; 0: all alike
	settings   Settings
	hot        float64 // reads of one key that the warming server owns, as a multiple of a mean cache's
	herd       bool    // seven in ten routers restart a second before
	restart    bool    // the warming server was listed before
	uneven     bool    // some routers see several times the mean
	noticeLags clock.Time
}

// scheduledCall is a call at an instant.
type scheduledCall struct {
	at  clock.Time
	run func()
}

type schedule []scheduledCall

func (a schedule) Len() int           { return len(a) }
func (a schedule) Less(i, j int) bool { return a[i].at < a[j].at }
func (a schedule) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *schedule) Push(x any)        { *a = append(*a, x.(scheduledCall)) }
func (a *schedule) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (f *fleet) after(d clock.Time, run func()) { heap.Push(&f.due, scheduledCall{f.now + d, run}) }

const (
	fleetKeys   = 5000
	fleetOrigin = ServerID(1000)
	warmUp      = 20e6 // of the routers, before the start
)

// list is the endpoint list.
func (f *fleet) list(withStart bool) EndpointsUpdated {
	l := EndpointsUpdated{Endpoints: []Endpoint{{Server: fleetOrigin, Kind: "origin"}}}
	for i := range f.caches {
		e := Endpoint{Server: ServerID(i + 1)}
		if e.Server == f.warming {
			if !withStart && !f.restart {
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

func newFleet(s scene, seed uint64) *fleet {
	f := &fleet{scene: s, rand: rand.New(rand.NewPCG(seed, 7)), cached: map[ServerID]map[Key]bool{}, open: map[RequestID]Key{},
		started: warmUp, routers: make([]*Router, s.routers), noticedAt: make([]clock.Time, s.routers)}
	f.warming = ServerID(1 + f.rand.IntN(s.caches))
	sum := 0.0
	for i := range fleetKeys {
		sum += math.Pow(float64(i+1), -s.skew)
		f.weights = append(f.weights, sum)
	}
	f.hotKey = f.keyOfWarmingServer()
	for i := range f.routers {
		f.noticedAt[i] = f.started + clock.Time(f.rand.Float64()*float64(s.noticeLags))
		f.startRouter(i)
		f.after(f.noticedAt[i], func() { f.step(i, f.list(true)) })
		if s.herd && f.rand.Float64() < 0.7 {
			f.after(f.started-1e6, func() { f.startRouter(i) })
		}
	}
	return f
}

// keyOfWarmingServer is a key that the warming server owns, and may get from its start on.
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

// startRouter starts a router's process.
func (f *fleet) startRouter(i int) {
	f.routers[i], _ = New(f.now, f.settings, f.rand.Uint64())
	f.step(i, f.list(f.now >= f.noticedAt[i] && f.now > 0))
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

// attempt has a server answer. It caches what it missed.
func (f *fleet) attempt(i int, r *Router, d Decision) {
	took, status := clock.Time(15e3*(0.5+f.rand.ExpFloat64())), OK
	key := f.open[d.Request]
	if d.Server == fleetOrigin {
		took *= 4
	}
	if d.Server == f.warming && f.now >= f.started {
		if f.now >= f.noticedAt[i] {
			f.sends = append(f.sends, f.now)
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
	nth := Attempt(0)
	if q := r.requests.byID[d.Request]; q != nil {
		nth = q.attemptCount - 1
	}
	f.after(took, func() {
		if f.routers[i] == r {
			f.step(i, AttemptEnded{Request: d.Request, Server: d.Server, Attempt: nth, Status: status, Took: took, Answered: status == OK})
		}
	})
}

// request has a client send a request to a router.
func (f *fleet) request() {
	x := f.rand.Float64() * f.weights[fleetKeys-1]
	at := 0
	for n := fleetKeys; n > 0; { // the first whose weight is not less
		if half := n / 2; f.weights[at+half] < x {
			at, n = at+half+1, n-half-1
		} else {
			n = half
		}
	}
	i := f.rand.IntN(len(f.routers))
	if f.uneven && f.rand.IntN(2) == 0 {
		i %= max(1, len(f.routers)/6)
	}
	f.arrived++
	id := RequestID(fmt.Sprint(f.arrived))
	if f.open[id] = Key(fmt.Sprint("k", at)); f.rand.Float64() < f.hot/float64(f.caches) {
		f.open[id] = f.hotKey
	}
	f.step(i, RequestArrived{Request: id, Key: f.open[id], ValidUntil: f.now + 1200e3})
	rate := f.load * f.capacity * float64(f.caches)
	if f.now >= f.started {
		rate *= f.burst
	}
	f.after(clock.Time(f.rand.ExpFloat64()*1e6/rate), f.request)
}

// run returns the highest load of the warming server over the overload window, as a fraction of the bound.
func (f *fleet) run() (worst float64, n int, allowed float64) {
	f.request()
	for end := f.started + f.settings.WarmUpDuration; f.now < end; {
		next := heap.Pop(&f.due).(scheduledCall)
		f.now = max(f.now, next.at)
		next.run()
	}
	first := 0
	for i, at := range f.sends {
		for at-f.sends[first] > f.settings.OverloadWindow {
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

// deployments are the rules on warming servers of some deployments, each with its lowest initial share and slowest warm-up.
func deployments() map[string]Settings {
	rules := func(multiple, share float64, span, duration clock.Time) Settings {
		s := baseSettings()
		s.OverloadMultiple, s.WarmUpShare, s.OverloadWindow, s.WarmUpDuration = multiple, share, span, duration
		return s
	}
	return map[string]Settings{
		"3 times in 3 s":     rules(3, 0.31, 3e6, 8.8e6),
		"3 times in 1 s":     rules(3, 0.12, 1e6, 24e6),
		"2.5 times in 1.5 s": rules(2.5, 0.2, 1500e3, 14e6),
	}
}

// A server that has just started gets no more than its present capacity from all routers of a fleet together, though they
// share nothing: N by the settings, and 2 times the root of N and 2 more as chance. With twenty and thirty routers, under a
// burst, for uniform keys or a few hot ones; where it is new, or has restarted, or most routers have just restarted, or learn
// of it late.
func TestWarmUp_FleetStaysWithinCapacity(t *testing.T) {
	scenes := []scene{{name: "new"}, {name: "back", restart: true}, {name: "after a herd", herd: true, restart: true},
		{name: "unevenly", uneven: true, restart: true}, {name: "noticed late", restart: true, noticeLags: 1500e3},
		{name: "a hot key", hot: 1.5, restart: true}, {name: "a hot key after a herd", hot: 1.5, herd: true, restart: true}}
	for name, settings := range deployments() {
		for _, size := range []struct{ routers, caches int }{{20, 4}, {30, 4}, {30, 9}} {
			t.Run(fmt.Sprintf("%s, %d routers, %d caches", name, size.routers, size.caches), func(t *testing.T) {
				t.Parallel()
				for _, skew := range []float64{0, 0.8, 1.1} {
					for _, s := range scenes {
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

// The same for a fleet of hundreds, of which each router has a few requests per second, and less than one for each cache.
func TestWarmUp_HundredsOfRoutersStayWithinCapacity(t *testing.T) {
	for name, settings := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, s := range []scene{{name: "back", restart: true}, {name: "a hot key after a herd", hot: 0.75, herd: true, restart: true}} {
				s.routers, s.caches, s.capacity = 300, 150, 25
				s.check(t, settings, 1)
			}
		})
	}
}

// The same for such a fleet where a key has half as many reads again as a mean cache, which routers that have run for a short
// time cannot know as hot, under a burst: one first read from each of them is too much.
func TestWarmUp_FirstReadsOfAHotKeyStayWithinCapacity(t *testing.T) {
	for name, settings := range deployments() {
		for _, s := range []scene{{name: "a hot key", hot: 1.5, restart: true}, {name: "a hot key after a herd", hot: 1.5, herd: true, restart: true}} {
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

// check runs the scene at seven tenths of the servers' capacity, and half as much again from the start on.
func (s scene) check(t *testing.T, settings Settings, seed uint64) {
	t.Helper()
	s.load, s.burst, s.settings = 0.7, 1.5, settings
	s.settings.Routers = s.routers
	if load, n, allowed := newFleet(s, seed).run(); load > 1 {
		t.Errorf("%s, skew %.1f, seed %d: %d requests, %.1f are allowed", s.name, s.skew, seed, n, allowed)
	}
}
