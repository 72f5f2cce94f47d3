package hierarchy

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"
)

// MaxDatagram is the length that no datagram exceeds, in bytes; one that is taken may be as long.
const MaxDatagramSize = 1300

// What a datagram is, by its first byte. The form of all others follows from it, so that a later form has kinds of its own.
const (
	kindPing   = iota + 1 // I am awake
	kindHello             // digests of my tables, and signs of life
	kindDigest            // all versions that I hold of one tier
	kindWant              // send me these
	kindNews              // summaries, to be passed on
	kindRepair            // summaries that you lack
)

// message is a datagram as it is read.
type message struct {
	kind          byte
	fleet, region key
	from          netip.AddrPort

	sums        [tiers]uint64   // of a hello
	beats       [tiers][]beatOf // of a hello
	tier        Tier            // of a digest and a want
	first, last key             // of a digest: it has all in between
	versions    []versionOf     // of a digest; of a want the keys alone
	records     []record        // of news and repair
}

type beatOf struct {
	key
	Heartbeat
}

type versionOf struct {
	key
	Version
}

type record struct {
	tier Tier
	Summary
	Heartbeat
}

func (m message) wanted() map[key]bool {
	all := map[key]bool{}
	for _, v := range m.versions {
		all[v.key] = true
	}
	return all
}

// longestBeat is the most that a sign of life takes, in bytes.
const longestBeat = 4 + 5 + 2*binary.MaxVarintLen64

func (h *Hierarchy) header(kind byte) []byte {
	b := make([]byte, 0, 64)
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(keyOf(h.cfg.Fleet)))
	b = binary.BigEndian.AppendUint32(b, uint32(keyOf(h.cfg.Region)))
	return appendAddress(b, h.cfg.Addr)
}

func appendAddress(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().Unmap().AsSlice()
	b = append(b, byte(len(ip)))
	b = append(b, ip...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// hello is a datagram with the digests of the tables, and as many of the signs of life as there is room for. Those are in
// groups, each headed by its tier and how many it has. Their counts are told by how far they lag behind this router's clock.
func (h *Hierarchy) hello(l link, which ids) []byte {
	b := h.header(kindHello)
	for _, t := range h.tables {
		b = binary.BigEndian.AppendUint64(b, t.sum())
	}
	b = binary.BigEndian.AppendUint32(b, h.wall())
	for _, tier := range tiersOn(l) {
		t := h.tables[tier]
		keys := h.chosen(t, which[tier], (MaxDatagramSize-len(b))/longestBeat-1)
		if len(keys) == 0 {
			continue
		}
		b = append(b, byte(tier), byte(len(keys)))
		for _, k := range keys {
			b = binary.BigEndian.AppendUint32(b, uint32(k))
			b = h.appendLag(b, t.entries[k].Heartbeat)
		}
	}
	return b
}

// chosen are up to most of the entries asked for, and one that tells of the newest policy. What there is no room for this time
// is there another time.
func (h *Hierarchy) chosen(t *table, which map[key]bool, most int) (all []key) {
	for k := range t.keysFrom(h.random) {
		if which[k] && len(all) < most {
			all = append(all, k)
		}
	}
	if k, e := t.leader(); e != nil && !which[k] {
		all = append(all, k)
	}
	return all
}

// appendLag is a sign of life in few bytes: its count is never far from the clock.
func (h *Hierarchy) appendLag(b []byte, x Heartbeat) []byte {
	b = binary.AppendVarint(b, int64(h.wall())-int64(x.Sequence))
	b = binary.AppendUvarint(b, x.MaxRevision)
	return binary.AppendUvarint(b, x.MaxRevision-x.MinRevision)
}

func appendBeat(b []byte, x Heartbeat) []byte {
	b = binary.BigEndian.AppendUint32(b, x.Sequence)
	b = binary.AppendUvarint(b, x.MaxRevision)
	return binary.AppendUvarint(b, x.MaxRevision-x.MinRevision)
}

// digests are datagrams with all versions of a tier.
func (h *Hierarchy) digests(tier Tier) (bodies [][]byte) {
	const size, fixed = 4 + 8, 1 + 4 + 4
	t := h.tables[tier]
	keys, first := t.keys(), key(0)
	for {
		b := append(h.header(kindDigest), byte(tier))
		n := min(len(keys), (MaxDatagramSize-len(b)-fixed)/size)
		last := ^key(0)
		if n < len(keys) {
			last = keys[n] - 1
		}
		b = binary.BigEndian.AppendUint32(b, uint32(first))
		b = binary.BigEndian.AppendUint32(b, uint32(last))
		for _, k := range keys[:n] {
			b = binary.BigEndian.AppendUint32(b, uint32(k))
			b = binary.BigEndian.AppendUint64(b, uint64(t.entries[k].Version))
		}
		bodies = append(bodies, b)
		if keys, first = keys[n:], last+1; len(keys) == 0 {
			return bodies
		}
	}
}

func (h *Hierarchy) want(tier Tier, keys []key) []byte {
	b := append(h.header(kindWant), byte(tier))
	for _, k := range keys {
		if len(b)+4 > MaxDatagramSize {
			break // asked for the next time
		}
		b = binary.BigEndian.AppendUint32(b, uint32(k))
	}
	return b
}

func appendRecord(b []byte, tier Tier, e *entry) []byte {
	b = append(b, byte(tier), byte(len(e.Name)))
	b = append(b, e.Name...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.Version))
	for _, n := range []uint32{e.Counts.Alive, e.Counts.Accepting, e.Counts.Total, e.SiteCount, e.LostSites} {
		b = binary.AppendUvarint(b, uint64(n))
	}
	b = binary.BigEndian.AppendUint64(b, e.Digest)
	b = append(b, byte(len(e.Representatives)))
	for _, a := range e.Representatives {
		b = appendAddress(b, a)
	}
	return appendBeat(b, e.Heartbeat)
}

// packed puts records into as few datagrams as hold them.
func (h *Hierarchy) packed(kind byte, records [][]byte) (bodies [][]byte) {
	var b []byte
	for _, r := range records {
		if b != nil && len(b)+len(r) > MaxDatagramSize {
			bodies, b = append(bodies, b), nil
		}
		if b == nil {
			b = h.header(kind)
		}
		b = append(b, r...)
	}
	if b != nil {
		bodies = append(bodies, b)
	}
	return bodies
}

var errMalformed = errors.New("hierarchy: malformed datagram")

// reader reads a datagram's fields. After the first that is not there all are zero.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || len(r.b) < n {
		r.bad = true
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reader) key() key       { return key(r.uint32()) }

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 || r.bad {
		r.bad = true
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) count() uint32 {
	n := r.uvarint()
	r.bad = r.bad || n > 1<<31
	return uint32(n)
}

