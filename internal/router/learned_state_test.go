package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/snapshot"
)

// The learned state of another service's router is ignored, and a log line names both.
func TestStateOfAnotherServiceIsIgnored(t *testing.T) {
	l, _, _ := newConnectedOrigin(t)
	var logged strings.Builder
	l.r.log.SetOutput(&logged)
	l.r.ConfigureSnapshots(&snapshot.State{Version: snapshot.Version, Methods: []snapshot.Method{{Name: "tile", Latency: 7000}},
		Servers: []snapshot.Server{{UID: "o"}}}, 1e6, func(snapshot.State) {})
	l.r.batchTime = l.r.clock()
	l.r.restoreLearned()
	if len(l.r.learned.unlistedServers) > 0 || !strings.Contains(logged.String(), "methods tile, and this router serves one with pay") {
		t.Errorf("restored %d servers of another service; logged %s", len(l.r.learned.unlistedServers), logged.String())
	}
}

// A router starts with what an earlier process learned, for the servers in its endpoint lists, matched by id.
func TestLearnedStateIsRestored(t *testing.T) {
	l, client, _ := newConnectedOrigin(t)
	client.sendWrites(l.r, "r1")
	l.runQueued()
	old := snapshot.State{Version: snapshot.Version, Methods: []snapshot.Method{{Name: l.r.cfg.Settings.Methods[0].Name, Latency: 7000}},
		Knowledge: routing.Knowledge{CapturedAt: l.r.clock(), ObservedFor: 60e6, CacheLatency: routing.LatencySummary{Recent: 3000, Mean: 3000, Fastest: 2000, Samples: 32}}}
	for i := range 3 {
		old.Servers = append(old.Servers, snapshot.Server{UID: fmt.Sprint("uid-", i), ServerKnowledge: routing.ServerKnowledge{ObservedAt: l.r.clock(),
			Latency: routing.LatencySummary{Recent: clock.Time(1000 * (i + 1)), Mean: 1, Fastest: 1, Samples: 32}}})
	}
	r := l.r
	r.ConfigureSnapshots(&old, 1e6, func(snapshot.State) {})
	r.batchTime = r.clock()
	r.restoreLearned()
	list := func(uids ...string) {
		body := `{"rev":9,"all":true,"targets":[`
		for i, uid := range uids {
			if i > 0 {
				body += ","
			}
			body += fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","model":"cache","state":"active"}`, uid)
		}
		got, err := r.endpoints.Apply(discovery.Call{}, []byte(body+"]}"))
		if err != nil {
			t.Fatal(err)
		}
		r.applyEndpoints(got)
		l.runQueued()
	}
	known := func() map[string]clock.Time {
		out := map[string]clock.Time{}
		for _, s := range r.State().Servers {
			out[s.UID] = s.Latency.Recent
		}
		return out
	}
	list("uid-0", "other")
	if got := known(); got["uid-0"] != 1000 || len(got) != 1 {
		t.Errorf("with its first list the router knows %v", got)
	}
	list("uid-0", "uid-2", "other") // listed later: its knowledge was kept until then
	if got := known(); got["uid-2"] != 3000 || len(got) != 2 {
		t.Errorf("with its next list the router knows %v", got)
	}
	if m := r.State().Methods[0].Latency; m < 6900 || m > 7000 {
		t.Errorf("got method latency %v, want 6900 to 7000", m)
	}
}

// Snapshots are submitted repeatedly.
func TestSnapshotsAreSubmittedPeriodically(t *testing.T) {
	l, _, _ := newConnectedOrigin(t)
	r := l.r
	n := 0
	r.ConfigureSnapshots(nil, 20e3, func(snapshot.State) { n++ })
	r.restoreLearned()
	for until := time.Now().Add(2 * time.Second); n < 3 && time.Now().Before(until); time.Sleep(time.Millisecond) {
		r.fireTimers(r.clock())
	}
	if n < 3 {
		t.Errorf("got %d snapshots, want at least 3", n)
	}
}

// BenchmarkState measures how long the loop is occupied by a snapshot for 150 servers; the budget is 100 us.
func BenchmarkState(b *testing.B) {
	l, _, _ := newConnectedOrigin(b)
	r := l.r
	body := `{"rev":9,"all":true,"targets":[`
	var known []routing.ServerKnowledge
	for i := range 150 {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"uid":"server-%d","endpoint":"127.0.0.1:1","model":"cache","state":"active"}`, i)
	}
	got, err := r.endpoints.Apply(discovery.Call{}, []byte(body+"]}"))
	if err != nil {
		b.Fatal(err)
	}
	for _, e := range got.Endpoints {
		known = append(known, routing.ServerKnowledge{Server: e.Server, ObservedAt: 1, Latency: routing.LatencySummary{Recent: 5, Mean: 5, Fastest: 5, Samples: 32}})
	}
	r.core.Step(r.clock(), routing.ServersRestored{Servers: known})
	var keys []routing.KeyKnowledge
	for i := range 1024 {
		keys = append(keys, routing.KeyKnowledge{Key: routing.KeyHash(i), Count: 5})
	}
	r.core.Step(r.clock(), routing.KnowledgeRestored{Knowledge: routing.Knowledge{Keys: keys, KeyReads: 5000}})
	r.core.Step(r.clock(), got)
	b.ReportAllocs()
	for b.Loop() {
		if s := r.State(); len(s.Servers) < 150 || len(s.Knowledge.Keys) != 1024 {
			b.Fatal(len(s.Servers), len(s.Knowledge.Keys))
		}
	}
}
