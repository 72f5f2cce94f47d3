package gossip

import (
	"time"

	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/fleet"
)

// maxQueuedLeaseReplies limits the replies that wait for the next tick. Further ones are dropped and counted.
const maxQueuedLeaseReplies = 1024

// shareState is the state of share leases. Node.mu guards it.
type shareState struct {
	leases       *sharelease.Leases
	granting     bool
	applied      fleet.Share          // last confirmed by the router; written only by the ticking goroutine
	leaseReplies []sharelease.Message // sent by the next tick
}

// unknownShare is the applied share after a failed call of SetShare, when the router may use either the old or the new share.
var unknownShare = fleet.Share{Current: -1}

// updateGranting starts or stops granting this router's share to others. Before the first grant, the router must have confirmed
// that it uses only the reduced share. SetShare is called without n.mu, since the router may take long to reply.
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

// applyShare passes a share to the router and reports whether the router has confirmed it.
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

// leasePeers returns the alive routers by slot. It leaves out slots that two routers claim: two owners of one share would
// together exceed the limits of the fleet. n.mu must be held.
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
			_ = n.list.SendBestEffort(peer, encodeShareLease(message)) // package sharelease repeats lost messages
		}
	}
}

// receiveShareLease handles a lease message. The next tick sends the reply, once the router has applied its share.
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
