// Package resp parses and formats RESP2 messages, for the router and for the lab's clients and servers. The parsers take
// the bytes received so far and return how many they used: none while a message is incomplete. They do no I/O, keep no
// state, and return slices of the input.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds limits the size of one message.
type Bounds struct {
	Bulk     int // bytes of a string that is buffered as a whole
	Streamed int // bytes of a string that is streamed
	Line     int // bytes of a line
	Args     int // entries of an array
}

// ErrProtocol means that a message is malformed or exceeds its bounds.
var ErrProtocol = errors.New("malformed or oversized RESP message")

// maxReplyDepth permits an array of strings, the form of a cache server's answer. A nested array is refused at its first
// byte.
const maxReplyDepth = 2

// Reply is a server's answer.
type Reply struct {
	Kind  byte // one of + - : $ *
	Null  bool
	Text  []byte  // for all kinds except *
	Items []Reply // for kind *
}

// readLine returns the line that begins at from, without its line end. next is 0 while the line is incomplete.
func readLine(buf []byte, from int, b Bounds) (text []byte, next int, err error) {
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 {
		if len(buf)-from > b.Line {
			err = ErrProtocol
		}
		return nil, 0, err
	}
	if i > b.Line || i == 0 || buf[from+i-1] != '\r' {
		return nil, 0, ErrProtocol
	}
	return buf[from : from+i-1], from + i + 1, nil
}

// parseLength parses a length from -1 to most.
func parseLength(text []byte, most int) (int, error) {
	if len(text) == 2 && text[0] == '-' && text[1] == '1' {
		return -1, nil
	}
	if len(text) == 0 || len(text) > 9 {
		return 0, ErrProtocol
	}
	n := 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, ErrProtocol
		}
		n = n*10 + int(c-'0')
	}
	if n > most {
		return 0, ErrProtocol
	}
	return n, nil
}

// readBulk returns the n bytes that begin at from and are followed by a line end. next is 0 while they are incomplete.
func readBulk(buf []byte, from, n int) (text []byte, next int, err error) {
	end := from + n
	if len(buf) < end+2 {
		if len(buf) > end && buf[end] != '\r' {
			err = ErrProtocol
		}
		return nil, 0, err
	}
	if buf[end] != '\r' || buf[end+1] != '\n' {
		return nil, 0, ErrProtocol
	}
	return buf[from:end], end + 2, nil
}

// ReadCommand parses one command, an array of bulk strings, into args. used is 0 while the command is incomplete. An empty
// array is a command without words.
func ReadCommand(buf []byte, args [][]byte, b Bounds) (words [][]byte, used int, err error) {
	args = args[:0]
	if len(buf) == 0 {
		return args, 0, nil
	}
	if buf[0] != '*' {
		return args, 0, ErrProtocol
	}
	head, at, err := readLine(buf, 0, b)
	if err != nil || at == 0 {
		return args, 0, err
	}
	n, err := parseLength(head[1:], b.Args)
	if err != nil {
		return args, 0, err
	}
	for range n {
		if at == len(buf) {
			return args, 0, nil
		}
		if buf[at] != '$' {
			return args, 0, ErrProtocol
		}
		head, next, err := readLine(buf, at, b)
		if err != nil || next == 0 {
			return args, 0, err
		}
		size, err := parseLength(head[1:], b.Bulk)
		if err != nil || size < 0 {
			return args, 0, ErrProtocol
		}
		text, next, err := readBulk(buf, next, size)
		if err != nil || next == 0 {
			return args, 0, err
		}
		args, at = append(args, text), next
	}
	return args, at, nil
}

// CommandBytes returns how many bytes the command at the start of buf has at least, as far as its heads have arrived.
func CommandBytes(buf []byte, b Bounds) int {
	head, at, err := readLine(buf, 0, b)
	if err != nil || at == 0 {
		return len(buf) + 1
	}
	n, err := parseLength(head[1:], b.Args)
	if err != nil {
		return len(buf) + 1
	}
	for range n {
		if at >= len(buf) {
			break
		}
		word, next, err := readLine(buf, at, b)
		if err != nil || next == 0 {
			break
		}
		size, err := parseLength(word[1:], b.Bulk)
		if err != nil || size < 0 {
			break
		}
		at = next + size + len("\r\n")
	}
	return max(at, len(buf)+1)
}

// ReadReply parses one reply and returns the number of bytes used, 0 while the reply is incomplete.
func ReadReply(buf []byte, b Bounds) (Reply, int, error) { return readReply(buf, 0, b, maxReplyDepth) }

