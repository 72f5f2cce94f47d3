package scale

import (
	"time"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/scale/result"
)

// A worker reads requests from its standard input and writes a reply to each, in order, a line of JSON each way. It ends
// when its input does.

type requestKind string

const (
	requestStart  requestKind = "start"  // Routers; the reply comes once all have taken their places
	requestCount  requestKind = "count"  // what has been counted so far
	requestUsage  requestKind = "usage"  // the same without each router's counts
	requestStatus requestKind = "status" // who agrees with whom
	requestRoles  requestKind = "roles"  // which routers represent their sites
	requestChange requestKind = "change" // Router says that it holds Revision
	requestKnown  requestKind = "known"  // how many know of Revision at process Process
	requestLink   requestKind = "link"   // Link holds from now on
	requestKill   requestKind = "kill"   // Router ends without a word
	requestEnd    requestKind = "end"    // Router ends in order
)

type request struct {
	Kind     requestKind       `json:"kind"`
	Routers  []routerSpec      `json:"routers,omitempty"`
	Router   int               `json:"router,omitempty"`
	Revision uint64            `json:"revision,omitempty"`
	Process  fleet.Incarnation `json:"process,omitempty"`
	Link     linkState         `json:"link,omitzero"`
}

// routerSpec is how one hollow router is started.
type routerSpec struct {
	Index    int             `json:"index"` // in the fleet, from 0
	Network  int             `json:"network"`
	Fleet    int             `json:"fleet"` // routers in it
	Topology result.Topology `json:"topology"`
	Site     int             `json:"site"`
	Region   int             `json:"region"`
	Join     []int           `json:"join"`
	Remote   []int           `json:"remote"`
	Probe    time.Duration   `json:"probe"`
	Seed     uint64          `json:"seed"`
}

// linkState is what happens to packets between routers.
type linkState struct {
	Loss float64 `json:"loss"` // share that is lost
	Cut  []int   `json:"cut"`  // from the first router to before the second: they hear none of the others
}

func (l linkState) inside(router int) bool {
	return len(l.Cut) == 2 && router >= l.Cut[0] && router < l.Cut[1]
}

type reply struct {
	Error   string            `json:"error,omitempty"`
	Process fleet.Incarnation `json:"process,omitempty"` // of the router that a change was made at
	Known   int               `json:"known,omitempty"`
	Routers int               `json:"routers"` // that run
	Usage   *processUsage     `json:"usage,omitempty"`
	Counts  []routerCounts    `json:"counts,omitempty"`
	Status  *status           `json:"status,omitempty"`
	Roles   []int             `json:"roles,omitempty"` // routers that represent their sites
}

// processUsage is what a worker used so far.
type processUsage struct {
	CPU    time.Duration `json:"cpu_ns"`
	Memory int64         `json:"memory"` // resident, in bytes
}

// routerCounts are the bytes and messages of one router so far, by mechanism.
type routerCounts struct {
	Index int `json:"i"`
	fleet.TrafficCounts
}

// status tells what the routers of a worker hold to be true. Each scope (the fleet, a region, a site) is agreed on where all
// have the same digest of it.
type status struct {
	Digests map[string][]uint64 `json:"digests"` // by scope, each different one
	Settled int                 `json:"settled"` // routers that know that they agree with the others
}
