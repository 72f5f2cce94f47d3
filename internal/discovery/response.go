package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// response is the body of a response as JSON has it.
type response struct {
	Revision  *int64           `json:"rev"`
	Full      bool             `json:"all"`
	Endpoints *[]endpointEntry `json:"targets"`
}

// endpointEntry is one server of a response.
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

// Errors of a response that is not applied.
var (
	errNoRevision  = errors.New("rev is missing")
	errNoEndpoints = errors.New("targets is missing")
	errNotFull     = errors.New("changes came where the whole list was asked for")
)

// revisionError reports changes up to an earlier revision than that of the list.
type revisionError struct{ received, current int64 }

func (e *revisionError) Error() string {
	return fmt.Sprintf("changes up to version %d came where there was %d already", e.received, e.current)
}

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

var endpointStates = map[string]routing.EndpointState{
	"active":  routing.Ready,
	"leaving": routing.Draining,
	"left":    routing.Removed,
}

// state returns the entry's state. One that is not known here counts as draining: no new requests are sent there.
func (e endpointEntry) state() routing.EndpointState {
	state, ok := endpointStates[e.State]
	if !ok {
		return routing.Draining
	}
	return state
}

// startedAt returns the start of the server's process; 0 where the entry has none, or an impossible one.
func (e endpointEntry) startedAt() clock.Time {
	const maxBootMillis = math.MaxInt64 / 2e3 // half of the largest Time, in milliseconds
	if e.BootMillis < 0 || e.BootMillis > maxBootMillis {
		return 0
	}
	return clock.Time(e.BootMillis * float64(clock.Millisecond))
}

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
