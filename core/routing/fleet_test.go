package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"spurtrestle/core/clock"
)

// fleet is many routers in virtual time that share nothing but the cache servers and the list of these.
type fleet struct {
	scene
	rand    *rand.Rand
	routers []*Router
	told    []clock.Time // when each router is told of the start
	now     clock.Time
	due     arrivals
	weights []float64 // of keys, added up
	held    map[ServerID]map[Key]bool
	cold    ServerID
	started clock.Time
	sends   []clock.Time // to the cold server, of routers that had been told
	asked   int
	hotKey  Key
	open    map[RequestID]Key
}

// scene is one deployment, and what happens to it.
type scene struct {
	name       string
	routers    int
	caches     int
	capacity   float64 // requests a second of a warm cache server
	load       float64 // part of that which is asked of them all together
	burst      float64 // by which more is asked from the start on
	skew       float64 // exponent of Zipf's law over the keys; 0: all alike
	settings   Settings
	hot        float64 // reads of one key that the cold server is the first to have, as a multiple of a mean cache's
	herd       bool    // seven in ten routers begin anew a second before
	restart    bool    // the cold server was there before
	uneven     bool    // some routers see several times the mean
	noticeLags clock.Time
}

// due is one thing to come.
type due struct {
	at clock.Time
	do func()
}

type arrivals []due

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(due)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (f *fleet) after(d clock.Time, do func()) { heap.Push(&f.due, due{f.now + d, do}) }

const (
	fleetKeys   = 5000
	fleetOrigin = ServerID(1000)
	warmUp      = 20e6 // of the routers, before the start
)

