package sitefailover

import "spurtrestle/core/clock"

// Orders are instructions of the leader to all routers. The zero value orders nothing.
type Orders struct {
	KeyShares       []SiteShare    `json:"shares,omitempty"` // of sites that are not up
	FailoverWeights []SiteShare    `json:"spare,omitempty"`  // by which the keys of those sites are distributed to the others; empty: evenly
	MinRank         Rank           `json:"least"`            // requests of lower rank are rejected
	MinRankFraction float64        `json:"some"`             // fraction of the requests of rank MinRank that are admitted
	RetryAfter      clock.Duration `json:"back"`             // upper bound of the retry-after of rejected requests
	OriginReadRate  float64        `json:"fetches"`          // limit of the fleet's reads from the origin, per second; 0: no limit
	AdmissionTarget float64        `json:"target"`           // requests per second that are admitted; 0: all
}

// SiteShare is the fraction or the weight of a site.
type SiteShare struct {
	Site     Site    `json:"s"`
	Fraction float64 `json:"p"`
}

// Empty reports whether the orders have no effect. FailoverWeights have no effect without KeyShares; MinRank, MinRankFraction and
// RetryAfter have none without an AdmissionTarget.
func (o *Orders) Empty() bool {
	return len(o.KeyShares) == 0 && o.AdmissionTarget == 0 && o.OriginReadRate == 0
}
