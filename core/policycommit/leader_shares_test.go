package policycommit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"spurtrestle/core/clock"
)

const (
	shareFleetSize       = 5
	shareTick            = 50 * clock.Millisecond
	shareFaultsEnd       = 110 * clock.Second // from then on all routers run
	shareSimulationEnd   = 150 * clock.Second
	shareMaxDelay        = 800 * clock.Millisecond // of a lease
	shareTolerance       = 1e-9
	neverAdmitted        = -1 << 50
	shareSimulationSeeds = 200
)

// shareRouter is a router of a simulation, with a clock that runs up to a hundredth slow.
type shareRouter struct {
	follower       *Follower
	name           RouterName
	incarnation    Incarnation
	clockRate      float64
	up             bool
	stalled        bool
	extraShare     float64
	extraUntil     clock.Time // by its clock
	lastAdmittedAt clock.Time // by the clock of the simulation
}

func (r *shareRouter) ownTime(now clock.Time) clock.Time {
	return clock.Time(float64(now) * r.clockRate)
}

// delayedLease is a lease in flight.
type delayedLease struct {
	arrivesAt clock.Time
	to        *shareRouter
	lease     Lease
}

// shareSimulation is a run of routers that crash, stall, restart and renew late, while the leader changes.
type shareSimulation struct {
	timing          Timing
	random          *rand.Rand
	log             *LogState
	leader          *Leader
	routers         []*shareRouter
	nextIncarnation Incarnation
	inFlight        []delayedLease
	extraTime       clock.Time // for which extra shares were in use, summed over all routers
}

func newShareSimulation(seed uint64, timing Timing) *shareSimulation {
	simulation := &shareSimulation{
		timing: timing,
		random: rand.New(rand.NewPCG(seed, 6)),
		log:    &LogState{},
		leader: NewLeader(0, timing, shareFleetSize),
	}
	for i := range shareFleetSize {
		router := &shareRouter{name: RouterName(fmt.Sprint("r", i)), clockRate: 1 - 0.01*simulation.random.Float64(), lastAdmittedAt: neverAdmitted}
		simulation.routers = append(simulation.routers, router)
		simulation.restart(router)
	}
	return simulation
}

func (s *shareSimulation) restart(router *shareRouter) {
	s.nextIncarnation++
	router.incarnation = s.nextIncarnation
	router.up = true
	router.extraShare = 0
	router.follower = NewFollower(s.timing, FollowerConfig{Name: router.name, Incarnation: router.incarnation, Validate: acceptAll})
}

func (s *shareSimulation) append(entry Entry) { s.log.Apply(s.log.Index+1, entry) }

// injectFault makes a random router or the leader fail or recover, in about one of fifty ticks.
func (s *shareSimulation) injectFault(now clock.Time) {
	router := s.routers[s.random.IntN(shareFleetSize)]
	switch s.random.IntN(400) {
	case 0, 1:
		router.up = false
	case 2, 3, 4:
		if !router.up {
			s.restart(router)
		}
	case 5:
		router.stalled = true
	case 6, 7:
		router.stalled = false
	case 8:
		s.leader = NewLeader(now, s.timing, shareFleetSize)
	}
}

func (s *shareSimulation) recover(router *shareRouter) {
	router.stalled = false
	if !router.up {
		s.restart(router)
	}
}

// renew sends a router's renewal if one is due. A quarter of the renewals and a quarter of the leases are lost.
func (s *shareSimulation) renew(now clock.Time, router *shareRouter) {
	renewal, due := router.follower.NextRenewal(router.ownTime(now))
	if !due || s.random.IntN(4) == 0 {
		return
	}
	answer := s.leader.AnswerRenewal(now, s.log.Clone(), renewal)
	if answer.Entry != nil {
		s.append(*answer.Entry)
	}
	if answer.Lease != nil && s.random.IntN(4) > 0 {
		arrivesAt := now + clock.Time(s.random.IntN(int(shareMaxDelay)))
		s.inFlight = append(s.inFlight, delayedLease{arrivesAt: arrivesAt, to: router, lease: *answer.Lease})
	}
}

