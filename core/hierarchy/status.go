package hierarchy

import (
	"fmt"
	"strconv"

	"spurtrestle/core/clock"
)

// State is what a summary's age makes of it.
type State uint8

// The states of a summary.
const (
	Fresh State = iota
	Stale       // no sign of life for Rules.Stale; its routers still count
	Lost        // none for Rules.Lost; its routers count as gone
)

func (s State) String() string { return [...]string{"fresh", "stale", "lost"}[min(s, Lost)] }

// MarshalText writes a state as people read it.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads one.
func (s *State) UnmarshalText(text []byte) error {
	for x := Fresh; x <= Lost; x++ {
		if x.String() == string(text) {
			*s = x
			return nil
		}
	}
	return fmt.Errorf("%q is none of fresh, stale, lost", text)
}

func (h *Hierarchy) state(e *entry) State {
	switch age := h.now - e.heard; {
	case age > h.rules.LostAfter:
		return Lost
	case age > h.rules.StaleAfter:
		return Stale
	}
	return Fresh
}

// Group is a site or a region as it is shown.
type GroupStatus struct {
	Name            string     `json:"name"`
	State           State      `json:"state"`
	Age             clock.Time `json:"age"` // since its last sign of life was heard
	Counts                     // the last that were told
	SiteCount       uint32     `json:"sites,omitempty"`      // of a region
	LostSites       uint32     `json:"sites_lost,omitempty"` // of a region
	MinRevision     uint64     `json:"least_policy_revision"`
	MaxRevision     uint64     `json:"greatest_policy_revision"`
	Version         string     `json:"version"`
	Digest          string     `json:"digest"`
	Representatives []string   `json:"representatives"`
}

// Status is what a router knows of the tiers, as people are shown it.
type Status struct {
	Region           string        `json:"region"`
	Site             string        `json:"site"`
	RepresentsSite   bool          `json:"represents_site"`
	RepresentsRegion bool          `json:"represents_region"`
	Settled          bool          `json:"settled"`
	NewestRevision   uint64        `json:"newest_policy_revision"` // that any summary which is not lost tells of
	SitesDigest      string        `json:"sites_digest"`           // the same at all routers of a region that know the same
	RegionsDigest    string        `json:"regions_digest"`         // the same at all routers that know the same
	Sites            []GroupStatus `json:"sites"`
	Regions          []GroupStatus `json:"regions"`
	DatagramsDropped uint64        `json:"datagrams_dropped"`
}

// Status is what is known as of a time.
func (h *Hierarchy) Status(now clock.Time) Status {
	h.now = max(h.now, now)
	s := Status{Region: h.cfg.Region, Site: h.cfg.Site, RepresentsSite: h.role.RepresentsSite, RepresentsRegion: h.role.RepresentsRegion,
		Settled: h.Settled(now), NewestRevision: h.NewestRevision(), DatagramsDropped: h.dropped,
		SitesDigest: hex(h.tables[SiteTier].sum()), RegionsDigest: hex(h.tables[RegionTier].sum()), Sites: h.groups(SiteTier), Regions: h.groups(RegionTier)}
	return s
}

// Settled tells whether this router knows of its own site and region, and nothing has changed or differed from what others
// hold for a while.
func (h *Hierarchy) Settled(now clock.Time) bool {
	h.now = max(h.now, now)
	for tier, own := range []string{h.cfg.Site, h.cfg.Region} {
		if h.tables[tier].entries[keyOf(own)] == nil || h.now-h.spread.changed[tier] < h.rules.SettleAfter {
			return false
		}
	}
	return h.now-h.unlike >= h.rules.SettleAfter && (h.compared || len(h.local.Members) == 1)
}

// Newest is the highest revision of the policy that is told of by this router's site or any summary that is not lost.
func (h *Hierarchy) NewestRevision() uint64 { return max(h.local.MaxRevision, h.told()) }

// told is the highest revision of the policy that any summary which is not lost tells of.
func (h *Hierarchy) told() (newest uint64) {
	for _, t := range h.tables {
		newest = max(newest, t.newest(h.now, h.rules.LostAfter))
	}
	return newest
}

// Digests are over the versions held of sites and of regions.
func (h *Hierarchy) Digests() (sites, regions uint64) {
	return h.tables[SiteTier].sum(), h.tables[RegionTier].sum()
}

func (h *Hierarchy) groups(tier Tier) (all []GroupStatus) {
	for _, e := range h.tables[tier].byName() {
		g := GroupStatus{Name: e.Name, State: h.state(e), Age: h.now - e.heard, Counts: e.Counts, SiteCount: e.SiteCount, LostSites: e.LostSites, MinRevision: e.MinRevision,
			MaxRevision: e.MaxRevision, Version: hex(uint64(e.Version)), Digest: hex(e.Digest), Representatives: []string{}}
		for _, a := range e.Representatives {
			g.Representatives = append(g.Representatives, a.String())
		}
		all = append(all, g)
	}
	return all
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }
