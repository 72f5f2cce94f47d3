package platform

import (
	"errors"
	"fmt"
	"net"
	"time"

	"spurtrestle/internal/resp"
)

// Client is one connection of a client.
type Client struct {
	// Conn is the connection.
	Conn net.Conn
	// Name stands in the record.
	Name string

	// ReadBytes and ReadPause are how much is read at a time, and for how long the client rests in between; 0: the client reads
	// as fast as it can.
	ReadBytes int
	ReadPause time.Duration

	run    *Run
	unread []byte
}

// Connect opens a connection to a router.
func (r *Run) Connect(name, addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	r.atEnd(func() { _ = conn.Close() })
	return &Client{Conn: conn, Name: name, run: r}, nil
}

// Get returns the command of a read.
func Get(key, id, method string, deadline time.Duration) []byte {
	return resp.AppendCommand(nil, []byte("CACHE.GET"), []byte(key), []byte(id), props(method, deadline))
}

// Set returns the command of a write.
func Set(key, id, method string, deadline time.Duration, value []byte) []byte {
	return resp.AppendCommand(nil, []byte("CACHE.SET"), []byte(key), []byte(id), props(method, deadline), value)
}

func props(method string, deadline time.Duration) []byte {
	return fmt.Appendf(nil, "c=%s,t=northern-grain,d=%d", method, deadline.Milliseconds())
}

// Send writes bytes to the router.
func (c *Client) Send(text []byte) error {
	_, err := c.Conn.Write(text)
	return err
}

// errNoAnswer means that the wait for an answer is over.
var errNoAnswer = errors.New("no answer in time")

// Receive waits for the next answer.
func (c *Client) Receive(most time.Duration) (resp.Reply, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(most)) // an error shows in Read
	size := readBytes
	if c.ReadBytes > 0 {
		size = c.ReadBytes
	}
	chunk := make([]byte, size)
	for {
		reply, used, err := resp.ReadReply(c.unread, bounds)
		if err != nil {
			return reply, err
		}
		if used > 0 {
			reply.Text = append([]byte(nil), reply.Text...)
			c.unread = c.unread[used:]
			return reply, nil
		}
		time.Sleep(c.ReadPause)
		n, err := c.Conn.Read(chunk)
		c.unread = append(c.unread, chunk[:n]...)
		var netErr net.Error
		switch {
		case n > 0:
		case errors.As(err, &netErr) && netErr.Timeout():
			return reply, errNoAnswer
		case err != nil:
			return reply, err
		}
	}
}

// IsNoAnswer reports whether the error of Receive means that the wait was over, with the connection still open.
func IsNoAnswer(err error) bool { return errors.Is(err, errNoAnswer) }

// AwaitPong waits until a router answers PING with PONG.
func (r *Run) AwaitPong(addr string, most time.Duration) error {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		c, err := r.Connect("front", addr)
		if err != nil {
			continue
		}
		err = c.Send([]byte("*1\r\n$4\r\nPING\r\n"))
		reply, receiveErr := c.Receive(time.Second)
		_ = c.Conn.Close() // the front asks on a connection of its own
		if err == nil && receiveErr == nil && reply.Kind == '+' && string(reply.Text) == "PONG" {
			r.Note("front", "PONG from %s", addr)
			return nil
		}
	}
	return errors.New("the router did not answer PING with PONG in time")
}
