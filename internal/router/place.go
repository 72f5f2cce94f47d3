package router

import (
	"errors"
	"time"

	"spurtrestle/choice"
)

// place is the router's among the others, as far as something outside the loop keeps it. The fields are the loop's, but
// that which is noted.
type place struct {
	watched bool          // something does; before Run
	part    choice.Micros // until then the part holds that was told; 0: for ever
	then    float64
	whole   bool   // nothing of the own part is lent, or may be
	out     string // why it takes no clients
}

var errHeir = errors.New("another process is taking over, which begins with the whole part")

// Place says that something outside the loop keeps this router's place among the others: it begins with a part that is
// certainly its own, unless it follows a process that has lent nothing. It tells whether that is so. Call it after Join
// and before Run.
func (r *Router) Place(least float64) (follows, whole bool) {
	r.place.watched = true
	follows = r.takeover.old != nil
	whole = follows && r.takeover.asked != nil && r.takeover.asked.Whole
	if r.place.whole = whole; !whole {
		r.place.then, r.place.part = least, 1 // from the first batch on
	}
	return follows, whole
}

// Handed tells, after Run, whether another process has taken over.
func (r *Router) Handed() bool { return r.takeover.handing }

// Standing tells whether the router takes clients, and if not, whether operators drain it or it ends, and whether nothing
// of any client is in hand or can come in.
func (r *Router) Standing() (takes, draining, empty bool) {
	f := r.ops.told.Load()
	if f == nil {
		return false, false, false
	}
	return f.why == nil, f.draining, f.empty
}

// SetPart has the router keep to a part of what all may send together: now until a time (zero: for ever), then
// afterwards. It is in force once it returns nil; with an error it may come into force later.
func (r *Router) SetPart(now float64, until time.Time, then float64) (err error) {
	<-r.ready
	least := 1 / float64(max(1, r.cfg.Settings.Routers)) // of a router that has lent nothing
	busy := r.soon(func() {
		whole := then > least*0.999
		if r.takeover.heir != nil && !whole && r.place.whole {
			err = errHeir // which was told otherwise
			return
		}
		r.place.whole, r.place.then, r.place.part = whole, then, 0
		if !until.IsZero() {
			r.place.part = r.began + choice.Micros(until.Sub(r.start)/time.Microsecond)
		}
		r.input(choice.Parted{Part: now})
		r.batch() // in force before the yes
	})
	if busy != nil {
		return busy
	}
	return err
}

// KeepOut has the router take no clients; an empty reason: it may again.
func (r *Router) KeepOut(why string) {
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
func (r *Router) refusing() bool { return r.draining || r.ops.wanted.Empty || r.place.out != "" }

// lapse ends a part that was held until now: also in a process that stood still over its end.
func (r *Router) lapse() {
	if p := &r.place; p.part != 0 && r.now >= p.part {
		p.part = 0
		r.decided = append(r.decided, r.core.Step(r.now, choice.Parted{Part: p.then})...)
	}
}
