// Package discovery keeps the list of servers as discovery tells it: which call comes next, what an answer says, and
// which number stands for which server. It does no I/O.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// UID is a server's name in discovery, the same at every router.
type UID string

// EndpointList holds what discovery has told.
type EndpointList struct {
	rev   int64
	whole bool // a whole list has come, so that the next call is a watch
	ids   map[UID]routing.ServerID
	uids  map[routing.ServerID]UID
	addrs map[routing.ServerID]string
}

// New returns an empty Book.
func New() *EndpointList {
	return &EndpointList{ids: map[UID]routing.ServerID{}, uids: map[routing.ServerID]UID{},
		addrs: map[routing.ServerID]string{}}
}

// NextRequest is the next call, and how long discovery may take over it: the whole list at once, then watches of the given
// length.
func (b *EndpointList) NextRequest(wait clock.Time) (path string, most clock.Time) {
	path = "/registry/instances"
	if !b.whole {
		return path, 0
	}
	return path + "?index=" + strconv.FormatInt(b.rev, 10) + "&wait=" + strconv.FormatInt(int64(wait/1e3), 10), wait
}

// Address is where a server is reached.
func (b *EndpointList) Address(id routing.ServerID) string { return b.addrs[id] }

// UID is a server's name; empty where its number is not known.
func (b *EndpointList) UID(id routing.ServerID) UID { return b.uids[id] }

// ID is a server's number; false where nobody in the list has that name.
func (b *EndpointList) ID(uid UID) (routing.ServerID, bool) {
	id, ok := b.ids[uid]
	return id, ok
}

// Invalidate makes the next call ask for the whole list: where an answer was odd, what it held may be lost.
func (b *EndpointList) Invalidate() { b.whole = false }

type target struct {
	UID      UID     `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int64   `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Boot     float64 `json:"boot_ms"`
}

type answer struct {
	Rev     *int64    `json:"rev"`
	All     bool      `json:"all"`
	Targets *[]target `json:"targets"`
}

var states = map[string]routing.EndpointState{"active": routing.Ready, "leaving": routing.Draining, "left": routing.Removed}

// ApplySaved reads the list that a router starts with; it may be old, so that the next call asks for the whole one.
func (b *EndpointList) ApplySaved(body []byte) (routing.EndpointsUpdated, error) {
	l, err := b.Apply(body)
	l.Kind = routing.CachedUpdate
	b.whole = false
	return l, err
}

// Apply reads an answer. One that cannot be read changes nothing; an odd entry does not keep the others from counting.
func (b *EndpointList) Apply(body []byte) (routing.EndpointsUpdated, error) {
	var a answer
	l := routing.EndpointsUpdated{Kind: routing.IncrementalUpdate}
	if err := json.Unmarshal(body, &a); err != nil {
		return l, err
	}
	switch {
	case a.Rev == nil:
		return l, errors.New("rev is missing")
	case a.Targets == nil:
		return l, errors.New("targets is missing")
	case !a.All && !b.whole:
		return l, errors.New("changes came where the whole list was asked for")
	case !a.All && *a.Rev < b.rev: // another's count: what it changed up to there would never come
		return l, fmt.Errorf("changes up to version %d came where there was %d already", *a.Rev, b.rev)
	}
	targets := *a.Targets
	b.rev, b.whole = *a.Rev, b.whole || a.All
	if a.All {
		l.Kind = routing.FullUpdate
	}
	// In order of name, so that two names that share a number are told apart alike at every router.
	slices.SortStableFunc(targets, func(x, y target) int { return strings.Compare(string(x.UID), string(y.UID)) })
	for _, t := range targets {
		if t.UID == "" {
			continue
		}
		state, known := states[t.State]
		if !known {
			state = routing.Draining // whatever it means, it does not ask for anything new
		}
		if t.Boot < 0 || t.Boot > math.MaxInt64/2e3 {
			t.Boot = 0
		}
		id := b.id(t.UID)
		if t.Endpoint != "" {
			b.addrs[id] = t.Endpoint
		}
		l.Endpoints = append(l.Endpoints, routing.Endpoint{Server: id, Zone: routing.Zone(t.Zone), Kind: routing.Kind(t.Kind),
			Cell: routing.Cell(t.Cell), State: state, Weight: t.Weight, StartedAt: clock.Time(t.Boot * 1e3)})
	}
	b.prune(l)
	return l, nil
}

// prune forgets who is gone: servers come under ever new names.
func (b *EndpointList) prune(l routing.EndpointsUpdated) {
	named := map[routing.ServerID]bool{}
	for _, e := range l.Endpoints {
		named[e.Server] = e.State != routing.Removed
	}
	for uid, id := range b.ids {
		if keep, told := named[id]; told && !keep || !told && l.Kind == routing.FullUpdate {
			delete(b.ids, uid)
			delete(b.uids, id)
			delete(b.addrs, id)
		}
	}
}

// id is the number of a server: a hash of its name, so that it is the same at every router. Of two names with one hash
// the later gets the next hash of its own.
func (b *EndpointList) id(uid UID) routing.ServerID {
	if id, ok := b.ids[uid]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	id := routing.ServerID(h.Sum32())
	for b.uids[id] != "" {
		h.Write([]byte{0})
		id = routing.ServerID(h.Sum32())
	}
	b.ids[uid], b.uids[id] = id, uid
	return id
}
