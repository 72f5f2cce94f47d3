package routing

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"spurtrestle/core/clock"
)

// trainedRouter returns a router after ten seconds of answers, with server 3 slow and a hot key, and one request in flight.
func trainedRouter(seed uint64) *Router {
	r, _ := New(0, baseSettings(), seed)
	r.Step(0, parseEvent(baseSettings(), "endpoints", []string{"full", "1", "2", "3", "4", "9"}))
	for i := range 2000 {
		now := clock.Time(i) * 5000
		key := Key(fmt.Sprint("k", i%300))
		if i%5 == 0 {
			key = "hot"
		}
		for _, d := range r.Step(now, RequestArrived{Request: RequestID(fmt.Sprint(i)), Key: key, ValidUntil: now + 1e6}) {
			if d.Action == Send {
				took := clock.Time(10e3)
				if d.Server == 3 {
					took = 40e3
				}
				r.Step(now, AttemptEnded{Request: d.Request, Server: d.Server, Status: OK, Took: took, Answered: true})
			}
		}
	}
	r.Step(10e6, RequestArrived{Request: "in flight", Key: "k1", ValidUntil: 11e6})
	return r
}

// restoredRouter returns a router that starts at 10 s with the knowledge of another one.
func restoredRouter(knowledge Knowledge, seed uint64) *Router {
	const now = 10 * clock.Second
	r, _ := New(now, baseSettings(), seed)
	r.Step(now, KnowledgeRestored{knowledge})
	r.Step(now, ServersRestored{knowledge.Servers})
	r.Step(now, parseEvent(baseSettings(), "endpoints", []string{"full", "1", "2", "3", "4", "9"}))
	return r
}

// knowledgeOf returns the knowledge of a router with its servers sorted by id, for comparison.
func knowledgeOf(r *Router, now clock.Time) Knowledge {
	knowledge := r.Knowledge(now)
	slices.SortFunc(knowledge.Servers, func(a, b ServerKnowledge) int { return cmp.Compare(a.Server, b.Server) })
	return knowledge
}

// The restored knowledge equals the captured one, but its latencies count as few samples.
func TestKnowledge_RoundTrip(t *testing.T) {
	known := knowledgeOf(trainedRouter(1), 10e6)
	r := restoredRouter(known, 2)
	restored := knowledgeOf(r, 10e6)
	if len(restored.Servers) != 4 || len(known.Servers) != 4 {
		t.Fatalf("got %d servers captured and %d restored, want 4 each", len(known.Servers), len(restored.Servers))
	}
	for i := range restored.Servers {
		if n := restored.Servers[i].Latency.Samples; n != 8 {
			t.Errorf("got a restored latency of %d samples, want 8", n)
		}
		restored.Servers[i].Latency.Samples = known.Servers[i].Latency.Samples
		if x := restored.Servers[i].AttemptRate / known.Servers[i].AttemptRate; x < 0.99 || x > 1.01 {
			t.Errorf("got an attempt rate of %v, want %v", restored.Servers[i].AttemptRate, known.Servers[i].AttemptRate)
		}
		restored.Servers[i].AttemptRate = known.Servers[i].AttemptRate
		if !reflect.DeepEqual(restored.Servers[i], known.Servers[i]) {
			t.Errorf("got server\n%+v\nwant\n%+v", restored.Servers[i], known.Servers[i])
		}
	}
	if !reflect.DeepEqual(restored.Keys, known.Keys) || !reflect.DeepEqual(restored.MethodLatencies, known.MethodLatencies) || restored.RetryBudget > known.RetryBudget {
		t.Errorf("got knowledge\n%+v\nwant\n%+v", restored, known)
	}
	for _, x := range [][2]float64{{restored.RequestRate, known.RequestRate}, {restored.AnsweredRate, known.AnsweredRate}, {restored.AttemptRate, known.AttemptRate}, {restored.KeyReads, known.KeyReads}} {
		if x[0] < 0.99*x[1] || x[0] > 1.01*x[1] {
			t.Errorf("got a restored rate of %v, want %v", x[0], x[1])
		}
	}
	if len(r.requests.byID) > 0 || len(r.requests.queued) > 0 || r.endpoints.servers[1].inFlight > 0 || len(r.endpoints.servers[1].abandoned) > 0 {
		t.Error("got restored requests or attempts, want none")
	}
	if load, _ := r.keyLoad(&request{key: "hot"}); load < hotKeyThreshold {
		t.Errorf("got a load of %v of the hot key, want at least %v", load, hotKeyThreshold)
	}
}

// Knowledge about a server process does not apply to the process that replaced it.
func TestRestore_ForgetsReplacedProcess(t *testing.T) {
	known := knowledgeOf(trainedRouter(1), 10e6)
	r, _ := New(10e6, baseSettings(), 2)
	r.Step(10e6, ServersRestored{known.Servers})
	r.Step(10e6, parseEvent(baseSettings(), "endpoints", []string{"cached", "1", "2", "3", "4", "9"}))
	if r.endpoints.servers[3].latency.recent < 30e3 {
		t.Errorf("got a latency of %d us of server 3, want at least 30 ms", r.endpoints.servers[3].latency.recent)
	}
	r.Step(11e6, parseEvent(baseSettings(), "endpoints", []string{"full", "1", "2", "3@10.5", "4", "9"}))
	if r.endpoints.servers[3].latency.samples != 0 || r.endpoints.servers[1].latency.samples == 0 {
		t.Errorf("after the restart of server 3: got %d samples of it and %d of server 1, want 0 and more than 0", r.endpoints.servers[3].latency.samples, r.endpoints.servers[1].latency.samples)
	}
	// Its warm-up begins at its start, regardless of the restored knowledge.
	if r.warmUpAge(r.endpoints.servers[3]) != 0.5e6 {
		t.Errorf("got a warm-up age of %d us, want half a second", r.warmUpAge(r.endpoints.servers[3]))
	}
}

