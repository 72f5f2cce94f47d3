package router

import (
	"errors"
	"reflect"
	"sync/atomic"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/fleet"
)

// place is the router's among the others, as far as something outside the loop keeps it. The fields are the loop's, but
// that which is noted.
type fleetLimits struct {
	share            float64    // the part; 0: it was not told yet, and the decisions have their own
	shareExpiresAt   clock.Time // until then the part holds that was told; 0: for ever
	shareAfterExpiry float64
	noSharesGranted  bool   // nothing of the own part is lent, or may be
	outOfService     string // why it takes no clients

	extraShare          float64 // beside the part: of routers that are lost
	extraShareExpiresAt clock.Time

	admissionDeadline atomic.Int64 // new requests may be taken until then, as clock.Time; 0: for ever. From any goroutine.
	admissionClosed   bool         // they may not

	siteOrders         routing.FailoverOrders // that the fleet keeps to
	siteOrdersExpireAt clock.Time             // and so long; 0: there is none
	policyBans         map[string]bool        // cache servers that the fleet's policy leaves alone
}

var errShareNotWhole = errors.New("another process is taking over, which begins with the whole part")

// Place says that something outside the loop keeps this router's place among the others: it begins with a part that is
// certainly its own, unless it follows a process that has lent nothing. It tells whether that is so. Call it after Join
// and before Run.
func (r *Router) EnableFleetShare(least float64) (follows, whole bool) {
	follows = r.takeover.predecessor != nil
	whole = follows && r.takeover.operatorFrame != nil && r.takeover.operatorFrame.NoSharesGranted
	if r.fleet.noSharesGranted = whole; !whole {
		r.fleet.share, r.fleet.shareAfterExpiry, r.fleet.shareExpiresAt = least, least, 1 // from the first batch on
	}
	return follows, whole
}

// Handed tells, after Run, whether another process has taken over.
func (r *Router) HandedOver() bool { return r.takeover.handingOver }

// FleetStatus returns the router's state as its node announces it to the fleet.
func (r *Router) FleetStatus() fleet.RouterStatus {
	f := r.operator.stats.Load()
	if f == nil {
		return fleet.RouterStatus{}
	}
	return fleet.RouterStatus{Accepting: f.notReady == nil, Draining: f.draining, Idle: f.idle}
}

// SetShare has the router use no more than a share of the fleet's limits. It is in force once SetShare returns nil; after an
// error it is not, and never will be by this call.
func (r *Router) SetShare(share fleet.Share) (err error) {
	least := 1 / float64(max(1, r.cfg.Settings.Routers)) // of a router that has lent nothing
	busy := r.runOnLoop(func() {
		whole := share.AfterExpiry > least*0.999
		if r.takeover.successor != nil && !whole && r.fleet.noSharesGranted {
			err = errShareNotWhole // which was told otherwise
			return
		}
		r.fleet.noSharesGranted, r.fleet.shareAfterExpiry, r.fleet.shareExpiresAt = whole, share.AfterExpiry, 0
		if !share.ExpiresAt.IsZero() {
			r.fleet.shareExpiresAt = r.startWallClock + clock.Time(share.ExpiresAt.Sub(r.startTime)/time.Microsecond)
		}
		if r.fleet.share = share.Current; !r.fleet.admissionClosed {
			r.addEvent(routing.FleetShareChanged{Share: share.Current + r.fleet.extraShare})
		}
		r.runBatch() // in force before the yes
	})
	if busy != nil {
		return busy
	}
	return err
}

// SetOutOfService has the router take no clients; an empty reason: it may again.
func (r *Router) SetOutOfService(why string) {
	<-r.ready
	r.runAsync(func() {
		if r.fleet.outOfService == why {
			return
		}
		if r.fleet.outOfService = why; why != "" {
			r.log.Error("taking no clients: " + why)
		} else {
			r.log.Info("taking clients again: the name is this router's")
		}
		r.notifyServing(r.hasUsableServer && !r.refusesClients())
		r.runBatch()
		r.publishStats()
	})
}

// refusing tells whether clients' connections are being ended.
func (r *Router) refusesClients() bool {
	return r.draining || r.operator.state.Drain || r.fleet.outOfService != "" || r.fleet.admissionClosed
}

