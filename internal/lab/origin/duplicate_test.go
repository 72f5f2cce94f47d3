package origin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// A duplicate is written after its response, also one that is longer than a buffer.
func TestDuplicatesFollowTheirResponses(t *testing.T) {
	const size = 20_000
	o, err := Start(&Config{Log: event.NewLog(), Settings: scenario.Origin{Cores: 1, Work: 1000}, Methods: map[string]scenario.Method{"read": {Name: "read", Effect: "retryable"}},
		Deduplicator: &cacheserver.Deduplicator{}, IsColdMiss: func(event.RequestID) bool { return false },
		OnRead: func(event.RequestID, string) {}, OnWrite: func(string) {}}, []string{"127.15.0.2:18080"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	o.ApplyFault(scenario.Fault{Kind: "origin_duplicate", Share: 1}, false)
	c, err := net.Dial("tcp", o.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	in := bufio.NewReader(c)
	_, _ = fmt.Fprintf(c, "GET /k HTTP/1.1\r\nHost: o\r\nX-Trace-Id: id1\r\nX-Props: c=read,d=900,size=%d\r\n\r\n", size)
	for range 2 {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || len(body) != size || !cacheserver.IsValueFor("id1", body) {
			t.Errorf("%d bytes, %v", len(body), err)
		}
	}
}
