package bench

import (
	"net"
	"sync"
	"sync/atomic"

	"spurtrestle/internal/resp"
)

// Null answers each command at once with the same text. It is a router that costs nothing, or a cache server that does.
type StubServer struct {
	listener net.Listener
	reply    []byte
	conns    sync.Map
	wg       sync.WaitGroup
	Accepted atomic.Int64 // connections accepted
}

// Bulk is the answer of a router, Array that of a cache server, with a value of so many bytes.
func RouterReply(size int) []byte { return resp.AppendBulk(nil, make([]byte, size)) }

// Array is the answer of a cache server with a value of so many bytes.
func CacheServerReply(size int) []byte {
	return append(resp.AppendBulk([]byte("*3\r\n"), make([]byte, size)), "$-1\r\n$-1\r\n"...)
}

// NewNull listens on an address.
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

// Addr is where it listens.
func (n *StubServer) Addr() string { return n.listener.Addr().String() }

// Close ends it.
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
			if words, size, err = resp.Command(buf[used:have], words, bounds); err != nil {
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
