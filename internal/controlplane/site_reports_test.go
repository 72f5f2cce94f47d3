package controlplane

import (
	"testing"

	"spurtrestle/core/sitefailover"
)

// The router treats any value other than the zero value as orders.
func TestFailoverOrders_NoOrdersAreTheZeroValue(t *testing.T) {
	if orders := failoverOrders(sitefailover.Orders{}); orders.ZoneShares != nil || orders.FailoverWeights != nil || orders.MinimumRank != 0 {
		t.Errorf("got %+v, want the zero value", orders)
	}
}
