package hierarchy

import (
	"math"
	"net/netip"
	"slices"

	"spurtrestle/core/clock"
)

// link is a group of routers among which summaries are disseminated.
type link uint8

const (
	siteLink        link = iota // all routers of a site
	regionLink                  // representatives of the sites of a region
	interRegionLink             // representatives of all regions
	linkCount
)

// exchangesPerFullDigest is the interval, in exchanges, at which all heartbeats are sent to one peer.
const exchangesPerFullDigest = 10

// tiersOn returns the tiers that are disseminated on a link.
func tiersOn(via link) []Tier {
	if via == interRegionLink {
		return []Tier{RegionTier}
	}
	return []Tier{SiteTier, RegionTier}
}

// entrySet is a set of table entries.
type entrySet [tierCount]map[nameHash]bool

func (s *entrySet) add(tier Tier, name nameHash) {
	if s[tier] == nil {
		s[tier] = map[nameHash]bool{}
	}
	s[tier][name] = true
}

func (s *entrySet) empty() bool { return len(s[SiteTier]) == 0 && len(s[RegionTier]) == 0 }

// dissemination is the state of sending updates, digests and reconnects.
type dissemination struct {
	queuedSummaries  entrySet              // for the next push
	queuedHeartbeats [linkCount]entrySet   // for the next digest on each link
	hasNewRevision   bool                  // a queued heartbeat has a new highest policy revision, and is pushed with the summaries
	pushedAt         clock.Time            // last push
	pingedAt         clock.Time            // last ping
	exchangedAt      [linkCount]clock.Time // last exchange of digests
	exchangeCount    [linkCount]int
	versionsSentAt   [tierCount]clock.Time // last reply to a digest that differed
	changedAt        [tierCount]clock.Time // last change of the table
	nextReconnectAt  clock.Time
	reconnectCount   int // selects the next candidate
}

// exchangeNow makes the next exchange on a link due immediately, with all heartbeats since its count is 0. Time 0 is more
// than an exchange interval ago, because a role begins SiteRoleDelay after the start at the earliest.
func (d *dissemination) exchangeNow(via link) { d.exchangedAt[via], d.exchangeCount[via] = 0, -1 }

// queueSummary includes a changed summary in the next push.
func (h *Hierarchy) queueSummary(tier Tier, name nameHash) {
	h.dissemination.queuedSummaries.add(tier, name)
	h.dissemination.changedAt[tier] = h.now
}

// queueHeartbeat includes a heartbeat in the next digests. One with a new policy revision is pushed as well.
func (h *Hierarchy) queueHeartbeat(tier Tier, name nameHash, newRevision bool) {
	for via := range linkCount {
		if h.usesLink(via) {
			h.dissemination.queuedHeartbeats[via].add(tier, name)
		}
	}
	h.dissemination.hasNewRevision = h.dissemination.hasNewRevision || newRevision
}

// usesLink reports whether this router's role includes a link.
func (h *Hierarchy) usesLink(via link) bool {
	switch via {
	case regionLink:
		return h.role.RepresentsSite
	case interRegionLink:
		return h.role.RepresentsRegion
	default:
		return true
	}
}

// samplePeers returns up to count random routers on a link.
func (h *Hierarchy) samplePeers(via link, count int) []netip.AddrPort {
	switch via {
	case regionLink:
		return h.sampleRepresentatives(SiteTier, h.config.Site, count)
	case interRegionLink:
		return h.sampleRepresentatives(RegionTier, h.config.Region, count)
	default:
		return h.sampleSiteMembers(count)
	}
}

// sampleSiteMembers returns up to count random other members of the local site.
func (h *Hierarchy) sampleSiteMembers(count int) (members []netip.AddrPort) {
	for _, member := range h.localSite.Members {
		if member.Addr != h.config.Addr {
			members = append(members, member.Addr)
		}
	}
	h.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}

// sampleRepresentatives returns up to count random representatives of other groups of a tier that are not lost. It returns a
// second one of a group only if there are fewer groups than count.
func (h *Hierarchy) sampleRepresentatives(tier Tier, own string, count int) (representatives []netip.AddrPort) {
	groups := h.tables[tier].entriesByName()
	h.random.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	first := h.random.IntN(maxRepresentatives)
	for round := range maxRepresentatives {
		for _, group := range groups {
			if len(representatives) == count {
				return representatives
			}
			isCandidate := group.Name != own && h.heartbeatAge(group) <= h.parameters.LostAfter
			if isCandidate && round < len(group.Representatives) {
				representatives = append(representatives, group.Representatives[(first+round)%len(group.Representatives)])
			}
		}
	}
	return representatives
}

