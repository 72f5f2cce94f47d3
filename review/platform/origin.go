package platform

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// OriginUID is the origin's id in discovery.
const OriginUID = "origin"

// Origin is the slow store behind the cache servers.
type Origin struct {
	// Addr is its address.
	Addr string

	run      *Run
	work     time.Duration
	mu       sync.Mutex
	attempts []Attempt
}

// StartOrigin starts an origin that takes some time for each request.
func (r *Run) StartOrigin(work time.Duration) (*Origin, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &Origin{Addr: ln.Addr().String(), run: r, work: work}
	server := &http.Server{Handler: o, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }() // ends with Close
	r.atEnd(func() { _ = server.Close() })
	return o, nil
}

// Target returns the origin's entry in discovery's list.
func (o *Origin) Target() Target {
	return Target{UID: OriginUID, Endpoint: o.Addr, Zone: "hobart", Kind: "origin", State: "active", Weight: 1}
}

// Attempts returns what the origin has received so far.
func (o *Origin) Attempts() []Attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Attempt(nil), o.attempts...)
}

// ServeHTTP answers one request once its work is done.
func (o *Origin) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Trace-Id")
	if id == "" { // a probe
		return
	}
	firstAt := time.Now()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		o.run.Note(OriginUID, "%s %s ended after %d bytes: %v", request.Method, id, len(body), err)
		return
	}
	a := Attempt{Server: OriginUID, ID: id, Write: request.Method == http.MethodPut, FirstAt: firstAt, LastAt: time.Now()}
	o.mu.Lock()
	o.attempts = append(o.attempts, a)
	o.mu.Unlock()
	o.run.Note(OriginUID, "got %s %s %s %s, %d bytes", request.Method, request.URL.Path, id, request.Header.Get("X-Props"), len(body))
	time.Sleep(o.work)
	_, err = w.Write(ValueOf(id, 0))
	o.run.Note(OriginUID, "answered %s: %v", id, err)
}
