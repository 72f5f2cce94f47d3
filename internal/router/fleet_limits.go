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

// fleetLimits holds what the fleet lets this router do. Its fields belong to the loop, except where noted.
type fleetLimits struct {
	share            float64    // share of the fleet's limits; 0: none was set, and package routing uses its default
	shareExpiresAt   clock.Time // share is in force until then; 0: without end
	shareAfterExpiry float64
	noSharesGranted  bool   // no part of this router's own share is granted to others, and none may be
	outOfService     string // why no clients are accepted; empty: they are

	extraShare          float64 // added to share: what lost routers leave unused
	extraShareExpiresAt clock.Time

	admissionDeadline atomic.Int64 // requests may be admitted until then, as clock.Time; 0: without end; used by any goroutine
	admissionClosed   bool         // admissionDeadline has passed

	siteOrders         routing.FailoverOrders // failover orders in force
	siteOrdersExpireAt clock.Time             // 0: there are none
	policyBans         map[string]bool        // cache servers that the fleet's policy takes out of use
}

var errSuccessorNeedsFullShare = errors.New("another process is taking over, which begins with the whole part")

// fullShareTolerance is the fraction of a router's own share from which on a share counts as the full one: shares are
// floating-point numbers.
const fullShareTolerance = 0.999

// EnableFleetShare makes the router's share of the fleet's limits depend on SetShare. The router starts with a
// share of minimum, which is certainly its own, unless its predecessor has granted nothing of its share to others. It
// reports whether there is a predecessor, and whether that has granted nothing. Call it after ConnectPredecessor and
// before Run.
func (r *Router) EnableFleetShare(minimum float64) (hasPredecessor, noSharesGranted bool) {
	hasPredecessor = r.takeover.predecessor != nil
	noSharesGranted = hasPredecessor && r.takeover.operatorFrame != nil && r.takeover.operatorFrame.NoSharesGranted
	if r.fleet.noSharesGranted = noSharesGranted; !noSharesGranted {
		// An expiry in the past puts the share into force with the first batch.
		r.fleet.share, r.fleet.shareAfterExpiry, r.fleet.shareExpiresAt = minimum, minimum, 1
	}
	return hasPredecessor, noSharesGranted
}

// HandedOver reports, after Run has returned, whether another process has taken over.
func (r *Router) HandedOver() bool { return r.takeover.handingOver }

// FleetStatus returns the router's state as its node announces it to the fleet.
func (r *Router) FleetStatus() fleet.RouterStatus {
	snapshot := r.operator.stats.Load()
	if snapshot == nil {
		return fleet.RouterStatus{}
	}
	return fleet.RouterStatus{Accepting: snapshot.notReady == nil, Draining: snapshot.draining, Idle: snapshot.idle}
}

// SetShare limits the router to a share of the fleet's limits. The share is in force once SetShare returns nil;
// after an error it is not, and never will be by this call.
func (r *Router) SetShare(share fleet.Share) (err error) {
	ownShare := 1 / float64(max(1, r.cfg.Settings.Routers)) // share of a router that has granted nothing to others
	callErr := r.runOnLoop(func() {
		noSharesGranted := share.AfterExpiry > ownShare*fullShareTolerance
		if r.takeover.successor != nil && !noSharesGranted && r.fleet.noSharesGranted {
			err = errSuccessorNeedsFullShare // the successor was started on the assumption that nothing is granted to others
			return
		}
		r.fleet.noSharesGranted, r.fleet.shareAfterExpiry, r.fleet.shareExpiresAt = noSharesGranted, share.AfterExpiry, 0
		if !share.ExpiresAt.IsZero() {
			r.fleet.shareExpiresAt = r.startWallClock + clock.Time(share.ExpiresAt.Sub(r.startTime)/time.Microsecond)
		}
		if r.fleet.share = share.Current; !r.fleet.admissionClosed {
			r.addEvent(routing.FleetShareChanged{Share: share.Current + r.fleet.extraShare})
		}
		r.runBatch() // in force before the call returns
	})
	if callErr != nil {
		return callErr
	}
	return err
}

