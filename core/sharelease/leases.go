package sharelease

import (
	"cmp"
	"maps"
	"slices"

	"spurtrestle/core/clock"
)

// Peer is an alive process of another slot.
type Peer struct {
	Incarnation Incarnation
	Granting    bool // it announces that it is draining
}

// grantedPortion is a portion of this slot's share that another slot may be using.
type grantedPortion struct {
	expiresAt clock.Time
	holder    Incarnation // 0: granted by an earlier process of this slot, to an unknown holder
	stamp     int64       // of the last grant
}

// Leases is the state of one process as grantor and as holder. Its maps have at most one entry for each other slot of the
// fleet. It is not safe for concurrent use.
type Leases struct {
	timing      Timing
	fleetSize   int
	ownSlot     Slot
	incarnation Incarnation
	granting    bool
	exiting     bool  // the process is about to exit
	stamp       int64 // counts grants and revocations

	granted       map[Slot]grantedPortion
	borrowedUntil map[Slot]clock.Time // expiry of the portions of other slots
	revokedAt     map[Slot]clock.Time // grants for requests up to this time are void
	lastSentAt    map[Slot]clock.Time // last request or revocation
	lastRequests  map[Slot]Message    // last request received from each slot
}

// New returns the state of a starting process. All of its portions count as granted by an earlier process of its slot until
// their holders release them or TransferDuration has passed. noneGranted is set if no earlier process can have granted any.
func New(now clock.Time, timing Timing, fleetSize int, ownSlot Slot, incarnation Incarnation, noneGranted bool) *Leases {
	l := &Leases{
		timing:        timing,
		fleetSize:     max(1, fleetSize),
		ownSlot:       ownSlot,
		incarnation:   incarnation,
		granted:       map[Slot]grantedPortion{},
		borrowedUntil: map[Slot]clock.Time{},
		revokedAt:     map[Slot]clock.Time{},
		lastSentAt:    map[Slot]clock.Time{},
		lastRequests:  map[Slot]Message{},
	}
	if noneGranted {
		return l
	}
	for slot := range Slot(l.fleetSize) {
		if slot != ownSlot {
			l.granted[slot] = grantedPortion{expiresAt: timing.grantorExpiry(now, timing.TransferDuration)}
		}
	}
	return l
}

// SetGranting makes the router grant its portions, as it does while it is drained, or revoke them. The router must already use
// no more than ReducedShare when SetGranting is called with granting set. exiting is set if the process is about to exit.
func (l *Leases) SetGranting(granting, exiting bool) {
	l.granting = granting
	l.exiting = exiting
}

// ReducedShare returns the share of a router while it grants its portions.
func (l *Leases) ReducedShare() Share {
	return permanentShare(MinimumShare(l.fleetSize))
}

// Share returns the share that the router may use.
func (l *Leases) Share(now clock.Time) Share {
	if l.granting {
		return l.ReducedShare()
	}
	portionSize := l.portionSize()
	share := Share{Current: 1 / float64(l.fleetSize)}
	for _, granted := range l.granted {
		if granted.expiresAt > now {
			share.Current -= portionSize
		}
	}
	share.AfterExpiry = share.Current
	for _, expiresAt := range l.borrowedUntil {
		if expiresAt <= now {
			continue
		}
		share.Current += portionSize
		if share.ExpiresAt == 0 || expiresAt < share.ExpiresAt {
			share.ExpiresAt = expiresAt
		}
	}
	return share
}

// portionSize is the share that a slot grants to each other slot.
func (l *Leases) portionSize() float64 {
	if l.fleetSize == 1 {
		return 0
	}
	return (1 - minimumRatio) / float64(l.fleetSize) / float64(l.fleetSize-1)
}

// Tick advances the time and returns the requests and revocations that are due, ordered by slot. peers are the alive processes
// of the other slots; wantsMore is set if this router can use more than its own share.
func (l *Leases) Tick(now clock.Time, peers map[Slot]Peer, wantsMore bool) []Message {
	l.removeExpired(now)
	var messages []Message
	for _, slot := range slices.Sorted(maps.Keys(peers)) {
		if !l.isPeerSlot(slot) || l.sentRecently(now, slot) {
			continue
		}
		message, ok := l.nextMessage(now, slot, peers[slot], wantsMore)
		if ok {
			messages = append(messages, message)
			l.lastSentAt[slot] = now
		}
	}
	return messages
}

// removeExpired takes back expired granted portions, and stops using expired borrowed ones.
func (l *Leases) removeExpired(now clock.Time) {
	maps.DeleteFunc(l.granted, func(_ Slot, granted grantedPortion) bool { return granted.expiresAt <= now })
	maps.DeleteFunc(l.borrowedUntil, func(_ Slot, expiresAt clock.Time) bool { return expiresAt <= now })
}

// isPeerSlot reports whether a slot is in the fleet and not this router's own.
func (l *Leases) isPeerSlot(slot Slot) bool {
	return slot != l.ownSlot && slot >= 0 && int(slot) < l.fleetSize
}

func (l *Leases) sentRecently(now clock.Time, slot Slot) bool {
	sentAt, ok := l.lastSentAt[slot]
	return ok && now-sentAt < l.timing.RetryInterval
}

// nextMessage returns the revocation of a portion that the peer may be using, or otherwise a request for a portion that the peer
// grants. ok is false if neither is needed.
func (l *Leases) nextMessage(now clock.Time, slot Slot, peer Peer, wantsMore bool) (message Message, ok bool) {
	if l.granting {
		return Message{}, false
	}
	_, isGranted := l.granted[slot]
	if isGranted {
		l.stamp++
		return Message{Kind: Revoke, From: l.ownSlot, To: slot, Grantor: l.incarnation, Holder: peer.Incarnation, Stamp: l.stamp}, true
	}
	if peer.Granting && wantsMore {
		return Message{Kind: Request, From: l.ownSlot, To: slot, Grantor: peer.Incarnation, Holder: l.incarnation, Stamp: int64(now)}, true
	}
	return Message{}, false
}

// TransferAll grants the portions to all slots that have requested them and returns the grants, ordered by slot. It is the last
// action of a process.
func (l *Leases) TransferAll(now clock.Time) []Message {
	l.SetGranting(true, true)
	var grants []Message
	for _, request := range l.lastRequests { // in any order: stamps are only compared within a slot
		if grant, ok := l.Receive(now, request); ok {
			grants = append(grants, grant)
		}
	}
	slices.SortFunc(grants, func(a, b Message) int { return cmp.Compare(a.To, b.To) })
	return grants
}
