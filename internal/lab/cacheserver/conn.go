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

// bounds are wider than those of routers, so that oversized commands of a router are read and recorded.
var bounds = resp.Bounds{Bulk: 1 << 20, Line: 1 << 14, Args: 64}

// command is one attempt or other command that has been read completely.
type command struct {
	conn           *conn
	req            event.RequestID
	method         string
	key            string
	size           int
	write          bool
	deadlineSent   event.Micros // time allowed by the attempt's properties
	miss           bool
	probe          bool
	probeReply     []byte // reply of a probe; nil: the load report
	job            *machine.Job
	startedAt      event.Micros
	ended          bool
	replyText      []byte // encoded reply; nil while there is none
	reply          event.Reply
	isDuplicated   bool // the reply is written again after duplicateDelay
	duplicateDelay time.Duration
	truncateAt     int // write only this many bytes of the reply, then reset; -1: write all
}

// conn is one connection of a router. read and write each run on a goroutine of their own; pending is guarded by the
// server's mutex.
type conn struct {
	server           *Server
	netConn          net.Conn
	router           event.Router
	overLimit        bool // the server is at its connection limit: all requests are rejected
	handshakeCharged bool
	pending          []*command // in order of arrival, until their replies are queued
	replies          chan *command
	closed           chan struct{}
	closeOnce        sync.Once
	enqueueMu        sync.Mutex
	muted            bool // replies are no longer written; guarded by enqueueMu
}

func newConn(s *Server, netConn net.Conn, r event.Router, full bool) *conn {
	return &conn{server: s, netConn: netConn, router: r, overLimit: full, replies: make(chan *command, 1024), closed: make(chan struct{})}
}

// close closes the connection and stops its writer.
func (c *conn) close() { c.closeOnce.Do(func() { close(c.closed); c.netConn.Close() }) }

// reset closes the connection with RST, as the kernel does for a process that is killed.
func (c *conn) reset() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the peer has closed it already
	}
	c.close()
}

// mute suppresses all further replies.
func (c *conn) mute() {
	c.enqueueMu.Lock()
	defer c.enqueueMu.Unlock()
	c.muted = true
}

// read handles commands until the connection ends.
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
			var used int
			var parseErr error
			if words, used, parseErr = c.handleCommands(unread, words, firstByteAt, now); parseErr != nil {
				c.recordViolation("malformed command")
				return
			}
			if used > 0 {
				firstByteAt = now
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

// handleCommands handles the complete commands at the beginning of unread. It returns words for reuse and how many bytes
// the commands took.
func (c *conn) handleCommands(unread []byte, words [][]byte, firstByteAt, now event.Micros) (_ [][]byte, used int, err error) {
	for {
		var size int
		words, size, err = resp.ReadCommand(unread[used:], words, bounds)
		if err != nil {
			return words, used, err
		}
		if size == 0 {
			return words, used, nil
		}
		c.server.handleCommand(c, words, firstByteAt, now)
		firstByteAt = now
		used += size
	}
}

func (c *conn) hasPending() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return len(c.pending) > 0
}

func (c *conn) recordViolation(note string) {
	c.server.config.Log.Add(event.Event{Kind: event.ProtocolViolation, Server: c.server.UID, Router: c.router, Note: note})
}

// handleClose records the pending attempts of a closed connection as lost and cancels their work.
func (c *conn) handleClose() {
	closedAt := c.server.config.Log.Now() // taken before waiting for the server's mutex, which may be held for long while the router goes on
	c.close()
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	now := s.config.Log.Now()
	for _, cmd := range c.pending {
		if cmd.ended || cmd.replyText != nil {
			continue // recorded by the writer
		}
		cmd.ended = true
		if cmd.req != "" {
			s.config.Log.AddAt(event.Event{At: closedAt, Kind: event.AttemptEnded, Request: cmd.req, Server: s.UID, Router: c.router, Reply: event.ConnectionLost})
		}
		if cmd.job != nil && s.config.Settings.CancelStopsWork && s.machine.Cancel(now, cmd.job) {
			delete(s.jobs, cmd.job)
		}
	}
	s.advance()
}

// write writes the queued replies until the connection is closed.
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
					c.recordEnd(cmd, c.server.config.Log.Now(), event.ConnectionLost)
				default:
					return
				}
			}
		case cmd := <-c.replies:
			c.writeReply(cmd)
		}
	}
}

// writeReply writes one reply, and resets the connection if the write fails or the reply is to be truncated.
func (c *conn) writeReply(cmd *command) {
	at := c.server.config.Log.Now()
	text := cmd.replyText
	if cmd.truncateAt >= 0 {
		text = text[:min(cmd.truncateAt, len(text))]
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(5 * time.Second)) // an error shows in Write
	_, err := c.netConn.Write(text)
	reply := cmd.reply
	if err != nil || cmd.truncateAt >= 0 {
		reply = event.ConnectionLost
	}
	c.recordEnd(cmd, at, reply)
	if err != nil || cmd.truncateAt >= 0 {
		c.reset()
	} else if cmd.isDuplicated {
		time.AfterFunc(cmd.duplicateDelay, func() { _, _ = c.netConn.Write(text) }) // the connection may have ended
	}
}

// recordEnd records the end of an attempt at the time when the write of its reply began, because the router may react
// before the write returns.
func (c *conn) recordEnd(cmd *command, at event.Micros, reply event.Reply) {
	if cmd.req == "" {
		return
	}
	c.server.config.Log.AddAt(event.Event{At: at, Kind: event.AttemptEnded, Request: cmd.req, Server: c.server.UID, Router: c.router, Reply: reply})
}

// setReply sets the reply of a command and queues all replies that are next in order. The caller holds the server's mutex.
func (c *conn) setReply(cmd *command, text []byte, reply event.Reply) {
	if cmd.ended || cmd.replyText != nil {
		return
	}
	cmd.replyText, cmd.reply = text, reply
	for len(c.pending) > 0 && c.pending[0].replyText != nil {
		first := c.pending[0]
		c.pending = c.pending[1:]
		if !c.enqueue(first) {
			c.recordEnd(first, c.server.config.Log.Now(), event.ConnectionLost)
		}
	}
}

// enqueue passes a reply to the writer. It returns false if the writer has stopped or its queue is full; the caller then
// records the end of the attempt, so that it is recorded exactly once.
func (c *conn) enqueue(cmd *command) bool {
	c.enqueueMu.Lock()
	defer c.enqueueMu.Unlock()
	if c.muted {
		return false
	}
	select {
	case c.replies <- cmd:
		return true
	default: // the router does not read its replies
		return false
	}
}

// parseCommand parses the words of a CACHE command; ok is false if they are malformed.
func parseCommand(words [][]byte) (cmd *command, ok bool) {
	verb := string(bytes.ToUpper(words[0]))
	if verb == "CACHE.GET" && len(words) != 4 || verb == "CACHE.SET" && len(words) != 5 {
		return nil, false
	}
	props := ParseProps(string(words[3]))
	cmd = &command{key: string(words[1]), req: event.RequestID(words[2]), method: props.Method, size: props.Size,
		write: verb == "CACHE.SET", deadlineSent: props.DeadlineSent, truncateAt: -1}
	return cmd, cmd.key != "" && cmd.req != "" && cmd.method != "" && cmd.deadlineSent > 0 && !props.BadDeadline
}
