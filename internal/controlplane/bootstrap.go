package controlplane

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"spurtrestle/internal/fleet"
)

const (
	joinWait           = 3 * time.Second // for a heartbeat of another router, before a restarted voter rejoins raft
	joinPollInterval   = 50 * time.Millisecond
	startRetryInterval = 500 * time.Millisecond
)

// bootstrap creates the raft log of the fleet with this voter as its only member. It fails if any known voter has joined raft.
// The results are replies to operators, whose texts are part of the protocol.
func (n *Node) bootstrap() (string, error) {
	if n.raftLog == nil {
		return "", fmt.Errorf("this router is no keeper; found the policy at one of %q", n.config.Voters)
	}
	for _, voter := range n.transport.Voters() {
		if voter.Voter {
			return "", fmt.Errorf("the policy was founded before: %s takes part in it", voter.Name)
		}
	}
	if n.raftLog.voterStatus().Voter {
		return "", errors.New("the policy was founded before, and this keeper takes part in it")
	}
	if err := n.raftLog.start(startOptions{bootstrap: true}); err != nil {
		return "", err
	}
	n.log.Warn("policy: raft log bootstrapped")
	return "founded\n", nil
}

// inviteVoter sends a voter the invitation to join raft. Once it has started, the leader adds it to raft's configuration.
func (n *Node) inviteVoter(voter fleet.VoterStatus) {
	n.send(voter.Incarnation, message{VoterInvitation: formatVoterID(voter.VoterID)})
}

// acceptInvitation starts raft if the invitation is for the voter ID of this router's directory.
func (n *Node) acceptInvitation(voterID string) {
	if n.raftLog == nil {
		return
	}
	status := n.raftLog.voterStatus()
	if status.Voter || formatVoterID(status.VoterID) != voterID {
		return
	}
	if err := n.raftLog.start(startOptions{}); err != nil {
		n.log.WithError(err).Error("policy: voter cannot join raft")
		return
	}
	n.log.Info("policy: voter joined raft by invitation of the leader")
}

// resumeVoter rejoins raft after a restart. It first waits for other routers: they know the last index that this voter has
// acknowledged, and so whether its directory was restored from an older copy.
func (n *Node) resumeVoter() {
	identity := n.raftLog.currentIdentity()
	if !identity.Member || !n.waitUntilJoined() {
		return
	}
	for attempt := 0; ; attempt++ {
		err := n.raftLog.start(startOptions{acknowledgedIndex: n.transport.AcknowledgedIndex(identity.VoterID)})
		if err == nil {
			return
		}
		if attempt == 0 {
			n.log.WithError(err).Error("policy: voter cannot join raft")
		}
		var staleLog *StaleLogError
		if errors.As(err, &staleLog) {
			return
		}
		select { // the predecessor may still use the directory or the address
		case <-n.stop:
			return
		case <-time.After(startRetryInterval):
		}
	}
}

// waitUntilJoined waits up to joinWait for a heartbeat of another router. It returns false if the node is closed meanwhile.
func (n *Node) waitUntilJoined() bool {
	for deadline := time.Now().Add(joinWait); time.Now().Before(deadline) && !n.transport.HasJoined(); {
		select {
		case <-n.stop:
			return false
		case <-time.After(joinPollInterval):
		}
	}
	return true
}

func formatVoterID(id uint64) string { return strconv.FormatUint(id, 16) }
