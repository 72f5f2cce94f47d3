package hierarchy

import (
	"cmp"
	"net/netip"
	"slices"
)

// Role is what a router does beyond its site. Nobody votes for it: each router follows the same rule over the membership of
// its site, and two that follow it from different views for a moment do no harm, since summaries carry versions.
type Role struct {
	Rank             int  // among the living of the site, by age; -1: not known
	RepresentsSite   bool // it represents its site
	RepresentsRegion bool // and its region
}

// Role is what this router does now.
func (h *Hierarchy) Role() Role { return h.role }

// assume takes the roles that the rule gives this router.
func (h *Hierarchy) assume() {
	h.rank()
	before := h.role
	h.role = Role{Rank: -1}
	defer func() { h.begin(before) }()
	rank, there := h.ranks[h.cfg.Addr]
	if !there || h.now-h.start < h.rules.SiteRoleDelay {
		return
	}
	h.role.Rank = rank
	h.role.RepresentsSite = h.represents(rank)
	h.role.RepresentsRegion = h.role.RepresentsSite && h.now-h.start >= h.rules.RegionRoleDelay && h.inFront()
}

// begin has a router that has a new role tell what it knows at once.
func (h *Hierarchy) begin(before Role) {
	if h.role.RepresentsSite && !before.RepresentsSite {
		h.spread.begin(withinArea)
	}
	if h.role.RepresentsRegion && !before.RepresentsRegion {
		h.spread.begin(between)
	}
}

// rank orders the living of the site, the oldest first: a router that begins anew is the last, so that a restart moves a role
// once and not there and back, and who has a role has known the fleet for a while.
func (h *Hierarchy) rank() {
	clear(h.ranks)
	slices.SortFunc(h.local.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Name, b.Name))
	})
	for i, m := range h.local.Members {
		h.ranks[m.Addr] = i
		if _, known := h.silent[m.Addr]; !known {
			h.silent[m.Addr] = h.now // it has its time to be heard
		}
	}
	for addr := range h.silent {
		if _, there := h.ranks[addr]; !there {
			delete(h.silent, addr)
		}
	}
}

// represents tells whether a router of this rank represents the site. One of the first ranks does always; a standby does
// while too few of those before it were heard lately: the membership needs some seconds to find a dead router.
func (h *Hierarchy) represents(rank int) bool {
	if rank < h.rules.RepresentativesPerSite {
		return true
	}
	if rank >= h.candidates() {
		return false
	}
	awake := 0
	for _, m := range h.local.Members[:rank] {
		if h.awake(m.Addr) {
			awake++
		}
	}
	return awake < h.rules.RepresentativesPerSite
}

func (h *Hierarchy) candidates() int { return h.rules.RepresentativesPerSite + h.rules.StandbysPerSite }

func (h *Hierarchy) awake(addr netip.AddrPort) bool {
	return h.now-h.silent[addr] <= h.rules.SilenceTimeout
}

// representatives are those of the own site, as far as this router knows: the first that are awake.
func (h *Hierarchy) representatives() (all []netip.AddrPort) {
	for i, m := range h.local.Members {
		if i >= h.candidates() || len(all) == h.rules.RepresentativesPerSite {
			break
		}
		if m.Addr == h.cfg.Addr || h.awake(m.Addr) {
			all = append(all, m.Addr)
		}
	}
	return all
}

// front are the sites of the region whose representatives speak for it: the first by name that show signs of life.
func (h *Hierarchy) front() (all []*entry) {
	for _, e := range h.tables[SiteTier].byName() {
		if len(all) < h.rules.RepresentingSites && h.now-e.heard <= h.rules.StaleAfter {
			all = append(all, e)
		}
	}
	return all
}

func (h *Hierarchy) inFront() bool {
	return slices.ContainsFunc(h.front(), func(e *entry) bool { return e.Name == h.cfg.Site })
}