// pushUpdates sends queued summaries, and heartbeats with a new policy revision, to PushFanout routers on each link.
func (h *Hierarchy) pushUpdates() {
	d := &h.dissemination
	hasUpdates := !d.queuedSummaries.empty() || d.hasNewRevision
	if !hasUpdates || h.now-d.pushedAt < h.parameters.PushInterval {
		return
	}
	for via := range linkCount {
		if !h.usesLink(via) {
			continue
		}
		// The sample for siteLink is unused; without it the sequence of random numbers would change.
		receivers := h.samplePeers(via, h.parameters.PushFanout)
		if via == siteLink {
			receivers = h.successors(h.parameters.PushFanout)
		}
		h.sendAll(receivers, h.encodeUpdates(via))
	}
	d.queuedSummaries, d.hasNewRevision, d.pushedAt = entrySet{}, false, h.now
}

func (h *Hierarchy) sendAll(receivers []netip.AddrPort, bodies [][]byte) {
	for _, receiver := range receivers {
		for _, body := range bodies {
			h.outgoing = append(h.outgoing, Datagram{To: receiver, Body: body})
		}
	}
}

// successors returns up to count members of the site at distances 1, k, k^2 ... after this router in the cyclic order of ranks,
// where k^count is the number of members. When each receiver forwards an update to its own successors, every member is
// reached in a few hops over several paths; random receivers would miss some members.
func (h *Hierarchy) successors(count int) (members []netip.AddrPort) {
	own, isMember := h.ranks[h.config.Addr]
	if !isMember || count == 0 {
		return nil
	}
	memberCount := len(h.localSite.Members)
	distances := []int{}
	for i := range count {
		exponent := float64(i) / float64(count)
		distance := int(math.Round(math.Pow(float64(memberCount), exponent)))
		for slices.Contains(distances, distance) {
			distance++
		}
		if distance < memberCount {
			distances = append(distances, distance)
			members = append(members, h.localSite.Members[(own+distance)%memberCount].Addr)
		}
	}
	return members
}

// encodeUpdates returns the datagrams with the queued updates for a link.
func (h *Hierarchy) encodeUpdates(via link) [][]byte {
	var records [][]byte
	for _, tier := range tiersOn(via) {
		records = append(records, h.encodeSummaries(tier, h.dissemination.queuedSummaries[tier])...)
	}
	bodies := h.packRecords(kindUpdate, records)
	if h.dissemination.hasNewRevision {
		bodies = append(bodies, h.encodeDigest(via, h.dissemination.queuedHeartbeats[via]))
		h.dissemination.queuedHeartbeats[via] = entrySet{}
	}
	return bodies
}

// exchangeDigests sends the digests of the tables and the queued heartbeats to ExchangeFanout routers on each link.
func (h *Hierarchy) exchangeDigests() {
	h.pingCandidates()
	d := &h.dissemination
	for via := range linkCount {
		if !h.usesLink(via) || h.now-d.exchangedAt[via] < h.exchangeInterval() {
			continue
		}
		d.exchangedAt[via] = h.now
		d.exchangeCount[via]++
		isFullExchange := d.exchangeCount[via]%exchangesPerFullDigest == 0
		for i, peer := range h.samplePeers(via, h.parameters.ExchangeFanout) {
			heartbeats := d.queuedHeartbeats[via]
			if i == 0 && isFullExchange {
				heartbeats = h.allEntries()
			}
			h.outgoing = append(h.outgoing, Datagram{To: peer, Body: h.encodeDigest(via, heartbeats)})
		}
		d.queuedHeartbeats[via] = entrySet{}
	}
}

func (h *Hierarchy) exchangeInterval() clock.Duration {
	if h.now-h.startedAt < h.parameters.StartupPeriod {
		return h.parameters.ExchangeInterval / 2
	}
	return h.parameters.ExchangeInterval
}

// pingCandidates pings the other candidates of the site, to show that this representative is responsive.
func (h *Hierarchy) pingCandidates() {
	if !h.role.RepresentsSite || h.now-h.dissemination.pingedAt < h.parameters.PingInterval {
		return
	}
	h.dissemination.pingedAt = h.now
	candidates := h.localSite.Members[:min(len(h.localSite.Members), h.candidateCount())]
	for _, member := range candidates {
		if member.Addr != h.config.Addr {
			h.outgoing = append(h.outgoing, Datagram{To: member.Addr, Body: h.newDatagram(kindPing)})
		}
	}
}

// allEntries returns the set of all entries of all tables.
func (h *Hierarchy) allEntries() (all entrySet) {
	for tier := range tierCount {
		for _, name := range h.tables[tier].sortedKeys() {
			all.add(tier, name)
		}
	}
	return all
}
