// Package resp2 speaks the platform's form of RESP2: requests of clients and their answers, attempts at cache servers and
// theirs. It does no I/O.
package resp2

import (
	"bytes"
	"errors"
	"strconv"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
)

var (
	get = []byte("CACHE.GET")
	set = []byte("CACHE.SET")
)

// ServerCodec speaks to cache servers.
type ServerCodec struct{ Bounds resp.Bounds }

// Append adds a command: as its client sent it, but for the deadline.
func (ServerCodec) AppendAttempt(to []byte, a wire.Attempt) []byte {
	var id, props [128]byte // what is longer is allocated
	words, n := wordsOf(a, id[:0], props[:0])
	return resp.AppendCommand(to, words[:n]...)
}

// AppendLong adds the head of such a command.
func (ServerCodec) AppendStreamedWrite(to []byte, a wire.Attempt, size int) (head []byte, tail string) {
	words, n := wordsOf(a, nil, nil)
	return resp.AppendStreamedCommand(to, size, words[:n-1]...), "\r\n"
}

func wordsOf(a wire.Attempt, id, props []byte) (words [5][]byte, n int) {
	request := a.Request
	verb, n := get, 4
	if request.Write {
		verb, n = set, 5
	}
	if request.Verb != nil {
		verb = request.Verb
	}
	return [5][]byte{verb, request.Key, append(id, request.ID...), a.AppendProps(props), request.Value}, n
}

var errUnexpected = errors.New("an answer of no known form")

// Read reads a cache server's answer.
func (b ServerCodec) ReadAnswer(buf []byte, _ bool) (o wire.Outcome, used int, keep bool, err error) {
	reply, used, err := resp.ReadReply(buf, b.Bounds)
	if err != nil || used == 0 {
		return o, 0, false, err
	}
	switch {
	case reply.Kind == '*' && len(reply.Items) == 3 && reply.Items[0].Kind == '$':
		o.Report = reply.Items[2].Text
		if o.Status = routing.Miss; !reply.Items[0].Null {
			o.Status, o.Value = routing.OK, reply.Items[0].Text
		}
	case reply.Kind == '-' && isWord(reply.Text, "BUSY"):
		o.Status = routing.QueueFull
	case reply.Kind == '-':
		o.Status, o.Report = routing.Failed, reply.Text[bytes.LastIndexByte(reply.Text, ' ')+1:]
	default:
		return o, 0, false, errUnexpected
	}
	return o, used, true, nil
}

// Long reads the head of an answer with a big value.
func (b ServerCodec) ReadLargeAnswer(buf []byte) (o wire.Outcome, at, size int, ok bool) {
	at, size, ok = resp.ReadLargeReply(buf, b.Bounds)
	return wire.Outcome{Status: routing.OK}, at, size, ok
}

// Behind reads the two entries that follow the value, and the line end before them.
func (b ServerCodec) ReadTrailer(buf []byte) (whole, keep bool, err error) {
	const head = "*3\r\n$0\r\n"
	_, used, err := resp.ReadReply(append([]byte(head), buf...), b.Bounds)
	return used > 0, used == len(head)+len(buf), err
}

// isWord tells whether the first word of a line is this one.
func isWord(line []byte, word string) bool {
	first, _, _ := bytes.Cut(line, []byte(" "))
	return string(first) == word
}

// AppendAnswer adds a request's final answer.
func AppendAnswer(to []byte, a wire.Answer) []byte {
	switch a.Kind {
	case wire.Served:
		return resp.AppendBulk(to, a.Value)
	case wire.Rejected:
		to = append(to, "-BUSY"...)
		if a.RetryAfter > 0 {
			to = strconv.AppendInt(append(to, ' '), int64((a.RetryAfter+999)/1000), 10)
		}
		return append(to, "\r\n"...)
	}
	return append(to, "-ERR failed\r\n"...)
}

// Props are what the properties of a request tell the router.
type ParsedProps struct {
	Method      []byte
	Tenant      []byte
	Timeout     clock.Time // how long its client waits; 0: not told
	Resent      bool
	BadDeadline bool // d is no time
}

// ReadProps reads names and values. What is not known goes on unread.
func ParseProps(text []byte) (p ParsedProps) {
	for part := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(part, []byte("="))
		switch string(name) {
		case "c":
			p.Method = value
		case "t":
			p.Tenant = value
		case "d":
			ms, err := strconv.ParseFloat(string(value), 64)
			plain := len(bytes.Trim(value, "0123456789.")) == 0 // no signs, exponents, other bases or names
			if !plain || err != nil || !(ms > 0) || ms >= 1e9 {
				p.BadDeadline = true
				continue
			}
			p.Timeout = clock.Time(ms * 1e3)
		case "r":
			p.Resent = string(value) == "1"
		}
	}
	return p
}
