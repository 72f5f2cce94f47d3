package cacheserver

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/machine"
	"spurtrestle/internal/resp"
)

// bounds are wider than a router's: what a router may not send must be seen here.
var bounds = resp.Bounds{Bulk: 1 << 20, Line: 1 << 14, Args: 64}

// command is one attempt from its last byte on.
type command struct {
	on     *conn
	req    event.Req
	method string
	key    string
	size   int
	write  bool
	sent   event.Micros // the deadline sent
	missed bool
	probe  bool
	pong   []byte // its answer, where that is no load report
	job    *machine.Job
	began  event.Micros
	over   bool
	text   []byte // the answer, once there is one
	reply  event.Reply
	cut    int // write only so many bytes of the answer, then reset; -1: all
}

// conn is one connection of a router.
type conn struct {
	s      *Server
	c      net.Conn
	router event.Router
	full   bool // over the limit: all is turned away
	used   bool
	slots  []*command // in order, until their answers are written
	out    chan *command
	ended  chan struct{}
	once   sync.Once
	handed sync.Mutex
	silent bool // nobody writes any more
}

func newConn(s *Server, c net.Conn, r event.Router, full bool) *conn {
	return &conn{s: s, c: c, router: r, full: full, out: make(chan *command, 1024), ended: make(chan struct{})}
}

func (k *conn) end() { k.once.Do(func() { close(k.ended); k.c.Close() }) }

// reset closes with RST, as a process that dies does.
func (k *conn) reset() {
	if t, ok := k.c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails where the peer has ended it already
	}
	k.end()
}

// hush: nothing that is answered from now on reaches the router.
func (k *conn) hush() {
	k.handed.Lock()
	defer k.handed.Unlock()
	k.silent = true
}

// read takes commands until the connection ends.
func (k *conn) read() {
	defer k.s.wg.Done()
	defer k.gone()
	var have []byte
	var words [][]byte
	buf := make([]byte, 64<<10)
	since := event.Micros(-1)
	for {
		_ = k.c.SetReadDeadline(time.Now().Add(k.s.fleet.Service.IdleClose.Micros().Duration())) // an error shows in Read
		n, err := k.c.Read(buf)
		if n > 0 {
			now := k.s.fleet.Log.Now()
			if since < 0 {
				since = now
			}
			have = append(have, buf[:n]...)
			used := 0
			for {
				var size int
				var bad error
				words, size, bad = resp.Command(have[used:], words, bounds)
				if bad != nil {
					k.odd("what cannot be read")
					return
				}
				if size == 0 {
					break
				}
				k.s.command(k, words, since, now)
				since = now
				used += size
			}
			if have = append(have[:0], have[used:]...); len(have) == 0 {
				since = -1
			}
		}
		var late net.Error
		if errors.As(err, &late) && late.Timeout() && k.busy() {
			continue
		}
		if err != nil {
			return
		}
	}
}

func (k *conn) busy() bool {
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	return len(k.slots) > 0
}

func (k *conn) odd(what string) {
	k.s.fleet.Log.Add(event.Event{Kind: event.Odd, Server: k.s.UID, Router: k.router, Note: what})
}

// gone: the router ended the connection, or the server did. What was in hand there has no answer.
func (k *conn) gone() {
	read := k.s.fleet.Log.Now() // others may hold the server for long, and a router may have gone on since
	k.end()
	s := k.s
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, k)
	now := s.fleet.Log.Now()
	for _, c := range k.slots {
		if c.over || c.text != nil {
			continue // the writer tells of it
		}
		c.over = true
		if c.req != "" {
			s.fleet.Log.AddAt(event.Event{At: read, Kind: event.Ended, Req: c.req, Server: s.UID, Router: k.router, Reply: event.Lost})
		}
		if c.job != nil && s.fleet.Settings.CancelStopsWork && s.machine.Cancel(now, c.job) {
			delete(s.jobs, c.job)
		}
	}
	s.turn()
}

// write writes the answers in order.
func (k *conn) write() {
	defer k.s.wg.Done()
	for {
		select {
		case <-k.ended:
			k.handed.Lock()
			k.silent = true
			k.handed.Unlock()
			for {
				select {
				case c := <-k.out:
					k.tell(c, k.s.fleet.Log.Now(), event.Lost)
				default:
					return
				}
			}
		case c := <-k.out:
			at := k.s.fleet.Log.Now()
			text := c.text
			if c.cut >= 0 {
				text = text[:min(c.cut, len(text))]
			}
			_ = k.c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // an error shows in Write
			_, err := k.c.Write(text)
			reply := c.reply
			if err != nil || c.cut >= 0 {
				reply = event.Lost
			}
			k.tell(c, at, reply)
			if err != nil || c.cut >= 0 {
				k.reset()
			}
		}
	}
}

// tell notes the end of an attempt as of the time when its answer began to leave: the router may act on it at once.
func (k *conn) tell(c *command, at event.Micros, reply event.Reply) {
	if c.req == "" {
		return
	}
	k.s.fleet.Log.AddAt(event.Event{At: at, Kind: event.Ended, Req: c.req, Server: k.s.UID, Router: k.router, Reply: reply})
}

// put gives a command its answer; what is in order goes out. The server's lock is held.
func (k *conn) put(c *command, text []byte, reply event.Reply) {
	if c.over || c.text != nil {
		return
	}
	c.text, c.reply = text, reply
	for len(k.slots) > 0 && k.slots[0].text != nil {
		first := k.slots[0]
		k.slots = k.slots[1:]
		if !k.hand(first) {
			k.tell(first, k.s.fleet.Log.Now(), event.Lost)
		}
	}
}

// hand gives an answer to the writer, unless it has gone: each end of an attempt is told once.
func (k *conn) hand(c *command) bool {
	k.handed.Lock()
	defer k.handed.Unlock()
	if k.silent {
		return false
	}
	select {
	case k.out <- c:
		return true
	default: // the router takes no answers
		return false
	}
}

// parse reads the words of a CACHE command.
func parse(words [][]byte) (c *command, ok bool) {
	verb := string(bytes.ToUpper(words[0]))
	if verb == "CACHE.GET" && len(words) != 4 || verb == "CACHE.SET" && len(words) != 5 {
		return nil, false
	}
	props := ParseProps(string(words[3]))
	c = &command{key: string(words[1]), req: event.Req(words[2]), method: props.Method, size: props.Size,
		write: verb == "CACHE.SET", sent: props.DeadlineSent, cut: -1}
	return c, c.key != "" && c.req != "" && c.method != "" && c.sent > 0 && !props.BadDeadline
}
