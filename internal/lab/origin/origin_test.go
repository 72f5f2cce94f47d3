package origin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

func call(t *testing.T, addr, method, path, id, props string, patience time.Duration) (status int, neverRan, body string) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader("v"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Trace-Id", id)
	r.Header.Set("X-Props", props)
	a, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, "", ""
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body) // a truncated body fails the comparison
	return a.StatusCode, a.Header.Get("X-Never-Ran"), string(text)
}

func TestOrigin(t *testing.T) {
	log := event.NewLog()
	var mu sync.Mutex // guards filled and dropped, which the origin's goroutines change
	filled, dropped := "", ""
	note := func(to *string, what string) {
		mu.Lock()
		defer mu.Unlock()
		*to += what
	}
	noted := func(of *string) string {
		mu.Lock()
		defer mu.Unlock()
		return *of
	}
	methods := map[string]scenario.Method{"read": {Name: "read", Effect: "retryable"}, "book": {Name: "book", Effect: "non-retryable"},
		"hold": {Name: "hold", Effect: "deduplicated", Window: 60e6}}
	set := scenario.Origin{Cores: 1, Queue: 0, Work: 1000}
	o, err := Start(&Config{Log: log, Settings: set, Methods: methods, Deduplicator: &cacheserver.Deduplicator{}, IsColdMiss: func(event.RequestID) bool { return false },
		OnRead: func(r event.RequestID, k string) { note(&filled, string(r)+" "+k+";") }, OnWrite: func(k string) { note(&dropped, k+";") }},
		[]string{"127.15.0.1:18080"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	addr := o.Addr(0)
	const long = 2 * time.Second
	if status, _, body := call(t, addr, "GET", "/a%20b", "id1", "c=read,d=9,size=40", long); status != 200 || !cacheserver.IsValueFor("id1", []byte(body)) || len(body) != 40 {
		t.Error(status, body)
	}
	if status, _, _ := call(t, addr, "PUT", "/k", "id2", "c=book,d=9", long); status != 200 {
		t.Error(status)
	}
	for range 2 {
		if status, _, _ := call(t, addr, "PUT", "/k", "id3", "c=hold,d=9", long); status != 200 {
			t.Error(status)
		}
	}
	if status, _, _ := call(t, addr, "GET", "/k", "id4", "c=nothing", long); status != 400 {
		t.Error(status)
	}
	o.ApplyFault(scenario.Fault{Kind: "origin_stop"}, false)
	if status, _, _ := call(t, addr, "PUT", "/k", "id5", "c=book,d=9", 50*time.Millisecond); status != 0 {
		t.Error("a stopped origin answered ", status)
	}
	if status, never, _ := call(t, addr, "GET", "/k", "id6", "c=read,d=9", long); status != 503 || never != "1" {
		t.Error("a full origin answered ", status, never)
	}
	o.ApplyFault(scenario.Fault{Kind: "origin_stop"}, true)
	for until := time.Now().Add(long); strings.Count(noted(&dropped), "k;") < 4 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	ran := ""
	for _, e := range log.Events() {
		if e.Kind == event.EffectExecuted {
			ran += string(e.Request) + ";"
		}
	}
	// A write whose router has given up still runs, once.
	if ran != "id2;id3;id5;" || noted(&filled) != "id1 a b;" || !strings.HasPrefix(noted(&dropped), "k;k;k;k;") {
		t.Errorf("ran %s, filled %s, dropped %s", ran, noted(&filled), noted(&dropped))
	}
}
