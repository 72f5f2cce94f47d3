// Package discovery maintains the endpoint list that service discovery publishes: it determines the next request to discovery,
// applies responses, and assigns each server a number. It does no I/O. internal/router owns the list on its event loop.
package discovery

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// UID is a server's name in discovery, the same for every router.
type UID string

// EndpointList is this router's copy of the endpoint list, with the number assigned to each server. It is not safe for concurrent
// use.
type EndpointList struct {
	version       Version
	synced        bool // a full list has been applied, so that the next request is a watch
	ids           map[UID]routing.ServerID
	uids          map[routing.ServerID]UID
	entries       map[UID]endpointEntry   // as discovery described them last
	removed       map[UID]removedEndpoint // servers that were removed within removedRetention
	needsFullList bool                    // see NeedsFullList
}

// New returns an empty list.
func New() *EndpointList {
	return &EndpointList{
		ids:     map[UID]routing.ServerID{},
		uids:    map[routing.ServerID]UID{},
		entries: map[UID]endpointEntry{},
		removed: map[UID]removedEndpoint{},
	}
}

// endpointsPath is the path of the endpoint list on the discovery server.
const endpointsPath = "/registry/instances"

// NextRequest returns the path of the next request and how long discovery may delay its response. At first and after Invalidate,
// the request is for the full list, which is returned without delay (0). Otherwise it is a watch of the given length.
func (l *EndpointList) NextRequest(watchTimeout clock.Duration) (path string, wait clock.Duration) {
	if !l.synced {
		return endpointsPath, 0
	}
	return fmt.Sprintf("%s?index=%d&wait=%d", endpointsPath, l.version.Revision, int64(watchTimeout/clock.Millisecond)), watchTimeout
}

// BeginCall returns the call by which the next request is made, at a time, to the discovery server at an address.
func (l *EndpointList) BeginCall(server string, now clock.Time) Call {
	return Call{Server: server, RequestedAt: now, revision: l.version.Revision}
}

// Invalidate makes the next request ask for the full list. It is called when changes may have been missed.
func (l *EndpointList) Invalidate() { l.synced = false }

// Address returns the address and port of a server, or "" if the server is unknown.
func (l *EndpointList) Address(id routing.ServerID) string { return l.entries[l.uids[id]].Address }

// UID returns the name of a server, or "" if the server is unknown.
func (l *EndpointList) UID(id routing.ServerID) UID { return l.uids[id] }

// ID returns the number of a server, and whether the list contains the server.
func (l *EndpointList) ID(uid UID) (routing.ServerID, bool) {
	id, ok := l.ids[uid]
	return id, ok
}

// ApplySaved applies a response that was saved before this process started. The next request is for the full list.
func (l *EndpointList) ApplySaved(body []byte) (routing.EndpointsUpdated, error) {
	update, err := l.Apply(Call{}, body)
	update.Kind = routing.CachedUpdate
	l.synced = false
	return update, err
}

// Apply applies the response to a call and returns the update for package routing. If there is an error, the list is unchanged and
// the caller must call Invalidate. Entries without a name are skipped.
func (l *EndpointList) Apply(call Call, body []byte) (routing.EndpointsUpdated, error) {
	update := routing.EndpointsUpdated{Kind: routing.IncrementalUpdate}
	received, err := parseResponse(body)
	if err != nil {
		return update, err
	}
	if l.isSuperseded(call, received) {
		l.synced = true
		return update, nil
	}
	if err := l.checkContinues(received); err != nil {
		return update, err
	}
	isConcurrent := received.Full && call.isConcurrentWith(l.version)
	if !l.synced {
		l.version.Server, l.version.RequestedAt = call.Server, call.RequestedAt
	}
	l.version.Revision, l.version.AnsweredAt = *received.Revision, call.AnsweredAt
	if received.Full {
		l.synced, l.needsFullList = true, isConcurrent
		update.Kind = routing.FullUpdate
	}
	entries := *received.Endpoints
	if isConcurrent {
		entries = l.withTakedowns(entries)
	}
	l.applyEntries(&update, entries)
	l.prune(update)
	return update, nil
}

// applyEntries stores entries and adds them to an update.
func (l *EndpointList) applyEntries(update *routing.EndpointsUpdated, entries []endpointEntry) {
	// Sorted, so that names with the same hash in one response get the same numbers in every router.
	slices.SortStableFunc(entries, func(a, b endpointEntry) int { return strings.Compare(string(a.UID), string(b.UID)) })
	for _, entry := range entries {
		if entry.UID == "" {
			continue
		}
		id := l.assignID(entry.UID)
		if entry.Address == "" {
			entry.Address = l.entries[entry.UID].Address
		}
		update.Endpoints = append(update.Endpoints, entry.endpoint(id))
		if previous, isListed := l.entries[entry.UID]; isListed && entry.state() == routing.Removed {
			previous.State = stateRemoved // a removal need not repeat the other fields
			entry = previous
		}
		l.entries[entry.UID] = entry
		delete(l.removed, entry.UID)
	}
}

// checkContinues rejects a response that cannot be applied to the list: changes without a full list before them, and a response to
// a watch of an earlier revision. That comes from a discovery server that has restarted, or it is a second response to an earlier
// call. Only the response to a request for the full list may go back to an earlier revision.
func (l *EndpointList) checkContinues(received response) error {
	if !l.synced {
		if !received.Full {
			return errNotFull
		}
		return nil
	}
	if *received.Revision < l.version.Revision {
		return &revisionError{received: *received.Revision, current: l.version.Revision}
	}
	return nil
}

// prune forgets servers that have been removed. A replaced server returns under a new name, so that the maps would otherwise grow
// without bound.
func (l *EndpointList) prune(update routing.EndpointsUpdated) {
	present := map[routing.ServerID]bool{} // servers in the update; false: removed
	for _, endpoint := range update.Endpoints {
		present[endpoint.Server] = endpoint.State != routing.Removed
	}
	full := update.Kind != routing.IncrementalUpdate
	for uid, id := range l.ids {
		isPresent, mentioned := present[id]
		gone := mentioned && !isPresent || !mentioned && full
		if gone {
			l.recordRemoval(uid)
			delete(l.ids, uid)
			delete(l.uids, id)
			delete(l.entries, uid)
		}
	}
	l.expireRemoved()
}

// assignID returns the number of a server: a hash of its name, so that it is the same in every router. If two names collide, the
// one that is applied later gets the hash of its name followed by a zero byte, or by as many as are needed.
func (l *EndpointList) assignID(uid UID) routing.ServerID {
	if id, ok := l.ids[uid]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(uid)) // a hash never returns an error
	id := routing.ServerID(hash.Sum32())
	for l.uids[id] != "" {
		hash.Write([]byte{0})
		id = routing.ServerID(hash.Sum32())
	}
	l.ids[uid] = id
	l.uids[id] = uid
	return id
}
