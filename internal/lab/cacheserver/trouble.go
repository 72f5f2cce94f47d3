package cacheserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// faultState holds the faults that alter a server's replies.
type faultState struct {
	resetShare     float64 // fraction of replies that are cut off by a reset
	malformedShare float64 // fraction of replies that are malformed
	surplusShare   float64 // fraction of replies that are followed by surplus bytes
	duplicateShare float64 // fraction of replies that are written a second time, up to MaxDuplicateDelay later
	malformedForms []string
	staleReports   bool
	badReports     bool
	graceOver      bool // the grace period of a drain is over
}

// MalformedReplies maps the name of each malformed form to the function that derives it from a valid reply.
var MalformedReplies = map[string]func([]byte) []byte{
	"noise":   func([]byte) []byte { return []byte("\x00\xffnot an answer\x17\r\n") },
	"length":  func(b []byte) []byte { return append([]byte("*3\r\n$7\r\n"), b[4:]...) },
	"huge":    func([]byte) []byte { return []byte("*3\r\n$3000000000\r\nabc") },
	"nested":  func([]byte) []byte { return []byte("*3\r\n*1\r\n$1\r\nx\r\n$-1\r\n$-1\r\n") },
	"endless": func([]byte) []byte { return append([]byte("+"), make([]byte, 9000)...) },
}

// corrupt applies the faults to an encoded reply. It returns the bytes to write, the outcome to record, and how many bytes
// to write before a reset (-1: all).
func (t *faultState) corrupt(r *rand.Rand, text []byte, reply event.Reply) ([]byte, event.Reply, int) {
	switch x := r.Float64(); {
	case x < t.resetShare:
		return text, event.ConnectionLost, r.IntN(len(text))
	case x < t.resetShare+t.malformedShare:
		forms := t.malformedForms
		if len(forms) == 0 {
			forms = []string{"endless", "huge", "length", "nested", "noise"}
		}
		return MalformedReplies[forms[r.IntN(len(forms))]](text), event.Malformed, -1
	case x < t.resetShare+t.malformedShare+t.surplusShare:
		return append(text, []string{"+surplus\r\n", "$-1\r\n", "\x00\x01"}[r.IntN(3)]...), reply, -1
	}
	return text, reply, -1
}

// MaxDuplicateDelay is how long after a reply its duplicate is written at most.
const MaxDuplicateDelay = 200 * time.Millisecond

// duplicateDelay draws whether a reply is written a second time, and how much later.
func (t *faultState) duplicateDelay(r *rand.Rand) (delay time.Duration, ok bool) {
	if t.duplicateShare == 0 || r.Float64() >= t.duplicateShare {
		return 0, false
	}
	return time.Duration(r.Int64N(int64(MaxDuplicateDelay))), true
}

// ApplyFault begins a fault of the scenario on this server, or ends it. A server that is down ignores faults.
func (s *Server) ApplyFault(fault scenario.Fault, end bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil
	}
	now := s.config.Log.Now()
	begin := !end
	share := func(x float64) float64 {
		if end {
			return 0
		}
		return x
	}
	switch fault.Kind {
	case "hang":
		s.machine.SetFrozen(now, begin)
		s.advance()
	case "slow":
		if s.machine.SetSlowdown(fault.Factor); end {
			s.machine.SetSlowdown(1)
		}
	case "refuse":
		if begin {
			s.closeListeners()
			return nil
		}
		return s.listen()
	case "vanish":
		return s.setUnreachable(now, begin)
	case "reset":
		s.faults.resetShare = share(fault.Share)
	case "spoil":
		s.faults.malformedShare, s.faults.malformedForms = share(fault.Share), fault.ReplyForms
	case "surplus":
		s.faults.surplusShare = share(fault.Share)
	case "duplicate":
		s.faults.duplicateShare = share(fault.Share)
	case "stale_reports":
		s.faults.staleReports = begin
	case "bad_reports":
		s.faults.badReports = begin
	default:
		return fmt.Errorf("fault %q does not apply to a cache server", fault.Kind)
	}
	return nil
}

// EndDrainGrace makes a draining server reject every further request.
func (s *Server) EndDrainGrace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.graceOver = true
}

// setUnreachable simulates a host that drops off the network, or its return: open connections stay open but are silent,
// and new ones are never accepted. On its return the old connections are reset. The kernel drops connection attempts
// while the backlog of a listener that accepts none is full.
func (s *Server) setUnreachable(now event.Micros, begin bool) error {
	if !begin {
		s.unreachable = false
		s.machine.SetFrozen(now, false)
		for c := range s.conns {
			c.reset()
		}
		s.closeListeners()
		return s.listen()
	}
	s.unreachable = true
	s.machine.SetFrozen(now, true)
	for _, ln := range s.listeners {
		fillers, err := blackhole(ln)
		if s.backlogFillers = append(s.backlogFillers, fillers...); err != nil {
			return err
		}
	}
	return nil
}

// blackhole makes the address of a listener neither accept nor refuse connections until the returned closers are closed.
func blackhole(ln net.Listener) (fillers []io.Closer, err error) {
	// The copy of the descriptor keeps the socket listening, but nothing accepts on it.
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	ln.Close()
	fillers = append(fillers, file)
	if err := unix.Listen(int(file.Fd()), 0); err != nil {
		return fillers, err
	}
	for range 2 { // a backlog of 0 still queues one connection; the sockets do not block, since the caller holds s.mu
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return fillers, err
		}
		fillers = append(fillers, os.NewFile(uintptr(fd), addr.String()))
		to := &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().Unmap().As4()}
		if err = unix.Connect(fd, to); err != nil && err != unix.EINPROGRESS {
			return fillers, err
		}
	}
	return fillers, nil
}

// Partition makes the server unreachable from the given routers and reachable from all others. Connections of an
// unreachable router stay open without traffic in either direction, and new ones are not accepted. When the partition
// heals, they are reset.
func (s *Server) Partition(unreachableFrom map[event.Router]bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.addrs {
		r := event.Router(r)
		fillers, wasPartitioned := s.partitioned[r]
		switch {
		case wasPartitioned == unreachableFrom[r]:
		case wasPartitioned:
			if err := s.healPartition(r, fillers); err != nil {
				return err
			}
		default:
			if err := s.beginPartition(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// healPartition makes the server reachable from a router again. The caller holds s.mu.
func (s *Server) healPartition(r event.Router, fillers []io.Closer) error {
	delete(s.partitioned, r)
	if s.down || s.unreachable {
		return nil
	}
	for _, filler := range fillers {
		filler.Close()
	}
	for c := range s.conns {
		if c.router == r {
			c.reset()
		}
	}
	return s.listenFor(r)
}

// beginPartition makes the server unreachable from a router. The caller holds s.mu.
func (s *Server) beginPartition(r event.Router) error {
	s.partitioned[r] = nil
	if s.down || s.unreachable || len(s.listeners) == 0 {
		return nil
	}
	if err := s.blackholeRouter(r); err != nil {
		return err
	}
	for c := range s.conns {
		if c.router == r {
			c.mute()
		}
	}
	return nil
}

// blackholeRouter makes the address for a router silent. The caller holds s.mu.
func (s *Server) blackholeRouter(r event.Router) (err error) {
	s.partitioned[r], err = blackhole(s.listeners[r])
	return err
}
