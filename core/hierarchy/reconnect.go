package hierarchy

import (
	"cmp"
	"net/netip"
	"slices"

	"spurtrestle/core/clock"
)

// maxKnownRepresentatives bounds the result of KnownRepresentatives.
const maxKnownRepresentatives = 64

// reconnect contacts one router from which nothing is received: a seed address, or a representative of a stale summary. The
// fleet therefore recovers from a partition of any duration.
func (h *Hierarchy) reconnect() {
	d := &h.dissemination
	if !h.role.RepresentsSite || h.now < d.nextReconnectAt {
		return
	}
	interval := h.reconnectInterval()
	// Jitter spreads the reconnects of routers that started together.
	jitter := clock.Duration(h.random.Int64N(int64(interval / 2)))
	d.nextReconnectAt = h.now + interval - jitter
	peers := h.reconnectCandidates()
	if len(peers) == 0 {
		return
	}
	h.introduce(peers[d.reconnectCount%len(peers)])
	d.reconnectCount++
}

func (h *Hierarchy) reconnectInterval() clock.Duration {
	switch {
	case h.isIsolated() || h.now-h.startedAt < h.parameters.StartupPeriod:
		return h.parameters.IsolatedReconnectInterval
	case h.hasStaleSummary():
		return h.parameters.StaleReconnectInterval
	default:
		return h.parameters.IdleReconnectInterval
	}
}

// introduce sends the local summaries and the digests of the tables to a router that may not know this one. The digest is that
// of regionLink, which includes both tiers; a receiver in another region ignores the site tier.
func (h *Hierarchy) introduce(peer netip.AddrPort) {
	records := h.encodeSummaries(SiteTier, map[nameHash]bool{hashName(h.config.Site): true})
	records = append(records, h.encodeSummaries(RegionTier, map[nameHash]bool{hashName(h.config.Region): true})...)
	h.enqueue(peer, h.packRecords(kindUpdate, records), 1)
	h.enqueue(peer, [][]byte{h.encodeDigest(regionLink, entrySet{})}, 1)
}

// disseminatesTier reports whether this router exchanges a tier's summaries with other groups of the tier.
func (h *Hierarchy) disseminatesTier(tier Tier) bool {
	return tier == SiteTier || h.role.RepresentsRegion
}

// ownName returns the name of the router's own group of a tier.
func (h *Hierarchy) ownName(tier Tier) string {
	if tier == SiteTier {
		return h.config.Site
	}
	return h.config.Region
}

// isIsolated reports whether a tier that this router disseminates has no other group that is not stale.
func (h *Hierarchy) isIsolated() bool {
	for tier := range tierCount {
		if h.disseminatesTier(tier) && !h.hasFreshPeerGroup(tier) {
			return true
		}
	}
	return false
}

// hasFreshPeerGroup reports whether a tier has a group other than the router's own that is not stale.
func (h *Hierarchy) hasFreshPeerGroup(tier Tier) bool {
	for _, group := range h.tables[tier].entries {
		if group.Name != h.ownName(tier) && h.heartbeatAge(group) <= h.parameters.StaleAfter {
			return true
		}
	}
	return false
}

// hasStaleSummary reports whether a summary of a tier that this router disseminates is stale.
func (h *Hierarchy) hasStaleSummary() bool {
	for tier := range tierCount {
		for _, group := range h.tables[tier].entries {
			if h.disseminatesTier(tier) && h.heartbeatAge(group) > h.parameters.StaleAfter {
				return true
			}
		}
	}
	return false
}

// reconnectCandidates returns the addresses to reconnect to: seed addresses and the representatives of stale summaries.
func (h *Hierarchy) reconnectCandidates() []netip.AddrPort {
	peers := slices.Clone(h.config.SeedAddrs)
	for tier := range tierCount {
		if !h.disseminatesTier(tier) {
			continue
		}
		for _, group := range h.tables[tier].entries {
			if h.heartbeatAge(group) > h.parameters.StaleAfter {
				peers = append(peers, group.Representatives...)
			}
		}
	}
	return h.excludeLocalSite(peers)
}

// introduceToRegion introduces this router to representatives of its region whose sites it does not know. Two sites of a region
// may have seed addresses in another region only; they discover each other through the summary of their own region.
func (h *Hierarchy) introduceToRegion(representatives []netip.AddrPort) {
	if !h.role.RepresentsSite {
		return
	}
	known := map[netip.AddrPort]bool{}
	for _, site := range h.tables[SiteTier].entries {
		for _, addr := range site.Representatives {
			known[addr] = true
		}
	}
	for _, addr := range representatives {
		_, isMember := h.ranks[addr]
		if !isMember && !known[addr] {
			h.introduce(addr)
		}
	}
}

// KnownRepresentatives returns a random sample of the representatives of other sites and regions. The caller persists it as
// the addresses to contact after a restart.
func (h *Hierarchy) KnownRepresentatives() []netip.AddrPort {
	var representatives []netip.AddrPort
	for tier := range tierCount {
		for _, group := range h.tables[tier].entriesByName() {
			representatives = append(representatives, group.Representatives...)
		}
	}
	representatives = h.excludeLocalSite(representatives)
	h.random.Shuffle(len(representatives), func(i, j int) {
		representatives[i], representatives[j] = representatives[j], representatives[i]
	})
	return representatives[:min(maxKnownRepresentatives, len(representatives))]
}

// excludeLocalSite removes the addresses of the local site and duplicates, and sorts the others, so that the result does not
// depend on the iteration order of a map.
func (h *Hierarchy) excludeLocalSite(addrs []netip.AddrPort) []netip.AddrPort {
	addrs = slices.DeleteFunc(addrs, func(addr netip.AddrPort) bool {
		_, isMember := h.ranks[addr]
		return isMember || addr == h.config.Addr
	})
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
	})
	return slices.Compact(addrs)
}
