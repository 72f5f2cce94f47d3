package hierarchy

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"
)

// message is a decoded datagram. Fields of other kinds than its own are zero.
type message struct {
	kind   datagramKind
	fleet  nameHash
	region nameHash
	from   netip.AddrPort

	digests    [tierCount]uint64            // kindDigest
	heartbeats [tierCount][]heartbeatRecord // kindDigest
	tier       Tier                         // kindVersions, kindRequest
	firstName  nameHash                     // kindVersions: the range of names that versions covers
	lastName   nameHash                     // kindVersions
	versions   []versionRecord              // kindVersions
	names      []nameHash                   // kindRequest
	summaries  []summaryRecord              // kindUpdate, kindRepair
}

type heartbeatRecord struct {
	name nameHash
	Heartbeat
}

type versionRecord struct {
	name    nameHash
	version Version
}

type summaryRecord struct {
	tier Tier
	Summary
	Heartbeat
}

// requested returns the names of a kindRequest message as a set.
func (m message) requested() map[nameHash]bool {
	names := map[nameHash]bool{}
	for _, name := range m.names {
		names[name] = true
	}
	return names
}

const (
	// maxCount bounds the counts in a summary.
	maxCount = 1 << 31
	// maxAddressSize is one more than the size of an IPv6 address, so that every longer address is malformed.
	maxAddressSize = 16 + 1
)

var errMalformed = errors.New("hierarchy: malformed datagram")

// decode decodes a datagram. The size of the result is bounded by that of the datagram. The error is errMalformed.
func decode(body []byte) (message, error) {
	r := &reader{remaining: body, malformed: len(body) > MaxDatagramSize}
	received := r.message()
	if r.malformed || len(r.remaining) > 0 {
		return message{}, errMalformed
	}
	return received, nil
}

// reader reads the fields of a datagram in order. After a malformed field all fields are zero.
type reader struct {
	remaining []byte
	malformed bool
}

// more reports whether unread fields remain.
func (r *reader) more() bool { return len(r.remaining) > 0 && !r.malformed }

// require marks the datagram as malformed unless a condition is true.
func (r *reader) require(condition bool) { r.malformed = r.malformed || !condition }

func (r *reader) message() (received message) {
	received.kind = datagramKind(r.byte())
	received.fleet = r.nameHash()
	received.region = r.nameHash()
	received.from = r.address()
	switch received.kind {
	case kindPing:
	case kindDigest:
		r.digest(&received)
	case kindVersions:
		r.versions(&received)
	case kindRequest:
		received.tier = r.tier()
		for r.more() {
			received.names = append(received.names, r.nameHash())
		}
	case kindUpdate, kindRepair:
		for r.more() {
			received.summaries = append(received.summaries, r.summary())
		}
	default:
		r.malformed = true
	}
	return received
}

func (r *reader) digest(received *message) {
	for tier := range tierCount {
		received.digests[tier] = r.uint64()
	}
	wallClock := r.uint32()
	for r.more() {
		tier := r.tier()
		for count := int(r.byte()); count > 0 && !r.malformed; count-- {
			name := r.nameHash()
			heartbeat := r.relativeHeartbeat(wallClock)
			received.heartbeats[tier] = append(received.heartbeats[tier], heartbeatRecord{name: name, Heartbeat: heartbeat})
		}
	}
}

func (r *reader) versions(received *message) {
	received.tier = r.tier()
	received.firstName = r.nameHash()
	received.lastName = r.nameHash()
	for r.more() {
		name := r.nameHash()
		version := Version(r.uint64())
		received.versions = append(received.versions, versionRecord{name: name, version: version})
	}
}

func (r *reader) summary() (record summaryRecord) {
	record.tier = r.tier()
	name := r.bytes(int(r.byte()))
	r.require(len(name) > 0 && len(name) <= maxNameLength)
	record.Name = string(name)
	record.Version = Version(r.uint64())
	record.Counts.Alive = r.count()
	record.Counts.Accepting = r.count()
	record.Counts.Total = r.count()
	record.SiteCount = r.count()
	record.LostSites = r.count()
	record.Digest = r.uint64()
	representativeCount := int(r.byte())
	r.require(representativeCount <= maxRepresentatives)
	for range representativeCount {
		if r.malformed {
			break
		}
		record.Representatives = append(record.Representatives, r.address())
	}
	record.Heartbeat = r.heartbeat()
	return record
}

func (r *reader) heartbeat() Heartbeat { return r.revisions(r.uint32()) }

// relativeHeartbeat reads a heartbeat whose sequence number is encoded as its lag behind the sender's wall clock.
func (r *reader) relativeHeartbeat(wallClock uint32) Heartbeat {
	lag, size := binary.Varint(r.remaining)
	isInRange := lag >= int64(wallClock)-math.MaxUint32 && lag <= int64(wallClock)
	if size <= 0 || !isInRange {
		r.malformed = true
		return Heartbeat{}
	}
	r.remaining = r.remaining[size:]
	return r.revisions(uint32(int64(wallClock) - lag))
}

// revisions reads the highest revision and the difference to the lowest.
func (r *reader) revisions(sequence uint32) Heartbeat {
	maxRevision := r.uvarint()
	difference := r.uvarint()
	r.require(difference <= maxRevision)
	return Heartbeat{Sequence: sequence, MinRevision: maxRevision - difference, MaxRevision: maxRevision}
}

func (r *reader) tier() Tier {
	tier := Tier(r.byte())
	if tier >= tierCount {
		r.malformed = true
		return 0
	}
	return tier
}

func (r *reader) address() netip.AddrPort {
	size := min(int(r.byte()), maxAddressSize)
	ip, ok := netip.AddrFromSlice(r.bytes(size))
	r.require(ok)
	port := binary.BigEndian.Uint16(r.bytes(2))
	return netip.AddrPortFrom(ip, port)
}

func (r *reader) count() uint32 {
	count := r.uvarint()
	r.require(count <= maxCount)
	return uint32(count)
}

func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.remaining)
	if size <= 0 || r.malformed {
		r.malformed = true
		return 0
	}
	r.remaining = r.remaining[size:]
	return value
}

func (r *reader) byte() byte         { return r.bytes(1)[0] }
func (r *reader) uint32() uint32     { return binary.BigEndian.Uint32(r.bytes(4)) }
func (r *reader) uint64() uint64     { return binary.BigEndian.Uint64(r.bytes(8)) }
func (r *reader) nameHash() nameHash { return nameHash(r.uint32()) }

// bytes reads size bytes, or returns zeros if fewer remain.
func (r *reader) bytes(size int) []byte {
	if r.malformed || len(r.remaining) < size {
		r.malformed = true
		return make([]byte, size)
	}
	field := r.remaining[:size]
	r.remaining = r.remaining[size:]
	return field
}
