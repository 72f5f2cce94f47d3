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
	conn         *conn
	req          event.Req
	method       string
	key          string
	size         int
	write        bool
	deadlineSent event.Micros // the deadline sent
	miss         bool
	probe        bool
	probeReply   []byte // its answer, where that is no load report
	job          *machine.Job
	startedAt    event.Micros
	ended        bool
	replyText    []byte // the answer, once there is one
	reply        event.Reply
	truncateAt   int // write only so many bytes of the answer, then reset; -1: all
}

// conn is one connection of a router.
type conn struct {
	server           *Server
	netConn          net.Conn
	router           event.Router
	overLimit        bool // over the limit: all is turned away
	handshakeCharged bool
	pending          []*command // in order, until their answers are written
	replies          chan *command
	closed           chan struct{}
	closeOnce        sync.Once
	enqueueMu        sync.Mutex
	muted            bool // nobody writes any more
}

func newConn(s *Server, netConn net.Conn, r event.Router, full bool) *conn {
	return &conn{server: s, netConn: netConn, router: r, overLimit: full, replies: make(chan *command, 1024), closed: make(chan struct{})}
}

func (c *conn) close() { c.closeOnce.Do(func() { close(c.closed); c.netConn.Close() }) }

// reset closes with RST, as a process that dies does.
func (c *conn) reset() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails where the peer has ended it already
	}
	c.close()
}

// hush: nothing that is answered from now on reaches the router.
func (c *conn) mute() {
	c.enqueueMu.Lock()
	defer c.enqueueMu.Unlock()
	c.muted = true
}

// read takes commands until the connection ends.
func (c *conn) read() {
	defer c.server.wg.Done()
	defer c.handleClose()
	var unread []byte
	var words [][]byte
	buf := make([]byte, 64<<10)
	firstByteAt := event.Micros(-1)
	for {
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.server.config.Service.IdleClose.Micros().Duration())) // an error shows in Read
		n, err := c.netConn.Read(buf)
		if n > 0 {
			now := c.server.config.Log.Now()
			if firstByteAt < 0 {
				firstByteAt = now
			}
			unread = append(unread, buf[:n]...)
			used := 0
			for {
				var size int
				var parseErr error
				words, size, parseErr = resp.Command(unread[used:], words, bounds)
				if parseErr != nil {
					c.recordViolation("what cannot be read")
					return
				}
				if size == 0 {
					break
				}
				c.server.handleCommand(c, words, firstByteAt, now)
				firstByteAt = now
				used += size
			}
			if unread = append(unread[:0], unread[used:]...); len(unread) == 0 {
				firstByteAt = -1
			}
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && c.hasPending() {
			continue
		}
		if err != nil {
			return
		}
	}
}

func (c *conn) hasPending() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return len(c.pending) > 0
}

func (c *conn) recordViolation(note string) {
	c.server.config.Log.Add(event.Event{Kind: event.Odd, Server: c.server.UID, Router: c.router, Note: note})
}

// gone: the router ended the connection, or the server did. What was in hand there has no answer.
func (c *conn) handleClose() {
	closedAt := c.server.config.Log.Now() // others may hold the server for long, and a router may have gone on since
	c.close()
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	now := s.config.Log.Now()
	for _, cmd := range c.pending {
		if cmd.ended || cmd.replyText != nil {
			continue // the writer tells of it
		}
		cmd.ended = true
		if cmd.req != "" {
			s.config.Log.AddAt(event.Event{At: closedAt, Kind: event.Ended, Req: cmd.req, Server: s.UID, Router: c.router, Reply: event.Lost})
		}
		if cmd.job != nil && s.config.Settings.CancelStopsWork && s.machine.Cancel(now, cmd.job) {
			delete(s.jobs, cmd.job)
		}
	}
	s.advance()
}

// write writes the answers in order.
func (c *conn) write() {
	defer c.server.wg.Done()
	for {
		select {
		case <-c.closed:
			c.enqueueMu.Lock()
			c.muted = true
			c.enqueueMu.Unlock()
			for {
				select {
				case cmd := <-c.replies:
					c.recordEnd(cmd, c.server.config.Log.Now(), event.Lost)
				default:
					return
				}
			}
		case cmd := <-c.replies:
			at := c.server.config.Log.Now()
			text := cmd.replyText
			if cmd.truncateAt >= 0 {
				text = text[:min(cmd.truncateAt, len(text))]
			}
			_ = c.netConn.SetWriteDeadline(time.Now().Add(5 * time.Second)) // an error shows in Write
			_, err := c.netConn.Write(text)
			reply := cmd.reply
			if err != nil || cmd.truncateAt >= 0 {
				reply = event.Lost
			}
			c.recordEnd(cmd, at, reply)
			if err != nil || cmd.truncateAt >= 0 {
				c.reset()
			}
		}
	}
}

// tell notes the end of an attempt as of the time when its answer began to leave: the router may act on it at once.
func (c *conn) recordEnd(cmd *command, at event.Micros, reply event.Reply) {
	if cmd.req == "" {
		return
	}
	c.server.config.Log.AddAt(event.Event{At: at, Kind: event.Ended, Req: cmd.req, Server: c.server.UID, Router: c.router, Reply: reply})
}

// put gives a command its answer; what is in order goes out. The server's lock is held.
func (c *conn) setReply(cmd *command, text []byte, reply event.Reply) {
	if cmd.ended || cmd.replyText != nil {
		return
	}
	cmd.replyText, cmd.reply = text, reply
	for len(c.pending) > 0 && c.pending[0].replyText != nil {
		first := c.pending[0]
		c.pending = c.pending[1:]
		if !c.enqueue(first) {
			c.recordEnd(first, c.server.config.Log.Now(), event.Lost)
		}
	}
}

// hand gives an answer to the writer, unless it has gone: each end of an attempt is told once.
func (c *conn) enqueue(cmd *command) bool {
	c.enqueueMu.Lock()
	defer c.enqueueMu.Unlock()
	if c.muted {
		return false
	}
	select {
	case c.replies <- cmd:
		return true
	default: // the router takes no answers
		return false
	}
}

// parse reads the words of a CACHE command.
func parseCommand(words [][]byte) (cmd *command, ok bool) {
	verb := string(bytes.ToUpper(words[0]))
	if verb == "CACHE.GET" && len(words) != 4 || verb == "CACHE.SET" && len(words) != 5 {
		return nil, false
	}
	props := ParseProps(string(words[3]))
	cmd = &command{key: string(words[1]), req: event.Req(words[2]), method: props.Method, size: props.Size,
		write: verb == "CACHE.SET", deadlineSent: props.DeadlineSent, truncateAt: -1}
	return cmd, cmd.key != "" && cmd.req != "" && cmd.method != "" && cmd.deadlineSent > 0 && !props.BadDeadline
}
