package discovery

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Discovery servers of the tests.
const (
	agent      = "127.0.0.1:8500"
	otherAgent = "127.0.0.1:8501"
)

// process is one of two processes of a router, with the list that it has.
type process struct {
	t    *testing.T
	list *EndpointList
}

func newProcess(t *testing.T) process { return process{t, New()} }

// call begins a call at a time.
func (p process) call(server string, now clock.Time) Call { return p.list.BeginCall(server, now) }

// answer applies the response to a call.
func (p process) answer(call Call, now clock.Time, body []byte) {
	p.t.Helper()
	call.AnsweredAt = now
	if _, err := p.list.Apply(call, body); err != nil {
		p.t.Fatal(err)
	}
}

// learn calls for the full list, or for changes, and applies the response at once.
func (p process) learn(server string, now clock.Time, body []byte) {
	p.t.Helper()
	p.answer(p.call(server, now), now, body)
}

// receive adopts the list of another process, through its encoded form, and reports whether that changed anything.
func (p process) receive(other process) bool {
	p.t.Helper()
	shared, ok := other.list.Share()
	if !ok {
		p.t.Fatal("there is no list to share")
	}
	decoded, err := DecodeShared(shared.Encode(), clock.Hour)
	if err != nil {
		p.t.Fatal(err)
	}
	_, changed := p.list.Adopt(decoded)
	return changed
}

// check compares the servers in the list: their names, states and starts.
func (p process) check(want string) {
	p.t.Helper()
	var got []string
	for uid, entry := range p.list.entries {
		got = append(got, fmt.Sprintf("%s:%s:%g", uid, entry.State, entry.BootMillis))
	}
	slices.Sort(got)
	if text := strings.Join(got, " "); text != want {
		p.t.Errorf("got the list %q, want %q", text, want)
	}
}

func draining(uid, more string) string {
	return strings.Replace(entry(uid, more), "active", "leaving", 1)
}

// Guards against a successor that sends to servers whose drain, removal or restart its predecessor was told: the list replaces the
// saved one, whatever its revision.
func TestShared_ReplacesTheSavedList(t *testing.T) {
	old, next := newProcess(t), newProcess(t)
	old.learn(agent, 10, responseBody(7, true, entry("a", ""), entry("b", ""), entry("c", "")))
	old.learn(agent, 20, responseBody(8, false, draining("a", ""), `{"uid":"b","state":"left"}`, entry("c", `,"boot_ms":5000`)))
	if _, err := next.list.ApplySaved(responseBody(41, true, entry("a", ""), entry("b", ""), entry("c", ""))); err != nil {
		t.Fatal(err)
	}
	if !next.receive(old) {
		t.Error("the list changed nothing")
	}
	next.check("a:leaving:0 c:active:5000")
	if path, _ := next.list.NextRequest(clock.Second); path != endpointsPath {
		t.Errorf("the next request is %s, want the full list", path)
	}
}

// Guards against an order of arrival that decides: of two lists of one discovery server the later revision counts, whether the other
// process's list or the answer to an earlier call comes first.
func TestShared_LaterRevisionCountsInEitherOrder(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("answer first: ", answerFirst), func(t *testing.T) {
			old, next := newProcess(t), newProcess(t)
			old.learn(agent, 10, responseBody(7, true, entry("a", ""), entry("b", "")))
			call := next.call(agent, 20)
			old.learn(agent, 21, responseBody(8, false, draining("a", "")))
			earlier := responseBody(7, true, entry("a", ""), entry("b", ""))
			if answerFirst {
				next.answer(call, 22, earlier)
				next.receive(old)
			} else {
				next.receive(old)
				next.answer(call, 22, earlier)
			}
			next.check("a:leaving:0 b:active:0")
			if path, _ := next.list.NextRequest(clock.Second); !strings.Contains(path, "index=8&") {
				t.Errorf("the next request is %s, want a watch of revision 8", path)
			}
		})
	}
}

