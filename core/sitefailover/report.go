package sitefailover

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// Rank orders requests for load shedding: the lowest rank is shed first. It is the request's priority weight in millionths of the
// highest weight, plus one. Requests of a tenant over its share and retries of shed requests have a lower rank.
type Rank int

// rankScale is the number of ranks between no priority weight and the highest.
const rankScale = 1e6

// RankOf returns the rank of a first attempt by its priority weight as a fraction of the highest.
func RankOf(weight float64) Rank { return 1 + Rank(rankScale*weight) }

// OfferedLoad is the rate of incoming requests of one rank.
type OfferedLoad struct {
	Rank Rank    `json:"k"`
	Rate float64 `json:"r"` // per second
}

// SiteObservation is a router's view of the cache servers of a site.
type SiteObservation struct {
	Site            Site    `json:"s"`
	ExpectedServers int     `json:"u"` // the highest number that was recently listed at one time
	ListedServers   int     `json:"l"` // by discovery, currently
	SilentServers   int     `json:"q"` // listed, but not responding
	AnswerRate      float64 `json:"a"` // per second
}

// responding is the fraction of the expected servers that respond to this router.
func (o SiteObservation) responding() float64 {
	servers := max(0, o.ListedServers-o.SilentServers)
	return min(1, float64(servers)/float64(max(1, o.ExpectedServers)))
}

// Report is a router's summary of the last second for the leader.
type Report struct {
	Site            Site              `json:"site"` // of the router
	Offered         []OfferedLoad     `json:"offered"`
	AdmittedRate    float64           `json:"let"`    // admitted requests that have ended, per second
	FailedRate      float64           `json:"lost"`   // those of them that failed, per second
	AdmittedWeight  float64           `json:"worth"`  // priority weight of the admitted requests that have ended, per second
	FailedWeight    float64           `json:"missed"` // priority weight of those of them that failed, per second
	OriginSlowdown  float64           `json:"origin"` // the origin's latency as a multiple of the expected one; 0: unknown
	AdmissionTarget float64           `json:"target"` // of the orders in force at the router
	Observations    []SiteObservation `json:"seen"`
}

// observationOf returns the report's observation of a site if it expects servers there.
func (r *Report) observationOf(site Site) (observation SiteObservation, ok bool) {
	i := slices.IndexFunc(r.Observations, func(o SiteObservation) bool { return o.Site == site })
	if i < 0 || r.Observations[i].ExpectedServers == 0 {
		return SiteObservation{}, false
	}
	return r.Observations[i], true
}

// serverCountWindow is how long a number of listed servers counts as expected. It is longer than the handling of an outage takes.
const serverCountWindow = 10 * clock.Minute

// ServerCounts records how many cache servers each site had recently, because discovery does not list failed ones. The zero value
// is ready to use.
type ServerCounts struct {
	recent map[Site][]serverCount // descending counts
}

type serverCount struct {
	at      clock.Time
	servers int
}

// Record records the listed servers and returns the observations, sorted by site, with ExpectedServers set. The result also
// includes sites that only earlier calls observed.
func (c *ServerCounts) Record(now clock.Time, observations []SiteObservation) []SiteObservation {
	if c.recent == nil {
		c.recent = map[Site][]serverCount{}
	}
	for _, observation := range observations {
		site, listed := observation.Site, observation.ListedServers
		// A count is obsolete once a later one is at least as high.
		higher := slices.DeleteFunc(c.recent[site], func(count serverCount) bool {
			return count.servers <= listed || now-count.at > serverCountWindow
		})
		c.recent[site] = append(higher, serverCount{at: now, servers: listed})
	}
	complete := make([]SiteObservation, 0, len(c.recent))
	for site, counts := range c.recent {
		observation := SiteObservation{Site: site}
		i := slices.IndexFunc(observations, func(o SiteObservation) bool { return o.Site == site })
		if i >= 0 {
			observation = observations[i]
		}
		observation.ExpectedServers = max(observation.ListedServers, counts[0].servers)
		complete = append(complete, observation)
	}
	slices.SortFunc(complete, func(a, b SiteObservation) int { return cmp.Compare(a.Site, b.Site) })
	return complete
}
