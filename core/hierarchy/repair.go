package hierarchy

import (
	"net/netip"

	"spurtrestle/core/clock"
)

// Bounds of replies and of their forwarding.
const (
	maxOutgoing        = 32 // datagrams that wait for the next Tick
	maxReplyDatagrams  = 3  // datagrams that answer one digest or request
	maxForwardedRepair = 8  // summaries of a repair up to which a router without a role forwards them in its site

	// versionsInterval is the minimum time between two answers to digests that differ; while the table keeps changing it is
	// changingVersionsInterval.
	versionsInterval         = 1 * clock.Second
	changingVersionsInterval = 2 * clock.Second
)

// Receive processes a datagram. Replies are returned by the next Tick. Malformed datagrams and those of another fleet are
// counted and dropped.
func (h *Hierarchy) Receive(now clock.Time, body []byte) {
	m, err := decode(body)
	if err != nil || m.fleet != hashName(h.config.Fleet) {
		h.droppedDatagrams++
		return
	}
	h.now = max(h.now, now)
	if _, isMember := h.ranks[m.from]; isMember {
		h.lastReceivedAt[m.from] = h.now
	}
	switch m.kind {
	case kindDigest:
		h.receiveHeartbeats(m)
		h.compareDigests(m)
	case kindVersions:
		if h.sharesTier(m, m.tier) {
			h.repair(m)
		}
	case kindRequest:
		h.reply(m.from, h.packRecords(kindRepair, h.encodeSummaries(m.tier, m.requested())), maxReplyDatagrams)
	case kindUpdate, kindRepair:
		h.receiveSummaries(m)
	}
}

// sharesTier reports whether the sender has the same summaries of a tier as this router: sites are known within a region only.
func (h *Hierarchy) sharesTier(m message, tier Tier) bool {
	return tier == RegionTier || m.region == hashName(h.config.Region)
}

func (h *Hierarchy) receiveHeartbeats(m message) {
	for tier := range tierCount {
		if !h.sharesTier(m, tier) {
			continue
		}
		for _, received := range m.heartbeats[tier] {
			maxRevision := h.maxPublishedRevision()
			if h.tables[tier].recordHeartbeat(h.now, received.name, received.Heartbeat) {
				h.queueHeartbeat(tier, received.name, received.MaxRevision > maxRevision)
			}
		}
	}
}

// compareDigests answers a digest that differs from this router's with the versions of its table, so that the sender can repair
// both.
func (h *Hierarchy) compareDigests(m message) {
	h.compared = true
	for tier := range tierCount {
		if !h.sharesTier(m, tier) || m.digests[tier] == h.tables[tier].versionDigest() {
			continue
		}
		h.lastMismatchAt = h.now
		if !h.versionsDue(tier) {
			continue
		}
		h.dissemination.versionsSentAt[tier] = h.now
		h.reply(m.from, h.encodeVersions(tier), maxReplyDatagrams)
	}
}

func (h *Hierarchy) versionsDue(tier Tier) bool {
	sinceSent := h.now - h.dissemination.versionsSentAt[tier]
	isChanging := h.now-h.dissemination.changedAt[tier] < versionsInterval
	if isChanging {
		return sinceSent >= changingVersionsInterval
	}
	return sinceSent >= versionsInterval
}

// repair sends the summaries that the sender of versions lacks, and requests those that this router lacks.
func (h *Hierarchy) repair(m message) {
	entries := h.tables[m.tier].entries
	theirVersions := map[nameHash]Version{}
	var missingHere []nameHash
	for _, theirs := range m.versions {
		theirVersions[theirs.name] = theirs.version
		own := entries[theirs.name]
		if own == nil || own.Version < theirs.version {
			missingHere = append(missingHere, theirs.name)
		}
	}
	missingThere := map[nameHash]bool{}
	for name, own := range entries {
		inRange := name >= m.first && name <= m.last
		if inRange && theirVersions[name] < own.Version {
			missingThere[name] = true
		}
	}
	h.reply(m.from, h.packRecords(kindRepair, h.encodeSummaries(m.tier, missingThere)), maxReplyDatagrams)
	if len(missingHere) > 0 {
		h.reply(m.from, [][]byte{h.encodeRequest(m.tier, missingHere)}, 1)
	}
}

// receiveSummaries merges summaries and forwards newer ones. A router without a role does not forward a large repair: a router
// that just joined lacks everything, and the others of its site do not.
func (h *Hierarchy) receiveSummaries(m message) {
	forwards := m.kind == kindUpdate || len(m.summaries) <= maxForwardedRepair || h.role.RepresentsSite
	for _, record := range m.summaries {
		if !h.sharesTier(m, record.tier) || h.isExpired(record.Heartbeat) {
			continue
		}
		if record.tier == RegionTier && record.Name == h.config.Region {
			h.introduceToRegion(record.Representatives)
		}
		if !h.tables[record.tier].merge(h.now, record.Summary, record.Heartbeat) {
			continue
		}
		h.dissemination.changedAt[record.tier] = h.now
		if forwards {
			h.queueSummary(record.tier, hashName(record.Name))
		}
	}
}

// isExpired reports whether a heartbeat is older than ExpireAfter. Routers remove a summary at different times, and must not
// take a removed one back from each other.
func (h *Hierarchy) isExpired(heartbeat Heartbeat) bool {
	ageSeconds := int64(h.wallClock()) - int64(heartbeat.Sequence)
	return ageSeconds > int64(h.parameters.ExpireAfter/clock.Second)
}

// reply queues up to limit bodies for the next Tick. Those over the limits are counted and dropped.
func (h *Hierarchy) reply(to netip.AddrPort, bodies [][]byte, limit int) {
	for i, body := range bodies {
		if i >= limit || len(h.outgoing) >= maxOutgoing {
			h.droppedDatagrams++
			return
		}
		h.outgoing = append(h.outgoing, Datagram{To: to, Body: body})
	}
}
