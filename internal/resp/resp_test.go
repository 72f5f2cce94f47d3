package resp

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

var bounds = Bounds{Bulk: 64, Line: 32, Args: 5}

func formatReply(r Reply) string {
	switch {
	case r.Null:
		return string(r.Kind) + "null"
	case r.Kind == '*':
		var items []string
		for _, item := range r.Items {
			items = append(items, formatReply(item))
		}
		return "[" + strings.Join(items, " ") + "]"
	}
	return fmt.Sprintf("%c%q", r.Kind, r.Text)
}

func ExampleReadReply() {
	for _, text := range []string{
		"$5\r\nvalue\r\n", "$0\r\n\r\n", "$-1\r\n", "*3\r\n$3\r\na\r\n\r\n$-1\r\n$5\r\nx0=.5\r\n", "*0\r\n", "*-1\r\n",
		"-BUSY 20\r\n", "-ERR failed inflight=7,queue=2\r\n", "+PONG\r\n", ":12\r\n$1\r\nbehind\r\n",
		"$65\r\n", "$x\r\n", "$-2\r\n", "$3\r\nabcd\r\n", "*6\r\n", "hello\r\n", "+no line end\n",
		"*3\r\n*", "+" + strings.Repeat("x", 40),
	} {
		r, used, err := ReadReply([]byte(text), bounds)
		if err != nil {
			fmt.Printf("%.20q: %v\n", text, err)
			continue
		}
		fmt.Println(formatReply(r), used)
	}
	// Output:
	// $"value" 11
	// $"" 6
	// $null 5
	// [$"a\r\n" $null $"x0=.5"] 29
	// [] 4
	// *null 5
	// -"BUSY 20" 10
	// -"ERR failed inflight=7,queue=2" 32
	// +"PONG" 7
	// :"12" 5
	// "$65\r\n": malformed or oversized RESP message
	// "$x\r\n": malformed or oversized RESP message
	// "$-2\r\n": malformed or oversized RESP message
	// "$3\r\nabcd\r\n": malformed or oversized RESP message
	// "*6\r\n": malformed or oversized RESP message
	// "hello\r\n": malformed or oversized RESP message
	// "+no line end\n": malformed or oversized RESP message
	// "*3\r\n*": malformed or oversized RESP message
	// "+xxxxxxxxxxxxxxxxxxx": malformed or oversized RESP message
}

// A prefix of a message, wherever it ends, uses no bytes and is no error.
func TestPartialMessageUsesNothing(t *testing.T) {
	command := AppendCommand(nil, []byte("CACHE.SET"), []byte("k"), []byte(""), []byte("a\r\n*1\r\n"))
	reply := []byte("*3\r\n$4\r\na\r\nb\r\n:1\r\n$-1\r\n")
	for i := range command {
		if words, used, err := ReadCommand(command[:i], nil, bounds); used != 0 || err != nil {
			t.Errorf("%q: words %q, used %d, error %v", command[:i], words, used, err)
		}
	}
	words, used, err := ReadCommand(append(command, "*1\r\n$4\r\nPING\r\n"...), nil, bounds)
	if fmt.Sprintf("%q", words) != `["CACHE.SET" "k" "" "a\r\n*1\r\n"]` || used != len(command) || err != nil {
		t.Errorf("words %q, used %d, error %v", words, used, err)
	}
	for i := range reply {
		if r, used, err := ReadReply(reply[:i], bounds); used != 0 || err != nil {
			t.Errorf("%q: reply %v, used %d, error %v", reply[:i], r, used, err)
		}
	}
}

// A large value is recognized as soon as the head of its message is complete, and not before.
func TestReadsHeadOfLargeValue(t *testing.T) {
	b := Bounds{Bulk: 9, Streamed: 20, Line: 32, Args: 5}
	command := AppendCommand(nil, []byte("CACHE.SET"), []byte("k"), []byte("0123456789"))
	reply := []byte("*3\r\n$10\r\n0123456789\r\n$-1\r\n$-1\r\n")
	for i := range command {
		words, at, size, ok := ReadLargeCommand(command[:i], nil, b)
		if whole := i >= len(command)-12; ok != whole || ok && (len(words) != 2 || at != len(command)-12 || size != 10) {
			t.Errorf("%q: words %q, offset %d, size %d, ok %v", command[:i], words, at, size, ok)
		}
	}
	for i := range reply {
		if at, size, ok := ReadLargeReply(reply[:i], b); ok != (i >= 9) || ok && (at != 9 || size != 10) {
			t.Errorf("%q: offset %d, size %d, ok %v", reply[:i], at, size, ok)
		}
	}
	for _, text := range []string{"*3\r\n$9\r\n", "*3\r\n$21\r\n", "*2\r\n$10\r\n", "*3\r\n$-1\r\n", "$10\r\n", "*2\r\n$10\r\n0123456789\r\n$10\r\n"} {
		if _, _, ok := ReadLargeReply([]byte(text), b); ok {
			t.Errorf("%q is taken for the head of a large reply", text)
		}
	}
	if got := AppendStreamedCommand(nil, 10, []byte("CACHE.SET"), []byte("k")); !bytes.Equal(got, command[:len(command)-12]) {
		t.Errorf("head of a streamed command: %q", got)
	}
}

func FuzzRead(f *testing.F) {
	for _, seed := range []string{"*1\r\n$4\r\nPING\r\n", "*3\r\n$1\r\na\r\n$-1\r\n:5\r\n", "-ERR x\r\n", "*-1\r\n", "$70\r\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		part := data[:max(0, min(cut, len(data)))]
		words, used, err := ReadCommand(data, nil, bounds)
		if used < 0 || used > len(data) || err != nil && used != 0 {
			t.Fatalf("used %d of %d bytes, error %v", used, len(data), err)
		}
		if _, partUsed, partErr := ReadCommand(part, nil, bounds); partUsed > 0 && partUsed != used || partErr != nil && err == nil {
			t.Fatalf("a prefix gives %d, %v, the whole input %d, %v", partUsed, partErr, used, err)
		}
		if used > 0 && len(words) > 0 {
			again, n, err := ReadCommand(AppendCommand(nil, words...), nil, bounds)
			if err != nil || n == 0 || !bytes.Equal(bytes.Join(again, []byte{0}), bytes.Join(words, []byte{0})) {
				t.Fatalf("%q was parsed again as %q, error %v", words, again, err)
			}
		}
		_, used, err = ReadReply(data, bounds)
		if used < 0 || used > len(data) || err != nil && used != 0 {
			t.Fatalf("used %d of %d bytes, error %v", used, len(data), err)
		}
		if _, partUsed, partErr := ReadReply(part, bounds); partUsed > 0 && partUsed != used || partErr != nil && err == nil {
			t.Fatalf("a prefix gives %d, %v, the whole input %d, %v", partUsed, partErr, used, err)
		}
		small := Bounds{Bulk: 3, Streamed: 100, Line: bounds.Line, Args: bounds.Args}
		if _, at, size, ok := ReadLargeCommand(data, nil, small); ok && (at < 0 || at > len(data) || size <= 3 || size > 100) {
			t.Fatalf("large word of %d bytes at offset %d of %d", size, at, len(data))
		}
		if at, size, ok := ReadLargeReply(data, small); ok && (at < 0 || at > len(data) || size <= 3 || size > 100) {
			t.Fatalf("large value of %d bytes at offset %d of %d", size, at, len(data))
		}
	})
}
