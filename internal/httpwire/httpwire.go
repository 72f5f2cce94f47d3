// Package httpwire parses responses and formats requests of HTTP/1.1, for the router's connections to the origin and to
// discovery. The parser takes the bytes received so far and returns how many it used: none while a response is incomplete.
// It does no I/O and keeps no state.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds limits the size of one response.
type Bounds struct {
	Head     int // bytes of the head, and of chunk sizes and trailers
	Body     int // bytes of a body that is buffered as a whole
	Streamed int // bytes of a body that is streamed
}

// ErrProtocol means that a response is malformed or exceeds its bounds.
var ErrProtocol = errors.New("malformed or oversized HTTP response")

// Response is a parsed response. Head and Body are slices of the input, except for a chunked body, which is a copy.
type Response struct {
	Status int
	Head   []byte // the header lines
	Body   []byte
	Close  bool // the connection cannot be reused
}

// Get returns the value of the first header of this name, or nil if there is none.
func (r Response) Get(name string) []byte {
	for head := r.Head; len(head) > 0; {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		key, value, ok := bytes.Cut(line, []byte(":"))
		if ok && len(key) == len(name) && bytes.EqualFold(key, []byte(name)) {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}

// hasToken reports whether a comma-separated header contains a token.
func (r Response) hasToken(name, token string) bool {
	for part := range bytes.SplitSeq(r.Get(name), []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(part), []byte(token)) {
			return true
		}
	}
	return false
}

// ReadResponse parses one response. ended means that the connection delivers no more. It returns the number of bytes used, 0
// while the response is incomplete. Interim responses (1xx) are skipped.
func ReadResponse(buf []byte, ended bool, b Bounds) (Response, int, error) {
	skipped := 0
	for {
		r, used, err := readOne(buf[skipped:], ended, b)
		if err != nil || used == 0 {
			return Response{}, 0, err
		}
		if skipped += used; r.Status >= 200 {
			return r, skipped, nil
		}
		if skipped > b.Head {
			return Response{}, 0, ErrProtocol
		}
	}
}

// ReadLargeHead parses the head of a response whose Content-Length exceeds Bounds.Body. It returns the offset at which the
// body begins, and its size. The offset is 0 if buf does not begin with such a head.
func ReadLargeHead(buf []byte, b Bounds) (r Response, at, size int) {
	r, end, err := readHead(buf, b)
	for err == nil && end > 0 && r.Status < 200 && end <= b.Head { // skips interim responses
		var more int
		if r, more, err = readHead(buf[end:], b); more == 0 {
			return r, 0, 0
		}
		end += more
	}
	if err != nil || end == 0 || r.Status < 200 || r.Get("Transfer-Encoding") != nil {
		return r, 0, 0
	}
	n, err := strconv.ParseUint(string(r.Get("Content-Length")), 10, 31)
	if err != nil || int(n) <= b.Body || int(n) > b.Streamed {
		return r, 0, 0
	}
	return r, end, int(n)
}

// readOne parses one response, which may be an interim one.
func readOne(buf []byte, ended bool, b Bounds) (r Response, used int, err error) {
	r, end, err := readHead(buf, b)
	if err != nil || end == 0 {
		return r, 0, err
	}
	if r.Status < 200 || r.Status == 204 || r.Status == 304 {
		return r, end, nil
	}
	return readBody(r, buf, end, ended, b)
}

// readHead parses the status line and the headers. used is 0 while they are incomplete.
func readHead(buf []byte, b Bounds) (r Response, used int, err error) {
	end := headEnd(buf)
	if end == 0 {
		if len(buf) > b.Head {
			return r, 0, ErrProtocol
		}
		return r, 0, nil
	}
	if end > b.Head {
		return r, 0, ErrProtocol
	}
	first, head, _ := bytes.Cut(buf[:end], []byte("\n"))
	first = bytes.TrimSuffix(first, []byte("\r"))
	if len(first) < 12 || !bytes.HasPrefix(first, []byte("HTTP/1.")) || first[8] != ' ' ||
		len(first) > 12 && first[12] != ' ' {
		return r, 0, ErrProtocol
	}
	r.Status, err = strconv.Atoi(string(first[9:12]))
	if err != nil || r.Status < 100 {
		return r, 0, ErrProtocol
	}
	if !validHeaders(head) {
		return r, 0, ErrProtocol
	}
	r.Head = head
	r.Close = r.hasToken("Connection", "close") || first[7] == '0' && !r.hasToken("Connection", "keep-alive")
	return r, end, nil
}

// readBody parses the body that begins at offset end, and completes r. used counts the head, too.
func readBody(r Response, buf []byte, end int, ended bool, b Bounds) (_ Response, used int, err error) {
	if coding := r.Get("Transfer-Encoding"); coding != nil {
		if !bytes.EqualFold(coding, []byte("chunked")) || r.Get("Content-Length") != nil {
			return r, 0, ErrProtocol
		}
		var n int
		r.Body, n, err = readChunked(buf[end:], b)
		if err != nil || n == 0 {
			return r, 0, err
		}
		return r, end + n, nil
	}
	if length := r.Get("Content-Length"); length != nil {
		n, err := strconv.ParseUint(string(length), 10, 31)
		if err != nil || int(n) > b.Body {
			return r, 0, ErrProtocol
		}
		if len(buf) < end+int(n) {
			return r, 0, nil
		}
		r.Body = buf[end : end+int(n)]
		return r, end + int(n), nil
	}
	if len(buf)-end > b.Body {
		return r, 0, ErrProtocol
	}
	if !ended { // a body without a length extends to the end of the connection
		return r, 0, nil
	}
	r.Body, r.Close = buf[end:], true
	return r, len(buf), nil
}

// validHeaders reports whether each header line has a name and all Content-Length headers agree. A response with an
// unreadable header or an ambiguous end must not be forwarded.
func validHeaders(head []byte) bool {
	var length []byte
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, ok := bytes.Cut(line, []byte(":"))
		if value = bytes.TrimSpace(value); len(line) == 0 {
			continue
		}
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return false
		}
		if bytes.EqualFold(name, []byte("Content-Length")) {
			if length != nil && !bytes.Equal(length, value) {
				return false
			}
			length = value
		}
	}
	return true
}

