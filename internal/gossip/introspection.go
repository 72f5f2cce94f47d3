package gossip

import (
	"errors"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// The lab and tests call the methods of this file; a router's program does not.

// errFlatFleet reports a request about sites and regions to a router of a flat fleet.
var errFlatFleet = errors.New("this router is of no tiered fleet; set fleet.tiered")

// Kill ends the node as a killed process does: without notice to the others.
func (n *Node) Kill() {
	list := n.stopRunning()
	if list != nil {
		_ = list.Shutdown() // the node is not used any more
	}
}

// Traffic returns what the node has sent and received so far.
func (n *Node) Traffic() fleet.TrafficCounts { return n.traffic.Counts() }

// Digest returns the digest of the view, and whether the view is settled.
func (n *Node) Digest() (digest uint64, settled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Digest()
}

// RevisionOf returns the policy revision that a process last announced; 0 if it has announced none.
func (n *Node) RevisionOf(incarnation fleet.Incarnation) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	heartbeat, _ := n.view.HeartbeatOf(membership.Incarnation(incarnation))
	return heartbeat.PolicyRevision
}

// HierarchyStatus returns what this router knows of sites and regions. It fails in a flat fleet.
func (n *Node) HierarchyStatus() (hierarchy.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy == nil {
		return hierarchy.Status{}, errFlatFleet
	}
	return n.tiers.hierarchy.Status(n.now()), nil
}

// HierarchyRole returns what this router represents in a tiered fleet: nothing in a flat one.
func (n *Node) HierarchyRole() hierarchy.Role {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy == nil {
		return hierarchy.Role{Rank: hierarchy.NoRank}
	}
	return n.tiers.hierarchy.Role()
}

// Settled reports whether the view is settled and, in a tiered fleet, the summaries are.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, settled := n.view.Digest()
	if n.tiers.hierarchy == nil {
		return settled
	}
	return settled && n.tiers.hierarchy.Settled(n.now())
}

// HierarchyDigests returns the digests of the known summaries of sites and of regions; zero in a flat fleet. Routers of a
// region that agree have the same first one, routers of the fleet the same second one.
func (n *Node) HierarchyDigests() (sites, regions uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy == nil {
		return 0, 0
	}
	return n.tiers.hierarchy.Digests()
}

// NewestRevision returns the highest policy revision that a router of this site or a summary announces.
func (n *Node) NewestRevision() uint64 {
	var newest uint64
	n.forEachAlive(func(_ membership.Member, heartbeat membership.Heartbeat) {
		newest = max(newest, heartbeat.PolicyRevision)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy != nil {
		newest = max(newest, n.tiers.hierarchy.NewestRevision())
	}
	return newest
}
