package controlplane

import (
	"errors"
	"strings"
	"testing"
	"time"

	"spurtrestle/core/policycommit"
)

func TestNode_RepliesToRequests(t *testing.T) {
	router := &recordingRouter{}
	node := startNode(t, testConfig(t), router)
	bootstrapNode(t, node, router)

	status := sendRequest(t, node, policycommit.Request{Type: policycommit.RequestStatus})
	if len(status.Followers) != 1 || status.Followers[0].Name != "n1" || len(status.Voters) != 1 {
		t.Errorf("status: got followers %+v, voters %q, want n1 as the only follower and one voter", status.Followers, status.Voters)
	}
	dead := sendRequest(t, node, policycommit.Request{Type: policycommit.RequestMarkDead, Name: "n9", Author: "ada", Reason: "burnt"})
	if dead.Error != "" {
		t.Errorf("mark dead: got error %q", dead.Error)
	}
	history := sendRequest(t, node, policycommit.Request{Type: policycommit.RequestHistory})
	if len(history.DeathReports) != 1 || history.DeathReports[0].Name != "n9" {
		t.Errorf("history: got death reports %+v, want one of n9", history.DeathReports)
	}
	removed := sendRequest(t, node, policycommit.Request{Type: policycommit.RequestReplaceVoter, Name: "n9"})
	if removed.Error != `"n9" is no keeper` {
		t.Errorf("remove an unknown voter: got error %q, want one that n9 is no keeper", removed.Error)
	}
	unknown := sendRequest(t, node, policycommit.Request{Type: "dance"})
	if want := (&UnknownRequestError{Type: "dance"}).Error(); unknown.Error != want {
		t.Errorf("unknown request: got error %q, want %q", unknown.Error, want)
	}
	if _, err := node.HandleRequest(`{"what":"found"}`); err == nil || !strings.Contains(err.Error(), "was founded before") {
		t.Errorf("second bootstrap: got %v, want an error", err)
	}
	if _, err := node.HandleRequest(`{"what":"apply","doc":"color = 1"}`); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("invalid document: got %v, want an error with its line", err)
	}
}

// Without a leader, a request waits for a reply. Closing the node must end it with ErrNoLeader.
func TestNode_CloseEndsPendingRequest(t *testing.T) {
	node, err := start(testConfig(t), ownIncarnation, "build", &recordingRouter{}, &loopbackTransport{}, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := node.HandleRequest(`{"what":"status"}`)
		result <- err
	}()
	waitFor(t, "the request is pending", func() bool {
		node.mu.Lock()
		defer node.mu.Unlock()
		return len(node.pendingCalls) == 1
	})
	node.Close(true)
	select {
	case err := <-result:
		if !errors.Is(err, ErrNoLeader) {
			t.Errorf("got %v, want ErrNoLeader", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request did not end within five seconds after Close")
	}
}

func TestSelectHistory(t *testing.T) {
	var history []policycommit.Change
	for revision := range policycommit.Revision(30) {
		history = append(history, policycommit.Change{Revision: revision + 1})
	}
	latest := selectHistory(history, 0)
	if len(latest) != maxHistoryReply || latest[0].Revision != 11 {
		t.Errorf("latest: got %d changes from revision %d, want %d from 11", len(latest), latest[0].Revision, maxHistoryReply)
	}
	if one := selectHistory(history, 3); len(one) != 1 || one[0].Revision != 3 {
		t.Errorf("revision 3: got %+v, want only its change", one)
	}
	if none := selectHistory(history, 99); len(none) != 0 {
		t.Errorf("revision 99: got %+v, want none", none)
	}
}
