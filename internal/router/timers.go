package router

import (
	"container/heap"
	"time"

	"spurtrestle/core/clock"
)

// timer is one thing to do at a time.
type timer struct {
	at   clock.Time
	seq  uint64
	do   func()
	slot int // place in the heap; -1: not in it
}

// timers is one heap with one wake-up.
type timers struct {
	due   []*timer
	seq   uint64
	alarm *time.Timer
	set   clock.Time // when the alarm goes off; 0: it does not
}

func (t *timers) Len() int { return len(t.due) }
func (t *timers) Less(i, j int) bool {
	if t.due[i].at != t.due[j].at {
		return t.due[i].at < t.due[j].at
	}
	return t.due[i].seq < t.due[j].seq
}
func (t *timers) Swap(i, j int) {
	t.due[i], t.due[j] = t.due[j], t.due[i]
	t.due[i].slot, t.due[j].slot = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).slot = len(t.due)
	t.due = append(t.due, x.(*timer))
}
func (t *timers) Pop() any {
	last := t.due[len(t.due)-1]
	t.due[len(t.due)-1] = nil
	t.due, last.slot = t.due[:len(t.due)-1], -1
	return last
}

func (t *timers) init(r *Router) {
	t.alarm = time.AfterFunc(time.Hour, func() {
		r.execute(func() {
			t.set = 0
			r.batch()
		})
	})
	t.alarm.Stop()
}

// after sets a timer from now on.
func (r *Router) after(d clock.Time, do func()) *timer {
	r.timers.seq++
	t := &timer{at: r.clock() + d, seq: r.timers.seq, do: do}
	heap.Push(&r.timers, t)
	r.setAlarm()
	return t
}

func (r *Router) cancel(t *timer) {
	if t != nil && t.slot >= 0 {
		heap.Remove(&r.timers, t.slot)
	}
}

// tell leaves figures also while nothing happens.
func (r *Router) tell() {
	r.publish()
	r.tellHolds()
	r.after(2*r.lim.MetricsInterval, r.tell)
}

// fire does what is due.
func (r *Router) fire(now clock.Time) {
	for len(r.timers.due) > 0 && r.timers.due[0].at <= now {
		heap.Pop(&r.timers).(*timer).do()
	}
}

// setAlarm wakes the loop for the first timer. An alarm that is too early is left: it finds nothing due.
func (r *Router) setAlarm() {
	t := &r.timers
	if len(t.due) == 0 {
		return
	}
	now := r.clock()
	if first := t.due[0].at; t.set <= now || first < t.set {
		t.set = max(first, now+1)
		t.alarm.Reset(span(t.set - now))
	}
}
