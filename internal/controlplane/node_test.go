package controlplane

import (
	"encoding/json"
	"errors"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/policycommit"
	"spurtrestle/core/routing"
	"spurtrestle/internal/fleet"
)

// loopbackTransport is the transport of a fleet with one router. It delivers every message to the sender.
type loopbackTransport struct {
	mu       sync.Mutex
	handler  func(from fleet.Incarnation, body []byte)
	isLeader bool
	voter    fleet.VoterStatus
	revision uint64
}

const ownIncarnation fleet.Incarnation = 7

func (*loopbackTransport) Self() fleet.Incarnation { return ownIncarnation }

func (l *loopbackTransport) Send(to fleet.Incarnation, body []byte) {
	l.mu.Lock()
	handler := l.handler
	l.mu.Unlock()
	go handler(to, body) // on another goroutine, as fleet.Transport requires
}

func (l *loopbackTransport) OnMessage(handler func(from fleet.Incarnation, body []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handler = handler
}

func (l *loopbackTransport) Leaders() []fleet.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isLeader {
		return nil
	}
	return []fleet.Incarnation{ownIncarnation}
}

func (l *loopbackTransport) SetLeader(isLeader bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLeader = isLeader
}

func (l *loopbackTransport) SetPolicyRevision(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
}

func (l *loopbackTransport) SetVoter(status fleet.VoterStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.voter = status
}

func (l *loopbackTransport) Voters() []fleet.VoterStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []fleet.VoterStatus{l.voter}
}

func (*loopbackTransport) HasJoined() bool                 { return true }
func (*loopbackTransport) AcknowledgedIndex(uint64) uint64 { return 0 }
func (*loopbackTransport) Members() []fleet.Member         { return []fleet.Member{{Name: "n1"}} }

// recordingRouter records the calls of a node.
type recordingRouter struct {
	mu            sync.Mutex
	deadline      time.Time
	settings      routing.Settings
	bannedServers []string
	busy          int // number of calls of SetPolicy that are still to fail
}

func (r *recordingRouter) SetPolicy(settings routing.Settings, bannedServers []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy > 0 {
		r.busy--
		return errors.New("the event loop is busy")
	}
	r.settings, r.bannedServers = settings, bannedServers
	return nil
}

func (r *recordingRouter) SetAdmissionDeadline(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = deadline
}

func (r *recordingRouter) admits() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deadline.IsZero() || r.deadline.After(time.Now())
}

func (*recordingRouter) SetExtraShare(float64, time.Time) {}
func (*recordingRouter) OfferTransfer(func() []byte)      {}
func (*recordingRouter) OnTransfer(func(transfer []byte)) {}
func (*recordingRouter) SetSiteOrders(routing.FailoverOrders, time.Time) (routing.RouterLoad, error) {
	return routing.RouterLoad{}, nil
}

func testConfig(t *testing.T) Config {
	t.Helper()
	return Config{
		Name:   "n1",
		Voters: []string{"n1"},
		Raft: RaftConfig{
			Dir:       filepath.Join(t.TempDir(), "raft"),
			Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
			Advertise: netip.MustParseAddrPort("127.0.0.1:8500"),
		},
		OwnSettings: routing.Settings{Routers: 1, MaxAttempts: 2},
		ConfigError: func(field, problem, remedy string) error { return errors.New(field + ": " + problem + "; " + remedy) },
	}
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// startNode starts the node of a fleet with one router, and closes it at the end of the test.
func startNode(t *testing.T, config Config, router Router) *Node {
	t.Helper()
	node, err := start(config, ownIncarnation, "build", router, &loopbackTransport{}, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close(false) })
	return node
}

func waitFor(t *testing.T, event string, happened func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !happened(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout of ten seconds: %s", event)
		}
	}
}

// sendRequest sends an operator's request and decodes the reply.
func sendRequest(t *testing.T, node *Node, request policycommit.Request) policycommit.Reply {
	t.Helper()
	text, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := node.HandleRequest(string(text))
	if err != nil {
		t.Fatalf("request %s: %v", request.Type, err)
	}
	return *decode[policycommit.Reply](t, answer)
}

func bootstrapNode(t *testing.T, node *Node, router *recordingRouter) {
	t.Helper()
	answer, err := node.HandleRequest(`{"what":"found"}`)
	if err != nil || answer != "founded\n" {
		t.Fatalf("bootstrap: got %q, %v", answer, err)
	}
	waitFor(t, "the router admits requests under revision 0", router.admits)
}

func TestNode_AdmitsNothingBeforeTheFirstLease(t *testing.T) {
	router := &recordingRouter{}
	node := startNode(t, testConfig(t), router)
	time.Sleep(5 * followerInterval)
	if router.admits() {
		t.Error("the router admits requests before its voter was bootstrapped")
	}
	status := decode[policycommit.RouterStatus](t, policyText(t, node))
	if status.HasRevision || status.Admitting || status.VoterFault != "it has not been welcomed yet" {
		t.Errorf("status before the bootstrap: got %+v, want no revision, no admission and the fault of a new directory", status)
	}
	bootstrapNode(t, node, router)
}

func policyText(t *testing.T, node *Node) string {
	t.Helper()
	text, err := node.Policy()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestNode_CommitsAndAppliesAChange(t *testing.T) {
	router := &recordingRouter{busy: 2}
	node := startNode(t, testConfig(t), router)
	bootstrapNode(t, node, router)

	apply := policycommit.Request{
		Type:     policycommit.RequestApply,
		Document: "schema = 1\nmax_write_outs = 5\nout = [\"s1\"]\n",
		Token:    "t1",
		Author:   "ada",
		Reason:   "test",
	}
	reply := sendRequest(t, node, apply)
	if reply.Verdict == nil || !reply.Verdict.Committed || reply.Verdict.Revision != 1 {
		t.Fatalf("verdict: got %+v, want revision 1 committed", reply.Verdict)
	}
	waitFor(t, "revision 1 is in force and the router admits requests", func() bool {
		return decode[policycommit.RouterStatus](t, policyText(t, node)).InForce == 1 && router.admits()
	})
	router.mu.Lock()
	if router.settings.MaxAttempts != 5 || len(router.bannedServers) != 1 || router.bannedServers[0] != "s1" {
		t.Errorf("router: got MaxAttempts %d, banned servers %q, want 5 and s1", router.settings.MaxAttempts, router.bannedServers)
	}
	router.mu.Unlock()

	if again := sendRequest(t, node, apply); again.Verdict == nil || *again.Verdict != *reply.Verdict {
		t.Errorf("repeated request: got %+v, want %+v", again.Verdict, reply.Verdict)
	}
	apply.Token = "t2"
	if stale := sendRequest(t, node, apply); stale.Verdict == nil || stale.Verdict.Committed || !strings.Contains(stale.Verdict.Reason, "made for revision 0, and 1 is in force") {
		t.Errorf("change based on an old revision: got %+v, want it rejected", stale.Verdict)
	}
}

func TestStart_RejectsADirectoryThatCannotBeCreated(t *testing.T) {
	config := testConfig(t)
	config.Raft.Dir = "/dev/null/raft"
	if _, err := start(config, ownIncarnation, "build", &recordingRouter{}, &loopbackTransport{}, quietLog()); err == nil || !strings.HasPrefix(err.Error(), "policy.dir: ") {
		t.Errorf("got %v, want an error of policy.dir", err)
	}
}
