package gossip

import (
	"encoding/binary"
	"hash/crc64"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/clock"
	"spurtrestle/core/hierarchy"
)

// siteRefreshInterval is how often the state of the local site is computed while the view does not change.
const siteRefreshInterval = clock.Second

// hierarchyState is the state of a node in a tiered fleet. Node.mu guards it.
type hierarchyState struct {
	hierarchy     *hierarchy.Hierarchy // nil in a flat fleet
	site          hierarchy.LocalSite
	siteDigest    uint64 // digest of the view that site was computed from
	siteUpdatedAt clock.Time
}

// openHierarchy creates the hierarchy of a tiered fleet. In a flat fleet it does nothing.
func (n *Node) openHierarchy() error {
	if !n.config.Tiered {
		return nil
	}
	if n.config.Region == "" || n.config.Site == "" {
		return n.config.ConfigError("fleet.region", "is empty, or the site is", "set both fleet.region and fleet.site")
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
	n.tiers.hierarchy = hierarchy.New(n.now(), hierarchy.DefaultParameters(), config)
	return nil
}

// knownRepresentatives returns the addresses of the representatives of other sites. n.mu must be held.
func (n *Node) knownRepresentatives() []string {
	if n.tiers.hierarchy == nil {
		return nil
	}
	var addrs []string
	for _, addr := range n.tiers.hierarchy.KnownRepresentatives() {
		addrs = append(addrs, addr.String())
	}
	return addrs
}

// tickHierarchy advances the hierarchy and returns the datagrams to send. n.mu must be held.
func (n *Node) tickHierarchy(now clock.Time) []hierarchy.Datagram {
	if n.tiers.hierarchy == nil {
		return nil
	}
	digest, _ := n.view.Digest()
	if digest != n.tiers.siteDigest || now-n.tiers.siteUpdatedAt >= siteRefreshInterval {
		n.tiers.siteDigest = digest
		n.tiers.siteUpdatedAt = now
		n.tiers.site = n.localSite(now)
	}
	return n.tiers.hierarchy.Tick(now, n.tiers.site)
}

var siteDigestTable = crc64.MakeTable(crc64.ECMA)

// localSite computes the state of this router's site. n.mu must be held.
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
		_ = n.list.SendToAddress(to, withKind(kindSummary, datagram.Body)) // later datagrams make up for a lost one
	}
}

func (n *Node) receiveSummary(body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tiers.hierarchy != nil {
		n.tiers.hierarchy.Receive(n.now(), body)
	}
}