func (r *reader) tier() Tier {
	t := Tier(r.byte())
	if t >= tiers {
		r.bad = true
		return 0
	}
	return t
}

func (r *reader) address() netip.AddrPort {
	ip, ok := netip.AddrFromSlice(r.take(min(int(r.byte()), 17)))
	r.bad = r.bad || !ok
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(r.take(2)))
}

func (r *reader) beat() Heartbeat { return r.revisions(r.uint32()) }

// lag reads a sign of life whose count lags behind a clock.
func (r *reader) lag(wall uint32) Heartbeat {
	lag, size := binary.Varint(r.b)
	if size <= 0 || lag < int64(wall)-math.MaxUint32 || lag > int64(wall) {
		r.bad = true
		return Heartbeat{}
	}
	r.b = r.b[size:]
	return r.revisions(uint32(int64(wall) - lag))
}

func (r *reader) revisions(count uint32) Heartbeat {
	b := Heartbeat{Sequence: count, MaxRevision: r.uvarint()}
	older := r.uvarint()
	r.bad = r.bad || older > b.MaxRevision
	b.MinRevision = b.MaxRevision - older
	return b
}

func (r *reader) record() (x record) {
	x.tier = r.tier()
	name := r.take(int(r.byte()))
	r.bad = r.bad || len(name) == 0 || len(name) > maxName
	x.Name = string(name)
	x.Version = Version(r.uint64())
	for _, n := range []*uint32{&x.Counts.Alive, &x.Counts.Accepting, &x.Counts.Total, &x.SiteCount, &x.LostSites} {
		*n = r.count()
	}
	x.Digest = r.uint64()
	n := int(r.byte())
	r.bad = r.bad || n > maxRepresentatives
	for i := 0; i < n && !r.bad; i++ {
		x.Representatives = append(x.Representatives, r.address())
	}
	x.Heartbeat = r.beat()
	return x
}

// decode reads a datagram. What it returns is bounded by the datagram's length.
func decode(body []byte) (message, error) {
	r := &reader{b: body, bad: len(body) > MaxDatagramSize}
	m := message{kind: r.byte(), fleet: r.key(), region: r.key(), from: r.address()}
	switch m.kind {
	case kindPing:
	case kindHello:
		for tier := range tiers {
			m.sums[tier] = r.uint64()
		}
		wall := r.uint32()
		for len(r.b) > 0 && !r.bad {
			tier := r.tier()
			for n := int(r.byte()); n > 0 && !r.bad; n-- {
				m.beats[tier] = append(m.beats[tier], beatOf{r.key(), r.lag(wall)})
			}
		}
	case kindDigest:
		m.tier, m.first, m.last = r.tier(), r.key(), r.key()
		for len(r.b) > 0 && !r.bad {
			m.versions = append(m.versions, versionOf{r.key(), Version(r.uint64())})
		}
	case kindWant:
		m.tier = r.tier()
		for len(r.b) > 0 && !r.bad {
			m.versions = append(m.versions, versionOf{key: r.key()})
		}
	case kindNews, kindRepair:
		for len(r.b) > 0 && !r.bad {
			m.records = append(m.records, r.record())
		}
	default:
		r.bad = true
	}
	if r.bad || len(r.b) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}