// Guards against news that only one process is told, and against the response to a watch that was overtaken by it.
func TestShared_WatchContinuesFromTheOtherProcessesRevision(t *testing.T) {
	old, next := newProcess(t), newProcess(t)
	full := responseBody(7, true, entry("a", ""), entry("b", ""))
	old.learn(agent, 10, full)
	next.learn(agent, 20, full)
	watch := next.call(agent, 20)
	old.learn(agent, 30, responseBody(8, false, draining("a", "")))
	old.learn(agent, 31, responseBody(9, false, draining("b", "")))
	next.receive(old)
	next.answer(watch, 32, responseBody(8, false, draining("a", "")))
	next.check("a:leaving:0 b:leaving:0")
	if path, _ := next.list.NextRequest(clock.Second); !strings.Contains(path, "index=9&") {
		t.Errorf("the next request is %s, want a watch of revision 9", path)
	}
	if next.receive(old) {
		t.Error("the same list again changed something")
	}
	old.receive(next)
	old.check("a:leaving:0 b:leaving:0")
}

// Guards against revisions that are compared across a restart of discovery, which numbers them anew: the answer that was requested
// later counts.
func TestShared_DiscoveryThatNumbersAnewReplacesWhatWasHandedOver(t *testing.T) {
	old, next := newProcess(t), newProcess(t)
	old.learn(agent, 10, responseBody(70, true, draining("a", ""), entry("b", "")))
	next.receive(old)
	next.learn(agent, 20, responseBody(2, true, entry("a", ""), draining("b", "")))
	next.check("a:active:0 b:leaving:0")
	if next.receive(old) {
		t.Error("the list from before the restart counts again")
	}
	old.receive(next)
	old.check("a:active:0 b:leaving:0")
	if path, _ := old.list.NextRequest(clock.Second); path != endpointsPath {
		t.Errorf("the next request is %s, want the full list: the revisions of the open watch are others", path)
	}
	if !old.list.NeedsFullList() {
		t.Error("the full list is not needed")
	}
}

// Guards against revisions that are compared across two discovery servers, as after SIGHUP: what takes a server out of use counts, in
// either order, until discovery is asked anew.
func TestShared_OtherDiscoveryServerTakesServersOutOfUse(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("answer first: ", answerFirst), func(t *testing.T) {
			old, next := newProcess(t), newProcess(t)
			all := []string{entry("a", ""), entry("b", ""), entry("c", `,"boot_ms":1`), entry("d", "")}
			old.learn(agent, 10, responseBody(70, true, all...))
			call := next.call(otherAgent, 20)
			old.learn(agent, 21, responseBody(71, false, draining("a", ""), `{"uid":"b","state":"left"}`, entry("c", `,"boot_ms":9`)))
			if answerFirst {
				next.answer(call, 22, responseBody(2, true, all...))
				next.receive(old)
			} else {
				next.receive(old)
				next.answer(call, 22, responseBody(2, true, all...))
			}
			next.check("a:leaving:0 c:active:9 d:active:0")
			if !next.list.NeedsFullList() {
				t.Error("the full list is not needed")
			}
			next.list.Invalidate()
			next.learn(otherAgent, 30, responseBody(3, true, all...))
			next.check("a:active:0 b:active:0 c:active:1 d:active:0")
			if next.list.NeedsFullList() {
				t.Error("the full list is needed again")
			}
		})
	}
}

// Guards against a chain of replacements that loses what the first process was told while discovery is silent.
func TestShared_PassesThroughAChain(t *testing.T) {
	first, second, third := newProcess(t), newProcess(t), newProcess(t)
	first.learn(agent, 10, responseBody(7, true, draining("a", ""), entry("b", "")))
	second.receive(first)
	third.receive(second)
	third.check("a:leaving:0 b:active:0")
	first.learn(agent, 20, responseBody(8, false, draining("b", "")))
	second.receive(first)
	third.receive(second)
	third.check("a:leaving:0 b:leaving:0")
}

