package resp2

import (
	"fmt"
	"testing"

	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
)

var codec = ServerCodec{resp.Bounds{Bulk: 64, Line: 64, Args: 16}}

func Example_append() {
	request := &wire.Request{ID: "id", Key: []byte("k"), Props: wire.NewProps([]byte("c=get,d=2000,x=1"))}
	fmt.Printf("%q\n", codec.AppendAttempt(nil, wire.NewAttempt(request, "", 2500)))
	request.Write, request.Value, request.Verb = true, []byte("v"), []byte("cache.set")
	fmt.Printf("%q\n", codec.AppendAttempt(nil, wire.NewAttempt(request, "", 0)))
	// Output:
	// "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=get,d=2,x=1\r\n"
	// "*5\r\n$9\r\ncache.set\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=get,d=1,x=1\r\n$1\r\nv\r\n"
}

func Example_read() {
	for _, text := range []string{"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\na=1\r\n", "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", "-BUSY\r\n", "-BUSY 5\r\n", "-BUSYBODY\r\n",
		"-ERR failed a=1\r\n", "+OK\r\n", "*2\r\n$1\r\nv\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n", "nonsense\r\n"} {
		o, used, keep, err := codec.ReadAnswer([]byte(text), false)
		fmt.Printf("%-32q status %d value %q report %q, %d used, keep %v, %v\n", text, o.Status, o.Value, o.Report, used, keep, err)
	}
	// Output:
	// "*3\r\n$1\r\nv\r\n$-1\r\n$3\r\na=1\r\n" status 0 value "v" report "a=1", 25 used, keep true, <nil>
	// "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n" status 8 value "" report "", 24 used, keep true, <nil>
	// "-BUSY\r\n"                      status 2 value "" report "", 7 used, keep true, <nil>
	// "-BUSY 5\r\n"                    status 2 value "" report "", 9 used, keep true, <nil>
	// "-BUSYBODY\r\n"                  status 1 value "" report "BUSYBODY", 11 used, keep true, <nil>
	// "-ERR failed a=1\r\n"            status 1 value "" report "a=1", 17 used, keep true, <nil>
	// "+OK\r\n"                        status 0 value "" report "", 0 used, keep false, unexpected RESP reply
	// "*2\r\n$1\r\nv\r\n$-1\r\n"       status 0 value "" report "", 0 used, keep false, unexpected RESP reply
	// "*3\r\n$1\r\nv\r\n"              status 0 value "" report "", 0 used, keep false, <nil>
	// "nonsense\r\n"                   status 0 value "" report "", 0 used, keep false, malformed or oversized RESP message
}

func Example_fence() {
	fmt.Printf("%q\n", codec.Fence())
	for _, text := range []string{"+PONG\r\n", "+PONG\r\n*3", "+PO", "", "-ERR busy\r\n", "*3\r\n"} {
		used, err := codec.ReadFence([]byte(text))
		fmt.Printf("%q: %d used, %v\n", text, used, err)
	}
	for _, text := range []string{"\r\n$-1\r\n$-1\r\n", "\r\n$-1\r\n$-1\r\n+PONG\r\n", "\r\n$-1\r\n", "x\r\n"} {
		used, complete, err := codec.ReadTrailer([]byte(text))
		fmt.Printf("%q: %d used, complete %v, %v\n", text, used, complete, err)
	}
	// Output:
	// "*1\r\n$4\r\nPING\r\n"
	// "+PONG\r\n": 7 used, <nil>
	// "+PONG\r\n*3": 7 used, <nil>
	// "+PO": 0 used, <nil>
	// "": 0 used, <nil>
	// "-ERR busy\r\n": 0 used, not the reply to PING
	// "*3\r\n": 0 used, not the reply to PING
	// "\r\n$-1\r\n$-1\r\n": 12 used, complete true, <nil>
	// "\r\n$-1\r\n$-1\r\n+PONG\r\n": 12 used, complete true, <nil>
	// "\r\n$-1\r\n": 0 used, complete false, <nil>
	// "x\r\n": 0 used, complete false, malformed or oversized RESP message
}

func Example_answers() {
	for _, a := range []wire.Answer{{Value: []byte("v")}, {Kind: wire.Rejected}, {Kind: wire.Rejected, RetryAfter: 1500}, {Kind: wire.Failed}} {
		fmt.Printf("%q\n", AppendAnswer(nil, a))
	}
	// Output:
	// "$1\r\nv\r\n"
	// "-BUSY\r\n"
	// "-BUSY 2\r\n"
	// "-ERR failed\r\n"
}

func Example_props() {
	for _, text := range []string{"c=get,t=acme,d=480,r=1,size=9", "d=0.5", "d=-1", "d=1e3", "d=NaN", "d=0x10", "d=9999999999", "c", ""} {
		p := ParseProps([]byte(text))
		fmt.Printf("%q: method %q tenant %q timeout %d resent %v bad deadline %v\n", text, p.Method, p.Tenant, p.Timeout, p.Resent, p.BadDeadline)
	}
	// Output:
	// "c=get,t=acme,d=480,r=1,size=9": method "get" tenant "acme" timeout 480000 resent true bad deadline false
	// "d=0.5": method "" tenant "" timeout 500 resent false bad deadline false
	// "d=-1": method "" tenant "" timeout 0 resent false bad deadline true
	// "d=1e3": method "" tenant "" timeout 0 resent false bad deadline true
	// "d=NaN": method "" tenant "" timeout 0 resent false bad deadline true
	// "d=0x10": method "" tenant "" timeout 0 resent false bad deadline true
	// "d=9999999999": method "" tenant "" timeout 0 resent false bad deadline true
	// "c": method "" tenant "" timeout 0 resent false bad deadline false
	// "": method "" tenant "" timeout 0 resent false bad deadline false
}

// An encoded attempt is a valid command, and a valid deadline among its properties is replaced by that of the attempt.
func FuzzAppend(f *testing.F) {
	f.Add([]byte("c=get,d=5"), []byte("k"), false)
	f.Fuzz(func(t *testing.T, props, key []byte, write bool) {
		request := &wire.Request{ID: "id", Key: key, Props: wire.NewProps(props), Write: write}
		b := resp.Bounds{Bulk: 1 << 20, Line: 64, Args: 16}
		words, used, err := resp.ReadCommand(codec.AppendAttempt(nil, wire.NewAttempt(request, "", 7999)), nil, b)
		if err != nil || used == 0 || len(words) < 4 {
			t.Fatalf("words %q, used %d, error %v", words, used, err)
		}
		before, after := ParseProps(props), ParseProps(words[3])
		if !before.BadDeadline && (after.BadDeadline || before.Timeout != 0 && after.Timeout != 7000) { // the router refuses requests with a bad deadline
			t.Errorf("%q became %q", props, words[3])
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	request := &wire.Request{ID: "9b1f03aa5c7e2d41", Key: []byte("7f3a9c21e0b4d655"), Props: wire.NewProps([]byte("c=read,t=acme,d=480"))}
	to := make([]byte, 0, 256)
	b.ReportAllocs()
	for b.Loop() {
		to = codec.AppendAttempt(to[:0], wire.NewAttempt(request, "", 480e3))
	}
}
