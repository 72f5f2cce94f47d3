// Package admin implements the HTTP endpoint for operators and monitoring tools. internal/program serves it on a separate address.
// Each request has a goroutine of net/http, which calls the router through the interfaces below, so that a reply does not wait
// for client traffic.
package admin

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Router is the router that the endpoint controls. Its methods must be safe for concurrent use. A change is in force once its
// method returns nil.
type Router interface {
	// Ready returns nil if the router accepts clients, or the reason why it does not.
	Ready() error
	// Metrics returns the metrics as statsd lines.
	Metrics() string
	// BanServer stops the router from sending requests to a cache server, given by its name in discovery.
	BanServer(uid string) error
	// UnbanServer ends the ban of a cache server, given by its name in discovery.
	UnbanServer(uid string) error
	// SetDraining starts or stops draining.
	SetDraining(on bool) error
}

// ErrUnknownServer reports that a cache server is not in the endpoint list.
var ErrUnknownServer = errors.New("no cache server has that id; see discovery's list")

const (
	// callTimeout bounds reading a request and writing its reply, so that idle callers do not occupy connections for long.
	callTimeout = 2 * time.Second
	// policyRequestTimeout bounds the reply to a policy request. A change of policy may take five seconds, and forwarding it and
	// replying take additional time.
	policyRequestTimeout = 12 * time.Second
	maxHeaderBytes       = 8 << 10
)

// Serve answers requests until ln is closed, and blocks until then. It serves at most maxConnections connections at a time; a new
// one above that closes the oldest.
func Serve(ln net.Listener, maxConnections int, router Router) {
	mux := http.NewServeMux()
	for _, r := range routes(router) {
		mux.Handle(r.path, r)
	}
	server := http.Server{
		Handler:        mux,
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	server.SetKeepAlivesEnabled(false)
	_ = server.Serve(newEvictingListener(ln, maxConnections)) // always returns an error, that of the closed listener
}
