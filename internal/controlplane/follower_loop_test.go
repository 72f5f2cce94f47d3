package controlplane

import (
	"errors"
	"testing"
	"time"

	"spurtrestle/core/policycommit"
	"spurtrestle/core/routing"
)

// orderedRouter rejects the settings of one revision as busy until it has received those of a later one. MaxAttempts identifies
// the revisions.
type orderedRouter struct {
	recordingRouter
	busyFor, busyUntil int
}

func (o *orderedRouter) SetPolicy(settings routing.Settings, bannedServers []string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if settings.MaxAttempts == o.busyFor && o.settings.MaxAttempts != o.busyUntil {
		return errors.New("the event loop is busy")
	}
	o.settings, o.bannedServers = settings, bannedServers
	return nil
}

func (o *orderedRouter) maxAttempts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.settings.MaxAttempts
}

// While the event loop is busy, the node retries to apply a revision. The retries must stop once a later revision is in force.
func TestNode_KeepsTheLaterRevisionWhenTheEventLoopIsBusy(t *testing.T) {
	router := &orderedRouter{busyFor: 5, busyUntil: 6}
	node := startNode(t, testConfig(t), router)
	bootstrapNode(t, node, &router.recordingRouter)
	for i, document := range []string{"schema = 1\nmax_write_outs = 5\n", "schema = 1\nmax_write_outs = 6\n"} {
		reply := sendRequest(t, node, policycommit.Request{
			Type:     policycommit.RequestApply,
			Document: document,
			Base:     policycommit.Revision(i),
			Token:    policycommit.Token(document),
			Author:   "ada",
			Reason:   "test",
		})
		if reply.Verdict == nil || !reply.Verdict.Committed {
			t.Fatalf("revision %d: got %+v, want it committed", i+1, reply.Verdict)
		}
		if i == 0 {
			waitFor(t, "the lease of revision 1", func() bool {
				return decode[policycommit.RouterStatus](t, policyText(t, node)).Revision == 1
			})
		}
	}
	waitFor(t, "revision 2 is in force", func() bool {
		return decode[policycommit.RouterStatus](t, policyText(t, node)).InForce == 2
	})
	for deadline := time.Now().Add(10 * applyRetryInterval); time.Now().Before(deadline); time.Sleep(applyRetryInterval) {
		if attempts := router.maxAttempts(); attempts != 6 {
			t.Fatalf("MaxAttempts after revision 2 is in force: got %d, want 6", attempts)
		}
	}
}
