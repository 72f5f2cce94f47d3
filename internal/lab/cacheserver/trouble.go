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
type trouble struct {
	resets       float64 // share of the answers that break off
	spoilt       float64 // share that cannot be read
	surplus      float64 // share with something behind
	forms        []string
	staleReports bool
	badReports   bool
	late         bool // the grace of a drain is over
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
func (t *trouble) spoil(r *rand.Rand, text []byte, reply event.Reply) ([]byte, event.Reply, int) {
	switch x := r.Float64(); {
	case x < t.resets:
		return text, event.Lost, r.IntN(len(text))
	case x < t.resets+t.spoilt:
		forms := t.forms
		if len(forms) == 0 {
			forms = []string{"endless", "huge", "length", "nested", "noise"}
		}
		return MalformedReplies[forms[r.IntN(len(forms))]](text), event.Spoilt, -1
	case x < t.resets+t.spoilt+t.surplus:
		return append(text, []string{"+surplus\r\n", "$-1\r\n", "\x00\x01"}[r.IntN(3)]...), reply, -1
	}
	return text, reply, -1
}

// Strike begins a fault of the scenario on this server, or takes it back.
func (s *Server) ApplyFault(f scenario.Fault, end bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil
	}
	now := s.fleet.Log.Now()
	on := !end
	part := func(x float64) float64 {
		if end {
			return 0
		}
		return x
	}
	switch f.Kind {
	case "hang":
		s.machine.Freeze(now, on)
		s.turn()
	case "slow":
		if s.machine.Slow(f.Factor); end {
			s.machine.Slow(1)
		}
	case "refuse":
		if on {
			s.closeListeners()
			return nil
		}
		return s.listen()
	case "vanish":
		return s.vanish(now, on)
	case "reset":
		s.trouble.resets = part(f.Share)
	case "spoil":
		s.trouble.spoilt, s.trouble.forms = part(f.Share), f.ReplyForms
	case "surplus":
		s.trouble.surplus = part(f.Share)
	case "stale_reports":
		s.trouble.staleReports = on
	case "bad_reports":
		s.trouble.badReports = on
	default:
		return fmt.Errorf("a cache server knows no fault %q", f.Kind)
	}
	return nil
}

// PastGrace has a draining server reject every further request.
func (s *Server) EndDrainGrace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble.late = true
}

// vanish makes the machine silent: open connections stay open and bring nothing, new ones never come up. When it is
// back its old connections are reset. A full backlog of a listener that nobody reads makes the kernel drop what comes.
func (s *Server) vanish(now event.Micros, on bool) error {
	if !on {
		s.vanished = false
		s.machine.Freeze(now, false)
		for k := range s.conns {
			k.reset()
		}
		s.closeListeners()
		return s.listen()
	}
	s.vanished = true
	s.machine.Freeze(now, true)
	for _, ln := range s.ln {
		fillers, err := silence(ln)
		if s.fillers = append(s.fillers, fillers...); err != nil {
			return err
		}
	}
	return nil
}

// silence has an address take nothing and refuse nothing, until what it gives back is closed.
func silence(ln net.Listener) (fillers []io.Closer, err error) {
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
func (s *Server) Partition(from map[event.Router]bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.addrs {
		r := event.Router(r)
		fillers, was := s.cut[r]
		switch {
		case was == from[r]:
		case was:
			delete(s.cut, r)
			if s.down || s.vanished {
				break
			}
			for _, c := range fillers {
				c.Close()
			}
			for k := range s.conns {
				if k.router == r {
					k.reset()
				}
			}
			if err := s.listenFor(r); err != nil {
				return err
			}
		default:
			s.cut[r] = nil
			if s.down || s.vanished || len(s.ln) == 0 {
				break
			}
			if err := s.cutOff(r); err != nil {
				return err
			}
			for k := range s.conns {
				if k.router == r {
					k.hush()
				}
			}
		}
	}
	return nil
}

func (s *Server) cutOff(r event.Router) (err error) {
	s.cut[r], err = silence(s.ln[r])
	return err
}
