package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"spurtrestle/core/clock"
)

func Example_algorithm1() {
	fmt.Printf("%.3f nothing counted\n", algorithm1([]float64{0, 0, 0}, 0))
	fmt.Printf("%.3f no writes\n", algorithm1([]float64{0, 0, 0}, 30))
	// Fw = 0.2: the writer's share is (1/3 - 0.2) / 0.8, the others' (1/3) / 0.8.
	fmt.Printf("%.3f a hot writer\n", algorithm1([]float64{10, 0, 0}, 40))
	// Fw = 0.5: the writer's (1/3 - 1/2) / 0.5 is negative, so it reads nothing.
	fmt.Printf("%.3f a writer over its share\n", algorithm1([]float64{10, 0, 0}, 10))
	// Output:
	// [0.333 0.333 0.333] nothing counted
	// [0.333 0.333 0.333] no writes
	// [0.167 0.417 0.417] a hot writer
	// [0.000 0.500 0.500] a writer over its share
}

func Example_algorithm2() {
	even := func() []float64 { return []float64{1. / 3, 1. / 3, 1. / 3} }
	fmt.Printf("%.3f nothing heard\n", algorithm2(even(), []float64{0, 0, 0}))
	fmt.Printf("%.3f a slow partner\n", algorithm2(even(), []float64{10, 10, 20}))
	fmt.Printf("%.3f a very slow partner\n", algorithm2(even(), []float64{1, 1, 18}))
	fmt.Printf("%.3f two caches\n", algorithm2([]float64{0.5, 0.5}, []float64{10, 30}))
	fmt.Printf("%.3f one cache\n", algorithm2([]float64{1}, []float64{10}))
	// Output:
	// [0.333 0.333 0.333] nothing heard
	// [0.417 0.417 0.167] a slow partner
	// [0.500 0.500 0.000] a very slow partner
	// [0.750 0.250] two caches
	// [1.000] one cache
}

// sized is a router of caches of the sizes given, numbered from 1.
func sized(sizes ...float64) *Router {
	r := &Router{table: map[uint32][groupCount]uint32{}}
	for i, size := range sizes {
		r.caches = append(r.caches, &server{Endpoint: Endpoint{Server: ServerID(i + 1)}, size: size})
	}
	return r
}

// When a cache leaves, its slots go to their partners and no other moves; each is first by its size.
func TestSlotsMoveToPartnersAndGoBySize(t *testing.T) {
	all, fewer := sized(2, 1, 1, 1, 1, 1, 1, 2, 1, 1), sized(2, 1, 1, 1, 1, 1, 1, 2, 1)
	first := map[ServerID]int{}
	for i := range uint64(slots) {
		group := all.groupOf(i)
		if len(group) != 3 || group[0] == group[1] || group[0] == group[2] || group[1] == group[2] {
			t.Fatalf("slot %d holds %v", i, group)
		}
		want, second := group[0].Server, group[1].Server
		first[want]++
		if want == 10 {
			want = second
		}
		if then := fewer.groupOf(i)[0].Server; then != want {
			t.Errorf("slot %d moved to %d, not to %d", i, then, want)
		}
	}
	for id, n := range first {
		if due := all.caches[id-1].size / 12; math.Abs(float64(n)/slots-due) > due/12 {
			t.Errorf("cache %d is first in %d of %d slots", id, n, slots)
		}
	}
}

// The list's order and its duplicates do not reach the table.
func TestTableIsTheSameForAnyOrder(t *testing.T) {
	firsts := func(ids ...ServerID) (of []ServerID) {
		r, _ := New(0, base(), 1)
		var l EndpointsUpdated
		for _, id := range ids {
			l.Endpoints = append(l.Endpoints, Endpoint{Server: id})
		}
		r.Step(0, l)
		for i := range uint64(slots) {
			of = append(of, r.groupOf(i)[0].Server)
		}
		return of
	}
	if !slices.Equal(firsts(1, 2, 3, 4, 5), firsts(5, 3, 1, 4, 2, 2)) {
		t.Error("another order of the list gives another table")
	}
}

// reads plays n reads, each answered at once, every tenth of the hot key, and counts where that one went.
func reads(r *Router, n, every int) map[ServerID]int {
	to := map[ServerID]int{}
	for i := range n {
		now, key := clock.Time(i)*10e3, Key(fmt.Sprint("k", i))
		if i%every == 0 {
			key = "hot"
		}
		id := RequestID(fmt.Sprint(i))
		for _, d := range r.Step(now, RequestArrived{Request: id, Key: key, ValidUntil: now + 1e6}) {
			if d.Action != Send {
				continue
			}
			if key == "hot" {
				to[d.Server]++
			}
			r.Step(now, AttemptEnded{Request: id, Server: d.Server, Status: OK, Took: 1e3, Answered: true})
		}
	}
	return to
}

func TestOnlyKeysOverTheBoundAreDrawn(t *testing.T) {
	for _, c := range []struct{ every, caches int }{{10, 3}, {40, 1}} { // a tenth of the reads, a fortieth
		r, _ := New(0, base(), 1)
		r.Step(0, EndpointsUpdated{Endpoints: []Endpoint{{Server: 1}, {Server: 2}, {Server: 3}, {Server: 4}, {Server: 5}}})
		if to := reads(r, 2000, c.every); len(to) != c.caches {
			t.Errorf("one read in %d over five caches went to %v", c.every, to)
		}
		if len(r.hot.keys) > 1024 || len(r.requests) != 0 {
			t.Errorf("%d hot keys and %d reqs are kept", len(r.hot.keys), len(r.requests))
		}
	}
}

// A fleet that fails all requests is not asked many times over: the budget for the first seconds, then one in ten.
func Example_retryBudget() {
	r, _ := New(0, base(), 1)
	r.Step(0, EndpointsUpdated{Endpoints: []Endpoint{{Server: 1}, {Server: 2}, {Server: 3}}})
	retries := 0
	for i := range 100 {
		id, now := RequestID(fmt.Sprint(i)), clock.Time(i)*100e3
		decided := r.Step(now, RequestArrived{Request: id, Key: "k", ValidUntil: now + 1e6})
		for n := 0; len(decided) > 0 && decided[0].Action == Send; n++ {
			decided = r.Step(now, AttemptEnded{Request: id, Server: decided[0].Server, Attempt: Attempt(n), Status: Failed})
			if len(decided) > 0 && decided[0].Action == Send {
				retries++
			}
		}
	}
	fmt.Println(retries, "retries for 100 requests")
	// Output: 12 retries for 100 requests
}

// A client that leaves while an attempt is out ends its request twice, by leaving and by the outcome. Counted twice it
// looked like a jam: the next request of a quiet router was rejected.
func TestAReqWhoseClientLeftIsAskedOnce(t *testing.T) {
	r, _ := New(0, base(), 1)
	r.Step(0, EndpointsUpdated{Endpoints: []Endpoint{{Server: 1}}})
	r.Step(0, RequestArrived{Request: "a", Key: "k", ValidUntil: 1e6})
	r.Step(0, ClientDisconnected{Request: "a"})
	r.Step(0, AttemptEnded{Request: "a", Server: 1, Status: Canceled, Answered: true})
	if n := r.asked.now(0, trafficSpan) * trafficSpan / 1e6; n != 1 {
		t.Errorf("one req counts as %v", n)
	}
}
