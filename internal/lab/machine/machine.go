// Package machine models one machine that processes requests: a number of cores, a bounded queue, reduced capacity after a
// cold start, and a collapse when a cold machine is overloaded. It does no I/O and takes the time as an argument, so that
// the cache servers and the origin of the lab, which use it, behave the same in every run. Callers serialize all calls.
package machine

import (
	"slices"

	"spurtrestle/internal/lab/event"
)

// Job is one unit of work. It belongs to one machine.
type Job struct {
	ID        uint64
	Work      event.Micros // duration at full speed on one core
	startedAt event.Micros
	endsAt    event.Micros
}

// Settings describe a machine. They do not change while it runs.
type Settings struct {
	Cores             int
	QueueLimit        int          // maximum number of waiting jobs; further jobs are refused
	ColdCapacityShare float64      // share of the capacity that is available at the start; 1 for no cold start
	WarmupDuration    event.Micros // time from the start to full capacity
	// The machine collapses when the work submitted within CollapseWindow exceeds CollapseMultiple times its capacity: only
	// while it is cold, or at any time if CollapseWhenWarm is set. With 0 it never collapses.
	CollapseMultiple float64
	CollapseWindow   event.Micros
	CollapseWhenWarm bool
}

// buckets divide CollapseWindow: few enough to be cheap, enough to detect an overload of three times the capacity.
const buckets = 10

// Machine is one machine from its start to its end. It is not safe for concurrent use.
type Machine struct {
	settings    Settings
	bootedAt    event.Micros
	slowdown    float64 // factor on the duration of jobs
	frozen      bool    // jobs are accepted but none completes
	frozenSince event.Micros
	running     []*Job
	waiting     []*Job
	demand      [buckets]float64 // work submitted in each bucket of the window
	capacity    [buckets]float64 // work that could be done in each bucket
	bucket      int64            // number of the current bucket, counted from time zero
	fullBuckets int              // buckets that have passed since the start
	collapsed   bool
}

// New returns a machine that starts at now, or one that is already at full capacity if warm is set.
func New(settings Settings, now event.Micros, warm bool) *Machine {
	m := &Machine{settings: settings, bootedAt: now, slowdown: 1}
	if warm {
		m.bootedAt = now - settings.WarmupDuration
	}
	m.bucket = m.bucketAt(now)
	return m
}

// CapacityShare returns the share of the full capacity that the machine has at now.
func (m *Machine) CapacityShare(now event.Micros) float64 {
	age := now - m.bootedAt
	if m.settings.WarmupDuration <= 0 || age >= m.settings.WarmupDuration {
		return 1
	}
	return m.settings.ColdCapacityShare + (1-m.settings.ColdCapacityShare)*max(0, float64(age))/float64(m.settings.WarmupDuration)
}

// Cold reports whether the machine is still warming up.
func (m *Machine) Cold(now event.Micros) bool { return now-m.bootedAt < m.settings.WarmupDuration }

// Collapsed reports whether overload has made the machine collapse.
func (m *Machine) Collapsed() bool { return m.collapsed }

// SetSlowdown multiplies the duration of jobs that start from now on.
func (m *Machine) SetSlowdown(times float64) { m.slowdown = max(times, 0.01) }

// SetFrozen stops all work, or resumes it where it stopped.
func (m *Machine) SetFrozen(now event.Micros, on bool) {
	if on && !m.frozen {
		m.frozenSince = now
	}
	if !on && m.frozen {
		for _, j := range m.running {
			j.endsAt += now - max(m.frozenSince, j.startedAt)
		}
	}
	m.frozen = on
}

func (m *Machine) bucketAt(now event.Micros) int64 {
	if m.settings.CollapseWindow <= 0 {
		return 0
	}
	return int64(now) * buckets / int64(m.settings.CollapseWindow)
}

// recordDemand adds submitted work to the current bucket and checks each full window for overload.
func (m *Machine) recordDemand(now, work event.Micros) {
	if m.settings.CollapseMultiple <= 0 || m.settings.CollapseWindow <= 0 {
		return
	}
	for at := m.bucketAt(now); m.bucket < at; {
		i := m.bucket % buckets
		m.capacity[i] = m.CapacityShare(now) * float64(m.settings.Cores) * float64(m.settings.CollapseWindow) / buckets
		m.fullBuckets++
		m.checkOverload(now)
		m.bucket++
		m.demand[m.bucket%buckets] = 0
	}
	m.demand[m.bucket%buckets] += float64(work)
}

func (m *Machine) checkOverload(now event.Micros) {
	if m.fullBuckets < buckets || !m.settings.CollapseWhenWarm && !m.Cold(now) {
		return
	}
	demand, capacity := 0.0, 0.0
	for i := range buckets {
		demand, capacity = demand+m.demand[i], capacity+m.capacity[i]
	}
	m.collapsed = m.collapsed || demand > m.settings.CollapseMultiple*capacity
}

// Submit starts or queues a job. It returns false if the queue is full or the machine has collapsed.
func (m *Machine) Submit(now event.Micros, j *Job) bool {
	m.recordDemand(now, j.Work)
	if m.collapsed {
		return false
	}
	if len(m.running) < m.settings.Cores {
		m.startJob(now, j)
		return true
	}
	if len(m.waiting) >= m.settings.QueueLimit {
		return false
	}
	m.waiting = append(m.waiting, j)
	return true
}

func (m *Machine) startJob(now event.Micros, j *Job) {
	j.startedAt = now
	j.endsAt = now + max(1, event.Micros(float64(j.Work)*m.slowdown/m.CapacityShare(now)))
	m.running = append(m.running, j)
}

// Cancel removes a job from the machine. It returns false if the machine does not hold the job.
func (m *Machine) Cancel(now event.Micros, j *Job) bool {
	isJob := func(x *Job) bool { return x == j }
	n := len(m.running) + len(m.waiting)
	m.waiting = slices.DeleteFunc(m.waiting, isJob)
	m.running = slices.DeleteFunc(m.running, isJob)
	if len(m.running)+len(m.waiting) == n {
		return false
	}
	m.startWaiting(now)
	return true
}

func (m *Machine) startWaiting(now event.Micros) {
	for len(m.running) < m.settings.Cores && len(m.waiting) > 0 {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.startJob(now, j)
	}
}

// Completed removes and returns the jobs that have completed by now, in order of completion, and starts waiting jobs.
func (m *Machine) Completed(now event.Micros) (done []*Job) {
	for !m.frozen {
		nextToEnd := m.nextToEnd()
		if nextToEnd < 0 || m.running[nextToEnd].endsAt > now {
			return done
		}
		j := m.running[nextToEnd]
		m.running = slices.Delete(m.running, nextToEnd, nextToEnd+1)
		done = append(done, j)
		m.startWaiting(j.endsAt)
	}
	return done
}

func (m *Machine) nextToEnd() int {
	nextToEnd := -1
	for i, j := range m.running {
		if nextToEnd < 0 || j.endsAt < m.running[nextToEnd].endsAt {
			nextToEnd = i
		}
	}
	return nextToEnd
}

// NextCompletion returns when the next job completes. It returns false if no job is running or the machine is frozen.
func (m *Machine) NextCompletion() (event.Micros, bool) {
	i := m.nextToEnd()
	if m.frozen || i < 0 {
		return 0, false
	}
	return m.running[i].endsAt, true
}

// Load returns the numbers of running and waiting jobs.
func (m *Machine) Load() (running, waiting int) { return len(m.running), len(m.waiting) }
