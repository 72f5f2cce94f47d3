package gossip

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/clock"
	"spurtrestle/core/membership"
)

// Memberlist exchanges full states periodically, which repairs missed broadcasts. In a site of a tiered fleet, these exchanges
// would be most of the traffic of an idle fleet. There the interval is long, and routers detect missed heartbeats by the view
// digests in the heartbeats of the others.
const (
	tieredFullStateProbes = 300 // probe intervals between two periodic full state exchanges
	disagreementProbes    = 5   // probe intervals of disagreement before a full state exchange, and between two of them
	maxHeartbeatRequests  = 3   // heartbeat requests per tick

	// tieredRetransmitFactor is how often a router repeats a broadcast for each power of ten of routers. It can be low, since
	// a router that misses a heartbeat requests it.
	tieredRetransmitFactor = 2
)

// antiEntropyState has the times at which each repair was last made or not necessary. Node.mu guards it.
type antiEntropyState struct {
	heartbeatsRequestedAt clock.Time
	stateExchangedAt      clock.Time
}

// fullStateInterval returns the interval between two periodic full state exchanges.
func (n *Node) fullStateInterval() time.Duration {
	if n.config.Tiered {
		return tieredFullStateProbes * n.config.ProbeInterval
	}
	return fullStateProbes * n.config.ProbeInterval
}

// retransmitFactor returns how often a broadcast is repeated for each power of ten of routers.
func (n *Node) retransmitFactor(config *memberlist.Config) int {
	if n.config.Tiered {
		return tieredRetransmitFactor
	}
	return config.RetransmitMult
}

// nextHeartbeatRequests returns peers to request heartbeats from, if this view has been unsettled for a probe interval: peers
// whose announced digest differs from this view's, since one of the two routers has missed a heartbeat. n.mu must be held.
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

// nextFullStateExchange returns the address of a peer to exchange full states with, if this view has been unsettled for several
// probe intervals: a peer whose view disagrees with this one. n.mu must be held.
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

// isRepairDue reports whether for an interval the view has been unsettled and no repair was made. If so, or if the view is
// settled, it sets lastRepair to now. n.mu must be held.
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

// requestHeartbeats asks peers for their heartbeats.
func (n *Node) requestHeartbeats(peers []*memberlist.Node) {
	request := encodeHeartbeatRequest(n.self.Incarnation)
	for _, peer := range peers {
		_ = n.list.SendBestEffort(peer, request) // a later tick repeats a lost request
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
	_ = list.SendBestEffort(peer, encodeHeartbeat(heartbeat, n.config.Tiered)) // if it is lost, the peer requests it again
}

// lookupPeer returns the memberlist node of a process, and the memberlist to send with. Both are nil if the process is not alive
// or this node does not listen yet.
func (n *Node) lookupPeer(incarnation membership.Incarnation) (*memberlist.Node, *memberlist.Memberlist) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer := n.peers[incarnation]
	if peer == nil || n.list == nil {
		return nil, nil
	}
	return peer, n.list
}