// usedShare is the share of the fleet's limits that a router may be using, including its requests in flight.
func (s *shareSimulation) usedShare(now clock.Time, router *shareRouter) float64 {
	ownTime := router.ownTime(now)
	if router.up && router.follower.AdmissionDeadline(ownTime) > ownTime {
		router.lastAdmittedAt = now
	}
	used := 0.0
	if now-router.lastAdmittedAt < s.timing.QuiescePeriod {
		used += 1.0 / shareFleetSize
	}
	if router.up && router.extraUntil > ownTime {
		used += router.extraShare
		if router.extraShare > 0 {
			s.extraTime += shareTick
		}
	}
	return used
}

// deliver delivers the leases that have arrived. Leases for a router that is down or stalled are lost.
func (s *shareSimulation) deliver(now clock.Time) {
	var later []delayedLease
	for _, delayed := range s.inFlight {
		if delayed.arrivesAt > now {
			later = append(later, delayed)
			continue
		}
		router, lease := delayed.to, delayed.lease
		if !router.up || router.stalled {
			continue
		}
		ownTime, expiresAt := router.ownTime(now), lease.RenewalSentAt+lease.Duration
		router.follower.ReceiveLease(ownTime, lease)
		if lease.Incarnation == router.incarnation && expiresAt > ownTime {
			router.extraShare, router.extraUntil = lease.ExtraShare, expiresAt
		}
	}
	s.inFlight = later
}

// errSharesExceedOne reports that the routers together could use more than the fleet's limits.
var errSharesExceedOne = errors.New("sum of shares exceeds 1")

// run returns errSharesExceedOne if the sum of the shares exceeded 1, and another error if shares were still leased out at the
// end.
func (s *shareSimulation) run() error {
	for now := clock.Time(0); now < shareSimulationEnd; now += shareTick {
		hasFaults := now <= shareFaultsEnd
		if hasFaults {
			s.injectFault(now)
		}
		if entry := s.leader.NextShareEntry(now, s.log); entry != nil && s.random.IntN(3) > 0 {
			s.append(*entry)
		}
		sum := 0.0
		for _, router := range s.routers {
			if !hasFaults {
				s.recover(router)
			}
			if router.up && !router.stalled {
				s.renew(now, router)
			}
			sum += s.usedShare(now, router)
		}
		if sum > 1+shareTolerance {
			return fmt.Errorf("%w: %.3f at %d ms", errSharesExceedOne, sum, now/clock.Millisecond)
		}
		s.deliver(now)
	}
	if len(s.log.LeasedOut) > 0 {
		return fmt.Errorf("shares still leased out after all routers have recovered: %v", s.log.LeasedOut)
	}
	return nil
}

func shareTestTiming() Timing {
	timing := DefaultTiming()
	timing.QuiescePeriod = 3 * clock.Second
	return timing
}

// The sum of the shares in use never exceeds 1, even if messages are lost or late and routers fail and recover.
func TestLeader_SumOfSharesNeverExceedsOne(t *testing.T) {
	extraTime := clock.Time(0)
	for seed := range uint64(shareSimulationSeeds) {
		simulation := newShareSimulation(seed, shareTestTiming())
		if err := simulation.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		extraTime += simulation.extraTime
	}
	if extraTime < 1000*clock.Second {
		t.Errorf("time with extra shares in use: got %d s, want at least 1000 s, so that the test is meaningful", extraTime/clock.Second)
	}
}

// The simulation detects a sum of shares over 1 if the leader waits for too short a time.
func TestLeader_SimulationDetectsShortWaits(t *testing.T) {
	for name, shorten := range map[string]func(*Timing){
		"share leased out while requests are in flight": func(timing *Timing) { timing.ClockSlack -= 2500 * clock.Millisecond },
		"share returned immediately": func(timing *Timing) {
			timing.ClockSlack -= timing.LeaseDuration
			timing.QuiescePeriod += timing.LeaseDuration
		},
	} {
		t.Run(name, func(t *testing.T) {
			timing := shareTestTiming()
			shorten(&timing)
			for seed := range uint64(shareSimulationSeeds) {
				if errors.Is(newShareSimulation(seed, timing).run(), errSharesExceedOne) {
					return
				}
			}
			t.Errorf("got no violation in %d simulations, want one", shareSimulationSeeds)
		})
	}
}
