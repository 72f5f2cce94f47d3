package hierarchy

import (
	"fmt"
	"strconv"

	"spurtrestle/core/clock"
)

// State classifies a summary by the age of its last heartbeat.
type State uint8

// The states of a summary.
const (
	Fresh State = iota
	Stale       // no heartbeat for Parameters.StaleAfter; its routers still count
	Lost        // no heartbeat for Parameters.LostAfter; its routers count as failed
)

func (s State) String() string { return [...]string{"fresh", "stale", "lost"}[min(s, Lost)] }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	for state := Fresh; state <= Lost; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("unknown summary state %q: want fresh, stale or lost", text)
}

// GroupStatus is the state of a site or a region as shown to operators.
type GroupStatus struct {
	Name            string         `json:"name"`
	State           State          `json:"state"`
	Age             clock.Duration `json:"age"` // of its last heartbeat
	Counts                         // of its last summary
	SiteCount       uint32         `json:"sites,omitempty"`      // of a region
	LostSites       uint32         `json:"sites_lost,omitempty"` // of a region
	MinRevision     uint64         `json:"least_policy_revision"`
	MaxRevision     uint64         `json:"greatest_policy_revision"`
	Version         string         `json:"version"`
	Digest          string         `json:"digest"`
	Representatives []string       `json:"representatives"`
}

// Status is a router's view of the tiers as shown to operators.
type Status struct {
	Region           string        `json:"region"`
	Site             string        `json:"site"`
	RepresentsSite   bool          `json:"represents_site"`
	RepresentsRegion bool          `json:"represents_region"`
	Settled          bool          `json:"settled"`
	NewestRevision   uint64        `json:"newest_policy_revision"`
	SitesDigest      string        `json:"sites_digest"`   // equal at all routers of a region that have the same summaries
	RegionsDigest    string        `json:"regions_digest"` // equal at all routers of the fleet that have the same summaries
	Sites            []GroupStatus `json:"sites"`
	Regions          []GroupStatus `json:"regions"`
	DatagramsDropped uint64        `json:"datagrams_dropped"`
}

// Status returns the state as of now. It advances the time as Tick does.
func (h *Hierarchy) Status(now clock.Time) Status {
	h.now = max(h.now, now)
	sitesDigest, regionsDigest := h.Digests()
	return Status{
		Region:           h.config.Region,
		Site:             h.config.Site,
		RepresentsSite:   h.role.RepresentsSite,
		RepresentsRegion: h.role.RepresentsRegion,
		Settled:          h.Settled(now),
		NewestRevision:   h.NewestRevision(),
		SitesDigest:      formatHex(sitesDigest),
		RegionsDigest:    formatHex(regionsDigest),
		Sites:            h.groupStatuses(SiteTier),
		Regions:          h.groupStatuses(RegionTier),
		DatagramsDropped: h.droppedDatagrams,
	}
}

// Settled reports whether this router has the summaries of its own site and region and, for Parameters.SettleAfter, no
// summary has changed and no digest of another router has differed. It advances the time as Tick does.
func (h *Hierarchy) Settled(now clock.Time) bool {
	h.now = max(h.now, now)
	for tier := range tierCount {
		ownEntry := h.tables[tier].entries[hashName(h.ownName(tier))]
		sinceChange := h.now - h.dissemination.changedAt[tier]
		if ownEntry == nil || sinceChange < h.parameters.SettleAfter {
			return false
		}
	}
	hasComparison := h.hasComparedDigest || len(h.localSite.Members) == 1
	return hasComparison && h.now-h.lastMismatchAt >= h.parameters.SettleAfter
}

// NewestRevision returns the highest policy revision of the local site and of all summaries that are not lost.
func (h *Hierarchy) NewestRevision() uint64 {
	return max(h.localSite.MaxRevision, h.maxPublishedRevision())
}

// maxPublishedRevision returns the highest policy revision of all summaries that are not lost.
func (h *Hierarchy) maxPublishedRevision() (revision uint64) {
	for _, summaries := range h.tables {
		revision = max(revision, summaries.maxRevision(h.now, h.parameters.LostAfter))
	}
	return revision
}

// Digests returns digests over the versions of the summaries of sites and of regions.
func (h *Hierarchy) Digests() (sites, regions uint64) {
	return h.tables[SiteTier].versionDigest(), h.tables[RegionTier].versionDigest()
}

func (h *Hierarchy) summaryState(group *entry) State {
	age := h.heartbeatAge(group)
	switch {
	case age > h.parameters.LostAfter:
		return Lost
	case age > h.parameters.StaleAfter:
		return Stale
	default:
		return Fresh
	}
}

func (h *Hierarchy) groupStatuses(tier Tier) (groups []GroupStatus) {
	for _, group := range h.tables[tier].entriesByName() {
		status := GroupStatus{
			Name:            group.Name,
			State:           h.summaryState(group),
			Age:             h.heartbeatAge(group),
			Counts:          group.Counts,
			SiteCount:       group.SiteCount,
			LostSites:       group.LostSites,
			MinRevision:     group.MinRevision,
			MaxRevision:     group.MaxRevision,
			Version:         formatHex(uint64(group.Version)),
			Digest:          formatHex(group.Digest),
			Representatives: []string{},
		}
		for _, addr := range group.Representatives {
			status.Representatives = append(status.Representatives, addr.String())
		}
		groups = append(groups, status)
	}
	return groups
}

func formatHex(value uint64) string { return strconv.FormatUint(value, 16) }
