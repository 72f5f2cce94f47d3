package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Command is a command that a cache server has read whole.
type Command struct {
	Words []string
	conn  *cacheConn
}

// ID returns the request's id.
func (c Command) ID() string { return c.Words[2] }

// Key returns the request's key.
func (c Command) Key() string { return c.Words[1] }

// Serve answers a command with a value.
func (c Command) Serve(value string) { c.ServeBytes([]byte(value)) }

// ServeBytes answers a command with a value, which it doesn't copy.
func (c Command) ServeBytes(value []byte) {
	c.conn.write(fmt.Appendf(nil, "*3\r\n$%d\r\n", len(value)), value, []byte("\r\n$3\r\nhit\r\n$-1\r\n"))
}

type cacheConn struct {
	mu   sync.Mutex
	conn net.Conn
}

func (c *cacheConn) write(parts ...[]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := net.Buffers(parts)
	_, _ = text.WriteTo(c.conn) // the router may have closed it
}

// StartCache starts a cache server and returns its address. handle is called for each command, in a goroutine of its connection.
func (c *Case) StartCache(handle func(Command)) string {
	ln := c.Listen()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.AtEnd(func() { _ = conn.Close() })
			go serveCache(&cacheConn{conn: conn}, handle)
		}
	}()
	return ln.Addr().String()
}

func serveCache(conn *cacheConn, handle func(Command)) {
	defer conn.conn.Close()
	in := bufio.NewReaderSize(conn.conn, 64<<10)
	for {
		words, err := readArray(in)
		if err != nil || len(words) == 0 {
			return
		}
		switch strings.ToUpper(words[0]) {
		case "CACHE.GET", "CACHE.SET":
			handle(Command{Words: words, conn: conn})
		case "PING":
			conn.write([]byte("+PONG\r\n"))
		default:
			conn.write([]byte("-ERR unknown\r\n"))
		}
	}
}

// OriginRequest is a request that the origin has read whole.
type OriginRequest struct {
	Method, Key, ID string
	Size            int // bytes of its body
}

// StartOrigin starts an origin and returns its address. handle is called when a request has come whole.
func (c *Case) StartOrigin(handle func(http.ResponseWriter, OriginRequest)) string {
	ln := c.Listen()
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		handle(w, OriginRequest{Method: r.Method, Key: strings.TrimPrefix(r.URL.Path, "/"), ID: r.Header.Get("X-Trace-Id"), Size: int(n)})
	})}
	go func() { _ = server.Serve(ln) }() // ends with Close
	c.AtEnd(func() { _ = server.Close() })
	return ln.Addr().String()
}

var errForm = errors.New("not of RESP2's form")

// readArray reads a command, an array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, errForm
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// Client is one connection of a client.
type Client struct {
	net.Conn
	in *bufio.Reader
}

// Dial opens a client's connection to a router.
func (c *Case) Dial(r *Router) *Client {
	conn, err := net.Dial("tcp", r.Listen)
	if err != nil {
		c.Fatal("a client can't connect: %v", err)
	}
	c.AtEnd(func() { _ = conn.Close() })
	return &Client{Conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
}

// Get returns the text of a read.
func Get(key, id, class string, deadline time.Duration) string {
	return words("CACHE.GET", key, id, fmt.Sprintf("c=%s,d=%d", class, deadline.Milliseconds()))
}

// Set returns the text of a write.
func Set(key, id, class string, deadline time.Duration, value string) string {
	return words("CACHE.SET", key, id, fmt.Sprintf("c=%s,d=%d", class, deadline.Milliseconds()), value)
}

func words(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// Answer reads one answer: a value, or the line of a refusal or an error. An error means that the connection ended before it.
func (c *Client) Answer() (value, line string, err error) {
	line, err = c.in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimSpace(line)
	if line == "" || line[0] != '$' {
		return "", line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return "", line, err
	}
	text := make([]byte, size+2)
	if _, err := io.ReadFull(c.in, text); err != nil {
		return "", "", err
	}
	return string(text[:size]), line, nil
}

// SlowAnswer reads one answer at so many bytes a second and returns the size of its value.
func (c *Client) SlowAnswer(perSecond int) (size int, err error) {
	size, err = readLength(c.in, '$')
	if err != nil {
		return 0, err
	}
	const steps = 50 // a second
	for left := size + 2; left > 0; time.Sleep(time.Second / steps) {
		n, err := io.CopyN(io.Discard, c.in, int64(min(left, max(1, perSecond/steps))))
		if left -= int(n); err != nil {
			return 0, err
		}
	}
	return size, nil
}

// Ended waits until an answer begins or the connection ends, and reports whether it has ended.
func (c *Client) Ended() bool {
	_, err := c.in.Peek(1)
	return err != nil
}
