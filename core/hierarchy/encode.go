package hierarchy

import (
	"encoding/binary"
	"net/netip"
)

// MaxDatagramSize bounds the size in bytes of a datagram, sent or accepted.
const MaxDatagramSize = 1300

// datagramKind is the first byte of a datagram. It determines the format of the rest; a format change requires a new kind.
type datagramKind byte

const (
	kindPing     datagramKind = iota + 1 // the sender is responsive
	kindDigest                           // digests of the sender's tables, and heartbeats
	kindVersions                         // names and versions of a range of a table
	kindRequest                          // names of summaries that the sender lacks
	kindUpdate                           // new summaries, forwarded by the receiver
	kindRepair                           // summaries that the receiver lacks
)

// Sizes of encoded fields, in bytes.
const (
	nameHashSize      = 4
	versionSize       = 8
	maxHeartbeatSize  = nameHashSize + binary.MaxVarintLen32 + 2*binary.MaxVarintLen64
	versionRangeSize  = 2*nameHashSize + 1 // first and last name, and a spare byte that keeps the ranges equal to those of older builds
	initialBufferSize = 64
)

// reservedHeartbeats is the capacity, in heartbeats, that a digest reserves for the header of a tier and for the heartbeat that
// selectHeartbeats adds. A datagram has room for fewer than 256 heartbeats, so their number fits in a byte.
const reservedHeartbeats = 1

// newDatagram returns the header that all datagrams begin with: kind, fleet, region and address of the sender.
func (h *Hierarchy) newDatagram(kind datagramKind) []byte {
	body := make([]byte, 0, initialBufferSize)
	body = append(body, byte(kind))
	body = appendNameHash(body, hashName(h.config.Fleet))
	body = appendNameHash(body, hashName(h.config.Region))
	return appendAddress(body, h.config.Addr)
}

func appendNameHash(body []byte, name nameHash) []byte {
	return binary.BigEndian.AppendUint32(body, uint32(name))
}

func appendAddress(body []byte, addr netip.AddrPort) []byte {
	ip := addr.Addr().Unmap().AsSlice()
	body = append(body, byte(len(ip)))
	body = append(body, ip...)
	return binary.BigEndian.AppendUint16(body, addr.Port())
}

// encodeDigest returns a datagram with the digests of the tables and as many of the given heartbeats as fit. Heartbeats are
// grouped by tier; each group begins with the tier and the number of heartbeats. Sequence numbers are relative to this
// router's wall clock.
func (h *Hierarchy) encodeDigest(via link, heartbeats entrySet) []byte {
	body := h.newDatagram(kindDigest)
	for _, summaries := range h.tables {
		body = binary.BigEndian.AppendUint64(body, summaries.versionDigest())
	}
	body = binary.BigEndian.AppendUint32(body, h.wallClock())
	for _, tier := range tiersOn(via) {
		summaries := h.tables[tier]
		capacity := (MaxDatagramSize - len(body)) / maxHeartbeatSize
		limit := capacity - reservedHeartbeats
		names := h.selectHeartbeats(summaries, heartbeats[tier], limit)
		if len(names) == 0 {
			continue
		}
		body = append(body, byte(tier), byte(len(names)))
		for _, name := range names {
			body = appendNameHash(body, name)
			body = h.appendRelativeHeartbeat(body, summaries.entries[name].Heartbeat)
		}
	}
	return body
}

// selectHeartbeats returns up to limit of the given entries, starting at a random one, and an entry with the newest policy
// revision.
func (h *Hierarchy) selectHeartbeats(summaries *table, entries map[nameHash]bool, limit int) (names []nameHash) {
	for name := range summaries.keysFromRandom(h.random) {
		if entries[name] && len(names) < limit {
			names = append(names, name)
		}
	}
	name, newest := summaries.newestRevisionEntry()
	if newest != nil && !entries[name] {
		names = append(names, name)
	}
	return names
}