// ReadLargeCommand parses the head of a command whose last word exceeds Bounds.Bulk. It returns the words before that
// one, its offset in buf and its size. ok is false if buf does not begin with such a head.
func ReadLargeCommand(buf []byte, args [][]byte, b Bounds) (words [][]byte, at, size int, ok bool) {
	words = args[:0]
	head, at, err := readLine(buf, 0, b)
	if err != nil || at == 0 || buf[0] != '*' { // an empty line was once parsed as a head, which made the process panic
		return words, 0, 0, false
	}
	n, err := parseLength(head[1:], b.Args)
	for i := 0; err == nil && i < n && at < len(buf) && buf[at] == '$'; i++ {
		if head, at, err = readLine(buf, at, b); err != nil || at == 0 {
			break
		}
		if size, err = parseLength(head[1:], b.Streamed); err != nil || size < 0 {
			break
		}
		if i == n-1 {
			return words, at, size, size > b.Bulk
		}
		var text []byte
		if size > b.Bulk {
			break
		}
		if text, at, err = readBulk(buf, at, size); err != nil || at == 0 {
			break
		}
		words = append(words, text)
	}
	return words, 0, 0, false
}

// ReadLargeReply parses the head of an array of three entries whose first is a string that exceeds Bounds.Bulk. It returns
// the string's offset in buf and its size. ok is false if buf does not begin with such a head.
func ReadLargeReply(buf []byte, b Bounds) (at, size int, ok bool) {
	head, at, err := readLine(buf, 0, b)
	if err != nil || at == 0 || string(head) != "*3" || at == len(buf) || buf[at] != '$' {
		return 0, 0, false
	}
	if head, at, err = readLine(buf, at, b); err != nil || at == 0 {
		return 0, 0, false
	}
	size, err = parseLength(head[1:], b.Streamed)
	return at, size, err == nil && size > b.Bulk
}

// readReply parses the reply that begins at from; next is 0 while it is incomplete.
func readReply(buf []byte, from int, b Bounds, depth int) (r Reply, next int, err error) {
	if from == len(buf) {
		return r, 0, nil
	}
	r.Kind = buf[from]
	if depth == 1 && r.Kind == '*' || bytes.IndexByte([]byte("+-:$*"), r.Kind) < 0 {
		return r, 0, ErrProtocol
	}
	head, next, err := readLine(buf, from, b)
	if err != nil || next == 0 {
		return r, 0, err
	}
	r.Text = head[1:]
	if r.Kind != '$' && r.Kind != '*' {
		return r, next, nil
	}
	most := b.Bulk
	if r.Kind == '*' {
		most = b.Args
	}
	n, err := parseLength(r.Text, most)
	if err != nil {
		return r, 0, err
	}
	r.Text = nil
	if n < 0 {
		r.Null = true
		return r, next, nil
	}
	if r.Kind == '$' {
		r.Text, next, err = readBulk(buf, next, n)
		return r, next, err
	}
	for range n {
		var item Reply
		if item, next, err = readReply(buf, next, b, depth-1); err != nil || next == 0 {
			return r, 0, err
		}
		r.Items = append(r.Items, item)
	}
	return r, next, nil
}

// AppendBulk appends a bulk string.
func AppendBulk(to, text []byte) []byte {
	to = strconv.AppendInt(append(to, '$'), int64(len(text)), 10)
	to = append(append(to, "\r\n"...), text...)
	return append(to, "\r\n"...)
}

// AppendCommand appends a command of these words.
func AppendCommand(to []byte, words ...[]byte) []byte {
	to = strconv.AppendInt(append(to, '*'), int64(len(words)), 10)
	to = append(to, "\r\n"...)
	for _, word := range words {
		to = AppendBulk(to, word)
	}
	return to
}

// AppendStreamedCommand appends the head of a command that consists of these words and a last one of size bytes. The caller
// sends that word and a line end after the head.
func AppendStreamedCommand(to []byte, size int, words ...[]byte) []byte {
	to = strconv.AppendInt(append(to, '*'), int64(len(words)+1), 10)
	to = append(to, "\r\n"...)
	for _, word := range words {
		to = AppendBulk(to, word)
	}
	return append(strconv.AppendInt(append(to, '$'), int64(size), 10), "\r\n"...)
}

// AppendLine appends a simple string (kind +) or an error (kind -).
func AppendLine(to []byte, kind byte, text string) []byte {
	return append(append(append(to, kind), text...), "\r\n"...)
}