// lapse ends what was held until now, the part and the leave to take requests: also in a process that stood still over its end.
// A batch begins with it.
func (r *Router) expireFleetLimits() {
	limits := &r.fleet
	changed := limits.shareExpiresAt != 0 && r.batchTime >= limits.shareExpiresAt
	if changed {
		limits.shareExpiresAt, limits.share = 0, limits.shareAfterExpiry
	}
	if r.mayAdmit() == limits.admissionClosed {
		limits.admissionClosed, changed = !limits.admissionClosed, true
		r.log.WithField("may", !limits.admissionClosed).Debug("taking new requests")
		r.notifyServing(r.hasUsableServer && !r.refusesClients())
		if r.takeover.predecessor != nil && r.hasUsableServer {
			r.startAccepting()
		}
	}
	if limits.siteOrdersExpireAt != 0 && r.batchTime >= limits.siteOrdersExpireAt {
		r.log.Info("site: no orders have come for a while; going by this router's own evidence")
		r.fleet.siteOrders, r.fleet.siteOrdersExpireAt = routing.FailoverOrders{}, 0
		r.decisions = append(r.decisions, r.core.Step(r.batchTime, routing.FailoverOrders{})...)
	}
	if limits.extraShare != 0 && r.batchTime >= limits.extraShareExpiresAt {
		limits.extraShare, changed = 0, true
	}
	if !changed {
		return
	}
	share := limits.share
	if share == 0 {
		share = 1 / float64(max(1, r.cfg.Settings.Routers))
	}
	share += limits.extraShare
	if limits.admissionClosed {
		share = 0
	}
	r.decisions = append(r.decisions, r.core.Step(r.batchTime, routing.FleetShareChanged{Share: share})...)
}

// SetSiteOrders has the router keep to what the fleet does about a lost site, until a time, and returns its recent load. The
// orders are in force once the error is nil; with one they are not, and never will be by this call.
func (r *Router) SetSiteOrders(orders routing.FailoverOrders, until time.Time) (routing.RouterLoad, error) {
	var load routing.RouterLoad
	busy := r.runOnLoop(func() {
		r.fleet.siteOrdersExpireAt = r.startWallClock + clock.Time(until.Sub(r.startTime)/time.Microsecond)
		if reflect.DeepEqual(orders, routing.FailoverOrders{}) {
			r.fleet.siteOrdersExpireAt = 0
		}
		if !reflect.DeepEqual(orders, r.fleet.siteOrders) {
			r.fleet.siteOrders = orders
			r.addEvent(orders)
			r.runBatch() // in force before the yes
		}
		load = r.core.Load(r.clock())
	})
	if busy != nil {
		return routing.RouterLoad{}, busy
	}
	return load, nil
}

// SetExtraShare adds to the router's part, until a time; it does not wait.
func (r *Router) SetExtraShare(share float64, until time.Time) {
	select {
	case <-r.ready:
	default:
		return
	}
	r.runAsync(func() {
		limits := &r.fleet
		limits.extraShareExpiresAt = r.startWallClock + clock.Time(until.Sub(r.startTime)/time.Microsecond)
		if share == limits.extraShare {
			return
		}
		limits.extraShare = share
		if !limits.admissionClosed && limits.share != 0 {
			r.addEvent(routing.FleetShareChanged{Share: limits.share + share})
		}
		r.runBatch()
	})
}

func (r *Router) mayAdmit() bool {
	may := clock.Time(r.fleet.admissionDeadline.Load())
	return may == 0 || r.batchTime < may
}

// SetAdmissionDeadline has the router take new requests until a time: zero for ever, one that is past not at all. What it does not take
// is rejected at once, and it is not ready meanwhile.
func (r *Router) SetAdmissionDeadline(until time.Time) {
	at := clock.Time(0)
	if !until.IsZero() {
		at = max(1, r.startWallClock+clock.Time(until.Sub(r.startTime)/time.Microsecond))
	}
	r.fleet.admissionDeadline.Store(int64(at))
}

// SetPolicy has the router decide by other settings, with these cache servers left alone. They are in force once it returns
// nil; after an error they are not, and never will be by this call.
func (r *Router) SetPolicy(settings routing.Settings, bannedServers []string) error {
	return r.runOnLoop(func() {
		previous := r.fleet.policyBans
		r.fleet.policyBans = map[string]bool{}
		for _, uid := range bannedServers {
			r.fleet.policyBans[uid] = true
		}
		r.addEvent(routing.SettingsChanged{Settings: settings})
		for _, s := range r.servers {
			uid := string(r.endpoints.UID(s.id))
			if banned := r.fleet.policyBans[uid]; banned != previous[uid] && !r.operator.state.IsBanned(uid) {
				r.setBanned(s, banned, r.clock()) // given back it counts as just started
			}
		}
		r.runBatch() // in force before the yes
	})
}

// isOut tells whether a cache server is left alone, by an operator's word to this router or by the fleet's policy.
func (r *Router) isBanned(uid string) bool {
	return r.operator.state.IsBanned(uid) || r.fleet.policyBans[uid]
}