// appendRelativeHeartbeat encodes the sequence number as its lag behind the wall clock, which takes fewer bytes.
func (h *Hierarchy) appendRelativeHeartbeat(body []byte, heartbeat Heartbeat) []byte {
	lag := int64(h.wallClock()) - int64(heartbeat.Sequence)
	return appendRevisions(binary.AppendVarint(body, lag), heartbeat)
}

func appendHeartbeat(body []byte, heartbeat Heartbeat) []byte {
	return appendRevisions(binary.BigEndian.AppendUint32(body, heartbeat.Sequence), heartbeat)
}

func appendRevisions(body []byte, heartbeat Heartbeat) []byte {
	body = binary.AppendUvarint(body, heartbeat.MaxRevision)
	return binary.AppendUvarint(body, heartbeat.MaxRevision-heartbeat.MinRevision)
}

// encodeVersions returns datagrams with all versions of a tier, each for a range of names. The ranges cover all names, so that
// the receiver can determine which summaries this router lacks.
func (h *Hierarchy) encodeVersions(tier Tier) (bodies [][]byte) {
	summaries := h.tables[tier]
	names := summaries.sortedKeys()
	first := nameHash(0)
	for {
		body := append(h.newDatagram(kindVersions), byte(tier))
		capacity := (MaxDatagramSize - len(body) - versionRangeSize) / (nameHashSize + versionSize)
		count := min(len(names), capacity)
		last := ^nameHash(0)
		if count < len(names) {
			last = names[count] - 1
		}
		body = appendNameHash(body, first)
		body = appendNameHash(body, last)
		for _, name := range names[:count] {
			body = appendNameHash(body, name)
			body = binary.BigEndian.AppendUint64(body, uint64(summaries.entries[name].Version))
		}
		bodies = append(bodies, body)
		names, first = names[count:], last+1
		if len(names) == 0 {
			return bodies
		}
	}
}

// encodeRequest returns a datagram that requests as many of the summaries as fit. The others are requested after a later
// digest.
func (h *Hierarchy) encodeRequest(tier Tier, names []nameHash) []byte {
	body := append(h.newDatagram(kindRequest), byte(tier))
	capacity := (MaxDatagramSize - len(body)) / nameHashSize
	for _, name := range names[:min(len(names), capacity)] {
		body = appendNameHash(body, name)
	}
	return body
}

// encodeSummaries returns a record for each of the given entries that the table has, in the order of their hashes.
func (h *Hierarchy) encodeSummaries(tier Tier, names map[nameHash]bool) (records [][]byte) {
	for _, name := range h.tables[tier].sortedKeys() {
		if names[name] {
			records = append(records, appendSummary(nil, tier, h.tables[tier].entries[name]))
		}
	}
	return records
}

func appendSummary(body []byte, tier Tier, group *entry) []byte {
	body = append(body, byte(tier), byte(len(group.Name)))
	body = append(body, group.Name...)
	body = binary.BigEndian.AppendUint64(body, uint64(group.Version))
	body = binary.AppendUvarint(body, uint64(group.Counts.Alive))
	body = binary.AppendUvarint(body, uint64(group.Counts.Accepting))
	body = binary.AppendUvarint(body, uint64(group.Counts.Total))
	body = binary.AppendUvarint(body, uint64(group.SiteCount))
	body = binary.AppendUvarint(body, uint64(group.LostSites))
	body = binary.BigEndian.AppendUint64(body, group.Digest)
	body = append(body, byte(len(group.Representatives)))
	for _, addr := range group.Representatives {
		body = appendAddress(body, addr)
	}
	return appendHeartbeat(body, group.Heartbeat)
}

// packRecords packs records into datagrams of a kind, in order.
func (h *Hierarchy) packRecords(kind datagramKind, records [][]byte) (bodies [][]byte) {
	var body []byte
	for _, record := range records {
		if body != nil && len(body)+len(record) > MaxDatagramSize {
			bodies = append(bodies, body)
			body = nil
		}
		if body == nil {
			body = h.newDatagram(kind)
		}
		body = append(body, record...)
	}
	if body != nil {
		bodies = append(bodies, body)
	}
	return bodies
}
