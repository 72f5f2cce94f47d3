package controlplane

import (
	"testing"

	"spurtrestle/core/sitefailover"
)

func TestFailoverOrders_OfNoOrdersAreZero(t *testing.T) {
	if orders := failoverOrders(sitefailover.Orders{}); orders.ZoneShares != nil || orders.FailoverWeights != nil || orders.MinimumRank != 0 {
		t.Errorf("got %+v, want the zero value: the router takes anything else for orders", orders)
	}
}
