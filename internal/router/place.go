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
type place struct {
	have  float64    // the part; 0: it was not told yet, and the decisions have their own
	part  clock.Time // until then the part holds that was told; 0: for ever
	then  float64
	whole bool   // nothing of the own part is lent, or may be
	out   string // why it takes no clients

	extra      float64 // beside the part: of routers that are lost
	extraUntil clock.Time

	may  atomic.Int64 // new requests may be taken until then, as clock.Time; 0: for ever. From any goroutine.
	shut bool         // they may not

	plan  routing.FailoverOrders // that the fleet keeps to
	until clock.Time             // and so long; 0: there is none
	gone  map[string]bool        // cache servers that the fleet's policy leaves alone
}

var errHeir = errors.New("another process is taking over, which begins with the whole part")

// Place says that something outside the loop keeps this router's place among the others: it begins with a part that is
// certainly its own, unless it follows a process that has lent nothing. It tells whether that is so. Call it after Join
// and before Run.
func (r *Router) EnableFleetShare(least float64) (follows, whole bool) {
	follows = r.takeover.old != nil
	whole = follows && r.takeover.asked != nil && r.takeover.asked.Whole
	if r.place.whole = whole; !whole {
		r.place.have, r.place.then, r.place.part = least, least, 1 // from the first batch on
	}
	return follows, whole
}

// Handed tells, after Run, whether another process has taken over.
func (r *Router) HandedOver() bool { return r.takeover.handing }

// FleetStatus returns the router's state as its node announces it to the fleet.
func (r *Router) FleetStatus() fleet.RouterStatus {
	f := r.ops.told.Load()
	if f == nil {
		return fleet.RouterStatus{}
	}
	return fleet.RouterStatus{Accepting: f.why == nil, Draining: f.draining, Idle: f.empty}
}

// SetShare has the router use no more than a share of the fleet's limits. It is in force once SetShare returns nil; after an
// error it is not, and never will be by this call.
func (r *Router) SetShare(share fleet.Share) (err error) {
	least := 1 / float64(max(1, r.cfg.Settings.Routers)) // of a router that has lent nothing
	busy := r.runOnLoop(func() {
		whole := share.AfterExpiry > least*0.999
		if r.takeover.heir != nil && !whole && r.place.whole {
			err = errHeir // which was told otherwise
			return
		}
		r.place.whole, r.place.then, r.place.part = whole, share.AfterExpiry, 0
		if !share.ExpiresAt.IsZero() {
			r.place.part = r.began + clock.Time(share.ExpiresAt.Sub(r.start)/time.Microsecond)
		}
		if r.place.have = share.Current; !r.place.shut {
			r.input(routing.FleetShareChanged{Share: share.Current + r.place.extra})
		}
		r.batch() // in force before the yes
	})
	if busy != nil {
		return busy
	}
	return err
}

// SetOutOfService has the router take no clients; an empty reason: it may again.
func (r *Router) SetOutOfService(why string) {
	<-r.ready
	r.execute(func() {
		if r.place.out == why {
			return
		}
		if r.place.out = why; why != "" {
			r.log.Error("taking no clients: " + why)
		} else {
			r.log.Info("taking clients again: the name is this router's")
		}
		r.tellServing(r.serving && !r.refusing())
		r.batch()
		r.publish()
	})
}

// refusing tells whether clients' connections are being ended.
func (r *Router) refusing() bool {
	return r.draining || r.ops.wanted.Drain || r.place.out != "" || r.place.shut
}

