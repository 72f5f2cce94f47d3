package sharelease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"spurtrestle/core/clock"
)

// simulation runs routers, each with its own clock, over a network that delays, drops, duplicates and reorders messages.
type simulation struct {
	*rand.Rand
	now          int64 // true time, in microseconds
	routers      []*router
	inFlight     []delivery
	cutLinks     map[[2]int]bool
	violation    string // the first sum of shares over 1
	borrowedSeen int    // borrowed portions in use, summed over all steps
}

type router struct {
	leases      *Leases // nil: the process is down
	incarnation Incarnation
	clockOffset int64
	clockRate   float64
	stalled     bool
	share       Share // as last applied by the router's event loop
}

type delivery struct {
	at      int64
	message Message
}

func (s *simulation) clockOf(r *router) clock.Time {
	return clock.Time(r.clockOffset + int64(float64(s.now)*r.clockRate))
}

func (s *simulation) start(i int) {
	r := s.routers[i]
	r.incarnation = Incarnation(s.now<<8 | int64(i) | 1<<40)
	r.leases = New(s.clockOf(r), DefaultTiming(), len(s.routers), Slot(i), r.incarnation, false)
	r.stalled = false
	r.share = r.leases.Share(s.clockOf(r))
}

func (s *simulation) send(from int, messages ...Message) {
	for _, message := range messages {
		if s.cutLinks[[2]int{from, int(message.To)}] || s.IntN(10) < 2 {
			continue
		}
		for range 1 + s.IntN(2) {
			delay := s.Int64N(100e3)
			if s.IntN(5) == 0 {
				delay = s.Int64N(5e6)
			}
			s.inFlight = append(s.inFlight, delivery{s.now + delay, message})
		}
	}
}

// advance advances the time, delivers the messages that are due and calls Tick on the routers that are not stalled.
func (s *simulation) advance(span int64) {
	s.now += span
	s.deliver()
	for i, r := range s.routers {
		if r.leases == nil || r.stalled {
			continue
		}
		s.send(i, r.leases.Tick(s.clockOf(r), s.peers(), !r.leases.granting)...)
		r.share = r.leases.Share(s.clockOf(r))
	}
	s.checkSum()
}

func (s *simulation) deliver() {
	deliveries := s.inFlight
	s.inFlight = nil
	for _, d := range deliveries {
		r := s.routers[d.message.To]
		if d.at > s.now || r.stalled && r.leases != nil {
			s.inFlight = append(s.inFlight, d)
		} else if r.leases != nil {
			if reply, ok := r.leases.Receive(s.clockOf(r), d.message); ok {
				s.send(int(d.message.To), reply)
			}
		}
	}
}

func (s *simulation) peers() map[Slot]Peer {
	peers := map[Slot]Peer{}
	for i, r := range s.routers {
		if r.leases != nil {
			peers[Slot(i)] = Peer{Incarnation: r.incarnation, Granting: r.leases.granting}
		}
	}
	return peers
}

// checkSum records a violation if the sum of the shares in use exceeds 1. Even a stalled router checks the expiry of its share
// before it sends a request.
func (s *simulation) checkSum() {
	sum := 0.0
	for _, r := range s.routers {
		if r.leases == nil {
			continue
		}
		share := r.share.Current
		if r.share.ExpiresAt != 0 && s.clockOf(r) >= r.share.ExpiresAt {
			share = r.share.AfterExpiry
		}
		sum += share
		if !r.stalled {
			s.borrowedSeen += len(r.leases.borrowedUntil)
		}
	}
	if sum > 1+1e-9 && s.violation == "" {
		s.violation = fmt.Sprintf("at %d µs the sum of the shares is %.4f, want at most 1", s.now, sum)
	}
}

// simulate runs some routers through random drains, crashes, stalls and link failures.
func simulate(seed uint64) *simulation {
	s := &simulation{Rand: rand.New(rand.NewPCG(seed, 0)), cutLinks: map[[2]int]bool{}}
	fleetSize := 2 + s.IntN(4)
	for range fleetSize {
		s.routers = append(s.routers, &router{clockOffset: s.Int64N(1e9), clockRate: 1 + float64(s.IntN(9)-4)/1000})
	}
	for i := range fleetSize {
		s.start(i)
	}
	for range 60 {
		s.injectEvent(s.IntN(fleetSize))
		for range 1 + s.IntN(20) {
			s.advance(s.Int64N(300e3))
		}
	}
	return s
}

