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
	Granting    bool // it announces that it is drained
}

// grantedShare is a portion of this slot's share that another slot may use.
type grantedShare struct {
	expiresAt clock.Time
	holder    Incarnation // 0: granted by an earlier process of this slot, to an unknown holder
	stamp     int64       // of the last grant
}

// Leases is the state of one process, as grantor and as holder. It is not safe for concurrent use.
type Leases struct {
	timing    Timing
	fleetSize int
	self      Slot
	process   Incarnation
	granting  bool
	ending    bool  // the process is about to exit
	stamp     int64 // counts grants and revocations

	granted     map[Slot]grantedShare
	borrowed    map[Slot]clock.Time // expiry of the portions of other slots
	revokedAt   map[Slot]clock.Time // grants of requests up to then are void
	lastSent    map[Slot]clock.Time // last request or revocation
	lastRequest map[Slot]Message    // last request received
}

// New returns the state of a process that starts. All of its portions count as granted by an earlier process of its slot,
// until their holders release them or a transfer has expired; with noneGranted, none is.
func New(now clock.Time, timing Timing, fleetSize int, self Slot, process Incarnation, noneGranted bool) *Leases {
	l := &Leases{
		timing:      timing,
		fleetSize:   max(1, fleetSize),
		self:        self,
		process:     process,
		granted:     map[Slot]grantedShare{},
		borrowed:    map[Slot]clock.Time{},
		revokedAt:   map[Slot]clock.Time{},
		lastSent:    map[Slot]clock.Time{},
		lastRequest: map[Slot]Message{},
	}
	if noneGranted {
		return l
	}
	for slot := range Slot(l.fleetSize) {
		if slot != self {
			l.granted[slot] = grantedShare{expiresAt: timing.grantorExpiry(now, timing.Transfer)}
		}
	}
	return l
}

// SetGranting has the router grant its portions, or revoke them. The router must use no more than ReducedShare before it is
// called with granting. ending tells that the process is about to exit.
func (l *Leases) SetGranting(granting, ending bool) {
	l.granting = granting
	l.ending = ending
}

// ReducedShare returns the share of a router that grants its portions.
func (l *Leases) ReducedShare() Share {
	minimum := MinimumShare(l.fleetSize)
	return Share{Current: minimum, AfterExpiry: minimum}
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
	for _, expiresAt := range l.borrowed {
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

// Tick lets time pass and returns the requests and revocations that are due, ordered by slot. peers are the alive processes
// of the other slots; wantsMore tells whether this router can use more than its own share.
func (l *Leases) Tick(now clock.Time, peers map[Slot]Peer, wantsMore bool) []Message {
	l.removeExpired(now)
	var messages []Message
	for _, slot := range slices.Sorted(maps.Keys(peers)) {
		if !l.isOther(slot) || l.sentRecently(now, slot) {
			continue
		}
		message, isDue := l.nextMessage(now, slot, peers[slot], wantsMore)
		if isDue {
			messages = append(messages, message)
			l.lastSent[slot] = now
		}
	}
	return messages
}

func (l *Leases) removeExpired(now clock.Time) {
	maps.DeleteFunc(l.granted, func(_ Slot, granted grantedShare) bool { return granted.expiresAt <= now })
	maps.DeleteFunc(l.borrowed, func(_ Slot, expiresAt clock.Time) bool { return expiresAt <= now })
}

// isOther reports whether a slot is one of the fleet's, and not this router's.
func (l *Leases) isOther(slot Slot) bool {
	return slot != l.self && slot >= 0 && int(slot) < l.fleetSize
}

func (l *Leases) sentRecently(now clock.Time, slot Slot) bool {
	sentAt, ok := l.lastSent[slot]
	return ok && now-sentAt < l.timing.RetryInterval
}

// nextMessage returns the revocation of a portion that the peer may hold, or else the request for a portion that it grants.
func (l *Leases) nextMessage(now clock.Time, slot Slot, peer Peer, wantsMore bool) (message Message, isDue bool) {
	if l.granting {
		return Message{}, false
	}
	if _, isGranted := l.granted[slot]; isGranted {
		l.stamp++
		return Message{Kind: Revoke, From: l.self, To: slot, Grantor: l.process, Holder: peer.Incarnation, Stamp: l.stamp}, true
	}
	if peer.Granting && wantsMore {
		return Message{Kind: Request, From: l.self, To: slot, Grantor: peer.Incarnation, Holder: l.process, Stamp: int64(now)}, true
	}
	return Message{}, false
}

// TransferAll grants the portions to all holders that have requested them, as the last action of a process, and returns the
// grants ordered by slot.
func (l *Leases) TransferAll(now clock.Time) []Message {
	l.SetGranting(true, true)
	var grants []Message
	for _, request := range l.lastRequest {
		if grant, ok := l.Receive(now, request); ok {
			grants = append(grants, grant)
		}
	}
	slices.SortFunc(grants, func(a, b Message) int { return cmp.Compare(a.To, b.To) })
	return grants
}
