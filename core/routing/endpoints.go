package routing

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// The backoff between polls for the endpoint list doubles from the first to the longest. A change must arrive within six
// seconds: two calls that time out take four of them, rejected calls take none.
const (
	firstPollBackoff    = 250 * clock.Millisecond
	longestPollBackoff  = 1500 * clock.Millisecond
	longestRejectedPoll = 3500 * clock.Millisecond
)

// endpointTable is the endpoint list and the state derived from it.
type endpointTable struct {
	servers  map[ServerID]*server
	all      []*server                    // sorted by id
	caches   []*server                    // those that may get requests, sorted by id: groups consist of these
	excluded []*server                    // caches in zones that the fleet's orders exclude
	banned   map[ServerID]bool            // by an operator, listed or not
	groups   map[uint32][groupSize]uint32 // indices into caches by slot, for slots needed since the list changed
	group    []*server                    // buffer of groupOf

	pollAt      clock.Time // time of the next poll; 0: none is scheduled
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

// pollFailed schedules the next poll with exponential backoff, half of which is random.
func (r *Router) pollFailed(rejected bool) {
	longest := longestPollBackoff
	if rejected {
		longest = longestRejectedPoll
	}
	backoff := min(max(2*r.endpoints.pollBackoff, firstPollBackoff), longest)
	r.endpoints.pollBackoff = backoff
	r.endpoints.pollAt = r.now + backoff/2 + clock.Duration(r.random.float()*float64(backoff)/2)
}

// updateEndpoint applies one entry of the endpoint list and reports whether the server's capacity changed.
func (r *Router) updateEndpoint(endpoint Endpoint) (capacityChanged bool) {
	server := r.endpoints.servers[endpoint.Server]
	if server == nil {
		server = r.addServer(endpoint.Server)
	} else if endpoint.StartedAt > server.StartedAt {
		server.processReplaced()
	}
	capacity := 1.0
	if r.config.weightsAreCapacity && endpoint.Weight > 0 {
		capacity = endpoint.Weight
	}
	capacityChanged = server.capacity != capacity
	server.Endpoint = endpoint
	server.capacity = capacity
	server.isOrigin = r.config.originKind != "" && endpoint.Kind == r.config.originKind
	r.restoreServer(server)
	return capacityChanged
}

// addServer adds a server to the table and keeps it sorted by id.
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

// rebuildEndpoints drops removed servers and determines the caches that may get requests. If these or their capacities
// changed, it drops the computed groups.
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

// banChanged applies or lifts an operator's ban. A banned server is treated like a draining one; after the ban it is treated
// like a process that has just started.
func (r *Router) banChanged(event BanChanged) {
	if event.Banned {
		r.endpoints.banned[event.Server] = true
	} else {
		delete(r.endpoints.banned, event.Server)
	}
	server := r.endpoints.servers[event.Server]
	if server != nil && event.Since > 0 {
		server.forgetFailures()
		server.warmUp.returnedAt = max(server.warmUp.returnedAt, event.Since)
	}
	r.endpointsUpdated(EndpointsUpdated{Kind: IncrementalUpdate})
}

// CountCaches returns the number of listed caches, and how many of them are avoided because they are banned or ejected.
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
