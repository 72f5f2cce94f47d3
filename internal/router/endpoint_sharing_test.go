package router

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
)

const testAgent = "127.0.0.1:8500" // the discovery server of the tests

// endpointJSON returns an entry of discovery in a state.
func endpointJSON(uid, state string, bootMillis int) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","model":"m","state":%q,"boot_ms":%d}`, uid, state, bootMillis)
}

// learnEndpoints has a router's discovery answer a call with a full list.
func (r *Router) learnEndpoints(t *testing.T, revision int, entries ...string) {
	t.Helper()
	call := r.endpoints.BeginCall(testAgent, r.sharedTime())
	call.AnsweredAt = r.sharedTime()
	update, err := r.endpoints.Apply(call, fmt.Appendf(nil, `{"rev":%d,"all":true,"targets":[%s]}`, revision, strings.Join(entries, ",")))
	if err != nil {
		t.Error(err)
	}
	r.applyEndpoints(update)
	r.publishEndpoints(nil)
}

// encodedEndpoints returns the list of another process that was told these entries now.
func encodedEndpoints(t *testing.T, revision int, entries ...string) []byte {
	t.Helper()
	l := newFakeLoop(t, originOnlyConfig())
	l.r.learnEndpoints(t, revision, entries...)
	encode, ok := l.r.encodeEndpoints()
	if !ok {
		t.Fatal("there is no list")
	}
	return encode()
}

