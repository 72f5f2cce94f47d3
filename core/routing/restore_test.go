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

// busyRouter has answered for some seconds, with server 3 slow and a hot key, and has a request in flight.
func busyRouter(seed uint64) *Router {
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

// restoredRouter starts at the tenth second with the knowledge of another one.
func restoredRouter(knowledge Knowledge, seed uint64) *Router {
	const now = 10 * clock.Second
	r, _ := New(now, baseSettings(), seed)
	r.Step(now, KnowledgeRestored{knowledge})
	r.Step(now, ServersRestored{knowledge.Servers})
	r.Step(now, parseEvent(baseSettings(), "endpoints", []string{"full", "1", "2", "3", "4", "9"}))
	return r
}

// sortedServers is the knowledge with its servers in order, for comparing.
func sortedServers(r *Router, now clock.Time) Knowledge {
	k := r.Knowledge(now)
	slices.SortFunc(k.Servers, func(a, b ServerKnowledge) int { return cmp.Compare(a.Server, b.Server) })
	return k
}

// What is restored is the same knowledge, at the weight of few samples.
func TestKnowledge_RoundTrip(t *testing.T) {
	k := sortedServers(busyRouter(1), 10e6)
	r := restoredRouter(k, 2)
	restored := sortedServers(r, 10e6)
	if len(restored.Servers) != 4 || len(k.Servers) != 4 {
		t.Fatalf("%d servers were known, %d are restored", len(k.Servers), len(restored.Servers))
	}
	for i := range restored.Servers {
		if n := restored.Servers[i].Latency.Samples; n != 8 {
			t.Errorf("restored latency counts as %d samples, want 8", n)
		}
		restored.Servers[i].Latency.Samples = k.Servers[i].Latency.Samples
		if x := restored.Servers[i].AttemptRate / k.Servers[i].AttemptRate; x < 0.99 || x > 1.01 {
			t.Errorf("got an attempt rate of %v, want %v", restored.Servers[i].AttemptRate, k.Servers[i].AttemptRate)
		}
		restored.Servers[i].AttemptRate = k.Servers[i].AttemptRate
		if !reflect.DeepEqual(restored.Servers[i], k.Servers[i]) {
			t.Errorf("%+v\n%+v", restored.Servers[i], k.Servers[i])
		}
	}
	if !reflect.DeepEqual(restored.Keys, k.Keys) || !reflect.DeepEqual(restored.MethodLatencies, k.MethodLatencies) || restored.RetryBudget > k.RetryBudget {
		t.Errorf("%+v\n%+v", restored, k)
	}
	for _, x := range [][2]float64{{restored.RequestRate, k.RequestRate}, {restored.AnsweredRate, k.AnsweredRate}, {restored.AttemptRate, k.AttemptRate}, {restored.KeyReads, k.KeyReads}} {
		if x[0] < 0.99*x[1] || x[0] > 1.01*x[1] {
			t.Errorf("a rate of %v was restored as %v", x[1], x[0])
		}
	}
	if len(r.requests.byID) > 0 || len(r.requests.queued) > 0 || r.endpoints.servers[1].inFlight > 0 || len(r.endpoints.servers[1].abandoned) > 0 {
		t.Error("requests or attempts were restored")
	}
	if load, _ := r.keyLoad(&request{key: "hot"}); load < hotKeyThreshold {
		t.Errorf("the hot key has a load of %v, want more", load)
	}
}

// A server process that was replaced does not inherit the knowledge about the earlier one.
func TestRestore_ForgetsReplacedProcess(t *testing.T) {
	k := sortedServers(busyRouter(1), 10e6)
	r, _ := New(10e6, baseSettings(), 2)
	r.Step(10e6, ServersRestored{k.Servers})
	r.Step(10e6, parseEvent(baseSettings(), "endpoints", []string{"cached", "1", "2", "3", "4", "9"}))
	if r.endpoints.servers[3].latency.recent < 30e3 {
		t.Errorf("server 3 has a latency of %d us, want more", r.endpoints.servers[3].latency.recent)
	}
	r.Step(11e6, parseEvent(baseSettings(), "endpoints", []string{"full", "1", "2", "3@10.5", "4", "9"}))
	if r.endpoints.servers[3].latency.samples != 0 || r.endpoints.servers[1].latency.samples == 0 {
		t.Errorf("after the restart of server 3 it has %d samples, server 1 has %d", r.endpoints.servers[3].latency.samples, r.endpoints.servers[1].latency.samples)
	}
	// It is warming up by its start, whatever was known.
	if r.warmUpAge(r.endpoints.servers[3]) != 0.5e6 {
		t.Errorf("got a warm-up age of %d, want half a second", r.warmUpAge(r.endpoints.servers[3]))
	}
}

// One failure after a restart is chance. If the rate of attempts were not restored, the server would count as seldom used
// and be ejected by its first failure.
func TestRestore_OneFailureDoesNotEject(t *testing.T) {
	k := sortedServers(busyRouter(1), 10e6)
	r := restoredRouter(k, 2)
	for _, status := range []AttemptStatus{Reset, QueueFull} {
		s := r.endpoints.servers[1]
		r.recordOutcome(&attempt{server: s, sentAt: 10e6}, status, 5e3)
		if s.ejectedUntil != 0 {
			t.Errorf("after one %v the server is ejected until %v", status, s.ejectedUntil)
		}
	}
}

// New samples outweigh restored knowledge within a few answers.
func TestRestore_NewSamplesOutweighRestored(t *testing.T) {
	k := sortedServers(busyRouter(1), 10e6)
	r := restoredRouter(k, 2)
	s := r.endpoints.servers[1] // known as fast, slow now
	for range 8 {
		r.recordLatency(s, 100e3)
	}
	if s.latency.recent < 60e3 {
		t.Errorf("after eight answers of 100 ms its latency is %d us, want more", s.latency.recent)
	}
	if s.latency.fastest > 11e3 {
		t.Errorf("its fastest latency is %d us, want the restored one", s.latency.fastest)
	}
}

// Many routers that start from the same knowledge at once spread the reads of a hot key, and each sends one trial to a server
// that was ejected.
func TestRestore_ManyRoutersSpreadHotKeyAndTrials(t *testing.T) {
	k := sortedServers(busyRouter(1), 10e6)
	for i := range k.Servers {
		if k.Servers[i].Server == 2 {
			k.Servers[i].Ejected, k.Servers[i].FailurePoints = true, 3
		}
	}
	got, trials := map[ServerID]int{}, 0
	for seed := range uint64(20) {
		r := restoredRouter(k, seed)
		tried := 0
		for i := range 10 {
			for _, d := range r.Step(10e6, RequestArrived{Request: RequestID(fmt.Sprint(i)), Key: "hot", ValidUntil: 11e6}) {
				if d.Action == Send {
					got[d.Server]++
					if d.Server == 2 {
						tried++
					}
				}
			}
		}
		if tried > 1 {
			t.Errorf("a router sent %d trials at once to an ejected server", tried)
		}
		trials += tried
	}
	most, all := 0, 0
	for id, n := range got {
		if all += n; id != 2 {
			most = max(most, n)
		}
	}
	if most > all*3/4 {
		t.Errorf("of %d reads one server got %d: %v, with %d trials", all, most, got, trials)
	}
}

// BenchmarkKnowledge measures what capturing the knowledge costs the event loop: it must stay below 100 us.
func BenchmarkKnowledge(b *testing.B) {
	r, _ := New(0, baseSettings(), 1)
	l := EndpointsUpdated{}
	for i := range 150 {
		l.Endpoints = append(l.Endpoints, Endpoint{Server: ServerID(i + 1), Kind: "cache"})
	}
	r.Step(0, l)
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
