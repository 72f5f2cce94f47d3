// Package resp reads and writes RESP2. The readers take what has come so far and tell how much of it they used:
// none while a message is not whole. They do no I/O, keep nothing, and what they return points into the input.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds is how much one message may hold.
type Bounds struct {
	Bulk     int // bytes of one string that is held whole
	Streamed int // bytes of one that is passed on in pieces
	Line     int // bytes of one line
	Args     int // entries of one array
}

// ErrProtocol is a message that is broken or over the bounds.
var ErrProtocol = errors.New("broken or oversize message")

const maxDepth = 2 // a cache server's answer is an array of strings: arrays in it are refused at their first byte

// Reply is one answer of a server.
type Reply struct {
	Kind  byte // one of + - : $ *
	Null  bool
	Text  []byte // of all kinds but *
	Items []Reply
}

// line cuts the line that begins at from, without its end; next is 0 while it is not whole.
func line(buf []byte, from int, b Bounds) (text []byte, next int, err error) {
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

// count reads a length from -1 to most.
func count(text []byte, most int) (int, error) {
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

// bulk cuts the n bytes that begin at from and the line end behind them.
func bulk(buf []byte, from, n int) (text []byte, next int, err error) {
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

// Command reads one command, an array of bulk strings, into args. It returns the bytes used, 0 while the command is
// not whole. An empty array is a command of no words.
func ReadCommand(buf []byte, args [][]byte, b Bounds) (words [][]byte, used int, err error) {
	args = args[:0]
	if len(buf) == 0 {
		return args, 0, nil
	}
	if buf[0] != '*' {
		return args, 0, ErrProtocol
	}
	head, at, err := line(buf, 0, b)
	if err != nil || at == 0 {
		return args, 0, err
	}
	n, err := count(head[1:], b.Args)
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
		head, next, err := line(buf, at, b)
		if err != nil || next == 0 {
			return args, 0, err
		}
		size, err := count(head[1:], b.Bulk)
		if err != nil || size < 0 {
			return args, 0, ErrProtocol
		}
		text, next, err := bulk(buf, next, size)
		if err != nil || next == 0 {
			return args, 0, err
		}
		args, at = append(args, text), next
	}
	return args, at, nil
}

// ReadReply reads one answer. It returns the bytes used, 0 while the answer is not whole.
func ReadReply(buf []byte, b Bounds) (Reply, int, error) { return reply(buf, 0, b, maxDepth) }

// LongCommand tells of a command whose last word is a string over the bound for such as are held whole: the words before
// it, where in buf that string begins, and its size.
func ReadLargeCommand(buf []byte, args [][]byte, b Bounds) (words [][]byte, at, size int, ok bool) {
	words = args[:0]
	head, at, err := line(buf, 0, b)
	if err != nil || at == 0 || buf[0] != '*' { // an empty line was taken for a head, and ended the program
		return words, 0, 0, false
	}
	n, err := count(head[1:], b.Args)
	for i := 0; err == nil && i < n && at < len(buf) && buf[at] == '$'; i++ {
		if head, at, err = line(buf, at, b); err != nil || at == 0 {
			break
		}
		if size, err = count(head[1:], b.Streamed); err != nil || size < 0 {
			break
		}
		if i == n-1 {
			return words, at, size, size > b.Bulk
		}
		var text []byte
		if size > b.Bulk {
			break
		}
		if text, at, err = bulk(buf, at, size); err != nil || at == 0 {
			break
		}
		words = append(words, text)
	}
	return words, 0, 0, false
}

// LongReply tells of an array of three whose first entry is a string over the bound for such as are held whole: where in
// buf that string begins, and its size.
func ReadLargeReply(buf []byte, b Bounds) (at, size int, ok bool) {
	head, at, err := line(buf, 0, b)
	if err != nil || at == 0 || string(head) != "*3" || at == len(buf) || buf[at] != '$' {
		return 0, 0, false
	}
	if head, at, err = line(buf, at, b); err != nil || at == 0 {
		return 0, 0, false
	}
	size, err = count(head[1:], b.Streamed)
	return at, size, err == nil && size > b.Bulk
}

func reply(buf []byte, from int, b Bounds, depth int) (r Reply, next int, err error) {
	if from == len(buf) {
		return r, 0, nil
	}
	r.Kind = buf[from]
	if depth == 1 && r.Kind == '*' || bytes.IndexByte([]byte("+-:$*"), r.Kind) < 0 {
		return r, 0, ErrProtocol
	}
	head, next, err := line(buf, from, b)
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
	n, err := count(r.Text, most)
	if err != nil {
		return r, 0, err
	}
	r.Text = nil
	if n < 0 {
		r.Null = true
		return r, next, nil
	}
	if r.Kind == '$' {
		r.Text, next, err = bulk(buf, next, n)
		return r, next, err
	}
	for range n {
		var item Reply
		if item, next, err = reply(buf, next, b, depth-1); err != nil || next == 0 {
			return r, 0, err
		}
		r.Items = append(r.Items, item)
	}
	return r, next, nil
}

// AppendBulk adds one bulk string.
func AppendBulk(to, text []byte) []byte {
	to = strconv.AppendInt(append(to, '$'), int64(len(text)), 10)
	to = append(append(to, "\r\n"...), text...)
	return append(to, "\r\n"...)
}

// AppendCommand adds one command of these words.
func AppendCommand(to []byte, words ...[]byte) []byte {
	to = strconv.AppendInt(append(to, '*'), int64(len(words)), 10)
	to = append(to, "\r\n"...)
	for _, w := range words {
		to = AppendBulk(to, w)
	}
	return to
}

// AppendLongCommand adds a command of these words and one more, of that size, that follows it, with a line end behind.
func AppendStreamedCommand(to []byte, size int, words ...[]byte) []byte {
	to = strconv.AppendInt(append(to, '*'), int64(len(words)+1), 10)
	to = append(to, "\r\n"...)
	for _, w := range words {
		to = AppendBulk(to, w)
	}
	return append(strconv.AppendInt(append(to, '$'), int64(size), 10), "\r\n"...)
}

// AppendLine adds a line of the given kind, + or -.
func AppendLine(to []byte, kind byte, text string) []byte {
	return append(append(append(to, kind), text...), "\r\n"...)
}
