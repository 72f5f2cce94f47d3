package wire_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire"
	"spurtrestle/internal/wire/http1"
	"spurtrestle/internal/wire/resp2"
)

func Example_props() {
	for _, text := range []string{"c=get,d=480", "d=480", "d=480,c=get", "c=get,d=480,t=a,d=9", "xd=480,d=1", "d =480,d=1", "dd=4,,D=5,d", "d=0.5"} {
		request := &wire.Request{Props: wire.NewProps([]byte(text))}
		fmt.Printf("%-20q %q\n", text, wire.NewAttempt(request, "", 47_999).AppendProps(nil))
	}
	// Output:
	// "c=get,d=480"        "c=get,d=47"
	// "d=480"              "d=47"
	// "d=480,c=get"        "d=47,c=get"
	// "c=get,d=480,t=a,d=9" "c=get,d=47,t=a,d=47"
	// "xd=480,d=1"         "xd=480,d=47"
	// "d =480,d=1"         "d =480,d=47"
	// "dd=4,,D=5,d"        "dd=4,,D=5,d"
	// "d=0.5"              "d=47"
}

// sentProps returns the properties that a server reads from an attempt in each protocol. With large set, the attempt is
// encoded as a streamed write.
func sentProps(t *testing.T, a wire.Attempt, large bool) (byProtocol map[string][]byte) {
	t.Helper()
	const size = 3
	cache, origin := resp2.ServerCodec{}, http1.Codec{}
	command, head := cache.AppendAttempt(nil, a), origin.AppendAttempt(nil, a)
	if large {
		var tail string
		command, tail = cache.AppendStreamedWrite(nil, a, size)
		command = append(append(command, "abc"...), tail...)
		head, tail = origin.AppendStreamedWrite(nil, a, size)
		head = append(append(head, "abc"...), tail...)
	}
	words, used, err := resp.ReadCommand(command, nil, resp.Bounds{Bulk: 1 << 16, Line: 1 << 10, Args: 8})
	if err != nil || used != len(command) {
		t.Fatalf("%q cannot be parsed: %v", command, err)
	}
	_, rest, found := bytes.Cut(head, []byte("X-Props: "))
	props, _, ended := bytes.Cut(rest, []byte("\r\n"))
	if !found || !ended {
		t.Fatalf("%q has no properties", head)
	}
	return map[string][]byte{"RESP2": words[3], "HTTP/1.1": props}
}

// Whatever the properties are, the deadline sent never exceeds the remaining time and is never 0, and all other properties are
// forwarded unchanged.
func TestDeadlineNeverExceedsRemainingTime(t *testing.T) {
	random := rand.New(rand.NewPCG(46, 1))
	pieces := []string{"d=", "d", "=", "c=get", "t=acme", "xd=", "d =", " ", "480", "0", "9999", "r=1", "size=7", "D=5", "é"}
	for range 20_000 {
		var properties []string
		for range random.IntN(6) {
			properties = append(properties, pieces[random.IntN(len(pieces))]+pieces[random.IntN(len(pieces))])
		}
		text := strings.Join(properties, ",")
		remaining := clock.Time(random.Int64N(3e6) - 1e3)
		write := random.IntN(2) == 0
		request := &wire.Request{ID: "id", Key: []byte("k"), Props: wire.NewProps([]byte(text)), Write: write, Value: []byte("abc")}
		sent := sentProps(t, wire.NewAttempt(request, "o:1", remaining), write && random.IntN(2) == 0)
		for protocol, props := range sent {
			after := strings.Split(string(props), ",")
			for i, before := range strings.Split(text, ",") {
				if !strings.HasPrefix(before, "d=") {
					if i >= len(after) || after[i] != before {
						t.Fatalf("%s: %q became %q", protocol, text, props)
					}
					continue
				}
				ms, err := strconv.ParseInt(strings.TrimPrefix(after[i], "d="), 10, 64)
				if err != nil || ms < 1 || ms > 1 && clock.Time(ms)*1000 > remaining {
					t.Fatalf("%s: with %d us remaining, %q became %q", protocol, remaining, text, props)
				}
			}
			if len(after) != len(strings.Split(text, ",")) {
				t.Fatalf("%s: %q became %q", protocol, text, props)
			}
		}
	}
}
