package scale

import (
	"time"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/scale/result"
)

// A worker reads requests from its standard input and writes a reply to each, in order, as one line of JSON each. It exits
// at the end of its input.

type requestKind string

const (
	requestStart  requestKind = "start"  // starts Routers; the reply is sent once all have joined the fleet
	requestCount  requestKind = "count"  // returns the usage and the traffic of each router so far
	requestUsage  requestKind = "usage"  // returns the usage alone
	requestStatus requestKind = "status" // returns the digests of the routers' views
	requestRoles  requestKind = "roles"  // returns the routers that represent their sites
	requestChange requestKind = "change" // has Router announce the policy revision Revision
	requestKnown  requestKind = "known"  // returns how many routers know Revision of the process Process
	requestLink   requestKind = "link"   // applies Link from now on
	requestKill   requestKind = "kill"   // stops Router without notice to the others
	requestEnd    requestKind = "end"    // stops Router in an orderly way
)

type request struct {
	Kind     requestKind       `json:"kind"`
	Routers  []routerSpec      `json:"routers,omitempty"`
	Router   int               `json:"router,omitempty"`
	Revision uint64            `json:"revision,omitempty"`
	Process  fleet.Incarnation `json:"process,omitempty"`
	Link     linkState         `json:"link,omitzero"`
}

// routerSpec is the configuration of one hollow router.
type routerSpec struct {
	Index    int             `json:"index"` // in the fleet, numbered from 0
	Network  int             `json:"network"`
	Fleet    int             `json:"fleet"` // number of routers in the fleet
	Topology result.Topology `json:"topology"`
	Site     int             `json:"site"`
	Region   int             `json:"region"`
	Join     []int           `json:"join"`
	Remote   []int           `json:"remote"`
	Probe    time.Duration   `json:"probe"`
	Seed     uint64          `json:"seed"`
}

// linkState is the impairment of the links between routers.
type linkState struct {
	Loss float64 `json:"loss"` // share of packets lost
	Cut  []int   `json:"cut"`  // routers from the first to before the second are cut off from all others
}

func (l linkState) inside(router int) bool {
	return len(l.Cut) == 2 && router >= l.Cut[0] && router < l.Cut[1]
}

type reply struct {
	Error   string            `json:"error,omitempty"`
	Process fleet.Incarnation `json:"process,omitempty"` // of the router that announced a change
	Known   int               `json:"known,omitempty"`
	Routers int               `json:"routers"` // number of running routers
	Usage   *processUsage     `json:"usage,omitempty"`
	Counts  []routerCounts    `json:"counts,omitempty"`
	Status  *status           `json:"status,omitempty"`
	Roles   []int             `json:"roles,omitempty"` // routers that represent their sites
}

// processUsage is the resource usage of a worker so far.
type processUsage struct {
	CPU    time.Duration `json:"cpu_ns"`
	Memory int64         `json:"memory"` // resident, in bytes
}

// routerCounts is the traffic of one router so far, by mechanism.
type routerCounts struct {
	Index int `json:"i"`
	fleet.TrafficCounts
}

// status describes the views of the routers of a worker. The routers agree on a scope (the fleet, a region or a site) if
// all have the same digest of it.
type status struct {
	Digests map[string][]uint64 `json:"digests"` // distinct digests by scope
	Settled int                 `json:"settled"` // routers that know that they agree with the others
}
