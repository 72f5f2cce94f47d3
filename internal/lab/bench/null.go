package bench

import (
	"net"
	"sync"
	"sync/atomic"

	"spurtrestle/internal/resp"
)

// StubServer answers each command immediately with the same reply. It stands in for a router or cache server without cost.
type StubServer struct {
	listener net.Listener
	reply    []byte
	conns    sync.Map
	wg       sync.WaitGroup
	Accepted atomic.Int64 // number of accepted connections
}

// RouterReply returns the reply of a router with a value of size bytes.
func RouterReply(size int) []byte { return resp.AppendBulk(nil, make([]byte, size)) }

// CacheServerReply returns the reply of a cache server with a value of size bytes.
func CacheServerReply(size int) []byte {
	return append(resp.AppendBulk([]byte("*3\r\n"), make([]byte, size)), "$-1\r\n$-1\r\n"...)
}

// NewStubServer starts a stub server on an address. Call Close to end it.
func NewStubServer(addr string, text []byte) (*StubServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	n := &StubServer{listener: ln, reply: text}
	n.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.Accepted.Add(1)
			n.conns.Store(c, true)
			n.wg.Go(func() { n.serve(c) })
		}
	})
	return n, nil
}

// Addr returns the address that it listens on.
func (n *StubServer) Addr() string { return n.listener.Addr().String() }

// Close closes the listener and all connections, and waits for their goroutines.
func (n *StubServer) Close() {
	n.listener.Close()
	n.conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
	n.wg.Wait()
}

func (n *StubServer) serve(c net.Conn) {
	defer n.conns.Delete(c)
	defer c.Close()
	buf := make([]byte, 64<<10)
	have := 0
	var words [][]byte
	var out []byte
	for {
		got, err := c.Read(buf[have:])
		if err != nil {
			return
		}
		have += got
		used := 0
		out = out[:0]
		for {
			var size int
			if words, size, err = resp.ReadCommand(buf[used:have], words, bounds); err != nil {
				return
			}
			if size == 0 {
				break
			}
			used += size
			out = append(out, n.reply...)
		}
		copy(buf, buf[used:have])
		if have -= used; len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return
			}
		}
	}
}
