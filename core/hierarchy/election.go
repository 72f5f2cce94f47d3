package hierarchy

import (
	"cmp"
	"net/netip"
	"slices"
)

// NoRank is the rank of a router that is not known to be a member of its site, and of all routers of a fleet without tiers.
const NoRank = -1

// Role is a router's rank in its site and the groups that it represents. There is no vote: each router applies the same rule
// to its own membership view. While views differ, a site may have too many representatives; summary versions resolve
// concurrent publications.
type Role struct {
	Rank             int // among the live routers of the site, by age; or NoRank
	RepresentsSite   bool
	RepresentsRegion bool
}

// Role returns this router's current role.
func (h *Hierarchy) Role() Role { return h.role }

// electRoles applies the election rule to this router. A router with a new role exchanges digests immediately.
func (h *Hierarchy) electRoles() {
	h.rankMembers()
	previous := h.role
	h.role = h.electedRole()
	if h.role.RepresentsSite && !previous.RepresentsSite {
		h.dissemination.exchangeNow(regionLink)
	}
	if h.role.RepresentsRegion && !previous.RepresentsRegion {
		h.dissemination.exchangeNow(interRegionLink)
	}
}

func (h *Hierarchy) electedRole() Role {
	rank, isMember := h.ranks[h.config.Addr]
	uptime := h.now - h.startedAt
	if !isMember || uptime < h.parameters.SiteRoleDelay {
		return Role{Rank: NoRank}
	}
	representsSite := h.isElected(rank)
	return Role{
		Rank:             rank,
		RepresentsSite:   representsSite,
		RepresentsRegion: representsSite && uptime >= h.parameters.RegionRoleDelay && h.isInRepresentingSite(),
	}
}

// rankMembers ranks the live routers of the site, the oldest first. A restarted router is ranked last, so that a restart moves
// a role only once, and representatives are routers that already have the summaries.
func (h *Hierarchy) rankMembers() {
	clear(h.ranks)
	slices.SortFunc(h.localSite.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Name, b.Name))
	})
	for rank, member := range h.localSite.Members {
		h.ranks[member.Addr] = rank
		if _, known := h.lastReceivedAt[member.Addr]; !known {
			h.lastReceivedAt[member.Addr] = h.now // a new member counts as responsive for SilenceTimeout
		}
	}
	for addr := range h.lastReceivedAt {
		if _, isMember := h.ranks[addr]; !isMember {
			delete(h.lastReceivedAt, addr)
		}
	}
}

// isElected reports whether a router of this rank represents the site. The first ranks always do. A standby does while fewer
// than RepresentativesPerSite routers of higher rank are responsive, because the membership takes seconds to detect a failed
// router.
func (h *Hierarchy) isElected(rank int) bool {
	if rank < h.parameters.RepresentativesPerSite {
		return true
	}
	if rank >= h.candidateCount() {
		return false
	}
	responsive := 0
	for _, member := range h.localSite.Members[:rank] {
		if h.isResponsive(member.Addr) {
			responsive++
		}
	}
	return responsive < h.parameters.RepresentativesPerSite
}

// candidateCount is the number of ranks that can be elected.
func (h *Hierarchy) candidateCount() int {
	return h.parameters.RepresentativesPerSite + h.parameters.StandbysPerSite
}

func (h *Hierarchy) isResponsive(addr netip.AddrPort) bool {
	return h.now-h.lastReceivedAt[addr] <= h.parameters.SilenceTimeout
}

// siteRepresentatives returns the representatives of the local site as this router sees them: the first responsive candidates.
func (h *Hierarchy) siteRepresentatives() (representatives []netip.AddrPort) {
	for rank, member := range h.localSite.Members {
		if rank >= h.candidateCount() || len(representatives) == h.parameters.RepresentativesPerSite {
			break
		}
		if member.Addr == h.config.Addr || h.isResponsive(member.Addr) {
			representatives = append(representatives, member.Addr)
		}
	}
	return representatives
}

// representingSites returns the sites whose representatives also represent the region: the first by name that are not stale.
func (h *Hierarchy) representingSites() (sites []*entry) {
	for _, site := range h.tables[SiteTier].entriesByName() {
		if len(sites) < h.parameters.RepresentingSites && h.heartbeatAge(site) <= h.parameters.StaleAfter {
			sites = append(sites, site)
		}
	}
	return sites
}

func (h *Hierarchy) isInRepresentingSite() bool {
	return slices.ContainsFunc(h.representingSites(), func(site *entry) bool { return site.Name == h.config.Site })
}