// lapse ends what was held until now, the part and the leave to take requests: also in a process that stood still over its end.
// A batch begins with it.
func (r *Router) lapse() {
	p := &r.place
	news := p.part != 0 && r.now >= p.part
	if news {
		p.part, p.have = 0, p.then
	}
	if r.mayTake() == p.shut {
		p.shut, news = !p.shut, true
		r.log.WithField("may", !p.shut).Debug("taking new requests")
		r.tellServing(r.serving && !r.refusing())
		if r.takeover.old != nil && r.serving {
			r.takeClients()
		}
	}
	if p.until != 0 && r.now >= p.until {
		r.log.Info("site: no orders have come for a while; going by this router's own evidence")
		r.place.plan, r.place.until = routing.FailoverOrders{}, 0
		r.decided = append(r.decided, r.core.Step(r.now, routing.FailoverOrders{})...)
	}
	if p.extra != 0 && r.now >= p.extraUntil {
		p.extra, news = 0, true
	}
	if !news {
		return
	}
	part := p.have
	if part == 0 {
		part = 1 / float64(max(1, r.cfg.Settings.Routers))
	}
	part += p.extra
	if p.shut {
		part = 0
	}
	r.decided = append(r.decided, r.core.Step(r.now, routing.FleetShareChanged{Share: part})...)
}

// SetSiteOrders has the router keep to what the fleet does about a lost site, until a time, and returns its recent load. The
// orders are in force once the error is nil; with one they are not, and never will be by this call.
func (r *Router) SetSiteOrders(p routing.FailoverOrders, until time.Time) (routing.RouterLoad, error) {
	var f routing.RouterLoad
	busy := r.runOnLoop(func() {
		r.place.until = r.began + clock.Time(until.Sub(r.start)/time.Microsecond)
		if reflect.DeepEqual(p, routing.FailoverOrders{}) {
			r.place.until = 0
		}
		if !reflect.DeepEqual(p, r.place.plan) {
			r.place.plan = p
			r.input(p)
			r.batch() // in force before the yes
		}
		f = r.core.Load(r.clock())
	})
	if busy != nil {
		return routing.RouterLoad{}, busy
	}
	return f, nil
}

// SetExtraShare adds to the router's part, until a time; it does not wait.
func (r *Router) SetExtraShare(part float64, until time.Time) {
	select {
	case <-r.ready:
	default:
		return
	}
	r.execute(func() {
		p := &r.place
		p.extraUntil = r.began + clock.Time(until.Sub(r.start)/time.Microsecond)
		if part == p.extra {
			return
		}
		p.extra = part
		if !p.shut && p.have != 0 {
			r.input(routing.FleetShareChanged{Share: p.have + part})
		}
		r.batch()
	})
}

func (r *Router) mayTake() bool {
	may := clock.Time(r.place.may.Load())
	return may == 0 || r.now < may
}

// SetAdmissionDeadline has the router take new requests until a time: zero for ever, one that is past not at all. What it does not take
// is rejected at once, and it is not ready meanwhile.
func (r *Router) SetAdmissionDeadline(until time.Time) {
	at := clock.Time(0)
	if !until.IsZero() {
		at = max(1, r.began+clock.Time(until.Sub(r.start)/time.Microsecond))
	}
	r.place.may.Store(int64(at))
}

// SetPolicy has the router decide by other settings, with these cache servers left alone. They are in force once it returns
// nil; after an error they are not, and never will be by this call.
func (r *Router) SetPolicy(s routing.Settings, out []string) error {
	return r.runOnLoop(func() {
		was := r.place.gone
		r.place.gone = map[string]bool{}
		for _, uid := range out {
			r.place.gone[uid] = true
		}
		r.input(routing.SettingsChanged{Settings: s})
		for _, x := range r.servers {
			uid := string(r.book.UID(x.id))
			if gone := r.place.gone[uid]; gone != was[uid] && !r.ops.wanted.IsBanned(uid) {
				r.bar(x, gone, r.clock()) // given back it counts as just started
			}
		}
		r.batch() // in force before the yes
	})
}

// isOut tells whether a cache server is left alone, by an operator's word to this router or by the fleet's policy.
func (r *Router) isOut(uid string) bool { return r.ops.wanted.IsBanned(uid) || r.place.gone[uid] }
