package gossip

import (
	"time"

	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/fleet"
)

// maxQueuedLeaseReplies bounds the replies between two ticks.
const maxQueuedLeaseReplies = 1024

// shareState is the router's side of share leases. The node's mutex guards it.
type shareState struct {
	leases       *sharelease.Leases
	granting     bool
	applied      fleet.Share          // as the router last confirmed it; written by the ticking goroutine alone
	leaseReplies []sharelease.Message // for the next tick
}

// unknownShare stands for a share that the router may or may not use.
var unknownShare = fleet.Share{Current: -1}

// updateGranting begins or ends the granting of the own share. The router uses the reduced share before the first grant. SetShare
// is called without n.mu, since the router may take long.
func (n *Node) updateGranting(granting bool) {
	n.mu.Lock()
	reduced := n.routerShare(n.shares.leases.ReducedShare())
	isUnchanged := granting == n.shares.granting
	n.mu.Unlock()
	if isUnchanged {
		return
	}
	if granting {
		isInForce := n.applyShare(reduced)
		if !isInForce {
			return
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shares.granting = granting
	n.shares.leases.SetGranting(granting, false)
}

// routerShare converts a share to the router's clock.
func (n *Node) routerShare(share sharelease.Share) fleet.Share {
	converted := fleet.Share{Current: share.Current, AfterExpiry: share.AfterExpiry}
	if share.ExpiresAt != 0 {
		converted.ExpiresAt = n.startedAt.Add(time.Duration(share.ExpiresAt) * time.Microsecond)
	}
	return converted
}

// applyShare passes a share to the router and reports whether it is in force.
func (n *Node) applyShare(share fleet.Share) bool {
	err := n.router.SetShare(share)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shares.applied = share
	if err != nil {
		n.shares.applied = unknownShare
	}
	return err == nil
}

// leasePeers returns the alive routers by slot, without the slots that two of them claim: two owners of one share would use more
// than the whole fleet's limits. n.mu is locked.
func (n *Node) leasePeers() map[sharelease.Slot]sharelease.Peer {
	peers := map[sharelease.Slot]sharelease.Peer{}
	claimedTwice := map[sharelease.Slot]bool{}
	heartbeats := n.heartbeatsByIncarnation()
	for _, member := range n.view.AliveMembers() {
		slot := sharelease.Slot(member.Slot)
		_, isClaimed := peers[slot]
		claimsOwnSlot := slot == sharelease.Slot(n.config.Slot) && member.Incarnation != n.self.Incarnation
		if isClaimed || claimsOwnSlot {
			claimedTwice[slot] = true
		}
		peers[slot] = sharelease.Peer{
			Incarnation: sharelease.Incarnation(member.Incarnation),
			Granting:    heartbeats[member.Incarnation].Draining,
		}
	}
	for slot := range claimedTwice {
		delete(peers, slot)
	}
	return peers
}

func (n *Node) sendLeaseMessages(messages []sharelease.Message) {
	for _, message := range messages {
		n.mu.Lock()
		peer := n.peers[membership.Incarnation(message.Recipient())]
		n.mu.Unlock()
		if peer != nil {
			_ = n.list.SendBestEffort(peer, encodeShareLease(message)) // a lost message is sent again
		}
	}
}

// receiveShareLease handles a message about a lease. The reply goes out with the next tick, after the router's share.
func (n *Node) receiveShareLease(body []byte) {
	message, err := decodeShareLease(body)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply, hasReply := n.shares.leases.Receive(n.now(), message)
	if !hasReply {
		return
	}
	if len(n.shares.leaseReplies) >= maxQueuedLeaseReplies {
		n.droppedReplies.Add(1)
		return
	}
	n.shares.leaseReplies = append(n.shares.leaseReplies, reply)
}
