package sitefailover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Leaders that compute weights from the same capacities get the same weights to the last digit.
func TestFailoverWeights_AreTheSameInEveryCall(t *testing.T) {
	const cases, calls = 200, 50
	random := rand.New(rand.NewPCG(1, 1))
	differing := 0
	for range cases {
		var sites []SiteCapacity
		for n := range 5 {
			sites = append(sites, SiteCapacity{
				Site:     Site(fmt.Sprint("site-", n)),
				Servers:  1 + random.IntN(40),
				Capacity: 1000 * random.Float64(),
			})
		}
		sites[0].PreferredTargets = []Site{"site-3"}
		load := 2500 * random.Float64()
		first := failoverWeights(sites, []Site{"site-0"}, load)
		for range calls - 1 {
			if !slices.Equal(failoverWeights(sites, []Site{"site-0"}, load), first) {
				differing++
				break
			}
		}
	}
	if differing > 0 {
		t.Errorf("cases with different weights in %d calls: got %d of %d, want 0", calls, differing, cases)
	}
}