// targetsOf returns the servers with their states in the body of a frame.
func targetsOf(t *testing.T, body []byte) string {
	t.Helper()
	var document struct {
		Targets []struct{ UID, State string } `json:"targets"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		t.Fatal(err)
	}
	var targets []string
	for _, target := range document.Targets {
		targets = append(targets, target.UID+":"+target.State)
	}
	return strings.Join(targets, " ")
}

// receiveFrames reads frames up to the first of a kind, and returns their kinds and the last endpoint list among them.
func (h *handoverTest) receiveFrames(t *testing.T, last handover.Kind) (kinds, targets string) {
	t.Helper()
	for {
		frame, err := h.successor.Receive(10 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		frame.CloseDescriptors()
		kinds += string(rune(frame.Kind))
		if frame.Kind == handover.Endpoints {
			targets = targetsOf(t, frame.Body)
		}
		if frame.Kind == last {
			return kinds, targets
		}
	}
}

// Guards against a successor that learns its predecessor's endpoint list too late: the list comes with the first frames, and the
// latest one before the frame with which the successor begins to admit requests.
func TestHandover_EndpointsComeBeforeTheFirstRequest(t *testing.T) {
	h := newHandoverTest(t)
	h.onLoop(t, func() { h.router.learnEndpoints(t, 7, endpointJSON("a", "active", 0), endpointJSON("b", "active", 0)) })
	h.sendHello(t)
	kinds, targets := h.receiveFrames(t, handover.Snapshot)
	if kinds != "LIEK" || targets != "a:active b:active o:left" { // o was in the saved list alone
		t.Errorf("first frames: got %s with the list %q, want LIEK with both servers", kinds, targets)
	}
	h.router.OfferTransfer(func() []byte { return make([]byte, 4<<20) }) // blocks the frames behind it
	h.onLoop(t, func() { h.router.learnEndpoints(t, 8, endpointJSON("a", "leaving", 0), endpointJSON("b", "active", 0)) })
	if err := h.successor.Send(handover.Frame{Kind: handover.Ready}); err != nil {
		t.Fatal(err)
	}
	h.awaitOnLoop(t, func() bool { return h.router.takeover.handingOver })
	if _, targets = h.receiveFrames(t, handover.RecentIDs); targets != "a:leaving b:active o:left" {
		t.Errorf("before the ids of requests: got the list %q, want the drain of a", targets)
	}
}

// Guards against an old process that goes on sending to a server whose drain only its successor was told, and against an older list
// that brings the server back. Frames of later releases are ignored.
func TestHandover_AdoptsTheSuccessorsEndpoints(t *testing.T) {
	h := newHandoverTest(t)
	h.onLoop(t, func() { h.router.learnEndpoints(t, 7, endpointJSON("a", "active", 0), endpointJSON("b", "active", 0)) })
	earlier := encodedEndpoints(t, 6, endpointJSON("a", "active", 0), endpointJSON("b", "active", 0))
	time.Sleep(time.Millisecond) // what follows was requested later
	h.sendHello(t)
	h.receiveFrames(t, handover.Snapshot)
	isDraining := func() bool {
		id, listed := h.router.endpoints.ID("a")
		return listed && !h.router.servers[id].ready
	}
	for _, body := range [][]byte{
		encodedEndpoints(t, 8, endpointJSON("a", "leaving", 0), endpointJSON("b", "active", 0)),
		earlier, []byte("["), nil,
	} {
		if err := h.successor.Send(handover.Frame{Kind: handover.Endpoints, Body: body}); err != nil {
			t.Fatal(err)
		}
		h.awaitOnLoop(t, isDraining)
	}
	if err := h.successor.Send(handover.Frame{Kind: '?', Body: []byte("of a later release")}); err != nil {
		t.Fatal(err)
	}
	h.awaitDescriptorCount(t, 7)
	h.awaitOnLoop(t, isDraining)
}

// A successor starts with its predecessor's list in place of the saved one, and a server that has just started counts as cold.
func TestHandover_StartsWithThePredecessorsEndpoints(t *testing.T) {
	const bootMillis = 1_700_000_000_000
	cfg := originOnlyConfig()
	cfg.SavedEndpoints = fmt.Appendf(nil, `{"rev":90,"all":true,"targets":[%s,%s]}`, endpointJSON("a", "active", 0), endpointJSON("gone", "active", 0))
	l := newFakeLoop(t, cfg)
	for _, kind := range []handover.Kind{'?', handover.Endpoints} { // a frame of a later release is ignored
		body := encodedEndpoints(t, 8, endpointJSON("a", "active", bootMillis), endpointJSON("b", "leaving", 0))
		if _, _, err := l.r.applyPredecessorFrame(handover.Frame{Kind: kind, Body: body}); err != nil {
			t.Fatal(err)
		}
	}
	l.r.applyFirstEndpoints()
	got := ""
	for _, event := range l.r.pendingEvents {
		if update, ok := event.(routing.EndpointsUpdated); ok {
			for _, endpoint := range update.Endpoints {
				got += fmt.Sprintf("%s state %d start %d; ", l.r.endpoints.UID(endpoint.Server), endpoint.State, endpoint.StartedAt/clock.Millisecond)
			}
		}
	}
	if want := fmt.Sprintf("a state 0 start %d; b state 1 start 0; ", bootMillis); got != want {
		t.Errorf("got the list %q, want %q", got, want)
	}
	if len(l.r.servers) != 2 {
		t.Errorf("got %d servers, want 2", len(l.r.servers))
	}
}

// The list of the largest fleet, with the longest names, fits into a frame; a longer one is not sent, and the frames behind it arrive.
func TestHandover_EndpointsFitIntoAFrame(t *testing.T) {
	const largestFleet, longestName = 3200, 256
	var entries []string
	for n := range largestFleet {
		name := fmt.Sprintf("%s%06d", strings.Repeat("n", longestName-6), n)
		entries = append(entries, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":%d,"state":"leaving","capacity_hint":%g,"boot_ms":1700000000000}`,
			name, "255.255.255.255:65535", name, name, n, 1.0/3))
	}
	body := encodedEndpoints(t, 7, entries...)
	if len(body) > handover.MaxBodyBytes {
		t.Errorf("the list has %d bytes, and a frame at most %d", len(body), handover.MaxBodyBytes)
	}
	t.Logf("%d servers: %d bytes", largestFleet, len(body))
	if _, err := discovery.DecodeShared(body, 1<<60); err != nil {
		t.Fatal(err)
	}
	h := newHandoverTest(t)
	h.sendHello(t)
	h.receiveFrames(t, handover.Snapshot)
	h.onLoop(t, func() {
		tooLong := strings.Repeat("n", handover.MaxBodyBytes)
		h.router.learnEndpoints(t, 7, endpointJSON(tooLong, "active", 0))
	})
	h.router.OfferTransfer(func() []byte { return nil })
	for {
		frame, err := h.successor.Receive(10 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		frame.CloseDescriptors()
		if frame.Kind == handover.Endpoints && len(frame.Body) > 0 {
			t.Errorf("a list of %d bytes was sent", len(frame.Body))
		}
		if frame.Kind == handover.LeaseTransfer {
			break
		}
	}
}
