package routing

import (
	"math"
	"slices"
	"testing"
)

// routerWithCaches returns a router with caches of the given capacities, numbered from 1.
func routerWithCaches(capacities ...float64) *Router {
	r := &Router{endpoints: endpointTable{groups: map[uint32][groupSize]uint32{}}}
	for i, capacity := range capacities {
		cache := &server{Endpoint: Endpoint{Server: ServerID(i + 1)}, capacity: capacity}
		r.endpoints.caches = append(r.endpoints.caches, cache)
	}
	return r
}

// When a cache leaves, its slots move to the next cache of their groups and no other slot moves. Each cache owns slots in
// proportion to its capacity.
func TestGroupOf_MovesOnlySlotsOfRemovedCache(t *testing.T) {
	all := routerWithCaches(2, 1, 1, 1, 1, 1, 1, 2, 1, 1)
	fewer := routerWithCaches(2, 1, 1, 1, 1, 1, 1, 2, 1)
	const removed = 10
	owned := map[ServerID]int{}
	for slot := range uint64(slotCount) {
		group := all.groupOf(slot)
		if len(group) != 3 || group[0] == group[1] || group[0] == group[2] || group[1] == group[2] {
			t.Fatalf("slot %d: got group %v, want three caches", slot, group)
		}
		want, next := group[0].Server, group[1].Server
		owned[want]++
		if want == removed {
			want = next
		}
		if got := fewer.groupOf(slot)[0].Server; got != want {
			t.Errorf("slot %d: got owner %d, want %d", slot, got, want)
		}
	}
	const totalCapacity = 12
	for id, slots := range owned {
		want := all.endpoints.caches[id-1].capacity / totalCapacity
		if got := float64(slots) / slotCount; math.Abs(got-want) > want/12 {
			t.Errorf("cache %d owns %d of %d slots, want a fraction of %.3f", id, slots, slotCount, want)
		}
	}
}

func TestGroupOf_IgnoresOrderAndDuplicatesOfList(t *testing.T) {
	owners := func(ids ...ServerID) (owners []ServerID) {
		r, _ := New(0, baseSettings(), 1)
		var update EndpointsUpdated
		for _, id := range ids {
			update.Endpoints = append(update.Endpoints, Endpoint{Server: id})
		}
		r.Step(0, update)
		for slot := range uint64(slotCount) {
			owners = append(owners, r.groupOf(slot)[0].Server)
		}
		return owners
	}
	if !slices.Equal(owners(1, 2, 3, 4, 5), owners(5, 3, 1, 4, 2, 2)) {
		t.Error("got other owners for a list in another order and with a duplicate, want the same")
	}
}
