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

	// versionsInterval is the minimum time between two answers to digests that differ; while the table is changing it is
	// changingVersionsInterval.
	versionsInterval         = 1 * clock.Second
	changingVersionsInterval = 2 * clock.Second
)

// Receive processes a datagram. Replies are returned by the next Tick. Malformed datagrams and those of another fleet are
// counted and dropped.
func (h *Hierarchy) Receive(now clock.Time, body []byte) {
	received, err := decode(body)
	if err != nil || received.fleet != hashName(h.config.Fleet) {
		h.droppedDatagrams++
		return
	}
	h.now = max(h.now, now)
	if _, isMember := h.ranks[received.from]; isMember {
		h.lastReceivedAt[received.from] = h.now
	}
	switch received.kind {
	case kindPing: // recorded above
	case kindDigest:
		h.receiveHeartbeats(received)
		h.compareDigests(received)
	case kindVersions:
		if h.sharesTier(received, received.tier) {
			h.repair(received)
		}
	case kindRequest:
		h.reply(received.from, h.packRecords(kindRepair, h.encodeSummaries(received.tier, received.requested())), maxReplyDatagrams)
	case kindUpdate, kindRepair:
		h.receiveSummaries(received)
	}
}

// sharesTier reports whether the sender has the same summaries of a tier as this router: sites are known within a region only.
func (h *Hierarchy) sharesTier(received message, tier Tier) bool {
	return tier == RegionTier || received.region == hashName(h.config.Region)
}

func (h *Hierarchy) receiveHeartbeats(received message) {
	for tier := range tierCount {
		if !h.sharesTier(received, tier) {
			continue
		}
		for _, record := range received.heartbeats[tier] {
			maxRevision := h.maxPublishedRevision() // each recorded heartbeat may raise it
			if h.tables[tier].recordHeartbeat(h.now, record.name, record.Heartbeat) {
				h.queueHeartbeat(tier, record.name, record.MaxRevision > maxRevision)
			}
		}
	}
}

// compareDigests answers a digest that differs from this router's with the versions of its table, so that the sender can repair
// both.
func (h *Hierarchy) compareDigests(received message) {
	h.hasComparedDigest = true
	for tier := range tierCount {
		if !h.sharesTier(received, tier) || received.digests[tier] == h.tables[tier].versionDigest() {
			continue
		}
		h.lastMismatchAt = h.now
		if !h.versionsDue(tier) {
			continue
		}
		h.dissemination.versionsSentAt[tier] = h.now
		h.reply(received.from, h.encodeVersions(tier), maxReplyDatagrams)
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
func (h *Hierarchy) repair(received message) {
	entries := h.tables[received.tier].entries
	theirVersions := map[nameHash]Version{}
	var missingHere []nameHash
	for _, theirs := range received.versions {
		theirVersions[theirs.name] = theirs.version
		own := entries[theirs.name]
		if own == nil || own.Version < theirs.version {
			missingHere = append(missingHere, theirs.name)
		}
	}
	missingThere := map[nameHash]bool{}
	for name, own := range entries {
		inRange := name >= received.first && name <= received.last
		if inRange && theirVersions[name] < own.Version {
			missingThere[name] = true
		}
	}
	h.reply(received.from, h.packRecords(kindRepair, h.encodeSummaries(received.tier, missingThere)), maxReplyDatagrams)
	if len(missingHere) > 0 {
		h.reply(received.from, [][]byte{h.encodeRequest(received.tier, missingHere)}, 1)
	}
}

// receiveSummaries merges summaries and forwards newer ones. A router without a role does not forward a large repair: a router
// that just joined lacks everything, and the others of its site do not.
func (h *Hierarchy) receiveSummaries(received message) {
	forwards := received.kind == kindUpdate || len(received.summaries) <= maxForwardedRepair || h.role.RepresentsSite
	for _, record := range received.summaries {
		if !h.sharesTier(received, record.tier) || h.isExpired(record.Heartbeat) {
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
