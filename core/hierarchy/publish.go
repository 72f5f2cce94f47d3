package hierarchy

import (
	"slices"

	"spurtrestle/core/clock"
)

// publication is the state of writing one summary.
type publication struct {
	last  clock.Time // when this router last wrote it
	since clock.Time // since when what is held differs from what it should be; 0: it does not
	of    Version    // the version that it differed from
}

// pace is how often a summary is written at most, and how often it gives a sign of life.
type pace struct{ publish, beat clock.Time }

// publish writes the summaries that this router answers for, where what is held is not what is so.
func (h *Hierarchy) publish() {
	if !h.role.RepresentsSite {
		h.published = [tiers]publication{}
		return
	}
	rank := slices.Index(h.representatives(), h.cfg.Addr)
	s, b := h.ownSite()
	h.write(SiteTier, s, b, rank, pace{h.rules.SitePublishInterval, h.rules.SiteHeartbeatInterval})
	if !h.role.RepresentsRegion {
		h.published[RegionTier] = publication{}
		return
	}
	s, b = h.ownRegion()
	h.write(RegionTier, s, b, slices.Index(s.Representatives, h.cfg.Addr), pace{h.rules.RegionPublishInterval, h.rules.RegionHeartbeatInterval})
}

// write publishes a summary if its content is another than that held, or a sign of life if one is due. The first in rank
// does so at once, the others once it has not.
func (h *Hierarchy) write(tier Tier, s Summary, b Heartbeat, rank int, at pace) {
	if rank < 0 {
		rank = h.candidates()
	}
	t, p, wait := h.tables[tier], &h.published[tier], clock.Time(rank)*h.rules.TakeoverDelay
	held := t.entries[keyOf(s.Name)]
	if held == nil {
		held = &entry{}
	}
	b.Sequence = max(held.Sequence+1, h.wall())
	if same(held.Summary, s) {
		p.since = 0
		h.beat(tier, held, b, at.beat+wait)
		return
	}
	if p.since == 0 || p.of != held.Version {
		p.since, p.of = h.now, held.Version
	}
	if h.now-p.since < wait || p.last != 0 && h.now-p.last < at.publish {
		return
	}
	s.Version = held.Version.next(h.cfg.WallClockSeconds, uint16(keyOf(h.cfg.Addr.String())))
	t.merge(h.now, s, b)
	p.last, p.since = h.now, 0
	h.news(tier, keyOf(s.Name))
}

// beat gives a sign of life if nobody has done so lately, or if there is a newer policy than anybody has told of.
func (h *Hierarchy) beat(tier Tier, held *entry, b Heartbeat, after clock.Time) {
	first := b.MaxRevision > h.tables[tier].newest(h.now, h.rules.LostAfter)
	if !first && h.now-held.heard < after {
		return
	}
	held.Heartbeat, held.heard = b, h.now
	h.newsBeat(tier, keyOf(held.Name), first)
}

// same tells whether two summaries say the same, whatever their versions.
func same(a, b Summary) bool {
	return a.Name == b.Name && a.Counts == b.Counts && a.SiteCount == b.SiteCount && a.LostSites == b.LostSites && a.Digest == b.Digest &&
		slices.Equal(a.Representatives, b.Representatives)
}

func (h *Hierarchy) ownSite() (Summary, Heartbeat) {
	return Summary{Name: h.cfg.Site, Counts: h.local.Counts, Digest: h.local.Digest, Representatives: h.representatives()},
		Heartbeat{MinRevision: h.local.MinRevision, MaxRevision: h.local.MaxRevision}
}

// ownRegion is the sum over the region's sites. The routers of a lost site do not count as alive.
func (h *Hierarchy) ownRegion() (Summary, Heartbeat) {
	s, b := Summary{Name: h.cfg.Region}, Heartbeat{}
	t := h.tables[SiteTier]
	for _, k := range t.keys() {
		e := t.entries[k]
		s.SiteCount++
		s.Counts.Total += e.Counts.Total
		s.Digest = mix(mix(s.Digest, uint64(k)), e.Digest)
		if h.now-e.heard > h.rules.LostAfter {
			s.LostSites++
			continue
		}
		s.Counts.Alive += e.Counts.Alive
		s.Counts.Accepting += e.Counts.Accepting
		if s.SiteCount-s.LostSites == 1 {
			b.MinRevision = e.MinRevision
		}
		b.MinRevision, b.MaxRevision = min(b.MinRevision, e.MinRevision), max(b.MaxRevision, e.MaxRevision)
	}
	for _, e := range h.front() {
		for _, addr := range e.Representatives {
			if len(s.Representatives) < maxRepresentatives {
				s.Representatives = append(s.Representatives, addr)
			}
		}
	}
	return s, b
}
