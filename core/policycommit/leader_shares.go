package policycommit

import (
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// shareLeases is the leader's record of the shares of lost routers, which the other routers get as ExtraShare of their leases.
type shareLeases struct {
	fleetSize     int
	lastGrantedAt map[RouterName]clock.Time // when a lease last included a part of the lost router's share
	reclaimed     map[RouterName]bool       // the router renews again, and its share is no longer granted to others
}

func newShareLeases(fleetSize int) shareLeases {
	return shareLeases{
		fleetSize:     fleetSize,
		lastGrantedAt: map[RouterName]clock.Time{},
		reclaimed:     map[RouterName]bool{},
	}
}

// extraShare returns the part of the lost routers' shares that each live router gets.
func (s *shareLeases) extraShare(now clock.Time, state *LogState) float64 {
	lost := 0
	for name := range state.LeasedOut {
		if !s.reclaimed[name] {
			lost++
			s.lastGrantedAt[name] = now
		}
	}
	// With more members than fleetSize each still has a full share of 1/fleetSize, and nothing is left to divide.
	if lost == 0 || len(state.Members) > s.fleetSize || s.fleetSize < 2 {
		return 0
	}
	// The divisor is the number of all other routers, not of the live ones. Otherwise a returning router could get its extra
	// share while the others' leases, which were divided among fewer routers, still count.
	return float64(lost) / float64(s.fleetSize) / float64(s.fleetSize-1)
}

// NextShareEntry returns the entry that leases out the share of a lost router or returns a share, or nil if neither is due.
//
// A share is leased out only once its router can neither admit a request, nor have one in flight, nor have granted the share
// itself. It is returned only once all leases that included a part of it have expired; until then the router gets no lease.
func (l *Leader) NextShareEntry(now clock.Time, state *LogState) *Entry {
	for _, name := range slices.Sorted(maps.Keys(state.LeasedOut)) {
		lastGrantedAt := max(l.startedAt, l.shares.lastGrantedAt[name])
		if l.shares.reclaimed[name] && now-lastGrantedAt > l.maxLeaseValidity() {
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
		if canLeaseOut && now-l.lastRenewalAt(name) > l.maxLeaseValidity()+l.timing.QuiescePeriod {
			return &Entry{Kind: EntryGrantShare, Name: name, Incarnation: member.Incarnation}
		}
	}
	return nil
}

// lastRenewalAt returns when any incarnation of a router last renewed, or when this leader started if that was later.
func (l *Leader) lastRenewalAt(name RouterName) clock.Time {
	return max(l.startedAt, l.renewals[name].receivedAt)
}
