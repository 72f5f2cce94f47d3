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

	duplicates *duplicates
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, router: l.router, log: l.log, duplicates: l.duplicates}, nil
}

// conn is a connection of a router that records when the first byte of each request arrived. net/http does not provide it,
// since its handlers start after the headers. As in the protocol, requests are not pipelined.
type conn struct {
	net.Conn
	router     event.Router
	log        *event.Log
	duplicates *duplicates
	response   []byte       // to the current request, while duplicates are written; used by net/http's goroutine of the connection
	firstByte  atomic.Int64 // arrival of the current request's first byte, in microseconds of the log plus 1; 0: none yet
}

// Read reads from the connection and records the arrival of a first byte.
func (c *conn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	if n > 0 {
		c.firstByte.CompareAndSwap(0, int64(c.log.Now())+1)
	}
	return n, err
}

// finishRequest returns when the first byte of the current request arrived. Call it when the request is complete: bytes
// that arrive later belong to the next one.
func (c *conn) finishRequest() event.Micros {
	first := c.firstByte.Swap(0)
	if first == 0 { // it was read together with the previous request
		return c.log.Now()
	}
	return event.Micros(first - 1)
}
