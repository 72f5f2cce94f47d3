package routing

import (
	"fmt"
	"testing"

	"spurtrestle/core/clock"
)

func Example_shareByWrites() {
	fmt.Printf("%.3f nothing counted\n", shareByWrites([]float64{0, 0, 0}, 0))
	fmt.Printf("%.3f no writes\n", shareByWrites([]float64{0, 0, 0}, 30))
	// Fw = 0.2: the writer's share is (1/3 - 0.2) / 0.8, the others' (1/3) / 0.8.
	fmt.Printf("%.3f a hot writer\n", shareByWrites([]float64{10, 0, 0}, 40))
	// Fw = 0.5: the writer's (1/3 - 1/2) / 0.5 is negative, so it reads nothing.
	fmt.Printf("%.3f a writer over its share\n", shareByWrites([]float64{10, 0, 0}, 10))
	// Output:
	// [0.333 0.333 0.333] nothing counted
	// [0.333 0.333 0.333] no writes
	// [0.167 0.417 0.417] a hot writer
	// [0.000 0.500 0.500] a writer over its share
}

func Example_shiftBySpeed() {
	even := func() []float64 { return []float64{1. / 3, 1. / 3, 1. / 3} }
	fmt.Printf("%.3f no times measured\n", shiftBySpeed(even(), []float64{0, 0, 0}))
	fmt.Printf("%.3f a slow cache\n", shiftBySpeed(even(), []float64{10, 10, 20}))
	fmt.Printf("%.3f a very slow cache\n", shiftBySpeed(even(), []float64{1, 1, 18}))
	fmt.Printf("%.3f two caches\n", shiftBySpeed([]float64{0.5, 0.5}, []float64{10, 30}))
	fmt.Printf("%.3f one cache\n", shiftBySpeed([]float64{1}, []float64{10}))
	// Output:
	// [0.333 0.333 0.333] no times measured
	// [0.417 0.417 0.167] a slow cache
	// [0.500 0.500 0.000] a very slow cache
	// [0.750 0.250] two caches
	// [1.000] one cache
}

// playReads sends reads, each answered at once, of which one in oneHotIn is of the hot key. It returns how many reads of the hot
// key each server got.
func playReads(r *Router, reads, oneHotIn int) map[ServerID]int {
	servers := map[ServerID]int{}
	for i := range reads {
		now := clock.Time(i) * 10 * clock.Millisecond
		key := Key(fmt.Sprint("k", i))
		if i%oneHotIn == 0 {
			key = "hot"
		}
		id := RequestID(fmt.Sprint(i))
		for _, decision := range r.Step(now, RequestArrived{Request: id, Key: key, ValidUntil: now + clock.Second}) {
			if decision.Action != Send {
				continue
			}
			if key == "hot" {
				servers[decision.Server]++
			}
			r.Step(now, AttemptEnded{Request: id, Server: decision.Server, Status: OK, Took: clock.Millisecond, Answered: true})
		}
	}
	return servers
}

func TestRouter_SpreadsOnlyHotKeys(t *testing.T) {
	tests := []struct {
		name       string
		oneHotIn   int
		wantCaches int
	}{
		{name: "a tenth of the reads", oneHotIn: 10, wantCaches: 3},
		{name: "a fortieth of the reads", oneHotIn: 40, wantCaches: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := New(0, baseSettings(), 1)
			r.Step(0, EndpointsUpdated{Endpoints: []Endpoint{{Server: 1}, {Server: 2}, {Server: 3}, {Server: 4}, {Server: 5}}})
			if servers := playReads(r, 2000, test.oneHotIn); len(servers) != test.wantCaches {
				t.Errorf("reads of the key over five caches went to %v, want %d caches", servers, test.wantCaches)
			}
			if len(r.hotKeys.counts.keys) > 1024 || len(r.requests.byID) != 0 {
				t.Errorf("got %d counted keys and %d requests, want at most 1024 and none",
					len(r.hotKeys.counts.keys), len(r.requests.byID))
			}
		})
	}
}