// list is what discovery tells.
func (f *fleet) list(withCold bool) EndpointsUpdated {
	l := EndpointsUpdated{Endpoints: []Endpoint{{Server: fleetOrigin, Kind: "origin"}}}
	for i := range f.caches {
		e := Endpoint{Server: ServerID(i + 1)}
		if e.Server == f.cold {
			if !withCold && !f.restart {
				continue
			}
			if withCold {
				e.StartedAt = f.started
			}
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

func newFleet(s scene, seed uint64) *fleet {
	f := &fleet{scene: s, rand: rand.New(rand.NewPCG(seed, 7)), held: map[ServerID]map[Key]bool{}, open: map[RequestID]Key{},
		started: warmUp, routers: make([]*Router, s.routers), told: make([]clock.Time, s.routers)}
	f.cold = ServerID(1 + f.rand.IntN(s.caches))
	sum := 0.0
	for i := range fleetKeys {
		sum += math.Pow(float64(i+1), -s.skew)
		f.weights = append(f.weights, sum)
	}
	f.hotKey = f.keyOfCold()
	for i := range f.routers {
		f.told[i] = f.started + clock.Time(f.rand.Float64()*float64(s.noticeLags))
		f.begin(i)
		f.after(f.told[i], func() { f.step(i, f.list(true)) })
		if s.herd && f.rand.Float64() < 0.7 {
			f.after(f.started-1e6, func() { f.begin(i) })
		}
	}
	return f
}

// keyOfCold is a key that the cold server is the first of its group to have, and may have from its start on.
func (f *fleet) keyOfCold() Key {
	r, _ := New(0, f.settings, 1)
	r.Step(0, f.list(true))
	for i := 0; ; i++ {
		key := Key(fmt.Sprint("hot", i))
		hash := hashText(string(key))
		if at := float64(hash>>32&0xffff) / 0x10000; r.groupOf(hash)[0].Server == f.cold && at < 0.05 {
			return key
		}
	}
}

// begin starts a router's process.
func (f *fleet) begin(i int) {
	f.routers[i], _ = New(f.now, f.settings, f.rand.Uint64())
	f.step(i, f.list(f.now >= f.told[i] && f.now > 0))
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

// attempt has a server answer, which holds what was fetched for it.
func (f *fleet) attempt(i int, r *Router, d Decision) {
	took, status := clock.Time(15e3*(0.5+f.rand.ExpFloat64())), OK
	key := f.open[d.Request]
	if d.Server == fleetOrigin {
		took *= 4
	}
	if d.Server == f.cold && f.now >= f.started {
		if f.now >= f.told[i] {
			f.sends = append(f.sends, f.now)
		}
		took *= 2
		if f.held[d.Server] == nil {
			f.held[d.Server] = map[Key]bool{}
		}
		if !f.held[d.Server][key] {
			status = Miss
			f.held[d.Server][key] = true
		}
	}
	nth := Attempt(0)
	if q := r.requests[d.Request]; q != nil {
		nth = q.sent - 1
	}
	f.after(took, func() {
		if f.routers[i] == r {
			f.step(i, AttemptEnded{Request: d.Request, Server: d.Server, Attempt: nth, Status: status, Took: took, Answered: status == OK})
		}
	})
}

// ask has a client ask a router for a key.
func (f *fleet) ask() {
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
	f.asked++
	id := RequestID(fmt.Sprint(f.asked))
	if f.open[id] = Key(fmt.Sprint("k", at)); f.rand.Float64() < f.hot/float64(f.caches) {
		f.open[id] = f.hotKey
	}
	f.step(i, RequestArrived{Request: id, Key: f.open[id], ValidUntil: f.now + 1200e3})
	rate := f.load * f.capacity * float64(f.caches)
	if f.now >= f.started {
		rate *= f.burst
	}
	f.after(clock.Time(f.rand.ExpFloat64()*1e6/rate), f.ask)
}

// play returns by what part of the bound the cold server got most in the time in which it may fall.
func (f *fleet) play() (worst float64, n int, allowed float64) {
	f.ask()
	for end := f.started + f.settings.WarmUpDuration; f.now < end; {
		next := heap.Pop(&f.due).(due)
		f.now = max(f.now, next.at)
		next.do()
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

// deployments are the rules on cold servers of some, each with the coldest start and the slowest ramp that was met there.
func deployments() map[string]Settings {
	rules := func(multiple, share float64, span, cold clock.Time) Settings {
		s := base()
		s.OverloadMultiple, s.WarmUpShare, s.OverloadWindow, s.WarmUpDuration = multiple, share, span, cold
		return s
	}
	return map[string]Settings{
		"3 times in 3 s":     rules(3, 0.31, 3e6, 8.8e6),
		"3 times in 1 s":     rules(3, 0.12, 1e6, 24e6),
		"2.5 times in 1.5 s": rules(2.5, 0.2, 1500e3, 14e6),
	}
}

// A server that has just started is sent no more than it can take then, by all routers of a fleet together, though they share
// nothing: N by the settings, and 2 times the root of N and 2 more as chance. With twenty and thirty routers, under a burst, for
// keys alike or a few hot ones; where it is new, or back, or most routers have just begun, or know of it late.
func TestColdServerUnderAFleet(t *testing.T) {
	scenes := []scene{{name: "new"}, {name: "back", restart: true}, {name: "after a herd", herd: true, restart: true},
		{name: "unevenly", uneven: true, restart: true}, {name: "told late", restart: true, noticeLags: 1500e3},
		{name: "a hot key", hot: 1.5, restart: true}, {name: "a hot key after a herd", hot: 1.5, herd: true, restart: true}}
	for name, settings := range deployments() {
		for _, size := range []struct{ routers, caches int }{{20, 4}, {30, 4}, {30, 9}} {
			t.Run(fmt.Sprintf("%s, %d routers, %d caches", name, size.routers, size.caches), func(t *testing.T) {
				t.Parallel()
				for _, skew := range []float64{0, 0.8, 1.1} {
					for _, s := range scenes {
						s.routers, s.caches, s.capacity, s.skew = size.routers, size.caches, 10, skew
						for seed := range uint64(4) {
							s.bears(t, settings, seed)
						}
					}
				}
			})
		}
	}
}

// The same of a fleet of hundreds, of which each router has a few requests a second, and less than one for a cache in a second.
func TestColdServerUnderHundreds(t *testing.T) {
	for name, settings := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, s := range []scene{{name: "back", restart: true}, {name: "a hot key after a herd", hot: 0.75, herd: true, restart: true}} {
				s.routers, s.caches, s.capacity = 300, 150, 25
				s.bears(t, settings, 1)
			}
		})
	}
}

// bears plays the scene, with seven tenths of what the servers can do asked of them, and half as much again from the start on.
func (s scene) bears(t *testing.T, settings Settings, seed uint64) {
	t.Helper()
	s.load, s.burst, s.settings = 0.7, 1.5, settings
	s.settings.Routers = s.routers
	if part, n, allowed := newFleet(s, seed).play(); part > 1 {
		t.Errorf("%s, skew %.1f, seed %d: %d requests, %.1f are allowed", s.name, s.skew, seed, n, allowed)
	}
}
