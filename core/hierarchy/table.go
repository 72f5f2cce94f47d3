package hierarchy

import (
	"cmp"
	"iter"
	"math/rand/v2"
	"slices"

	"spurtrestle/core/clock"
)

// Bounds of a table and of a summary.
const (
	maxSites           = 512
	maxRegions         = 256
	maxNameLength      = 60
	maxRepresentatives = 4
)

// entry is a summary in a table.
type entry struct {
	Summary
	Heartbeat
	heartbeatAt clock.Time // when Heartbeat.Sequence last rose
}

// table contains the summaries of one tier.
type table struct {
	limit   int
	entries map[nameHash]*entry
	sorted  []nameHash // cached keys of entries; nil: to be computed
	digest  uint64     // over the names and versions; valid with sorted
}

func newTable(limit int) *table { return &table{limit: limit, entries: map[nameHash]*entry{}} }

// merge stores the summary and the heartbeat, each if it is newer than the stored one, and reports whether the summary was
// stored. A full table accepts no new names; of two names with the same hash the first is kept.
func (t *table) merge(now clock.Time, summary Summary, heartbeat Heartbeat) bool {
	name := hashName(summary.Name)
	current := t.entries[name]
	if current == nil {
		if len(t.entries) >= t.limit {
			return false
		}
		t.entries[name] = &entry{Summary: summary, Heartbeat: heartbeat, heartbeatAt: now}
		t.sorted = nil
		return true
	}
	if current.Name != summary.Name {
		return false
	}
	t.recordHeartbeat(now, name, heartbeat)
	if summary.Version <= current.Version {
		return false
	}
	current.Summary = summary
	t.sorted = nil
	return true
}

// recordHeartbeat stores the heartbeat of a known name if it is newer than the stored one, and reports whether it was.
func (t *table) recordHeartbeat(now clock.Time, name nameHash, heartbeat Heartbeat) bool {
	current := t.entries[name]
	if current == nil || heartbeat.Sequence <= current.Sequence {
		return false
	}
	current.Heartbeat, current.heartbeatAt = heartbeat, now
	return true
}

func (t *table) remove(name nameHash) {
	delete(t.entries, name)
	t.sorted = nil
}

// sortedKeys returns the keys of all entries in ascending order.
func (t *table) sortedKeys() []nameHash {
	t.refresh()
	return t.sorted
}

// versionDigest returns a digest over the names and versions of all entries. Tables with equal summaries have equal digests.
func (t *table) versionDigest() uint64 {
	t.refresh()
	return t.digest
}

// refresh recomputes the sorted keys and the digest if the table has changed.
func (t *table) refresh() {
	if t.sorted != nil {
		return
	}
	t.sorted = make([]nameHash, 0, len(t.entries))
	for name := range t.entries {
		t.sorted = append(t.sorted, name)
	}
	slices.Sort(t.sorted)
	t.digest = 0
	for _, name := range t.sorted {
		t.digest = mixHash(mixHash(t.digest, uint64(name)), uint64(t.entries[name].Version))
	}
}

// keysFromRandom iterates over all keys in ascending order, starting at a random one and wrapping around.
func (t *table) keysFromRandom(random *rand.Rand) iter.Seq[nameHash] {
	return func(yield func(nameHash) bool) {
		keys := t.sortedKeys()
		if len(keys) == 0 {
			return
		}
		first := random.IntN(len(keys))
		for i := range keys {
			if !yield(keys[(first+i)%len(keys)]) {
				return
			}
		}
	}
}

// mixHash adds a value to a 64-bit hash (the finalizer of splitmix64).
func mixHash(hash, value uint64) uint64 {
	x := hash*0x9e3779b97f4a7c15 + value + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxRevision returns the highest policy revision of the entries with a heartbeat in the last lostAfter.
func (t *table) maxRevision(now clock.Time, lostAfter clock.Duration) (revision uint64) {
	for _, group := range t.entries {
		if now-group.heartbeatAt <= lostAfter {
			revision = max(revision, group.MaxRevision)
		}
	}
	return revision
}

// newestRevisionEntry returns an entry with the highest policy revision and its key; nil if no entry has a revision.
func (t *table) newestRevisionEntry() (name nameHash, newest *entry) {
	for _, candidate := range t.sortedKeys() {
		current := t.entries[candidate]
		if current.MaxRevision > 0 && (newest == nil || current.MaxRevision > newest.MaxRevision) {
			name, newest = candidate, current
		}
	}
	return name, newest
}

// entriesByName returns all entries in the order of their names.
func (t *table) entriesByName() []*entry {
	entries := make([]*entry, 0, len(t.entries))
	for _, group := range t.entries {
		entries = append(entries, group)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}
