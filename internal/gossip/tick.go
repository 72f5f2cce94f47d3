package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/fleet"
)

// Upper bounds of the interval between two ticks.
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

// run calls tick periodically until the node is closed.
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

// tickActions has the actions that a tick computes with the mutex held and carries out without it.
type tickActions struct {
	broadcast     bool // broadcast this process's heartbeat
	changes       []membership.Change
	yieldReason   string
	leaseMessages []sharelease.Message
	share         fleet.Share
	requestFrom   []*memberlist.Node // peers to request heartbeats from
	summaries     []hierarchy.Datagram
	reconnectAddr string // address to exchange full states with; empty if none
}

// tick does all periodic work once.
func (n *Node) tick() {
	status := n.router.FleetStatus()
	n.updateGranting(status.Draining && status.Idle)
	actions := n.decide(status)

	n.requestHeartbeats(actions.requestFrom)
	n.sendSummaries(actions.summaries)
	if actions.broadcast {
		n.broadcastLocal()
	}
	// Lease messages are sent only once the router has applied the share: a release confirms that the router no longer uses a
	// portion. If the router cannot apply it, they are dropped; the next tick or a repeated message of the peer produces them
	// again. Only this goroutine writes shares.applied, so it reads the field without the mutex.
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

// decide updates the node's state and returns the actions to carry out.
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
