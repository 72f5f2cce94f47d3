package gossip

import (
	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// maxPacketMessage is the size, in bytes, of the longest message that is sent in a packet. Longer messages are sent over a
// connection.
const maxPacketMessage = 1200

// Self returns the incarnation of this process.
func (n *Node) Self() fleet.Incarnation { return fleet.Incarnation(n.self.Incarnation) }

// OnMessage sets the handler of policy messages.
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

// Send sends a policy message to a process. The message may be lost; the sender repeats it. OnMessage must be called before a
// process sends to itself; such a message is handled on another goroutine.
func (n *Node) Send(to fleet.Incarnation, body []byte) {
	if to == n.Self() {
		handler := n.currentPolicyHandler()
		n.spawn(func() { handler(to, body) }) // the sender may hold locks that the handler acquires
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
	n.spawn(func() { _ = list.SendReliable(peer, message) }) // the sender repeats lost messages
}

// SetLeader announces whether this process is the leader of the policy's voters.
func (n *Node) SetLeader(isLeader bool) {
	n.updateHeartbeat(func(heartbeat *membership.Heartbeat) { heartbeat.Leader = isLeader })
}

// SetPolicyRevision announces the policy revision in force at this router.
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

// updateHeartbeat changes this process's heartbeat, which the next tick broadcasts.
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

// Members returns the routers that are alive or were lost recently, including this one.
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

// forEachAlive calls visit for each alive router in the order of their names, with the process that owns the name and its
// heartbeat. n.mu is held during the calls.
func (n *Node) forEachAlive(visit func(membership.Member, membership.Heartbeat)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	heartbeats := n.heartbeatsByIncarnation()
	for _, member := range n.view.AliveMembers() {
		visit(member, heartbeats[member.Incarnation])
	}
}
