package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/fleet"
)

// Upper bounds of the span between two ticks.
const (
	maxTickInterval       = 100 * time.Millisecond
	maxTieredTickInterval = 200 * time.Millisecond
)

func (n *Node) tickInterval() time.Duration {
	if n.config.Tiered {
		return min(n.gossipInterval(), maxTieredTickInterval)
	}
	return min(n.gossipInterval(), maxTickInterval)
}

// run ticks until the node is closed.
func (n *Node) run() {
	ticker := time.NewTicker(n.tickInterval())
	defer ticker.Stop()
	for {
		n.tick()
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
	}
}

// tickActions is what a tick has decided under the lock and carries out without it.
type tickActions struct {
	broadcast     bool
	changes       []membership.Change
	yieldReason   string
	leaseMessages []sharelease.Message
	share         fleet.Share
	requestFrom   []*memberlist.Node // heartbeats
	summaries     []hierarchy.Datagram
	reconnectAddr string // empty: none
}

// tick does all periodic work.
func (n *Node) tick() {
	status := n.router.FleetStatus()
	n.updateGranting(status.Draining && status.Idle)
	actions := n.decide(status)

	n.requestHeartbeats(actions.requestFrom)
	n.sendSummaries(actions.summaries)
	if actions.broadcast {
		n.broadcastLocal()
	}
	// Lease messages go out after the share that they presuppose is in force: a release confirms that a portion is not used.
	// Otherwise they are dropped, and repeated by the next tick or after a repetition of the peer. This goroutine alone writes
	// shares.applied, and reads it without the lock.
	if actions.share == n.shares.applied || n.applyShare(actions.share) {
		n.sendLeaseMessages(actions.leaseMessages)
	}
	n.logChanges(actions.changes)
	if actions.yieldReason != n.yieldReason {
		n.yieldReason = actions.yieldReason
		n.router.SetOutOfService(actions.yieldReason)
	}
	if len(actions.changes) > 0 {
		n.persistPeers()
	}
	if actions.reconnectAddr != "" {
		n.reconnect(actions.reconnectAddr)
	}
}

// decide updates the node's state and returns what is to be done.
func (n *Node) decide(status fleet.RouterStatus) tickActions {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var actions tickActions

	statusChanged := n.view.UpdateLocal(now, status.Accepting, status.Draining)
	heartbeatChanged, changes := n.view.Tick(now)
	actions.broadcast = n.localChanged || statusChanged || heartbeatChanged
	n.localChanged = false
	actions.changes = changes
	actions.yieldReason = n.view.YieldReason()

	actions.leaseMessages = append(n.shares.leases.Tick(now, n.leasePeers(), status.Accepting), n.shares.leaseReplies...)
	n.shares.leaseReplies = nil
	actions.share = n.routerShare(n.shares.leases.Share(now))

	addr, isDue := n.view.NextReconnect(now, n.config.Join)
	if !isDue {
		addr, isDue = n.nextFullStateExchange(now)
	}
	if isDue {
		actions.reconnectAddr = addr
	}
	actions.requestFrom = n.nextHeartbeatRequests(now)
	actions.summaries = n.tickHierarchy(now)
	return actions
}

// broadcastLocal broadcasts this process's heartbeat.
func (n *Node) broadcastLocal() {
	n.mu.Lock()
	heartbeat := n.view.Heartbeat()
	n.mu.Unlock()
	n.broadcast(heartbeat)
}

func (n *Node) broadcast(heartbeat membership.Heartbeat) {
	n.broadcasts.QueueBroadcast(n.newHeartbeatBroadcast(heartbeat))
}
