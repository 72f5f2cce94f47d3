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

// busy is a router that has answered for some seconds, with server 3 slow and a hot key, and has a request in hand.
func busy(seed uint64) *Router {
	r, _ := New(0, base(), seed)
	r.Step(0, input(base(), "list", []string{"full", "1", "2", "3", "4", "9"}))
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
	r.Step(10e6, RequestArrived{Request: "in hand", Key: "k1", ValidUntil: 11e6})
	return r
}

// knows is in order, for comparing.
func knows(r *Router, now clock.Time) Knowledge {
	k := r.Knowledge(now)
	slices.SortFunc(k.Servers, func(a, b ServerKnowledge) int { return cmp.Compare(a.Server, b.Server) })
	return k
}

// What is given and taken again is the same knowledge, at the weight of few answers.
func TestKnowledgeIsKept(t *testing.T) {
	k := knows(busy(1), 10e6)
	r, _ := New(10e6, base(), 2)
	r.Step(10e6, KnowledgeRestored{k})
	r.Step(10e6, ServersRestored{k.Servers})
	r.Step(10e6, input(base(), "list", []string{"full", "1", "2", "3", "4", "9"}))
	again := knows(r, 10e6)
	if len(again.Servers) != 4 || len(k.Servers) != 4 {
		t.Fatalf("%d servers were known, %d are", len(k.Servers), len(again.Servers))
	}
	for i := range again.Servers {
		if n := again.Servers[i].Latency.Samples; n != 8 {
			t.Errorf("times weigh as %d answers", n)
		}
		again.Servers[i].Latency.Samples = k.Servers[i].Latency.Samples
		if x := again.Servers[i].AttemptRate / k.Servers[i].AttemptRate; x < 0.99 || x > 1.01 {
			t.Errorf("it was used %v times a second, and is %v", k.Servers[i].AttemptRate, again.Servers[i].AttemptRate)
		}
		again.Servers[i].AttemptRate = k.Servers[i].AttemptRate
		if !reflect.DeepEqual(again.Servers[i], k.Servers[i]) {
			t.Errorf("%+v\n%+v", again.Servers[i], k.Servers[i])
		}
	}
	if !reflect.DeepEqual(again.Keys, k.Keys) || !reflect.DeepEqual(again.MethodLatencies, k.MethodLatencies) || again.RetryBudget > k.RetryBudget {
		t.Errorf("%+v\n%+v", again, k)
	}
	for _, x := range [][2]float64{{again.RequestRate, k.RequestRate}, {again.AnsweredRate, k.AnsweredRate}, {again.AttemptRate, k.AttemptRate}, {again.KeyReads, k.KeyReads}} {
		if x[0] < 0.99*x[1] || x[0] > 1.01*x[1] {
			t.Errorf("a rate of %v became %v", x[1], x[0])
		}
	}
	if len(r.requests) > 0 || len(r.held) > 0 || r.servers[1].inFlight > 0 || len(r.servers[1].ghosts) > 0 {
		t.Error("reqs or write-outs came with it")
	}
	if load, _ := r.load(&request{key: "hot"}); load < hotBound {
		t.Errorf("the hot key has a load of %v", load)
	}
}

// A process that restarted meanwhile owes nothing to what was known of the one before.
func TestNewProcessForgets(t *testing.T) {
	k := knows(busy(1), 10e6)
	r, _ := New(10e6, base(), 2)
	r.Step(10e6, ServersRestored{k.Servers})
	r.Step(10e6, input(base(), "list", []string{"saved", "1", "2", "3", "4", "9"}))
	if r.servers[3].time < 30e3 {
		t.Errorf("server 3 is known to take %d", r.servers[3].time)
	}
	r.Step(11e6, input(base(), "list", []string{"full", "1", "2", "3@10.5", "4", "9"}))
	if r.servers[3].n != 0 || r.servers[1].n == 0 {
		t.Errorf("after its restart server 3 has %d answers, server 1 has %d", r.servers[3].n, r.servers[1].n)
	}
	// And it is cold: the budget follows from its start, whatever was known.
	if r.coldAge(r.servers[3]) != 0.5e6 {
		t.Errorf("it counts as up for %d", r.coldAge(r.servers[3]))
	}
}

// One failure after a restart is chance, as it was before: without its use a server seemed to be used once in many
// seconds, was set aside for half a minute at the first failure, and a rolling deploy lost a twentieth of its service.
func TestOneFailureSetsNobodyAside(t *testing.T) {
	k := knows(busy(1), 10e6)
	r, _ := New(10e6, base(), 2)
	r.Step(10e6, KnowledgeRestored{k})
	r.Step(10e6, ServersRestored{k.Servers})
	r.Step(10e6, input(base(), "list", []string{"full", "1", "2", "3", "4", "9"}))
	for _, status := range []Status{Reset, QueueFull} {
		s := r.servers[1]
		r.judge(&attempt{server: s, sent: 10e6}, status, 5e3)
		if s.aside != 0 {
			t.Errorf("after one %v it is set aside until %v", status, s.aside)
		}
	}
}

// Own outcomes overrule what was known within a few answers.
func TestOwnOutcomesOverrule(t *testing.T) {
	k := knows(busy(1), 10e6)
	r, _ := New(10e6, base(), 2)
	r.Step(10e6, KnowledgeRestored{k})
	r.Step(10e6, ServersRestored{k.Servers})
	r.Step(10e6, input(base(), "list", []string{"full", "1", "2", "3", "4", "9"}))
	s := r.servers[1] // known as quick, slow now
	for range 8 {
		r.measure(s, 100e3)
	}
	if s.time < 60e3 {
		t.Errorf("after eight answers of 100 ms it is taken to need %d us", s.time)
	}
	if s.best > 11e3 {
		t.Errorf("its quickest time, %d us, is forgotten", s.best)
	}
}

// Many routers that start from one knowledge at once spread the reads of a hot key, and try a server that was set aside
// with one request each.
func TestTwentyRestoreAtOnce(t *testing.T) {
	k := knows(busy(1), 10e6)
	for i := range k.Servers {
		if k.Servers[i].Server == 2 {
			k.Servers[i].Ejected, k.Servers[i].FailurePoints = true, 3
		}
	}
	got, trials := map[ServerID]int{}, 0
	for seed := range uint64(20) {
		r, _ := New(10e6, base(), seed)
		r.Step(10e6, KnowledgeRestored{k})
		r.Step(10e6, ServersRestored{k.Servers})
		r.Step(10e6, input(base(), "list", []string{"full", "1", "2", "3", "4", "9"}))
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
			t.Errorf("a router tried a server that was set aside %d times at once", tried)
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

// BenchmarkKnows is what the loop pays for a state: it must stay below 100 us.
func BenchmarkKnows(b *testing.B) {
	r, _ := New(0, base(), 1)
	l := EndpointsUpdated{}
	for i := range 150 {
		l.Endpoints = append(l.Endpoints, Endpoint{Server: ServerID(i + 1), Kind: "cache"})
	}
	r.Step(0, l)
	for _, s := range r.servers {
		s.ended = 1
		for range 16 {
			s.report(1, 1000)
		}
	}
	for i := range 10000 {
		r.hot.count(KeyHash(i % 1024))
		r.hot.count(KeyHash(i % 1024))
	}
	worst := time.Duration(0)
	for b.Loop() {
		start := time.Now()
		r.Knowledge(1e6)
		worst = max(worst, time.Since(start))
	}
	b.ReportMetric(float64(worst.Microseconds()), "us-at-worst")
}
