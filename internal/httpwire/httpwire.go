// Package httpwire reads answers and writes requests of HTTP/1.1. The reader takes what has come so far and tells how
// much of it it used: none while an answer is not whole. It does no I/O and keeps nothing.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds is how much one answer may hold.
type Bounds struct {
	Head     int // bytes of its head, and of what stands around chunks
	Body     int // bytes that are held whole
	Streamed int // bytes of a body that is passed on in pieces
}

// ErrProtocol is an answer that is broken or over the bounds.
var ErrProtocol = errors.New("broken or oversize answer")

// Response is one answer. Body and Head point into the input, but for a chunked body, which is copied together.
type Response struct {
	Status int
	Head   []byte // the header lines
	Body   []byte
	Close  bool // the connection carries nothing more
}

// Get returns the value of the first header of this name, nil where there is none.
func (r Response) Get(name string) []byte {
	for head := r.Head; len(head) > 0; {
		var l []byte
		l, head, _ = bytes.Cut(head, []byte("\n"))
		k, v, ok := bytes.Cut(l, []byte(":"))
		if ok && len(k) == len(name) && bytes.EqualFold(k, []byte(name)) {
			return bytes.TrimSpace(v)
		}
	}
	return nil
}

// has tells whether a comma-separated header holds the word.
func (r Response) has(name, word string) bool {
	for part := range bytes.SplitSeq(r.Get(name), []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(part), []byte(word)) {
			return true
		}
	}
	return false
}

// Read reads one answer; ended tells that the connection brings nothing more. It returns the bytes used, 0 while the
// answer is not whole. Interim answers (1xx) are passed over.
func ReadResponse(buf []byte, ended bool, b Bounds) (Response, int, error) {
	skipped := 0
	for {
		r, used, err := read(buf[skipped:], ended, b)
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

// Long reads the head of an answer whose length is told and over the bound for such as are held whole: where its body
// begins, and its size. The place is 0 where it is no such answer.
func ReadLargeHead(buf []byte, b Bounds) (r Response, at, size int) {
	r, end, err := readHead(buf, b)
	for err == nil && end > 0 && r.Status < 200 && end <= b.Head { // interim answers are passed over
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

func read(buf []byte, ended bool, b Bounds) (r Response, used int, err error) {
	r, end, err := readHead(buf, b)
	if err != nil || end == 0 {
		return r, 0, err
	}
	if r.Status < 200 || r.Status == 204 || r.Status == 304 {
		return r, end, nil
	}
	return readBody(r, buf, end, ended, b)
}

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
	if !wellFormed(head) {
		return r, 0, ErrProtocol
	}
	r.Head = head
	r.Close = r.has("Connection", "close") || first[7] == '0' && !r.has("Connection", "keep-alive")
	return r, end, nil
}

func readBody(r Response, buf []byte, end int, ended bool, b Bounds) (_ Response, used int, err error) {
	if coding := r.Get("Transfer-Encoding"); coding != nil {
		if !bytes.EqualFold(coding, []byte("chunked")) || r.Get("Content-Length") != nil {
			return r, 0, ErrProtocol
		}
		var n int
		r.Body, n, err = chunks(buf[end:], b)
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
	if !ended { // a body without a length lasts until the connection ends
		return r, 0, nil
	}
	r.Body, r.Close = buf[end:], true
	return r, len(buf), nil
}

// wellFormed tells whether each header line has a name, and whether all that tell a length tell the same one. An answer
// of which a part can't be read, or whose end is in doubt, is not passed on.
func wellFormed(head []byte) bool {
	var length []byte
	for l := range bytes.Lines(head) {
		l = bytes.TrimRight(l, "\r\n")
		name, value, ok := bytes.Cut(l, []byte(":"))
		if value = bytes.TrimSpace(value); len(l) == 0 {
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

// headEnd is where the body begins, 0 while the head is not whole.
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

// chunks copies a chunked body together.
func chunks(buf []byte, b Bounds) (body []byte, used int, err error) {
	body = []byte{}
	around := 0 // bytes of sizes and trailers
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
		if around += i; err != nil || len(body)+int(n) > b.Body || around > b.Head {
			return nil, 0, ErrProtocol
		}
		at += i + 1
		if n == 0 { // trailers, until an empty line
			for {
				i := bytes.IndexByte(buf[at:], '\n')
				if i < 0 {
					return nil, 0, nil
				}
				if around += i; around > b.Head {
					return nil, 0, ErrProtocol
				}
				empty := len(bytes.TrimSpace(buf[at:at+i])) == 0
				if at += i + 1; empty {
					return body, at, nil
				}
			}
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

// Header is one header of a request.
type Header struct {
	Name  string
	Value []byte
}

// AppendRequest adds a request; body nil means one without a body. The path must be escaped.
func AppendRequest(to []byte, method, path, host string, headers []Header, body []byte) []byte {
	put := func(parts ...string) {
		for _, p := range parts {
			to = append(to, p...)
		}
	}
	put(method, " ", path, " HTTP/1.1\r\nHost: ", host, "\r\n")
	for _, h := range headers {
		put(h.Name, ": ")
		for _, c := range h.Value { // no value may begin a header of its own
			if c >= ' ' || c == '\t' {
				to = append(to, c)
			}
		}
		put("\r\n")
	}
	if body != nil {
		put("Content-Length: ", strconv.Itoa(len(body)), "\r\n")
	}
	put("\r\n")
	return append(to, body...)
}
