package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// response is the JSON form of a response.
type response struct {
	Revision  *int64           `json:"rev"`
	Full      bool             `json:"all"` // the complete list rather than changes
	Endpoints *[]endpointEntry `json:"targets"`
}

// endpointEntry is one server in a response.
type endpointEntry struct {
	UID        UID     `json:"uid"`
	Address    string  `json:"endpoint"`
	Zone       string  `json:"az"`
	Kind       string  `json:"model"`
	Cell       int64   `json:"pod_group"`
	State      string  `json:"state"`
	Weight     float64 `json:"capacity_hint"`
	BootMillis float64 `json:"boot_ms"`
}

// Errors of a response that cannot be applied.
var (
	errNoRevision  = errors.New("rev is missing")
	errNoEndpoints = errors.New("targets is missing")
	errNotFull     = errors.New("response has changes only, but the full list was requested")
)

// revisionError reports a response to a watch of an earlier revision than that of the list.
type revisionError struct{ received, current int64 }

func (e *revisionError) Error() string {
	return fmt.Sprintf("response of revision %d is older than the list, which is at revision %d", e.received, e.current)
}

// parseResponse decodes a response and checks that the required fields are present.
func parseResponse(body []byte) (response, error) {
	var r response
	if err := json.Unmarshal(body, &r); err != nil {
		return r, err
	}
	if r.Revision == nil {
		return r, errNoRevision
	}
	if r.Endpoints == nil {
		return r, errNoEndpoints
	}
	return r, nil
}

// stateRemoved is the state of a server that has been removed, as discovery reports it.
const stateRemoved = "left"

// endpointStates maps the states that discovery reports.
var endpointStates = map[string]routing.EndpointState{
	"active":     routing.Ready,
	"leaving":    routing.Draining,
	stateRemoved: routing.Removed,
}

// state returns the entry's state. An unknown state counts as draining, so that the server gets no new requests.
func (e endpointEntry) state() routing.EndpointState {
	state, ok := endpointStates[e.State]
	if !ok {
		return routing.Draining
	}
	return state
}

// startedAt returns when the server's process started, or 0 if the entry has no start time or an invalid one.
func (e endpointEntry) startedAt() clock.Time {
	const maxBootMillis = math.MaxInt64 / 2e3 // half of the largest Time, in milliseconds
	if e.BootMillis < 0 || e.BootMillis > maxBootMillis {
		return 0
	}
	return clock.Time(e.BootMillis * float64(clock.Millisecond))
}

// endpoint converts the entry for package routing.
func (e endpointEntry) endpoint(id routing.ServerID) routing.Endpoint {
	return routing.Endpoint{
		Server:    id,
		Zone:      routing.Zone(e.Zone),
		Kind:      routing.Kind(e.Kind),
		Cell:      routing.Cell(e.Cell),
		State:     e.state(),
		Weight:    e.Weight,
		StartedAt: e.startedAt(),
	}
}