// SetOutOfService stops accepting clients for a reason; an empty reason accepts them again.
func (r *Router) SetOutOfService(reason string) {
	<-r.ready
	r.runAsync(func() {
		if r.fleet.outOfService == reason {
			return
		}
		if r.fleet.outOfService = reason; reason != "" {
			r.log.Error("accepting no clients: " + reason)
		} else {
			r.log.Info("accepting clients again: no other router uses this name")
		}
		r.notifyServing(r.hasUsableServer && !r.rejectsClients())
		r.runBatch()
		r.publishStats()
	})
}

// rejectsClients reports whether clients should use another router: this one drains, is out of service, or may admit
// no requests.
func (r *Router) rejectsClients() bool {
	return r.draining || r.operator.state.Drain || r.fleet.outOfService != "" || r.fleet.admissionClosed
}

// expireFleetLimits ends the limits whose time is over: the share, the extra share, the site orders and the
// permission to admit requests. Every batch begins with it, so that they expire even in a process that was paused
// past their end.
func (r *Router) expireFleetLimits() {
	limits := &r.fleet
	changed := limits.shareExpiresAt != 0 && r.batchTime >= limits.shareExpiresAt
	if changed {
		limits.shareExpiresAt, limits.share = 0, limits.shareAfterExpiry
	}
	if r.mayAdmit() == limits.admissionClosed {
		limits.admissionClosed, changed = !limits.admissionClosed, true
		r.log.WithField("may", !limits.admissionClosed).Debug("permission to admit new requests changed")
		r.notifyServing(r.hasUsableServer && !r.rejectsClients())
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

// SetSiteOrders applies the fleet's failover orders until a time, and returns the router's recent load. The orders
// are in force once the error is nil; after an error they are not, and never will be by this call.
func (r *Router) SetSiteOrders(orders routing.FailoverOrders, until time.Time) (routing.RouterLoad, error) {
	var load routing.RouterLoad
	callErr := r.runOnLoop(func() {
		r.fleet.siteOrdersExpireAt = r.startWallClock + clock.Time(until.Sub(r.startTime)/time.Microsecond)
		if reflect.DeepEqual(orders, routing.FailoverOrders{}) {
			r.fleet.siteOrdersExpireAt = 0
		}
		if !reflect.DeepEqual(orders, r.fleet.siteOrders) {
			r.fleet.siteOrders = orders
			r.addEvent(orders)
			r.runBatch() // in force before the call returns
		}
		load = r.core.Load(r.clock())
	})
	if callErr != nil {
		return routing.RouterLoad{}, callErr
	}
	return load, nil
}

// SetExtraShare adds to the router's share until a time; it does not wait.
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
	deadline := clock.Time(r.fleet.admissionDeadline.Load())
	return deadline == 0 || r.batchTime < deadline
}

// SetAdmissionDeadline lets the router admit new requests until a time. The zero time means without end; after a
// past time none are admitted. Requests that are not admitted are rejected at once, and the router is not ready
// meanwhile.
func (r *Router) SetAdmissionDeadline(until time.Time) {
	deadline := clock.Time(0)
	if !until.IsZero() {
		deadline = max(1, r.startWallClock+clock.Time(until.Sub(r.startTime)/time.Microsecond))
	}
	r.fleet.admissionDeadline.Store(int64(deadline))
}

// SetPolicy replaces the settings by which the router decides, and the cache servers that are out of use. They are
// in force once it returns nil; after an error they are not, and never will be by this call.
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
				r.setBanned(s, banned, r.clock()) // a server in use again counts as just started
			}
		}
		r.runBatch() // in force before the call returns
	})
}

// isBanned reports whether a cache server is out of use, by an operator's request to this router or by the fleet's
// policy.
func (r *Router) isBanned(uid string) bool {
	return r.operator.state.IsBanned(uid) || r.fleet.policyBans[uid]
}