// One failure after a restart does not eject a server. If the rate of attempts were not restored, the server would count as
// seldom used and be ejected by its first failure.
func TestRestore_OneFailureDoesNotEject(t *testing.T) {
	known := knowledgeOf(trainedRouter(1), 10e6)
	r := restoredRouter(known, 2)
	for _, status := range []AttemptStatus{Reset, QueueFull} {
		s := r.endpoints.servers[1]
		r.recordOutcome(&attempt{server: s, sentAt: 10e6}, status, 5e3)
		if s.ejectedUntil != 0 {
			t.Errorf("after status %v: the server is ejected until %v, want no ejection", status, s.ejectedUntil)
		}
	}
}

// New samples outweigh restored knowledge within a few answers.
func TestRestore_NewSamplesOutweighRestored(t *testing.T) {
	known := knowledgeOf(trainedRouter(1), 10e6)
	r := restoredRouter(known, 2)
	s := r.endpoints.servers[1] // restored as fast, now slow
	for range 8 {
		r.recordLatency(s, 100e3)
	}
	if s.latency.recent < 60e3 {
		t.Errorf("after eight answers of 100 ms: got a latency of %d us, want at least 60 ms", s.latency.recent)
	}
	if s.latency.fastest > 11e3 {
		t.Errorf("got a fastest latency of %d us, want the restored one, at most 11 ms", s.latency.fastest)
	}
}

// Many routers that start at once from the same knowledge spread the reads of a hot key over its caches, and each sends at most
// one trial to a server that was ejected.
func TestRestore_ManyRoutersSpreadHotKeyAndTrials(t *testing.T) {
	known := knowledgeOf(trainedRouter(1), 10e6)
	for i := range known.Servers {
		if known.Servers[i].Server == 2 {
			known.Servers[i].Ejected, known.Servers[i].FailurePoints = true, 3
		}
	}
	reads, trials := map[ServerID]int{}, 0
	for seed := range uint64(20) {
		r := restoredRouter(known, seed)
		routerTrials := 0
		for i := range 10 {
			for _, d := range r.Step(10e6, RequestArrived{Request: RequestID(fmt.Sprint(i)), Key: "hot", ValidUntil: 11e6}) {
				if d.Action == Send {
					reads[d.Server]++
					if d.Server == 2 {
						routerTrials++
					}
				}
			}
		}
		if routerTrials > 1 {
			t.Errorf("got %d trials of one router at an ejected server, want at most 1", routerTrials)
		}
		trials += routerTrials
	}
	most, total := 0, 0
	for id, n := range reads {
		if total += n; id != 2 {
			most = max(most, n)
		}
	}
	if most > total*3/4 {
		t.Errorf("one server got %d of %d reads, want at most three quarters: %v, with %d trials", most, total, reads, trials)
	}
}

// BenchmarkKnowledge measures how long capturing the knowledge blocks the event loop: it must stay below 100 us.
func BenchmarkKnowledge(b *testing.B) {
	r, _ := New(0, baseSettings(), 1)
	update := EndpointsUpdated{}
	for i := range 150 {
		update.Endpoints = append(update.Endpoints, Endpoint{Server: ServerID(i + 1), Kind: "cache"})
	}
	r.Step(0, update)
	for _, s := range r.endpoints.servers {
		s.lastAttemptEnd = 1
		for range 16 {
			s.addReportedTime(1, 1000)
		}
	}
	for i := range 10000 {
		r.hotKeys.counts.add(KeyHash(i % 1024))
		r.hotKeys.counts.add(KeyHash(i % 1024))
	}
	worst := time.Duration(0)
	for b.Loop() {
		start := time.Now()
		r.Knowledge(1e6)
		worst = max(worst, time.Since(start))
	}
	b.ReportMetric(float64(worst.Microseconds()), "us-at-worst")
}

// Guards against a successor that sends a server as much as a warm one, although its predecessor has seen it return from a crash whose
// start the endpoint list does not have yet, or has ended its ban.
func TestRestore_ServerThatReturnedStaysCold(t *testing.T) {
	const returnedAt = 9.5e6
	old := trainedRouter(1)
	server := old.endpoints.servers[3]
	server.ejectedUntil, server.connectFailed = 1, true
	old.now = returnedAt
	old.recordAnswer(&attempt{server: server}, OK, 1e3)
	known := knowledgeOf(old, 10e6)
	r := restoredRouter(known, 2)
	if age := r.warmUpAge(r.endpoints.servers[3]); age != 0.5e6 {
		t.Errorf("got a warm-up age of %d us of the server that returned, want half a second", age)
	}
	if age := r.warmUpAge(r.endpoints.servers[1]); age != r.config.warmUpDuration {
		t.Errorf("got a warm-up age of %d us of another server, want that of a warm one", age)
	}
	r.Step(10e6, BanChanged{Server: 3, Since: 1e6}) // as a new process is told of a ban that ended earlier
	if age := r.warmUpAge(r.endpoints.servers[3]); age != 0.5e6 {
		t.Errorf("after an earlier ban: got a warm-up age of %d us, want half a second", age)
	}
}
