package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

type list struct {
	Rev     int  `json:"rev"`
	All     bool `json:"all"`
	Targets []struct {
		UID   string `json:"uid"`
		State string `json:"state"`
	} `json:"targets"`
}

func get(t *testing.T, r *Registry, query string) (l list, err error) {
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + r.Addr(0) + "/registry/instances" + query)
	if err != nil {
		return l, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return l, json.Unmarshal(body, &l)
}

func TestListsAndWatches(t *testing.T) {
	log := event.NewLog()
	r, err := Start(log, scenario.Discovery{Delay: 100e3}, []string{"127.14.0.1:18500", "127.14.0.2:18500"})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	entry := func(uid event.Server, state string) Entry {
		return Entry{UID: uid, State: state, Kind: "cache", Addr: func(n event.Router) string { return fmt.Sprint("for-", n) }}
	}
	r.Update(entry("a", "active"), true)
	r.Update(entry("b", "active"), true)
	expect := func(what, query, want string) {
		l, err := get(t, r, query)
		if got := fmt.Sprint(l, err != nil); got != want {
			t.Errorf("%s: got %s, want %s", what, got, want)
		}
	}
	expect("the complete list", "", "{2 true [{a active} {b active}]} false")
	r.Update(entry("b", "leaving"), false)
	expect("before the delay is over", "?index=2&wait=20", "{2 false []} false")
	r.Partition(map[event.Router]bool{0: true})
	if l, err := get(t, r, "?index=2&wait=100"); err == nil {
		t.Error("a partitioned router received ", l)
	}
	r.Partition(nil)
	expect("a watch that outlasts the delay", "?index=2&wait=1000", "{3 false [{b leaving}]} false")
	r.Update(entry("b", "left"), false)
	expect("removed server among changes", "?index=3&wait=1000", "{4 false [{b left}]} false")
	expect("removed server in a complete list", "", "{4 true [{a active}]} false")
	expect("an unknown index", "?index=99&wait=10", "{4 true [{a active}]} false")

	r.ApplyFault(scenario.Fault{Kind: "discovery_bad"}, false)
	expect("a malformed list", "", "{0 false []} true")
	r.ApplyFault(scenario.Fault{Kind: "discovery_bad"}, true)
	r.ApplyFault(scenario.Fault{Kind: "discovery_silent"}, false)
	r.Update(entry("a", "leaving"), false)
	time.Sleep(120 * time.Millisecond)
	r.RecordDeliveries()
	if _, err := get(t, r, ""); err == nil {
		t.Error("answered while silent")
	}
	r.ApplyFault(scenario.Fault{Kind: "discovery_silent"}, true)
	expect("changes made while silent", "?index=4&wait=1000", "{5 false [{a leaving}]} false")
	if err := r.MoveAgent(0, "127.14.0.1:18501", 10*time.Millisecond); err != nil || r.Addr(0) != "127.14.0.1:18501" {
		t.Error(r.Addr(0), err)
	}
	expect("at its new address", "", "{5 true [{a leaving}]} false")

	// Only servers that must not get new requests are recorded as delivered, and only for the router that requested the list.
	delivered := ""
	for _, e := range log.Events() {
		if e.Kind == event.RemovalDelivered {
			delivered += fmt.Sprint(e.Server, " to ", e.Router, "; ")
		}
	}
	if want := "b to 0; b to 0; a to 0; "; delivered != want {
		t.Errorf("%q was recorded as delivered", delivered)
	}
	r.RecordDeliveries()
	due := 0
	for _, e := range log.Events() {
		if e.Kind == event.RemovalAnnounced {
			due++
		}
	}
	if due != 6 { // three changes at two agents
		t.Errorf("%d changes were recorded at the agents", due)
	}
}
