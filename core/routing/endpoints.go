package routing

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// The backoff between polls for the endpoint list doubles from the first to the longest. A change must arrive within six
// seconds, of which two calls that time out use four and rejected calls none.
const (
	firstPollBackoff    = 250 * clock.Millisecond
	longestPollBackoff  = 1500 * clock.Millisecond
	longestRejectedPoll = 3500 * clock.Millisecond
)

// endpointTable is the endpoint list and what follows from it.
type endpointTable struct {
	servers  map[ServerID]*server
	all      []*server                    // sorted by id
	caches   []*server                    // that may get requests, sorted by id: groups are built from these
	excluded []*server                    // caches of zones that the fleet's orders exclude
	banned   map[ServerID]bool            // by an operator, listed or not
	groups   map[uint32][groupSize]uint32 // by slot, for the slots needed since the list changed: places in caches
	group    []*server                    // what groupOf returned last

	pollAt      clock.Time // when the list is requested again; 0: it is not due
	pollBackoff clock.Duration
}

// subscribe requests the endpoint list.
func (r *Router) subscribe() {
	r.endpoints.pollAt = 0
	r.decide(Decision{Action: Subscribe})
}

// endpointsUpdated applies an update of the endpoint list.
func (r *Router) endpointsUpdated(event EndpointsUpdated) {
	if event.Kind == FailedUpdate {
		r.pollFailed(event.Rejected)
		return
	}
	if event.Kind != CachedUpdate {
		r.endpoints.pollBackoff = 0
	}
	if event.Kind != IncrementalUpdate {
		for _, server := range r.endpoints.all {
			server.State = Removed // unless named below; rebuildEndpoints drops the others
		}
	}
	capacityChanged := false
	for _, endpoint := range event.Endpoints {
		if r.updateEndpoint(endpoint) {
			capacityChanged = true
		}
	}
	r.rebuildEndpoints(capacityChanged)
}

// pollFailed sets when the endpoint list is requested again: half of the backoff is random.
func (r *Router) pollFailed(rejected bool) {
	longest := longestPollBackoff
	if rejected {
		longest = longestRejectedPoll
	}
	backoff := min(max(2*r.endpoints.pollBackoff, firstPollBackoff), longest)
	r.endpoints.pollBackoff = backoff
	r.endpoints.pollAt = r.now + backoff/2 + clock.Duration(r.random.float()*float64(backoff)/2)
}

// updateEndpoint applies one entry of the list and reports whether its capacity changed.
func (r *Router) updateEndpoint(endpoint Endpoint) (capacityChanged bool) {
	server := r.endpoints.servers[endpoint.Server]
	if server == nil {
		server = r.addServer(endpoint.Server)
	} else if endpoint.StartedAt > server.StartedAt {
		server.processReplaced()
	}
	capacity := 1.0
	if r.config.weightsAreSizes && endpoint.Weight > 0 {
		capacity = endpoint.Weight
	}
	capacityChanged = server.capacity != capacity
	server.Endpoint = endpoint
	server.capacity = capacity
	server.isOrigin = r.config.originKind != "" && endpoint.Kind == r.config.originKind
	r.restoreServer(server)
	return capacityChanged
}

// addServer adds a server to the table, in the order of the ids.
func (r *Router) addServer(id ServerID) *server {
	added := &server{}
	r.endpoints.servers[id] = added
	at, _ := slices.BinarySearchFunc(r.endpoints.all, id, func(s *server, id ServerID) int {
		return cmp.Compare(s.Server, id)
	})
	r.endpoints.all = slices.Insert(r.endpoints.all, at, added)
	return added
}

// processReplaced resets the failures of the server's earlier process, and the latency that was restored from it.
func (s *server) processReplaced() {
	s.forgetFailures()
	if s.restored {
		s.latency = latencyEstimate{}
		s.answerRate = decayingRate{}
	}
}

// rebuildEndpoints drops removed servers and computes which caches may get requests. If these or their capacities changed,
// the cached groups are invalid.
func (r *Router) rebuildEndpoints(capacityChanged bool) {
	before := r.endpoints.caches
	r.endpoints.caches = make([]*server, 0, len(r.endpoints.all))
	r.endpoints.excluded = nil
	r.origin.server = nil
	r.endpoints.all = slices.DeleteFunc(r.endpoints.all, func(s *server) bool {
		switch {
		case s.State == Removed:
			delete(r.endpoints.servers, s.Server)
		case s.State == Draining || r.endpoints.banned[s.Server]:
		case s.isOrigin:
			r.origin.server = s
		case r.zoneShare(s.Zone) == 0:
			r.endpoints.excluded = append(r.endpoints.excluded, s)
		default:
			r.endpoints.caches = append(r.endpoints.caches, s)
		}
		return s.State == Removed
	})
	if capacityChanged || !slices.Equal(before, r.endpoints.caches) {
		clear(r.endpoints.groups)
	}
}

// banChanged applies an operator's ban, or its end. A banned server is treated as a draining one; after the ban it counts
// as a process that has just started.
func (r *Router) banChanged(event BanChanged) {
	if event.Banned {
		r.endpoints.banned[event.Server] = true
	} else {
		delete(r.endpoints.banned, event.Server)
	}
	server := r.endpoints.servers[event.Server]
	if server != nil && event.Since > 0 {
		server.forgetFailures()
		server.warmUp.returnedAt = event.Since
	}
	r.endpointsUpdated(EndpointsUpdated{Kind: IncrementalUpdate})
}

// CountCaches counts the caches in the list, and those of them that are banned or ejected.
func (r *Router) CountCaches() (listed, avoided int) {
	for _, server := range r.endpoints.all {
		if server.isOrigin {
			continue
		}
		listed++
		if r.endpoints.banned[server.Server] || server.isEjected(r.now) {
			avoided++
		}
	}
	return listed, avoided
}
