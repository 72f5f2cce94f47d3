package hierarchy

import (
	"net/netip"

	"spurtrestle/core/clock"
)

// Limits of replies and of forwarding.
const (
	maxOutgoing        = 32 // queued datagrams
	maxReplyDatagrams  = 3  // in reply to one digest or request
	maxForwardedRepair = 8  // summaries in a repair that a router without a role forwards in its site

	// versionsInterval is the minimum time between two replies to digests that differ. While the table is changing the minimum
	// is changingVersionsInterval.
	versionsInterval         = 1 * clock.Second
	changingVersionsInterval = 2 * clock.Second
)

// Receive processes a datagram. The next Tick returns the replies. Malformed datagrams and those of another fleet are counted
// and dropped.
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
		h.enqueue(received.from, h.packRecords(kindRepair, h.encodeSummaries(received.tier, received.requested())), maxReplyDatagrams)
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

// compareDigests replies to a digest that differs from this router's with the versions of its table, so that the sender can
// repair both tables.
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
		h.enqueue(received.from, h.encodeVersions(tier), maxReplyDatagrams)
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
	peerVersions := map[nameHash]Version{}
	var missingLocally []nameHash
	for _, peerRecord := range received.versions {
		peerVersions[peerRecord.name] = peerRecord.version
		local := entries[peerRecord.name]
		if local == nil || local.Version < peerRecord.version {
			missingLocally = append(missingLocally, peerRecord.name)
		}
	}
	missingRemotely := map[nameHash]bool{}
	for name, local := range entries {
		inRange := name >= received.firstName && name <= received.lastName
		if inRange && peerVersions[name] < local.Version {
			missingRemotely[name] = true
		}
	}
	h.enqueue(received.from, h.packRecords(kindRepair, h.encodeSummaries(received.tier, missingRemotely)), maxReplyDatagrams)
	if len(missingLocally) > 0 {
		h.enqueue(received.from, [][]byte{h.encodeRequest(received.tier, missingLocally)}, 1)
	}
}

// receiveSummaries merges summaries and forwards newer ones. A router without a role does not forward a large repair, which it
// usually receives because it has just joined, while the others of its site already have the summaries.
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
// receive a removed one again from each other.
func (h *Hierarchy) isExpired(heartbeat Heartbeat) bool {
	ageSeconds := int64(h.wallClock()) - int64(heartbeat.Sequence)
	return ageSeconds > int64(h.parameters.ExpireAfter/clock.Second)
}

// enqueue queues up to limit datagrams for the next Tick. Those over limit or maxOutgoing are counted and dropped.
func (h *Hierarchy) enqueue(to netip.AddrPort, bodies [][]byte, limit int) {
	for i, body := range bodies {
		if i >= limit || len(h.outgoing) >= maxOutgoing {
			h.droppedDatagrams++
			return
		}
		h.outgoing = append(h.outgoing, Datagram{To: to, Body: body})
	}
}
