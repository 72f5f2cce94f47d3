package hierarchy

import (
	"net/netip"
	"slices"

	"spurtrestle/core/clock"
)

// publication is this router's state of publishing one summary.
type publication struct {
	publishedAt  clock.Time // by this router; 0: never
	differsSince clock.Time // when the summary in the table began to differ from the actual state; 0: they are equal
	differsFrom  Version    // the version in the table that differs
}

// publishIntervals are the minimum times between two publications of one tier.
type publishIntervals struct {
	summary   clock.Duration
	heartbeat clock.Duration
}

func (h *Hierarchy) publishIntervals(tier Tier) publishIntervals {
	if tier == SiteTier {
		return publishIntervals{summary: h.parameters.SitePublishInterval, heartbeat: h.parameters.SiteHeartbeatInterval}
	}
	return publishIntervals{summary: h.parameters.RegionPublishInterval, heartbeat: h.parameters.RegionHeartbeatInterval}
}

// publishSummaries publishes the summaries that this router is a representative for.
func (h *Hierarchy) publishSummaries() {
	if !h.role.RepresentsSite {
		h.publications = [tierCount]publication{}
		return
	}
	siteSummary, siteHeartbeat := h.localSiteSummary()
	siteRank := slices.Index(siteSummary.Representatives, h.config.Addr)
	h.publishSummary(SiteTier, siteSummary, siteHeartbeat, siteRank)
	if !h.role.RepresentsRegion {
		h.publications[RegionTier] = publication{}
		return
	}
	regionSummary, regionHeartbeat := h.localRegionSummary()
	regionRank := slices.Index(regionSummary.Representatives, h.config.Addr)
	h.publishSummary(RegionTier, regionSummary, regionHeartbeat, regionRank)
}

// publishSummary publishes a new version of the summary if its content differs from the table's, and otherwise a heartbeat if
// one is due. Rank 0 publishes immediately. Each lower rank waits longer, and publishes only if no higher rank has; a
// negative rank is below all others.
func (h *Hierarchy) publishSummary(tier Tier, summary Summary, heartbeat Heartbeat, rank int) {
	if rank < 0 {
		rank = h.candidateCount()
	}
	takeoverDelay := clock.Duration(rank) * h.parameters.TakeoverDelay
	intervals := h.publishIntervals(tier)
	name := hashName(summary.Name)
	current := h.tables[tier].entries[name]
	if current == nil {
		current = &entry{}
	}
	heartbeat.Sequence = max(current.Sequence+1, h.wallClock())

	progress := &h.publications[tier]
	if sameContent(current.Summary, summary) {
		progress.differsSince = 0
		h.publishHeartbeat(tier, current, heartbeat, intervals.heartbeat+takeoverDelay)
		return
	}
	if progress.differsSince == 0 || progress.differsFrom != current.Version {
		progress.differsSince, progress.differsFrom = h.now, current.Version
	}
	awaitsHigherRank := h.now-progress.differsSince < takeoverDelay
	publishedRecently := progress.publishedAt != 0 && h.now-progress.publishedAt < intervals.summary
	if awaitsHigherRank || publishedRecently {
		return
	}
	writer := uint16(hashName(h.config.Addr.String()))
	summary.Version = current.Version.next(h.config.WallClockSeconds, writer)
	h.tables[tier].merge(h.now, summary, heartbeat)
	progress.publishedAt, progress.differsSince = h.now, 0
	h.queueSummary(tier, name)
}

// publishHeartbeat publishes a heartbeat if the last one is older than interval, or immediately if the policy revision is
// higher than any published one.
func (h *Hierarchy) publishHeartbeat(tier Tier, current *entry, heartbeat Heartbeat, interval clock.Duration) {
	newRevision := heartbeat.MaxRevision > h.tables[tier].maxRevision(h.now, h.parameters.LostAfter)
	if !newRevision && h.heartbeatAge(current) < interval {
		return
	}
	current.Heartbeat, current.heartbeatAt = heartbeat, h.now
	h.queueHeartbeat(tier, hashName(current.Name), newRevision)
}

// sameContent reports whether two summaries are equal except for their versions.
func sameContent(a, b Summary) bool {
	return a.Name == b.Name &&
		a.Counts == b.Counts &&
		a.SiteCount == b.SiteCount &&
		a.LostSites == b.LostSites &&
		a.Digest == b.Digest &&
		slices.Equal(a.Representatives, b.Representatives)
}

func (h *Hierarchy) localSiteSummary() (Summary, Heartbeat) {
	summary := Summary{
		Name:            h.config.Site,
		Counts:          h.localSite.Counts,
		Digest:          h.localSite.Digest,
		Representatives: h.siteRepresentatives(),
	}
	return summary, Heartbeat{MinRevision: h.localSite.MinRevision, MaxRevision: h.localSite.MaxRevision}
}

// localRegionSummary aggregates the summaries of the region's sites. Routers of lost sites do not count as alive.
func (h *Hierarchy) localRegionSummary() (Summary, Heartbeat) {
	summary := Summary{Name: h.config.Region}
	heartbeat := Heartbeat{}
	sites := h.tables[SiteTier]
	for _, name := range sites.sortedKeys() {
		site := sites.entries[name]
		summary.SiteCount++
		summary.Counts.Total += site.Counts.Total
		summary.Digest = mixHash(mixHash(summary.Digest, uint64(name)), site.Digest)
		if h.summaryState(site) == Lost {
			summary.LostSites++
			continue
		}
		summary.Counts.Alive += site.Counts.Alive
		summary.Counts.Accepting += site.Counts.Accepting
		firstLiveSite := summary.SiteCount-summary.LostSites == 1
		if firstLiveSite {
			heartbeat.MinRevision = site.MinRevision
		}
		heartbeat.MinRevision = min(heartbeat.MinRevision, site.MinRevision)
		heartbeat.MaxRevision = max(heartbeat.MaxRevision, site.MaxRevision)
	}
	summary.Representatives = h.regionRepresentatives()
	return summary, heartbeat
}

// regionRepresentatives returns the representatives of the representing sites, up to maxRepresentatives.
func (h *Hierarchy) regionRepresentatives() (representatives []netip.AddrPort) {
	for _, site := range h.representingSites() {
		representatives = append(representatives, site.Representatives...)
	}
	return representatives[:min(len(representatives), maxRepresentatives)]
}
