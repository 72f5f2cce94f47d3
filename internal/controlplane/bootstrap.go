package controlplane

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"spurtrestle/internal/fleet"
)

const (
	joinWait           = 3 * time.Second // for a heartbeat of another router, before a voter joins raft again
	joinPollInterval   = 50 * time.Millisecond
	startRetryInterval = 500 * time.Millisecond
)

// bootstrap begins the raft log of the fleet with this voter. It fails if any known voter has joined one.
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

// inviteVoter tells a voter that it may join raft. The leader adds it to the configuration once it has.
func (n *Node) inviteVoter(voter fleet.VoterStatus) {
	n.send(voter.Incarnation, message{VoterInvitation: formatVoterID(voter.VoterID)})
}

// acceptInvitation starts raft if the invitation is for the ID of this voter's folder.
func (n *Node) acceptInvitation(voterID string) {
	if n.raftLog == nil {
		return
	}
	status := n.raftLog.voterStatus()
	if status.Voter || formatVoterID(status.VoterID) != voterID {
		return
	}
	if err := n.raftLog.start(startOptions{}); err != nil {
		n.log.WithError(err).Error("policy: voter cannot start")
		return
	}
	n.log.Info("policy: voter joins, as the leader invited it")
}

// resumeVoter joins raft again after a restart. It waits for other routers first: they know the last index that this voter
// acknowledged, and so whether its folder was restored from an older copy.
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
			n.log.WithError(err).Error("policy: voter cannot start")
		}
		var staleLog *StaleLogError
		if errors.As(err, &staleLog) {
			return
		}
		select { // the predecessor may have the folder or the address still
		case <-n.stop:
			return
		case <-time.After(startRetryInterval):
		}
	}
}

// waitUntilJoined waits at most joinWait for a heartbeat of another router; false if the node is closed.
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