// injectEvent applies a random event to a router.
func (s *simulation) injectEvent(i int) {
	r := s.routers[i]
	isRunning := r.leases != nil && !r.stalled
	switch event := s.IntN(12); {
	case r.leases == nil:
		s.start(i)
	case event < 4 && isRunning && !r.leases.granting:
		r.share = r.leases.ReducedShare()
		r.leases.SetGranting(true, s.IntN(3) == 0)
	case event < 6 && isRunning:
		r.leases.SetGranting(false, false)
	case event == 6 && (r.leases.exiting || s.IntN(3) == 0):
		if isRunning && s.IntN(2) == 0 {
			s.send(i, r.leases.TransferAll(s.clockOf(r))...)
		}
		r.leases = nil
	case event == 7 || r.stalled:
		r.stalled = !r.stalled
	case event == 8:
		s.cutLinks[[2]int{i, s.IntN(len(s.routers))}] = true
	case event > 8:
		clear(s.cutLinks)
	}
}

// The sum of the shares in use never exceeds 1, even if links fail, messages are late or duplicated, and routers crash, stall or
// restart.
func TestLeases_SumNeverExceedsOne(t *testing.T) {
	const (
		seeds           = 400
		minBorrowedSeen = 10_000 // otherwise routers that grant nothing would pass
	)
	borrowedSeen := 0
	for seed := range uint64(seeds) {
		s := simulate(seed)
		borrowedSeen += s.borrowedSeen
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
	}
	if borrowedSeen < minBorrowedSeen {
		t.Errorf("borrowed portions in use: got %d, want at least %d", borrowedSeen, minBorrowedSeen)
	}
	t.Logf("%d borrowed portions in use", borrowedSeen)
}

// fleet is a set of processes whose messages are delivered immediately.
type fleet struct {
	t         *testing.T
	processes []*Leases
	peers     map[Slot]Peer
	now       clock.Time
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, peers: map[Slot]Peer{}, now: clock.Second}
	for i := range size {
		f.processes = append(f.processes, New(f.now, DefaultTiming(), size, Slot(i), Incarnation(i+1), false))
		f.peers[Slot(i)] = Peer{Incarnation: Incarnation(i + 1)}
	}
	return f
}

func (f *fleet) advance(span clock.Duration) {
	for end := f.now + span; f.now < end; f.now += 10 * clock.Millisecond {
		for _, leases := range f.processes {
			for queue := leases.Tick(f.now, f.peers, !leases.granting); len(queue) > 0; queue = queue[1:] {
				if reply, ok := f.processes[queue[0].To].Receive(f.now+1, queue[0]); ok {
					queue = append(queue, reply)
				}
			}
		}
	}
}

func (f *fleet) checkShare(when string, slot int, want float64) {
	f.t.Helper()
	if got := f.processes[slot].Share(f.now).Current; math.Abs(got-want) > 1e-9 {
		shares := ""
		for _, leases := range f.processes {
			shares += fmt.Sprintf(" %.4f", leases.Share(f.now).Current)
		}
		f.t.Errorf("%s: share of slot %d: got %.4f, want %.4f; all shares:%s", when, slot, got, want, shares)
	}
}

// When one of six routers is drained the others soon use its portions, and when it accepts clients again it gets them back.
func TestLeases_PortionsFollowDrain(t *testing.T) {
	const (
		size        = 6
		ownShare    = 1.0 / size
		withPortion = 1.0/size + (1-minimumRatio)/size/(size-1)
	)
	f := newFleet(t, size)
	f.advance(20 * clock.Millisecond)
	f.checkShare("after the start", 3, ownShare)

	f.processes[0].SetGranting(true, false)
	f.peers[0] = Peer{Incarnation: 1, Granting: true}
	f.advance(600 * clock.Millisecond)
	f.checkShare("drained", 0, minimumRatio/size)
	f.checkShare("drained", 3, withPortion)

	f.processes[0].SetGranting(false, false)
	f.peers[0] = Peer{Incarnation: 1}
	f.advance(600 * clock.Millisecond)
	f.checkShare("accepting clients again", 0, ownShare)
	f.checkShare("accepting clients again", 3, ownShare)

	f.peers[0] = Peer{Incarnation: 1, Granting: true} // it announces that it is draining, but still uses its share
	f.advance(600 * clock.Millisecond)
	for _, grant := range f.processes[0].TransferAll(f.now) {
		f.processes[grant.To].Receive(f.now, grant)
	}
	delete(f.peers, 0)
	f.advance(5 * clock.Second)
	f.checkShare("five seconds after the exit of router 0", 3, withPortion)
	f.advance(6 * clock.Second)
	f.checkShare("after the transfer expired", 3, ownShare)
}
