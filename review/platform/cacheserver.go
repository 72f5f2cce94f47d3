package platform

import (
	"bytes"
	"net"
	"sync"
	"time"

	"spurtrestle/internal/resp"
)

// bounds of what the stand-ins read.
var bounds = resp.Bounds{Bulk: 8 << 20, Streamed: 8 << 20, Line: 16 << 10, Args: 16}

// readBytes is read from a socket at a time.
const readBytes = 64 << 10

// Attempt is a command that a cache server, or the origin, has received in full.
type Attempt struct {
	Server  string
	ID      string
	Write   bool
	FirstAt time.Time // when its first byte came
	LastAt  time.Time
}

// CacheServer is a cache server that has every key.
type CacheServer struct {
	// Name is its id in discovery.
	Name string
	// Addr is its address.
	Addr string

	run      *Run
	work     time.Duration // for each read
	bytes    int           // of each value, at least
	mu       sync.Mutex
	attempts []Attempt
}

// StartCacheServer starts a cache server that takes some time for each read, and whose values have a size.
func (r *Run) StartCacheServer(name string, work time.Duration, valueBytes int) (*CacheServer, error) {
	s := &CacheServer{Name: name, run: r, work: work, bytes: valueBytes}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Addr = ln.Addr().String()
	r.atEnd(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Target returns the server's entry in discovery's list.
func (s *CacheServer) Target() Target {
	return Target{UID: s.Name, Endpoint: s.Addr, Zone: "hobart", Kind: "std-3core", Cell: 1, State: "active", Weight: 1}
}

// Attempts returns what the server has received so far.
func (s *CacheServer) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Attempt(nil), s.attempts...)
}

// serve answers the commands of one connection in order.
func (s *CacheServer) serve(conn net.Conn) {
	defer conn.Close()
	var unread []byte
	var firstAt time.Time
	chunk := make([]byte, readBytes)
	for {
		n, err := conn.Read(chunk)
		if n > 0 && len(unread) == 0 {
			firstAt = time.Now()
		}
		unread = append(unread, chunk[:n]...)
		for len(unread) > 0 {
			words, used, parseErr := resp.ReadCommand(unread, nil, bounds)
			if parseErr != nil {
				return
			}
			if used == 0 {
				break
			}
			if _, err := conn.Write(s.answer(words, firstAt)); err != nil {
				return
			}
			unread, firstAt = unread[used:], time.Now()
		}
		if err != nil {
			return
		}
	}
}

// answer returns the answer to one command, once its work is done.
func (s *CacheServer) answer(words [][]byte, firstAt time.Time) []byte {
	switch verb := string(bytes.ToUpper(words[0])); {
	case verb == "CACHE.GET" && len(words) == 4:
	case verb == "PING":
		return []byte("+PONG\r\n")
	case verb == "CLIENT" || verb == "SELECT":
		return []byte("+OK\r\n")
	default:
		return []byte("-ERR unknown command\r\n")
	}
	a := Attempt{Server: s.Name, ID: string(words[2]), FirstAt: firstAt, LastAt: time.Now()}
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	s.run.Note(s.Name, "got CACHE.GET %s %s %s", words[1], a.ID, words[3])
	time.Sleep(s.work)
	text := resp.AppendBulk([]byte("*3\r\n"), ValueOf(a.ID, s.bytes))
	text = resp.AppendBulk(text, []byte("hit"))
	return resp.AppendBulk(text, []byte("avg_ms=5,err_rps=0,waiting=0,x0=1"))
}

// ValueOf returns the value that is made for a request. It has a number of bytes, but no less than it needs to name the request.
func ValueOf(id string, size int) []byte {
	value := []byte("value for " + id + " ")
	return append(value, bytes.Repeat([]byte{'v'}, max(0, size-len(value)))...)
}

// IsValueFor reports whether a value was made for a request.
func IsValueFor(id string, value []byte) bool { return bytes.HasPrefix(value, ValueOf(id, 0)) }
