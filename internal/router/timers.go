package router

import (
	"container/heap"
	"time"

	"spurtrestle/core/clock"
)

// timer is a callback that is due at a time.
type timer struct {
	dueAt     clock.Time
	sequence  uint64
	callback  func()
	heapIndex int // index in the heap; -1: not in it
}

// timers is a heap of timers with a single alarm.
type timers struct {
	pending      []*timer
	lastSequence uint64
	alarm        *time.Timer
	alarmAt      clock.Time // when the alarm fires; 0: it is not set
}

func (t *timers) Len() int { return len(t.pending) }
func (t *timers) Less(i, j int) bool {
	if t.pending[i].dueAt != t.pending[j].dueAt {
		return t.pending[i].dueAt < t.pending[j].dueAt
	}
	return t.pending[i].sequence < t.pending[j].sequence
}
func (t *timers) Swap(i, j int) {
	t.pending[i], t.pending[j] = t.pending[j], t.pending[i]
	t.pending[i].heapIndex, t.pending[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	x.(*timer).heapIndex = len(t.pending)
	t.pending = append(t.pending, x.(*timer))
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := t.pending[len(t.pending)-1]
	t.pending[len(t.pending)-1] = nil
	t.pending, last.heapIndex = t.pending[:len(t.pending)-1], -1
	return last
}

func (t *timers) init(r *Router) {
	t.alarm = time.AfterFunc(time.Hour, func() {
		r.runAsync(func() {
			t.alarmAt = 0
			r.runBatch()
		})
	})
	t.alarm.Stop()
}

// after schedules a callback on the loop after a delay.
func (r *Router) after(delay clock.Time, callback func()) *timer {
	r.timers.lastSequence++
	t := &timer{dueAt: r.clock() + delay, sequence: r.timers.lastSequence, callback: callback}
	heap.Push(&r.timers, t)
	r.setAlarm()
	return t
}

// cancelTimer cancels a timer, unless it is nil, has fired, or is canceled already.
func (r *Router) cancelTimer(t *timer) {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&r.timers, t.heapIndex)
	}
}

// publishPeriodically keeps the statistics current even while no batches run.
func (r *Router) publishPeriodically() {
	r.publishStats()
	r.publishDescriptorCount()
	r.publishHeldMemory()
	r.after(2*r.limits.MetricsInterval, r.publishPeriodically)
}

// isDue reports whether a timer is due.
func (t *timers) isDue(now clock.Time) bool { return len(t.pending) > 0 && t.pending[0].dueAt <= now }

// fireTimers calls the callbacks that are due.
func (r *Router) fireTimers(now clock.Time) {
	for r.timers.isDue(now) {
		heap.Pop(&r.timers).(*timer).callback()
	}
}

// setAlarm sets the alarm for the first timer. An alarm that is too early is left: it finds nothing due.
func (r *Router) setAlarm() {
	t := &r.timers
	if len(t.pending) == 0 {
		return
	}
	now := r.clock()
	if first := t.pending[0].dueAt; t.alarmAt <= now || first < t.alarmAt {
		t.alarmAt = max(first, now+1)
		t.alarm.Reset(toDuration(t.alarmAt - now))
	}
}
