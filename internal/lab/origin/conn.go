package origin

import (
	"net"
	"sync/atomic"

	"spurtrestle/internal/lab/event"
)

// listener accepts the connections of one router.
type listener struct {
	net.Listener
	router event.Router
	log    *event.Log
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, router: l.router, log: l.log}, nil
}

// conn is a connection of a router that notes when each request's first byte came, which net/http does not tell: its
// handlers begin behind the headers. It takes one request at a time, as the protocol has it.
type conn struct {
	net.Conn
	router    event.Router
	log       *event.Log
	firstByte atomic.Int64 // when the first byte of the request at hand came, in microseconds of the log, plus 1; 0: none has
}

// Read reads what has come.
func (c *conn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	if n > 0 {
		c.firstByte.CompareAndSwap(0, int64(c.log.Now())+1)
	}
	return n, err
}

// nextRequest returns when the first byte of the request at hand came. Call it once the request is whole: what comes
// from then on belongs to the next one.
func (c *conn) finishRequest() event.Micros {
	first := c.firstByte.Swap(0)
	if first == 0 { // it came together with the request before it
		return c.log.Now()
	}
	return event.Micros(first - 1)
}
