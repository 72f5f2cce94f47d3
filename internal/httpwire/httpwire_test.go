package httpwire

import (
	"fmt"
	"strings"
	"testing"
)

var bounds = Bounds{Head: 128, Body: 32}

func ExampleReadResponse() {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvaluebehind",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3;x=1\r\nval\r\n2\r\nue\r\n0\r\nT: 1\r\n\r\nbehind",
		"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nval\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n21\r\n",
		"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nvalue",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nvalue",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 2000 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "SSH-2.0-x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 128),
	} {
		r, used, err := ReadResponse([]byte(text), true, bounds)
		if err != nil {
			fmt.Printf("%.40q: %v\n", text, err)
			continue
		}
		fmt.Printf("%d %q, %d of %d used, close %v, never ran %q\n", r.Status, r.Body, used, len(text), r.Close,
			r.Get("x-never-ran"))
	}
	// Output:
	// 200 "value", 43 of 49 used, close false, never ran ""
	// 200 "value", 77 of 83 used, close false, never ran ""
	// 503 "", 90 of 90 used, close true, never ran "1"
	// 204 "", 52 of 52 used, close false, never ran ""
	// 200 "x", 39 of 39 used, close true, never ran ""
	// 200 "", 35 of 35 used, close false, never ran ""
	// 200 "until the end", 32 of 32 used, close true, never ran ""
	// "HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nTransfer-Encoding: chun": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nTransfer-Encoding: chun": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nno colon here\r\nContent-": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nCont": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTran": malformed or oversized HTTP response
	// "HTTP/1.1 2000 OK\r\n\r\n": malformed or oversized HTTP response
	// "HTTP/2 200 OK\r\n\r\n": malformed or oversized HTTP response
	// "SSH-2.0-x\r\n\r\n": malformed or oversized HTTP response
	// "HTTP/1.1 200 OK\r\nX: xxxxxxxxxxxxxxxxxxxx": malformed or oversized HTTP response
}

// A prefix of a response, wherever it ends, uses no bytes and is no error.
func TestPartialResponseUsesNothing(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n2\r\nue\r\n0\r\n\r\n",
	} {
		for i := range text {
			if r, used, err := ReadResponse([]byte(text[:i]), false, bounds); used != 0 || err != nil {
				t.Errorf("%q: response %v, used %d, error %v", text[:i], r, used, err)
			}
		}
		if r, used, err := ReadResponse([]byte(text), false, bounds); string(r.Body) != "value" || used != len(text) || err != nil {
			t.Errorf("%q: body %q, used %d, error %v", text, r.Body, used, err)
		}
	}
}

// A large response is recognized as soon as its head is complete, and not before.
func TestReadsHeadOfLargeResponse(t *testing.T) {
	b := Bounds{Head: 200, Body: 4, Streamed: 9}
	head := "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	for i := range len(head) + 3 {
		if _, at, size := ReadLargeHead([]byte((head + "value")[:i]), b); (at > 0) != (i >= len(head)) || at > 0 && (at != len(head) || size != 5) {
			t.Errorf("after %d bytes: body of %d bytes at offset %d", i, size, at)
		}
	}
	for _, text := range []string{"200 OK\r\nContent-Length: 4", "200 OK\r\nContent-Length: 10", "200 OK\r\nTransfer-Encoding: chunked",
		"200 OK\r\nContent-Length: 5\r\nContent-Length: 6", "200 OK\r\nA: b"} {
		if _, at, size := ReadLargeHead([]byte("HTTP/1.1 "+text+"\r\n\r\n"), b); at != 0 {
			t.Errorf("%q: body of %d bytes at offset %d", text, size, at)
		}
	}
}

func ExampleAppendRequest() {
	headers := []Header{{"X-Trace-Id", []byte("r1\r\nX-Evil: 1")}}
	fmt.Printf("%q\n", AppendRequest(nil, "GET", "/k", "h:1", headers, nil))
	fmt.Printf("%q\n", AppendRequest(nil, "PUT", "/k", "h:1", nil, []byte{}))
	// Output:
	// "GET /k HTTP/1.1\r\nHost: h:1\r\nX-Trace-Id: r1X-Evil: 1\r\n\r\n"
	// "PUT /k HTTP/1.1\r\nHost: h:1\r\nContent-Length: 0\r\n\r\n"
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue"), 20)
	f.Add([]byte("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n"), 70)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		r, used, err := ReadResponse(data, false, bounds)
		if used < 0 || used > len(data) || err != nil && used != 0 || len(r.Body) > bounds.Body {
			t.Fatalf("used %d of %d bytes, error %v", used, len(data), err)
		}
		part := data[:max(0, min(cut, len(data)))]
		if _, partUsed, partErr := ReadResponse(part, false, bounds); partUsed > 0 && partUsed != used || partErr != nil && err == nil {
			t.Fatalf("a prefix gives %d, %v, the whole input %d, %v", partUsed, partErr, used, err)
		}
		_, _, _ = ReadResponse(data, true, bounds)
		if _, at, size := ReadLargeHead(data, Bounds{Head: bounds.Head, Body: 2, Streamed: 100}); at < 0 || at > len(data) || at > 0 && (size <= 2 || size > 100) {
			t.Fatalf("large body of %d bytes at offset %d of %d", size, at, len(data))
		}
	})
}
