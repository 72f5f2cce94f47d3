package gossip

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/clock"
	"spurtrestle/core/membership"
)

// Memberlist exchanges full states at an interval, which repairs missed broadcasts. In a site of a tiered fleet these would
// be most of the traffic at rest, so that the interval is long there; a missed heartbeat is found by the digests that routers
// announce instead.
const (
	tieredFullStateProbes = 300 // probe intervals between two exchanges
	disagreementProbes    = 5   // for which views disagree until a full state is exchanged, and between two of these
	maxHeartbeatRequests  = 3   // at once

	// tieredRetransmitFactor is how often a router repeats a broadcast, for each power of ten of routers. It is low since a
	// router that misses a heartbeat requests it.
	tieredRetransmitFactor = 2
)

// antiEntropyState is when repairs were last made or not needed. The node's mutex guards it.
type antiEntropyState struct {
	heartbeatsRequestedAt clock.Time
	stateExchangedAt      clock.Time
}

// fullStateInterval is the span between two periodic exchanges of full states.
func (n *Node) fullStateInterval() time.Duration {
	if n.config.Tiered {
		return tieredFullStateProbes * n.config.ProbeInterval
	}
	return fullStateProbes * n.config.ProbeInterval
}

// retransmitFactor is how often a broadcast is repeated, for each power of ten of routers.
func (n *Node) retransmitFactor(config *memberlist.Config) int {
	if n.config.Tiered {
		return tieredRetransmitFactor
	}
	return config.RetransmitMult
}

// nextHeartbeatRequests returns some peers whose announced digest has differed from this view's for a probe interval: this
// router or they have missed a heartbeat. n.mu is locked.
func (n *Node) nextHeartbeatRequests(now clock.Time) []*memberlist.Node {
	if !n.config.Tiered || !n.isRepairDue(now, &n.antiEntropy.heartbeatsRequestedAt, micros(n.config.ProbeInterval)) {
		return nil
	}
	disagreeing := n.view.Disagreeing()
	var requested []*memberlist.Node
	for _, member := range n.view.AliveMembers() {
		peer := n.peers[member.Incarnation]
		if peer == nil || !slices.Contains(disagreeing, member.Name) {
			continue
		}
		requested = append(requested, peer)
		if len(requested) == maxHeartbeatRequests {
			break
		}
	}
	return requested
}

// nextFullStateExchange returns the address of a peer whose view has disagreed with this one for several probe intervals.
// n.mu is locked.
func (n *Node) nextFullStateExchange(now clock.Time) (addr string, isDue bool) {
	interval := disagreementProbes * micros(n.config.ProbeInterval)
	if !n.config.Tiered || !n.isRepairDue(now, &n.antiEntropy.stateExchangedAt, interval) {
		return "", false
	}
	disagreeing := n.view.Disagreeing()
	if len(disagreeing) == 0 {
		return "", false
	}
	name := disagreeing[int(now/interval)%len(disagreeing)]
	for _, member := range n.view.AliveMembers() {
		if member.Name == name {
			return member.Addr, true
		}
	}
	return "", false
}

// isRepairDue reports whether the view has not been settled, and no repair made, for an interval. It then sets lastRepair to
// now. n.mu is locked.
func (n *Node) isRepairDue(now clock.Time, lastRepair *clock.Time, interval clock.Duration) bool {
	_, settled := n.view.Digest()
	if settled {
		*lastRepair = now
	}
	if now-*lastRepair < interval {
		return false
	}
	*lastRepair = now
	return true
}

// requestHeartbeats requests the heartbeats of peers.
func (n *Node) requestHeartbeats(peers []*memberlist.Node) {
	request := encodeHeartbeatRequest(n.self.Incarnation)
	for _, peer := range peers {
		_ = n.list.SendBestEffort(peer, request) // a lost request is sent again
	}
}

// receiveHeartbeatRequest replies with this process's heartbeat.
func (n *Node) receiveHeartbeatRequest(body []byte) {
	from, ok := decodeHeartbeatRequest(body)
	if !ok || !n.config.Tiered {
		return
	}
	peer, list := n.lookupPeer(from)
	if peer == nil {
		return
	}
	n.mu.Lock()
	heartbeat := n.view.Heartbeat()
	n.mu.Unlock()
	_ = list.SendBestEffort(peer, encodeHeartbeat(heartbeat, n.config.Tiered)) // it is requested again
}

// lookupPeer returns the node of a process. Both results are nil if it is not alive, or this node does not listen yet.
func (n *Node) lookupPeer(incarnation membership.Incarnation) (*memberlist.Node, *memberlist.Memberlist) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer := n.peers[incarnation]
	if peer == nil || n.list == nil {
		return nil, nil
	}
	return peer, n.list
}