// headEnd returns the offset at which the body begins, 0 while the head is incomplete.
func headEnd(buf []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(buf[at:], '\n')
		if i < 0 {
			return 0
		}
		if i == 0 && at > 0 || i == 1 && buf[at] == '\r' && at > 0 {
			return at + i + 1
		}
		at += i + 1
	}
}

// readChunked decodes a chunked body into a copy. used is 0 while the body is incomplete.
func readChunked(buf []byte, b Bounds) (body []byte, used int, err error) {
	body = []byte{}
	overhead := 0 // bytes of chunk sizes and trailers
	for at := 0; ; {
		i := bytes.IndexByte(buf[at:], '\n')
		if i < 0 {
			if len(buf)-at > b.Head {
				err = ErrProtocol
			}
			return nil, 0, err
		}
		text, _, _ := bytes.Cut(bytes.TrimSpace(buf[at:at+i]), []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 16, 31)
		if overhead += i; err != nil || len(body)+int(n) > b.Body || overhead > b.Head {
			return nil, 0, ErrProtocol
		}
		at += i + 1
		if n == 0 {
			used, err := readTrailers(buf, at, overhead, b)
			if err != nil || used == 0 {
				return nil, 0, err
			}
			return body, used, nil
		}
		end := at + int(n)
		if len(buf) < end+2 {
			return nil, 0, nil
		}
		if buf[end] != '\r' || buf[end+1] != '\n' {
			return nil, 0, ErrProtocol
		}
		body, at = append(body, buf[at:end]...), end+2
	}
}

// readTrailers parses the trailers of a chunked body, which begin at offset at and end with an empty line. overhead counts
// the bytes of chunk sizes before them. used is the offset behind the empty line, 0 while that is missing.
func readTrailers(buf []byte, at, overhead int, b Bounds) (used int, err error) {
	for {
		i := bytes.IndexByte(buf[at:], '\n')
		if i < 0 {
			return 0, nil
		}
		if overhead += i; overhead > b.Head {
			return 0, ErrProtocol
		}
		empty := len(bytes.TrimSpace(buf[at:at+i])) == 0
		if at += i + 1; empty {
			return at, nil
		}
	}
}

// Header is a header of a request.
type Header struct {
	Name  string
	Value []byte
}

// AppendRequest appends a request. A nil body means none. The path must be escaped already.
func AppendRequest(to []byte, method, path, host string, headers []Header, body []byte) []byte {
	add := func(parts ...string) {
		for _, part := range parts {
			to = append(to, part...)
		}
	}
	add(method, " ", path, " HTTP/1.1\r\nHost: ", host, "\r\n")
	for _, h := range headers {
		add(h.Name, ": ")
		for _, c := range h.Value { // drops line ends, so that a value cannot inject a header
			if c >= ' ' || c == '\t' {
				to = append(to, c)
			}
		}
		add("\r\n")
	}
	if body != nil {
		add("Content-Length: ", strconv.Itoa(len(body)), "\r\n")
	}
	add("\r\n")
	return append(to, body...)
}
