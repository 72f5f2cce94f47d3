package gossip

import (
	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// maxPacketMessage is the longest message that is sent in a packet, in bytes. Longer ones go over a connection.
const maxPacketMessage = 1200

// Self returns this process.
func (n *Node) Self() fleet.Incarnation { return fleet.Incarnation(n.self.Incarnation) }

// OnMessage sets the function that receives messages of the policy.
func (n *Node) OnMessage(handler func(fleet.Incarnation, []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.policyHandler = handler
}

func (n *Node) currentPolicyHandler() func(fleet.Incarnation, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.policyHandler
}

func (n *Node) receivePolicyMessage(body []byte) {
	handler := n.currentPolicyHandler()
	from, message, ok := decodePolicyMessage(body)
	if ok && handler != nil {
		handler(fleet.Incarnation(from), message)
	}
}

// Send sends a message of the policy to a process. A message to this process itself is handled on another goroutine, and
// requires OnMessage before. A message may be lost; the sender sends it again.
func (n *Node) Send(to fleet.Incarnation, body []byte) {
	if to == n.Self() {
		handler := n.currentPolicyHandler()
		n.spawn(func() { handler(to, body) }) // the sender may have locked what the handler locks
		return
	}
	peer, list := n.lookupPeer(membership.Incarnation(to))
	if peer == nil {
		return
	}
	message := encodePolicyMessage(n.self.Incarnation, body)
	if len(message) <= maxPacketMessage {
		_ = list.SendBestEffort(peer, message)
		return
	}
	n.spawn(func() { _ = list.SendReliable(peer, message) }) // what is lost is sent again
}

// SetLeader announces whether this process is the leader of the policy's voters.
func (n *Node) SetLeader(isLeader bool) {
	n.updateHeartbeat(func(heartbeat *membership.Heartbeat) { heartbeat.Leader = isLeader })
}

// SetPolicyRevision announces the revision of the policy in force at this router.
func (n *Node) SetPolicyRevision(revision uint64) {
	n.updateHeartbeat(func(heartbeat *membership.Heartbeat) { heartbeat.PolicyRevision = revision })
}

// SetVoter announces this router's state as a voter.
func (n *Node) SetVoter(voter fleet.VoterStatus) {
	n.updateHeartbeat(func(heartbeat *membership.Heartbeat) {
		heartbeat.VoterID = voter.VoterID
		heartbeat.VoterAddr = voter.Addr
		heartbeat.Voter = voter.Voter
		heartbeat.LastIndex = voter.LastIndex
	})
}

// updateHeartbeat edits this process's heartbeat. The next tick broadcasts it.
func (n *Node) updateHeartbeat(change func(*membership.Heartbeat)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.UpdateHeartbeat(n.now(), change) {
		n.localChanged = true
	}
}

// Leaders returns the alive processes that announce that they are the leader of the voters.
func (n *Node) Leaders() []fleet.Incarnation {
	var leaders []fleet.Incarnation
	n.forEachAlive(func(member membership.Member, heartbeat membership.Heartbeat) {
		if heartbeat.Leader {
			leaders = append(leaders, fleet.Incarnation(member.Incarnation))
		}
	})
	return leaders
}

// Voters returns the alive routers that announce an identity as a voter.
func (n *Node) Voters() []fleet.VoterStatus {
	var voters []fleet.VoterStatus
	n.forEachAlive(func(member membership.Member, heartbeat membership.Heartbeat) {
		if heartbeat.VoterID == 0 {
			return
		}
		voters = append(voters, fleet.VoterStatus{
			Name:        string(member.Name),
			Incarnation: fleet.Incarnation(member.Incarnation),
			VoterID:     heartbeat.VoterID,
			Addr:        heartbeat.VoterAddr,
			Voter:       heartbeat.Voter,
			LastIndex:   heartbeat.LastIndex,
		})
	})
	return voters
}

// AcknowledgedIndex returns the highest index that any process with this voter's identity has announced.
func (n *Node) AcknowledgedIndex(voterID uint64) (lastIndex uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, heartbeat := range n.view.Heartbeats() {
		if heartbeat.VoterID == voterID {
			lastIndex = max(lastIndex, heartbeat.LastIndex)
		}
	}
	return lastIndex
}

// HasJoined reports whether another router is alive.
func (n *Node) HasJoined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.view.AliveMembers()) > 1
}

// Members returns the routers that are alive or were lost and are not forgotten, this one included.
func (n *Node) Members() []fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var members []fleet.Member
	for _, router := range n.view.Snapshot(n.now()).Routers {
		if router.State != membership.Left {
			members = append(members, fleet.Member{Name: string(router.Name), Site: string(router.Site)})
		}
	}
	return members
}

// forEachAlive calls visit with the owner of each alive router's name and its heartbeat, in the order of names.
func (n *Node) forEachAlive(visit func(membership.Member, membership.Heartbeat)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	heartbeats := n.heartbeatsByIncarnation()
	for _, member := range n.view.AliveMembers() {
		visit(member, heartbeats[member.Incarnation])
	}
}
