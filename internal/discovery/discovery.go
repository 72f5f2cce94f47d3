// Package discovery is the endpoint list as service discovery publishes it: the next request to discovery, the changes in
// a response, and the number that stands for each server. It does no I/O; internal/router owns the list on its event loop.
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

// EndpointList is this router's copy of discovery's endpoint list, with the numbers of its servers. It is not safe for
// concurrent use.
type EndpointList struct {
	revision  int64
	synced    bool // a full list has been applied, so that the next request is a watch
	ids       map[UID]routing.ServerID
	uids      map[routing.ServerID]UID
	addresses map[routing.ServerID]string
}

// New returns an empty list.
func New() *EndpointList {
	return &EndpointList{
		ids:       map[UID]routing.ServerID{},
		uids:      map[routing.ServerID]UID{},
		addresses: map[routing.ServerID]string{},
	}
}

const endpointsPath = "/registry/instances"

// NextRequest returns the path of the next request, and how long discovery may take to answer: a request for the full
// list, which is answered at once (0), and then watches of the given length.
func (l *EndpointList) NextRequest(watchTimeout clock.Duration) (path string, wait clock.Duration) {
	if !l.synced {
		return endpointsPath, 0
	}
	return fmt.Sprintf("%s?index=%d&wait=%d", endpointsPath, l.revision, int64(watchTimeout/clock.Millisecond)), watchTimeout
}

// Invalidate makes the next request one for the full list, after a response whose changes may be lost.
func (l *EndpointList) Invalidate() { l.synced = false }

// Address returns the address and port of a server; empty for an unknown one.
func (l *EndpointList) Address(id routing.ServerID) string { return l.addresses[id] }

// UID returns the name of a server; empty for an unknown one.
func (l *EndpointList) UID(id routing.ServerID) UID { return l.uids[id] }

// ID returns the number of a server, and whether the list has it.
func (l *EndpointList) ID(uid UID) (routing.ServerID, bool) {
	id, ok := l.ids[uid]
	return id, ok
}

// ApplySaved applies a response that was saved before this process started. The next request is for the full list.
func (l *EndpointList) ApplySaved(body []byte) (routing.EndpointsUpdated, error) {
	update, err := l.Apply(body)
	update.Kind = routing.CachedUpdate
	l.synced = false
	return update, err
}

// Apply applies a response to the last request and returns the update for the decisions. A response with an error changes
// nothing; the caller then calls Invalidate. Entries without a name are skipped.
func (l *EndpointList) Apply(body []byte) (routing.EndpointsUpdated, error) {
	update := routing.EndpointsUpdated{Kind: routing.IncrementalUpdate}
	received, err := parseResponse(body)
	if err != nil {
		return update, err
	}
	if err := l.checkContinues(received); err != nil {
		return update, err
	}
	l.revision = *received.Revision
	if received.Full {
		l.synced = true
		update.Kind = routing.FullUpdate
	}
	entries := *received.Endpoints
	// Sorted, so that two names of one response with the same hash get the same numbers in every router.
	slices.SortStableFunc(entries, func(a, b endpointEntry) int { return strings.Compare(string(a.UID), string(b.UID)) })
	for _, entry := range entries {
		if entry.UID == "" {
			continue
		}
		id := l.assignID(entry.UID)
		if entry.Address != "" {
			l.addresses[id] = entry.Address
		}
		update.Endpoints = append(update.Endpoints, entry.endpoint(id))
	}
	l.prune(update)
	return update, nil
}

// checkContinues rejects a response that does not continue the list: changes without a full list, and changes of an
// earlier revision, which come from a discovery server that started anew and lacks the changes up to there.
func (l *EndpointList) checkContinues(received response) error {
	if received.Full {
		return nil
	}
	if !l.synced {
		return errNotFull
	}
	if *received.Revision < l.revision {
		return &revisionError{received: *received.Revision, current: l.revision}
	}
	return nil
}

// prune removes servers that have gone. A server that is replaced comes back under a new name, so that without pruning the
// maps would grow.
func (l *EndpointList) prune(update routing.EndpointsUpdated) {
	present := map[routing.ServerID]bool{} // by the update; false: removed
	for _, endpoint := range update.Endpoints {
		present[endpoint.Server] = endpoint.State != routing.Removed
	}
	full := update.Kind == routing.FullUpdate
	for uid, id := range l.ids {
		isPresent, mentioned := present[id]
		gone := mentioned && !isPresent || !mentioned && full
		if gone {
			delete(l.ids, uid)
			delete(l.uids, id)
			delete(l.addresses, id)
		}
	}
}

// assignID returns the number of a server: a hash of its name, the same in every router. Of two names with one hash the
// later, in the order of responses, gets the hash of its name with a zero byte behind it, and so on.
func (l *EndpointList) assignID(uid UID) routing.ServerID {
	if id, ok := l.ids[uid]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(uid)) // a hash returns no error
	id := routing.ServerID(hash.Sum32())
	for l.uids[id] != "" {
		hash.Write([]byte{0})
		id = routing.ServerID(hash.Sum32())
	}
	l.ids[uid] = id
	l.uids[id] = uid
	return id
}