// A process that discovery has told nothing has nothing to share, and removed servers are named for a bounded time.
func TestShared_NamesOnlyWhatDiscoveryTold(t *testing.T) {
	p := newProcess(t)
	if _, err := p.list.ApplySaved(responseBody(41, true, entry("a", ""))); err != nil {
		t.Fatal(err)
	}
	if _, ok := p.list.Share(); ok {
		t.Error("a saved list is shared")
	}
	p.learn(agent, 10, responseBody(1, true, entry("b", "")))
	p.learn(agent, 20, responseBody(2, false, `{"uid":"b","state":"left"}`))
	if len(p.list.removed) == 0 {
		t.Error("the removed server is forgotten at once")
	}
	p.learn(agent, 21+removedRetention, responseBody(3, false))
	if len(p.list.removed) != 0 {
		t.Errorf("%d removed servers are kept", len(p.list.removed))
	}
}

// TestDecodeShared_RejectsIncompleteLists guards against lists of other processes that would empty the list.
func TestDecodeShared_RejectsIncompleteLists(t *testing.T) {
	for text, want := range map[string]error{
		`{"rev":1,"targets":[]}`:              ErrNoDiscovery,
		`{"discovery":"127.0.0.1:1","rev":1}`: errNoEndpoints,
	} {
		if _, err := DecodeShared([]byte(text), clock.Hour); !errors.Is(err, want) {
			t.Errorf("%s: got %v, want %v", text, err, want)
		}
	}
	if _, err := DecodeShared([]byte("["), clock.Hour); err == nil {
		t.Error("a damaged list: got no error")
	}
}

// TestEndpointEntry_Overrides compares states of one server.
func TestEndpointEntry_Overrides(t *testing.T) {
	ready, restarted := endpointEntry{State: "active", BootMillis: 1}, endpointEntry{State: "active", BootMillis: 2}
	leaving, left := endpointEntry{State: "leaving", BootMillis: 1}, endpointEntry{State: stateRemoved, BootMillis: 1}
	inOrder := []endpointEntry{ready, leaving, left, restarted}
	for i, a := range inOrder {
		for k, b := range inOrder {
			if got := a.overrides(b); got != (i > k) {
				t.Errorf("%+v overrides %+v: got %v", a, b, got)
			}
		}
	}
	if routing.Removed <= routing.Draining || routing.Draining <= routing.Ready {
		t.Error("the states are not in the order of a server's life")
	}
}

// Guards against a form of the list that processes of other releases do not read.
func TestSharedList_EncodedForm(t *testing.T) {
	p := newProcess(t)
	p.learn(agent, 10, responseBody(7, true, entry("a", `,"pod_group":3,"capacity_hint":2,"boot_ms":1500`), entry("b", "")))
	p.learn(agent, 20, responseBody(8, false, `{"uid":"b","state":"left"}`))
	shared, _ := p.list.Share()
	const want = `{"discovery":"127.0.0.1:8500","rev":8,"requested_us":10,"answered_us":20,"targets":[` +
		`{"uid":"a","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,"state":"active","capacity_hint":2,"boot_ms":1500},` +
		`{"uid":"b","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":0,"state":"left","capacity_hint":0,"boot_ms":0}]}`
	if got := string(shared.Encode()); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a process with another clock, beside which no answer of discovery would ever count as later.
func TestDecodeShared_BoundsTimesByTheOwnClock(t *testing.T) {
	const now = 100
	list, err := DecodeShared([]byte(`{"discovery":"127.0.0.1:8500","rev":70,"requested_us":9000,"answered_us":9000,"targets":[]}`), now)
	if err != nil {
		t.Fatal(err)
	}
	p := newProcess(t)
	p.list.Adopt(list)
	p.learn(agent, now+1, responseBody(2, true, entry("a", "")))
	p.check("a:active:0")
}
