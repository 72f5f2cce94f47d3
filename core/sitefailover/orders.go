package sitefailover

import "spurtrestle/core/clock"

// Orders are instructions of the leader to all routers. The zero value orders nothing.
type Orders struct {
	KeyShares       []SiteShare    `json:"shares,omitempty"` // of sites that are not up
	FailoverWeights []SiteShare    `json:"spare,omitempty"`  // by which the keys of those sites go to the others; none: evenly
	MinRank         Rank           `json:"least"`            // requests of lower rank are rejected
	MinRankFraction float64        `json:"some"`             // fraction of the requests of just that rank that are admitted
	RetryAfter      clock.Duration `json:"back"`             // upper bound of the retry-after of rejected requests
	OriginReadRate  float64        `json:"fetches"`          // limit of the fleet's reads at the origin, per second; 0: none
	AdmissionTarget float64        `json:"target"`           // requests per second that are admitted; 0: all
}

// SiteShare assigns a fraction or a weight to a site.
type SiteShare struct {
	Site     Site    `json:"s"`
	Fraction float64 `json:"p"`
}

// Empty reports whether the orders have no effect. FailoverWeights have none without KeyShares; MinRank, MinRankFraction and RetryAfter
// have none without an AdmissionTarget.
func (o *Orders) Empty() bool {
	return len(o.KeyShares) == 0 && o.AdmissionTarget == 0 && o.OriginReadRate == 0
}
