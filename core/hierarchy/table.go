package hierarchy

import (
	"cmp"
	"hash/fnv"
	"iter"
	"math/rand/v2"
	"net/netip"
	"slices"

	"spurtrestle/core/clock"
)

// Tier is a kind of summary.
type Tier uint8

// A router holds one table for each tier.
const (
	SiteTier   Tier = iota // of the own region
	RegionTier             // all
	tiers
)

// Bounds of what is held and read.
const (
	maxSites           = 512
	maxRegions         = 256
	maxName            = 60
	maxRepresentatives = 4
)

// Counts are of routers.
type Counts struct {
	Alive     uint32 `json:"alive"`
	Accepting uint32 `json:"takes_clients"`
	Total     uint32 `json:"of"`
}

// Summary is what others are told of a site or of a region. Of two of one name the one of the higher version holds.
type Summary struct {
	Name                 string
	Version              Version
	Counts               Counts
	SiteCount, LostSites uint32 // of a region: its sites, and those of them that are lost
	Digest               uint64 // of the site's membership; of a region: over its sites
	Representatives      []netip.AddrPort
}

// Version orders the summaries of one name: 32 bits of the wall clock at which the line of versions began, 16 of a count, and
// 16 that tell writers apart. A count that overflows goes on into the clock's bits, which keeps the order.
type Version uint64

const writerBits = 16

// next is the version after this one, no lower than one that begins at a wall time.
func (v Version) next(wall uint32, writer uint16) Version {
	v = max(v, Version(wall)<<32)
	return (v>>writerBits+1)<<writerBits | Version(writer)
}

// Beat is a sign of life of a site or a region, with what changes too often for a version. Of two the one of the higher
// count holds.
type Heartbeat struct {
	Sequence                 uint32
	MinRevision, MaxRevision uint64 // revisions of the policy that its routers hold
}

// key stands for a name in what is sent often.
type key uint32

func keyOf(name string) key {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // it cannot fail
	return key(sum.Sum32())
}

// entry is a summary as it is held.
type entry struct {
	Summary
	Heartbeat
	heard clock.Time // when Beat.Count last rose
}

// table holds the summaries of one tier.
type table struct {
	limit   int
	entries map[key]*entry
	sorted  []key  // of entries; nil: not made yet
	digest  uint64 // over the versions held; made with sorted
}

func newTable(limit int) *table { return &table{limit: limit, entries: map[key]*entry{}} }

// merge takes a summary in. It tells whether that is news.
func (t *table) merge(now clock.Time, s Summary, b Heartbeat) bool {
	k := keyOf(s.Name)
	e := t.entries[k]
	if e == nil {
		if len(t.entries) >= t.limit {
			return false
		}
		t.entries[k] = &entry{s, b, now}
		t.sorted = nil
		return true
	}
	if e.Name != s.Name {
		return false // two names of one key; the first is kept
	}
	t.beat(now, k, b)
	if s.Version <= e.Version {
		return false
	}
	e.Summary = s
	t.sorted = nil
	return true
}

// beat takes a sign of life in. It tells whether that is news.
func (t *table) beat(now clock.Time, k key, b Heartbeat) bool {
	e := t.entries[k]
	if e == nil || b.Sequence <= e.Heartbeat.Sequence {
		return false
	}
	e.Heartbeat, e.heard = b, now
	return true
}

func (t *table) drop(k key) {
	delete(t.entries, k)
	t.sorted = nil
}

// keys are those of all entries, in order.
func (t *table) keys() []key {
	if t.sorted != nil {
		return t.sorted
	}
	t.sorted = make([]key, 0, len(t.entries))
	for k := range t.entries {
		t.sorted = append(t.sorted, k)
	}
	slices.Sort(t.sorted)
	t.digest = 0
	for _, k := range t.sorted {
		t.digest = mix(mix(t.digest, uint64(k)), uint64(t.entries[k].Version))
	}
	return t.sorted
}

// keysFrom are all keys, beginning at a random one.
func (t *table) keysFrom(random *rand.Rand) iter.Seq[key] {
	return func(yield func(key) bool) {
		keys := t.keys()
		if len(keys) == 0 {
			return
		}
		for i, begin := 0, random.IntN(len(keys)); i < len(keys) && yield(keys[(begin+i)%len(keys)]); i++ {
		}
	}
}

// sum is the digest over all versions held: two tables with the same summaries have the same one.
func (t *table) sum() uint64 {
	t.keys()
	return t.digest
}

// mix is a step of a 64-bit hash (the finalizer of splitmix64).
func mix(sum, value uint64) uint64 {
	x := sum*0x9e3779b97f4a7c15 + value + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// newest is the highest revision of the policy that any entry not lost tells of.
func (t *table) newest(now, lost clock.Time) (most uint64) {
	for _, e := range t.entries {
		if now-e.heard <= lost {
			most = max(most, e.MaxRevision)
		}
	}
	return most
}

// leader is an entry that tells of the highest revision of the policy; nil where none tells of any.
func (t *table) leader() (k key, leader *entry) {
	for _, x := range t.keys() {
		if e := t.entries[x]; e.MaxRevision > 0 && (leader == nil || e.MaxRevision > leader.MaxRevision) {
			k, leader = x, e
		}
	}
	return k, leader
}

// byName are all entries, in the order of their names.
func (t *table) byName() []*entry {
	all := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
