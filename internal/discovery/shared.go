package discovery

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// removedRetention is how long the list names a removed server to other processes of the router. Within that time every discovery
// server has the removal.
const removedRetention = 30 * clock.Second

// removedEndpoint is a server that was removed from the list.
type removedEndpoint struct {
	entry     endpointEntry
	removedAt clock.Time
}

// SharedList is the list of one process of a router, for another process of the same router.
type SharedList struct {
	Version Version
	entries []endpointEntry // those of removed servers included
}

// sharedDocument is the encoded form of a SharedList. Processes of different releases exchange it.
type sharedDocument struct {
	Server      string          `json:"discovery"`
	Revision    int64           `json:"rev"`
	RequestedAt clock.Time      `json:"requested_us"`
	AnsweredAt  clock.Time      `json:"answered_us"`
	Endpoints   []endpointEntry `json:"targets"`
}

// ErrNoDiscovery means that an encoded list does not name the discovery server that it is from.
var ErrNoDiscovery = errors.New("discovery is missing")

// Share returns a copy of the list. It returns false if no call to discovery has been answered, neither by this process nor by the
// one before.
func (l *EndpointList) Share() (SharedList, bool) {
	if l.version.Server == "" {
		return SharedList{}, false
	}
	shared := SharedList{Version: l.version, entries: make([]endpointEntry, 0, len(l.entries)+len(l.removed))}
	shared.entries = slices.AppendSeq(shared.entries, maps.Values(l.entries))
	for _, removed := range l.removed {
		shared.entries = append(shared.entries, removed.entry)
	}
	return shared, true
}

// Encode returns the encoded list.
func (s SharedList) Encode() []byte {
	slices.SortFunc(s.entries, func(a, b endpointEntry) int { return cmp.Compare(a.UID, b.UID) })
	text, _ := json.Marshal(sharedDocument{ // the fields are plain: Marshal cannot fail
		Server:      s.Version.Server,
		Revision:    s.Version.Revision,
		RequestedAt: s.Version.RequestedAt,
		AnsweredAt:  s.Version.AnsweredAt,
		Endpoints:   s.entries,
	})
	return text
}

// DecodeShared decodes a list that another process has encoded. A time after now, from a process with another clock, counts as now:
// otherwise answers of discovery that are requested later would count as earlier.
func DecodeShared(text []byte, now clock.Time) (SharedList, error) {
	var document sharedDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return SharedList{}, err
	}
	if document.Server == "" {
		return SharedList{}, ErrNoDiscovery
	}
	if document.Endpoints == nil {
		return SharedList{}, errNoEndpoints
	}
	version := Version{
		Server:      document.Server,
		Revision:    document.Revision,
		RequestedAt: min(document.RequestedAt, now),
		AnsweredAt:  min(document.AnsweredAt, now),
	}
	return SharedList{Version: version, entries: document.Endpoints}, nil
}

// Adopt applies the list of another process of the router and returns the update for package routing. It returns false if that
// changes nothing. A newer list replaces this one. If neither is known to be newer, servers that are draining, removed or
// restarted in either are so in the result.
func (l *EndpointList) Adopt(shared SharedList) (update routing.EndpointsUpdated, changed bool) {
	switch shared.Version.compare(l.version) {
	case newer:
		return l.replaceWith(shared), true
	case concurrent:
		update = l.merge(shared)
		return update, len(update.Endpoints) > 0
	}
	return update, false
}

// replaceWith replaces the list. A watch goes on from the new revision if that continues the revisions of this process.
func (l *EndpointList) replaceWith(shared SharedList) routing.EndpointsUpdated {
	update := routing.EndpointsUpdated{Kind: routing.CachedUpdate}
	continues := shared.Version.Server == l.version.Server && shared.Version.Revision >= l.version.Revision
	l.needsFullList = l.needsFullList || l.synced && !continues
	l.synced = l.synced && continues
	l.version = shared.Version
	var listed, removed []endpointEntry
	for _, entry := range shared.entries {
		if entry.state() == routing.Removed {
			removed = append(removed, entry)
		} else {
			listed = append(listed, entry)
		}
	}
	l.applyEntries(&update, listed)
	l.prune(update)
	for _, entry := range removed {
		l.removed[entry.UID] = removedEndpoint{entry: entry, removedAt: l.version.AnsweredAt}
	}
	return update
}

// merge applies what takes servers of this list out of use or restarts them.
func (l *EndpointList) merge(shared SharedList) routing.EndpointsUpdated {
	update := routing.EndpointsUpdated{Kind: routing.IncrementalUpdate}
	var changed []endpointEntry
	for _, entry := range shared.entries {
		own, isListed := l.entries[entry.UID]
		if isListed && entry.overrides(own) {
			changed = append(changed, entry)
		}
	}
	l.needsFullList = l.needsFullList || len(changed) > 0
	l.applyEntries(&update, changed)
	l.prune(update)
	return update
}

// withTakedowns returns the entries of a concurrent response, with the servers that this list has as draining, removed or restarted
// as they are here.
func (l *EndpointList) withTakedowns(entries []endpointEntry) []endpointEntry {
	result := slices.Clone(entries)
	for i, entry := range result {
		if own, isListed := l.entries[entry.UID]; isListed && own.overrides(entry) {
			result[i] = own
		}
		if removed, wasRemoved := l.removed[entry.UID]; wasRemoved && removed.entry.overrides(entry) {
			result[i] = removed.entry
		}
	}
	return result
}

// overrides reports whether the entry describes a later state of a server than another entry from a concurrent list.
func (e endpointEntry) overrides(other endpointEntry) bool {
	if e.BootMillis != other.BootMillis {
		return e.BootMillis > other.BootMillis
	}
	return e.state() > other.state()
}

// NeedsFullList reports whether the list has states that this process's own discovery server does not take back unless it is asked
// for the full list: another one, or an earlier process of it, has told them to another process of the router.
func (l *EndpointList) NeedsFullList() bool { return l.needsFullList }

// recordRemoval keeps the entry of a server that is removed from the list.
func (l *EndpointList) recordRemoval(uid UID) {
	entry, isListed := l.entries[uid]
	if !isListed {
		return
	}
	entry.State = stateRemoved
	l.removed[uid] = removedEndpoint{entry: entry, removedAt: l.version.AnsweredAt}
}

// expireRemoved forgets servers that were removed more than removedRetention before the last response.
func (l *EndpointList) expireRemoved() {
	maps.DeleteFunc(l.removed, func(_ UID, removed removedEndpoint) bool {
		return l.version.AnsweredAt-removed.removedAt > removedRetention
	})
}
