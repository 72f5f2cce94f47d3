// Package machine is the model of one machine that works on requests: cores, a bounded queue, a cold start that warms up,
// and a fall when a cold machine is asked far more than it can do. It does no I/O and takes the time as an argument, so
// that a cache server or the origin of the lab behaves alike in every run.
package machine

import (
	"slices"

	"spurtrestle/internal/lab/event"
)

// Job is one piece of work.
type Job struct {
	ID    uint64
	Work  event.Micros // at full speed on one core
	began event.Micros
	ends  event.Micros
}

// Settings describe a machine. They are fixed for its life.
type Settings struct {
	Cores             int
	QueueLimit        int          // jobs that wait at most; one more is turned away
	ColdCapacityShare float64      // of its capacity at the start; 1: it is never cold
	WarmupDuration    event.Micros // until it is warm
	// A machine that is asked more than CollapseMultiple times what it can do over FallSpan falls over: while cold, or
	// at any time where FallsWarm says so. 0: never.
	CollapseMultiple float64
	CollapseWindow   event.Micros
	CollapseWhenWarm bool
}

const buckets = 10 // of the window of FallSpan: coarse enough to be cheap, fine enough for a limit three times over

// Machine is one life of a machine.
type Machine struct {
	set     Settings
	started event.Micros
	slow    float64 // work takes so many times as long
	frozen  bool    // jobs go on being taken but none ends
	since   event.Micros
	running []*Job
	waiting []*Job
	asked   [buckets]float64 // work asked for in each part of the window
	can     [buckets]float64 // and what could be done
	bucket  int64
	seen    int // parts of the window that are whole
	fallen  bool
}

// New starts a machine at a time. A warm one has been up for long.
func New(set Settings, now event.Micros, warm bool) *Machine {
	m := &Machine{set: set, started: now, slow: 1}
	if warm {
		m.started = now - set.WarmupDuration
	}
	m.bucket = m.part(now)
	return m
}

// CapacityShare is the part of its capacity that the machine has at a time.
func (m *Machine) CapacityShare(now event.Micros) float64 {
	age := now - m.started
	if m.set.WarmupDuration <= 0 || age >= m.set.WarmupDuration {
		return 1
	}
	return m.set.ColdCapacityShare + (1-m.set.ColdCapacityShare)*max(0, float64(age))/float64(m.set.WarmupDuration)
}

// Cold tells whether it is still warming up.
func (m *Machine) Cold(now event.Micros) bool { return now-m.started < m.set.WarmupDuration }

// Collapsed tells whether it was pushed over.
func (m *Machine) Collapsed() bool { return m.fallen }

// SetSlowdown makes jobs that begin from now on take so many times as long.
func (m *Machine) SetSlowdown(times float64) { m.slow = max(times, 0.01) }

// SetFrozen stops all work, or lets it go on with what was left of it.
func (m *Machine) SetFrozen(now event.Micros, on bool) {
	if on && !m.frozen {
		m.since = now
	}
	if !on && m.frozen {
		for _, j := range m.running {
			j.ends += now - max(m.since, j.began)
		}
	}
	m.frozen = on
}

func (m *Machine) part(now event.Micros) int64 {
	if m.set.CollapseWindow <= 0 {
		return 0
	}
	return int64(now) * buckets / int64(m.set.CollapseWindow)
}

// tip counts work asked for, and falls over where a whole window was too much.
func (m *Machine) tip(now, work event.Micros) {
	if m.set.CollapseMultiple <= 0 || m.set.CollapseWindow <= 0 {
		return
	}
	for at := m.part(now); m.bucket < at; {
		i := m.bucket % buckets
		m.can[i] = m.CapacityShare(now) * float64(m.set.Cores) * float64(m.set.CollapseWindow) / buckets
		m.seen++
		m.judge(now)
		m.bucket++
		m.asked[m.bucket%buckets] = 0
	}
	m.asked[m.bucket%buckets] += float64(work)
}

func (m *Machine) judge(now event.Micros) {
	if m.seen < buckets || !m.set.CollapseWhenWarm && !m.Cold(now) {
		return
	}
	asked, can := 0.0, 0.0
	for i := range buckets {
		asked, can = asked+m.asked[i], can+m.can[i]
	}
	m.fallen = m.fallen || asked > m.set.CollapseMultiple*can
}

// Submit takes a job, or tells that there is no room for it.
func (m *Machine) Submit(now event.Micros, j *Job) bool {
	m.tip(now, j.Work)
	if m.fallen {
		return false
	}
	if len(m.running) < m.set.Cores {
		m.begin(now, j)
		return true
	}
	if len(m.waiting) >= m.set.QueueLimit {
		return false
	}
	m.waiting = append(m.waiting, j)
	return true
}

func (m *Machine) begin(now event.Micros, j *Job) {
	j.began = now
	j.ends = now + max(1, event.Micros(float64(j.Work)*m.slow/m.CapacityShare(now)))
	m.running = append(m.running, j)
}

// Cancel takes a job off the machine; false where it is not there any more.
func (m *Machine) Cancel(now event.Micros, j *Job) bool {
	same := func(x *Job) bool { return x == j }
	n := len(m.running) + len(m.waiting)
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
	if len(m.running)+len(m.waiting) == n {
		return false
	}
	m.fill(now)
	return true
}

func (m *Machine) fill(now event.Micros) {
	for len(m.running) < m.set.Cores && len(m.waiting) > 0 {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.begin(now, j)
	}
}

// Completed returns the jobs that are done by now, in their order, and begins those that waited.
func (m *Machine) Completed(now event.Micros) (done []*Job) {
	for !m.frozen {
		first := m.first()
		if first < 0 || m.running[first].ends > now {
			return done
		}
		j := m.running[first]
		m.running = slices.Delete(m.running, first, first+1)
		done = append(done, j)
		m.fill(j.ends)
	}
	return done
}

func (m *Machine) first() int {
	first := -1
	for i, j := range m.running {
		if first < 0 || j.ends < m.running[first].ends {
			first = i
		}
	}
	return first
}

// NextCompletion is when the next job ends; false where none will by itself.
func (m *Machine) NextCompletion() (event.Micros, bool) {
	i := m.first()
	if m.frozen || i < 0 {
		return 0, false
	}
	return m.running[i].ends, true
}

// Load is what runs and what waits.
func (m *Machine) Load() (running, waiting int) { return len(m.running), len(m.waiting) }
