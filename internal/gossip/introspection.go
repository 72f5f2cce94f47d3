package gossip

import (
	"errors"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// Only the lab and tests call the methods in this file.

// errFlatFleet reports that a router of a flat fleet has no hierarchy.
var errFlatFleet = errors.New("the fleet is not tiered; set fleet.tiered")

// Kill stops the node without leaving the fleet, like a killed process.
func (n *Node) Kill() {
	list := n.stopRunning()
	if list != nil {
		_ = list.Shutdown() // the node is no longer used
	}
}

// Traffic returns the traffic of the node since its start.
func (n *Node) Traffic() fleet.TrafficCounts { return n.traffic.Counts() }

// Digest returns the digest of the view and whether the view is settled.
func (n *Node) Digest() (digest uint64, settled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Digest()
}

// RevisionOf returns the policy revision that a process last announced, or 0 if it has announced none.
func (n *Node) RevisionOf(incarnation fleet.Incarnation) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	heartbeat, _ := n.view.HeartbeatOf(membership.Incarnation(incarnation))
	return heartbeat.PolicyRevision
}

// HierarchyStatus returns this router's view of sites and regions. It fails in a flat fleet.
func (n *Node) HierarchyStatus() (hierarchy.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy == nil {
		return hierarchy.Status{}, errFlatFleet
	}
	return n.tiers.hierarchy.Status(n.now()), nil
}

// HierarchyRole returns which groups this router represents in a tiered fleet. In a flat fleet it represents none.
func (n *Node) HierarchyRole() hierarchy.Role {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy == nil {
		return hierarchy.Role{Rank: hierarchy.NoRank}
	}
	return n.tiers.hierarchy.Role()
}

// Settled reports whether the view and, in a tiered fleet, the summaries are settled.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, settled := n.view.Digest()
	if n.tiers.hierarchy == nil {
		return settled
	}
	return settled && n.tiers.hierarchy.Settled(n.now())
}

// HierarchyDigests returns the digests of the known summaries of sites and of regions, or 0 in a flat fleet. Once the fleet has
// converged, routers of a region have equal site digests, and all routers of the fleet have equal region digests.
func (n *Node) HierarchyDigests() (sites, regions uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy == nil {
		return 0, 0
	}
	return n.tiers.hierarchy.Digests()
}

// NewestRevision returns the highest policy revision that an alive router of this site or a summary announces.
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
