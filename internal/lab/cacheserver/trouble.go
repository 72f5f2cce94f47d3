package cacheserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// trouble is what is wrong with a server's answers.
type faultState struct {
	resetShare     float64 // share of the answers that break off
	malformedShare float64 // share that cannot be read
	surplusShare   float64 // share with something behind
	malformedForms []string
	staleReports   bool
	badReports     bool
	graceOver      bool // the grace of a drain is over
}

func (f *Config) figure(name string) string { return scenario.LoadReportFields[name] }

// Forms are the forms of spoilt answers.
var MalformedReplies = map[string]func([]byte) []byte{
	"noise":   func([]byte) []byte { return []byte("\x00\xffnot an answer\x17\r\n") },
	"length":  func(b []byte) []byte { return append([]byte("*3\r\n$7\r\n"), b[4:]...) },
	"huge":    func([]byte) []byte { return []byte("*3\r\n$3000000000\r\nabc") },
	"nested":  func([]byte) []byte { return []byte("*3\r\n*1\r\n$1\r\nx\r\n$-1\r\n$-1\r\n") },
	"endless": func([]byte) []byte { return append([]byte("+"), make([]byte, 9000)...) },
}

// spoil changes an answer as the fault has it.
func (t *faultState) corrupt(r *rand.Rand, text []byte, reply event.Reply) ([]byte, event.Reply, int) {
	switch x := r.Float64(); {
	case x < t.resetShare:
		return text, event.Lost, r.IntN(len(text))
	case x < t.resetShare+t.malformedShare:
		forms := t.malformedForms
		if len(forms) == 0 {
			forms = []string{"endless", "huge", "length", "nested", "noise"}
		}
		return MalformedReplies[forms[r.IntN(len(forms))]](text), event.Spoilt, -1
	case x < t.resetShare+t.malformedShare+t.surplusShare:
		return append(text, []string{"+surplus\r\n", "$-1\r\n", "\x00\x01"}[r.IntN(3)]...), reply, -1
	}
	return text, reply, -1
}

// Strike begins a fault of the scenario on this server, or takes it back.
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
		s.machine.Freeze(now, begin)
		s.advance()
	case "slow":
		if s.machine.Slow(fault.Factor); end {
			s.machine.Slow(1)
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
	case "stale_reports":
		s.faults.staleReports = begin
	case "bad_reports":
		s.faults.badReports = begin
	default:
		return fmt.Errorf("a cache server knows no fault %q", fault.Kind)
	}
	return nil
}

// PastGrace has a draining server reject every further request.
func (s *Server) EndDrainGrace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.graceOver = true
}

// vanish makes the machine silent: open connections stay open and bring nothing, new ones never come up. When it is
// back its old connections are reset. A full backlog of a listener that nobody reads makes the kernel drop what comes.
func (s *Server) setUnreachable(now event.Micros, begin bool) error {
	if !begin {
		s.unreachable = false
		s.machine.Freeze(now, false)
		for c := range s.conns {
			c.reset()
		}
		s.closeListeners()
		return s.listen()
	}
	s.unreachable = true
	s.machine.Freeze(now, true)
	for _, ln := range s.listeners {
		fillers, err := blackhole(ln)
		if s.backlogFillers = append(s.backlogFillers, fillers...); err != nil {
			return err
		}
	}
	return nil
}

// silence has an address take nothing and refuse nothing, until what it gives back is closed.
func blackhole(ln net.Listener) (fillers []io.Closer, err error) {
	// A copy of the descriptor stays open that nobody accepts on.
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
	for range 2 { // a backlog of nothing still takes one; nobody waits for the other, since the caller holds the server
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

// Cut takes the way between it and some routers, and gives it back to the others: what is open there stays open and
// brings nothing, either way, and nothing new comes up. What is open is reset when the way is back.
func (s *Server) Partition(unreachableFrom map[event.Router]bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.addrs {
		r := event.Router(r)
		fillers, wasPartitioned := s.partitioned[r]
		switch {
		case wasPartitioned == unreachableFrom[r]:
		case wasPartitioned:
			delete(s.partitioned, r)
			if s.down || s.unreachable {
				break
			}
			for _, filler := range fillers {
				filler.Close()
			}
			for c := range s.conns {
				if c.router == r {
					c.reset()
				}
			}
			if err := s.listenFor(r); err != nil {
				return err
			}
		default:
			s.partitioned[r] = nil
			if s.down || s.unreachable || len(s.listeners) == 0 {
				break
			}
			if err := s.blackholeRouter(r); err != nil {
				return err
			}
			for c := range s.conns {
				if c.router == r {
					c.mute()
				}
			}
		}
	}
	return nil
}

func (s *Server) blackholeRouter(r event.Router) (err error) {
	s.partitioned[r], err = blackhole(s.listeners[r])
	return err
}
