// Package resp2 encodes and decodes the platform's form of RESP2: the properties of client requests and the answers to
// them, and attempts at cache servers and their answers. The router uses it on both sides. It does no I/O and keeps no
// state.
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
	getCommand = []byte("CACHE.GET")
	setCommand = []byte("CACHE.SET")
)

// ServerCodec is the wire.ServerCodec for cache servers.
type ServerCodec struct{ Bounds resp.Bounds }

// AppendAttempt implements wire.ServerCodec. The command is as the client sent it, except for the deadline.
func (ServerCodec) AppendAttempt(to []byte, a wire.Attempt) []byte {
	var id, props [128]byte // longer ones are allocated on the heap
	words, n := commandWords(a, id[:0], props[:0])
	return resp.AppendCommand(to, words[:n]...)
}

// AppendStreamedWrite implements wire.ServerCodec.
func (ServerCodec) AppendStreamedWrite(to []byte, a wire.Attempt, size int) (head []byte, tail string) {
	words, n := commandWords(a, nil, nil)
	return resp.AppendStreamedCommand(to, size, words[:n-1]...), "\r\n"
}

// commandWords returns the words of an attempt's command, of which the first n are used. It appends to id and props.
func commandWords(a wire.Attempt, id, props []byte) (words [5][]byte, n int) {
	request := a.Request
	verb, n := getCommand, 4
	if request.Write {
		verb, n = setCommand, 5
	}
	if request.Verb != nil {
		verb = request.Verb
	}
	return [5][]byte{verb, request.Key, append(id, request.ID...), a.AppendProps(props), request.Value}, n
}

var errUnexpectedReply = errors.New("unexpected RESP reply")

// ReadAnswer implements wire.ServerCodec.
func (c ServerCodec) ReadAnswer(buf []byte, _ bool) (o wire.Outcome, used int, keep bool, err error) {
	reply, used, err := resp.ReadReply(buf, c.Bounds)
	if err != nil || used == 0 {
		return o, 0, false, err
	}
	switch {
	case reply.Kind == '*' && len(reply.Items) == 3 && reply.Items[0].Kind == '$':
		o.Report = reply.Items[2].Text
		if o.Status = routing.Miss; !reply.Items[0].Null {
			o.Status, o.Value = routing.OK, reply.Items[0].Text
		}
	case reply.Kind == '-' && hasFirstWord(reply.Text, "BUSY"):
		o.Status = routing.QueueFull
	case reply.Kind == '-':
		o.Status, o.Report = routing.Failed, reply.Text[bytes.LastIndexByte(reply.Text, ' ')+1:]
	default:
		return o, 0, false, errUnexpectedReply
	}
	return o, used, true, nil
}

// ReadLargeAnswer implements wire.ServerCodec.
func (c ServerCodec) ReadLargeAnswer(buf []byte) (head wire.ValueHead, ok bool) {
	start, size, ok := resp.ReadLargeReply(buf, c.Bounds)
	return wire.ValueHead{Outcome: wire.Outcome{Status: routing.OK}, Start: start, Size: size}, ok
}

// ReadValueHead implements wire.ServerCodec.
func (c ServerCodec) ReadValueHead(buf []byte) (head wire.ValueHead, ok bool) {
	c.Bounds.Bulk = 0
	return c.ReadLargeAnswer(buf)
}

// ReadTrailer implements wire.ServerCodec. A large value is followed by its line end and the two remaining entries of the
// array.
func (c ServerCodec) ReadTrailer(buf []byte) (used int, complete bool, err error) {
	const head = "*3\r\n$0\r\n"
	_, used, err = resp.ReadReply(append([]byte(head), buf...), c.Bounds)
	if err != nil || used == 0 {
		return 0, false, err
	}
	return used - len(head), true, nil
}

var fence = resp.AppendCommand(nil, []byte("PING"))

const fenceReply = "+PONG\r\n"

var errNoFenceReply = errors.New("not the reply to PING")

// Fence implements wire.ServerCodec.
func (ServerCodec) Fence() []byte { return fence }

// ReadFence implements wire.ServerCodec.
func (ServerCodec) ReadFence(buf []byte) (used int, err error) {
	received := min(len(buf), len(fenceReply))
	if string(buf[:received]) != fenceReply[:received] {
		return 0, errNoFenceReply
	}
	if received < len(fenceReply) {
		return 0, nil
	}
	return received, nil
}

// hasFirstWord reports whether word is the first word of a line.
func hasFirstWord(line []byte, word string) bool {
	first, _, _ := bytes.Cut(line, []byte(" "))
	return string(first) == word
}

// AppendAnswer appends the final answer to a client's request.
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

// ParsedProps holds the properties of a request that the router acts on.
type ParsedProps struct {
	Method      []byte
	Tenant      []byte
	Timeout     clock.Time // how long the client waits; 0 means unspecified
	Resent      bool
	BadDeadline bool // d is not a positive time
}

// ParseProps parses names and values. Unknown names are ignored here and forwarded unchanged.
func ParseProps(text []byte) (p ParsedProps) {
	for property := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(property, []byte("="))
		switch string(name) {
		case "c":
			p.Method = value
		case "t":
			p.Tenant = value
		case "d":
			ms, err := strconv.ParseFloat(string(value), 64)
			plain := len(bytes.Trim(value, "0123456789.")) == 0 // excludes signs, exponents, other bases, and names such as NaN
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
