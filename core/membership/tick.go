package membership

import "spurtrestle/core/clock"

// Tick advances the time. The caller calls it several times per probe interval. It reports whether this process's heartbeat has
// changed, and returns the changes of the view since the last call.
func (v *View) Tick(now clock.Time) (heartbeatChanged bool, changes []Change) {
	v.detectStall(now)
	v.processes[v.self.Incarnation].lastContact = now // this process never suspects itself
	expired := v.expireHandovers(now)
	forgotten := v.forgetDeparted(now)
	if expired || forgotten {
		v.updateDigest(now)
	}
	heartbeat := v.Heartbeat()
	heartbeat.Duplicate, heartbeat.Yielded = v.detectNameConflict()
	if v.isStable(now) {
		heartbeat.ViewDigest = v.digest
	}
	heartbeatChanged = v.setHeartbeat(now, heartbeat)
	v.updateSettled(now)
	return heartbeatChanged, v.collectChanges()
}

// detectStall restarts the wait for a stable view if the process was stalled, because the view may be stale.
func (v *View) detectStall(now clock.Time) {
	gap := now - v.lastTick
	if v.lastTick > 0 && gap > v.config.StallThreshold {
		v.changedAt = now
		v.stalledFor = gap
	}
	v.lastTick = now
}

// expireHandovers marks processes as lost whose successor has not joined in time, and reports whether there were any.
func (v *View) expireHandovers(now clock.Time) (expired bool) {
	for _, p := range v.processes {
		isWaiting := p.joined && p.state != Alive && p.heartbeat.HandingOver
		if isWaiting && now-p.stateSince > v.config.HandoverTimeout {
			p.heartbeat.HandingOver = false
			p.state = Lost
			p.stateSince = now
			expired = true
		}
	}
	return expired
}

// forgetDeparted removes processes that have not been alive for Config.ForgetAfter, and reports whether there were any.
func (v *View) forgetDeparted(now clock.Time) (forgotten bool) {
	for incarnation, p := range v.processes {
		if p.state != Alive && now-p.stateSince > v.config.ForgetAfter {
			delete(v.processes, incarnation)
			forgotten = true
		}
	}
	return forgotten
}

// isStable reports whether the digest has not changed for Config.StableFor.
func (v *View) isStable(now clock.Time) bool { return now-v.changedAt >= v.config.StableFor }

// updateSettled updates whether the view is stable and all alive routers have announced the same digest.
func (v *View) updateSettled(now clock.Time) {
	settled := v.isStable(now) && len(v.Disagreeing()) == 0
	if settled != v.settled {
		v.settled = settled
		v.settledSince = now
	}
}
