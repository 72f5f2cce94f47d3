package policycommit

import (
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// shareLeases is the leader's record of the shares of lost routers that the other routers have as ExtraShare of their leases.
type shareLeases struct {
	fleetSize   int
	lastGranted map[RouterName]clock.Time // when a lease last had a share of the lost router's
	reclaimed   map[RouterName]bool       // the router renews again, and its share is no longer granted to others
}

func newShareLeases(fleetSize int) shareLeases {
	return shareLeases{
		fleetSize:   fleetSize,
		lastGranted: map[RouterName]clock.Time{},
		reclaimed:   map[RouterName]bool{},
	}
}

// extraShare returns each living router's share of what the lost ones may not send.
func (s *shareLeases) extraShare(now clock.Time, state *LogState) float64 {
	lost := 0
	for name := range state.LeasedOut {
		if !s.reclaimed[name] {
			lost++
			s.lastGranted[name] = now
		}
	}
	// With more members than the fleet's size each has a full share, and there is nothing to divide.
	if lost == 0 || len(state.Members) > s.fleetSize || s.fleetSize < 2 {
		return 0
	}
	// Divided by all others, not by the living ones: a router that returns is granted its extra share before the leases of the
	// others, which had one more to divide by, have expired.
	return float64(lost) / float64(s.fleetSize) / float64(s.fleetSize-1)
}

// NextShareEntry returns the entry that leases out the share of a lost router, or gives the share back, or nil if neither is due.
//
// A share is leased out only once its router can neither admit a request, nor have one in flight, nor have granted the share
// itself. It is given back only once all leases that had a part of it have expired; before, the router gets no lease.
func (l *Leader) NextShareEntry(now clock.Time, state *LogState) *Entry {
	for _, name := range slices.Sorted(maps.Keys(state.LeasedOut)) {
		lastGranted := max(l.startedAt, l.shares.lastGranted[name])
		if l.shares.reclaimed[name] && now-lastGranted > l.leaseBound() {
			return &Entry{Kind: EntryRevokeShare, Name: name}
		}
	}
	maps.DeleteFunc(l.shares.reclaimed, func(name RouterName, _ bool) bool { return !state.LeasedOut[name] })
	if len(state.Members) > l.shares.fleetSize {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(state.Members)) {
		member := state.Members[name]
		canLeaseOut := !member.FailOpen && !state.LeasedOut[name]
		if canLeaseOut && now-l.lastRenewalAt(name) > l.leaseBound()+l.timing.QuiescePeriod {
			return &Entry{Kind: EntryGrantShare, Name: name, Incarnation: member.Incarnation}
		}
	}
	return nil
}

// lastRenewalAt returns when any incarnation of a router last renewed; not before this leader's start.
func (l *Leader) lastRenewalAt(name RouterName) clock.Time {
	return max(l.startedAt, l.renewals[name].receivedAt)
}
