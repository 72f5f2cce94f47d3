package sharelease

import "spurtrestle/core/clock"

// Receive handles a message and returns the reply to send, if there is one. Messages to other processes and outdated messages
// have no effect.
func (l *Leases) Receive(now clock.Time, message Message) (reply Message, ok bool) {
	if message.To != l.ownSlot || !l.isPeerSlot(message.From) {
		return Message{}, false
	}
	switch message.Kind {
	case Request:
		return l.receiveRequest(now, message)
	case Grant:
		l.receiveGrant(now, message)
	case Revoke:
		return l.receiveRevoke(now, message)
	case Release:
		l.receiveRelease(message)
	}
	return Message{}, false
}

// receiveRequest grants a portion, unless an earlier process of the requesting slot may still be using it.
func (l *Leases) receiveRequest(now clock.Time, request Message) (grant Message, ok bool) {
	if request.Grantor != l.incarnation {
		return Message{}, false
	}
	l.lastRequests[request.From] = request // even if it is not granted now, for TransferAll
	if !l.granting {
		return Message{}, false
	}
	previous, isGranted := l.granted[request.From]
	mayBeInUse := isGranted && previous.holder != request.Holder && previous.expiresAt > now
	if mayBeInUse {
		return Message{}, false
	}
	duration := l.timing.LeaseDuration
	if l.exiting {
		duration = l.timing.TransferDuration
	}
	l.stamp++
	l.granted[request.From] = grantedPortion{
		expiresAt: max(previous.expiresAt, l.timing.grantorExpiry(now, duration)), // 0 without a previous grant
		holder:    request.Holder,
		stamp:     l.stamp,
	}
	return Message{
		Kind:     Grant,
		From:     l.ownSlot,
		To:       request.From,
		Grantor:  l.incarnation,
		Holder:   request.Holder,
		Stamp:    request.Stamp,
		Duration: duration,
	}, true
}

// receiveGrant begins or extends the use of a portion. The lease counts from the request, so a late reply does not prolong it.
func (l *Leases) receiveGrant(now clock.Time, grant Message) {
	requestedAt := grant.requestedAt()
	expiresAt := requestedAt + grant.Duration
	isRevoked := requestedAt <= l.revokedAt[grant.From]
	isInFuture := requestedAt > now // by the clock of an earlier process of this slot
	if grant.Holder != l.incarnation || isRevoked || isInFuture || expiresAt <= now {
		return
	}
	l.borrowedUntil[grant.From] = max(l.borrowedUntil[grant.From], expiresAt)
}

// receiveRevoke ends the use of a portion and confirms that. Grants for earlier requests that are still in flight are void.
func (l *Leases) receiveRevoke(now clock.Time, revocation Message) (release Message, ok bool) {
	if revocation.Holder != l.incarnation {
		return Message{}, false
	}
	delete(l.borrowedUntil, revocation.From)
	l.revokedAt[revocation.From] = now
	return Message{
		Kind:    Release,
		From:    l.ownSlot,
		To:      revocation.From,
		Grantor: revocation.Grantor,
		Holder:  l.incarnation,
		Stamp:   revocation.Stamp,
	}, true
}

// receiveRelease takes a portion back, unless the portion has been granted again since the revocation.
func (l *Leases) receiveRelease(release Message) {
	granted, isGranted := l.granted[release.From]
	if !isGranted || release.Grantor != l.incarnation || release.sequence() <= granted.stamp {
		return
	}
	if granted.holder == 0 || granted.holder == release.Holder {
		delete(l.granted, release.From)
	}
}
