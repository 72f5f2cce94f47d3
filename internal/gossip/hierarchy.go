package gossip

import (
	"encoding/binary"
	"errors"
	"hash/crc64"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/clock"
	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
)

// siteRefreshInterval is the span between two computations of the local site's state while the view does not change.
const siteRefreshInterval = clock.Second

// hierarchyState is the node's part in a tiered fleet. The node's mutex guards it.
type hierarchyState struct {
	hierarchy     *hierarchy.Hierarchy // nil in a flat fleet
	site          hierarchy.LocalSite
	siteDigest    uint64 // of the view that site was computed from
	siteUpdatedAt clock.Time
}

// errFlatFleet reports a request about sites and regions to a router of a flat fleet.
var errFlatFleet = errors.New("this router is of no tiered fleet; set fleet.tiered")

// openHierarchy begins the node's part in a tiered fleet. In a flat one it does nothing.
func (n *Node) openHierarchy() error {
	if !n.config.Tiered {
		return nil
	}
	if n.config.Region == "" || n.config.Site == "" {
		return n.config.ConfigError("fleet.region", "is empty, or the site is", "name the region of the site, and the site")
	}
	config := hierarchy.Config{
		Fleet:            n.config.Fleet,
		Region:           n.config.Region,
		Site:             n.config.Site,
		Name:             n.config.Name,
		Addr:             n.config.Advertise,
		WallClockSeconds: uint32(n.startedAt.Unix()),
		RandomSeed:       uint64(n.self.Incarnation),
	}
	for _, text := range n.config.Remote {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return n.config.ConfigError("fleet.remote", err.Error(), `write addresses and ports as "10.1.2.3:7946"`)
		}
		config.SeedAddrs = append(config.SeedAddrs, addr)
	}
	n.hierarchy = hierarchy.New(n.now(), hierarchy.DefaultParameters(), config)
	return nil
}

// knownRepresentatives returns the addresses of representatives of other sites. n.mu is held.
func (n *Node) knownRepresentatives() []string {
	if n.hierarchy == nil {
		return nil
	}
	var addrs []string
	for _, addr := range n.hierarchy.KnownRepresentatives() {
		addrs = append(addrs, addr.String())
	}
	return addrs
}

// tickHierarchy lets time pass and returns the datagrams to send. n.mu is held.
func (n *Node) tickHierarchy(now clock.Time) []hierarchy.Datagram {
	if n.hierarchy == nil {
		return nil
	}
	digest, _ := n.view.Digest()
	if digest != n.siteDigest || now-n.siteUpdatedAt >= siteRefreshInterval {
		n.siteDigest = digest
		n.siteUpdatedAt = now
		n.site = n.localSite(now)
	}
	return n.hierarchy.Tick(now, n.site)
}

var siteDigestTable = crc64.MakeTable(crc64.ECMA)

// localSite returns the state of this router's site. n.mu is held.
func (n *Node) localSite(now clock.Time) hierarchy.LocalSite {
	var site hierarchy.LocalSite
	for _, count := range n.view.Snapshot(now).Sites {
		site.Counts.Alive += uint32(count.Alive)
		site.Counts.Accepting += uint32(count.Accepting)
		site.Counts.Total += uint32(count.Known)
	}
	heartbeats := n.heartbeatsByIncarnation()
	var digestInput []byte
	for i, member := range n.view.AliveMembers() {
		digestInput = append(digestInput, member.Name...)
		digestInput = append(digestInput, 0)
		digestInput = binary.BigEndian.AppendUint64(digestInput, uint64(member.Incarnation))

		revision := heartbeats[member.Incarnation].PolicyRevision
		if i == 0 {
			site.MinRevision = revision
		}
		site.MinRevision = min(site.MinRevision, revision)
		site.MaxRevision = max(site.MaxRevision, revision)

		if addr, err := netip.ParseAddrPort(member.Addr); err == nil {
			site.Members = append(site.Members, hierarchy.Member{Name: string(member.Name), Addr: addr, StartedAt: member.StartedAt})
		}
	}
	site.Digest = crc64.Checksum(digestInput, siteDigestTable)
	return site
}

func (n *Node) sendSummaries(datagrams []hierarchy.Datagram) {
	for _, datagram := range datagrams {
		to := memberlist.Address{Addr: datagram.To.String()}
		_ = n.list.SendToAddress(to, withKind(kindSummary, datagram.Body)) // a lost datagram is repaired by later ones
	}
}

func (n *Node) receiveSummary(body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hierarchy != nil {
		n.hierarchy.Receive(n.now(), body)
	}
}

// HierarchyStatus returns what this router knows of sites and regions. It fails in a flat fleet.
func (n *Node) HierarchyStatus() (hierarchy.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hierarchy == nil {
		return hierarchy.Status{}, errFlatFleet
	}
	return n.hierarchy.Status(n.now()), nil
}

// HierarchyRole returns what this router represents in a tiered fleet: nothing in a flat one.
func (n *Node) HierarchyRole() hierarchy.Role {
	const noRank = -1
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hierarchy == nil {
		return hierarchy.Role{Rank: noRank}
	}
	return n.hierarchy.Role()
}

// Settled reports whether the view is settled and, in a tiered fleet, the summaries are.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, settled := n.view.Digest()
	if n.hierarchy == nil {
		return settled
	}
	return settled && n.hierarchy.Settled(n.now())
}

// HierarchyDigests returns the digests of the known summaries of sites and of regions; zero in a flat fleet. Routers of a
// region that agree have the same first one, routers of the fleet the same second one.
func (n *Node) HierarchyDigests() (sites, regions uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hierarchy == nil {
		return 0, 0
	}
	return n.hierarchy.Digests()
}

// NewestRevision returns the highest policy revision that a router of this site or a summary announces.
func (n *Node) NewestRevision() uint64 {
	var newest uint64
	n.forEachAlive(func(_ membership.Member, heartbeat membership.Heartbeat) {
		newest = max(newest, heartbeat.PolicyRevision)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hierarchy != nil {
		newest = max(newest, n.hierarchy.NewestRevision())
	}
	return newest
}
