package routing

import (
	"fmt"
	"testing"

	"spurtrestle/core/clock"
)

// If all attempts fail, retries are bounded by the initial budget and then by one per ten requests.
func Example_retryBudget() {
	r, _ := New(0, baseSettings(), 1)
	r.Step(0, EndpointsUpdated{Endpoints: []Endpoint{{Server: 1}, {Server: 2}, {Server: 3}}})
	retries := 0
	for i := range 100 {
		id := RequestID(fmt.Sprint(i))
		now := clock.Time(i) * 100 * clock.Millisecond
		decisions := r.Step(now, RequestArrived{Request: id, Key: "k", ValidUntil: now + clock.Second})
		for number := 0; len(decisions) > 0 && decisions[0].Action == Send; number++ {
			decisions = r.Step(now, AttemptEnded{Request: id, Server: decisions[0].Server, Attempt: Attempt(number), Status: Failed})
			if len(decisions) > 0 && decisions[0].Action == Send {
				retries++
			}
		}
	}
	fmt.Println(retries, "retries for 100 requests")
	// Output: 12 retries for 100 requests
}

// A request whose client disconnects while an attempt is in flight ends twice, by the disconnection and by the outcome. If it
// counted twice, it would look like an overload.
func TestRouter_CountsDisconnectedRequestOnce(t *testing.T) {
	r, _ := New(0, baseSettings(), 1)
	r.Step(0, EndpointsUpdated{Endpoints: []Endpoint{{Server: 1}}})
	r.Step(0, RequestArrived{Request: "a", Key: "k", ValidUntil: clock.Second})
	r.Step(0, ClientDisconnected{Request: "a"})
	r.Step(0, AttemptEnded{Request: "a", Server: 1, Status: Canceled, Answered: true})
	ended := r.admission.ended.at(0, trafficWindow) * float64(trafficWindow) / microsecondsPerSecond
	if ended != 1 {
		t.Errorf("got a count of %v ended requests, want 1", ended)
	}
}
